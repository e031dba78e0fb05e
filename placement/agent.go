package placement

import (
	"math"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// defaultRunTime is the assumed run time of a service or request type without
// observations.
const defaultRunTime = 200 * time.Millisecond

// agent is the state that an entry keeps of one agent.
type agent struct {
	id             uint64
	worker, zone   string
	memberships    []membership
	connected      bool
	disconnectedAt time.Time

	load    wire.Load
	slots   int
	leaving bool
	// ownTasks and ownLongTasks are the exact numbers of this entry's tasks in flight,
	// in total and of the long class.
	ownTasks, ownLongTasks int
	// reportedOthers and reportedOthersLong are the numbers of all tasks and of long
	// tasks of other entries at reportedAt.
	reportedOthers, reportedOthersLong float64
	reportedAt                         time.Time
	// recentStarts is used to determine how many starts had not reached the agent
	// when it sent a report, and so are not counted in that report.
	recentStarts startRing

	health health
}

// membership is an agent's position in the rankings of one service, by class.
// allowed is whether the configuration lets the worker serve the service, counted
// whether the agent is among the eligible agents of the service.
type membership struct {
	service          *service
	allowed, counted bool
	pos              [2]int
}

// startRing is a ring buffer of the times and classes of the last starts.
type startRing struct {
	at   [maxRecentStarts]time.Time
	long [maxRecentStarts]bool
	next int
}

// maxRecentStarts is the number of starts in transit to one agent that are
// accounted for. More than a few occur only in a burst to a single agent.
const maxRecentStarts = 8

func (r *startRing) add(c wire.Class, now time.Time) {
	r.at[r.next], r.long[r.next] = now, c == wire.ClassLong
	r.next = (r.next + 1) % maxRecentStarts
}

// countAfter returns the number of starts after t, in total and of the long class.
func (r *startRing) countAfter(t time.Time) (all, long int) {
	for i := range r.at {
		if r.at[i].After(t) {
			all++
			if r.long[i] {
				long++
			}
		}
	}
	return all, long
}

// applyReport updates the agent from a load report. It subtracts this entry's tasks
// that had reached the agent when it sent the report; the remaining tasks in the
// report belong to other entries.
func (g *agent) applyReport(l wire.Load, roundTrip time.Duration, now time.Time) {
	all, long := g.recentStarts.countAfter(now.Add(-roundTrip))
	g.load, g.slots, g.leaving = l, int(l.Slots), l.Leaving
	g.reportedOthers = max(float64(int(l.Running)+int(l.Held)-max(g.ownTasks-all, 0)), 0)
	g.reportedOthersLong = max(float64(int(l.RunningLong)-max(g.ownLongTasks-long, 0)), 0)
	g.reportedAt = now
	for i := range g.memberships {
		g.memberships[i].service.observeOthers(g, now)
	}
}

// recordBusy records that the agent answered a start with OutcomeBusy. Other entries
// then count as using all slots that this entry does not use.
func (g *agent) recordBusy(now time.Time) {
	g.reportedOthers = max(float64(g.slots-g.ownTasks), 0)
	g.reportedAt = now
}

func (g *agent) recordStart(c wire.Class, now time.Time) {
	g.recentStarts.add(c, now)
	g.ownTasks++
	if c == wire.ClassLong {
		g.ownLongTasks++
	}
}

func (g *agent) recordEnd(c wire.Class) {
	g.ownTasks = max(g.ownTasks-1, 0)
	if c == wire.ClassLong {
		g.ownLongTasks = max(g.ownLongTasks-1, 0)
	}
}

// meanDecayRunTimes is the time constant, in mean run times, with which the mean of
// the reports decays while no agent of the service reports. Without this decay, an
// entry whose last reports were of full agents and that has no task in flight would
// never start a task again.
const meanDecayRunTimes = 10

// estimateOthers returns the estimated number of tasks of other entries, in total
// and of the long class. As the agent's last report ages, the estimate moves from
// the reported number to the mean over the reports of all agents of its first
// service, since other entries keep starting tasks while no report arrives.
func (g *agent) estimateOthers(now time.Time) (all, long float64) {
	age := now.Sub(g.reportedAt)
	if age <= 0 || len(g.memberships) == 0 {
		return g.reportedOthers, g.reportedOthersLong
	}
	v := g.memberships[0].service
	runTime := v.meanRunTime.value
	if runTime <= 0 {
		runTime = float64(defaultRunTime)
	}
	decay := math.Exp(-float64(age) / runTime)
	decayedSlots := math.Exp(-float64(now.Sub(v.reportedAt))/(meanDecayRunTimes*runTime)) * float64(g.slots)
	all, long = v.othersShare.value*decayedSlots, v.othersLongShare.value*decayedSlots
	return all + (g.reportedOthers-all)*decay, long + (g.reportedOthersLong-long)*decay
}

// estimateOthersTotal returns the total of estimateOthers.
func (g *agent) estimateOthersTotal(now time.Time) float64 {
	all, _ := g.estimateOthers(now)
	return all
}

// free returns the estimated number of free slots; it is negative if the agent is
// overcommitted.
func (g *agent) free(now time.Time) int { return g.freeWithOthers(g.estimateOthersTotal(now), now) }

func (g *agent) freeWithOthers(others float64, now time.Time) int {
	return g.slots - g.ownTasks - int(others+0.5) - g.health.activePenalty(now)
}

// availableSlots returns the estimated free slots by class. During readmission the
// agent has none once this entry's tasks on it reach readmissionLimit. Until then
// the limit does not reduce the number; if it did, the agent would rank last and get
// no task until all others are full.
func (g *agent) availableSlots(longShare float64, now time.Time) (slots [2]int) {
	if limit := g.health.readmissionLimit; limit > 0 && g.ownTasks >= limit {
		return slots
	}
	others, othersLong := g.estimateOthers(now)
	free := g.freeWithOthers(others, now)
	long := longSlots(g.slots, longShare) - g.ownLongTasks - int(othersLong+0.5)
	return [2]int{free, min(free, long)}
}

// availableByOwnTasks reports whether the agent has a free slot if only this
// entry's own tasks are counted, as the baseline policies Random and PowerOfTwo do.
func (g *agent) availableByOwnTasks(c wire.Class, longShare float64) bool {
	if limit := g.health.readmissionLimit; limit > 0 && g.ownTasks >= limit {
		return false
	}
	return g.ownTasks < g.slots && (c == wire.ClassShort || g.ownLongTasks < longSlots(g.slots, longShare))
}

func longSlots(slots int, longShare float64) int { return max(int(float64(slots)*longShare), 1) }

// usable reports whether the agent may get tasks of the service of its membership
// with index m, whether or not it has a free slot.
func (g *agent) usable(m int, now time.Time) bool {
	return g.eligible(m) && !g.health.ejected(now)
}

// eligible reports whether the agent may get tasks of the service of its membership with
// index m as far as its connection, its own report and the configuration are concerned.
func (g *agent) eligible(m int) bool { return g.connected && !g.leaving && g.memberships[m].allowed }

// setServices replaces the services of the agent and moves it to their rankings.
func (s *State) setServices(g *agent, services []string) {
	same := len(services) == len(g.memberships)
	for i := range g.memberships {
		same = same && g.memberships[i].service.name == services[i]
	}
	if same {
		return
	}
	for i := range g.memberships {
		m := &g.memberships[i]
		for c := range m.service.rankings {
			m.service.rankings[c].remove(m.pos[c])
		}
		if m.counted {
			m.removeFromSums(&g.health)
		}
	}
	g.memberships = g.memberships[:0]
	for i, name := range services {
		if slices.Contains(services[:i], name) {
			continue
		}
		v := s.serviceFor(name)
		g.memberships = append(g.memberships, membership{service: v, allowed: s.allows(g, name)})
		for c := range v.rankings {
			v.rankings[c].add(g, len(g.memberships)-1)
		}
	}
}

// serviceFor returns the service of the name and creates it if necessary.
func (s *State) serviceFor(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name}
		v.rankings[wire.ClassLong].class = wire.ClassLong
		s.services[name] = v
	}
	return v
}

// updateRank recomputes the keys of the agent in the rankings of its services, after any
// change that they depend on.
func (s *State) updateRank(g *agent) {
	g.updateEligible()
	tie := s.rand.Uint64() & tieMask
	slots := g.availableSlots(s.options.LongShare, s.now)
	for i := range g.memberships {
		m := &g.memberships[i]
		usable := g.usable(i, s.now)
		for c := range slots {
			k := uint64(0)
			if usable && slots[c] > 0 {
				k = rankKey(slots[c], g.health.slowdownStep, g.zone == s.options.Zone, tie)
			}
			m.service.rankings[c].set(m.pos[c], k)
		}
	}
}
