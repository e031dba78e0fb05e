package model

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

const (
	// maxStopTime is the longest time that a worker takes to stop a run.
	maxStopTime = 50 * time.Millisecond
	// bornBase is the start of the workers' clocks, in milliseconds.
	bornBase = 1_000_000
	// maxListedEnds is the number of ended runs that a worker lists.
	maxListedEnds = 256
)

type runID struct {
	task    link.TaskID
	attempt uint32
}

// workerRun is a run on a worker.
type workerRun struct {
	id   runID
	need link.Resources
	// total is the run time on a worker of speed 1; remaining is what was left of it at
	// updatedAt.
	total, remaining float64
	kind             string
	updatedAt        time.Duration
	failed           bool
	stopping         bool
	// ending counts the times at which the end was computed anew.
	ending int
}

// hold is a renewal that waits for the end of a run.
type hold struct {
	lastEndNumber uint64
	reply         func(now time.Duration, reply *runner.RenewReply)
	answered      bool
}

// worker is a simulated worker.
type worker struct {
	sim      *simulation
	agent    *agent
	random   *rand.Rand
	capacity link.Resources
	speed    float64
	alive    bool
	// silent says that a worker that isn't alive doesn't refuse connections.
	silent bool
	life   int
	born   int64
	// free is the capacity that no run holds.
	free link.Resources
	runs map[runID]*workerRun
	// kinds counts the runs of each kind, if the scenario has interference.
	kinds     map[string]int
	highest   map[link.TaskID]uint32
	ended     []runner.ListedEnd
	endNumber uint64
	holds     []*hold
	// leaseUntil is by the worker's clock. leaseChecked says that checkLease is scheduled.
	leaseUntil   int64
	leaseChecked bool
	// Faults in effect.
	slowdown      float64
	failureShare  float64
	hanging       int
	lossShare     float64
	leaving       bool
	announcements uint64
	// segments are the periods in which the worker was sound.
	segments []segment
}

func (w *worker) clock(now time.Duration) int64 { return bornBase + now.Milliseconds() }

// startWorker starts a new instance of a worker.
func (s *simulation) startWorker(now time.Duration, w *worker) {
	w.life++
	w.alive, w.silent, w.leaving, w.born = true, false, false, w.clock(now)
	w.free = w.capacity
	w.runs, w.kinds, w.highest = map[runID]*workerRun{}, map[string]int{}, map[link.TaskID]uint32{}
	w.ended, w.endNumber, w.holds, w.leaseUntil, w.leaseChecked = nil, 0, nil, 0, false
	s.noteWorker(now, w)
	w.announceEvery(now+callLatency, w.life)
}

func (w *worker) announceEvery(t time.Duration, life int) {
	w.sim.engine.at(t, func(now time.Duration) {
		if w.alive && w.life == life {
			w.announce(now)
			w.announceEvery(now+announceInterval, life)
		}
	})
}

func (w *worker) announce(now time.Duration) {
	w.announcements++
	w.agent.announce(now+callLatency, runner.Announcement{
		ID: w.agent.name + "-" + string(rune('a'+w.life%26)), Born: w.born, Sequence: w.announcements, Service: service,
		Zone: w.agent.zone, Capacity: w.capacity, Draining: w.leaving,
	})
}

// endWorker ends a worker with all its runs.
func (w *worker) endWorker(now time.Duration, silent bool) {
	for _, r := range w.runs {
		w.sim.jobs[r.id.task.Job].running[r.id.task.Index]--
		w.sim.runsLost++
	}
	w.alive, w.silent, w.runs, w.holds = false, silent, nil, nil
	w.sim.noteWorker(now, w)
}

// rate is the progress per unit of time of a run without interference.
func (w *worker) rate() float64 {
	if w.hanging > 0 {
		return 0
	}
	return w.speed / w.slowdown
}

// runRate is the progress of a run per unit of time.
func (w *worker) runRate(r *workerRun) float64 {
	rate := w.rate()
	for _, i := range w.sim.scenario.Interference {
		beside := w.kinds[i.Neighbor]
		if i.Neighbor == r.kind {
			beside--
		}
		if i.Kind == r.kind && beside > 0 {
			rate /= i.Factor
		}
	}
	return rate
}

// countKind counts a run that begins or ends, which may change the rate of others.
func (w *worker) countKind(now time.Duration, kind string, change int) {
	if len(w.sim.scenario.Interference) == 0 {
		return
	}
	w.changeRuns(now, func() { w.kinds[kind] += change })
}

func (w *worker) startRun(now time.Duration, c runner.StartCall) runner.StartResult {
	id := runID{c.Task, c.Attempt}
	switch {
	case w.leaving:
		return runner.StartRefused
	case c.LeaseUntil < w.clock(now):
		return runner.StartLeaseExpired
	case w.runs[id] != nil:
		return runner.StartOK
	case w.highest[c.Task] >= c.Attempt:
		return runner.StartOutdated
	}
	j := w.sim.jobs[c.Task.Job]
	need := j.spec.need
	if !need.FitsIn(w.free) {
		return runner.StartNoCapacity
	}
	w.highest[c.Task] = c.Attempt
	w.free = w.free.Sub(need)
	w.leaseUntil = max(w.leaseUntil, c.LeaseUntil)
	total := float64(j.spec.work[c.Task.Index])
	r := &workerRun{id: id, need: need, total: total, remaining: total, kind: j.spec.kind.Name, updatedAt: now}
	r.failed = w.random.Float64() < w.failureShare || j.spec.alwaysFails || c.Attempt == 1 && j.spec.failsOnce[c.Task.Index]
	if r.failed {
		// A task that fails does so before its end.
		r.remaining *= w.random.Float64()
	}
	w.countKind(now, r.kind, 1)
	w.runs[id] = r
	w.sim.runStarted(now, j, c)
	w.scheduleEnd(now, r)
	w.checkLease(now)
	return runner.StartOK
}

// scheduleEnd computes the end of a run from its present rate.
func (w *worker) scheduleEnd(now time.Duration, r *workerRun) {
	r.ending++
	rate := w.runRate(r)
	if rate <= 0 || r.stopping {
		return
	}
	ending, life := r.ending, w.life
	w.sim.engine.at(now+time.Duration(r.remaining/rate), func(now time.Duration) {
		if w.alive && w.life == life && w.runs[r.id] == r && r.ending == ending {
			w.finish(now, r, reportedEnd(r.failed))
		}
	})
}

// changeRate applies a change of the faults that determine rate.
func (w *worker) changeRate(now time.Duration, change func()) {
	w.changeRuns(now, func() {
		change()
		w.sim.noteWorker(now, w)
	})
}

// changeRuns applies a change of runRate.
func (w *worker) changeRuns(now time.Duration, change func()) {
	runs := w.sortedRuns()
	for _, r := range runs {
		r.remaining = max(r.remaining-float64(now-r.updatedAt)*w.runRate(r), 0)
		r.updatedAt = now
	}
	change()
	for _, r := range runs {
		w.scheduleEnd(now, r)
	}
}

func (w *worker) sortedRuns() []*workerRun {
	runs := make([]*workerRun, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *workerRun) int {
		return cmp.Or(cmp.Compare(a.id.task.Job, b.id.task.Job), cmp.Compare(a.id.task.Index, b.id.task.Index), cmp.Compare(a.id.attempt, b.id.attempt))
	})
	return runs
}

func (w *worker) finish(now time.Duration, r *workerRun, outcome uint8) {
	delete(w.runs, r.id)
	w.free = w.free.Add(r.need)
	w.endNumber++
	w.ended = append(w.ended, runner.ListedEnd{Number: w.endNumber, Task: r.id.task, Attempt: r.id.attempt, Outcome: outcome})
	if len(w.ended) > maxListedEnds {
		w.ended = slices.Clone(w.ended[len(w.ended)-maxListedEnds/2:])
	}
	w.sim.runEnded(now, w, r, outcome)
	w.countKind(now, r.kind, -1)
	for _, h := range w.holds {
		w.answerHold(now, h)
	}
	w.holds = nil
}

func (w *worker) stopRun(now time.Duration, c runner.StopCall) {
	// A stopped task can't start with this attempt any more.
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	r := w.runs[runID{c.Task, c.Attempt}]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	r.ending++
	life := w.life
	w.sim.engine.at(now+time.Duration(w.random.Float64()*float64(maxStopTime)), func(now time.Duration) {
		if w.alive && w.life == life && w.runs[r.id] == r {
			w.finish(now, r, link.Stopped)
		}
	})
}

// renew renews the lease and answers when a run has ended that the agent doesn't know of,
// at the latest after MaxWait.
func (w *worker) renew(now time.Duration, c runner.RenewCall, reply func(now time.Duration, reply *runner.RenewReply)) {
	w.leaseUntil = max(w.leaseUntil, c.LeaseUntil)
	h := &hold{lastEndNumber: c.LastEndNumber, reply: reply}
	if w.endNumber > c.LastEndNumber || c.MaxWait == 0 {
		w.answerHold(now, h)
		return
	}
	w.holds = append(w.holds, h)
	life := w.life
	w.sim.engine.at(now+c.MaxWait, func(now time.Duration) {
		if w.alive && w.life == life && !h.answered {
			w.holds = slices.DeleteFunc(w.holds, func(o *hold) bool { return o == h })
			w.answerHold(now, h)
		}
	})
}

func (w *worker) answerHold(now time.Duration, h *hold) {
	if h.answered {
		return
	}
	h.answered = true
	reply := &runner.RenewReply{Clock: w.clock(now), Born: w.born}
	for _, r := range w.sortedRuns() {
		remaining := r.remaining - float64(now-r.updatedAt)*w.runRate(r)
		percent := 100 * (1 - max(remaining, 0)/r.total)
		reply.Running = append(reply.Running, runner.ListedRun{Task: r.id.task, Attempt: r.id.attempt, Percent: uint8(min(max(percent, 0), 99))})
	}
	for _, e := range w.ended {
		if e.Number > h.lastEndNumber {
			reply.Ended = append(reply.Ended, e)
		}
	}
	h.reply(now, reply)
}

// checkLease ends all runs when the lease has expired, as long as there are runs.
func (w *worker) checkLease(now time.Duration) {
	if w.leaseChecked {
		return
	}
	w.leaseChecked = true
	life, until := w.life, w.leaseUntil
	w.sim.engine.at(now+milliseconds(int(until-w.clock(now)))+time.Millisecond, func(now time.Duration) {
		if !w.alive || w.life != life {
			return
		}
		w.leaseChecked = false
		if w.leaseUntil <= until {
			for _, r := range w.sortedRuns() {
				w.finish(now, r, link.LeaseExpired)
			}
		}
		if len(w.runs) > 0 {
			w.checkLease(now)
		}
	})
}
