// Package store is the stand-in of the platform's store: rows with versions of a
// single counter, a feed of their changes, and objects, over the platform's
// published protocol.
//
// Input: HTTP requests. Output: replies, or none under a fault. State: rows and
// objects in memory.
package store

import (
	"sync"
	"time"
)

// Faults are the faults of the store. The counts are of the next writes that are
// affected; a negative count affects all until the faults are set again.
type Faults struct {
	// Unavailable refuses every request, RefuseWrites only writes.
	Unavailable  bool `json:"unavailable"`
	RefuseWrites bool `json:"refuse_writes"`
	// Silent answers nothing.
	Silent bool `json:"silent"`
	// DelayMS delays every request, in milliseconds. A write takes effect even if
	// its caller has gone by then.
	DelayMS int `json:"delay_ms"`
	// LoseReplies drops the replies of writes that took effect.
	LoseReplies int `json:"lose_replies"`
	// LoseRequests drops writes before they take effect.
	LoseRequests int `json:"lose_requests"`
}

func (f *Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Counts says how many requests the store has received.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Store implements http.Handler.
type Store struct {
	// Rewrite, if set, changes the value of a row as readers see it.
	Rewrite func(key string, value []byte) []byte

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	version uint64
	rows    map[rowKey]row
	objects map[string][]byte
	// floor is the oldest version from which the feed can go on.
	floor   uint64
	changed chan struct{}
	started time.Time
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// New returns an empty store.
func New() *Store {
	return &Store{
		rows: map[rowKey]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now(),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults with what remains of the counts.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of requests received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Put writes a row as the operator of the platform does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]row{{Table: table, Key: key, Value: value}}, nil)
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	s.version++
}

// change carries out a transaction: all of its rows get the same version.
func (s *Store) change(writes, removals []row) {
	s.version++
	for _, r := range writes {
		r.Version, r.Deleted = s.version, false
		s.rows[r.id()] = r
	}
	for _, r := range removals {
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// use uses up one of a counted fault.
func use(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
