package runner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// runKinds runs tasks of kind a, every second of them beside a task of kind b, for which
// they take factor times as long. It returns the reports to each entry.
func (f *fixture) runKinds(rounds, factor int) map[ConnID][]*link.Report {
	all := map[ConnID][]*link.Report{}
	collect := func() {
		for conn, r := range f.reports {
			all[conn] = append(all[conn], r)
		}
	}
	wait := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			f.now += 25 * ms
			for conn := ConnID(1); conn <= 2; conn++ {
				f.receive(conn, &link.Commands{})
			}
			f.answerRenewal(f.running()...)
			f.s.Tick(f.now)
			f.takeActions()
			collect()
		}
	}
	for i := range rounds {
		a, c, b := start(fmt.Sprint("a", i), 0), start(fmt.Sprint("c", i), 0), start(fmt.Sprint("b", i), 0)
		a.Kind, b.Kind, c.Kind = "a", "b", "c"
		a.EstimateMS, b.EstimateMS = 100+int64(i*37%50), 300
		starts := []link.Start{a, c}
		length := 100 * ms
		if i%2 == 1 {
			starts, length = append(starts, b), time.Duration(factor)*100*ms
		}
		f.sendCommands(1, &link.Commands{Starts: starts})
		for _, call := range f.starts {
			f.s.StartDone(f.now, call, StartOK, 5000+f.now.Milliseconds())
		}
		f.takeActions()
		collect()
		wait(100 * ms)
		f.answerRenewalWithEnds([]ListedEnd{{Task: c.Task, Attempt: 1}}, f.running(c.Task)...)
		wait(length - 100*ms)
		f.answerRenewalWithEnds([]ListedEnd{{Task: a.Task, Attempt: 1}}, f.running(a.Task)...)
		if i%2 == 1 {
			wait(300*ms - length)
			f.answerRenewalWithEnds([]ListedEnd{{Task: b.Task, Attempt: 1}}, f.running(b.Task)...)
		}
	}
	return all
}

// running lists the runs of the agent as the worker would, but for those that have ended.
func (f *fixture) running(but ...link.TaskID) []ListedRun {
	var runs []ListedRun
	for _, r := range f.s.sortedRuns() {
		if len(but) == 0 || r.task != but[0] {
			runs = append(runs, ListedRun{Task: r.task, Attempt: r.attempt})
		}
	}
	return runs
}

func newKindsFixture(t *testing.T) *fixture {
	f := newReadyFixture(t)
	f.s.EntryConnected(f.now, 2, link.Hello{Entry: "e2", Incarnation: 12})
	f.takeActions()
	return f
}

// Guards against a slowdown that an entry isn't told of because another one's tasks showed
// it, and against a list in every report.
func TestAllEntriesAreToldOfKindsThatSlowEachOtherDown(t *testing.T) {
	f := newKindsFixture(t)
	for conn, reports := range f.runKinds(300, 2) {
		last, lists, slowed := time.Duration(0), 0, link.Pair{}
		for _, r := range reports {
			if len(r.Pairs) == 0 {
				continue
			}
			at := time.Duration(r.ClockMS) * ms
			f.Check(at-last >= pairsInterval, qt.IsTrue, qt.Commentf("connection %d: %v", conn, at-last))
			last = at
			lists++
			for _, p := range r.Pairs {
				if p.Kind == "a" && p.Neighbor == "b" {
					slowed = p
				}
			}
		}
		f.Check(lists > 0 && slowed.XX > 1 && slowed.XY/slowed.XX > 0.4, qt.IsTrue, qt.Commentf("connection %d: %+v", conn, slowed))
		f.Check(lists < 60, qt.IsTrue, qt.Commentf("%d lists", lists))
	}
}

// Guards against messages that grow where nothing interferes.
func TestReportsAreUnchangedWithoutInterference(t *testing.T) {
	f := newKindsFixture(t)
	for _, reports := range f.runKinds(300, 1) {
		for _, r := range reports {
			f.Assert(len(r.Pairs)+len(r.Running), qt.Equals, 0)
		}
	}
}

// Guards against an entry that keeps kinds apart by its settings and doesn't see the tasks of
// other entries, against reports that grow for entries without that setting, and against lists
// that fill the agent's memory.
func TestKindsThatAnEntryAsksFor(t *testing.T) {
	f := newKindsFixture(t)
	f.sendCommands(1, &link.Commands{CountKinds: append([]string{strings.Repeat("x", 65), "a", "never"}, make([]string, 100)...)})
	f.Assert(len(f.s.conns[1].countKinds) <= 2*interference.MaxKeptApart, qt.IsTrue)
	var starts []link.Start
	for i, kind := range []string{"a", "a", "b"} {
		s := start("j", i)
		s.Kind = kind
		starts = append(starts, s)
	}
	f.sendCommands(2, &link.Commands{Starts: starts})
	f.now += 100 * ms
	f.sendCommands(1, &link.Commands{})
	f.Assert(f.reports[1].Running, qt.DeepEquals, []link.KindCount{{Kind: "a", Count: 2}})
	f.now += 100 * ms
	f.sendCommands(2, &link.Commands{})
	f.Assert(f.reports[2].Running, qt.HasLen, 0)
}
