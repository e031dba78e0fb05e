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
	"github.com/sesamelift/sesamelift/telemetry/tracing"
	"github.com/sesamelift/sesamelift/wire"
)

// maxRunningBytes is the size of the bodies and results of the jobs in
// progress, in bytes, above which new jobs are refused. A full queue of 20,000
// tasks with bodies of 12 kB fits.
const maxRunningBytes = 256 << 20

// evacuatedRetryAfter is the Retry-After hint while the workers of a service are in
// evacuated zones. Evacuations last minutes; it is the longest hint of admission.
const evacuatedRetryAfter = 10 * time.Second

// unavailableRetryAfter is the Retry-After hint while the workers outside evacuated zones
// accept no tasks.
const unavailableRetryAfter = 2 * time.Second

// activeJob holds what the entry keeps of a job in progress besides its record
// in the job table.
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
	metrics     *teamMetrics
}

// submit handles a submission whose key is owned by this entry.
func (ls *loopState) submit(r *request, d ownership.Decision, now time.Time) {
	ls.limitIdempotent(r)
	known := ls.jobs.Contains(r.key)
	if a := ls.jobs.Check(r.key, r.sub, r.digest, now); a != nil {
		switch {
		case a.State == api.StateRunning:
			ls.answerOrWait(r, now)
		case known:
			r.send(reply{answer: a})
		default:
			ls.closeAndDeliver(a, r.sub.Idempotent, func() { r.send(reply{answer: a}) })
		}
		return
	}
	// Checked after the job table, so that draining entries still answer for
	// their own jobs.
	if ls.draining && ls.hasOtherEntries() {
		r.send(reply{rosterVersion: ls.rosterVersion()})
		return
	}
	maybeStarted := len(d.Started) > 0 || d.RecordsLost
	if d.Closed {
		ls.refuse(r, api.Refuse(api.ReasonOwnerChange, "an earlier owner of the key has refused the job"), maybeStarted, now)
		return
	}
	if !maybeStarted && ls.awaitsWorkers(r, now) {
		if v := ls.refuseToWait(r.sub); v != nil {
			ls.refuse(r, v, false, now)
			return
		}
		ls.awaitWorkers(r, now)
		return
	}
	v, class := ls.admit(r, len(d.Started) > 0, now)
	if v != nil {
		ls.refuse(r, v, maybeStarted, now)
		return
	}
	ls.accept(r, d, class, now)
}

// admit returns the class of a job, and a verdict if the job is refused. A
// recovered job, of which an earlier owner started tasks, is refused only if the
// job table is full or the deadline has passed.
func (ls *loopState) admit(r *request, recovered bool, now time.Time) (*api.Verdict, wire.Class) {
	s := r.sub
	class := ls.placement.Class(s.Service, s.Type)
	left := r.deadline.Sub(now)
	switch {
	case ls.jobs.Full():
		return api.Fail(api.RanMaybe, api.ReasonOverload, "the key table of the entry is full"), class
	case left <= 0:
		return api.Refuse(api.ReasonDeadlinePast, "the deadline is in the past"), class
	case recovered:
		return nil, class
	case ls.draining:
		return api.Refuse(api.ReasonDraining, "the entry is shutting down and there is no other entry"), class
	}
	if v := ls.checkType(s); v != nil {
		return v, class
	}
	if ls.jobs.RunningBytes() > maxRunningBytes {
		v := api.Refuse(api.ReasonOverload, "the jobs in progress use all memory for task bodies and results")
		v.RetryAfter = time.Second
		return v, class
	}
	// Admission bounds the waiting tasks of each service. The queue holds the
	// tasks of all services and would drop those beyond its limit.
	if ls.queue.Len()+len(s.Tasks) > ls.e.options.Settings.MaxQueuedTasks {
		v := api.Refuse(api.ReasonOverload, "the queue of the entry is full")
		v.RetryAfter = time.Second
		return v, class
	}
	q := admission.Request{Service: s.Service, Team: s.Team, Tasks: len(s.Tasks), TimeLeft: left}
	v := ls.admission.Admit(now, q, ls.supply(s.Service))
	if v != nil && v.Reason == api.ReasonNoWorker && ls.outlook(s.Service).evacuated {
		// Unlike a service without workers, it is served again after the evacuation.
		v = ls.refuseEvacuated(s.Service, now)
	}
	return v, class
}

// refuseEvacuated returns the refusal of a job that only workers in evacuated zones could
// run now.
func (ls *loopState) refuseEvacuated(service string, now time.Time) *api.Verdict {
	if ls.onlyEvacuatedWorkers(service, now) {
		v := api.Refuse(api.ReasonOverload, fmt.Sprintf("the workers that serve %q are in evacuated zones", service))
		v.RetryAfter = evacuatedRetryAfter
		return v
	}
	v := api.Refuse(api.ReasonOverload, fmt.Sprintf("no worker outside the evacuated zones accepts tasks for %q at present", service))
	v.RetryAfter = unavailableRetryAfter
	return v
}

// supply returns the slots of a service and the demand for them.
func (ls *loopState) supply(service string) admission.Supply {
	supply := ls.placement.Supply(service)
	if supply.Slots == 0 {
		supply.Slots = ls.disconnectedSlots(service)
	}
	supply.Waiting = ls.queue.Waiting(service, wire.ClassShort) + ls.queue.Waiting(service, wire.ClassLong)
	return supply
}

// disconnectedSlots counts the slots of agents whose connection is lost but which may
// reconnect, and which the configuration permits to serve the service. When all connections
// are replaced at once, jobs wait for the agents and are not refused for lack of workers.
func (ls *loopState) disconnectedSlots(service string) int {
	n := 0
	for _, ag := range ls.agents {
		if ag.conn == nil && !ag.load.Leaving && slices.Contains(ag.services, service) && ls.permitted(ag.worker, ag.zone, service) {
			n += int(ag.load.Slots)
		}
	}
	return n
}

// limitIdempotent clears the idempotent mark of a job unless the configuration
// marks its request type as idempotent.
func (ls *loopState) limitIdempotent(r *request) {
	if r.sub.Idempotent && !ls.requestTypes[r.sub.Service][r.sub.Type].Idempotent {
		s := *r.sub
		s.Idempotent = false
		r.sub = &s
	}
}

func (ls *loopState) checkType(s *api.Submission) *api.Verdict {
	if ls.config.Version == 0 {
		return api.Refuse(api.ReasonUnknownService, fmt.Sprintf("service %q is unknown: no configuration has been accepted yet", s.Service))
	}
	types, ok := ls.requestTypes[s.Service]
	if !ok {
		return api.Refuse(api.ReasonUnknownService, fmt.Sprintf("service %q is not in the configuration", s.Service))
	}
	if _, ok := types[s.Type]; !ok {
		return api.Refuse(api.ReasonUnknownType, fmt.Sprintf("service %q has no request type %q", s.Service, s.Type))
	}
	if _, ok := ls.config.Team(s.Team); ok {
		return nil
	}
	return api.Refuse(api.ReasonUnknownTeam, fmt.Sprintf("team %q is not in the configuration", s.Team))
}

// refuse closes the key and answers with a verdict. When an earlier owner may
// have started tasks, or this entry may no longer own the key, the answer says
// ran=maybe.
func (ls *loopState) refuse(r *request, v *api.Verdict, maybeStarted bool, now time.Time) {
	if maybeStarted {
		v.Ran = v.Ran.Combine(api.RanMaybe)
	}
	a := ls.jobs.Refuse(r.key, r.sub, r.digest, v, now)
	a.TraceID = tracing.TraceID(r.ctx)
	ls.e.metrics.countRefusal(a.Reason)
	ls.closeAndDeliver(a, r.sub.Idempotent, func() {
		ls.logVerdict(r.sub, a, 0)
		r.send(reply{answer: a})
	})
}

func (ls *loopState) accept(r *request, d ownership.Decision, class wire.Class, now time.Time) {
	s := r.sub
	_, span := ls.e.options.Tracer.Start(r.ctx, "job", trace.WithAttributes(attribute.String("key", r.key.String())))
	a := &activeJob{
		class: class, span: span, arrived: now, traceID: tracing.TraceID(r.ctx),
		traceparent: tracing.Traceparent(trace.ContextWithSpan(r.ctx, span)),
		metrics:     ls.e.metrics.forTeam(s.Service, s.Team),
	}
	if len(d.Started) == 0 {
		a.quotaTasks = len(s.Tasks)
	}
	a.metrics.jobs.Inc(1)
	ls.activeJobs[r.key] = a
	a.waiters = []*request{r}
	spec := jobs.JobSpec{Key: r.key, Submission: s, Digest: r.digest, Deadline: r.deadline, RecordsLost: d.RecordsLost}
	for _, t := range d.Started {
		if t.State != wire.StateClosed {
			spec.Started = append(spec.Started, jobs.StartedTask{Task: t.Task, Agent: t.Agent, Digest: t.Digest})
		}
	}
	ls.apply(ls.jobs.Add(spec, now))
	if !r.wait && ls.jobs.Job(r.key) != nil {
		a.waiters = nil
		ls.answerNow(r, now)
	}
}

// trackFinished runs f, which may finish tasks of the job, and then releases
// the queue and quota shares of the finished tasks.
func (ls *loopState) trackFinished(key api.Key, f func()) {
	j, a := ls.jobs.Job(key), ls.activeJobs[key]
	if j == nil || a == nil {
		f()
		return
	}
	before := j.Finished()
	f()
	for range j.Finished() - before {
		ls.queue.TaskEnded(key)
		if a.quotaTasks > 0 {
			a.quotaTasks--
			ls.admission.Release(j.Submission.Team, 1)
		}
	}
}

// finishJob delivers the verdict of a job and releases what the job still
// holds.
func (ls *loopState) finishJob(act jobs.Action) {
	a, ans := ls.activeJobs[act.Key], act.Answer
	delete(ls.activeJobs, act.Key)
	if a == nil {
		return
	}
	ans.TraceID = a.traceID
	a.span.SetAttributes(attribute.String("verdict", string(ans.Verdict)), attribute.String("reason", string(ans.Reason)))
	a.span.End()
	if act.Job == nil {
		// The job was not added, because an earlier owner started tasks of another
		// submission with this key.
		a.answerWaiters(ans)
		return
	}
	sub := act.Job.Submission
	ls.reduceQueuedTasks(sub.Service, sub.Team, len(ls.queue.Remove(act.Key)))
	if a.quotaTasks > 0 {
		ls.admission.Release(sub.Team, a.quotaTasks)
		a.quotaTasks = 0
	}
	took := ls.now().Sub(a.arrived)
	a.metrics.recordVerdict(ans, took)
	ls.closeAndDeliver(ans, sub.Idempotent, func() {
		ls.logVerdict(sub, ans, took)
		a.answerWaiters(ans)
	})
}

func (a *activeJob) answerWaiters(ans *api.Answer) {
	for _, w := range a.waiters {
		w.send(reply{answer: ans})
	}
}

func (ls *loopState) hasOtherEntries() bool {
	r := ls.resolver.Roster()
	return r != nil && len(r.Members) > 1
}
