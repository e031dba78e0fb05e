package runner

import (
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// leaseBound is the longest time that a lease lasts by our clock.
func (s *State) leaseBound() time.Duration {
	return time.Duration(float64(s.o.Lease) * (1 + clockDrift))
}

// extendLease takes note that a call renews the lease from now on.
func (s *State) extendLease(now time.Duration) {
	s.leaseUntil = max(s.leaseUntil, now+s.leaseBound()+s.o.StopTime)
}

// leaseEnd is the end of a lease from now on the worker's clock, in milliseconds.
func (s *State) leaseEnd(now time.Duration) int64 {
	return now.Milliseconds() + s.clockOffset + s.o.Lease.Milliseconds()
}

// lossy says whether the worker leaves calls unanswered but is there.
func (s *State) lossy(now time.Duration) bool { return now < s.lossyUntil && s.reachable }

// maxRenewals is how many renewals may be under way.
func (s *State) maxRenewals(now time.Duration) int {
	if s.lossy(now) && len(s.runs) > 0 {
		return lossyRenewals
	}
	return 1
}

func (s *State) renew(now time.Duration) {
	c := &RenewCall{Seen: s.seen, Wait: idleWait}
	switch {
	case len(s.runs) > 0 && s.lossy(now):
		c.Wait = 0
	case len(s.runs) > 0:
		c.Wait = renewWait
	}
	if s.clockKnown && !s.unanswered {
		c.LeaseUntil = s.leaseEnd(now)
		s.extendLease(now)
	} else {
		// A worker that may be gone is only asked what runs: a renewal without an
		// answer could go on for ever without its lease running out.
		c.Wait = 0
	}
	s.renewing++
	s.renewAt = now + lossyStagger
	s.out.Renew = c
}

// patience bounds the wait for the answer to an order.
func (s *State) patience(now time.Duration) time.Duration {
	if s.lossy(now) {
		return lossyPatience
	}
	return orderPatience
}

func (s *State) sawClock(now time.Duration, clock int64) {
	if clock > 0 {
		s.clockOffset, s.clockKnown = clock-now.Milliseconds(), true
	}
}

// StartDone takes the outcome of a start call. clock is the worker's, in
// milliseconds; 0 when it isn't known.
func (s *State) StartDone(now time.Duration, c StartCall, result StartResult, clock int64) {
	s.wake(now)
	s.sawClock(now, clock)
	r := s.runs[key{c.Task, c.Attempt}]
	if r == nil {
		return
	}
	switch result {
	case StartOK:
		s.confirm(now, r)
		return
	case StartUnanswered:
		// The run may be there all the same; then the next list shows it.
		r.unanswered = true
		s.countEnd(now, c.Task.Job, true)
		s.tickRun(now, r)
		return
	}
	s.log(decisions.Info("worker rejected a start", "job", r.task.Job, "step", r.task.Step, "task", r.task.Index,
		"attempt", r.attempt, "result", uint8(result), "free_milli_cpu", s.free().MilliCPU))
	delete(s.runs, r.key)
	answer := link.Busy
	switch result {
	case StartOutdated:
		answer = link.Outdated
	case StartRefused:
		answer = link.Refused
	}
	if p := s.peers[r.peer]; p != nil {
		s.answer(p, r.key, answer)
	}
}

// confirm takes note that the worker has a run.
func (s *State) confirm(now time.Duration, r *run) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if r.phase == starting {
		r.phase = running
	}
	if p := s.peers[r.peer]; p != nil && !r.answered && r.phase == running {
		r.answered = true
		s.answer(p, r.key, link.Started)
	}
}

// StopDone takes the outcome of a stop call.
func (s *State) StopDone(now time.Duration, c StopCall, ok bool) {
	s.wake(now)
	if r := s.runs[key{c.Task, c.Attempt}]; r != nil && ok {
		r.stopAckAt = now
	}
}

// RenewFailed takes note that a renewal, which was made at sentAt, had no answer.
func (s *State) RenewFailed(now, sentAt time.Duration, why string, fault RenewFault) {
	s.wake(now)
	s.renewing--
	// One that was made later may have had an answer.
	s.unanswered = s.unanswered || sentAt >= s.heardAt
	s.lossyUntil = now + lossyMemory
	s.failures++
	broken := fault == RenewBroken && s.failures >= maxBroken
	lost := fault == RenewNoListener || broken || now-s.answeredAt >= unreachableAfter
	s.renewAt = now + s.renewPause(fault, lost)
	if !lost {
		return
	}
	if s.reachable {
		s.log(decisions.Warn("worker doesn't answer", "error", why, "failures", s.failures,
			"answered_ms_ago", (now - s.answeredAt).Milliseconds(), "runs", len(s.runs)))
	}
	s.reachable = false
	if fault == RenewNoListener {
		s.loseAll(now, link.Vanished)
	}
}

// renewPause is how long after a failed renewal the next one is made. One that
// had no answer took its time; one that fails at once would be repeated without
// end.
func (s *State) renewPause(fault RenewFault, lost bool) time.Duration {
	switch {
	case lost:
		return min(minLostPause<<min(s.failures/2, 8), maxLostPause)
	case fault == RenewBroken && s.failures > 1:
		return brokenPause
	}
	return 0
}

// Renewed takes the worker's lists, which were asked for at sentAt.
func (s *State) Renewed(now, sentAt time.Duration, l *Lists) {
	s.wake(now)
	s.renewing--
	s.heardAt = max(s.heardAt, sentAt)
	s.unanswered = false
	if s.renewing == 0 && !s.lossy(now) {
		s.renewAt = now
	}
	if l.Born != s.born {
		if s.born != 0 && l.Born < s.born {
			return
		}
		if s.born != 0 || s.worker != nil && s.worker.Born != l.Born {
			s.newLife(now, l.Born, "listed")
		}
		s.born = l.Born
	}
	if !s.reachable {
		s.log(decisions.Info("worker answers", "born", l.Born, "running", len(l.Running)))
	}
	s.reachable, s.answeredAt, s.failures = true, now, 0
	s.sawClock(now, l.Clock)
	s.useRecalled()
	for i := range l.Ended {
		s.listedEnd(now, &l.Ended[i])
	}
	listed := make(map[key]bool, len(l.Running))
	for i := range l.Running {
		k := key{l.Running[i].Task, l.Running[i].Attempt}
		listed[k] = true
		s.listedRun(now, k, l.Running[i].Percent)
	}
	s.removeUnlisted(now, sentAt, listed)
	s.measure(now)
}

func (s *State) listedEnd(now time.Duration, e *Ended) {
	if e.Number <= s.seen {
		return
	}
	s.seen = e.Number
	r := s.runs[key{e.Task, e.Attempt}]
	if r == nil {
		s.ends[key{e.Task, e.Attempt}] = pastEnd{link.End{Task: e.Task, Attempt: e.Attempt, How: e.How}, now}
		return
	}
	switch e.How {
	case link.Done:
		s.countEnd(now, e.Task.Job, false)
		if ran := now - r.sentAt; ran > 0 && r.sized {
			s.speed.ended(now, float64(r.estimate)/float64(ran))
		}
	case link.Failed:
		s.countEnd(now, e.Task.Job, true)
	}
	s.end(now, r, e.How)
}

// listedRun takes note of a run that the worker lists. One that isn't known is
// of an earlier life of the agent; an entry may claim it.
func (s *State) listedRun(now time.Duration, k key, percent uint8) {
	r := s.runs[k]
	if r == nil {
		r = &run{key: k, phase: running, sentAt: now, orphanAt: now, rate: rate{at: now, percent: percent}}
		s.runs[k] = r
		s.extendLease(now)
		s.log(decisions.Info("run found on the worker", "job", k.task.Job, "step", k.task.Step, "task", k.task.Index, "attempt", k.attempt, "percent", percent))
	}
	s.confirm(now, r)
	r.percent = percent
	r.rate.observe(now, percent)
	p := s.peers[r.peer]
	if p == nil || r.phase != running || now-r.progressAt < progressInterval || now-r.sentAt < progressInterval {
		return
	}
	r.progressAt = now
	rep := s.reportTo(p)
	rep.Progress = append(rep.Progress, link.Progress{Task: k.task, Attempt: k.attempt, Percent: percent, RemainingMS: r.remainingMS()})
}

// remainingMS predicts the time to the end of a run, -1 when nothing is known.
func (r *run) remainingMS() int64 {
	if !r.rate.known || r.rate.perMS <= 0 {
		return -1
	}
	return int64(float64(100-r.percent) / r.rate.perMS)
}

// removeUnlisted ends the runs that the worker had confirmed, or whose stop it
// had acknowledged, before it was asked for a list that doesn't hold them.
func (s *State) removeUnlisted(now, sentAt time.Duration, listed map[key]bool) {
	for k, r := range s.runs {
		if listed[k] {
			continue
		}
		switch {
		case r.stopAckAt > 0 && r.stopAckAt < sentAt && (r.confirmedAt == 0 || sentAt-r.stopAckAt >= s.o.StopTime):
			// A run that is being stopped takes its room to the end; one that was
			// never there can't come any more.
			s.end(now, r, link.Stopped)
		case r.phase == stopping && r.confirmedAt == 0 && sentAt-r.sentAt > s.leaseBound()+s.o.StopTime:
			// No stop had an answer, but the start named the end of its lease: the
			// worker rejects it after that.
			s.end(now, r, link.Stopped)
		case r.confirmedAt > 0 && r.confirmedAt < sentAt:
			s.log(decisions.Warn("run is gone from the worker", "job", k.task.Job, "step", k.task.Step, "task", k.task.Index, "attempt", k.attempt))
			s.end(now, r, link.Vanished)
		}
	}
}

// measure updates the speed from the runs in progress.
func (s *State) measure(now time.Duration) {
	var rates []float64
	for _, r := range s.runs {
		if r.rate.known && r.sized && r.phase == running {
			rates = append(rates, r.rate.perMS/100*float64(r.estimate.Milliseconds()))
		}
	}
	s.speed.update(now, rates)
}
