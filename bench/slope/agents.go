package slope

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// maxConcurrentDials limits the number of concurrent handshakes.
const maxConcurrentDials = 32

// fakeAgents simulates a number of agents that are connected to one entry.
type fakeAgents struct {
	conns   []*transport.Conn
	runTime time.Duration
}

// WorkerName returns the name of the simulated worker with index n.
func WorkerName(n int) string { return fmt.Sprintf("slope-%04d", n) }

func dialAgents(ctx context.Context, entry, service string, n, slots int, runTime time.Duration, creds *transport.Credentials) (*fakeAgents, error) {
	a := &fakeAgents{runTime: runTime}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentDials)
	for i := range n {
		g.Go(func() error {
			id, load := uint64(i+1), wire.Load{Slots: uint16(slots)}
			c, _, err := transport.Dial(ctx, entry, creds, &wire.Hello{
				Role: transport.RoleAgent, Name: WorkerName(i), Incarnation: id, Zone: "slope", Services: []string{service}, Load: load,
			})
			if err != nil {
				return errors.Wrapf(err, "connect agent %d", i)
			}
			mu.Lock()
			a.conns = append(a.conns, c)
			mu.Unlock()
			go c.ServeCalls(func(_ context.Context, m wire.Message) wire.Message {
				f, ok := m.(*wire.Fence)
				if !ok {
					return nil
				}
				return &wire.FenceAck{Incarnation: f.Incarnation, Agent: id, RosterVersion: f.RosterVersion}
			})
			go a.serve(c, load)
			return nil
		})
	}
	return a, g.Wait()
}

// serve sends the result of each task once the run time has passed. It answers
// every settle message with StateClosed, even for a task that is running.
func (a *fakeAgents) serve(c *transport.Conn, load wire.Load) {
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Start:
			time.AfterFunc(a.runTime, func() {
				_ = c.Send(&wire.Result{
					Key: m.Key, Task: m.Task, Outcome: wire.OutcomeOK, Ran: wire.RanYes,
					RunTimeUS: uint64(a.runTime.Microseconds()), Load: load, Body: m.Body,
				})
			})
		case *wire.Settle:
			_ = c.Send(&wire.Settled{Key: m.Key, Task: m.Task, State: wire.StateClosed, Load: load})
		}
	}
}

func (a *fakeAgents) traffic() traffic {
	var t traffic
	for _, c := range a.conns {
		sent, received := c.Bytes()
		t.sent += sent
		t.received += received
	}
	return t
}

func (a *fakeAgents) close() {
	for _, c := range a.conns {
		c.Close(nil)
	}
}
