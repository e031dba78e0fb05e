package transport

import (
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// probe closes a connection that is silent although traffic is expected. The
// end that dialed also probes an idle connection, since only it can replace it.
type probe struct {
	mu   sync.Mutex
	conn *Conn
	// idle is how long an idle connection may be quiet before it is probed; 0
	// means that it is not probed.
	idle     time.Duration
	timer    *time.Timer
	armed    bool
	stopped  bool
	expected int
	seq      uint64
	// pinged is the time of the unanswered Ping, or zero.
	pinged time.Time
	last   time.Time
}

func (p *probe) init(c *Conn) {
	p.conn = c
	p.last = time.Now()
	p.timer = time.AfterFunc(time.Hour, p.fire)
	p.timer.Stop()
}

// watchIdle probes the connection from now on even when nothing is expected.
func (p *probe) watchIdle(every time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = every
	if p.expected == 0 && !p.stopped {
		p.arm(every)
	}
}

func (p *probe) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = time.Now()
	p.pinged = time.Time{}
}

func (p *probe) expect(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.expected == 0 && n > 0
	if first {
		p.last = time.Now()
	}
	p.expected = max(0, p.expected+n)
	// The timer may be set for an idle connection, unless a Ping is out.
	if p.expected > 0 && !p.stopped && (!p.armed || first && p.pinged.IsZero()) {
		p.arm(ProbeAfter)
	}
}

func (p *probe) arm(d time.Duration) {
	p.armed = true
	p.timer.Reset(d)
}

func (p *probe) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}

func (p *probe) fire() {
	p.mu.Lock()
	silent := p.step(time.Now())
	p.mu.Unlock()
	if silent {
		p.conn.Close(ErrSilent)
	}
}

// step decides what a timer event means. It reports whether the connection is
// silent.
func (p *probe) step(now time.Time) bool {
	p.armed = false
	quiet := ProbeAfter
	if p.expected == 0 {
		quiet = p.idle
	}
	if p.stopped || quiet == 0 {
		p.pinged = time.Time{}
		return false
	}
	if !p.pinged.IsZero() {
		if wait := SilentAfter - now.Sub(p.pinged); wait > 0 {
			p.arm(wait)
			return false
		}
		return true
	}
	if wait := quiet - now.Sub(p.last); wait > 0 {
		p.arm(wait)
		return false
	}
	p.ping(now)
	return false
}

func (p *probe) ping(now time.Time) {
	p.seq++
	p.pinged = now
	p.conn.probes.Add(1)
	_ = p.conn.Send(&wire.Ping{Seq: p.seq})
	p.arm(SilentAfter)
}

// suspect probes the connection now, unless a probe is out.
func (p *probe) suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped && p.pinged.IsZero() {
		p.ping(time.Now())
	}
}
