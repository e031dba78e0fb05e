package config

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Effect classifies a change by what it means for callers.
type Effect string

// Values of Effect. After a change that is Removed or Lowered, requests may be
// refused that were accepted before.
const (
	Added   Effect = "added"
	Removed Effect = "removed"
	Raised  Effect = "raised"
	Lowered Effect = "lowered"
	Changed Effect = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Effect Effect `json:"effect"`
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	// Field is empty when the whole item is added or removed.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Restricts reports whether requests may be refused that were accepted before the
// change.
func (c Change) Restricts() bool { return c.Effect == Removed || c.Effect == Lowered }

// Diff returns the differences, ordered by kind, name and field. The order of
// items within a configuration does not matter. old may be nil.
func Diff(old, new *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	var changes []Change
	before, after := items(old), items(new)
	for key, o := range before {
		if _, ok := after[key]; !ok {
			changes = append(changes, Change{Effect: Removed, Kind: key.kind, Name: key.name, Old: o.describe()})
		}
	}
	for key, n := range after {
		o, ok := before[key]
		if !ok {
			changes = append(changes, Change{Effect: Added, Kind: key.kind, Name: key.name, New: n.describe()})
			continue
		}
		for i := range n {
			if o[i] != n[i] {
				changes = append(changes, Change{Effect: effect(o[i], n[i]), Kind: key.kind, Name: key.name, Field: n[i].name, Old: o[i].value, New: n[i].value})
			}
		}
	}
	changes = append(changes, evacuationChanges(old, new)...)
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return changes
}

// evacuationChanges returns a change for each zone that is evacuated in only one of
// the configurations. Zones are no items: a configuration lists only evacuated ones.
func evacuationChanges(old, new *Config) []Change {
	var changes []Change
	for _, z := range old.EvacuatedZones {
		if !new.Evacuated(z) {
			changes = append(changes, Change{Effect: Changed, Kind: KindZone, Name: z, Field: "evacuated", Old: yesNo(true), New: yesNo(false)})
		}
	}
	for _, z := range new.EvacuatedZones {
		if !old.Evacuated(z) {
			changes = append(changes, Change{Effect: Lowered, Kind: KindZone, Name: z, Field: "evacuated", Old: yesNo(false), New: yesNo(true)})
		}
	}
	return changes
}

type itemKey struct {
	kind Kind
	name string
}

type field struct {
	name, value string
	// limit is the value of a field whose reduction restricts callers; isLimit
	// marks such fields.
	limit   int
	isLimit bool
}

type item []field

func (i item) describe() string {
	parts := make([]string, len(i))
	for n, f := range i {
		parts[n] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}

// items returns the fields of each request type, team and worker. Request types
// are named service/type.
func items(c *Config) map[itemKey]item {
	m := map[itemKey]item{}
	for _, s := range c.Services {
		for _, t := range s.Types {
			m[itemKey{KindService, s.Name + "/" + t.Name}] = item{
				{name: "deadline_ms", value: strconv.FormatInt(t.DeadlineMS, 10)},
				{name: "idempotent", value: yesNo(t.Idempotent)},
			}
		}
	}
	for _, t := range c.Teams {
		m[itemKey{KindTeam, t.Name}] = item{limitField("quota", t.Quota), limitField("weight", t.Weight)}
	}
	for _, w := range c.Workers {
		services := slices.Sorted(slices.Values(w.Services))
		m[itemKey{KindWorker, w.Name}] = item{
			{name: "services", value: strings.Join(services, " ")},
			{name: "drain", value: yesNo(w.Drain)},
		}
	}
	return m
}

func limitField(name string, n int) field {
	return field{name: name, value: strconv.Itoa(n), limit: n, isLimit: true}
}

func effect(old, new field) Effect {
	switch {
	case old.isLimit && new.limit < old.limit:
		return Lowered
	case old.isLimit:
		return Raised
	case old.name == "services" && removesWord(old.value, new.value):
		return Lowered
	case old.name == "drain" && new.value == "yes":
		return Lowered
	}
	return Changed
}

func removesWord(old, new string) bool {
	kept := strings.Fields(new)
	return slices.ContainsFunc(strings.Fields(old), func(word string) bool { return !slices.Contains(kept, word) })
}

func kindOrder(k Kind) int {
	return slices.Index([]Kind{KindService, KindTeam, KindWorker, KindZone}, k)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
