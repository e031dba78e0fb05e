package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's store: rows-tx, rows-get and rows-feed.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	history []row
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), began: time.Now()}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.wake()
}

// apply records a change at the present version. The caller holds mu.
func (s *store) apply(r row) {
	r.Version = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type transaction struct {
	Expected []row `json:"expected_rev"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "has_more": false, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds()})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		var tx transaction
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.transact(w, tx)
	case "/-/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		var rows []row
		for id, v := range s.rows {
			if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("start_key") && (q.Get("to") == "" || id.key < q.Get("to")) {
				rows = append(rows, v)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < len(rows) {
			rows = rows[:n]
		}
		s.reply(w, http.StatusOK, rows)
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, tx transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowID{e.Table, e.Part, e.Key}].Version != e.Version {
			s.reply(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	s.version++
	for _, r := range tx.Writes {
		s.apply(r)
	}
	for _, r := range tx.Remove {
		r.Deleted = true
		s.apply(r)
	}
	s.wake()
	s.reply(w, http.StatusOK, nil)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == table && h.Version > after {
				rows = append(rows, h)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
