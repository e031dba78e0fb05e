// Package placement decides which agent runs the next task.
//
// Input: agents and their load reports, ends of tasks. Output: an agent for the
// next task. State: an estimate per agent, learned run times per service and
// request type, ejected agents. The package is pure: time and the random seed
// are arguments. A State is not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/wire"
)

// Policies.
const (
	// Estimate takes the agent with the most estimated free slots.
	Estimate = "estimate"
	// Random takes any agent on which this entry has fewer tasks than slots.
	Random = "random"
	// PowerOfTwo takes the better of two random agents.
	PowerOfTwo = "power-of-two"
)

const (
	// refreshes is how many agents are estimated anew at each decision, in
	// rotation, so that decay and readmission show without a timer.
	refreshes = 4
	// draws bounds the random choices of the baseline policies.
	draws = 8
	// downMemory is how long the health of an agent that is gone is kept.
	downMemory = time.Minute
)

// Agent describes an agent when it connects. ID is its incarnation.
type Agent struct {
	ID           uint64
	Worker, Zone string
	Services     []string
	Load         wire.Load
}

// Options configure a State. Zero values select the defaults.
type Options struct {
	Policy string
	// Zone is the availability zone of this entry.
	Zone string
	Seed uint64
	// EjectShare bounds the share of ejected agents of a service; default 0.3.
	EjectShare float64
	// EjectTime is the length of the first ejection; default 1 s. It doubles up
	// to MaxEjectTime, by default 1 min.
	EjectTime, MaxEjectTime time.Duration
	// LongShare is the share of an agent's slots that long tasks may take;
	// default 0.75.
	LongShare float64
	// MaxTypes bounds the remembered request types; default 1024.
	MaxTypes int
	// Transit is the round trip time to an agent; default 1 ms.
	Transit time.Duration
}

func (o *Options) setDefaults() {
	if o.Policy == "" {
		o.Policy = Estimate
	}
	if o.EjectShare <= 0 {
		o.EjectShare = 0.3
	}
	if o.EjectTime <= 0 {
		o.EjectTime = time.Second
	}
	if o.MaxEjectTime <= 0 {
		o.MaxEjectTime = time.Minute
	}
	if o.LongShare <= 0 || o.LongShare > 1 {
		o.LongShare = 0.75
	}
	if o.MaxTypes <= 0 {
		o.MaxTypes = 1024
	}
	if o.Transit <= 0 {
		o.Transit = time.Millisecond
	}
}

// Done describes the end of a start.
type Done struct {
	Service, Type string
	Class         wire.Class
	Outcome       wire.Outcome
	// RunTime is the run time at the backend server; 0 if unknown.
	RunTime time.Duration
}

// State is the view that one entry has of all agents.
type State struct {
	o        Options
	rand     *rand.Rand
	agents   map[uint64]*agent
	list     []*agent
	turn     int
	services map[string]*service
	allowed  func(worker, service string) bool
	types    types
	now      time.Time
}

// service is the ranking of the agents of one service, and sums over them for
// comparisons.
type service struct {
	name  string
	ranks [2]ranking
	// failures, slowness and limited are sums over the agents: failure rates,
	// logarithms of relative run times, and agents that are ejected or in
	// readmission.
	failures, slowness float64
	limited            int
	runTime            average
	// others and othersLong are the mean parts of an agent's slots that other
	// entries use, from the last reports.
	others, othersLong average
	reportAt           time.Time
}

func (v *service) learnOthers(g *agent, now time.Time) {
	v.reportAt = now
	if g.slots > 0 {
		v.others.add(g.others / float64(g.slots))
		v.othersLong.add(g.othersLong / float64(g.slots))
	}
}

// New returns a State without agents.
func New(o Options) *State {
	o.setDefaults()
	return &State{
		o: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), agents: map[uint64]*agent{},
		services: map[string]*service{}, types: newTypes(o.MaxTypes),
	}
}

// AgentUp adds an agent, or brings back one whose connection was replaced; its
// tasks in flight and its health are kept.
func (s *State) AgentUp(a Agent, now time.Time) {
	s.now = now
	s.forget(now)
	g := s.agents[a.ID]
	if g == nil {
		g = &agent{id: a.ID, health: health{slowStep: slowStepOne}}
		s.agents[a.ID] = g
		s.list = append(s.list, g)
	}
	g.worker, g.zone, g.up = a.Worker, a.Zone, true
	s.join(g, a.Services)
	g.report(a.Load, s.o.Transit, now)
	s.rank(g)
}

// AgentDown stops starts on an agent whose connection is gone.
func (s *State) AgentDown(id uint64) {
	if g := s.agents[id]; g != nil {
		g.up, g.downAt = false, s.now
		s.rank(g)
	}
}

// Report takes the load that came with a message. Services nil means that they
// are unchanged. For a Result, Done is called with the same time, before or
// after, since the load does not count the task that ended.
func (s *State) Report(id uint64, l wire.Load, services []string, now time.Time) {
	s.now = now
	g := s.agents[id]
	if g == nil {
		return
	}
	if services != nil {
		s.join(g, services)
	}
	g.report(l, s.o.Transit, now)
	s.rank(g)
}

// SetWorkers sets which workers may serve which service by configuration. Nil
// allows all.
func (s *State) SetWorkers(allowed func(worker, service string) bool) {
	s.allowed = allowed
	for _, g := range s.list {
		for i := range g.members {
			m := &g.members[i]
			m.allowed = s.allows(g.worker, m.service.name)
		}
		s.rank(g)
	}
}

// HasRoom reports whether Pick would find a slot.
func (s *State) HasRoom(name string, c wire.Class, now time.Time) bool {
	v := s.services[name]
	if v == nil {
		return false
	}
	s.refresh(now)
	return v.ranks[c].best() != nil
}

// Pick returns the agent for the next task and reserves a slot on it, until
// Done. It does not allocate.
func (s *State) Pick(name string, c wire.Class, now time.Time) (uint64, bool) {
	v := s.services[name]
	if v == nil {
		return 0, false
	}
	s.refresh(now)
	var g *agent
	switch s.o.Policy {
	case Random:
		g = s.draw(&v.ranks[c], 1)
	case PowerOfTwo:
		g = s.draw(&v.ranks[c], 2)
	default:
		g = v.ranks[c].best()
	}
	if g == nil {
		return 0, false
	}
	g.start(c, now)
	s.rank(g)
	return g.id, true
}

// Done frees the slot of a start and learns from how it ended.
func (s *State) Done(id uint64, d Done, now time.Time) {
	s.now = now
	g := s.agents[id]
	if g != nil {
		g.end(d.Class)
		if g.reportAt.Equal(now) {
			// The load of the same message does not count the task any more.
			g.report(g.load, s.o.Transit, now)
		}
	}
	switch d.Outcome {
	case wire.OutcomeOK:
		s.learn(g, d, now)
	case wire.OutcomeFailed, wire.OutcomeRefused:
		if g != nil {
			s.failed(g, d, now)
		}
	case wire.OutcomeBusy:
		if g != nil {
			g.full(now)
		}
	}
	if g != nil {
		s.rank(g)
	}
}

// Class returns the class of a request type; unknown types count as short.
func (s *State) Class(service, typ string) wire.Class { return s.types.class(service, typ) }

// Supply returns the slots of a service, without the waiting tasks.
func (s *State) Supply(name string) admission.Supply {
	v := s.services[name]
	if v == nil {
		return admission.Supply{}
	}
	p := admission.Supply{RunTime: v.runTime.duration()}
	for _, it := range v.ranks[0].items {
		g := it.agent
		if !g.usable(it.member, s.now) {
			continue
		}
		others := min(g.othersNow(s.now), float64(g.slots))
		p.Slots += g.slots
		p.Others += int(others + 0.5)
		p.Busy += min(g.slots, g.own+int(others+0.5))
	}
	return p
}

// draw returns the best of n random agents with room by this entry's own count,
// or nil if several draws find none.
func (s *State) draw(r *ranking, n int) *agent {
	var found *agent
	for range draws {
		if len(r.items) == 0 || n == 0 {
			break
		}
		it := r.items[s.rand.IntN(len(r.items))]
		g := it.agent
		if !g.usable(it.member, s.now) || !g.ownRoom(r.class, s.o.LongShare) || g == found {
			continue
		}
		if found == nil || g.free(s.now) > found.free(s.now) {
			found = g
		}
		n--
	}
	return found
}

// refresh estimates some agents anew.
func (s *State) refresh(now time.Time) {
	s.now = now
	for range min(refreshes, len(s.list)) {
		s.turn = (s.turn + 1) % len(s.list)
		s.rank(s.list[s.turn])
	}
}

// forget drops agents that have been gone for a while.
func (s *State) forget(now time.Time) {
	kept := s.list[:0]
	for _, g := range s.list {
		if g.up || now.Sub(g.downAt) < downMemory {
			kept = append(kept, g)
			continue
		}
		s.join(g, nil)
		delete(s.agents, g.id)
	}
	clear(s.list[len(kept):])
	s.list, s.turn = kept, 0
}

func (s *State) allows(worker, service string) bool {
	return s.allowed == nil || s.allowed(worker, service)
}
