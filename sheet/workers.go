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

// maxNamed bounds the workers that a warning names.
const maxNamed = 10

// CheckWorkers compares the workers of a configuration with the agents that are
// registered on the platform. A misspelt name is valid in a sheet, but then the
// row has no effect on the worker that was meant. Before the first agent has
// registered there is nothing to compare with and no warning.
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
		if near := nearest(name, unlisted); near != "" {
			name += fmt.Sprintf(" (did you mean %s?)", near)
		}
		absent = append(absent, name)
	}
	var warnings []string
	if len(absent) > 0 {
		warnings = append(warnings, "no agent is registered for "+some(absent))
	}
	if len(unlisted) > 0 {
		warnings = append(warnings, "these workers have no row in the sheet and may run every service they announce: "+some(unlisted))
	}
	return warnings, nil
}

// some lists the first names.
func some(names []string) string {
	slices.Sort(names)
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}
