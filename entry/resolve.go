package entry

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	ownershipCallInterval = 100 * time.Millisecond
	ownershipCallTimeout  = time.Second
	// maxOwnershipCalls bounds the concurrent Fence and Handover calls.
	maxOwnershipCalls = 128
)

// ownershipCalls lists the Handover and Fence calls that are still to be answered.
type ownershipCalls struct {
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

// ownershipLoop asks the other members which keys they still hold, and asks agents to
// fence the incarnations that left the roster. It repeats each call until it is
// answered.
func (e *Entry) ownershipLoop(ctx context.Context) error {
	for {
		calls, ok := postAndWait(ctx, e, func(ls *loopState) *ownershipCalls { return ls.pendingOwnershipCalls() })
		if !ok {
			return nil
		}
		if calls != nil {
			e.sendOwnershipCalls(ctx, calls)
		}
		if !sleepFor(ctx, ownershipCallInterval) {
			return nil
		}
	}
}

// pendingOwnershipCalls returns the calls to make now, or nil when there are
// none.
func (ls *loopState) pendingOwnershipCalls() *ownershipCalls {
	p := ls.resolver.Pending()
	if len(p.Handovers) == 0 && len(p.Fences) == 0 {
		return nil
	}
	r := ls.resolver.Roster()
	b, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	calls := &ownershipCalls{rosterVersion: r.Version, roster: b}
	for _, m := range p.Handovers {
		calls.handovers = append(calls.handovers, m.Incarnation)
	}
	for _, f := range p.Fences {
		for _, w := range f.Workers {
			if ag := ls.agents[ls.agentByWorker[w]]; ag != nil && ag.conn != nil {
				calls.fences = append(calls.fences, fenceCall{f.Incarnation, w, ag.conn})
			}
		}
	}
	return calls
}

func (e *Entry) sendOwnershipCalls(ctx context.Context, calls *ownershipCalls) {
	ctx, cancel := context.WithTimeout(ctx, ownershipCallTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxOwnershipCalls)
	for _, id := range calls.handovers {
		if conn := e.peers.conn(id); conn != nil {
			g.Go(func() error { e.askHandover(ctx, calls, id, conn); return nil })
		}
	}
	for _, f := range calls.fences {
		g.Go(func() error { e.askFence(ctx, calls, f); return nil })
	}
	_ = g.Wait()
}

func (e *Entry) askHandover(ctx context.Context, calls *ownershipCalls, id uint64, conn *transport.Conn) {
	m, err := conn.Call(ctx, &wire.Handover{RosterVersion: calls.rosterVersion, Roster: calls.roster, Requester: e.self.Name})
	ack, ok := m.(*wire.HandoverAck)
	if err != nil || !ok || ack.Incarnation != id {
		return
	}
	report := decodeReport(&ack.Report)
	e.post(ctx, func(ls *loopState) {
		ls.resolver.RecordHandover(id, ack.RosterVersion, report)
		ls.retryBlocked(ls.now())
	})
}

func (e *Entry) askFence(ctx context.Context, calls *ownershipCalls, f fenceCall) {
	e.metrics.fences.Inc(1)
	f.conn.AddPendingReplies(1)
	defer f.conn.AddPendingReplies(-1)
	m, err := f.conn.Call(ctx, &wire.Fence{Incarnation: f.incarnation, RosterVersion: calls.rosterVersion, Roster: calls.roster, Requester: e.self.Name})
	ack, ok := m.(*wire.FenceAck)
	if err != nil || !ok || ack.Incarnation != f.incarnation {
		return
	}
	e.post(ctx, func(ls *loopState) {
		ls.resolver.RecordFenceAck(f.incarnation, f.worker, ack.Agent, ack.RosterVersion, ack.Records)
		ls.retryBlocked(ls.now())
	})
}
