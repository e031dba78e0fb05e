package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// Guards against tasks of a job that has ended, which run although its caller may submit it
// again: the job ends before its starts have been sent, and a message with the start and
// the stop of an attempt would begin it after the stop.
func TestJobThatEndsBeforeItsStartsAreSent(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 4, 100*ms))
	h.mustAccept(h.newJob("b", 2, 100*ms))
	h.s.Cancel(h.now, "a", "the caller has gone")
	for _, c := range h.takeActions() {
		h.Assert(c.Stops, qt.HasLen, 0)
		h.Assert(c.Starts, qt.HasLen, 2)
		h.Assert(c.Starts[0].Task.Job, qt.Equals, "b")
	}
	// The capacity of the withdrawn starts is free again.
	h.mustAccept(h.newJob("c", 6, 100*ms))
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 2+6)
}

// Guards against an attempt that the agent has taken over from an earlier connection, and
// that nobody stops, because its job ends before the claim is answered.
func TestJobThatEndsWhileItsClaimIsNotAnswered(t *testing.T) {
	for _, sent := range []bool{true, false} {
		h := newHarness(t)
		h.addWorker("w1", 8, 1)
		h.mustAccept(h.newJob("a", 1, 100*ms))
		start := h.takeStarts()["w1"][0]
		h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(start)}})
		h.s.AgentDisconnected(h.now, "w1", "reset")
		h.s.AgentConnected(h.now, "w1", 1)
		if sent {
			h.takeActions()
		}
		h.s.Cancel(h.now, "a", "the caller has gone")
		commands := h.takeActions()
		h.Assert(commands, qt.HasLen, 1)
		h.Assert(commands[0].Stops, qt.DeepEquals, []link.Stop{{Task: start.Task, Attempt: start.Attempt}})
	}
}

// Guards against a start that was placed before the loss of a connection and is sent over the
// next one, after a claim of the same attempt that the agent answers with "not running".
func TestStartsThatWereNotSentAreNotSentOverTheNextConnection(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 2, 100*ms))
	h.s.AgentDisconnected(h.now, "w1", "reset")
	h.s.AgentConnected(h.now, "w1", 1)
	commands := h.takeActions()
	for _, c := range commands {
		h.Assert(c.Claims, qt.HasLen, 0)
		h.Assert(c.Starts, qt.HasLen, 0)
	}
	h.report("w1", 8, 1, &link.Report{})
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 2)
	h.Assert(starts[0].Attempt, qt.Equals, uint32(1))

	// A job of which no start has been sent has not run.
	h.mustAccept(h.newJob("b", 2, 100*ms))
	h.s.AgentDisconnected(h.now, "w1", "reset")
	h.s.Cancel(h.now, "b", "the entry ends")
	h.takeActions()
	h.Assert(h.answers["b"].Ran, qt.Equals, api.RanNo)
}
