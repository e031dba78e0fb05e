package dispatch

import (
	"strconv"
	"time"
)

// history returns the result of describe, followed by the times at which an
// attempt was last confirmed and at which the task ended, in milliseconds after
// the arrival of the job, and by "failed" if it failed. The second time is empty if
// the task has not ended. A task of which no attempt was confirmed has "not started"
// in place of the times.
func (t *task) history() string {
	b := append([]byte(t.describe()), ' ')
	if t.startedAt == 0 {
		return string(append(b, "not started"...))
	}
	b = strconv.AppendInt(b, int64((t.startedAt-t.job.ReceivedAt)/time.Millisecond), 10)
	b = append(b, '-')
	if t.phase == done || t.phase == failed {
		b = strconv.AppendInt(b, int64((t.phaseSince-t.job.ReceivedAt)/time.Millisecond), 10)
	}
	if t.phase == failed {
		b = append(b, " failed"...)
	}
	return string(b)
}

// describe returns the step and index of a task, its worker, and the number of the
// attempt unless it is the first.
func (t *task) describe() string {
	b := strconv.AppendUint(nil, uint64(t.id.Step), 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, uint64(t.id.Index), 10)
	if t.worker != nil {
		b = append(b, '@')
		b = append(b, t.worker.name...)
	}
	if t.attempt != 1 {
		b = append(b, " attempt "...)
		b = strconv.AppendUint(b, uint64(t.attempt), 10)
	}
	return string(b)
}
