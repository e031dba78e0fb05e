// Package admission decides whether a whole job is admitted. It refuses at once a
// job that cannot end before its deadline or exceeds the quota of its team.
//
// Input: a job, the supply of slots, quotas. Output: nil or a refusal. State:
// tasks in progress per team, and an overload detector per service. The package
// is pure: it does no I/O, and time is an argument. A State is not safe for
// concurrent use.
package admission

import (
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// DefaultMaxQueuedTasks is the default of Options.MaxQueuedTasks.
	DefaultMaxQueuedTasks = 20000
	// waitSafetyFactor multiplies the expected wait, since run times vary. Refusing
	// early costs less than failing late: a task that fails late has used a slot.
	waitSafetyFactor = 2
	// Bounds of the Retry-After hint.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Request describes a job that asks for admission.
type Request struct {
	Service, Team string
	Tasks         int
	// TimeLeft is the time until the deadline of the job.
	TimeLeft time.Duration
}

// Supply is an entry's estimate of the slots of a service and of the demand for
// them.
type Supply struct {
	// Slots is the number of slots of all usable agents; 0 means that no agent
	// serves the service.
	Slots int
	// Busy is the estimated number of slots that the tasks of all entries use.
	Busy int
	// BusyByOthers is the part of Busy that tasks of other entries use.
	BusyByOthers int
	// Waiting is the number of tasks of the service in the queue of this entry.
	Waiting int
	// RunTime is the mean run time of a task; 0 means that none was observed.
	RunTime time.Duration
}

// Team is the configuration of a team.
type Team struct {
	// Quota is the maximum number of tasks in progress over all entries; 0 means no
	// limit.
	Quota int
	// Weight is the team's share of the slots relative to other teams.
	Weight int
}

// Options configure a State. Zero values select the defaults. MaxQueuedTasks is
// the maximum number of tasks of a service that wait for a slot at this entry.
type Options struct{ MaxQueuedTasks int }

// State holds the tasks in progress of each team and the overload state of each
// service.
type State struct {
	options    Options
	teams      map[string]Team
	entries    int
	inProgress map[string]int
	// overload is keyed by service.
	overload map[string]*overloadDetector
}

// New returns a State without teams. A team that is not configured has no quota.
func New(o Options) *State {
	if o.MaxQueuedTasks <= 0 {
		o.MaxQueuedTasks = DefaultMaxQueuedTasks
	}
	return &State{options: o, entries: 1, inProgress: map[string]int{}, overload: map[string]*overloadDetector{}}
}

// SetTeams sets the quotas and weights of the teams, and the number of entries that
// share each quota.
func (s *State) SetTeams(teams map[string]Team, entries int) {
	s.teams, s.entries = teams, max(entries, 1)
}

// Weight returns the weight of a team, at least 1.
func (s *State) Weight(team string) int { return max(s.teams[team].Weight, 1) }

// Admit returns nil and counts all tasks of the job against the team's quota, or
// returns a refusal and counts nothing. The caller calls Release as the tasks of
// an admitted job end.
func (s *State) Admit(now time.Time, r Request, supply Supply) *api.Verdict {
	if supply.Slots <= 0 {
		return api.Refuse(api.ReasonNoWorker, fmt.Sprintf("no worker serves %q", r.Service))
	}
	if v := s.checkQuota(r, supply); v != nil {
		return v
	}
	if v := s.checkWait(r, supply); v != nil {
		return v
	}
	if v := s.checkOverload(now, r, supply); v != nil {
		return v
	}
	s.inProgress[r.Team] += r.Tasks
	return nil
}

// Release subtracts tasks that have ended from the team's tasks in progress.
func (s *State) Release(team string, tasks int) {
	if left := s.inProgress[team] - tasks; left > 0 {
		s.inProgress[team] = left
	} else {
		delete(s.inProgress, team)
	}
}

// checkQuota refuses a job that exceeds this entry's share of the quota. A job
// larger than the share is admitted if the team has nothing else in progress at
// this entry, so the quota is exceeded by at most one job per entry.
func (s *State) checkQuota(r Request, supply Supply) *api.Verdict {
	quota, used := s.teams[r.Team].Quota, s.inProgress[r.Team]
	if quota <= 0 {
		return nil
	}
	if r.Tasks > quota {
		return api.Refuse(api.ReasonQuota, fmt.Sprintf("the job has %d tasks, the quota of team %q is %d", r.Tasks, r.Team, quota))
	}
	share := (quota + s.entries - 1) / s.entries
	if used == 0 || used+r.Tasks <= share {
		return nil
	}
	v := api.Refuse(api.ReasonQuota, fmt.Sprintf("team %q has %d tasks in progress at this entry and the job has %d more; the entry's part of the quota of %d is %d", r.Team, used, r.Tasks, quota, share))
	v.RetryAfter = clampRetryAfter(supply.RunTime)
	return v
}

// checkWait refuses a job if the queue would become too long, or if its last task
// is not expected to end within the time left.
func (s *State) checkWait(r Request, supply Supply) *api.Verdict {
	waiting, wait := s.expectedWait(r, supply)
	if waiting > s.options.MaxQueuedTasks {
		return refuseOverload(supply.RunTime, fmt.Sprintf("%d tasks would wait, the limit is %d", waiting, s.options.MaxQueuedTasks))
	}
	if late := waitSafetyFactor*wait + supply.RunTime - r.TimeLeft; late > 0 && waiting > 0 {
		return refuseOverload(late, fmt.Sprintf("the expected wait is %v, the time left is %v", wait.Round(time.Millisecond), r.TimeLeft.Round(time.Millisecond)))
	}
	return nil
}

// expectedWait returns the number of tasks that would wait for a slot with the job, and how
// long the last one is expected to wait.
func (s *State) expectedWait(r Request, supply Supply) (waiting int, wait time.Duration) {
	slots := s.expectedSlots(supply)
	waiting = supply.Waiting + r.Tasks - max(slots-(supply.Busy-supply.BusyByOthers), 0)
	return waiting, time.Duration(max(waiting, 0)) * supply.RunTime / time.Duration(slots)
}

// expectedSlots returns the number of slots that this entry can expect to get:
// those that other entries do not use, but at least an equal share of all slots.
func (s *State) expectedSlots(supply Supply) int {
	return max(supply.Slots-supply.BusyByOthers, (supply.Slots+s.entries-1)/s.entries, 1)
}

func refuseOverload(retry time.Duration, message string) *api.Verdict {
	v := api.Refuse(api.ReasonOverload, message)
	v.RetryAfter = clampRetryAfter(retry)
	return v
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
