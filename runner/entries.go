package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// EntryConnected handles a new connection from an entry. An earlier connection
// of the same entry is closed: messages that it may still deliver are outdated.
func (s *State) EntryConnected(now time.Duration, id ConnID, h link.Hello) {
	s.detectSuspension(now)
	s.dropConns(now, func(conn *entryConn) bool { return conn.entry == h.Entry }, now, "replaced by a newer connection")
	conn := &entryConn{id: id, entry: h.Entry, incarnation: h.Incarnation, lastHeardAt: now, reportDue: true, reportedAt: -minReportInterval}
	s.conns[id] = conn
	at, _ := slices.BinarySearchFunc(s.connsByID, id, func(c *entryConn, id ConnID) int { return cmp.Compare(c.id, id) })
	s.connsByID = slices.Insert(s.connsByID, at, conn)
	s.log(decisions.Info("entry connected", "entry", h.Entry, "incarnation", h.Incarnation))
}

// EntryDisconnected handles a lost connection. Its runs continue for
// Options.ReconnectGrace, during which the entry may reconnect.
func (s *State) EntryDisconnected(now time.Duration, id ConnID, why string) {
	s.detectSuspension(now)
	if s.conns[id] != nil {
		s.dropConn(now, id, now, why)
	}
}

// dropConns removes the connections to which drop applies, as dropConn does.
func (s *State) dropConns(now time.Duration, drop func(conn *entryConn) bool, since time.Duration, why string) {
	for _, conn := range slices.Clone(s.connsByID) {
		if drop(conn) {
			s.dropConn(now, conn.id, since, why)
		}
	}
}

// dropConn removes a connection; its runs count as orphaned since the given
// time.
func (s *State) dropConn(now time.Duration, id ConnID, since time.Duration, why string) {
	conn := s.conns[id]
	delete(s.conns, id)
	s.connsByID = slices.DeleteFunc(s.connsByID, func(c *entryConn) bool { return c == conn })
	s.actions.CloseConns = append(s.actions.CloseConns, id)
	orphans := 0
	for _, r := range s.runs {
		if r.conn == id {
			r.conn, r.orphanedAt = 0, since
			r.leaseLimit = min(r.leaseLimit, since+s.opts.Lease, s.entryLimit(conn))
			orphans++
		}
	}
	s.log(decisions.Info("entry connection lost", "entry", conn.entry, "reason", why, "silent_ms", (now - conn.lastHeardAt).Milliseconds(),
		"as_of_ms_ago", (now - conn.asOf).Milliseconds(), "runs", orphans, "lease_left_ms", (s.leaseExpiresAt - now).Milliseconds()))
}

// HandleCommands handles the commands or the ping in a message from an entry.
func (s *State) HandleCommands(now time.Duration, id ConnID, c *link.Commands) {
	s.detectSuspension(now)
	conn := s.conns[id]
	// The state of the zone counts whether or not the connection still does: its version
	// shows whether it is newer than the known one.
	s.learnEvacuation(conn, c.Evacuation)
	if conn == nil {
		return
	}
	asOf := min(now, time.Duration(c.AsOfMS)*time.Millisecond)
	conn.asOf = max(conn.asOf, asOf)
	s.learnSpeed(now, asOf, conn.entry, c.KnownSpeed)
	conn.learnKinds(c.CountKinds)
	becameActive := conn.inactive && !c.Inactive
	conn.lastHeardAt, conn.sequence, conn.waiting, conn.inactive = now, c.Sequence, c.Waiting, c.Inactive
	// A ping shortly after a report needs no answer: the entry has just heard from
	// this agent. Commands have answers of their own, within a few milliseconds.
	isPing := len(c.Claims)+len(c.Stops)+len(c.Starts) == 0
	conn.reportDue = conn.reportDue || becameActive || isPing && now-conn.reportedAt >= recentReportAge
	for i := range c.Claims {
		s.handleClaim(now, conn, &c.Claims[i])
	}
	for i := range c.Stops {
		s.handleStop(now, id, &c.Stops[i])
	}
	for i := range c.Starts {
		start := &c.Starts[i]
		// A stop in the same message is for a start that is no longer wanted; it has been
		// answered already.
		if !slices.Contains(c.Stops, link.Stop{Task: start.Task, Attempt: start.Attempt}) {
			s.handleStart(now, id, conn, start)
		}
	}
}

func (s *State) handleClaim(now time.Duration, conn *entryConn, c *link.Claim) {
	k := runKey{c.Task, c.Attempt}
	if r := s.runs[k]; r != nil && !r.endReported {
		r.conn, r.entry = conn.id, conn.entry
		if r.phase != stopping {
			r.leaseLimit = noLeaseLimit
		}
		if !r.needKnown {
			r.need, r.needKnown, r.estimate, r.kind = c.Need, true, time.Duration(c.EstimateMS)*time.Millisecond, c.Kind
			r.dueAt = now + time.Duration(c.DueMS)*time.Millisecond
		}
		if r.confirmedAt > 0 {
			r.startReported = true
			s.answer(conn, k, link.Started)
			if s.leavesAt > 0 && r.phase == running {
				// The entry decides at once whether the run ends before the worker leaves.
				s.reportProgress(now, conn, r)
			}
		}
		return
	}
	if e, ok := s.recentEnds[k]; ok {
		rep := s.pendingReport(conn)
		rep.Ends = append(rep.Ends, e.end)
		return
	}
	switch {
	case s.formerRunsEnded(now):
		s.answer(conn, k, link.NotRunning)
	case !s.listed:
		// What runs on the worker is not known yet.
		conn.claims = append(conn.claims, *c)
	default:
		s.answer(conn, k, link.Unknown)
		s.stopUnlisted(now, conn, c)
	}
}

// stopUnlisted stops an attempt that the worker doesn't list, but that a start call of the
// agent's former life may begin yet. It holds its capacity, and its entry is told that it isn't
// running once the worker has had the time to stop it. Until then its lease isn't extended.
func (s *State) stopUnlisted(now time.Duration, conn *entryConn, c *link.Claim) {
	k := runKey{c.Task, c.Attempt}
	r := &run{
		runKey: k, need: c.Need, needKnown: true, conn: conn.id, entry: conn.entry, startSentAt: now, startDoneAt: now, startUnanswered: true,
		progressAt: now, rate: progressRate{at: now}, workerBorn: s.workerBorn,
	}
	s.runs[k] = r
	s.stopRun(now, r, "its start may have been under way when the agent restarted")
}

// formerRunsEnded reports whether the agent has been up for longer than a lease and the time
// to stop a run. Then it knows every attempt that can still be running; it extends no lease
// before it has listed the runs.
func (s *State) formerRunsEnded(now time.Duration) bool {
	return now-s.startedAt > s.maxLease()+s.opts.MaxStopTime
}

// handleHeldClaims handles the claims that were held until the runs are known.
func (s *State) handleHeldClaims(now time.Duration) {
	for _, conn := range s.connsByID {
		claims := conn.claims
		conn.claims = nil
		for i := range claims {
			s.handleClaim(now, conn, &claims[i])
		}
	}
}

func (s *State) handleStop(now time.Duration, id ConnID, c *link.Stop) {
	r := s.runs[runKey{c.Task, c.Attempt}]
	if r == nil {
		k := runKey{c.Task, c.Attempt}
		if conn := s.conns[id]; conn != nil {
			conn.claims = slices.DeleteFunc(conn.claims, func(claim link.Claim) bool { return runKey{claim.Task, claim.Attempt} == k })
			if e, ok := s.recentEnds[k]; ok {
				s.pendingReport(conn).Ends = append(s.pendingReport(conn).Ends, e.end)
			} else {
				s.answer(conn, k, link.NotRunning)
			}
		}
		return
	}
	if r.conn == id {
		s.stopRun(now, r, "ordered")
		r.leaseLimit = min(r.leaseLimit, s.entryLimit(s.conns[id]))
	}
}

func (s *State) handleStart(now time.Duration, id ConnID, conn *entryConn, c *link.Start) {
	if s.refuseEvacuated(now, conn, c) {
		return
	}
	k := runKey{c.Task, c.Attempt}
	leaseEnd := min(s.leaseEnd(now), s.entryLimit(conn))
	// A worker that has restarted or changed since may be of another kind: only the agent
	// always knows.
	if !s.accepting() || c.WorkerRevision != s.workerRevision || leaseEnd < now+s.opts.Lease/2 {
		s.log(decisions.Info("start refused", "job", c.Task.Job, "step", c.Task.Step, "task", c.Task.Index, "attempt", c.Attempt, "entry", conn.entry,
			"accepting", s.accepting(), "revision", c.WorkerRevision, "known_revision", s.workerRevision,
			"as_of_ms_ago", (now - conn.asOf).Milliseconds(), "lease_ms", (leaseEnd - now).Milliseconds()))
		s.answer(conn, k, link.Refused)
		return
	}
	for other := range s.runs {
		if other.task == c.Task {
			// An attempt that has not ended blocks further starts of its task.
			s.answer(conn, k, link.Busy)
			return
		}
	}
	if !c.Need.FitsIn(s.offeredCapacity(now)) {
		s.answer(conn, k, link.Busy)
		return
	}
	s.runs[k] = &run{
		runKey: k, need: c.Need, needKnown: true, estimate: time.Duration(c.EstimateMS) * time.Millisecond,
		dueAt: now + time.Duration(c.DueMS)*time.Millisecond,
		conn:  id, entry: conn.entry, startSentAt: now, progressAt: now, rate: progressRate{at: now}, workerBorn: s.workerBorn,
		leaseLimit: noLeaseLimit, kind: c.Kind, before: s.neighbors.snapshot(now, c.Kind),
	}
	s.lastStartAt = now
	s.extendLease(now, leaseEnd)
	s.actions.Starts = append(s.actions.Starts, StartCall{
		Task: c.Task, Attempt: c.Attempt, Spec: c.Spec, LeaseUntil: s.workerTime(leaseEnd), WorkerID: s.worker.ID, WorkerBorn: s.workerBorn,
		Need: c.Need, CreatedAt: now, ExpiresAt: leaseEnd, Timeout: s.callTimeout(now),
	})
}

// stopRun begins to stop a run, unless that is already in progress.
func (s *State) stopRun(now time.Duration, r *run, why string) {
	if r.phase == stopping {
		return
	}
	if why != "ordered" {
		s.log(decisions.Info("stopping a run", "job", r.task.Job, "step", r.task.Step, "task", r.task.Index, "attempt", r.attempt, "entry", r.entry, "reason", why))
	}
	r.phase = stopping
	r.leaseLimit = min(r.leaseLimit, now+s.opts.Lease)
	s.sendStop(now, r)
}

func (s *State) sendStop(now time.Duration, r *run) {
	r.stopSentAt = now
	workerID := ""
	if s.worker != nil {
		workerID = s.worker.ID
	}
	s.actions.Stops = append(s.actions.Stops, StopCall{
		Task: r.task, Attempt: r.attempt, WorkerID: workerID, WorkerBorn: s.workerBorn, Timeout: s.callTimeout(now),
	})
}

// detectSuspension checks whether the time since the last event reaches the
// silence timeout, which means that the process was suspended. Entries then
// consider the agent lost and may have started its tasks elsewhere, so all
// connections are dropped and all runs stopped.
func (s *State) detectSuspension(now time.Duration) {
	gap := now - s.lastEventAt
	s.lastEventAt = now
	if gap >= MaxEventGap {
		// The worker may have restarted meanwhile, and starts be handled before the events
		// that tell of it.
		s.doubtInstance(now)
	}
	if gap < s.opts.SilenceTimeout {
		return
	}
	s.log(decisions.Warn("process was suspended", "gap_ms", gap.Milliseconds(), "runs", len(s.runs)))
	s.dropConns(now, func(*entryConn) bool { return true }, now-gap, "the agent was suspended")
	for _, r := range s.sortedRuns() {
		s.stopRun(now, r, "the agent was suspended")
	}
}

// Tick handles timeouts. It must be called at intervals well below
// Options.SilenceTimeout, since a gap of that length between events counts as a
// suspension of the process.
func (s *State) Tick(now time.Duration) {
	s.detectSuspension(now)
	s.dropSilentConns(now)
	s.learner.Review(now)
	if s.formerRunsEnded(now) {
		s.handleHeldClaims(now)
	}
	for _, r := range s.sortedRuns() {
		s.checkRun(now, r)
	}
	if now > s.leaseExpiresAt {
		if n := s.endAll(now, link.LeaseExpired); n > 0 {
			s.log(decisions.Warn("worker lease has expired", "runs", n, "worker_answered_ms_ago", (now - s.lastAnswerAt).Milliseconds()))
		}
	}
	if now < s.nextExpiry {
		return
	}
	s.nextExpiry = now + endRetention/4
	for k, e := range s.recentEnds {
		if now-e.at > endRetention {
			delete(s.recentEnds, k)
		}
	}
	maps.DeleteFunc(s.unansweredStarts, func(_ runKey, u unansweredStart) bool { return now-u.at > unansweredStartRetention })
}

// dropSilentConns drops the connections that have runs here but have been
// silent for longer than the timeout, or whose messages are so old that the lease of
// the other runs would expire because of them. Their runs get no grace period and are
// stopped at once.
func (s *State) dropSilentConns(now time.Duration) {
	silent := func(conn *entryConn) bool {
		late := now-conn.lastHeardAt > s.opts.SilenceTimeout || now-conn.asOf > s.opts.SilenceTimeout+s.opts.ReconnectGrace/2
		return late && s.hasRuns(conn.id)
	}
	if slices.ContainsFunc(s.connsByID, silent) {
		s.dropConns(now, silent, now-s.opts.ReconnectGrace, "silent")
	}
}

func (s *State) hasRuns(id ConnID) bool {
	for _, r := range s.runs {
		if r.conn == id {
			return true
		}
	}
	return false
}

// orphanGrace returns how long a run continues without a connection to its entry.
func (s *State) orphanGrace(r *run) time.Duration {
	if r.needKnown {
		return s.opts.ReconnectGrace
	}
	return min(s.opts.ReconnectGrace, adoptedRunGrace)
}

func (s *State) stopInterval() time.Duration {
	if s.reachable {
		return stopRetryInterval
	}
	return unreachableStopRetryInterval
}

func (s *State) checkRun(now time.Duration, r *run) {
	switch {
	case r.phase == stopping:
		if r.stopAckedAt == 0 && now-r.stopSentAt >= s.stopInterval() {
			s.sendStop(now, r)
		}
		// A run that was never confirmed can't start any more once its stop was
		// acknowledged, unless its start call may still reach a restarted worker. Its
		// capacity stays allocated until the next list.
		if r.stopAckedAt > 0 && r.startDoneAt > 0 && r.confirmedAt == 0 && !r.endReported && now-r.stopAckedAt > s.opts.MaxStopTime {
			r.endReported = true
			if conn := s.conns[r.conn]; conn != nil {
				s.answer(conn, r.runKey, link.NotRunning)
			}
		}
	case r.phase == starting && r.startUnanswered && now-r.startSentAt >= startConfirmTimeout:
		s.stopRun(now, r, "its start had no answer")
	case r.conn == 0 && now-r.orphanedAt >= s.orphanGrace(r):
		s.stopRun(now, r, "no connected entry claims it")
	}
}
