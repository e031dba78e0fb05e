package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// evacuated sends the state of the zone as an entry read it at a version, which knows the
// worker.
func (f *fixture) evacuated(conn ConnID, version uint64, evacuated bool) {
	f.sendCommands(conn, &link.Commands{Evacuation: link.Evacuation{Version: version, Evacuated: evacuated, WorkerRevision: f.s.workerRevision}})
}

// acceptsStart reports whether the agent accepts a start of an entry that knows nothing of
// evacuated zones.
func (f *fixture) acceptsStart(conn ConnID, job string) bool {
	f.Helper()
	f.sendCommands(conn, &link.Commands{Starts: []link.Start{start(job, 0)}})
	if len(f.starts) > 0 {
		return true
	}
	f.Assert(f.reports[conn].Answers, qt.DeepEquals, []link.StartAnswer{{Task: task(job, 0), Attempt: 1, Result: link.Refused}})
	return false
}

func newFixtureWithTwoEntries(t *testing.T) *fixture {
	f := newReadyFixture(t)
	f.s.EntryConnected(f.now, 2, link.Hello{Entry: "e2", Incarnation: 12})
	f.takeActions()
	return f
}

// Guards against a start in an evacuated zone by an entry that is cut off from the store, or
// in the message that contains the new state; and against a run that ends because of the evacuation.
func TestStartsAreRefusedInAnEvacuatedZone(t *testing.T) {
	f := newFixtureWithTwoEntries(t)
	f.startRun(1, start("goes-on", 0))
	f.sendCommands(1, &link.Commands{Starts: []link.Start{start("a", 0)}, Evacuation: link.Evacuation{Version: 5, Evacuated: true, WorkerRevision: f.s.workerRevision}})
	f.Assert(f.starts, qt.HasLen, 0)
	f.Assert(f.acceptsStart(2, "b"), qt.IsFalse)
	evacuated, refusals := f.s.Evacuated()
	f.Assert(evacuated, qt.IsTrue)
	f.Assert(refusals, qt.Equals, int64(2))
	f.Assert(f.stops, qt.HasLen, 0)
	f.answerRenewal(ListedRun{Task: task("goes-on", 0), Attempt: 1, Percent: 50})
	f.advance(50 * ms)
	f.Assert(f.renew.LeaseUntil > 0, qt.IsTrue, qt.Commentf("the lease is renewed"))
	f.evacuated(1, 6, false)
	f.Assert(f.acceptsStart(2, "c"), qt.IsTrue)
}

// Guards against an older state, or none, that replaces a newer one, whether the zone was
// evacuated or restored since: its entry was cut off from the store, or has just started.
func TestStateOfTheHighestVersionCounts(t *testing.T) {
	f := newFixtureWithTwoEntries(t)
	f.evacuated(1, 5, true)
	f.evacuated(2, 4, false)
	f.evacuated(2, 0, false)
	f.Assert(f.acceptsStart(2, "a"), qt.IsFalse)
	f.evacuated(2, 6, false)
	f.evacuated(1, 5, true)
	f.Assert(f.acceptsStart(1, "b"), qt.IsTrue)
	// The zone is evacuated again.
	f.evacuated(1, 7, true)
	f.evacuated(2, 6, false)
	f.Assert(f.acceptsStart(2, "c"), qt.IsFalse)
}

// Guards against a zone that stays evacuated because the entry whose state the agent has ended
// before it could tell of the restoration.
func TestEntryEndsWhileTheZoneIsEvacuated(t *testing.T) {
	f := newFixtureWithTwoEntries(t)
	// It has read the whole table late, so that its version is higher than that of the row.
	f.evacuated(1, 90, true)
	f.s.EntryDisconnected(f.now, 1, "killed")
	f.evacuated(2, 50, true)
	f.Assert(f.acceptsStart(2, "a"), qt.IsFalse)
	f.evacuated(2, 100, false)
	f.Assert(f.acceptsStart(2, "b"), qt.IsTrue)
}

// Guards against a worker that restarts and gets tasks in a zone that is still evacuated, and
// against one that comes back in another zone and gets none.
func TestWorkerRestartsInAnEvacuatedZone(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		f := newFixtureWithTwoEntries(t)
		worker := announcement(7, false)
		worker.Zone, worker.Sequence = "a", 1
		f.Assert(f.announce(worker), qt.IsTrue)
		f.evacuated(1, 5, true)
		former := f.s.workerRevision
		f.now += ms
		f.answerRenewalOf(9)
		again := announcement(9, false)
		again.Zone = zone
		f.Assert(f.announce(again), qt.IsTrue)
		f.takeActions()
		f.answerRenewalOf(9)
		f.Assert(f.acceptsStart(2, "j"), qt.Equals, zone == "b")
		if zone == "b" {
			// Messages that were under way are about the former zone, whose version may be that
			// of the present one's state, or higher.
			f.evacuated(1, 5, false)
			for _, version := range []uint64{5, 6} {
				f.sendCommands(2, &link.Commands{Evacuation: link.Evacuation{Version: version, Evacuated: true, WorkerRevision: former}})
			}
			f.Assert(f.acceptsStart(2, "k"), qt.IsTrue)
			f.evacuated(1, 6, true)
			f.Assert(f.acceptsStart(2, "l"), qt.IsFalse)
		}
	}
}

// Guards against an agent that restarts and takes starts before it knows that its zone is
// evacuated, although an entry has told it: its worker may not have announced itself yet.
func TestAgentRestartsInAnEvacuatedZone(t *testing.T) {
	f := newFixture(t)
	f.takeActions()
	f.s.EntryConnected(f.now, 1, link.Hello{Entry: "e1", Incarnation: 11})
	f.evacuated(1, 5, true)
	stored := announcement(7, false)
	stored.Zone = "a"
	f.s.RestoreWorker(f.now, stored)
	f.answerRenewal()
	f.Assert(f.s.accepting(), qt.IsTrue)
	f.Assert(f.acceptsStart(1, "j"), qt.IsFalse)
}

// Load: the agent is frozen while its zone is evacuated, and the message that says so waits in
// its queue. Guards against starts by entries that don't know yet after the agent has dropped
// the connection of that message, or any connection, because of the freeze.
func TestZoneIsEvacuatedWhileTheAgentIsFrozen(t *testing.T) {
	f := newFixtureWithTwoEntries(t)
	f.now += 2 * time.Second
	f.evacuated(1, 5, true)
	f.Assert(f.closedConns, qt.HasLen, 2)
	f.s.EntryConnected(f.now, 3, link.Hello{Entry: "e2", Incarnation: 12})
	// The worker may have restarted during the freeze: starts need a renewal sent after it.
	f.now += 2 * ms
	f.answerRenewal()
	f.Assert(f.s.accepting(), qt.IsTrue)
	f.Assert(f.acceptsStart(3, "a"), qt.IsFalse)
	f.evacuated(3, 7, false)
	f.evacuated(1, 6, true)
	f.Assert(f.acceptsStart(3, "b"), qt.IsTrue)
}

// Guards against a log line for each message of each entry.
func TestEvacuationIsLoggedOnce(t *testing.T) {
	f := newFixtureWithTwoEntries(t)
	lines := 0
	for _, e := range []link.Evacuation{{Version: 4}, {Version: 5, Evacuated: true}, {Version: 5, Evacuated: true}, {Version: 6, Evacuated: true}, {Version: 7}, {Version: 7}} {
		e.WorkerRevision = f.s.workerRevision
		f.receive(1, &link.Commands{Evacuation: e})
		f.receive(2, &link.Commands{Evacuation: e})
		lines += len(f.s.TakeActions(f.now).LogLines)
	}
	f.Assert(lines, qt.Equals, 2)
}

// Guards against an announcement of another writer that lacks the zone and ends the evacuation of
// the worker's zone.
func TestAnnouncementWithoutAZoneChangesNothing(t *testing.T) {
	f := newReadyFixture(t)
	a := announcement(7, false)
	a.Zone, a.Sequence = "z1", 1
	f.Assert(f.announce(a), qt.IsTrue)
	f.evacuated(1, 5, true)
	odd := a
	odd.Zone, odd.Sequence = "", 2
	f.Assert(f.s.WorkerAnnounced(f.now, odd), qt.Equals, AnnouncementIgnored)
	f.Assert(f.acceptsStart(1, "a"), qt.IsFalse)
	a.Sequence = 2
	f.Assert(f.announce(a), qt.IsTrue)
	f.Assert(f.acceptsStart(1, "b"), qt.IsFalse)
}
