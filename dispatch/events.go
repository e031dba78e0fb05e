package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// Connected takes note of a connection to an agent. The attempts that were lost
// with an earlier connection are claimed.
func (s *State) Connected(now time.Duration, name string) {
	w := s.workers[name]
	if w == nil {
		w = &worker{name: name, speed: unknownSpeed, tasks: map[link.TaskID]*task{}}
		w.preference = preference(s.o.Seed, name)
		s.workers[name] = w
		s.byName = append(s.byName, w)
		slices.SortFunc(s.byName, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
	}
	w.connected, w.reported = true, false
	s.workersChanged()
	w.unanswered = link.Resources{}
	for _, t := range w.tasks {
		if t.phase == lost {
			o := s.order(w)
			o.Claims = append(o.Claims, link.Claim{
				Task: t.id, Attempt: t.attempt, Need: t.step().Need, EstimateMS: t.step().Estimate.Milliseconds(),
			})
		}
	}
	s.log(decisions.Info("agent connected", "worker", name, "claimed_tasks", len(w.tasks)))
}

// Disconnected takes note of a lost connection. Its attempts may be running
// until their lease has run out.
func (s *State) Disconnected(now time.Duration, name, why string) {
	w := s.workers[name]
	if w == nil || !w.connected {
		return
	}
	w.connected = false
	s.workersChanged()
	w.unanswered = link.Resources{}
	for id, t := range w.tasks {
		switch t.phase {
		case starting, running, stopping:
			t.phase, t.since, t.safeAt = lost, now, now+s.o.LossWait
			t.job.inDoubt = true
		default:
			delete(w.tasks, id)
		}
	}
	s.log(decisions.Warn("agent lost", "worker", name, "reason", why, "tasks_in_doubt", len(w.tasks),
		"safe_in_ms", s.o.LossWait.Milliseconds()))
}

// Forget drops an agent that has no row any more.
func (s *State) Forget(name string) {
	if w := s.workers[name]; w != nil && !w.connected && len(w.tasks) == 0 {
		delete(s.workers, name)
		s.byName = slices.DeleteFunc(s.byName, func(o *worker) bool { return o == w })
	}
}

// Reported takes note of an agent's report.
func (s *State) Reported(now time.Duration, name string, r *link.Report) {
	w := s.workers[name]
	if w == nil || !w.connected {
		return
	}
	if r.Worker != nil {
		w.state = *r.Worker
		s.log(decisions.Info("worker known", "worker", name, "life", w.state.ID, "service", w.state.Service,
			"milli_cpu", w.state.Capacity.MilliCPU, "accepting", r.Accepting))
	} else if w.reported && w.accepting != r.Accepting {
		s.log(decisions.Info("worker changed", "worker", name, "accepting", r.Accepting))
	}
	w.reported, w.accepting, w.free = true, r.Accepting, r.Free
	w.speed, w.failShare = max(float64(r.Speed), minSpeed), float64(r.FailShare)
	for i := range r.Answers {
		s.answered(now, w, &r.Answers[i])
	}
	for i := range r.Ends {
		s.ended(now, w, &r.Ends[i])
	}
	for i := range r.Progress {
		s.progressed(now, w, &r.Progress[i])
	}
	s.workersChanged()
}

// workersChanged takes note that room or speeds may be other ones.
func (s *State) workersChanged() {
	clear(s.fastest)
	s.changed = true
}

// current returns the task of an attempt, if it is the one in progress on w.
func current(w *worker, id link.TaskID, attempt uint32) *task {
	if t := w.tasks[id]; t != nil && t.attempt == attempt {
		return t
	}
	return nil
}

func (s *State) answered(now time.Duration, w *worker, a *link.StartAnswer) {
	t := current(w, a.Task, a.Attempt)
	if t == nil {
		return
	}
	if t.phase == starting {
		w.unanswered = w.unanswered.Sub(t.step().Need)
		t.phase = running
	}
	switch a.Result {
	case link.Started:
		t.job.ran = true
		if t.phase != stopping {
			t.phase = running
		}
		t.since, t.startedAt, t.progressAt = now, now, now
	case link.Unknown:
		// The attempt may be running until its lease ends.
		t.phase = lost
		t.safeAt = max(t.safeAt, t.since+s.o.LossWait)
	case link.Busy, link.Refused:
		// Nothing has seen this attempt, so its number is used again. The worker
		// is left alone for a moment: whatever made it refuse would do so again.
		t.attempt--
		w.blockedUntil = now + refusalPause
		s.again(now, t)
	case link.Outdated, link.Closed:
		// An attempt that is closed doesn't run any more, but it may have.
		t.job.inDoubt = true
		t.failedOn = append(t.failedOn, w.name)
		s.log(decisions.Info("start rejected", "job", t.id.Job, "task", t.describe(), "worker", w.name, "result", a.Result))
		s.again(now, t)
	}
}

// again makes a task ready whose attempt is over.
func (s *State) again(now time.Duration, t *task) {
	delete(t.worker.tasks, t.id)
	t.phase, t.since, t.worker = ready, now, nil
	s.enqueue(t.job)
}

func (s *State) ended(now time.Duration, w *worker, e *link.End) {
	t := current(w, e.Task, e.Attempt)
	if t == nil {
		return
	}
	s.detach(t)
	t.job.ran = true
	switch e.How {
	case link.Done:
		t.phase, t.since = done, now
		s.stepDone(now, t)
	case link.Failed:
		s.taskFailed(now, t, w)
	default:
		s.log(decisions.Info("attempt ended early", "job", t.id.Job, "task", t.describe(), "worker", w.name, "how", e.How, "ran_ms", e.RanMS))
		s.again(now, t)
	}
}

func (s *State) stepDone(now time.Duration, t *task) {
	j := t.job
	j.open[t.id.Step]--
	if j.open[t.id.Step] > 0 {
		return
	}
	for _, n := range j.open {
		if n > 0 {
			j.unblock()
			if j.hasReady() {
				s.enqueue(j)
			}
			return
		}
	}
	s.finish(now, j, &api.Verdict{Outcome: api.Complete, Ran: api.RanYes, Reason: api.ReasonOK})
}

// taskFailed counts a failure against the task, unless its worker fails most of
// what it runs: then the worker is at fault.
func (s *State) taskFailed(now time.Duration, t *task, w *worker) {
	t.failures++
	if w.failShare < failingShare {
		t.trustedFailures++
	}
	t.failedOn = append(t.failedOn, w.name)
	s.log(decisions.Info("task failed", "job", t.id.Job, "task", t.describe(), "worker", w.name,
		"worker_fail_share", w.failShare, "failures", t.failures, "counted", t.trustedFailures, "max_attempts", t.job.MaxAttempts))
	if t.trustedFailures >= max(t.job.MaxAttempts, 1) || t.failures >= maxFailures {
		t.phase = done
		s.finish(now, t.job, api.Fail(api.RanYes, api.ReasonTaskFailed,
			fmt.Sprintf("task %d of step %d failed %d times", t.id.Index, t.id.Step, t.failures)))
		return
	}
	s.again(now, t)
}

func (s *State) progressed(now time.Duration, w *worker, p *link.Progress) {
	t := current(w, p.Task, p.Attempt)
	if t == nil || t.phase != running {
		return
	}
	if p.Percent > t.percent {
		t.progressAt = now
	}
	t.percent = p.Percent
	t.remaining = time.Duration(p.RemainingMS) * time.Millisecond
	s.considerMove(now, t)
}

// considerMove stops a task that a slow worker would bring in late, if another
// worker with room finishes it sooner.
func (s *State) considerMove(now time.Duration, t *task) {
	if t.moves >= maxMoves || now-t.startedAt < stallTime/2 {
		return
	}
	remaining := t.remaining
	if now-t.progressAt >= stallTime {
		remaining = lateFactor * (t.job.objective - t.job.Arrived)
	} else if remaining < 0 {
		return
	}
	if now+remaining <= t.job.objective {
		return
	}
	other := s.pick(now, t)
	if other == nil || other == t.worker {
		return
	}
	// A task that is simply long is as long elsewhere, as far as the other
	// worker is no faster than this one.
	ratio := max(t.worker.speed, minSpeed) / max(other.speed, minSpeed)
	elsewhere := s.predict(t, other)
	if t.percent > 0 && now-t.progressAt < stallTime {
		whole := float64(now-t.startedAt) + float64(remaining)
		elsewhere = max(elsewhere, time.Duration(whole*ratio))
	}
	if float64(remaining) < moveGain*float64(elsewhere)+float64(moveCost) || now+elsewhere+moveCost > t.job.cutoff {
		return
	}
	s.log(decisions.Info("task moved", "job", t.id.Job, "task", t.describe(), "from", t.worker.name, "to", other.name,
		"percent", t.percent, "remaining_ms", remaining.Milliseconds(), "elsewhere_ms", elsewhere.Milliseconds(),
		"speed", t.worker.speed, "other_speed", other.speed))
	t.moves++
	t.phase, t.since = stopping, now
	o := s.order(t.worker)
	o.Stops = append(o.Stops, link.Stop{Task: t.id, Attempt: t.attempt})
}

// Tick deals with what passes with time: deadlines, lost attempts, stops without
// an answer.
func (s *State) Tick(now time.Duration) {
	for _, j := range s.jobs {
		s.tickJob(now, j)
	}
	s.changed = true
}

func (s *State) tickJob(now time.Duration, j *job) {
	if now >= j.Deadline-answerMargin {
		s.giveUp(now, j, "the deadline has passed")
		return
	}
	waiting := false
	for _, t := range j.tasks {
		switch t.phase {
		case lost:
			if now >= t.safeAt {
				s.log(decisions.Info("lost task starts again", "job", j.ID, "task", t.describe(), "lost_for_ms", (now - t.since).Milliseconds()))
				s.again(now, t)
				waiting = true
			}
		case stopping:
			if now-t.since >= stopTimeout {
				t.since = now
				o := s.order(t.worker)
				o.Stops = append(o.Stops, link.Stop{Task: t.id, Attempt: t.attempt})
			}
		case ready:
			waiting = true
		}
	}
	if !waiting {
		return
	}
	limit := j.Deadline - answerMargin
	if !j.ran {
		limit = j.cutoff
	}
	if !j.ran && s.standing(now, j) == late && s.crowded(now, j.Service) {
		// Room goes to jobs that can be on time, so that the caller had better
		// come back.
		s.giveUp(now, j, "no worker had room in time, and others wait")
		return
	}
	if now+s.quickest(j) > limit {
		s.giveUp(now, j, "no worker has room in time")
	}
}

// giveUp answers a job that can't be completed in time any more.
func (s *State) giveUp(now time.Duration, j *job, why string) {
	if ran := j.mayHave(); ran != api.RanNo {
		s.finish(now, j, api.Fail(ran, api.ReasonDeadlineExceeded, why))
		return
	}
	s.finish(now, j, s.overloaded(s.expectedWait(now, j), why))
}

// Suspended takes note that the process didn't run for some time. Callers may
// have gone and submitted their jobs elsewhere, so that nothing of the earlier
// jobs may start any more.
func (s *State) Suspended(now time.Duration, gap time.Duration) {
	for _, j := range s.jobs {
		s.giveUp(now, j, "the entry was suspended")
	}
	s.log(decisions.Warn("process was suspended", "gap_ms", gap.Milliseconds()))
}
