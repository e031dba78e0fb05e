package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// maxExplainedTasks and maxExplainedCandidates bound an Explanation: the tasks of a
	// job that are listed, and the workers that are listed for each.
	maxExplainedTasks      = 32
	maxExplainedCandidates = 10
)

// Decision says what would happen to a job.
type Decision string

// Decisions.
const (
	// Placed means that every task that is ready would start at once.
	Placed Decision = "placed"
	// Waits means that the job would be accepted, and at least one ready task would wait.
	Waits Decision = "waits"
	// Refused means that the job would be refused, and none of it run.
	Refused Decision = "refused"
	// InProgress and Answered mean that a job with the same ID is in progress, or has
	// been answered a short time ago.
	InProgress Decision = "in progress"
	Answered   Decision = "answered"
)

// Explanation says what would happen to a job that arrived now, and why. Times are in
// milliseconds; those that are not durations count from now.
type Explanation struct {
	Decision Decision `json:"decision"`
	// Reason and Message are those of the refusal or of the earlier answer, and
	// RetryAfterMS is the hint of a refusal.
	Reason       api.Reason `json:"reason,omitempty"`
	Message      string     `json:"message,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	Queue        string     `json:"queue"`
	Service      string     `json:"service"`
	// Class is how likely the job is to be on time: urgent, on track, marginal or late.
	Class string `json:"class"`
	// WaitedMS is how long the caller is taken to have waited elsewhere before.
	WaitedMS int64 `json:"waited_ms"`
	// OnTimeMS is the end of the time in which an answer is on time, CutoffMS the end of
	// that in which it is of use. ExpectedEndMS is when the job is expected to end, and
	// OnTime whether that is on time. A refused job has no expected end.
	OnTimeMS      int64 `json:"on_time_ms"`
	CutoffMS      int64 `json:"cutoff_ms"`
	ExpectedEndMS int64 `json:"expected_end_ms,omitempty"`
	OnTime        bool  `json:"on_time"`
	// QuickestMS is the run time of the job's longest chain on the fastest worker.
	QuickestMS int64          `json:"quickest_ms"`
	Ahead      QueueAhead     `json:"ahead"`
	Capacity   CapacityView   `json:"capacity"`
	Evacuation EvacuationView `json:"evacuation"`
	// Tasks are the first tasks of the job, TotalTasks is the number of all.
	Tasks      []TaskView `json:"tasks"`
	TotalTasks int        `json:"total_tasks"`
}

// QueueAhead describes the waiting jobs of the entry.
type QueueAhead struct {
	// WaitingJobs are all that wait, Jobs and Tasks those of the service that are served
	// before the explained job.
	WaitingJobs int `json:"waiting_jobs"`
	Jobs        int `json:"jobs"`
	Tasks       int `json:"tasks"`
	// ExpectedWaitMS is how long the work ahead takes at the present rate.
	ExpectedWaitMS int64 `json:"expected_wait_ms"`
}

// CapacityView describes the usable workers of the service.
type CapacityView struct {
	UsableWorkers int   `json:"usable_workers"`
	MilliCPU      int64 `json:"milli_cpu"`
	FreeMilliCPU  int64 `json:"free_milli_cpu"`
	// RequiredFreeShare is the free share of the capacity below which the job starts no
	// task, and FreeShare is the present one.
	FreeShare         float64 `json:"free_share"`
	RequiredFreeShare float64 `json:"required_free_share"`
}

// EvacuationView describes the evacuated zones that the entry knows.
type EvacuationView struct {
	Version uint64   `json:"version"`
	Zones   []string `json:"zones,omitempty"`
}

// TaskView says where a task would go.
type TaskView struct {
	Step  int `json:"step"`
	Index int `json:"index"`
	// Worker is the chosen one, empty if the task would wait. Rule says why.
	Worker string `json:"worker,omitempty"`
	Rule   string `json:"rule"`
	// Candidates are the best workers, the chosen one first. Excluded counts the other
	// workers of the service by what excludes them, or as "higher cost". Both are empty for
	// a task for which no worker has been looked for.
	Candidates []Candidate    `json:"candidates,omitempty"`
	Excluded   map[string]int `json:"excluded,omitempty"`
}

// Candidate is a worker with each term of its cost.
type Candidate struct {
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
	Chosen bool   `json:"chosen,omitempty"`
	// Excluded says why the worker can't be chosen; empty if it can.
	Excluded         string `json:"excluded,omitempty"`
	FreeMilliCPU     int64  `json:"free_milli_cpu"`
	CapacityMilliCPU int64  `json:"capacity_milli_cpu"`
	FreeMemoryMB     int64  `json:"free_memory_mb"`
	FreeGPU          int64  `json:"free_gpu"`
	// OwnTasks are the tasks of the entry on the worker.
	OwnTasks    int     `json:"own_tasks"`
	Speed       float64 `json:"speed"`
	FailureRate float64 `json:"failure_rate"`
	RunTimeMS   int64   `json:"run_time_ms"`
	// CostMS is what ranks the worker. It is the declared run time times the following
	// factors; OtherFactor is that of all further terms, 1 if there are none.
	CostMS        float64 `json:"cost_ms"`
	SpeedFactor   float64 `json:"speed_factor"`
	RackFactor    float64 `json:"rack_factor"`
	FailureFactor float64 `json:"failure_factor"`
	OtherFactor   float64 `json:"other_factor"`
	// LoadTerm, PreferenceTerm and ZoneTerm are added to 1 for a further factor.
	LoadTerm       float64 `json:"load_term"`
	PreferenceTerm float64 `json:"preference_term"`
	ZoneTerm       float64 `json:"zone_term"`
	// BackoffMS is the time for which the worker gets no start after it refused one.
	BackoffMS int64 `json:"backoff_ms,omitempty"`
	// LeavesMS is the time for which a worker stays at least that has announced to leave.
	LeavesMS int64 `json:"leaves_ms,omitempty"`
	// ReportAgeMS is the age of the last report, on which all of this is based; -1 if
	// there was none.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// Explain returns what would happen to a job that arrived now. It changes nothing.
func (s *Scheduler) Explain(now time.Duration, sub Job) Explanation {
	return s.Snapshot(sub.ID).Explain(now, sub)
}

// Explain submits a job to the copy and returns what happens. It can be called once.
func (snapshot *Snapshot) Explain(now time.Duration, sub Job) Explanation {
	s := snapshot.s
	sub.Steps = slices.Clone(sub.Steps)
	e := Explanation{Queue: sub.Queue, Service: sub.Service}
	e.Evacuation = EvacuationView{Version: s.evacuation.version, Zones: slices.Sorted(maps.Keys(s.evacuation.since))}
	_, known := s.jobs[sub.ID]
	picks := map[*task]TaskView{}
	costs := map[*worker]float64{}
	s.onCandidate = func(_ *task, c candidate) { costs[c.w] = c.cost }
	s.onPick = func(now time.Duration, t *task, w *worker) {
		if t.job.ID == sub.ID && len(picks) < maxExplainedTasks {
			picks[t] = s.explainPick(now, t, w, costs)
		}
		clear(costs)
	}
	// The state before the job arrives, with the changes that Submit makes first.
	j := newJob(sub)
	if last, ok := s.firstSubmissions[sub.Queue]; sub.Waited > 0 && (!ok || now-last > firstSubmissionPeriod) {
		sub.Waited = 0
		j = newJob(sub)
	}
	if j.Priority == highestPriority {
		s.lastUrgent[j.Service] = now
	}
	s.explainState(now, j, &e)
	verdict := s.Submit(now, sub)
	s.onPick = nil
	clear(costs)
	switch {
	case verdict != nil && verdict.Outcome != api.Complete && verdict.Ran == api.RanNo:
		e.Decision = Refused
	case verdict != nil:
		e.Decision = Answered
	case known:
		e.Decision = InProgress
	default:
		e.Decision = Placed
		j = s.jobs[sub.ID]
		if j.hasReadyTasks() {
			e.Decision = Waits
		}
		if j.expectedLate {
			e.Class, e.Capacity.RequiredFreeShare = "late", s.requiredFreeShare(now, j, late)
		}
	}
	if verdict != nil {
		e.Reason, e.Message, e.RetryAfterMS = verdict.Reason, verdict.Message, verdict.RetryAfter.Milliseconds()
	}
	e.TotalTasks = len(j.tasks)
	if e.Decision == InProgress || e.Decision == Answered {
		return e
	}
	e.Tasks = s.explainTasks(now, j, &e, picks, costs)
	if e.Decision != Refused {
		end := s.expectedEnd(now, j)
		e.ExpectedEndMS, e.OnTime = (end - now).Milliseconds(), end <= j.dueAt
	}
	return e
}

// explainState fills in what doesn't depend on the placement of the job.
func (s *Scheduler) explainState(now time.Duration, j *job, e *Explanation) {
	class := s.classify(now, j)
	e.Class = [...]string{urgent: "urgent", onTrack: "on track", marginal: "marginal", late: "late"}[class]
	e.WaitedMS = j.Waited.Milliseconds()
	e.OnTimeMS, e.CutoffMS = (j.dueAt - now).Milliseconds(), (j.cutoff - now).Milliseconds()
	e.QuickestMS = s.minRunTime(j).Milliseconds()
	e.Ahead = QueueAhead{WaitingJobs: len(s.waiting), ExpectedWaitMS: s.expectedWait(now, j).Milliseconds()}
	for _, queued := range s.waiting {
		if queued.Service != j.Service || cmp.Or(cmp.Compare(s.classify(now, queued), class), compareJobs(queued, j)) >= 0 {
			continue
		}
		e.Ahead.Jobs++
		for _, t := range queued.tasks {
			if t.phase == ready {
				e.Ahead.Tasks++
			}
		}
	}
	for _, w := range s.workersByName {
		if w.usable(j.Service) {
			e.Capacity.UsableWorkers++
		}
	}
	e.Capacity.MilliCPU, e.Capacity.FreeMilliCPU = s.capacity(j.Service)
	e.Capacity.FreeShare = s.freeShare(j.Service)
	e.Capacity.RequiredFreeShare = s.requiredFreeShare(now, j, class)
}

// explainTasks returns the views of the first tasks of a job. picks holds those for which a
// worker has been looked for; costs receives the costs of another look.
func (s *Scheduler) explainTasks(now time.Duration, j *job, e *Explanation, picks map[*task]TaskView, costs map[*worker]float64) []TaskView {
	var views []TaskView
	considered := false
	for _, t := range j.tasks[:min(len(j.tasks), maxExplainedTasks)] {
		if view, ok := picks[t]; ok {
			considered = considered || view.Worker == ""
			views = append(views, view)
			continue
		}
		view := TaskView{Step: int(t.id.Step), Index: int(t.id.Index)}
		switch {
		case t.phase == blocked:
			view.Rule = "waits for earlier steps"
		case considered:
			view.Rule = "waits for an earlier task of the job"
		default:
			// The first task that waits without a look for a worker. The candidates are
			// those it would have had.
			considered = true
			s.pickWorker(now, t)
			view = s.explainPick(now, t, nil, costs)
			switch {
			case e.Decision == Refused:
				view.Rule = "the job is refused"
			case now < j.notBefore:
				view.Rule = "attempts of an earlier submission may still run"
			case e.Capacity.FreeShare < e.Capacity.RequiredFreeShare:
				view.Rule = "the free capacity is reserved for other jobs"
			default:
				view.Rule = "jobs that are served before found no worker"
			}
		}
		views = append(views, view)
	}
	return views
}

// explainPick returns the view of a task for which pickWorker has chosen chosen, which is nil
// if the task waits. costs are those of the workers that it considered.
func (s *Scheduler) explainPick(now time.Duration, t *task, chosen *worker, costs map[*worker]float64) TaskView {
	view := TaskView{Step: int(t.id.Step), Index: int(t.id.Index)}
	type ranked struct {
		w        *worker
		excluded string
		cost     float64
	}
	all := make([]ranked, 0, len(s.workersByName))
	fitting := 0
	for _, w := range s.workersByName {
		if w.state.Service != t.job.Service {
			continue
		}
		r := ranked{w, s.exclusion(now, t, w), s.cost(t, w, s.predictRunTime(t, w))}
		if considered, ok := costs[w]; ok {
			r.cost, r.excluded = considered, ""
			fitting++
		} else if r.excluded == "" && chosen != nil && t.job.spare {
			r.excluded = "kept for jobs on time, or too slow for the cutoff"
		} else if r.excluded == "" {
			r.excluded = "not considered"
		}
		all = append(all, r)
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		return cmp.Or(-compareBool(a.w == chosen, b.w == chosen), compareBool(a.excluded != "", b.excluded != ""), cmp.Compare(a.cost, b.cost))
	})
	listed := min(len(all), maxExplainedCandidates)
	for _, r := range all[:listed] {
		c := s.explainCandidate(now, t, r.w, r.cost)
		c.Chosen, c.Excluded = r.w == chosen, r.excluded
		view.Candidates = append(view.Candidates, c)
	}
	for _, r := range all[listed:] {
		if view.Excluded == nil {
			view.Excluded = map[string]int{}
		}
		view.Excluded[cmp.Or(r.excluded, "higher cost")]++
	}
	cheaper := slices.IndexFunc(all, func(r ranked) bool { return r.excluded == "" && r.cost < all[0].cost })
	switch {
	case chosen != nil && t.job.spare && !t.job.started:
		view.Rule = "late job, on a worker that is too slow for jobs on time"
	case chosen != nil && cheaper >= 0 && s.keepsApart(t.job.Service) && s.predictRunTime(t, all[cheaper].w) > t.job.dueAt-now:
		view.Rule = "lowest cost of those in time, with no regard to kinds that slow each other down"
	case chosen != nil && cheaper >= 0:
		view.Rule = "slowest worker in time, since little capacity is free"
	case chosen != nil:
		view.Rule = "lowest cost"
	case fitting > 0:
		view.Rule = "the free workers are too slow, and a faster one may become free in time"
	case len(all) == 0:
		view.Rule = "no worker of the service is known"
	default:
		view.Rule = "no worker that may run it has room"
	}
	if chosen != nil {
		view.Worker = chosen.name
	}
	return view
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (s *Scheduler) explainCandidate(now time.Duration, t *task, w *worker, cost float64) Candidate {
	available, st := w.available(), t.step()
	runTime := s.predictRunTime(t, w)
	costMS := cost / float64(time.Millisecond)
	c := Candidate{
		Worker: w.name, Zone: w.state.Zone,
		FreeMilliCPU: available.MilliCPU, CapacityMilliCPU: w.state.Capacity.MilliCPU, FreeMemoryMB: available.MemoryMB, FreeGPU: available.GPU,
		OwnTasks: len(w.tasks), Speed: w.speed, FailureRate: w.failureRate, RunTimeMS: runTime.Milliseconds(), CostMS: costMS,
		SpeedFactor: 1 / max(w.speed, minSpeed), RackFactor: 1, FailureFactor: 1 / (1 - min(w.failureRate, 0.95)), OtherFactor: 1,
		LoadTerm:       s.opts.Policy.LoadWeight * (1 - float64(available.MilliCPU)/max(float64(w.state.Capacity.MilliCPU), 1)),
		PreferenceTerm: s.opts.Policy.PreferenceWeight * w.preference,
		BackoffMS:      max(w.backoffUntil-now, 0).Milliseconds(), ReportAgeMS: -1,
	}
	if st.DataRack != "" && !slices.Contains(w.state.Labels, st.DataRack) {
		c.RackFactor = s.opts.RackSlowdown
	}
	if w.state.Zone != s.opts.Zone {
		c.ZoneTerm = s.opts.Policy.ZoneWeight
	}
	if w.leavesAt > 0 {
		c.LeavesMS = max(w.leavesAt-now, 0).Milliseconds()
	}
	if w.reportedAt > 0 {
		c.ReportAgeMS = (now - w.reportedAt).Milliseconds()
	}
	explained := float64(st.Estimate) / float64(time.Millisecond) * c.SpeedFactor * c.RackFactor * c.FailureFactor * (1 + c.LoadTerm + c.PreferenceTerm + c.ZoneTerm)
	// Rounding of the run time to nanoseconds is no further term.
	if ratio := costMS / explained; ratio < 0.9999 || ratio > 1.0001 {
		c.OtherFactor = ratio
	}
	return c
}

// exclusion says why pickWorker doesn't consider a worker of the service, and is empty if it
// does.
func (s *Scheduler) exclusion(now time.Duration, t *task, w *worker) string {
	switch {
	case !w.connected:
		return "not connected"
	case w.evacuated:
		return "evacuated zone"
	case !w.active:
		return "inactive"
	case !w.reported:
		return "not reported yet"
	case !w.accepting:
		return "not accepting"
	case !w.usable(t.job.Service):
		return "not usable"
	case !t.step().permits(w):
		return "label missing"
	case !s.eligible(t, w):
		if slices.Contains(t.failedOn, w.name) {
			return "failed there before"
		}
		return "too many tasks of the step there"
	case now < w.backoffUntil:
		return "refused a start just now"
	case !t.step().Need.FitsIn(w.available()):
		return "no room"
	}
	return ""
}

// expectedEnd returns when an accepted job is expected to end. Steps that wait are assumed to
// run on the fastest worker, after the expected wait if they wait for a worker.
func (s *Scheduler) expectedEnd(now time.Duration, j *job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	wait, speed := s.expectedWait(now, j), s.maxSpeed(j.Service)
	for i := range ends {
		start := now
		for _, dep := range j.Steps[i].DependsOn {
			start = max(start, ends[dep])
		}
		ends[i] = start
		for _, t := range j.tasks {
			if int(t.id.Step) != i {
				continue
			}
			fastest := time.Duration(float64(t.step().Estimate) / speed)
			switch {
			case t.worker != nil:
				ends[i] = max(ends[i], start+s.predictRunTime(t, t.worker))
			case t.phase == ready:
				ends[i] = max(ends[i], start+wait+fastest)
			default:
				ends[i] = max(ends[i], start+fastest)
			}
		}
	}
	return slices.Max(append(ends, now))
}
