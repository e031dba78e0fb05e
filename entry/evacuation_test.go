package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// What becomes of a job: it is accepted, or waits, or is refused with one of the messages.
const (
	accepted            = "accepted"
	waits               = "waits, then "
	noWorker            = `no_worker: no worker serves "cleft-assessor"`
	allEvacuated        = `overload: the workers that serve "cleft-assessor" are in evacuated zones`
	nothingOutsideTakes = `overload: no worker outside the evacuated zones accepts tasks for "cleft-assessor" at present`
)

// Guards against jobs that are refused because of an evacuation although a worker of
// another zone serves them, which is reconnecting, restarting, ejected or without the
// present configuration, or whose backend server missed health checks.
func TestRefusalsDuringEvacuation(t *testing.T) {
	t.Parallel()
	const home, other = "salalah-kiln", "taqah-shed"
	load := wire.Load{Slots: 8}
	leaving := wire.Load{Slots: 8, Leaving: true}
	evacuate := func(ls *loopState, zones ...string) {
		c := *ls.config
		c.Version++
		c.EvacuatedZones = zones
		ls.setConfig(&c)
	}
	lose := func(ls *loopState, now time.Time) {
		ls.markAgentDisconnected(ls.agents[11], now)
		ls.discardDisconnectedAgents(now.Add(jobs.SettleWait))
	}
	for _, tc := range []struct {
		name string
		// change is applied while w1 is in the other zone and w2 to w4 in an evacuated one.
		change func(ls *loopState, now time.Time)
		// now is what becomes of a job immediately, later that of one after a minute.
		now, later string
	}{
		{"connected", func(*loopState, time.Time) {}, accepted, accepted},
		{"connection just lost", func(ls *loopState, now time.Time) { ls.markAgentDisconnected(ls.agents[11], now) }, accepted, accepted},
		{"connection lost for longer", lose, waits + nothingOutsideTakes, allEvacuated},
		{"restarted, backend server not announced", func(ls *loopState, now time.Time) {
			lose(ls, now)
			connect(ls, "w1", 21, home, nil, leaving)
		}, waits + nothingOutsideTakes, nothingOutsideTakes},
		{"backend server down", func(ls *loopState, now time.Time) { ls.updateLoad(ls.agents[11], leaving, nil, now) }, waits + nothingOutsideTakes, nothingOutsideTakes},
		{"ejected, the other workers of the zone leave", func(ls *loopState, now time.Time) {
			for i := range 3 {
				connect(ls, fmt.Sprintf("w%d", i+5), uint64(i+15), home, []string{"cleft-assessor"}, load)
			}
			for range 6 {
				ls.placement.TaskEnded(11, placement.TaskEnd{Service: "cleft-assessor", Outcome: wire.OutcomeFailed}, now)
			}
			for i := range 3 {
				ls.updateLoad(ls.agents[uint64(i+15)], leaving, nil, now.Add(-time.Minute))
			}
		}, waits + nothingOutsideTakes, accepted},
		{"ejected before the evacuation", func(ls *loopState, now time.Time) {
			evacuate(ls)
			for range 6 {
				ls.placement.TaskEnded(11, placement.TaskEnd{Service: "cleft-assessor", Outcome: wire.OutcomeFailed}, now)
			}
			evacuate(ls, other)
		}, accepted, accepted},
		{"only worker fails tasks", func(ls *loopState, now time.Time) {
			for range 6 {
				ls.placement.TaskEnded(11, placement.TaskEnd{Service: "cleft-assessor", Outcome: wire.OutcomeFailed}, now)
			}
		}, accepted, accepted},
		{"other zone restored, configuration under way", func(ls *loopState, now time.Time) {
			evacuate(ls, home, other)
			ls.updateLoad(ls.agents[11], leaving, nil, now.Add(-time.Minute))
			evacuate(ls, other)
		}, waits + nothingOutsideTakes, nothingOutsideTakes},
		{"all zones restored, configuration under way", func(ls *loopState, now time.Time) {
			evacuate(ls, home, other)
			for _, ag := range ls.agents {
				ls.updateLoad(ag, leaving, nil, now.Add(-time.Minute))
			}
			evacuate(ls)
		}, waits + noWorker, noWorker},
		{"entry not ready", func(ls *loopState, now time.Time) {
			lose(ls, now)
			ls.forgetWorkers(now.Add(time.Minute))
			ls.ready = false
		}, waits + nothingOutsideTakes, waits + nothingOutsideTakes},
		{"all zones evacuated", func(ls *loopState, _ time.Time) { evacuate(ls, home, other) }, allEvacuated, allEvacuated},
		{"drained", func(ls *loopState, _ time.Time) {
			c := *ls.config
			c.Version++
			c.Workers = []config.Worker{{Name: "w1", Drain: true}}
			ls.setConfig(&c)
		}, allEvacuated, allEvacuated},
		{"connection of a worker that may not serve the service just lost", func(ls *loopState, now time.Time) {
			c := *ls.config
			c.Version++
			c.Workers = []config.Worker{{Name: "w1", Services: []string{"other"}}}
			ls.setConfig(&c)
			ls.markAgentDisconnected(ls.agents[11], now)
		}, allEvacuated, allEvacuated},
		{"no zone evacuated, backend servers down", func(ls *loopState, now time.Time) {
			evacuate(ls)
			for _, ag := range ls.agents {
				ls.updateLoad(ag, wire.Load{Slots: 8, Leaving: true, ConfigVersion: ls.config.Version}, nil, now)
			}
		}, noWorker, noWorker},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			n := c.startConfigured("e1")
			c.newAgent("w1", 11, echoResult).connect(n, "")
			// Within one event, nothing else changes and no time limit passes.
			got, ok := postAndWait(context.Background(), n.Entry, func(ls *loopState) [2]string {
				for i := range 3 {
					connect(ls, fmt.Sprintf("w%d", i+2), uint64(i+12), other, []string{"cleft-assessor"}, load)
				}
				evacuate(ls, other)
				tc.change(ls, ls.now())
				now := decide(ls, ls.now())
				after := ls.now().Add(time.Minute)
				if len(ls.agents) == 3 {
					ls.forgetWorkers(after)
				}
				return [2]string{now, decide(ls, after)}
			})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got, qt.Equals, [2]string{tc.now, tc.later})
		})
	}
}

// startConfigured runs an entry until it is ready and has the configuration, which it may get
// after it is ready.
func (c *cluster) startConfigured(name string) *node {
	c.t.Helper()
	n := c.start(name)
	eventually(c.t, "the entry has the configuration", func() bool { return n.Status(context.Background()).ConfigVersion == 1 })
	return n
}

// connect lets an agent without a network connection count as connected.
func connect(ls *loopState, worker string, id uint64, zone string, services []string, load wire.Load) {
	ls.agentConnected(&agentConn{id: id, conn: &transport.Conn{}, hello: &wire.Hello{Name: worker, Incarnation: id, Zone: zone, Services: services, Load: load}})
}

// decide returns what would become of a job that arrives now, and if it waits, how it would
// be refused if nothing changes.
func decide(ls *loopState, now time.Time) string {
	r := &request{sub: job(1), deadline: now.Add(5 * time.Second)}
	ls.placement.Advance(now)
	prefix := ""
	if ls.awaitsWorkers(r, now) {
		prefix = waits
	}
	if v, _ := ls.admit(r, false, now); v != nil {
		return prefix + string(v.Reason) + ": " + v.Message
	}
	ls.admission.Release(r.sub.Team, len(r.sub.Tasks))
	return prefix + accepted
}

// Guards against a job that is refused although the worker that could run it takes tasks
// again before the job has waited for long.
func TestJobWaitsForAWorkerOutsideTheEvacuatedZone(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.startConfigured("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.connect(n, "")
	_, ok := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool {
		connect(ls, "w2", 12, "taqah-shed", []string{"cleft-assessor"}, wire.Load{Slots: 8})
		cfg := *ls.config
		cfg.Version++
		cfg.EvacuatedZones = []string{"taqah-shed"}
		ls.setConfig(&cfg)
		return true
	})
	qt.Assert(t, ok, qt.IsTrue)
	done := make(chan reply, 1)
	waited, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool {
		ls.updateLoad(ls.agents[11], wire.Load{Slots: 8, Leaving: true}, nil, ls.now())
		r := &request{op: wire.OpSubmit, key: newKey(t), team: "kiln", sub: job(1), wait: true, ctx: context.Background(), deadline: ls.now().Add(5 * time.Second), reply: done}
		ls.handleRequest(r)
		waited := len(ls.blockedRequests) == 1
		ls.updateLoad(ls.agents[11], wire.Load{Slots: 8}, nil, ls.now())
		return waited
	})
	qt.Assert(t, waited, qt.IsTrue)
	qt.Assert(t, (<-done).answer.Verdict, qt.Equals, api.Complete)
}

// blockJobs blocks requests of n jobs, since all workers have just stopped accepting tasks
// while a zone is evacuated.
func blockJobs(t *testing.T, ls *loopState, workers, n int) {
	for i := range workers {
		connect(ls, fmt.Sprintf("v%d", i), uint64(100+i), []string{"salalah-kiln", "taqah-shed"}[i%2], []string{"cleft-assessor"}, wire.Load{Slots: 8, Leaving: true})
	}
	cfg := *ls.config
	cfg.Version++
	cfg.EvacuatedZones = []string{"taqah-shed"}
	ls.setConfig(&cfg)
	for range n {
		ls.handleRequest(&request{op: wire.OpSubmit, key: newKey(t), team: "kiln", sub: job(1), ctx: context.Background(), deadline: ls.now().Add(5 * time.Second), reply: make(chan reply, 1)})
	}
}

// Guards against an event loop that does nothing else but look for the workers of waiting
// jobs: each tick, 10 ms, handles all of them again. With a search for each of 1,000 jobs,
// a tick took 11 ms with 890 workers.
func TestTickWithManyWaitingJobs(t *testing.T) {
	t.Parallel()
	const jobs = 1000
	tick := func(workers int) time.Duration {
		took, ok := postAndWait(context.Background(), newCluster(t).startConfigured("e1").Entry, func(ls *loopState) time.Duration {
			blockJobs(t, ls, workers, jobs)
			shortest := time.Hour
			for range 10 {
				start := time.Now()
				ls.retryBlocked(ls.now())
				shortest = min(shortest, time.Since(start))
			}
			qt.Check(t, ls.blockedRequests, qt.HasLen, jobs)
			ls.blockedRequests = nil
			return shortest
		})
		qt.Assert(t, ok, qt.IsTrue)
		return took
	}
	few, many := tick(2), tick(890)
	qt.Assert(t, many < 4*few, qt.IsTrue, qt.Commentf("%v with 2 workers, %v with 890", few, many))
}

// Guards against memory without a bound: jobs that wait for workers aren't in the queue, so
// that no limit of admission holds for them.
func TestWaitingJobsAreBounded(t *testing.T) {
	t.Parallel()
	n := newCluster(t).startConfigured("e1")
	many, large := job(200), job(1)
	large.Tasks[0] = make([]byte, maxRunningBytes/4)
	for _, tc := range []struct {
		sub  *api.Submission
		want int // the number of jobs that wait; MaxQueuedTasks is 1,000
	}{{many, 5}, {large, 4}} {
		var reason api.Reason
		waiting, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) []int {
			if len(ls.agents) == 0 {
				blockJobs(t, ls, 2, 0)
			}
			ls.blockedRequests = nil
			ls.retryBlocked(ls.now())
			done := make(chan reply, 10)
			for range 6 {
				ls.handleRequest(&request{op: wire.OpSubmit, key: newKey(t), team: "kiln", sub: tc.sub, ctx: context.Background(), deadline: ls.now().Add(5 * time.Second), reply: done})
			}
			before := len(ls.blockedRequests)
			ls.retryBlocked(ls.now())
			reason = ls.admitToCopy(tc.sub, time.Second).explanation.Reason
			return []int{before, len(ls.blockedRequests)}
		})
		qt.Check(t, waiting, qt.DeepEquals, []int{tc.want, tc.want})
		qt.Check(t, reason, qt.Equals, api.ReasonOverload)
	}
}

// Guards against memory without a bound, and against a worker that is never forgotten: an
// agent that reconnects under another name leaves none of its former names behind.
func TestRenamedWorkerIsForgotten(t *testing.T) {
	t.Parallel()
	n := newCluster(t).startConfigured("e1")
	got, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) []int {
		for i := range 100 {
			connect(ls, fmt.Sprint("v", i), 11, "salalah-kiln", []string{"cleft-assessor"}, wire.Load{Slots: 8})
			ls.agents[11].conn = nil
		}
		return []int{len(ls.workers), len(ls.agentByWorker)}
	})
	qt.Assert(t, got, qt.DeepEquals, []int{1, 1})
}

// Guards against jobs that wait in vain, each for 2 s, for a worker whose agent restarts again
// and again without accepting tasks.
func TestRestartingAgentIsNotAwaitedForever(t *testing.T) {
	t.Parallel()
	n := newCluster(t).startConfigured("e1")
	got, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) (awaited []bool) {
		connect(ls, "w1", 11, "salalah-kiln", []string{"cleft-assessor"}, wire.Load{Slots: 8})
		now := ls.now()
		for i := range 20 {
			now = now.Add(4 * time.Second)
			ls.recordWorker(&agentState{id: uint64(12 + i), worker: "w1", zone: "salalah-kiln", conn: &transport.Conn{}, load: wire.Load{Leaving: true}}, now)
			awaited = append(awaited, ls.workerReturns("cleft-assessor", now.Add(time.Second)))
		}
		return awaited
	})
	// The worker is awaited from when it stops accepting tasks, from the next restart, and from
	// the one a minute after that.
	want := make([]bool, 20)
	want[0], want[1], want[16] = true, true, true
	qt.Assert(t, got, qt.DeepEquals, want)
}
