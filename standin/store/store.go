// Package store simulates the platform's store behind its published protocol:
// rows whose versions come from a single counter, a feed of their changes, and
// objects.
//
// Input: HTTP requests. Output: replies, or none if a fault suppresses them.
// State: rows and objects, in memory only.
package store

import (
	"sync"
	"time"
)

// Faults are the faults that the store injects. LoseReplies and LoseRequests count
// how many of the next writes are affected; a negative count affects all writes
// until the faults are set again.
type Faults struct {
	// Unavailable rejects every request, RefuseWrites only writes.
	Unavailable  bool `json:"unavailable"`
	RefuseWrites bool `json:"refuse_writes"`
	// Silent leaves every request unanswered and does not execute it.
	Silent bool `json:"silent"`
	// DelayMS delays every request, in milliseconds. A write takes effect even if
	// its client has given up by then.
	DelayMS int `json:"delay_ms"`
	// LoseReplies drops the replies to writes that have taken effect.
	LoseReplies int `json:"lose_replies"`
	// LoseRequests drops writes before they take effect.
	LoseRequests int `json:"lose_requests"`
}

func (f *Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Counts are the numbers of requests that the store has received.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Store is an in-memory store that serves the platform's protocol.
type Store struct {
	// Rewrite, if set, replaces the value of each row in a reply. The stored value
	// stays as it is.
	Rewrite func(key string, value []byte) []byte

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	version uint64
	rows    map[rowKey]row
	objects map[string][]byte
	// oldestFeedVersion is the oldest version from which the feed can resume.
	oldestFeedVersion uint64
	// changed is closed and replaced at each commit.
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

// Faults returns the current faults, with the remaining counts.
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

// Put writes a row on behalf of the operator of the platform: it is subject to
// neither the access check nor the faults of the HTTP interface.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Value: value}}, nil)
}

// Remove removes a row on behalf of the operator of the platform, like Put.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []row{{Table: table, Key: key}})
}

// DropHistory drops the history of changes up to the current version. Feed requests
// that resume from an older version are then answered with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestFeedVersion = s.version
	s.version++
}

// commit applies a transaction, all rows of which get the same version, and wakes
// the readers of the feed. The caller holds s.mu.
func (s *Store) commit(writes, removals []row) {
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

// consumeFault reports whether a counted fault applies, and decrements its count
// unless that is negative.
func consumeFault(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
