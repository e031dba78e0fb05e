package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// unservableRetryAfter is the retry hint for a job that no worker can run: it takes a new
// worker, which is ready some seconds after its start.
const unservableRetryAfter = 5 * time.Second

// refuseUnservable refuses a job with a task that no worker could run even if nothing else ran
// there. It returns nil if there is no such task, or while workers are becoming known.
func (s *Scheduler) refuseUnservable(now time.Duration, j *job) *api.Verdict {
	if now-max(s.opts.StartedAt, s.workerStateAt) < warmUpPeriod {
		return nil
	}
	for i := range j.Steps {
		if reason := s.unservable(j.Service, &j.Steps[i]); reason != "" {
			s.unservableRefusals++
			v := api.Refuse(api.ReasonNoWorker, fmt.Sprintf("%s step %d", reason, i))
			v.RetryAfter = unservableRetryAfter
			return v
		}
	}
	return nil
}

// unservable says why no worker can run a task of the step, empty if one can. Workers that
// are lost or leave count: they may come back. So does one whose state isn't known yet.
func (s *Scheduler) unservable(service string, st *Step) string {
	known, permitted := false, false
	for _, w := range s.workersByName {
		switch {
		case w.state.Service == "":
			return ""
		case w.state.Service != service:
			continue
		case st.permits(w) && st.Need.FitsIn(w.state.Capacity):
			return ""
		}
		known, permitted = true, permitted || st.permits(w)
	}
	switch {
	case !known:
		return ""
	case !permitted:
		return "no worker has the label required by"
	}
	return "no worker is large enough for a task of"
}

// largestCapacity returns the largest capacity for each resource among the usable workers of a
// service. A task that exceeds it takes no capacity, whatever work it declares.
func (s *Scheduler) largestCapacity(service string) link.Resources {
	if known, ok := s.largestCapacities[service]; ok {
		return known
	}
	largest := link.Resources{}
	for _, w := range s.workersByName {
		if w.usable(service) {
			c := w.state.Capacity
			largest = link.Resources{MilliCPU: max(largest.MilliCPU, c.MilliCPU), MemoryMB: max(largest.MemoryMB, c.MemoryMB), GPU: max(largest.GPU, c.GPU)}
		}
	}
	s.largestCapacities[service] = largest
	return largest
}

// toDuration converts a number of nanoseconds. The conversion of the language gives different
// results on different processors for numbers beyond 64 bits.
func toDuration(ns float64) time.Duration {
	switch {
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(ns)
}
