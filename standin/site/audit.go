package site

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Audit records the runs of all workers of a test and the violations of the
// product's guarantees.
type Audit struct {
	// Trace, if set, is called with a line for each start and end of a run.
	Trace func(format string, args ...any)
	mu    sync.Mutex
	// running maps each running task to its worker.
	running    map[string]string
	starts     map[string]int
	violations []string
	// startsInZone counts the task starts by the zone of their worker. A start in a zone of
	// noStartsAfter after that time is a violation.
	startsInZone  map[string]int
	noStartsAfter map[string]time.Time
	// lastStart is the time of the last start by zone.
	lastStart map[string]time.Time
	// delays describe when a worker was late itself.
	delays []string
}

// NewAudit returns an empty Audit.
func NewAudit() *Audit {
	return &Audit{running: map[string]string{}, starts: map[string]int{}, startsInZone: map[string]int{}, noStartsAfter: map[string]time.Time{}, lastStart: map[string]time.Time{}}
}

// begin records the start of a run. It is a violation if the task is already
// running, or no task may start in the zone.
func (a *Audit) begin(task, worker, zone string, attempt uint32) {
	a.trace("run of task %s attempt %d begins on %s", task, attempt, worker)
	a.mu.Lock()
	defer a.mu.Unlock()
	if other, ok := a.running[task]; ok {
		a.violations = append(a.violations, fmt.Sprintf("%s task %s runs on %s and %s at the same time", time.Now().UTC().Format("05.000"), task, other, worker))
	}
	if from, ok := a.noStartsAfter[zone]; ok && time.Now().After(from) {
		a.violations = append(a.violations, fmt.Sprintf("%s task %s starts on %s in zone %s, %v later than the last time allowed", time.Now().UTC().Format("05.000"), task, worker, zone, time.Since(from).Round(time.Millisecond)))
	}
	a.startsInZone[zone]++
	a.lastStart[zone] = time.Now()
	a.running[task] = worker
	a.starts[task]++
}

func (a *Audit) end(task, worker string, attempt uint32, outcome string) {
	a.trace("run of task %s attempt %d ends on %s: %s", task, attempt, worker, outcome)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[task] == worker {
		delete(a.running, task)
	}
}

func (a *Audit) trace(format string, args ...any) {
	if a.Trace != nil {
		a.Trace(format, args...)
	}
}

func (a *Audit) violation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// delayed records that a worker was late by d in ending runs. Violations at about that time
// may be due to the worker.
func (a *Audit) delayed(worker string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delays = append(a.delays, fmt.Sprintf("%s %s was late by %v", time.Now().UTC().Format("05.000"), worker, d.Round(time.Millisecond)))
}

// Delays returns a description of each time at which a worker was late itself.
func (a *Audit) Delays() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string{}, a.delays...)
}

// Violations returns a description of each violation so far.
func (a *Audit) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string{}, a.violations...)
}

// EvacuateZone makes each start of a task on a worker of the zone later than a time a violation,
// until RestoreZone.
func (a *Audit) EvacuateZone(zone string, from time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noStartsAfter[zone] = from
}

// RestoreZone ends the effect of EvacuateZone.
func (a *Audit) RestoreZone(zone string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.noStartsAfter, zone)
}

// StartsInZone returns the number of task starts on the workers of a zone.
func (a *Audit) StartsInZone(zone string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startsInZone[zone]
}

// LastStart returns when a task last started on a worker of a zone.
func (a *Audit) LastStart(zone string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastStart[zone]
}

// Running returns the number of tasks of a job that run.
func (a *Audit) Running(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task := range a.running {
		if strings.HasPrefix(task, job) {
			n++
		}
	}
	return n
}

// Starts returns the number of task starts of a job. The ID of a task begins with
// that of its job.
func (a *Audit) Starts(job string) int {
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
