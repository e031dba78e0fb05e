package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/slots"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/wire"
)

// start handles a Start that has arrived.
func (c *core) start(l *link, s *wire.Start) {
	p := c.peer(s.Owner)
	p.link, p.backlog = l, s.Backlog
	now := time.Now()
	d := c.ledger.Check(now, s)
	if !d.Run {
		c.answerKnown(l, s, d)
		return
	}
	if t := c.tasks[taskID{s.Key, s.Task}]; t != nil {
		// The first copy is held; its result answers both.
		t.watch(l)
		return
	}
	if reason := c.unavailable(s.Service); reason != "" {
		c.refuse(l, s, reason)
		return
	}
	t := &task{start: s, arrived: now, deadline: now.Add(time.Duration(s.TimeLeftMS) * time.Millisecond)}
	switch c.slots.Offer(t, s.Class) {
	case slots.Run:
		c.tasks[t.id()] = t
		c.launch(t)
	case slots.Held:
		c.tasks[t.id()] = t
	case slots.Busy:
		c.busy(l, s, "")
		return
	}
	c.expectFrom(l)
}

// launch records a task that has a slot and hands it to a runner. A task that
// must not run any more gives its slot back.
func (c *core) launch(t *task) {
	now := time.Now()
	refusal := ""
	switch {
	case !t.deadline.After(now):
		refusal = reasonDeadline
	case c.replaced:
		refusal = reasonLeaving
	case c.backend.Status != backend.Up:
		refusal = backend.ReasonNoBackend
	}
	if refusal == "" {
		d := c.ledger.Start(now, t.start)
		if d.Run {
			c.hand(t, now)
			return
		}
		c.drop(t)
		for _, l := range c.audience(t) {
			c.answerKnown(l, t.start, d)
		}
		return
	}
	c.slots.Done(t.start.Class)
	c.refuseTask(t, refusal)
}

// hand gives a recorded task to a runner. The queue has room for one task per
// slot.
func (c *core) hand(t *task, now time.Time) {
	t.launched = now
	t.ctx, t.cancel = context.WithDeadline(c.a.ctx, t.deadline)
	c.a.running.Add(1)
	c.a.metrics.started.Inc(1)
	c.a.metrics.holdTime.RecordDuration(now.Sub(t.arrived))
	c.a.work <- t
}

// drop frees the slot of a task that does not run.
func (c *core) drop(t *task) {
	delete(c.tasks, t.id())
	c.slots.Done(t.start.Class)
}

// runTasks is the loop of a runner: it calls the backend server for one task at
// a time.
func (a *Agent) runTasks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-a.work:
			a.post(ended{t, a.call(t)})
		}
	}
}

func (a *Agent) call(t *task) backend.Result {
	s := t.start
	call := &backend.Task{Key: s.Key, Task: s.Task, Service: s.Service, Type: s.TaskType, Body: s.Body}
	ctx := t.ctx
	if s.Trace != "" {
		var span trace.Span
		ctx, span = a.options.Tracer.Start(telemetry.WithTraceparent(ctx, s.Trace), "agent.task",
			trace.WithTimestamp(t.arrived), trace.WithAttributes(
				attribute.Int("task", int(s.Task)),
				attribute.Int64("held_us", t.launched.Sub(t.arrived).Microseconds())))
		defer span.End()
		call.Traceparent = telemetry.Traceparent(ctx)
	}
	return a.backend.Do(ctx, call)
}

// ended handles the end of a call to the backend server.
func (c *core) ended(t *task, r backend.Result) {
	t.cancel()
	c.a.running.Add(-1)
	c.a.metrics.ended(r)
	result := wire.Result{
		Key: t.start.Key, Task: t.start.Task, Outcome: r.Outcome, Ran: r.Ran, Reason: r.Reason,
		RunTimeUS: uint64(r.RunTime.Microseconds()), Body: r.Body,
	}
	c.ledger.Finish(t.start.Key, t.start.Task, result)
	c.drop(t)
	c.launchHeld()
	c.deliver(t, result)
	c.tellBacklog(t.start.Owner)
}

func (c *core) launchHeld() {
	for {
		t, ok := c.slots.Next()
		if !ok {
			return
		}
		c.launch(t)
	}
}

// deliver sends a result to the owner and to the watchers. Without a connection
// of the owner, the ledger keeps it for a Settle.
func (c *core) deliver(t *task, r wire.Result) {
	sent := false
	now := time.Now()
	for _, l := range c.audience(t) {
		m := r
		m.Load = c.load()
		if c.send(l, &m) {
			sent = true
			l.lastResult = now
			c.expectFrom(l)
		}
	}
	if !sent {
		c.undelivered[t.id()] = t.start.Owner
	}
}

// audience returns the connections that wait for the result of a task.
func (c *core) audience(t *task) []*link {
	var to []*link
	if p := c.peers[t.start.Owner]; p != nil && p.link != nil {
		to = append(to, p.link)
	}
	for _, w := range t.watchers {
		if _, open := c.links[w]; open && (len(to) == 0 || w != to[0]) {
			to = append(to, w)
		}
	}
	return to
}

// tellBacklog tells one other entry that a slot is free, if the entry whose
// task has ended has no use for it.
func (c *core) tellBacklog(owner uint64) {
	c.offers = min(maxOffers, c.offers+1.0/offerEvery)
	if p := c.peers[owner]; p != nil && p.backlog > 0 {
		// The entry takes the slot with a start, which brings a new count.
		p.backlog--
		return
	}
	if c.offers < 1 || !c.slots.Free() || c.load().Leaving {
		return
	}
	for incarnation, p := range c.peers {
		if incarnation != owner && p.backlog > 0 && p.link != nil {
			p.backlog = 0
			c.offers--
			c.report(p.link)
			return
		}
	}
}

// answerKnown answers a start that does not run because of the ledger.
func (c *core) answerKnown(l *link, s *wire.Start, d ledger.Decision) {
	switch {
	case d.Refusal != "":
		c.refuseWith(l, s, shortRefusal(d.Refusal), ranOf(d))
	case d.State == wire.StateClosed:
		c.refuse(l, s, reasonClosed)
	case d.Result != nil:
		m := *d.Result
		m.Load = c.load()
		c.send(l, &m)
	default:
		if t := c.tasks[taskID{s.Key, s.Task}]; t != nil {
			t.watch(l)
		}
		c.send(l, &wire.Settled{Key: s.Key, Task: s.Task, State: d.State, Digest: s.Digest, Load: c.load()})
	}
}

// shortRefusal returns the words for a refusal by the ledger.
func shortRefusal(r string) string {
	switch r {
	case ledger.RefusedExpired:
		return "expired"
	case ledger.RefusedAgent:
		return "other incarnation"
	case ledger.RefusedOwner:
		return "not in roster"
	case ledger.RefusedDigest:
		return "other digest"
	case ledger.RefusedFull:
		return "ledger full"
	case ledger.RefusedClosed:
		return reasonClosed
	}
	return r
}

// ranOf says whether a refused task may have run. Of an expired key the record
// may be lost.
func ranOf(d ledger.Decision) wire.Ran {
	if d.Refusal == ledger.RefusedExpired || d.State > wire.StateClosed {
		return wire.RanMaybe
	}
	return wire.RanNo
}

// refuse answers a start that has not run and will not.
func (c *core) refuse(l *link, s *wire.Start, reason string) { c.refuseWith(l, s, reason, wire.RanNo) }

func (c *core) refuseWith(l *link, s *wire.Start, reason string, ran wire.Ran) {
	c.a.metrics.refused(reason)
	c.send(l, &wire.Result{
		Key: s.Key, Task: s.Task, Outcome: wire.OutcomeRefused, Ran: ran, Reason: reason, Load: c.load(),
	})
}

func (c *core) settle(l *link, m *wire.Settle) {
	c.peer(m.Owner).link = l
	id := taskID{m.Key, m.Task}
	t := c.tasks[id]
	if t != nil && c.slots.Withdraw(t) {
		delete(c.tasks, id)
		t = nil
	}
	if t != nil {
		if m.Stop {
			t.cancel()
		}
		if m.Watch {
			t.watch(l)
		}
		c.expectFrom(l)
	}
	s := c.settled(m)
	s.Load = c.load()
	s.Result.Load = s.Load
	if c.send(l, &s) {
		delete(c.undelivered, id)
	}
}

func (c *core) settled(m *wire.Settle) wire.Settled {
	if m.Task == ledger.WholeJob {
		return c.ledger.Close(time.Now(), m.Owner, m.Key)
	}
	return c.ledger.Settle(time.Now(), m.Key, m.Task)
}

// refuseHeld refuses all held starts, so that they run elsewhere.
func (c *core) refuseHeld() {
	reason := reasonLeaving
	if c.backend.Status == backend.Down {
		reason = backend.ReasonNoBackend
	}
	for _, t := range c.slots.Clear() {
		c.refuseTask(t, reason)
	}
}

// refuseLate refuses held starts whose deadline has passed.
func (c *core) refuseLate(now time.Time) {
	for _, t := range c.tasks {
		if t.cancel == nil && !t.deadline.After(now) && c.slots.Withdraw(t) {
			c.refuseTask(t, reasonDeadline)
		}
	}
}

// refuseTask answers a start that was held and does not run. One whose deadline
// has passed found no slot in time, which says nothing against this agent.
func (c *core) refuseTask(t *task, reason string) {
	delete(c.tasks, t.id())
	answer := c.refuse
	if reason == reasonDeadline {
		answer = c.busy
	}
	for _, l := range c.audience(t) {
		answer(l, t.start, reason)
	}
}

// busy answers a start that found no slot. There is no record of it.
func (c *core) busy(l *link, s *wire.Start, reason string) {
	c.a.metrics.busy.Inc(1)
	c.send(l, &wire.Result{
		Key: s.Key, Task: s.Task, Outcome: wire.OutcomeBusy, Ran: wire.RanNo, Reason: reason, Load: c.load(),
	})
}

func (c *core) stopTasks() {
	c.refuseHeld()
	for _, t := range c.tasks {
		if t.cancel != nil {
			t.cancel()
		}
	}
}
