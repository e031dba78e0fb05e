package bench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// Guards against a bench command that fails, and against jobs that do not complete
// at a load below the capacity.
func TestCommandSteady(t *testing.T) {
	var out, errOut bytes.Buffer
	exitCode := Run([]string{"-scenario", "steady", "-duration", "1s", "-json", "-plot", t.TempDir() + "/p.svg"}, &out, &errOut)
	qt.Assert(t, exitCode, qt.Equals, exitOK, qt.Commentf("%s", errOut.String()))
	var rep Report
	qt.Assert(t, json.Unmarshal(out.Bytes(), &rep), qt.IsNil)
	qt.Assert(t, rep.JobsComplete, qt.Equals, rep.Jobs, qt.Commentf("%s", out.String()))
	qt.Assert(t, rep.Tasks > 300, qt.IsTrue)
}

// Guards against invalid arguments that are accepted or rejected without a message.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{"-scenario", "x"}, {"-policy", "x"}, {"-duration", "-1s"}, {"x"}, {"-x"}} {
		var out, errOut bytes.Buffer
		qt.Assert(t, Run(args, &out, &errOut), qt.Equals, exitUsage)
		qt.Assert(t, errOut.Len() > 0, qt.IsTrue)
	}
}

// Guards against a trace whose load or share of long tasks differs from that of the
// workload, and against a trace that a seed does not reproduce.
func TestTrace(t *testing.T) {
	w := mixedWorkload(20 * time.Second)
	w.phases = w.phases[1:]
	jobs := generate(w, capacity(), 3)
	var work time.Duration
	tasks, long := 0, 0
	for i := range jobs {
		work += jobs[i].totalWork()
		tasks += len(jobs[i].work)
		if jobs[i].requestType == longType {
			long += len(jobs[i].work)
		}
		qt.Assert(t, len(jobs[i].work) <= api.MaxTasks, qt.IsTrue)
	}
	load := work.Seconds() / 20 / capacity()
	qt.Assert(t, load > 0.78 && load < 0.84, qt.IsTrue, qt.Commentf("load %v", load))
	share := float64(long) / float64(tasks)
	qt.Assert(t, share > 0.07 && share < 0.13, qt.IsTrue, qt.Commentf("share of long tasks %v", share))
	qt.Assert(t, generate(w, capacity(), 3)[10].arrival, qt.Equals, jobs[10].arrival)
}

// Guards against an ideal dispatcher that does not use the fastest free slot first
// or leaves a slot idle while a task waits.
func TestIdeal(t *testing.T) {
	seconds := func(n int) []time.Duration {
		w := make([]time.Duration, n)
		for i := range w {
			w[i] = time.Second
		}
		return w
	}
	got := idealResponseTimes([]job{{work: seconds(1)}, {work: seconds(2)}, {arrival: 100 * time.Millisecond, work: seconds(2)}}, []float64{2, 1}, 1)
	qt.Assert(t, got, qt.DeepEquals, []time.Duration{500 * time.Millisecond, time.Second, 1900 * time.Millisecond})
}

// Guards against a check that accepts an invalid answer or rejects a valid one.
func TestCheckAnswer(t *testing.T) {
	j := &job{key: api.NewKeyAt(time.Now(), 1), work: make([]time.Duration, 2)}
	result := func(task int) json.RawMessage {
		b, _ := json.Marshal(map[string]any{"echo": taskBody{ID: taskID(j, task)}})
		return b
	}
	for _, c := range []struct {
		name   string
		answer api.Answer
		ok     bool
	}{
		{"complete", api.Answer{Key: j.key, Verdict: api.Complete, Results: []json.RawMessage{result(0), result(1)}}, true},
		{"failed", api.Answer{Key: j.key, Verdict: api.Failed}, true},
		{"too few", api.Answer{Key: j.key, Verdict: api.Complete, Results: []json.RawMessage{result(0)}}, false},
		{"swapped", api.Answer{Key: j.key, Verdict: api.Complete, Results: []json.RawMessage{result(1), result(0)}}, false},
		{"failed with results", api.Answer{Key: j.key, Verdict: api.Failed, Results: []json.RawMessage{result(0)}}, false},
		{"other key", api.Answer{Verdict: api.Failed}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Assert(t, checkAnswer(j, &c.answer) == "", qt.Equals, c.ok)
		})
	}
}
