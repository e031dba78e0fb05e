package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/table"
)

const (
	// KeptVersions is how many versions can be listed and restored: a week of
	// the 1,300 changes a day of the largest deployment. A history row has about
	// 300 bytes, so that a list of them stays under 4 MB.
	KeptVersions = 10_000
	// objectAttempts bounds the writes of one object. They may be repeated,
	// since the name holds the operation id and thus the content never differs.
	objectAttempts = 3
	objectDelay    = 100 * time.Millisecond
)

// Entry is one version in the history.
type Entry struct {
	Version  uint64    `json:"version"`
	Op       string    `json:"op"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Restores is the version that this one brought back, or 0.
	Restores uint64 `json:"restores,omitempty"`
	// Object names the object that holds the configuration.
	Object string `json:"object"`
}

// ErrNoVersion says that a version is not on the platform.
var ErrNoVersion = errors.New("no such version")

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%012d", table.PrefixConfigHistory, version)
}

// record writes a version to the history unless it is there. The object comes
// first, so that a history row always has its content. Every writer records the
// version that it replaces, so that each replaced version has a row even if its
// own writer failed before that.
func record(ctx context.Context, p table.Platform, c *config.Config) error {
	_, err := p.Get(ctx, historyKey(c.Version))
	if err == nil || !errors.Is(err, table.ErrNotFound) {
		return err
	}
	e := Entry{
		Version: c.Version, Op: c.Op, Operator: c.Operator, At: c.At, Restores: c.Restores,
		Object: fmt.Sprintf("%s%012d/%s", table.PrefixConfigHistory, c.Version, c.Op),
	}
	content, err := config.Encode(c)
	if err != nil {
		return err
	}
	if err := putObject(ctx, p, e.Object, content); err != nil {
		return err
	}
	row, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode history")
	}
	_, err = table.Update(ctx, p, historyKey(c.Version), "", func(old []byte) ([]byte, error) {
		if old != nil {
			return nil, table.ErrUnchanged
		}
		return row, nil
	})
	return errors.Wrap(err, "write history")
}

func putObject(ctx context.Context, p table.Platform, name string, content []byte) error {
	var doubt *table.DoubtError
	err := p.PutObject(ctx, name, content)
	for attempt := 1; attempt < objectAttempts && errors.As(err, &doubt); attempt++ {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(objectDelay):
		}
		err = p.PutObject(ctx, name, content)
	}
	return err
}

// forget removes the history row that is beyond KeptVersions. A failure leaves
// a row too many, which harms nothing.
func forget(ctx context.Context, p table.Platform, version uint64) {
	if version <= KeptVersions {
		return
	}
	if row, err := p.Get(ctx, historyKey(version-KeptVersions)); err == nil {
		_ = p.Delete(ctx, row.Key, row.Version)
	}
}

// Current returns the configuration in effect, or nil when there is none.
func Current(ctx context.Context, t table.Table) (*config.Config, error) {
	row, err := t.Get(ctx, table.RowConfig)
	switch {
	case errors.Is(err, table.ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, err
	}
	return config.Decode(row.Value)
}

// History returns the versions, newest first.
func History(ctx context.Context, p table.Platform) ([]Entry, error) {
	rows, err := p.List(ctx, table.PrefixConfigHistory)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows)+1)
	for _, row := range rows {
		var e Entry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, errors.Wrapf(err, "decode row %q", row.Key)
		}
		entries = append(entries, e)
	}
	slices.Reverse(entries)
	// The writer of the current version may have failed before its history row.
	c, err := Current(ctx, p)
	if err != nil {
		return nil, err
	}
	if c != nil && (len(entries) == 0 || entries[0].Version < c.Version) {
		newest := Entry{Version: c.Version, Op: c.Op, Operator: c.Operator, At: c.At, Restores: c.Restores}
		entries = slices.Insert(entries, 0, newest)
	}
	return entries, nil
}

// Show returns a version; 0 means the one in effect. The error is ErrNoVersion
// when there is no such version or it is no longer kept.
func Show(ctx context.Context, p table.Platform, version uint64) (*config.Config, error) {
	c, err := Current(ctx, p)
	if err != nil {
		return nil, err
	}
	if c != nil && (version == 0 || version == c.Version) {
		return c, nil
	}
	if version == 0 {
		return nil, errors.Wrap(ErrNoVersion, "no configuration has been applied yet")
	}
	row, err := p.Get(ctx, historyKey(version))
	if errors.Is(err, table.ErrNotFound) {
		return nil, errors.Wrapf(ErrNoVersion, "version %d", version)
	} else if err != nil {
		return nil, err
	}
	var e Entry
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return nil, errors.Wrapf(err, "decode row %q", row.Key)
	}
	content, err := p.GetObject(ctx, e.Object)
	if err != nil {
		return nil, err
	}
	return config.Decode(content)
}
