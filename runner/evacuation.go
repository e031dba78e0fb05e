package runner

import (
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// evacuation is the state of the worker's zone, of which entries tell the agent.
type evacuation struct {
	// zone is the worker's zone that was announced last; empty before that.
	zone string
	// state is that of the highest version from any entry.
	state link.Evacuation
	// refusals counts the starts that were refused while the zone was evacuated.
	refusals int64
}

// learnEvacuation takes over the state of the zone in a message from an entry, unless it is
// older than the known one or about an earlier state of the worker, which may have had another
// zone. conn is nil if the connection was dropped before the message was handled.
func (s *State) learnEvacuation(conn *entryConn, e link.Evacuation) {
	known := s.evacuation.state
	if e.Version == 0 || e.Version < known.Version || e.WorkerRevision != s.workerRevision {
		return
	}
	s.evacuation.state = e
	if e.Evacuated == known.Evacuated {
		return
	}
	entry := "not connected any more"
	if conn != nil {
		entry = conn.entry
	}
	s.logEvacuation(e, "entry", entry)
}

// setZone records the worker's zone. What entries said of another zone doesn't apply.
func (s *State) setZone(zone string) {
	former, state := s.evacuation.zone, s.evacuation.state
	s.evacuation.zone = zone
	if former == "" || former == zone {
		return
	}
	s.evacuation.state = link.Evacuation{}
	if state.Evacuated {
		s.logEvacuation(s.evacuation.state, "former_zone", former)
	}
}

func (s *State) logEvacuation(e link.Evacuation, cause, value string) {
	message := "zone restored, starts are accepted"
	if e.Evacuated {
		message = "zone evacuated, starts are refused"
	}
	s.log(decisions.Info(message, "zone", s.evacuation.zone, "version", e.Version, cause, value, "runs", len(s.runs)))
}

// refuseEvacuated refuses a start while the worker's zone is evacuated, and reports whether
// it did. The entry that sent it doesn't know yet.
func (s *State) refuseEvacuated(now time.Duration, conn *entryConn, c *link.Start) bool {
	if !s.evacuation.state.Evacuated {
		return false
	}
	s.evacuation.refusals++
	s.log(decisions.Info("start refused", "job", c.Task.Job, "step", c.Task.Step, "task", c.Task.Index, "attempt", c.Attempt, "entry", conn.entry,
		"reason", "the zone is evacuated", "version", s.evacuation.state.Version, "as_of_ms_ago", (now - conn.asOf).Milliseconds()))
	s.answer(conn, runKey{c.Task, c.Attempt}, link.Refused)
	return true
}

// Evacuated reports whether the worker's zone is evacuated, and how many starts were refused
// for this reason since the agent started.
func (s *State) Evacuated() (evacuated bool, refusals int64) {
	return s.evacuation.state.Evacuated, s.evacuation.refusals
}
