package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// leaving announces that the worker drains and stays for a time.
func (f *fixture) leaving(sequence uint64, stays time.Duration) {
	a := announcement(7, true)
	a.Sequence, a.Leaves = sequence, stays
	f.Assert(f.announce(a), qt.IsTrue)
	f.takeActions()
}

// Guards against entries that learn too late, or wrongly, how long a leaving worker stays:
// the time counts down from when the announcement arrived, and is told at once when it is
// first known or changes, with the progress of all runs.
func TestEntriesAreToldWhenTheWorkerLeaves(t *testing.T) {
	f := newReadyFixture(t)
	f.startRun(1, start("j", 0))
	f.advance(100 * ms)
	f.answerRenewal(ListedRun{Task: task("j", 0), Attempt: 1, Percent: 10})
	f.advance(100 * ms)
	f.answerRenewal(ListedRun{Task: task("j", 0), Attempt: 1, Percent: 20})
	f.takeActions()
	f.leaving(1, 2200*ms)
	told := f.reports[1]
	f.Assert(told, qt.IsNotNil)
	f.Assert(told.LeavesMS, qt.Equals, int64(2200))
	f.Assert(told.Progress, qt.HasLen, 1)
	f.Assert(told.Progress[0].Percent, qt.Equals, uint8(20))
	f.Assert(told.Progress[0].RemainingMS > 0, qt.IsTrue)

	f.now += 500 * ms / 4
	f.sendCommands(1, &link.Commands{})
	f.Assert(f.reports[1].LeavesMS, qt.Equals, int64(2075))
	// The next announcement says the same, a later one that the worker leaves sooner.
	f.leaving(2, 2070*ms)
	f.Assert(f.reports[1], qt.IsNil)
	f.leaving(3, 900*ms)
	f.Assert(f.reports[1].LeavesMS, qt.Equals, int64(900))
	// One without a time leaves it in effect.
	f.now += 100 * ms
	f.leaving(4, 0)
	f.sendCommands(1, &link.Commands{})
	f.Assert(f.reports[1].LeavesMS, qt.Equals, int64(800))
	// A worker that stays after all, or has restarted, doesn't leave.
	back := announcement(7, false)
	back.Sequence = 5
	f.Assert(f.announce(back), qt.IsTrue)
	f.takeActions()
	f.Assert(f.reports[1].LeavesMS, qt.Equals, int64(0))
	f.leaving(6, 500*ms)
	f.answerRenewalOf(9)
	f.takeActions()
	f.Assert(f.reports[1].LeavesMS, qt.Equals, int64(0))
}

// Guards against an entry that decides without the progress of a run whether it ends before
// the worker leaves, because it has lost the reports with an earlier connection.
func TestClaimOnALeavingWorkerIsAnsweredWithTheProgress(t *testing.T) {
	f := newReadyFixture(t)
	f.startRun(1, start("j", 0))
	f.advance(100 * ms)
	f.answerRenewal(ListedRun{Task: task("j", 0), Attempt: 1, Percent: 10})
	f.leaving(1, 2200*ms)
	f.s.EntryDisconnected(f.now, 1, "timeout")
	f.now += 20 * ms
	f.s.EntryConnected(f.now, 2, link.Hello{Entry: "e1", Incarnation: 11})
	f.sendCommands(2, &link.Commands{Claims: []link.Claim{{Task: task("j", 0), Attempt: 1, Need: fourCoreNeed}}})
	told := f.reports[2]
	f.Assert(told.Answers, qt.HasLen, 1)
	f.Assert(told.Answers[0].Result, qt.Equals, link.Started)
	f.Assert(told.Progress, qt.HasLen, 1)
	f.Assert(told.Progress[0].Percent, qt.Equals, uint8(10))
}

// Guards against a time that counts from the restart of the agent: it isn't known how long
// ago the stored announcement came.
func TestRestoredAnnouncementSaysNothingOfTheTimeLeft(t *testing.T) {
	f := newReadyFixture(t)
	f.leaving(1, 2200*ms)
	stored := *f.s.worker
	s := New(f.now, f.s.opts)
	s.RestoreWorker(f.now, stored)
	s.Renewed(f.now, f.now, &RenewReply{Clock: 5000, Born: 7})
	qt.Assert(t, s.worker, qt.IsNotNil)
	qt.Assert(t, s.leavesMS(f.now), qt.Equals, int64(0))
}
