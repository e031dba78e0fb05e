package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

// maxListedWorkers is the maximum number of workers listed in a warning.
const maxListedWorkers = 10

// CheckWorkers compares the workers of a configuration with the agents that are
// registered on the platform and returns warnings for the operator. A misspelled
// worker name is valid in a sheet, but the row then has no effect on the intended
// worker. Until an agent has registered there is nothing to compare with, and no
// warnings are returned.
func CheckWorkers(ctx context.Context, t table.Table, c *config.Config) ([]string, error) {
	rows, err := t.List(ctx, table.PrefixAgents)
	if err != nil {
		return nil, err
	}
	var unlisted []string
	registered := map[string]bool{}
	for _, row := range rows {
		var r ownership.Registration
		if json.Unmarshal(row.Value, &r) != nil || !r.LeftAt.IsZero() {
			continue
		}
		registered[r.Worker] = true
		if _, ok := c.Worker(r.Worker); !ok {
			unlisted = append(unlisted, r.Worker)
		}
	}
	if len(registered) == 0 {
		return nil, nil
	}
	var absent []string
	for _, w := range c.Workers {
		if registered[w.Name] {
			continue
		}
		name := w.Name
		if suggestion := nearest(name, unlisted); suggestion != "" {
			name += fmt.Sprintf(" (did you mean %s?)", suggestion)
		}
		absent = append(absent, name)
	}
	var warnings []string
	if len(absent) > 0 {
		warnings = append(warnings, "no agent is registered for "+joinLimited(absent))
	}
	if len(unlisted) > 0 {
		warnings = append(warnings, "these workers have no row in the sheet and may run every service they announce: "+joinLimited(unlisted))
	}
	return warnings, nil
}

// joinLimited sorts and joins the names. It lists at most maxListedWorkers of
// them, followed by the number of the others.
func joinLimited(names []string) string {
	slices.Sort(names)
	if len(names) <= maxListedWorkers {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedWorkers], ", "), len(names)-maxListedWorkers)
}
