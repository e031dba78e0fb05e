package transport

import (
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// probe detects a lost connection: it sends a Ping when nothing has been received
// for a time although replies are outstanding, and closes the connection if that is
// not answered. The dialing side also probes idle connections, since only it can
// replace them.
type probe struct {
	mu   sync.Mutex
	conn *Conn
	// idleInterval is how long an idle connection may receive nothing before it
	// is probed. Zero disables idle probes.
	idleInterval   time.Duration
	timer          *time.Timer
	armed          bool
	stopped        bool
	pendingReplies int
	seq            uint64
	// pingSentAt is when the unanswered Ping was sent, or zero if there is none.
	pingSentAt   time.Time
	lastReceived time.Time
}

func (p *probe) init(c *Conn) {
	p.conn = c
	p.lastReceived = time.Now()
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.timer.Stop()
}

// watchIdle enables idle probes.
func (p *probe) watchIdle(every time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleInterval = every
	if p.pendingReplies == 0 && !p.stopped {
		p.armTimer(every)
	}
}

func (p *probe) recordReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = time.Now()
	p.pingSentAt = time.Time{}
}

func (p *probe) addPendingReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.pendingReplies == 0 && n > 0
	if first {
		p.lastReceived = time.Now()
	}
	p.pendingReplies = max(0, p.pendingReplies+n)
	// The timer may be armed with the longer idle interval; it is shortened unless
	// a Ping is unanswered.
	if p.pendingReplies > 0 && !p.stopped && (!p.armed || first && p.pingSentAt.IsZero()) {
		p.armTimer(ProbeDelay)
	}
}

func (p *probe) armTimer(d time.Duration) {
	p.armed = true
	p.timer.Reset(d)
}

func (p *probe) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *probe) onTimer() {
	p.mu.Lock()
	lost := p.evaluate(time.Now())
	p.mu.Unlock()
	if lost {
		p.conn.Close(ErrPeerUnresponsive)
	}
}

// evaluate handles a timer event: it sends a Ping if one is due, or rearms the
// timer. It reports whether the connection is lost.
func (p *probe) evaluate(now time.Time) bool {
	p.armed = false
	interval := ProbeDelay
	if p.pendingReplies == 0 {
		interval = p.idleInterval
	}
	if p.stopped || interval == 0 {
		p.pingSentAt = time.Time{}
		return false
	}
	if !p.pingSentAt.IsZero() {
		if wait := ProbeTimeout - now.Sub(p.pingSentAt); wait > 0 {
			p.armTimer(wait)
			return false
		}
		return true
	}
	if wait := interval - now.Sub(p.lastReceived); wait > 0 {
		p.armTimer(wait)
		return false
	}
	p.sendPing(now)
	return false
}

func (p *probe) sendPing(now time.Time) {
	p.seq++
	p.pingSentAt = now
	p.conn.probes.Add(1)
	_ = p.conn.Send(&wire.Ping{Seq: p.seq})
	p.armTimer(ProbeTimeout)
}

// probeNow sends a Ping unless an earlier one is unanswered.
func (p *probe) probeNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped && p.pingSentAt.IsZero() {
		p.sendPing(time.Now())
	}
}
