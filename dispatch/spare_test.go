package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// newSpareHarness returns the load of these tests: 60 slots of speed 1 are full, of which one
// runs a task of this entry, and four slots of a worker of the given speed are free. A job of
// 200 ms can be on time on workers whose speed is about 0.55 or more.
func newSpareHarness(t *testing.T, slowSpeed float64) *harness {
	h := newHarness(t)
	h.addWorker("fast", 60, 1)
	h.mustAccept(h.newLessUrgentJob("running", 1, 200*ms))
	start := h.takeStarts()["fast"][0]
	h.report("fast", 0, 1, &link.Report{Answers: []link.StartAnswer{started(start)}})
	h.addWorker("slow", 4, slowSpeed)
	return h
}

func (h *harness) newLessUrgentJob(id string, tasks int, estimate time.Duration) Job {
	j := h.newJob(id, tasks, estimate)
	j.Priority = highestPriority + 1
	return j
}

// waitUntilLate submits a job, lets it wait until it is late, and submits another one that can
// be on time, which has the late one refused unless it starts. It returns the starts.
func (h *harness) waitUntilLate(id string, tasks int) map[string][]link.Start {
	h.mustAccept(h.newLessUrgentJob(id, tasks, 200*ms))
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	h.now += 190 * ms
	// Without a rate, the queue doesn't count as too long for the other one.
	h.s.Cancel(h.now, "running", "the caller has gone")
	h.mustAccept(h.newLessUrgentJob("other", 1, 200*ms))
	h.s.Tick(h.now)
	return h.takeStarts()
}

// Load: the fast workers are full with jobs that are on time, and jobs that have become late
// are refused while the slow workers are idle, where no job could be on time.
func TestLateJobRunsOnSpareWorker(t *testing.T) {
	h := newSpareHarness(t, 0.3)
	starts := h.waitUntilLate("a", 2)
	h.Assert(starts["slow"], qt.HasLen, 2)
	h.Assert(starts, qt.HasLen, 1)
	h.Assert(starts["slow"][0].Task.Job, qt.Equals, "a")
	h.Assert(h.s.Stats().SpareJobs, qt.Equals, int64(1))
	h.Assert(h.answers["a"] == nil, qt.IsTrue)
}

// A late job must not start on a worker unless all of it ends there before its cutoff, it
// leaves the reserve for urgent jobs, and no job of an active queue could be on time there.
func TestLateJobIsRefusedWithoutSpareCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		speed   float64
		tasks   int
		prepare func(h *harness)
	}{
		"a job could be on time there":  {speed: 0.5, tasks: 2},
		"it would end after its cutoff": {speed: 0.25, tasks: 2},
		"one task finds no room":        {speed: 0.3, tasks: 5},
		"a queue of short jobs is active": {speed: 0.3, tasks: 2, prepare: func(h *harness) {
			j := h.newLessUrgentJob("short", 1, 20*ms)
			j.Queue = "short jobs"
			h.s.Submit(h.now, j)
			h.s.Cancel(h.now, "short", "the caller has gone")
		}},
		"urgent jobs need the capacity": {speed: 0.3, tasks: 1, prepare: func(h *harness) {
			j := h.newLessUrgentJob("urgent", 1, 200*ms)
			j.Queue = "urgent jobs"
			h.s.lastUrgent["service"] = h.now
			h.s.Submit(h.now, j)
			h.s.Cancel(h.now, "urgent", "the caller has gone")
		}},
		"the worker has recovered": {speed: 0.3, tasks: 2, prepare: func(h *harness) { h.report("slow", 4, 0.5, &link.Report{}) }},
		"the entry has just started": {speed: 0.3, tasks: 2, prepare: func(h *harness) {
			// After the warm-up, which ends before all active queues are known.
			h.s.opts.StartedAt = h.now - warmUpPeriod
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSpareHarness(t, c.speed)
			if c.prepare != nil {
				c.prepare(h)
			}
			h.takeStarts()
			h.Assert(h.waitUntilLate("a", c.tasks), qt.HasLen, 0)
			h.Assert(h.answers["a"], qt.Not(qt.IsNil))
			h.Assert(h.answers["a"].Ran, qt.Equals, api.RanNo)
		})
	}
}

// A queue that has had no job for some seconds must not keep late jobs from slow workers.
func TestQueueCeasesToBeActive(t *testing.T) {
	h := newSpareHarness(t, 0.3)
	short := h.newLessUrgentJob("short", 1, 20*ms)
	short.Queue = "short jobs"
	h.s.Submit(h.now, short)
	h.s.Cancel(h.now, "short", "the caller has gone")
	h.takeStarts()
	for range 4 {
		h.now += activeQueuePeriod / 2
		h.s.Submit(h.now, h.newLessUrgentJob("steady", 2, 200*ms))
		h.s.Cancel(h.now, "steady", "the caller has gone")
		h.s.Tick(h.now)
	}
	h.takeStarts()
	h.Assert(h.waitUntilLate("a", 2)["slow"], qt.HasLen, 2)
}

// Load: the queue is so long that a new job can't be on time, while slow workers are idle. It
// must be accepted as a late job and start there, and explain must say so.
func TestJobIsAcceptedAsLate(t *testing.T) {
	h := newSpareHarness(t, 0.3)
	h.mustAccept(h.newLessUrgentJob("waits", 2, 200*ms))
	h.takeStarts()
	e := h.s.Explain(h.now, h.newLessUrgentJob("a", 2, 200*ms))
	h.Assert(e.Decision, qt.Equals, Placed)
	h.Assert(e.Class, qt.Equals, "late")
	h.Assert(e.OnTime, qt.IsFalse)
	for _, view := range e.Tasks {
		h.Assert(view.Worker, qt.Equals, "slow")
		h.Assert(view.Rule, qt.Equals, "late job, on a worker that is too slow for jobs on time")
		h.Assert(view.Candidates[0].Chosen, qt.IsTrue)
		h.Assert(view.Candidates[1].Excluded, qt.Equals, "no room")
	}
	h.mustAccept(h.newLessUrgentJob("a", 2, 200*ms))
	h.Assert(h.takeStarts()["slow"], qt.HasLen, 2)
	h.mustAccept(h.newLessUrgentJob("b", 2, 200*ms))
	// The slow worker is full now.
	v := h.s.Submit(h.now, h.newLessUrgentJob("c", 2, 200*ms))
	h.Assert(v, qt.Not(qt.IsNil))
	h.Assert(v.Message, qt.Equals, "the queue is too long to answer in time")
}

// A task that was placed on a slow worker as late must not take the capacity of a fast one
// that becomes free, if it would be late there too.
func TestLateTaskStaysOnSpareWorker(t *testing.T) {
	h := newSpareHarness(t, 0.3)
	start := h.waitUntilLate("a", 1)["slow"][0]
	h.report("slow", 3, 0.3, &link.Report{Answers: []link.StartAnswer{started(start)}})
	h.now += 150 * ms
	h.report("fast", 1, 1, &link.Report{})
	h.report("slow", 3, 0.3, &link.Report{Progress: []link.Progress{{Task: start.Task, Attempt: start.Attempt, Percent: 20, RemainingMS: 520}}})
	for _, c := range h.takeActions() {
		h.Assert(c.Stops, qt.HasLen, 0)
	}
}

// Where no worker is slow, decisions must be those that are made without spare workers, also
// under load.
func TestNothingChangesWithoutSlowWorkers(t *testing.T) {
	for seed := range uint64(5) {
		p := newLoadedPair(t, seed)
		p.both[1].opts.Policy.SpareSpeedShare = 0
		waiting := 0
		for range 400 {
			p.step()
			sub := p.newJob()
			p.each(func(s *Scheduler) { s.Submit(p.now, sub) })
			waiting += len(p.both[0].waiting)
			for id, j := range p.both[0].jobs {
				other := p.both[1].jobs[id]
				p.Assert(other, qt.Not(qt.IsNil))
				for i, task := range j.tasks {
					p.Assert(fmt.Sprint(task.phase, task.attempt), qt.Equals, fmt.Sprint(other.tasks[i].phase, other.tasks[i].attempt))
					if task.worker != nil {
						p.Assert(task.worker.name, qt.Equals, other.tasks[i].worker.name)
					}
				}
			}
		}
		p.Assert(len(p.both[0].jobs), qt.Equals, len(p.both[1].jobs))
		p.Assert(waiting > 0, qt.IsTrue)
	}
}

// Load: single estimates are off by 40% and a few jobs of a queue are much shorter. The
// speed that a queue requires must not fall with the errors, but with the short jobs.
func TestRequiredSpeedOfQueue(t *testing.T) {
	for name, c := range map[string]struct {
		estimates []time.Duration
		low, high float64
	}{
		"one job, perhaps longer than it runs": {[]time.Duration{200 * ms}, 0.52, 0.55},
		"errors of 40%":                        {[]time.Duration{120 * ms, 280 * ms, 200 * ms, 160 * ms, 240 * ms, 200 * ms, 130 * ms, 270 * ms, 200 * ms, 200 * ms}, 0.53, 0.56},
		"one short job":                        {[]time.Duration{200 * ms, 200 * ms, 200 * ms, 20 * ms, 200 * ms, 200 * ms, 200 * ms, 200 * ms, 200 * ms, 200 * ms}, 0.3, 0.37},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a := queueActivity{}
			for _, estimate := range c.estimates {
				a.current.add(newJob(h.newLessUrgentJob("a", 1, estimate)))
			}
			h.Assert(a.requiredSpeed() > c.low && a.requiredSpeed() < c.high, qt.IsTrue, qt.Commentf("%v", a.requiredSpeed()))
		})
	}
}

// Load: more late jobs of one service wait than its slow workers have room for, or late jobs
// wait for a label that none of them has. Late jobs of another service, or without a label,
// must not be refused for this while their slow worker is idle.
func TestLateJobsWithoutRoomRefuseNoOthers(t *testing.T) {
	for name, prepare := range map[string]func(j *Job){
		"other service": func(j *Job) { j.Service = "other service" },
		"label":         func(j *Job) { j.Steps[0].RequiredLabel = "gpu" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newSpareHarness(t, 0.3)
			// Without a rate, no queue counts as too long.
			h.s.Cancel(h.now, "running", "the caller has gone")
			h.addWorkerOfOtherService("other fast", 60, 0, 1)
			h.addWorkerOfOtherService("other slow", 4, 1, 0.3)
			// One that can be on time has late ones of its service refused.
			j := h.newLessUrgentJob("on time", 1, 2*time.Second)
			j.Service, j.Queue = "other service", "long jobs"
			h.mustAccept(j)
			for i := range 2 * maxPlacementMisses {
				j := h.newLessUrgentJob(fmt.Sprintf("A%02d", i), 2, 200*ms)
				j.ReceivedAt -= ms
				prepare(&j)
				h.mustAccept(j)
			}
			h.Assert(h.waitUntilLate("a", 2)["slow"], qt.HasLen, 2)
		})
	}
}

// addWorkerOfOtherService adds a worker with the given numbers of slots and free ones.
func (h *harness) addWorkerOfOtherService(name string, capacity, free int, speed float64) {
	h.s.AgentConnected(h.now, name, 1)
	h.report(name, free, speed, &link.Report{Worker: &link.WorkerState{
		ID: "life-" + name, Service: "other service", Capacity: link.Resources{MilliCPU: int64(capacity) * 4000, MemoryMB: 1 << 20},
	}})
}

// Load: more jobs of one service wait than placeWaiting looks at in a row, or jobs wait for a
// label that no worker has. A job of another service, or without a label, must not wait for
// them while its worker is idle.
func TestJobsWithoutRoomDelayNoOthers(t *testing.T) {
	for name, prepare := range map[string]func(j *Job){
		"other service": func(j *Job) { j.Service = "other service" },
		"label":         func(j *Job) { j.Steps[0].RequiredLabel = "gpu" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("idle", 1, 1)
			h.addWorkerOfOtherService("other full", 4, 0, 1)
			for i := range 2 * maxPlacementMisses {
				j := h.newLessUrgentJob(fmt.Sprintf("A%02d", i), 1, 200*ms)
				j.ReceivedAt -= ms
				prepare(&j)
				h.mustAccept(j)
			}
			h.mustAccept(h.newLessUrgentJob("a", 1, 200*ms))
			h.Assert(h.takeStarts()["idle"], qt.HasLen, 1)
		})
	}
}
