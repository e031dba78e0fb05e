package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// leaveReviewInterval is the time between two reviews of the tasks on leaving workers
	// while no report tells more: free capacity may have come up elsewhere.
	leaveReviewInterval = 60 * time.Millisecond
	// nearMiss is by how much the predicted end of a task may miss the time that its worker
	// stays, and the task is left there if a move would bring it in later. The time is a
	// minimum, and predictions from the progress are off by about the interval of 100 ms
	// between two lists of runs.
	nearMiss = 100 * time.Millisecond
)

// noteLeaves records from a report until when the worker stays, and has its tasks reviewed.
// Starts that have not been sent are withdrawn; those that have are refused by the agent or
// answered within milliseconds, and their tasks are reviewed then.
func (s *Scheduler) noteLeaves(now time.Duration, w *worker, r *link.Report) {
	leavesAt := time.Duration(0)
	if r.LeavesMS > 0 {
		leavesAt = now + time.Duration(min(r.LeavesMS, maxLeavesMS))*time.Millisecond
	}
	if leavesAt > 0 && (w.leavesAt == 0 || leavesAt < w.leavesAt-nearMiss) {
		s.log(decisions.Info("worker announced when it leaves", "worker", w.name, "leaves_in_ms", r.LeavesMS, "tasks", len(w.tasks)))
		s.nextLeaveReview = now
		s.replaceUnsentStarts(now, w)
	}
	switch {
	case leavesAt > 0:
		for _, t := range w.tasks {
			t.onLeaving = true
		}
	case w.leavesAt > 0 && r.Accepting && r.Worker == nil:
		// The same instance takes starts again: it stays.
		for _, t := range w.tasks {
			t.onLeaving = false
		}
	}
	w.leavesAt = leavesAt
}

// maxLeavesMS bounds link.Report.LeavesMS, so that times stay within their range.
const maxLeavesMS = int64(24 * time.Hour / time.Millisecond)

// reviewLeaving moves tasks that leaving workers can't finish: first those that can still be
// on time elsewhere, then those that end there before their caller stops waiting.
func (s *Scheduler) reviewLeaving(now time.Duration) {
	if now < s.nextLeaveReview {
		return
	}
	s.nextLeaveReview = now + leaveReviewInterval
	var tasks []*task
	for _, w := range s.workersByName {
		if w.leavesAt == 0 || !w.connected {
			continue
		}
		for _, t := range w.tasks {
			if t.phase == running && t.moves < maxMoves && s.predictEnd(now, t) > w.leavesAt-moveCost {
				tasks = append(tasks, t)
			}
		}
	}
	if len(tasks) == 0 {
		return
	}
	promised := s.promisedCapacity()
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.dueAt, b.job.dueAt), strings.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
	answered := func(j *job) time.Duration { return j.Deadline - answerMargin }
	tasks = s.moveLeaving(now, tasks, promised, func(j *job) time.Duration { return min(j.dueAt, answered(j)) })
	s.moveLeaving(now, tasks, promised, answered)
}

// promisedCapacity returns the capacity that moved tasks will take on each worker. Their
// former attempts are being stopped, or have ended and the tasks wait for a start.
func (s *Scheduler) promisedCapacity() map[*worker]link.Resources {
	promised := map[*worker]link.Resources{}
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if t.promised() {
				promised[t.movesTo] = promised[t.movesTo].Add(t.step().Need)
			}
		}
	}
	return promised
}

// promised reports whether capacity of the worker movesTo is kept for the task.
func (t *task) promised() bool {
	return t.movesTo != nil && (t.phase == stopping || t.phase == ready)
}

// moveLeaving moves those of the tasks that another worker with free capacity ends by the
// given limit of their job, and returns the others.
func (s *Scheduler) moveLeaving(now time.Duration, tasks []*task, promised map[*worker]link.Resources, limit func(j *job) time.Duration) (left []*task) {
	misses := 0
	for _, t := range tasks {
		if misses >= maxPlacementMisses {
			left = append(left, t)
			continue
		}
		latest := limit(t.job)
		if here := s.predictEnd(now, t); here <= t.worker.leavesAt-moveCost+nearMiss {
			latest = min(latest, here)
		}
		if now+moveCost+s.runTimeAtSpeed(now, t, s.maxSpeed(t.job.Service)) > latest {
			// Not even the fastest worker will do.
			left = append(left, t)
			continue
		}
		other, end := s.soonestElsewhere(now, t, promised)
		if other == nil {
			misses++
		} else {
			misses = 0
		}
		if other == nil || end > latest {
			left = append(left, t)
			continue
		}
		s.moveFromLeaving(now, t, other, end)
		promised[other] = promised[other].Add(t.step().Need)
	}
	return left
}

func (s *Scheduler) moveFromLeaving(now time.Duration, t *task, other *worker, end time.Duration) {
	s.log(decisions.Info("task moved from a leaving worker", "job", t.id.Job, "task", t.describe(), "from", t.worker.name, "to", other.name,
		"percent", t.percent, "remaining_ms", boundedMS(s.predictEnd(now, t)-now), "leaves_in_ms", (t.worker.leavesAt - now).Milliseconds(),
		"elsewhere_ms", (end - now).Milliseconds(), "on_time_ms", (t.job.dueAt - now).Milliseconds()))
	s.leaveMoves++
	s.stopToMove(now, t, other)
}

// boundedMS returns a time in milliseconds, -1 for one that never comes.
func boundedMS(d time.Duration) int64 {
	if d > time.Hour {
		return -1
	}
	return d.Milliseconds()
}

// predictEnd returns when a running task will end on its worker: by its progress if that is
// known, else by its estimate and the worker's speed. It is far off for a task that was
// reported as stalled; that no reports come tells nothing of the task.
func (s *Scheduler) predictEnd(now time.Duration, t *task) time.Duration {
	switch {
	case t.progressHeardAt-t.progressAt >= stallTimeout:
		return math.MaxInt64
	case t.remaining >= 0:
		return t.progressAt + t.remaining
	}
	return t.startedAt + s.predictRunTime(t, t.worker)
}

// soonestElsewhere returns the worker with free capacity beside what is promised that ends a
// task first, apart from its own, and when; nil if there is none.
func (s *Scheduler) soonestElsewhere(now time.Duration, t *task, promised map[*worker]link.Resources) (best *worker, end time.Duration) {
	eligible := false
	lowest := 0.0
	for _, w := range s.workersByName {
		if w == t.worker || w.leavesAt > 0 || !w.usable(t.job.Service) || !s.eligible(t, w) {
			continue
		}
		eligible = true
		if now < w.backoffUntil || !t.step().Need.FitsIn(w.available().Sub(promised[w])) || !t.fitsBesidePromised(w) {
			continue
		}
		runTime := max(s.predictRunTime(t, w), s.runTimeAtSpeed(now, t, w.speed))
		if cost := s.cost(t, w, runTime); best == nil || cost < lowest {
			best, lowest, end = w, cost, now+moveCost+runTime
		}
	}
	if !eligible {
		s.activateEligible(now, t)
	}
	return best, end
}

// fitsBesidePromised reports whether the tasks of the step on a worker, and those that will
// start there after their move, leave one for t by Step.MaxPerWorker.
func (t *task) fitsBesidePromised(w *worker) bool {
	limit := t.step().MaxPerWorker
	if limit == 0 {
		return true
	}
	n := 0
	for _, other := range t.job.tasks {
		if other.id.Step == t.id.Step && (w.tasks[other.id] == other || other.promised() && other.movesTo == w) {
			n++
		}
	}
	return n < limit
}

// runTimeAtSpeed returns the run time of a running task on another worker of some speed. A
// task that runs longer than declared is assumed to do so there too.
func (s *Scheduler) runTimeAtSpeed(now time.Duration, t *task, speed float64) time.Duration {
	speed = max(speed, minSpeed)
	runTime := float64(t.step().Estimate) / speed
	if end := s.predictEnd(now, t); t.percent > 0 && end < math.MaxInt64 {
		runTime = max(runTime, float64(end-t.startedAt)*max(t.worker.speed, minSpeed)/speed)
	}
	return time.Duration(runTime)
}
