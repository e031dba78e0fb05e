package link

import (
	"slices"

	"github.com/pkg/errors"
)

// Limits of the numbers in messages. The receiver adds, multiplies and converts them; within
// these limits, the results stay within 64 bits. A message that exceeds them is not read, and
// its connection is closed.
const (
	// MaxNeed bounds what a task needs of one resource, in the unit of that resource.
	MaxNeed = 1 << 32
	// MaxCapacity bounds what a worker has of one resource, in the unit of that resource.
	MaxCapacity = 1 << 40
	// maxTimeMS bounds the size of a time, in milliseconds.
	maxTimeMS = 4e12
)

// within reports whether no resource is below low or above high.
func (r Resources) within(low, high int64) bool {
	return min(r.MilliCPU, r.MemoryMB, r.GPU) >= low && max(r.MilliCPU, r.MemoryMB, r.GPU) <= high
}

// validTimes reports whether times in milliseconds are within their limits.
func validTimes(ms ...int64) bool {
	return slices.Min(ms) >= -maxTimeMS && slices.Max(ms) <= maxTimeMS
}

// validate returns an error if a number exceeds its limits.
func (w *Welcome) validate() error {
	if !validTimes(w.ClockMS) {
		return errors.Errorf("the clock of the agent is %d ms", w.ClockMS)
	}
	return nil
}

// validate returns an error if a number exceeds its limits.
func (c *Commands) validate() error {
	if !validTimes(c.AsOfMS) {
		return errors.Errorf("the commands are of %d ms", c.AsOfMS)
	}
	for i := range c.Starts {
		st := &c.Starts[i]
		if !st.Need.within(0, MaxNeed) || !validTimes(st.EstimateMS, st.DueMS) {
			return errors.Errorf("the start of task %d of step %d of job %.40q needs %+v for %d ms and is due in %d ms", st.Task.Index, st.Task.Step, st.Task.Job, st.Need, st.EstimateMS, st.DueMS)
		}
	}
	for i := range c.Claims {
		claim := &c.Claims[i]
		if !claim.Need.within(0, MaxNeed) || !validTimes(claim.EstimateMS, claim.DueMS) {
			return errors.Errorf("the claim of task %d of step %d of job %.40q needs %+v for %d ms and is due in %d ms", claim.Task.Index, claim.Task.Step, claim.Task.Job, claim.Need, claim.EstimateMS, claim.DueMS)
		}
	}
	return nil
}

// validate returns an error if a number exceeds its limits.
func (r *Report) validate() error {
	switch {
	case !validTimes(r.ClockMS, r.LeavesMS):
		return errors.Errorf("the report is of %d ms, and the worker leaves in %d ms", r.ClockMS, r.LeavesMS)
	// Less than nothing is free while tasks that the agent adopted exceed the capacity.
	case !r.Free.within(-MaxCapacity, MaxCapacity):
		return errors.Errorf("the worker has %+v free", r.Free)
	case r.Worker != nil && !r.Worker.Capacity.within(0, MaxCapacity):
		return errors.Errorf("the worker has the capacity %+v", r.Worker.Capacity)
	}
	for i := range r.Ends {
		if e := &r.Ends[i]; !validTimes(e.RanMS) {
			return errors.Errorf("task %d of step %d of job %.40q ran for %d ms", e.Task.Index, e.Task.Step, e.Task.Job, e.RanMS)
		}
	}
	for i := range r.Progress {
		if p := &r.Progress[i]; !validTimes(p.RemainingMS, p.IdleMS) {
			return errors.Errorf("task %d of step %d of job %.40q has %d ms left, without progress for %d ms", p.Task.Index, p.Task.Step, p.Task.Job, p.RemainingMS, p.IdleMS)
		}
	}
	return nil
}
