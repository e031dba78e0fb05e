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
	// RecordsLost reports, for Own, that the tasks that are not in Started must not
	// start: they may have run, and a ledger that could hold their records is lost.
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
	// have not yet acknowledged a roster without it. The workers are not known, and
	// Workers is empty, until a list of agents that is new enough has been read.
	Fences []PendingFence
	// AgentsStale reports that the list of agents must be read again, because it is
	// older than a fence or lacks an agent that acknowledged one. While a fence is
	// pending, the list should be read periodically in any case:
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

	agents        map[string]Registration // by worker
	agentsVersion uint64                  // roster version in use when the read of agents began
	agentsStale   bool                    // an agent that is not in agents has acknowledged a fence

	// memberNames maps each roster version that this entry adopted as a member to
	// the names of the members. An acknowledgement for a version covers the keys
	// that this entry owned at that version.
	memberNames map[uint64][]string
	// reports holds the key reports of other incarnations.
	reports map[uint64][]reported
	fences  map[uint64]*fence // incarnation that left
	keys    expiryIndex
	// completeVersions are the roster versions at which this entry knew of all keys
	// of earlier owners, one for each set of members.
	completeVersions []uint64
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

// NewResolver returns the resolver of an entry that has no roster yet.
func NewResolver(self Member) *Resolver {
	return &Resolver{
		self: self, agents: map[string]Registration{}, memberNames: map[uint64][]string{},
		reports: map[uint64][]reported{}, fences: map[uint64]*fence{}, keys: expiryIndex{},
	}
}

// Roster returns the newest adopted roster, or nil.
func (r *Resolver) Roster() *Roster { return r.roster }

// Adopt replaces the roster by a newer one. It returns false and changes nothing
// if roster is nil or not newer than the roster in use.
func (r *Resolver) Adopt(roster *Roster, now time.Time) bool {
	if roster == nil || r.roster != nil && roster.Version <= r.roster.Version {
		return false
	}
	r.advanceClock(now)
	r.roster = roster
	if m, ok := roster.Find(r.self.Incarnation); ok {
		r.self, r.joined = m, m.Joined
		r.memberNames[roster.Version] = names(roster.Members)
	}
	listed := map[uint64]bool{}
	for _, f := range roster.Fenced {
		listed[f.Incarnation] = true
		if known := r.fences[f.Incarnation]; known != nil {
			known.FencedMember = f
		} else {
			r.fences[f.Incarnation] = &fence{FencedMember: f}
		}
	}
	for id := range r.fences {
		if !listed[id] {
			delete(r.fences, id)
		}
	}
	r.captureAgents()
	r.pruneVersions()
	r.updateComplete()
	return true
}

// pruneVersions deletes the reports of incarnations that the roster no longer names,
// the member names of versions without an acknowledgement, and the complete versions
// that are of no use for the sets in the history. Recent versions are kept, since
// acknowledgements of them may still arrive.
func (r *Resolver) pruneVersions() {
	used := map[uint64]bool{}
	markUsed := func(ackedVersions []uint64) {
		for _, v := range ackedVersions {
			used[v] = true
		}
	}
	for id, reports := range r.reports {
		if _, live := r.roster.Find(id); !live && r.fences[id] == nil {
			delete(r.reports, id)
		}
		for _, p := range reports {
			used[p.version] = true
		}
	}
	if len(r.roster.History) > 0 {
		r.completeVersions = slices.DeleteFunc(r.completeVersions, func(v uint64) bool { return v <= r.roster.History[0].Version })
	} else if n := len(r.completeVersions); n > 1 {
		r.completeVersions = r.completeVersions[n-1:]
	}
	for _, f := range r.fences {
		for i := range f.agents {
			markUsed(f.agents[i].ackedVersions)
		}
	}
	for v := range r.memberNames {
		if !used[v] && v+retainedVersions < r.roster.Version {
			delete(r.memberNames, v)
		}
	}
}

// SetAgents replaces the list of registrations. A registration without an incarnation
// stands for one that can't be read. rosterVersion is the version that
// this entry had adopted before it began to read the list: a list read before an
// incarnation left may lack an agent that accepted its starts. A list with an
// older version than the last one is ignored.
func (r *Resolver) SetAgents(regs []Registration, rosterVersion uint64) {
	if rosterVersion < r.agentsVersion {
		return
	}
	r.agents = make(map[string]Registration, len(regs))
	for _, reg := range regs {
		r.agents[reg.Worker] = reg
	}
	r.agentsVersion, r.agentsStale = rosterVersion, false
	r.captureAgents()
	r.updateComplete()
}

// captureAgents stores the agents to ask for each fence, once the list of agents
// is new enough and each of them is known.
func (r *Resolver) captureAgents() {
	for _, reg := range r.agents {
		if reg.Incarnation == 0 {
			return // an agent that can't be identified can't be asked either
		}
	}
	for _, f := range r.fences {
		if f.agentsCaptured || r.agentsVersion < f.Version {
			continue
		}
		f.agentsCaptured = true
		for _, reg := range r.agents {
			f.agents = append(f.agents, fencedAgent{worker: reg.Worker, incarnation: reg.Incarnation, ledgerLostAt: reg.ledgerLostAt(), left: !reg.LeftAt.IsZero()})
		}
	}
}

// Pending returns the acknowledgements that are still missing for the keys that
// this entry owns now.
func (r *Resolver) Pending() Pending {
	var p Pending
	if !r.isMember() {
		return p
	}
	p.AgentsStale = r.agentsStale
	for _, m := range r.roster.Members {
		if r.joinedEarlier(m) && !r.reportedAll(m.Incarnation) {
			p.Handovers = append(p.Handovers, m)
		}
	}
	for _, member := range r.roster.Fenced {
		f := r.fences[member.Incarnation]
		if !f.agentsCaptured {
			p.AgentsStale = true
			p.Fences = append(p.Fences, PendingFence{Incarnation: f.Incarnation})
			continue
		}
		pending := PendingFence{Incarnation: f.Incarnation}
		for i := range f.agents {
			if a := &f.agents[i]; !r.agentGone(a) && !slices.ContainsFunc(a.ackedVersions, r.coversAll) {
				pending.Workers = append(pending.Workers, a.worker)
			}
		}
		if len(pending.Workers) > 0 {
			slices.Sort(pending.Workers)
			p.Fences = append(p.Fences, pending)
		}
	}
	return p
}

// RecordFenceAck records the acknowledgement of a fence by an agent. records are the
// tasks that the incarnation started there and the keys closed there, of the keys
// that this entry owns at rosterVersion.
func (r *Resolver) RecordFenceAck(incarnation uint64, worker string, agent uint64, rosterVersion uint64, records []wire.Record) {
	f := r.fences[incarnation]
	if f == nil {
		return
	}
	// The records are valid even if the acknowledgement is not accepted below.
	for _, rec := range records {
		if k := api.Key(rec.Key); !k.Expired(r.now) {
			r.keys.getOrCreate(k).mergeRecord(StartedTask{Task: rec.Task, Worker: worker, Agent: agent, Digest: rec.Digest, State: rec.State})
		}
	}
	if reg, ok := r.agents[worker]; !ok || reg.Incarnation != agent {
		r.agentsStale = true
	}
	if _, ok := r.memberNames[rosterVersion]; !ok || rosterVersion < f.Version {
		return
	}
	i := slices.IndexFunc(f.agents, func(a fencedAgent) bool { return a.worker == worker && a.incarnation == agent })
	if i >= 0 {
		f.agents[i].ackedVersions = r.addVersion(f.agents[i].ackedVersions, rosterVersion)
	}
	r.updateComplete()
}

// Resolve decides how this entry handles a key that is not in its job table. A key
// counts as expired HostSkew early, since earlier owners may have discarded it by
// their clocks.
func (r *Resolver) Resolve(k api.Key, now time.Time) Decision {
	r.advanceClock(now)
	if k.Expired(r.now.Add(HostSkew)) {
		return Decision{Kind: Expired}
	}
	owner, ok := r.roster.Owner(k)
	if !ok {
		return Decision{Kind: Blocked}
	}
	if owner.Incarnation != r.self.Incarnation {
		return Decision{Kind: Forward, To: owner}
	}
	d := Decision{Kind: Own}
	info := r.keys.find(k)
	if info != nil && info.holder != 0 {
		if m, live := r.roster.Find(info.holder); live {
			return Decision{Kind: Forward, To: m}
		}
		if !r.resolved(info.holder, k, &d) {
			return Decision{Kind: Blocked}
		}
	}
	if !r.pastOwnersResolved(k, info == nil, &d) {
		return Decision{Kind: Blocked}
	}
	if info != nil {
		for _, t := range info.records {
			switch {
			case t.Task == ledger.WholeKey:
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
func (r *Resolver) resolved(incarnation uint64, k api.Key, d *Decision) bool {
	covers := r.covers(k)
	if m, live := r.roster.Find(incarnation); live {
		return !r.joinedEarlier(m) || r.reportedWith(incarnation, covers)
	}
	f := r.fences[incarnation]
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
			if !r.agentGone(a) {
				return false
			}
			reg, ok := r.agents[a.worker]
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

// Confirm returns a roster with new confirmations, to be written by
// compare-and-set, or nil if there is nothing to confirm. The join of this entry is
// confirmed once every live member that joined earlier has sent a handover. A fence
// is confirmed once every agent to ask has acknowledged it, left or been replaced.
// Superseded member sets stay in the history for at least Retention after the last
// confirmation.
func (r *Resolver) Confirm(now time.Time, op string) *Roster {
	if !r.isMember() {
		return nil
	}
	joined := r.self.Confirmed.IsZero() && !slices.ContainsFunc(r.roster.Members, func(m Member) bool {
		return r.joinedEarlier(m) && len(r.reports[m.Incarnation]) == 0
	})
	var fenced []uint64
	for _, member := range r.roster.Fenced {
		f := r.fences[member.Incarnation]
		pending := !f.agentsCaptured || slices.ContainsFunc(f.agents, func(a fencedAgent) bool { return len(a.ackedVersions) == 0 && !r.agentGone(&a) })
		if member.Confirmed.IsZero() && !pending {
			fenced = append(fenced, member.Incarnation)
		}
	}
	if !joined && len(fenced) == 0 {
		return nil
	}
	return r.roster.confirm(r.self.Incarnation, joined, fenced, now, op)
}

// Expire deletes the information about expired keys. It should be called about
// once a second.
func (r *Resolver) Expire(now time.Time) {
	r.advanceClock(now)
	r.keys.expire(r.now)
}

// advanceClock sets the time to now unless that would move it back. The monotonic
// clock reading is removed, because comparisons that use it ignore a step of the
// wall clock.
func (r *Resolver) advanceClock(now time.Time) {
	if now = now.Round(0); now.After(r.now) {
		r.now = now
	}
}

func (r *Resolver) isMember() bool {
	_, ok := r.roster.Find(r.self.Incarnation)
	return ok
}

// joinedEarlier reports whether m joined before this entry and so may have used a
// roster without it. A later member has not, and cannot hold a key that this
// entry owns while both are members.
func (r *Resolver) joinedEarlier(m Member) bool { return m.Joined < r.joined }

// agentGone reports whether the agent incarnation left or was replaced.
func (r *Resolver) agentGone(a *fencedAgent) bool {
	reg, ok := r.agents[a.worker]
	return a.left || !ok || reg.Incarnation != a.incarnation || !reg.LeftAt.IsZero()
}

// coversAll reports whether this entry owned, at version v, every key that it owns
// now. That is the case if no member name of that version has left.
func (r *Resolver) coversAll(v uint64) bool {
	for _, n := range r.memberNames[v] {
		if !slices.ContainsFunc(r.roster.Members, func(m Member) bool { return m.Name == n }) {
			return false
		}
	}
	return true
}

// addVersion appends v to the acknowledged versions and removes those with the same
// member names, which cover the same keys.
func (r *Resolver) addVersion(ackedVersions []uint64, v uint64) []uint64 {
	ackedVersions = slices.DeleteFunc(ackedVersions, func(o uint64) bool { return slices.Equal(r.memberNames[o], r.memberNames[v]) })
	return append(ackedVersions, v)
}

func names(members []Member) []string {
	n := make([]string, len(members))
	for i, m := range members {
		n[i] = m.Name
	}
	return n
}
