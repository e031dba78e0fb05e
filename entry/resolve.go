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
	// maxResolveCalls bounds the concurrent Fence and Handover calls.
	maxResolveCalls = 128
)

// ownerQueries lists the Handover and Fence calls that are still to be answered.
type ownerQueries struct {
	rosterVersion uint64
	roster        []byte
	handovers     []uint64
	fences        []fenceCall
}

type fenceCall struct {
	incarnation uint64
	worker      string
	conn        *transport.Conn
}

// resolveLoop asks the other members which keys they still hold, and asks agents to
// fence the incarnations that left the roster. It repeats each call until it is
// answered.
func (e *Entry) resolveLoop(ctx context.Context) error {
	for {
		q, ok := postAndWait(ctx, e, func(ls *loopState) *ownerQueries { return ls.pendingOwnerQueries() })
		if !ok {
			return nil
		}
		if q != nil {
			e.resolve(ctx, q)
		}
		if !sleepFor(ctx, resolveInterval) {
			return nil
		}
	}
}

// pendingOwnerQueries returns the queries to send now, or nil when there are
// none.
func (ls *loopState) pendingOwnerQueries() *ownerQueries {
	p := ls.resolver.Pending()
	if len(p.Handovers) == 0 && len(p.Fences) == 0 {
		return nil
	}
	r := ls.resolver.Roster()
	b, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	q := &ownerQueries{rosterVersion: r.Version, roster: b}
	for _, m := range p.Handovers {
		q.handovers = append(q.handovers, m.Incarnation)
	}
	for _, f := range p.Fences {
		for _, w := range f.Workers {
			if ag := ls.agents[ls.agentByWorker[w]]; ag != nil && ag.conn != nil {
				q.fences = append(q.fences, fenceCall{f.Incarnation, w, ag.conn})
			}
		}
	}
	return q
}

func (e *Entry) resolve(ctx context.Context, q *ownerQueries) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxResolveCalls)
	for _, id := range q.handovers {
		if conn := e.peers.conn(id); conn != nil {
			g.Go(func() error { e.askHandover(ctx, q, id, conn); return nil })
		}
	}
	for _, f := range q.fences {
		g.Go(func() error { e.askFence(ctx, q, f); return nil })
	}
	_ = g.Wait()
}

func (e *Entry) askHandover(ctx context.Context, q *ownerQueries, id uint64, conn *transport.Conn) {
	m, err := conn.Call(ctx, &wire.Handover{RosterVersion: q.rosterVersion, Roster: q.roster, Requester: e.self.Name})
	ack, ok := m.(*wire.HandoverAck)
	if err != nil || !ok || ack.Incarnation != id {
		return
	}
	keys := make([]api.Key, len(ack.Keys))
	for i, k := range ack.Keys {
		keys[i] = k
	}
	e.post(ctx, func(ls *loopState) {
		ls.resolver.RecordHandover(id, ack.RosterVersion, keys)
		ls.retryBlocked(ls.now())
	})
}

func (e *Entry) askFence(ctx context.Context, q *ownerQueries, f fenceCall) {
	e.metrics.fences.Inc(1)
	f.conn.AddPendingReplies(1)
	defer f.conn.AddPendingReplies(-1)
	m, err := f.conn.Call(ctx, &wire.Fence{Incarnation: f.incarnation, RosterVersion: q.rosterVersion, Roster: q.roster, Requester: e.self.Name})
	ack, ok := m.(*wire.FenceAck)
	if err != nil || !ok || ack.Incarnation != f.incarnation {
		return
	}
	e.post(ctx, func(ls *loopState) {
		ls.resolver.RecordFenceAck(f.incarnation, f.worker, ack.Agent, ack.RosterVersion, ack.Records)
		ls.retryBlocked(ls.now())
	})
}
