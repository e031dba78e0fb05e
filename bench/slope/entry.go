package slope

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/transport"
)

// stabilizationTime is the wait before a measurement, after the agents have
// connected, so that the process is in a steady state. It is also the duration of the
// measurement without agents.
const stabilizationTime = 2 * time.Second

// EntryOptions configures MeasureEntry.
type EntryOptions struct {
	PID int
	// PeerAddress and CallerAddress are the addresses of the entry for peers and for
	// callers, CertDir is the directory of the certificates.
	PeerAddress, CallerAddress string
	CertDir, Token             string
	Service, Type, Team        string
	Agents, Slots, TasksPerJob int
	JobsPerSecond              int
	RunTime, Duration          time.Duration
}

// EntryReport is the resource use of an entry: without agents, with idle agents and
// under load.
type EntryReport struct {
	Agents        int         `json:"agents"`
	TasksPerJob   int         `json:"tasks_per_job"`
	JobsPerSecond int         `json:"jobs_per_second"`
	WithoutAgents phaseReport `json:"without_agents"`
	Idle          phaseReport `json:"idle"`
	Load          phaseReport `json:"load"`
}

// MeasureEntry measures an entry without agents, connects simulated agents, and
// measures it idle and then under a load of jobs.
func MeasureEntry(ctx context.Context, o EntryOptions) (*EntryReport, error) {
	creds, err := transport.LoadCredentials(transport.DevFiles(o.CertDir, transport.RoleAgent))
	if err != nil {
		return nil, err
	}
	r := &EntryReport{Agents: o.Agents, TasksPerJob: o.TasksPerJob, JobsPerSecond: o.JobsPerSecond}
	if r.WithoutAgents, err = measure(o.PID, func() traffic { return traffic{} }, func() { time.Sleep(stabilizationTime) }); err != nil {
		return nil, err
	}
	a, err := dialAgents(ctx, o.PeerAddress, o.Service, o.Agents, o.Slots, o.RunTime, creds)
	if err != nil {
		return nil, err
	}
	defer a.close()
	time.Sleep(stabilizationTime)
	if r.Idle, err = measure(o.PID, a.traffic, func() { time.Sleep(o.Duration) }); err != nil {
		return nil, err
	}
	var jobs jobLoad
	r.Load, err = measure(o.PID, a.traffic, func() { jobs.run(ctx, o) })
	r.Load.setTasks(jobs.tasks.Load(), jobs.failed.Load())
	return r, err
}

// jobLoad submits jobs at a fixed rate and counts completed tasks and failed jobs.
type jobLoad struct{ tasks, failed atomic.Int64 }

func (jobs *jobLoad) run(ctx context.Context, o EntryOptions) {
	c := client.New([]string{o.CallerAddress}, o.Token)
	s := &api.Submission{Service: o.Service, Type: o.Type, Team: o.Team, DeadlineMS: 30000}
	for range o.TasksPerJob {
		s.Tasks = append(s.Tasks, json.RawMessage(`{"cleft":"C-1000","work_ms":60}`))
	}
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(o.JobsPerSecond))
	defer tick.Stop()
	for range int(o.Duration.Seconds()) * o.JobsPerSecond {
		<-tick.C
		wg.Go(func() {
			if err := submit(ctx, c, s); err != nil {
				jobs.failed.Add(1)
				return
			}
			jobs.tasks.Add(int64(len(s.Tasks)))
		})
	}
	wg.Wait()
}

func submit(ctx context.Context, c *client.Client, s *api.Submission) error {
	key, err := api.NewKey()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	a, err := c.Submit(ctx, key, s)
	if err == nil && a.Verdict != api.Complete {
		err = errors.Errorf("%s: %s", a.Reason, a.Message)
	}
	return err
}
