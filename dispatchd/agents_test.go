package dispatchd

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

func newTestDispatcher(t *testing.T) *Dispatcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := New(Options{
		Name: "e1", Log: decisions.New(logrus.NewEntry(log)), Metrics: tally.NoopScope,
		Timings: timing.Timings{RestartDelay: 900 * ms, SilenceTimeout: 500 * ms, PingInterval: 125 * ms, CancelTimeout: 2250 * ms},
	})
	t.Cleanup(func() {
		for _, a := range d.agents {
			a.cancel()
		}
	})
	return d
}

// Guards against tasks that are taken for running until the deadline of their job,
// because the address of their agent changed while it was connected and the loss of
// the connection was not reported.
func TestAgentThatChangesItsAddressIsLost(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(t)
	now := time.Hour
	member := func(address string) map[string]directory.Member {
		return map[string]directory.Member{"w1": {Name: "w1", Role: directory.RoleAgent, Address: address}}
	}
	// Nothing listens at these addresses.
	d.updateAgents(now, member("127.0.0.1:1"))
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	conn := link.NewConn(client)
	defer conn.Close()
	d.agents["w1"].conn = conn
	d.scheduler.AgentConnected(now, "w1", 1)
	need := link.Resources{MilliCPU: 1000}
	d.scheduler.AgentReported(now, "w1", &link.Report{Accepting: true, Free: need, Speed: 1, Worker: &link.WorkerState{Service: "s", Capacity: need}})
	refusal := d.scheduler.Submit(now, dispatch.Job{
		ID: "a", Service: "s", ReceivedAt: now, Deadline: now + time.Second, LatencyFactor: 2,
		Steps: []dispatch.Step{{Tasks: 1, Need: need, Estimate: 100 * ms}},
	})
	c.Assert(refusal == nil, qt.IsTrue)
	d.scheduler.TakeActions(now)
	c.Assert(d.scheduler.HasTasks("w1"), qt.IsTrue)

	d.updateAgents(now, member("127.0.0.1:2"))
	// The task is claimed at the new address, since it may still run.
	d.scheduler.AgentConnected(now, "w1", 1)
	commands := d.scheduler.TakeActions(now).Commands
	c.Assert(commands, qt.HasLen, 1)
	c.Assert(commands[0].Claims, qt.HasLen, 1)
}

// Guards against an agent that the scheduler takes for connected for ever, because it was
// removed from the directory while the connection to it was being opened.
func TestAgentRemovedDuringItsHandshakeIsNotConnected(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	helloRead, removed := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		conn := link.NewConn(raw)
		defer conn.Close()
		var h link.Hello
		if err := conn.Read(&h); err != nil {
			ended <- err
			return
		}
		close(helloRead)
		<-removed
		if err := conn.Send(&link.Welcome{Protocol: link.Protocol, Agent: "w1"}); err != nil {
			ended <- err
			return
		}
		var commands link.Commands
		ended <- conn.Read(&commands)
	}()
	now := time.Hour
	d.updateAgents(now, map[string]directory.Member{"w1": {Name: "w1", Role: directory.RoleAgent, Address: l.Addr().String()}})
	<-helloRead
	agent := d.agents["w1"]
	// The removal without the end of the dial: as if the connection was just established.
	delete(d.agents, "w1")
	close(removed)
	(<-d.events).handle(now)
	c.Assert(agent.conn, qt.IsNil)
	for _, line := range d.scheduler.TakeActions(now).LogLines {
		c.Assert(line.Message, qt.Not(qt.Equals), "agent connected")
	}
	c.Assert(<-ended, qt.IsNotNil, qt.Commentf("the connection stays open"))
	agent.cancel()
}

// Guards against a task that runs twice: a start that was held up on its way reaches the agent
// after the entry has given up the connection and started the task elsewhere. What the agent
// has not received must be discarded with the connection.
func TestLostConnectionDeliversNothingMore(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = raw.Close() }()
		conn := link.NewConn(raw)
		var h link.Hello
		if err := conn.Read(&h); err == nil {
			_ = conn.Send(&link.Welcome{Protocol: link.Protocol, Agent: "w1"})
		}
		// The agent reads nothing until the entry has closed the connection.
		<-closed
		_, err = io.Copy(io.Discard, raw)
		ended <- err
	}()
	d.updateAgents(time.Hour, map[string]directory.Member{"w1": {Name: "w1", Role: directory.RoleAgent, Address: l.Addr().String()}})
	(<-d.events).handle(time.Hour)
	a := d.agents["w1"]
	c.Assert(a.conn, qt.IsNotNil)
	// More than the buffers of both ends hold.
	const messages, specBytes = 200, 1 << 16
	for i := range messages {
		a.send(time.Hour, time.Hour, &link.Commands{Specs: []link.Spec{{Data: make([]byte, specBytes+i)}}})
	}
	time.Sleep(100 * ms)
	conn := a.conn
	d.connectionLost(time.Hour, a, nil)
	conn.Close()
	time.Sleep(100 * ms)
	close(closed)
	err = <-ended
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a wait after the loss of a connection that begins before the loss,
// because the event loop takes the start of a batch for the time of each of its events.
func TestEventsOfABatchHaveTheirOwnTime(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(t)
	ctx, stop := context.WithCancel(context.Background())
	go d.eventLoop(ctx)
	defer func() { stop(); <-d.stopped }()
	handling, busy := make(chan struct{}), make(chan struct{})
	d.post(func(time.Duration) { close(handling); <-busy })
	<-handling
	time.Sleep(5 * time.Millisecond)
	happenedAt := clock.SinceBoot()
	handledAt := make(chan time.Duration, 1)
	d.post(func(now time.Duration) { handledAt <- now })
	close(busy)
	c.Assert(<-handledAt >= happenedAt, qt.IsTrue)
}
