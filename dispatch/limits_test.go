package dispatch

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// Guards against a job whose task counts exceed 64 bits in sum: it was accepted, and the
// scheduler allocated tasks for it until the process was killed. The other numbers reach sums
// and products in the same way.
func TestJobBeyondTheLimitsIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(j *Job)
	}{
		// First, since the scheduler survives it without the limits.
		{"one task too many", func(j *Job) { j.Steps[0].Tasks = MaxJobTasks + 1 }},
		{"sum of the counts", func(j *Job) { j.Steps[0].Tasks = MaxJobTasks - 1; j.Steps[1].Tasks = 2 }},
		{"sum of the counts beyond 64 bits", func(j *Job) { j.Steps[1].Tasks = math.MaxInt64 }},
		{"negative count", func(j *Job) { j.Steps[1].Tasks = -1 }},
		{"step without tasks", func(j *Job) { j.Steps[1].Tasks = 0 }},
		{"no steps", func(j *Job) { j.Steps = nil }},
		{"CPU", func(j *Job) { j.Steps[1].Need.MilliCPU = math.MaxInt64 }},
		{"negative CPU", func(j *Job) { j.Steps[1].Need.MilliCPU = math.MinInt64 }},
		{"memory", func(j *Job) { j.Steps[1].Need.MemoryMB = MaxNeed + 1 }},
		{"negative memory", func(j *Job) { j.Steps[1].Need.MemoryMB = -1 }},
		{"GPUs", func(j *Job) { j.Steps[1].Need.GPU = math.MaxInt64 }},
		{"negative GPUs", func(j *Job) { j.Steps[1].Need.GPU = -1 }},
		{"estimate", func(j *Job) { j.Steps[1].Estimate = math.MaxInt64 }},
		{"negative estimate", func(j *Job) { j.Steps[1].Estimate = math.MinInt64 }},
		{"negative limit per worker", func(j *Job) { j.Steps[1].MaxPerWorker = math.MinInt64 }},
		{"dependency on itself", func(j *Job) { j.Steps[1].DependsOn = []int{1} }},
		{"negative dependency", func(j *Job) { j.Steps[1].DependsOn = []int{math.MinInt64} }},
		{"more dependencies than steps before it", func(j *Job) { j.Steps[1].DependsOn = []int{0, 0} }},
		{"latency factor", func(j *Job) { j.LatencyFactor = math.Inf(1) }},
		{"latency factor that is no number", func(j *Job) { j.LatencyFactor = math.NaN() }},
		{"latency allowance", func(j *Job) { j.LatencyAllowance = math.MaxInt64 }},
		{"negative latency allowance", func(j *Job) { j.LatencyAllowance = math.MinInt64 }},
		{"deadline", func(j *Job) { j.Deadline = math.MaxInt64 }},
	} {
		h := newHarness(t)
		h.addWorker("w1", 8, 1)
		h.takeActions()
		j := h.newJob("j", 1, 100*ms)
		j.Steps = append(j.Steps, j.Steps[0])
		tc.change(&j)
		v := h.s.Submit(h.now, j)
		h.Assert(v != nil, qt.IsTrue, qt.Commentf("%s is accepted", tc.name))
		h.Assert([]any{v.Ran, v.Reason}, qt.DeepEquals, []any{api.RanNo, api.ReasonMalformed}, qt.Commentf("%s: %s", tc.name, v.Message))
		h.Assert(h.takeStarts(), qt.HasLen, 0, qt.Commentf("%s", tc.name))
		h.Assert([]any{len(h.s.jobs), h.s.tasks}, qt.DeepEquals, []any{0, 0}, qt.Commentf("%s", tc.name))
		h.mustAccept(h.newJob("ordinary", 1, 100*ms))
	}
}

// Guards against a job within the limits whose times overflow: it would count as on time or as
// late for ever.
func TestLargestJobWithinTheLimits(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, minSpeed)
	j := h.newJob("j", 1, MaxEstimate)
	j.LatencyFactor, j.LatencyAllowance, j.Deadline = MaxLatencyFactor, MaxLatencyAllowance, j.ReceivedAt+MaxDeadline
	step := j.Steps[0]
	for i := 1; i < MaxJobTasks; i++ {
		step.DependsOn = []int{i - 1}
		j.Steps = append(j.Steps, step)
	}
	created := newJob(j)
	h.Assert(created.dueAt > h.now+time.Hour && created.latestStart > h.now && created.cutoff > h.now, qt.IsTrue, qt.Commentf("%v %v %v", created.dueAt, created.latestStart, created.cutoff))
	h.Assert(h.s.minRunTime(created) > created.longestChain(), qt.IsTrue)
	v := h.s.Submit(h.now, j)
	h.Assert(v == nil || v.Reason != api.ReasonMalformed, qt.IsTrue)
}
