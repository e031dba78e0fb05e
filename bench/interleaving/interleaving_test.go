package interleaving

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	seeds     = flag.Int("seeds", 40, "number of seeds")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	withKinds = flag.String("kinds", "", "comma-separated kinds of faults to use instead of those of each seed")
	without   = flag.String("without", "", "comma-separated kinds of faults to leave out")
	listed    = flag.Bool("list-stopping", false, "let all workers list the runs that they are stopping")
	traces    = flag.String("traces", "", "directory for the traces of violations, each with as few faults as possible")
)

func run(s scenario) *world {
	w := newWorld(s)
	w.runUntil(duration)
	return w
}

// minimize leaves out the faults without which the violation still occurs.
func minimize(s scenario) *world {
	w := run(s)
	s.only = map[int]bool{}
	total := 0
	for _, f := range w.faults {
		var index int
		_, _ = fmt.Sscanf(f, "#%d", &index)
		s.only[index] = true
		total = max(total, index)
	}
	for changed := true; changed; {
		changed = false
		for i := total; i > 0; i-- {
			if !s.only[i] {
				continue
			}
			delete(s.only, i)
			if smaller := run(s); len(smaller.violations) > 0 {
				w, changed = smaller, true
			} else {
				s.only[i] = true
			}
		}
	}
	return w
}

func configure(s scenario) scenario {
	if *withKinds != "" {
		s.kinds = nil
		for _, name := range strings.Split(*withKinds, ",") {
			s.kinds = append(s.kinds, faultKind(slices.Index(kindNames, name)))
		}
	}
	s.kinds = slices.DeleteFunc(s.kinds, func(k faultKind) bool { return slices.Contains(strings.Split(*without, ","), k.String()) })
	s.listStopping = s.listStopping || *listed
	return s
}

// Guards against a task that runs on two workers at the same time or on a worker without its
// label, whatever is delayed, lost or restarted.
func TestNoTaskRunsTwice(t *testing.T) {
	c := qt.New(t)
	table := map[string][2]int{}
	count := func(key string, violated bool) {
		n := table[key]
		n[0]++
		if violated {
			n[1]++
		}
		table[key] = n
	}
	completed, sent, runs, lateOnOtherLabels := 0, 0, 0, 0
	var failed []uint64
	for i := range *seeds {
		s := configure(newScenario(*firstSeed + uint64(i)))
		w := run(s)
		completed, sent, runs = completed+w.completed, sent+w.sent, runs+w.runsStarted
		lateOnOtherLabels += w.lateOnOtherLabels
		violated := len(w.violations) > 0
		count("all", violated)
		for _, k := range s.kinds {
			count(k.String(), violated)
		}
		if !violated {
			continue
		}
		failed = append(failed, s.seed)
		m := minimize(s)
		if *traces != "" {
			c.Assert(os.WriteFile(fmt.Sprintf("%s/%d.txt", *traces, s.seed), []byte(m.report()), 0o644), qt.IsNil)
		}
		count("class "+m.violations[0].class, true)
		t.Logf("seed %d: %s: %s; overlap %v; with faults\n  %s", s.seed, m.violations[0].class, m.violations[0].text, m.violations[0].overlap, strings.Join(m.faults, "\n  "))
	}
	keys := append([]string{"all"}, kindNames...)
	for _, k := range keys {
		t.Logf("%-18s seeds %5d violated %5d", k, table[k][0], table[k][1])
	}
	for _, k := range slices.Sorted(maps.Keys(table)) {
		if strings.HasPrefix(k, "class") {
			t.Logf("%5d %s", table[k][1], k)
		}
	}
	t.Logf("jobs sent %d, completed %d, runs %d, late starts on workers without the label %d", sent, completed, runs, lateOnOtherLabels)
	c.Assert(failed, qt.HasLen, 0, qt.Commentf("seeds with violations"))
}

// Guards against the return of faults that let a task run twice or without its label, or a
// worker be filled beyond its capacity. Each seed failed without the rule that it names when it
// was added; a later rule may prevent the same violation.
func TestSeedsOfPastFaults(t *testing.T) {
	for _, tc := range []struct {
		rule         string
		seed         uint64
		listStopping bool
		kinds        []faultKind
	}{
		{"a start that a cut has held up is refused", 50043, true, []faultKind{cutHost, callerReset}},
		{"a start that a cut has held up is refused", 50358, true, []faultKind{cutHost, callerReset}},
		{"an unconfirmed run counts until the worker has had the time to stop it", 50161, false, []faultKind{silentConns, lossyWorker}},
		{"an unconfirmed run counts until the worker has had the time to stop it", 50355, false, []faultKind{silentConns, lossyWorker}},
		{"an unanswered start is stopped on the restarted worker", 50261, true, []faultKind{lossyWorker, restartWorker, callsCrossLives}},
		{"an unanswered start is stopped on the restarted worker", 50268, true, []faultKind{lossyWorker, restartWorker, callsCrossLives}},
		{"a run that begins after the first list of an agent is stopped", 60025, true, []faultKind{killAgent, lossyWorker, slowAnswers}},
		{"a restarted agent lets the lease of its previous process pass", 365, true, []faultKind{killAgent, freezeAgent, lossyWorker, slowAnswers}},
		{"a start for an earlier revision of the worker is refused", 14, true, []faultKind{changeWorker, delays}},
		{"a start for an earlier revision of the worker is refused", 12, true, []faultKind{changeWorker, slowEntry}},
		{"no start is made until a worker that may have restarted unnoticed has answered", 70022, true, []faultKind{slowAgent, lossyWorker, slowAnswers, changeWorker}},
		{"no start is made until a worker that may have restarted unnoticed has answered", 203, true, []faultKind{changeWorker, freezeAgent}},
		{"no start is made until a worker that may have restarted unnoticed has answered", 71404, true, []faultKind{changeWorker, freezeAgent}},
		{"no start is made until a worker that may have restarted unnoticed has answered", 70193, true, []faultKind{changeWorker, freezeAgent, lossyWorker}},
		{"a call reaches only the worker instance that it is for", 300004, true, []faultKind{holdListener}},
		{"a call reaches only the worker instance that it is for", 300007, true, []faultKind{holdListener}},
		{"a call reaches only the worker instance that it is for", 300022, true, []faultKind{holdListener, changeWorker}},
		{"a call reaches only the worker instance that it is for", 70378, true, []faultKind{changeWorker, slowAgent, lossyWorker, slowAnswers}},
		{"a call reaches only the worker instance that it is for", 70636, true, []faultKind{changeWorker, lossyWorker, freezeAgent}},
	} {
		t.Run(fmt.Sprintf("%s, seed %d", tc.rule, tc.seed), func(t *testing.T) {
			s := newScenario(tc.seed)
			s.kinds, s.listStopping = tc.kinds, tc.listStopping
			if w := run(s); len(w.violations) > 0 {
				t.Fatal(w.report())
			}
		})
	}
}
