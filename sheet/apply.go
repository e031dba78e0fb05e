package sheet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/table"
)

// Result is the outcome of Apply.
type Result struct {
	// Version is the configuration version with the content of the sheet.
	Version uint64 `json:"version"`
	// Unchanged is set when the version in effect already has the same content,
	// so that nothing was written.
	Unchanged bool `json:"unchanged"`
	// Difference lists the changes from the previous version.
	Difference Difference `json:"difference"`
	// HistoryError is the reason why the history row could not be written, or
	// empty. The version is in effect regardless, and the next writer adds the
	// row.
	HistoryError string `json:"history_error,omitempty"`
}

// ConflictError reports that the version in effect is not the one that the change
// was made for, usually because another operator changed the configuration first.
// Nothing was written.
type ConflictError struct {
	// Base is the version that the change was made for.
	Base uint64
	// Version, Operator and At describe the version in effect.
	Version  uint64
	Operator string
	At       time.Time
}

func (e *ConflictError) Error() string {
	operator := e.Operator
	if operator == "" {
		operator = "an unnamed operator"
	}
	return fmt.Sprintf("version %d was applied by %s at %s, while this change was made for version %d; nothing was written",
		e.Version, operator, e.At.Format(time.RFC3339), e.Base)
}

// Apply makes next the version in effect by a single compare-and-set and adds a
// row to the history. op is the operation id; it must be unique for each
// operation and the same when an operation with an unknown outcome is retried.
//
// next.Version is the version that next is based on; 0 means the one in effect
// when Apply begins. If another version is in effect at the time of the write,
// the error is a *ConflictError, unless that version has the same content. A
// *table.UnknownOutcomeError means that the platform became unreachable before the
// outcome could be read back; applying the same sheet again is safe.
//
// next.EvacuatedZones is ignored: the evacuations of the version that next replaces
// stay, and only Evacuate changes them.
func Apply(ctx context.Context, p table.Platform, next *config.Config, op string) (*Result, error) {
	if op == "" {
		return nil, errors.New("operation id is empty")
	}
	if faults := next.Validate(); len(faults) > 0 {
		return nil, faults
	}
	a := &applyOperation{platform: p, next: *next, op: op, baseSet: next.Version > 0, base: next.Version, difference: Plan(next, next)}
	return a.run(ctx)
}

// run writes the new version and adds it to the history.
func (a *applyOperation) run(ctx context.Context) (*Result, error) {
	p, op := a.platform, a.op
	row, err := table.Update(ctx, p, table.RowConfig, op, func(old []byte) ([]byte, error) { return a.nextValue(ctx, old) })
	var unknown *table.UnknownOutcomeError
	if errors.As(err, &unknown) {
		row, err = a.resolveUnknownOutcome(ctx, unknown)
	}
	if err != nil {
		return nil, err
	}
	c, err := config.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	result := &Result{Version: c.Version, Unchanged: a.unchanged, Difference: a.difference}
	if err := recordVersion(ctx, p, c); err != nil {
		result.HistoryError = err.Error()
	}
	if !a.unchanged {
		pruneHistory(ctx, p, c.Version)
	}
	return result, nil
}

// applyOperation is the state of one call of Apply or Evacuate.
type applyOperation struct {
	platform table.Platform
	next     config.Config
	op       string
	// base is the version to replace. It is valid only if baseSet is true.
	base      uint64
	baseSet   bool
	unchanged bool
	// evacuation is set by Evacuate; next is then derived from the version to replace.
	evacuation *evacuation
	// difference is that of the last call of nextValue. It lists no changes when
	// the row already has this op, because table.Update then does not call
	// nextValue.
	difference Difference
}

// nextValue returns the new value of the configuration row. table.Update calls it
// again after a failed compare-and-set.
func (a *applyOperation) nextValue(ctx context.Context, old []byte) ([]byte, error) {
	current := &config.Config{}
	if old != nil {
		c, err := config.Decode(old)
		if err != nil {
			return nil, err
		}
		current = c
	}
	a.next.EvacuatedZones = current.EvacuatedZones
	if a.evacuation != nil {
		next, err := a.evacuation.applyTo(current)
		if err != nil {
			return nil, err
		}
		a.next, a.base, a.baseSet = *next, current.Version, true
	}
	a.difference = Plan(current, &a.next)
	if current.Version > 0 && len(a.difference.Changes) == 0 {
		a.unchanged = true
		return nil, table.ErrUnchanged
	}
	if !a.baseSet {
		a.base, a.baseSet = current.Version, true
	}
	if current.Version != a.base {
		return nil, &ConflictError{Base: a.base, Version: current.Version, Operator: current.Operator, At: current.At}
	}
	if current.Version > 0 {
		if err := recordVersion(ctx, a.platform, current); err != nil {
			return nil, errors.Wrapf(err, "nothing was changed: version %d could not be added to the history", current.Version)
		}
	}
	a.next.Version, a.next.Op, a.next.At = current.Version+1, a.op, time.Now().UTC().Truncate(time.Second)
	value, err := config.Encode(&a.next)
	if err == nil && len(value) > table.MaxValueBytes {
		err = errors.Wrapf(table.ErrTooLarge, "configuration of %d bytes", len(value))
	}
	return value, err
}

// resolveUnknownOutcome determines whether a write of unknown outcome took effect.
// If a later version is in effect, it looks for the write in the history: every
// writer records the version that it replaces.
func (a *applyOperation) resolveUnknownOutcome(ctx context.Context, unknown *table.UnknownOutcomeError) (table.Row, error) {
	row, err := a.platform.Get(ctx, table.RowConfig)
	if err != nil {
		return table.Row{}, unknown
	}
	current, err := config.Decode(row.Value)
	if err != nil || current.Version <= a.next.Version {
		return row, a.classifyUnknownOutcome(current, unknown)
	}
	recorded, err := GetVersion(ctx, a.platform, a.next.Version)
	if err != nil {
		return table.Row{}, unknown
	}
	if recorded.Op != a.op {
		return table.Row{}, a.classifyUnknownOutcome(current, unknown)
	}
	value, err := config.Encode(recorded)
	return table.Row{Key: table.RowConfig, Version: recorded.Version, Value: value}, err
}

// classifyUnknownOutcome compares a write of unknown outcome with the version in
// effect. It returns nil when that version is the write itself, and a *ConflictError
// when another writer's version has the same or a later number. Otherwise the
// outcome stays unknown.
func (a *applyOperation) classifyUnknownOutcome(current *config.Config, unknown *table.UnknownOutcomeError) error {
	switch {
	case current != nil && current.Op == a.op:
		return nil
	case current != nil && current.Version >= a.next.Version:
		return &ConflictError{Base: a.base, Version: current.Version, Operator: current.Operator, At: current.At}
	}
	return unknown
}

// Revert applies the content of an older version as a new version. base has the
// meaning of next.Version in Apply.
func Revert(ctx context.Context, p table.Platform, version, base uint64, operator, op string) (*Result, error) {
	c, err := GetVersion(ctx, p, version)
	if err != nil {
		return nil, err
	}
	next := *c
	next.Version, next.Restores, next.Operator = base, version, operator
	return Apply(ctx, p, &next, op)
}
