package queue

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// service holds the waiting tasks of one service. Its teams share the slots by
// start-time fair queueing: each team has a virtual time that advances by the
// cost of a task divided by the team's weight, and the team with the lowest
// virtual time goes next.
type service struct {
	name  string
	teams map[string]*team
	// waitingCount is the number of waiting tasks by class.
	waitingCount [2]int
	// active holds the teams with waiting tasks of each class.
	active [2]teamHeap
	// idle holds the teams without waiting tasks whose virtual time is ahead of the
	// service's. The others are dropped: activate would raise them to the service's
	// virtual time in any case.
	idle teamHeap
	// virtualTime is the virtual time that the last team served had before it was
	// charged. A team that was idle continues from at least this value, so that it
	// does not accumulate credit for a burst.
	virtualTime float64
}

type team struct {
	name        string
	virtualTime float64
	// jobs holds the jobs with waiting tasks, by class and order.
	jobs [2][2]jobHeap
	// index is the team's position in service.active by class, and in service.idle;
	// -1 where it is not in the heap.
	index [3]int
}

// next returns the job that goes next among the eligible classes, or nil if there
// is none.
func (s *service) next(eligible [2]bool, now time.Time) *job {
	var t *team
	for c := range eligible {
		if eligible[c] && len(s.active[c].teams) > 0 {
			if first := s.active[c].teams[0]; t == nil || first.virtualTime < t.virtualTime {
				t = first
			}
		}
	}
	if t == nil {
		return nil
	}
	return t.next(eligible, now)
}

// next returns the job that reached its maximum age first. If none has reached it,
// next returns the job with the fewest unfinished tasks, short class before long,
// since a long task delays short ones by far more than they delay it.
func (t *team) next(eligible [2]bool, now time.Time) *job {
	var aged, fewest *job
	for c := range eligible {
		if !eligible[c] || len(t.jobs[c][byUnfinishedTasks].jobs) == 0 {
			continue
		}
		if fewest == nil {
			fewest = t.jobs[c][byUnfinishedTasks].jobs[0]
		}
		j := t.jobs[c][byAgedAt].jobs[0]
		if !now.Before(j.agedAt) && (aged == nil || j.agedAt.Before(aged.agedAt)) {
			aged = j
		}
	}
	if aged != nil {
		return aged
	}
	return fewest
}

// charge advances the virtual time of the job's team by the cost of one task.
func (s *service) charge(j *job) {
	t := j.team
	s.virtualTime = t.virtualTime
	cost := 1.0
	if j.Class == wire.ClassLong {
		cost = longCost
	}
	t.virtualTime += cost / float64(max(j.Weight, 1))
	for c := range s.active {
		if t.index[c] >= 0 {
			heap.Fix(&s.active[c], t.index[c])
		}
	}
	s.dropIdleTeams()
}

// activate adds a job with waiting tasks to the heaps of its team, and the team to
// those of the service.
func (s *service) activate(j *job) {
	if j.index[0] >= 0 {
		return
	}
	t := s.teams[j.Team]
	if t == nil {
		t = newTeam(j.Team)
		s.teams[j.Team] = t
	}
	if t.index[idleIndex] >= 0 {
		heap.Remove(&s.idle, t.index[idleIndex])
	}
	j.team = t
	for o := range t.jobs[j.Class] {
		heap.Push(&t.jobs[j.Class][o], j)
	}
	if t.index[0] < 0 && t.index[1] < 0 {
		t.virtualTime = max(t.virtualTime, s.virtualTime)
	}
	if t.index[j.Class] < 0 {
		heap.Push(&s.active[j.Class], t)
	}
}

// deactivate removes a job from the heaps, and its team if it has no other waiting
// task. When nothing waits, the service's virtual time advances to that of the team
// that is furthest ahead, so that all teams start equal again.
func (s *service) deactivate(j *job) {
	t := j.team
	for o := range t.jobs[j.Class] {
		heap.Remove(&t.jobs[j.Class][o], j.index[o])
	}
	if len(t.jobs[j.Class][byUnfinishedTasks].jobs) == 0 {
		heap.Remove(&s.active[j.Class], t.index[j.Class])
	}
	if t.index[0] >= 0 || t.index[1] >= 0 {
		return
	}
	heap.Push(&s.idle, t)
	if len(s.active[0].teams)+len(s.active[1].teams) == 0 {
		for _, t := range s.idle.teams {
			s.virtualTime = max(s.virtualTime, t.virtualTime)
		}
	}
	s.dropIdleTeams()
}

// dropIdleTeams drops the idle teams whose virtual time is not ahead of the service's.
func (s *service) dropIdleTeams() {
	for len(s.idle.teams) > 0 && s.idle.teams[0].virtualTime <= s.virtualTime {
		t := heap.Pop(&s.idle).(*team)
		delete(s.teams, t.name)
	}
}

func newTeam(name string) *team {
	t := &team{name: name, index: [3]int{-1, -1, -1}}
	for c := range t.jobs {
		for o := range t.jobs[c] {
			t.jobs[c][o].order = o
		}
	}
	return t
}
