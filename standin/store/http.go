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
	f := s.count(write)
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
		s.get(w, r)
	case r.URL.Path == "/-/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/-/rows-tx" && write:
		s.transact(w, body)
	case isObject:
		s.object(w, r.Method, name, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) count(write bool) Faults {
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

func (s *Store) reply(rows []row, more bool) rowsReply {
	if s.Rewrite != nil {
		for i := range rows {
			rows[i].Value = s.Rewrite(rows[i].Key, rows[i].Value)
		}
	}
	return rowsReply{Rows: rows, More: more, Version: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
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
	send(w, http.StatusOK, s.reply(rows, more))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
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
		changed, reply := s.changed, s.reply(rows, false)
		s.mu.Unlock()
		if len(rows) > 0 {
			send(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			send(w, http.StatusOK, reply)
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

func (s *Store) transact(w http.ResponseWriter, body []byte) {
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
			return http.StatusPreconditionFailed, s.reply(current, false)
		}
		s.commit(tx.Writes, tx.Remove)
		return http.StatusOK, s.reply(nil, false)
	})
	send(w, status, reply)
}

// checkExpected reports whether all rows have the versions that a transaction
// expects, and returns those of them that exist.
func (s *Store) checkExpected(rows []row) (current []row, ok bool) {
	ok = true
	for _, e := range rows {
		now := s.rows[e.id()]
		if now.Deleted {
			now = row{}
		}
		ok = ok && now.Version == e.Version
		if now.Version > 0 {
			current = append(current, now)
		}
	}
	return current, ok
}

func (s *Store) object(w http.ResponseWriter, method, path string, body []byte) {
	if name, ok := strings.CutPrefix(path, "put/"); ok && method == http.MethodPut {
		status, reply := s.applyWrite(func() (int, any) {
			s.objects[name] = body
			return http.StatusOK, struct{}{}
		})
		send(w, status, reply)
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

func send(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
