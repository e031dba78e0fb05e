package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/link"
)

const (
	// activeQueuePeriod is how long after its last job a queue counts as active at least. It is
	// at most twice as long.
	activeQueuePeriod = 2 * time.Second
	// estimateError is the relative error of the declared run time of a single job.
	estimateError = 0.4
	// minJobsForMean is the number of jobs from which on the mean of their estimates tells how
	// long the jobs of a queue run: its error is below a tenth.
	minJobsForMean = 10
)

// queueKey names a queue of a service.
type queueKey struct{ service, queue string }

// queueSpeeds holds what the jobs of a queue within some period need to be on time, as speeds
// of a worker at which they start at once.
type queueSpeeds struct {
	jobs int
	sum  float64
	// lowest is the lowest need if the job runs as much longer than declared as it can,
	// shortest if it runs as much shorter.
	lowest, shortest float64
}

// queueActivity holds what an active queue needs, since a time and in the period before.
type queueActivity struct {
	since             time.Duration
	current, previous queueSpeeds
}

func (q *queueSpeeds) add(j *job) {
	chain := float64(j.longestChain())
	lowest, shortest := j.speedOnTime(chain/(1-estimateError)), j.speedOnTime(chain/(1+estimateError))
	if q.jobs == 0 {
		q.lowest, q.shortest = lowest, shortest
	}
	q.jobs++
	q.sum += j.speedOnTime(chain)
	q.lowest, q.shortest = min(q.lowest, lowest), min(q.shortest, shortest)
}

// requiredSpeed returns the speed below which a worker can't bring in a job of the queue on
// time. Single estimates are far off, so it is that of a mean job, or less if some jobs are
// so short that the errors of their estimates don't explain it. Of a few jobs, it is that of
// the shortest if it is shorter than declared.
func (a *queueActivity) requiredSpeed() float64 {
	jobs := a.current.jobs + a.previous.jobs
	speed := (a.current.sum + a.previous.sum) / float64(max(jobs, 1))
	for _, q := range []queueSpeeds{a.current, a.previous} {
		switch {
		case q.jobs == 0:
		case jobs < minJobsForMean:
			speed = min(speed, q.shortest)
		default:
			speed = min(speed, q.lowest)
		}
	}
	return speed
}

// noteQueue records that a job of a queue has arrived.
func (s *Scheduler) noteQueue(now time.Duration, j *job) {
	key := queueKey{j.Service, j.Queue}
	a, known := s.queues[key]
	switch elapsed := now - a.since; {
	case !known || elapsed >= 2*activeQueuePeriod:
		a = queueActivity{since: now}
		s.forgetQueues(now)
	case elapsed >= activeQueuePeriod:
		a = queueActivity{since: now, previous: a.current}
	}
	a.current.add(j)
	s.queues[key] = a
	if speed, ok := s.spareSpeeds[j.Service]; ok && a.requiredSpeed()*s.opts.Policy.SpareSpeedShare < speed {
		delete(s.spareSpeeds, j.Service)
		delete(s.spareWorkers, j.Service)
	}
}

// speedOnTime returns the speed of a worker at which the job is just on time if it starts at
// once and its longest chain runs for as long as given on a worker of speed 1.
func (j *job) speedOnTime(chain float64) float64 {
	onTime := j.LatencyFactor*chain + float64(j.LatencyAllowance)
	return chain / max(onTime-float64(answerMargin), onTime/2, 1)
}

// forgetQueues drops the queues that are no longer active.
func (s *Scheduler) forgetQueues(now time.Duration) {
	for key, a := range s.queues {
		if now-a.since >= 2*activeQueuePeriod {
			delete(s.queues, key)
		}
	}
}

// spareSpeed returns the speed below which workers of a service are spare: at which no job of
// an active queue is on time even if it starts at once. It is 0 while no queue is active, and
// for a while after the start, when it isn't known which are.
func (s *Scheduler) spareSpeed(now time.Duration, service string) float64 {
	if known, ok := s.spareSpeeds[service]; ok {
		return known
	}
	lowest := 0.0
	if now-s.opts.StartedAt < activeQueuePeriod {
		return 0
	}
	for key, a := range s.queues {
		if key.service != service || now-a.since >= 2*activeQueuePeriod {
			continue
		}
		if speed := a.requiredSpeed(); lowest == 0 || speed < lowest {
			lowest = speed
		}
	}
	speed := lowest * s.opts.Policy.SpareSpeedShare
	s.spareSpeeds[service] = speed
	return speed
}

// spareOf returns the spare workers of a service.
func (s *Scheduler) spareOf(now time.Duration, service string) []*worker {
	if known, ok := s.spareWorkers[service]; ok {
		return known
	}
	var list []*worker
	speed := s.spareSpeed(now, service)
	for _, w := range s.workersByName {
		if w.speed < speed && w.usable(service) && w.failureRate < failingWorkerRate {
			list = append(list, w)
		}
	}
	s.spareWorkers[service] = list
	return list
}

// sparePlan assigns tasks of late jobs to spare capacity. It keeps track of what it has
// assigned, and gives up on a kind of job after some in a row that find none.
type sparePlan struct {
	s        *Scheduler
	taken    map[*worker]link.Resources
	takenCPU map[string]int64
	misses   map[missKey]int
}

// missKey names jobs that compete for the same workers: one that finds no room says nothing
// about those of another service, or with another label.
type missKey struct{ service, label string }

// missKey returns that of the job's first ready task.
func (j *job) missKey() missKey {
	for _, t := range j.tasks {
		if t.phase == ready {
			return missKey{j.Service, t.step().RequiredLabel}
		}
	}
	return missKey{service: j.Service}
}

func (s *Scheduler) newSparePlan() *sparePlan {
	return &sparePlan{s: s, taken: map[*worker]link.Resources{}, takenCPU: map[string]int64{}, misses: map[missKey]int{}}
}

// assign returns the workers for all tasks of a job, or nil if they don't all end there
// before the cutoff of the job, or if the reserve for urgent jobs would not be kept. Nothing
// of the job may have started: what has is served before all others, on any worker.
func (p *sparePlan) assign(now time.Duration, j *job) []*worker {
	s := p.s
	key := j.missKey()
	if p.misses[key] >= maxPlacementMisses || j.started || now < j.notBefore || len(s.spareOf(now, j.Service)) == 0 {
		return nil
	}
	chosen := make([]*worker, 0, len(j.tasks))
	cpu := int64(0)
	taken := map[*worker]link.Resources{}
	for _, t := range j.tasks {
		if t.phase != ready {
			p.misses[key]++
			return nil
		}
		w := p.pick(now, t, taken, chosen, nil)
		if w == nil {
			p.misses[key]++
			return nil
		}
		chosen = append(chosen, w)
		taken[w] = taken[w].Add(t.step().Need)
		cpu += t.step().Need.MilliCPU
	}
	total, free := s.capacity(j.Service)
	if float64(free-p.takenCPU[j.Service]-cpu) < s.urgentReserve(now, j.Service)*float64(total) {
		p.misses[key]++
		return nil
	}
	p.misses[key] = 0
	p.takenCPU[j.Service] += cpu
	for w, need := range taken {
		p.taken[w] = p.taken[w].Add(need)
	}
	return chosen
}

// pick returns the spare worker with the lowest cost that has room for a task and ends it
// before the cutoff of its job, nil if there is none. taken and chosen belong to the tasks of
// the job that have been assigned. onCandidate, if set, is called with each worker considered.
func (p *sparePlan) pick(now time.Duration, t *task, taken map[*worker]link.Resources, chosen []*worker, onCandidate func(t *task, c candidate)) *worker {
	s := p.s
	var best candidate
	for _, w := range s.spareOf(now, t.job.Service) {
		runTime := s.predictRunTime(t, w)
		if time.Duration(s.opts.Policy.SlowWorkerMargin*float64(runTime)) > t.job.cutoff-now || now < w.backoffUntil ||
			!t.step().Need.FitsIn(w.available().Sub(p.taken[w]).Sub(taken[w])) || !s.eligible(t, w) || !t.fitsBeside(w, chosen) {
			continue
		}
		c := candidate{w, runTime, s.cost(t, w, runTime)}
		if best.w == nil || c.cost < best.cost {
			best = c
		}
		if onCandidate != nil {
			onCandidate(t, c)
		}
	}
	return best.w
}

// fitsBeside reports whether Step.MaxPerWorker permits a task on a worker beside those of its
// job's first tasks that are assigned to it. chosen holds the worker of each of these.
func (t *task) fitsBeside(w *worker, chosen []*worker) bool {
	limit := t.step().MaxPerWorker
	if limit == 0 {
		return true
	}
	n := 0
	for i, other := range chosen {
		if other == w && t.job.tasks[i].id.Step == t.id.Step {
			n++
		}
	}
	return n < limit
}

// placeSpare starts all tasks of a late job on spare workers, or none.
func (s *Scheduler) placeSpare(now time.Duration, p *sparePlan, j *job) bool {
	chosen := p.assign(now, j)
	if chosen == nil {
		return false
	}
	j.spare = true
	s.spareJobs++
	for i, t := range j.tasks {
		// With its start, the capacity is no longer available.
		p.taken[chosen[i]] = p.taken[chosen[i]].Sub(t.step().Need)
		p.takenCPU[j.Service] -= t.step().Need.MilliCPU
	}
	for i, t := range j.tasks {
		if s.onPick != nil {
			p.pick(now, t, nil, nil, s.onCandidate)
			s.onPick(now, t, chosen[i])
		}
		s.start(now, t, chosen[i])
	}
	return true
}

// staysOnSpare reports whether a task on a spare worker is not to be moved: it ends there
// before its cutoff, and would be late on the other worker too.
func (s *Scheduler) staysOnSpare(now time.Duration, t *task, remaining, otherRunTime time.Duration) bool {
	return t.job.spare && now+remaining <= t.job.cutoff && now+moveCost+otherRunTime > t.job.dueAt
}

// acceptLate accepts a job that would be refused because it can't be on time, if it can start
// on spare workers at once.
func (s *Scheduler) acceptLate(now time.Duration, j *job) bool {
	j.expectedLate = s.newSparePlan().assign(now, j) != nil
	return j.expectedLate
}
