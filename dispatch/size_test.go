package dispatch

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// Load pattern: callers that nobody controls submit jobs with thousands of tasks or long
// strings. Guards against jobs in progress that take all memory, against a refusal that is
// not "not run", and against room that is not given back when a job ends.
func TestTasksInProgressAreBounded(t *testing.T) {
	h := newHarness(t)
	h.s.opts.MaxTasks = 1000
	submit := func(id string, tasks int, label string) *api.Verdict {
		j := h.newJob(id, tasks, 200*ms)
		j.Steps[0].RequiredLabel = label
		return h.s.Submit(h.now, j)
	}
	h.Assert(submit("alone", 4096, "") == nil, qt.IsTrue)
	v := submit("another", 1, "")
	h.Assert([]any{v.Ran, v.Reason, v.RetryAfter > 0}, qt.DeepEquals, []any{api.RanNo, api.ReasonOverload, true})
	h.s.Cancel(h.now, "alone", "test")
	h.Assert(submit("a", 500, "") == nil, qt.IsTrue)
	h.Assert(submit("b", 600, "") == nil, qt.IsFalse)
	h.Assert(submit("c", 1, strings.Repeat("x", 600*TaskBytes)) == nil, qt.IsFalse)
	h.Assert(submit("d", 499, "") == nil, qt.IsTrue)
	for _, id := range []string{"a", "d"} {
		h.s.Cancel(h.now, id, "test")
	}
	h.Assert(h.s.tasks, qt.Equals, 0)
}

// Guards against log lines of thousands of tasks, which wait in a queue of thousands of lines.
func TestLogLinesOfLargeJobsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.addWorker("a1", 4096, 1)
	h.Assert(h.s.Submit(h.now, h.newJob("j", 4096, 200*ms)) == nil, qt.IsTrue)
	h.s.Cancel(h.now, "j", "test")
	for _, line := range h.s.TakeActions(h.now).LogLines {
		for _, f := range line.Fields {
			switch v := f.(type) {
			case []string:
				h.Assert(v, qt.HasLen, maxLoggedTasks+1)
				h.Assert(v[maxLoggedTasks], qt.Equals, "and 3896 more")
			case string:
				h.Assert(len(v) < 10*maxLoggedTasks, qt.IsTrue)
			}
		}
	}
}
