package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// Guards against a task on a worker without its label, because the worker has come back
// under its ID as another kind after the task was placed on it.
func TestTasksOfAWorkerThatComesBackAsAnotherKind(t *testing.T) {
	h := newHarness(t)
	kind := func(revision uint64, label string) *link.Report {
		return &link.Report{Worker: &link.WorkerState{
			Revision: revision, ID: "life-w1", Service: "service", Labels: []string{label}, Capacity: link.Resources{MilliCPU: 32000, MemoryMB: 1 << 20},
		}}
	}
	h.s.AgentConnected(h.now, "w1", 1)
	h.report("w1", 8, 1, kind(1, "a"))
	job := h.newJob("a", 2, 100*ms)
	job.Steps[0].RequiredLabel = "a"
	h.mustAccept(job)
	h.report("w1", 8, 1, kind(2, "b"))
	h.Assert(h.takeStarts(), qt.HasLen, 0)

	h.report("w1", 8, 1, kind(3, "a"))
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 2)
	h.Assert(starts[0].WorkerRevision, qt.Equals, uint64(3))
	h.Assert(starts[0].Attempt, qt.Equals, uint32(1))
	// The capacity of the withdrawn starts is free again.
	h.mustAccept(h.newJob("b", 6, 100*ms))
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 6)

	// A refused start of the former kind goes elsewhere under the same attempt.
	h.s.AgentConnected(h.now, "w2", 1)
	h.report("w2", 8, 1, kind(1, "a"))
	h.report("w1", 0, 1, &link.Report{Worker: kind(4, "b").Worker, Answers: []link.StartAnswer{{Task: starts[0].Task, Attempt: 1, Result: link.Refused}}})
	again := h.takeStarts()["w2"]
	h.Assert(again, qt.HasLen, 1)
	h.Assert(again[0].Task, qt.Equals, starts[0].Task)
	h.Assert(again[0].Attempt, qt.Equals, uint32(1))
}
