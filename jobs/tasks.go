package jobs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// Start marks a waiting task as started at an agent and returns its job, or nil if
// the task must not start. It is called right before the Start message is sent.
func (t *Table) Start(key api.Key, n uint16, agent uint64) *Job {
	j := t.Job(key)
	if j == nil || int(n) >= len(j.tasks) || j.tasks[n].state != taskWaiting {
		return nil
	}
	t.assign(j, n, agent, taskStarted)
	return j
}

// RevertStart queues a task again whose Start message was not sent. It must not be
// called if the agent may have received the message.
func (t *Table) RevertStart(key api.Key, n uint16, agent uint64) []Action {
	if j := t.assignedJob(key, n, agent); j != nil && j.tasks[n].state == taskStarted {
		return t.requeue(j, n)
	}
	return nil
}

// Result records the result of a task from an agent. It ignores a result from an
// agent that the task is not assigned to, and one for a job that has its verdict.
func (t *Table) Result(agent uint64, m *wire.Result) []Action {
	j := t.assignedJob(m.Key, m.Task, agent)
	if j == nil {
		return nil
	}
	ran := ranOf(m.Ran)
	switch m.Outcome {
	case wire.OutcomeOK:
		return t.succeed(j, m.Task, m.Body)
	case wire.OutcomeBusy:
		return t.requeue(j, m.Task)
	case wire.OutcomeRefused:
		if ran == api.RanNo {
			return t.requeue(j, m.Task)
		}
		// The agent has a record of the task, so ask for its state.
		j.tasks[m.Task].state = taskUnknown
		return []Action{{Kind: Settle, Key: j.Key, Task: m.Task, Agent: agent, Watch: true}}
	}
	if m.Reason == reasonDeadline {
		return t.failTask(j, m.Task, ran, api.ReasonDeadlineExceeded, fmt.Sprintf("task %d did not end before the deadline", m.Task))
	}
	return t.failTask(j, m.Task, ran, api.ReasonTaskFailed, fmt.Sprintf("task %d failed: %s", m.Task, m.Reason))
}

// reasonDeadline is the Reason of a Result if the agent stopped waiting for the
// backend server at the deadline. By the clock of this host, the deadline may not
// have passed yet.
const reasonDeadline = "deadline"

// Settled records the answer of an agent to a Settle message.
func (t *Table) Settled(agent uint64, m *wire.Settled) []Action {
	j := t.assignedJob(m.Key, m.Task, agent)
	if j == nil {
		return nil
	}
	if m.State != wire.StateClosed && m.Digest != 0 && m.Digest != j.Digest {
		return t.failTask(j, m.Task, api.RanMaybe, api.ReasonKeyConflict, fmt.Sprintf("the agent started task %d of another submission with the same key", m.Task))
	}
	switch m.State {
	case wire.StateClosed:
		return t.requeue(j, m.Task)
	case wire.StateRunning:
		j.tasks[m.Task].state = taskStarted
		return nil
	case wire.StateFinished:
		r := m.Result
		r.Key, r.Task = m.Key, m.Task
		if r.Outcome != wire.OutcomeOK && r.Outcome != wire.OutcomeFailed {
			r.Outcome = wire.OutcomeFailed
		}
		return t.Result(agent, &r)
	}
	if m.State != wire.StateResultDropped {
		return t.failTask(j, m.Task, api.RanMaybe, api.ReasonTaskInDoubt, fmt.Sprintf("the agent of task %d cannot tell whether it ran", m.Task))
	}
	return t.failTask(j, m.Task, api.RanYes, api.ReasonResultsDropped, fmt.Sprintf("task %d ran, but its agent has dropped the result", m.Task))
}

// AgentDisconnected marks the tasks that were started at an agent as unknown, when
// the connection to it is lost.
func (t *Table) AgentDisconnected(agent uint64, now time.Time) {
	for id := range t.tasksByAgent[agent] {
		t.records[id.key].job.tasks[id.task].state = taskUnknown
		t.disconnectedAt[agent] = now
	}
}

// AgentReconnected settles the unknown tasks of an agent incarnation that has
// reconnected.
func (t *Table) AgentReconnected(agent uint64) []Action {
	delete(t.disconnectedAt, agent)
	var actions []Action
	for id := range t.tasksByAgent[agent] {
		actions = append(actions, Action{Kind: Settle, Key: id.key, Task: id.task, Agent: agent, Watch: true})
	}
	return actions
}

// AgentLost fails the jobs with tasks at an agent incarnation that will not
// reconnect or has not done so in time.
func (t *Table) AgentLost(agent uint64) []Action {
	delete(t.disconnectedAt, agent)
	var actions []Action
	for id := range t.tasksByAgent[agent] {
		if j := t.Job(id.key); j != nil {
			actions = append(actions, t.fail(j, api.ReasonTaskInDoubt, fmt.Sprintf("the agent that task %d was started at has left or did not reconnect in time", id.task))...)
		}
	}
	return actions
}

// Fail gives the running job of a key the verdict failed. It does nothing if there
// is no such job or it has its verdict.
func (t *Table) Fail(key api.Key, reason api.Reason, message string) []Action {
	if j := t.Job(key); j != nil {
		return t.fail(j, reason, message)
	}
	return nil
}

// assignedJob returns the running job of a task that is assigned to the agent, or
// nil.
func (t *Table) assignedJob(key api.Key, n uint16, agent uint64) *Job {
	j := t.Job(key)
	if j == nil || int(n) >= len(j.tasks) || j.tasks[n].agent != agent {
		return nil
	}
	if s := j.tasks[n].state; s != taskStarted && s != taskUnknown {
		return nil
	}
	return j
}

func (t *Table) assign(j *Job, n uint16, agent uint64, s taskState) {
	j.tasks[n] = task{state: s, agent: agent}
	if t.tasksByAgent[agent] == nil {
		t.tasksByAgent[agent] = map[taskID]struct{}{}
	}
	t.tasksByAgent[agent][taskID{j.Key, n}] = struct{}{}
}

// unassign removes a task from the tasks of its agent in tasksByAgent.
func (t *Table) unassign(j *Job, n uint16) {
	agent := j.tasks[n].agent
	delete(t.tasksByAgent[agent], taskID{j.Key, n})
	if len(t.tasksByAgent[agent]) == 0 {
		delete(t.tasksByAgent, agent)
		delete(t.disconnectedAt, agent)
	}
}

func (t *Table) requeue(j *Job, n uint16) []Action {
	t.unassign(j, n)
	j.tasks[n] = task{}
	return []Action{{Kind: Queue, Key: j.Key, Task: n}}
}

func (t *Table) succeed(j *Job, n uint16, body []byte) []Action {
	switch {
	case len(body) > api.MaxResultBytes:
		return t.failTask(j, n, api.RanYes, api.ReasonResultTooLarge, fmt.Sprintf("the result of task %d has %d bytes, the limit is %d", n, len(body), api.MaxResultBytes))
	case !json.Valid(body):
		return t.failTask(j, n, api.RanYes, api.ReasonTaskFailed, fmt.Sprintf("the result of task %d is not JSON", n))
	}
	t.unassign(j, n)
	j.tasks[n] = task{state: taskFinished, ran: api.RanYes, result: body}
	j.bytes += len(body)
	t.runningBytes += len(body)
	if j.finished++; j.finished < len(j.tasks) {
		return nil
	}
	return t.complete(j)
}

// failTask ends a task without a usable result and fails its job.
func (t *Table) failTask(j *Job, n uint16, ran api.Ran, reason api.Reason, message string) []Action {
	t.unassign(j, n)
	j.tasks[n] = task{state: taskFinished, ran: ran}
	return t.fail(j, reason, message)
}

func (t *Table) complete(j *Job) []Action {
	a := &api.Answer{Key: j.Key, State: api.StateDone, Verdict: api.Complete, Ran: api.RanYes, Reason: api.ReasonOK}
	a.Results = make([]json.RawMessage, len(j.tasks))
	size := 0
	for i := range j.tasks {
		a.Results[i] = j.tasks[i].result
		size += len(j.tasks[i].result)
	}
	t.setVerdict(j, a)
	t.retainAnswer(j.Key, size)
	return []Action{{Kind: Deliver, Key: j.Key, Job: j, Answer: a}}
}

func (t *Table) fail(j *Job, reason api.Reason, message string) []Action {
	ran := api.RanNo
	var actions []Action
	for i := range j.tasks {
		tk := &j.tasks[i]
		ran = ran.Combine(tk.ranSoFar())
		if tk.state == taskStarted || tk.state == taskUnknown {
			actions = append(actions, Action{Kind: Settle, Key: j.Key, Task: uint16(i), Agent: tk.agent, Stop: true})
			t.unassign(j, uint16(i))
		}
	}
	a := api.Fail(ran, reason, message).Answer(j.Key, j.Submission.Idempotent)
	t.setVerdict(j, a)
	return append(actions, Action{Kind: Deliver, Key: j.Key, Job: j, Answer: a})
}

// setVerdict stores the final answer of the job. It is called once for each job.
func (t *Table) setVerdict(j *Job, a *api.Answer) {
	t.running--
	t.runningBytes -= j.bytes
	r := t.records[j.Key]
	r.job, r.answer = nil, a
}

// retainAnswer adds the size of a complete answer to the total and drops the
// results of the oldest answers until the total is within MaxAnswerBytes.
func (t *Table) retainAnswer(key api.Key, size int) {
	t.records[key].resultBytes = size
	t.answerBytes += size
	t.answerOrder = append(t.answerOrder, key)
	for t.answerBytes > t.options.MaxAnswerBytes && len(t.answerOrder) > 0 {
		t.dropResults(t.answerOrder[0])
		t.answerOrder = t.answerOrder[1:]
	}
}

// dropResults replaces a complete answer by a failure without results.
func (t *Table) dropResults(key api.Key) {
	r := t.records[key]
	if r == nil || r.answer == nil {
		return
	}
	t.answerBytes -= r.resultBytes
	r.resultBytes = 0
	r.answer = api.Fail(r.answer.Ran, api.ReasonResultsDropped, "the job is complete, but its results were dropped to limit memory").Answer(key, r.idempotent)
}

func ranOf(r wire.Ran) api.Ran {
	switch r {
	case wire.RanNo:
		return api.RanNo
	case wire.RanYes:
		return api.RanYes
	}
	return api.RanMaybe
}
