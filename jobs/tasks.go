package jobs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// Start marks a waiting task as started at an agent. The caller sends the Start
// message right after it. It returns nil if the task must not start.
func (t *Table) Start(key api.Key, n uint16, agent uint64) *Job {
	j := t.Job(key)
	if j == nil || int(n) >= len(j.tasks) || j.tasks[n].state != waiting {
		return nil
	}
	t.hold(j, n, agent, started)
	return j
}

// NotSent takes back a Start whose message was certainly not sent.
func (t *Table) NotSent(key api.Key, n uint16, agent uint64) []Action {
	if j := t.at(key, n, agent); j != nil && j.tasks[n].state == started {
		return t.requeue(j, n)
	}
	return nil
}

// Result records the result of a task from an agent. A result from another
// agent than the one that holds the task is ignored, and so is one for a job
// that has its verdict.
func (t *Table) Result(agent uint64, m *wire.Result) []Action {
	j := t.at(m.Key, m.Task, agent)
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
		// The agent has a record of the task: ask for its state.
		j.tasks[m.Task].state = unknown
		return []Action{{Kind: Settle, Key: j.Key, Task: m.Task, Agent: agent, Watch: true}}
	}
	if m.Reason == reasonDeadline {
		return t.end(j, m.Task, ran, api.ReasonDeadlineExceeded, fmt.Sprintf("task %d did not end before the deadline", m.Task))
	}
	return t.end(j, m.Task, ran, api.ReasonTaskFailed, fmt.Sprintf("task %d failed: %s", m.Task, m.Reason))
}

// reasonDeadline is the Reason of a Result when the agent stopped waiting for
// the backend server at the deadline, which may be just before the deadline
// passes here.
const reasonDeadline = "deadline"

// Settled records the answer of an agent to a Settle.
func (t *Table) Settled(agent uint64, m *wire.Settled) []Action {
	j := t.at(m.Key, m.Task, agent)
	if j == nil {
		return nil
	}
	if m.State != wire.StateClosed && m.Digest != 0 && m.Digest != j.Digest {
		return t.end(j, m.Task, api.RanMaybe, api.ReasonKeyConflict, fmt.Sprintf("the agent started task %d of another submission with the same key", m.Task))
	}
	switch m.State {
	case wire.StateClosed:
		return t.requeue(j, m.Task)
	case wire.StateRunning:
		j.tasks[m.Task].state = started
		return nil
	case wire.StateFinished:
		r := m.Result
		r.Key, r.Task = m.Key, m.Task
		if r.Outcome != wire.OutcomeOK && r.Outcome != wire.OutcomeFailed {
			r.Outcome = wire.OutcomeFailed
		}
		return t.Result(agent, &r)
	}
	if m.State != wire.StateForgotten {
		return t.end(j, m.Task, api.RanMaybe, api.ReasonTaskInDoubt, fmt.Sprintf("the agent of task %d no longer knows whether it ran", m.Task))
	}
	return t.end(j, m.Task, api.RanYes, api.ReasonAnswerForgotten, fmt.Sprintf("task %d ran, but its agent no longer keeps the result", m.Task))
}

// AgentLost marks the tasks that were started at an agent as unknown.
func (t *Table) AgentLost(agent uint64, now time.Time) {
	for r := range t.tasks[agent] {
		t.records[r.key].job.tasks[r.task].state = unknown
		t.lost[agent] = now
	}
}

// AgentBack settles the unknown tasks of an agent incarnation that connected
// again.
func (t *Table) AgentBack(agent uint64) []Action {
	delete(t.lost, agent)
	var actions []Action
	for r := range t.tasks[agent] {
		actions = append(actions, Action{Kind: Settle, Key: r.key, Task: r.task, Agent: agent, Watch: true})
	}
	return actions
}

// AgentGone fails the jobs with tasks at an agent incarnation that will not
// come back or has not done so in time.
func (t *Table) AgentGone(agent uint64) []Action {
	delete(t.lost, agent)
	var actions []Action
	for r := range t.tasks[agent] {
		if j := t.Job(r.key); j != nil {
			actions = append(actions, t.fail(j, api.ReasonTaskInDoubt, fmt.Sprintf("the agent that task %d was started at is lost", r.task))...)
		}
	}
	return actions
}

// Fail gives a running job the verdict failed. It does nothing for a job that
// has its verdict.
func (t *Table) Fail(key api.Key, reason api.Reason, message string) []Action {
	if j := t.Job(key); j != nil {
		return t.fail(j, reason, message)
	}
	return nil
}

// at returns the running job of a task that the agent holds.
func (t *Table) at(key api.Key, n uint16, agent uint64) *Job {
	j := t.Job(key)
	if j == nil || int(n) >= len(j.tasks) || j.tasks[n].agent != agent {
		return nil
	}
	if s := j.tasks[n].state; s != started && s != unknown {
		return nil
	}
	return j
}

func (t *Table) hold(j *Job, n uint16, agent uint64, s state) {
	j.tasks[n] = task{state: s, agent: agent}
	if t.tasks[agent] == nil {
		t.tasks[agent] = map[ref]struct{}{}
	}
	t.tasks[agent][ref{j.Key, n}] = struct{}{}
}

// release ends the link between a task and its agent.
func (t *Table) release(j *Job, n uint16) {
	agent := j.tasks[n].agent
	delete(t.tasks[agent], ref{j.Key, n})
	if len(t.tasks[agent]) == 0 {
		delete(t.tasks, agent)
		delete(t.lost, agent)
	}
}

func (t *Table) requeue(j *Job, n uint16) []Action {
	t.release(j, n)
	j.tasks[n] = task{}
	return []Action{{Kind: Queue, Key: j.Key, Task: n}}
}

func (t *Table) succeed(j *Job, n uint16, body []byte) []Action {
	switch {
	case len(body) > api.MaxResultBytes:
		return t.end(j, n, api.RanYes, api.ReasonResultTooLarge, fmt.Sprintf("the result of task %d has %d bytes, the limit is %d", n, len(body), api.MaxResultBytes))
	case !json.Valid(body):
		return t.end(j, n, api.RanYes, api.ReasonTaskFailed, fmt.Sprintf("the result of task %d is not JSON", n))
	}
	t.release(j, n)
	j.tasks[n] = task{state: finished, ran: api.RanYes, result: body}
	j.bytes += len(body)
	t.runningBytes += len(body)
	if j.finished++; j.finished < len(j.tasks) {
		return nil
	}
	return t.complete(j)
}

// end fails the job because of one task.
func (t *Table) end(j *Job, n uint16, ran api.Ran, reason api.Reason, message string) []Action {
	t.release(j, n)
	j.tasks[n] = task{state: finished, ran: ran}
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
	t.close(j, a)
	t.keep(j.Key, size)
	return []Action{{Kind: Done, Key: j.Key, Job: j, Answer: a}}
}

func (t *Table) fail(j *Job, reason api.Reason, message string) []Action {
	ran := api.RanNo
	var actions []Action
	for i := range j.tasks {
		k := &j.tasks[i]
		ran = ran.Join(k.mayHaveRun())
		if k.state == started || k.state == unknown {
			actions = append(actions, Action{Kind: Settle, Key: j.Key, Task: uint16(i), Agent: k.agent, Stop: true})
			t.release(j, uint16(i))
		}
	}
	a := api.Fail(ran, reason, message).Answer(j.Key, j.Submission.Idempotent)
	t.close(j, a)
	return append(actions, Action{Kind: Done, Key: j.Key, Job: j, Answer: a})
}

// close gives the job its only verdict.
func (t *Table) close(j *Job, a *api.Answer) {
	j.done = true
	t.running--
	t.runningBytes -= j.bytes
	r := t.records[j.Key]
	r.job, r.answer = nil, a
}

// keep counts a complete answer and drops the results of the oldest ones while
// there are too many.
func (t *Table) keep(key api.Key, size int) {
	t.records[key].bytes = size
	t.keptBytes += size
	t.kept = append(t.kept, key)
	for t.keptBytes > t.o.MaxAnswerBytes && len(t.kept) > 0 {
		t.drop(t.kept[0])
		t.kept = t.kept[1:]
	}
}

// drop replaces a complete answer by a tombstone.
func (t *Table) drop(key api.Key) {
	r := t.records[key]
	if r == nil || r.answer == nil {
		return
	}
	t.keptBytes -= r.bytes
	r.bytes = 0
	r.answer = api.Fail(r.answer.Ran, api.ReasonAnswerForgotten, "the job is complete, but its results are no longer kept").Answer(key, r.idempotent)
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
