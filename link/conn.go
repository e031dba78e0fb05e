// Package link defines the messages that entries (package dispatchd) and agents
// (package runnerd) exchange for jobs that are safe to run again, and the
// connections that carry them.
//
// Input: a TCP connection. Output: messages. State: the connection and its
// bounded send queue. A peer that does not read is treated as lost: the connection
// is closed when its send queue is full.
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
	// sendQueueFrames is the capacity of the send queue of a connection, in frames.
	// It exceeds what an entry sends to one agent in a second.
	sendQueueFrames = 256
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It is longer than the silence timeout of entries and
	// agents, which also detects a peer that receives data but does not answer.
	unackedTimeout = 2 * time.Second
	readBuffer     = 8 << 10 // in bytes
)

// FitsIn reports whether r fits into free, that is, exceeds it in no resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Conn is a message connection to a peer. Send and Close are safe for concurrent use;
// only one goroutine may call Read.
type Conn struct {
	conn      net.Conn
	reader    *bufio.Reader
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	err       error
}

// NewConn returns a Conn that owns conn, and starts its send goroutine.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{
		conn: conn, reader: bufio.NewReaderSize(conn, readBuffer),
		queue: make(chan []byte, sendQueueFrames), closed: make(chan struct{}),
	}
	go c.sendLoop()
	return c
}

// Dialer returns a dialer for connections between sesamelift processes. It
// disables TCP keep-alives and sets TCP_USER_TIMEOUT instead.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
}

// DropUndelivered makes the end of a connection, also that of its process, discard what
// the peer has not received. Otherwise the system goes on sending it, and a start that was
// held up in a partition would reach an agent after the entry has started the task
// elsewhere.
func DropUndelivered(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.Errorf("connection of type %T has no linger time", conn)
	}
	return errors.Wrap(tcp.SetLinger(0), "set linger time")
}

// ListenConfig returns a listen configuration with the socket options of Dialer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAlive: -1, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = sockoptErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// Send queues a message and does not block. After an error, including that of a
// full send queue, the connection is closed.
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
	case c.queue <- b:
		return nil
	default:
		return c.fail(errors.Errorf("send queue full: %d frames", sendQueueFrames))
	}
}

// Read reads the next message into m. After an error the connection is closed.
func (c *Conn) Read(m Message) error {
	if err := ReadFrame(c.reader, m); err != nil {
		return c.fail(err)
	}
	return nil
}

// ReadFirst is Read for the first message of a connection, which is short.
func (c *Conn) ReadFirst(m Message) error {
	if err := readFrame(c.reader, m, maxFirstFrameBytes); err != nil {
		return c.fail(err)
	}
	return nil
}

// Buffered returns the number of bytes received beyond the messages that Read has returned.
// The goroutine that calls Read may call it.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// SetReadDeadline sets the time after which Read fails. The zero time disables it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// Close closes the connection. Messages in the send queue may be lost.
func (c *Conn) Close() { _ = c.fail(net.ErrClosed) }

// fail closes the connection with err unless it is already closed, and returns
// the error with which it was closed.
func (c *Conn) fail(err error) error {
	c.closeOnce.Do(func() {
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
		case b := <-c.queue:
			batch = append(batch[:0], b)
		}
		// The batch is bounded: a sender as fast as this loop would otherwise
		// extend it without limit, and delay its first frame.
		for range len(c.queue) {
			batch = append(batch, <-c.queue)
		}
		if _, err := batch.WriteTo(c.conn); err != nil {
			_ = c.fail(errors.Wrap(err, "send"))
			return
		}
	}
}
