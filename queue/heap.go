package queue

import (
	"time"
)

// Orders in which a team keeps its jobs, as indexes into team.jobs[class] and
// job.index.
const (
	byUnfinishedTasks = iota
	byAgedAt
)

type job struct {
	Job
	team *team
	// waitingTasks holds the indexes of the tasks that wait for a slot.
	waitingTasks    []uint16
	unfinishedTasks int
	// agedAt is when the job reaches its maximum age and goes before the other jobs
	// of its team.
	agedAt time.Time
	// index is the job's position in the heap of each order; -1 while it has no
	// waiting tasks.
	index [2]int
}

// jobHeap implements heap.Interface for the jobs of a team in one order.
type jobHeap struct {
	order int
	jobs  []*job
}

func (h *jobHeap) Len() int { return len(h.jobs) }

func (h *jobHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	if h.order == byUnfinishedTasks && a.unfinishedTasks != b.unfinishedTasks {
		return a.unfinishedTasks < b.unfinishedTasks
	}
	if h.order == byAgedAt {
		return a.agedAt.Before(b.agedAt)
	}
	return a.Arrived.Before(b.Arrived)
}

func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].index[h.order], h.jobs[j].index[h.order] = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index[h.order] = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.index[h.order] = -1
	return j
}

// idleIndex is the position of a team in service.idle within team.index, which begins
// with the positions by class.
const idleIndex = 2

// teamHeap implements heap.Interface for teams; the lowest virtual time goes first.
type teamHeap struct {
	// index selects the entry of team.index that holds the position in this heap.
	index int
	teams []*team
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(i, j int) bool { return h.teams[i].virtualTime < h.teams[j].virtualTime }

func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].index[h.index], h.teams[j].index[h.index] = i, j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.index] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.index[h.index] = -1
	return t
}
