package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// phase is where a task is on its way.
type phase uint8

const (
	// blocked tasks wait for earlier steps.
	blocked phase = iota
	// ready tasks wait for a worker.
	ready
	// starting tasks are ordered, and the agent hasn't answered.
	starting
	// running tasks are in progress.
	running
	// stopping tasks are ordered to stop, to be started elsewhere.
	stopping
	// lost tasks may be running at an agent without a connection.
	lost
	done
)

type task struct {
	job     *job
	id      link.TaskID
	phase   phase
	worker  *worker
	attempt uint32
	// since is when the phase began.
	since time.Duration
	// startedAt is when the agent confirmed the attempt.
	startedAt time.Duration
	// percent and progressAt are the last progress, remaining what it predicts;
	// negative when none was seen.
	percent    uint8
	progressAt time.Duration
	remaining  time.Duration
	failures   int
	// trustedFailures are those that were not laid to the worker.
	trustedFailures int
	failedOn        []string
	moves           int
	// safeAt is when a lost attempt must have ended.
	safeAt time.Duration
}

func (t *task) step() *Step { return &t.job.Steps[t.id.Step] }

type job struct {
	Job
	tasks []*task
	// open counts the tasks of each step that aren't done.
	open []int
	// objective is when the job stops being on time, cutoff when an answer stops
	// being of use.
	objective time.Duration
	cutoff    time.Duration
	// startBy is the latest start of the longest chain that is on time.
	startBy time.Duration
	// ran says whether an attempt is known to have started.
	ran bool
	// inDoubt says that the fate of an attempt was never learnt.
	inDoubt bool
}

type worker struct {
	name      string
	connected bool
	state     link.WorkerState
	accepting bool
	reported  bool
	free      link.Resources
	speed     float64
	failShare float64
	// blockedUntil is how long a worker that refused a start gets no other.
	blockedUntil time.Duration
	// unanswered is what starts take that the agent hasn't answered.
	unanswered link.Resources
	tasks      map[link.TaskID]*task
	// preference tells equal workers apart, 0 to 1.
	preference float64
}

func (w *worker) available() link.Resources { return w.free.Sub(w.unanswered) }

// State is the jobs and workers that an entry knows. Not safe for concurrent
// use.
type State struct {
	o       Options
	jobs    map[string]*job
	workers map[string]*worker
	// byName holds the workers in order of their names.
	byName []*worker
	// waiting holds the jobs with ready tasks, in order of startBy.
	waiting []*job
	// urgentAt is when each service last got a job of a queue that comes first.
	urgentAt map[string]time.Duration
	finished map[string]finished
	oldest   []string
	orders   map[string]*Order
	out      Actions
	// changed says that waiting tasks may have room now.
	changed bool
	// fastest is the highest speed of a service's workers, as far as it was looked
	// for since the last change.
	fastest map[string]float64
}

type finished struct {
	verdict *api.Verdict
	at      time.Duration
}

// New returns an empty state.
func New(o Options) *State {
	return &State{
		o: o, jobs: map[string]*job{}, workers: map[string]*worker{},
		urgentAt: map[string]time.Duration{}, fastest: map[string]float64{}, finished: map[string]finished{}, orders: map[string]*Order{},
	}
}

// Take starts what there is room for since the last call, and returns the
// actions. Reports come in batches, so that the waiting jobs are gone through
// once for each batch.
func (s *State) Take(now time.Duration) Actions {
	if s.changed {
		s.changed = false
		s.dispatch(now)
	}
	out := s.out
	for _, o := range s.orders {
		out.Orders = append(out.Orders, *o)
	}
	s.out = Actions{}
	clear(s.orders)
	return out
}

// Waiting reports whether tasks wait for room.
func (s *State) Waiting() bool { return len(s.waiting) > 0 }

// NotStarted returns the number of jobs of a queue of which no task has started.
func (s *State) NotStarted(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.ran {
			n++
		}
	}
	return n
}

// Find says whether a job is in progress and whether any task of it has started.
func (s *State) Find(id string) (known, started bool) {
	j, ok := s.jobs[id]
	return ok, ok && j.ran
}

func (s *State) order(w *worker) *Order {
	o := s.orders[w.name]
	if o == nil {
		o = &Order{Worker: w.name}
		s.orders[w.name] = o
	}
	return o
}

func (s *State) log(l decisions.Line) { s.out.Lines = append(s.out.Lines, l) }

// Submit takes a job. It returns the answer if there is one already; a job that
// is in progress goes on.
func (s *State) Submit(now time.Duration, sub Job) *api.Verdict {
	if f, ok := s.finished[sub.ID]; ok && now-f.at < finishedKept {
		s.log(decisions.Info("job repeated, answer known", "job", sub.ID, "answer_age_ms", (now - f.at).Milliseconds()))
		return f.verdict
	}
	if _, ok := s.jobs[sub.ID]; ok {
		s.log(decisions.Info("job repeated, in progress here", "job", sub.ID))
		return nil
	}
	j := newJob(sub)
	if j.Priority == mostUrgent {
		s.urgentAt[j.Service] = now
	}
	if v := s.admit(now, j); v != nil {
		s.log(decisions.Info("job refused", "job", j.ID, "queue", j.Queue, "reason", v.Message,
			"waiting_jobs", len(s.waiting), "retry_after_ms", v.RetryAfter.Milliseconds(),
			"expected_wait_ms", s.expectedWait(now, j).Milliseconds(), "quickest_ms", s.quickest(j).Milliseconds(),
			"on_time_ms", (j.objective - now).Milliseconds(), "free_share", s.freeShare(j.Service)))
		return v
	}
	s.jobs[j.ID] = j
	s.enqueue(j)
	s.dispatch(now)
	s.log(decisions.Info("job accepted", "job", j.ID, "queue", j.Queue, "tasks", len(j.tasks),
		"on_time_ms", (j.objective - j.Arrived).Milliseconds(), "deadline_ms", (j.Deadline - j.Arrived).Milliseconds(),
		"placed", s.placed(j)))
	return nil
}

func (s *State) placed(j *job) string {
	var b strings.Builder
	for _, t := range j.tasks {
		if t.worker != nil {
			if b.Len() > 0 {
				b.WriteByte(' ')
			}
			b.WriteString(t.worker.name)
		}
	}
	return b.String()
}

func newJob(sub Job) *job {
	j := &job{Job: sub, open: make([]int, len(sub.Steps))}
	for i := range j.Steps {
		if j.Steps[i].Estimate <= 0 {
			j.Steps[i].Estimate = defaultEstimate
		}
		j.open[i] = j.Steps[i].Tasks
		for k := range j.Steps[i].Tasks {
			j.tasks = append(j.tasks, &task{job: j, id: link.TaskID{Job: j.ID, Step: uint16(i), Index: uint16(k)}})
		}
	}
	chain := j.longestChain()
	onTime := time.Duration(j.Stretch*float64(chain)) + j.Allowance
	j.objective = j.Arrived + onTime
	j.cutoff = min(j.Arrived+lateFactor*onTime, j.Deadline-answerMargin)
	j.startBy = j.objective - chain
	j.unblock()
	return j
}

// longestChain is the sum of the estimates along the longest way through the
// steps. Steps only name earlier steps.
func (j *job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, st := range j.Steps {
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += st.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// unblock makes the tasks ready whose earlier steps are done.
func (j *job) unblock() {
	for _, t := range j.tasks {
		if t.phase == blocked && !slices.ContainsFunc(t.step().After, func(a int) bool { return j.open[a] > 0 }) {
			t.phase = ready
		}
	}
}

// mayHave says whether an attempt has run, or may be about to.
func (j *job) mayHave() api.Ran {
	switch {
	case j.ran:
		return api.RanYes
	case j.inDoubt, slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.phase == starting || t.phase == lost || t.phase == stopping
	}):
		return api.RanMaybe
	}
	return api.RanNo
}

func (j *job) hasReady() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase == ready })
}

func (s *State) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
	if at < len(s.waiting) && s.waiting[at] == j {
		return
	}
	s.waiting = slices.Insert(s.waiting, at, j)
}

func compareJobs(a, b *job) int {
	switch {
	case a.startBy != b.startBy:
		if a.startBy < b.startBy {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func (s *State) dequeue(j *job) {
	if at, ok := slices.BinarySearchFunc(s.waiting, j, compareJobs); ok {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
}

// finish answers a job, stops what is left of it, and forgets it.
func (s *State) finish(now time.Duration, j *job, v *api.Verdict) {
	delete(s.jobs, j.ID)
	s.dequeue(j)
	for _, t := range j.tasks {
		s.abandon(t)
	}
	s.remember(now, j.ID, v)
	s.out.Answers = append(s.out.Answers, Answer{Job: j.ID, Verdict: v})
	s.log(decisions.Info("job answered", "job", j.ID, "queue", j.Queue, "outcome", string(v.Outcome), "reason", string(v.Reason),
		"ran", string(v.Ran), "message", v.Message, "took_ms", (now - j.Arrived).Milliseconds(),
		"on_time_ms", (j.objective - j.Arrived).Milliseconds(), "waiting_jobs", len(s.waiting),
		"free_share", s.freeShare(j.Service), "tasks", j.timeline()))
}

// timeline describes each task for the log.
func (j *job) timeline() []string {
	lines := make([]string, 0, len(j.tasks))
	for _, t := range j.tasks {
		lines = append(lines, t.history())
	}
	return lines
}

// abandon stops an attempt whose end no longer matters.
func (s *State) abandon(t *task) {
	switch t.phase {
	case starting, running:
		o := s.order(t.worker)
		o.Stops = append(o.Stops, link.Stop{Task: t.id, Attempt: t.attempt})
	}
	s.detach(t)
}

// detach removes a task from its worker.
func (s *State) detach(t *task) {
	if t.worker == nil {
		return
	}
	if t.phase == starting {
		t.worker.unanswered = t.worker.unanswered.Sub(t.step().Need)
	}
	delete(t.worker.tasks, t.id)
}

// remember keeps an answer for repeated submissions. Refusals aren't kept: the
// caller may come again.
func (s *State) remember(now time.Duration, id string, v *api.Verdict) {
	if v.Outcome != api.Complete && v.Reason != api.ReasonTaskFailed {
		return
	}
	if _, ok := s.finished[id]; !ok {
		s.oldest = append(s.oldest, id)
	}
	s.finished[id] = finished{v, now}
	for len(s.oldest) > 0 && (len(s.oldest) > maxFinished || now-s.finished[s.oldest[0]].at >= finishedKept) {
		delete(s.finished, s.oldest[0])
		s.oldest = s.oldest[1:]
	}
}

// Cancel ends a job because its caller cancelled it or has gone. It reports
// whether the job was in progress.
func (s *State) Cancel(now time.Duration, id, why string) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	s.finish(now, j, api.Fail(j.mayHave(), api.ReasonCancelled, why))
	s.changed = true
	return true
}

// HasTasks reports whether tasks are in progress at an agent.
func (s *State) HasTasks(name string) bool {
	w := s.workers[name]
	return w != nil && len(w.tasks) > 0
}
