package store

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRows is the platform's limit of rows in one reply.
	maxRows = 500
	// maxTransactionBytes and maxObjectBytes are the platform's limits of the body
	// of a write.
	maxTransactionBytes = 1 << 20
	maxObjectBytes      = 8 << 20
	objectPrefix        = "/-/blob-"
)

// operatorTables are the tables that only the operator of the platform may write.
var operatorTables = []string{"op", "servers"}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	write := r.Method != http.MethodGet
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	f := s.countRequest(write)
	if f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.delay())
	if f.Unavailable || f.RefuseWrites && write {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name, isObject := strings.CutPrefix(r.URL.Path, objectPrefix)
	switch {
	case r.URL.Path == "/-/rows-get":
		s.serveRows(w, r)
	case r.URL.Path == "/-/rows-feed":
		s.serveFeed(w, r)
	case r.URL.Path == "/-/rows-tx" && write:
		s.serveTransaction(w, body)
	case isObject:
		s.serveObject(w, r.Method, name, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// countRequest counts a request and returns the faults that apply to it.
func (s *Store) countRequest(write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	return s.faults
}

// applyWrite executes a write under the lock. Fault injection may drop the request
// before the write or the reply after it.
func (s *Store) applyWrite(f func() (status int, reply any)) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if consumeFault(&s.faults.LoseRequests) {
		panic(http.ErrAbortHandler)
	}
	status, reply := f()
	if consumeFault(&s.faults.LoseReplies) {
		panic(http.ErrAbortHandler)
	}
	return status, reply
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// newReply applies Rewrite to the rows and returns a reply with them. The caller
// holds s.mu.
func (s *Store) newReply(rows []row, more bool) rowsReply {
	if s.Rewrite != nil {
		for i := range rows {
			rows[i].Value = s.Rewrite(rows[i].Key, rows[i].Value)
		}
	}
	return rowsReply{Rows: rows, More: more, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
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
	writeJSON(w, http.StatusOK, s.newReply(rows, more))
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldestFeedVersion {
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
		changed, reply := s.changed, s.newReply(rows, false)
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, reply)
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

func (s *Store) serveTransaction(w http.ResponseWriter, body []byte) {
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil || len(body) > maxTransactionBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range slices.Concat(tx.Writes, tx.Remove) {
		if slices.Contains(operatorTables, r.Table) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status, reply := s.applyWrite(func() (int, any) {
		if current, ok := s.checkExpected(tx.Expected); !ok {
			return http.StatusPreconditionFailed, s.newReply(current, false)
		}
		s.commit(tx.Writes, tx.Remove)
		return http.StatusOK, s.newReply(nil, false)
	})
	writeJSON(w, status, reply)
}

// checkExpected reports whether all rows have the versions that a transaction
// expects, and returns those of them that exist.
func (s *Store) checkExpected(rows []row) (current []row, ok bool) {
	ok = true
	for _, e := range rows {
		existing := s.rows[e.id()]
		if existing.Deleted {
			existing = row{}
		}
		ok = ok && existing.Version == e.Version
		if existing.Version > 0 {
			current = append(current, existing)
		}
	}
	return current, ok
}

func (s *Store) serveObject(w http.ResponseWriter, method, path string, body []byte) {
	if name, ok := strings.CutPrefix(path, "put/"); ok && method == http.MethodPut {
		status, reply := s.applyWrite(func() (int, any) {
			s.objects[name] = body
			return http.StatusOK, struct{}{}
		})
		writeJSON(w, status, reply)
		return
	}
	name, ok := strings.CutPrefix(path, "get/")
	s.mu.Lock()
	value, found := s.objects[name]
	s.mu.Unlock()
	if !ok || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
