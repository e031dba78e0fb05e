package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

const ms = time.Millisecond

var fourCores = link.Resources{MilliCPU: 4000, MemoryMB: 64}

// harness runs a scheduler with a simulated clock. Tests send the reports of the
// agents.
type harness struct {
	*qt.C
	s        *Scheduler
	now      time.Duration
	answers  map[string]*api.Verdict
	commands []Command
}

func newHarness(t *testing.T) *harness {
	return &harness{
		C: qt.New(t), now: time.Hour, answers: map[string]*api.Verdict{},
		s: New(Options{RestartDelay: 900 * ms, RackSlowdown: 1.5, Seed: 1, MaxWaitingJobs: 100}),
	}
}

func (h *harness) takeActions() []Command {
	out := h.s.TakeActions(h.now)
	for _, a := range out.Answers {
		h.answers[a.Job] = a.Verdict
	}
	h.commands = append(h.commands, out.Commands...)
	return out.Commands
}

// addWorker connects an agent whose worker has capacity for a number of tasks
// of four cores.
func (h *harness) addWorker(name string, capacity int, speed float64) {
	h.addWorkerInZone("", name, capacity, speed)
}

func (h *harness) addWorkerInZone(zone, name string, capacity int, speed float64) {
	h.s.AgentConnected(h.now, name, 1)
	h.report(name, capacity, speed, &link.Report{Worker: &link.WorkerState{
		ID: "life-" + name, Service: "service", Zone: zone, Capacity: link.Resources{MilliCPU: int64(capacity) * 4000, MemoryMB: 1 << 20},
	}})
}

// report sends a report of an agent whose worker has free capacity for a number
// of tasks of four cores.
func (h *harness) report(name string, free int, speed float64, r *link.Report) {
	r.Accepting, r.Speed = true, float32(speed)
	r.Free = link.Resources{MilliCPU: int64(free) * 4000, MemoryMB: 1 << 20}
	h.s.AgentReported(h.now, name, r)
}

func (h *harness) newJob(id string, tasks int, estimate time.Duration) Job {
	return Job{
		ID: id, Queue: "queue", Service: "service", ReceivedAt: h.now, Deadline: h.now + 2400*ms, MaxAttempts: 2, LatencyFactor: 1.6, LatencyAllowance: 60 * ms,
		Steps: []Step{{Tasks: tasks, Need: fourCores, Estimate: estimate}},
	}
}

// takeStarts returns the starts issued since the last call, by worker.
func (h *harness) takeStarts() map[string][]link.Start {
	h.takeActions()
	all := map[string][]link.Start{}
	for _, c := range h.commands {
		if len(c.Starts) > 0 {
			all[c.Worker] = append(all[c.Worker], c.Starts...)
		}
	}
	h.commands = nil
	return all
}

func (h *harness) mustAccept(j Job) {
	h.Helper()
	h.Assert(h.s.Submit(h.now, j) == nil, qt.IsTrue)
}

// advance moves the clock forward in ticks of 20 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 20 * ms
		h.s.Tick(h.now)
	}
}

func started(s link.Start) link.StartAnswer {
	return link.StartAnswer{Task: s.Task, Attempt: s.Attempt, Result: link.Started}
}

func ended(s link.Start, outcome uint8) link.End {
	return link.End{Task: s.Task, Attempt: s.Attempt, Outcome: outcome}
}

// A job must not be answered as complete before all of its tasks are done, and
// must not run again when it is submitted again.
func TestJobIsCompleteWhenAllTasksAreDone(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 2, 100*ms))
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 2)
	h.report("w1", 6, 1, &link.Report{Answers: []link.StartAnswer{started(starts[0]), started(starts[1])}})
	h.report("w1", 7, 1, &link.Report{Ends: []link.End{ended(starts[0], link.Done)}})
	h.takeActions()
	h.Assert(h.answers["a"] == nil, qt.IsTrue)
	h.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(starts[1], link.Done)}})
	h.takeActions()
	h.Assert(h.answers["a"].Outcome, qt.Equals, api.Complete)
	// A repeated submission gets the same answer and starts nothing.
	h.Assert(h.s.Submit(h.now, h.newJob("a", 2, 100*ms)).Outcome, qt.Equals, api.Complete)
	h.Assert(h.takeStarts(), qt.HasLen, 0)
}

// A job must not be answered as "not run" while a start of it is on its way to
// an agent, or may have reached it.
func TestJobWithOrderedStartIsNotReportedAsNotRun(t *testing.T) {
	for _, end := range []func(h *harness){
		func(h *harness) { h.s.Cancel(h.now, "a", "the entry ends") },
		func(h *harness) { h.advance(3 * time.Second) },
		func(h *harness) { h.s.ProcessSuspended(h.now, time.Second) },
		func(h *harness) {
			h.s.AgentDisconnected(h.now, "w1", "closed")
			h.s.Cancel(h.now, "a", "the entry ends")
		},
		// Soak test, seed 598297906: the start was on its way to a paused agent,
		// and its task was ready again when the job was aborted.
		func(h *harness) { h.s.AgentDisconnected(h.now, "w1", "silent"); h.advance(3 * time.Second) },
		func(h *harness) {
			h.report("w1", 0, 1, &link.Report{Answers: []link.StartAnswer{{Task: link.TaskID{Job: "a"}, Attempt: 1, Result: link.NotRunning}}})
			h.advance(3 * time.Second)
		},
	} {
		h := newHarness(t)
		h.addWorker("w1", 8, 1)
		h.mustAccept(h.newJob("a", 1, 100*ms))
		h.Assert(h.takeStarts()["w1"], qt.HasLen, 1)
		end(h)
		h.takeActions()
		h.Assert(h.answers["a"].Ran, qt.Not(qt.Equals), api.RanNo)
	}
}

// A task must not run twice at the same time: tasks of a disconnected agent
// start on another worker only after their lease has expired.
func TestLostTasksRestartAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 1, 300*ms))
	first := h.takeStarts()["w1"][0]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.addWorker("w2", 8, 1)
	lostAt := h.now
	h.s.AgentDisconnected(h.now, "w1", "closed")
	for h.now-lostAt < 880*ms {
		h.advance(20 * ms)
		h.Assert(h.takeStarts(), qt.HasLen, 0)
	}
	h.advance(60 * ms)
	second := h.takeStarts()["w2"]
	h.Assert(second, qt.HasLen, 1)
	h.Assert(second[0].Attempt, qt.Equals, first.Attempt+1)
	// Reports on the first attempt are ignored.
	h.s.AgentConnected(h.now, "w1", 1)
	h.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(first, link.Failed)}})
	h.takeActions()
	h.Assert(h.answers["a"] == nil, qt.IsTrue)
}

// A task must not be started again if its agent reconnects within the lease.
func TestTasksSurviveAgentReconnect(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.addWorker("w2", 8, 0.9)
	h.mustAccept(h.newJob("a", 1, 300*ms))
	var name string
	var first link.Start
	for n, s := range h.takeStarts() {
		name, first = n, s[0]
	}
	h.report(name, 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.s.AgentDisconnected(h.now, name, "reset")
	h.advance(100 * ms)
	h.s.AgentConnected(h.now, name, 1)
	commands := h.takeActions()
	h.Assert(commands, qt.HasLen, 1)
	h.Assert(commands[0].Claims, qt.HasLen, 1)
	h.report(name, 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	h.advance(1200 * ms)
	h.Assert(h.takeStarts(), qt.HasLen, 0)
	h.report(name, 8, 1, &link.Report{Ends: []link.End{ended(first, link.Done)}})
	h.takeActions()
	h.Assert(h.answers["a"].Outcome, qt.Equals, api.Complete)
}

// Load pattern: jobs that fail on every worker, among jobs that succeed. Such a
// job must fail after MaxAttempts failures, each on another worker, and must not
// take up capacity until its deadline.
func TestFailingJobFailsAfterMaxAttempts(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.addWorker("w2", 8, 1)
	h.mustAccept(h.newJob("a", 1, 50*ms))
	workers := map[string]bool{}
	for range 2 {
		for name, s := range h.takeStarts() {
			workers[name] = true
			h.report(name, 8, 1, &link.Report{Answers: []link.StartAnswer{started(s[0])}, Ends: []link.End{ended(s[0], link.Failed)}})
		}
	}
	h.takeActions()
	h.Assert(h.answers["a"].Reason, qt.Equals, api.ReasonTaskFailed)
	h.Assert(workers, qt.HasLen, 2, qt.Commentf("the second attempt goes to another worker"))
}

// Load pattern: one worker fails all tasks that it runs. Its failures must not
// use up the attempts of the jobs.
func TestFailuresOnFailingWorkerAreNotCounted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("bad", 8, 1)
	job := h.newJob("a", 1, 50*ms)
	job.MaxAttempts = 1
	h.mustAccept(job)
	s := h.takeStarts()["bad"][0]
	h.addWorker("good", 8, 1)
	h.report("bad", 8, 1, &link.Report{FailureRate: 0.9, Answers: []link.StartAnswer{started(s)}, Ends: []link.End{ended(s, link.Failed)}})
	h.takeActions()
	h.Assert(h.answers["a"] == nil, qt.IsTrue)
	h.Assert(h.takeStarts()["good"], qt.HasLen, 1)
}

// Load pattern: one worker becomes six times slower while others have free
// capacity. A task that it would finish late must move to another worker.
func TestTaskMovesFromSlowWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("slow", 8, 1)
	h.mustAccept(h.newJob("a", 1, 300*ms))
	s := h.takeStarts()["slow"][0]
	h.report("slow", 7, 1, &link.Report{Answers: []link.StartAnswer{started(s)}})
	h.addWorker("fast", 8, 1)
	h.advance(200 * ms)
	h.report("slow", 7, 0.15, &link.Report{Progress: []link.Progress{{Task: s.Task, Attempt: s.Attempt, Percent: 10, RemainingMS: 1800}}})
	commands := h.takeActions()
	h.Assert(commands, qt.HasLen, 1)
	h.Assert(commands[0].Stops, qt.HasLen, 1)
	h.report("slow", 8, 0.15, &link.Report{Ends: []link.End{ended(s, link.Stopped)}})
	h.Assert(h.takeStarts()["fast"], qt.HasLen, 1)
}

// Load pattern: all hosts were without power. Callers that waited meanwhile come back all at
// once, beside new ones that can be on time. The new ones must get the capacity, and those
// that have waited must be told at once. While capacity is free they are served as well.
func TestCallersThatWaitedLeaveTheCapacityToNewOnes(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.addWorker("w1", 10, 1)
	waited := func(id string) Job {
		j := h.newJob(id, 1, 100*ms)
		j.Waited = 800 * ms
		return j
	}
	h.mustAccept(h.newJob("first", 1, 100*ms))
	for i := range 5 {
		h.mustAccept(waited(fmt.Sprint("early", i)))
	}
	for i := range 20 {
		v := h.s.Submit(h.now, waited(fmt.Sprint("waited", i)))
		h.Assert(v, qt.IsNotNil)
		h.Assert(v.Ran, qt.Equals, api.RanNo)
	}
	for i := range 4 {
		h.mustAccept(h.newJob(fmt.Sprint("new", i), 1, 100*ms))
	}
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 10)
}

// Guards against jobs that are refused because the callers of a queue have little patience:
// without a caller that waits for the queue's timeout, the others tell nothing.
func TestCallersWithLittlePatienceCountAsNew(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 10, 1)
	for i := range 10 {
		j := h.newJob(fmt.Sprint("j", i), 1, 100*ms)
		j.Waited = 800 * ms
		h.mustAccept(j)
	}
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 10)
	h.mustAccept(h.newJob("patient", 1, 100*ms))
	h.now += firstSubmissionPeriod + ms
	j := h.newJob("late", 1, 100*ms)
	j.Waited = 800 * ms
	h.mustAccept(j)
}

// Load pattern: the tasks on one worker stand still while others have free capacity. A task
// must move once it has made no progress for long enough, not before.
func TestStalledTaskMoves(t *testing.T) {
	for idle, stops := range map[time.Duration]int{stallTimeout - ms: 0, stallTimeout: 1} {
		h := newHarness(t)
		h.addWorker("w1", 8, 1)
		h.mustAccept(h.newJob("a", 1, 300*ms))
		s := h.takeStarts()["w1"][0]
		h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(s)}})
		h.addWorker("w2", 8, 1)
		h.advance(400 * ms)
		h.report("w1", 7, 1, &link.Report{Progress: []link.Progress{
			{Task: s.Task, Attempt: s.Attempt, Percent: 20, RemainingMS: -1, IdleMS: idle.Milliseconds()},
		}})
		h.Assert(h.takeActions(), qt.HasLen, stops, qt.Commentf("idle for %v", idle))
	}
}

// Load pattern: a job whose tasks take longer than declared on every worker. They
// must not be moved, since they would take as long elsewhere and lose the progress
// made.
func TestLongTaskIsNotMoved(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 1, 300*ms))
	s := h.takeStarts()["w1"][0]
	h.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(s)}})
	h.addWorker("w2", 8, 1)
	h.advance(400 * ms)
	h.report("w1", 7, 1, &link.Report{Progress: []link.Progress{{Task: s.Task, Attempt: s.Attempt, Percent: 20, RemainingMS: 1600}}})
	h.Assert(h.takeActions(), qt.HasLen, 0)
}

// Load pattern: a burst that exceeds the capacity. Jobs that cannot be served
// are refused immediately, with a time after which to retry.
func TestExcessBurstIsRefusedImmediately(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 2, 1)
	refused := 0
	for i := range 60 {
		v := h.s.Submit(h.now, h.newJob(fmt.Sprint("burst", i), 2, 100*ms))
		if v == nil {
			continue
		}
		refused++
		h.Assert(v.Ran, qt.Equals, api.RanNo)
		h.Assert(v.RetryAfter > 0, qt.IsTrue)
	}
	// A job is on time up to 220 ms after its arrival, in which the worker completes
	// two jobs. The cutoff of 660 ms would leave time for six.
	h.Assert(refused >= 45 && refused < 60, qt.IsTrue, qt.Commentf("%d refused", refused))
}

// confirmStarts reports tasks as started, and the free capacity that is left.
func (h *harness) confirmStarts(worker string, free int, starts []link.Start) {
	r := &link.Report{}
	for _, s := range starts {
		r.Answers = append(r.Answers, started(s))
	}
	h.report(worker, free, 1, r)
}

// urgentJob returns a short job of the highest priority.
func (h *harness) urgentJob(id string, tasks int) Job {
	j := h.newJob(id, tasks, 50*ms)
	j.Queue = "first"
	return j
}

// ordinaryJob returns a job of a lower priority.
func (h *harness) ordinaryJob(id string, tasks int) Job {
	j := h.newJob(id, tasks, 170*ms)
	j.Priority = 1
	return j
}

// Load pattern: a peak in which more work arrives than the workers complete,
// some of it of the highest priority. Urgent jobs must not wait for capacity
// that ordinary jobs have just taken: their slack is a fraction of an ordinary
// task's run time.
func TestCapacityIsReservedForUrgentJobsAtPeakLoad(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 40, 1)
	h.mustAccept(h.urgentJob("u0", 1))
	for i := range 13 {
		h.mustAccept(h.ordinaryJob(fmt.Sprint("o", i), 3))
	}
	running := h.takeStarts()["w1"]
	h.Assert(running, qt.HasLen, 40)
	h.confirmStarts("w1", 0, running)
	h.mustAccept(h.ordinaryJob("waits", 1))
	h.now += 20 * ms
	h.report("w1", 1, 1, &link.Report{Ends: []link.End{ended(running[1], link.Done)}})
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 0, qt.Commentf("an ordinary job took the last capacity"))
	h.mustAccept(h.urgentJob("u1", 1))
	starts := h.takeStarts()["w1"]
	h.Assert(starts, qt.HasLen, 1)
	h.Assert(starts[0].Task.Job, qt.Equals, "u1")
	h.confirmStarts("w1", 0, starts)
	// Without urgent jobs no capacity is reserved.
	h.now += urgentReservePeriod
	h.mustAccept(h.ordinaryJob("later", 1))
	h.report("w1", 1, 1, &link.Report{Ends: []link.End{ended(starts[0], link.Done)}})
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 1)
}

// Load pattern: an urgent job arrives while ordinary jobs wait. It must not be
// refused because of work that would be served after it.
func TestUrgentJobIsNotRefusedForLowerPriorityWork(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 10, 1)
	ordinary := 0
	for h.s.Submit(h.now, h.ordinaryJob(fmt.Sprint("o", ordinary), 1)) == nil {
		ordinary++
		h.Assert(ordinary < 100, qt.IsTrue)
	}
	h.Assert(ordinary > 10, qt.IsTrue, qt.Commentf("only %d ordinary jobs were accepted", ordinary))
	u := h.ordinaryJob("u", 1)
	u.Priority = highestPriority
	h.mustAccept(u)
}

// Load pattern: a moderate load on workers of equal speed in several
// availability zones. Tasks must not go to another zone while the entry's zone has
// free capacity, and must not fill the entry's zone while others are idle.
func TestTasksStayInOwnZoneWhileItHasCapacity(t *testing.T) {
	h := newHarness(t)
	h.s.opts.Zone = "near"
	h.addWorkerInZone("near", "n1", 20, 1)
	h.addWorkerInZone("near", "n2", 20, 1)
	h.addWorkerInZone("far", "f1", 20, 1)
	h.addWorkerInZone("far", "f2", 20, 1)
	for i := range 4 {
		h.mustAccept(h.newJob(fmt.Sprint("j", i), 2, 100*ms))
	}
	starts := h.takeStarts()
	h.Assert(len(starts["n1"])+len(starts["n2"]), qt.Equals, 8)
	for i := range 12 {
		h.mustAccept(h.newJob(fmt.Sprint("k", i), 4, 100*ms))
	}
	starts = h.takeStarts()
	far := len(starts["f1"]) + len(starts["f2"])
	h.Assert(far >= 8, qt.IsTrue, qt.Commentf("%d of 48 tasks went to the other zone", far))
	// A faster worker in another zone is preferred to a slower one in the entry's
	// zone.
	h.addWorkerInZone("far", "f3", 20, 1.3)
	h.mustAccept(h.newJob("l", 1, 100*ms))
	h.Assert(h.takeStarts()["f3"], qt.HasLen, 1)
}

// Load pattern: jobs wait, and a worker that reports free capacity refuses
// every start. It must not get starts continuously.
func TestRefusingWorkerIsBackedOff(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	h.mustAccept(h.newJob("a", 1, 300*ms))
	starts := 0
	for range 50 {
		for _, s := range h.takeStarts()["w1"] {
			starts++
			h.Assert(s.Attempt, qt.Equals, uint32(1))
			h.report("w1", 8, 1, &link.Report{Answers: []link.StartAnswer{{Task: s.Task, Attempt: s.Attempt, Result: link.Busy}}})
		}
		h.now += time.Millisecond
		h.s.Tick(h.now)
	}
	h.Assert(starts <= 4, qt.IsTrue, qt.Commentf("%d starts in 50 ms", starts))
	h.Assert(starts >= 2, qt.IsTrue)
}

// Load pattern: requests that waited for an entry to start arrive at once, too late to be
// on time, right before those that can be. Guards against late jobs that take the capacity
// of the others, and against late jobs that are refused although capacity is idle.
func TestLateArrivalsLeaveCapacityToJobsOnTime(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	accepted := 0
	for i := range 8 {
		late := h.newJob(fmt.Sprint("late", i), 1, 100*ms)
		late.ReceivedAt -= 300 * ms
		if h.s.Submit(h.now, late) == nil {
			accepted++
		}
	}
	h.Assert(accepted, qt.Equals, 5)
	for i := range 3 {
		h.mustAccept(h.newJob(fmt.Sprint("job", i), 1, 100*ms))
	}
	h.Assert(h.takeStarts()["w1"], qt.HasLen, 8)
	tooLate := h.newJob("too-late", 1, 100*ms)
	tooLate.ReceivedAt -= time.Second
	h.Assert(h.s.Submit(h.now, tooLate).Reason, qt.Equals, api.ReasonDeadlinePast)
}
