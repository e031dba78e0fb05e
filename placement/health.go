package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// ejectAfter is the number of consecutive failures that eject an agent.
	ejectAfter = 5
	// failMargin is by how much the failure rate of an agent must exceed twice
	// that of the others to eject it.
	failMargin = 0.3
	// burstMargin is by how much the failure rate must exceed that of the others
	// for consecutive failures to count; five of them alone reach 0.28. Tasks of
	// a job whose deadline is over fail on all agents at once and eject none.
	burstMargin = 0.2
	// slowFactor is how many times slower than the others an agent must be to be
	// ejected. Servers differ by up to about 3 in speed without any fault.
	slowFactor = 5
	// minSamples is the number of ends before rates count.
	minSamples = 20
	// maxRatio bounds the effect of one straggler on the speed of an agent.
	maxRatio = 10
	// failWeight is the weight of the last end in the failure rate.
	failWeight = 1.0 / 16
	// failHold is how long a failed task keeps its slot, in typical run times. One
	// would not do, since the mean is above the typical run time.
	failHold = 2
	// slowSteps is the number of ranking steps per doubling of the run time.
	slowSteps = 4
	// slowStepOne is the step of an agent that is as fast as the others.
	slowStepOne = 128
)

// health is how the ends of tasks rate an agent.
type health struct {
	// failRate is the moving failure rate; slow is the moving mean logarithm of
	// run times relative to the typical ones.
	failRate    float64
	slow        average
	slowStep    uint8
	ends        int
	consecutive int
	// limit bounds the tasks in flight during readmission; 0 means no limit.
	limit     int
	until     time.Time
	ejections int
	reason    string
	// held are slots that failed tasks keep until heldUntil. An agent that fails
	// fast would otherwise look free and attract the work of the others.
	held      int
	heldUntil time.Time
}

func (h *health) ejected(now time.Time) bool { return h.limit > 0 && now.Before(h.until) }

func (h *health) reserved(now time.Time) int {
	if h.held > 0 && now.Before(h.heldUntil) {
		return h.held
	}
	return 0
}

func (h *health) enter(v *service) {
	v.failures += h.failRate
	v.slowness += h.slow.value
	if h.limit > 0 {
		v.limited++
	}
}

func (h *health) leave(v *service) {
	v.failures -= h.failRate
	v.slowness -= h.slow.value
	if h.limit > 0 {
		v.limited--
	}
}

// update changes the health of an agent and keeps the sums of its services.
func (g *agent) update(change func(h *health)) {
	for i := range g.members {
		g.health.leave(g.members[i].service)
	}
	change(&g.health)
	for i := range g.members {
		g.health.enter(g.members[i].service)
	}
}

// learn takes a successful end.
func (s *State) learn(g *agent, d Done, now time.Time) {
	ratio := 1.0
	if d.RunTime > 0 {
		ratio = s.types.observe(d.Service, d.Type, d.RunTime, now)
		s.service(d.Service).runTime.add(float64(d.RunTime))
	}
	if g == nil {
		return
	}
	g.update(func(h *health) {
		h.ends++
		h.consecutive = 0
		h.failRate -= h.failRate * failWeight
		h.slow.add(math.Log(min(ratio, maxRatio)))
		h.slowStep = uint8(min(max(h.slow.value/math.Ln2*slowSteps+slowStepOne, 0), 255))
		h.readmit(g.slots, now)
	})
	if reason := g.slowOutlier(); reason != "" {
		s.eject(g, reason, now)
	}
}

// readmit doubles the tasks allowed in flight after each success.
func (h *health) readmit(slots int, now time.Time) {
	if h.limit == 0 || now.Before(h.until) {
		return
	}
	if h.limit *= 2; h.limit >= slots {
		h.limit, h.reason = 0, ""
	}
}

// failed takes a failure or a refusal.
func (s *State) failed(g *agent, d Done, now time.Time) {
	g.update(func(h *health) {
		h.ends++
		h.consecutive++
		h.failRate += (1 - h.failRate) * failWeight
		if !now.Before(h.heldUntil) {
			h.held = 0
		}
		h.held = min(h.held+1, g.slots)
		hold := s.types.typical(d.Service, d.Type)
		if hold <= 0 {
			hold = defaultRunTime
		}
		h.heldUntil = now.Add(failHold * hold)
	})
	if g.health.ejected(now) {
		return // tasks from before the ejection
	}
	if reason := g.failOutlier(); reason != "" {
		s.eject(g, reason, now)
	}
}

// failOutlier returns why the agent is an outlier by failures, or "". When the
// other agents fail as well, the tasks are the likely cause.
func (g *agent) failOutlier() string {
	h := &g.health
	others := 0.0
	for i := range g.members {
		v := g.members[i].service
		if n := len(v.ranks[0].items) - 1; n > 0 {
			others = max(others, (v.failures-h.failRate)/float64(n))
		}
	}
	switch {
	case others > 0.5:
		return ""
	case h.limit > 0:
		return "failure during readmission"
	case h.consecutive >= ejectAfter && h.failRate > others+burstMargin:
		return fmt.Sprintf("%d consecutive failures", h.consecutive)
	case h.ends >= minSamples && h.failRate > 2*others+failMargin:
		return fmt.Sprintf("failure rate %.2f, others %.2f", h.failRate, others)
	}
	return ""
}

// slowOutlier returns why the agent is an outlier by speed, or "".
func (g *agent) slowOutlier() string {
	h := &g.health
	if h.slow.count < minSamples || h.limit > 0 {
		return ""
	}
	for i := range g.members {
		v := g.members[i].service
		n := len(v.ranks[0].items) - 1
		if n < 1 {
			continue
		}
		others := (v.slowness - h.slow.value) / float64(n)
		if ratio := math.Exp(h.slow.value - others); ratio > slowFactor {
			return fmt.Sprintf("%.1f times slower than the others", ratio)
		}
	}
	return ""
}

// eject takes an agent out, unless too many agents of one of its services are
// out. Each ejection lasts twice as long as the one before.
func (s *State) eject(g *agent, reason string, now time.Time) {
	if g.health.limit == 0 && !s.mayEject(g) {
		return
	}
	g.update(func(h *health) {
		if now.Sub(h.until) > s.o.MaxEjectTime {
			h.ejections = 0
		}
		length := s.o.EjectTime << min(h.ejections, 20)
		h.ejections++
		h.limit, h.until, h.reason = 1, now.Add(min(length, s.o.MaxEjectTime)), reason
		h.slow, h.slowStep, h.ends, h.consecutive = average{}, slowStepOne, 0, 0
	})
}

func (s *State) mayEject(g *agent) bool {
	for i := range g.members {
		v := g.members[i].service
		if float64(v.limited+1) > s.o.EjectShare*float64(len(v.ranks[0].items)) {
			return false
		}
	}
	return true
}

// AgentStatus describes an agent for the status page.
type AgentStatus struct {
	ID                     uint64
	Worker, Zone           string
	Services               []string
	Up, Leaving, Ejected   bool
	Slots, Own, Free       int
	FailureRate, Slowdown  float64
	Reason                 string
	EjectedUntil           time.Time
	ReadmissionTasksAtOnce int
}

// Agents returns the status of all agents.
func (s *State) Agents(now time.Time) []AgentStatus {
	out := make([]AgentStatus, 0, len(s.list))
	for _, g := range s.list {
		st := AgentStatus{
			ID: g.id, Worker: g.worker, Zone: g.zone, Up: g.up, Leaving: g.leaving,
			Ejected: g.health.ejected(now), Slots: g.slots, Own: g.own, Free: max(g.free(now), 0),
			FailureRate: g.health.failRate, Slowdown: math.Exp(g.health.slow.value),
			Reason: g.health.reason, EjectedUntil: g.health.until, ReadmissionTasksAtOnce: g.health.limit,
		}
		for i := range g.members {
			st.Services = append(st.Services, g.members[i].service.name)
		}
		out = append(out, st)
	}
	return out
}
