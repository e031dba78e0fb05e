package dispatch

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// Guards against a task that never starts again because it failed on the only worker
// with its label, while workers without the label remain on which it has not failed.
func TestTaskThatFailedOnTheOnlyLabelledWorkerStartsAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("plain", 8, 1)
	h.s.AgentConnected(h.now, "labelled", 1)
	h.report("labelled", 8, 1, &link.Report{Worker: &link.WorkerState{
		ID: "life-labelled", Service: "service", Labels: []string{"gpu"}, Capacity: link.Resources{MilliCPU: 32000, MemoryMB: 1 << 20},
	}})
	job := h.newJob("a", 1, 100*ms)
	job.Steps[0].RequiredLabel = "gpu"
	h.mustAccept(job)
	first := h.takeStarts()["labelled"]
	h.Assert(first, qt.HasLen, 1)
	h.report("labelled", 8, 1, &link.Report{Answers: []link.StartAnswer{started(first[0])}, Ends: []link.End{ended(first[0], link.Failed)}})
	again := h.takeStarts()
	h.Assert(again["labelled"], qt.HasLen, 1)
	h.Assert(again["labelled"][0].Attempt, qt.Equals, first[0].Attempt+1)
	h.Assert(again["plain"], qt.HasLen, 0)
}

// Guards against a lost task that is not claimed any more, so that its run is stopped,
// because the agent is lost again before it has answered the claim; and against a task that
// starts elsewhere while it runs: a restarted agent may have taken the claim and renewed
// the lease until the second loss.
func TestTaskIsClaimedAfterTwoLossesInARow(t *testing.T) {
	for _, returns := range []bool{true, false} {
		h := newHarness(t)
		h.addWorker("w1", 8, 1)
		h.mustAccept(h.newJob("a", 1, 100*ms))
		first := h.takeStarts()["w1"]
		h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first[0])}})
		h.s.AgentDisconnected(h.now, "w1", "reset")
		h.addWorker("w2", 8, 1)
		h.advance(100 * ms)
		h.s.AgentConnected(h.now, "w1", 1)
		h.s.AgentDisconnected(h.now, "w1", "reset")
		h.takeActions()
		if returns {
			h.s.AgentConnected(h.now, "w1", 1)
			h.Assert(h.takeActions()[0].Claims, qt.HasLen, 1)
			h.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(first[0], link.Done)}})
		} else {
			h.advance(880 * ms)
			h.Assert(h.takeStarts(), qt.HasLen, 0, qt.Commentf("a lease that was renewed until the second loss has not expired yet"))
			h.advance(20 * ms)
			again := h.takeStarts()["w2"]
			h.Assert(again, qt.HasLen, 1)
			h.Assert(again[0].Attempt, qt.Equals, first[0].Attempt+1)
			h.report("w2", 8, 1, &link.Report{Answers: []link.StartAnswer{started(again[0])}, Ends: []link.End{ended(again[0], link.Done)}})
		}
		h.takeActions()
		h.Assert(h.answers["a"].Outcome, qt.Equals, api.Complete)
	}
}

// Guards against a log that says nothing of when a failed task ended.
func TestHistoryOfAFailedTask(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	job := h.newJob("a", 1, 100*ms)
	job.MaxAttempts = 1
	h.mustAccept(job)
	start := h.takeStarts()["w1"]
	h.advance(40 * ms)
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(start[0])}})
	h.advance(60 * ms)
	h.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(start[0], link.Failed)}})
	var histories []string
	for _, l := range h.s.TakeActions(h.now).LogLines {
		for i, f := range l.Fields {
			if f == "tasks" && strings.HasPrefix(l.Message, "job answered") {
				histories = l.Fields[i+1].([]string)
			}
		}
	}
	h.Assert(histories, qt.DeepEquals, []string{"0.0@w1 40-100 failed"})
}

// Guards against tasks that are taken for starting until the deadline of their job, because
// their agent has connected again before the loss of its connection was noticed.
func TestTasksAreClaimedWhenAnAgentConnectsAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 2, 100*ms))
	starts := h.takeStarts()["w1"]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(starts[0])}})
	h.s.AgentConnected(h.now, "w1", 1)
	claims := h.takeActions()[0].Claims
	h.Assert(claims, qt.HasLen, 2)
	h.report("w1", 8, 1, &link.Report{
		Ends:    []link.End{ended(starts[0], link.Done)},
		Answers: []link.StartAnswer{{Task: starts[1].Task, Attempt: 1, Result: link.NotRunning}},
	})
	again := h.takeStarts()["w1"]
	h.Assert(again, qt.HasLen, 1)
	h.Assert(again[0].Task, qt.Equals, starts[1].Task)
}
