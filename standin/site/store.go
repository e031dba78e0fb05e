package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the faults of the store.
type StoreFaults struct {
	// Refuse answers 503, Silent answers nothing.
	Refuse bool
	Silent bool
	// Delay delays each answer.
	Delay time.Duration
	// LoseAnswers carries writes out and drops the connection.
	LoseAnswers bool
}

// Store is the platform's store: rows with versions of a single counter, and a
// feed of their changes.
type Store struct {
	// Rewrite, if set, changes the value of a row as readers see it.
	Rewrite func(key string, value []byte) []byte

	mu      sync.Mutex
	faults  StoreFaults
	version uint64
	rows    map[rowKey]row
	// floor is the oldest version from which the feed can go on.
	floor   uint64
	changed chan struct{}
	started time.Time
	writes  int
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

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes a row as the operator does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(rowKey{table: table, key: key}, value, false)
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	s.version++
}

// Writes returns the number of transactions carried out.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *Store) put(k rowKey, value []byte, deleted bool) {
	s.version++
	s.rows[k] = row{Table: k.table, Part: k.part, Key: k.key, Value: value, Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Delay)
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r, f.LoseAnswers)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

func (s *Store) answer(rows []row, more bool) storeAnswer {
	if s.Rewrite != nil {
		for i := range rows {
			rows[i].Value = s.Rewrite(rows[i].Key, rows[i].Value)
		}
	}
	return storeAnswer{Rows: rows, More: more, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		inRange := k.key >= q.Get("start_key") && (q.Get("to") == "" || k.key < q.Get("to"))
		if k.table == q.Get("table") && k.part == q.Get("part") && inRange && !v.Deleted {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, s.answer(rows, more))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for k, v := range s.rows {
			if k.table == q.Get("table") && v.Version > after {
				rows = append(rows, v)
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return int(a.Version) - int(b.Version) })
		changed, answer := s.changed, s.answer(rows, false)
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []row `json:"expected_rev"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, lose bool) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if current := s.rows[rowKey{e.Table, e.Part, e.Key}]; current.Version != e.Version && (e.Version != 0 || !current.Deleted) {
			reply(w, http.StatusPreconditionFailed, s.answer([]row{current}, false))
			return
		}
	}
	s.writes++
	for _, e := range tx.Writes {
		s.put(rowKey{e.Table, e.Part, e.Key}, e.Value, false)
	}
	for _, e := range tx.Remove {
		s.put(rowKey{e.Table, e.Part, e.Key}, nil, true)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, s.answer(nil, false))
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
