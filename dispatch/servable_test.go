package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// settled returns a harness past its warm-up with a worker for eight tasks of four cores, of
// which it runs one.
func settled(t *testing.T) *harness {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("running", 1, 2*time.Second))
	h.advance(2 * warmUpPeriod)
	h.confirmStarts("w1", 7, h.takeStarts()["w1"])
	return h
}

// Load: a caller submits jobs of thousands of tasks that need more than any worker has, beside
// ordinary ones. Guards against ordinary callers that are refused with most of the capacity
// free, because the declared work of such tasks counts as work ahead of them.
func TestTasksThatFitNowhereDelayNobody(t *testing.T) {
	for _, need := range []link.Resources{{MilliCPU: MaxNeed}, {MilliCPU: 33_000}, {MilliCPU: 4000, MemoryMB: MaxNeed}, {MilliCPU: 4000, GPU: 1}} {
		h := settled(t)
		// A worker of another kind has just become known, and one like it may follow.
		h.s.workerStateAt = h.now
		j := h.newJob("large", MaxJobTasks, 100*ms)
		j.Steps[0].Need = need
		h.mustAccept(j)
		for i := range 3 {
			h.mustAccept(h.newJob(fmt.Sprint("ordinary", i), 1, 200*ms))
		}
		h.Assert(h.takeStarts()["w1"], qt.HasLen, 3, qt.Commentf("%+v", need))
	}
}

// Guards against a job that no worker can run and that is refused only when its time is over,
// and against a refusal that gives another reason.
func TestJobThatNoWorkerCanRunIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name, reason string
		change       func(h *harness, j *Job)
	}{
		{"ordinary", "", func(*harness, *Job) {}},
		{"as large as the worker", "", func(_ *harness, j *Job) { j.Steps[0].Need.MilliCPU = 32_000 }},
		{"too large", "no worker is large enough for a task of step 0", func(_ *harness, j *Job) { j.Steps[0].Need.MilliCPU = 32_001 }},
		{"unknown label", "no worker has the label required by step 0", func(_ *harness, j *Job) { j.Steps[0].RequiredLabel = "x" }},
		{"too large for the workers with the label", "no worker is large enough for a task of step 0", func(h *harness, j *Job) {
			h.addLabelled("w2", "x", 1000)
			j.Steps[0].RequiredLabel = "x"
		}},
		{"the worker with the label is lost", "", func(h *harness, j *Job) {
			h.addLabelled("w2", "x", 4000)
			h.s.AgentDisconnected(h.now, "w2", "test")
			j.Steps[0].RequiredLabel = "x"
		}},
		{"a worker isn't known yet", "", func(h *harness, j *Job) {
			h.s.AgentConnected(h.now, "w2", 1)
			j.Steps[0].RequiredLabel = "x"
		}},
		{"another service", "", func(_ *harness, j *Job) { j.Service = "other" }},
	} {
		h := settled(t)
		j := h.newJob("j", 2, 200*ms)
		tc.change(h, &j)
		h.advance(warmUpPeriod)
		j.ReceivedAt, j.Deadline = h.now, h.now+2400*ms
		v := h.s.Submit(h.now, j)
		if tc.reason == "" {
			h.Check(v == nil, qt.IsTrue, qt.Commentf("%s: %v", tc.name, v))
			continue
		}
		h.Assert(v != nil, qt.IsTrue, qt.Commentf("%s", tc.name))
		h.Check([]any{v.Ran, v.Reason, v.Message, v.RetryAfter}, qt.DeepEquals, []any{api.RanNo, api.ReasonNoWorker, tc.reason, unservableRetryAfter}, qt.Commentf("%s", tc.name))
	}
}

func (h *harness) addLabelled(name, label string, milliCPU int64) {
	h.s.AgentConnected(h.now, name, 1)
	h.report(name, 0, 1, &link.Report{Worker: &link.WorkerState{
		ID: "life-" + name, Service: "service", Labels: []string{label}, Capacity: link.Resources{MilliCPU: milliCPU, MemoryMB: 1 << 20},
	}})
}

// Guards against an expected wait beyond 64 bits that becomes negative: a job that has to wait
// for days was accepted.
func TestExpectedWaitBeyond64Bits(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.s.opts.MaxWaitingJobs = 2000
	h.addWorker("w1", MaxNeed/4000, 1)
	small := h.newJob("running", 1, 2*time.Second)
	small.Steps[0].Need = link.Resources{MilliCPU: 1}
	h.mustAccept(small)
	h.advance(2 * warmUpPeriod)
	h.confirmStarts("w1", 0, h.takeStarts()["w1"])
	large := h.newJob("large", MaxJobTasks, MaxEstimate)
	large.Steps[0].Need, large.LatencyFactor = link.Resources{MilliCPU: MaxNeed / 4000 * 4000}, 1
	h.mustAccept(large)
	waiting := h.s.jobs["large"]
	h.Assert(h.s.expectedWait(h.now, waiting) > 24*365*MaxEstimate, qt.IsTrue, qt.Commentf("%v", h.s.expectedWait(h.now, waiting)))
}
