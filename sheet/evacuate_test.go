package sheet

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/standin"
)

// Guards against an evacuation that a sheet or a restored version ends or starts, and
// against one that changes anything else of the configuration.
func TestEvacuationsOutlastSheets(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	p := newPlatform(c)
	_, err := Evacuate(ctx, p, "gondar", false, "amina", "op-0")
	c.Assert(errors.Is(err, ErrNoConfiguration), qt.IsTrue)
	apply := func(quota int, op string) func() (*Result, error) {
		return func() (*Result, error) { return Apply(ctx, p, withQuota(c, quota, "selam"), op) }
	}
	evacuate := func(zone string, restore bool, op string) func() (*Result, error) {
		return func() (*Result, error) { return Evacuate(ctx, p, zone, restore, "amina", op) }
	}
	revert := func(version uint64, op string) func() (*Result, error) {
		return func() (*Result, error) { return Revert(ctx, p, version, 0, "selam", op) }
	}
	for _, step := range []struct {
		name    string
		do      func() (*Result, error)
		want    string
		version uint64
		quota   int
		zones   []string
	}{
		{"first sheet", apply(400, "op-1"), "written", 1, 400, nil},
		{"restore a zone that is not evacuated", evacuate("gondar", true, "op-2"), "unchanged", 1, 400, nil},
		{"evacuate", evacuate("gondar", false, "op-3"), "written", 2, 400, []string{"gondar"}},
		{"evacuate again", evacuate("gondar", false, "op-4"), "unchanged", 2, 400, []string{"gondar"}},
		{"sheet", apply(500, "op-5"), "written", 3, 500, []string{"gondar"}},
		{"same sheet", apply(500, "op-6"), "unchanged", 3, 500, []string{"gondar"}},
		{"restore a version from before the evacuation", revert(1, "op-7"), "written", 4, 400, []string{"gondar"}},
		{"second zone", evacuate("bahir-dar", false, "op-8"), "written", 5, 400, []string{"bahir-dar", "gondar"}},
		{"restore", evacuate("gondar", true, "op-9"), "written", 6, 400, []string{"bahir-dar"}},
		{"restore a version of the evacuation", revert(3, "op-10"), "written", 7, 500, []string{"bahir-dar"}},
	} {
		r, err := step.do()
		c.Assert(outcome(r, err), qt.Equals, step.want, qt.Commentf("%s: %v", step.name, err))
		current, err := Current(ctx, p)
		c.Assert(err, qt.IsNil)
		c.Assert([]any{current.Version, current.Teams[0].Quota, current.EvacuatedZones}, qt.DeepEquals, []any{step.version, step.quota, step.zones}, qt.Commentf(step.name))
	}
	checkHistory(c, p)
	for _, zone := range []string{"", "Gondar", "a b"} {
		_, err := Evacuate(ctx, p, zone, false, "amina", "op-11")
		c.Assert(err, qt.ErrorMatches, ".* is not the name of a zone; .*")
	}
}

// Guards against an evacuation that is lost or ends another operator's change when a
// sheet is applied at the same moment, and against one that is made twice after a lost
// reply.
func TestEvacuateUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		before  func(c *qt.C, p *standin.Platform)
		version uint64
		quota   int
	}{
		{"reply lost", func(_ *qt.C, p *standin.Platform) { p.SetFaults(standin.PlatformFaults{LoseReplies: 1}) }, 2, 400},
		{"sheet applied first", func(c *qt.C, p *standin.Platform) {
			_, err := Apply(context.Background(), p, withQuota(c, 600, "selam"), "op-other")
			c.Assert(err, qt.IsNil)
		}, 3, 600},
	} {
		c, ctx := qt.New(t), context.Background()
		p := newPlatform(c)
		_, err := Apply(ctx, p, withQuota(c, 400, "amina"), "op-1")
		c.Assert(err, qt.IsNil)
		hooked := &hookedPlatform{Platform: p, before: func(n int) {
			if n == 1 {
				tc.before(c, p)
			}
		}}
		r, err := Evacuate(ctx, hooked, "gondar", false, "amina", "op-2")
		c.Assert(outcome(r, err), qt.Equals, "written", qt.Commentf("%s: %v", tc.name, err))
		current, err := Current(ctx, p)
		c.Assert(err, qt.IsNil)
		c.Assert([]any{r.Version, current.Version, current.Teams[0].Quota, current.EvacuatedZones}, qt.DeepEquals,
			[]any{tc.version, tc.version, tc.quota, []string{"gondar"}}, qt.Commentf(tc.name))
		checkHistory(c, p)
	}
}

// Guards against a plan that shows an evacuation as a change of the sheet or hides it.
func TestPlanNamesEvacuatedZones(t *testing.T) {
	c := qt.New(t)
	old, next := withQuota(c, 400, ""), withQuota(c, 400, "")
	old.EvacuatedZones, next.EvacuatedZones = []string{"gondar"}, []string{"gondar"}
	c.Assert(Plan(old, next).String(), qt.Contains, "warning: zone gondar is evacuated; ")
	c.Assert(Plan(old, next).Changes, qt.HasLen, 0)
	c.Assert(Plan(&config.Config{}, old).String(), qt.Contains, "! lowered  zone gondar: evacuated no -> yes\n")
}
