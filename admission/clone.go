package admission

import (
	"maps"
	"time"
)

// Clone returns a copy that shares nothing with s that either of them changes.
func (s *State) Clone() *State {
	c := *s
	c.inProgress = maps.Clone(s.inProgress)
	c.overload = make(map[string]*overloadDetector, len(s.overload))
	for name, d := range s.overload {
		clone := *d
		c.overload[name] = &clone
	}
	return &c
}

// View is what an admission was decided from, besides the request and the supply.
type View struct {
	// Quota is the team's maximum number of tasks in progress over all entries, 0 if there
	// is none; Share is this entry's part, of which InProgress are used.
	Quota      int `json:"quota"`
	Share      int `json:"share"`
	InProgress int `json:"in_progress"`
	// ExpectedSlots are the slots that this entry can expect to get, and ExpectedWaitMS is
	// how long the last task of the job is expected to wait for one of them.
	ExpectedSlots  int   `json:"expected_slots"`
	ExpectedWaitMS int64 `json:"expected_wait_ms"`
	// Overloaded is set while jobs are refused to keep the queue of the service short.
	Overloaded bool `json:"overloaded"`
}

// View returns what the admission of a request is decided from.
func (s *State) View(r Request, supply Supply) View {
	v := View{Quota: s.teams[r.Team].Quota, InProgress: s.inProgress[r.Team]}
	v.Share = (v.Quota + s.entries - 1) / s.entries
	if d := s.overload[r.Service]; d != nil {
		v.Overloaded = d.overloaded
	}
	if supply.Slots > 0 {
		v.ExpectedSlots = s.expectedSlots(supply)
		_, wait := s.expectedWait(r, supply)
		v.ExpectedWaitMS = int64(wait / time.Millisecond)
	}
	return v
}
