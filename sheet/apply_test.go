package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/config/watch"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
)

func newPlatform(c *qt.C) *standin.Platform {
	p, err := standin.NewPlatform(standin.PlatformOptions{})
	c.Assert(err, qt.IsNil)
	return p
}

// withQuota is the small sheet with another quota.
func withQuota(c *qt.C, quota int, operator string) *config.Config {
	cfg, faults := Parse("sheet.csv", []byte(strings.Replace(small, ",400,", fmt.Sprintf(",%d,", quota), 1)))
	c.Assert(faults, qt.HasLen, 0)
	cfg.Operator = operator
	return cfg
}

// hooked calls before ahead of the nth write of the configuration row, and
// after when it has returned.
type hooked struct {
	table.Platform
	writes        int
	before, after func(n int)
}

func (h *hooked) CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (table.Row, error) {
	if key != table.RowConfig {
		return h.Platform.CompareAndSet(ctx, key, want, value)
	}
	h.writes++
	if h.before != nil {
		h.before(h.writes)
	}
	row, err := h.Platform.CompareAndSet(ctx, key, want, value)
	if h.after != nil {
		h.after(h.writes)
	}
	return row, err
}

// Guards against a change of another operator that is overwritten, a change
// that is made twice, and a verdict that does not match the row.
func TestApplyUnderFaults(t *testing.T) {
	type world struct {
		c     *qt.C
		stand *standin.Platform
		other func(quota int)
	}
	const written, conflict, doubt, unavailable = "written", "conflict", "doubt", "unavailable"
	for _, tc := range []struct {
		name string
		base uint64
		// before and after run around the first write of the configuration.
		before, after func(w world)
		want          string
		// version and quota are in effect in the end, and again is the outcome
		// of the same sheet applied once more without faults.
		version uint64
		quota   int
		again   string
	}{
		{"no fault", 0, nil, nil, written, 2, 500, "unchanged"},
		{"base matches", 1, nil, nil, written, 2, 500, "unchanged"},
		{"base is older", 7, nil, nil, conflict, 1, 400, written},
		{"other operator is faster", 0, func(w world) { w.other(600) }, nil, conflict, 2, 600, written},
		{"other operator with the same sheet", 0, func(w world) { w.other(500) }, nil, "unchanged", 2, 500, "unchanged"},
		{"reply lost", 0, func(w world) { w.stand.SetFaults(standin.PlatformFaults{LoseReplies: 1}) }, nil, written, 2, 500, "unchanged"},
		{"request lost", 0, func(w world) { w.stand.SetFaults(standin.PlatformFaults{LoseRequests: 1}) }, nil, written, 2, 500, "unchanged"},
		{"reply lost, then replaced by the other", 0,
			func(w world) { w.stand.SetFaults(standin.PlatformFaults{LoseReplies: 1}) },
			func(w world) { w.other(600) }, written, 3, 600, written},
		{"request lost, then the other is faster", 0,
			func(w world) { w.stand.SetFaults(standin.PlatformFaults{LoseRequests: 1}) },
			func(w world) { w.other(600) }, conflict, 2, 600, written},
		{"outage before the write", 0, func(w world) { w.stand.SetFaults(standin.PlatformFaults{Unavailable: true}) }, nil, unavailable, 1, 400, written},
		{"reply lost, then outage", 0,
			func(w world) { w.stand.SetFaults(standin.PlatformFaults{LoseReplies: 1}) },
			func(w world) { w.stand.SetFaults(standin.PlatformFaults{Unavailable: true}) }, doubt, 2, 500, "unchanged"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			stand := newPlatform(c)
			_, err := Apply(context.Background(), stand, withQuota(c, 400, "amina"), "op-1")
			c.Assert(err, qt.IsNil)
			w := world{c, stand, func(quota int) {
				_, err := Apply(context.Background(), stand, withQuota(c, quota, "selam"), "op-other")
				c.Check(err, qt.IsNil)
			}}
			first := func(f func(world)) func(int) {
				return func(n int) {
					if f != nil && n == 1 {
						f(w)
					}
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			next := withQuota(c, 500, "amina")
			next.Version = tc.base
			result, err := Apply(ctx, &hooked{Platform: stand, before: first(tc.before), after: first(tc.after)}, next, "op-2")
			c.Assert(outcome(result, err), qt.Equals, tc.want, qt.Commentf("%v", err))
			if tc.want == conflict && tc.base == 0 {
				c.Assert(err, qt.ErrorMatches, `version 2 was applied by selam at .*, while this change was made for version 1; nothing was written`)
			}
			stand.SetFaults(standin.PlatformFaults{})
			now, err := Show(context.Background(), stand, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(now.Version, qt.Equals, tc.version)
			c.Assert(now.Teams[0].Quota, qt.Equals, tc.quota)
			next.Version = 0
			result, err = Apply(context.Background(), stand, next, "op-3")
			c.Assert(outcome(result, err), qt.Equals, tc.again, qt.Commentf("%v", err))
			checkHistory(c, stand)
		})
	}
}

func outcome(r *Result, err error) string {
	var conflict *ConflictError
	var doubt *table.DoubtError
	switch {
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &doubt):
		return "doubt"
	case errors.Is(err, table.ErrUnavailable):
		return "unavailable"
	case err != nil:
		return err.Error()
	case r.Unchanged:
		return "unchanged"
	}
	return "written"
}

// checkHistory checks that each version has a row with its content.
func checkHistory(c *qt.C, p table.Platform) {
	entries, err := History(context.Background(), p)
	c.Assert(err, qt.IsNil)
	now, err := Show(context.Background(), p, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, int(now.Version))
	for i, e := range entries {
		c.Assert(e.Version, qt.Equals, now.Version-uint64(i))
		c.Assert(e.Object, qt.Not(qt.Equals), "")
		cfg, err := Show(context.Background(), p, e.Version)
		c.Assert(err, qt.IsNil)
		c.Assert([]string{cfg.Op, cfg.Operator}, qt.DeepEquals, []string{e.Op, e.Operator})
	}
}

// Guards against a version that goes back instead of forward, and against a
// writer that fails before its history row and leaves a gap.
func TestRevertAndHistory(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	stand := newPlatform(c)
	_, err := Show(ctx, stand, 0)
	c.Assert(errors.Is(err, ErrNoVersion), qt.IsTrue)
	failing := &hooked{Platform: stand, after: func(int) { stand.SetFaults(standin.PlatformFaults{RefuseWrites: true}) }}
	result, err := Apply(ctx, failing, withQuota(c, 400, "amina"), "op-1")
	c.Assert(err, qt.IsNil)
	c.Assert(result.HistoryError, qt.Not(qt.Equals), "")
	entries, err := History(ctx, stand)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 1)
	stand.SetFaults(standin.PlatformFaults{})
	_, err = Apply(ctx, stand, withQuota(c, 300, "selam"), "op-2")
	c.Assert(err, qt.IsNil)
	result, err = Revert(ctx, stand, 1, 0, "amina", "op-3")
	c.Assert(err, qt.IsNil)
	c.Assert(result.Version, qt.Equals, uint64(3))
	now, err := Show(ctx, stand, 0)
	c.Assert(err, qt.IsNil)
	c.Assert([]any{now.Teams[0].Quota, now.Restores, now.Operator}, qt.DeepEquals, []any{400, uint64(1), "amina"})
	_, err = Revert(ctx, stand, 9, 0, "amina", "op-4")
	c.Assert(errors.Is(err, ErrNoVersion), qt.IsTrue)
	result, err = Revert(ctx, stand, 1, 0, "amina", "op-5")
	c.Assert(err, qt.IsNil)
	c.Assert(result.Unchanged, qt.IsTrue)
	checkHistory(c, stand)
}

// Guards against a plan that does not show what can turn requests away.
func TestPlanMarksRestrictions(t *testing.T) {
	c := qt.New(t)
	next := withQuota(c, 300, "")
	next.Workers = next.Workers[:1]
	next.Workers[0].Drain = true
	c.Assert(Plan(withQuota(c, 400, ""), next).String(), qt.Equals, `! lowered  team depots: quota 400 -> 300
! lowered  worker abay-01: drain no -> yes
! removed  worker abay-02 (services dispatch, drain no)
warning: service dispatch has no worker that takes new tasks; its jobs will be refused
3 changes, 3 marked ! can turn requests away that are accepted now
`)
	c.Assert(Plan(next, next).Changes, qt.HasLen, 0)
}

// Guards against a version that counts as in effect because of the report of an
// earlier incarnation, or of an entry that has left.
func TestWait(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members []ownership.Member
		reports []watch.Report
		missing []Missing
	}{
		{"no entries", nil, nil, []Missing{}},
		{"all", []ownership.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}},
			[]watch.Report{{Name: "a", Incarnation: 1, Version: 5}, {Name: "b", Incarnation: 2, Version: 6}, {Name: "gone", Incarnation: 3, Version: 1}}, []Missing{}},
		{"older, earlier incarnation, none", []ownership.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 2}, {Name: "c", Incarnation: 3}},
			[]watch.Report{{Name: "a", Incarnation: 1, Version: 4}, {Name: "b", Incarnation: 1, Version: 5}},
			[]Missing{{"a", 4}, {"b", 0}, {"c", 0}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			stand := newPlatform(c)
			set := func(key string, v any) {
				value, err := json.Marshal(v)
				c.Assert(err, qt.IsNil)
				_, err = stand.CompareAndSet(context.Background(), key, 0, value)
				c.Assert(err, qt.IsNil)
			}
			if tc.members != nil {
				set(table.RowRoster, ownership.Roster{Version: 1, Members: tc.members})
			}
			for _, r := range tc.reports {
				set(table.PrefixReports+r.Name, r)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 3*waitInterval/2)
			defer cancel()
			progress, err := Wait(ctx, stand, 5)
			c.Assert(err, qt.IsNil)
			c.Assert(progress.Missing, qt.DeepEquals, tc.missing)
			c.Assert(progress.Done, qt.HasLen, len(tc.members)-len(tc.missing))
		})
	}
}

// Guards against a misspelt worker that a sheet drains without effect.
func TestCheckWorkers(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	stand := newPlatform(c)
	cfg := withQuota(c, 400, "")
	cfg.Workers[1].Name = "abay-2"
	warnings, err := CheckWorkers(ctx, stand, cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(warnings, qt.HasLen, 0)
	for _, r := range []ownership.Registration{{Worker: "abay-01"}, {Worker: "abay-02"}, {Worker: "abay-77", LeftAt: time.Now()}} {
		value, err := json.Marshal(r)
		c.Assert(err, qt.IsNil)
		_, err = stand.CompareAndSet(ctx, table.PrefixAgents+r.Worker, 0, value)
		c.Assert(err, qt.IsNil)
	}
	warnings, err = CheckWorkers(ctx, stand, cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(warnings, qt.DeepEquals, []string{
		"no agent is registered for abay-2 (did you mean abay-02?)",
		"these workers have no row in the sheet and may run every service they announce: abay-02",
	})
}
