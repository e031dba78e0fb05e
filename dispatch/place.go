package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// maxPlacementMisses limits the search within a jobClass: after this many
	// consecutive jobs of a missKey for which no worker is found, the rest of them
	// waits for the next call of placeWaiting. Jobs differ little in the resources
	// that their tasks need, so the rest would rarely find one either.
	maxPlacementMisses = 8
	// minRetryAfter and maxRetryAfter limit the retry hint of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit refuses a job that cannot be answered in time, and any job while
// Options.MaxWaitingJobs jobs wait; nil means that the job is accepted. No task of
// a refused job has run.
func (s *Scheduler) admit(now time.Duration, j *job) *api.Verdict {
	if len(s.waiting) >= s.opts.MaxWaitingJobs {
		return s.overloadVerdict(s.expectedWait(now, j), "the queue is full")
	}
	if now >= j.cutoff {
		return api.Refuse(api.ReasonDeadlinePast, "the deadline has passed")
	}
	if v := s.refuseEvacuated(now, j); v != nil {
		return v
	}
	if v := s.refuseUnservable(now, j); v != nil {
		return v
	}
	if total, free := s.capacity(j.Service); now+s.minRunTime(j) > j.dueAt && float64(free) < s.opts.Policy.LateArrivalFreeShare*float64(total) && !s.acceptLate(now, j) {
		return s.overloadVerdict(minRetryAfter, "too late to be on time, and jobs that can be need the capacity")
	}
	if len(s.waiting) == 0 || now-s.opts.StartedAt < warmUpPeriod || s.hasReserve(now, j.Service) {
		return nil
	}
	wait := s.expectedWait(now, j)
	if now+wait+s.minRunTime(j) > j.dueAt && !s.acceptLate(now, j) {
		return s.overloadVerdict(wait, "the queue is too long to answer in time")
	}
	return nil
}

// admitTasks refuses a job whose tasks would exceed Options.MaxTasks together with those of
// other jobs; nil means that they don't. It runs before anything is allocated for the job.
func (s *Scheduler) admitTasks(sub *Job) *api.Verdict {
	n := sub.size()
	if s.opts.MaxTasks <= 0 || s.tasks == 0 || s.tasks+n <= s.opts.MaxTasks {
		return nil
	}
	v := s.overloadVerdict(minRetryAfter, "too many tasks are in progress")
	s.log(decisions.Info("job refused", "job", sub.ID, "queue", sub.Queue, "reason", v.Message,
		"tasks", n, "tasks_in_progress", s.tasks, "retry_after_ms", v.RetryAfter.Milliseconds()))
	return v
}

// overloadVerdict returns a refusal for overload, with a hint when to retry.
func (s *Scheduler) overloadVerdict(wait time.Duration, message string) *api.Verdict {
	v := api.Refuse(api.ReasonOverload, message)
	v.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	return v
}

// expectedWait returns how long the workers need, at the present rate, for the
// waiting tasks that are served before j, apart from those of late jobs. It is 0
// while nothing runs.
func (s *Scheduler) expectedWait(now time.Duration, j *job) time.Duration {
	rate := s.workRate(j.Service)
	if rate <= 0 {
		return 0
	}
	queuedWork, ownClass, largest := 0.0, s.classify(now, j), s.largestCapacity(j.Service)
	for _, queued := range s.waiting {
		class := s.classify(now, queued)
		if queued.Service != j.Service || class == late || class > ownClass || class == ownClass && queued.latestStart > j.latestStart {
			continue
		}
		for _, t := range queued.tasks {
			if t.phase == ready && t.step().Need.FitsIn(largest) {
				queuedWork += taskWork(t)
			}
		}
	}
	return toDuration(queuedWork / rate)
}

// taskWork returns the declared work of a task, in millicores times nanoseconds.
func taskWork(t *task) float64 {
	return float64(t.step().Need.MilliCPU) * float64(t.step().Estimate)
}

// workRate returns the rate at which the workers of a service do work for this
// entry at present, in millicores of a worker of speed 1.
func (s *Scheduler) workRate(service string) float64 {
	sum := 0.0
	for _, w := range s.workersByName {
		if !w.usable(service) {
			continue
		}
		// The sum of whole numbers doesn't depend on their order.
		used := int64(0)
		for _, t := range w.tasks {
			used += t.step().Need.MilliCPU
		}
		sum += float64(used) * w.speed
	}
	return sum
}

// minRunTime returns the run time of the job's longest chain on the fastest
// worker.
func (s *Scheduler) minRunTime(j *job) time.Duration {
	return time.Duration(float64(j.dueAt-j.latestStart) / s.maxSpeed(j.Service))
}

// maxSpeed returns the speed of the fastest usable worker of a service.
func (s *Scheduler) maxSpeed(service string) float64 {
	if known, ok := s.maxSpeeds[service]; ok {
		return known
	}
	best := 0.0
	for _, w := range s.workersByName {
		if w.usable(service) {
			best = max(best, w.speed)
		}
	}
	if best == 0 {
		best = initialSpeed
	}
	s.maxSpeeds[service] = best
	return best
}

// usable reports whether the worker can get tasks of a service at present.
func (w *worker) usable(service string) bool {
	return w.connected && w.active && w.reported && w.accepting && !w.evacuated && w.state.Service == service
}

// jobClass says how likely a waiting job is to be on time. Lower classes are
// placed first.
type jobClass uint8

const (
	// urgent jobs belong to a queue of the highest priority, and can be on time or
	// have started.
	urgent jobClass = iota
	// onTrack jobs have most of their slack left, or have started: all of their
	// work is lost if the rest is not done.
	onTrack
	// marginal jobs are on time only if they run no longer than declared.
	marginal
	// late jobs can no longer be on time.
	late
)

// classify compares the time that a job has waited with its slack. Declared run
// times can be off by half, and so can the slack computed from them: in an
// overload, ordering jobs by their latest start alone would answer every job
// slightly late.
func (s *Scheduler) classify(now time.Duration, j *job) jobClass {
	if j.started && j.Priority == highestPriority {
		return urgent
	}
	if j.started {
		return onTrack
	}
	runTime := s.minRunTime(j)
	waited := j.Waited + now - j.ReceivedAt
	slack := j.dueAt - now + waited - runTime
	switch {
	case waited > slack, j.expectedLate:
		return late
	case j.Priority == highestPriority:
		return urgent
	case float64(waited) > s.opts.Policy.OnTrackSlackShare*float64(slack):
		return marginal
	}
	return onTrack
}

// placeWaiting starts ready tasks while capacity is free. It goes through the
// classes in order, and within a class by latest start.
func (s *Scheduler) placeWaiting(now time.Duration) {
	if len(s.waiting) == 0 {
		return
	}
	var groups [late + 1][]*job
	for _, j := range s.waiting {
		class := s.classify(now, j)
		groups[class] = append(groups[class], j)
	}
	freeShares := map[string]float64{}
	plan := s.newSparePlan()
	for class, group := range groups {
		misses := map[missKey]int{}
		for _, j := range group {
			key := j.missKey()
			if misses[key] >= maxPlacementMisses {
				continue
			}
			share, known := freeShares[j.Service]
			if !known {
				share = s.freeShare(j.Service)
				freeShares[j.Service] = share
			}
			if share < s.requiredFreeShare(now, j, jobClass(class)) {
				if jobClass(class) == late && s.placeSpare(now, plan, j) {
					delete(freeShares, j.Service)
				}
				continue
			}
			if s.placeReady(now, j) {
				misses[key] = 0
				delete(freeShares, j.Service)
			} else {
				misses[key]++
			}
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool { return !j.hasReadyTasks() })
}

// requiredFreeShare returns the free share of the capacity below which no task
// of the job is started. The capacity is left to jobs of the highest priority,
// whose slack is too short to wait for a running task to end, and to jobs that
// can still be on time.
func (s *Scheduler) requiredFreeShare(now time.Duration, j *job, class jobClass) float64 {
	switch {
	case class == urgent, j.started:
		return 0
	case class == late:
		return s.urgentReserve(now, j.Service) + s.opts.Policy.LateJobReserveShare
	}
	return s.urgentReserve(now, j.Service)
}

// urgentReserve returns the share of the capacity that is reserved for urgent
// jobs. It is 0 when the service has had none recently.
func (s *Scheduler) urgentReserve(now time.Duration, service string) float64 {
	if last, ok := s.lastUrgent[service]; ok && now-last < urgentReservePeriod {
		return s.opts.Policy.UrgentReserveShare
	}
	return 0
}

// onTimeJobLacksCapacity returns a waiting job that can still be on time while capacity is
// short, nil if there is none. It returns nil during the warm-up, and while workers are
// becoming active.
func (s *Scheduler) onTimeJobLacksCapacity(now time.Duration, service string) *job {
	required := s.urgentReserve(now, service) + s.opts.Policy.LateJobReserveShare
	if now-s.opts.StartedAt < warmUpPeriod || s.freeShare(service) >= required || s.hasReserve(now, service) {
		return nil
	}
	index := slices.IndexFunc(s.waiting, func(j *job) bool { return j.Service == service && s.classify(now, j) != late })
	if index < 0 {
		return nil
	}
	return s.waiting[index]
}

// freeShare returns the free share of the CPU capacity of a service's usable
// workers.
func (s *Scheduler) freeShare(service string) float64 {
	total, free := s.capacity(service)
	return float64(free) / float64(max(total, 1))
}

// capacity returns the CPU capacity of a service's usable workers and the free part of
// it, in millicores.
func (s *Scheduler) capacity(service string) (total, free int64) {
	for _, w := range s.workersByName {
		if w.usable(service) {
			total += w.state.Capacity.MilliCPU
			free += max(w.available().MilliCPU, 0)
		}
	}
	return total, free
}

// placeReady issues starts for the ready tasks of a job, up to the first for
// which there is no worker. It reports whether any start was issued.
func (s *Scheduler) placeReady(now time.Duration, j *job) bool {
	if now < j.notBefore {
		return false
	}
	placed := false
	for _, t := range j.tasks {
		if t.phase != ready {
			continue
		}
		w := s.pickWorker(now, t)
		if s.onPick != nil {
			s.onPick(now, t, w)
		}
		if w == nil {
			return placed
		}
		s.start(now, t, w)
		placed = true
	}
	return placed
}

// start issues a start of the next attempt of a task at a worker.
func (s *Scheduler) start(now time.Duration, t *task, w *worker) {
	t.attempt++
	t.phase, t.phaseSince, t.worker, t.confirmed, t.onLeaving = starting, now, w, false, false
	t.percent, t.remaining, t.progressAt, t.progressHeardAt, t.movesTo = 0, -1, now, now, nil
	need := t.step().Need
	w.unconfirmed = w.unconfirmed.Add(need)
	w.tasks[t.id] = t
	c := s.command(w)
	c.Starts = append(c.Starts, link.Start{
		Task: t.id, Attempt: t.attempt, Need: need, EstimateMS: t.step().Estimate.Milliseconds(),
		DueMS: (t.job.dueAt - now).Milliseconds(), Kind: t.job.Queue, Spec: t.job.Spec, WorkerRevision: w.state.Revision,
	})
}

// candidate is a worker with the predicted run time and the cost of a task on it.
type candidate struct {
	w       *worker
	runTime time.Duration
	cost    float64
}

// pickWorker chooses the worker for a task. It returns nil if no eligible worker
// has free capacity, or if it is better to wait for a faster one.
func (s *Scheduler) pickWorker(now time.Duration, t *task) *worker {
	// plain has the lowest cost apart from contention.
	var best, plain, slowestFitting candidate
	var total, free int64
	fastestBusy := time.Duration(math.MaxInt64)
	eligible := false
	need := t.step().Need
	timeLeft := t.job.dueAt - now
	var pairs []interference.Counted
	if s.keepsApart(t.job.Service) {
		pairs = s.pairsOf(t)
	}
	for _, w := range s.workersByName {
		if !w.usable(t.job.Service) || !s.eligible(t, w) {
			continue
		}
		eligible = true
		runTime := s.predictRunTime(t, w)
		available := w.available()
		total += w.state.Capacity.MilliCPU
		free += max(available.MilliCPU, 0)
		if now < w.backoffUntil || !need.FitsIn(available) {
			fastestBusy = min(fastestBusy, runTime)
			continue
		}
		c := candidate{w, runTime, s.cost(t, w, runTime)}
		if plain.w == nil || c.cost < plain.cost {
			plain = c
		}
		if len(pairs) > 0 {
			c.cost *= s.contention(t, w, pairs)
		}
		if best.w == nil || c.cost < best.cost {
			best = c
		}
		fits := time.Duration(s.opts.Policy.SlowWorkerMargin*float64(runTime)) <= timeLeft
		if fits && w.failureRate < failingWorkerRate && (slowestFitting.w == nil || runTime > slowestFitting.runTime) {
			slowestFitting = c
		}
		if s.onCandidate != nil {
			s.onCandidate(t, c)
		}
	}
	if !eligible {
		s.activateEligible(now, t)
	}
	if best.runTime > timeLeft && plain.runTime <= timeLeft {
		// A slowdown costs less than to be late for certain, or to wait for another worker.
		best = plain
	}
	switch {
	case best.w == nil:
		return nil
	case best.runTime > timeLeft && fastestBusy < best.runTime && fastestBusy <= timeLeft:
		// The free workers are too slow, and a faster one may become free in time.
		return nil
	case slowestFitting.w != nil && float64(free) < s.opts.Policy.ScarceFreeShare*float64(total):
		return slowestFitting.w
	}
	return best.w
}

// eligible reports whether the constraints of a task permit a worker. A worker on
// which the task has failed is permitted only if no untried one remains.
func (s *Scheduler) eligible(t *task, w *worker) bool {
	st := t.step()
	if !st.permits(w) {
		return false
	}
	if slices.Contains(t.failedOn, w.name) && s.hasUntriedWorker(t) {
		return false
	}
	if st.MaxPerWorker > 0 {
		n := 0
		for id := range w.tasks {
			if id.Job == t.id.Job && id.Step == t.id.Step {
				n++
			}
		}
		return n < st.MaxPerWorker
	}
	return true
}

// permits reports whether the worker has the label that the step requires, if any.
func (st *Step) permits(w *worker) bool {
	return st.RequiredLabel == "" || slices.Contains(w.state.Labels, st.RequiredLabel)
}

// hasUntriedWorker reports whether a worker with the required label remains, active or
// not, on which the task has not failed.
func (s *Scheduler) hasUntriedWorker(t *task) bool {
	for _, w := range s.workersByName {
		if w.connected && w.accepting && !w.evacuated && w.state.Service == t.job.Service && t.step().permits(w) && !slices.Contains(t.failedOn, w.name) {
			return true
		}
	}
	return false
}

// predictRunTime returns the expected run time of a task on a worker.
func (s *Scheduler) predictRunTime(t *task, w *worker) time.Duration {
	runTime := float64(t.step().Estimate) / max(w.speed, minSpeed)
	if rack := t.step().DataRack; rack != "" && !slices.Contains(w.state.Labels, rack) {
		runTime *= s.opts.RackSlowdown
	}
	return time.Duration(runTime)
}

// cost ranks workers; the lowest is the best. It is the predicted run time,
// increased where tasks fail often, and slightly where the worker is loaded,
// which spreads tasks over workers of similar speed. Among similar workers, those of
// the entry's own availability zone come first, since traffic between zones is
// slower and charged for. A small preference that differs between entries is added,
// so that entries rarely compete for the same worker.
func (s *Scheduler) cost(t *task, w *worker, runTime time.Duration) float64 {
	used := 1 - float64(w.available().MilliCPU)/max(float64(w.state.Capacity.MilliCPU), 1)
	weight := 1 + s.opts.Policy.LoadWeight*used + s.opts.Policy.PreferenceWeight*w.preference
	if w.state.Zone != s.opts.Zone {
		weight += s.opts.Policy.ZoneWeight
	}
	return float64(runTime) / (1 - min(float64(w.failureRate), 0.95)) * weight
}

// preference returns a pseudo-random number from 0 to 1 that is fixed for a pair
// of entry and worker.
func preference(seed uint64, worker string) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(worker)
	return float64(h.Sum64()) / math.MaxUint64
}
