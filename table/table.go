// Package table defines the interface to the platform's transactional table
// service and object store, which hold all state that must be durable or the same
// for every process.
//
// Input: reads and compare-and-set writes. Output: rows, versions, errors that
// say whether a write may have taken effect. State: none. All implementations
// pass the contract test in tabletest and are safe for concurrent use.
package table

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Keys of rows, and prefixes of keys.
const (
	// RowRoster holds the roster of entries.
	RowRoster = "roster"
	// RowConfig holds the configuration in effect.
	RowConfig = "config/current"
	// PrefixConfigHistory is followed by a version in twelve digits.
	PrefixConfigHistory = "config/history/"
	// PrefixAgents is followed by the name of a worker and holds the
	// registration of its agent.
	PrefixAgents = "agents/"
	// PrefixReports is followed by the name of an entry and holds the version of
	// the configuration in effect there.
	PrefixReports = "reports/"
)

const (
	// DefaultTimeout bounds one call. A synced write of the platform takes several
	// milliseconds, so that a retry after this time is rarely redundant.
	DefaultTimeout = 3 * time.Second
	// MaxValueBytes bounds the value of a row, in bytes: the platform's store
	// limits a transaction to 1 MB in base64. A configuration of 890 workers takes
	// about 100 KB.
	MaxValueBytes = 512 << 10
	// MaxObjectBytes bounds an object, in bytes (the platform's limit).
	MaxObjectBytes = 8 << 20
)

// ErrTooLarge says that a value or an object exceeds its limit. Nothing was
// written.
var ErrTooLarge = errors.New("value exceeds the size limit of the platform")

// ErrUnavailable says that the platform did not answer a read, or refused a
// write without applying it.
var ErrUnavailable = errors.New("platform is unavailable")

// ErrNotFound says that there is no such row or object.
var ErrNotFound = errors.New("not found")

// ConflictError says that a row had another version than the one expected.
// Nothing was written.
type ConflictError struct {
	Key  string
	Want uint64
	// Current is the row as stored now; version 0 means that there is none.
	Current Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Current.Version, e.Want)
}

// UnknownOutcomeError says that a write may or may not have taken effect, because
// no conclusive reply arrived. The caller must read the row or object
// back before it does anything else.
type UnknownOutcomeError struct {
	// Key is the key of the row or the name of the object.
	Key   string
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of %q may have taken effect: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Row is a row of the table.
type Row struct {
	Key string
	// Version increases with each write of the row, and all rows share one
	// counter; 0 means that there is no row.
	Version uint64
	Value   []byte
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Await is Get, but delays the reply for up to wait until the row changes, if
	// it has not changed since this client last read it. It may return sooner
	// without a change.
	Await(ctx context.Context, key string, wait time.Duration) (Row, error)
	// List returns the rows whose keys begin with prefix, which ends with a slash,
	// in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// CompareAndSet writes value if the row has version want; 0 means that the
	// row must not exist. It returns the new row, a *ConflictError, an
	// *UnknownOutcomeError, or ErrUnavailable when it is certain that nothing
	// was written.
	CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (Row, error)
	// Delete removes the row if it has version want. Its errors are those of
	// CompareAndSet.
	Delete(ctx context.Context, key string, want uint64) error
}

// Objects is the object store.
type Objects interface {
	// PutObject writes an object. An *UnknownOutcomeError means that the object may
	// have been written.
	PutObject(ctx context.Context, name string, value []byte) error
	// GetObject returns an object, ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Platform combines the services of the platform that a process uses.
type Platform interface {
	Table
	Objects
}
