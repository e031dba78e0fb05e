// Package queue orders the tasks that wait for a slot: weighted fair sharing
// between teams, then the job with the fewest tasks remaining, bounded by age.
//
// Input: admitted tasks. Output: the next task. State: the queues of each
// service, team and class. The package is pure; a Queue is not safe for
// concurrent use.
package queue

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// DefaultMaxTasks bounds the waiting tasks.
	DefaultMaxTasks = 20000
	// DefaultMaxAge is the age from which a job goes before the other jobs of
	// its team. It is several typical run times, so that a large job is passed
	// by small ones for a bounded time only.
	DefaultMaxAge = 2 * time.Second
	// ageShare bounds that age to a part of the time that the job had at its
	// arrival. Admission expects jobs to be served in order of arrival; a large
	// job that small ones pass for longer misses its deadline.
	ageShare = 4
	// longCost is what a long task costs its team, in short tasks. It is the
	// factor from which a type counts as long.
	longCost = 10
)

// Job describes the job that tasks belong to.
type Job struct {
	Key                 wire.Key
	Service, Type, Team string
	// Weight is the share of the team relative to other teams; less than 1
	// counts as 1.
	Weight            int
	Class             wire.Class
	Arrived, Deadline time.Time
	// Tasks is the number of tasks of the job that have not ended.
	Tasks int
}

// Options configure a Queue. Zero values select the defaults.
type Options struct {
	MaxTasks int
	MaxAge   time.Duration
}

// Queue holds the waiting tasks of all services.
type Queue struct {
	o        Options
	jobs     map[wire.Key]*job
	services map[string]*service
	order    []*service
	// turn is the service that is asked first, so that services that share
	// agents alternate.
	turn int
	len  int
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.MaxTasks <= 0 {
		o.MaxTasks = DefaultMaxTasks
	}
	if o.MaxAge <= 0 {
		o.MaxAge = DefaultMaxAge
	}
	return &Queue{o: o, jobs: map[wire.Key]*job{}, services: map[string]*service{}}
}

// Add queues tasks of a job. It adds nothing and returns false if a job that
// the queue does not know yet would exceed MaxTasks. Tasks of a known job that
// come back are always taken, since they have been admitted before.
func (q *Queue) Add(j Job, tasks ...uint16) bool {
	known := q.jobs[j.Key]
	if known == nil {
		if q.len+len(tasks) > q.o.MaxTasks {
			return false
		}
		known = &job{Job: j, remaining: max(j.Tasks, len(tasks))}
		known.index = [2]int{-1, -1}
		known.agedAt = j.Arrived.Add(q.maxAge(j))
		q.jobs[j.Key] = known
	}
	if len(tasks) == 0 {
		return true
	}
	known.waiting = append(known.waiting, tasks...)
	q.len += len(tasks)
	s := q.service(known.Service)
	s.waiting[known.Class] += len(tasks)
	s.activate(known)
	return true
}

func (q *Queue) maxAge(j Job) time.Duration {
	if j.Deadline.IsZero() {
		return q.o.MaxAge
	}
	return min(q.o.MaxAge, j.Deadline.Sub(j.Arrived)/ageShare)
}

// Next takes the next task for which free reports a slot. It asks free at most
// once for each service and class with waiting tasks.
func (q *Queue) Next(now time.Time, free func(service string, c wire.Class) bool) (wire.Key, uint16, bool) {
	for i := range q.order {
		at := (q.turn + i) % len(q.order)
		s := q.order[at]
		var open [2]bool
		for c := range open {
			open[c] = s.waiting[c] > 0 && free(s.name, wire.Class(c))
		}
		j := s.next(open, now)
		if j == nil {
			continue
		}
		q.turn = (at + 1) % len(q.order)
		task := j.waiting[0]
		j.waiting = j.waiting[1:]
		q.len--
		s.waiting[j.Class]--
		s.charge(j)
		if len(j.waiting) == 0 {
			j.waiting = nil
			s.deactivate(j)
		}
		return j.Key, task, true
	}
	return wire.Key{}, 0, false
}

// Finished records that one task of the job has ended. The queue forgets a job
// whose last task has ended.
func (q *Queue) Finished(k wire.Key) {
	j := q.jobs[k]
	if j == nil {
		return
	}
	j.remaining--
	switch {
	case j.remaining <= 0 && len(j.waiting) == 0:
		delete(q.jobs, k)
	case j.index[0] >= 0:
		heap.Fix(&j.team.jobs[j.Class][byRemaining], j.index[byRemaining])
	}
}

// Remove forgets a job and returns its waiting tasks.
func (q *Queue) Remove(k wire.Key) []uint16 {
	j := q.jobs[k]
	if j == nil {
		return nil
	}
	delete(q.jobs, k)
	tasks := j.waiting
	if len(tasks) > 0 {
		s := q.services[j.Service]
		s.waiting[j.Class] -= len(tasks)
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
		return s.waiting[c]
	}
	return 0
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{name: name, teams: map[string]*team{}}
		s.active[wire.ClassLong].class = wire.ClassLong
		q.services[name] = s
		q.order = append(q.order, s)
	}
	return s
}
