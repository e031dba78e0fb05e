package table

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against replies of an intermediary or a failing platform that are
// taken for a verdict about the write.
func TestRepliesToWrite(t *testing.T) {
	const doubt, unavailable, conflict, other = "doubt", "unavailable", "conflict", "other"
	for _, tc := range []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"written", 200, `{"key":"k","version":4}`, ""},
		{"written, unreadable body", 200, `<html>`, ""},
		{"conflict", 412, `{"key":"k","version":9,"value":"YQ=="}`, conflict},
		{"conflict by 409", 409, `{"key":"k","version":9,"value":"YQ=="}`, conflict},
		{"conflict without the row", 412, `gone`, other},
		{"refused for certain", 503, `{"error":"outage","written":false}`, unavailable},
		{"refused by an intermediary", 503, `upstream reset`, doubt},
		{"gateway timeout", 504, ``, doubt},
		{"failure that may have written", 500, `{"written":true}`, doubt},
		{"malformed request", 400, `{"error":"x"}`, other},
		{"redirect", 307, ``, other},
	} {
		t.Run(tc.name, func(t *testing.T) {
			requests := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests++
				qt.Check(t, r.Header.Get("If-Match"), qt.Equals, `"3"`)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer s.Close()
			_, err := NewClient(s.Listener.Addr().String()).CompareAndSet(context.Background(), "k", 3, []byte("v"))
			var c *ConflictError
			var d *DoubtError
			got := other
			switch {
			case err == nil:
				got = ""
			case errors.As(err, &d):
				got = doubt
			case errors.As(err, &c):
				got = conflict
				qt.Assert(t, c.Current, qt.DeepEquals, Row{Key: "k", Version: 9, Value: []byte("a")})
			case errors.Is(err, ErrUnavailable):
				got = unavailable
			}
			qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", err))
			qt.Assert(t, requests, qt.Equals, 1, qt.Commentf("a write must not be repeated by the client"))
		})
	}
}

// Guards against a read that waits without bound or takes any amount of memory.
func TestReadsAreBounded(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "large") {
			chunk := make([]byte, 1<<20)
			for range maxReplyBytes/len(chunk) + 1 {
				_, _ = w.Write(chunk)
			}
			return
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	client := NewClient(s.Listener.Addr().String())
	client.Timeout = 300 * time.Millisecond
	began := time.Now()
	_, err := client.Get(context.Background(), "hangs")
	qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
	client = NewClient(s.Listener.Addr().String())
	_, err = client.GetObject(context.Background(), "large")
	qt.Assert(t, err, qt.ErrorMatches, `.*exceeds 33554432 bytes`)
}

// Guards against a poll that transfers an unchanged row each time.
func TestUnchangedRowIsNotTransferred(t *testing.T) {
	full, conditional := 0, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"a"`)
		if r.Header.Get("If-None-Match") == `"a"` {
			conditional++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_, _ = w.Write([]byte(`{"key":"k","version":1,"value":"YQ=="}`))
	}))
	defer s.Close()
	client := NewClient(s.Listener.Addr().String())
	for range 3 {
		row, err := client.Get(context.Background(), "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, row, qt.DeepEquals, Row{Key: "k", Version: 1, Value: []byte("a")})
		row.Value[0] = 'x'
	}
	qt.Assert(t, []int{full, conditional}, qt.DeepEquals, []int{1, 2})
	for i := range 3 * maxCached {
		_, err := client.Get(context.Background(), strings.Repeat("k", i+1))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, len(client.cache) <= maxCached, qt.IsTrue)
}

// Guards against a process that stays cut off from the platform because its
// open connections get no answer any more, while new ones work.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	const open = 4
	var mu sync.Mutex
	requests, stuck := map[string]int{}, false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		requests[r.RemoteAddr]++
		hang := stuck && requests[r.RemoteAddr] > 1
		mu.Unlock()
		if hang {
			<-r.Context().Done()
			return
		}
		time.Sleep(50 * time.Millisecond) // keeps the connections of the first round apart
		_, _ = w.Write([]byte(`{"key":"k","version":1,"value":""}`))
	}))
	defer s.Close()
	client := NewClient(s.Listener.Addr().String())
	client.Timeout = 500 * time.Millisecond
	var wg sync.WaitGroup
	for range open {
		wg.Go(func() { _, _ = client.Get(context.Background(), "k") })
	}
	wg.Wait()
	mu.Lock()
	qt.Assert(t, len(requests) > 1, qt.IsTrue)
	stuck = true
	mu.Unlock()
	_, err := client.Get(context.Background(), "k")
	qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Get(context.Background(), "k")
	qt.Assert(t, err, qt.IsNil)
}
