package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// trafficTime is how long callers send jobs, evacuationTrafficTime the same if a zone is
	// evacuated. startTimeout is how long the deployment may take until it serves.
	trafficTime           = 6 * time.Second
	evacuationTrafficTime = 12 * time.Second
	startTimeout          = 5 * time.Second
	// resendDelay is how long a caller waits before it resends a job without an
	// answer. It equals bounds.retransmit_ms in the settings written by prepare.
	resendDelay = 1300 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer, maxAttempts the highest
	// number of times that it sends a job.
	callerTimeout = 2400 * time.Millisecond
	maxAttempts   = 3
	// recoveryTimeout is the time after the last fault within which every entry must
	// serve again. It covers reconnecting to agents and one announcement.
	recoveryTimeout = 4 * time.Second
	// settleTime is how long runs may continue after the last answer. It covers the
	// time without messages after which an entry counts as lost, and the lease.
	settleTime    = 2 * time.Second
	jobsPerSecond = 40
)

// Options configure Run.
type Options struct {
	Seed uint64
	// Programs is the directory of the executables. Settings and logs are written to
	// Dir.
	Programs, Dir string
	// Entries and Agents are the numbers of processes.
	Entries, Agents int
	// FaultsPerSecond is the mean rate of injected faults, LifeFaultsPerSecond that of
	// lifeFaults, HostFaultsPerSecond that of hostFaults.
	FaultsPerSecond, LifeFaultsPerSecond, HostFaultsPerSecond float64
	// Out receives a line for each injected fault and one summary line.
	Out io.Writer
	// EvacuateZone has one of two zones evacuated for longer than evacuationBound.
	EvacuateZone bool
	// Cancel has callers cancel jobs at entries that don't run them.
	Cancel bool
	// completed and sent count the jobs of the run.
	completed, sent int
}

func (o *Options) trafficTime() time.Duration {
	if o.EvacuateZone {
		return evacuationTrafficTime
	}
	return trafficTime
}

// Run runs a deployment with the faults of one seed and returns a description of
// each violation. An error means that the deployment could not be started.
func Run(o Options) ([]string, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	d, err := newDeployment(o.Dir, o.Programs, o.Entries, o.Agents)
	if err != nil {
		return nil, err
	}
	defer d.close()
	d.twoZones = o.EvacuateZone
	d.startProcesses()
	d.startWorkers()
	if !d.waitAllServing(startTimeout) {
		return []string{"not every entry serves within the start timeout"}, nil
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.injectFaults(&o, faults, o.FaultsPerSecond, rand.New(rand.NewPCG(o.Seed, 1))) })
	if o.LifeFaultsPerSecond > 0 {
		wg.Go(func() { d.injectFaults(&o, lifeFaults, o.LifeFaultsPerSecond, rand.New(rand.NewPCG(o.Seed, 3))) })
	}
	if o.HostFaultsPerSecond > 0 {
		wg.Go(func() { d.injectFaults(&o, hostFaults, o.HostFaultsPerSecond, rand.New(rand.NewPCG(o.Seed, 4))) })
	}
	var evacuated string
	if o.EvacuateZone {
		wg.Go(func() { evacuated = d.evacuateZone(&o, rand.New(rand.NewPCG(o.Seed, 5))) })
	}
	if o.Cancel {
		wg.Go(func() { d.cancelJobs(&o, rand.New(rand.NewPCG(o.Seed, 6))) })
	}
	d.sendJobs(&o)
	wg.Wait()
	if !d.waitAllServing(recoveryTimeout) {
		d.violation("not every entry serves within %v after the last fault", recoveryTimeout)
	}
	d.checkConfig()
	if evacuated != "" {
		d.checkZoneUsed(evacuated)
	}
	time.Sleep(settleTime)
	for _, p := range d.agents {
		if n := p.currentWorker().worker.Running(); n > 0 {
			d.violation("%d runs still active on the worker of %s after the last answer", n, p.name)
		}
	}
	for _, delay := range d.audit.Delays() {
		fmt.Fprintf(o.Out, "seed %d: worker %s\n", o.Seed, delay)
	}
	fmt.Fprintf(o.Out, "seed %d: %d of %d jobs completed\n", o.Seed, o.completed, o.sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(d.violations, d.audit.Violations()...), nil
}

// injectFaults injects random faults of a list, which may overlap, and undoes each after
// its duration.
func (d *deployment) injectFaults(o *Options, list []fault, perSecond float64, r *rand.Rand) {
	var wg sync.WaitGroup
	deadline := time.Now().Add(o.trafficTime())
	for {
		wait := time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if time.Now().Add(wait).After(deadline) {
			break
		}
		time.Sleep(wait)
		f := list[r.IntN(len(list))]
		target, undo := f.apply(d, r)
		duration := time.Duration(100+r.IntN(2000)) * time.Millisecond
		d.printf(o.Out, "seed %d: %s %s %s for %v\n", o.Seed, time.Now().UTC().Format("05.000"), f.name, target, duration)
		d.trace("fault %s %s for %v", f.name, target, duration)
		wg.Go(func() { time.Sleep(duration); undo() })
	}
	wg.Wait()
}

// printf writes a line of the output. It is safe for concurrent use.
func (d *deployment) printf(out io.Writer, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(out, format, args...)
}

// sendJobs sends jobs from simulated callers, which check the answers.
func (d *deployment) sendJobs(o *Options) {
	r := rand.New(rand.NewPCG(o.Seed, 2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	for n := range int(o.trafficTime()/time.Second) * jobsPerSecond {
		<-ticker.C
		id := fmt.Sprintf("%08x%08x", uint32(o.Seed), n)
		tasks, workMS := 1+r.IntN(4), 20+r.IntN(400)
		firstEntry := r.IntN(len(d.entries))
		milliCPU := taskMilliCPU
		if o.HostFaultsPerSecond > 0 && r.IntN(2) == 0 {
			// Tasks that last longer than resendDelay meet those of a resent job if they
			// aren't stopped.
			workMS, milliCPU = 800+r.IntN(1600), taskMilliCPU/10
		}
		wg.Go(func() {
			completed := d.runCaller(id, firstEntry, jobBody(tasks, workMS, milliCPU))
			mu.Lock()
			defer mu.Unlock()
			o.sent++
			if completed {
				o.completed++
			}
		})
	}
	wg.Wait()
}

// runCaller sends a job and resends it to the next entry if the connection broke or
// the status was 502 or 504. If the first attempt is refused, it checks that the job
// never ran. It reports whether the job completed.
func (d *deployment) runCaller(id string, firstEntry int, job []byte) bool {
	// notStarted is false once an attempt has failed that may have started the job.
	notStarted := true
	start := time.Now()
	for attempt := range maxAttempts {
		sent := time.Now()
		entry := d.entries[(firstEntry+attempt)%len(d.entries)]
		d.trace("job %s sent to %s", id, entry.name)
		status, text := submit(entry, id, callerTimeout, job)
		d.trace("job %s at %s: status %d %.80q", id, entry.name, status, text)
		switch status {
		case http.StatusOK:
			return text == "{\"state\":\"completed\"}\n"
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if notStarted {
				d.checkNeverRan(id)
			}
			return false
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			notStarted = false
		default:
			d.violation("job %s: status %d: %s", id, status, text)
			return false
		}
		if time.Since(sent) >= callerTimeout || time.Since(start) > 2*callerTimeout {
			return false
		}
		time.Sleep(resendDelay)
	}
	return false
}

// checkNeverRan checks that no task of a refused job has started. It waits first,
// so that it detects a task that starts after the refusal.
func (d *deployment) checkNeverRan(id string) {
	time.Sleep(resendDelay)
	if n := d.audit.Starts(id); n > 0 {
		d.violation("job %s was refused as not run, but %d of its tasks were started", id, n)
	}
}

// waitAllServing waits until every entry has answered a job with status 200, and
// reports whether that happened in time.
func (d *deployment) waitAllServing(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for i, p := range d.entries {
		for n := 0; ; n++ {
			id := fmt.Sprintf("ffff%04x%08x", i, uint32(time.Now().UnixNano()))
			if status, _ := submit(p, id, time.Second, jobBody(1, 10, taskMilliCPU)); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// checkConfig checks that every entry applies the newest configuration within 2 s.
func (d *deployment) checkConfig() {
	for _, p := range d.entries {
		path := fmt.Sprintf("/v%d/", d.version)
		deadline := time.Now().Add(2 * time.Second)
		for getStatus(p, path) != http.StatusOK {
			if time.Now().After(deadline) {
				d.violation("configuration version %d is not in effect at %s within 2 s", d.version, p.name)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// getStatus returns the status of a GET request to an entry, or 0 if there was no
// reply.
func getStatus(p *process, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callerProxy.address()+path, nil)
	if err != nil {
		return 0
	}
	req.Host = hostName
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
