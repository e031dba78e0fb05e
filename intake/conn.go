package intake

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errBusy is the cause of the error of a read that the budget does not allow.
var errBusy = errors.New("too many bytes of unfinished requests")

// Conn is an accepted connection. It embeds the TCP connection, so that servers find its
// further methods, such as CloseWrite and SyscallConn.
type Conn struct {
	*net.TCPConn
	guard    *Guard
	listener *listener
	closed   chan struct{}
	// index is the position in listener.conns, or -1; guarded by guard.mu.
	index int
	// arrived says that bytes of the first message have been seen; guarded by guard.mu.
	arrived bool
	// greeted says whether the program has called Greeted.
	greeted atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	state connState
	// inBody says that the head of the unfinished request has been read.
	inBody bool
	ended  bool
	// awaited is how long reads of the present body have waited for bytes that had not
	// arrived.
	awaited time.Duration
	// refused makes every further read fail.
	refused bool
	// endsAt is when the unfinished request has to be whole, if it is paced.
	endsAt time.Time
	// turn and turnBytes are the reservation that the next read waits for; turnBytes is 0
	// without one.
	turn      float64
	turnBytes int
	// readDeadline is that of the last call of SetReadDeadline. needsDeadline says that the next read has progressTimeout:
	// ordinary bodies arrive with their head and need no further read.
	readDeadline  time.Time
	needsDeadline bool
}

// Read reads from the connection and charges what it has read to the budget.
func (c *Conn) Read(p []byte) (int, error) {
	paced, err := c.awaitTurn()
	if err != nil {
		return 0, err
	}
	if paced && len(p) > maxReadBytes {
		p = p[:maxReadBytes]
	}
	began := time.Now()
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.charge(p[:n], time.Since(began)) {
		// net/http answers no error of this type in the head of a request.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errBusy}
	}
	return n, err
}

// awaitTurn puts off a read for as long as the pace of large requests demands, and reports
// whether the request is read at that pace. The time does not count for the deadline of the
// read.
func (c *Conn) awaitTurn() (paced bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paced = c.state.held > largeBytes && c.guard.large.Load() > calmRequests
	if c.needsDeadline {
		if err := c.setReadDeadlineLocked(time.Now().Add(progressTimeout)); err != nil {
			return false, err
		}
	}
	if c.refused {
		return false, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errBusy}
	}
	began, deadline, slept := time.Now(), c.readDeadline, false
	for c.turnBytes > 0 {
		// While a handler runs, net/http reads without a deadline to notice the end of the
		// connection, and interrupts that read by a deadline. Such reads aren't put off.
		if deadline.IsZero() || !c.readDeadline.Equal(deadline) {
			return paced, nil
		}
		now := time.Now()
		left := c.endsAt.Sub(now)
		if left <= 0 || !began.Before(deadline) {
			return false, os.ErrDeadlineExceeded
		}
		delay := c.guard.pace.delay(now, c.turn)
		if delay <= 0 {
			c.turnBytes = 0
			break
		}
		slept = true
		c.mu.Unlock()
		closed := c.sleep(min(delay, left, paceStep))
		c.mu.Lock()
		if closed {
			return false, net.ErrClosed
		}
	}
	if slept && c.readDeadline.Equal(deadline) {
		return paced, c.setReadDeadlineLocked(deadline.Add(time.Since(began)))
	}
	return paced, nil
}

// sleep waits for d and reports whether the connection was closed before.
func (c *Conn) sleep(d time.Duration) (closed bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-c.closed:
		return true
	}
}

// SetReadDeadline implements net.Conn. net/http calls it with the zero time before it reads
// beyond a body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setReadDeadlineLocked(t)
}

func (c *Conn) setReadDeadlineLocked(t time.Time) error {
	c.readDeadline, c.needsDeadline = t, false
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// charge charges what was read after waiting for some time. It returns false if the budget
// does not allow it.
func (c *Conn) charge(p []byte, waited time.Duration) bool {
	g := c.guard
	now := g.now()
	c.mu.Lock()
	c.state.lastRead, c.state.renewed = now, false
	if c.state.phase == serving || c.ended {
		// At most a byte of the next request, read to notice the end of the connection.
		c.mu.Unlock()
		return true
	}
	if c.state.phase != receiving {
		c.state.phase, c.state.beganAt = receiving, now
	}
	if c.inBody {
		c.awaited += waited
	}
	cost := int64(len(p))
	if !c.inBody && !c.greeted.Load() {
		cost += headLineBytes * int64(bytes.Count(p, newline))
	}
	before := c.state.held
	c.state.held += cost
	total := g.held.Add(cost)
	if c.state.held > largeBytes {
		large := g.large.Load()
		if before <= largeBytes {
			large = g.large.Add(1)
		}
		if large > calmRequests {
			now := time.Now()
			c.turnBytes = max(len(p), minReadBytes)
			c.turn = g.pace.reserve(now, c.turnBytes)
			if c.endsAt.IsZero() {
				c.endsAt = now.Add(bodyTimeout)
			}
		}
	}
	c.mu.Unlock()
	if total <= g.limits.UnfinishedBytes || g.freeBytes(c) {
		return true
	}
	g.refusals.add(c.listener.name, tooManyBytes)
	c.mu.Lock()
	c.refused = true
	c.releaseLocked()
	c.mu.Unlock()
	return false
}

var newline = []byte{'\n'}

// releaseLocked gives back the bytes charged.
func (c *Conn) releaseLocked() {
	if c.state.held > largeBytes {
		c.guard.large.Add(-1)
	}
	c.guard.held.Add(-c.state.held)
	c.state.held = 0
	c.cancelTurnLocked()
	c.endsAt = time.Time{}
}

// cancelTurnLocked gives up the reservation of a read that will not come.
func (c *Conn) cancelTurnLocked() {
	if c.turnBytes > 0 {
		c.guard.pace.cancel(time.Now(), c.turnBytes)
		c.turnBytes = 0
	}
}

// enter changes the phase. release says whether the bytes charged are given back.
func (c *Conn) enter(p phase, inBody, release bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.phase, c.inBody, c.needsDeadline = p, inBody, inBody
	if p == receiving {
		c.awaited = 0
	}
	if p != receiving {
		c.cancelTurnLocked()
	}
	if release {
		c.releaseLocked()
	}
}

// Greeted says that the first message of the peer of a listener for entries has arrived.
// unread is as for Received.
func (c *Conn) Greeted(unread int) {
	c.guard.mu.Lock()
	if c.index >= 0 && !c.greeted.Load() {
		c.listener.greetings--
	}
	c.greeted.Store(true)
	c.guard.mu.Unlock()
	c.Received(unread)
}

// NotGreeted says that the first message was not valid. protocol is the version that it
// names, 0 if it is none. The program closes the connection.
func (c *Conn) NotGreeted(protocol int) {
	c.guard.refusals.add(c.listener.name, badGreeting, "protocol", protocol)
}

// Received says that a whole message has arrived. unread is the number of bytes of the next
// one that have been read from the connection with it.
func (c *Conn) Received(unread int) {
	c.enter(idle, false, true)
	if unread <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.state.phase, c.state.beganAt, c.state.held = receiving, c.guard.now(), int64(unread)
		c.guard.held.Add(int64(unread))
	}
}

// Write writes to the connection. A peer that takes nothing for the write time-out is
// treated as gone: it would occupy its place without end. One that reads slowly is not.
func (c *Conn) Write(p []byte) (int, error) {
	written, probing := 0, false
	for {
		timeout := c.guard.writeTimeout
		if probing {
			timeout /= writeProbeShare
		}
		deadline := time.Now().Add(timeout)
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:min(written+maxWriteBytes, len(p))])
		written += n
		switch {
		case err == nil && written == len(p):
			return written, nil
		case err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			probing = false
		case probing || !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().Before(deadline):
			return written, err
		default:
			// The system reports room in the send buffer only when a third of it is free. A
			// further write finds out whether the peer has taken less than that.
			probing = true
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.listener.remove(c)
	c.guard.mu.Unlock()
	return c.end()
}

// end closes the connection and gives back the bytes charged.
func (c *Conn) end() error {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.ended = true
	c.releaseLocked()
	close(c.closed)
	c.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *Conn) snapshot() connState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// greetingState is the state of a connection whose first message has not arrived.
func (c *Conn) greetingState() (connState, bool) {
	s := c.snapshot()
	s.young = c.guard.now()-s.acceptedAt < c.guard.minSilence
	return s, !c.greeted.Load()
}

// bytesArrived reports whether the peer has sent anything, read or not.
func (c *Conn) bytesArrived() bool {
	if c.snapshot().held > 0 {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return controlErr == nil && err == nil && unread > 0
}

// renewForUnread makes a connection young if its peer has sent bytes that have not been read.
// It does so once until bytes are read, and reports whether it did.
func (c *Conn) renewForUnread(now time.Duration) bool {
	if s := c.snapshot(); s.held > 0 || s.renewed || !c.bytesArrived() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.lastRead, c.state.renewed = now, true
	return true
}

// unservedState is the state of a connection that may be closed for a new one.
func (c *Conn) unservedState() (connState, bool) {
	s := c.snapshot()
	now := c.guard.now()
	s.young = now-s.lastRead < c.guard.minSilence
	if c.greeted.Load() {
		return s, s.stale(now, c.guard.messageTimeout, c.guard.entrySilence)
	}
	return s, s.phase != serving
}

// holdingState is the state of a connection with an unfinished request.
func (c *Conn) holdingState() (connState, bool) {
	s := c.snapshot()
	return s, s.phase == receiving && s.held > 0
}
