package placement

import (
	"math"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// defaultRunTime stands for the run time of a service before any observation.
const defaultRunTime = 200 * time.Millisecond

// agent is what an entry knows of one agent.
type agent struct {
	id           uint64
	worker, zone string
	members      []member
	up           bool
	downAt       time.Time

	load    wire.Load
	slots   int
	leaving bool
	// own and ownLong are the exact counts of this entry's tasks in flight.
	own, ownLong int
	// others and othersLong are the tasks of other entries at reportAt.
	others, othersLong float64
	reportAt           time.Time
	// recent holds the last starts, so that a report does not count starts that
	// had not reached the agent as running there.
	recent recent

	health health
}

// member is the place of an agent in the ranking of one service.
type member struct {
	service *service
	allowed bool
	pos     [2]int
}

// recent is a ring of the times of the last starts.
type recent struct {
	at   [recentStarts]time.Time
	long [recentStarts]bool
	next int
}

// recentStarts bounds the starts that one agent can have in transit; more than
// a few would need a burst to a single agent.
const recentStarts = 8

func (r *recent) add(c wire.Class, now time.Time) {
	r.at[r.next], r.long[r.next] = now, c == wire.ClassLong
	r.next = (r.next + 1) % recentStarts
}

// since counts the starts after a time, all and long ones.
func (r *recent) since(t time.Time) (all, long int) {
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

// report takes a load report. What exceeds this entry's own tasks that had
// arrived when the report was sent belongs to others.
func (g *agent) report(l wire.Load, transit time.Duration, now time.Time) {
	all, long := g.recent.since(now.Add(-transit))
	g.load, g.slots, g.leaving = l, int(l.Slots), l.Leaving
	g.others = max(float64(int(l.Running)+int(l.Held)-max(g.own-all, 0)), 0)
	g.othersLong = max(float64(int(l.RunningLong)-max(g.ownLong-long, 0)), 0)
	g.reportAt = now
	for i := range g.members {
		g.members[i].service.learnOthers(g, now)
	}
}

// full records that the agent had no slot.
func (g *agent) full(now time.Time) {
	g.others = max(float64(g.slots-g.own), 0)
	g.reportAt = now
}

func (g *agent) start(c wire.Class, now time.Time) {
	g.recent.add(c, now)
	g.own++
	if c == wire.ClassLong {
		g.ownLong++
	}
}

func (g *agent) end(c wire.Class) {
	g.own = max(g.own-1, 0)
	if c == wire.ClassLong {
		g.ownLong = max(g.ownLong-1, 0)
	}
}

// meanDecay is how many run times the mean of the reports holds for when there
// are no reports at all. Without an end, an entry that last saw full agents and
// has nothing in flight would never start a task again.
const meanDecay = 10

// othersAt returns the estimated tasks of other entries. As the report decays,
// the estimate moves from the reported count to the mean of the reports of all
// agents: other entries go on starting tasks while this one hears nothing.
func (g *agent) othersAt(now time.Time) (all, long float64) {
	age := now.Sub(g.reportAt)
	if age <= 0 || len(g.members) == 0 {
		return g.others, g.othersLong
	}
	v := g.members[0].service
	runTime := v.runTime.value
	if runTime <= 0 {
		runTime = float64(defaultRunTime)
	}
	decay := math.Exp(-float64(age) / runTime)
	mean := math.Exp(-float64(now.Sub(v.reportAt))/(meanDecay*runTime)) * float64(g.slots)
	all, long = v.others.value*mean, v.othersLong.value*mean
	return all + (g.others-all)*decay, long + (g.othersLong-long)*decay
}

func (g *agent) othersNow(now time.Time) float64 {
	all, _ := g.othersAt(now)
	return all
}

// free returns the estimated free slots.
func (g *agent) free(now time.Time) int { return g.freeBeside(g.othersNow(now), now) }

func (g *agent) freeBeside(others float64, now time.Time) int {
	return g.slots - g.own - int(others+0.5) - g.health.reserved(now)
}

// room returns the estimated slots by class. During readmission the limit
// decides whether the agent has room, but not its place among the others, since
// it would otherwise get no task until all others are full.
func (g *agent) room(share float64, now time.Time) (room [2]int) {
	if limit := g.health.limit; limit > 0 && g.own >= limit {
		return room
	}
	others, othersLong := g.othersAt(now)
	free := g.freeBeside(others, now)
	long := longSlots(g.slots, share) - g.ownLong - int(othersLong+0.5)
	return [2]int{free, min(free, long)}
}

// ownRoom reports whether this entry's own tasks leave a slot; the baseline
// policies know nothing else.
func (g *agent) ownRoom(c wire.Class, share float64) bool {
	if limit := g.health.limit; limit > 0 && g.own >= limit {
		return false
	}
	return g.own < g.slots && (c == wire.ClassShort || g.ownLong < longSlots(g.slots, share))
}

func longSlots(slots int, share float64) int { return max(int(float64(slots)*share), 1) }

// usable reports whether the agent may get tasks of the service at all.
func (g *agent) usable(m int, now time.Time) bool {
	return g.up && !g.leaving && g.members[m].allowed && !g.health.ejected(now)
}

// join makes services the services of the agent.
func (s *State) join(g *agent, services []string) {
	same := len(services) == len(g.members)
	for i := range g.members {
		same = same && g.members[i].service.name == services[i]
	}
	if same {
		return
	}
	for i := range g.members {
		v := g.members[i].service
		for c := range v.ranks {
			v.ranks[c].remove(g.members[i].pos[c])
		}
		g.health.leave(v)
	}
	g.members = g.members[:0]
	for i, name := range services {
		if slices.Contains(services[:i], name) {
			continue
		}
		v := s.service(name)
		g.members = append(g.members, member{service: v, allowed: s.allows(g.worker, name)})
		for c := range v.ranks {
			v.ranks[c].add(g, len(g.members)-1)
		}
		g.health.enter(v)
	}
}

func (s *State) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{name: name}
		v.ranks[wire.ClassLong].class = wire.ClassLong
		s.services[name] = v
	}
	return v
}

// rank puts the agent at its place in the rankings of its services.
func (s *State) rank(g *agent) {
	tie := s.rand.Uint64() & tieMask
	room := g.room(s.o.LongShare, s.now)
	for i := range g.members {
		m := &g.members[i]
		usable := g.usable(i, s.now)
		for c := range room {
			k := uint64(0)
			if usable && room[c] > 0 {
				k = key(room[c], g.health.slowStep, g.zone == s.o.Zone, tie)
			}
			m.service.ranks[c].set(m.pos[c], k)
		}
	}
}
