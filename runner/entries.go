package runner

import (
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// EntryUp takes note of a connection from an entry. An earlier connection of the
// same entry is closed: what it may still deliver is out of date.
func (s *State) EntryUp(now time.Duration, id Peer, h link.Hello) {
	s.wake(now)
	for old, p := range s.peers {
		if p.entry == h.Entry {
			s.drop(now, old, now, "replaced by a newer connection")
		}
	}
	s.peers[id] = &peer{entry: h.Entry, incarnation: h.Incarnation, heardAt: now, due: true, pushedAt: -pushInterval}
	s.log(decisions.Info("entry connected", "entry", h.Entry, "incarnation", h.Incarnation))
}

// EntryDown takes note of a broken connection. Its runs go on for a moment, in
// which the entry may connect again.
func (s *State) EntryDown(now time.Duration, id Peer, why string) {
	s.wake(now)
	if s.peers[id] != nil {
		s.drop(now, id, now, why)
	}
}

// drop forgets a connection; its runs count as without an entry since then.
func (s *State) drop(now time.Duration, id Peer, since time.Duration, why string) {
	p := s.peers[id]
	delete(s.peers, id)
	s.out.Drop = append(s.out.Drop, id)
	orphans := 0
	for _, r := range s.runs {
		if r.peer == id {
			r.peer, r.orphanAt = 0, since
			orphans++
		}
	}
	s.log(decisions.Info("entry lost", "entry", p.entry, "reason", why, "silent_ms", (now - p.heardAt).Milliseconds(), "runs", orphans))
}

// Orders takes what an entry sends.
func (s *State) Orders(now time.Duration, id Peer, o *link.Orders) {
	s.wake(now)
	p := s.peers[id]
	if p == nil {
		return
	}
	p.heardAt, p.sequence, p.waiting = now, o.Sequence, o.Waiting
	// A ping that follows a report closely needs no answer: the entry has just
	// heard from this agent.
	empty := len(o.Claims)+len(o.Stops)+len(o.Starts) == 0
	p.due = p.due || !empty || now-p.pushedAt >= recentReport
	for i := range o.Claims {
		s.claim(now, id, p, &o.Claims[i])
	}
	for i := range o.Stops {
		s.stopOrdered(now, id, &o.Stops[i])
	}
	for i := range o.Starts {
		s.start(now, id, p, &o.Starts[i])
	}
}

func (s *State) claim(now time.Duration, id Peer, p *peer, c *link.Claim) {
	k := key{c.Task, c.Attempt}
	if r := s.runs[k]; r != nil && !r.closed {
		r.peer, r.entry = id, p.entry
		if !r.sized {
			r.need, r.sized, r.estimate = c.Need, true, time.Duration(c.EstimateMS)*time.Millisecond
		}
		if r.confirmedAt > 0 {
			r.answered = true
			s.answer(p, k, link.Started)
		}
		return
	}
	if e, ok := s.ends[k]; ok {
		rep := s.reportTo(p)
		rep.Ends = append(rep.Ends, e.end)
		return
	}
	// An agent that is up for longer than a lease knows all that can be running.
	if now-s.started > s.leaseBound()+s.o.StopTime {
		s.answer(p, k, link.Closed)
		return
	}
	s.answer(p, k, link.Unknown)
}

func (s *State) stopOrdered(now time.Duration, id Peer, o *link.Stop) {
	r := s.runs[key{o.Task, o.Attempt}]
	if r == nil {
		k := key{o.Task, o.Attempt}
		if p := s.peers[id]; p != nil {
			if e, ok := s.ends[k]; ok {
				s.reportTo(p).Ends = append(s.reportTo(p).Ends, e.end)
			} else {
				s.answer(p, k, link.Closed)
			}
		}
		return
	}
	if r.peer == id {
		s.stop(now, r, "ordered")
	}
}

func (s *State) start(now time.Duration, id Peer, p *peer, o *link.Start) {
	k := key{o.Task, o.Attempt}
	if !s.accepting() {
		s.answer(p, k, link.Refused)
		return
	}
	for other := range s.runs {
		if other.task == o.Task {
			// An attempt that hasn't ended keeps the task.
			s.answer(p, k, link.Busy)
			return
		}
	}
	if !o.Need.Fit(s.room(now)) {
		s.answer(p, k, link.Busy)
		return
	}
	s.runs[k] = &run{
		key: k, need: o.Need, sized: true, estimate: time.Duration(o.EstimateMS) * time.Millisecond,
		peer: id, entry: p.entry, sentAt: now, rate: rate{at: now},
	}
	s.lastStart = now
	s.extendLease(now)
	s.out.Starts = append(s.out.Starts, StartCall{
		Task: o.Task, Attempt: o.Attempt, Spec: o.Spec, LeaseUntil: s.leaseEnd(now), Life: s.worker.ID,
		Patience: s.patience(now),
	})
}

// stop has a run stopped.
func (s *State) stop(now time.Duration, r *run, why string) {
	if r.phase == stopping {
		return
	}
	if why != "ordered" {
		s.log(decisions.Info("run stopped", "job", r.task.Job, "step", r.task.Step, "task", r.task.Index, "attempt", r.attempt, "entry", r.entry, "reason", why))
	}
	r.phase = stopping
	s.sendStop(now, r)
}

func (s *State) sendStop(now time.Duration, r *run) {
	r.stopSentAt = now
	life := ""
	if s.worker != nil {
		life = s.worker.ID
	}
	s.out.Stops = append(s.out.Stops, StopCall{Task: r.task, Attempt: r.attempt, Life: life, Patience: s.patience(now)})
}

// wake looks for a time in which the process didn't run. Entries have given the
// agent up by then, and may have started its tasks elsewhere.
func (s *State) wake(now time.Duration) {
	gap := now - s.last
	s.last = now
	if gap < s.o.Silence {
		return
	}
	s.log(decisions.Warn("process was suspended", "gap_ms", gap.Milliseconds(), "runs", len(s.runs)))
	for id := range s.peers {
		s.drop(now, id, now-gap, "the agent was suspended")
	}
	for _, r := range s.runs {
		s.stop(now, r, "the agent was suspended")
	}
}

// Tick deals with what passes with time.
func (s *State) Tick(now time.Duration) {
	s.wake(now)
	s.dropSilent(now)
	for _, r := range s.runs {
		s.tickRun(now, r)
	}
	if len(s.runs) > 0 && now > s.leaseUntil {
		s.log(decisions.Warn("lease has run out", "runs", len(s.runs), "worker_answered_ms_ago", (now - s.answeredAt).Milliseconds()))
		s.loseAll(now, link.Lapsed)
	}
	for k, e := range s.ends {
		if now-e.at > endsKept {
			delete(s.ends, k)
		}
	}
}

// dropSilent gives up the entries that have runs here and aren't heard from.
func (s *State) dropSilent(now time.Duration) {
	for id, p := range s.peers {
		if now-p.heardAt > s.o.Silence && s.hasRuns(id) {
			s.drop(now, id, now-s.o.Grace, "silent")
		}
	}
}

func (s *State) hasRuns(id Peer) bool {
	for _, r := range s.runs {
		if r.peer == id {
			return true
		}
	}
	return false
}

func (s *State) grace(r *run) time.Duration {
	if r.sized {
		return s.o.Grace
	}
	return min(s.o.Grace, adoptionGrace)
}

func (s *State) stopInterval() time.Duration {
	if s.reachable {
		return stopRetry
	}
	return lostStopRetry
}

func (s *State) tickRun(now time.Duration, r *run) {
	switch {
	case r.phase == stopping:
		if r.stopAckAt == 0 && now-r.stopSentAt >= s.stopInterval() {
			s.sendStop(now, r)
		}
		// A run that was never listed can't start any more once its stop was
		// acknowledged. Its room stays taken until the next list.
		if r.stopAckAt > 0 && r.confirmedAt == 0 && !r.closed && now-r.stopAckAt > s.o.StopTime {
			r.closed = true
			if p := s.peers[r.peer]; p != nil {
				s.answer(p, r.key, link.Closed)
			}
		}
	case r.phase == starting && r.unanswered && now-r.sentAt >= lookTime:
		s.stop(now, r, "its start had no answer")
	case r.peer == 0 && now-r.orphanAt >= s.grace(r):
		s.stop(now, r, "its entry is gone")
	}
}
