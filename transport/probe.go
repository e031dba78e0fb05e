package transport

import (
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// prober detects a lost connection: it sends a Ping when replies are expected and
// nothing has been received for ProbeDelay, and closes the connection if the Ping is
// not answered. The dialing side also probes idle connections, since only it can
// replace them.
type prober struct {
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
	// pingSentAt is when the unanswered Ping was sent, or zero if there is none. Any
	// message received counts as an answer.
	pingSentAt   time.Time
	lastReceived time.Time
}

func (p *prober) init(c *Conn) {
	p.conn = c
	p.lastReceived = time.Now()
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.timer.Stop()
}

// watchIdle enables probes of the idle connection at the given interval.
func (p *prober) watchIdle(interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleInterval = interval
	if p.pendingReplies == 0 && !p.stopped {
		p.armTimer(interval)
	}
}

func (p *prober) recordReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = time.Now()
	p.pingSentAt = time.Time{}
}

func (p *prober) addPendingReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.pendingReplies == 0 && n > 0
	if first {
		p.lastReceived = time.Now()
	}
	p.pendingReplies = max(0, p.pendingReplies+n)
	// The timer may be armed with the longer idle interval. It is then rearmed with
	// ProbeDelay, unless it runs for an unanswered Ping.
	if p.pendingReplies > 0 && !p.stopped && (!p.armed || first && p.pingSentAt.IsZero()) {
		p.armTimer(ProbeDelay)
	}
}

func (p *prober) armTimer(d time.Duration) {
	p.armed = true
	p.timer.Reset(d)
}

func (p *prober) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *prober) onTimer() {
	p.mu.Lock()
	lost := p.evaluate(time.Now())
	p.mu.Unlock()
	if lost {
		p.conn.Close(ErrPeerUnresponsive)
	}
}

// evaluate handles a timer event: it sends a Ping if one is due, or rearms the
// timer. It reports whether the connection is lost.
func (p *prober) evaluate(now time.Time) bool {
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

func (p *prober) sendPing(now time.Time) {
	p.seq++
	p.pingSentAt = now
	p.conn.probes.Add(1)
	_ = p.conn.Send(&wire.Ping{Seq: p.seq})
	p.armTimer(ProbeTimeout)
}

// probeNow sends a Ping unless an earlier one is unanswered.
func (p *prober) probeNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped && p.pingSentAt.IsZero() {
		p.sendPing(time.Now())
	}
}
