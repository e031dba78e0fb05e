package jobs

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// A fixed seed and count make each run of the property test the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// model follows one table and what the agents could have done.
type model struct {
	t     *rapid.T
	table *Table
	now   time.Time
	tasks map[api.Key]int
	// queued counts how often a task may start: once more after each Queue.
	queued   map[ref]int
	starts   map[ref]int
	holder   map[ref]uint64
	verdicts map[api.Key]*api.Answer
	next     uint64
}

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Queue:
			m.queued[ref{a.Key, a.Task}]++
			delete(m.holder, ref{a.Key, a.Task})
		case Done:
			if m.verdicts[a.Key] != nil {
				m.t.Fatalf("key %s got a second verdict", a.Key)
			}
			m.verdicts[a.Key] = a.Answer
			m.checkAnswer(a.Key, a.Answer)
		}
	}
}

func (m *model) checkAnswer(k api.Key, a *api.Answer) {
	if a.Verdict == api.Complete && len(a.Results) != m.tasks[k] || a.Verdict == api.Failed && len(a.Results) > 0 {
		m.t.Fatalf("verdict %s with %d of %d results", a.Verdict, len(a.Results), m.tasks[k])
	}
	for r := range m.holder {
		if r.key == k && a.Ran == api.RanNo {
			m.t.Fatalf("ran: no while task %d of %s is outstanding", r.task, k)
		}
	}
}

func (m *model) task() (ref, bool) {
	if m.next == 0 {
		return ref{}, false
	}
	k := key(rapid.Uint64Range(1, m.next).Draw(m.t, "key"))
	return ref{k, uint16(rapid.IntRange(0, m.tasks[k]-1).Draw(m.t, "task"))}, true
}

// agent draws an agent; it holds the task in about half of the draws, so that
// crossed messages occur too.
func (m *model) agent(r ref) uint64 {
	if h := m.holder[r]; h != 0 && rapid.Bool().Draw(m.t, "holder") {
		return h
	}
	return rapid.Uint64Range(1, 3).Draw(m.t, "agent")
}

func (m *model) start(r ref) {
	agent := rapid.Uint64Range(1, 3).Draw(m.t, "agent")
	if m.table.Start(r.key, r.task, agent) == nil {
		return
	}
	if m.starts[r]++; m.starts[r] > m.queued[r] {
		m.t.Fatalf("task %d of %s started %d times, released %d times", r.task, r.key, m.starts[r], m.queued[r])
	}
	m.holder[r] = agent
}

func (m *model) result(r ref) {
	outcome := rapid.SampledFrom([]wire.Outcome{wire.OutcomeOK, wire.OutcomeOK, wire.OutcomeFailed, wire.OutcomeBusy, wire.OutcomeRefused}).Draw(m.t, "outcome")
	ran := wire.RanNo
	if outcome == wire.OutcomeFailed || outcome == wire.OutcomeRefused {
		ran = rapid.SampledFrom([]wire.Ran{wire.RanNo, wire.RanMaybe, wire.RanYes}).Draw(m.t, "ran")
	}
	m.from(r, func(agent uint64) []Action { return m.table.Result(agent, result(r.key, r.task, outcome, ran)) }, outcome != wire.OutcomeRefused || ran == wire.RanNo)
}

func (m *model) settled(r ref) {
	state := rapid.SampledFrom([]wire.State{0, wire.StateClosed, wire.StateRunning, wire.StateFinished, wire.StateForgotten}).Draw(m.t, "state")
	s := &wire.Settled{Key: r.key, Task: r.task, State: state, Result: *okResult(r.key, r.task)}
	m.from(r, func(agent uint64) []Action { return m.table.Settled(agent, s) }, state != wire.StateRunning)
}

// from delivers a message about a task. ends says that the message, if it is
// from the holder, ends the start.
func (m *model) from(r ref, deliver func(agent uint64) []Action, ends bool) {
	agent, held := m.agent(r), m.holder[r]
	if ends && held == agent {
		delete(m.holder, r)
	}
	actions := deliver(agent)
	if agent != held && len(actions) > 0 {
		m.t.Fatalf("a message of agent %d changed task %d, which agent %d holds", agent, r.task, held)
	}
	m.apply(actions)
}

func (m *model) add() {
	m.next++
	n := newJob(m.next, rapid.IntRange(1, 4).Draw(m.t, "tasks"))
	n.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(m.t, "deadline")) * time.Second)
	m.tasks[n.Key] = len(n.Submission.Tasks)
	for i := range m.tasks[n.Key] {
		if rapid.IntRange(0, 5).Draw(m.t, "recovered") == 0 {
			n.Started = append(n.Started, Started{Task: uint16(i), Agent: 1, Digest: digest})
			m.holder[ref{n.Key, uint16(i)}] = 1
		}
	}
	m.apply(m.table.Add(n, m.now))
}

func (m *model) step() {
	r, ok := m.task()
	if !ok {
		m.add()
		return
	}
	agent := rapid.Uint64Range(1, 3).Draw(m.t, "agent")
	switch rapid.IntRange(0, 10).Draw(m.t, "step") {
	case 0:
		m.add()
	case 1, 2, 3:
		m.start(r)
	case 4, 5:
		m.result(r)
	case 6:
		m.settled(r)
	case 7:
		m.table.AgentLost(agent, m.now)
	case 8:
		m.apply(m.table.AgentBack(agent))
	case 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond)
		m.apply(m.table.Tick(m.now))
	case 10:
		m.apply(m.table.Fail(r.key, api.ReasonCancelled, ""))
	}
}

// check compares the table with the verdicts that were delivered.
func (m *model) check() {
	for k := range m.tasks {
		a, _ := m.table.Get(k, m.now)
		v := m.verdicts[k]
		if (v == nil) != (a.State == api.StateRunning) {
			m.t.Fatalf("key %s: state %s, delivered verdict %v", k, a.State, v)
		}
		if v != nil && a.Reason != api.ReasonAnswerForgotten && (a.Verdict != v.Verdict || a.Ran != v.Ran) {
			m.t.Fatalf("key %s: the verdict changed from %v to %v", k, v, a)
		}
	}
}

// Guards against two verdicts, partial answers, a second start, and a verdict
// "not run" while a start is outstanding, over random orders of events.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, table: NewTable(Options{MaxAnswerBytes: 40}), now: t0, tasks: map[api.Key]int{}, queued: map[ref]int{},
			starts: map[ref]int{}, holder: map[ref]uint64{}, verdicts: map[api.Key]*api.Answer{},
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}
