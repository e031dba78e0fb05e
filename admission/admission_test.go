package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

var now = time.Unix(1_700_000_000, 0)

// Guards against admitting a job that cannot end before its deadline or exceeds the
// quota of its team, and against refusing a job that does neither.
func TestAdmit(t *testing.T) {
	idle := Supply{Slots: 88, RunTime: 200 * time.Millisecond}
	full := Supply{Slots: 88, Busy: 88, BusyByOthers: 44, Waiting: 440, RunTime: 200 * time.Millisecond}
	for _, c := range []struct {
		name       string
		teams      map[string]Team
		entries    int
		inProgress int
		tasks      int
		timeLeft   time.Duration
		supply     Supply
		want       api.Reason // "" for admitted
	}{
		{"idle", nil, 1, 0, 170, time.Second, idle, ""},
		{"no agent", nil, 1, 0, 1, time.Second, Supply{}, api.ReasonNoWorker},
		{"expected wait within the time left", nil, 2, 0, 1, 4300 * time.Millisecond, full, ""},
		{"expected wait too long", nil, 2, 0, 1, 4100 * time.Millisecond, full, api.ReasonOverload},
		{"no run time observed yet", nil, 1, 0, 1, time.Millisecond, Supply{Slots: 8, Busy: 8, Waiting: 100}, ""},
		{"too many queued", nil, 1, 0, 170, time.Hour, Supply{Slots: 8, Busy: 8, Waiting: 950, RunTime: time.Millisecond}, api.ReasonOverload},
		{"other entries use all slots", nil, 2, 0, 20, time.Second, Supply{Slots: 88, Busy: 88, BusyByOthers: 88, RunTime: 200 * time.Millisecond}, ""},
		{"quota reached", map[string]Team{"a": {Quota: 100}}, 2, 40, 11, time.Second, idle, api.ReasonQuota},
		{"entry's share of the quota rounded up", map[string]Team{"a": {Quota: 101}}, 2, 40, 11, time.Second, idle, ""},
		{"job larger than the entry's share, nothing else in progress", map[string]Team{"a": {Quota: 100}}, 2, 0, 90, time.Second, idle, ""},
		{"job larger than the quota", map[string]Team{"a": {Quota: 100}}, 2, 0, 101, time.Second, idle, api.ReasonQuota},
		{"quota of another team", map[string]Team{"b": {Quota: 1}}, 2, 100, 100, time.Second, idle, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Options{MaxQueuedTasks: 1000})
			s.SetTeams(c.teams, c.entries)
			s.inProgress["a"] = c.inProgress
			v := s.Admit(now, Request{Service: "s", Team: "a", Tasks: c.tasks, TimeLeft: c.timeLeft}, c.supply)
			if c.want == "" {
				qt.Assert(t, v == nil, qt.IsTrue, qt.Commentf("%v", v))
				qt.Assert(t, s.inProgress["a"], qt.Equals, c.inProgress+c.tasks)
				return
			}
			qt.Assert(t, v != nil, qt.IsTrue)
			qt.Assert(t, v.Reason, qt.Equals, c.want)
			qt.Assert(t, v.Ran, qt.Equals, api.RanNo)
			qt.Assert(t, s.inProgress["a"], qt.Equals, c.inProgress)
			if c.want == api.ReasonOverload {
				qt.Assert(t, v.RetryAfter >= minRetryAfter, qt.IsTrue)
			}
		})
	}
}

// Guards against a standing queue that lasts for the whole of an overload and
// delays all later jobs, and against refusals during a burst that drains. The bound
// in the names of the cases is maxStandingRunTimes.
func TestStandingQueueIsRefused(t *testing.T) {
	s := New(Options{})
	r := Request{Service: "s", Team: "a", Tasks: 1, TimeLeft: 4 * time.Second}
	admit := func(after time.Duration, waiting int) bool {
		p := Supply{Slots: 88, Busy: 88, Waiting: waiting, RunTime: 200 * time.Millisecond}
		return s.Admit(now.Add(after), r, p) == nil
	}
	for _, c := range []struct {
		name    string
		after   time.Duration
		waiting int
		want    bool
	}{
		{"burst", 0, 300, true},
		{"still a burst", 900 * time.Millisecond, 300, true},
		{"drained", 950 * time.Millisecond, 100, true},
		{"next burst", time.Second, 300, true},
		{"standing for a quarter of the time left", 2 * time.Second, 300, false},
		{"below the bound during the overload", 2100 * time.Millisecond, 100, true},
		{"overload continues", 2200 * time.Millisecond, 300, false},
		{"below the bound", 2300 * time.Millisecond, 100, true},
		{"below the bound for 300 ms", 2600 * time.Millisecond, 100, true},
		{"burst after the overload", 2700 * time.Millisecond, 300, true},
		{"standing again", 3500 * time.Millisecond, 300, true},
		{"standing for a quarter of the time left again", 3700 * time.Millisecond, 300, false},
		{"after a second without a job above the bound", 4800 * time.Millisecond, 300, true},
	} {
		qt.Assert(t, admit(c.after, c.waiting), qt.Equals, c.want, qt.Commentf("%s", c.name))
	}
}

// Guards against tasks that count against the quota after Release, and against a
// second Release that makes the count negative and so admits more than the quota.
func TestRelease(t *testing.T) {
	s := New(Options{})
	s.SetTeams(map[string]Team{"a": {Quota: 10}}, 1)
	r, p := Request{Team: "a", Tasks: 10, TimeLeft: time.Second}, Supply{Slots: 8}
	for range 3 {
		qt.Assert(t, s.Admit(now, r, p) == nil, qt.IsTrue)
		qt.Assert(t, s.Admit(now, r, p) != nil, qt.IsTrue)
		s.Release("a", 10)
		s.Release("a", 10)
	}
	qt.Assert(t, s.inProgress, qt.HasLen, 0)
}

func BenchmarkAdmit(b *testing.B) {
	s := New(Options{})
	s.SetTeams(map[string]Team{"a": {Quota: 1000}}, 3)
	r, p := Request{Service: "s", Team: "a", Tasks: 80, TimeLeft: time.Second}, Supply{Slots: 7120, Busy: 5000, RunTime: 200 * time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		s.Admit(now, r, p)
		s.Release("a", 80)
	}
}
