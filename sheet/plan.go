package sheet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sesamelift/sesamelift/config"
)

// Difference lists the changes from one configuration to another.
type Difference struct {
	Changes []config.Change `json:"changes"`
	// Warnings concern the new configuration; they do not prevent applying it.
	Warnings []string `json:"warnings"`
}

// Plan returns the changes from old to new and warnings about new. old may be
// nil.
func Plan(old, new *config.Config) Difference {
	d := Difference{Changes: config.Diff(old, new), Warnings: []string{}}
	if d.Changes == nil {
		d.Changes = []config.Change{}
	}
	for _, s := range new.Services {
		hasActiveWorker := slices.ContainsFunc(new.Workers, func(w config.Worker) bool {
			return !w.Drain && slices.Contains(w.Services, s.Name)
		})
		if !hasActiveWorker {
			d.Warnings = append(d.Warnings, fmt.Sprintf("service %s has no worker that takes new tasks; its jobs will be refused", s.Name))
		}
	}
	for _, z := range new.EvacuatedZones {
		d.Warnings = append(d.Warnings, fmt.Sprintf("zone %s is evacuated; no task is started on its workers until `sesamelift evacuate -restore %s`", z, z))
	}
	return d
}

// CountRestrictions returns the number of changes that can cause requests to be
// refused that were accepted before.
func (d Difference) CountRestrictions() int {
	n := 0
	for _, c := range d.Changes {
		if c.Restricts() {
			n++
		}
	}
	return n
}

// String returns the difference as text: one line for each change, then one for
// each warning, then a summary. A leading exclamation mark denotes a change that
// can cause requests to be refused that were accepted before.
func (d Difference) String() string {
	var b strings.Builder
	for _, c := range d.Changes {
		mark := " "
		if c.Restricts() {
			mark = "!"
		}
		fmt.Fprintf(&b, "%s %-8s %s %s", mark, c.Effect, c.Kind, c.Name)
		switch {
		case c.Effect == config.Added:
			fmt.Fprintf(&b, " (%s)", c.New)
		case c.Effect == config.Removed:
			fmt.Fprintf(&b, " (%s)", c.Old)
		default:
			fmt.Fprintf(&b, ": %s %s -> %s", c.Field, c.Old, c.New)
		}
		b.WriteByte('\n')
	}
	for _, w := range d.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", w)
	}
	switch n := d.CountRestrictions(); {
	case len(d.Changes) == 0:
		b.WriteString("nothing would change\n")
	case n > 0:
		fmt.Fprintf(&b, "%s, %d marked ! can turn requests away that are accepted now\n", FormatCount(len(d.Changes), "change"), n)
	default:
		fmt.Fprintf(&b, "%s\n", FormatCount(len(d.Changes), "change"))
	}
	return b.String()
}

// FormatCount returns n followed by noun, with a plural "s" unless n is 1.
func FormatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
