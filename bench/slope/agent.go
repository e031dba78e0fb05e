package slope

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// AgentOptions configures MeasureAgent.
type AgentOptions struct {
	PID int
	// Platform is the address of the platform, Listen the address on which the
	// simulated entry listens, CertDir the directory of the certificates.
	Platform, Listen, CertDir string
	Service, Type             string
	TasksPerSecond            int
	Duration                  time.Duration
}

// AgentReport is the resource use of an agent, idle and under load.
type AgentReport struct {
	TasksPerSecond int         `json:"tasks_per_second"`
	Idle           phaseReport `json:"idle"`
	Load           phaseReport `json:"load"`
}

// fakeEntry simulates an entry, normally the only member of the roster.
type fakeEntry struct {
	incarnation uint64
	conn        atomic.Pointer[transport.Conn]
	// hello is the hello of the agent, with the services of its last load report.
	hello             atomic.Pointer[wire.Hello]
	pending           sync.Map // task key -> chan struct{}
	succeeded, failed atomic.Int64
}

// MeasureAgent adds a simulated entry to the roster, waits until the agent has
// connected, and measures the agent first idle and then under load.
func MeasureAgent(ctx context.Context, o AgentOptions) (*AgentReport, error) {
	creds, err := transport.LoadCredentials(transport.DevFiles(o.CertDir, transport.RoleEntry))
	if err != nil {
		return nil, err
	}
	l, err := transport.Listen(o.Listen, creds)
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	f := &fakeEntry{incarnation: uint64(time.Now().UnixNano())}
	go func() { _ = l.Serve(ctx, f.accept) }()
	if err := f.joinRoster(ctx, platform.NewStore(o.Platform), l.Addr()); err != nil {
		return nil, err
	}
	for f.conn.Load() == nil || len(f.hello.Load().Services) == 0 {
		select {
		case <-ctx.Done():
			return nil, errors.New("the agent did not connect and report a service in time")
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(stabilizationTime)
	r := &AgentReport{TasksPerSecond: o.TasksPerSecond}
	if r.Idle, err = measure(o.PID, f.traffic, func() { time.Sleep(o.Duration) }); err != nil {
		return nil, err
	}
	r.Load, err = measure(o.PID, f.traffic, func() { f.startTasks(o) })
	r.Load.setTasks(f.succeeded.Load(), f.failed.Load())
	return r, err
}

func (f *fakeEntry) joinRoster(ctx context.Context, p table.Table, addr string) error {
	_, err := table.Update(ctx, p, table.RowRoster, "", func(old []byte) ([]byte, error) {
		var r *ownership.Roster
		if old != nil {
			r = &ownership.Roster{}
			if err := json.Unmarshal(old, r); err != nil {
				return nil, err
			}
		}
		m := ownership.Member{Name: "slope-entry", Incarnation: f.incarnation, PeerAddr: addr, CallerAddr: addr, Zone: "slope"}
		return json.Marshal(r.Join(m, time.Now(), "slope"))
	})
	return errors.Wrap(err, "write roster")
}

func (f *fakeEntry) accept(p *transport.Pending) {
	c, err := p.Accept(&wire.Welcome{Name: "slope-entry", Incarnation: f.incarnation, RosterVersion: p.Hello.RosterVersion})
	if err != nil {
		return
	}
	f.hello.Store(p.Hello)
	f.conn.Store(c)
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Result:
			f.handleResult(m)
		case *wire.LoadReport:
			h := *f.hello.Load()
			h.Services = m.Services
			f.hello.Store(&h)
		}
	}
}

func (f *fakeEntry) handleResult(m *wire.Result) {
	if m.Outcome == wire.OutcomeOK {
		f.succeeded.Add(1)
	} else {
		f.failed.Add(1)
	}
	if ch, ok := f.pending.LoadAndDelete(m.Key); ok {
		close(ch.(chan struct{}))
	}
}

// startTasks starts tasks at a fixed rate and waits until each has a result or has
// timed out.
func (f *fakeEntry) startTasks(o AgentOptions) {
	conn, hello := f.conn.Load(), f.hello.Load()
	tick := time.NewTicker(time.Second / time.Duration(o.TasksPerSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	for range int(o.Duration.Seconds()) * o.TasksPerSecond {
		<-tick.C
		key, err := api.NewKey()
		if err != nil {
			return
		}
		ch := make(chan struct{})
		f.pending.Store(wire.Key(key), ch)
		_ = conn.Send(&wire.Start{
			Key: key, Owner: f.incarnation, Agent: hello.Incarnation, Digest: 1, Service: o.Service, TaskType: o.Type,
			TimeLeftMS: 10000, Body: []byte(`{"cleft":"C-1000","work_ms":20}`),
		})
		wg.Go(func() {
			select {
			case <-ch:
			case <-time.After(10 * time.Second):
				f.failed.Add(1)
			}
		})
	}
	wg.Wait()
}

func (f *fakeEntry) traffic() traffic {
	sent, received := f.conn.Load().Bytes()
	return traffic{sent, received}
}
