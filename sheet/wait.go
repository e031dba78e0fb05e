package sheet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config/watch"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
)

// pollInterval is the interval at which Wait reads the roster and the reports.
const pollInterval = 200 * time.Millisecond

// Progress tells at which entries a version is in effect.
type Progress struct {
	// Done lists the entries of the roster that have reported the version or a
	// later one.
	Done []string `json:"done"`
	// Missing lists the entries of the roster that have not.
	Missing []MissingEntry `json:"missing"`
}

// MissingEntry is an entry that has not reported the version waited for.
type MissingEntry struct {
	Name string `json:"name"`
	// Version is the version that its current incarnation has reported, or 0 for
	// none.
	Version uint64 `json:"version"`
}

// Wait returns when the version is in effect at every entry of the roster, or
// when ctx ends, with the last progress that was read. The error is not nil when
// the platform could not be read before ctx ended, or when a read failed for a
// reason other than table.ErrUnavailable.
func Wait(ctx context.Context, t table.Table, version uint64) (Progress, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last Progress
	read := false
	for {
		progress, err := readProgress(ctx, t, version)
		switch {
		case err == nil && len(progress.Missing) == 0:
			return progress, nil
		case err == nil:
			last, read = progress, true
		case !errors.Is(err, table.ErrUnavailable):
			return last, err
		}
		select {
		case <-ctx.Done():
			if !read {
				return last, err
			}
			return last, nil
		case <-ticker.C:
		}
	}
}

// readProgress compares the reports of the entries in the roster with version.
func readProgress(ctx context.Context, t table.Table, version uint64) (Progress, error) {
	p := Progress{Done: []string{}, Missing: []MissingEntry{}}
	row, err := t.Get(ctx, table.RowRoster)
	if errors.Is(err, table.ErrNotFound) {
		return p, nil
	} else if err != nil {
		return p, err
	}
	var roster ownership.Roster
	if err := json.Unmarshal(row.Value, &roster); err != nil {
		return p, errors.Wrap(err, "decode roster")
	}
	rows, err := t.List(ctx, table.PrefixReports)
	if err != nil {
		return p, err
	}
	reports := map[string]watch.Report{}
	for _, row := range rows {
		var r watch.Report
		if json.Unmarshal(row.Value, &r) == nil {
			reports[r.Name] = r
		}
	}
	for _, m := range roster.Members {
		r := reports[m.Name]
		switch {
		case r.Incarnation != m.Incarnation:
			p.Missing = append(p.Missing, MissingEntry{Name: m.Name})
		case r.Version < version:
			p.Missing = append(p.Missing, MissingEntry{Name: m.Name, Version: r.Version})
		default:
			p.Done = append(p.Done, m.Name)
		}
	}
	return p, nil
}
