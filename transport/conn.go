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
	// SendQueueMessages is the capacity of the send queue of a connection, in
	// messages. An agent has about a dozen starts in flight. A queue takes 16 bytes
	// per message of its capacity, and an entry with 890 agents has 890 queues.
	SendQueueMessages = 256
	// maxBatchBytes is the size, in bytes, at which a batch of frames is written even
	// if further messages are queued.
	maxBatchBytes = 32 << 10
	// readBufferBytes is the size of the read buffer of a connection. With 16 KiB, an
	// entry with 890 agents used 10 MiB more memory and was not faster.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the initial size of the write buffer.
	writeBufferBytes = 1 << 10

	// ProbeDelay is how long a connection on which replies are expected may
	// receive nothing before it is probed.
	ProbeDelay = time.Second
	// ProbeTimeout is how long a connection may receive nothing after a probe before
	// it is closed with ErrPeerUnresponsive.
	ProbeTimeout = 1500 * time.Millisecond
	// IdleProbeInterval is how long an idle connection may receive nothing before the
	// dialing side probes it. It replaces the QUIC keep-alive, which does not
	// detect the loss of one direction before the idle timeout. 890 idle agents
	// cost an entry 45 probes a second, about 7 KB/s.
	IdleProbeInterval = 20 * time.Second
)

// Errors of a connection. None of them tells whether messages that were passed to
// Send before have reached the peer.
var (
	ErrSendQueueFull    = errors.New("send queue of the connection is full")
	ErrClosed           = errors.New("connection is closed")
	ErrPeerUnresponsive = errors.New("connection lost: the peer did not answer a probe")
)

// Conn is a connection to a peer. All methods are safe for concurrent use,
// except that only one goroutine may call Receive.
type Conn struct {
	quic      *quic.Conn
	stream    *quic.Stream
	reader    *bufio.Reader
	queue     chan wire.Message
	done      chan struct{}
	closeOnce sync.Once
	err       error
	prober    prober

	sent     atomic.Uint64
	received atomic.Uint64
	// probes is the number of Ping and Pong messages sent.
	probes atomic.Uint64
}

func newConn(q *quic.Conn, s *quic.Stream, r *bufio.Reader) *Conn {
	c := &Conn{quic: q, stream: s, reader: r, queue: make(chan wire.Message, SendQueueMessages), done: make(chan struct{})}
	c.prober.init(c)
	go c.writeLoop()
	return c
}

// Send queues a message and does not block. It returns ErrSendQueueFull if the send
// queue is full, and ErrClosed if the connection is closed.
func (c *Conn) Send(m wire.Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.queue <- m:
		return nil
	default:
		return ErrSendQueueFull
	}
}

// Receive returns the next message other than a Ping or Pong; it answers Pings
// itself. After an error the connection is closed.
func (c *Conn) Receive() (wire.Message, error) {
	for {
		m, err := wire.ReadFrame(c.reader)
		if err != nil {
			c.Close(err)
			return nil, c.Err()
		}
		c.received.Add(1)
		c.prober.recordReceived()
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

// AddPendingReplies adds n, which may be negative, to the number of replies expected
// from the peer. While the number is above zero, a connection that receives nothing
// for ProbeDelay is probed, and closed with ErrPeerUnresponsive if the peer does not
// answer within ProbeTimeout.
func (c *Conn) AddPendingReplies(n int) { c.prober.addPendingReplies(n) }

// Probe probes the connection now, and closes it with ErrPeerUnresponsive unless
// the peer answers within ProbeTimeout. Only the dialing side may call it: the
// accepting side does not check for the answer while no replies are expected.
func (c *Conn) Probe() { c.prober.probeNow() }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns the cause given to Close, or nil while the connection is open.
func (c *Conn) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// Close closes the connection. Err returns cause from then on, or ErrClosed if
// cause is nil. Messages in the send queue may be lost. Only the first call has an
// effect.
func (c *Conn) Close(cause error) {
	c.closeOnce.Do(func() {
		if cause == nil {
			cause = ErrClosed
		}
		c.err = cause
		close(c.done)
		c.prober.stop()
		_ = c.quic.CloseWithError(0, "")
	})
}

// flushTimeout bounds how long Flush waits.
const flushTimeout = 2 * time.Second

// Flush waits until the send queue is empty, the connection is closed or
// flushTimeout has passed.
func (c *Conn) Flush() {
	end := time.Now().Add(flushTimeout)
	for len(c.queue) > 0 && c.Err() == nil && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
}

// Counts returns the number of messages sent and received, and the number of
// Ping and Pong messages sent, which are included in sent.
func (c *Conn) Counts() (sent, received, probes uint64) {
	return c.sent.Load(), c.received.Load(), c.probes.Load()
}

// Bytes returns the UDP payload bytes sent and received, including handshake,
// acknowledgements and keep-alives.
func (c *Conn) Bytes() (sent, received uint64) {
	s := c.quic.ConnectionStats()
	return s.BytesSent, s.BytesReceived
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.quic.RemoteAddr().String() }

func (c *Conn) writeLoop() {
	buf := make([]byte, 0, writeBufferBytes)
	for {
		select {
		case <-c.done:
			return
		case m := <-c.queue:
			var err error
			if buf, err = c.appendBatch(buf[:0], m); err != nil {
				c.Close(err)
				return
			}
			if _, err = c.stream.Write(buf); err != nil {
				c.Close(errors.Wrap(err, "write to the stream"))
				return
			}
			if cap(buf) > 2*maxBatchBytes {
				buf = make([]byte, 0, writeBufferBytes)
			}
		}
	}
}

// appendBatch appends the frames of m and of further queued messages to buf until
// it reaches maxBatchBytes, so that the starts of a burst share packets.
func (c *Conn) appendBatch(buf []byte, m wire.Message) ([]byte, error) {
	for {
		var err error
		if buf, err = wire.AppendFrame(buf, m); err != nil {
			return buf, err
		}
		c.sent.Add(1)
		if len(buf) >= maxBatchBytes {
			return buf, nil
		}
		select {
		case m = <-c.queue:
		default:
			return buf, nil
		}
	}
}

// Call sends a request on a new stream and returns the reply. After an error the
// peer may still have handled the request.
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
	c.prober.recordReceived()
	return reply, errors.Wrap(err, "read the reply")
}

// Handler returns the reply to a request, or nil to send none. ctx ends when the
// stream of the request is closed.
type Handler func(ctx context.Context, m wire.Message) wire.Message

// ServeCalls answers the requests of the peer until the connection closes, each in
// its own goroutine. The QUIC stream limit bounds the number of concurrent requests.
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
