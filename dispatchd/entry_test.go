package dispatchd

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

// resendAfter is when callers submit a job again after their connection broke.
const resendAfter = 1300 * ms

// runningEntry is an entry with a running event loop and one agent, whose part the test plays.
type runningEntry struct {
	*qt.C
	*Dispatcher
	agent *link.Conn
	// closed is closed at the end of the connection, received gets the commands but pings.
	closed   chan struct{}
	received chan link.Commands

	mu sync.Mutex
	// sequence is that of the last commands. If deaf, commands are received and not answered.
	sequence uint64
	deaf     bool
	// onCommands, if set, gets all commands.
	onCommands func(*link.Commands)
}

func startEntry(t *testing.T) *runningEntry {
	c := qt.New(t)
	timings, err := timing.Derive(timing.Bounds{MaxLease: time.Second, MaxStopTime: 50 * ms, ResendAfter: resendAfter})
	c.Assert(err, qt.IsNil)
	d := newTestDispatcher(t)
	d.opts.Timings = timings
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	go d.eventLoop(ctx)
	t.Cleanup(func() { stop(); <-d.stopped })
	d.post(func(now time.Duration) {
		d.updateAgents(now, map[string]directory.Member{"w1": {Name: "w1", Role: directory.RoleAgent, Address: l.Addr().String()}})
	})
	raw, err := l.Accept()
	c.Assert(err, qt.IsNil)
	e := &runningEntry{C: c, Dispatcher: d, agent: link.NewConn(raw), closed: make(chan struct{}), received: make(chan link.Commands, 100)}
	t.Cleanup(e.agent.Close)
	var h link.Hello
	c.Assert(e.agent.Read(&h), qt.IsNil)
	c.Assert(e.agent.Send(&link.Welcome{Protocol: link.Protocol, Agent: "w1"}), qt.IsNil)
	go e.readCommands()
	e.report(0, &link.Report{Worker: &link.WorkerState{Service: "s", Capacity: link.Resources{MilliCPU: 8000}}})
	for n := 0; n < 100 && !e.usable(); n++ {
		time.Sleep(5 * ms)
	}
	c.Assert(e.usable(), qt.IsTrue)
	return e
}

func (e *runningEntry) usable() bool {
	n := make(chan int, 1)
	e.post(func(time.Duration) { n <- e.scheduler.Stats().ActiveWorkers })
	return <-n == 1
}

// readCommands answers pings.
func (e *runningEntry) readCommands() {
	defer close(e.closed)
	for {
		var c link.Commands
		if e.agent.Read(&c) != nil {
			return
		}
		if len(c.Starts)+len(c.Stops)+len(c.Claims) > 0 {
			e.received <- c
		}
		e.mu.Lock()
		if e.onCommands != nil {
			e.onCommands(&c)
		}
		if !e.deaf {
			e.sequence = c.Sequence
			e.report(c.Sequence, &link.Report{})
		}
		e.mu.Unlock()
	}
}

// deafen ends the answers to commands, and returns the sequence number of the last answer.
func (e *runningEntry) deafen() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = true
	return e.sequence
}

func (e *runningEntry) report(sequence uint64, r *link.Report) {
	r.Sequence, r.Accepting, r.Speed, r.Free = sequence, true, 1, link.Resources{MilliCPU: 8000}
	_ = e.agent.Send(r)
}

func (e *runningEntry) job(id string) dispatch.Job {
	now := clock.SinceBoot()
	return dispatch.Job{
		ID: id, Queue: "q", Service: "s", ReceivedAt: now, Deadline: now + 10*time.Second, LatencyFactor: 2, LatencyAllowance: 5 * time.Second, MaxAttempts: 2,
		Steps: []dispatch.Step{{Tasks: 1, Need: link.Resources{MilliCPU: 1000}, Estimate: 2 * time.Second}},
	}
}

// submit submits a job until ctx ends, and waits for its start.
func (e *runningEntry) submit(ctx context.Context, id string) link.Start {
	go e.Submit(ctx, e.job(id), func() bool { return ctx.Err() != nil })
	c := <-e.received
	e.Assert(c.Starts, qt.HasLen, 1)
	return c.Starts[0]
}
