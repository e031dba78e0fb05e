package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// leave reports that a worker of speed 1 drains and stays for a time.
func (h *harness) leave(name string, stays time.Duration, r *link.Report) {
	r.Speed, r.LeavesMS = 1, stays.Milliseconds()
	h.s.AgentReported(h.now, name, r)
}

// startOn starts a job of one task for each estimate on a worker, the only one so far, and
// returns the starts in the order of the jobs. Their callers wait for the given time.
func (h *harness) startOn(name string, wait time.Duration, estimates ...time.Duration) []link.Start {
	h.Helper()
	r := &link.Report{}
	var starts []link.Start
	for i, estimate := range estimates {
		j := h.newJob(fmt.Sprintf("%s-%d", name, i), 1, estimate)
		j.Deadline = h.now + wait
		h.mustAccept(j)
		s := h.takeStarts()[name]
		h.Assert(s, qt.HasLen, 1)
		starts = append(starts, s[0])
		r.Answers = append(r.Answers, started(s[0]))
	}
	h.report(name, 8-len(starts), 1, r)
	h.takeActions()
	h.commands = nil
	return starts
}

// takeStops returns the jobs whose tasks are stopped, in the order of the stops.
func (h *harness) takeStops() (jobs []string) {
	h.takeActions()
	for _, c := range h.commands {
		for _, s := range c.Stops {
			jobs = append(jobs, s.Task.Job)
		}
	}
	h.commands = nil
	return jobs
}

// Load pattern: a worker with eight tasks announces that it leaves in 2.2 s. Those that run
// longer must move at once, the others stay. None may start elsewhere before it has ended.
func TestLongTasksMoveFromALeavingWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 12*time.Second, 200*ms, 3000*ms, 900*ms, 2900*ms, 2000*ms, 4000*ms, 100*ms, 1500*ms)
	h.addWorker("w2", 8, 1)
	h.now += 20 * ms
	h.leave("w1", 2200*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.DeepEquals, []string{"w1-3", "w1-1", "w1-5"})
	h.Assert(h.s.Stats().LeaveMoves, qt.Equals, int64(3))
	h.advance(40 * ms)
	h.Assert(h.takeStarts(), qt.HasLen, 0)

	h.leave("w1", 2160*ms, &link.Report{Ends: []link.End{ended(starts[3], link.Stopped), ended(starts[1], link.Done)}})
	again := h.takeStarts()
	h.Assert(again["w2"], qt.HasLen, 1)
	h.Assert(again["w2"][0].Task, qt.Equals, starts[3].Task)
	h.Assert(again["w2"][0].Attempt, qt.Equals, starts[3].Attempt+1)

	// The worker leaves: what was still being stopped starts elsewhere, and counts as lost.
	h.leave("w1", ms, &link.Report{Ends: []link.End{ended(starts[5], link.WorkerLost)}})
	h.Assert(h.takeStarts()["w2"], qt.HasLen, 1)
	h.Assert(h.s.Stats().LeaveLosses, qt.Equals, int64(1))
}

// Load pattern: a worker leaves while the others are full. Its tasks must go on there until
// one of the others has free capacity, and then no more of them be stopped than fit. Those
// come first that can still be on time.
func TestTasksOfALeavingWorkerStayWithoutFreeCapacity(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 5*time.Second, 1500*ms, 1400*ms, 1300*ms)
	h.addWorker("w2", 8, 1)
	h.report("w2", 0, 1, &link.Report{})
	h.advance(900 * ms)
	h.leave("w1", 100*ms, &link.Report{Progress: []link.Progress{
		{Task: starts[0].Task, Attempt: 1, Percent: 40, RemainingMS: 600}, {Task: starts[1].Task, Attempt: 1, Percent: 40, RemainingMS: 600}, {Task: starts[2].Task, Attempt: 1, Percent: 40, RemainingMS: 600},
	}})
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.advance(60 * ms)
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.report("w2", 2, 1, &link.Report{})
	h.advance(60 * ms)
	h.Assert(h.takeStops(), qt.HasLen, 2)
	for range 5 {
		h.advance(20 * ms)
		h.Assert(h.takeStops(), qt.HasLen, 0, qt.Commentf("the free capacity is promised"))
	}
}

// Guards against a task that is stopped for capacity which another one gets in the same pass:
// one that was moved before and whose end has just been reported.
func TestCapacityGoesToWaitingTasksBeforeOthersMove(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 5*time.Second, 1500*ms, 1400*ms)
	h.addWorker("w2", 1, 1)
	h.now += 20 * ms
	h.leave("w1", 300*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.DeepEquals, []string{"w1-1"})
	h.now += leaveReviewInterval
	h.leave("w1", 240*ms, &link.Report{Ends: []link.End{ended(starts[1], link.Stopped)}})
	h.takeActions()
	h.Assert(h.commands, qt.HasLen, 1)
	h.Assert(h.commands[0].Worker, qt.Equals, "w2")
	h.Assert(h.commands[0].Starts, qt.HasLen, 1)
}

// Guards against two moves to the same capacity: the first task has ended, but waits a little
// for a faster worker.
func TestCapacityIsKeptForAMovedTaskThatWaits(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 5*time.Second, 1000*ms, 1000*ms)
	h.addWorker("w2", 1, 0.5)
	h.addWorker("w3", 1, 1)
	h.report("w3", 0, 1, &link.Report{})
	h.now += 20 * ms
	h.leave("w1", 300*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.DeepEquals, []string{"w1-0"})
	h.leave("w1", 300*ms, &link.Report{Ends: []link.End{ended(starts[0], link.Stopped)}})
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	h.now += leaveReviewInterval
	h.s.Tick(h.now)
	h.Assert(h.takeStops(), qt.HasLen, 0)
}

// Guards against a task that is stopped for a worker on which it may not start: as many of its
// step as are permitted there are about to.
func TestMovesKeepToTheTasksPermittedPerWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	j := h.newJob("a", 3, 1000*ms)
	j.Deadline = h.now + 5*time.Second
	j.Steps[0].MaxPerWorker = 3
	h.mustAccept(j)
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 3)
	h.report("w1", 5, 1, &link.Report{Answers: []link.StartAnswer{started(starts[0]), started(starts[1]), started(starts[2])}})
	h.addWorker("w2", 8, 1)
	h.s.jobs["a"].Steps[0].MaxPerWorker = 1
	h.now += 20 * ms
	h.leave("w1", 300*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.HasLen, 1)
	h.advance(leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 0)
	// The moved one runs there now.
	h.leave("w1", 240*ms, &link.Report{Ends: []link.End{ended(starts[0], link.Stopped)}})
	h.Assert(h.takeStarts()["w2"], qt.HasLen, 1)
	h.advance(leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.addWorker("w3", 8, 1)
	h.advance(leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 1)
}

// Guards against moves by which a task comes in later or not at all: one whose progress shows
// that it ends in time, one that misses the announced time by little and would take longer
// elsewhere, one whose caller doesn't wait for the end elsewhere, and one that was moved
// as often as is permitted; and against the loss of one that stands still.
func TestWhichTasksOfALeavingWorkerStay(t *testing.T) {
	for name, tc := range map[string]struct {
		wait     time.Duration
		progress link.Progress
		prepare  func(h *harness)
		moves    bool
	}{
		"by its estimate it takes too long":            {wait: 5 * time.Second, moves: true},
		"the progress shows that it ends in time":      {wait: 5 * time.Second, progress: link.Progress{Percent: 60, RemainingMS: 400}},
		"the progress shows that it takes too long":    {wait: 5 * time.Second, progress: link.Progress{Percent: 20, RemainingMS: 900}, moves: true},
		"it nearly makes it and would end later":       {wait: 5 * time.Second, progress: link.Progress{Percent: 50, RemainingMS: 520}},
		"it stands still":                              {wait: 5 * time.Second, progress: link.Progress{Percent: 50, RemainingMS: 100, IdleMS: 300}, moves: true},
		"its caller doesn't wait for an end elsewhere": {wait: 1500 * ms, progress: link.Progress{Percent: 20, RemainingMS: 900}},
		"it was moved as often as is permitted": {wait: 5 * time.Second, progress: link.Progress{Percent: 20, RemainingMS: 900}, prepare: func(h *harness) {
			h.s.jobs["w1-0"].tasks[0].moves = maxMoves
		}},
		"the worker doesn't say how long it stays": {wait: 5 * time.Second, progress: link.Progress{Percent: 20, RemainingMS: 900}, prepare: func(h *harness) {
			h.leave("w1", 0, &link.Report{})
			h.s.Tick(h.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1", 8, 1)
			starts := h.startOn("w1", tc.wait, 1200*ms)
			h.addWorker("w2", 8, 1)
			h.advance(400 * ms)
			h.takeStops()
			r := &link.Report{}
			if tc.progress.Percent > 0 {
				tc.progress.Task, tc.progress.Attempt = starts[0].Task, 1
				r.Progress = []link.Progress{tc.progress}
			}
			h.leave("w1", 500*ms, r)
			if tc.prepare != nil {
				tc.prepare(h)
			}
			h.Assert(len(h.takeStops()) > 0, qt.Equals, tc.moves)
		})
	}
}

// Guards against a task that is stopped because its agent or the link is slow: that no report
// has come for longer than stallTimeout doesn't mean that the task stands still.
func TestMissingReportsAreNoStall(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 5*time.Second, 1000*ms)
	h.addWorker("w2", 8, 1)
	h.advance(300 * ms)
	h.leave("w1", 1200*ms, &link.Report{Progress: []link.Progress{{Task: starts[0].Task, Attempt: 1, Percent: 30, RemainingMS: 700}}})
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.advance(stallTimeout + leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 0)
	// A report that says so does.
	h.leave("w1", 890*ms, &link.Report{Progress: []link.Progress{{Task: starts[0].Task, Attempt: 1, Percent: 30, RemainingMS: 700, IdleMS: 310}}})
	h.advance(leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 1)
}

// Guards against a task that is stopped although it ends in time, because its agent was out of
// reach for a while: the answer to the claim doesn't mean that the run begins anew.
func TestProgressBeforeAReconnectCounts(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	starts := h.startOn("w1", 5*time.Second, 1000*ms, 800*ms)
	h.addWorker("w2", 8, 1)
	h.advance(600 * ms)
	// The first task has reported progress, the second has not.
	h.leave("w1", 600*ms, &link.Report{Progress: []link.Progress{{Task: starts[0].Task, Attempt: 1, Percent: 60, RemainingMS: 400}}})
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.s.AgentDisconnected(h.now, "w1", "timeout")
	h.now += 300 * ms
	h.s.AgentConnected(h.now, "w1", 1)
	h.takeStops()
	h.leave("w1", 300*ms, &link.Report{Answers: []link.StartAnswer{started(starts[0]), started(starts[1])}})
	h.Assert(h.takeStops(), qt.HasLen, 0)
}

// Guards against losses with leaving workers that aren't counted since the agent hears of the
// restart before it knows how the runs ended, and against counting those of a worker that stays.
func TestLossesWithLeavingWorkersAreCounted(t *testing.T) {
	for name, tc := range map[string]struct {
		accepting bool
		want      int64
	}{"the worker restarts": {false, 1}, "the worker stays after all": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1", 8, 1)
			starts := h.startOn("w1", 5*time.Second, 1000*ms)
			h.leave("w1", 100*ms, &link.Report{})
			h.takeStops()
			h.now += 150 * ms
			h.leave("w1", 0, &link.Report{Accepting: tc.accepting})
			h.leave("w1", 0, &link.Report{Ends: []link.End{ended(starts[0], link.WorkerLost)}})
			h.Assert(h.s.Stats().LeaveLosses, qt.Equals, tc.want)
		})
	}
}

// Guards against two moves to the same capacity, one of them from a worker that is only slow.
func TestCapacityIsKeptForTasksOfSlowWorkers(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	slow := h.startOn("w1", 5*time.Second, 300*ms)[0]
	h.report("w1", 0, 1, &link.Report{})
	h.addWorker("w2", 8, 1)
	h.startOn("w2", 5*time.Second, 1000*ms)
	h.report("w2", 0, 1, &link.Report{})
	h.addWorker("w3", 1, 1)
	h.advance(200 * ms)
	h.report("w1", 0, 0.15, &link.Report{Progress: []link.Progress{{Task: slow.Task, Attempt: slow.Attempt, Percent: 10, RemainingMS: 1800}}})
	h.Assert(h.takeStops(), qt.DeepEquals, []string{"w1-0"})
	h.leave("w2", 300*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.HasLen, 0)
}

// Guards against two rules that decide on a task of a leaving worker: one that is late but ends
// before the worker leaves stays.
func TestLateTaskOfALeavingWorkerStays(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	s := h.startOn("w1", 5*time.Second, 300*ms)[0]
	h.addWorker("w2", 8, 1)
	h.advance(200 * ms)
	r := &link.Report{Speed: 0.15, LeavesMS: 2500, Progress: []link.Progress{{Task: s.Task, Attempt: s.Attempt, Percent: 10, RemainingMS: 1800}}}
	h.s.AgentReported(h.now, "w1", r)
	h.Assert(h.takeStops(), qt.HasLen, 0)
}

// Guards against a moved task that goes on, and is moved a second time, after its agent was
// out of reach: the stop may have been lost with the connection.
func TestMovedTaskIsStoppedAgainAfterAReconnect(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	s := h.startOn("w1", 5*time.Second, 1000*ms)[0]
	h.addWorker("w2", 8, 1)
	h.now += 20 * ms
	h.leave("w1", 600*ms, &link.Report{})
	h.Assert(h.takeStops(), qt.HasLen, 1)
	h.s.AgentDisconnected(h.now, "w1", "timeout")
	h.now += 100 * ms
	h.s.AgentConnected(h.now, "w1", 1)
	h.takeStops()
	h.leave("w1", 500*ms, &link.Report{Answers: []link.StartAnswer{started(s)}})
	h.Assert(h.takeStops(), qt.HasLen, 1)
	h.advance(2 * leaveReviewInterval)
	h.Assert(h.takeStops(), qt.HasLen, 0)
	h.Assert(h.s.Stats().LeaveMoves, qt.Equals, int64(1))
	h.leave("w1", 380*ms, &link.Report{Ends: []link.End{ended(s, link.Stopped)}})
	h.Assert(h.takeStarts()["w2"], qt.HasLen, 1)
}

// Guards against starts on a leaving worker, and against a task that runs twice because its
// start had no answer yet when the notice came.
func TestUnansweredStartsOnALeavingWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("sent", 2, 800*ms))
	sent := h.takeStarts()["w1"]
	h.mustAccept(h.newJob("unsent", 1, 800*ms))
	h.addWorker("w2", 8, 1)
	h.leave("w1", 300*ms, &link.Report{})
	first := h.takeStarts()
	h.Assert(first["w1"], qt.HasLen, 0)
	h.Assert(first["w2"], qt.HasLen, 1)
	h.Assert(first["w2"][0].Task.Job, qt.Equals, "unsent")
	h.advance(60 * ms)
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	// One was refused, the other had been taken before.
	h.leave("w1", 240*ms, &link.Report{Answers: []link.StartAnswer{started(sent[0]), {Task: sent[1].Task, Attempt: 1, Result: link.Refused}}})
	h.Assert(h.takeStarts()["w2"], qt.HasLen, 1)
	h.advance(60 * ms)
	h.Assert(h.takeStops(), qt.DeepEquals, []string{"sent"})
}

// Load pattern: a tenth of the workers leaves at the crest, when the others have capacity for
// a quarter of their tasks. As many are moved as fit, those first that can still be on time,
// and the others go on. Half of the jobs are late already.
func TestATenthOfTheWorkersLeavesAtTheCrest(t *testing.T) {
	h := newHarness(t)
	h.s.opts.MaxWaitingJobs = 1000
	const workers, leaving, free = 40, 4, 1
	var all []link.Start
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		h.addWorker(name, 8, 1)
		if i >= leaving {
			h.report(name, 0, 1, &link.Report{})
			continue
		}
		estimates := make([]time.Duration, 8)
		for k := range estimates {
			estimates[k] = time.Duration(1000+100*k) * ms
		}
		all = append(all, h.startOn(name, 6*time.Second, estimates...)...)
		h.report(name, 0, 1, &link.Report{})
	}
	h.advance(100 * ms)
	for i := leaving; i < leaving+8; i++ {
		h.report(fmt.Sprintf("w%02d", i), free, 1, &link.Report{})
	}
	h.takeStops()
	for i, s := range all {
		if i%2 == 0 {
			h.s.jobs[s.Task.Job].dueAt = h.now
		}
	}
	for i := range leaving {
		h.leave(fmt.Sprintf("w%02d", i), 300*ms, &link.Report{})
	}
	stops := h.takeStops()
	h.Assert(stops, qt.HasLen, 8)
	for _, id := range stops {
		j := h.s.jobs[id]
		h.Assert(h.now+moveCost+j.Steps[0].Estimate <= j.dueAt, qt.IsTrue, qt.Commentf(id))
	}
	// With capacity for 20 tasks, all of those that can be on time move.
	for i := leaving + 8; i < leaving+20; i++ {
		h.report(fmt.Sprintf("w%02d", i), free, 1, &link.Report{})
	}
	h.advance(leaveReviewInterval)
	onTime, late := 0, 0
	for _, id := range h.takeStops() {
		if h.s.jobs[id].dueAt > h.now {
			onTime++
		} else {
			late++
		}
	}
	h.Assert([]int{onTime, late}, qt.DeepEquals, []int{8, 4})
	// When they have ended, each starts once elsewhere.
	stopped := map[string]bool{}
	for _, id := range stops {
		stopped[id] = true
	}
	for i := range leaving {
		name := fmt.Sprintf("w%02d", i)
		r := &link.Report{}
		for _, s := range all {
			if stopped[s.Task.Job] && strings.HasPrefix(s.Task.Job, name+"-") {
				r.Ends = append(r.Ends, ended(s, link.Stopped))
			}
		}
		h.leave(name, 250*ms, r)
	}
	n := 0
	for name, starts := range h.takeStarts() {
		h.Assert(name >= "w04" && len(starts) == 1, qt.IsTrue)
		n += len(starts)
	}
	h.Assert(n, qt.Equals, 8)
}
