package standin

import (
	"slices"
	"sync"

	"github.com/sesamelift/sesamelift/api"
)

// Execution identifies a task that a backend server ran.
type Execution struct {
	Key  api.Key `json:"key"`
	Task uint16  `json:"task"`
}

// Executions counts the runs of each task. Several backend servers can share one
// Executions, which then also reports tasks that ran on more than one of them. The
// zero value is ready to use.
type Executions struct {
	mu     sync.Mutex
	counts map[Execution]int
	total  int
}

func (e *Executions) add(x Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = map[Execution]int{}
	}
	e.counts[x]++
	e.total++
}

// Total returns the number of runs of all tasks.
func (e *Executions) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// Count returns the number of runs of a task.
func (e *Executions) Count(x Execution) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[x]
}

// Of returns the number of runs of each task of a job, by task number.
func (e *Executions) Of(key api.Key) map[uint16]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tasks := map[uint16]int{}
	for x, n := range e.counts {
		if x.Key == key {
			tasks[x.Task] = n
		}
	}
	return tasks
}

// Repeated returns the tasks that ran more than once, ordered by key and task
// number.
func (e *Executions) Repeated() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	repeated := []Execution{}
	for x, n := range e.counts {
		if n > 1 {
			repeated = append(repeated, x)
		}
	}
	slices.SortFunc(repeated, func(a, b Execution) int {
		if c := slices.Compare(a.Key[:], b.Key[:]); c != 0 {
			return c
		}
		return int(a.Task) - int(b.Task)
	})
	return repeated
}
