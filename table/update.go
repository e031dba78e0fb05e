package table

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxUpdateAttempts bounds the conflicts that Update works through. Rows
	// with several writers see a handful of writes a minute.
	maxUpdateAttempts = 10
	// conflictDelay spreads the writers of one row; the delay is random between
	// zero and this, times the attempt.
	conflictDelay = 10 * time.Millisecond
	// readBackDelay and maxReadBackDelay bound the time between two attempts to
	// read back a write in doubt.
	readBackDelay    = 20 * time.Millisecond
	maxReadBackDelay = time.Second
)

// ErrUnchanged is returned by the function given to Update when the row needs
// no write.
var ErrUnchanged = errors.New("row needs no change")

// ErrTooManyConflicts says that other writers were faster each time. Nothing
// was written.
var ErrTooManyConflicts = errors.New("too many conflicting writes")

// Update changes a row by compare-and-set. change gets the current value, nil
// when there is no row, and returns the new one; it is called again after each
// conflict. When it returns ErrUnchanged, Update returns the current row; any
// other error ends the update.
//
// op is the id of this update and must stand in the field "op" of the JSON
// value that change returns. It resolves a lost reply: Update reads the row
// back until it answers or ctx ends. A row that carries op is the write itself,
// including one made by an earlier call with the same op. A row of the same
// version as before is written again with the same expected version, so that at
// most one of the two writes takes effect. If another writer has changed the
// row since, the outcome is unknown and Update returns a *DoubtError; a caller
// whose change is idempotent may call Update again. With an empty op the whole
// value is compared instead.
func Update(ctx context.Context, t Table, key, op string, change func(old []byte) ([]byte, error)) (Row, error) {
	row, err := t.Get(ctx, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Row{}, err
	}
	u := update{table: t, key: key, op: op}
	for attempt := range maxUpdateAttempts {
		if op != "" && Op(row.Value) == op {
			return row, nil
		}
		value, err := change(row.Value)
		if errors.Is(err, ErrUnchanged) {
			return row, nil
		}
		if err != nil {
			return Row{}, err
		}
		if op != "" && Op(value) != op {
			return Row{}, errors.Errorf("new value of row %q does not carry the operation id %q", key, op)
		}
		written, err := u.write(ctx, row.Version, value)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return written, err
		}
		row = conflict.Current
		if err := sleep(ctx, rand.N(conflictDelay)*time.Duration(attempt+1)); err != nil {
			return Row{}, err
		}
	}
	return Row{}, errors.Wrapf(ErrTooManyConflicts, "update row %q", key)
}

// Op returns the operation id in a JSON value, or an empty text.
func Op(value []byte) string {
	var v struct {
		Op string `json:"op"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.Op
}

type update struct {
	table   Table
	key, op string
}

// write makes one compare-and-set and resolves a lost reply.
func (u *update) write(ctx context.Context, want uint64, value []byte) (Row, error) {
	doubtful := false
	for {
		row, err := u.table.CompareAndSet(ctx, u.key, want, value)
		var conflict *ConflictError
		var doubt *DoubtError
		switch {
		case errors.As(err, &conflict) && u.own(conflict.Current, want, value):
			return conflict.Current, nil
		case errors.As(err, &conflict) && doubtful:
			return Row{}, &DoubtError{Key: u.key, Cause: errors.Wrap(err, "row was changed by another writer before it could be read back")}
		// A request that was lost earlier may still arrive, so that a refusal
		// of its repetition doesn't say that nothing is written.
		case errors.Is(err, ErrUnavailable) && doubtful:
			doubt = &DoubtError{Key: u.key, Cause: err}
		case !errors.As(err, &doubt):
			return row, err
		}
		doubtful = true
		current, err := u.readBack(ctx, doubt)
		switch {
		case err != nil:
			return Row{}, err
		case u.own(current, want, value):
			return current, nil
		case current.Version != want:
			return Row{}, &DoubtError{Key: u.key, Cause: errors.Errorf("row has version %d of another writer, expected %d", current.Version, want)}
		}
	}
}

// own reports whether row is the write of value over version want. Identical
// values are accepted, since the row is then as the caller wants it.
func (u *update) own(row Row, want uint64, value []byte) bool {
	if u.op != "" && Op(row.Value) == u.op {
		return true
	}
	return row.Version > want && bytes.Equal(row.Value, value)
}

// readBack reads the row until the platform answers or ctx ends.
func (u *update) readBack(ctx context.Context, doubt *DoubtError) (Row, error) {
	delay := readBackDelay
	for {
		if err := sleep(ctx, delay); err != nil {
			return Row{}, doubt
		}
		row, err := u.table.Get(ctx, u.key)
		switch {
		case err == nil:
			return row, nil
		case errors.Is(err, ErrNotFound):
			return Row{Key: u.key}, nil
		case !errors.Is(err, ErrUnavailable):
			return Row{}, &DoubtError{Key: u.key, Cause: err}
		}
		delay = min(2*delay, maxReadBackDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
