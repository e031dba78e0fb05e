// Package tabletest holds the contract test that every implementation of
// table.Platform passes.
package tabletest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/table"
)

// Run checks an implementation that has no injected faults. open returns an empty
// platform; it is called once for each case.
func Run(t *testing.T, open func(t *testing.T) table.Platform) {
	for _, tc := range []struct {
		name string
		run  func(c *qt.C, ctx context.Context, p table.Platform)
	}{
		{"versions increase with each write", testVersions},
		{"a stale version conflicts and returns the current row", testConflicts},
		{"a read waits for a change", testAwait},
		{"delete requires the current version", testDelete},
		{"list is ordered and bounded by the prefix", testList},
		{"values are returned as written", testValues},
		{"concurrent writers of a row all take effect", testConcurrentWriters},
		{"objects", testObjects},
		{"a cancelled write is unavailable or has an unknown outcome", testCancelledContext},
	} {
		t.Run(tc.name, func(t *testing.T) { tc.run(qt.New(t), t.Context(), open(t)) })
	}
}

func testVersions(c *qt.C, ctx context.Context, p table.Platform) {
	_, err := p.Get(ctx, "config/current")
	c.Assert(errors.Is(err, table.ErrNotFound), qt.IsTrue, qt.Commentf("%v", err))
	var last uint64
	for i := range 3 {
		row, err := p.CompareAndSet(ctx, "config/current", last, []byte{byte(i)})
		c.Assert(err, qt.IsNil)
		c.Assert(row.Version > last, qt.IsTrue, qt.Commentf("version %d after %d", row.Version, last))
		c.Assert(row, qt.DeepEquals, table.Row{Key: "config/current", Version: row.Version, Value: []byte{byte(i)}})
		got, err := p.Get(ctx, "config/current")
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, row)
		last = row.Version
	}
}

func testConflicts(c *qt.C, ctx context.Context, p table.Platform) {
	var conflict *table.ConflictError
	_, err := p.CompareAndSet(ctx, "roster", 4, []byte("x"))
	c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(conflict.Current.Version, qt.Equals, uint64(0))
	row, err := p.CompareAndSet(ctx, "roster", 0, []byte("a"))
	c.Assert(err, qt.IsNil)
	for _, want := range []uint64{0, row.Version + 1} {
		_, err = p.CompareAndSet(ctx, "roster", want, []byte("b"))
		c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(conflict, qt.DeepEquals, &table.ConflictError{Key: "roster", Want: want, Current: row})
	}
}

func testAwait(c *qt.C, ctx context.Context, p table.Platform) {
	const long = time.Minute
	_, err := p.Await(ctx, "config/current", long)
	c.Assert(errors.Is(err, table.ErrNotFound), qt.IsTrue, qt.Commentf("%v", err))
	row, err := p.CompareAndSet(ctx, "config/current", 0, []byte("a"))
	c.Assert(err, qt.IsNil)
	got, err := p.Await(ctx, "config/current", long)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, row)
	// Without a change the read returns after the wait.
	got, err = p.Await(ctx, "config/current", 10*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, row)
	changed := make(chan table.Row, 1)
	go func() {
		row, err := p.Await(ctx, "config/current", long)
		c.Check(err, qt.IsNil)
		changed <- row
	}()
	row, err = p.CompareAndSet(ctx, "config/current", row.Version, []byte("b"))
	c.Assert(err, qt.IsNil)
	select {
	case got := <-changed:
		c.Assert(got, qt.DeepEquals, row)
	case <-time.After(long / 2):
		c.Fatal("the read did not return after the change")
	}
}

func testDelete(c *qt.C, ctx context.Context, p table.Platform) {
	row, err := p.CompareAndSet(ctx, "agents/w1", 0, []byte("a"))
	c.Assert(err, qt.IsNil)
	_, err = p.Get(ctx, "agents/w1")
	c.Assert(err, qt.IsNil)
	var conflict *table.ConflictError
	c.Assert(errors.As(p.Delete(ctx, "agents/w1", row.Version+1), &conflict), qt.IsTrue)
	c.Assert(conflict.Current.Version, qt.Equals, row.Version)
	c.Assert(p.Delete(ctx, "agents/w1", row.Version), qt.IsNil)
	_, err = p.Get(ctx, "agents/w1")
	c.Assert(errors.Is(err, table.ErrNotFound), qt.IsTrue)
	c.Assert(errors.As(p.Delete(ctx, "agents/w1", row.Version), &conflict), qt.IsTrue)
	// A row created again under the same key must have a higher version than the
	// deleted one.
	again, err := p.CompareAndSet(ctx, "agents/w1", 0, []byte("b"))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Version > row.Version, qt.IsTrue)
	for range 2 {
		row, err := p.Get(ctx, "agents/w1")
		c.Assert(err, qt.IsNil)
		c.Assert(string(row.Value), qt.Equals, "b")
	}
}

func testList(c *qt.C, ctx context.Context, p table.Platform) {
	versions := map[string]uint64{}
	for _, key := range []string{
		"agents/w2", "agents/w10", "agent", "agents/w1", "reports/e1", "config/history", "config/history/1", "config/history/2", "config/history0",
	} {
		row, err := p.CompareAndSet(ctx, key, 0, []byte(key))
		c.Assert(err, qt.IsNil)
		versions[key] = row.Version
	}
	for prefix, want := range map[string][]string{
		"agents/":         {"agents/w1", "agents/w10", "agents/w2"},
		"reports/":        {"reports/e1"},
		"config/history/": {"config/history/1", "config/history/2"},
		"none/":           nil,
	} {
		rows, err := p.List(ctx, prefix)
		c.Assert(err, qt.IsNil)
		var keys []string
		for _, r := range rows {
			keys = append(keys, r.Key)
			c.Assert(string(r.Value), qt.Equals, r.Key)
			c.Assert(r.Version, qt.Equals, versions[r.Key])
		}
		c.Assert(keys, qt.DeepEquals, want)
	}
}

func testValues(c *qt.C, ctx context.Context, p table.Platform) {
	for i, value := range [][]byte{{}, {0, 255, '\n'}, []byte(`{"a": "ä%"}`), make([]byte, table.MaxValueBytes)} {
		key := fmt.Sprintf("odd key/%%2F %d?ä", i)
		_, err := p.CompareAndSet(ctx, key, 0, value)
		c.Assert(err, qt.IsNil)
		row, err := p.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(row.Value) == string(value), qt.IsTrue)
	}
	_, err := p.CompareAndSet(ctx, "large", 0, make([]byte, table.MaxValueBytes+1))
	c.Assert(errors.Is(err, table.ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
}

func testConcurrentWriters(c *qt.C, ctx context.Context, p table.Platform) {
	const writers = 8
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			op := fmt.Sprintf("op-%d", i)
			_, err := table.Update(ctx, p, "roster", op, func(old []byte) ([]byte, error) {
				return fmt.Appendf(nil, `{"op":%q,"n":%d}`, op, len(old)), nil
			})
			c.Check(err, qt.IsNil)
		})
	}
	wg.Wait()
	row, err := p.Get(ctx, "roster")
	c.Assert(err, qt.IsNil)
	c.Assert(row.Version, qt.Equals, uint64(writers))
}

func testObjects(c *qt.C, ctx context.Context, p table.Platform) {
	_, err := p.GetObject(ctx, "sheets/1")
	c.Assert(errors.Is(err, table.ErrNotFound), qt.IsTrue)
	for _, value := range []string{"a", "b"} {
		c.Assert(p.PutObject(ctx, "sheets/1", []byte(value)), qt.IsNil)
		b, err := p.GetObject(ctx, "sheets/1")
		c.Assert(err, qt.IsNil)
		c.Assert(string(b), qt.Equals, value)
	}
	err = p.PutObject(ctx, "large", make([]byte, table.MaxObjectBytes+1))
	c.Assert(errors.Is(err, table.ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
}

func testCancelledContext(c *qt.C, ctx context.Context, p table.Platform) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	_, err := p.Get(ctx, "roster")
	c.Assert(errors.Is(err, table.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	_, err = p.CompareAndSet(ctx, "roster", 0, []byte("a"))
	var unknown *table.UnknownOutcomeError
	c.Assert(errors.Is(err, table.ErrUnavailable) || errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
}
