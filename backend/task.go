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
	// HeaderKey carries the key of the job and HeaderTask the number of the task
	// in the job.
	HeaderKey  = "Sesamelift-Key"
	HeaderTask = "Sesamelift-Task"
	// HeaderNotRun with the value "true" in a 503 response means that the backend
	// server has not run the task and will not run it.
	HeaderNotRun = "Sesamelift-Not-Run"
	// headerTraceparent is the W3C trace context header.
	headerTraceparent = "Traceparent"
)

// Values of Result.Reason. reasonStatus is followed by the code of a response that
// is neither 2xx nor a refusal.
const (
	ReasonNoBackend  = "no backend"
	ReasonNotRun     = "backend refused"
	ReasonDeadline   = "deadline"
	ReasonStopped    = "stopped"
	ReasonConnection = "connection lost"
	ReasonNotJSON    = "result is not JSON"
	reasonStatus     = "status "
)

// Task is a task to run at the backend server.
type Task struct {
	// Key is the key of the job and Task the number of the task in the job.
	Key         wire.Key
	Task        uint16
	Service     string
	Type        string
	Traceparent string
	Body        []byte
}

// Result is the result of running a task at the backend server.
type Result struct {
	Outcome wire.Outcome
	Ran     wire.Ran
	Reason  string
	// RunTime is the time from the start of the call to the end of the response,
	// including the wait for a free connection.
	RunTime time.Duration
	// Body is the result of the task as valid JSON, null if the response had no
	// body. It is only set if Outcome is OutcomeOK.
	Body []byte
}

// Do runs a task at the backend server and waits for its result, until ctx is done.
// It sends the request at most once. OutcomeRefused with RanNo means that the task
// has not run and can no longer run.
func (s *Server) Do(ctx context.Context, t *Task) Result {
	address := s.State().Address
	if address == "" {
		return Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: ReasonNoBackend}
	}
	started := time.Now()
	r := s.call(ctx, address, t)
	r.RunTime = time.Since(started)
	return r
}

func (s *Server) call(ctx context.Context, address string, t *Task) Result {
	var conns usedConns
	req := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: conns.gotConn}), address, t)
	// RoundTrip is used because a Client would follow redirects. RoundTrip
	// repeats a POST only if it wrote no byte of it and the body is empty or can
	// be rewound.
	res, err := s.taskTransport.RoundTrip(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.recordConnRefused(address)
		}
		return unansweredResult(ctx, conns.blockWrites())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, api.MaxResultBytes+1))
	s.recordAnswer(address)
	if res.StatusCode/100 != 2 {
		return rejectedResult(res)
	}
	return successResult(ctx, body, err)
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
		// GetBody is left nil, so that net/http cannot rewind the body and send
		// the request again.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(t.Body)), int64(len(t.Body))
	}
	return req.WithContext(ctx)
}

// unansweredResult returns the result of a call without a complete response.
// written says whether any byte of the request may have been sent.
func unansweredResult(ctx context.Context, written bool) Result {
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

// rejectedResult returns the result of a call with a status other than 2xx.
func rejectedResult(res *http.Response) Result {
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		return Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: ReasonNotRun}
	}
	return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: reasonStatus + strconv.Itoa(res.StatusCode)}
}

// successResult returns the result of a call with a 2xx status. err is the error of
// reading the body.
func successResult(ctx context.Context, body []byte, err error) Result {
	switch {
	case err != nil:
		return unansweredResult(ctx, true)
	case len(body) > api.MaxResultBytes:
		return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: string(api.ReasonResultTooLarge)}
	case len(body) == 0:
		body = []byte("null")
	case !json.Valid(body):
		return Result{Outcome: wire.OutcomeFailed, Ran: wire.RanYes, Reason: ReasonNotJSON}
	}
	return Result{Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: body}
}

// trackedConn counts writes, so that a failed call can tell whether any byte of its
// request may have been sent.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
}

// Write implements net.Conn. It counts a write before it starts, and takes it out of
// the count if it fails without having sent a byte.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
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

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites makes all later writes fail and returns the number of writes. The
// number cannot increase after that, even if a goroutine of net/http is still writing
// the request.
func (c *trackedConn) blockWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// usedConns records the connections that net/http assigned to one call.
type usedConns struct {
	mu   sync.Mutex
	uses []connUse
}

// connUse is a connection and its number of writes when it was assigned to the call.
type connUse struct {
	conn         *trackedConn
	writesBefore uint64
}

func (u *usedConns) gotConn(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := info.Conn.(*trackedConn)
	u.uses = append(u.uses, connUse{c, c.writeCount()})
}

// blockWrites blocks further writes on the connections of the call and reports
// whether any byte of its request may have been written.
func (u *usedConns) blockWrites() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	written := false
	for _, c := range u.uses {
		if c.conn.blockWrites() != c.writesBefore {
			written = true
		}
	}
	return written
}
