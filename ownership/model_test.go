package ownership_test

import (
	"flag"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	modelTasks   = 2
	modelSkew    = ownership.HostSkew / 2 // largest offset of a host clock
	maxInFlight  = 60
	maxEntries   = 6 // including those that left and do not know it
	modelChecks  = "600"
	modelSeed    = "20260301"
	stepsPerRun  = 1000
	partitioned  = 1 // side of the entities that a partition cuts off from the platform
	maxForwards  = 3
	rosterMemory = 8 // earlier rosters that late messages may carry
)

var bit = rapid.Bool()

// process is what entries and agents have in common.
type process struct {
	name        string
	incarnation uint64
	side        int
	skew        time.Duration
	paused      bool
}

type task struct {
	sent   bool // a start is on its way or arrived; only a settle takes this back
	done   bool // started, or in doubt: it never starts again
	worker string
	agent  uint64
}

type job struct {
	tasks   [modelTasks]task
	closing bool // the owner has decided not to run it; no start may follow
}

type entry struct {
	process
	state *ownership.State
	jobs  map[api.Key]*job
}

type agent struct {
	process
	ledger *ledger.Ledger
	held   []wire.Start
	ready  bool // has read the roster after its registration
}

type message struct {
	from, to uint64 // incarnations
	deliver  func()
}

type taskID struct {
	key  api.Key
	task uint16
}

type closedAt struct {
	taskID
	agent uint64
}

// model runs State and Ledger of several entries and agents against random
// interleavings. Messages in flight are a map; each may be late, lost, repeated
// or overtaken.
type model struct {
	t           *rapid.T
	now         time.Time
	last        uint64 // last incarnation, key seed or message number given out
	roster      *ownership.Roster
	rosters     []*ownership.Roster
	rows        map[string]ownership.Registration
	entries     []*entry // including those that left and do not know it
	agents      []*agent
	keys        []api.Key
	flight      map[uint64]message
	partitioned bool

	runs   map[taskID]int
	closed map[closedAt]bool
	notRun map[api.Key]bool
	starts int
}

func (m *model) next() uint64 { m.last++; return m.last }

// pick draws a number below n. It is built from bits, since the integers of rapid
// favour small values and would repeat few actions.
func (m *model) pick(n int) int {
	v := 0
	for range bits.Len(uint(n-1)) + 3 {
		v <<= 1
		if bit.Draw(m.t, "") {
			v |= 1
		}
	}
	return v % n
}

func (m *model) clock(p *process) time.Time { return m.now.Add(p.skew) }

func (m *model) newProcess(name string) process {
	return process{name: name, incarnation: m.next(), side: m.pick(2), skew: time.Duration(m.pick(3)-1) * modelSkew}
}

// cut reports whether a partition keeps p from the platform.
func (m *model) cut(p *process) bool { return m.partitioned && p.side == partitioned }

func (m *model) process(incarnation uint64) *process {
	for _, e := range m.entries {
		if e.incarnation == incarnation {
			return &e.process
		}
	}
	for _, a := range m.agents {
		if a.incarnation == incarnation {
			return &a.process
		}
	}
	return nil // the agent incarnation is gone
}

func (m *model) send(from, to uint64, deliver func()) {
	m.flight[m.next()] = message{from, to, deliver}
	if len(m.flight) > maxInFlight {
		delete(m.flight, m.pickInFlight())
	}
}

func (m *model) pickInFlight() uint64 {
	ids := make([]uint64, 0, len(m.flight))
	for id := range m.flight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[m.pick(len(ids))]
}

func (m *model) deliver(repeat bool) {
	if len(m.flight) == 0 {
		return
	}
	id := m.pickInFlight()
	msg := m.flight[id]
	from, to := m.process(msg.from), m.process(msg.to)
	if to == nil {
		delete(m.flight, id)
		return
	}
	if to.paused || m.partitioned && from != nil && from.side != to.side {
		return
	}
	if !repeat {
		delete(m.flight, id)
	}
	msg.deliver()
}

func (m *model) write(r *ownership.Roster) {
	if r == m.roster {
		return
	}
	m.roster = r
	m.rosters = append(m.rosters, r)
	if len(m.rosters) > rosterMemory {
		m.rosters = m.rosters[1:]
	}
}

func (m *model) run(a *agent, s *wire.Start) {
	id := taskID{api.Key(s.Key), s.Task}
	m.runs[id]++
	m.starts++
	if m.runs[id] > 1 {
		m.t.Fatalf("task %d of %v started a second time, by owner %d at agent %d", s.Task, id.key, s.Owner, a.incarnation)
	}
	if m.closed[closedAt{id, a.incarnation}] {
		m.t.Fatalf("task %d of %v ran at agent %d after it was closed there", s.Task, id.key, a.incarnation)
	}
	if m.notRun[id.key] {
		m.t.Fatalf("task %d of %v ran although the answer was that it did not run", s.Task, id.key)
	}
}

func (m *model) answerNotRun(k api.Key) {
	m.notRun[k] = true
	for i := range uint16(modelTasks) {
		if m.runs[taskID{k, i}] > 0 {
			m.t.Fatalf("answer says that %v did not run, but task %d did", k, i)
		}
	}
}

// newKey replaces the oldest of three keys by one of a caller with a skewed clock.
func (m *model) newKey() {
	created := m.now.Add(time.Duration(m.pick(3)-1) * api.ClockSkew)
	m.keys = append(m.keys, api.NewKeyAt(created, m.next()*0x9e3779b97f4a7c15))
	m.keys = m.keys[max(0, len(m.keys)-3):]
}

// submit hands a key to an entry, directly or forwarded.
func (m *model) submit(e *entry, k api.Key, hops int) {
	now := m.clock(&e.process)
	if e.jobs[k] != nil || k.FromFuture(now) {
		return
	}
	switch d := e.state.Resolve(k, now); d.Kind {
	case ownership.Forward:
		to := d.To.Incarnation
		if hops < maxForwards {
			m.send(e.incarnation, to, func() {
				m.submit(m.entry(to), k, hops+1)
			})
		}
	case ownership.Own:
		j := &job{closing: d.Closed}
		e.jobs[k] = j
		for _, s := range d.Started {
			j.tasks[s.Task] = task{sent: true, worker: s.Worker, agent: s.Agent}
		}
		for i := range j.tasks {
			j.tasks[i].done = d.Unknown && !j.tasks[i].sent
		}
		if d.Closed && len(d.Started) == 0 && !d.Unknown {
			m.answerNotRun(k)
		}
	}
}

func (m *model) entry(incarnation uint64) *entry {
	i := slices.IndexFunc(m.entries, func(e *entry) bool { return e.incarnation == incarnation })
	if i < 0 {
		return nil
	}
	return m.entries[i]
}

// agentOf returns the agent incarnation if it still lives.
func (m *model) agentOf(incarnation uint64) *agent {
	i := slices.IndexFunc(m.agents, func(a *agent) bool { return a.incarnation == incarnation })
	if i < 0 {
		return nil
	}
	return m.agents[i]
}

// request sends a request to an agent and runs reply at the entry with its answer.
func request[T any](m *model, e *entry, agentIncarnation uint64, handle func(*agent) T, reply func(T)) {
	m.send(e.incarnation, agentIncarnation, func() {
		a := m.agentOf(agentIncarnation)
		if a == nil || !a.ready {
			return
		}
		answer := handle(a)
		m.send(agentIncarnation, e.incarnation, func() { reply(answer) })
	})
}

// work sends a start for a task that has none.
func (m *model) work(e *entry, k api.Key, a *agent) {
	j := e.jobs[k]
	i := m.pick(modelTasks)
	t := &j.tasks[i]
	if j.closing || t.sent || t.done {
		return
	}
	*t = task{sent: true, worker: a.name, agent: a.incarnation}
	s := wire.Start{Key: wire.Key(k), Task: uint16(i), Owner: e.incarnation, Agent: a.incarnation, Digest: 1}
	worker := a.name
	// The message reaches whatever incarnation serves the worker on arrival.
	m.send(e.incarnation, m.incarnationAt(worker), func() {
		if a := m.agentOf(m.incarnationAt(worker)); a != nil && a.ledger.Check(m.clock(&a.process), &s).Run {
			a.held = append(a.held, s)
		}
	})
}

func (m *model) incarnationAt(worker string) uint64 {
	for _, a := range m.agents {
		if a.name == worker {
			return a.incarnation
		}
	}
	return 0
}

func (m *model) settle(e *entry, k api.Key) {
	i := m.pick(modelTasks)
	t := &e.jobs[k].tasks[i]
	if !t.sent || t.done {
		return
	}
	id := taskID{k, uint16(i)}
	target := t.agent
	request(m, e, target, func(a *agent) wire.State {
		st := a.ledger.Settle(m.clock(&a.process), wire.Key(k), uint16(i)).State
		if st == wire.StateClosed {
			m.closed[closedAt{id, a.incarnation}] = true
		}
		return st
	}, func(st wire.State) {
		switch {
		case t.agent != target || st == 0:
		case st == wire.StateClosed:
			t.sent = false
		default:
			t.done = true
		}
	})
}

// refuse ends a job of which nothing has started with the answer "not run".
func (m *model) refuse(e *entry, k api.Key, a *agent) {
	j := e.jobs[k]
	if slices.ContainsFunc(j.tasks[:], func(t task) bool { return t.sent || t.done }) {
		return
	}
	j.closing = true
	request(m, e, a.incarnation, func(a *agent) wire.State {
		return a.ledger.Close(m.clock(&a.process), e.incarnation, wire.Key(k)).State
	}, func(st wire.State) {
		if st == wire.StateClosed {
			m.answerNotRun(k)
		}
	})
}

// askPending sends one of the requests that the entry still has to make.
func (m *model) askPending(e *entry) {
	r := e.state.Roster()
	p := e.state.Pending()
	var requests []func()
	if p.ReadAgents && !m.cut(&e.process) {
		requests = append(requests, func() {
			// The rows are read now and arrive late, with the roster version that was
			// known when the read began.
			rows := slices.Collect(maps.Values(m.rows))
			m.send(0, e.incarnation, func() { e.state.SetAgents(rows, r.Version) })
		})
	}
	for _, h := range p.Handovers {
		requests = append(requests, func() { m.askHandover(e, h.Incarnation, r) })
	}
	for _, f := range p.Fences {
		for _, w := range f.Workers {
			requests = append(requests, func() { m.askFence(e, f.Incarnation, w, r) })
		}
	}
	if len(requests) > 0 {
		requests[m.pick(len(requests))]()
	}
}

func (m *model) askHandover(e *entry, to uint64, r *ownership.Roster) {
	m.send(e.incarnation, to, func() {
		l := m.entry(to) // a message to an entry that ended is not delivered
		l.state.Adopt(r, m.clock(&l.process))
		owned := r.OwnedBy(e.name)
		var keys []api.Key
		for k := range l.jobs {
			if owned(k) {
				keys = append(keys, k)
			}
		}
		m.send(to, e.incarnation, func() { e.state.HandoverDone(to, r.Version, keys) })
	})
}

func (m *model) askFence(e *entry, incarnation uint64, worker string, r *ownership.Roster) {
	request(m, e, m.incarnationAt(worker), func(a *agent) func() {
		a.ledger.AdoptRoster(r.Version, r.Incarnations())
		records := a.ledger.Records(incarnation, r.OwnedBy(e.name))
		id := a.incarnation
		return func() { e.state.FenceDone(incarnation, worker, id, r.Version, records) }
	}, func(done func()) { done() })
}

func (m *model) join(name string) {
	e := &entry{process: m.newProcess(name), jobs: map[api.Key]*job{}}
	if m.cut(&e.process) {
		return
	}
	self := ownership.Member{Name: name, Incarnation: e.incarnation}
	m.write(m.roster.Join(self, m.clock(&e.process), ""))
	e.state = ownership.New(self)
	e.state.Adopt(m.roster, m.clock(&e.process))
	m.entries = append(m.entries, e)
	if len(m.entries) > maxEntries {
		m.crash()
	}
}

// crash ends the oldest entry that is not a member.
func (m *model) crash() {
	i := slices.IndexFunc(m.entries, func(e *entry) bool {
		_, member := m.roster.Find(e.incarnation)
		return !member
	})
	m.entries = slices.Delete(m.entries, i, i+1)
}

// restartAgent replaces the agent of a worker; its ledger is lost.
func (m *model) restartAgent(worker string) {
	a := &agent{process: m.newProcess(worker)}
	if m.cut(&a.process) {
		return
	}
	row := ownership.Registration{Worker: worker, Incarnation: a.incarnation}
	if _, ok := m.rows[worker]; ok {
		row.ReplacedAt = m.clock(&a.process)
	}
	m.rows[worker] = row
	a.ledger = ledger.New(a.incarnation, ledger.Options{MaxRecords: 100, MaxResultBytes: 400})
	m.agents = slices.DeleteFunc(m.agents, func(o *agent) bool { return o.name == worker })
	m.agents = append(m.agents, a)
}

func (m *model) pollAgent(a *agent, r *ownership.Roster) {
	a.ledger.AdoptRoster(r.Version, r.Incarnations())
	a.ready = true
}

// step takes one random action.
func (m *model) step(action string) {
	e := m.entries[m.pick(len(m.entries))]
	a := m.agents[m.pick(len(m.agents))]
	now := m.clock(&e.process)
	switch action {
	case "deliver":
		for range 8 {
			m.deliver(false)
		}
	case "repeat":
		m.deliver(true)
	case "lose":
		if len(m.flight) > 0 {
			delete(m.flight, m.pickInFlight())
		}
	case "new key":
		m.newKey()
	case "submit":
		if !e.paused {
			m.submit(e, m.keys[m.pick(len(m.keys))], 0)
		}
	case "work", "settle", "refuse":
		held := slices.DeleteFunc(slices.Clone(m.keys), func(k api.Key) bool { return e.jobs[k] == nil })
		if e.paused || len(held) == 0 {
			return
		}
		k := held[m.pick(len(held))]
		switch action {
		case "work":
			m.work(e, k, a)
		case "settle":
			m.settle(e, k)
		default:
			m.refuse(e, k, a)
		}
	case "run held":
		if a.paused || len(a.held) == 0 {
			return
		}
		i := m.pick(len(a.held))
		s := a.held[i]
		a.held = slices.Delete(a.held, i, i+1)
		if a.ledger.Start(m.clock(&a.process), &s).Run {
			m.run(a, &s)
		}
	case "finish":
		for id := range m.runs {
			a.ledger.Finish(wire.Key(id.key), id.task, wire.Result{Body: []byte("result")})
		}
	case "join":
		m.join(fmt.Sprintf("e%d", m.pick(4)))
	case "remove":
		if members := m.roster.Members; len(members) > 1 {
			m.write(m.roster.Remove(members[m.pick(len(members))].Incarnation, m.now, ""))
		}
	case "poll roster":
		if !e.paused && !m.cut(&e.process) {
			e.state.Adopt(m.roster, now)
		}
	case "agent polls roster":
		if !a.paused && !m.cut(&a.process) {
			m.pollAgent(a, m.roster)
		}
	case "late roster":
		if a.ready {
			m.pollAgent(a, m.rosters[m.pick(len(m.rosters))])
		}
	case "pause":
		e.paused = m.pick(4) == 0
	case "pause agent":
		a.paused = m.pick(4) == 0
	case "ask":
		for range 4 {
			if !e.paused {
				m.askPending(e)
			}
		}
	case "confirm":
		if !e.paused && !m.cut(&e.process) && e.state.Roster() == m.roster {
			if r := e.state.Confirm(now, ""); r != nil {
				m.write(r)
				e.state.Adopt(r, now)
			}
		}
	case "restart agent":
		m.restartAgent(a.name)
	case "retire agent":
		if row := m.rows[a.name]; len(m.agents) > 1 && !m.cut(&a.process) {
			row.LeftAt = m.clock(&a.process)
			m.rows[a.name] = row
			m.agents = slices.DeleteFunc(m.agents, func(o *agent) bool { return o == a })
		}
	case "return agent":
		m.restartAgent(fmt.Sprintf("w%d", m.pick(3)))
	case "partition":
		m.partitioned = m.pick(4) == 0
	case "tick":
		m.now = m.now.Add([]time.Duration{0: time.Second, 1: 20 * time.Second, 7: 7 * time.Minute}[m.pick(8)])
		if m.keys[len(m.keys)-1].Expired(m.now) {
			m.newKey()
		}
	case "expire":
		e.state.Expire(now)
		a.ledger.Expire(m.clock(&a.process))
	}
}

// heal ends all disturbances and lets every request arrive. No key may stay
// blocked after that, and every change must be confirmed.
func (m *model) heal() {
	m.partitioned, m.flight = false, map[uint64]message{}
	for _, e := range m.entries {
		e.paused = false
	}
	for _, a := range m.agents {
		a.paused = false
		m.pollAgent(a, m.roster)
	}
	for range 3 {
		for _, member := range m.roster.Members {
			m.settleMember(m.entry(member.Incarnation))
		}
	}
	for _, member := range m.roster.Members {
		e := m.entry(member.Incarnation)
		for _, k := range m.keys {
			if e.state.Resolve(k, m.clock(&e.process)).Kind == ownership.Blocked {
				m.t.Fatalf("entry %d still blocks %v after everyone has answered: %+v", e.incarnation, k, e.state.Pending())
			}
		}
		if member.Confirmed.IsZero() {
			m.t.Fatalf("the join of entry %d is not confirmed", e.incarnation)
		}
	}
	for _, f := range m.roster.Fenced {
		if f.Confirmed.IsZero() {
			m.t.Fatalf("the fence of incarnation %d is not confirmed", f.Incarnation)
		}
	}
}

// settleMember lets an entry adopt the newest roster, read the agents and ask
// until nothing is open. It reads the agents again while a fence is open, as an
// entry has to: an agent that left does not answer.
func (m *model) settleMember(e *entry) {
	e.state.Adopt(m.roster, m.clock(&e.process))
	e.state.SetAgents(slices.Collect(maps.Values(m.rows)), m.roster.Version)
	for range 1000 {
		p := e.state.Pending()
		if p.Empty() {
			break
		}
		m.askPending(e)
		for len(m.flight) > 0 {
			m.deliver(false)
		}
	}
	if r := e.state.Confirm(m.clock(&e.process), ""); r != nil {
		m.write(r)
		e.state.Adopt(r, m.clock(&e.process))
	}
}

// drawActions returns the actions of one run, as often as their weight. Each run
// leaves out some of the disturbances and repeats others more often, since a run
// with all of them seldom gets far enough to show a fault.
func (m *model) drawActions() (all []string) {
	for _, w := range []struct {
		weight int
		name   string
	}{
		{30, "deliver"}, {20, "submit"}, {24, "work"}, {20, "run held"}, {30, "ask"}, {6, "poll roster"}, {8, "agent polls roster"},
	} {
		all = append(all, slices.Repeat([]string{w.name}, w.weight)...)
	}
	for _, name := range []string{
		"repeat", "lose", "new key", "settle", "refuse", "finish", "join", "remove", "late roster", "pause", "pause agent", "confirm",
		"partition", "tick", "expire",
	} {
		all = append(all, slices.Repeat([]string{name}, []int{0, 1, 1, 4}[m.pick(4)])...)
	}
	for _, name := range []string{"restart agent", "retire agent", "return agent"} {
		all = append(all, slices.Repeat([]string{name}, max(0, m.pick(4)-2))...)
	}
	return all
}

// setDefault sets a flag of rapid that the command line leaves at its default,
// so that every run of CI draws the same cases.
func setDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	old := f.Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// Guards against any interleaving of submissions, roster changes, pauses,
// partitions, agent restarts, fences and expiry in which a task starts twice, a
// closed task runs, or a key runs although an entry answered that it did not; and
// against a key that stays blocked although everyone has answered.
func TestModelNoSecondStart(t *testing.T) {
	setDefault(t, "rapid.seed", modelSeed)
	setDefault(t, "rapid.checks", modelChecks)
	setDefault(t, "rapid.nofailfile", "true")
	starts, notRun := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), rows: map[string]ownership.Registration{},
			flight: map[uint64]message{}, runs: map[taskID]int{}, closed: map[closedAt]bool{}, notRun: map[api.Key]bool{},
		}
		m.newKey()
		m.join("e0")
		for _, w := range []string{"w0", "w1"} {
			m.restartAgent(w)
			m.pollAgent(m.agents[len(m.agents)-1], m.roster)
		}
		actions := m.drawActions()
		for range stepsPerRun {
			m.step(actions[m.pick(len(actions))])
		}
		m.heal()
		starts += m.starts
		notRun += len(m.notRun)
	})
	t.Logf("%d starts, %d answers \"not run\"", starts, notRun)
}
