// Package boundconn makes HTTP requests to a server that no other instance of the server
// than the intended one can receive.
//
// A new TCP connection waits in the backlog of the listening socket until a process accepts
// it, also while the server is down if a supervisor keeps the socket open. What was written to
// it is read by the process that accepts it, which may be the server's next instance. Once a
// process has answered on a connection, the connection belongs to that process and ends with
// it. A Client therefore sends requests only over connections on which the intended instance
// has answered a harmless request.
//
// Input: requests with their instance. Output: requests on the connections of that instance.
// State: the connections to the instance that was named last.
package boundconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrOtherInstance means that another instance than the intended one has answered on a new
// connection. The request was not sent.
var ErrOtherInstance = errors.New("another instance answers")

// Options configure a Client.
type Options struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Identify asks the server on a new connection, which client uses, for its instance.
	// The request may reach any instance and so must not change anything there.
	Identify func(ctx context.Context, client *http.Client) (instance int64, err error)
	// IdentifyTimeout bounds the duration of Identify.
	IdentifyTimeout time.Duration
	// MaxConns bounds the connections to an instance.
	MaxConns int
}

// Client sends requests to instances of one server. Its methods are safe for concurrent use.
type Client struct {
	opts Options

	mu       sync.Mutex
	instance int64
	// transport has connections on which instance has answered; nil before the first call
	// of For.
	transport *http.Transport
}

// New returns a Client.
func New(o Options) *Client { return &Client{opts: o} }

// For returns an HTTP client whose requests reach only the given instance. A request fails
// with an error before it is sent if no connection to that instance can be opened. The
// connections to the instance that was named before are closed once they are idle.
func (c *Client) For(instance int64) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transport == nil || c.instance != instance {
		if c.transport != nil {
			// It also closes those that become idle later.
			c.transport.CloseIdleConnections()
		}
		c.instance, c.transport = instance, c.newTransport(instance)
	}
	return &http.Client{Transport: c.transport}
}

func (c *Client) newTransport(instance int64) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := c.opts.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if err := c.identify(ctx, conn, instance); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return conn, nil
		},
		DisableCompression: true, MaxIdleConnsPerHost: c.opts.MaxConns, MaxConnsPerHost: c.opts.MaxConns,
	}
}

// identify waits until the instance has answered on a new connection.
func (c *Client) identify(ctx context.Context, conn net.Conn, instance int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.IdentifyTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "limit the wait for the instance's answer")
	}
	t := &singleConn{conn: conn, reader: bufio.NewReader(conn)}
	answered, err := c.opts.Identify(ctx, &http.Client{Transport: t})
	switch {
	case err != nil:
		return errors.Wrap(err, "identify the instance on a new connection")
	case answered != instance:
		return errors.Wrapf(ErrOtherInstance, "instance %d instead of %d", answered, instance)
	case t.ends || t.reader.Buffered() > 0:
		return errors.New("the connection can't be used after the instance's answer")
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "lift the limit of the wait")
}

// singleConn is an http.RoundTripper that sends one request after the other over conn. Each
// response must be read to its end before the next request.
type singleConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// ends is set if the server closes the connection after its response.
	ends bool
}

// RoundTrip implements http.RoundTripper.
func (t *singleConn) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := req.Write(t.conn); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(t.reader, req)
	if err == nil {
		t.ends = t.ends || resp.Close
	}
	return resp, err
}
