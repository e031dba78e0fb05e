package entry

import (
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/wire"
)

// maxRunningBytes is the size of the bodies and results of the jobs in
// progress, in bytes, above which new jobs are refused. A full queue of 20,000
// tasks with bodies of 12 kB fits.
const maxRunningBytes = 256 << 20

// activeJob is the state of a job in progress that is not in the job table.
type activeJob struct {
	class wire.Class
	// quotaTasks is the number of tasks of the job that still count against the
	// team's quota.
	quotaTasks  int
	waiters     []*request
	span        trace.Span
	traceparent string
	traceID     string
	arrived     time.Time
	counters    *teamMetrics
}

// submit handles a submission whose key belongs to this entry.
func (c *loopState) submit(r *request, d ownership.Decision, now time.Time) {
	known := c.jobs.Known(r.key)
	if a := c.jobs.Check(r.key, r.sub, r.digest, now); a != nil {
		switch {
		case a.State == api.StateRunning:
			c.answerOrWait(r, now)
		case known:
			r.send(reply{answer: a})
		default:
			c.closeKey(a, r.sub.Idempotent, func() { r.send(reply{answer: a}) })
		}
		return
	}
	// Checked after the job table, so that draining entries still answer for
	// their own jobs.
	if c.draining && c.hasOtherEntries() {
		r.send(reply{retry: true, version: c.rosterVersion()})
		return
	}
	c.limitIdempotent(r)
	inherited := len(d.Started) > 0 || d.Unknown
	if d.Closed {
		c.refuse(r, api.Refuse(api.ReasonOwnerChange, "an earlier owner of the key has refused the job"), inherited, now)
		return
	}
	v, class := c.admit(r, len(d.Started) > 0, now)
	if v != nil {
		c.refuse(r, v, inherited, now)
		return
	}
	c.accept(r, d, class, now)
}

// admit decides on a job. A job of which an earlier owner started tasks is
// admitted whatever the load is.
func (c *loopState) admit(r *request, recovered bool, now time.Time) (*api.Verdict, wire.Class) {
	s := r.sub
	class := c.placement.Class(s.Service, s.Type)
	left := r.deadline.Sub(now)
	switch {
	case c.jobs.Full():
		return api.Fail(api.RanMaybe, api.ReasonOverload, "the key table of the entry is full"), class
	case left <= 0:
		return api.Refuse(api.ReasonDeadlinePast, "the deadline is in the past"), class
	case recovered:
		return nil, class
	case c.draining:
		return api.Refuse(api.ReasonDraining, "the entry is shutting down and there is no other entry"), class
	}
	if v := c.checkType(s); v != nil {
		return v, class
	}
	if c.jobs.RunningBytes() > maxRunningBytes {
		v := api.Refuse(api.ReasonOverload, "the jobs in progress use all memory for task bodies and results")
		v.RetryAfter = time.Second
		return v, class
	}
	// Admission bounds the waiting tasks of each service. The queue holds the
	// tasks of all services and would drop those beyond its limit.
	if c.queue.Len()+len(s.Tasks) > c.e.options.Settings.MaxQueuedTasks {
		v := api.Refuse(api.ReasonOverload, "the queue of the entry is full")
		v.RetryAfter = time.Second
		return v, class
	}
	supply := c.placement.Supply(s.Service)
	if supply.Slots == 0 {
		supply.Slots = c.lostSlots(s.Service)
	}
	supply.Waiting = c.queue.Waiting(s.Service, wire.ClassShort) + c.queue.Waiting(s.Service, wire.ClassLong)
	q := admission.Request{Service: s.Service, Type: s.Type, Team: s.Team, Class: class, Tasks: len(s.Tasks), TimeLeft: left}
	return c.admission.Admit(now, q, supply), class
}

// lostSlots counts the slots of agents whose connection is lost but which may
// reconnect. When all connections are replaced at once, jobs wait for the
// agents and are not refused for lack of workers.
func (c *loopState) lostSlots(service string) int {
	n := 0
	for _, ag := range c.agents {
		if ag.conn == nil && !ag.load.Leaving && slices.Contains(ag.services, service) {
			n += int(ag.load.Slots)
		}
	}
	return n
}

// limitIdempotent clears the idempotent mark of a job unless the configuration
// marks its request type as idempotent.
func (c *loopState) limitIdempotent(r *request) {
	if r.sub.Idempotent && !c.requestTypes[r.sub.Service][r.sub.Type].Idempotent {
		s := *r.sub
		s.Idempotent = false
		r.sub = &s
	}
}

func (c *loopState) checkType(s *api.Submission) *api.Verdict {
	if c.config.Version == 0 {
		return api.Refuse(api.ReasonUnknownService, fmt.Sprintf("service %q is unknown: no configuration has been accepted yet", s.Service))
	}
	types, ok := c.requestTypes[s.Service]
	if !ok {
		return api.Refuse(api.ReasonUnknownService, fmt.Sprintf("service %q is not in the configuration", s.Service))
	}
	if _, ok := types[s.Type]; !ok {
		return api.Refuse(api.ReasonUnknownType, fmt.Sprintf("service %q has no request type %q", s.Service, s.Type))
	}
	if _, ok := c.config.Team(s.Team); ok {
		return nil
	}
	return api.Refuse(api.ReasonUnknownTeam, fmt.Sprintf("team %q is not in the configuration", s.Team))
}

// refuse closes the key and answers with a verdict. When an earlier owner may
// have started tasks, or this entry may no longer own the key, the answer says
// ran=maybe.
func (c *loopState) refuse(r *request, v *api.Verdict, inherited bool, now time.Time) {
	if inherited {
		v.Ran = v.Ran.Join(api.RanMaybe)
	}
	a := c.jobs.Refuse(r.key, r.sub, r.digest, v, now)
	a.TraceID = telemetry.TraceID(r.ctx)
	c.e.metrics.countRefusal(a.Reason)
	c.closeKey(a, r.sub.Idempotent, func() {
		c.logVerdict(r.sub, a, 0)
		r.send(reply{answer: a})
	})
}

func (c *loopState) accept(r *request, d ownership.Decision, class wire.Class, now time.Time) {
	s := r.sub
	_, span := c.e.options.Tracer.Start(r.ctx, "job", trace.WithAttributes(attribute.String("key", r.key.String())))
	a := &activeJob{
		class: class, span: span, arrived: now, traceID: telemetry.TraceID(r.ctx),
		traceparent: telemetry.Traceparent(trace.ContextWithSpan(r.ctx, span)),
		counters:    c.e.metrics.forTeam(s.Service, s.Team),
	}
	if len(d.Started) == 0 {
		a.quotaTasks = len(s.Tasks)
	}
	a.counters.jobs.Inc(1)
	c.activeJobs[r.key] = a
	a.waiters = []*request{r}
	n := jobs.New{Key: r.key, Submission: s, Digest: r.digest, Deadline: r.deadline, Unknown: d.Unknown}
	for _, t := range d.Started {
		if t.State != wire.StateClosed {
			n.Started = append(n.Started, jobs.Started{Task: t.Task, Agent: t.Agent, Digest: t.Digest})
		}
	}
	c.apply(c.jobs.Add(n, now))
	if !r.wait && c.jobs.Job(r.key) != nil {
		a.waiters = nil
		c.answerNow(r, now)
	}
}

// trackFinished runs f, which may finish tasks of the job, and then releases
// the queue and quota shares of the finished tasks.
func (c *loopState) trackFinished(key api.Key, f func()) {
	j, a := c.jobs.Job(key), c.activeJobs[key]
	if j == nil || a == nil {
		f()
		return
	}
	before := j.Finished()
	f()
	for range j.Finished() - before {
		c.queue.Finished(key)
		if a.quotaTasks > 0 {
			a.quotaTasks--
			c.admission.Release(j.Submission.Team, 1)
		}
	}
}

// finishJob delivers the verdict of a job and releases what the job still
// holds.
func (c *loopState) finishJob(act jobs.Action) {
	a, ans := c.activeJobs[act.Key], act.Answer
	delete(c.activeJobs, act.Key)
	if a == nil {
		return
	}
	ans.TraceID = a.traceID
	a.span.SetAttributes(attribute.String("verdict", string(ans.Verdict)), attribute.String("reason", string(ans.Reason)))
	a.span.End()
	if act.Job == nil {
		a.answerWaiters(ans)
		return
	}
	sub := act.Job.Submission
	c.reduceQueuedTasks(sub.Service, sub.Team, len(c.queue.Remove(act.Key)))
	if a.quotaTasks > 0 {
		c.admission.Release(sub.Team, a.quotaTasks)
		a.quotaTasks = 0
	}
	took := c.now().Sub(a.arrived)
	a.counters.recordVerdict(ans, took)
	c.closeKey(ans, sub.Idempotent, func() {
		c.logVerdict(sub, ans, took)
		a.answerWaiters(ans)
	})
}

func (a *activeJob) answerWaiters(ans *api.Answer) {
	for _, w := range a.waiters {
		w.send(reply{answer: ans})
	}
}

func (c *loopState) hasOtherEntries() bool {
	r := c.ownerState.Roster()
	return r != nil && len(r.Members) > 1
}
