package entry

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// A task that has to be started again is queued at once while the retry
	// budget lasts: 10% of the recent starts plus 10 per second. Beyond the
	// budget it waits retryDelay, so that agents that refuse every task are not
	// flooded with starts.
	retryTokensPerStart  = 0.1
	retryTokensPerSecond = 10
	maxRetryTokens       = 1000
	initialRetryTokens   = 10
	retryDelay           = 50 * time.Millisecond
)

type retryBudget struct {
	tokens    float64
	updatedAt time.Time
}

func newRetryBudget(now time.Time) retryBudget { return retryBudget{initialRetryTokens, now} }

func (b *retryBudget) addStart() { b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerStart) }

func (b *retryBudget) take(now time.Time) bool {
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type delayedTask struct {
	dueAt time.Time
	key   api.Key
	task  uint16
}

// inFlightTask is a task whose result has not arrived. It was started by this
// entry, or by an earlier owner of the key and settled with Watch.
type inFlightTask struct {
	service, typ string
	class        wire.Class
	// reserved is set if placement holds a slot for the task.
	reserved bool
}

type taskID struct {
	key  wire.Key
	task uint16
}

// apply carries out the actions that the job table returned.
func (ls *loopState) apply(actions []jobs.Action) {
	for _, a := range actions {
		switch a.Kind {
		case jobs.Queue:
			ls.enqueue(a.Key, a.Task)
		case jobs.Settle:
			ls.settle(a)
		case jobs.Deliver:
			ls.finishJob(a)
		}
	}
}

func (ls *loopState) enqueue(key api.Key, task uint16) {
	j, a := ls.jobs.Job(key), ls.activeJobs[key]
	if j == nil || a == nil {
		return
	}
	ls.queue.Add(ls.queueJob(key, j.Submission, a.class, j.Arrived, j.Deadline, len(j.Submission.Tasks)-j.Finished()), task)
	ls.queuedTasks[[2]string{j.Submission.Service, j.Submission.Team}]++
}

func (ls *loopState) queueJob(key api.Key, s *api.Submission, class wire.Class, arrived, deadline time.Time, unfinished int) queue.Job {
	return queue.Job{
		Key: key, Service: s.Service, Type: s.Type, Team: s.Team, Weight: ls.admission.Weight(s.Team),
		Class: class, Arrived: arrived, Deadline: deadline, Tasks: unfinished,
	}
}

// applyWithRetryBudget carries out actions like apply, but delays tasks to be
// queued again when the retry budget is used up.
func (ls *loopState) applyWithRetryBudget(actions []jobs.Action) {
	now := ls.now()
	for _, a := range actions {
		if a.Kind == jobs.Queue && !ls.retryBudget.take(now) {
			ls.delayedTasks = append(ls.delayedTasks, delayedTask{now.Add(retryDelay), a.Key, a.Task})
			continue
		}
		if a.Kind == jobs.Queue {
			ls.e.metrics.retries.Inc(1)
		}
		ls.apply([]jobs.Action{a})
	}
}

func (ls *loopState) enqueueDelayed(now time.Time) {
	n := 0
	for n < len(ls.delayedTasks) && !now.Before(ls.delayedTasks[n].dueAt) {
		ls.enqueue(ls.delayedTasks[n].key, ls.delayedTasks[n].task)
		n++
	}
	ls.delayedTasks = ls.delayedTasks[n:]
}

func (ls *loopState) reduceQueuedTasks(service, team string, n int) {
	k := [2]string{service, team}
	if ls.queuedTasks[k] -= n; ls.queuedTasks[k] <= 0 {
		delete(ls.queuedTasks, k)
	}
}

// dispatch starts tasks while agents have free slots.
func (ls *loopState) dispatch() {
	if ls.removed {
		return
	}
	now := ls.now()
	hasSlot := func(service string, class wire.Class) bool { return ls.placement.HasFreeSlot(service, class, now) }
	for {
		key, task, ok := ls.queue.Next(now, hasSlot)
		if !ok {
			return
		}
		if !ls.start(api.Key(key), task, now) {
			return
		}
	}
}

// start sends one task to the agent that placement picks. It returns false when
// no agent was picked although one has a free slot, which can happen with the
// random policies.
func (ls *loopState) start(key api.Key, task uint16, now time.Time) bool {
	j, a := ls.jobs.Job(key), ls.activeJobs[key]
	if j == nil || a == nil {
		return true
	}
	sub := j.Submission
	ls.reduceQueuedTasks(sub.Service, sub.Team, 1)
	id, ok := ls.placement.Pick(sub.Service, a.class, now)
	if !ok {
		ls.enqueue(key, task)
		return false
	}
	f := inFlightTask{service: sub.Service, typ: sub.Type, class: a.class, reserved: true}
	ag := ls.agents[id]
	if ls.jobs.Start(key, task, id) == nil {
		ls.releaseSlot(id, f, now)
		return true
	}
	if ag == nil || ag.conn == nil || ag.conn.Send(ls.startMessage(j, a, task, id, now)) != nil {
		ls.releaseSlot(id, f, now)
		ls.applyWithRetryBudget(ls.jobs.RevertStart(key, task, id))
		return true
	}
	ag.conn.AddPendingReplies(1)
	ag.inFlight[taskID{key, task}] = f
	ls.retryBudget.addStart()
	a.metrics.starts.Inc(1)
	a.metrics.taskWait.RecordDuration(now.Sub(j.Arrived))
	return true
}

func (ls *loopState) releaseSlot(id uint64, f inFlightTask, now time.Time) {
	ls.placement.TaskEnded(id, placement.TaskEnd{Service: f.service, Type: f.typ, Class: f.class}, now)
}

func (ls *loopState) startMessage(j *jobs.Job, a *activeJob, task uint16, agent uint64, now time.Time) *wire.Start {
	return &wire.Start{
		Key: j.Key, Task: task, Owner: ls.e.self.Incarnation, Agent: agent, Digest: j.Digest,
		Service: j.Submission.Service, TaskType: j.Submission.Type, Class: a.class,
		TimeLeftMS: uint32(max(0, j.Deadline.Sub(now).Milliseconds())),
		Backlog:    uint32(ls.queue.Len()), Trace: a.traceparent, Body: j.Submission.Tasks[task],
	}
}

// settle asks an agent for the state of a task, and to stop the task if a.Stop
// is set. If the agent is not connected, the task stays in the unknown state
// until the agent reconnects.
func (ls *loopState) settle(a jobs.Action) {
	ag := ls.agents[a.Agent]
	if ag != nil && ag.conn != nil {
		ls.sendSettle(ag, a.Key, a.Task, a.Stop, a.Watch)
		return
	}
	if !a.Stop {
		ls.jobs.AgentDisconnected(a.Agent, ls.now())
	}
}

func (ls *loopState) sendSettle(ag *agentState, key wire.Key, task uint16, stop, watch bool) {
	if !ls.trySettle(ag, &wire.Settle{Key: key, Task: task, Owner: ls.e.self.Incarnation, Stop: stop, Watch: watch}) {
		// The tasks are settled once the agent has reconnected; see settleInFlight.
		ag.conn.Close(transport.ErrSendQueueFull)
	}
}

// trySettle queues m for sending and reports whether the connection took it.
func (ls *loopState) trySettle(ag *agentState, m *wire.Settle) bool {
	if ag.conn.Send(m) != nil {
		return false
	}
	ag.conn.AddPendingReplies(1)
	ag.pendingSettles++
	ls.e.metrics.settles.Inc(1)
	return true
}
