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

// TestMain fixes the seed and the number of checks, so that every run of the
// property test draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// model tracks one table and the task starts that are outstanding at the agents.
type model struct {
	t         *rapid.T
	table     *Table
	now       time.Time
	taskCount map[api.Key]int
	// queued counts the Queue actions of a task, which is how often it may start.
	queued        map[taskID]int
	starts        map[taskID]int
	assignedAgent map[taskID]uint64
	verdicts      map[api.Key]*api.Answer
	lastSeed      uint64 // key seed of the newest job
}

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Queue:
			m.queued[taskID{a.Key, a.Task}]++
			delete(m.assignedAgent, taskID{a.Key, a.Task})
		case Deliver:
			if m.verdicts[a.Key] != nil {
				m.t.Fatalf("key %s got a second verdict", a.Key)
			}
			m.verdicts[a.Key] = a.Answer
			m.checkAnswer(a.Key, a.Answer)
		}
	}
}

func (m *model) checkAnswer(k api.Key, a *api.Answer) {
	if a.Verdict == api.Complete && len(a.Results) != m.taskCount[k] || a.Verdict == api.Failed && len(a.Results) > 0 {
		m.t.Fatalf("verdict %s with %d of %d results", a.Verdict, len(a.Results), m.taskCount[k])
	}
	for r := range m.assignedAgent {
		if r.key == k && a.Ran == api.RanNo {
			m.t.Fatalf("ran: no while task %d of %s is outstanding", r.task, k)
		}
	}
}

func (m *model) drawTask() (taskID, bool) {
	if m.lastSeed == 0 {
		return taskID{}, false
	}
	k := key(rapid.Uint64Range(1, m.lastSeed).Draw(m.t, "key"))
	return taskID{k, uint16(rapid.IntRange(0, m.taskCount[k]-1).Draw(m.t, "task"))}, true
}

// drawAgent draws the sender of a message about a task. In about half of the draws
// it is the agent that the task is assigned to.
func (m *model) drawAgent(r taskID) uint64 {
	if assigned := m.assignedAgent[r]; assigned != 0 && rapid.Bool().Draw(m.t, "from assigned agent") {
		return assigned
	}
	return rapid.Uint64Range(1, 3).Draw(m.t, "agent")
}

func (m *model) start(r taskID) {
	agent := rapid.Uint64Range(1, 3).Draw(m.t, "agent")
	if m.table.Start(r.key, r.task, agent) == nil {
		return
	}
	if m.starts[r]++; m.starts[r] > m.queued[r] {
		m.t.Fatalf("task %d of %s started %d times, queued %d times", r.task, r.key, m.starts[r], m.queued[r])
	}
	m.assignedAgent[r] = agent
}

func (m *model) result(r taskID) {
	outcome := rapid.SampledFrom([]wire.Outcome{wire.OutcomeOK, wire.OutcomeOK, wire.OutcomeFailed, wire.OutcomeBusy, wire.OutcomeRefused}).Draw(m.t, "outcome")
	ran := wire.RanNo
	if outcome == wire.OutcomeFailed || outcome == wire.OutcomeRefused {
		ran = rapid.SampledFrom([]wire.Ran{wire.RanNo, wire.RanMaybe, wire.RanYes}).Draw(m.t, "ran")
	}
	m.deliver(r, func(agent uint64) []Action { return m.table.Result(agent, result(r.key, r.task, outcome, ran)) }, outcome != wire.OutcomeRefused || ran == wire.RanNo)
}

func (m *model) settled(r taskID) {
	state := rapid.SampledFrom([]wire.State{0, wire.StateClosed, wire.StateRunning, wire.StateFinished, wire.StateResultDropped}).Draw(m.t, "state")
	s := &wire.Settled{Key: r.key, Task: r.task, State: state, Result: *okResult(r.key, r.task)}
	m.deliver(r, func(agent uint64) []Action { return m.table.Settled(agent, s) }, state != wire.StateRunning)
}

// deliver passes the table a message about a task from a random agent.
// endsAssignment reports whether the message ends the assignment of the task if it
// comes from the agent that the task is assigned to.
func (m *model) deliver(r taskID, handle func(agent uint64) []Action, endsAssignment bool) {
	agent, assigned := m.drawAgent(r), m.assignedAgent[r]
	if endsAssignment && assigned == agent {
		delete(m.assignedAgent, r)
	}
	actions := handle(agent)
	if agent != assigned && len(actions) > 0 {
		m.t.Fatalf("a message from agent %d changed task %d, which is assigned to agent %d", agent, r.task, assigned)
	}
	m.apply(actions)
}

func (m *model) addJob() {
	m.lastSeed++
	spec := newJob(m.lastSeed, rapid.IntRange(1, 4).Draw(m.t, "tasks"))
	spec.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(m.t, "deadline")) * time.Second)
	m.taskCount[spec.Key] = len(spec.Submission.Tasks)
	for i := range m.taskCount[spec.Key] {
		if rapid.IntRange(0, 5).Draw(m.t, "recovered") == 0 {
			spec.Started = append(spec.Started, StartedTask{Task: uint16(i), Agent: 1, Digest: digest})
			m.assignedAgent[taskID{spec.Key, uint16(i)}] = 1
		}
	}
	m.apply(m.table.Add(spec, m.now))
}

func (m *model) step() {
	r, ok := m.drawTask()
	if !ok {
		m.addJob()
		return
	}
	agent := rapid.Uint64Range(1, 3).Draw(m.t, "agent")
	switch rapid.IntRange(0, 10).Draw(m.t, "step") {
	case 0:
		m.addJob()
	case 1, 2, 3:
		m.start(r)
	case 4, 5:
		m.result(r)
	case 6:
		m.settled(r)
	case 7:
		m.table.AgentDisconnected(agent, m.now)
	case 8:
		m.apply(m.table.AgentReconnected(agent))
	case 9:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond)
		m.apply(m.table.Tick(m.now))
	case 10:
		m.apply(m.table.Fail(r.key, api.ReasonCancelled, ""))
	}
}

// check compares the answers of the table with the delivered verdicts.
func (m *model) check() {
	for k := range m.taskCount {
		a, _ := m.table.Get(k, m.now)
		v := m.verdicts[k]
		if (v == nil) != (a.State == api.StateRunning) {
			m.t.Fatalf("key %s: state %s, delivered verdict %v", k, a.State, v)
		}
		if v != nil && a.Reason != api.ReasonResultsDropped && (a.Verdict != v.Verdict || a.Ran != v.Ran) {
			m.t.Fatalf("key %s: the verdict changed from %v to %v", k, v, a)
		}
	}
}

// Guards against two verdicts for one job, partial answers, a second start of a
// task, and ran: no while a start is outstanding, under random orders of events.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, table: NewTable(Options{MaxAnswerBytes: 40}), now: t0, taskCount: map[api.Key]int{}, queued: map[taskID]int{},
			starts: map[taskID]int{}, assignedAgent: map[taskID]uint64{}, verdicts: map[api.Key]*api.Answer{},
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}
