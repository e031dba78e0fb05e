package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/wire"
)

const healthInterval = 50 * time.Millisecond

func newServer(t *testing.T, connections int) *Server {
	return New(Options{
		Connections: connections, HealthInterval: healthInterval, Running: func() int { return 2 },
		Log: telemetry.NewLogger("test", settings.Logging{Level: "error", Format: "text"}, t.Output()),
	})
}

// forceUp sets the status Up for a backend server at address, without a health check.
func (s *Server) forceUp(address string) {
	s.state = State{Status: Up, Name: "b", Address: address, Services: []string{"dispatch"}}
}

func serve(t *testing.T, h http.HandlerFunc) string {
	b := httptest.NewServer(h)
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return strings.TrimPrefix(b.URL, "http://")
}

// unusedAddress returns a loopback address on which no process listens.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func hijackAndClose(w http.ResponseWriter, partial string) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_, _ = io.WriteString(c, partial)
	_ = c.Close()
}

// Guards against a result that reports a task as not run although it may have run,
// or as run although it has not.
func TestCallResults(t *testing.T) {
	large := `"` + strings.Repeat("x", api.MaxResultBytes) + `"`
	reply := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, tc := range []struct {
		name   string
		h      http.HandlerFunc // nil: nothing listens
		want   Result
		cancel bool
	}{
		{"success", reply(200, `{"n":1}`), Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: []byte(`{"n":1}`)}, false},
		{"success without a body", reply(204, ""), Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: []byte(`null`)}, false},
		{"result is not JSON", reply(200, "grain 5"), Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "result is not JSON"}, false},
		{"result of the largest size", reply(200, large[:len(large)-3]+`"`), Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: []byte(large[:len(large)-3] + `"`)}, false},
		{"result too large", reply(200, large), Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "result_too_large"}, false},
		{"rejected", reply(422, ""), Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "status 422"}, false},
		{"failed", reply(500, ""), Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "status 500"}, false},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) },
			Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "status 307"}, false},
		{"503 without the not-run header", reply(503, ""), Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "status 503"}, false},
		{"503 with the not-run header", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Sesamelift-Not-Run", "true")
			w.WriteHeader(503)
		}, Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: "backend refused"}, false},
		{"500 with the not-run header", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Sesamelift-Not-Run", "true")
			w.WriteHeader(500)
		}, Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: "status 500"}, false},
		{"nothing listens", nil, Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: "no backend"}, false},
		{"connection closed before the response", func(w http.ResponseWriter, _ *http.Request) { hijackAndClose(w, "") },
			Result{Outcome: wire.OutcomeFailed, Ran: wire.RanMaybe, Reason: "connection lost"}, false},
		{"connection closed during the response", func(w http.ResponseWriter, _ *http.Request) {
			hijackAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		}, Result{Outcome: wire.OutcomeFailed, Ran: wire.RanMaybe, Reason: "connection lost"}, false},
		{"hangs past the deadline", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			Result{Outcome: wire.OutcomeFailed, Ran: wire.RanMaybe, Reason: "deadline"}, false},
		{"stopped", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			Result{Outcome: wire.OutcomeFailed, Ran: wire.RanMaybe, Reason: "stopped"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var runs atomic.Int64
			s := newServer(t, 4)
			if tc.h == nil {
				s.forceUp(unusedAddress(t))
			} else {
				s.forceUp(serve(t, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					tc.h(w, r)
				}))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			if tc.cancel {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			got := s.Do(ctx, &Task{Service: "dispatch", Type: "quote", Body: []byte(`{"a":1}`)})
			got.RunTime = 0
			qt.Assert(t, got, qt.DeepEquals, tc.want)
			qt.Assert(t, runs.Load() <= 1, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
			if tc.h == nil {
				qt.Assert(t, s.State().Status, qt.Equals, Down)
			}
		})
	}
}

// Guards against a POST that net/http sends again when a kept-alive connection is
// closed: the server answers the first request on a connection, then reads the
// second one and closes the connection without an answer.
func TestRequestIsSentOnce(t *testing.T) {
	for _, body := range []string{`{"a":1}`, ""} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = l.Close() }()
		var accepted, unanswered atomic.Int64
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				go func() {
					defer func() { _ = c.Close() }()
					r := bufio.NewReader(c)
					for i := range 2 {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if i == 0 {
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
							continue
						}
						unanswered.Add(1)
					}
				}()
			}
		}()
		s := newServer(t, 4)
		s.forceUp(l.Addr().String())
		task := &Task{Service: "dispatch", Type: "burn-off", Body: []byte(body)}
		qt.Assert(t, s.Do(context.Background(), task).Outcome, qt.Equals, wire.OutcomeOK)
		got := s.Do(context.Background(), task)
		qt.Assert(t, got.Ran, qt.Equals, wire.RanMaybe)
		qt.Assert(t, accepted.Load(), qt.Equals, int64(1), qt.Commentf("the second request must use the kept-alive connection"))
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, unanswered.Load(), qt.Equals, int64(1))
		qt.Assert(t, accepted.Load(), qt.Equals, int64(1))
	}
}

// Guards against reporting a request as possibly run that was cancelled while it
// waited for a connection, and against exceeding the connection limit.
func TestConnectionLimit(t *testing.T) {
	var open, maxOpen atomic.Int64
	release := make(chan struct{})
	s := newServer(t, 3)
	s.forceUp(serve(t, func(w http.ResponseWriter, r *http.Request) {
		n := open.Add(1)
		for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		open.Add(-1)
		_, _ = io.WriteString(w, "1")
	}))
	results := make(chan Result, 5)
	run := func(d time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		results <- s.Do(ctx, &Task{Service: "dispatch", Type: "quote"})
	}
	for range 2 {
		go run(5 * time.Second)
	}
	for open.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		go run(100 * time.Millisecond)
	}
	for range 3 {
		got := <-results
		qt.Assert(t, got.Outcome, qt.Equals, wire.OutcomeRefused)
		qt.Assert(t, got.Ran, qt.Equals, wire.RanNo)
		qt.Assert(t, got.Reason, qt.Equals, ReasonDeadline)
	}
	close(release)
	for range 2 {
		qt.Assert(t, (<-results).Outcome, qt.Equals, wire.OutcomeOK)
	}
	qt.Assert(t, maxOpen.Load(), qt.Equals, int64(2))
}

// Guards against a service name that adds path segments to the URL, and against
// missing headers.
func TestRequestFormat(t *testing.T) {
	var got *http.Request
	s := newServer(t, 2)
	s.forceUp(serve(t, func(_ http.ResponseWriter, r *http.Request) { got = r }))
	k := api.NewKeyAt(time.Now(), 1)
	s.Do(context.Background(), &Task{Key: wire.Key(k), Task: 7, Service: "a/../b", Type: "c d", Traceparent: "00-ab"})
	qt.Assert(t, got.Method, qt.Equals, "POST")
	qt.Assert(t, got.RequestURI, qt.Equals, "/tasks/a%2F..%2Fb/c%20d")
	qt.Assert(t, got.Header.Get("Sesamelift-Key"), qt.Equals, k.String())
	qt.Assert(t, got.Header.Get("Sesamelift-Task"), qt.Equals, "7")
	qt.Assert(t, got.Header.Get("Traceparent"), qt.Equals, "00-ab")
	qt.Assert(t, got.Header.Get("Idempotency-Key"), qt.Equals, "", qt.Commentf("net/http repeats requests that have this header"))
}

func waitFor(t *testing.T, s *Server, want Status) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); s.State().Status != want; {
		if time.Now().After(end) {
			t.Fatalf("status is %v, want %v", s.State().Status, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against using a backend server before its first successful health check,
// after its health checks fail, or after it has sent a leave request, and against
// health checks while it answers tasks.
func TestHealth(t *testing.T) {
	var healthy atomic.Bool
	var checks atomic.Int64
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			checks.Add(1)
		}
		if !healthy.Load() {
			w.WriteHeader(500)
		}
	})
	s := newServer(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	s.applyAnnouncement("b", address, []string{"dispatch", "a", "dispatch"})
	qt.Assert(t, s.State().Services, qt.DeepEquals, []string{"a", "dispatch"})
	time.Sleep(3 * healthInterval)
	qt.Assert(t, s.State().Status, qt.Equals, Starting)
	healthy.Store(true)
	waitFor(t, s, Up)
	for range 10 {
		s.Do(ctx, &Task{Service: "a", Type: "b"})
		time.Sleep(healthInterval / 5)
	}
	before := checks.Load()
	for range 10 {
		s.Do(ctx, &Task{Service: "a", Type: "b"})
		time.Sleep(healthInterval / 5)
	}
	qt.Assert(t, checks.Load()-before <= 1, qt.IsTrue, qt.Commentf("health checks were sent although tasks were answered"))
	healthy.Store(false)
	before = checks.Load()
	waitFor(t, s, Down)
	qt.Assert(t, checks.Load()-before >= maxFailedChecks, qt.IsTrue)
	healthy.Store(true)
	waitFor(t, s, Up)
	s.markLeaving()
	time.Sleep(3 * healthInterval)
	qt.Assert(t, s.State().Status, qt.Equals, Leaving)
	s.applyAnnouncement("b", address, []string{"dispatch"})
	waitFor(t, s, Up)
}

// Guards against accepting an announcement without a usable address, name or list of
// services.
func TestAnnouncements(t *testing.T) {
	for _, tc := range []struct {
		name, path, body string
		status           int
		want             string
	}{
		{"valid", "/announce", `{"name":"b","address":"127.0.0.1:9","services":["dispatch"]}`, 200, `"status":"starting","running":2`},
		{"leave", "/leave", ``, 200, `"status":"absent","running":2`},
		{"not JSON", "/announce", `name=b`, 400, `not JSON`},
		{"host name", "/announce", `{"name":"b","address":"host:80","services":["a"]}`, 400, `not an IP address and port`},
		{"port 0", "/announce", `{"name":"b","address":"127.0.0.1:0","services":["a"]}`, 400, `not an IP address and port`},
		{"no services", "/announce", `{"name":"b","address":"127.0.0.1:9"}`, 400, `services must have`},
		{"empty service", "/announce", `{"name":"b","address":"127.0.0.1:9","services":[""]}`, 400, `service name`},
		{"no name", "/announce", `{"address":"127.0.0.1:9","services":["a"]}`, 400, `name must have`},
		{"too large", "/announce", `{"name":"` + strings.Repeat("x", 20<<10) + `"}`, 413, `Too Large`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := echo.New()
			newServer(t, 2).Register(e)
			req := httptest.NewRequest("POST", tc.path, strings.NewReader(tc.body))
			req.Header.Set("Content-Type", "application/json")
			w := httptest.NewRecorder()
			e.ServeHTTP(w, req)
			qt.Assert(t, w.Code, qt.Equals, tc.status)
			qt.Assert(t, w.Body.String(), qt.Contains, tc.want)
		})
	}
}
