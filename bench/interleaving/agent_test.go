package interleaving

import (
	"time"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

// Constants of packages runnerd and platform.
const (
	agentTick          = 25 * ms
	maxCallAttempts    = 5
	minCallInterval    = 20 * ms
	callConcurrency    = 8
	renewTimeoutMargin = 40 * ms
	identifyTimeout    = 900 * ms
	identifyCall       = 90 * ms
)

// agent is package runnerd around the state of package runner.
type agent struct {
	process
	w        *world
	worker   *worker
	state    *runner.State
	conns    map[runner.ConnID]*end
	lastConn runner.ConnID
	// born is Agent.workerBorn.
	born          int64
	starts        []runner.StartCall
	stops         []runner.StopCall
	startsRunning int
	stopsRunning  int
	stored        *runner.Announcement
	incarnation   uint64
}

func (a *agent) begin() {
	a.incarnation++
	a.state = runner.New(a.now, runner.Options{
		Lease: a.w.timings.Lease, SilenceTimeout: a.w.timings.SilenceTimeout, ReconnectGrace: a.w.timings.ReconnectGrace, MaxStopTime: maxStopTime,
	})
	a.conns, a.born = map[runner.ConnID]*end{}, 0
	a.starts, a.stops, a.startsRunning, a.stopsRunning = nil, nil, 0, 0
	a.tick = func(now time.Duration) { a.state.Tick(now) }
	a.flush = a.performActions
	a.start(agentTick)
	a.post(func(time.Duration) {})
	if a.stored != nil {
		stored := *a.stored
		a.run(a.between(5*ms, 100*ms), func() { a.post(func(now time.Duration) { a.state.RestoreWorker(now, stored) }) })
	}
}

func (a *agent) performActions() {
	out := a.state.TakeActions(a.now)
	a.born = a.state.StartableBorn()
	a.starts = append(a.starts, out.Starts...)
	a.stops = append(a.stops, out.Stops...)
	a.nextCalls()
	if out.Renew != nil {
		c := *out.Renew
		a.run(0, func() { a.renew(c) })
	}
	if out.Worker != nil {
		a.stored = out.Worker
	}
	for _, id := range out.CloseConns {
		if e := a.conns[id]; e != nil {
			e.close()
			delete(a.conns, id)
		}
	}
	for i := range out.Reports {
		if e := a.conns[out.Reports[i].Conn]; e != nil {
			e.send(&out.Reports[i].Report)
		}
	}
	a.w.log(a.name, out.LogLines)
}

func (a *agent) nextCalls() {
	for a.startsRunning < callConcurrency && len(a.starts) > 0 {
		c := a.starts[0]
		a.starts = a.starts[1:]
		a.startsRunning++
		a.run(0, func() { a.startWithRetries(c, 0, runner.StartNotCalled) })
	}
	for a.stopsRunning < callConcurrency/2 && len(a.stops) > 0 {
		c := a.stops[0]
		a.stops = a.stops[1:]
		a.stopsRunning++
		a.run(0, func() { a.stopWithRetries(c, 0) })
	}
}

func (a *agent) startWithRetries(c runner.StartCall, n int, result runner.StartResult) {
	finish := func(r runner.StartResult, clock int64) {
		a.startsRunning--
		a.nextCalls()
		a.w.note(c.Task.Job, a.name, "start call %v attempt %d: result %d after %d tries", c.Task, c.Attempt, r, n+1)
		a.post(func(now time.Duration) { a.state.StartDone(now, c, r, clock) })
	}
	if n == 0 && a.now-c.CreatedAt >= runner.MaxEventGap || n >= maxCallAttempts || a.born != c.WorkerBorn || a.now >= c.ExpiresAt {
		finish(result, 0)
		return
	}
	calledAt := a.now
	var answer runner.StartResult
	var clock int64
	a.call(c.WorkerBorn, c.Timeout, func(k *worker, reply func(), _ func()) {
		answer, clock = k.startRun(c)
		reply()
	}, func(o outcome) {
		switch o {
		case refused, otherInstance:
			answer, clock = runner.StartNotSent, 0
		case unanswered, closed:
			answer, clock = runner.StartUnanswered, 0
		case noConnection:
			answer, clock = runner.StartNoConnection, 0
		}
		switch {
		case answer == runner.StartOK:
			finish(answer, clock)
			return
		case answer == runner.StartUnanswered:
			result, c.Unanswered = runner.StartUnanswered, true
		case c.Unanswered:
		case answer == runner.StartNoConnection:
			result = answer
		default:
			finish(answer, clock)
			return
		}
		a.run(minCallInterval-(a.now-calledAt), func() {
			if a.now-calledAt >= runner.MaxEventGap {
				finish(result, 0)
				return
			}
			a.startWithRetries(c, n+1, result)
		})
	})
}

func (a *agent) stopWithRetries(c runner.StopCall, n int) {
	calledAt := a.now
	ok := false
	a.call(c.WorkerBorn, c.Timeout, func(k *worker, reply func(), _ func()) {
		ok = k.stopRun(c)
		reply()
	}, func(o outcome) {
		if done := o == answered && ok; done || n+1 >= maxCallAttempts {
			a.stopsRunning--
			a.nextCalls()
			a.post(func(now time.Duration) { a.state.StopDone(now, c, done) })
			return
		}
		a.run(minCallInterval-(a.now-calledAt), func() { a.stopWithRetries(c, n+1) })
	})
}

func (a *agent) renew(c runner.RenewCall) {
	sentAt := a.now
	var got *runner.RenewReply
	a.call(c.WorkerBorn, c.MaxWait+renewTimeoutMargin, func(k *worker, reply func(), broken func()) {
		k.renew(c, &hold{lastSeen: c.LastEndNumber, reply: func(r *runner.RenewReply) { got = r; reply() }, closed: broken})
	}, func(o outcome) {
		reply := got
		a.post(func(now time.Duration) {
			switch o {
			case answered:
				a.state.Renewed(now, sentAt, reply)
			case refused:
				a.state.RenewFailed(now, sentAt, "refused", runner.RenewConnRefused)
			case closed:
				a.state.RenewFailed(now, sentAt, "closed", runner.RenewConnClosed)
			default:
				a.state.RenewFailed(now, sentAt, "timeout", runner.RenewUnanswered)
			}
		})
	})
}

type outcome uint8

const (
	answered outcome = iota
	unanswered
	refused
	closed
	noConnection
	otherInstance
)

// anyInstance is the born of a call that any worker instance may get.
const anyInstance = 0

// call makes one call to the worker. exec carries it out there; it may do so without an
// answer, or late. done gets the outcome once. Unless born is anyInstance, the call goes over
// a connection on which that instance has answered.
func (a *agent) call(born int64, timeout time.Duration, exec func(k *worker, reply, broken func()), done func(o outcome)) {
	finished, epoch := false, a.epoch
	deliver := func(o outcome) {
		if a.epoch != epoch {
			// The process that made the call has ended.
			return
		}
		a.run(0, func() {
			if !finished {
				finished = true
				done(o)
			}
		})
	}
	k := a.worker
	sentTo := k.life
	connected := born == anyInstance || k.alive && k.born == born
	if waits := !connected && !k.alive && a.w.heldListeners; waits {
		// The question for the instance waits in the backlog, and nothing is sent after it.
		a.after(timeout, func() { deliver(noConnection) })
		return
	}
	a.after(timeout, func() { deliver(unanswered) })
	a.after(a.between(100*time.Microsecond, 500*time.Microsecond), func() {
		none := func() {}
		switch {
		case connected && born != anyInstance && (!k.alive || k.life != sentTo):
			deliver(closed)
			return
		case connected && !k.alive && a.w.heldListeners:
			k.backlog = append(k.backlog, func() { exec(k, func() { deliver(answered) }, none) })
			return
		case !k.alive:
			deliver(refused)
			return
		case !connected:
			deliver(otherInstance)
			return
		}
		life := k.life
		if !a.chance(k.lossy) {
			exec(k, func() {
				d := a.between(100*time.Microsecond, time.Millisecond)
				if a.w.slowAnswers {
					d = a.between(100*time.Microsecond, 45*ms)
				}
				a.after(d, func() { deliver(answered) })
			}, func() { deliver(closed) })
			return
		}
		switch a.random.IntN(4) {
		case 0:
			// Not carried out.
		case 1:
			exec(k, none, none)
		case 2:
			exec(k, none, none)
			deliver(closed)
		case 3:
			late := a.between(10*ms, 400*ms)
			if a.chance(0.3) {
				late = a.between(10*ms, 5*time.Second)
			}
			a.after(late, func() {
				if k.alive && (k.life == life || a.w.callsCrossLives) {
					k.execLate, k.execFormer = true, k.life != life
					exec(k, none, none)
					k.execLate, k.execFormer = false, false
				}
			})
		}
	})
}

// announced handles a heartbeat of the worker.
func (a *agent) announced(an runner.Announcement) {
	a.run(0, func() {
		a.post(func(now time.Duration) {
			if a.state.WorkerAnnounced(now, an) == runner.AnnouncementUnidentified {
				began := a.now
				a.run(0, func() { a.identify(an, began) })
			}
		})
	})
}

func (a *agent) identify(an runner.Announcement, began time.Duration) {
	calledAt := a.now
	isInstance, born := false, int64(0)
	a.call(anyInstance, identifyCall, func(k *worker, reply, _ func()) {
		isInstance, born = k.id == an.ID, k.born
		reply()
	}, func(o outcome) {
		switch {
		case o == answered:
			if !isInstance {
				born = 0
			}
			a.post(func(now time.Duration) { a.state.WorkerIdentified(now, an, isInstance, born) })
		case a.now-began < identifyTimeout:
			a.run(minCallInterval-(a.now-calledAt), func() { a.identify(an, began) })
		}
	})
}

// accept serves a connection from an entry.
func (a *agent) accept(e *end) {
	var id runner.ConnID
	greeted := false
	e.received = func(m any) {
		switch m := m.(type) {
		case nil:
			e.close()
			if greeted {
				a.post(func(now time.Duration) {
					a.state.EntryDisconnected(now, id, "closed")
					delete(a.conns, id)
				})
			}
		case *link.Hello:
			greeted = true
			e.send(&link.Welcome{Incarnation: a.incarnation, ClockMS: a.now.Milliseconds()})
			e.paused = true
			a.post(func(now time.Duration) {
				a.lastConn++
				id = a.lastConn
				a.conns[id] = e
				a.state.EntryConnected(now, id, *m)
				e.paused = false
				e.read()
			})
		case *link.Commands:
			a.post(func(now time.Duration) {
				if len(m.Starts) > 0 && (e.gone || e.closed) {
					m.Starts = nil
				}
				for i := range m.Starts {
					from := startKey{e.peer().p.name + ">" + a.name, runKey{m.Starts[i].Task, m.Starts[i].Attempt}}
					info := a.w.starts[from]
					info.handled = now
					a.w.starts[startKey{a.name, from.runKey}] = info
					a.w.note(m.Starts[i].Task.Job, a.name, "start of %v attempt %d from %s handled", m.Starts[i].Task, m.Starts[i].Attempt, e.peer().p.name)
				}
				a.state.HandleCommands(now, id, m)
			})
		}
	}
	// The connection may be closed before its Hello was read.
	a.run(time.Second, func() {
		if !greeted {
			e.close()
		}
	})
}

func (a *agent) kill() {
	for _, c := range a.w.conns {
		if e := c.ends[agentSide]; e.p == &a.process && e.epoch == a.epoch {
			e.close()
		}
	}
	a.end()
}
