package sheet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/table"
)

const (
	// MaxHistoryVersions is the number of versions that can be listed and
	// restored: a week at 1,300 changes a day, the rate of the largest
	// deployment. A history row takes about 300 bytes, so listing all of them
	// stays under 4 MB.
	MaxHistoryVersions = 10_000
	// maxObjectAttempts bounds the attempts to write one object. Retries are
	// safe: the name contains the version and the operation id, so the content is
	// always the same.
	maxObjectAttempts = 3
	objectRetryDelay  = 100 * time.Millisecond
)

// VersionInfo describes one configuration version in the history.
type VersionInfo struct {
	Version  uint64    `json:"version"`
	Op       string    `json:"op"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Restores is the older version that this one restored, or 0.
	Restores uint64 `json:"restores,omitempty"`
	// EvacuatedZones are the zones that are evacuated in the version.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Object is the name of the object that holds the configuration. It is empty
	// for a version in effect whose history row has not been written.
	Object string `json:"object"`
}

// ErrNoVersion reports that a version is not on the platform.
var ErrNoVersion = errors.New("no such version")

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%012d", table.PrefixConfigHistory, version)
}

// recordVersion adds a version to the history unless it is already there. The
// object is written first, so that the content of every history row exists.
// Every writer records the version that it replaces, so each replaced version
// has a row even if its own writer failed before adding it.
func recordVersion(ctx context.Context, p table.Platform, c *config.Config) error {
	_, err := p.Get(ctx, historyKey(c.Version))
	if err == nil || !errors.Is(err, table.ErrNotFound) {
		return err
	}
	info := VersionInfo{
		Version: c.Version, Op: c.Op, Operator: c.Operator, At: c.At, Restores: c.Restores, EvacuatedZones: c.EvacuatedZones,
		Object: fmt.Sprintf("%s%012d/%s", table.PrefixConfigHistory, c.Version, c.Op),
	}
	content, err := config.Encode(c)
	if err != nil {
		return err
	}
	if err := putObject(ctx, p, info.Object, content); err != nil {
		return err
	}
	row, err := json.Marshal(info)
	if err != nil {
		return errors.Wrap(err, "encode history row")
	}
	_, err = table.Update(ctx, p, historyKey(c.Version), "", func(old []byte) ([]byte, error) {
		if old != nil {
			return nil, table.ErrUnchanged
		}
		return row, nil
	})
	return errors.Wrap(err, "write history row")
}

func putObject(ctx context.Context, p table.Platform, name string, content []byte) error {
	var unknown *table.UnknownOutcomeError
	err := p.PutObject(ctx, name, content)
	for attempt := 1; attempt < maxObjectAttempts && errors.As(err, &unknown); attempt++ {
		select {
		case <-ctx.Done():
			return err
		case <-time.After(objectRetryDelay):
		}
		err = p.PutObject(ctx, name, content)
	}
	return err
}

// pruneHistory deletes the history row that is no longer among the last
// MaxHistoryVersions once version is in effect. Errors are ignored, since an extra
// row does no harm.
func pruneHistory(ctx context.Context, p table.Platform, version uint64) {
	if version <= MaxHistoryVersions {
		return
	}
	if row, err := p.Get(ctx, historyKey(version-MaxHistoryVersions)); err == nil {
		_ = p.Delete(ctx, row.Key, row.Version)
	}
}

// Current returns the configuration in effect, or nil without an error when
// there is none.
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

// unreadableOperator stands for the operator of a version whose row in the history can't
// be read.
const unreadableOperator = "(unreadable)"

// History returns the recorded versions and the one in effect, newest first.
func History(ctx context.Context, p table.Platform) ([]VersionInfo, error) {
	rows, err := p.List(ctx, table.PrefixConfigHistory)
	if err != nil {
		return nil, err
	}
	versions := make([]VersionInfo, 0, len(rows)+1)
	for _, row := range rows {
		var info VersionInfo
		if err := json.Unmarshal(row.Value, &info); err != nil {
			// The other versions stay usable. The key of the row says which one this was.
			info = VersionInfo{Operator: unreadableOperator}
			info.Version, _ = strconv.ParseUint(strings.TrimPrefix(row.Key, table.PrefixConfigHistory), 10, 64)
		}
		versions = append(versions, info)
	}
	slices.Reverse(versions)
	// The writer of the version in effect may have failed before adding its row.
	c, err := Current(ctx, p)
	if err != nil {
		return nil, err
	}
	if c != nil && (len(versions) == 0 || versions[0].Version < c.Version) {
		latest := VersionInfo{Version: c.Version, Op: c.Op, Operator: c.Operator, At: c.At, Restores: c.Restores, EvacuatedZones: c.EvacuatedZones}
		versions = slices.Insert(versions, 0, latest)
	}
	return versions, nil
}

// GetVersion returns the configuration of a version; 0 means the one in effect.
// The error is ErrNoVersion when the version does not exist or is no longer in
// the history.
func GetVersion(ctx context.Context, p table.Platform, version uint64) (*config.Config, error) {
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
	var info VersionInfo
	if err := json.Unmarshal(row.Value, &info); err != nil {
		return nil, errors.Wrapf(err, "decode row %q", row.Key)
	}
	content, err := p.GetObject(ctx, info.Object)
	if err != nil {
		return nil, err
	}
	return config.Decode(content)
}
