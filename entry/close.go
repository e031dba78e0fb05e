package entry

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// closeTimeout is how long one agent has to close a key before another is
	// asked as well. Refusals are due within 20 ms; an agent in another zone
	// answers within 4 ms.
	closeTimeout = 15 * time.Millisecond
	// closeAttempts is how many agents are asked.
	closeAttempts = 3
	// closeLimit is how long the first answer of an agent is awaited. A late
	// answer that nothing ran serves the caller better than doubt: on a busy host
	// agents took more than 45 ms.
	closeLimit = 500 * time.Millisecond
)

// closing is an answer that says that nothing ran. It is held back until an
// agent has closed the key in its ledger: should this entry leave, the next
// owner of the key finds the tombstone and does not run a late copy either.
type closing struct {
	answer   *api.Answer
	deliver  func()
	requests []*request
	asked    map[uint64]bool
	declined int
	// next is when another agent is asked, limit when the answer says maybe.
	next, limit time.Time
}

// closeKey delivers an answer after its key is closed. If no agent closes the
// key, the answer says maybe.
func (c *core) closeKey(a *api.Answer, idempotent bool, deliver func()) {
	if a.Ran != api.RanNo {
		deliver()
		return
	}
	if c.suspect || c.removed {
		doubt(a, idempotent)
		deliver()
		return
	}
	cl := &closing{answer: a, asked: map[uint64]bool{}, limit: c.now().Add(closeLimit)}
	cl.deliver = func() {
		delete(c.closing, a.Key)
		deliver()
		for _, r := range cl.requests {
			c.request(r)
		}
	}
	if !c.askClose(cl) {
		// This entry can start nothing, but the next owner of the key may reach
		// agents and get a late copy of the job.
		doubt(a, idempotent)
		deliver()
		return
	}
	c.closing[a.Key] = cl
}

// doubt changes an answer that says that nothing ran.
func doubt(a *api.Answer, idempotent bool) {
	a.Ran, a.RetrySafe = api.RanMaybe, idempotent
}

// askClose asks the next agent. It returns false when there is none.
func (c *core) askClose(cl *closing) bool {
	for id, ag := range c.agents {
		if ag.conn == nil || cl.asked[id] {
			continue
		}
		cl.asked[id], cl.next = true, c.now().Add(closeTimeout)
		// A burst of refusals can fill a send ring; the connection carries tasks
		// and stays open, and another agent is asked.
		if c.trySettle(ag, &wire.Settle{Key: cl.answer.Key, Task: ledger.WholeJob, Owner: c.e.self.Incarnation}) {
			return true
		}
	}
	return false
}

// closed handles the answer of an agent.
func (c *core) closed(agent uint64, m *wire.Settled) {
	cl := c.closing[m.Key]
	switch {
	case cl == nil || !cl.asked[agent]:
	case m.State == wire.StateClosed:
		cl.deliver()
	default:
		cl.declined++
		c.closeNext(cl, c.now())
	}
}

// closeNext asks another agent. The answer says maybe once no agent is left that
// may still close the key.
func (c *core) closeNext(cl *closing, now time.Time) {
	if len(cl.asked) < closeAttempts && c.askClose(cl) {
		return
	}
	if cl.declined < len(cl.asked) && now.Before(cl.limit) {
		cl.next = cl.limit
		return
	}
	doubt(cl.answer, c.jobs.Idempotent(cl.answer.Key))
	cl.deliver()
}

// closeLate handles agents that have not answered in time.
func (c *core) closeLate(now time.Time) {
	for _, cl := range c.closing {
		if !now.Before(cl.next) {
			c.closeNext(cl, now)
		}
	}
}
