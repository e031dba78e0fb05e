package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// maxCandidates bounds the agents that are listed for a task.
const maxCandidates = 10

// ExcludedByConfig is the Excluded of an agent that the configuration excludes: its worker is
// drained, in an evacuated zone, or not permitted to serve the service.
const ExcludedByConfig = "excluded by the configuration"

// Candidate is an agent of a service with each term of its rank. Agents are compared by
// RankedFree, then SlowdownStep (lower first), then SameZone, then at random.
type Candidate struct {
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
	Chosen bool   `json:"chosen,omitempty"`
	// Excluded says why the agent can't be chosen; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// RankedFree is the estimated number of free slots, as far as it counts.
	RankedFree   int `json:"ranked_free"`
	SlowdownStep int `json:"slowdown_step"`
	// Slowdown is the run time relative to the typical one that the step stands for.
	Slowdown float64 `json:"slowdown"`
	SameZone bool    `json:"same_zone"`
	// Slots are all slots of the agent. Own and Others are the tasks of this entry and the
	// estimated number of those of others, Penalty the slots that failed tasks still count
	// as occupying.
	Slots   int     `json:"slots"`
	Own     int     `json:"own"`
	Others  float64 `json:"others"`
	Penalty int     `json:"penalty"`
	// ReadmissionLimit bounds this entry's tasks at the agent after an ejection; 0 means no
	// limit. EjectedMS is the time for which the ejection lasts.
	ReadmissionLimit int     `json:"readmission_limit,omitempty"`
	EjectedMS        int64   `json:"ejected_ms,omitempty"`
	FailureRate      float64 `json:"failure_rate"`
	// ReportAgeMS is the age of the last report, on which the numbers of slots are based.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// Choice says how the agent of a task was chosen.
type Choice struct {
	// Worker is the chosen one; empty if the task waits.
	Worker string
	// Candidates are the best agents, the chosen one first. Excluded counts the others by
	// what excludes them, or as "lower rank".
	Candidates []Candidate
	Excluded   map[string]int
}

// Clone returns a copy for decisions: it shares nothing with s that HasFreeSlot, Pick, Supply
// or EjectionEnd change, and they return the same as those of s. The learned run times are
// shared, so TaskEnded must not be called.
func (s *State) Clone() *State {
	c := *s
	source := *s.source
	c.source, c.rand, c.onPick = &source, rand.New(&source), nil
	c.agents, c.agentList = make(map[uint64]*agent, len(s.agents)), make([]*agent, 0, len(s.agentList))
	c.services = make(map[string]*service, len(s.services))
	for name, v := range s.services {
		clone := *v
		for i := range clone.rankings {
			clone.rankings[i].items = slices.Clone(v.rankings[i].items)
		}
		c.services[name] = &clone
	}
	for _, g := range s.agentList {
		clone := *g
		clone.memberships = slices.Clone(g.memberships)
		for i := range clone.memberships {
			m := &clone.memberships[i]
			m.service = c.services[m.service.name]
			for class, pos := range m.pos {
				m.service.rankings[class].items[pos].agent = &clone
			}
		}
		c.agents[g.id] = &clone
		c.agentList = append(c.agentList, &clone)
	}
	return &c
}

// PickExplained is Pick, and says how the agent was chosen.
func (s *State) PickExplained(name string, c wire.Class, now time.Time) (Choice, bool) {
	var choice Choice
	s.onPick = func(r *ranking, chosen *agent) { choice = s.explain(r, chosen) }
	_, ok := s.Pick(name, c, now)
	s.onPick = nil
	return choice, ok
}

// ExplainWait says why no agent can be chosen for a task that waits.
func (s *State) ExplainWait(name string, c wire.Class, now time.Time) Choice {
	s.now = now
	if v := s.services[name]; v != nil {
		return s.explain(&v.rankings[c], nil)
	}
	return Choice{}
}

func (s *State) explain(r *ranking, chosen *agent) Choice {
	var choice Choice
	if chosen != nil {
		choice.Worker = chosen.worker
	}
	items := slices.Clone(r.items)
	slices.SortFunc(items, func(a, b rankItem) int {
		if (a.agent == chosen) != (b.agent == chosen) {
			if a.agent == chosen {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.key, a.key), cmp.Compare(a.agent.worker, b.agent.worker))
	})
	for i, it := range items {
		excluded := s.exclusion(r.class, it)
		if i < maxCandidates {
			c := s.candidate(it)
			c.Chosen, c.Excluded = it.agent == chosen, excluded
			choice.Candidates = append(choice.Candidates, c)
			continue
		}
		if choice.Excluded == nil {
			choice.Excluded = map[string]int{}
		}
		choice.Excluded[cmp.Or(excluded, "lower rank")]++
	}
	return choice
}

// candidate returns the terms from which the key of a ranked agent was computed. Those of an
// agent that can't be chosen are the present ones, since its key has none.
func (s *State) candidate(it rankItem) Candidate {
	g, h := it.agent, &it.agent.health
	c := Candidate{
		Worker: g.worker, Zone: g.zone, SlowdownStep: int(h.slowdownStep), SameZone: g.zone == s.options.Zone,
		Slots: g.slots, Own: g.ownTasks, Others: g.estimateOthersTotal(s.now), Penalty: h.activePenalty(s.now),
		ReadmissionLimit: h.readmissionLimit, FailureRate: h.failureRate, ReportAgeMS: s.now.Sub(g.reportedAt).Milliseconds(),
	}
	if h.ejected(s.now) {
		c.EjectedMS = h.ejectedUntil.Sub(s.now).Milliseconds()
	}
	if it.key != 0 {
		c.RankedFree, c.SlowdownStep, c.SameZone = rankTerms(it.key)
	}
	c.Slowdown = math.Exp2(float64(c.SlowdownStep-neutralSlowdownStep) / stepsPerDoubling)
	return c
}

// exclusion says why an agent can't be chosen; it is empty if it can.
func (s *State) exclusion(c wire.Class, it rankItem) string {
	g := it.agent
	switch {
	case !g.connected:
		return "not connected"
	case !g.memberships[it.membership].allowed:
		return ExcludedByConfig
	case g.leaving:
		return "not accepting"
	case g.health.ejected(s.now):
		return "ejected: " + g.health.ejectionReason
	case s.options.Policy != Estimate:
		if !g.availableByOwnTasks(c, s.options.LongShare) {
			return "no free slot"
		}
	case it.key == 0 && g.health.readmissionLimit > 0 && g.ownTasks >= g.health.readmissionLimit:
		return "limited after an ejection"
	case it.key == 0:
		return "no free slot"
	}
	return ""
}
