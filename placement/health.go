package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject an agent,
	// subject to consecutiveFailureMargin.
	ejectAfterFailures = 5
	// failureRateMargin is by how much the failure rate of an agent must exceed
	// twice that of the others for the agent to be ejected.
	failureRateMargin = 0.3
	// consecutiveFailureMargin is by how much the failure rate must exceed that of
	// the others for consecutive failures to eject an agent; five failures from a
	// rate of 0 give 0.28. Tasks of a job whose deadline has passed fail on all
	// agents at once and must eject none.
	consecutiveFailureMargin = 0.2
	// commonFailureRate is the failure rate of the other agents above which the tasks
	// are the likely cause, so that no agent is ejected for failures.
	commonFailureRate = 0.5
	// ejectSlowdown is the run time relative to the others above which an agent is
	// ejected. Servers differ in speed by a factor of up to about 3 without a fault.
	ejectSlowdown = 5
	// minOutcomes is the number of task outcomes from which the failure rate of an
	// agent can eject it, and the number of successes from which its slowdown can.
	minOutcomes = 20
	// maxRunTimeRatio caps the run time of one task relative to the typical one, to
	// limit the effect of a straggler on the slowdown of an agent.
	maxRunTimeRatio = 10
	// failureRateWeight is the weight of the last outcome in the failure rate.
	failureRateWeight = 1.0 / 16
	// penaltyRunTimes is how long a failed task counts as occupying its slot, in
	// typical run times. A value of 1 is too short, since the mean run time is above
	// the typical one.
	penaltyRunTimes = 2
	// stepsPerDoubling is the number of slowdown steps per doubling of the run time.
	stepsPerDoubling = 4
	// neutralSlowdownStep is the slowdown step of an agent with typical run times.
	neutralSlowdownStep = 128
)

// health rates an agent by the outcomes of its tasks.
type health struct {
	// failureRate is an exponentially weighted moving average. logSlowdown is the
	// moving average of the logarithm of run times relative to the typical ones;
	// slowdownStep is logSlowdown, quantized for the ranking key.
	failureRate         float64
	logSlowdown         movingAverage
	slowdownStep        uint8
	outcomes            int
	consecutiveFailures int
	// readmissionLimit is the maximum number of this entry's tasks in flight from an
	// ejection until the agent is fully readmitted; 0 means no limit.
	readmissionLimit int
	ejectedUntil     time.Time
	ejections        int
	ejectionReason   string
	// penaltySlots is the number of slots that failed tasks still count as occupying,
	// until penaltyUntil. Otherwise an agent that fails tasks quickly would appear to
	// have free slots and get the tasks of the others.
	penaltySlots int
	penaltyUntil time.Time
}

func (h *health) ejected(now time.Time) bool {
	return h.readmissionLimit > 0 && now.Before(h.ejectedUntil)
}

// activePenalty returns the number of slots that failed tasks still count as
// occupying.
func (h *health) activePenalty(now time.Time) int {
	if h.penaltySlots > 0 && now.Before(h.penaltyUntil) {
		return h.penaltySlots
	}
	return 0
}

// updateEligible updates the sums of the agent's services after a change of its
// eligibility.
func (g *agent) updateEligible() {
	for i := range g.memberships {
		m := &g.memberships[i]
		if eligible := g.eligible(i); eligible != m.counted {
			if m.counted {
				m.removeFromSums(&g.health)
			}
			if m.counted = eligible; eligible {
				m.addToSums(&g.health)
			}
		}
	}
}

// addToSums adds the health of an eligible agent to the sums of its service.
func (m *membership) addToSums(h *health) {
	v := m.service
	v.eligibleAgents++
	v.failureRateSum += h.failureRate
	v.logSlowdownSum += h.logSlowdown.value
	if h.readmissionLimit > 0 {
		v.limitedAgents++
	}
}

// removeFromSums reverts addToSums.
func (m *membership) removeFromSums(h *health) {
	v := m.service
	v.eligibleAgents--
	v.failureRateSum -= h.failureRate
	v.logSlowdownSum -= h.logSlowdown.value
	if h.readmissionLimit > 0 {
		v.limitedAgents--
	}
}

// others returns the number of other eligible agents of the service, and the sums of their
// failure rates and of the logarithms of their slowdowns.
func (m *membership) others(h *health) (n int, failureRates, logSlowdowns float64) {
	v := m.service
	if !m.counted {
		return v.eligibleAgents, v.failureRateSum, v.logSlowdownSum
	}
	return v.eligibleAgents - 1, v.failureRateSum - h.failureRate, v.logSlowdownSum - h.logSlowdown.value
}

// updateHealth applies change to the health of the agent and updates the sums of
// its services.
func (g *agent) updateHealth(change func(h *health)) {
	for i := range g.memberships {
		if m := &g.memberships[i]; m.counted {
			m.removeFromSums(&g.health)
		}
	}
	change(&g.health)
	for i := range g.memberships {
		if m := &g.memberships[i]; m.counted {
			m.addToSums(&g.health)
		}
	}
}

// recordSuccess updates the run times and the agent's health after a task that
// succeeded. g is nil if the agent is unknown.
func (s *State) recordSuccess(g *agent, end TaskEnd, now time.Time) {
	ratio := 1.0
	if end.RunTime > 0 {
		ratio = s.types.observe(end.Service, end.Type, end.RunTime, now)
		s.serviceFor(end.Service).meanRunTime.add(float64(end.RunTime))
	}
	if g == nil {
		return
	}
	g.updateHealth(func(h *health) {
		h.outcomes++
		h.consecutiveFailures = 0
		h.failureRate -= h.failureRate * failureRateWeight
		h.logSlowdown.add(math.Log(min(ratio, maxRunTimeRatio)))
		h.slowdownStep = uint8(min(max(h.logSlowdown.value/math.Ln2*stepsPerDoubling+neutralSlowdownStep, 0), 255))
		h.readmit(g.slots, now)
	})
	if reason := g.slowdownOutlier(); reason != "" {
		s.eject(g, reason, now)
	}
}

// readmit doubles readmissionLimit after a success and removes the limit when it
// reaches the number of slots. It does nothing while the agent is ejected.
func (h *health) readmit(slots int, now time.Time) {
	if h.readmissionLimit == 0 || now.Before(h.ejectedUntil) {
		return
	}
	if h.readmissionLimit *= 2; h.readmissionLimit >= slots {
		h.readmissionLimit, h.ejectionReason = 0, ""
	}
}

// recordFailure updates the agent's health after a task that failed or a start that
// the agent refused.
func (s *State) recordFailure(g *agent, end TaskEnd, now time.Time) {
	g.updateHealth(func(h *health) {
		h.outcomes++
		h.consecutiveFailures++
		h.failureRate += (1 - h.failureRate) * failureRateWeight
		if !now.Before(h.penaltyUntil) {
			h.penaltySlots = 0
		}
		h.penaltySlots = min(h.penaltySlots+1, g.slots)
		runTime := s.types.typicalRunTime(end.Service, end.Type)
		if runTime <= 0 {
			runTime = defaultRunTime
		}
		h.penaltyUntil = now.Add(penaltyRunTimes * runTime)
	})
	if g.health.ejected(now) {
		return // the task was started before the ejection
	}
	if reason := g.failureOutlier(); reason != "" {
		s.eject(g, reason, now)
	}
}

// failureOutlier returns the reason for ejecting the agent because of failures, or
// "" if there is none.
func (g *agent) failureOutlier() string {
	h := &g.health
	others := 0.0
	for i := range g.memberships {
		if n, sum, _ := g.memberships[i].others(h); n > 0 {
			others = max(others, sum/float64(n))
		}
	}
	switch {
	case others > commonFailureRate:
		return ""
	case h.readmissionLimit > 0:
		return "failure during readmission"
	case h.consecutiveFailures >= ejectAfterFailures && h.failureRate > others+consecutiveFailureMargin:
		return fmt.Sprintf("%d consecutive failures", h.consecutiveFailures)
	case h.outcomes >= minOutcomes && h.failureRate > 2*others+failureRateMargin:
		return fmt.Sprintf("failure rate %.2f, others %.2f", h.failureRate, others)
	}
	return ""
}

// slowdownOutlier returns the reason for ejecting the agent because of slowness, or
// "" if there is none.
func (g *agent) slowdownOutlier() string {
	h := &g.health
	if h.logSlowdown.count < minOutcomes || h.readmissionLimit > 0 {
		return ""
	}
	for i := range g.memberships {
		n, _, sum := g.memberships[i].others(h)
		if n < 1 {
			continue
		}
		if ratio := math.Exp(h.logSlowdown.value - sum/float64(n)); ratio > ejectSlowdown {
			return fmt.Sprintf("%.1f times slower than the others", ratio)
		}
	}
	return ""
}

// eject stops starts on an agent for a time, unless too many agents of one of its
// services are ejected or in readmission. Each ejection lasts twice as long as the
// one before, up to Options.MaxEjectTime; the first after a MaxEjectTime without
// ejection lasts Options.EjectTime again. An agent in readmission that can't be ejected
// again, since other agents of its services are no longer eligible, starts its
// readmission anew.
func (s *State) eject(g *agent, reason string, now time.Time) {
	if !s.canEject(g) {
		if g.health.readmissionLimit > 0 {
			g.updateHealth(func(h *health) { h.readmissionLimit = 1 })
		}
		return
	}
	g.updateHealth(func(h *health) {
		if now.Sub(h.ejectedUntil) > s.options.MaxEjectTime {
			h.ejections = 0
		}
		duration := s.options.EjectTime << min(h.ejections, 20)
		h.ejections++
		h.readmissionLimit, h.ejectedUntil, h.ejectionReason = 1, now.Add(min(duration, s.options.MaxEjectTime)), reason
		h.logSlowdown, h.slowdownStep, h.outcomes, h.consecutiveFailures = movingAverage{}, neutralSlowdownStep, 0, 0
	})
}

// canEject reports whether every service of the agent is within Options.EjectShare with
// the agent ejected. Only eligible agents count: if those in evacuated zones did, all
// others of a service could be ejected at once. An agent that isn't eligible for any
// service can't be ejected, since it would add to the share once it is eligible again.
func (s *State) canEject(g *agent) bool {
	eligible := false
	for i := range g.memberships {
		m := &g.memberships[i]
		if !m.counted {
			continue
		}
		eligible = true
		limited := m.service.limitedAgents
		if g.health.readmissionLimit == 0 {
			limited++
		}
		if float64(limited) > s.options.EjectShare*float64(m.service.eligibleAgents) {
			return false
		}
	}
	return eligible
}

// endExcessEjections ends the ejections beyond Options.EjectShare that remain after the
// configuration has excluded other agents of a service, those that end first before the
// others. The agents are then in readmission.
func (s *State) endExcessEjections() {
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		var ejected []*agent
		for _, it := range v.rankings[0].items {
			if it.agent.memberships[it.membership].counted && it.agent.health.ejected(s.now) {
				ejected = append(ejected, it.agent)
			}
		}
		excess := len(ejected) - int(s.options.EjectShare*float64(v.eligibleAgents))
		if excess <= 0 {
			continue
		}
		slices.SortFunc(ejected, func(a, b *agent) int {
			return cmp.Or(a.health.ejectedUntil.Compare(b.health.ejectedUntil), cmp.Compare(a.id, b.id))
		})
		for _, g := range ejected[:excess] {
			g.updateHealth(func(h *health) { h.ejectedUntil = s.now })
			s.updateRank(g)
		}
	}
}

// AgentStatus describes an agent for the status page, the list of workers and the
// metrics.
type AgentStatus struct {
	ID                          uint64
	Worker, Zone                string
	Services                    []string
	Connected, Leaving, Ejected bool
	// OwnTasks is the number of this entry's tasks in flight at the agent. Free is the
	// estimated number of free slots.
	Slots, OwnTasks, Free int
	// Slowdown is the geometric mean of the agent's recent run times relative to the
	// typical ones.
	FailureRate, Slowdown float64
	// EjectionReason says why the agent was last ejected; empty once it is fully
	// readmitted.
	EjectionReason string
	EjectedUntil   time.Time
	// ReadmissionLimit is the maximum number of this entry's tasks in flight at the
	// agent; 0 means no limit.
	ReadmissionLimit int
}

// Agents returns the status of all agents.
func (s *State) Agents(now time.Time) []AgentStatus {
	out := make([]AgentStatus, 0, len(s.agentList))
	for _, g := range s.agentList {
		st := AgentStatus{
			ID: g.id, Worker: g.worker, Zone: g.zone, Connected: g.connected, Leaving: g.leaving,
			Ejected: g.health.ejected(now), Slots: g.slots, OwnTasks: g.ownTasks, Free: max(g.free(now), 0),
			FailureRate: g.health.failureRate, Slowdown: math.Exp(g.health.logSlowdown.value),
			EjectionReason: g.health.ejectionReason, EjectedUntil: g.health.ejectedUntil, ReadmissionLimit: g.health.readmissionLimit,
		}
		for i := range g.memberships {
			st.Services = append(st.Services, g.memberships[i].service.name)
		}
		out = append(out, st)
	}
	return out
}
