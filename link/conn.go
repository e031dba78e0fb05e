// Package link holds the messages between entries and agents for jobs that may
// be run again, and the connections that carry them.
//
// Input: a TCP connection. Output: messages, each with the time of its arrival.
// State: the connection and a bounded ring of outgoing messages. A full ring
// closes the connection, since a peer that doesn't read is as good as lost.
package link

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// sendRing bounds the frames that wait to be sent on one connection: more
	// than an entry orders from one agent in a second.
	sendRing = 256
	// unackedTimeout closes a connection whose peer acknowledges no data. Longer
	// than the silence after which entries and agents give each other up, which
	// finds the same fault where data goes through and answers don't.
	unackedTimeout = 2 * time.Second
	readBuffer     = 8 << 10
)

// Fit reports whether an amount fits into what is free.
func (r Resources) Fit(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Conn is a connection to a peer. Send and Close are safe for concurrent use;
// only one goroutine may call Read.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	ring   chan []byte
	closed chan struct{}
	once   sync.Once
	err    error
}

// NewConn takes over conn and starts the goroutine that sends.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{
		conn: conn, reader: bufio.NewReaderSize(conn, readBuffer),
		ring: make(chan []byte, sendRing), closed: make(chan struct{}),
	}
	go c.sendLoop()
	return c
}

// Dialer sets the options that connections between our processes need.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setOptions}
}

// ListenConfig is Dialer's counterpart.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAlive: -1, Control: setOptions}
}

func setOptions(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "set the time-out of unacknowledged data")
}

// Send queues a message. An error closes the connection.
func (c *Conn) Send(m Message) error {
	b, err := AppendFrame(nil, m)
	if err != nil {
		return c.fail(err)
	}
	select {
	case <-c.closed:
		return c.err
	default:
	}
	select {
	case c.ring <- b:
		return nil
	default:
		return c.fail(errors.Errorf("%d frames wait to be sent", sendRing))
	}
}

// Read reads the next message into m.
func (c *Conn) Read(m Message) error {
	if err := ReadFrame(c.reader, m); err != nil {
		return c.fail(err)
	}
	return nil
}

// SetReadDeadline bounds the next Read.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.fail(net.ErrClosed) }

// fail closes the connection and returns the error that closed it first.
func (c *Conn) fail(err error) error {
	c.once.Do(func() {
		c.err = err
		close(c.closed)
		_ = c.conn.Close()
	})
	return c.err
}

func (c *Conn) sendLoop() {
	var batch net.Buffers
	for {
		select {
		case <-c.closed:
			return
		case b := <-c.ring:
			batch = append(batch[:0], b)
		}
		for len(c.ring) > 0 {
			batch = append(batch, <-c.ring)
		}
		if _, err := batch.WriteTo(c.conn); err != nil {
			_ = c.fail(errors.Wrap(err, "send"))
			return
		}
	}
}
