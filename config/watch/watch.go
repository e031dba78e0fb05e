// Package watch keeps a config.Holder at the current version of the
// configuration on the platform and reports the version in effect.
//
// Input: the row table.RowConfig, versions from peers. Output: versions to
// the Holder, a report row of this entry. State: none beyond the Holder. While
// the platform is unavailable the last version stays in effect.
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/table"
)

const (
	// DefaultInterval is the time after a failed read or report until the next
	// attempt. It is half of the 1 s within which a configuration must be in effect
	// if the platform answers at once.
	DefaultInterval = 500 * time.Millisecond
	// pollWait is how long the platform may delay the reply to a read while the
	// configuration does not change: a change is read as soon as it is made, and an
	// entry makes one read per second meanwhile, of the 2,000 that the platform can
	// serve.
	pollWait = time.Second
	// requestTimeout bounds one read of the configuration, beyond pollWait, and one
	// attempt to report, so that a request that hangs delays only a few polls.
	requestTimeout = 2 * time.Second
)

// Options are the options of New.
type Options struct {
	Table  table.Table
	Holder *config.Holder
	// Name and Incarnation are those of this entry in the roster.
	Name        string
	Incarnation uint64
	// Interval is the time after a failed read until the next one; 0 means
	// DefaultInterval.
	Interval time.Duration
	// Log gets a line when the platform becomes unavailable, when it is available
	// again, and when its configuration is invalid or older than the one in effect.
	Log *logrus.Entry
}

// Report is the value of table.PrefixReports + name.
type Report struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Version     uint64    `json:"version"`
	At          time.Time `json:"at"`
}

// Watcher polls the platform. Its methods are safe for concurrent use.
type Watcher struct {
	options Options
	// lastErrorKind is the kind of error with which the last read failed, empty
	// after a successful read; only the poll loop uses it.
	lastErrorKind string
	// lastValue is the last valid value read, so that an unchanged row is not
	// decoded again with each poll.
	lastValue []byte
}

// New returns a watcher that does nothing before Run.
func New(o Options) *Watcher {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Watcher{options: o}
}

// Run polls and reports until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		w.reportLoop(ctx)
	}()
	w.pollLoop(ctx)
	<-reported
	return nil
}

// AdoptFromPeer decodes a configuration that a peer sent, in the format of the
// configuration row, and puts it into effect if it is newer. It reports whether it
// was.
func (w *Watcher) AdoptFromPeer(value []byte) (bool, error) {
	c, err := config.Decode(value)
	if err != nil {
		return false, err
	}
	return w.options.Holder.Adopt(c), nil
}

func (w *Watcher) pollLoop(ctx context.Context) {
	for {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		w.logReadResult(err)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.options.Interval):
		}
	}
}

// poll reads the configuration, once it has changed or pollWait has passed.
func (w *Watcher) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+requestTimeout)
	defer cancel()
	row, err := w.options.Table.Await(ctx, table.RowConfig, pollWait)
	if err != nil || bytes.Equal(row.Value, w.lastValue) {
		return err
	}
	c, err := config.Decode(row.Value)
	if err != nil {
		return err
	}
	w.lastValue = row.Value
	if !w.options.Holder.Adopt(c) && c.Version < w.options.Holder.Version() {
		w.options.Log.Warnf("platform has configuration version %d, version %d stays in effect", c.Version, w.options.Holder.Version())
	}
	return nil
}

// logReadResult logs when reads begin to fail, fail for another reason, or
// succeed again. The messages of an outage differ in port numbers, so all errors
// of an unavailable platform count as the same.
func (w *Watcher) logReadResult(err error) {
	kind := ""
	if errors.Is(err, table.ErrUnavailable) {
		kind = table.ErrUnavailable.Error()
	} else if err != nil {
		kind = err.Error()
	}
	if kind == w.lastErrorKind {
		return
	}
	w.lastErrorKind = kind
	if err != nil {
		w.options.Log.WithError(err).Warnf("cannot read the configuration, version %d stays in effect", w.options.Holder.Version())
		return
	}
	w.options.Log.Infof("configuration can be read again, version %d is in effect", w.options.Holder.Version())
}

// reportLoop writes a report of each new version and retries failed writes.
func (w *Watcher) reportLoop(ctx context.Context) {
	versions, cancel := w.options.Holder.Subscribe()
	defer cancel()
	var retry <-chan time.Time
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-versions:
			version = c.Version
		case <-retry:
		}
		retry = nil
		if err := w.report(ctx, version); err != nil {
			w.options.Log.WithError(err).Debugf("cannot report version %d", version)
			retry = time.After(w.options.Interval)
		}
	}
}

func (w *Watcher) report(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r := Report{Name: w.options.Name, Incarnation: w.options.Incarnation, Version: version, At: time.Now().UTC()}
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	_, err = table.Update(ctx, w.options.Table, table.PrefixReports+w.options.Name, "", func(old []byte) ([]byte, error) {
		var before Report
		if json.Unmarshal(old, &before) == nil && before.Incarnation == r.Incarnation && before.Version >= r.Version {
			return nil, table.ErrUnchanged
		}
		return value, nil
	})
	return err
}
