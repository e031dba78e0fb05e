package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// AgentConnected records a new connection to an agent. It claims the attempts
// that were lost with an earlier connection. incarnation is that of the agent's process.
func (s *Scheduler) AgentConnected(now time.Duration, name string, incarnation uint64) {
	// A connection that is still recorded has ended: an agent has one connection.
	s.AgentDisconnected(now, name, "replaced by a newer connection")
	w := s.workers[name]
	if w == nil {
		w = &worker{name: name, speed: initialSpeed, tasks: map[link.TaskID]*task{}}
		w.preference = preference(s.opts.Seed, name)
		s.workers[name] = w
		s.workersByName = append(s.workersByName, w)
		slices.SortFunc(s.workersByName, func(a, b *worker) int { return strings.Compare(a.name, b.name) })
		s.byActivation = nil
	}
	w.connected, w.reported, w.zoneReported, w.active, w.activeSince, w.lastAvailable, w.leavesAt = true, false, false, true, now, now, 0
	w.incarnation = incarnation
	s.workersChanged()
	s.passOnSpeed(now, w)
	s.askForKinds(w)
	w.unconfirmed = link.Resources{}
	for _, t := range w.sortedTasks() {
		if t.phase == lost {
			t.claimed = true
			c := s.command(w)
			c.Claims = append(c.Claims, link.Claim{
				Task: t.id, Attempt: t.attempt, Need: t.step().Need, EstimateMS: t.step().Estimate.Milliseconds(),
				DueMS: (t.job.dueAt - now).Milliseconds(), Kind: t.job.Queue,
			})
		}
	}
	s.log(decisions.Info("agent connected", "worker", name, "claimed_tasks", len(w.tasks)))
}

// sortedTasks returns the tasks at the agent, sorted by ID.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int {
		return cmp.Or(strings.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index))
	})
}

// AgentDisconnected records the loss of a connection. Attempts at the agent may
// keep running until their lease has expired.
func (s *Scheduler) AgentDisconnected(now time.Duration, name, cause string) {
	w := s.workers[name]
	if w == nil || !w.connected {
		return
	}
	if w.accepting {
		w.lastAvailable = now
	}
	w.connected = false
	s.workersChanged()
	w.unconfirmed = link.Resources{}
	for _, t := range w.sortedTasks() {
		if t.phase == starting && s.withdrawStart(t) {
			// Sent over the next connection, after the claim, it would begin a run that
			// the agent has just said is not there.
			t.attempt--
			s.requeue(now, t)
		}
	}
	// Commands are for the connection on which they were issued.
	delete(s.commands, name)
	for id, t := range w.tasks {
		switch t.phase {
		case starting, running, stopping, lost:
			// Also if the claim of an earlier loss was not answered: the agent may have
			// taken it, and renewed the lease until now.
			t.phase, t.phaseSince, t.leaseExpiresAt, t.claimed = lost, now, now+s.opts.RestartDelay, false
			t.job.inDoubt = true
		default:
			delete(w.tasks, id)
		}
	}
	s.log(decisions.Warn("agent connection lost", "worker", name, "reason", cause, "tasks_in_doubt", len(w.tasks),
		"safe_in_ms", s.opts.RestartDelay.Milliseconds()))
}

// RemoveAgent removes an agent that is no longer in the directory, unless it is
// connected or may still run tasks.
func (s *Scheduler) RemoveAgent(name string) {
	if w := s.workers[name]; w != nil && !w.connected && len(w.tasks) == 0 {
		delete(s.workers, name)
		s.workersByName = slices.DeleteFunc(s.workersByName, func(o *worker) bool { return o == w })
		s.byActivation = nil
		s.workersChanged()
	}
}

// AgentReported applies a report of an agent.
func (s *Scheduler) AgentReported(now time.Duration, name string, r *link.Report) {
	w := s.workers[name]
	if w == nil || !w.connected {
		return
	}
	if r.Worker != nil {
		w.state, s.workerStateAt = *r.Worker, now
		s.replaceUnsentStarts(now, w)
		s.zoneReported(now, w)
		s.byActivation = nil
		s.log(decisions.Info("worker state received", "worker", name, "life", w.state.ID, "service", w.state.Service,
			"milli_cpu", w.state.Capacity.MilliCPU, "accepting", r.Accepting))
	} else if w.reported && w.accepting != r.Accepting {
		s.log(decisions.Info("worker changed whether it accepts tasks", "worker", name, "accepting", r.Accepting))
	}
	if w.accepting && !r.Accepting {
		w.lastAvailable = now
	}
	w.reported, w.accepting, w.free, w.reportedAt = true, r.Accepting, r.Free, now
	w.speed, w.failureRate = clamp(r.Speed, minSpeed, maxReportedSpeed), clamp(r.FailureRate, 0, 1)
	w.noteSpeed(now, r)
	s.contentionReported(now, w, r)
	for i := range r.Answers {
		s.startAnswered(now, w, &r.Answers[i])
	}
	for i := range r.Ends {
		s.attemptEnded(now, w, &r.Ends[i])
	}
	s.noteLeaves(now, w, r)
	for i := range r.Progress {
		s.taskProgressed(now, w, &r.Progress[i])
	}
	s.workersChanged()
}

// replaceUnsentStarts makes the tasks ready again that were placed on a worker, for which it
// may not be fit any more, and whose starts have not been sent.
func (s *Scheduler) replaceUnsentStarts(now time.Duration, w *worker) {
	for _, t := range w.sortedTasks() {
		if t.phase == starting && s.withdrawStart(t) {
			w.unconfirmed = w.unconfirmed.Sub(t.step().Need)
			t.attempt--
			s.requeue(now, t)
		}
	}
}

// clamp returns a reported value within its limits. The lower one also replaces a value
// that is not a number.
func clamp(reported float32, low, high float64) float64 {
	v := float64(reported)
	if !(v > low) {
		return low
	}
	return min(v, high)
}

// workersChanged clears the cached speeds and requests a placement of waiting
// tasks, after workers may have changed in capacity, speed or connection.
func (s *Scheduler) workersChanged() {
	clear(s.maxSpeeds)
	clear(s.largestCapacities)
	clear(s.spareWorkers)
	clear(s.evacuation.runnableUntil)
	s.placementDue = true
}

// taskOfAttempt returns the task of an attempt if that attempt is the one in
// progress on w, and nil otherwise.
func taskOfAttempt(w *worker, id link.TaskID, attempt uint32) *task {
	if t := w.tasks[id]; t != nil && t.attempt == attempt {
		return t
	}
	return nil
}

func (s *Scheduler) startAnswered(now time.Duration, w *worker, a *link.StartAnswer) {
	t := taskOfAttempt(w, a.Task, a.Attempt)
	if t == nil {
		return
	}
	if t.phase == starting {
		w.unconfirmed = w.unconfirmed.Sub(t.step().Need)
		t.phase = running
	}
	t.claimed = false
	switch a.Result {
	case link.Started:
		t.job.started = true
		t.phaseSince, t.progressHeardAt = now, t.progressAt
		if !t.confirmed {
			// The answer to the claim of an attempt that was confirmed before tells nothing
			// of when it began.
			t.confirmed, t.startedAt, t.progressAt, t.progressHeardAt = true, now, now, now
		}
		switch {
		case t.phase == lost && t.movesTo != nil:
			// The stop may have been lost with the connection.
			s.sendStop(now, t)
		case t.phase != stopping:
			t.phase = running
		}
	case link.Unknown:
		// The attempt may be running until its lease expires.
		t.phase = lost
		t.leaseExpiresAt = max(t.leaseExpiresAt, t.phaseSince+s.opts.RestartDelay)
	case link.Busy, link.Refused:
		// The agent did not take this attempt, so its number is used again. The
		// worker gets no start for refusalBackoff, since the cause of the refusal is
		// likely to persist.
		t.attempt--
		s.refusedStarts++
		w.backoffUntil = now + refusalBackoff
		s.requeue(now, t)
	case link.Outdated, link.NotRunning:
		// The attempt is not running and never will, but it may have run.
		t.job.inDoubt = true
		t.failedOn = append(t.failedOn, w.name)
		s.log(decisions.Info("start rejected", "job", t.id.Job, "task", t.describe(), "worker", w.name, "result", a.Result))
		s.requeue(now, t)
	}
}

// requeue makes a task ready again after its attempt has ended.
func (s *Scheduler) requeue(now time.Duration, t *task) {
	delete(t.worker.tasks, t.id)
	t.phase, t.phaseSince, t.worker = ready, now, nil
	s.enqueue(t.job)
}

func (s *Scheduler) attemptEnded(now time.Duration, w *worker, e *link.End) {
	t := taskOfAttempt(w, e.Task, e.Attempt)
	if t == nil {
		return
	}
	s.detach(t)
	t.job.started = true
	switch e.Outcome {
	case link.Done:
		t.phase, t.phaseSince = done, now
		s.taskDone(now, t)
	case link.Failed:
		s.taskFailed(now, t, w)
	default:
		if t.onLeaving && e.Outcome != link.Stopped {
			s.leaveLosses++
		}
		s.log(decisions.Info("attempt ended early", "job", t.id.Job, "task", t.describe(), "worker", w.name, "how", e.Outcome, "ran_ms", e.RanMS))
		s.requeue(now, t)
	}
}

func (s *Scheduler) taskDone(now time.Duration, t *task) {
	j := t.job
	j.unfinished[t.id.Step]--
	if j.unfinished[t.id.Step] > 0 {
		return
	}
	for _, n := range j.unfinished {
		if n > 0 {
			j.unblock()
			if j.hasReadyTasks() {
				s.enqueue(j)
			}
			return
		}
	}
	s.finish(now, j, &api.Verdict{Outcome: api.Complete, Ran: api.RanYes, Reason: api.ReasonOK})
}

// taskFailed requeues a task that failed, or fails its job after too many
// failures. A failure is attributed to the worker, and does not count against
// MaxAttempts, if the worker's failure rate is at least failingWorkerRate.
func (s *Scheduler) taskFailed(now time.Duration, t *task, w *worker) {
	t.failures++
	if w.failureRate < failingWorkerRate {
		t.countedFailures++
	}
	t.failedOn = append(t.failedOn, w.name)
	s.log(decisions.Info("task failed", "job", t.id.Job, "task", t.describe(), "worker", w.name,
		"worker_fail_share", w.failureRate, "failures", t.failures, "counted", t.countedFailures, "max_attempts", t.job.MaxAttempts))
	if t.countedFailures >= max(t.job.MaxAttempts, 1) || t.failures >= maxTaskFailures {
		t.phase, t.phaseSince = failed, now
		s.finish(now, t.job, api.Fail(api.RanYes, api.ReasonTaskFailed,
			fmt.Sprintf("task %d of step %d failed %d times", t.id.Index, t.id.Step, t.failures)))
		return
	}
	s.requeue(now, t)
}

func (s *Scheduler) taskProgressed(now time.Duration, w *worker, p *link.Progress) {
	t := taskOfAttempt(w, p.Task, p.Attempt)
	if t == nil || t.phase != running {
		return
	}
	t.progressAt = max(t.progressAt, now-time.Duration(p.IdleMS)*time.Millisecond)
	t.percent, t.progressHeardAt = p.Percent, now
	t.remaining = time.Duration(p.RemainingMS) * time.Millisecond
	s.moveIfLate(now, t)
}

// moveIfLate stops a task that its worker would finish late, if another worker
// with free capacity would finish it sooner. A stalled task is assumed to need
// until after the cutoff. On a leaving worker, only reviewLeaving moves tasks.
func (s *Scheduler) moveIfLate(now time.Duration, t *task) {
	if t.moves >= maxMoves || now-t.startedAt < stallTimeout/2 || t.worker.leavesAt > 0 {
		return
	}
	remaining := t.remaining
	if now-t.progressAt >= stallTimeout {
		remaining = cutoffFactor * (t.job.dueAt - t.job.ReceivedAt)
	} else if remaining < 0 {
		return
	}
	if now+remaining <= t.job.dueAt {
		return
	}
	other := s.pickWorker(now, t)
	if other == nil || other == t.worker {
		return
	}
	// A task that runs longer than declared is assumed to do so on the other worker
	// too, scaled by the ratio of the two speeds.
	ratio := max(t.worker.speed, minSpeed) / max(other.speed, minSpeed)
	otherRunTime := s.predictRunTime(t, other)
	if t.percent > 0 && now-t.progressAt < stallTimeout {
		total := float64(now-t.startedAt) + float64(remaining)
		otherRunTime = max(otherRunTime, time.Duration(total*ratio))
	}
	if float64(remaining) < s.opts.Policy.MinMoveGain*float64(otherRunTime)+float64(moveCost) || now+otherRunTime+moveCost > t.job.cutoff {
		return
	}
	if s.staysOnSpare(now, t, remaining, otherRunTime) {
		return
	}
	s.log(decisions.Info("task moved", "job", t.id.Job, "task", t.describe(), "from", t.worker.name, "to", other.name,
		"percent", t.percent, "remaining_ms", remaining.Milliseconds(), "elsewhere_ms", otherRunTime.Milliseconds(),
		"speed", t.worker.speed, "other_speed", other.speed))
	s.stopToMove(now, t, other)
}

// stopToMove stops a running task so that it can start on another worker.
func (s *Scheduler) stopToMove(now time.Duration, t *task, other *worker) {
	t.moves++
	t.movesTo = other
	s.sendStop(now, t)
}

func (s *Scheduler) sendStop(now time.Duration, t *task) {
	t.phase, t.phaseSince = stopping, now
	c := s.command(t.worker)
	c.Stops = append(c.Stops, link.Stop{Task: t.id, Attempt: t.attempt})
}

// Tick handles everything that depends on time: deadlines, lost attempts, and
// stops without an answer.
func (s *Scheduler) Tick(now time.Duration) {
	// The active queues change with time.
	clear(s.spareSpeeds)
	clear(s.spareWorkers)
	state := tickState{plan: s.newSparePlan(), lacking: map[string]*job{}, waits: map[string]time.Duration{}}
	for _, j := range s.sortedJobs() {
		s.tickJob(now, j, &state)
	}
	s.refuseHopeless(now)
	s.logPairs(s.pairs.Expire(now))
	s.checkZones(now)
	s.placementDue = true
}

// sortedJobs returns the jobs in the order in which they arrived.
func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.ReceivedAt, b.ReceivedAt), strings.Compare(a.ID, b.ID))
	})
}

func (s *Scheduler) tickJob(now time.Duration, j *job, state *tickState) {
	if now >= j.Deadline-answerMargin {
		s.abort(now, j, "the deadline has passed")
		return
	}
	waiting := false
	for _, t := range j.tasks {
		switch t.phase {
		case lost:
			if !t.claimed && now >= t.leaseExpiresAt {
				s.log(decisions.Info("lost task queued for restart", "job", j.ID, "task", t.describe(), "lost_for_ms", (now - t.phaseSince).Milliseconds()))
				s.requeue(now, t)
				waiting = true
			}
		case stopping:
			if now-t.phaseSince >= stopResendInterval {
				s.sendStop(now, t)
			}
		case ready:
			waiting = true
		}
	}
	if !waiting {
		return
	}
	if j.ranStatus() == api.RanNo {
		if v := s.refuseEvacuated(now, j); v != nil {
			s.finish(now, j, v)
			return
		}
	}
	limit := j.Deadline - answerMargin
	if !j.started {
		limit = j.cutoff
	}
	if !j.started && s.classify(now, j) == late && state.lacksCapacity(s, now, j.Service) && state.plan.assign(now, j) == nil {
		// The capacity goes to jobs that can be on time; this caller is better served
		// by submitting the job again later.
		s.abortAfter(now, j, "no worker had room in time, and others wait", func() time.Duration { return state.waitWhileLate(s, now, j) })
		return
	}
	if now+s.minRunTime(j) > limit {
		s.abort(now, j, "no worker has room in time")
	}
}

// abort ends a job that can no longer be completed in time. The job is refused if
// none of its tasks can have run, and fails otherwise.
func (s *Scheduler) abort(now time.Duration, j *job, message string) {
	s.abortAfter(now, j, message, func() time.Duration { return s.expectedWait(now, j) })
}

// abortAfter does the same as abort, with a hint when to retry.
func (s *Scheduler) abortAfter(now time.Duration, j *job, message string, wait func() time.Duration) {
	if ran := j.ranStatus(); ran != api.RanNo {
		s.finish(now, j, api.Fail(ran, api.ReasonDeadlineExceeded, message))
		return
	}
	s.finish(now, j, s.overloadVerdict(wait(), message))
}

// ProcessSuspended records that the process did not run for the duration gap.
// Callers may have timed out and submitted their jobs elsewhere, so all earlier
// jobs are ended and none of their tasks may start any more.
func (s *Scheduler) ProcessSuspended(now time.Duration, gap time.Duration) {
	for _, j := range s.sortedJobs() {
		s.abort(now, j, "the entry was suspended")
	}
	s.log(decisions.Warn("process was suspended", "gap_ms", gap.Milliseconds()))
}
