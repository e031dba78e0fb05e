package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

// Guards against a task that starts elsewhere while it runs: its agent has been reached again
// and may have taken the claim of the run, but the answer is still on its way when the wait
// after the loss ends.
func TestLostTaskWaitsForTheAnswerToItsClaim(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 1, 100*ms))
	first := h.takeStarts()["w1"][0]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.s.AgentDisconnected(h.now, "w1", "the agent was killed")
	h.addWorker("w2", 8, 1)
	h.advance(700 * ms)
	h.s.AgentConnected(h.now, "w1", 1)
	h.Assert(h.takeActions()[0].Claims, qt.HasLen, 1)
	// The agent takes the claim now and renews the lease. Its answer is late.
	h.advance(240 * ms)
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(first, link.Done)}})
	h.takeActions()
	h.Assert(h.answers["a"], qt.IsNotNil)
}

// Guards against the same with a restarted agent at the other end: it takes the claim while the
// former lease lasts, and the packet with its answer is lost once, so that it comes 200 ms late.
func TestClaimThatARestartedAgentTakesJustBeforeTheLeaseEnds(t *testing.T) {
	const restartDelay, delivery = 986 * ms, 200 * ms
	h := newHarness(t)
	h.s = New(Options{RestartDelay: restartDelay, RackSlowdown: 1.5, Seed: 1, MaxWaitingJobs: 100})
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 1, 100*ms))
	first := h.takeStarts()["w1"][0]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.s.AgentDisconnected(h.now, "w1", "the agent was killed")
	h.addWorker("w2", 8, 1)
	lost := h.now

	h.now += 780 * ms
	agent := runner.New(h.now, runner.Options{Lease: 800 * ms, SilenceTimeout: 500 * ms, ReconnectGrace: 250 * ms, MaxStopTime: 50 * ms})
	agent.TakeActions(h.now)
	list := func() {
		agent.Renewed(h.now, h.now-ms, &runner.RenewReply{
			Clock: h.now.Milliseconds(), Born: 7, Running: []runner.ListedRun{{Task: first.Task, Attempt: first.Attempt}},
		})
	}
	list()
	agent.EntryConnected(h.now, 1, link.Hello{Entry: "e1"})
	h.s.AgentConnected(h.now, "w1", 1)
	h.takeActions()
	commands := h.commands[len(h.commands)-1]
	h.commands = nil
	agent.HandleCommands(h.now, 1, &link.Commands{AsOfMS: h.now.Milliseconds(), Claims: commands.Claims})
	var late []link.Report
	var leaseUntil time.Duration
	for sent := h.now; h.now < sent+delivery+20*ms; {
		out := agent.TakeActions(h.now)
		for i := range out.Reports {
			late = append(late, out.Reports[i].Report)
		}
		if out.Renew != nil && out.Renew.LeaseUntil > 0 {
			leaseUntil = time.Duration(out.Renew.LeaseUntil) * ms
		}
		h.Assert(out.Stops, qt.HasLen, 0)
		h.now += 20 * ms
		h.s.Tick(h.now)
		h.Check(h.takeStarts(), qt.HasLen, 0, qt.Commentf("%v after the loss; the agent has extended the lease to %v", h.now-lost, leaseUntil-lost))
		agent.HandleCommands(h.now, 1, &link.Commands{AsOfMS: h.now.Milliseconds()})
		list()
	}
	h.Assert(late[0].Answers, qt.DeepEquals, []link.StartAnswer{started(first)})
	h.Assert(leaseUntil > lost+restartDelay, qt.IsTrue)
}
