package standin

import (
	"slices"
	"sync"

	"github.com/sesamelift/sesamelift/api"
)

// TaskID identifies a task that a backend server ran.
type TaskID struct {
	Key  api.Key `json:"key"`
	Task uint16  `json:"task"`
}

// Executions counts the runs of each task. Several backend servers can share one
// Executions, which then also reports tasks that ran on more than one of them. The
// zero value is ready to use.
type Executions struct {
	mu     sync.Mutex
	counts map[TaskID]int
	total  int
}

func (e *Executions) add(id TaskID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[TaskID]int{}
	}
	e.counts[id]++
	e.total++
}

// Total returns the number of runs of all tasks.
func (e *Executions) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// Count returns the number of runs of a task.
func (e *Executions) Count(id TaskID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[id]
}

// RunsByTask returns the number of runs of each task of a job, by task number.
func (e *Executions) RunsByTask(key api.Key) map[uint16]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tasks := map[uint16]int{}
	for id, n := range e.counts {
		if id.Key == key {
			tasks[id.Task] = n
		}
	}
	return tasks
}

// Repeated returns the tasks that ran more than once, ordered by key and task
// number.
func (e *Executions) Repeated() []TaskID {
	e.mu.Lock()
	defer e.mu.Unlock()
	repeated := []TaskID{}
	for id, n := range e.counts {
		if n > 1 {
			repeated = append(repeated, id)
		}
	}
	slices.SortFunc(repeated, func(a, b TaskID) int {
		if c := slices.Compare(a.Key[:], b.Key[:]); c != 0 {
			return c
		}
		return int(a.Task) - int(b.Task)
	})
	return repeated
}
