package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one request. A synced write of the platform takes
	// several milliseconds, so that a second request after this time is rarely
	// wasted.
	DefaultTimeout = 3 * time.Second
	// MaxValueBytes bounds the value of a row, in bytes. A configuration of 890
	// workers takes about 100 KB.
	MaxValueBytes = 1 << 20
	// MaxObjectBytes bounds an object, in bytes.
	MaxObjectBytes = 16 << 20
	// maxReplyBytes bounds a reply, in bytes: a list of 890 registrations, or
	// an object.
	maxReplyBytes = 32 << 20
	// maxCached bounds the rows that the client keeps for conditional reads. A
	// process polls two rows, the roster and the configuration.
	maxCached = 4
	// maxIdleConnections is enough for the few loops of a process that use the
	// platform at the same time.
	maxIdleConnections = 8
)

// ErrTooLarge says that a value or an object exceeds its limit. Nothing was
// written.
var ErrTooLarge = errors.New("value is larger than the platform takes")

// Client speaks to the platform over HTTP. It is safe for concurrent use.
//
// Table: GET, PUT and DELETE /v1/table/{key}, GET /v1/table?prefix=. Writes
// carry If-Match with the expected version in quotes; "0" means that the row
// must not exist. Status 409 or 412 carries the current row. A 5xx reply whose
// body says {"written": false} is a refusal; any other 5xx leaves the outcome
// of a write unknown. Objects: GET and PUT /v1/objects/{name}.
//
// Reads of a row carry If-None-Match with the ETag of the last reply. A
// configuration of 890 workers that is polled each second would otherwise
// exceed the 5 KB/s of control traffic that a daemon may use.
type Client struct {
	// Timeout bounds one request. It must not be changed after the first use.
	Timeout time.Duration

	base string
	http *http.Client

	mu    sync.Mutex
	cache map[string]cachedReply
}

// cachedReply is the last reply to a read of one row.
type cachedReply struct {
	etag string
	body []byte
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at addr, an IP address and port.
// It opens no connection.
func NewClient(addr string) *Client {
	return &Client{
		Timeout: DefaultTimeout,
		base:    "http://" + addr,
		cache:   map[string]cachedReply{},
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, tablePath(key), func(b []byte) error { return json.Unmarshal(b, &row) })
	return row, errors.Wrapf(err, "get row %q", key)
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	path := "/v1/table?prefix=" + url.QueryEscape(prefix)
	err := c.read(ctx, path, func(b []byte) error { return json.Unmarshal(b, &rows) })
	return rows, errors.Wrapf(err, "list rows %q", prefix)
}

// CompareAndSet implements Table.
func (c *Client) CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (Row, error) {
	if len(value) > MaxValueBytes {
		return Row{}, errors.Wrapf(ErrTooLarge, "set row %q to %d bytes", key, len(value))
	}
	if err := c.write(ctx, http.MethodPut, tablePath(key), key, &want, value); err != nil {
		return Row{}, err
	}
	return Row{Key: key, Version: want + 1, Value: value}, nil
}

// Delete implements Table.
func (c *Client) Delete(ctx context.Context, key string, want uint64) error {
	return c.write(ctx, http.MethodDelete, tablePath(key), key, &want, nil)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, value []byte) error {
	if len(value) > MaxObjectBytes {
		return errors.Wrapf(ErrTooLarge, "put object %q of %d bytes", name, len(value))
	}
	return c.write(ctx, http.MethodPut, objectPath(name), name, nil, value)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var value []byte
	err := c.read(ctx, objectPath(name), func(b []byte) error { value = b; return nil })
	return value, errors.Wrapf(err, "get object %q", name)
}

func (c *Client) read(ctx context.Context, path string, decode func([]byte) error) error {
	known := c.cached(path)
	header := http.Header{}
	if known.etag != "" {
		header.Set("If-None-Match", known.etag)
	}
	r, err := c.do(ctx, http.MethodGet, path, header, nil)
	switch {
	case err != nil:
		return unavailable(err)
	case r.status == http.StatusNotModified && known.etag != "":
		r.body = known.body
	case r.status == http.StatusNotFound:
		return ErrNotFound
	case r.status >= 500:
		return unavailable(statusError(r))
	case r.status != http.StatusOK:
		return statusError(r)
	default:
		c.keep(path, cachedReply{etag: r.etag, body: r.body})
	}
	return errors.Wrap(decode(r.body), "reply of the platform")
}

func (c *Client) cached(path string) cachedReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[path]
}

// keep remembers a row that came with an ETag; objects are too large to keep.
// When the cache is full, any other entry makes room.
func (c *Client) keep(path string, r cachedReply) {
	if r.etag == "" || !strings.HasPrefix(path, tablePath("")) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.cache[path]; !ok && len(c.cache) >= maxCached {
		for other := range c.cache {
			delete(c.cache, other)
			break
		}
	}
	c.cache[path] = r
}

func (c *Client) write(ctx context.Context, method, path, key string, want *uint64, value []byte) error {
	header := http.Header{}
	if want != nil {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(*want, 10)))
	}
	r, err := c.do(ctx, method, path, header, value)
	switch {
	// A complete header is proof enough; only the body was cut short.
	case r.status == http.StatusOK || r.status == http.StatusNoContent:
		return nil
	case err != nil && !r.sent:
		return unavailable(err)
	case err != nil:
		return &DoubtError{Key: key, Cause: err}
	case want != nil && (r.status == http.StatusConflict || r.status == http.StatusPreconditionFailed):
		return conflict(key, *want, r.body)
	case r.status == http.StatusRequestEntityTooLarge:
		return errors.Wrapf(ErrTooLarge, "write %q", key)
	case r.status >= 500 && refused(r.body):
		return unavailable(statusError(r))
	case r.status >= 500:
		return &DoubtError{Key: key, Cause: statusError(r)}
	}
	return errors.Wrapf(statusError(r), "write %q", key)
}

type reply struct {
	// status is set once the header of a reply has arrived, also when the body
	// was cut short.
	status int
	etag   string
	body   []byte
	// sent says whether any of the request may have left this process.
	sent bool
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, value []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return reply{}, err
	}
	req.Header = header
	resp, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			// An intermediary that has lost track of this connection may have
			// lost the idle ones too. New ones work.
			c.http.CloseIdleConnections()
		}
		// The transport repeats a write on a new connection only when nothing
		// was written to the old one, so that a failed dial proves that too.
		return reply{sent: connected.Load() && !isDialError(err)}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errors.Errorf("reply of the platform exceeds %d bytes", maxReplyBytes)
	}
	return reply{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body, sent: true}, err
}

func conflict(key string, want uint64, body []byte) error {
	e := &ConflictError{Key: key, Want: want}
	if err := json.Unmarshal(body, &e.Current); err != nil {
		return errors.Wrapf(err, "write %q: conflict without the current row", key)
	}
	return e
}

func refused(body []byte) bool {
	var reply struct {
		Written *bool `json:"written"`
	}
	return json.Unmarshal(body, &reply) == nil && reply.Written != nil && !*reply.Written
}

func unavailable(cause error) error { return fmt.Errorf("%w: %w", ErrUnavailable, cause) }

func statusError(r reply) error {
	const shown = 200
	text := r.body[:min(len(r.body), shown)]
	return errors.Errorf("status %d: %s", r.status, strings.TrimSpace(string(text)))
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func tablePath(key string) string { return "/v1/table/" + escapePath(key) }

func objectPath(name string) string { return "/v1/objects/" + escapePath(name) }

// escapePath escapes a key but for the slashes between its parts.
func escapePath(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}
