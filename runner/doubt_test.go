package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// Guards against a task that runs twice because a restarted agent says that an attempt isn't
// running, at its next tick after the first list: it knows no lease yet, but the start of the
// attempt may be carried out until that of the previous process has ended.
func TestLeaseOfAPreviousProcessIsNotOverAtOnce(t *testing.T) {
	f := newReadyFixture(t)
	f.s = New(f.now, f.s.opts)
	f.s.EntryConnected(f.now, 1, link.Hello{Entry: "e1", Incarnation: 11})
	f.sendCommands(1, &link.Commands{Claims: []link.Claim{{Task: task("j", 0), Attempt: 1, Need: fourCoreNeed}}})
	f.now += 5 * ms
	f.answerRenewal()
	f.takeActions()
	f.Assert(f.reports[1].Answers[0].Result, qt.Equals, link.Unknown)
	for end := f.now + f.s.opts.Lease; f.now < end; f.now += 20 * ms {
		f.s.Tick(f.now)
		f.sendCommands(1, &link.Commands{})
		for _, r := range f.reports {
			f.Assert(r.Answers, qt.HasLen, 0)
			f.Assert(r.Ends, qt.HasLen, 0)
		}
	}
}

// Guards against a start on a worker of another kind, because the worker has restarted under
// its ID while the agent was held up, or between two answers of a lossy worker.
func TestNoStartWhileTheWorkerMayHaveRestartedUnnoticed(t *testing.T) {
	started := func(f *fixture, result StartResult) {
		f.sendCommands(1, &link.Commands{Starts: []link.Start{start("j", 0)}})
		f.s.StartDone(f.now, f.starts[0], result, 0)
	}
	for name, cause := range map[string]func(f *fixture){
		"the agent was held up": func(f *fixture) { f.now += MaxEventGap },
		"nothing listens":       func(f *fixture) { started(f, StartNotSent) },
		"another clock":         func(f *fixture) { started(f, StartLeaseExpired) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReadyFixture(t)
			f.takeActions()
			sentBefore := f.now
			f.now += ms
			cause(f)
			f.starts = nil
			f.sendCommands(1, &link.Commands{Starts: []link.Start{start("k", 0)}})
			f.takeActions()
			f.Assert(f.starts, qt.HasLen, 0)
			f.Assert(f.s.StartableBorn(), qt.Equals, int64(0))
			f.Assert(f.renew, qt.IsNotNil)
			f.Assert(f.renew.MaxWait, qt.Equals, time.Duration(0))
			// The answer to a renewal that the worker has held since before tells nothing.
			reply := RenewReply{Clock: 5000 + f.now.Milliseconds(), Born: 7}
			f.s.Renewed(f.now, sentBefore, &reply)
			f.Assert(f.s.accepting(), qt.IsFalse)
			f.s.Renewed(f.now, f.now, &reply)
			f.Assert(f.s.StartableBorn(), qt.Equals, int64(7))
			f.sendCommands(1, &link.Commands{Starts: []link.Start{start("k", 0)}})
			f.Assert(f.starts, qt.HasLen, 1)
		})
	}
}

// Guards against a worker that gets no starts although it only leaves some calls unanswered: a
// start without a connection is refused, but causes no doubt.
func TestStartWithoutAConnectionCausesNoDoubt(t *testing.T) {
	f := newReadyFixture(t)
	f.sendCommands(1, &link.Commands{Starts: []link.Start{start("j", 0)}})
	f.s.StartDone(f.now, f.starts[0], StartNoConnection, 0)
	f.takeActions()
	answers := f.reports[1].Answers
	f.Assert(answers[len(answers)-1].Result, qt.Equals, link.Refused)
	f.Assert(f.s.Runs(), qt.Equals, 0)
	f.Assert(f.s.StartableBorn(), qt.Equals, int64(7))
}

// Guards against a worker that gets no starts for longer than needed: a start that was not called
// because the worker was in doubt must not renew the doubt.
func TestStartThatWasNotCalledCausesNoDoubt(t *testing.T) {
	f := newReadyFixture(t)
	a, b := start("j", 0), start("k", 0)
	a.Need, b.Need = link.Resources{MilliCPU: 1}, link.Resources{MilliCPU: 1}
	f.sendCommands(1, &link.Commands{Starts: []link.Start{a, b}})
	calls := f.starts
	f.Assert(calls, qt.HasLen, 2)
	f.Assert(calls[0].CreatedAt, qt.Equals, f.now)
	f.now += ms
	f.s.StartDone(f.now, calls[0], StartLeaseExpired, 0)
	f.takeActions()
	f.Assert(f.s.StartableBorn(), qt.Equals, int64(0))
	sentAt := f.now
	f.now += ms
	f.s.StartDone(f.now, calls[1], StartNotCalled, 0)
	f.takeActions()
	answers := f.reports[1].Answers
	f.Assert(answers[len(answers)-1], qt.DeepEquals, link.StartAnswer{Task: b.Task, Attempt: b.Attempt, Result: link.Refused})
	f.now += ms
	f.s.Renewed(f.now, sentAt, &RenewReply{Clock: 5000 + f.now.Milliseconds(), Born: 7})
	f.Assert(f.s.StartableBorn(), qt.Equals, int64(7))
}
