package queue

import (
	"slices"

	"github.com/sesamelift/sesamelift/wire"
)

// Clone returns a copy that shares nothing with q that either of them changes.
func (q *Queue) Clone() *Queue {
	c := *q
	c.jobs, c.services, c.serviceOrder = make(map[wire.Key]*job, len(q.jobs)), make(map[string]*service, len(q.services)), nil
	teams := map[*team]*team{}
	for k, j := range q.jobs {
		clone := *j
		clone.waitingTasks = slices.Clone(j.waitingTasks)
		if j.team != nil {
			if teams[j.team] == nil {
				t := *j.team
				teams[j.team] = &t
			}
			clone.team = teams[j.team]
		}
		c.jobs[k] = &clone
	}
	for _, s := range q.serviceOrder {
		clone := *s
		clone.teams = make(map[string]*team, len(s.teams))
		for name, t := range s.teams {
			if teams[t] == nil {
				copied := *t
				teams[t] = &copied
			}
			clone.teams[name] = teams[t]
		}
		for i := range clone.active {
			clone.active[i].teams = cloneTeams(s.active[i].teams, teams)
		}
		clone.idle.teams = cloneTeams(s.idle.teams, teams)
		c.services[s.name] = &clone
		c.serviceOrder = append(c.serviceOrder, &clone)
	}
	for _, t := range teams {
		for class := range t.jobs {
			for order := range t.jobs[class] {
				h := &t.jobs[class][order]
				h.jobs = slices.Clone(h.jobs)
				for i, j := range h.jobs {
					h.jobs[i] = c.jobs[j.Key]
				}
			}
		}
	}
	return &c
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
