package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. Each process of the system calls it at
// an address of its own, so that the rows of members can name a proxy in place of a machine.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	changed chan struct{}
	began   time.Time
	// rewrite returns the value of a row as a process reads it.
	rewrite func(reader string, r row) []byte
	// delay is how much longer an answer takes, in nanoseconds.
	delay atomic.Int64
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

// serveFor returns the address at which a process calls the store.
func (s *store) serveFor(reader string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.delay.Load()))
		s.handle(w, r, reader)
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (s *store) commit(writes []row, removed []row) {
	s.ver++
	for _, r := range writes {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.Table+"|"+r.Part+"|"+r.Key] = r
	}
	for _, r := range removed {
		r.Ver, r.Deleted, r.Value = s.ver, true, nil
		s.rows[r.Table+"|"+r.Part+"|"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Value: value}}, nil)
}

// members returns the number of rows in a table.
func (s *store) members(table string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			n++
		}
	}
	return n
}

func (s *store) reply(w http.ResponseWriter, reader string, status int, rows []row, more bool) {
	for i := range rows {
		if s.rewrite != nil && !rows[i].Deleted {
			rows[i].Value = s.rewrite(reader, rows[i])
		}
	}
	if rows == nil {
		rows = []row{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds()})
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, reader string) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		limit := 500
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
			limit = n
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var rows []row
		for _, o := range s.rows {
			if o.Table == q.Get("table") && o.Part == q.Get("part") && !o.Deleted && o.Key >= q.Get("start_key") && (q.Get("to") == "" || o.Key < q.Get("to")) {
				rows = append(rows, o)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		s.reply(w, reader, http.StatusOK, rows, more)
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
		for last := false; ; {
			s.mu.Lock()
			var rows []row
			for _, o := range s.rows {
				if o.Table == q.Get("table") && o.Ver > after {
					rows = append(rows, o)
				}
			}
			if len(rows) > 0 || last {
				sort.Slice(rows, func(i, k int) bool { return rows[i].Ver < rows[k].Ver })
				s.reply(w, reader, http.StatusOK, rows, false)
				s.mu.Unlock()
				return
			}
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				last = true
			case <-r.Context().Done():
				return
			}
		}
	case "/-/rows-tx":
		var tx struct {
			Expected []row `json:"expected_rev"`
			Writes   []row `json:"writes"`
			Remove   []row `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var current []row
		holds := true
		for _, e := range tx.Expected {
			o := s.rows[e.Table+"|"+e.Part+"|"+e.Key]
			if o.Deleted {
				o = row{}
			}
			holds = holds && o.Ver == e.Ver
			if o.Ver > 0 {
				current = append(current, o)
			}
		}
		if !holds {
			s.reply(w, reader, http.StatusPreconditionFailed, current, false)
			return
		}
		s.commit(tx.Writes, tx.Remove)
		s.reply(w, reader, http.StatusOK, nil, false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
