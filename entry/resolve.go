package entry

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	resolveInterval = 100 * time.Millisecond
	resolveTimeout  = time.Second
	// resolveCalls bounds the concurrent Fence and Handover calls.
	resolveCalls = 128
)

// open is what the ownership state still has to ask for.
type open struct {
	version   uint64
	roster    []byte
	handovers []uint64
	fences    []fenceCall
}

type fenceCall struct {
	incarnation uint64
	worker      string
	conn        *transport.Conn
}

// resolveLoop asks live members for their keys and agents to fence the
// incarnations that left, until nothing is open.
func (e *Entry) resolveLoop(ctx context.Context) error {
	for {
		o, ok := ask(ctx, e, func(c *core) *open { return c.open() })
		if !ok {
			return nil
		}
		if o != nil {
			e.resolve(ctx, o)
		}
		if !sleepFor(ctx, resolveInterval) {
			return nil
		}
	}
}

// open returns nil when nothing can be asked now.
func (c *core) open() *open {
	p := c.own.Pending()
	if len(p.Handovers) == 0 && len(p.Fences) == 0 {
		return nil
	}
	r := c.own.Roster()
	b, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	o := &open{version: r.Version, roster: b}
	for _, m := range p.Handovers {
		o.handovers = append(o.handovers, m.Incarnation)
	}
	for _, f := range p.Fences {
		for _, w := range f.Workers {
			if ag := c.agents[c.workers[w]]; ag != nil && ag.conn != nil {
				o.fences = append(o.fences, fenceCall{f.Incarnation, w, ag.conn})
			}
		}
	}
	return o
}

func (e *Entry) resolve(ctx context.Context, o *open) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(resolveCalls)
	for _, id := range o.handovers {
		if conn := e.peers.conn(id); conn != nil {
			g.Go(func() error { e.askHandover(ctx, o, id, conn); return nil })
		}
	}
	for _, f := range o.fences {
		g.Go(func() error { e.askFence(ctx, o, f); return nil })
	}
	_ = g.Wait()
}

func (e *Entry) askHandover(ctx context.Context, o *open, id uint64, conn *transport.Conn) {
	m, err := conn.Call(ctx, &wire.Handover{RosterVersion: o.version, Roster: o.roster, Asker: e.self.Name})
	ack, ok := m.(*wire.HandoverAck)
	if err != nil || !ok || ack.Incarnation != id {
		return
	}
	keys := make([]api.Key, len(ack.Keys))
	for i, k := range ack.Keys {
		keys[i] = k
	}
	e.post(ctx, func(c *core) {
		c.own.HandoverDone(id, ack.RosterVersion, keys)
		c.retryBlocked(c.now())
	})
}

func (e *Entry) askFence(ctx context.Context, o *open, f fenceCall) {
	e.metrics.fences.Inc(1)
	f.conn.Expect(1)
	defer f.conn.Expect(-1)
	m, err := f.conn.Call(ctx, &wire.Fence{Incarnation: f.incarnation, RosterVersion: o.version, Roster: o.roster, Asker: e.self.Name})
	ack, ok := m.(*wire.FenceAck)
	if err != nil || !ok || ack.Incarnation != f.incarnation {
		return
	}
	e.post(ctx, func(c *core) {
		c.own.FenceDone(f.incarnation, f.worker, ack.Agent, ack.RosterVersion, ack.Records)
		c.retryBlocked(c.now())
	})
}
