package main

import (
	"time"
)

const (
	// queue is the path prefix of the queue that each case uses.
	queue = "/jobs/"
	// contactTime is a bound of the settings.
	contactTime = 3 * time.Second
)

// checkTwice reports the tasks of which two attempts ran at the same time.
func (d *deployment) checkTwice() {
	list := d.runs.snapshot()
	now := time.Since(d.rec.started)
	for i, a := range list {
		for _, b := range list[i+1:] {
			endA, endB := a.end, b.end
			if endA == 0 {
				endA = now
			}
			if endB == 0 {
				endB = now
			}
			if overlap := min(endA, endB) - max(a.begin, b.begin); a.task == b.task && overlap > 0 {
				d.rec.violation("TWICE: task %s runs on %s (attempt %d) and on %s (attempt %d) at the same time, for %d ms",
					a.task, a.worker, a.attempt, b.worker, b.attempt, overlap.Milliseconds())
			}
		}
	}
}
