package ownership

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/wire"
)

// retainedVersions is the number of recent roster versions for which a late
// acknowledgement is still accepted.
const retainedVersions = 16

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	// Blocked means that it is not yet known what an earlier owner of the key has
	// started, or that the roster has no members. The submission waits and, if
	// this lasts, fails with ran: maybe.
	Blocked DecisionKind = iota
	// Own means that this entry owns the key and runs its job.
	Own
	// Forward means that the member To owns the key, or still has it in its job
	// table.
	Forward
	// Expired means that the key has expired and its records may be deleted. Its
	// job must not run, and must not be reported as not run.
	Expired
)

// Decision is the result of Resolver.Resolve.
type Decision struct {
	Kind DecisionKind
	To   Member // set for Forward
	// Started lists, for Own, the tasks started by incarnations that left.
	Started []StartedTask
	// RecordsLost reports, for Own, that a task that is not in Started may have run,
	// because a ledger that could hold its record is lost. It must not start.
	RecordsLost bool
	// Closed reports, for Own, that an earlier owner has closed the key and may
	// have answered that its job did not run. No task of the key may start.
	Closed bool
}

// StartedTask is a task that an incarnation that left the roster has started at
// an agent.
type StartedTask struct {
	Task   uint16
	Worker string
	Agent  uint64 // incarnation of the agent
	Digest uint64
	State  wire.State
}

// Pending lists the requests that the entry still has to make.
type Pending struct {
	// Handovers are the live members that have not yet listed the keys they hold.
	Handovers []Member
	// Fences are the incarnations that left, each with the workers whose agents
	// have not yet acknowledged a roster without it.
	Fences []PendingFence
	// AgentsStale reports that the list of agents must be read again, because it is
	// older than a change of the roster or contains an agent that was replaced.
	// While a fence is pending, the list should be read periodically in any case:
	// an agent that left does not answer, and only its row shows that it left.
	AgentsStale bool
}

// Empty reports whether no request is pending.
func (p *Pending) Empty() bool {
	return len(p.Handovers) == 0 && len(p.Fences) == 0 && !p.AgentsStale
}

// PendingFence is an incarnation to fence and the workers whose agents have yet
// to acknowledge the fence.
type PendingFence struct {
	Incarnation uint64
	Workers     []string
}

// Resolver is the ownership state of one entry incarnation. It is not safe for
// concurrent use.
type Resolver struct {
	self   Member
	roster *Roster
	joined uint64    // roster version that added this entry
	now    time.Time // never decreases

	agents        map[string]Registration
	agentsVersion uint64
	agentsStale   bool

	// memberNames maps each roster version that this entry adopted as a member to
	// the names of the members. An acknowledgement for a version covers the keys
	// that this entry owned at that version.
	memberNames map[uint64][]string
	handovers   map[uint64][]uint64 // member incarnation -> acknowledged versions
	fences      map[uint64]*fence   // incarnation that left
	keys        expiryIndex
}

type fence struct {
	FencedMember
	// agents are taken from the first list of registrations read after the
	// incarnation left. Agents that register later have read a roster without it.
	agents         []fencedAgent
	agentsCaptured bool
}

type fencedAgent struct {
	worker      string
	incarnation uint64
	// ledgerLostAt is the time at which a ledger of the worker was last lost, as of
	// that list, or zero.
	ledgerLostAt  time.Time
	left          bool
	ackedVersions []uint64
}

// New returns the state of an entry that has no roster yet.
func New(self Member) *Resolver {
	return &Resolver{
		self: self, agents: map[string]Registration{}, memberNames: map[uint64][]string{},
		handovers: map[uint64][]uint64{}, fences: map[uint64]*fence{}, keys: expiryIndex{},
	}
}

// Roster returns the newest adopted roster, or nil.
func (s *Resolver) Roster() *Roster { return s.roster }

// Adopt replaces the roster by a newer one. It returns false and changes nothing
// if r is nil or not newer than the roster in use.
func (s *Resolver) Adopt(r *Roster, now time.Time) bool {
	if r == nil || s.roster != nil && r.Version <= s.roster.Version {
		return false
	}
	s.advanceClock(now)
	s.roster = r
	if m, ok := r.Find(s.self.Incarnation); ok {
		s.self, s.joined = m, m.Joined
		s.memberNames[r.Version] = names(r.Members)
	}
	listed := map[uint64]bool{}
	for _, f := range r.Fenced {
		listed[f.Incarnation] = true
		if t := s.fences[f.Incarnation]; t != nil {
			t.FencedMember = f
		} else {
			s.fences[f.Incarnation] = &fence{FencedMember: f}
		}
	}
	for id := range s.fences {
		if !listed[id] {
			delete(s.fences, id)
		}
	}
	s.captureAgents()
	s.pruneVersions()
	return true
}

// pruneVersions deletes the handovers of members that left, and the member names
// of versions without an acknowledgement. Recent versions are kept, since
// acknowledgements of them may still arrive.
func (s *Resolver) pruneVersions() {
	used := map[uint64]bool{}
	markUsed := func(acks []uint64) {
		for _, v := range acks {
			used[v] = true
		}
	}
	for id, acks := range s.handovers {
		if _, live := s.roster.Find(id); !live {
			delete(s.handovers, id)
		}
		markUsed(acks)
	}
	for _, f := range s.fences {
		for i := range f.agents {
			markUsed(f.agents[i].ackedVersions)
		}
	}
	for v := range s.memberNames {
		if !used[v] && v+retainedVersions < s.roster.Version {
			delete(s.memberNames, v)
		}
	}
}

// SetAgents replaces the list of registrations. rosterVersion is the version that
// this entry had adopted before it began to read the list: a list read before an
// incarnation left may lack an agent that accepted its starts. A list with an
// older version than the last one is ignored.
func (s *Resolver) SetAgents(regs []Registration, rosterVersion uint64) {
	if rosterVersion < s.agentsVersion {
		return
	}
	s.agents = make(map[string]Registration, len(regs))
	for _, r := range regs {
		s.agents[r.Worker] = r
	}
	s.agentsVersion, s.agentsStale = rosterVersion, false
	s.captureAgents()
}

// captureAgents stores the agents to ask for each fence, once the list of agents
// is new enough.
func (s *Resolver) captureAgents() {
	for _, f := range s.fences {
		if f.agentsCaptured || s.agentsVersion < f.Version {
			continue
		}
		f.agentsCaptured = true
		for _, r := range s.agents {
			f.agents = append(f.agents, fencedAgent{worker: r.Worker, incarnation: r.Incarnation, ledgerLostAt: r.ledgerLostAt(), left: !r.LeftAt.IsZero()})
		}
	}
}

// Pending returns the acknowledgements that are still missing for the keys that
// this entry owns now.
func (s *Resolver) Pending() Pending {
	var p Pending
	if !s.isMember() {
		return p
	}
	p.AgentsStale = s.agentsStale
	for _, m := range s.roster.Members {
		if s.joinedEarlier(m) && !slices.ContainsFunc(s.handovers[m.Incarnation], s.coversAll) {
			p.Handovers = append(p.Handovers, m)
		}
	}
	for _, r := range s.roster.Fenced {
		f := s.fences[r.Incarnation]
		if !f.agentsCaptured {
			p.AgentsStale = true
			continue
		}
		t := PendingFence{Incarnation: f.Incarnation}
		for i := range f.agents {
			if a := &f.agents[i]; !s.agentGone(a) && !slices.ContainsFunc(a.ackedVersions, s.coversAll) {
				t.Workers = append(t.Workers, a.worker)
			}
		}
		if len(t.Workers) > 0 {
			slices.Sort(t.Workers)
			p.Fences = append(p.Fences, t)
		}
	}
	return p
}

// RecordHandover records the handover of a live member. keys are the keys that the
// member still holds, of those that this entry owns at rosterVersion.
func (s *Resolver) RecordHandover(from uint64, rosterVersion uint64, keys []api.Key) {
	for _, k := range keys {
		if !k.Expired(s.now) {
			s.keys.getOrCreate(k).holder = from
		}
	}
	if _, ok := s.memberNames[rosterVersion]; ok {
		s.handovers[from] = s.addVersion(s.handovers[from], rosterVersion)
	}
}

// RecordFenceAck records the acknowledgement of a fence by an agent. records are the
// tasks that the incarnation started there and the keys closed there, of the keys
// that this entry owns at rosterVersion.
func (s *Resolver) RecordFenceAck(incarnation uint64, worker string, agent uint64, rosterVersion uint64, records []wire.Record) {
	f := s.fences[incarnation]
	if f == nil {
		return
	}
	// The records are valid even if the acknowledgement is not accepted below.
	for _, r := range records {
		if k := api.Key(r.Key); !k.Expired(s.now) {
			s.keys.getOrCreate(k).mergeStarted(StartedTask{Task: r.Task, Worker: worker, Agent: agent, Digest: r.Digest, State: r.State})
		}
	}
	if reg, ok := s.agents[worker]; !ok || reg.Incarnation != agent {
		s.agentsStale = true
	}
	if _, ok := s.memberNames[rosterVersion]; !ok || rosterVersion < f.Version {
		return
	}
	i := slices.IndexFunc(f.agents, func(a fencedAgent) bool { return a.worker == worker && a.incarnation == agent })
	if i >= 0 {
		f.agents[i].ackedVersions = s.addVersion(f.agents[i].ackedVersions, rosterVersion)
	}
}

// Resolve decides how this entry handles a key that is not in its job table.
func (s *Resolver) Resolve(k api.Key, now time.Time) Decision {
	s.advanceClock(now)
	if k.Expired(s.now) {
		return Decision{Kind: Expired}
	}
	owner, ok := s.roster.Owner(k)
	if !ok {
		return Decision{Kind: Blocked}
	}
	if owner.Incarnation != s.self.Incarnation {
		return Decision{Kind: Forward, To: owner}
	}
	d := Decision{Kind: Own}
	info := s.keys.find(k)
	if info != nil && info.holder != 0 {
		if m, live := s.roster.Find(info.holder); live {
			return Decision{Kind: Forward, To: m}
		}
		if !s.resolved(info.holder, k, &d) {
			return Decision{Kind: Blocked}
		}
	}
	for _, p := range s.roster.History {
		if w, ok := ownerOf(p.Members, k); ok && w.Incarnation != s.self.Incarnation && !s.resolved(w.Incarnation, k, &d) {
			return Decision{Kind: Blocked}
		}
	}
	if info != nil {
		for _, t := range info.started {
			switch {
			case t.Task == ledger.WholeJob:
				d.Closed = true
			case t.State != wire.StateClosed:
				d.Started = append(d.Started, t)
			}
		}
	}
	return d
}

// resolved reports whether all tasks that the incarnation may have started for
// the key are known. It sets d.RecordsLost if a ledger that may have held a record of
// the key is lost.
func (s *Resolver) resolved(incarnation uint64, k api.Key, d *Decision) bool {
	covers := func(v uint64) bool { return OwnerName(s.memberNames[v], k) == s.self.Name }
	if m, live := s.roster.Find(incarnation); live {
		return !s.joinedEarlier(m) || slices.ContainsFunc(s.handovers[incarnation], covers)
	}
	f := s.fences[incarnation]
	if f == nil {
		return true // the fence was confirmed more than Retention ago
	}
	if !f.Confirmed.IsZero() && k.Created().After(f.Confirmed.Add(api.ClockSkew+HostSkew)) {
		return true // the key was created after every agent had fenced the incarnation
	}
	if !f.agentsCaptured {
		return false
	}
	for i := range f.agents {
		a := &f.agents[i]
		lostAt := a.ledgerLostAt
		if !slices.ContainsFunc(a.ackedVersions, covers) {
			if !s.agentGone(a) {
				return false
			}
			reg, ok := s.agents[a.worker]
			if !ok {
				d.RecordsLost = true // the row that holds the time of the loss is deleted
				continue
			}
			lostAt = reg.ledgerLostAt()
			d.RecordsLost = d.RecordsLost || lostAt.IsZero()
		}
		if !lostAt.IsZero() && k.Created().Before(lostAt.Add(api.ClockSkew+HostSkew)) {
			d.RecordsLost = true
		}
	}
	return true
}

// Confirm returns a roster, to be written by compare-and-set, that marks as
// confirmed the join of this entry, once every earlier live member has sent its
// handover, and each fence that all agents have acknowledged. It returns nil if
// there is nothing to confirm. The superseded member sets stay in the history until
// the confirmations are written.
func (s *Resolver) Confirm(now time.Time, op string) *Roster {
	if !s.isMember() {
		return nil
	}
	joined := s.self.Confirmed.IsZero() && !slices.ContainsFunc(s.roster.Members, func(m Member) bool {
		return s.joinedEarlier(m) && len(s.handovers[m.Incarnation]) == 0
	})
	var fenced []uint64
	for _, r := range s.roster.Fenced {
		f := s.fences[r.Incarnation]
		pending := !f.agentsCaptured || slices.ContainsFunc(f.agents, func(a fencedAgent) bool { return len(a.ackedVersions) == 0 && !s.agentGone(&a) })
		if r.Confirmed.IsZero() && !pending {
			fenced = append(fenced, r.Incarnation)
		}
	}
	if !joined && len(fenced) == 0 {
		return nil
	}
	return s.roster.confirm(s.self.Incarnation, joined, fenced, now, op)
}

// Expire deletes the information about expired keys. It should be called about
// once a second.
func (s *Resolver) Expire(now time.Time) {
	s.advanceClock(now)
	s.keys.expire(s.now)
}

// advanceClock sets the time to now unless that would move it back. The monotonic
// clock reading is removed, because comparisons that use it ignore a step of the
// wall clock.
func (s *Resolver) advanceClock(now time.Time) {
	if now = now.Round(0); now.After(s.now) {
		s.now = now
	}
}

func (s *Resolver) isMember() bool {
	_, ok := s.roster.Find(s.self.Incarnation)
	return ok
}

// joinedEarlier reports whether m joined before this entry and so may have used a
// roster without it. A later member has not, and cannot hold a key that this
// entry owns while both are members.
func (s *Resolver) joinedEarlier(m Member) bool { return m.Joined < s.joined }

// agentGone reports whether the agent incarnation left or was replaced.
func (s *Resolver) agentGone(a *fencedAgent) bool {
	reg, ok := s.agents[a.worker]
	return a.left || !ok || reg.Incarnation != a.incarnation || !reg.LeftAt.IsZero()
}

// coversAll reports whether this entry owned, at version v, every key that it owns
// now. That is the case if no member name of that version has left.
func (s *Resolver) coversAll(v uint64) bool {
	for _, n := range s.memberNames[v] {
		if !slices.ContainsFunc(s.roster.Members, func(m Member) bool { return m.Name == n }) {
			return false
		}
	}
	return true
}

// addVersion appends v to acks and removes the versions with the same member
// names, which cover the same keys.
func (s *Resolver) addVersion(acks []uint64, v uint64) []uint64 {
	acks = slices.DeleteFunc(acks, func(o uint64) bool { return slices.Equal(s.memberNames[o], s.memberNames[v]) })
	return append(acks, v)
}

func names(members []Member) []string {
	n := make([]string, len(members))
	for i, m := range members {
		n[i] = m.Name
	}
	return n
}
