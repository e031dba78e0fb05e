package transport

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// SendRingMessages is the capacity of the send ring of a connection. An agent
	// has a dozen starts at a time, and an entry has 890 rings of 16 bytes a
	// message.
	SendRingMessages = 256
	// batchBytes bounds what one write to the stream carries, in bytes.
	batchBytes = 32 << 10
	// readBytes is the read buffer of a connection, in bytes. 16 KiB cost an
	// entry with 890 agents 10 MiB more and saved no time.
	readBytes = 4 << 10
	// writeBytes is the first size of the write buffer, in bytes.
	writeBytes = 1 << 10

	// ProbeAfter is how long a connection on which traffic is expected may be
	// quiet before it is probed.
	ProbeAfter = time.Second
	// SilentAfter is how long an unanswered probe waits before the connection
	// counts as silent.
	SilentAfter = 1500 * time.Millisecond
	// IdleProbe is how long an idle connection may be quiet before the end that
	// dialed probes it. It takes the place of the QUIC keep-alive, which does
	// not notice before the idle timeout that one direction is lost. 890 agents
	// that all are idle cost an entry 45 probes a second, some 7 KB/s.
	IdleProbe = 20 * time.Second
)

// Errors of a connection. None of them says whether a message that was handed
// to Send has reached the peer.
var (
	ErrRingFull = errors.New("send ring of the connection is full")
	ErrClosed   = errors.New("connection is closed")
	ErrSilent   = errors.New("connection is silent although traffic was expected")
)

// Conn is a connection to a peer. All methods are safe for concurrent use,
// except that only one goroutine may call Receive.
type Conn struct {
	quic   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader
	ring   chan wire.Message
	done   chan struct{}
	once   sync.Once
	err    error
	probe  probe

	sent     atomic.Uint64
	received atomic.Uint64
	// probes counts the Ping and Pong messages sent.
	probes atomic.Uint64
}

func newConn(q *quic.Conn, s *quic.Stream, r *bufio.Reader) *Conn {
	c := &Conn{quic: q, stream: s, reader: r, ring: make(chan wire.Message, SendRingMessages), done: make(chan struct{})}
	c.probe.init(c)
	go c.writeLoop()
	return c
}

// Send queues a message. It returns ErrRingFull or ErrClosed and never waits.
func (c *Conn) Send(m wire.Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.ring <- m:
		return nil
	default:
		return ErrRingFull
	}
}

// Receive returns the next message. It answers probes itself. After an error
// the connection is closed.
func (c *Conn) Receive() (wire.Message, error) {
	for {
		m, err := wire.ReadFrame(c.reader)
		if err != nil {
			c.Close(err)
			return nil, c.Err()
		}
		c.received.Add(1)
		c.probe.heard()
		switch m := m.(type) {
		case *wire.Ping:
			c.probes.Add(1)
			_ = c.Send(&wire.Pong{Seq: m.Seq})
		case *wire.Pong:
		default:
			return m, nil
		}
	}
}

// Expect changes by n the number of messages that the peer owes. While it is
// above zero, a quiet connection is probed, and closed with ErrSilent if the
// probe gets no answer.
func (c *Conn) Expect(n int) { c.probe.expect(n) }

// Probe closes the connection with ErrSilent unless the peer answers within
// SilentAfter. Only the end that dialed may call it.
func (c *Conn) Probe() { c.probe.suspect() }

// Done is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the cause of the close, or nil while the connection is open.
func (c *Conn) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// Close closes the connection. Queued messages may be lost.
func (c *Conn) Close(cause error) {
	c.once.Do(func() {
		if cause == nil {
			cause = ErrClosed
		}
		c.err = cause
		close(c.done)
		c.probe.stop()
		_ = c.quic.CloseWithError(0, "")
	})
}

// flushGrace bounds how long Flush waits for queued messages.
const flushGrace = 2 * time.Second

// Flush waits until queued messages are handed to QUIC or flushGrace is over.
func (c *Conn) Flush() {
	end := time.Now().Add(flushGrace)
	for len(c.ring) > 0 && c.Err() == nil && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
}

// Counts returns the messages sent, the messages received, and the probes among
// those sent.
func (c *Conn) Counts() (sent, received, probes uint64) {
	return c.sent.Load(), c.received.Load(), c.probes.Load()
}

// Bytes returns the UDP payload bytes sent and received, with handshake,
// acknowledgements and keep-alives.
func (c *Conn) Bytes() (sent, received uint64) {
	s := c.quic.ConnectionStats()
	return s.BytesSent, s.BytesReceived
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.quic.RemoteAddr().String() }

func (c *Conn) writeLoop() {
	buf := make([]byte, 0, writeBytes)
	for {
		select {
		case <-c.done:
			return
		case m := <-c.ring:
			var err error
			if buf, err = c.appendBatch(buf[:0], m); err != nil {
				c.Close(err)
				return
			}
			if _, err = c.stream.Write(buf); err != nil {
				c.Close(errors.Wrap(err, "write to the stream"))
				return
			}
			if cap(buf) > 2*batchBytes {
				buf = make([]byte, 0, writeBytes)
			}
		}
	}
}

// appendBatch encodes m and whatever else is queued, so that a burst of starts
// shares packets.
func (c *Conn) appendBatch(buf []byte, m wire.Message) ([]byte, error) {
	for {
		var err error
		if buf, err = wire.AppendFrame(buf, m); err != nil {
			return buf, err
		}
		c.sent.Add(1)
		if len(buf) >= batchBytes {
			return buf, nil
		}
		select {
		case m = <-c.ring:
		default:
			return buf, nil
		}
	}
}

// Call sends a request on a stream of its own and returns the reply. After an
// error the peer may have handled the request.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open a request stream")
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(s, m); err != nil {
		return nil, err
	}
	_ = s.Close()
	reply, err := wire.ReadFrame(bufio.NewReader(s))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c.probe.heard()
	return reply, errors.Wrap(err, "read the reply")
}

// Handler answers a request. The context ends with the connection.
type Handler func(ctx context.Context, m wire.Message) wire.Message

// ServeCalls answers requests until the connection closes, each in a goroutine
// of its own. QUIC bounds their number.
func (c *Conn) ServeCalls(h Handler) {
	for {
		s, err := c.quic.AcceptStream(c.quic.Context())
		if err != nil {
			return
		}
		go c.serveCall(s, h)
	}
}

func (c *Conn) serveCall(s *quic.Stream, h Handler) {
	defer func() { _ = s.Close() }()
	m, err := wire.ReadFrame(bufio.NewReader(s))
	if err != nil {
		s.CancelRead(0)
		return
	}
	if reply := h(s.Context(), m); reply != nil {
		_ = writeFrame(s, reply)
	}
}

func writeFrame(s *quic.Stream, m wire.Message) error {
	b, err := wire.AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_, err = s.Write(b)
	return errors.Wrap(err, "write frame")
}
