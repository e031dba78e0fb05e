package dispatch

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// newZonesHarness returns a harness with w1 in zone a, w2 in zone b.
func newZonesHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.addWorkerInZone("a", "w1", 8, 1)
	h.addWorkerInZone("b", "w2", 8, 1)
	h.takeActions()
	return h
}

// notifiedWorkers returns the workers to which the pending commands go.
func (h *harness) notifiedWorkers() (names []string) {
	for _, c := range h.takeActions() {
		names = append(names, c.Worker)
	}
	return names
}

func (h *harness) evacuate(version uint64, zones ...string) {
	h.s.SetEvacuated(h.now, version, zones)
}

// mustRefuse submits a job that must be refused because of evacuated zones.
func (h *harness) mustRefuse(j Job) {
	h.Helper()
	v := h.s.Submit(h.now, j)
	h.Assert(v != nil, qt.IsTrue)
	h.Assert([]any{v.Ran, v.Reason, v.RetryAfter, v.Message}, qt.DeepEquals, []any{api.RanNo, api.ReasonOverload, 2 * time.Second, evacuationMessage})
}

// Guards against a start in an evacuated zone, whatever the load, also of a start that was
// placed and not sent yet; and against a worker that stays unused after the zone is restored.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	h := newZonesHarness(t)
	h.mustAccept(h.newJob("a", 8, 100*ms))
	h.evacuate(5, "a")
	starts := h.takeStarts()
	h.Assert(starts["w1"], qt.HasLen, 0)
	h.Assert(starts["w2"], qt.HasLen, 8)
	for _, st := range starts["w2"] {
		h.Assert(st.Attempt, qt.Equals, uint32(1))
	}
	h.mustAccept(h.newJob("b", 4, 100*ms))
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	total, _ := h.s.capacity("service")
	h.Assert(total, qt.Equals, int64(32000))
	h.evacuate(6)
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 4)
	h.Assert(h.s.workers["w1"].unconfirmed.MilliCPU, qt.Equals, int64(16000))
}

// Guards against a run that is stopped or lost because its zone is evacuated, and against one
// that a slow worker gives up in favour of a worker of an evacuated zone.
func TestRunsGoOnInAnEvacuatedZone(t *testing.T) {
	h := newZonesHarness(t)
	h.addWorkerInZone("c", "w3", 8, 0.1)
	h.evacuate(4, "b", "c")
	h.takeActions()
	h.mustAccept(h.newJob("a", 1, 300*ms))
	start := h.takeStarts()["w1"][0]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(start)}})
	h.evacuate(5, "a", "b", "c")
	h.now += 500 * ms
	// It is late here, and the idle worker of zone b would be much faster.
	h.report("w1", 7, 0.1, &link.Report{Progress: []link.Progress{{Task: start.Task, Attempt: start.Attempt, Percent: 10, RemainingMS: 1500}}})
	h.s.Tick(h.now)
	for _, c := range h.takeActions() {
		h.Assert(c.Stops, qt.HasLen, 0)
	}
	h.report("w1", 8, 1, &link.Report{Ends: []link.End{{Task: start.Task, Attempt: start.Attempt, Outcome: link.Done}}})
	h.takeActions()
	h.Assert(h.answers["a"].Outcome, qt.Equals, api.Complete)
}

// Guards against a state of an older version that replaces a newer one: a slow read, or
// another entry, may say what was so before the zone was evacuated, or restored, again.
func TestOlderEvacuationsHaveNoEffect(t *testing.T) {
	h := newZonesHarness(t)
	h.evacuate(5, "a")
	h.evacuate(4)
	h.evacuate(4, "b")
	h.Assert([]bool{h.s.workers["w1"].evacuated, h.s.workers["w2"].evacuated}, qt.DeepEquals, []bool{true, false})
	h.evacuate(6)
	h.evacuate(5, "a")
	h.Assert(h.s.workers["w1"].evacuated, qt.IsFalse)
	h.evacuate(7, "a")
	h.Assert(h.s.workers["w1"].evacuated, qt.IsTrue)
}

// Guards against an agent that is told late, or that is told of a zone of which it isn't: each
// is the last check of starts by entries that know less.
func TestAgentsAreToldOfTheirZoneAtOnce(t *testing.T) {
	h := newZonesHarness(t)
	h.s.setActive(h.now, h.s.workers["w1"], false)
	h.takeActions()
	h.evacuate(5, "a")
	h.Assert(h.notifiedWorkers(), qt.DeepEquals, []string{"w1"})
	h.Assert(h.s.Evacuation("w1"), qt.Equals, link.Evacuation{Version: 5, Evacuated: true})
	h.Assert(h.s.Evacuation("w2"), qt.Equals, link.Evacuation{Version: 5})
	h.evacuate(6, "a")
	h.Assert(h.notifiedWorkers(), qt.HasLen, 0)

	// The worker may have another zone when its agent is back: nothing is said before its report.
	h.s.AgentDisconnected(h.now, "w1", "killed")
	h.s.AgentConnected(h.now, "w1", 1)
	h.Assert(h.s.Evacuation("w1"), qt.Equals, link.Evacuation{})
	h.Assert(h.notifiedWorkers(), qt.HasLen, 0)
	state := h.s.workers["w1"].state
	h.report("w1", 8, 1, &link.Report{Worker: &state})
	h.Assert(h.notifiedWorkers(), qt.DeepEquals, []string{"w1"})

	// The agent may still have the state that was sent for its former zone.
	state.Zone, state.Revision = "c", 4
	h.report("w1", 8, 1, &link.Report{Worker: &state})
	h.Assert(h.notifiedWorkers(), qt.DeepEquals, []string{"w1"})
	h.Assert(h.s.Evacuation("w1"), qt.Equals, link.Evacuation{Version: 6, WorkerRevision: 4})
	h.evacuate(7)
	h.Assert(h.notifiedWorkers(), qt.HasLen, 0)
}

// Guards against a start by an entry that learns of a worker only after the evacuation.
func TestWorkerThatConnectsInAnEvacuatedZone(t *testing.T) {
	h := newHarness(t)
	h.evacuate(5, "a")
	h.addWorkerInZone("a", "w1", 8, 1)
	h.addWorkerInZone("b", "w2", 1, 1)
	h.mustAccept(h.newJob("a", 2, 100*ms))
	starts := h.takeStarts()
	h.Assert(starts["w1"], qt.HasLen, 0)
	h.Assert(starts["w2"], qt.HasLen, 1)
}

// Load: the operator evacuates all zones. Guards against callers who wait for nothing, a
// refusal that isn't true, and jobs that are still refused after the zones are restored.
func TestAllZonesEvacuated(t *testing.T) {
	h := newZonesHarness(t)
	h.mustAccept(h.newJob("started", 1, 100*ms))
	for worker, starts := range h.takeStarts() {
		h.report(worker, 7, 1, &link.Report{Answers: []link.StartAnswer{started(starts[0])}})
	}
	h.mustAccept(h.newJob("placed", 2, 100*ms))
	h.evacuate(5, "a", "b")
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	h.mustRefuse(h.newJob("refused", 1, 100*ms))
	h.s.Tick(h.now)
	h.takeActions()
	h.Assert(h.answers["placed"].Ran, qt.Equals, api.RanNo)
	h.Assert(h.answers["started"] == nil, qt.IsTrue)
	h.Assert(h.s.Stats().EvacuationRefusals, qt.Equals, int64(2))

	// Workers that are full or about to become active can still run the job in time.
	h.evacuate(6, "a")
	h.s.setActive(h.now, h.s.workers["w2"], false)
	h.mustAccept(h.newJob("waits", 1, 500*ms))
	h.s.Tick(h.now)
	h.takeActions()
	h.Assert(h.answers["waits"] == nil, qt.IsTrue)
	// A worker that stops accepting tasks may do so for a moment only.
	h.s.AgentReported(h.now, "w2", &link.Report{Speed: 1})
	h.now += h.s.opts.RestartDelay - ms
	h.s.Tick(h.now)
	h.takeActions()
	h.Assert(h.answers["waits"] == nil, qt.IsTrue)
	h.now += ms
	h.s.Tick(h.now)
	h.takeActions()
	h.Assert(h.answers["waits"].Ran, qt.Equals, api.RanNo)
	h.mustRefuse(h.newJob("drained", 1, 100*ms))
	h.Assert(h.s.Stats().EvacuationRefusals, qt.Equals, int64(4))
}

// Load: a zone is evacuated, and the connections to the workers of the others break for a
// moment. Guards against jobs that are refused because of the evacuation although those
// workers are back at once, and against jobs that wait for workers that stay away.
func TestOtherZonesAreCutOffForAMoment(t *testing.T) {
	h := newZonesHarness(t)
	h.evacuate(5, "a")
	h.now += 5000 * ms
	h.mustAccept(h.newJob("full", 8, 100*ms))
	h.takeActions()
	h.mustAccept(h.newJob("waits", 9, 100*ms))
	h.s.AgentDisconnected(h.now, "w2", "reset")
	h.now += 20 * ms
	h.s.Tick(h.now)
	h.takeActions()
	h.Assert(h.answers["waits"] == nil, qt.IsTrue)
	h.mustAccept(h.newJob("new", 1, 100*ms))
	h.now += h.s.opts.RestartDelay
	h.mustRefuse(h.newJob("away", 1, 100*ms))
	h.s.AgentConnected(h.now, "w2", 1)
	h.mustAccept(h.newJob("back", 1, 100*ms))
	h.Assert(h.s.Stats().EvacuationRefusals, qt.Equals, int64(1))
}

// Guards against jobs that wait until their deadline because the workers of the evacuated
// zones also drain or are disconnected.
func TestEvacuatedWorkersThatAreAway(t *testing.T) {
	for _, leave := range []func(h *harness, name string){
		func(h *harness, name string) { h.s.AgentReported(h.now, name, &link.Report{Speed: 1}) },
		func(h *harness, name string) { h.s.AgentDisconnected(h.now, name, "killed") },
	} {
		h := newZonesHarness(t)
		h.evacuate(5, "a", "b")
		h.now += 5000 * ms
		leave(h, "w1")
		leave(h, "w2")
		h.mustRefuse(h.newJob("refused", 1, 100*ms))
	}
}

// Guards against jobs that still wait for a worker that was removed from the directory.
func TestOnlyOtherWorkerIsRemoved(t *testing.T) {
	h := newZonesHarness(t)
	h.evacuate(5, "a")
	h.now += 5000 * ms
	h.s.AgentDisconnected(h.now, "w2", "killed")
	h.mustAccept(h.newJob("before", 1, 100*ms))
	h.s.RemoveAgent("w2")
	h.mustRefuse(h.newJob("after", 1, 100*ms))
}

// Guards against a task that waits until its deadline because the only workers with its label
// are in an evacuated zone, or because it is kept for a worker there that hasn't failed it.
func TestConstraintsAndEvacuation(t *testing.T) {
	h := newZonesHarness(t)
	h.s.AgentConnected(h.now, "w3", 1)
	h.report("w3", 8, 1, &link.Report{Worker: &link.WorkerState{Service: "service", Zone: "a", Labels: []string{"gpu"}, Capacity: link.Resources{MilliCPU: 32000}}})
	h.evacuate(5, "a")
	labelled := h.newJob("a", 1, 100*ms)
	labelled.Steps[0].RequiredLabel = "gpu"
	h.mustRefuse(labelled)
	h.mustAccept(h.newJob("b", 1, 100*ms))
	start := h.takeStarts()["w2"][0]
	h.report("w2", 7, 1, &link.Report{Answers: []link.StartAnswer{started(start)}})
	h.report("w2", 8, 1, &link.Report{Ends: []link.End{{Task: start.Task, Attempt: start.Attempt, Outcome: link.Failed}}})
	h.Assert(h.takeStarts()["w2"], qt.HasLen, 1)
}

// Load: a large fleet, of which the entry uses a part in its own zone. Guards against a zone
// that is evacuated and leaves too few active workers, and against evacuated workers that
// become active.
func TestOtherZonesBecomeActive(t *testing.T) {
	h := newHarness(t)
	h.s.opts.Zone = "a"
	for i := range 60 {
		h.addWorkerInZone(string(rune('a'+i%2)), "w"+string(rune('A'+i)), 1, 1)
	}
	for range 200 {
		h.now += 100 * ms
		h.s.Tick(h.now)
		h.takeActions()
	}
	active := func(zone string) (n int) {
		for _, w := range h.s.workersByName {
			if w.active && w.state.Zone == zone {
				n++
			}
		}
		return n
	}
	h.Assert([]int{active("a"), active("b")}, qt.DeepEquals, []int{16, 0})
	h.evacuate(5, "a")
	h.takeActions()
	h.Assert([]int{active("a"), active("b")}, qt.DeepEquals, []int{16, 16})
}

// Guards against an unnoticed spelling mistake in the operator's row, and against a line for
// each tick or each read.
func TestEvacuatedZoneWithoutWorkersIsLoggedOnce(t *testing.T) {
	h := newZonesHarness(t)
	var messages []string
	for n := range 30 {
		h.evacuate(uint64(n+1), "", "a", "nowhere")
		h.now += time.Second
		h.s.Tick(h.now)
		for _, l := range h.s.TakeActions(h.now).LogLines {
			messages = append(messages, l.Message)
		}
	}
	slices.Sort(messages)
	h.Assert(messages, qt.DeepEquals, []string{"evacuated zone has no worker", "zone evacuated", "zone evacuated"})
}
