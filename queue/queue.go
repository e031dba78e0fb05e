// Package queue orders the tasks that wait for a slot: weighted fair queueing
// between teams, and within a team the job with the fewest unfinished tasks first.
// A job that has reached its maximum age goes before the other jobs of its team.
//
// Input: admitted tasks. Output: the next task. State: the queues of each
// service, team and class. The package is pure: it does no I/O, and time is an
// argument. A Queue is not safe for concurrent use.
package queue

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// DefaultMaxTasks is the default of Options.MaxTasks.
	DefaultMaxTasks = 20000
	// DefaultMaxAge is the default of Options.MaxAge. It is several typical run
	// times and bounds how long small jobs can overtake a large one.
	DefaultMaxAge = 2 * time.Second
	// maxAgeDivisor limits the maximum age of a job to 1/maxAgeDivisor of the time
	// between its arrival and its deadline. Admission assumes service in order of
	// arrival; a large job that small ones overtake for longer misses its deadline.
	maxAgeDivisor = 4
	// longCost is the cost of a long task in the fair queueing; a short task costs 1.
	// It equals the ratio of run times above which package placement classifies a type
	// as long.
	longCost = 10
)

// Job describes the job that queued tasks belong to.
type Job struct {
	Key                 wire.Key
	Service, Type, Team string
	// Weight is the team's share of the slots relative to other teams; values
	// below 1 count as 1.
	Weight            int
	Class             wire.Class
	Arrived, Deadline time.Time
	// Tasks is the number of tasks of the job that have not ended, queued or not.
	Tasks int
}

// Options configure a Queue. Zero values select the defaults.
type Options struct {
	// MaxTasks is the maximum number of waiting tasks; see Queue.Add.
	MaxTasks int
	// MaxAge is the age from which a job goes before the other jobs of its team. The
	// deadline of a job can lower it; see maxAgeDivisor.
	MaxAge time.Duration
}

// Queue holds the waiting tasks of all services.
type Queue struct {
	options      Options
	jobs         map[wire.Key]*job
	services     map[string]*service
	serviceOrder []*service
	// nextService is the index in serviceOrder at which the next search starts, so
	// that services that share agents alternate.
	nextService int
	len         int
}

// New returns an empty Queue.
func New(o Options) *Queue {
	if o.MaxTasks <= 0 {
		o.MaxTasks = DefaultMaxTasks
	}
	if o.MaxAge <= 0 {
		o.MaxAge = DefaultMaxAge
	}
	return &Queue{options: o, jobs: map[wire.Key]*job{}, services: map[string]*service{}}
}

// Add queues tasks of a job. It adds nothing and returns false if the job is new
// to the queue and its tasks would exceed MaxTasks. Further tasks of a known job,
// such as those to be retried, are always accepted, since the job has been admitted.
func (q *Queue) Add(j Job, tasks ...uint16) bool {
	known := q.jobs[j.Key]
	if known == nil {
		if q.len+len(tasks) > q.options.MaxTasks {
			return false
		}
		known = &job{Job: j, unfinishedTasks: max(j.Tasks, len(tasks))}
		known.index = [2]int{-1, -1}
		known.agedAt = j.Arrived.Add(q.maxAge(j))
		q.jobs[j.Key] = known
	}
	if len(tasks) == 0 {
		return true
	}
	known.waitingTasks = append(known.waitingTasks, tasks...)
	q.len += len(tasks)
	s := q.serviceFor(known.Service)
	s.waitingCount[known.Class] += len(tasks)
	s.activate(known)
	return true
}

// maxAge returns the age from which the job goes before the other jobs of its team.
func (q *Queue) maxAge(j Job) time.Duration {
	if j.Deadline.IsZero() {
		return q.options.MaxAge
	}
	return min(q.options.MaxAge, j.Deadline.Sub(j.Arrived)/maxAgeDivisor)
}

// Next removes and returns the next task of a service and class for which hasFreeSlot
// reports a free slot. It calls hasFreeSlot at most once for each service and class
// with waiting tasks, and returns false if no task can start.
func (q *Queue) Next(now time.Time, hasFreeSlot func(service string, c wire.Class) bool) (wire.Key, uint16, bool) {
	for i := range q.serviceOrder {
		at := (q.nextService + i) % len(q.serviceOrder)
		s := q.serviceOrder[at]
		var eligible [2]bool
		for c := range eligible {
			eligible[c] = s.waitingCount[c] > 0 && hasFreeSlot(s.name, wire.Class(c))
		}
		j := s.next(eligible, now)
		if j == nil {
			continue
		}
		q.nextService = (at + 1) % len(q.serviceOrder)
		task := j.waitingTasks[0]
		j.waitingTasks = j.waitingTasks[1:]
		q.len--
		s.waitingCount[j.Class]--
		s.charge(j)
		if len(j.waitingTasks) == 0 {
			j.waitingTasks = nil
			s.deactivate(j)
		}
		return j.Key, task, true
	}
	return wire.Key{}, 0, false
}

// TaskEnded records that one task of the job has ended. The queue drops the record
// of a job whose last task has ended.
func (q *Queue) TaskEnded(k wire.Key) {
	j := q.jobs[k]
	if j == nil {
		return
	}
	j.unfinishedTasks--
	switch {
	case j.unfinishedTasks <= 0 && len(j.waitingTasks) == 0:
		delete(q.jobs, k)
	case j.index[0] >= 0:
		heap.Fix(&j.team.jobs[j.Class][byUnfinishedTasks], j.index[byUnfinishedTasks])
	}
}

// Remove drops a job and returns its waiting tasks.
func (q *Queue) Remove(k wire.Key) []uint16 {
	j := q.jobs[k]
	if j == nil {
		return nil
	}
	delete(q.jobs, k)
	tasks := j.waitingTasks
	if len(tasks) > 0 {
		s := q.services[j.Service]
		s.waitingCount[j.Class] -= len(tasks)
		s.deactivate(j)
		q.len -= len(tasks)
	}
	return tasks
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.len }

// Waiting returns the number of waiting tasks of a service and class.
func (q *Queue) Waiting(name string, c wire.Class) int {
	if s := q.services[name]; s != nil {
		return s.waitingCount[c]
	}
	return 0
}

// serviceFor returns the service of the name and creates it if necessary.
func (q *Queue) serviceFor(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{name: name, teams: map[string]*team{}}
		s.active[wire.ClassLong].index = int(wire.ClassLong)
		s.idle.index = idleIndex
		q.services[name] = s
		q.serviceOrder = append(q.serviceOrder, s)
	}
	return s
}
