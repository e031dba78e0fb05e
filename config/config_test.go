package config

import (
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

func valid() *Config {
	return &Config{
		Version:  1,
		Services: []Service{{Name: "dispatch", Types: []RequestType{{"soot-load", 500, true}, {"burn-off-booking", 2000, false}}}},
		Teams:    []Team{{"depots", 400, 2}, {"taxis", 100, 1}},
		Workers:  []Worker{{Name: "abay-01", Services: []string{"dispatch"}}, {Name: "abay-02", Services: []string{"dispatch"}}},
	}
}

// Guards against a fault that is accepted, and against a validation that stops at
// the first fault.
func TestValidate(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"valid", func(c *Config) {}, nil},
		{"empty", func(c *Config) { *c = Config{} }, []string{"service: kind", "team: kind", "worker: kind"}},
		{"no types", func(c *Config) { c.Services[0].Types = nil }, []string{`service 1: type "": at least one`}},
		{"type twice", func(c *Config) { c.Services[0].Types[1].Name = "soot-load" }, []string{`service 1, type 2: type "soot-load": is given twice`}},
		{"names", func(c *Config) { c.Teams[0].Name, c.Workers[1].Name = "De pots", "abay-01" },
			[]string{`team 1: team "De pots": allowed is 1 to 63`, `worker 2: worker "abay-01": is given twice`}},
		{"ranges", func(c *Config) {
			c.Services[0].Types[0].DeadlineMS, c.Teams[0].Quota, c.Teams[1].Weight = MaxDeadlineMS+1, 0, -1
		}, []string{`deadline_ms "240001": allowed is 1 to 240000`, `quota "0": allowed is 1 to`, `weight "-1": allowed is 1 to 100`}},
		{"services of a worker", func(c *Config) { c.Workers[0].Services, c.Workers[1].Services = []string{"dispach"}, nil },
			[]string{`worker 1: services "dispach": is not a service`, `worker 2: services "": at least one`}},
		{"service twice", func(c *Config) { c.Workers[0].Services = []string{"dispatch", "dispatch"} },
			[]string{`worker 1: services "dispatch": is given twice`}},
		{"zones", func(c *Config) { c.EvacuatedZones = []string{"gondar", "Gondar", "gondar"} },
			[]string{`zone 2: evacuated_zones "Gondar": allowed is`, `zone 3: evacuated_zones "gondar": is given twice`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := valid()
			tc.change(c)
			faults := c.Validate()
			qt.Assert(t, faults, qt.HasLen, len(tc.want), qt.Commentf("%v", faults))
			for i, want := range tc.want {
				qt.Check(t, faults[i].Error(), qt.Contains, want)
			}
		})
	}
}

// Guards against a version that decreases when writers race, and against a
// subscriber that never receives the newest version.
func TestHolderNeverGoesBack(t *testing.T) {
	const highest = 200
	var h Holder
	versions, cancel := h.Subscribe()
	defer cancel()
	var wg sync.WaitGroup
	for from := range 4 {
		wg.Go(func() {
			last := uint64(0)
			for v := uint64(from + 1); v <= highest; v += 2 {
				h.Adopt(&Config{Version: v})
				now := h.Version()
				qt.Check(t, now >= last && now >= v, qt.IsTrue)
				last = now
			}
		})
	}
	last := uint64(0)
	for last < highest {
		c := <-versions
		qt.Assert(t, c.Version > last, qt.IsTrue)
		last = c.Version
	}
	wg.Wait()
	qt.Assert(t, h.Adopt(&Config{Version: highest}), qt.IsFalse)
	qt.Assert(t, h.Adopt(nil), qt.IsFalse)
	late, cancelLate := h.Subscribe()
	defer cancelLate()
	qt.Assert(t, (<-late).Version, qt.Equals, uint64(highest))
}

// Guards against a difference that is missed or not marked as a restriction.
func TestDiff(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"none", func(c *Config) {}, nil},
		{"order", func(c *Config) { c.Teams[0], c.Teams[1] = c.Teams[1], c.Teams[0] }, nil},
		{"quota", func(c *Config) { c.Teams[0].Quota, c.Teams[1].Quota = 300, 200 },
			[]string{"lowered team depots quota 400 300 true", "raised team taxis quota 100 200 false"}},
		{"worker removed and added", func(c *Config) { c.Workers[1].Name = "abay-03" },
			[]string{"removed worker abay-02  services dispatch, drain no  true", "added worker abay-03   services dispatch, drain no false"}},
		{"drain", func(c *Config) { c.Workers[0].Drain = true }, []string{"lowered worker abay-01 drain no yes true"}},
		{"zones", func(c *Config) { c.EvacuatedZones = []string{"gondar"} }, []string{"lowered zone gondar evacuated no yes true"}},
		{"type", func(c *Config) { c.Services[0].Types[1] = RequestType{"burn-off-booking", 1000, true} },
			[]string{"changed service dispatch/burn-off-booking deadline_ms 2000 1000 false", "changed service dispatch/burn-off-booking idempotent no yes false"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := valid()
			tc.change(c)
			var got []string
			for _, d := range Diff(valid(), c) {
				got = append(got, fmt.Sprint(d.Effect, " ", d.Kind, " ", d.Name, " ", d.Field, " ", d.Old, " ", d.New, " ", d.Restricts()))
			}
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
	qt.Assert(t, Diff(nil, valid()), qt.HasLen, 6)
	evacuated := valid()
	evacuated.EvacuatedZones = []string{"gondar"}
	qt.Assert(t, Diff(evacuated, valid()), qt.DeepEquals, []Change{{Effect: Changed, Kind: KindZone, Name: "gondar", Field: "evacuated", Old: "yes", New: "no"}})
}
