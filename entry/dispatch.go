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
	// A task that comes back may start again at once while the budget lasts:
	// 10% of the recent starts plus 10 a second. Beyond it, the task waits
	// retryDelay, so that agents that refuse everything are not flooded.
	retryShare   = 0.1
	retryPerSec  = 10
	retryLimit   = 1000
	retryInitial = 10
	retryDelay   = 50 * time.Millisecond
)

type retryBudget struct {
	tokens float64
	at     time.Time
}

func newRetryBudget(now time.Time) retryBudget { return retryBudget{retryInitial, now} }

func (b *retryBudget) started() { b.tokens = min(retryLimit, b.tokens+retryShare) }

func (b *retryBudget) take(now time.Time) bool {
	b.tokens = min(retryLimit, b.tokens+retryPerSec*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type delayedTask struct {
	at   time.Time
	key  api.Key
	task uint16
}

// flight is a start, or a watched task of an earlier owner, whose result has
// not arrived.
type flight struct {
	service, typ string
	class        wire.Class
	// reserved says that placement holds a slot for it.
	reserved bool
}

type flightKey struct {
	key  wire.Key
	task uint16
}

// apply carries out the actions of the job table.
func (c *core) apply(actions []jobs.Action) {
	for _, a := range actions {
		switch a.Kind {
		case jobs.Queue:
			c.enqueue(a.Key, a.Task)
		case jobs.Settle:
			c.settle(a)
		case jobs.Done:
			c.done(a)
		}
	}
}

func (c *core) enqueue(key api.Key, task uint16) {
	j, a := c.jobs.Job(key), c.active[key]
	if j == nil || a == nil {
		return
	}
	c.queue.Add(queue.Job{
		Key: key, Service: j.Submission.Service, Type: j.Submission.Type, Team: j.Submission.Team,
		Weight: c.admission.Weight(j.Submission.Team), Class: a.class, Arrived: j.Arrived, Deadline: j.Deadline,
		Tasks: len(j.Submission.Tasks) - j.Finished(),
	}, task)
	c.queued[[2]string{j.Submission.Service, j.Submission.Team}]++
}

// again queues a task that came back, within the retry budget.
func (c *core) again(actions []jobs.Action) {
	now := c.now()
	for _, a := range actions {
		if a.Kind == jobs.Queue && !c.retries.take(now) {
			c.delayed = append(c.delayed, delayedTask{now.Add(retryDelay), a.Key, a.Task})
			continue
		}
		if a.Kind == jobs.Queue {
			c.e.metrics.retries.Inc(1)
		}
		c.apply([]jobs.Action{a})
	}
}

func (c *core) releaseDelayed(now time.Time) {
	n := 0
	for n < len(c.delayed) && !now.Before(c.delayed[n].at) {
		c.enqueue(c.delayed[n].key, c.delayed[n].task)
		n++
	}
	c.delayed = c.delayed[n:]
}

func (c *core) unqueue(service, team string, n int) {
	k := [2]string{service, team}
	if c.queued[k] -= n; c.queued[k] <= 0 {
		delete(c.queued, k)
	}
}

// dispatch starts tasks while agents have free slots.
func (c *core) dispatch() {
	if c.removed {
		return
	}
	now := c.now()
	free := func(service string, class wire.Class) bool { return c.placement.HasRoom(service, class, now) }
	for {
		key, task, ok := c.queue.Next(now, free)
		if !ok {
			return
		}
		if !c.start(api.Key(key), task, now) {
			return
		}
	}
}

// start sends one task to the best agent. It returns false when no agent was
// found although there is room, as the random policies may do.
func (c *core) start(key api.Key, task uint16, now time.Time) bool {
	j, a := c.jobs.Job(key), c.active[key]
	if j == nil || a == nil {
		return true
	}
	sub := j.Submission
	c.unqueue(sub.Service, sub.Team, 1)
	id, ok := c.placement.Pick(sub.Service, a.class, now)
	if !ok {
		c.enqueue(key, task)
		return false
	}
	f := flight{service: sub.Service, typ: sub.Type, class: a.class, reserved: true}
	ag := c.agents[id]
	if c.jobs.Start(key, task, id) == nil {
		c.unreserve(id, f, now)
		return true
	}
	if ag == nil || ag.conn == nil || ag.conn.Send(c.startMessage(j, a, task, id, now)) != nil {
		c.unreserve(id, f, now)
		c.again(c.jobs.NotSent(key, task, id))
		return true
	}
	ag.conn.Expect(1)
	ag.flights[flightKey{key, task}] = f
	c.retries.started()
	a.counters.starts.Inc(1)
	a.counters.wait.RecordDuration(now.Sub(j.Arrived))
	return true
}

func (c *core) unreserve(id uint64, f flight, now time.Time) {
	c.placement.Done(id, placement.Done{Service: f.service, Type: f.typ, Class: f.class}, now)
}

func (c *core) startMessage(j *jobs.Job, a *activeJob, task uint16, agent uint64, now time.Time) *wire.Start {
	return &wire.Start{
		Key: j.Key, Task: task, Owner: c.e.self.Incarnation, Agent: agent, Digest: j.Digest,
		Service: j.Submission.Service, TaskType: j.Submission.Type, Class: a.class,
		TimeLeftMS: uint32(max(0, j.Deadline.Sub(now).Milliseconds())),
		Backlog:    uint32(c.queue.Len()), Trace: a.traceparent, Body: j.Submission.Tasks[task],
	}
}

// settle asks an agent for the state of a task. When the agent is not
// connected, the task stays unknown until it returns.
func (c *core) settle(a jobs.Action) {
	ag := c.agents[a.Agent]
	if ag != nil && ag.conn != nil {
		c.sendSettle(ag, a.Key, a.Task, a.Stop, a.Watch)
		return
	}
	if !a.Stop {
		c.jobs.AgentLost(a.Agent, c.now())
	}
}

func (c *core) sendSettle(ag *agentState, key wire.Key, task uint16, stop, watch bool) {
	if !c.trySettle(ag, &wire.Settle{Key: key, Task: task, Owner: c.e.self.Incarnation, Stop: stop, Watch: watch}) {
		// The tasks are settled on the next connection.
		ag.conn.Close(transport.ErrRingFull)
	}
}

// trySettle reports whether the message was queued.
func (c *core) trySettle(ag *agentState, m *wire.Settle) bool {
	if ag.conn.Send(m) != nil {
		return false
	}
	ag.conn.Expect(1)
	ag.settles++
	c.e.metrics.settles.Inc(1)
	return true
}
