package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/wire"
)

var t0 = time.Unix(1_700_000_000, 0)

var zones = []string{"salalah-kiln", "taqah-shed", "mirbat-store"}

// newFleet returns a State with n connected agents of 8 slots that serve "s".
func newFleet(n int, o Options) *State {
	s := New(o)
	for i := range n {
		s.AgentConnected(Agent{
			ID: uint64(i + 1), Worker: fmt.Sprintf("w%d", i+1), Zone: zones[i%3],
			Services: []string{"s"}, Load: wire.Load{Slots: 8},
		}, t0)
	}
	return s
}

// picks calls Pick n times and returns the number of slots reserved on each agent.
func picks(s *State, n int, c wire.Class, now time.Time) map[uint64]int {
	got := map[uint64]int{}
	for range n {
		if id, ok := s.Pick("s", c, now); ok {
			got[id]++
		}
	}
	return got
}

// succeeded describes a task that ended without error.
func succeeded(c wire.Class, typ string, d time.Duration) TaskEnd {
	return TaskEnd{Service: "s", Type: typ, Class: c, Outcome: wire.OutcomeOK, RunTime: d}
}

// Guards against starts on agents that must not get any, and against more starts
// than slots.
func TestEligibleAgents(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(s *State)
		wantAgent1 int
		wantTotal  int
		service    string
	}{
		{"all slots", func(*State) {}, 8, 32, "s"},
		{"leaving", func(s *State) { s.UpdateLoad(1, wire.Load{Slots: 8, Leaving: true}, nil, t0) }, 0, 24, "s"},
		{"drained or not allowed", func(s *State) {
			s.SetAllowedWorkers(func(w, _, _ string) bool { return w != "w1" })
		}, 0, 24, "s"},
		{"zone evacuated", func(s *State) {
			// Agents 1 and 4 are in the zone. Agent 5 connects afterwards.
			s.SetAllowedWorkers(func(_, zone, _ string) bool { return zone != zones[0] })
			s.AgentConnected(Agent{ID: 5, Worker: "w5", Zone: zones[0], Services: []string{"s"}, Load: wire.Load{Slots: 8}}, t0)
		}, 0, 16, "s"},
		{"zone restored", func(s *State) {
			s.SetAllowedWorkers(func(_, zone, _ string) bool { return zone != zones[0] })
			s.SetAllowedWorkers(func(_, _, _ string) bool { return true })
		}, 8, 32, "s"},
		{"disconnected", func(s *State) { s.AgentDisconnected(1) }, 0, 24, "s"},
		{"service changed", func(s *State) { s.UpdateLoad(1, wire.Load{Slots: 8}, []string{"other"}, t0) }, 0, 24, "s"},
		{"used by another entry", func(s *State) { s.UpdateLoad(1, wire.Load{Slots: 8, Running: 5, Held: 1}, nil, t0) }, 2, 26, "s"},
		{"busy", func(s *State) {
			picks(s, 1, wire.ClassShort, t0)
			s.TaskEnded(1, TaskEnd{Service: "s", Outcome: wire.OutcomeBusy}, t0)
		}, 0, 24, "s"},
	} {
		for _, policy := range []string{Estimate, Random, PowerOfTwo} {
			if policy != Estimate && (c.name == "used by another entry" || c.name == "busy") {
				continue // the baseline policies count only this entry's tasks against the slots
			}
			t.Run(c.name+"/"+policy, func(t *testing.T) {
				s := newFleet(4, Options{Policy: policy})
				c.change(s)
				got := picks(s, 2000, wire.ClassShort, t0)
				total := 0
				for _, n := range got {
					total += n
				}
				qt.Assert(t, got[1], qt.Equals, c.wantAgent1)
				if c.name != "busy" {
					qt.Assert(t, total, qt.Equals, c.wantTotal)
				}
			})
		}
	}
}

// Guards against a wrong order of preference: free slots, then speed, then zone.
func TestPreference(t *testing.T) {
	s := newFleet(3, Options{Zone: zones[1]})
	id, _ := s.Pick("s", wire.ClassShort, t0)
	qt.Assert(t, id, qt.Equals, uint64(2), qt.Commentf("same zone"))
	s.TaskEnded(id, succeeded(wire.ClassShort, "t", 100*time.Millisecond), t0)
	for range 40 {
		for id := uint64(1); id <= 3; id++ {
			d := 100 * time.Millisecond
			if id == 3 {
				d /= 2
			}
			s.TaskEnded(id, succeeded(wire.ClassShort, "t", d), t0)
		}
	}
	got := picks(s, 7, wire.ClassShort, t0)
	qt.Assert(t, got, qt.DeepEquals, map[uint64]int{3: 7}, qt.Commentf("faster agent while it has two free slots"))
	id, _ = s.Pick("s", wire.ClassShort, t0)
	qt.Assert(t, id, qt.Equals, uint64(2), qt.Commentf("more free slots"))
}

// Guards against counting starts in transit as running at the agent, which would
// hide the tasks of other entries.
func TestReportExcludesStartsInTransit(t *testing.T) {
	s := newFleet(1, Options{RoundTripTime: 3 * time.Millisecond})
	picks(s, 2, wire.ClassShort, t0)
	picks(s, 2, wire.ClassLong, t0.Add(9*time.Millisecond))
	s.UpdateLoad(1, wire.Load{Slots: 8, Running: 5, RunningLong: 3}, nil, t0.Add(10*time.Millisecond))
	qt.Assert(t, s.Supply("s").BusyByOthers, qt.Equals, 3)
	qt.Assert(t, len(picks(s, 9, wire.ClassShort, t0.Add(10*time.Millisecond))), qt.Equals, 1)
	qt.Assert(t, s.Agents(t0.Add(10 * time.Millisecond))[0].OwnTasks, qt.Equals, 5)
}

// Guards against an estimate that depends on the order in which UpdateLoad and
// TaskEnded are called for one message.
func TestReportAndTaskEndOfOneMessage(t *testing.T) {
	for _, taskEndedFirst := range []bool{true, false} {
		s := newFleet(1, Options{})
		picks(s, 3, wire.ClassShort, t0)
		now := t0.Add(time.Second)
		if taskEndedFirst {
			s.TaskEnded(1, succeeded(wire.ClassShort, "t", time.Second), now)
		}
		s.UpdateLoad(1, wire.Load{Slots: 8, Running: 6}, nil, now)
		if !taskEndedFirst {
			s.TaskEnded(1, succeeded(wire.ClassShort, "t", time.Second), now)
		}
		qt.Assert(t, s.Supply("s").BusyByOthers, qt.Equals, 4, qt.Commentf("TaskEnded first: %v", taskEndedFirst))
	}
}

// Guards against an estimate that keeps using an old report of an idle agent while
// the other agents are full, and against one that keeps using old reports of full
// agents.
func TestReportDecays(t *testing.T) {
	s := newFleet(4, Options{})
	for range 64 {
		for id := uint64(1); id <= 4; id++ {
			s.UpdateLoad(id, wire.Load{Slots: 8, Running: 8}, nil, t0)
		}
	}
	s.UpdateLoad(1, wire.Load{Slots: 8}, nil, t0)
	free := func(after time.Duration) int { return s.Agents(t0.Add(after))[0].Free }
	qt.Assert(t, free(0), qt.Equals, 8)
	qt.Assert(t, free(2*defaultRunTime) <= 2, qt.IsTrue)
	qt.Assert(t, s.HasFreeSlot("s", wire.ClassLong, t0.Add(10*time.Minute)), qt.IsTrue)
	qt.Assert(t, free(10*time.Minute), qt.Equals, 8)
}

// Guards against long tasks that occupy every slot.
func TestLongTasksAreLimitedToLongShare(t *testing.T) {
	s := newFleet(2, Options{})
	s.UpdateLoad(1, wire.Load{Slots: 8, Running: 3, RunningLong: 3}, nil, t0)
	got := picks(s, 100, wire.ClassLong, t0)
	qt.Assert(t, got, qt.DeepEquals, map[uint64]int{1: 3, 2: 6})
	qt.Assert(t, len(picks(s, 100, wire.ClassShort, t0)), qt.Equals, 2)
}

// Guards against stragglers that turn a short type into a long one, and against an
// unbounded number of types.
func TestClassIsLearned(t *testing.T) {
	s := newFleet(1, Options{MaxTypes: 4})
	qt.Assert(t, s.Class("s", "bulk"), qt.Equals, wire.ClassShort)
	for i := range 64 {
		d := 20 * time.Millisecond
		if i%50 == 49 {
			d *= 100
		}
		s.TaskEnded(1, succeeded(wire.ClassShort, "spot", d), t0)
		s.TaskEnded(1, succeeded(wire.ClassShort, "press", 90*time.Millisecond), t0)
		s.TaskEnded(1, succeeded(wire.ClassShort, "bulk", 2*time.Second), t0)
	}
	qt.Assert(t, s.Class("s", "spot"), qt.Equals, wire.ClassShort)
	qt.Assert(t, s.Class("s", "press"), qt.Equals, wire.ClassShort)
	qt.Assert(t, s.Class("s", "bulk"), qt.Equals, wire.ClassLong)
	for i := range 100 {
		s.TaskEnded(1, succeeded(wire.ClassShort, fmt.Sprint(i), time.Second), t0.Add(time.Second))
	}
	qt.Assert(t, s.types.byKey, qt.HasLen, 4)
}

// simulate keeps up to load tasks in flight for the duration d. bad gives the outcome
// and run time of tasks on agent 1. simulate returns the number of tasks that ended
// on each agent after the first second.
func simulate(s *State, d time.Duration, load int, bad func(now time.Time) (wire.Outcome, time.Duration)) map[uint64]int {
	type run struct {
		id     uint64
		endsAt time.Time
		end    TaskEnd
	}
	var runs []run
	got := map[uint64]int{}
	r := rand.New(rand.NewPCG(1, 1))
	for now := t0; now.Before(t0.Add(d)); now = now.Add(time.Millisecond) {
		kept := runs[:0]
		for _, x := range runs {
			if now.Before(x.endsAt) {
				kept = append(kept, x)
				continue
			}
			s.TaskEnded(x.id, x.end, now)
			if now.Sub(t0) > time.Second {
				got[x.id]++
			}
		}
		runs = kept
		for len(runs) < load {
			id, found := s.Pick("s", wire.ClassShort, now)
			if !found {
				break
			}
			x := run{id: id, end: succeeded(wire.ClassShort, "t", time.Duration(50+r.IntN(300))*time.Millisecond)}
			if id == 1 {
				x.end.Outcome, x.end.RunTime = bad(now)
			}
			x.endsAt = now.Add(x.end.RunTime)
			runs = append(runs, x)
		}
	}
	return got
}

// Guards against sending work to an agent that fails fast and so has free slots,
// against using an agent that is far too slow, and against never readmitting an
// agent that has recovered.
func TestEjection(t *testing.T) {
	failing := func(time.Time) (wire.Outcome, time.Duration) { return wire.OutcomeFailed, time.Millisecond }
	for _, c := range []struct {
		name     string
		bad      func(time.Time) (wire.Outcome, time.Duration)
		min, max float64 // share of the tasks that ended
	}{
		{"fails fast", failing, 0, 0.005},
		{"refuses fast", func(time.Time) (wire.Outcome, time.Duration) { return wire.OutcomeRefused, time.Millisecond }, 0, 0.005},
		{"slow", func(time.Time) (wire.Outcome, time.Duration) { return wire.OutcomeOK, 3 * time.Second }, 0, 0.01},
		{"recovers", func(now time.Time) (wire.Outcome, time.Duration) {
			if now.Sub(t0) < time.Second {
				return wire.OutcomeFailed, time.Millisecond
			}
			return wire.OutcomeOK, 200 * time.Millisecond
		}, 0.05, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := simulate(newFleet(11, Options{}), 15*time.Second, 70, c.bad)
			total := 0
			for _, n := range got {
				total += n
			}
			share := float64(got[1]) / float64(total)
			qt.Assert(t, share >= c.min && share <= c.max, qt.IsTrue, qt.Commentf("share %.4f of %d", share, total))
		})
	}
}

// Guards against a fast-failing agent that gets more tasks than the others when it
// cannot be ejected because there are too few agents.
func TestFastFailureGetsNoMoreThanItsShare(t *testing.T) {
	s := newFleet(2, Options{})
	got := simulate(s, 5*time.Second, 12, func(time.Time) (wire.Outcome, time.Duration) {
		return wire.OutcomeFailed, time.Millisecond
	})
	qt.Assert(t, got[1] <= got[2], qt.IsTrue, qt.Commentf("%v", got))
}

// Guards against ejecting so many agents that the rest can't serve the load.
func TestEjectionIsBounded(t *testing.T) {
	s := newFleet(11, Options{})
	for range 100 {
		for id := uint64(1); id <= 5; id++ {
			s.TaskEnded(id, TaskEnd{Service: "s", Outcome: wire.OutcomeFailed}, t0)
		}
		for id := uint64(6); id <= 11; id++ {
			s.TaskEnded(id, succeeded(wire.ClassShort, "t", time.Millisecond), t0)
		}
	}
	ejected := 0
	for _, a := range s.Agents(t0) {
		if a.Ejected {
			ejected++
		}
	}
	qt.Assert(t, ejected, qt.Equals, 3)
}

// Guards against ejecting all agents that remain while others of the service can't get
// tasks: with those counted, three ejections of ten agents were allowed, and callers got
// refusals although the three remaining workers worked.
func TestOnlyEligibleAgentsCountInEjectShare(t *testing.T) {
	exclude := func(s *State) {
		s.SetAllowedWorkers(func(w, _, _ string) bool { return w == "w1" || w == "w2" || w == "w3" })
	}
	fail := func(s *State, ids ...uint64) {
		for range 20 {
			for _, id := range ids {
				s.TaskEnded(id, TaskEnd{Service: "s", Outcome: wire.OutcomeFailed}, t0)
			}
		}
	}
	for _, c := range []struct {
		name   string
		change func(s *State)
		// failed is set if change includes the failures; otherwise agents 1 to 3 fail after it.
		failed bool
		want   int
	}{
		{"all eligible", func(*State) {}, false, 3},
		{"zones evacuated or workers drained", exclude, false, 0},
		{"disconnected", func(s *State) {
			for id := uint64(4); id <= 10; id++ {
				s.AgentDisconnected(id)
			}
		}, false, 0},
		{"leaving", func(s *State) {
			for id := uint64(4); id <= 10; id++ {
				s.UpdateLoad(id, wire.Load{Slots: 8, Leaving: true}, nil, t0)
			}
		}, false, 0},
		{"other service", func(s *State) {
			for id := uint64(4); id <= 10; id++ {
				s.UpdateLoad(id, wire.Load{Slots: 8}, []string{"other"}, t0)
			}
		}, false, 0},
		{"eligible again", func(s *State) {
			exclude(s)
			s.SetAllowedWorkers(nil)
		}, false, 3},
		// Those three would otherwise add to the ejections of others once they are eligible.
		{"failures of excluded agents", func(s *State) {
			s.SetAllowedWorkers(func(w, _, _ string) bool { return w != "w1" && w != "w2" && w != "w3" })
			fail(s, 1, 2, 3)
			s.SetAllowedWorkers(nil)
			fail(s, 4, 5, 6)
		}, true, 3},
		{"ejected before the exclusion", func(s *State) {
			fail(s, 1, 2, 3)
			exclude(s)
		}, true, 0},
		{"ejected before the exclusion of few", func(s *State) {
			fail(s, 1, 2, 3)
			s.SetAllowedWorkers(func(w, _, _ string) bool { return w != "w8" && w != "w9" && w != "w10" })
		}, true, 2},
		// The three are ejected before the exclusion; afterwards none is ejected again.
		{"failures in readmission", func(s *State) {
			fail(s, 1, 2, 3)
			exclude(s)
			s.Advance(t0.Add(time.Minute))
			for id := uint64(1); id <= 3; id++ {
				s.TaskEnded(id, TaskEnd{Service: "s", Outcome: wire.OutcomeFailed}, t0.Add(time.Minute))
			}
		}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(10, Options{})
			c.change(s)
			if !c.failed {
				fail(s, 1, 2, 3)
			}
			got := 0
			for _, a := range s.Agents(s.now) {
				if a.Ejected {
					got++
				}
			}
			qt.Assert(t, got, qt.Equals, c.want)
		})
	}
}

// Guards against ejecting agents in an overload, when tasks of large jobs fail on
// all agents because their deadline has passed.
func TestFailuresOnAllAgentsEjectNone(t *testing.T) {
	s := newFleet(11, Options{})
	for range 100 {
		for id := uint64(1); id <= 11; id++ {
			s.TaskEnded(id, succeeded(wire.ClassShort, "t", time.Millisecond), t0)
		}
		for n := range 11 * 8 {
			s.TaskEnded(uint64(n%11+1), TaskEnd{Service: "s", Outcome: wire.OutcomeFailed}, t0)
		}
		for _, a := range s.Agents(t0) {
			qt.Assert(t, a.Ejected, qt.IsFalse)
		}
	}
}

// Guards against comparing an agent with those that get no tasks: their outcomes are those
// of the time before, so that failures or a slowdown that all other agents have alike, for
// example because of the tasks, would eject it.
func TestOnlyEligibleAgentsAreCompared(t *testing.T) {
	for _, c := range []struct {
		name string
		end  TaskEnd
	}{
		{"failures", TaskEnd{Service: "s", Outcome: wire.OutcomeFailed}},
		{"slowdown", succeeded(wire.ClassShort, "", 10*time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFleet(40, Options{})
			// With 200 types, the typical run times change little while the tasks are slow.
			for i := range 200 {
				for id := uint64(1); id <= 40; id++ {
					s.TaskEnded(id, succeeded(wire.ClassShort, fmt.Sprint(i), 100*time.Millisecond), t0)
				}
			}
			s.SetAllowedWorkers(func(w, _, _ string) bool { return slices.Contains([]string{"w1", "w2", "w3", "w4"}, w) })
			for i := range 200 {
				for id := uint64(1); id <= 4; id++ {
					c.end.Type = fmt.Sprint(i)
					s.TaskEnded(id, c.end, t0)
				}
			}
			for _, a := range s.Agents(t0) {
				qt.Check(t, a.Ejected, qt.IsFalse, qt.Commentf("%s: %s", a.Worker, a.EjectionReason))
			}
		})
	}
}

// Guards against losing the count of tasks in flight over a reconnection, and
// against keeping records of agents that never reconnect.
func TestReconnection(t *testing.T) {
	s := newFleet(2, Options{})
	qt.Assert(t, picks(s, 16, wire.ClassShort, t0), qt.HasLen, 2)
	later := t0.Add(time.Second)
	s.AgentDisconnected(1)
	s.AgentConnected(Agent{ID: 1, Worker: "w1", Services: []string{"s"}, Load: wire.Load{Slots: 8, Running: 8}}, later)
	qt.Assert(t, s.HasFreeSlot("s", wire.ClassShort, later), qt.IsFalse)
	later = later.Add(time.Millisecond)
	s.TaskEnded(1, succeeded(wire.ClassShort, "t", time.Millisecond), later)
	qt.Assert(t, picks(s, 16, wire.ClassShort, later), qt.DeepEquals, map[uint64]int{1: 1})
	s.AgentDisconnected(2)
	s.AgentConnected(Agent{ID: 3, Worker: "w3", Services: []string{"s"}}, t0.Add(2*disconnectedRetention))
	qt.Assert(t, s.agentList, qt.HasLen, 2)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 100, 890} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newFleet(n, Options{Zone: zones[0]})
			ids := make([]uint64, n*6) // in flight, oldest first
			for i := range ids {
				ids[i], _ = s.Pick("s", wire.ClassShort, t0)
			}
			now := t0
			b.ReportAllocs()
			for i := 0; b.Loop(); i = (i + 1) % len(ids) {
				now = now.Add(10 * time.Millisecond / time.Duration(n)) // each agent gets 100 starts/s
				id, found := ids[i], false
				s.UpdateLoad(id, wire.Load{Slots: 8, Running: uint16(s.agents[id].ownTasks)}, nil, now)
				s.TaskEnded(id, succeeded(wire.ClassShort, "t", 100*time.Millisecond), now)
				if ids[i], found = s.Pick("s", wire.ClassShort, now); !found {
					b.Fatal("no agent found")
				}
			}
		})
		b.Run(fmt.Sprintf("without-reports/%d", n), func(b *testing.B) {
			s := newFleet(n, Options{Zone: zones[0]})
			now := t0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				id, _ := s.Pick("s", wire.ClassShort, now)
				s.agents[id].recordEnd(wire.ClassShort)
			}
		})
	}
}
