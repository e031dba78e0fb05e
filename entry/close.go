package entry

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// closeAttemptTimeout is how long one agent has to close a key before
	// another one is asked as well. Refusals are due within 20 ms; an agent in
	// another zone answers within 4 ms.
	closeAttemptTimeout = 15 * time.Millisecond
	// maxCloseAttempts is the largest number of agents that are asked.
	maxCloseAttempts = 3
	// closeTimeout bounds the wait for the first agent to close the key. It is
	// long because agents on a busy host can take more than 45 ms, and a late
	// ran=no is more useful to the caller than ran=maybe.
	closeTimeout = 500 * time.Millisecond
)

// pendingClose is an answer with ran=no that is held back until an agent has
// closed the key in its ledger: if this entry leaves, the next owner of the key
// finds the tombstone and does not run a late copy of the job.
type pendingClose struct {
	answer  *api.Answer
	deliver func()
	// requests are the requests for the key that arrived in the meantime. They
	// are handled after the delivery.
	requests []*request
	// asked holds the incarnations of the agents that were asked to close the
	// key, and declined is how many of them replied without closing it.
	asked    map[uint64]bool
	declined int
	// nextAttempt is when another agent is asked. At deadline the answer
	// changes to ran=maybe.
	nextAttempt, deadline time.Time
}

// closeAndDeliver calls deliver to send an answer. Before it sends an answer with
// ran=no, an agent has to close the key; if no agent does, the answer changes to
// ran=maybe.
func (ls *loopState) closeAndDeliver(a *api.Answer, idempotent bool, deliver func()) {
	if a.Ran != api.RanNo {
		deliver()
		return
	}
	if ls.maybeRemoved || ls.removed {
		markMaybeRan(a, idempotent)
		deliver()
		return
	}
	cl := &pendingClose{answer: a, asked: map[uint64]bool{}, deadline: ls.now().Add(closeTimeout)}
	cl.deliver = func() {
		delete(ls.pendingCloses, a.Key)
		deliver()
		for _, r := range cl.requests {
			ls.handleRequest(r)
		}
	}
	if !ls.sendClose(cl) {
		// No agent can be asked. This entry cannot start the job, but the next owner
		// of the key may reach agents and receive a late copy of the job.
		markMaybeRan(a, idempotent)
		deliver()
		return
	}
	ls.pendingCloses[a.Key] = cl
}

// markMaybeRan changes an answer from ran=no to ran=maybe.
func markMaybeRan(a *api.Answer, idempotent bool) {
	a.Ran, a.RetrySafe = api.RanMaybe, idempotent
}

// sendClose asks the next agent to close the key. It returns false when there
// is none.
func (ls *loopState) sendClose(cl *pendingClose) bool {
	for id, ag := range ls.agents {
		if ag.conn == nil || cl.asked[id] {
			continue
		}
		cl.asked[id], cl.nextAttempt = true, ls.now().Add(closeAttemptTimeout)
		// A burst of refusals can fill a send queue. The connection stays open
		// because it carries tasks, and another agent is asked.
		if ls.trySettle(ag, &wire.Settle{Key: cl.answer.Key, Task: ledger.WholeKey, Owner: ls.e.self.Incarnation}) {
			return true
		}
	}
	return false
}

// handleCloseReply handles an agent's reply to a request to close a key.
func (ls *loopState) handleCloseReply(agent uint64, m *wire.Settled) {
	cl := ls.pendingCloses[m.Key]
	switch {
	case cl == nil || !cl.asked[agent]:
	case m.State == wire.StateClosed:
		cl.deliver()
	default:
		cl.declined++
		ls.retryClose(cl, ls.now())
	}
}

// retryClose asks another agent. The answer changes to ran=maybe once no agent
// is left that may still close the key.
func (ls *loopState) retryClose(cl *pendingClose, now time.Time) {
	if len(cl.asked) < maxCloseAttempts && ls.sendClose(cl) {
		return
	}
	if cl.declined < len(cl.asked) && now.Before(cl.deadline) {
		cl.nextAttempt = cl.deadline
		return
	}
	markMaybeRan(cl.answer, ls.jobs.Idempotent(cl.answer.Key))
	cl.deliver()
}

// retryLateCloses asks another agent for each key that was not closed in time.
func (ls *loopState) retryLateCloses(now time.Time) {
	for _, cl := range ls.pendingCloses {
		if !now.Before(cl.nextAttempt) {
			ls.retryClose(cl, now)
		}
	}
}
