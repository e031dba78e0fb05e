package site

import (
	"fmt"
	"sync"
)

// Audit watches the runs of all workers of a test.
type Audit struct {
	mu         sync.Mutex
	running    map[string]string
	starts     map[string]int
	violations []string
}

// NewAudit returns an audit that has seen nothing.
func NewAudit() *Audit { return &Audit{running: map[string]string{}, starts: map[string]int{}} }

// begin takes note of a run. A second run of the same task at one time breaks
// the promise.
func (a *Audit) begin(task, worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if other, ok := a.running[task]; ok {
		a.violations = append(a.violations, fmt.Sprintf("task %s runs on %s and on %s", task, other, worker))
	}
	a.running[task] = worker
	a.starts[task]++
}

func (a *Audit) end(task, worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[task] == worker {
		delete(a.running, task)
	}
}

func (a *Audit) violation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations returns what broke a promise.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string{}, a.violations...)
}

// Started returns how often tasks of a job were started.
func (a *Audit) Started(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task, starts := range a.starts {
		if len(task) > len(job) && task[:len(job)] == job {
			n += starts
		}
	}
	return n
}
