package runner

import (
	"math"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// maxLease returns the longest duration of a lease by the agent's clock.
func (s *State) maxLease() time.Duration { return withDrift(s.opts.Lease) }

// withDrift returns how long a time on the worker's clock may take by the agent's.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + clockDrift)) }

// noLeaseLimit is the leaseLimit of a run that goes on as long as its entry wants.
const noLeaseLimit = time.Duration(math.MaxInt64)

// leaseEnd returns the end of a lease that begins now. There is one lease for all runs of
// the worker. Callers and entries count on it for runs that must end: those of an entry
// that is silent or has lost its connection, and those that are being stopped. If their
// stops get no answer, the lease ends them in time, together with the other runs. It lasts
// at most Options.Lease from when an entry still had the connection: entries count from when
// they lost it, and this agent may learn of that much later. A run that a restarted agent
// has found may have been without an entry for any time, so that the lease is not extended
// at all until it is claimed or stopped.
func (s *State) leaseEnd(now time.Duration) time.Duration {
	end := now + s.opts.Lease
	for _, r := range s.runs {
		if r.stopAckedAt > 0 {
			continue
		}
		end = min(end, r.leaseLimit)
		if conn := s.conns[r.conn]; conn != nil {
			end = min(end, s.entryLimit(conn))
		}
	}
	return end
}

// entryLimit returns the latest end of the lease for the runs of an entry.
func (s *State) entryLimit(conn *entryConn) time.Duration { return conn.asOf + s.opts.Lease }

// extendLease records that a call sent now extends the lease to end.
func (s *State) extendLease(now, end time.Duration) {
	s.leaseExpiresAt = max(s.leaseExpiresAt, now+withDrift(end-now)+s.opts.MaxStopTime)
}

// workerTime returns a time on the worker's clock in milliseconds.
func (s *State) workerTime(t time.Duration) int64 { return t.Milliseconds() + s.clockOffset }

// lossy reports whether the worker is reachable but leaves some calls
// unanswered.
func (s *State) lossy(now time.Duration) bool { return now < s.lossyUntil && s.reachable }

// maxRenewals returns how many renewals may be in flight.
func (s *State) maxRenewals(now time.Duration) int {
	if s.lossy(now) && len(s.runs) > 0 {
		return maxLossyRenewals
	}
	if s.instanceInDoubt {
		// The worker may hold the one that was sent before.
		return 2
	}
	return 1
}

func (s *State) renew(now time.Duration) {
	c := &RenewCall{LastEndNumber: s.lastEndNumber, WorkerBorn: s.workerBorn, MaxWait: idleRenewWait}
	switch {
	case s.instanceInDoubt, len(s.runs) > 0 && s.lossy(now):
		c.MaxWait = 0
	case len(s.runs) > 0:
		c.MaxWait = busyRenewWait
	}
	end := s.leaseEnd(now)
	if end < now+s.opts.Lease-s.opts.ReconnectGrace || !s.formerRunsEnded(now) {
		c.MaxWait = min(c.MaxWait, limitedRenewWait)
	}
	switch {
	case !s.clockKnown || s.lastRenewFailed:
		// Only the lists are requested while the worker's clock is unknown or if the
		// last renewal failed: if unanswered calls extended the lease, it would never
		// expire for a worker that is gone. Any instance may answer, so no ends are
		// acknowledged: another instance numbers its own.
		c.LastEndNumber, c.WorkerBorn, c.MaxWait = 0, 0, 0
	case end > now && len(s.runs) > 0:
		// Without runs, the lease could only be that of a run which the agent doesn't know.
		c.LeaseUntil = s.workerTime(end)
		s.extendLease(now, end)
	}
	s.renewalsInFlight++
	s.nextRenewAt = now + lossyRenewInterval
	s.actions.Renew = c
}

// callTimeout returns the timeout of a start or stop call.
func (s *State) callTimeout(now time.Duration) time.Duration {
	if s.lossy(now) {
		return lossyCallTimeout
	}
	return normalCallTimeout
}

func (s *State) updateClock(now time.Duration, clock int64) {
	if clock > 0 {
		s.clockOffset, s.clockKnown = clock-now.Milliseconds(), true
	}
}

// StartDone handles the outcome of a start call. clock is the worker's, in
// milliseconds; 0 when unknown.
func (s *State) StartDone(now time.Duration, c StartCall, result StartResult, clock int64) {
	s.detectSuspension(now)
	if c.WorkerBorn == s.workerBorn {
		s.updateClock(now, clock)
		if result == StartNotSent || result == StartLeaseExpired {
			// Nothing listens, or the clock is not the known one: the worker may be restarting.
			s.doubtInstance(now)
		}
	}
	r := s.runs[runKey{c.Task, c.Attempt}]
	if c.Unanswered = c.Unanswered || result == StartUnanswered; c.Unanswered {
		c.Spec = ""
		s.unansweredStarts[runKey{c.Task, c.Attempt}] = unansweredStart{c, now}
	}
	if r == nil {
		if c.WorkerBorn != s.workerBorn && (result == StartOK || result == StartUnanswered) {
			s.stopOnNewInstance(now, c)
		}
		return
	}
	r.startDoneAt, r.startUnanswered = now, c.Unanswered
	switch result {
	case StartOK:
		s.confirm(now, r)
		return
	case StartUnanswered:
		// The worker may have started the run; then its next list shows it.
		s.recordOutcome(now, c.Task.Job, true)
		s.checkRun(now, r)
		return
	}
	s.log(decisions.Info("start rejected", "job", r.task.Job, "step", r.task.Step, "task", r.task.Index,
		"attempt", r.attempt, "result", uint8(result), "free_milli_cpu", s.freeCapacity().MilliCPU))
	delete(s.runs, r.runKey)
	answer := link.Busy
	switch result {
	case StartOutdated:
		answer = link.Outdated
	case StartRefused, StartNotSent, StartNotCalled, StartNoConnection:
		answer = link.Refused
	}
	if conn := s.conns[r.conn]; conn != nil {
		s.answer(conn, r.runKey, answer)
	}
}

// stopOnNewInstance stops a run that has ended on an earlier worker instance, but whose
// start call may have reached the present one, or may still do so. It holds its capacity
// until the stop is acknowledged.
func (s *State) stopOnNewInstance(now time.Duration, c StartCall) {
	k := runKey{c.Task, c.Attempt}
	s.log(decisions.Warn("a start call without an answer may reach the restarted worker", "job", c.Task.Job, "step", c.Task.Step,
		"task", c.Task.Index, "attempt", c.Attempt, "born", s.workerBorn, "former_born", c.WorkerBorn))
	s.runs[k] = &run{
		runKey: k, phase: stopping, need: c.Need, needKnown: true, startSentAt: now, startDoneAt: now, startUnanswered: true, endReported: true,
		progressAt: now, rate: progressRate{at: now}, workerBorn: c.WorkerBorn, leaseLimit: now + s.opts.Lease,
	}
	s.sendStop(now, s.runs[k])
}

// confirm records that the worker has the run, and tells the entry once.
func (s *State) confirm(now time.Duration, r *run) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if r.phase == starting {
		r.phase = running
	}
	if conn := s.conns[r.conn]; conn != nil && !r.startReported && r.phase == running {
		r.startReported = true
		s.answer(conn, r.runKey, link.Started)
	}
}

// StopDone handles the outcome of a stop call; ok means that the worker
// acknowledged it. The acknowledgement of an earlier worker instance doesn't count.
func (s *State) StopDone(now time.Duration, c StopCall, ok bool) {
	s.detectSuspension(now)
	if r := s.runs[runKey{c.Task, c.Attempt}]; r != nil && ok && c.WorkerBorn == s.workerBorn {
		r.stopAckedAt = now
	}
}

// RenewFailed handles the failure of a renewal that was sent at sentAt.
func (s *State) RenewFailed(now, sentAt time.Duration, why string, failure RenewFailure) {
	s.detectSuspension(now)
	s.renewalsInFlight--
	// A renewal that was sent later may have been answered already.
	s.lastRenewFailed = s.lastRenewFailed || sentAt >= s.lastAnsweredSentAt
	s.lossyUntil = now + lossyPeriod
	s.renewFailures++
	connClosed := failure == RenewConnClosed && s.renewFailures >= closedRenewThreshold
	unreachable := failure == RenewConnRefused || connClosed || now-s.lastAnswerAt >= unreachableAfter
	s.nextRenewAt = now + s.renewBackoff(failure, unreachable)
	if !unreachable {
		return
	}
	if s.reachable {
		s.log(decisions.Warn("worker doesn't answer", "error", why, "failures", s.renewFailures,
			"answered_ms_ago", (now - s.lastAnswerAt).Milliseconds(), "runs", len(s.runs)))
	}
	// Its runs may go on, even if nothing listens any more: their lease ends them.
	s.reachable = false
}

// doubtInstance lets the worker get no starts until it has answered another renewal.
func (s *State) doubtInstance(now time.Duration) {
	s.instanceInDoubt, s.doubtSince, s.nextRenewAt = true, now, min(s.nextRenewAt, now)
}

// renewBackoff returns the delay before the next renewal after a failed one.
// After a timeout no delay is needed. From the second consecutive failure on, a
// closed connection needs one: calls that fail at once would otherwise be repeated
// in a tight loop.
func (s *State) renewBackoff(failure RenewFailure, unreachable bool) time.Duration {
	switch {
	case unreachable:
		return min(minRenewBackoff<<min(s.renewFailures/2, 8), maxRenewBackoff)
	case failure == RenewConnClosed && s.renewFailures > 1:
		return closedRenewDelay
	}
	return 0
}

// Renewed handles the worker's reply to a renewal that was sent at sentAt.
func (s *State) Renewed(now, sentAt time.Duration, reply *RenewReply) {
	s.detectSuspension(now)
	s.renewalsInFlight--
	overtaken := sentAt < s.lastAnsweredSentAt
	s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, sentAt)
	s.lastRenewFailed = false
	if s.renewalsInFlight == 0 && !s.lossy(now) {
		s.nextRenewAt = now
	}
	if reply.Born != s.workerBorn {
		if s.workerBorn != 0 && sentAt < s.bornKnownAt {
			// It may be a late reply of an earlier instance. Their start times don't tell the
			// order, since the worker's time of day may be set back.
			return
		}
		if s.workerBorn != 0 || s.worker != nil && s.worker.Born != reply.Born {
			s.workerRestarted(now, reply.Born, "listed")
		}
		s.workerBorn, s.bornKnownAt = reply.Born, now
	}
	if !s.reachable {
		s.log(decisions.Info("worker answers", "born", reply.Born, "running", len(reply.Running)))
	}
	s.reachable, s.lastAnswerAt, s.renewFailures = true, now, 0
	s.instanceInDoubt = s.instanceInDoubt && sentAt < s.doubtSince
	s.updateClock(now, reply.Clock)
	s.useRestored(now)
	if reply.Unreadable != s.unreadableRows {
		s.unreadableRows = reply.Unreadable
		s.log(decisions.Warn("rows of the worker's lists can't be read and are left out", "error", reply.Unreadable))
	}
	for i := range reply.Ended {
		s.recordListedEnd(now, &reply.Ended[i])
	}
	listed := make(map[runKey]bool, len(reply.Running))
	for i := range reply.Running {
		k := runKey{reply.Running[i].Task, reply.Running[i].Attempt}
		listed[k] = true
		if s.runs[k] == nil && overtaken {
			// It may have ended since: the list that overtook this one would have it otherwise.
			continue
		}
		s.recordListedRun(now, k, reply.Running[i].Percent)
	}
	s.removeUnlisted(now, sentAt, listed, reply.Unreadable == "")
	s.updateSpeed(now)
	if !s.listed {
		s.listed = true
		s.handleHeldClaims(now)
	}
}

func (s *State) recordListedEnd(now time.Duration, e *ListedEnd) {
	if e.Number <= s.lastEndNumber {
		return
	}
	s.lastEndNumber = e.Number
	r := s.runs[runKey{e.Task, e.Attempt}]
	if r == nil {
		s.recentEnds[runKey{e.Task, e.Attempt}] = recentEnd{link.End{Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome}, now}
		return
	}
	switch e.Outcome {
	case link.Done:
		s.recordOutcome(now, e.Task.Job, false)
		if ran := now - r.startSentAt; ran > 0 && r.needKnown {
			s.speed.addFinished(now, float64(r.estimate)/float64(ran))
			s.observeRun(now, r)
		}
	case link.Failed:
		s.recordOutcome(now, e.Task.Job, true)
	}
	s.end(now, r, e.Outcome)
}

// recordListedRun handles a run that the worker lists. An unknown run was started before
// the agent restarted. It is adopted, and an entry may claim it if it is on the first list.
// Later, claims of it have been answered, and its entry starts the task elsewhere.
func (s *State) recordListedRun(now time.Duration, k runKey, percent uint8) {
	r := s.runs[k]
	if r == nil {
		// Its entry may have lost it at any time before, so that leaseLimit is 0.
		r = &run{
			runKey: k, phase: running, startSentAt: now, startDoneAt: now, orphanedAt: now, progressAt: now, rate: progressRate{at: now, percent: percent},
		}
		s.runs[k] = r
		s.extendLease(now, now+s.opts.Lease)
		s.log(decisions.Info("adopted a run found on the worker", "job", k.task.Job, "step", k.task.Step, "task", k.task.Index, "attempt", k.attempt, "percent", percent,
			"first_list", !s.listed))
		if s.listed || s.formerRunsEnded(now) {
			s.stopRun(now, r, "it began after the first list")
		}
	}
	r.workerBorn, r.missingSince = s.workerBorn, 0
	s.confirm(now, r)
	if percent > r.percent {
		r.progressAt = now
	}
	r.percent = percent
	r.rate.observe(now, percent)
	conn := s.conns[r.conn]
	if conn == nil || r.phase != running || now-r.progressReportedAt < progressInterval || s.leavesAt == 0 && !r.needsAttention(now) {
		return
	}
	s.reportProgress(now, conn, r)
}

// needsAttention reports whether the entry may want to move the run: at its present rate
// it is not done when it is due, or it makes no progress.
func (r *run) needsAttention(now time.Duration) bool {
	if now-r.progressAt >= stallReportAge {
		return true
	}
	remaining := r.remainingMS()
	return remaining >= 0 && now+time.Duration(remaining)*time.Millisecond > r.dueAt
}

// remainingMS estimates the time to the end of a run in milliseconds; -1 when
// unknown.
func (r *run) remainingMS() int64 {
	if !r.rate.known || r.rate.perMS <= 0 {
		return -1
	}
	return int64(float64(100-r.percent) / r.rate.perMS)
}

// removeUnlisted ends the runs that are missing from a list requested at sentAt and can't
// begin any more: the worker had confirmed them or acknowledged their stop before that, or
// their start can't take effect any more. An incomplete list, of which rows could not be
// read, proves nothing about a confirmed run.
func (s *State) removeUnlisted(now, sentAt time.Duration, listed map[runKey]bool, complete bool) {
	for _, r := range s.sortedRuns() {
		k := r.runKey
		if listed[k] || r.startDoneAt == 0 || r.startDoneAt >= sentAt {
			continue
		}
		formerInstance := r.workerBorn != s.workerBorn
		switch {
		case r.stopAckedAt > 0 && sentAt-r.stopAckedAt >= s.opts.MaxStopTime:
			// A run can't start after an acknowledged stop. It may have started before, also
			// if it was never confirmed, and go on for MaxStopTime without being listed.
			s.end(now, r, link.Stopped)
		case formerInstance && complete && !r.startUnanswered:
			// The run was on the instance that is gone.
			s.end(now, r, link.WorkerLost)
		case formerInstance && r.startUnanswered:
			// A repetition of the start call may still take effect on the new instance,
			// which rejects it once it has acknowledged a stop.
			s.stopRun(now, r, "the worker has restarted and its start had no answer")
		case r.phase == stopping && r.confirmedAt == 0 && sentAt-r.startSentAt > s.maxLease()+s.opts.MaxStopTime:
			// No stop was acknowledged, but the start call contained the end of its
			// lease and the worker rejects it after that.
			s.end(now, r, link.Stopped)
		case r.phase == stopping:
			// The worker may still be stopping the run.
		case complete && r.confirmedAt > 0 && r.confirmedAt < sentAt:
			if r.missingSince == 0 {
				r.missingSince = sentAt
			}
			if sentAt-r.missingSince < s.opts.MaxStopTime {
				// The worker may be stopping it, at a call that it carries out late: one for an
				// earlier submission of the job, for instance.
				continue
			}
			s.log(decisions.Warn("run is missing from the worker's list", "job", k.task.Job, "step", k.task.Step, "task", k.task.Index, "attempt", k.attempt,
				"confirmed_ms_ago", (now - r.confirmedAt).Milliseconds(), "requested_ms_ago", (now - sentAt).Milliseconds()))
			s.end(now, r, link.WorkerLost)
		}
	}
}

// updateSpeed updates the speed of the worker from the runs in progress.
func (s *State) updateSpeed(now time.Duration) {
	var speeds []float64
	for _, r := range s.runs {
		if r.rate.known && r.needKnown && r.phase == running {
			speeds = append(speeds, r.rate.perMS/100*float64(r.estimate.Milliseconds()))
		}
	}
	s.speed.update(now, speeds)
}
