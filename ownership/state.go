package ownership

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/wire"
)

// recentVersions is how many roster versions back an answer still counts.
const recentVersions = 16

// Kind says what to do with a key.
type Kind uint8

// Kinds of decisions.
const (
	// Blocked means that an earlier owner is not resolved yet, or that no roster
	// is known. The submission waits, then fails with ran: maybe.
	Blocked Kind = iota
	// Own means that this entry runs the key.
	Own
	// Forward means that the member To owns the key or still holds it.
	Forward
	// Expired means that the key may have been forgotten. It must not run, and
	// it must not be reported as not run.
	Expired
)

// Decision answers Resolve.
type Decision struct {
	Kind Kind
	To   Member // for Forward
	// Started holds, for Own, the tasks that an incarnation that left started.
	Started []Started
	// Unknown says, for Own, that a task without a record may have run, because
	// a ledger that could hold its record is lost. Such a task must not start.
	Unknown bool
	// Closed says, for Own, that an earlier owner has closed the key and may
	// have answered that it did not run. No task of the key may start.
	Closed bool
}

// Started is a task that an incarnation that left has started at an agent.
type Started struct {
	Task   uint16
	Worker string
	Agent  uint64 // incarnation of the agent
	Digest uint64
	State  wire.State
}

// Pending lists what the entry still has to ask for.
type Pending struct {
	// Handovers are the live members that have not named the keys they hold.
	Handovers []Member
	// Fences are the incarnations that left and the agents that have not
	// acknowledged a roster without them.
	Fences []FenceTask
	// ReadAgents says that the list of agents is older than a change of the
	// roster, or names an agent that was replaced. It must be read again. While a
	// fence is open it should be read from time to time in any case: an agent
	// that left does not answer, and only its row says so.
	ReadAgents bool
}

// Empty reports whether nothing is left to ask for.
func (p *Pending) Empty() bool {
	return len(p.Handovers) == 0 && len(p.Fences) == 0 && !p.ReadAgents
}

// FenceTask is an incarnation to fence.
type FenceTask struct {
	Incarnation uint64
	Workers     []string
}

// State is the view of one entry incarnation. It is not safe for concurrent
// use.
type State struct {
	self   Member
	roster *Roster
	joined uint64
	now    time.Time // never steps back

	agents        map[string]Registration
	agentsVersion uint64
	readAgents    bool

	// sets holds the names of the members at each roster version that this
	// entry adopted while it was a member. An acknowledgement covers the keys
	// that this entry owned at the version it was given for.
	sets      map[uint64][]string
	handovers map[uint64][]uint64 // member incarnation -> acknowledged versions
	fences    map[uint64]*fence   // incarnation that left
	known     byExpiry
}

type fence struct {
	Fenced
	// agents are the registrations of the first list read after the incarnation
	// left. Agents that register later have read a roster without it.
	agents  []fencedAgent
	tracked bool
}

type fencedAgent struct {
	worker      string
	incarnation uint64
	// lost is when an earlier ledger of the worker was lost, as of that list.
	lost time.Time
	left bool
	acks []uint64
}

// New returns the state of an entry that knows no roster yet.
func New(self Member) *State {
	return &State{
		self: self, agents: map[string]Registration{}, sets: map[uint64][]string{},
		handovers: map[uint64][]uint64{}, fences: map[uint64]*fence{}, known: byExpiry{},
	}
}

// Roster returns the newest roster, or nil.
func (s *State) Roster() *Roster { return s.roster }

// Adopt takes a newer roster. It returns false and changes nothing when r is not
// newer than the roster in use.
func (s *State) Adopt(r *Roster, now time.Time) bool {
	if r == nil || s.roster != nil && r.Version <= s.roster.Version {
		return false
	}
	s.advance(now)
	s.roster = r
	if m, ok := r.Find(s.self.Incarnation); ok {
		s.self, s.joined = m, m.Joined
		s.sets[r.Version] = names(r.Members)
	}
	listed := map[uint64]bool{}
	for _, f := range r.Fenced {
		listed[f.Incarnation] = true
		if t := s.fences[f.Incarnation]; t != nil {
			t.Fenced = f
		} else {
			s.fences[f.Incarnation] = &fence{Fenced: f}
		}
	}
	for id := range s.fences {
		if !listed[id] {
			delete(s.fences, id)
		}
	}
	s.trackAgents()
	s.forgetVersions()
	return true
}

// forgetVersions drops the handovers of members that left, and the member names
// of versions without an acknowledgement. A recent version stays, since answers
// for it may be on their way.
func (s *State) forgetVersions() {
	used := map[uint64]bool{}
	note := func(acks []uint64) {
		for _, v := range acks {
			used[v] = true
		}
	}
	for id, acks := range s.handovers {
		if _, live := s.roster.Find(id); !live {
			delete(s.handovers, id)
		}
		note(acks)
	}
	for _, f := range s.fences {
		for i := range f.agents {
			note(f.agents[i].acks)
		}
	}
	for v := range s.sets {
		if !used[v] && v+recentVersions < s.roster.Version {
			delete(s.sets, v)
		}
	}
}

// SetAgents takes the list of registrations. rosterVersion is the version that
// this entry knew before it began to read the list: a list that was read before
// an incarnation left may lack an agent that accepted its starts.
func (s *State) SetAgents(regs []Registration, rosterVersion uint64) {
	if rosterVersion < s.agentsVersion {
		return
	}
	s.agents = make(map[string]Registration, len(regs))
	for _, r := range regs {
		s.agents[r.Worker] = r
	}
	s.agentsVersion, s.readAgents = rosterVersion, false
	s.trackAgents()
}

func (s *State) trackAgents() {
	for _, f := range s.fences {
		if f.tracked || s.agentsVersion < f.Version {
			continue
		}
		f.tracked = true
		for _, r := range s.agents {
			f.agents = append(f.agents, fencedAgent{worker: r.Worker, incarnation: r.Incarnation, lost: r.lost(), left: !r.LeftAt.IsZero()})
		}
	}
}

// Pending returns what is not yet acknowledged for the keys that this entry
// owns now.
func (s *State) Pending() Pending {
	var p Pending
	if !s.member() {
		return p
	}
	p.ReadAgents = s.readAgents
	for _, m := range s.roster.Members {
		if s.predates(m) && !slices.ContainsFunc(s.handovers[m.Incarnation], s.coversAll) {
			p.Handovers = append(p.Handovers, m)
		}
	}
	for _, r := range s.roster.Fenced {
		f := s.fences[r.Incarnation]
		if !f.tracked {
			p.ReadAgents = true
			continue
		}
		t := FenceTask{Incarnation: f.Incarnation}
		for i := range f.agents {
			if a := &f.agents[i]; !s.gone(a) && !slices.ContainsFunc(a.acks, s.coversAll) {
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

// HandoverDone records the answer of a live member. rosterVersion is the version
// under which the member selected the keys that this entry owns.
func (s *State) HandoverDone(from uint64, rosterVersion uint64, keys []api.Key) {
	for _, k := range keys {
		if !k.Expired(s.now) {
			s.known.entry(k).holder = from
		}
	}
	if _, ok := s.sets[rosterVersion]; ok {
		s.handovers[from] = s.addVersion(s.handovers[from], rosterVersion)
	}
}

// FenceDone records the answer of an agent. rosterVersion is the version under
// which the agent selected the records of keys that this entry owns.
func (s *State) FenceDone(incarnation uint64, worker string, agent uint64, rosterVersion uint64, records []wire.Record) {
	f := s.fences[incarnation]
	if f == nil {
		return
	}
	// A record is true whether or not the acknowledgement counts.
	for _, r := range records {
		if k := api.Key(r.Key); !k.Expired(s.now) {
			s.known.entry(k).add(Started{Task: r.Task, Worker: worker, Agent: agent, Digest: r.Digest, State: r.State})
		}
	}
	if reg, ok := s.agents[worker]; !ok || reg.Incarnation != agent {
		s.readAgents = true
	}
	if _, ok := s.sets[rosterVersion]; !ok || rosterVersion < f.Version {
		return
	}
	i := slices.IndexFunc(f.agents, func(a fencedAgent) bool { return a.worker == worker && a.incarnation == agent })
	if i >= 0 {
		f.agents[i].acks = s.addVersion(f.agents[i].acks, rosterVersion)
	}
}

// Resolve decides what this entry does with a key that is not in its job table.
func (s *State) Resolve(k api.Key, now time.Time) Decision {
	s.advance(now)
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
	info := s.known.find(k)
	if info != nil && info.holder != 0 {
		if m, live := s.roster.Find(info.holder); live {
			return Decision{Kind: Forward, To: m}
		}
		if !s.resolved(info.holder, k, &d) {
			return Decision{Kind: Blocked}
		}
	}
	for _, p := range s.roster.History {
		if w, ok := winnerOf(p.Members, k); ok && w.Incarnation != s.self.Incarnation && !s.resolved(w.Incarnation, k, &d) {
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

// resolved reports whether everything is known that the incarnation may have
// started for the key. It sets d.Unknown when a ledger with a record was lost.
func (s *State) resolved(incarnation uint64, k api.Key, d *Decision) bool {
	covers := func(v uint64) bool { return Winner(s.sets[v], k) == s.self.Name }
	if m, live := s.roster.Find(incarnation); live {
		return !s.predates(m) || slices.ContainsFunc(s.handovers[incarnation], covers)
	}
	f := s.fences[incarnation]
	if f == nil {
		return true // the fence was confirmed longer than Retention ago
	}
	if !f.Confirmed.IsZero() && k.Created().After(f.Confirmed.Add(api.ClockSkew+HostSkew)) {
		return true // the key was created after every agent had fenced the incarnation
	}
	if !f.tracked {
		return false
	}
	for i := range f.agents {
		a := &f.agents[i]
		lost := a.lost
		if !slices.ContainsFunc(a.acks, covers) {
			if !s.gone(a) {
				return false
			}
			reg, ok := s.agents[a.worker]
			if !ok {
				d.Unknown = true // the row is gone and with it the time of the loss
				continue
			}
			lost = reg.lost()
			d.Unknown = d.Unknown || lost.IsZero()
		}
		if !lost.IsZero() && k.Created().Before(lost.Add(api.ClockSkew+HostSkew)) {
			d.Unknown = true
		}
	}
	return true
}

// Confirm returns a roster to write by compare-and-set that marks what this
// entry has found complete: its own join, once every earlier live member has
// answered its handover, and each fence that all agents have acknowledged. It
// returns nil when there is nothing to mark. Until it is written, the roster
// keeps its history.
func (s *State) Confirm(now time.Time, op string) *Roster {
	if !s.member() {
		return nil
	}
	joined := s.self.Confirmed.IsZero() && !slices.ContainsFunc(s.roster.Members, func(m Member) bool {
		return s.predates(m) && len(s.handovers[m.Incarnation]) == 0
	})
	var fenced []uint64
	for _, r := range s.roster.Fenced {
		f := s.fences[r.Incarnation]
		open := !f.tracked || slices.ContainsFunc(f.agents, func(a fencedAgent) bool { return len(a.acks) == 0 && !s.gone(&a) })
		if r.Confirmed.IsZero() && !open {
			fenced = append(fenced, r.Incarnation)
		}
	}
	if !joined && len(fenced) == 0 {
		return nil
	}
	return s.roster.confirm(s.self.Incarnation, joined, fenced, now, op)
}

// Expire forgets what is known of expired keys. Call it about once a second.
func (s *State) Expire(now time.Time) {
	s.advance(now)
	s.known.expire(s.now)
}

// advance keeps the wall clock from stepping back. The monotonic reading is
// removed, since comparisons would ignore such a step.
func (s *State) advance(now time.Time) {
	if now = now.Round(0); now.After(s.now) {
		s.now = now
	}
}

func (s *State) member() bool {
	_, ok := s.roster.Find(s.self.Incarnation)
	return ok
}

// predates reports whether m may know a roster without this entry. A later
// member never does; it can hold no key that this entry owns while both live.
func (s *State) predates(m Member) bool { return m.Joined < s.joined }

// gone reports whether the agent incarnation left or was replaced.
func (s *State) gone(a *fencedAgent) bool {
	reg, ok := s.agents[a.worker]
	return a.left || !ok || reg.Incarnation != a.incarnation || !reg.LeftAt.IsZero()
}

// coversAll reports whether this entry owned at version v every key that it owns
// now. That holds as long as no name of that version has left.
func (s *State) coversAll(v uint64) bool {
	for _, n := range s.sets[v] {
		if !slices.ContainsFunc(s.roster.Members, func(m Member) bool { return m.Name == n }) {
			return false
		}
	}
	return true
}

// addVersion adds v and drops the versions with the same member names.
func (s *State) addVersion(acks []uint64, v uint64) []uint64 {
	acks = slices.DeleteFunc(acks, func(o uint64) bool { return slices.Equal(s.sets[o], s.sets[v]) })
	return append(acks, v)
}

func names(members []Member) []string {
	n := make([]string, len(members))
	for i, m := range members {
		n[i] = m.Name
	}
	return n
}
