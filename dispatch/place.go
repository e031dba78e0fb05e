package dispatch

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// maxMisses bounds the jobs in a row that find no worker before a round of
	// placement ends: jobs differ little in what their tasks need.
	maxMisses = 8
	// minRetryAfter and maxRetryAfter bound the hint of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit refuses a job that can't be answered in time. Nothing of it has run.
func (s *State) admit(now time.Duration, j *job) *api.Verdict {
	if len(s.waiting) >= s.o.MaxWaitingJobs {
		return s.overloaded(s.expectedWait(now, j), "the queue is full")
	}
	if now >= j.cutoff {
		return api.Refuse(api.ReasonDeadlinePast, "the deadline has passed")
	}
	if len(s.waiting) == 0 || now-s.o.Started < warmUp {
		return nil
	}
	wait := s.expectedWait(now, j)
	if now+wait+s.quickest(j) > j.objective {
		return s.overloaded(wait, "the queue is too long to answer in time")
	}
	return nil
}

func (s *State) overloaded(wait time.Duration, message string) *api.Verdict {
	v := api.Refuse(api.ReasonOverload, message)
	v.RetryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	return v
}

// expectedWait is how long the work that is served before j takes at the present
// rate; 0 while nothing runs.
func (s *State) expectedWait(now time.Duration, j *job) time.Duration {
	rate := s.rate(j.Service)
	if rate <= 0 {
		return 0
	}
	ahead, own := 0.0, s.standing(now, j)
	for _, w := range s.waiting {
		at := s.standing(now, w)
		if w.Service != j.Service || at == late || at > own || at == own && w.startBy > j.startBy {
			continue
		}
		for _, t := range w.tasks {
			if t.phase == ready {
				ahead += work(t)
			}
		}
	}
	return time.Duration(ahead / rate)
}

// work is what a task takes, in thousandths of a core times nanoseconds.
func work(t *task) float64 {
	return float64(t.step().Need.MilliCPU) * float64(t.step().Estimate)
}

// rate is the work that the workers do for this entry at present, in thousandths
// of a core.
func (s *State) rate(service string) float64 {
	sum := 0.0
	for _, w := range s.byName {
		if !w.usable(service) {
			continue
		}
		for _, t := range w.tasks {
			sum += float64(t.step().Need.MilliCPU) * w.speed
		}
	}
	return sum
}

// quickest is the shortest time in which the job could run now.
func (s *State) quickest(j *job) time.Duration {
	return time.Duration(float64(j.objective-j.startBy) / s.bestSpeed(j.Service))
}

// bestSpeed is the speed of the fastest worker of a service.
func (s *State) bestSpeed(service string) float64 {
	if known, ok := s.fastest[service]; ok {
		return known
	}
	best := 0.0
	for _, w := range s.byName {
		if w.usable(service) {
			best = max(best, w.speed)
		}
	}
	if best == 0 {
		best = unknownSpeed
	}
	s.fastest[service] = best
	return best
}

func (w *worker) usable(service string) bool {
	return w.connected && w.reported && w.accepting && w.state.Service == service
}

// standing says how a waiting job stands with its objective.
type standing uint8

const (
	// urgent jobs can be on time and belong to the queues that the operator puts
	// first.
	urgent standing = iota
	// onTrack jobs have most of their slack left, and jobs that have started: all
	// of their work is lost if the rest isn't done.
	onTrack
	// marginal jobs are on time only if they run no longer than declared.
	marginal
	// late jobs can't be on time any more.
	late
)

// standing compares the time that a job has waited with its slack. Declared run
// times are off by half, and so is the slack that follows from them: in an
// overload, serving by the latest start alone brings every job in a little late.
func (s *State) standing(now time.Duration, j *job) standing {
	if j.ran && j.Priority == mostUrgent {
		return urgent
	}
	if j.ran {
		return onTrack
	}
	quickest := s.quickest(j)
	slack := j.objective - j.Arrived - quickest
	waited := now - j.Arrived
	switch {
	case waited > slack:
		return late
	case j.Priority == mostUrgent:
		return urgent
	case float64(waited) > onTrackShare*float64(slack):
		return marginal
	}
	return onTrack
}

// dispatch starts ready tasks while there is room: first those of jobs that will
// be on time, by their latest start; then the others.
func (s *State) dispatch(now time.Duration) {
	if len(s.waiting) == 0 {
		return
	}
	var groups [late + 1][]*job
	for _, j := range s.waiting {
		at := s.standing(now, j)
		groups[at] = append(groups[at], j)
	}
	free := map[string]float64{}
	for at, group := range groups {
		misses := 0
		for _, j := range group {
			share, known := free[j.Service]
			if !known {
				share = s.freeShare(j.Service)
				free[j.Service] = share
			}
			if share < s.keptFree(now, j, standing(at)) {
				continue
			}
			if s.placeReady(now, j) {
				misses = 0
				delete(free, j.Service)
			} else if misses++; misses >= maxMisses {
				break
			}
		}
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool { return !j.hasReady() })
}

// keptFree is the share of the capacity that a job leaves free: to jobs of the
// queues that come first, whose slack is too short to wait for room, and to jobs
// that can still be on time.
func (s *State) keptFree(now time.Duration, j *job, at standing) float64 {
	switch {
	case at == urgent, j.ran:
		return 0
	case at == late:
		return s.reserve(now, j.Service) + spareShare
	}
	return s.reserve(now, j.Service)
}

// reserve is the share of the capacity that is kept free for urgent jobs, while
// there are any.
func (s *State) reserve(now time.Duration, service string) float64 {
	if at, ok := s.urgentAt[service]; ok && now-at < urgentMemory {
		return reserveShare
	}
	return 0
}

// crowded reports whether jobs wait for room that can still be on time.
func (s *State) crowded(now time.Duration, service string) bool {
	if now-s.o.Started < warmUp || s.freeShare(service) >= s.reserve(now, service)+spareShare {
		return false
	}
	return slices.ContainsFunc(s.waiting, func(j *job) bool { return j.Service == service && s.standing(now, j) != late })
}

// freeShare is the free share of the capacity of a service.
func (s *State) freeShare(service string) float64 {
	var total, free int64
	for _, w := range s.byName {
		if w.usable(service) {
			total += w.state.Capacity.MilliCPU
			free += max(w.available().MilliCPU, 0)
		}
	}
	return float64(free) / float64(max(total, 1))
}

// placeReady orders starts of the ready tasks of a job. It reports whether one
// was ordered.
func (s *State) placeReady(now time.Duration, j *job) bool {
	placed := false
	for _, t := range j.tasks {
		if t.phase != ready {
			continue
		}
		w := s.pick(now, t)
		if w == nil {
			return placed
		}
		s.start(now, t, w)
		placed = true
	}
	return placed
}

func (s *State) start(now time.Duration, t *task, w *worker) {
	t.attempt++
	t.phase, t.since, t.worker = starting, now, w
	t.percent, t.remaining, t.progressAt = 0, -1, now
	need := t.step().Need
	w.unanswered = w.unanswered.Add(need)
	w.tasks[t.id] = t
	o := s.order(w)
	o.Starts = append(o.Starts, link.Start{
		Task: t.id, Attempt: t.attempt, Need: need, EstimateMS: t.step().Estimate.Milliseconds(), Spec: t.job.Spec,
	})
}

// candidate is a worker with the predicted run time of a task.
type candidate struct {
	w    *worker
	run  time.Duration
	cost float64
}

// pick chooses the worker for a task, or none if it is better to wait.
func (s *State) pick(now time.Duration, t *task) *worker {
	var best, tolerable candidate
	var total, free int64
	fasterFull := time.Duration(math.MaxInt64)
	need := t.step().Need
	slack := t.job.objective - now
	for _, w := range s.byName {
		if !w.usable(t.job.Service) || !s.allowed(t, w) {
			continue
		}
		run := s.predict(t, w)
		available := w.available()
		total += w.state.Capacity.MilliCPU
		free += max(available.MilliCPU, 0)
		if now < w.blockedUntil || !need.Fit(available) {
			fasterFull = min(fasterFull, run)
			continue
		}
		c := candidate{w, run, s.cost(t, w, run)}
		if best.w == nil || c.cost < best.cost {
			best = c
		}
		fits := time.Duration(slowWorkerMargin*float64(run)) <= slack
		if fits && w.failShare < failingShare && (tolerable.w == nil || run > tolerable.run) {
			tolerable = c
		}
	}
	switch {
	case best.w == nil:
		return nil
	case best.run > slack && fasterFull < best.run && fasterFull <= slack:
		// The free workers are too slow, and a faster one may have room in time.
		return nil
	case tolerable.w != nil && float64(free) < scarceShare*float64(total):
		return tolerable.w
	}
	return best.w
}

// allowed says whether a task may run on a worker at all.
func (s *State) allowed(t *task, w *worker) bool {
	st := t.step()
	if st.RequiredLabel != "" && !slices.Contains(w.state.Labels, st.RequiredLabel) {
		return false
	}
	if slices.Contains(t.failedOn, w.name) && s.othersUsable(t) {
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

// othersUsable reports whether a worker is left on which the task didn't fail.
func (s *State) othersUsable(t *task) bool {
	for _, w := range s.byName {
		if w.usable(t.job.Service) && !slices.Contains(t.failedOn, w.name) {
			return true
		}
	}
	return false
}

// predict returns the run time to expect of a task on a worker.
func (s *State) predict(t *task, w *worker) time.Duration {
	run := float64(t.step().Estimate) / max(w.speed, minSpeed)
	if rack := t.step().DataRack; rack != "" && !slices.Contains(w.state.Labels, rack) {
		run *= s.o.RackSlowdown
	}
	return time.Duration(run)
}

// cost ranks workers: the predicted run time, longer where starts fail, and a
// little longer where the worker is full, which spreads tasks over workers of
// like speed. Workers of the entry's own availability zone come first among
// equals: what crosses zones takes longer and costs. Beyond that each entry
// prefers other workers, so that entries rarely want the same room.
func (s *State) cost(t *task, w *worker, run time.Duration) float64 {
	used := 1 - float64(w.available().MilliCPU)/max(float64(w.state.Capacity.MilliCPU), 1)
	weight := 1 + similarCost*used + preferenceWeight*w.preference
	if w.state.Zone != s.o.Zone {
		weight += zoneWeight
	}
	return float64(run) / (1 - min(float64(w.failShare), 0.95)) * weight
}

// preference returns a number from 0 to 1 that differs between entries and
// workers.
func preference(seed uint64, worker string) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(worker)
	return float64(h.Sum64()) / math.MaxUint64
}
