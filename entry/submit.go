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

// maxRunningBytes is the size of the bodies and results of the jobs in progress
// from which new jobs are refused, in bytes. A full queue of 20,000 tasks with
// bodies of 12 kB fits.
const maxRunningBytes = 256 << 20

// activeJob is what the core loop holds for a job in progress besides the job
// table.
type activeJob struct {
	class wire.Class
	// quota is the number of tasks of the team's quota that the job still has.
	quota       int
	waiters     []*request
	span        trace.Span
	traceparent string
	traceID     string
	arrived     time.Time
	counters    *typeMetrics
}

// submit admits a submission whose key belongs to this entry.
func (c *core) submit(r *request, d ownership.Decision, now time.Time) {
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
	// The table is asked first, so that drained entries still answer for their
	// own jobs.
	if c.draining && c.otherEntries() {
		r.send(reply{again: true, version: c.rosterVersion()})
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
// completed whatever the load is.
func (c *core) admit(r *request, recovered bool, now time.Time) (*api.Verdict, wire.Class) {
	s := r.sub
	class := c.placement.Class(s.Service, s.Type)
	left := r.deadline.Sub(now)
	switch {
	case c.jobs.Full():
		return api.Fail(api.RanMaybe, api.ReasonOverload, "the entry remembers as many keys as it can"), class
	case left <= 0:
		return api.Refuse(api.ReasonDeadlinePast, "the deadline is in the past"), class
	case recovered:
		return nil, class
	case c.draining:
		return api.Refuse(api.ReasonDraining, "the entry is shutting down and no other entry is there"), class
	}
	if v := c.checkType(s); v != nil {
		return v, class
	}
	if c.jobs.RunningBytes() > maxRunningBytes {
		v := api.Refuse(api.ReasonOverload, "the jobs in progress use all memory for bodies and results")
		v.RetryAfter = time.Second
		return v, class
	}
	// Admission bounds the waiting tasks of one service; the queue holds those of
	// all services and would drop what goes beyond.
	if c.queue.Len()+len(s.Tasks) > c.e.o.Settings.MaxQueuedTasks {
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
// return. When all connections are replaced at once, jobs wait for that; they
// are not refused for want of workers.
func (c *core) lostSlots(service string) int {
	n := 0
	for _, ag := range c.agents {
		if ag.conn == nil && !ag.load.Leaving && slices.Contains(ag.services, service) {
			n += int(ag.load.Slots)
		}
	}
	return n
}

// limitIdempotent leaves a job marked as idempotent only if its request type is
// idempotent by configuration.
func (c *core) limitIdempotent(r *request) {
	if r.sub.Idempotent && !c.types[r.sub.Service][r.sub.Type].Idempotent {
		s := *r.sub
		s.Idempotent = false
		r.sub = &s
	}
}

func (c *core) checkType(s *api.Submission) *api.Verdict {
	if c.config.Version == 0 {
		return api.Refuse(api.ReasonUnknownService, fmt.Sprintf("service %q is unknown: no configuration has been accepted yet", s.Service))
	}
	types, ok := c.types[s.Service]
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

// refuse closes the key with a verdict. When an earlier owner may have started
// tasks, or this entry may no longer own the key, the verdict says maybe.
func (c *core) refuse(r *request, v *api.Verdict, inherited bool, now time.Time) {
	if inherited {
		v.Ran = v.Ran.Join(api.RanMaybe)
	}
	a := c.jobs.Refuse(r.key, r.sub, r.digest, v, now)
	a.TraceID = telemetry.TraceID(r.ctx)
	c.e.metrics.refused(a.Reason)
	c.closeKey(a, r.sub.Idempotent, func() {
		c.logVerdict(r.sub, a, 0)
		r.send(reply{answer: a})
	})
}

func (c *core) accept(r *request, d ownership.Decision, class wire.Class, now time.Time) {
	s := r.sub
	_, span := c.e.o.Tracer.Start(r.ctx, "job", trace.WithAttributes(attribute.String("key", r.key.String())))
	a := &activeJob{
		class: class, span: span, arrived: now, traceID: telemetry.TraceID(r.ctx),
		traceparent: telemetry.Traceparent(trace.ContextWithSpan(r.ctx, span)),
		counters:    c.e.metrics.of(s.Service, s.Team),
	}
	if len(d.Started) == 0 {
		a.quota = len(s.Tasks)
	}
	a.counters.jobs.Inc(1)
	c.active[r.key] = a
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

// progress runs f, which may end a task of the job, and then gives back what
// the task held.
func (c *core) progress(key api.Key, f func()) {
	j, a := c.jobs.Job(key), c.active[key]
	if j == nil || a == nil {
		f()
		return
	}
	before := j.Finished()
	f()
	for range j.Finished() - before {
		c.queue.Finished(key)
		if a.quota > 0 {
			a.quota--
			c.admission.Release(j.Submission.Team, 1)
		}
	}
}

// done delivers the verdict of a job.
func (c *core) done(act jobs.Action) {
	a, ans := c.active[act.Key], act.Answer
	delete(c.active, act.Key)
	if a == nil {
		return
	}
	ans.TraceID = a.traceID
	a.span.SetAttributes(attribute.String("verdict", string(ans.Verdict)), attribute.String("reason", string(ans.Reason)))
	a.span.End()
	if act.Job == nil {
		a.answer(ans)
		return
	}
	sub := act.Job.Submission
	c.unqueue(sub.Service, sub.Team, len(c.queue.Remove(act.Key)))
	if a.quota > 0 {
		c.admission.Release(sub.Team, a.quota)
		a.quota = 0
	}
	took := c.now().Sub(a.arrived)
	a.counters.verdict(ans, took)
	c.closeKey(ans, sub.Idempotent, func() {
		c.logVerdict(sub, ans, took)
		a.answer(ans)
	})
}

func (a *activeJob) answer(ans *api.Answer) {
	for _, w := range a.waiters {
		w.send(reply{answer: ans})
	}
}

func (c *core) otherEntries() bool {
	r := c.own.Roster()
	return r != nil && len(r.Members) > 1
}
