// Package admission decides whether a whole job is taken on. It refuses at once
// what cannot end in time or exceeds the quota of its team.
//
// Input: a job, the supply of slots, quotas. Output: nil or a refusal. State:
// tasks in progress per team. The package is pure; a State is not safe for
// concurrent use.
package admission

import (
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// DefaultMaxQueuedTasks bounds the tasks that wait for a slot.
	DefaultMaxQueuedTasks = 20000
	// waitFactor is the safety of the expected wait. Run times vary, and of two
	// tasks that are refused or fail late, the late one has used a slot.
	waitFactor = 2
	// Bounds of the Retry-After hint.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Request is the part of a job that admission looks at.
type Request struct {
	Service, Type, Team string
	Class               wire.Class
	Tasks               int
	// TimeLeft is the time until the deadline of the job.
	TimeLeft time.Duration
}

// Supply is what an entry knows of the slots of a service.
type Supply struct {
	// Slots is the number of slots of all usable agents; 0 means that no agent
	// serves the service.
	Slots int
	// Busy is the estimated number of slots in use by all entries.
	Busy int
	// Others is the part of Busy that other entries use.
	Others int
	// Waiting is the number of tasks that wait at this entry.
	Waiting int
	// RunTime is the mean run time of a task; 0 means that none was observed.
	RunTime time.Duration
}

// Team is the configuration of a team.
type Team struct {
	// Quota bounds the tasks in progress over all entries; 0 means no bound.
	Quota int
	// Weight is the team's share of the slots relative to other teams.
	Weight int
}

// Options configure a State. Zero values select the defaults.
type Options struct{ MaxQueuedTasks int }

// State holds the use of each team.
type State struct {
	o       Options
	teams   map[string]Team
	entries int
	used    map[string]int
	// pressure is the state of the queue of each service.
	pressure map[string]*pressure
}

// New returns a State without teams; teams that it does not know have no quota.
func New(o Options) *State {
	if o.MaxQueuedTasks <= 0 {
		o.MaxQueuedTasks = DefaultMaxQueuedTasks
	}
	return &State{o: o, entries: 1, used: map[string]int{}, pressure: map[string]*pressure{}}
}

// SetTeams sets the quotas and the number of entries that share them.
func (s *State) SetTeams(teams map[string]Team, entries int) {
	s.teams, s.entries = teams, max(entries, 1)
}

// Weight returns the weight of a team, at least 1.
func (s *State) Weight(team string) int { return max(s.teams[team].Weight, 1) }

// Admit returns nil and takes quota for the whole job, or returns a refusal and
// takes nothing. An admitted job is given back with Release.
func (s *State) Admit(now time.Time, r Request, p Supply) *api.Verdict {
	if p.Slots <= 0 {
		return api.Refuse(api.ReasonNoWorker, fmt.Sprintf("no worker serves %q", r.Service))
	}
	if v := s.checkQuota(r, p); v != nil {
		return v
	}
	if v := s.checkWait(r, p); v != nil {
		return v
	}
	if v := s.checkPressure(now, r, p); v != nil {
		return v
	}
	s.used[r.Team] += r.Tasks
	return nil
}

// Release gives back the quota of tasks that have ended.
func (s *State) Release(team string, tasks int) {
	if left := s.used[team] - tasks; left > 0 {
		s.used[team] = left
	} else {
		delete(s.used, team)
	}
}

// checkQuota compares the job with this entry's part of the quota. A job larger
// than the part is admitted when the team has nothing else in progress here, so
// that the over-admission is at most one job per entry.
func (s *State) checkQuota(r Request, p Supply) *api.Verdict {
	quota, used := s.teams[r.Team].Quota, s.used[r.Team]
	if quota <= 0 {
		return nil
	}
	if r.Tasks > quota {
		return api.Refuse(api.ReasonQuota, fmt.Sprintf("the job has %d tasks, the quota of team %q is %d", r.Tasks, r.Team, quota))
	}
	part := (quota + s.entries - 1) / s.entries
	if used == 0 || used+r.Tasks <= part {
		return nil
	}
	v := api.Refuse(api.ReasonQuota, fmt.Sprintf("team %q has %d tasks in progress at this entry and the job has %d more; the entry's part of the quota of %d is %d", r.Team, used, r.Tasks, quota, part))
	v.RetryAfter = clampRetry(p.RunTime)
	return v
}

// checkWait compares the expected wait of the job's last task with the time
// left.
func (s *State) checkWait(r Request, p Supply) *api.Verdict {
	part := s.slots(p)
	queued := p.Waiting + r.Tasks - max(part-(p.Busy-p.Others), 0)
	if queued > s.o.MaxQueuedTasks {
		return overload(p.RunTime, fmt.Sprintf("%d tasks would wait, the limit is %d", queued, s.o.MaxQueuedTasks))
	}
	wait := time.Duration(max(queued, 0)) * p.RunTime / time.Duration(part)
	if late := waitFactor*wait + p.RunTime - r.TimeLeft; late > 0 && queued > 0 {
		return overload(late, fmt.Sprintf("the expected wait is %v, the time left is %v", wait.Round(time.Millisecond), r.TimeLeft.Round(time.Millisecond)))
	}
	return nil
}

// slots returns the slots that this entry can expect to get: those that other
// entries leave, at least an equal part.
func (s *State) slots(p Supply) int {
	return max(p.Slots-p.Others, (p.Slots+s.entries-1)/s.entries, 1)
}

func overload(retry time.Duration, message string) *api.Verdict {
	v := api.Refuse(api.ReasonOverload, message)
	v.RetryAfter = clampRetry(retry)
	return v
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
