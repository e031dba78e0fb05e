package intake

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody. Nothing of the request was handled.
var (
	// ErrTooLarge means that the body exceeds the limit; the answer is 413.
	ErrTooLarge = errors.New("the body is too large")
	// ErrTimeout means that the body did not arrive in time; the answer is 408.
	ErrTimeout = errors.New("the body did not arrive in time")
	// ErrBusy means that the process holds too many unfinished requests; the answer is 503
	// with RetryAfter.
	ErrBusy = errors.New("too many requests are being received")
)

// RetryAfter is the time after which a request that failed with ErrBusy may be repeated.
const RetryAfter = time.Second

// Status returns the HTTP status for an error of ReadBody, and false if it is another error.
// It makes the server close the connection after the answer: otherwise net/http reads on.
func Status(w http.ResponseWriter, err error) (status int, ok bool) {
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTimeout):
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrBusy):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	default:
		return 0, false
	}
	w.Header().Set("Connection", "close")
	return status, true
}

// connKey is the key of a request's context value with its connection.
type connKey struct{}

// FromContext returns the connection of a request, or nil if it isn't one of a Guard.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Awaited returns for how long the reads of a request's body have waited for bytes that its
// client had not sent. The time in which the process itself puts off reading is not part of
// it. It is 0 if the connection isn't one of a Guard.
func Awaited(r *http.Request) time.Duration {
	c := FromContext(r.Context())
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaited
}

// Protect sets the limits and hooks of a server whose listener is one of the guard. Limits
// that are set stay. Bodies have the time-outs of this package, not those of the server.
func (g *Guard) Protect(server *http.Server) *http.Server {
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, maxHeadBytes-serverHeadSlack)
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, headTimeout)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, idleTimeout)
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c != nil {
			c.handlerBegins(r)
		}
		handler.ServeHTTP(w, r)
		if c != nil {
			c.handlerEnds()
		}
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if c, ok := conn.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if connState != nil {
			connState(conn, s)
		}
		if c, ok := conn.(*Conn); ok && s == http.StateIdle {
			// What the server discarded of a body that no handler read isn't held.
			c.enter(idle, false, true)
		}
	}
	return server
}

// handlerBegins says that the head of a request has been read. A body must make progress
// from now on, also one that the handler does not read and net/http discards.
func (c *Conn) handlerBegins(r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		c.enter(serving, false, true)
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodDelete:
		// Handlers don't read such a body: the request is whole without it.
		c.enter(serving, true, false)
	default:
		c.enter(receiving, true, false)
	}
}

// handlerEnds says that net/http discards what is left of a body that no handler read. Its
// sender has no claim to the connection any more.
func (c *Conn) handlerEnds() {
	c.mu.Lock()
	unread := c.state.phase == serving && c.inBody
	c.mu.Unlock()
	if unread {
		c.enter(receiving, true, false)
	}
}

const (
	// firstBufferBytes is the size of the first buffer for a body: most jobs have 200 to
	// 400 bytes.
	firstBufferBytes = 512
	// deadlineStep is how much later a deadline must be before it is set anew.
	deadlineStep = time.Second
)

// ReadBody reads the body of a request of at most limit bytes and calls decode with it.
// decode must not keep the slice. Memory is allocated as bytes arrive; they stay charged to
// the budget until decode has returned. The error is one of this package, that of decode,
// or that of the connection, whose client broke off or sent a malformed body.
func ReadBody(r *http.Request, limit int64, decode func(body []byte) error) error {
	c := FromContext(r.Context())
	err := readBody(c, r, limit, decode)
	if c != nil && errors.Is(err, ErrTooLarge) {
		c.guard.refusals.add(c.listener.name, bodyTooLarge)
	} else if c != nil && errors.Is(err, ErrTimeout) {
		c.guard.refusals.add(c.listener.name, bodyTimedOut)
	}
	return err
}

func readBody(c *Conn, r *http.Request, limit int64, decode func(body []byte) error) error {
	if r.Body == nil || r.Body == http.NoBody {
		return decode(nil)
	}
	if r.ContentLength > limit {
		return ErrTooLarge
	}
	chunks, size, err := readChunks(c, r.Body, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	case errors.Is(err, errBusy):
		return ErrBusy
	case err != nil:
		return err
	}
	if c != nil {
		// The request is whole, and its connection not closed for others any more.
		c.enter(serving, false, false)
		defer c.enter(serving, false, true)
	}
	if len(chunks) == 1 {
		return decode(chunks[0])
	}
	if c != nil {
		select {
		case c.guard.decodes <- struct{}{}:
			defer func() { <-c.guard.decodes }()
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
	body := make([]byte, 0, size)
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	return decode(body)
}

// readChunks reads a body into one buffer of up to largeBytes, and what is beyond into
// further buffers of that size, so that at most that much of the memory is unused.
func readChunks(c *Conn, body io.Reader, limit int64) (chunks [][]byte, size int64, err error) {
	began := time.Now()
	renewAt := began.Add(deadlineStep)
	buf := make([]byte, 0, firstBufferBytes)
	for {
		if len(buf) == cap(buf) {
			if len(buf) < largeBytes {
				buf = append(make([]byte, 0, min(2*cap(buf), largeBytes)), buf...)
			} else {
				chunks = append(chunks, buf)
				buf = make([]byte, 0, largeBytes)
			}
		}
		if now := time.Now(); c != nil && now.After(renewAt) {
			deadline := now.Add(progressTimeout)
			if end := began.Add(bodyTimeout); end.Before(deadline) {
				deadline = end
			}
			if err := c.SetReadDeadline(deadline); err != nil {
				return nil, 0, err
			}
			renewAt = now.Add(deadlineStep)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if size += int64(n); size > limit {
			return nil, 0, ErrTooLarge
		}
		if err == io.EOF {
			if len(buf) > 0 || len(chunks) == 0 {
				chunks = append(chunks, buf)
			}
			return chunks, size, nil
		}
		if err != nil {
			return nil, 0, err
		}
	}
}
