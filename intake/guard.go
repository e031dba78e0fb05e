// Package intake bounds what clients that nobody controls can take from a process: memory
// for unfinished requests, connections, and processor time for reading.
//
// Input: listeners, servers, requests. Output: wrapped connections, bodies, typed errors.
// State: the connections that are open and the bytes of their unfinished requests.
//
// The bytes that a connection has delivered are charged to the budget of the process as
// they arrive. They are given back when the request has been decoded, when it has been
// answered, or when the connection ends. What net/http keeps of a following request (at
// most the 4 KiB of its read buffer) is not counted. There is no goroutine besides those of
// the servers.
package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/sesamelift/sesamelift/decisions"
)

// Options configure a Guard.
type Options struct {
	Limits Limits
	// Log writes a line; it must not block.
	Log     func(decisions.Line)
	Metrics tally.Scope
}

// Guard applies the limits to the connections of a process. Its methods are safe for
// concurrent use.
type Guard struct {
	limits   Limits
	log      func(decisions.Line)
	refusals *refusals
	metrics  tally.Scope
	// held are the bytes charged for unfinished requests, and large is the number of
	// those requests that are large.
	held  atomic.Int64
	large atomic.Int64
	pace  *pacer
	// decodes limits the large bodies that are decoded at the same time.
	decodes chan struct{}
	base    time.Time
	// writeTimeout is how long a peer may take nothing of what is written to it.
	writeTimeout time.Duration
	// minSilence, messageTimeout and entrySilence are the constants of these names, less in
	// tests.
	minSilence, messageTimeout, entrySilence time.Duration

	mu        sync.Mutex
	listeners []*listener
}

// NewGuard returns a guard.
func NewGuard(o Options) *Guard {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = func(decisions.Line) {}
	}
	return &Guard{
		limits: o.Limits, log: o.Log, refusals: newRefusals(o.Log, o.Metrics), metrics: o.Metrics,
		pace: newPacer(o.Limits.PacedBytesPerSecond, paceBurst), decodes: make(chan struct{}, maxDecodes), base: time.Now(),
		writeTimeout: progressTimeout, minSilence: minSilence, messageTimeout: messageTimeout, entrySilence: entrySilence,
	}
}

// now returns the time since the guard was made.
func (g *Guard) now() time.Duration { return time.Since(g.base) }

// ListenForCallers bounds the connections of a listener for callers.
func (g *Guard) ListenForCallers(l net.Listener) net.Listener {
	return g.listen("callers", l, g.limits.Callers, 0)
}

// ListenForService bounds the connections of a listener for other requests.
func (g *Guard) ListenForService(name string, l net.Listener) net.Listener {
	return g.listen(name, l, g.limits.Service, 0)
}

// ListenForEntries bounds the connections of a listener for entries. The program calls
// Greeted on each connection whose first message has arrived, and Received after each
// further one. Once the bound is reached, peers that send no whole message for some time
// lose their connection to new ones.
func (g *Guard) ListenForEntries(l net.Listener) net.Listener {
	return g.listen("link", l, g.limits.Links, g.limits.Greetings)
}

// listen wraps a listener. At most bound connections are open; if maxGreetings is above 0,
// at most that many of them may not have called Greeted.
func (g *Guard) listen(name string, l net.Listener, bound, maxGreetings int) net.Listener {
	w := &listener{Listener: l, guard: g, name: name, bound: bound, maxGreetings: maxGreetings,
		open: g.metrics.Tagged(map[string]string{"address": name}).Gauge("intake_connections")}
	if size := g.limits.ReceiveBufferBytes; size > 0 && maxGreetings == 0 {
		// Accepted connections have the buffer size of their listener.
		if err := setReceiveBuffer(l, size); err != nil {
			g.log(decisions.Warn("cannot set the receive buffer of a listener", "address", name, "error", err.Error()))
		}
	}
	g.mu.Lock()
	g.listeners = append(g.listeners, w)
	g.mu.Unlock()
	return w
}

func setReceiveBuffer(l net.Listener, size int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return errors.Errorf("listener of type %T", l)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}); err != nil {
		return err
	}
	return sockoptErr
}

// listener is a listener with a bound on its open connections.
type listener struct {
	net.Listener
	guard               *Guard
	name                string
	bound, maxGreetings int
	open                tally.Gauge
	// conns and greetings are guarded by guard.mu. greetings is the number of conns that
	// have not called Greeted.
	conns     []*Conn
	greetings int
}

// Accept returns the next connection that there is room for.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			_ = raw.Close()
			return nil, errors.Errorf("connection of type %T is not a TCP connection", raw)
		}
		// The wait is bounded: connections that send all the time stay young.
		for end := l.guard.now() + l.guard.minSilence; l.unsettled() && l.guard.now() < end; {
			time.Sleep(settleStep)
		}
		if c := l.add(tcp); c != nil {
			return c, nil
		}
		l.guard.refusals.add(l.name, noRoom)
		_ = tcp.Close()
	}
}

// unsettled reports whether the connection that would be closed for a new one is young.
// Meanwhile its request is read, or others become idle.
func (l *listener) unsettled() bool {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	if l.greetingsFull() {
		if _, young := l.greetingToClose(l.guard.now()); young {
			return true
		}
	}
	if len(l.conns) < l.bound {
		return false
	}
	_, young := l.unservedToClose(l.guard.now())
	return young
}

// unservedToClose returns the index of the connection that is closed at the bound, or -1, and
// whether it is young. A connection whose request has arrived counts as young again, once,
// although a busy process has not read it yet. The caller holds guard.mu.
func (l *listener) unservedToClose(now time.Duration) (index int, young bool) {
	for rechecks := 0; ; rechecks++ {
		i := choose(now, len(l.conns), func(i int) (connState, bool) { return l.conns[i].unservedState() }, silentLonger)
		if i < 0 {
			return -1, false
		}
		s, _ := l.conns[i].unservedState()
		if s.young || rechecks >= maxRechecks || !l.conns[i].renewForUnread(now) {
			return i, s.young
		}
	}
}

// greetingToClose returns the index of the connection that is closed when too many wait for
// their first message, or -1, and whether it is young. It is the oldest one of which nothing
// has arrived, or the oldest one if there is none. The caller holds guard.mu.
func (l *listener) greetingToClose(now time.Duration) (index int, young bool) {
	for {
		i := choose(now, len(l.conns), func(i int) (connState, bool) {
			s, waits := l.conns[i].greetingState()
			return s, waits && !l.conns[i].arrived
		}, olderGreeting)
		if i < 0 {
			break
		}
		c := l.conns[i]
		if c.arrived = c.bytesArrived(); !c.arrived {
			s, _ := c.greetingState()
			return i, now-s.acceptedAt < min(l.guard.minSilence, minGreetingAge)
		}
	}
	i := choose(now, len(l.conns), func(i int) (connState, bool) { return l.conns[i].greetingState() }, olderGreeting)
	if i < 0 {
		return -1, false
	}
	s, _ := l.conns[i].greetingState()
	return i, s.young
}

// greetingsFull reports whether no further connection may wait for its first message. The
// caller holds guard.mu.
func (l *listener) greetingsFull() bool { return l.maxGreetings > 0 && l.greetings >= l.maxGreetings }

// add makes room for a connection, by closing another one if necessary. It returns nil if
// there is none to close.
func (l *listener) add(tcp *net.TCPConn) *Conn {
	g := l.guard
	now := g.now()
	// Refusals are reported without the lock, since the output of the log may be slow.
	var closed []reason
	defer func() {
		for _, r := range closed {
			g.refusals.add(l.name, r)
		}
	}()
	c := &Conn{TCPConn: tcp, guard: g, listener: l, closed: make(chan struct{}), state: connState{acceptedAt: now, lastRead: now}}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.greetingsFull() {
		if i, _ := l.greetingToClose(now); i >= 0 {
			l.closeAt(i)
			closed = append(closed, tooManyGreetings)
		}
	}
	if len(l.conns) >= l.bound {
		i, _ := l.unservedToClose(now)
		if i < 0 {
			return nil
		}
		l.closeAt(i)
		closed = append(closed, tooManyConnections)
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	l.greetings++
	l.open.Update(float64(len(l.conns)))
	return c
}

// closeAt closes the connection with an index. The caller holds guard.mu.
func (l *listener) closeAt(i int) {
	c := l.conns[i]
	l.remove(c)
	_ = c.end()
}

// remove removes a connection unless that was done before. The caller holds guard.mu.
func (l *listener) remove(c *Conn) {
	if c.index < 0 {
		return
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	c.index = -1
	if !c.greeted.Load() {
		l.greetings--
	}
	l.open.Update(float64(len(l.conns)))
}

// freeBytes closes connections with unfinished requests until the bytes charged are within
// the limit. It returns false if those of own should not be read on: there is no other
// connection to close.
func (g *Guard) freeBytes(own *Conn) bool {
	var closed []*Conn
	defer func() {
		for _, c := range closed {
			g.refusals.add(c.listener.name, tooManyBytes)
		}
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.held.Load() > g.limits.UnfinishedBytes {
		now := g.now()
		var best *Conn
		var bestState connState
		for _, l := range g.listeners {
			i := choose(now, len(l.conns), func(i int) (connState, bool) { return l.conns[i].holdingState() }, heldMoreForLonger)
			if i < 0 {
				continue
			}
			if s, _ := l.conns[i].holdingState(); best == nil || heldMoreForLonger(now, s, bestState) {
				best, bestState = l.conns[i], s
			}
		}
		if best == nil || best == own {
			return false
		}
		closed = append(closed, best)
		best.listener.remove(best)
		best.end()
	}
	return true
}
