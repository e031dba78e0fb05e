package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// phase is the state of a task.
type phase uint8

const (
	// blocked tasks wait for earlier steps.
	blocked phase = iota
	// ready tasks wait for a worker.
	ready
	// starting tasks wait for the agent's answer to a start.
	starting
	// running tasks have an attempt that the agent confirmed.
	running
	// stopping tasks wait for their attempt to end after a stop, so that they can
	// start on another worker.
	stopping
	// lost tasks may be running at an agent whose connection was lost, or that
	// does not know whether the attempt runs.
	lost
	// done tasks have succeeded.
	done
	// failed tasks have failed so often that their job failed.
	failed
)

type task struct {
	job     *job
	id      link.TaskID
	phase   phase
	worker  *worker
	attempt uint32
	// phaseSince is when the phase began. In phase stopping it is when the last
	// stop was sent. A task that is lost because of a link.Unknown answer keeps the
	// time of its earlier phase.
	phaseSince time.Duration
	// startedAt is when the agent first confirmed an attempt, the last one for which it
	// did, in answer to a start or a claim. confirmed says whether that is the present one.
	startedAt time.Duration
	confirmed bool
	// percent is the last reported progress, and progressAt is when the attempt last
	// made progress according to that report. remaining is the run time left according to that report; it is
	// negative while no progress has been observed.
	percent    uint8
	progressAt time.Duration
	remaining  time.Duration
	// progressHeardAt is when the agent last reported the progress of this attempt, and equal
	// to progressAt until it has done so on the present connection.
	progressHeardAt time.Duration
	failures        int
	// countedFailures are the failures that were not attributed to the worker.
	countedFailures int
	// failedOn lists the workers on which the task failed or its start was rejected.
	failedOn []string
	// moves counts the stops that were issued to move the task to another worker.
	moves int
	// movesTo is the worker whose capacity a moved task will need, from its stop until its
	// next start.
	movesTo *worker
	// onLeaving says that the worker of the attempt has announced when it leaves. It stays
	// set after the restart of the worker, of which a report may come before that of the end.
	onLeaving bool
	// leaseExpiresAt is when a lost attempt must have ended. It doesn't hold while claimed,
	// that is, from the claim of the attempt until its answer or the loss of the connection:
	// the agent may have taken the claim and renew the lease.
	leaseExpiresAt time.Duration
	claimed        bool
}

func (t *task) step() *Step { return &t.job.Steps[t.id.Step] }

type job struct {
	Job
	tasks []*task
	// unfinished counts the tasks of each step that are not done.
	unfinished []int
	// dueAt is the last time at which an answer is on time, cutoff the last time
	// at which it is of use to the caller.
	dueAt  time.Duration
	cutoff time.Duration
	// latestStart is the latest time at which the longest chain of steps can
	// start and be on time.
	latestStart time.Duration
	// notBefore is when the attempts of an earlier submission of the job must have ended.
	notBefore time.Duration
	// started says whether an attempt is known to have started.
	started bool
	// expectedLate says that the job was accepted as a late one, spare that it was placed on
	// spare workers.
	expectedLate, spare bool
	// inDoubt says that an attempt may have run without a report of it.
	inDoubt bool
}

// worker is what the scheduler knows of a worker and of the connection to its
// agent. Its name is that of the agent.
type worker struct {
	name      string
	connected bool
	state     link.WorkerState
	accepting bool
	// lastAvailable is when the worker last connected, or stopped being connected and
	// accepting tasks, whichever is later.
	lastAvailable time.Duration
	// reported says whether the agent has sent a report on its current connection, and
	// since the worker became active.
	reported bool
	// zoneReported says whether the agent has reported its zone on its current connection,
	// evacuated whether the zone is evacuated.
	zoneReported, evacuated bool
	// active says whether the worker may get tasks, activeSince since when. pinnedUntil is
	// the time until which it stays active in any case.
	active      bool
	activeSince time.Duration
	pinnedUntil time.Duration
	// free, speed and failureRate are those of the agent's last report.
	free        link.Resources
	speed       float64
	failureRate float64
	// known is the speed that the agent's processes have measured, incarnation that of the
	// present one.
	known       knownSpeed
	incarnation uint64
	// reportedAt is the time of that report.
	reportedAt time.Duration
	// backoffUntil is the time until which a worker that refused a start gets no
	// further start.
	backoffUntil time.Duration
	// leavesAt is until when a worker stays at least that drains; 0 when unknown.
	leavesAt time.Duration
	// unconfirmed are the resources of starts that the agent has not answered.
	unconfirmed link.Resources
	tasks       map[link.TaskID]*task
	// running is that of the agent's last report.
	running []link.KindCount
	// preference, from 0 to 1, ranks workers that are otherwise almost equal.
	preference float64
}

// available is the free capacity less that of starts not yet answered.
func (w *worker) available() link.Resources { return w.free.Sub(w.unconfirmed) }

// Scheduler holds the jobs and workers that an entry knows, and decides on
// them. It is not safe for concurrent use.
type Scheduler struct {
	opts    Options
	jobs    map[string]*job
	workers map[string]*worker
	// workersByName holds the workers sorted by name.
	workersByName []*worker
	// byActivation holds the workers in the order in which they become active; nil if it
	// has to be sorted anew. nextReview is when the active workers are reviewed next.
	byActivation []*worker
	nextReview   time.Duration
	// waiting holds the jobs with ready tasks, sorted by latestStart.
	waiting []*job
	// firstSubmissions is when each queue last got a job whose caller had not waited before.
	firstSubmissions map[string]time.Duration
	// lastUrgent is when each service last got a job of the highest priority.
	lastUrgent    map[string]time.Duration
	refusedStarts int64
	// workerStateAt is when an agent last reported the state of its worker. unservableRefusals
	// counts the jobs that were refused because no worker can run them.
	workerStateAt      time.Duration
	unservableRefusals int64
	// leaveMoves counts the tasks that were moved from leaving workers, leaveLosses those
	// that ended with theirs. nextLeaveReview is when reviewLeaving next looks at them.
	leaveMoves, leaveLosses int64
	nextLeaveReview         time.Duration
	// tasks is the sum of Job.size over jobs.
	tasks         int
	cachedAnswers map[string]cachedAnswer
	// cacheOrder holds the keys of cachedAnswers, the oldest first.
	cacheOrder []string
	// lastAttempts holds the highest attempt of jobs that ended within answerRetention, and
	// attemptOrder its keys, the oldest first. A job that is submitted again goes on from there:
	// answers to its earlier attempts may still be on their way.
	lastAttempts map[string]lastAttempt
	attemptOrder []string
	// commands and pending hold what the next TakeActions returns.
	commands map[string]*Command
	pending  Actions
	// placementDue says that capacity may have become free for waiting tasks.
	placementDue bool
	// pairs tells which kinds of tasks slow each other down. pairChanges counts its changes.
	pairs       *interference.Pool
	pairChanges int64
	// maxRunningKinds bounds the kinds that are kept of a report's Running: an agent reports
	// those that it suspects and those that are kept apart by the settings.
	maxRunningKinds int
	// maxSpeeds and largestCapacities cache the results of maxSpeed and largestCapacity by
	// service. They are cleared whenever a worker changes.
	maxSpeeds         map[string]float64
	largestCapacities map[string]link.Resources
	evacuation        evacuation
	// rates holds the rate of each service that has waiting jobs. hopelessRefusals counts the
	// jobs that were refused because of it.
	rates            map[string]*rate
	hopelessRefusals int64
	// queues holds the queues that are or were active. spareSpeeds and spareWorkers cache
	// the results of spareSpeed and spareOf.
	queues       map[queueKey]queueActivity
	spareSpeeds  map[string]float64
	spareWorkers map[string][]*worker
	// spareJobs counts the jobs that were placed on spare workers.
	spareJobs int64
	// onCandidate, if set, is called with each worker that is considered for a task, and
	// onPick after the choice of a worker, before the start; w is nil if the task waits.
	onCandidate func(t *task, c candidate)
	onPick      func(now time.Duration, t *task, w *worker)
}

type cachedAnswer struct {
	verdict    *api.Verdict
	answeredAt time.Duration
}

type lastAttempt struct {
	attempt uint32
	endedAt time.Duration
	// safeAt is when attempts that were in progress at the end must have ended.
	safeAt time.Duration
}

// New returns a scheduler without jobs and workers.
func New(o Options) *Scheduler {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy
	}
	pairs := interference.NewPool(o.KeepApart...)
	return &Scheduler{
		opts: o, jobs: map[string]*job{}, workers: map[string]*worker{},
		firstSubmissions: map[string]time.Duration{}, lastUrgent: map[string]time.Duration{}, maxSpeeds: map[string]float64{}, largestCapacities: map[string]link.Resources{}, cachedAnswers: map[string]cachedAnswer{}, lastAttempts: map[string]lastAttempt{}, commands: map[string]*Command{},
		pairs: pairs, maxRunningKinds: interference.MaxKinds + len(pairs.KeptApartKinds()),
		rates:  map[string]*rate{},
		queues: map[queueKey]queueActivity{}, spareSpeeds: map[string]float64{}, spareWorkers: map[string][]*worker{},
		evacuation: evacuation{unchecked: map[string]bool{}, runnableUntil: map[workerKind]time.Duration{}},
	}
}

// TakeActions starts the waiting tasks for which capacity became free, and
// returns and clears the actions that are due. Waiting tasks are started here and
// not with each report, so that a batch of reports scans the waiting jobs once.
func (s *Scheduler) TakeActions(now time.Duration) Actions {
	if s.placementDue {
		s.placementDue = false
		// Waiting tasks come first: a task that is stopped for capacity which one of them
		// takes in the same pass would lose its progress for nothing.
		s.placeWaiting(now)
		s.reviewLeaving(now)
		s.reviewActive(now)
	}
	out := s.pending
	for _, c := range s.commands {
		out.Commands = append(out.Commands, *c)
	}
	slices.SortFunc(out.Commands, func(a, b Command) int { return strings.Compare(a.Worker, b.Worker) })
	s.pending = Actions{}
	clear(s.commands)
	return out
}

// HasWaitingJobs reports whether jobs have tasks that wait for a worker.
func (s *Scheduler) HasWaitingJobs() bool { return len(s.waiting) > 0 }

// Stats describes a Scheduler for metrics.
type Stats struct {
	// Jobs are in progress, WaitingJobs have tasks that wait for a worker.
	Jobs, WaitingJobs int
	// ConnectedWorkers have a connection, ActiveWorkers may get tasks.
	ConnectedWorkers, ActiveWorkers int
	// RefusedStarts counts the starts that agents refused since the entry started, most of
	// them because other entries were faster.
	RefusedStarts int64
	// InterferingPairs are the pairs of kinds that count, PairChanges how often a pair has
	// begun or ceased to count since the entry started.
	InterferingPairs int
	PairChanges      int64
	// EvacuatedZones are evacuated at present. EvacuationRefusals counts the jobs that were
	// refused for this reason since the entry started.
	EvacuatedZones     int
	EvacuationRefusals int64
	// LeaveMoves counts the tasks that were moved from workers which announced when they
	// leave, LeaveLosses those whose attempt ended with such a worker.
	LeaveMoves, LeaveLosses int64
	// HopelessRefusals counts the jobs that were refused before their cutoff because they
	// could not end by then at the present rate.
	HopelessRefusals int64
	// SpareJobs counts the late jobs that were placed on workers too slow for jobs on time.
	SpareJobs int64
	// UnservableRefusals counts the jobs that were refused because no worker can run them,
	// whatever else it runs.
	UnservableRefusals int64
}

// Stats returns the present state.
func (s *Scheduler) Stats() Stats {
	stats := Stats{
		Jobs: len(s.jobs), WaitingJobs: len(s.waiting), RefusedStarts: s.refusedStarts, LeaveMoves: s.leaveMoves, LeaveLosses: s.leaveLosses,
		HopelessRefusals: s.hopelessRefusals,
		SpareJobs:        s.spareJobs, UnservableRefusals: s.unservableRefusals,
		EvacuatedZones: len(s.evacuation.since), EvacuationRefusals: s.evacuation.refusals,
		InterferingPairs: s.pairs.Counting(), PairChanges: s.pairChanges,
	}
	for _, w := range s.workersByName {
		if !w.connected {
			continue
		}
		stats.ConnectedWorkers++
		if w.active {
			stats.ActiveWorkers++
		}
	}
	return stats
}

// CountNotStarted returns the number of jobs of a queue of which no task is known
// to have started.
func (s *Scheduler) CountNotStarted(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// Find reports whether a job is in progress and whether a task of it is known
// to have started.
func (s *Scheduler) Find(id string) (known, started bool) {
	j, ok := s.jobs[id]
	return ok, ok && j.started
}

// Deadline returns until when the caller of a job in progress waits; ok is false if the job
// isn't in progress.
func (s *Scheduler) Deadline(id string) (deadline time.Duration, ok bool) {
	j, ok := s.jobs[id]
	if !ok {
		return 0, false
	}
	return j.Deadline, true
}

// HasAnswer reports whether a job has ended and its answer is still kept.
func (s *Scheduler) HasAnswer(now time.Duration, id string) bool {
	cached, ok := s.cachedAnswers[id]
	return ok && now-cached.answeredAt < answerRetention
}

// Knows reports whether a task of a job may have started here: the job is in progress, or
// it has ended and its answer or its attempts are still kept.
func (s *Scheduler) Knows(now time.Duration, id string) bool {
	if _, ok := s.jobs[id]; ok {
		return true
	}
	if s.HasAnswer(now, id) {
		return true
	}
	last, ok := s.lastAttempts[id]
	return ok && now-last.endedAt < answerRetention
}

// command returns the Command for a worker that the next TakeActions returns, and
// creates it if there is none.
func (s *Scheduler) command(w *worker) *Command {
	c := s.commands[w.name]
	if c == nil {
		c = &Command{Worker: w.name, Inactive: !w.active}
		s.commands[w.name] = c
	}
	return c
}

func (s *Scheduler) log(l decisions.Line) { s.pending.LogLines = append(s.pending.LogLines, l) }

// Submit accepts or refuses a job. It returns the verdict if the job is refused
// or has a cached answer, and nil if the job is now in progress. A job that is
// already in progress continues.
func (s *Scheduler) Submit(now time.Duration, sub Job) *api.Verdict {
	if cached, ok := s.cachedAnswers[sub.ID]; ok && now-cached.answeredAt < answerRetention {
		s.log(decisions.Info("job submitted again, cached answer returned", "job", sub.ID, "answer_age_ms", (now - cached.answeredAt).Milliseconds()))
		return cached.verdict
	}
	if _, ok := s.jobs[sub.ID]; ok {
		s.log(decisions.Info("job submitted again, already in progress", "job", sub.ID))
		return nil
	}
	if err := sub.Validate(); err != nil {
		s.log(decisions.Warn("job refused", "job", sub.ID, "queue", sub.Queue, "reason", err.Error()))
		return api.Refuse(api.ReasonMalformed, err.Error())
	}
	if v := s.admitTasks(&sub); v != nil {
		return v
	}
	if sub.Waited == 0 {
		s.firstSubmissions[sub.Queue] = now
	} else if last, ok := s.firstSubmissions[sub.Queue]; !ok || now-last > firstSubmissionPeriod {
		sub.Waited = 0
	}
	j := newJob(sub)
	if j.Priority == highestPriority {
		s.lastUrgent[j.Service] = now
	}
	s.noteQueue(now, j)
	if v := s.admit(now, j); v != nil {
		s.log(decisions.Info("job refused", "job", j.ID, "queue", j.Queue, "reason", v.Message,
			"waiting_jobs", len(s.waiting), "retry_after_ms", v.RetryAfter.Milliseconds(),
			"waited_before_ms", j.Waited.Milliseconds(), "expected_wait_ms", s.expectedWait(now, j).Milliseconds(), "quickest_ms", s.minRunTime(j).Milliseconds(),
			"on_time_ms", (j.dueAt - now).Milliseconds(), "free_share", s.freeShare(j.Service)))
		return v
	}
	last := s.lastAttempts[j.ID]
	j.notBefore = last.safeAt
	for _, t := range j.tasks {
		t.attempt = last.attempt
	}
	s.jobs[j.ID] = j
	s.tasks += j.size()
	s.enqueue(j)
	s.activateRacks(now, j)
	s.placeWaiting(now)
	if j.hasReadyTasks() {
		s.reviewActive(now)
	}
	s.log(decisions.Info("job accepted", "job", j.ID, "queue", j.Queue, "tasks", len(j.tasks),
		"waited_before_ms", j.Waited.Milliseconds(), "on_time_ms", (j.dueAt - j.ReceivedAt).Milliseconds(), "deadline_ms", (j.Deadline - j.ReceivedAt).Milliseconds(),
		"placed", s.placedWorkers(j)))
	return nil
}

// size returns the number of a job's tasks, plus the memory of what else it holds in units
// of TaskBytes.
func (j *Job) size() int {
	tasks, held := 0, len(j.Spec)
	for i := range j.Steps {
		st := &j.Steps[i]
		tasks += st.Tasks
		held += stepBytes + len(st.RequiredLabel) + len(st.DataRack) + 8*len(st.DependsOn)
	}
	return tasks + held/TaskBytes
}

// placedWorkers lists the workers of a job's tasks for the log.
func (s *Scheduler) placedWorkers(j *job) string {
	var b strings.Builder
	for _, t := range j.tasks[:min(len(j.tasks), maxLoggedTasks)] {
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
	j := &job{Job: sub, unfinished: make([]int, len(sub.Steps))}
	for i := range j.Steps {
		if j.Steps[i].Estimate <= 0 {
			j.Steps[i].Estimate = defaultEstimate
		}
		j.unfinished[i] = j.Steps[i].Tasks
		for k := range j.Steps[i].Tasks {
			j.tasks = append(j.tasks, &task{job: j, id: link.TaskID{Job: j.ID, Step: uint16(i), Index: uint16(k)}})
		}
	}
	chain := j.longestChain()
	onTime := time.Duration(j.LatencyFactor*float64(chain)) + j.LatencyAllowance
	j.dueAt = j.ReceivedAt - j.Waited + onTime
	j.cutoff = min(j.ReceivedAt+cutoffFactor*onTime, j.Deadline-answerMargin)
	j.latestStart = j.dueAt - chain
	j.unblock()
	return j
}

// longestChain returns the sum of the estimates along the longest chain of
// dependent steps. A step depends on earlier steps only.
func (j *job) longestChain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, st := range j.Steps {
		for _, dep := range st.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		ends[i] += st.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// unblock makes tasks ready once the steps that they depend on are done.
func (j *job) unblock() {
	for _, t := range j.tasks {
		if t.phase == blocked && !slices.ContainsFunc(t.step().DependsOn, func(dep int) bool { return j.unfinished[dep] > 0 }) {
			t.phase = ready
		}
	}
}

// ranStatus returns whether a task of the job has run, has not run, or may have
// run.
func (j *job) ranStatus() api.Ran {
	switch {
	case j.started:
		return api.RanYes
	case j.inDoubt, slices.ContainsFunc(j.tasks, func(t *task) bool {
		return t.phase == starting || t.phase == lost || t.phase == stopping
	}):
		return api.RanMaybe
	}
	return api.RanNo
}

func (j *job) hasReadyTasks() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase == ready })
}

// enqueue adds a job to the waiting ones, unless it is already among them.
func (s *Scheduler) enqueue(j *job) {
	index, _ := slices.BinarySearchFunc(s.waiting, j, compareJobs)
	if index < len(s.waiting) && s.waiting[index] == j {
		return
	}
	s.waiting = slices.Insert(s.waiting, index, j)
}

// compareJobs orders jobs by latest start, and by ID if that is equal.
func compareJobs(a, b *job) int {
	switch {
	case a.latestStart != b.latestStart:
		if a.latestStart < b.latestStart {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func (s *Scheduler) dequeue(j *job) {
	if index, ok := slices.BinarySearchFunc(s.waiting, j, compareJobs); ok {
		s.waiting = slices.Delete(s.waiting, index, index+1)
	}
}

// finish answers a job, stops its remaining attempts, and removes it.
func (s *Scheduler) finish(now time.Duration, j *job, v *api.Verdict) {
	delete(s.jobs, j.ID)
	s.tasks -= j.size()
	s.dequeue(j)
	s.keepAttempts(now, j)
	for _, t := range j.tasks {
		s.stopAttempt(t)
	}
	s.cacheAnswer(now, j.ID, v)
	s.pending.Answers = append(s.pending.Answers, Answer{Job: j.ID, Verdict: v})
	s.log(decisions.Info("job answered", "job", j.ID, "queue", j.Queue, "outcome", string(v.Outcome), "reason", string(v.Reason),
		"ran", string(v.Ran), "message", v.Message, "took_ms", (now - j.ReceivedAt).Milliseconds(),
		"on_time_ms", (j.dueAt - j.ReceivedAt).Milliseconds(), "waiting_jobs", len(s.waiting),
		"free_share", s.freeShare(j.Service), "tasks", j.taskHistories()))
}

func (j *job) taskHistories() []string {
	listed := j.tasks[:min(len(j.tasks), maxLoggedTasks)]
	lines := make([]string, 0, len(listed)+1)
	for _, t := range listed {
		lines = append(lines, t.history())
	}
	if more := len(j.tasks) - len(listed); more > 0 {
		lines = append(lines, "and "+strconv.Itoa(more)+" more")
	}
	return lines
}

// stopAttempt makes sure that an attempt whose result is no longer needed ends, and
// detaches the task from its worker. A start that has not been sent yet is withdrawn: the
// agent carries out the stops of a message before its starts.
func (s *Scheduler) stopAttempt(t *task) {
	switch {
	case t.phase == starting && s.withdrawStart(t):
	case t.phase == starting, t.phase == running, t.phase == lost && t.worker.connected:
		// The agent may have taken the claim of a lost attempt, which then runs on.
		c := s.command(t.worker)
		c.Stops = append(c.Stops, link.Stop{Task: t.id, Attempt: t.attempt})
	}
	s.detach(t)
}

// withdrawStart removes the start of a task from the commands that have not been sent. It
// returns false if the start has been sent.
func (s *Scheduler) withdrawStart(t *task) bool {
	c := s.commands[t.worker.name]
	if c == nil {
		return false
	}
	unsent := len(c.Starts)
	c.Starts = slices.DeleteFunc(c.Starts, func(st link.Start) bool { return st.Task == t.id && st.Attempt == t.attempt })
	return len(c.Starts) < unsent
}

// detach removes a task from the tasks of its worker. t.worker stays set.
func (s *Scheduler) detach(t *task) {
	if t.worker == nil {
		return
	}
	if t.phase == starting {
		t.worker.unconfirmed = t.worker.unconfirmed.Sub(t.step().Need)
	}
	delete(t.worker.tasks, t.id)
}

// cacheAnswer keeps the answer for repeated submissions if the job is complete or
// one of its tasks failed. After any other answer, a job that is submitted again
// is scheduled anew.
func (s *Scheduler) cacheAnswer(now time.Duration, id string, v *api.Verdict) {
	if v.Outcome != api.Complete && v.Reason != api.ReasonTaskFailed {
		return
	}
	if _, ok := s.cachedAnswers[id]; !ok {
		s.cacheOrder = append(s.cacheOrder, id)
	}
	s.cachedAnswers[id] = cachedAnswer{v, now}
	for len(s.cacheOrder) > 0 && (len(s.cacheOrder) > maxCachedAnswers || now-s.cachedAnswers[s.cacheOrder[0]].answeredAt >= answerRetention) {
		delete(s.cachedAnswers, s.cacheOrder[0])
		s.cacheOrder = s.cacheOrder[1:]
	}
}

// keepAttempts remembers the highest attempt of a job that ends, if there was any.
func (s *Scheduler) keepAttempts(now time.Duration, j *job) {
	last := lastAttempt{endedAt: now}
	for _, t := range j.tasks {
		last.attempt = max(last.attempt, t.attempt)
		if t.phase == starting || t.phase == running || t.phase == stopping || t.phase == lost {
			last.safeAt = now + s.opts.RestartDelay
		}
	}
	if last.attempt == 0 {
		return
	}
	if _, ok := s.lastAttempts[j.ID]; !ok {
		s.attemptOrder = append(s.attemptOrder, j.ID)
	}
	s.lastAttempts[j.ID] = last
	for len(s.attemptOrder) > 0 && (len(s.attemptOrder) > maxCachedAnswers || now-s.lastAttempts[s.attemptOrder[0]].endedAt >= answerRetention) {
		delete(s.lastAttempts, s.attemptOrder[0])
		s.attemptOrder = s.attemptOrder[1:]
	}
}

// Cancel ends a job because its caller disconnected, or because the entry ends. It reports
// whether the job was in progress.
func (s *Scheduler) Cancel(now time.Duration, id, message string) bool {
	return s.cancel(now, id, api.ReasonCancelled, message)
}

// CancelByCaller is Cancel for a job that its caller has cancelled by a request of its own.
func (s *Scheduler) CancelByCaller(now time.Duration, id, message string) bool {
	return s.cancel(now, id, api.ReasonCancelledByCaller, message)
}

func (s *Scheduler) cancel(now time.Duration, id string, reason api.Reason, message string) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	s.finish(now, j, api.Fail(j.ranStatus(), reason, message))
	s.placementDue = true
	return true
}

// Active reports whether the agent's worker may get tasks of this entry.
func (s *Scheduler) Active(name string) bool {
	w := s.workers[name]
	return w != nil && w.active
}

// HasTasks reports whether tasks are in progress at the agent of that name.
func (s *Scheduler) HasTasks(name string) bool {
	w := s.workers[name]
	return w != nil && len(w.tasks) > 0
}
