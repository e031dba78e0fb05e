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

// waitInterval is the time between two reads of the reports.
const waitInterval = 200 * time.Millisecond

// Progress says which entries have a version in effect.
type Progress struct {
	// Done are the entries of the roster that have reported the version or a
	// later one.
	Done []string `json:"done"`
	// Missing are those that have not.
	Missing []Missing `json:"missing"`
}

// Missing is an entry that has not reported a version.
type Missing struct {
	Name string `json:"name"`
	// Version is the one that its present incarnation has reported, 0 for none.
	Version uint64 `json:"version"`
}

// Wait returns when every entry of the roster has the version in effect, or
// with the last progress when ctx ends. An error means that the platform could
// not be read at all.
func Wait(ctx context.Context, t table.Table, version uint64) (Progress, error) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	var last Progress
	read := false
	for {
		progress, err := progress(ctx, t, version)
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

func progress(ctx context.Context, t table.Table, version uint64) (Progress, error) {
	p := Progress{Done: []string{}, Missing: []Missing{}}
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
			p.Missing = append(p.Missing, Missing{Name: m.Name})
		case r.Version < version:
			p.Missing = append(p.Missing, Missing{Name: m.Name, Version: r.Version})
		default:
			p.Done = append(p.Done, m.Name)
		}
	}
	return p, nil
}
