package runner

import (
	"time"

	"github.com/sesamelift/sesamelift/link"
)

// leaveTolerance is by how much the end that a draining worker announces may change before
// entries are told at once. Announcements are under way for some milliseconds each.
const leaveTolerance = 50 * time.Millisecond

// noteLeaves records from the announcement a, which has just arrived, until when the worker
// stays. One without a time while the worker drains leaves the known time in effect. Entries
// get the progress of all runs with a new time, so that they know which ones end before it.
func (s *State) noteLeaves(now time.Duration, a *Announcement) {
	former := s.leavesAt
	switch {
	case a.Draining && a.Leaves > 0:
		s.leavesAt = now + a.Leaves
	case !a.Draining:
		s.leavesAt = 0
	}
	if s.leavesAt == 0 || !leaveChanged(former, s.leavesAt) {
		return
	}
	for _, r := range s.sortedRuns() {
		if conn := s.conns[r.conn]; conn != nil && r.phase == running {
			s.reportProgress(now, conn, r)
		}
	}
}

// leaveChanged reports whether entries are to be told of a new State.leavesAt.
func leaveChanged(a, b time.Duration) bool {
	return (a == 0) != (b == 0) || max(a-b, b-a) > leaveTolerance
}

// leavesMS returns link.Report.LeavesMS. It is 1 after the announced time.
func (s *State) leavesMS(now time.Duration) int64 {
	if s.leavesAt == 0 {
		return 0
	}
	return max((s.leavesAt - now).Milliseconds(), 1)
}

func (s *State) reportProgress(now time.Duration, conn *entryConn, r *run) {
	r.progressReportedAt = now
	rep := s.pendingReport(conn)
	rep.Progress = append(rep.Progress, link.Progress{
		Task: r.task, Attempt: r.attempt, Percent: r.percent, RemainingMS: r.remainingMS(), IdleMS: (now - r.progressAt).Milliseconds(),
	})
}
