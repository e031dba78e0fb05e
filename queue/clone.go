package queue

import (
	"slices"

	"github.com/sesamelift/sesamelift/wire"
)

// Clone returns a copy that shares nothing with q that either of them changes. The event loop
// waits for it, so the jobs are copied without an allocation and without a look-up for each.
func (q *Queue) Clone() *Queue {
	c := *q
	c.jobs, c.services, c.serviceOrder = make(map[wire.Key]*job, len(q.jobs)), make(map[string]*service, len(q.services)), nil
	teams := map[*team]*team{}
	for _, s := range q.serviceOrder {
		clone := *s
		clone.teams = make(map[string]*team, len(s.teams))
		for name, t := range s.teams {
			teams[t] = t.clone()
			clone.teams[name] = teams[t]
		}
		for i := range clone.active {
			clone.active[i].teams = cloneTeams(s.active[i].teams, teams)
		}
		clone.idle.teams = cloneTeams(s.idle.teams, teams)
		c.services[s.name] = &clone
		c.serviceOrder = append(c.serviceOrder, &clone)
	}
	clones := make([]job, 0, len(q.jobs))
	for k, j := range q.jobs {
		clones = append(clones, *j)
		clone := &clones[len(clones)-1]
		// The elements are never changed, and appending to the clipped slice copies them.
		clone.waitingTasks = slices.Clip(j.waitingTasks)
		if j.team != nil {
			if teams[j.team] == nil {
				teams[j.team] = j.team.clone() // dropped by dropIdleTeams
			}
			clone.team = teams[j.team]
		}
		for order, i := range clone.index {
			if i >= 0 {
				clone.team.jobs[clone.Class][order].jobs[i] = clone
			}
		}
		c.jobs[k] = clone
	}
	return &c
}

// clone returns a copy of the team, whose heaps still hold the jobs of the original.
func (t *team) clone() *team {
	clone := *t
	for class := range clone.jobs {
		for order := range clone.jobs[class] {
			h := &clone.jobs[class][order]
			h.jobs = slices.Clone(h.jobs)
		}
	}
	return &clone
}

func cloneTeams(list []*team, clones map[*team]*team) []*team {
	list = slices.Clone(list)
	for i, t := range list {
		list[i] = clones[t]
	}
	return list
}

// Job returns a job with tasks that haven't ended.
func (q *Queue) Job(k wire.Key) (Job, bool) {
	if j := q.jobs[k]; j != nil {
		return j.Job, true
	}
	return Job{}, false
}
