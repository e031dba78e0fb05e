package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

// reconnect connects an agent's process, and returns the speed that its first message has.
func (h *harness) reconnect(incarnation uint64) *link.KnownSpeed {
	h.s.AgentConnected(h.now, "w1", incarnation)
	for _, c := range h.takeActions() {
		return c.KnownSpeed
	}
	return nil
}

func state(born int64) *link.WorkerState {
	return &link.WorkerState{ID: "life", Born: born, Service: "service", Capacity: fourCores}
}

// Guards against a speed that is lost with the agent's process, one that is sent although the
// agent has it, one that was only assumed, and one that is out of date.
func TestSpeedIsPassedOnToARestartedAgent(t *testing.T) {
	h := newHarness(t)
	h.Assert(h.reconnect(1), qt.IsNil, qt.Commentf("an entry that has started knows no speed"))
	h.report("w1", 1, 1, &link.Report{Worker: state(7)})
	h.Assert(h.reconnect(2), qt.IsNil, qt.Commentf("the speed was assumed"))
	h.report("w1", 1, 0.3, &link.Report{Worker: state(7), LongTermSpeed: 0.55})
	h.Assert(h.reconnect(2), qt.IsNil, qt.Commentf("the same process"))
	h.now += 2 * time.Second
	want := link.KnownSpeed{WorkerID: "life", Born: 7, Speed: 0.55, AgeMS: 2000}
	h.Assert(*h.reconnect(3), qt.Equals, want)
	// The connection is lost before the agent has measured a run, and the agent restarts again.
	h.report("w1", 1, 0.55, &link.Report{Worker: state(7)})
	h.Assert(*h.reconnect(3), qt.Equals, want)
	h.Assert(*h.reconnect(4), qt.Equals, want)
	h.now += 59 * time.Second
	h.Assert(h.reconnect(5), qt.IsNil, qt.Commentf("out of date"))
	// A malformed report.
	h.report("w1", 1, 1, &link.Report{Worker: state(7), LongTermSpeed: 90})
	h.Assert(h.reconnect(6), qt.IsNil)
	// The next instance of the worker.
	h.report("w1", 1, 1, &link.Report{Worker: state(8), LongTermSpeed: 0.8})
	h.Assert(h.reconnect(7).Born, qt.Equals, int64(8))
}

// Guards against an entry and an agent that don't mean the same by the message: the agent's
// next process must report the speed, before it has run anything.
func TestRestartedAgentReportsTheKnownSpeed(t *testing.T) {
	h := newHarness(t)
	h.reconnect(1)
	h.report("w1", 1, 0.3, &link.Report{Worker: state(7), LongTermSpeed: 0.55})
	k := h.reconnect(2)
	agent := runner.New(h.now, runner.Options{Lease: 800 * ms, SilenceTimeout: 500 * ms, ReconnectGrace: 250 * ms, MaxStopTime: 50 * ms})
	agent.EntryConnected(h.now, 1, link.Hello{Entry: "e1"})
	agent.TakeActions(h.now)
	agent.HandleCommands(h.now, 1, &link.Commands{AsOfMS: h.now.Milliseconds(), KnownSpeed: k})
	a := runner.Announcement{ID: "life", Born: 7, Service: "service", Capacity: fourCores}
	h.Assert(agent.WorkerIdentified(h.now, a, true, 7), qt.IsTrue)
	for _, r := range agent.TakeActions(h.now).Reports {
		h.s.AgentReported(h.now, "w1", &r.Report)
	}
	h.Assert(h.s.workers["w1"].speed, qt.Equals, float64(float32(0.55)))
}
