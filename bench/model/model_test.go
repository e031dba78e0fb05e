package model

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/settings"
)

// read returns a scenario of the directory scenarios.
func read(c *qt.C, name string) *Scenario {
	var s Scenario
	c.Assert(settings.Read(filepath.Join("scenarios", name+".json"), &s), qt.IsNil)
	return &s
}

// small returns the scenario desk, shortened and with other events.
func small(c *qt.C, events ...Event) *Scenario {
	s := read(c, "desk")
	s.DurationMS, s.Events = 14000, events
	return s
}

func play(c *qt.C, s *Scenario, seed uint64) *Result {
	r, err := Run(s, seed, dispatch.DefaultPolicy)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Overlaps, qt.Equals, 0)
	c.Assert(r.All.OnTime+r.All.Late+r.All.Refused+r.All.Failed+r.All.Left, qt.Equals, r.All.Jobs)
	c.Assert(r.Reference <= r.UpperBound+0.001, qt.IsTrue, qt.Commentf("%v %v", r.Reference, r.UpperBound))
	return r
}

// Guards against decisions that depend on the order of a map: a result that can't be
// repeated can't be traced.
func TestSameSeedGivesSameResult(t *testing.T) {
	c := qt.New(t)
	text := func(seed uint64) string {
		s := small(c, read(c, "desk").Events[0], Event{AtMS: 6000, Kind: powerOff, Share: 1, ForMS: 1200})
		b, err := json.Marshal(play(c, s, seed))
		c.Assert(err, qt.IsNil)
		return string(b)
	}
	first := text(3)
	c.Assert(text(3), qt.Equals, first)
	c.Assert(text(4), qt.Not(qt.Equals), first)
}

// Guards against a model that loses jobs without a fault.
func TestCalmLoadIsServedOnTime(t *testing.T) {
	c := qt.New(t)
	r := play(c, small(c), 1)
	c.Assert(r.All.Jobs > 1500, qt.IsTrue)
	c.Assert(r.All.OnTimeShare > 0.99, qt.IsTrue, qt.Commentf("%v", r.All.OnTimeShare))
	c.Assert(r.UpperBound > 0.999, qt.IsTrue)
	c.Assert(r.Reference > 0.999, qt.IsTrue)
}

// Each kind of event, on its own: it must have an effect, no task may run twice at once,
// and once it is over the load must be served as before.
func TestServiceRecoversFromEachEvent(t *testing.T) {
	calm := play(qt.New(t), small(qt.New(t)), 1)
	for _, e := range []Event{
		{Kind: surge, Factor: 3},
		{Kind: hotEntry, Share: 0.9},
		{Kind: longJobs, Share: 0.3, Factor: 4},
		{Kind: failingJobs, Share: 0.3},
		{Kind: cancelWave, Share: 0.5, NoticeMS: 100},
		{Kind: workerCrash, Share: 0.3, ForMS: 1500},
		{Kind: workerSilent, Share: 0.3, ForMS: 1500},
		{Kind: workerSlow, Share: 0.3, Factor: 8},
		{Kind: workerFailing, Share: 0.2, FailureShare: 1},
		{Kind: workerHang, Share: 0.2},
		{Kind: workerLeave, Share: 0.3, NoticeMS: 1000, ForMS: 500},
		{Kind: workerJoin, Count: 3},
		{Kind: callsLost, Share: 1, FailureShare: 0.2},
		{Kind: entryKill, Count: 1, ForMS: 1000},
		{Kind: entrySlow, Count: 1, Factor: 40},
		{Kind: entryCut, Count: 1},
		{Kind: agentKill, Share: 0.5, ForMS: 500},
		{Kind: agentCut, Share: 0.3},
		{Kind: powerOff, Share: 1, ForMS: 1200},
		{Kind: rollingEntries, Share: 1, Count: 1, GapMS: 1000},
		{Kind: rollingAgents, Share: 1, Count: 2, GapMS: 400},
	} {
		t.Run(e.Kind, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e.AtMS = 4000
			if e.ForMS == 0 && e.Kind != rollingEntries && e.Kind != rollingAgents && e.Kind != workerJoin {
				e.ForMS = 2500
			}
			if e.Factor == 0 {
				e.Factor = 1
			}
			s := small(c, e)
			var faults []string
			s.Check(func(field, format string, _ ...any) { faults = append(faults, field+": "+format) })
			c.Assert(faults, qt.HasLen, 0)
			r := play(c, s, 1)
			// Where all jobs are on time with and without the event, messages tell it apart.
			c.Assert([]float64{r.All.earned, r.MessagesPerTask}, qt.Not(qt.DeepEquals), []float64{calm.All.earned, calm.MessagesPerTask})
			for _, w := range r.Windows[5:] {
				c.Assert(w.Worth > 0.97, qt.IsTrue, qt.Commentf("window of %s: %v", w.Name, w.Worth))
			}
		})
	}
}

// Load pattern: two kinds of tasks that take twice as long beside each other. Guards against
// a slowdown that agents see and placement doesn't follow, and against an effect of the
// feature where nothing interferes.
func TestKindsThatInterfereAreKeptApart(t *testing.T) {
	c := qt.New(t)
	worth := func(interference []Interference, weight float64) float64 {
		s := read(c, "contention")
		s.Resize(3, 16)
		s.DurationMS, s.Events, s.Interference = 20000, nil, interference
		policy := dispatch.DefaultPolicy
		policy.ContentionWeight = weight
		r, err := Run(s, 1, policy)
		c.Assert(err, qt.IsNil)
		return r.Windows[len(r.Windows)-1].Worth
	}
	both := read(c, "contention").Interference
	with, without := worth(both, 1), worth(both, 0)
	c.Check(with > without+0.03, qt.IsTrue, qt.Commentf("%v %v", with, without))
	c.Check(worth(nil, 1), qt.Equals, worth(nil, 0))
}

// Load pattern: power loss of all hosts. The bound must not promise what nobody can
// serve, and must not be below what is served on time.
func TestBoundOfAPowerLoss(t *testing.T) {
	c := qt.New(t)
	s := small(c, Event{AtMS: 6000, Kind: powerOff, Share: 1, ForMS: 3000, Factor: 1})
	for i := range s.Kinds {
		s.Kinds[i].LateWorth = 0
	}
	r := play(c, s, 1)
	c.Assert(r.UpperBound < 0.95, qt.IsTrue, qt.Commentf("%v", r.UpperBound))
	c.Assert(r.All.Worth <= r.UpperBound, qt.IsTrue, qt.Commentf("%v %v", r.All.Worth, r.UpperBound))
}

// Guards against a bound that is below what a schedule can do, or no bound at all.
func TestWorkDone(t *testing.T) {
	c := qt.New(t)
	job := func(release, due, work int) *perfectJob {
		return &perfectJob{release: time.Duration(release), due: time.Duration(due), total: float64(work)}
	}
	constant := []capacityStep{{0, 2}}
	for _, tc := range []struct {
		name     string
		jobs     []*perfectJob
		capacity []capacityStep
		want     float64
	}{
		{"fits", []*perfectJob{job(0, 10, 20)}, constant, 20},
		{"too much", []*perfectJob{job(0, 10, 50)}, constant, 20},
		{"the earlier due time goes first", []*perfectJob{job(0, 100, 100), job(0, 10, 20)}, constant, 120},
		{"interrupted", []*perfectJob{job(0, 100, 180), job(50, 60, 20)}, constant, 200},
		{"without capacity", []*perfectJob{job(0, 10, 20), job(20, 30, 8)}, []capacityStep{{0, 0}, {25, 1}}, 5},
		{"capacity that ends", []*perfectJob{job(0, 10, 20)}, []capacityStep{{0, 2}, {4, 0}}, 8},
	} {
		c.Check(workDone(tc.jobs, tc.capacity), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// Guards against a scenario that is played although its author meant something else.
func TestScenarioFaultsAreAllNamed(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(filepath.Join("scenarios", "desk.json"))
	c.Assert(err, qt.IsNil)
	text := string(b)
	for _, change := range [][2]string{
		{`"name": "desk"`, `"name": "Desk!"`},
		{`"zone": "north", "jobs_per_s": 42`, `"zone": "nort", "jobs_per_s": 42`},
		{`"work_ms": 900`, `"work_ms": "long"`},
		{`"swing": 0.15, "period_ms": 11000, "phase": 0.9`, `"swing": 1.5, "period_ms": 11000, "phase": 0.9`},
		{`"factor": 2, "for_ms": 4000, "job_kind": "render"`, `"factor": 0, "job_kind": "rendre"`},
		{`"kind": "power_off"`, `"kind": "power_of"`},
	} {
		c.Assert(strings.Count(text, change[0]), qt.Equals, 1, qt.Commentf("%s", change[0]))
		text = strings.Replace(text, change[0], change[1], 1)
	}
	var s Scenario
	err = settings.Parse("desk.json", []byte(text), &s)
	for _, want := range []string{
		`desk.json:4: name: "Desk!" is not a name`,
		`desk.json:22: kinds[1].work_ms: expected a number`,
		`desk.json:26: callers[0].zone: no entry or worker is in the zone "nort"`,
		`desk.json:27: callers[1].swing: 1.5 is out of range, allowed is 0 to 1`,
		`desk.json:32: events[0].factor: must be above 0`,
		`desk.json:32: events[0].job_kind: there is no kind "rendre"`,
		`desk.json:32: events[0].for_ms: surge needs a duration`,
		`desk.json:36: events[4].kind: "power_of" is not allowed`,
	} {
		c.Check(err.Error(), qt.Contains, want)
	}
	c.Assert(strings.Count(err.Error(), "\n"), qt.Equals, 7, qt.Commentf("%v", err))
}

// Guards against a scenario whose load no longer fits its size.
func TestResizeKeepsTheLoadPerWorker(t *testing.T) {
	c := qt.New(t)
	s := read(c, "fleet")
	s.Resize(70, 320)
	entries, workers, rate := 0, 0, 0.0
	for _, g := range s.Entries {
		entries += g.Count
	}
	for _, g := range s.Workers {
		workers += g.Count
	}
	for _, g := range s.Callers {
		rate += g.JobsPerS
	}
	c.Assert(entries, qt.Equals, 70)
	c.Assert(workers, qt.Equals, 320)
	c.Assert(rate, qt.Equals, 2020.0)
}

// Guards against a command that ignores a mistake in its arguments.
func TestCommand(t *testing.T) {
	c := qt.New(t)
	desk := filepath.Join("scenarios", "desk.json")
	for _, tc := range []struct {
		args []string
		want string
	}{
		{nil, "-scenario is missing"},
		{[]string{"-scenario", "nowhere.json"}, "nowhere.json"},
		{[]string{"-scenario", desk, "-agents", "-1"}, "at most 2000 entries and 5000 agents"},
		{[]string{"-scenario", desk, "-seeds", "0"}, "-seeds must be from 1"},
		{[]string{"-scenario", desk, "-set", "Zone=1"}, `unknown weight "Zone"`},
		{[]string{"-scenario", desk, "-set", "ZoneWeight=x"}, "needs a number"},
		{[]string{"-scenario", desk, "more"}, "unexpected argument"},
	} {
		var out, errOut strings.Builder
		c.Check(Command(tc.args, &out, &errOut), qt.Equals, exitUsage)
		c.Check(errOut.String(), qt.Contains, tc.want)
	}
	var out, errOut strings.Builder
	plot := filepath.Join(c.TempDir(), "worth.svg")
	c.Assert(Command([]string{"-scenario", desk, "-compare", "-set", "ZoneWeight=0.3", "-plot", plot}, &out, &errOut), qt.Equals, exitOK, qt.Commentf("%s", errOut.String()))
	c.Assert(out.String(), qt.Contains, "policy: default")
	c.Assert(out.String(), qt.Contains, "policy: ZoneWeight=0.3")
	c.Assert(out.String(), qt.Contains, "MB between zones -")
	_, err := os.Stat(plot)
	c.Assert(err, qt.IsNil)
}
