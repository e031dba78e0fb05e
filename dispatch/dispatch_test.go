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

// harness runs a scheduler with a simulated clock. Tests report as its agents.
type harness struct {
	*qt.C
	s       *Scheduler
	now     time.Duration
	answers map[string]*api.Verdict
	orders  []Order
}

func newHarness(t *testing.T) *harness {
	return &harness{
		C: qt.New(t), now: time.Hour, answers: map[string]*api.Verdict{},
		s: New(Options{RestartDelay: 900 * ms, RackSlowdown: 1.5, Seed: 1, MaxWaitingJobs: 100}),
	}
}

func (b *harness) takeActions() []Order {
	out := b.s.TakeActions(b.now)
	for _, a := range out.Answers {
		b.answers[a.Job] = a.Verdict
	}
	b.orders = append(b.orders, out.Orders...)
	return out.Orders
}

// addWorker connects an agent whose worker has capacity for a number of tasks
// of four cores.
func (b *harness) addWorker(name string, capacity int, speed float64) {
	b.addWorkerInZone("", name, capacity, speed)
}

func (b *harness) addWorkerInZone(zone, name string, capacity int, speed float64) {
	b.s.AgentConnected(b.now, name)
	b.report(name, capacity, speed, &link.Report{Worker: &link.WorkerState{
		ID: "life-" + name, Service: "service", Zone: zone, Capacity: link.Resources{MilliCPU: int64(capacity) * 4000, MemoryMB: 1 << 20},
	}})
}

func (b *harness) report(name string, capacity int, speed float64, r *link.Report) {
	r.Accepting, r.Speed = true, float32(speed)
	r.Free = link.Resources{MilliCPU: int64(capacity) * 4000, MemoryMB: 1 << 20}
	b.s.AgentReported(b.now, name, r)
}

func (b *harness) newJob(id string, tasks int, estimate time.Duration) Job {
	return Job{
		ID: id, Queue: "queue", Service: "service", ReceivedAt: b.now, Deadline: b.now + 2400*ms, MaxAttempts: 2, LatencyFactor: 1.6, LatencyAllowance: 60 * ms,
		Steps: []Step{{Tasks: tasks, Need: fourCores, Estimate: estimate}},
	}
}

// takeStarts returns the starts ordered since the last call, by worker.
func (b *harness) takeStarts() map[string][]link.Start {
	b.takeActions()
	all := map[string][]link.Start{}
	for _, o := range b.orders {
		if len(o.Starts) > 0 {
			all[o.Worker] = append(all[o.Worker], o.Starts...)
		}
	}
	b.orders = nil
	return all
}

func (b *harness) mustAccept(j Job) {
	b.Helper()
	b.Assert(b.s.Submit(b.now, j) == nil, qt.IsTrue)
}

func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 20 * ms
		b.s.Tick(b.now)
	}
}

func started(s link.Start) link.StartAnswer {
	return link.StartAnswer{Task: s.Task, Attempt: s.Attempt, Result: link.Started}
}

func ended(s link.Start, outcome uint8) link.End {
	return link.End{Task: s.Task, Attempt: s.Attempt, Outcome: outcome}
}

func TestJobIsCompleteWhenAllTasksAreDone(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.mustAccept(b.newJob("a", 2, 100*ms))
	starts := b.takeStarts()["w1"]
	b.Assert(starts, qt.HasLen, 2)
	b.report("w1", 6, 1, &link.Report{Answers: []link.StartAnswer{started(starts[0]), started(starts[1])}})
	b.report("w1", 7, 1, &link.Report{Ends: []link.End{ended(starts[0], link.Done)}})
	b.takeActions()
	b.Assert(b.answers["a"] == nil, qt.IsTrue)
	b.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(starts[1], link.Done)}})
	b.takeActions()
	b.Assert(b.answers["a"].Outcome, qt.Equals, api.Complete)
	// A repeated submission gets the same answer and starts nothing.
	b.Assert(b.s.Submit(b.now, b.newJob("a", 2, 100*ms)).Outcome, qt.Equals, api.Complete)
	b.Assert(b.takeStarts(), qt.HasLen, 0)
}

// A job must not be answered as "not run" while a start of it is on its way to
// an agent, or may have reached it.
func TestJobWithOrderedStartIsNotReportedAsNotRun(t *testing.T) {
	for _, end := range []func(b *harness){
		func(b *harness) { b.s.Cancel(b.now, "a", "the entry ends") },
		func(b *harness) { b.advance(3 * time.Second) },
		func(b *harness) { b.s.ProcessSuspended(b.now, time.Second) },
		func(b *harness) {
			b.s.AgentDisconnected(b.now, "w1", "closed")
			b.s.Cancel(b.now, "a", "the entry ends")
		},
		// Soak test, seed 598297906: the start was on its way to a paused agent,
		// and its task was ready again when the job was aborted.
		func(b *harness) { b.s.AgentDisconnected(b.now, "w1", "silent"); b.advance(3 * time.Second) },
		func(b *harness) {
			b.report("w1", 0, 1, &link.Report{Answers: []link.StartAnswer{{Task: link.TaskID{Job: "a"}, Attempt: 1, Result: link.NeverStarted}}})
			b.advance(3 * time.Second)
		},
	} {
		b := newHarness(t)
		b.addWorker("w1", 8, 1)
		b.mustAccept(b.newJob("a", 1, 100*ms))
		b.Assert(b.takeStarts()["w1"], qt.HasLen, 1)
		end(b)
		b.takeActions()
		b.Assert(b.answers["a"].Ran, qt.Not(qt.Equals), api.RanNo)
	}
}

// A task must not run twice at the same time: tasks of a disconnected agent
// start on another worker only after their lease has expired.
func TestLostTasksRestartAfterLeaseExpiry(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.mustAccept(b.newJob("a", 1, 300*ms))
	first := b.takeStarts()["w1"][0]
	b.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	b.addWorker("w2", 8, 1)
	lostAt := b.now
	b.s.AgentDisconnected(b.now, "w1", "closed")
	for b.now-lostAt < 880*ms {
		b.advance(20 * ms)
		b.Assert(b.takeStarts(), qt.HasLen, 0)
	}
	b.advance(60 * ms)
	second := b.takeStarts()["w2"]
	b.Assert(second, qt.HasLen, 1)
	b.Assert(second[0].Attempt, qt.Equals, first.Attempt+1)
	// Reports on the first attempt are ignored.
	b.s.AgentConnected(b.now, "w1")
	b.report("w1", 8, 1, &link.Report{Ends: []link.End{ended(first, link.Failed)}})
	b.takeActions()
	b.Assert(b.answers["a"] == nil, qt.IsTrue)
}

// A task must not be started again if its agent reconnects within the lease.
func TestTasksSurviveAgentReconnect(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.addWorker("w2", 8, 0.9)
	b.mustAccept(b.newJob("a", 1, 300*ms))
	var name string
	var first link.Start
	for n, s := range b.takeStarts() {
		name, first = n, s[0]
	}
	b.report(name, 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	b.s.AgentDisconnected(b.now, name, "reset")
	b.advance(100 * ms)
	b.s.AgentConnected(b.now, name)
	orders := b.takeActions()
	b.Assert(orders, qt.HasLen, 1)
	b.Assert(orders[0].Claims, qt.HasLen, 1)
	b.report(name, 7, 1, &link.Report{Answers: []link.StartAnswer{started(first)}})
	b.advance(1200 * ms)
	b.Assert(b.takeStarts(), qt.HasLen, 0)
	b.report(name, 8, 1, &link.Report{Ends: []link.End{ended(first, link.Done)}})
	b.takeActions()
	b.Assert(b.answers["a"].Outcome, qt.Equals, api.Complete)
}

// Load pattern: jobs that fail on every worker, among jobs that succeed.
func TestFailingJobFailsAfterMaxAttempts(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.addWorker("w2", 8, 1)
	b.mustAccept(b.newJob("a", 1, 50*ms))
	workers := map[string]bool{}
	for range 2 {
		for name, s := range b.takeStarts() {
			workers[name] = true
			b.report(name, 8, 1, &link.Report{Answers: []link.StartAnswer{started(s[0])}, Ends: []link.End{ended(s[0], link.Failed)}})
		}
	}
	b.takeActions()
	b.Assert(b.answers["a"].Reason, qt.Equals, api.ReasonTaskFailed)
	b.Assert(workers, qt.HasLen, 2, qt.Commentf("the second attempt goes to another worker"))
}

// Load pattern: one worker fails all tasks that it runs. Its failures must not
// use up the attempts of the jobs.
func TestFailuresOnFailingWorkerAreNotCounted(t *testing.T) {
	b := newHarness(t)
	b.addWorker("bad", 8, 1)
	job := b.newJob("a", 1, 50*ms)
	job.MaxAttempts = 1
	b.mustAccept(job)
	s := b.takeStarts()["bad"][0]
	b.addWorker("good", 8, 1)
	b.report("bad", 8, 1, &link.Report{FailShare: 0.9, Answers: []link.StartAnswer{started(s)}, Ends: []link.End{ended(s, link.Failed)}})
	b.takeActions()
	b.Assert(b.answers["a"] == nil, qt.IsTrue)
	b.Assert(b.takeStarts()["good"], qt.HasLen, 1)
}

// Load pattern: one worker becomes six times slower while others have free
// capacity.
func TestTaskMovesFromSlowWorker(t *testing.T) {
	b := newHarness(t)
	b.addWorker("slow", 8, 1)
	b.mustAccept(b.newJob("a", 1, 300*ms))
	s := b.takeStarts()["slow"][0]
	b.report("slow", 7, 1, &link.Report{Answers: []link.StartAnswer{started(s)}})
	b.addWorker("fast", 8, 1)
	b.advance(200 * ms)
	b.report("slow", 7, 0.15, &link.Report{Progress: []link.Progress{{Task: s.Task, Attempt: s.Attempt, Percent: 10, RemainingMS: 1800}}})
	orders := b.takeActions()
	b.Assert(orders, qt.HasLen, 1)
	b.Assert(orders[0].Stops, qt.HasLen, 1)
	b.report("slow", 8, 0.15, &link.Report{Ends: []link.End{ended(s, link.Stopped)}})
	b.Assert(b.takeStarts()["fast"], qt.HasLen, 1)
}

// Load pattern: a job whose tasks take longer than declared on every worker.
// Moving them gains nothing.
func TestLongTaskIsNotMoved(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.mustAccept(b.newJob("a", 1, 300*ms))
	s := b.takeStarts()["w1"][0]
	b.report("w1", 7, 1, &link.Report{Answers: []link.StartAnswer{started(s)}})
	b.addWorker("w2", 8, 1)
	b.advance(400 * ms)
	b.report("w1", 7, 1, &link.Report{Progress: []link.Progress{{Task: s.Task, Attempt: s.Attempt, Percent: 20, RemainingMS: 1600}}})
	b.Assert(b.takeActions(), qt.HasLen, 0)
}

// Load pattern: a burst that exceeds the capacity. Jobs that cannot be served
// are refused immediately, with a time after which to retry.
func TestExcessBurstIsRefusedImmediately(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 2, 1)
	refused := 0
	for i := range 60 {
		v := b.s.Submit(b.now, b.newJob(fmt.Sprint("burst", i), 2, 100*ms))
		if v == nil {
			continue
		}
		refused++
		b.Assert(v.Ran, qt.Equals, api.RanNo)
		b.Assert(v.RetryAfter > 0, qt.IsTrue)
	}
	// The cutoff is 660 ms after the arrival, the time of six jobs.
	b.Assert(refused >= 45 && refused < 60, qt.IsTrue, qt.Commentf("%d refused", refused))
}

// confirmStarts reports tasks as started, and the capacity that is left.
func (b *harness) confirmStarts(worker string, capacity int, starts []link.Start) {
	r := &link.Report{}
	for _, s := range starts {
		r.Answers = append(r.Answers, started(s))
	}
	b.report(worker, capacity, 1, r)
}

// urgentJob returns a short job of the highest priority.
func (b *harness) urgentJob(id string, tasks int) Job {
	j := b.newJob(id, tasks, 50*ms)
	j.Queue = "first"
	return j
}

// ordinaryJob returns a job of a lower priority.
func (b *harness) ordinaryJob(id string, tasks int) Job {
	j := b.newJob(id, tasks, 170*ms)
	j.Priority = 1
	return j
}

// Load pattern: a peak in which more work arrives than the workers complete,
// some of it of the highest priority. Urgent jobs must not wait for capacity
// that ordinary jobs have just taken: their slack is a fraction of an ordinary
// task's run time.
func TestCapacityIsReservedForUrgentJobsAtPeakLoad(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 40, 1)
	b.mustAccept(b.urgentJob("u0", 1))
	for i := range 13 {
		b.mustAccept(b.ordinaryJob(fmt.Sprint("o", i), 3))
	}
	running := b.takeStarts()["w1"]
	b.Assert(running, qt.HasLen, 40)
	b.confirmStarts("w1", 0, running)
	b.mustAccept(b.ordinaryJob("waits", 1))
	b.now += 20 * ms
	b.report("w1", 1, 1, &link.Report{Ends: []link.End{ended(running[1], link.Done)}})
	b.Assert(b.takeStarts()["w1"], qt.HasLen, 0, qt.Commentf("an ordinary job took the last capacity"))
	b.mustAccept(b.urgentJob("u1", 1))
	starts := b.takeStarts()["w1"]
	b.Assert(starts, qt.HasLen, 1)
	b.Assert(starts[0].Task.Job, qt.Equals, "u1")
	b.confirmStarts("w1", 0, starts)
	// Without urgent jobs no capacity is reserved.
	b.now += urgentReservePeriod
	b.mustAccept(b.ordinaryJob("later", 1))
	b.report("w1", 1, 1, &link.Report{Ends: []link.End{ended(starts[0], link.Done)}})
	b.Assert(b.takeStarts()["w1"], qt.HasLen, 1)
}

// Load pattern: an urgent job arrives while ordinary jobs wait. It must not be
// refused because of work that would be served after it.
func TestUrgentJobIsNotRefusedForLowerPriorityWork(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 10, 1)
	ordinary := 0
	for b.s.Submit(b.now, b.ordinaryJob(fmt.Sprint("o", ordinary), 1)) == nil {
		ordinary++
		b.Assert(ordinary < 100, qt.IsTrue)
	}
	b.Assert(ordinary > 10, qt.IsTrue, qt.Commentf("only %d ordinary jobs were accepted", ordinary))
	u := b.ordinaryJob("u", 1)
	u.Priority = highestPriority
	b.mustAccept(u)
}

// Load pattern: a moderate load on workers of equal speed in several
// availability zones. Tasks must not go to another zone while the entry's zone has
// free capacity, and must not fill the entry's zone while others are idle.
func TestTasksStayInOwnZoneWhileItHasCapacity(t *testing.T) {
	b := newHarness(t)
	b.s.opts.Zone = "near"
	b.addWorkerInZone("near", "n1", 20, 1)
	b.addWorkerInZone("near", "n2", 20, 1)
	b.addWorkerInZone("far", "f1", 20, 1)
	b.addWorkerInZone("far", "f2", 20, 1)
	for i := range 4 {
		b.mustAccept(b.newJob(fmt.Sprint("j", i), 2, 100*ms))
	}
	starts := b.takeStarts()
	b.Assert(len(starts["n1"])+len(starts["n2"]), qt.Equals, 8)
	for i := range 12 {
		b.mustAccept(b.newJob(fmt.Sprint("k", i), 4, 100*ms))
	}
	starts = b.takeStarts()
	far := len(starts["f1"]) + len(starts["f2"])
	b.Assert(far >= 8, qt.IsTrue, qt.Commentf("%d of 48 tasks went to the other zone", far))
	// A faster worker in another zone is preferred to a slower one in the entry's
	// zone.
	b.addWorkerInZone("far", "f3", 20, 1.3)
	b.mustAccept(b.newJob("l", 1, 100*ms))
	b.Assert(b.takeStarts()["f3"], qt.HasLen, 1)
}

// Load pattern: jobs wait, and a worker that reports free capacity refuses
// every start. It must not get starts continuously.
func TestRefusingWorkerIsBackedOff(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", 8, 1)
	b.mustAccept(b.newJob("a", 1, 300*ms))
	starts := 0
	for range 50 {
		for _, s := range b.takeStarts()["w1"] {
			starts++
			b.Assert(s.Attempt, qt.Equals, uint32(1))
			b.report("w1", 8, 1, &link.Report{Answers: []link.StartAnswer{{Task: s.Task, Attempt: s.Attempt, Result: link.Busy}}})
		}
		b.now += time.Millisecond
		b.s.Tick(b.now)
	}
	b.Assert(starts <= 4, qt.IsTrue, qt.Commentf("%d starts in 50 ms", starts))
	b.Assert(starts >= 2, qt.IsTrue)
}
