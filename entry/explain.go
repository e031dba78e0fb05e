package entry

import (
	"context"
	"time"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/wire"
)

// maxExplainedTasks bounds the tasks that an explanation lists.
const maxExplainedTasks = 32

// explainedKey stands for the key of an explained job. No caller can have it, since it isn't
// a UUID of version 7.
var explainedKey wire.Key

// Explain implements ingress.Service. The event loop copies the state and admits the job to
// the copy; the goroutine of the request places its tasks there.
func (e *Entry) Explain(ctx context.Context, s *api.Submission) *ingress.Explanation {
	limit := e.timeLimit(s)
	snapshot, ok := postAndWait(ctx, e, func(ls *loopState) *explainedState { return ls.admitToCopy(s, limit) })
	if !ok {
		return nil
	}
	x := snapshot.explanation
	x.Entry, x.Zone, x.Ready, x.PlatformAgeMS = e.self.Name, e.self.Zone, e.NotReadyReason() == "", -1
	if last, _ := e.health.last(); !last.IsZero() {
		x.PlatformAgeMS = e.clock.now().Sub(last).Milliseconds()
	}
	if x.Decision == "" {
		snapshot.place()
		return x
	}
	rule := "waits for a worker that is expected to accept tasks"
	if x.Decision == ingress.Refused {
		rule = "the job is refused"
	}
	x.Tasks = []ingress.TaskView{snapshot.view(0, snapshot.placement.ExplainWait(s.Service, snapshot.class, snapshot.now), rule)}
	return x
}

// explainedState is a copy of what decides about a job, with the job admitted to it.
type explainedState struct {
	explanation *ingress.Explanation
	now         time.Time
	class       wire.Class
	job         queue.Job
	queue       *queue.Queue
	placement   *placement.State
	// excludedByConfig says why the configuration excludes the worker in a zone.
	excludedByConfig func(worker, zone string) string
}

// admitToCopy copies the state and decides whether a job that arrives now is accepted. If the
// decision is left empty, the job is accepted and its tasks are in the queue of the copy.
func (ls *loopState) admitToCopy(s *api.Submission, limit time.Duration) *explainedState {
	now := ls.now()
	r := &request{sub: s, deadline: now.Add(limit)}
	clone := *ls
	clone.placement, clone.admission, clone.queue = ls.placement.Clone(), ls.admission.Clone(), ls.queue.Clone()
	supply := clone.supply(s.Service)
	q := admission.Request{Service: s.Service, Team: s.Team, Tasks: len(s.Tasks), TimeLeft: limit}
	x := &ingress.Explanation{
		ConfigVersion: ls.config.Version, RosterVersion: ls.rosterVersion(), EvacuatedZones: ls.config.EvacuatedZones,
		Service: s.Service, Type: s.Type, Team: s.Team, Class: ingress.ClassName(clone.placement.Class(s.Service, s.Type)), DeadlineMS: limit.Milliseconds(),
		Ahead:     ingress.QueueAhead{Waiting: supply.Waiting},
		Supply:    ingress.SupplyView{Slots: supply.Slots, Busy: supply.Busy, BusyByOthers: supply.BusyByOthers, RunTimeMS: supply.RunTime.Milliseconds()},
		Admission: clone.admission.View(q, supply), TotalTasks: len(s.Tasks),
	}
	config := ls.config
	state := &explainedState{
		explanation: x, now: now, queue: clone.queue, placement: clone.placement,
		excludedByConfig: func(worker, zone string) string {
			if config.Evacuated(zone) {
				return "evacuated zone"
			}
			if w, ok := config.Worker(worker); ok && w.Drain {
				return "drained"
			}
			return "service not permitted"
		},
	}
	class, v := clone.placement.Class(s.Service, s.Type), (*api.Verdict)(nil)
	switch {
	case x.RosterVersion == 0 || ls.removed:
		v = api.Fail(api.RanMaybe, api.ReasonNotReady, "the entry is not a member of the roster")
	case ls.draining && ls.hasOtherEntries():
		v = api.Refuse(api.ReasonDraining, "the entry is shutting down, the other entries take new jobs")
	case clone.awaitsWorkers(r, now):
		if v = clone.refuseToWait(s); v != nil {
			break
		}
		x.Decision, x.Message = ingress.Waits, "no worker of the service accepts tasks now, and the job waits up to 2 s for one that is expected to"
	default:
		v, class = clone.admit(r, false, now)
	}
	state.class = class
	if v != nil {
		x.Decision, x.Reason, x.Message, x.RetryAfterMS = ingress.Refused, v.Reason, v.Message, v.RetryAfter.Milliseconds()
	}
	if x.Decision != "" {
		return state
	}
	if x.Supply.RunTimeMS > 0 {
		x.ExpectedEndMS = x.Admission.ExpectedWaitMS + x.Supply.RunTimeMS
	}
	state.job = clone.queueJob(explainedKey, s, class, now, r.deadline, len(s.Tasks))
	for i := range s.Tasks {
		clone.queue.Add(state.job, uint16(i))
	}
	return state
}

// place starts tasks on the free slots of the copy like dispatch, and fills in the decision.
func (s *explainedState) place() {
	x := s.explanation
	x.Ahead.FirstTask, x.Ahead.LastTask = s.tasksAhead()
	hasSlot := func(service string, class wire.Class) bool { return s.placement.HasFreeSlot(service, class, s.now) }
	placed := 0
	for {
		key, task, ok := s.queue.Next(s.now, hasSlot)
		if !ok {
			break
		}
		if key != explainedKey || placed >= maxExplainedTasks {
			j, _ := s.queue.Job(key)
			if _, ok = s.placement.Pick(j.Service, j.Class, s.now); !ok {
				break
			}
			if key == explainedKey {
				placed++
			}
			continue
		}
		choice, ok := s.placement.PickExplained(s.job.Service, s.job.Class, s.now)
		if !ok {
			break
		}
		placed++
		x.Tasks = append(x.Tasks, s.view(int(task), choice, "highest rank"))
	}
	if x.Decision = ingress.Placed; placed < x.TotalTasks {
		x.Decision = ingress.Waits
	}
	for i := placed; i < min(x.TotalTasks, maxExplainedTasks); i++ {
		if i == placed {
			choice := s.placement.ExplainWait(s.job.Service, s.job.Class, s.now)
			x.Tasks = append(x.Tasks, s.view(i, choice, "no worker that may run it has a free slot"))
			continue
		}
		x.Tasks = append(x.Tasks, ingress.TaskView{Index: i, Rule: "waits for an earlier task of the job"})
	}
}

func (s *explainedState) view(task int, choice placement.Choice, rule string) ingress.TaskView {
	for i := range choice.Candidates {
		if c := &choice.Candidates[i]; c.Excluded == placement.ExcludedByConfig {
			c.Excluded = s.excludedByConfig(c.Worker, c.Zone)
		}
	}
	return ingress.TaskView{Index: task, Worker: choice.Worker, Rule: rule, Candidates: choice.Candidates, Excluded: choice.Excluded}
}

// tasksAhead returns the numbers of tasks of other jobs of the service that are served before
// the first and the last task of the job, if slots of both classes become free.
func (s *explainedState) tasksAhead() (first, last int) {
	q := s.queue.Clone()
	own, others := 0, 0
	for own < s.job.Tasks {
		key, _, ok := q.Next(s.now, func(service string, _ wire.Class) bool { return service == s.job.Service })
		if !ok {
			break
		}
		if key != explainedKey {
			others++
			continue
		}
		if own == 0 {
			first = others
		}
		own, last = own+1, others
	}
	return first, last
}
