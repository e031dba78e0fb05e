package sheet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/table"
)

// Result is what Apply did.
type Result struct {
	// Version is the version that holds the sheet.
	Version uint64 `json:"version"`
	// Unchanged says that the version in effect is the same already and nothing
	// was written.
	Unchanged bool `json:"unchanged"`
	// Difference is what changed.
	Difference Difference `json:"difference"`
	// HistoryError says why the history row is not written. The version is in
	// effect all the same, and the next writer adds the row.
	HistoryError string `json:"history_error,omitempty"`
}

// ConflictError says that another operator was faster. Nothing was written.
type ConflictError struct {
	// Base is the version that the sheet was to replace.
	Base uint64
	// Version, Operator and At are those of the version in effect now.
	Version  uint64
	Operator string
	At       time.Time
}

// Error implements error.
func (e *ConflictError) Error() string {
	operator := e.Operator
	if operator == "" {
		operator = "an unnamed operator"
	}
	return fmt.Sprintf("version %d was applied by %s at %s, while this change was made for version %d; nothing was written",
		e.Version, operator, e.At.Format(time.RFC3339), e.Base)
}

// Apply makes next the version in effect by one compare-and-set and adds a row
// to the history. op is the id of this operation; it must be new for each
// operation and the same when an operation in doubt is repeated.
//
// next.Version is the version that next was made for; 0 means the one that is
// in effect when Apply begins. If another version is in effect by the time of
// the write, the error is a *ConflictError, unless that version has the same
// content. A *table.DoubtError means that the platform went away before the
// outcome could be read back: applying the same sheet again is safe.
func Apply(ctx context.Context, p table.Platform, next *config.Config, op string) (*Result, error) {
	if op == "" {
		return nil, errors.New("operation id is empty")
	}
	if faults := next.Validate(); len(faults) > 0 {
		return nil, faults
	}
	a := &application{platform: p, next: *next, op: op, based: next.Version > 0, base: next.Version, difference: Plan(next, next)}
	row, err := table.Update(ctx, p, table.RowConfig, op, func(old []byte) ([]byte, error) { return a.change(ctx, old) })
	var doubt *table.DoubtError
	if errors.As(err, &doubt) {
		row, err = a.resolve(ctx, doubt)
	}
	if err != nil {
		return nil, err
	}
	c, err := config.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	result := &Result{Version: c.Version, Unchanged: a.unchanged, Difference: a.difference}
	if err := record(ctx, p, c); err != nil {
		result.HistoryError = err.Error()
	}
	if !a.unchanged {
		forget(ctx, p, c.Version)
	}
	return result, nil
}

// application is one call of Apply.
type application struct {
	platform table.Platform
	next     config.Config
	op       string
	// base is the version to replace, once based is set.
	base       uint64
	based      bool
	unchanged  bool
	difference Difference
}

// change returns the value of the configuration row. table.Update calls it
// again after a conflict.
func (a *application) change(ctx context.Context, old []byte) ([]byte, error) {
	current := &config.Config{}
	if old != nil {
		c, err := config.Decode(old)
		if err != nil {
			return nil, err
		}
		current = c
	}
	a.difference = Plan(current, &a.next)
	if current.Version > 0 && len(a.difference.Changes) == 0 {
		a.unchanged = true
		return nil, table.ErrUnchanged
	}
	if !a.based {
		a.base, a.based = current.Version, true
	}
	if current.Version != a.base {
		return nil, &ConflictError{Base: a.base, Version: current.Version, Operator: current.Operator, At: current.At}
	}
	if current.Version > 0 {
		if err := record(ctx, a.platform, current); err != nil {
			return nil, errors.Wrapf(err, "nothing was changed: version %d cannot be kept in the history", current.Version)
		}
	}
	a.next.Version, a.next.Op, a.next.At = current.Version+1, a.op, time.Now().UTC().Truncate(time.Second)
	value, err := config.Encode(&a.next)
	if err == nil && len(value) > table.MaxValueBytes {
		err = errors.Wrapf(table.ErrTooLarge, "configuration of %d bytes", len(value))
	}
	return value, err
}

// resolve finds out about a write in doubt that another writer has replaced:
// that writer has recorded the version it replaced.
func (a *application) resolve(ctx context.Context, doubt *table.DoubtError) (table.Row, error) {
	row, err := a.platform.Get(ctx, table.RowConfig)
	if err != nil {
		return table.Row{}, doubt
	}
	current, err := config.Decode(row.Value)
	if err != nil || current.Version <= a.next.Version {
		return row, a.verdict(current, doubt)
	}
	mine, err := Show(ctx, a.platform, a.next.Version)
	if err != nil {
		return table.Row{}, doubt
	}
	if mine.Op != a.op {
		return table.Row{}, a.verdict(current, doubt)
	}
	value, err := config.Encode(mine)
	return table.Row{Key: table.RowConfig, Version: mine.Version, Value: value}, err
}

// verdict says what a version in effect means for a write in doubt that is not
// part of the history.
func (a *application) verdict(current *config.Config, doubt *table.DoubtError) error {
	switch {
	case current != nil && current.Op == a.op:
		return nil
	case current != nil && current.Version >= a.next.Version:
		return &ConflictError{Base: a.base, Version: current.Version, Operator: current.Operator, At: current.At}
	}
	return doubt
}

// Revert makes the content of an older version a new version. base is as the
// version in Apply.
func Revert(ctx context.Context, p table.Platform, version, base uint64, operator, op string) (*Result, error) {
	c, err := Show(ctx, p, version)
	if err != nil {
		return nil, err
	}
	next := *c
	next.Version, next.Restores, next.Operator = base, version, operator
	return Apply(ctx, p, &next, op)
}
