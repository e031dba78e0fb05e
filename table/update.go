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
	// maxUpdateAttempts is the number of conflicts after which Update returns
	// ErrTooManyConflicts. Rows with several writers are written a few times a minute.
	maxUpdateAttempts = 10
	// conflictDelay spreads out the competing writers of a row: the delay after a
	// conflict is random, below conflictDelay times the number of attempts made.
	conflictDelay = 10 * time.Millisecond
	// readBackDelay and maxReadBackDelay bound the time between two attempts to
	// read back a row whose write has an unknown outcome.
	readBackDelay    = 20 * time.Millisecond
	maxReadBackDelay = time.Second
)

// ErrUnchanged is returned by the change function of Update when the row needs no
// write.
var ErrUnchanged = errors.New("row needs no change")

// ErrTooManyConflicts says that another writer changed the row before each
// attempt of Update. Nothing was written.
var ErrTooManyConflicts = errors.New("too many conflicting writes")

// Update changes a row by compare-and-set. change gets the current value, nil
// when there is no row, and returns the new one; it is called again after each
// conflict. When it returns ErrUnchanged, Update returns the current row; any
// other error ends the update.
//
// op is the operation id of this update and must be in the field "op" of the JSON
// value that change returns. After a lost reply, Update reads the row back until
// the platform answers or ctx ends. If the row has this op, the write has taken
// effect, possibly in an earlier call with the same op. If the row still has the
// version from before the write, Update writes it again with the same expected
// version, so that at most one of the two writes takes effect. If another writer
// has changed the row since, the outcome is unknown and Update returns an
// *UnknownOutcomeError; a caller whose change is idempotent may call Update again.
// With an empty op the whole value is compared instead.
func Update(ctx context.Context, t Table, key, op string, change func(old []byte) ([]byte, error)) (Row, error) {
	row, err := t.Get(ctx, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Row{}, err
	}
	u := update{table: t, key: key, op: op}
	for attempt := range maxUpdateAttempts {
		if op != "" && OperationID(row.Value) == op {
			return row, nil
		}
		value, err := change(row.Value)
		if errors.Is(err, ErrUnchanged) {
			return row, nil
		}
		if err != nil {
			return Row{}, err
		}
		if op != "" && OperationID(value) != op {
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

// OperationID returns the operation id in a JSON value, or an empty string.
func OperationID(value []byte) string {
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

// write makes a compare-and-set. After a lost reply it reads the row back, and
// repeats the compare-and-set while the row still has version want.
func (u *update) write(ctx context.Context, want uint64, value []byte) (Row, error) {
	outcomeUnknown := false
	for {
		row, err := u.table.CompareAndSet(ctx, u.key, want, value)
		var conflict *ConflictError
		var unknown *UnknownOutcomeError
		switch {
		case errors.As(err, &conflict) && u.isOwnWrite(conflict.Current, want, value):
			return conflict.Current, nil
		case errors.As(err, &conflict) && outcomeUnknown:
			return Row{}, &UnknownOutcomeError{Key: u.key, Cause: errors.Wrap(err, "row was changed by another writer before it could be read back")}
		// An earlier request without a reply may still be applied, so a refused
		// retry does not prove that nothing was written.
		case errors.Is(err, ErrUnavailable) && outcomeUnknown:
			unknown = &UnknownOutcomeError{Key: u.key, Cause: err}
		case !errors.As(err, &unknown):
			return row, err
		}
		outcomeUnknown = true
		current, err := u.readBack(ctx, unknown)
		switch {
		case err != nil:
			return Row{}, err
		case u.isOwnWrite(current, want, value):
			return current, nil
		case current.Version != want:
			return Row{}, &UnknownOutcomeError{Key: u.key, Cause: errors.Errorf("row has version %d of another writer, expected %d", current.Version, want)}
		}
	}
}

// isOwnWrite reports whether row is the result of writing value over version want.
// An identical value by another writer counts too, because the row then is as the
// caller wants it.
func (u *update) isOwnWrite(row Row, want uint64, value []byte) bool {
	if u.op != "" && OperationID(row.Value) == u.op {
		return true
	}
	return row.Version > want && bytes.Equal(row.Value, value)
}

// readBack reads the row until the platform answers or ctx ends.
func (u *update) readBack(ctx context.Context, unknown *UnknownOutcomeError) (Row, error) {
	delay := readBackDelay
	for {
		if err := sleep(ctx, delay); err != nil {
			return Row{}, unknown
		}
		row, err := u.table.Get(ctx, u.key)
		switch {
		case err == nil:
			return row, nil
		case errors.Is(err, ErrNotFound):
			return Row{Key: u.key}, nil
		case !errors.Is(err, ErrUnavailable):
			return Row{}, &UnknownOutcomeError{Key: u.key, Cause: err}
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
