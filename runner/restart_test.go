package runner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// startInFlight sends a start to the worker, which has not answered the call yet.
func (f *fixture) startInFlight(s link.Start) StartCall {
	f.Helper()
	f.sendCommands(1, &link.Commands{Starts: []link.Start{s}})
	f.Assert(f.starts, qt.HasLen, 1)
	f.reports = nil
	return f.starts[0]
}

// restartWorker lets the worker restart. The new instance is known from its list of runs
// and from its announcement.
func (f *fixture) restartWorker(running ...ListedRun) {
	f.now += ms
	f.answerRenewalOf(9, running...)
	f.Assert(f.announce(announcement(9, false)), qt.IsTrue)
	f.takeActions()
}

// assertNoEnd fails if the entry is told that a run has ended or is not running.
func (f *fixture) assertNoEnd() {
	f.Helper()
	for _, r := range f.reports {
		f.Assert(r.Ends, qt.HasLen, 0)
		for _, a := range r.Answers {
			f.Assert(a.Result, qt.Equals, link.Started)
		}
	}
}

// Guards against a task that starts elsewhere although a start call that is being made, or
// repeated, begins it on the worker that has restarted meanwhile under its old ID.
func TestStartCallThatReachesARestartedWorker(t *testing.T) {
	listed := ListedRun{Task: task("j", 0), Attempt: 1}
	for name, restart := range map[string]func(f *fixture){
		"seen in a list": func(f *fixture) { f.restartWorker() },
		"refused calls first": func(f *fixture) {
			f.s.RenewFailed(f.now, f.now, "connection refused", RenewConnRefused)
			f.takeActions()
			f.assertNoEnd()
			f.restartWorker()
		},
		"listed before": func(f *fixture) {
			f.answerRenewal(listed)
			f.now += ms
			f.restartWorker()
		},
		"lease expired": func(f *fixture) {
			for range 36 {
				f.sendCommands(1, &link.Commands{})
				f.assertNoEnd()
				f.advance(25 * ms)
				f.assertNoEnd()
			}
			f.restartWorker()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newReadyFixture(t)
			call := f.startInFlight(start("j", 0))
			restart(f)
			f.assertNoEnd()
			f.s.StartDone(f.now, call, StartOK, 5000+f.now.Milliseconds())
			f.takeActions()
			f.assertNoEnd()
			f.now += ms
			f.answerRenewalOf(9, listed)
			f.takeActions()
			f.assertNoEnd()
			f.Assert(f.s.Runs(), qt.Equals, 1)
		})
	}
}

// Guards against a task that starts elsewhere although its start call, which had no answer
// before the worker restarted, may still take effect on the new instance.
func TestUnansweredStartIsStoppedOnTheRestartedWorker(t *testing.T) {
	f := newReadyFixture(t)
	call := f.startInFlight(start("j", 0))
	f.s.StartDone(f.now, call, StartUnanswered, 0)
	f.restartWorker()
	f.assertNoEnd()
	f.Assert(f.stops, qt.HasLen, 1)
	f.Assert(f.stops[0].WorkerBorn, qt.Equals, int64(9))
	stop := f.stops[0]
	former := stop
	former.WorkerBorn = 7
	f.s.StopDone(f.now, former, true)
	f.now += ms
	f.answerRenewalOf(9)
	f.takeActions()
	f.assertNoEnd()
	f.s.StopDone(f.now, stop, true)
	f.now += ms
	f.answerRenewalOf(9)
	f.takeActions()
	f.assertNoEnd()
	f.now += f.s.opts.MaxStopTime
	f.answerRenewalOf(9)
	f.takeActions()
	f.Assert(f.reports[1].Answers, qt.DeepEquals, []link.StartAnswer{{Task: task("j", 0), Attempt: 1, Result: link.NotRunning}})
}

// Guards against tasks that wait although their worker has restarted: the runs of the
// former instance end with the first list of the new one, in whatever state they were.
func TestRunsOfTheFormerInstanceEndWithTheFirstList(t *testing.T) {
	f := newReadyFixture(t)
	f.startRun(1, start("a", 0))
	f.startRun(1, start("a", 1))
	f.sendCommands(1, &link.Commands{Stops: []link.Stop{{Task: task("a", 1), Attempt: 1}}})
	f.restartWorker()
	f.Assert(f.reports[1].Ends, qt.HasLen, 2)
	f.Assert(f.s.Runs(), qt.Equals, 0)
}

// Guards against an overloaded worker: a start call that is repeated after its run has
// ended begins it again on the restarted worker.
func TestRunThatBeginsAgainOnTheRestartedWorkerIsStopped(t *testing.T) {
	for _, result := range []StartResult{StartOK, StartUnanswered} {
		f := newReadyFixture(t)
		call := f.startInFlight(start("j", 0))
		f.answerRenewalWithEnds([]ListedEnd{{Task: task("j", 0), Attempt: 1, Outcome: link.Done}})
		f.restartWorker()
		f.s.StartDone(f.now, call, result, 0)
		f.now += ms
		f.answerRenewalOf(9)
		f.takeActions()
		f.Assert(f.stops, qt.HasLen, 1)
		f.Assert(f.s.freeCapacity(), qt.Equals, f.s.worker.Capacity.Sub(fourCoreNeed))
		f.s.StopDone(f.now, f.stops[0], true)
		f.now += ms
		f.answerRenewalOf(9)
		f.Assert(f.s.freeCapacity(), qt.Equals, f.s.worker.Capacity.Sub(fourCoreNeed))
		f.now += f.s.opts.MaxStopTime
		f.answerRenewalOf(9)
		f.Assert(f.s.freeCapacity(), qt.Equals, f.s.worker.Capacity)
	}
}

// Guards against a lease that is too long because its end was computed with the clock of the
// former instance: the answer to a start call came after the restart was seen.
func TestClockOfTheFormerInstanceIsNotUsed(t *testing.T) {
	f := newReadyFixture(t)
	call := f.startInFlight(start("j", 0))
	f.restartWorker()
	f.answerRenewalOf(9)
	f.s.StartDone(f.now, call, StartOK, 900000+f.now.Milliseconds())
	f.receive(1, &link.Commands{})
	f.Assert(f.renewedUntil(), qt.Equals, f.now+800*ms)
}

// Guards against an announcement of another writer, without a start time, that an agent which
// has just started takes for its worker's.
func TestAnnouncementWithoutStartTime(t *testing.T) {
	f := newFixture(t)
	f.takeActions()
	foreign := announcement(0, false)
	f.Assert(f.s.WorkerAnnounced(f.now, foreign), qt.Equals, AnnouncementUnidentified)
	f.Assert(f.s.WorkerIdentified(f.now, foreign, false, 0), qt.IsFalse)
	f.Assert(f.s.worker, qt.IsNil)
	// A worker that gives no start time is known by its ID alone.
	f.Assert(f.s.WorkerIdentified(f.now, foreign, true, 0), qt.IsTrue)
}

// Guards against a run that starts again although it is done: a renewal acknowledges the ends of
// the former instance, reaches the worker's next one, and that forgets ends of its own.
func TestEndsAreAcknowledgedToTheirInstance(t *testing.T) {
	f := newReadyFixture(t)
	f.startRun(1, start("j", 0))
	f.answerRenewalWithEnds([]ListedEnd{{Number: 1, Task: task("j", 0), Attempt: 1, Outcome: link.Done}})
	f.takeActions()
	f.Assert(*f.renew, qt.Equals, RenewCall{LastEndNumber: 1, WorkerBorn: 7, MaxWait: f.renew.MaxWait})
	// The worker may have restarted.
	f.s.RenewFailed(f.now, f.now, "connection reset", RenewConnClosed)
	f.takeActions()
	f.Assert(*f.renew, qt.Equals, RenewCall{})
	f.restartWorker()
	f.Assert(*f.renew, qt.Equals, RenewCall{WorkerBorn: 9, MaxWait: f.renew.MaxWait})
}
