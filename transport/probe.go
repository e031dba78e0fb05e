package transport

import (
	"sync"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

// probe closes a connection that is silent although traffic is expected. Its
// timer runs only while something is expected, so that idle connections cost
// nothing.
type probe struct {
	mu       sync.Mutex
	conn     *Conn
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

func (p *probe) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = time.Now()
	p.pinged = time.Time{}
}

func (p *probe) expect(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expected == 0 && n > 0 {
		p.last = time.Now()
	}
	p.expected = max(0, p.expected+n)
	if p.expected > 0 && !p.armed && !p.stopped {
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
	if p.stopped || p.expected == 0 {
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
	if wait := ProbeAfter - now.Sub(p.last); wait > 0 {
		p.arm(wait)
		return false
	}
	p.seq++
	p.pinged = now
	p.conn.probes.Add(1)
	_ = p.conn.Send(&wire.Ping{Seq: p.seq})
	p.arm(SilentAfter)
	return false
}
