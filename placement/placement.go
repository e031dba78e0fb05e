// Package placement decides which agent runs the next task.
//
// Input: agents and their load reports, outcomes of tasks. Output: an agent for
// the next task. State: the estimated load and the health of each agent, and
// learned run times per service and request type. The package is pure: it does no
// I/O, and time and the random seed are arguments. A State is not safe for
// concurrent use.
//
// An agent that fails tasks or is too slow is ejected: it gets no tasks for a time.
// It is then in readmission, with a limit on its tasks in flight that doubles with
// each success.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/wire"
)

// Policies that select an agent; see Options.Policy. Random and PowerOfTwo are
// baselines for comparison with Estimate.
const (
	// Estimate selects the agent that ranks highest by estimated free slots, then
	// speed, then zone.
	Estimate = "estimate"
	// Random selects any agent on which this entry has fewer tasks than slots.
	Random = "random"
	// PowerOfTwo selects, of two random agents on which this entry has fewer tasks
	// than slots, the one with more estimated free slots.
	PowerOfTwo = "power-of-two"
)

const (
	// agentsPerRefresh is the number of agents whose rank is recomputed by each call
	// of HasFreeSlot and Pick, in rotation, so that the passage of time (decay of
	// reports, end of ejections) takes effect without a timer.
	agentsPerRefresh = 4
	// maxDraws limits the random draws per decision of Random and PowerOfTwo.
	maxDraws = 8
	// disconnectedRetention is how long the state of a disconnected agent is kept.
	disconnectedRetention = time.Minute
)

// Agent describes an agent that connects. ID is its incarnation, which identifies
// one run of the agent process.
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
	// EjectShare is the maximum share of the eligible agents of a service that may be
	// ejected or in readmission; default 0.3.
	EjectShare float64
	// EjectTime is the duration of the first ejection of an agent; default 1 s. The
	// duration doubles with each further ejection, up to MaxEjectTime (default 1 min).
	EjectTime, MaxEjectTime time.Duration
	// LongShare is the share of an agent's slots that long tasks may take;
	// default 0.75.
	LongShare float64
	// MaxTypes is the maximum number of request types with learned run times;
	// default 1024.
	MaxTypes int
	// RoundTripTime is the network round-trip time to an agent; default 1 ms.
	RoundTripTime time.Duration
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
	if o.RoundTripTime <= 0 {
		o.RoundTripTime = time.Millisecond
	}
}

// TaskEnd describes how a start, one attempt to run a task at an agent, ended.
type TaskEnd struct {
	Service, Type string
	Class         wire.Class
	// Outcome is 0 if the start was not sent or its outcome is unknown.
	Outcome wire.Outcome
	// RunTime is the run time at the backend server; 0 if unknown.
	RunTime time.Duration
}

// State holds what one entry knows of all agents.
type State struct {
	options Options
	// source is that of rand, which a Clone copies to draw the same numbers.
	source       *rand.PCG
	rand         *rand.Rand
	agents       map[uint64]*agent
	agentList    []*agent
	refreshIndex int
	services     map[string]*service
	allowed      func(worker, zone, service string) bool
	types        requestTypes
	// now is the time of the last event or decision, for methods without a time
	// argument.
	now time.Time
	// onPick is called with each choice of Pick before the slot is reserved; nil if nothing
	// explains the choices.
	onPick func(r *ranking, chosen *agent)
}

// service holds the rankings of the agents of one service by class, and the sums
// over the eligible ones from which an agent is compared with the others.
type service struct {
	name     string
	rankings [2]ranking
	// eligibleAgents is the number of agents that may get tasks if they aren't ejected;
	// limitedAgents of them are ejected or in readmission. failureRateSum and
	// logSlowdownSum are the sums of health.failureRate and of health.logSlowdown over the
	// eligible agents.
	eligibleAgents, limitedAgents  int
	failureRateSum, logSlowdownSum float64
	meanRunTime                    movingAverage
	// othersShare and othersLongShare are the mean shares of an agent's slots that
	// tasks and long tasks of other entries use, by the last reports. reportedAt is
	// the time of the last report of any agent.
	othersShare, othersLongShare movingAverage
	reportedAt                   time.Time
}

// observeOthers adds the last report of an agent to the mean shares.
func (v *service) observeOthers(g *agent, now time.Time) {
	v.reportedAt = now
	if g.slots > 0 {
		v.othersShare.add(g.reportedOthers / float64(g.slots))
		v.othersLongShare.add(g.reportedOthersLong / float64(g.slots))
	}
}

// New returns a State without agents.
func New(o Options) *State {
	o.setDefaults()
	source := rand.NewPCG(o.Seed, 0)
	return &State{
		options: o, source: source, rand: rand.New(source), agents: map[uint64]*agent{},
		services: map[string]*service{}, types: newRequestTypes(o.MaxTypes),
	}
}

// AgentConnected adds an agent that has connected. For a known agent, whose
// connection was replaced or was lost for less than disconnectedRetention, the tasks
// in flight and the health are kept.
func (s *State) AgentConnected(a Agent, now time.Time) {
	s.now = now
	s.removeStale(now)
	g := s.agents[a.ID]
	if g == nil {
		g = &agent{id: a.ID, health: health{slowdownStep: neutralSlowdownStep}}
		s.agents[a.ID] = g
		s.agentList = append(s.agentList, g)
	}
	g.worker, g.zone, g.connected = a.Worker, a.Zone, true
	s.setServices(g, a.Services)
	g.applyReport(a.Load, s.options.RoundTripTime, now)
	s.updateRank(g)
}

// AgentDisconnected records that the connection to an agent is lost, so that Pick
// no longer returns it.
func (s *State) AgentDisconnected(id uint64) {
	if g := s.agents[id]; g != nil {
		g.connected, g.disconnectedAt = false, s.now
		s.updateRank(g)
	}
}

// UpdateLoad updates an agent from the load that came with a message. services is
// nil if they are unchanged. For a Result message, the caller passes the same time
// to UpdateLoad and TaskEnded, in either order: the load in the message already
// excludes the task that ended. For OutcomeBusy, UpdateLoad comes first, since it
// would replace the estimate that TaskEnded sets.
func (s *State) UpdateLoad(id uint64, l wire.Load, services []string, now time.Time) {
	s.now = now
	g := s.agents[id]
	if g == nil {
		return
	}
	if services != nil {
		s.setServices(g, services)
	}
	g.applyReport(l, s.options.RoundTripTime, now)
	s.updateRank(g)
}

// SetAllowedWorkers sets which workers the configuration allows to serve which
// services, by the worker and its availability zone. A nil function allows all.
func (s *State) SetAllowedWorkers(allowed func(worker, zone, service string) bool) {
	s.allowed = allowed
	for _, g := range s.agentList {
		for i := range g.memberships {
			m := &g.memberships[i]
			m.allowed = s.allows(g, m.service.name)
		}
		s.updateRank(g)
	}
	s.endExcessEjections()
}

// HasFreeSlot reports whether an agent has an estimated free slot for a task of the
// service and class. With the policies Random and PowerOfTwo, Pick may decide
// otherwise, since they count only this entry's tasks against the slots.
func (s *State) HasFreeSlot(name string, c wire.Class, now time.Time) bool {
	v := s.services[name]
	if v == nil {
		return false
	}
	s.refresh(now)
	return v.rankings[c].best() != nil
}

// Pick selects an agent for the next task, returns its ID and reserves a slot on it
// until TaskEnded. It returns false if no agent is available. It does not allocate.
func (s *State) Pick(name string, c wire.Class, now time.Time) (uint64, bool) {
	v := s.services[name]
	if v == nil {
		return 0, false
	}
	s.refresh(now)
	var g *agent
	switch s.options.Policy {
	case Random:
		g = s.pickRandom(&v.rankings[c], 1)
	case PowerOfTwo:
		g = s.pickRandom(&v.rankings[c], 2)
	default:
		g = v.rankings[c].best()
	}
	if g == nil {
		return 0, false
	}
	if s.onPick != nil {
		s.onPick(&v.rankings[c], g)
	}
	g.recordStart(c, now)
	s.updateRank(g)
	return g.id, true
}

// TaskEnded frees the slot of a start and updates run times and the agent's health by
// its outcome.
func (s *State) TaskEnded(id uint64, end TaskEnd, now time.Time) {
	s.now = now
	g := s.agents[id]
	if g != nil {
		g.recordEnd(end.Class)
		if g.reportedAt.Equal(now) {
			// The load of the same message already excludes the task.
			g.applyReport(g.load, s.options.RoundTripTime, now)
		}
	}
	switch end.Outcome {
	case wire.OutcomeOK:
		s.recordSuccess(g, end, now)
	case wire.OutcomeFailed, wire.OutcomeRefused:
		if g != nil {
			s.recordFailure(g, end, now)
		}
	case wire.OutcomeBusy:
		if g != nil {
			g.recordBusy(now)
		}
	}
	if g != nil {
		s.updateRank(g)
	}
}

// Class returns the class of a request type, wire.ClassShort if it is unknown.
func (s *State) Class(service, typ string) wire.Class { return s.types.class(service, typ) }

// Supply returns the supply of slots of a service. The caller sets its Waiting.
func (s *State) Supply(name string) admission.Supply {
	v := s.services[name]
	if v == nil {
		return admission.Supply{}
	}
	supply := admission.Supply{RunTime: v.meanRunTime.duration()}
	for _, it := range v.rankings[0].items {
		g := it.agent
		if !g.usable(it.membership, s.now) {
			continue
		}
		others := min(g.estimateOthersTotal(s.now), float64(g.slots))
		supply.Slots += g.slots
		supply.BusyByOthers += int(others + 0.5)
		supply.Busy += min(g.slots, g.ownTasks+int(others+0.5))
	}
	return supply
}

// Advance sets the time for the methods without a time argument. Without it, an ejection
// that ends while no agent reports would last on for them.
func (s *State) Advance(now time.Time) { s.now = now }

// EjectionEnd returns when the first of the ejected agents that may otherwise get tasks of
// the service is readmitted, and whether there is one.
func (s *State) EjectionEnd(name string) (end time.Time, ejected bool) {
	v := s.services[name]
	if v == nil {
		return end, false
	}
	for _, it := range v.rankings[0].items {
		g := it.agent
		if !g.eligible(it.membership) || !g.health.ejected(s.now) {
			continue
		}
		if !ejected || g.health.ejectedUntil.Before(end) {
			end, ejected = g.health.ejectedUntil, true
		}
	}
	return end, ejected
}

// pickRandom returns, of up to n random agents on which this entry has fewer tasks
// than slots, the one with the most estimated free slots. It returns nil if maxDraws
// draws find none.
func (s *State) pickRandom(r *ranking, n int) *agent {
	var best *agent
	for range maxDraws {
		if len(r.items) == 0 || n == 0 {
			break
		}
		it := r.items[s.rand.IntN(len(r.items))]
		g := it.agent
		if !g.usable(it.membership, s.now) || !g.availableByOwnTasks(r.class, s.options.LongShare) || g == best {
			continue
		}
		if best == nil || g.free(s.now) > best.free(s.now) {
			best = g
		}
		n--
	}
	return best
}

// refresh recomputes the ranks of the next agentsPerRefresh agents.
func (s *State) refresh(now time.Time) {
	s.now = now
	for range min(agentsPerRefresh, len(s.agentList)) {
		s.refreshIndex = (s.refreshIndex + 1) % len(s.agentList)
		s.updateRank(s.agentList[s.refreshIndex])
	}
}

// removeStale removes agents that have been disconnected for disconnectedRetention.
func (s *State) removeStale(now time.Time) {
	kept := s.agentList[:0]
	for _, g := range s.agentList {
		if g.connected || now.Sub(g.disconnectedAt) < disconnectedRetention {
			kept = append(kept, g)
			continue
		}
		s.setServices(g, nil)
		delete(s.agents, g.id)
	}
	clear(s.agentList[len(kept):])
	s.agentList, s.refreshIndex = kept, 0
}

func (s *State) allows(g *agent, service string) bool {
	return s.allowed == nil || s.allowed(g.worker, g.zone, service)
}
