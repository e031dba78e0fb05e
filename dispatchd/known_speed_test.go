package dispatchd

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
)

// Guards against an entry that doesn't notice the restart of an agent, or sends the speed of
// its worker with a later message than the first, after which tasks may have been placed.
func TestFirstMessageToARestartedAgentHasItsSpeed(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	go d.eventLoop(ctx)
	t.Cleanup(func() { stop(); <-d.stopped })
	d.post(func(now time.Duration) {
		d.updateAgents(now, map[string]directory.Member{"w1": {Name: "w1", Role: directory.RoleAgent, Address: l.Addr().String()}})
	})
	for incarnation := uint64(1); incarnation <= 2; incarnation++ {
		raw, err := l.Accept()
		c.Assert(err, qt.IsNil)
		conn := link.NewConn(raw)
		defer conn.Close()
		var h link.Hello
		var first link.Commands
		c.Assert(conn.Read(&h), qt.IsNil)
		c.Assert(conn.Send(&link.Welcome{Protocol: link.Protocol, Agent: "w1", Incarnation: incarnation}), qt.IsNil)
		if incarnation == 1 {
			c.Assert(conn.Send(&link.Report{Worker: &link.WorkerState{Revision: 3, ID: "life", Born: 7}, Speed: 0.3, LongTermSpeed: 0.55}), qt.IsNil)
		}
		c.Assert(conn.Read(&first), qt.IsNil)
		if incarnation == 1 {
			for c.Assert(first.KnownSpeed, qt.IsNil); first.Evacuation.WorkerRevision != 3; {
				// The entry hasn't handled the report yet.
				c.Assert(conn.Read(&first), qt.IsNil)
			}
			conn.Close()
			continue
		}
		c.Assert(first.KnownSpeed, qt.IsNotNil)
		c.Assert(first.KnownSpeed.WorkerID, qt.Equals, "life")
		c.Assert(first.KnownSpeed.Speed, qt.Equals, float32(0.55))
	}
}
