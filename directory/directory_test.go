package directory

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/decisions"
)

// fakeStore answers as a test says.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[string][]byte
	latency time.Duration
	reads   int
	forget  bool
	err     error
	written []string
	removed []string
}

func (f *fakeStore) Rows(context.Context, string) ([]Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	var rows []Row
	for k, v := range f.rows {
		rows = append(rows, Row{Key: k, Value: v})
	}
	return rows, f.version, f.err
}

func (f *fakeStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	f.mu.Lock()
	latency, forget, version, err := f.latency, f.forget, f.version, f.err
	f.forget = false
	f.mu.Unlock()
	switch {
	case err != nil:
		return nil, 0, err
	case forget:
		return nil, 0, ErrHistoryGone
	case version > after:
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		var rows []Row
		for k, v := range f.rows {
			rows = append(rows, Row{Key: k, Value: v})
		}
		return rows, version, nil
	}
	select {
	case <-time.After(min(wait, 5*time.Millisecond)):
	case <-ctx.Done():
	}
	return nil, version, ctx.Err()
}

func (f *fakeStore) Row(context.Context, string, string) ([]byte, bool, error) {
	return nil, false, f.err
}

func (f *fakeStore) Put(_ context.Context, _, key string, _ []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written = append(f.written, key)
	return f.err
}

func (f *fakeStore) Remove(_ context.Context, _, key string) error {
	f.removed = append(f.removed, key)
	return f.err
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func testLog() *decisions.Log {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return decisions.New(logrus.NewEntry(l))
}

// watching runs Watch and returns what it applied last.
func watching(t *testing.T, f *fakeStore) func() (key string, full bool, lost bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var key string
	var full, lost bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, f, "t", testLog(), func(rows []Row, all bool) {
			mu.Lock()
			defer mu.Unlock()
			full = all
			for _, r := range rows {
				key = string(r.Value)
			}
		}, func(l bool) { mu.Lock(); defer mu.Unlock(); lost = l })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func() (string, bool, bool) {
		mu.Lock()
		defer mu.Unlock()
		return key, full, lost
	}
}

func eventually(t *testing.T, within time.Duration, f func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v", within)
		}
	}
}

func TestWatchReadsTheTableThenItsChanges(t *testing.T) {
	f := &fakeStore{version: 3, rows: map[string][]byte{"a": []byte("1")}}
	state := watching(t, f)
	eventually(t, time.Second, func() bool { k, full, _ := state(); return k == "1" && full })
	f.set(func() { f.version, f.rows["a"] = 5, []byte("2") })
	eventually(t, time.Second, func() bool { k, full, _ := state(); return k == "2" && !full })
	// Without its history the store is read anew.
	f.set(func() { f.forget, f.version, f.rows["a"] = true, 9, []byte("3") })
	eventually(t, time.Second, func() bool { k, full, _ := state(); return k == "3" && full })
	f.set(func() { f.err = errors.New("away") })
	eventually(t, time.Second, func() bool { _, _, lost := state(); return lost })
	f.set(func() { f.err = nil })
	eventually(t, time.Second, func() bool { _, _, lost := state(); return !lost })
}

// Guards against a store that is slower than the slack and never read at all.
func TestSlackGrowsWithASlowStore(t *testing.T) {
	f := &fakeStore{version: 3, rows: map[string][]byte{"a": []byte("1")}}
	state := watching(t, f)
	eventually(t, time.Second, func() bool { k, _, _ := state(); return k == "1" })
	f.set(func() {
		f.latency, f.version, f.rows["a"] = watchWait+2*watchSlack-100*time.Millisecond, 5, []byte("2")
	})
	eventually(t, 6*time.Second, func() bool { k, _, _ := state(); return k == "2" })
}

func TestMembersOfOtherWriters(t *testing.T) {
	for value, ok := range map[string]bool{
		`{"name":"a1","role":"agent","address":"10.0.0.1:7"}`: true,
		`{"name":"a2"}`: false, `7`: false, `{"name":7}`: false, "": false,
	} {
		_, err := DecodeMember(Row{Key: "a1", Value: []byte(value)})
		qt.Assert(t, err == nil, qt.Equals, ok, qt.Commentf("%s", value))
	}
}

func TestEnterRepeatsUntilWritten(t *testing.T) {
	f := &fakeStore{err: errors.New("away")}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { Enter(ctx, f, Member{Name: "a1"}, testLog()); close(done) }()
	tries := func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.written) }
	eventually(t, 3*time.Second, func() bool { return tries() >= 3 })
	f.set(func() { f.err = nil })
	n := tries()
	eventually(t, 2*time.Second, func() bool { return tries() > n })
	time.Sleep(600 * time.Millisecond)
	qt.Assert(t, tries() <= n+2, qt.IsTrue, qt.Commentf("a written row is left alone"))
	cancel()
	<-done
}

func TestRowOfAnUnreachableMemberIsRemoved(t *testing.T) {
	f := &fakeStore{}
	RemoveMember(context.Background(), f, "a1", testLog())
	qt.Assert(t, f.removed, qt.DeepEquals, []string{"a1"})
	// A store that is away keeps the row; the next round tries again.
	f.err = errors.New("away")
	RemoveMember(context.Background(), f, "a1", testLog())
	qt.Assert(t, f.removed, qt.HasLen, 2)
}
