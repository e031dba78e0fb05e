package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// Headers of the protocol with backend servers.
const (
	HeaderKey  = "Sesamelift-Key"
	HeaderTask = "Sesamelift-Task"
	// HeaderNotRun with the value "true" on a 503 says that the backend server
	// has not run the task and will not.
	HeaderNotRun = "Sesamelift-Not-Run"
	// headerTraceparent is the W3C trace context header.
	headerTraceparent = "Traceparent"
)

// Reasons in results.
const (
	ReasonNoBackend  = "no backend"
	ReasonNotRun     = "backend refused"
	ReasonDeadline   = "deadline"
	ReasonStopped    = "stopped"
	ReasonConnection = "connection lost"
	ReasonNotJSON    = "result is not JSON"
	reasonStatus     = "status "
)

// Task is one call to the backend server.
type Task struct {
	Key         wire.Key
	Task        uint16
	Service     string
	Type        string
	Traceparent string
	Body        []byte
}

// Result is how a call ended.
type Result struct {
	Outcome wire.Outcome
	Ran     wire.Ran
	Reason  string
	// RunTime is the time from the request to the end of the response.
	RunTime time.Duration
	// Body is the result of the task, valid JSON, when Outcome is OutcomeOK.
	Body []byte
}

// Do runs a task at the backend server until ctx ends. It sends the request at
// most once. OutcomeRefused with RanNo means that the task has not run and
// cannot run any more.
func (s *Server) Do(ctx context.Context, t *Task) Result {
	address := s.State().Address
	if address == "" {
		return Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: ReasonNoBackend}
	}
	began := time.Now()
	r := s.call(ctx, address, t)
	r.RunTime = time.Since(began)
	return r
}

func (s *Server) call(ctx context.Context, address string, t *Task) Result {
	var used connections
	req := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.add}), address, t)
	// RoundTrip rather than a Client: redirects are not followed. RoundTrip
	// repeats a POST only if it wrote no byte of it, and then only if the body
	// is empty or can be rewound.
	res, err := s.tasks.RoundTrip(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.refused(address)
		}
		return failedCall(ctx, used.seal())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, api.MaxResultBytes+1))
	s.answered(address)
	if res.StatusCode/100 != 2 {
		return rejected(res)
	}
	return result(ctx, body, err)
}

func newRequest(ctx context.Context, address string, t *Task) *http.Request {
	u := &url.URL{
		Scheme: "http", Host: address,
		Path:    "/tasks/" + t.Service + "/" + t.Type,
		RawPath: "/tasks/" + url.PathEscape(t.Service) + "/" + url.PathEscape(t.Type),
	}
	req := &http.Request{Method: http.MethodPost, URL: u, Host: address, Header: make(http.Header, 4)}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderKey, api.Key(t.Key).String())
	req.Header.Set(HeaderTask, strconv.Itoa(int(t.Task)))
	if t.Traceparent != "" {
		req.Header.Set(headerTraceparent, t.Traceparent)
	}
	req.Body = http.NoBody
	if len(t.Body) > 0 {
		// GetBody stays nil, so that net/http cannot rewind the body.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(t.Body)), int64(len(t.Body))
	}
	return req.WithContext(ctx)
}

// failedCall is the result of a call that got no response.
func failedCall(ctx context.Context, written bool) Result {
	r := Result{Outcome: wire.OutcomeFailed, Ran: wire.RanMaybe, Reason: ReasonConnection}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Reason = ReasonDeadline
	case ctx.Err() != nil:
		r.Reason = ReasonStopped
	}
	if !written {
		r.Outcome, r.Ran = wire.OutcomeRefused, wire.RanNo
		if ctx.Err() == nil {
			r.Reason = ReasonNoBackend
		}
	}
	return r
}

// rejected is the result of a call that was answered with an error status.
func rejected(res *http.Response) Result {
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		return Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: ReasonNotRun}
	}
	return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: reasonStatus + strconv.Itoa(res.StatusCode)}
}

// result is the result of a call that was answered with success.
func result(ctx context.Context, body []byte, err error) Result {
	switch {
	case err != nil:
		return failedCall(ctx, true)
	case len(body) > api.MaxResultBytes:
		return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: string(api.ReasonResultTooLarge)}
	case len(body) == 0:
		body = []byte("null")
	case !json.Valid(body):
		return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: ReasonNotJSON}
	}
	return Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: body}
}

// trackedConn counts writes, so that a failed call knows whether any byte of
// its request can have left.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal fails all later writes, so that the count is final even while net/http
// still has a goroutine that writes the request.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// connections are those that one call was given.
type connections struct {
	mu   sync.Mutex
	used []usedConn
}

type usedConn struct {
	conn   *trackedConn
	before uint64
}

func (u *connections) add(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := info.Conn.(*trackedConn)
	u.used = append(u.used, usedConn{c, c.count()})
}

// seal reports whether anything may have been written for the call, and makes
// sure that nothing will be.
func (u *connections) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	written := false
	for _, c := range u.used {
		if c.conn.seal() != c.before {
			written = true
		}
	}
	return written
}
