package queue

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// service holds the waiting tasks of one service. Its teams share the slots by
// start-time fair queueing: each team has a virtual time that advances by the
// cost of a task divided by the team's weight, and the team with the lowest one
// goes next.
type service struct {
	name    string
	teams   map[string]*team
	waiting [2]int
	// active holds the teams with waiting tasks of each class.
	active [2]teamHeap
	// clock is the virtual time of the last team served. A team that has been
	// idle starts from it and cannot save up for a burst.
	clock float64
}

type team struct {
	virtual float64
	// jobs holds the jobs with waiting tasks, by class and by order.
	jobs [2][2]jobHeap
	// index is the position in service.active by class, or -1.
	index [2]int
}

// next returns the job that goes next among the open classes, or nil.
func (s *service) next(open [2]bool, now time.Time) *job {
	var t *team
	for c := range open {
		if open[c] && len(s.active[c].teams) > 0 {
			if first := s.active[c].teams[0]; t == nil || first.virtual < t.virtual {
				t = first
			}
		}
	}
	if t == nil {
		return nil
	}
	return t.next(open, now)
}

// next returns the job that reached the age bound first; if there is none, the
// job with the fewest tasks remaining, short before long. A long task delays
// short ones by far more than they delay it.
func (t *team) next(open [2]bool, now time.Time) *job {
	var aged, few *job
	for c := range open {
		if !open[c] || len(t.jobs[c][byRemaining].jobs) == 0 {
			continue
		}
		if few == nil {
			few = t.jobs[c][byRemaining].jobs[0]
		}
		j := t.jobs[c][byAge].jobs[0]
		if !now.Before(j.agedAt) && (aged == nil || j.agedAt.Before(aged.agedAt)) {
			aged = j
		}
	}
	if aged != nil {
		return aged
	}
	return few
}

// charge advances the virtual time of the job's team by one task.
func (s *service) charge(j *job) {
	t := j.team
	s.clock = t.virtual
	cost := 1.0
	if j.Class == wire.ClassLong {
		cost = longCost
	}
	t.virtual += cost / float64(max(j.Weight, 1))
	for c := range s.active {
		if t.index[c] >= 0 {
			heap.Fix(&s.active[c], t.index[c])
		}
	}
}

// activate makes a job with waiting tasks eligible.
func (s *service) activate(j *job) {
	if j.index[0] >= 0 {
		return
	}
	t := s.teams[j.Team]
	if t == nil {
		t = newTeam()
		s.teams[j.Team] = t
	}
	j.team = t
	for o := range t.jobs[j.Class] {
		heap.Push(&t.jobs[j.Class][o], j)
	}
	if t.index[0] < 0 && t.index[1] < 0 {
		t.virtual = max(t.virtual, s.clock)
	}
	if t.index[j.Class] < 0 {
		heap.Push(&s.active[j.Class], t)
	}
}

// deactivate removes a job without waiting tasks. A team that is not ahead of
// the clock needs no memory of its virtual time, so that teams that come and go
// take no space.
func (s *service) deactivate(j *job) {
	t := j.team
	for o := range t.jobs[j.Class] {
		heap.Remove(&t.jobs[j.Class][o], j.index[o])
	}
	if len(t.jobs[j.Class][byRemaining].jobs) == 0 {
		heap.Remove(&s.active[j.Class], t.index[j.Class])
	}
	if t.index[0] < 0 && t.index[1] < 0 && t.virtual <= s.clock {
		delete(s.teams, j.Team)
	}
}

func newTeam() *team {
	t := &team{index: [2]int{-1, -1}}
	for c := range t.jobs {
		for o := range t.jobs[c] {
			t.jobs[c][o].order = o
		}
	}
	return t
}
