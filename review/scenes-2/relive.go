package main

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// crashes is how often a worker crashes, one of eight at a time, crashInterval apart.
	// backAfter is how long after its return a worker whose label has changed crashes once
	// more, to come back with the label that it had.
	crashes       = 16
	crashInterval = 4 * time.Second
	backAfter     = 2 * time.Second
	// jobInterval is the time between two jobs of two tasks of workMS each.
	jobInterval = 15 * time.Millisecond
	workMS      = 300
)

// crashWorkers plays the traffic, and crashes one worker after the other. Each is down for a
// time and starts again under its id with the given labels, and later with its former ones.
func crashWorkers(d *deployment, trouble bool, down time.Duration, labels []string) (answered int, err error) {
	var jobs sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	for i := range d.entries {
		jobs.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(jobInterval * time.Duration(len(d.entries))):
				}
				jobs.Go(func() {
					status, _ := d.post(d.entries[i], fmt.Sprintf("%08x%08x", 0xbeef0000+i, n), fmt.Sprint(workMS), 2, workMS, 1500)
					if status == http.StatusOK {
						mu.Lock()
						answered++
						mu.Unlock()
					}
				})
			}
		})
	}
	for i := range crashes {
		if !trouble {
			time.Sleep(crashInterval)
			continue
		}
		next := time.Now().Add(crashInterval)
		at := i % len(d.workers)
		former := d.workers[at].labels
		if err = d.restartWorker(at, down, labels); err != nil {
			break
		}
		if former[0] != labels[0] {
			time.Sleep(backAfter)
			if err = d.restartWorker(at, down, former); err != nil {
				break
			}
		}
		time.Sleep(time.Until(next))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	jobs.Wait()
	return answered, err
}

// restartWorker crashes a worker and starts it again under its id after a time.
func (d *deployment) restartWorker(at int, down time.Duration, labels []string) (err error) {
	d.workers[at].crash()
	time.Sleep(down)
	d.workers[at], err = d.workers[at].restarted(labels)
	return err
}

// runTime is a run of a task on a worker.
type runTime struct {
	worker     string
	attempt    uint32
	begin, end time.Duration
}

// runTimes returns the runs of each task, in the order of their begin.
func (r *record) runTimes() map[string][]runTime {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]runTime{}
	for _, l := range r.lines {
		if len(l) < 6 || l[1] != "worker" || l[3] != "start" && l[3] != "end" {
			continue
		}
		at, worker, task, attempt := l[0].(time.Duration), l[2].(string), l[4].(string), l[5].(uint32)
		switch l[3] {
		case "start":
			runs[task] = append(runs[task], runTime{worker, attempt, at, r.now()})
		case "end":
			for i := range runs[task] {
				if x := &runs[task][i]; x.worker == worker && x.attempt == attempt && x.end > at {
					x.end = at
				}
			}
		}
	}
	for _, list := range runs {
		sort.Slice(list, func(i, k int) bool { return list[i].begin < list[k].begin })
	}
	return runs
}

// judgeTwice records each pair of runs of a task that went on at the same time, and returns
// their number.
func (r *record) judgeTwice() (twice int) {
	for task, runs := range r.runTimes() {
		for i := 1; i < len(runs); i++ {
			for _, earlier := range runs[:i] {
				if common := min(earlier.end, runs[i].end) - runs[i].begin; common > 0 {
					twice++
					r.add("judge", "TWICE", task, "on", earlier.worker, "since", earlier.begin, "and on", runs[i].worker, "since", runs[i].begin, "for", common)
				}
			}
		}
	}
	return twice
}

// twiceScene crashes workers that are back after 1.05 s under their id. Calls that were made to
// them meanwhile have waited in the backlog of the listener.
func twiceScene(rec *record, trouble bool) (int, string) {
	d, err := newDeployment(rec, 2, 8)
	if err != nil {
		return couldNot, err.Error()
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return couldNot, err.Error()
	}
	answered, err := crashWorkers(d, trouble, 1050*time.Millisecond, []string{"a", "r1-1"})
	if err != nil || answered == 0 {
		return couldNot, fmt.Sprintf("%d jobs were answered, %v", answered, err)
	}
	twice := rec.judgeTwice()
	if twice > 0 {
		return broken, fmt.Sprintf("TWICE: %d times two runs of a task went on at the same time; %d jobs answered 200", twice, answered)
	}
	return held, fmt.Sprintf("no task ran twice at the same time; %d jobs answered 200", answered)
}

// routeScene crashes workers that are back after 0.25 s under their id, with another label.
func routeScene(rec *record, trouble bool) (int, string) {
	d, err := newDeployment(rec, 2, 8)
	if err != nil {
		return couldNot, err.Error()
	}
	defer d.stopAll()
	d.label = "a"
	if err := d.startAll(); err != nil {
		return couldNot, err.Error()
	}
	answered, err := crashWorkers(d, trouble, 250*time.Millisecond, []string{"b", "r1-1"})
	if err != nil || answered == 0 {
		return couldNot, fmt.Sprintf("%d jobs were answered, %v", answered, err)
	}
	wrong := rec.judgeLabel(d.label)
	if wrong > 0 {
		return broken, fmt.Sprintf("ROUTE: %d starts on workers without the label; %d jobs answered 200", wrong, answered)
	}
	return held, fmt.Sprintf("no start on a worker without the label; %d jobs answered 200", answered)
}

// judgeLabel records each start on a worker that was without a label then, and returns their
// number.
func (r *record) judgeLabel(label string) (wrong int) {
	r.mu.Lock()
	var starts [][]any
	without := map[any]bool{}
	for _, l := range r.lines {
		switch {
		case l[1] != "worker":
		case l[3] == "started again":
			without[l[2]] = !slices.Contains(strings.Fields(l[5].(string)), label)
		case l[3] == "start" && without[l[2]]:
			starts = append(starts, l)
		}
	}
	r.mu.Unlock()
	for _, l := range starts {
		r.add("judge", "ROUTE", l[4], "started on", l[2], "at", l[0], "which is without the label", label)
	}
	return len(starts)
}
