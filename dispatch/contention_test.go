package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// pair returns sums of a pair with a slowdown factor that is beyond doubt.
func pair(kind, neighbor string, factor float64) link.Pair {
	return link.Pair{Kind: kind, Neighbor: neighbor, XX: 100, XY: float32(101 * math.Log(factor)), Residual: 100, Freedom: 1000}
}

// Load pattern: tasks of two queues, one of which slows the other down, with and without
// room to keep them apart, and with only one worker that has any.
func TestKindsAreKeptApartWhereThereIsRoom(t *testing.T) {
	for _, tc := range []struct {
		name         string
		pair         link.Pair
		free1, free2 int
		want         string
	}{
		{"nothing is known", link.Pair{}, 6, 6, "w1"},
		{"the task is slowed down", pair("queue", "other", 2), 6, 6, "w2"},
		{"the task slows others down", pair("other", "queue", 2), 6, 6, "w2"},
		{"another pair", pair("other", "third", 2), 6, 6, "w1"},
		{"scarce capacity", pair("queue", "other", 2), 2, 2, "w1"},
		{"only that worker has room", pair("queue", "other", 8), 8, 0, "w1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1", 8, 1.1)
			h.addWorker("w2", 8, 0.8)
			h.report("w1", tc.free1, 1.1, &link.Report{Running: []link.KindCount{{Kind: "other", Count: 2}}, Pairs: []link.Pair{tc.pair}})
			h.report("w2", tc.free2, 0.8, &link.Report{Pairs: []link.Pair{tc.pair}})
			// Due so soon that the task doesn't go to the slowest worker that is fast enough.
			j := h.newJob("j", 1, 100*ms)
			j.LatencyFactor, j.LatencyAllowance = 0.9, 40*ms
			h.mustAccept(j)
			h.Assert(h.takeStarts()[tc.want], qt.HasLen, 1)
		})
	}
}

// Load pattern: the worker that keeps kinds apart is too slow, the only one in time runs
// tasks of the other kind, and a further fast one is full. Guards against a task that waits
// for the full one, or is late, although there is room in time.
func TestKindsAreNotKeptApartAtThePriceOfLateness(t *testing.T) {
	for _, p := range []link.Pair{pair("other", "queue", 2), pair("queue", "other", 3)} {
		h := newHarness(t)
		h.addWorker("fast", 8, 1.2)
		h.addWorker("busy", 8, 1.2)
		h.addWorker("slow", 8, 0.55)
		h.report("fast", 6, 1.2, &link.Report{Running: []link.KindCount{{Kind: "other", Count: 2}}})
		h.report("busy", 0, 1.2, &link.Report{Pairs: []link.Pair{p}})
		h.report("slow", 8, 0.55, &link.Report{Pairs: []link.Pair{p}})
		j := h.newJob("j", 1, 100*ms)
		j.LatencyFactor, j.LatencyAllowance = 1, 20*ms
		e := h.s.Explain(h.now, j)
		h.Check(e.Tasks[0].Rule, qt.Equals, "lowest cost of those in time, with no regard to kinds that slow each other down")
		h.mustAccept(j)
		h.Check(h.takeStarts()["fast"], qt.HasLen, 1)
	}
}

// Guards against memory that an agent fills with kinds that none can keep.
func TestRunningKindsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w", 8, 1)
	r := &link.Report{Running: []link.KindCount{{Kind: strings.Repeat("x", interference.MaxKindLength+1), Count: 1}}}
	for i := range 100 {
		r.Running = append(r.Running, link.KindCount{Kind: fmt.Sprint(i), Count: 1})
	}
	h.report("w", 8, 1, r)
	h.Assert(h.s.workers["w"].running, qt.DeepEquals, r.Running[1:interference.MaxKinds])
}

// Guards against a log line with each report, and against a pair that nobody is told of.
func TestChangesOfPairsAreLogged(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 8, 1)
	lines := func(p link.Pair) int {
		h.s.TakeActions(h.now)
		h.report("w1", 8, 1, &link.Report{Pairs: []link.Pair{p}})
		return len(h.s.TakeActions(h.now).LogLines)
	}
	h.Assert(lines(pair("a", "b", 2)), qt.Equals, 1)
	h.Assert(lines(pair("a", "b", 2.1)), qt.Equals, 0)
	h.Assert(lines(pair("a", "b", 1)), qt.Equals, 1)
	h.Assert(h.s.Stats().PairChanges, qt.Equals, int64(2))
	h.Assert(h.s.Stats().InterferingPairs, qt.Equals, 0)
}

// Guards against a different placement where no pair counts, also if agents report some
// that are in doubt.
func TestPlacementIsUnchangedWithoutPairs(t *testing.T) {
	placed := func(weight float64) (starts []string) {
		h := newHarness(t)
		h.s.opts.Policy.ContentionWeight = weight
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 20 {
			h.addWorker(fmt.Sprint("w", i), 8, 0.5+random.Float64())
		}
		for i := range 300 {
			j := h.newJob(fmt.Sprint("j", i), 1+random.IntN(3), 100*ms)
			j.Queue = fmt.Sprint("q", i%3)
			h.mustAccept(j)
			for _, command := range h.takeActions() {
				w, list := command.Worker, command.Starts
				for _, s := range list {
					starts = append(starts, fmt.Sprint(w, s.Task))
				}
				// Some have ended, and tasks of other entries run there.
				doubtful := pair("q1", "q2", 1.3)
				doubtful.Residual = 100000
				r := &link.Report{Running: []link.KindCount{{Kind: "q2", Count: 1}}, Pairs: []link.Pair{doubtful}}
				for _, s := range list {
					r.Answers, r.Ends = append(r.Answers, started(s)), append(r.Ends, ended(s, link.Done))
				}
				h.report(w, 4+random.IntN(4), 0.5+random.Float64(), r)
			}
		}
		return starts
	}
	with, without := placed(1), placed(0)
	qt.Assert(t, len(with) > 300, qt.IsTrue)
	qt.Assert(t, slices.Equal(with, without), qt.IsTrue)
}

// Load pattern: random jobs of three queues at growing load, two of which slow each other down.
// Guards against a setting that has another effect than a pair which agents have found: where
// there is no room for it, and where it would make tasks late.
func TestSettingHasTheEffectOfALearntPair(t *testing.T) {
	placed := func(learnt bool, keepApart ...interference.Pair) (starts []string) {
		h := newHarness(t)
		h.s = New(Options{RestartDelay: 900 * ms, RackSlowdown: 1.5, Seed: 1, MaxWaitingJobs: 100, KeepApart: keepApart})
		random := rand.New(rand.NewPCG(3, 4))
		for i := range 20 {
			h.addWorker(fmt.Sprint("w", i), 8, 0.5+random.Float64())
		}
		for i := range 2 {
			if learnt {
				h.report(fmt.Sprint("w", i), 8, 1, &link.Report{Pairs: []link.Pair{pair("q1", "q2", 2), pair("q2", "q1", 2)}})
			} else {
				h.report(fmt.Sprint("w", i), 8, 1, &link.Report{})
			}
		}
		h.takeActions()
		for i := range 400 {
			h.now += 5 * ms
			j := h.newJob(fmt.Sprint("j", i), 1+random.IntN(3), 100*ms)
			j.Queue = fmt.Sprint("q", i%3)
			if h.s.Submit(h.now, j) != nil {
				starts = append(starts, "refused")
			}
			for _, command := range h.takeActions() {
				r := &link.Report{Running: []link.KindCount{{Kind: fmt.Sprint("q", random.IntN(3)), Count: 1}}}
				for _, s := range command.Starts {
					starts = append(starts, fmt.Sprint(command.Worker, s.Task))
					r.Answers, r.Ends = append(r.Answers, started(s)), append(r.Ends, ended(s, link.Done))
				}
				h.report(command.Worker, 2+random.IntN(8-i/100), 0.5+random.Float64(), r)
			}
		}
		return starts
	}
	both, plain := interference.Pair{Kind: "q1", Neighbor: "q2"}, placed(false)
	found := placed(true)
	qt.Assert(t, slices.Equal(found, plain), qt.IsFalse)
	qt.Check(t, placed(false, both), qt.DeepEquals, found)
	qt.Check(t, placed(true, both), qt.DeepEquals, found)
	qt.Check(t, placed(false, interference.Pair{Kind: "q1", Neighbor: "unknown"}), qt.DeepEquals, plain)
}

// Guards against an entry that keeps kinds apart and doesn't ask a connection's agent for their
// tasks, and against messages without the setting.
func TestAgentsAreAskedForKindsThatAreKeptApart(t *testing.T) {
	for _, pairs := range [][]interference.Pair{nil, {{Kind: "b", Neighbor: "a"}}} {
		h := newHarness(t)
		h.s = New(Options{RestartDelay: 900 * ms, MaxWaitingJobs: 100, KeepApart: pairs})
		for range 2 {
			h.s.AgentConnected(h.now, "w1", 1)
			commands := h.takeActions()
			h.Assert(commands, qt.HasLen, len(pairs))
			if len(pairs) > 0 {
				h.Assert(commands[0].CountKinds, qt.DeepEquals, []string{"a", "b"})
			}
		}
	}
}

// Load pattern: tasks of other entries, of as many kinds as agents may report. Guards against
// kinds that are named to be kept apart and whose tasks aren't seen.
func TestAllKindsThatAreKeptApartAreCounted(t *testing.T) {
	h := newHarness(t)
	var pairs []interference.Pair
	for i := range interference.MaxKeptApart {
		pairs = append(pairs, interference.Pair{Kind: fmt.Sprintf("k%02d", 2*i), Neighbor: fmt.Sprintf("k%02d", 2*i+1)})
	}
	h.s = New(Options{RestartDelay: 900 * ms, MaxWaitingJobs: 100, KeepApart: pairs})
	h.s.AgentConnected(h.now, "w1", 1)
	r := &link.Report{Worker: state(7)}
	for i := range interference.MaxKinds {
		// Kinds that the agent suspects.
		r.Running = append(r.Running, link.KindCount{Kind: fmt.Sprintf("a%02d", i), Count: 1})
	}
	for _, kind := range h.takeActions()[0].CountKinds {
		r.Running = append(r.Running, link.KindCount{Kind: kind, Count: 1})
	}
	h.report("w1", 1, 1, r)
	for _, pair := range pairs {
		h.Check(h.s.workers["w1"].countOf(pair.Kind), qt.Equals, 1, qt.Commentf("%s", pair.Kind))
		h.Check(h.s.workers["w1"].countOf(pair.Neighbor), qt.Equals, 1, qt.Commentf("%s", pair.Neighbor))
	}
	r = &link.Report{Running: make([]link.KindCount, 10000)}
	h.report("w1", 1, 1, r)
	h.Check(h.s.workers["w1"].running, qt.HasLen, interference.MaxKinds+2*interference.MaxKeptApart)
}

// The cost of placing a task on one of 890 workers, without and with pairs that count.
func BenchmarkPlacement(b *testing.B) {
	for _, pairs := range []int{0, 1, 8} {
		b.Run(fmt.Sprint(pairs, " pairs"), func(b *testing.B) {
			h := &harness{C: qt.New(b), s: New(Options{MaxWaitingJobs: 1000})}
			for i := range 890 {
				h.addWorker(fmt.Sprint("w", i), 8, 1)
			}
			r := &link.Report{}
			for i := range pairs {
				r.Pairs = append(r.Pairs, pair("queue", fmt.Sprint("q", i), 2))
			}
			h.report("w0", 8, 1, r)
			h.report("w1", 8, 1, r)
			t := newJob(h.newJob("j", 1, 100*ms)).tasks[0]
			for b.Loop() {
				h.s.pickWorker(0, t)
			}
		})
	}
}
