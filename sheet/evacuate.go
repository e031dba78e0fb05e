package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

// ErrNoConfiguration reports that no sheet has been applied yet.
var ErrNoConfiguration = errors.New("no configuration is in effect: apply a sheet first")

// evacuation is a change of the evacuated zones.
type evacuation struct {
	zone     string
	restore  bool
	operator string
}

// applyTo returns the configuration that follows current.
func (e *evacuation) applyTo(current *config.Config) (*config.Config, error) {
	if current.Version == 0 {
		return nil, ErrNoConfiguration
	}
	next := *current
	next.Operator, next.Restores = e.operator, 0
	next.EvacuatedZones = slices.DeleteFunc(slices.Clone(current.EvacuatedZones), func(z string) bool { return z == e.zone })
	if !e.restore {
		next.EvacuatedZones = append(next.EvacuatedZones, e.zone)
	}
	slices.Sort(next.EvacuatedZones)
	return &next, nil
}

// Evacuate makes a version the one in effect in which no task is to be started on
// the workers of the zone, or, with restore, in which tasks are started there again.
// It changes whatever version is in effect at the time of the write, so it never
// conflicts with another operator: an evacuation must not be lost to a sheet that is
// applied at the same moment. op and the outcomes are those of Apply.
func Evacuate(ctx context.Context, p table.Platform, zone string, restore bool, operator, op string) (*Result, error) {
	if op == "" {
		return nil, errors.New("operation id is empty")
	}
	if !config.ValidName(zone) {
		return nil, errors.Errorf("%q is not the name of a zone; allowed is %s", zone, config.NameRule)
	}
	a := &applyOperation{
		platform: p, op: op, difference: Difference{Changes: []config.Change{}, Warnings: []string{}},
		evacuation: &evacuation{zone: zone, restore: restore, operator: operator},
	}
	return a.run(ctx)
}

// CheckZone returns a warning if no agent is registered in the zone, since an
// evacuation of a misspelled zone has no effect, and "" otherwise.
func CheckZone(ctx context.Context, t table.Table, zone string) (string, error) {
	rows, err := t.List(ctx, table.PrefixAgents)
	if err != nil {
		return "", err
	}
	var zones []string
	for _, row := range rows {
		var r ownership.Registration
		if json.Unmarshal(row.Value, &r) == nil && r.LeftAt.IsZero() && r.Zone != "" {
			zones = append(zones, r.Zone)
		}
	}
	if slices.Contains(zones, zone) {
		return "", nil
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	warning := "no agent is registered in zone " + zone
	if suggestion := nearest(zone, zones); suggestion != "" {
		warning += fmt.Sprintf(" (did you mean %s?)", suggestion)
	} else if len(zones) > 0 {
		warning += "; there are " + strings.Join(zones, ", ")
	}
	return warning, nil
}
