package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/link"
)

// backlog is the result of serveBacklog.
type backlog struct {
	completed, refused int
	// meanRefusal is the mean time after which jobs were refused.
	meanRefusal time.Duration
}

// serveBacklog submits jobs of one task of 400 ms within the warm-up of an entry, and has a
// worker of speed 1 run as many of them at a time as slots gives by the time since the start.
func serveBacklog(t *testing.T, jobs int, margin float64, slots func(since time.Duration) int) backlog {
	h := newHarness(t)
	policy := DefaultPolicy
	policy.RateMargin = margin
	startedAt := h.now
	h.s = New(Options{RestartDelay: 900 * ms, RackSlowdown: 1.5, Seed: 1, MaxWaitingJobs: 1000, StartedAt: startedAt, Policy: policy})
	h.addWorker("w1", slots(0), 1)
	for i := range jobs {
		h.mustAccept(h.newJob(fmt.Sprintf("j%03d", i), 1, 400*ms))
	}
	var out backlog
	ends := map[time.Duration][]link.Start{}
	running := 0
	for since := time.Duration(0); since <= 3*time.Second; since += 20 * ms {
		h.now = startedAt + since
		r := &link.Report{}
		for _, s := range ends[since] {
			r.Ends = append(r.Ends, ended(s, link.Done))
			running--
		}
		h.s.Tick(h.now)
		h.report("w1", slots(since)-running, 1, r)
		r = &link.Report{}
		for _, s := range h.takeStarts()["w1"] {
			r.Answers = append(r.Answers, started(s))
			ends[since+400*ms] = append(ends[since+400*ms], s)
			running++
		}
		h.report("w1", slots(since)-running, 1, r)
		for id, v := range h.answers {
			if v.Outcome == api.Complete {
				out.completed++
			} else {
				h.Assert(v.Ran, qt.Equals, api.RanNo)
				out.refused++
				out.meanRefusal += since
			}
			delete(h.answers, id)
		}
	}
	h.Assert(out.completed+out.refused, qt.Equals, jobs)
	out.meanRefusal /= time.Duration(max(out.refused, 1))
	return out
}

// Load: callers submit 60 jobs at once to an entry that has just started, and the workers
// can serve about 20 of them by their cutoff. The callers of the others must not wait for
// their refusal until the cutoff, and no job may be refused that would be served.
func TestHopelessJobsAreRefusedEarly(t *testing.T) {
	four := func(time.Duration) int { return 4 }
	without, with := serveBacklog(t, 60, 1000, four), serveBacklog(t, 60, DefaultPolicy.RateMargin, four)
	qt.Assert(t, with.completed, qt.Equals, without.completed)
	qt.Assert(t, without.meanRefusal > 1600*ms, qt.IsTrue, qt.Commentf("%v", without.meanRefusal))
	qt.Assert(t, with.meanRefusal < 1300*ms, qt.IsTrue, qt.Commentf("%v", with.meanRefusal))
}

// Load: as above, and other entries have less to do from 1.1 s on, so that the rate
// doubles just after it has become known. No job may have been refused that is served now.
func TestNoJobIsRefusedThatIsServedAtTwiceTheRate(t *testing.T) {
	growing := func(since time.Duration) int {
		if since < 1100*ms {
			return 4
		}
		return 8
	}
	without, with := serveBacklog(t, 60, 1000, growing), serveBacklog(t, 60, DefaultPolicy.RateMargin, growing)
	qt.Assert(t, without.completed < 60, qt.IsTrue)
	qt.Assert(t, with.completed, qt.Equals, without.completed)
}

// Load: jobs wait for a worker with a label, which has gone, before jobs that any worker may
// run. Work that takes no capacity from a job must not count as ahead of it.
func TestWorkThatNeedsALabelIsNotAhead(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.addWorker("w1", 1, 1)
	h.mustAccept(h.newJob("running", 1, 400*ms))
	for i := range 30 {
		j := h.newJob(fmt.Sprint("labeled", i), 1, 400*ms)
		j.Steps[0].RequiredLabel = "gpu"
		h.mustAccept(j)
	}
	h.now += 5 * ms
	h.mustAccept(h.newJob("plain", 1, 400*ms))
	h.takeActions()
	h.advance(1400 * ms)
	h.takeActions()
	h.Assert(h.answers, qt.HasLen, 0)
}

// A job of which a start may have reached an agent must not be refused as "not run".
func TestJobThatMayHaveRunIsNotHopeless(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.addWorker("w1", 1, 1)
	for i := range 30 {
		h.mustAccept(h.newJob(fmt.Sprintf("j%02d", i), 1, 400*ms))
	}
	h.takeActions()
	last := h.s.jobs["j29"]
	last.inDoubt = true
	h.advance(1300 * ms)
	h.takeActions()
	h.Assert(h.answers["j28"].Ran, qt.Equals, api.RanNo)
	h.Assert(h.answers["j28"].Message, qt.Equals, hopelessMessage)
	h.Assert(h.answers["j29"] == nil, qt.IsTrue)
	h.Assert(h.s.Stats().HopelessRefusals, qt.Equals, int64(len(h.answers)))
}

// Load: 2,000 jobs wait at an entry that sees 160 full workers, a third of which are slow. All
// of the jobs are late in the second case.
func BenchmarkTickWithFullQueue(b *testing.B) {
	b.Run("on_time", func(b *testing.B) { benchmarkTick(b, 2*ratePeriod) })
	b.Run("late", func(b *testing.B) { benchmarkTick(b, 30*time.Second) })
}

func benchmarkTick(b *testing.B, wait time.Duration) {
	s := New(Options{RestartDelay: time.Second, RackSlowdown: 1.5, MaxWaitingJobs: 2000, StartedAt: time.Hour})
	now := time.Hour
	for i := range 160 {
		name := fmt.Sprint("w", i)
		s.AgentConnected(now, name, 1)
		s.AgentReported(now, name, &link.Report{
			Accepting: true, Speed: []float32{1, 1, 0.002}[i%3], Worker: &link.WorkerState{ID: name, Service: "service", Capacity: link.Resources{MilliCPU: 16000, MemoryMB: 1 << 20}},
			Free: link.Resources{MilliCPU: 4000, MemoryMB: 1 << 20},
		})
	}
	for i := range 2000 {
		s.Submit(now, Job{
			ID: fmt.Sprint("j", i), Queue: "q", Service: "service", ReceivedAt: now, Deadline: now + time.Hour, LatencyFactor: 100, Priority: i % 3,
			Steps: []Step{{Tasks: 2, Need: fourCores, Estimate: 200 * time.Millisecond}},
		})
	}
	s.TakeActions(now)
	s.Tick(now)
	now += wait
	for b.Loop() {
		now += time.Microsecond
		s.Tick(now)
		s.TakeActions(now)
	}
}

// Load: an entry that has just started gets 400 short urgent jobs at once, of which its worker
// can serve few. A long job, which is served once they have been refused, must not be refused
// because of their work.
func TestWorkOfHopelessJobsIsNotAhead(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt, h.s.opts.MaxWaitingJobs = h.now, 1000
	h.addWorker("w1", 1, 1)
	h.mustAccept(h.newJob("running", 1, 400*ms))
	newLong := func(id string) Job {
		j := h.newJob(id, 1, 2*time.Second)
		j.Queue, j.Priority, j.Deadline = "long jobs", highestPriority+1, h.now+12*time.Second
		return j
	}
	h.mustAccept(newLong("long"))
	h.takeActions()
	h.advance(960 * ms)
	for i := range 400 {
		j := h.newJob(fmt.Sprintf("short%03d", i), 1, 100*ms)
		j.Priority = highestPriority
		h.mustAccept(j)
	}
	h.advance(100 * ms)
	h.takeActions()
	h.Assert(h.s.hopelessRefusals > 300, qt.IsTrue, qt.Commentf("%d", h.s.hopelessRefusals))
	h.Assert(h.answers["long"] == nil, qt.IsTrue)
}

// Load: an entry loses its connections to all agents for some seconds, and they come back one
// after the other. Jobs must not be refused at the rate of the first agent that is back.
func TestRateIsUnknownAfterAnInterruption(t *testing.T) {
	h := newHarness(t)
	h.s.opts.StartedAt = h.now
	h.addWorker("w1", 1, 1)
	h.now += 3 * time.Second
	h.s.AgentDisconnected(h.now, "w1", "silent")
	for i := range 30 {
		j := h.newJob(fmt.Sprintf("j%02d", i), 1, 2*time.Second)
		j.Deadline = h.now + 12*time.Second
		h.mustAccept(j)
	}
	h.advance(2500 * ms)
	h.addWorker("w1", 1, 1)
	h.takeActions()
	h.advance(200 * ms)
	h.takeActions()
	h.Assert(h.s.hopelessRefusals, qt.Equals, int64(0))
	for i := range 10 {
		h.addWorker(fmt.Sprint("back", i), 5, 1)
	}
	h.takeActions()
	h.Assert(h.s.Stats().WaitingJobs, qt.Equals, 0)
}
