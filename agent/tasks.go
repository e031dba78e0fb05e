package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/slots"
	"github.com/sesamelift/sesamelift/telemetry/tracing"
	"github.com/sesamelift/sesamelift/wire"
)

// handleStart runs or holds the task of a Start, or replies that it is refused, that
// no slot is free, or what the ledger has recorded for it.
func (el *eventLoop) handleStart(ec *entryConn, s *wire.Start) {
	p := el.peer(s.Owner)
	p.conn, p.backlog = ec, s.Backlog
	now := time.Now()
	d := el.ledger.Check(now, s)
	if !d.Run {
		el.replyFromLedger(ec, s, d)
		return
	}
	if t := el.tasks[taskID{s.Key, s.Task}]; t != nil {
		// The start repeats one that is held. The result is the reply to both.
		t.addWatcher(ec)
		return
	}
	if reason := el.unavailableReason(s.Service); reason != "" {
		el.replyRefused(ec, s, reason)
		return
	}
	t := &task{start: s, arrived: now, deadline: now.Add(time.Duration(s.TimeLeftMS) * time.Millisecond)}
	switch el.slots.Acquire(t, s.Class) {
	case slots.Run:
		el.tasks[t.id()] = t
		el.launch(t)
	case slots.Held:
		el.tasks[t.id()] = t
	case slots.Busy:
		el.replyBusy(ec, s, "")
		return
	}
	el.startMonitoring(ec)
}

// launch records in the ledger that a task with a slot is started, and queues it for
// a task goroutine. If the task must not run any more, launch frees its slot and
// replies to the start.
func (el *eventLoop) launch(t *task) {
	now := time.Now()
	refusal := ""
	switch {
	case !t.deadline.After(now):
		refusal = reasonDeadline
	case el.replaced:
		refusal = reasonLeaving
	case el.backendState.Status != backend.Up:
		refusal = backend.ReasonNoBackend
	}
	if refusal == "" {
		d := el.ledger.Start(now, t.start)
		if d.Run {
			el.enqueue(t, now)
			return
		}
		el.removeTask(t)
		for _, ec := range el.recipients(t) {
			el.replyFromLedger(ec, t.start, d)
		}
		return
	}
	el.slots.Release(t.start.Class)
	el.refuseTask(t, refusal)
}

// enqueue passes a recorded task to the task goroutines. It does not block, since
// the queue has capacity for one task per slot.
func (el *eventLoop) enqueue(t *task, now time.Time) {
	t.launched = now
	t.ctx, t.cancel = context.WithDeadline(el.agent.ctx, t.deadline)
	el.agent.runningTasks.Add(1)
	el.agent.metrics.started.Inc(1)
	el.agent.metrics.holdTime.RecordDuration(now.Sub(t.arrived))
	el.agent.taskQueue <- t
}

// removeTask removes a task that has ended or is not run, and frees its slot.
func (el *eventLoop) removeTask(t *task) {
	delete(el.tasks, t.id())
	el.slots.Release(t.start.Class)
}

// runTasks runs queued tasks, one at a time, until ctx is done. The agent has one
// such goroutine per slot.
func (a *Agent) runTasks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-a.taskQueue:
			a.post(taskEnded{t, a.runTask(t)})
		}
	}
}

func (a *Agent) runTask(t *task) backend.Result {
	s := t.start
	call := &backend.Task{Key: s.Key, Task: s.Task, Service: s.Service, Type: s.TaskType, Body: s.Body}
	ctx := t.ctx
	if s.Trace != "" {
		var span trace.Span
		ctx, span = a.options.Tracer.Start(tracing.WithTraceparent(ctx, s.Trace), "agent.task",
			trace.WithTimestamp(t.arrived), trace.WithAttributes(
				attribute.Int("task", int(s.Task)),
				attribute.Int64("held_us", t.launched.Sub(t.arrived).Microseconds())))
		defer span.End()
		call.Traceparent = tracing.Traceparent(ctx)
	}
	return a.backend.Do(ctx, call)
}

// handleTaskEnd records and delivers the result of a call to the backend server,
// and launches held tasks in the freed slot.
func (el *eventLoop) handleTaskEnd(t *task, r backend.Result) {
	t.cancel()
	el.agent.runningTasks.Add(-1)
	el.agent.metrics.recordEnd(r)
	result := wire.Result{
		Key: t.start.Key, Task: t.start.Task, Outcome: r.Outcome, Ran: r.Ran, Reason: r.Reason,
		RunTimeUS: uint64(r.RunTime.Microseconds()), Body: r.Body,
	}
	el.ledger.Finish(t.start.Key, t.start.Task, result)
	el.removeTask(t)
	el.launchHeld()
	el.deliverResult(t, result)
	el.offerFreeSlot(t.start.Owner)
	if el.config.Drain {
		// No start or offer tells the other entries any more how many tasks still run
		// here, which the operator waits for.
		el.broadcastLoad()
	}
}

func (el *eventLoop) launchHeld() {
	for {
		t, ok := el.slots.AcquireHeld()
		if !ok {
			return
		}
		el.launch(t)
	}
}

// deliverResult sends a result to the owner and to the watchers. If it can be sent to
// none of them, the owner gets it from the ledger by a Settle.
func (el *eventLoop) deliverResult(t *task, r wire.Result) {
	sent := false
	now := time.Now()
	for _, ec := range el.recipients(t) {
		m := r
		m.Load = el.load()
		if el.send(ec, &m) {
			sent = true
			ec.lastResult = now
			el.startMonitoring(ec)
		}
	}
	if !sent {
		el.undelivered[t.id()] = t.start.Owner
	}
}

// recipients returns the open connections to which the result of a task is sent:
// that of the owner, if any, and those of the watchers.
func (el *eventLoop) recipients(t *task) []*entryConn {
	var to []*entryConn
	if p := el.peers[t.start.Owner]; p != nil && p.conn != nil {
		to = append(to, p.conn)
	}
	for _, w := range t.watchers {
		if _, open := el.conns[w]; open && (len(to) == 0 || w != to[0]) {
			to = append(to, w)
		}
	}
	return to
}

// offerFreeSlot reports a free slot to another entry with a backlog, if the owner
// of the task that has ended has none. The number of offers is limited, see
// tasksPerOffer.
func (el *eventLoop) offerFreeSlot(owner uint64) {
	el.offerTokens = min(offerBurst, el.offerTokens+1.0/tasksPerOffer)
	if p := el.peers[owner]; p != nil && p.backlog > 0 {
		// The owner uses the slot for its next Start, which carries a new Backlog.
		p.backlog--
		return
	}
	if el.offerTokens < 1 || !el.slots.HasFreeSlot() || el.load().Leaving {
		return
	}
	for incarnation, p := range el.peers {
		if incarnation != owner && p.backlog > 0 && p.conn != nil {
			p.backlog = 0
			el.offerTokens--
			el.sendLoadReport(p.conn)
			return
		}
	}
}

// replyFromLedger replies to a start that the ledger refused or has a record of.
func (el *eventLoop) replyFromLedger(ec *entryConn, s *wire.Start, d ledger.Decision) {
	switch {
	case d.Refusal != "":
		el.replyRefusedWithRan(ec, s, refusalReason(d.Refusal), ranOfRefusal(d))
	case d.State == wire.StateClosed:
		el.replyRefused(ec, s, reasonClosed)
	case d.Result != nil:
		m := *d.Result
		m.Load = el.load()
		el.send(ec, &m)
	default:
		if t := el.tasks[taskID{s.Key, s.Task}]; t != nil {
			t.addWatcher(ec)
		}
		el.send(ec, &wire.Settled{Key: s.Key, Task: s.Task, State: d.State, Digest: s.Digest, Load: el.load()})
	}
}

// refusalReason returns the reason sent to the entry for a refusal by the ledger.
func refusalReason(r string) string {
	switch r {
	case ledger.RefusedExpired:
		return "expired"
	case ledger.RefusedIncarnation:
		return "other incarnation"
	case ledger.RefusedNotMember:
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

// ranOfRefusal returns whether a task refused by the ledger may have run. It may have
// if the ledger has a record of an earlier start, or if the key has expired, since
// the record may then have been removed.
func ranOfRefusal(d ledger.Decision) wire.Ran {
	if d.Refusal == ledger.RefusedExpired || d.State > wire.StateClosed {
		return wire.RanMaybe
	}
	return wire.RanNo
}

// replyRefused replies to a start whose task has not run and will not run.
func (el *eventLoop) replyRefused(ec *entryConn, s *wire.Start, reason string) {
	el.replyRefusedWithRan(ec, s, reason, wire.RanNo)
}

func (el *eventLoop) replyRefusedWithRan(ec *entryConn, s *wire.Start, reason string, ran wire.Ran) {
	el.agent.metrics.recordRefusal(reason)
	el.send(ec, &wire.Result{
		Key: s.Key, Task: s.Task, Outcome: wire.OutcomeRefused, Ran: ran, Reason: reason, Load: el.load(),
	})
}

// handleSettle replies with the state of a task. A held start is removed first, so
// that the ledger closes its task.
func (el *eventLoop) handleSettle(ec *entryConn, m *wire.Settle) {
	el.peer(m.Owner).conn = ec
	id := taskID{m.Key, m.Task}
	t := el.tasks[id]
	if t != nil && el.slots.RemoveHeld(t) {
		delete(el.tasks, id)
		t = nil
	}
	if t != nil {
		if m.Stop {
			t.cancel()
		}
		if m.Watch {
			t.addWatcher(ec)
		}
		el.startMonitoring(ec)
	}
	s := el.settleInLedger(m)
	s.Load = el.load()
	s.Result.Load = s.Load
	if el.send(ec, &s) {
		delete(el.undelivered, id)
	}
}

func (el *eventLoop) settleInLedger(m *wire.Settle) wire.Settled {
	if m.Task == ledger.WholeKey {
		return el.ledger.Close(time.Now(), m.Owner, m.Key)
	}
	return el.ledger.Settle(time.Now(), m.Key, m.Task)
}

// refuseHeld refuses all held starts, so that their owners start them on other
// workers.
func (el *eventLoop) refuseHeld() {
	reason := reasonLeaving
	if el.backendState.Status == backend.Down {
		reason = backend.ReasonNoBackend
	}
	for _, t := range el.slots.RemoveAllHeld() {
		el.refuseTask(t, reason)
	}
}

// refusePastDeadline refuses held starts whose deadline has passed.
func (el *eventLoop) refusePastDeadline(now time.Time) {
	for _, t := range el.tasks {
		if t.cancel == nil && !t.deadline.After(now) && el.slots.RemoveHeld(t) {
			el.refuseTask(t, reasonDeadline)
		}
	}
}

// refuseTask replies to a start that was accepted and does not run. If its deadline
// has passed, the reply is busy rather than refused: the start merely got no slot in
// time, whereas entries count a refusal as a failure of this agent.
func (el *eventLoop) refuseTask(t *task, reason string) {
	delete(el.tasks, t.id())
	reply := el.replyRefused
	if reason == reasonDeadline {
		reply = el.replyBusy
	}
	for _, ec := range el.recipients(t) {
		reply(ec, t.start, reason)
	}
}

// replyBusy replies to a start that got no slot. The ledger has no record of it, so
// it may be sent again.
func (el *eventLoop) replyBusy(ec *entryConn, s *wire.Start, reason string) {
	el.agent.metrics.busy.Inc(1)
	el.send(ec, &wire.Result{
		Key: s.Key, Task: s.Task, Outcome: wire.OutcomeBusy, Ran: wire.RanNo, Reason: reason, Load: el.load(),
	})
}

func (el *eventLoop) stopTasks() {
	el.refuseHeld()
	for _, t := range el.tasks {
		if t.cancel != nil {
			t.cancel()
		}
	}
}
