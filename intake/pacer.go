package intake

import (
	"sync"
	"time"
)

// pacer lets bytes be read at a bounded rate, in the order of their reservations.
// rate.Limiter gives nothing back for a cancelled reservation that others follow.
type pacer struct {
	mu sync.Mutex
	// rate is in bytes per second, burst in bytes.
	rate, burst float64
	// reserved are the bytes of all reservations, and served those that were due or given
	// back by the time at. A reservation is due when served has reached its position.
	reserved, served float64
	at               time.Time
}

func newPacer(bytesPerSecond, burst int) *pacer {
	return &pacer{rate: float64(bytesPerSecond), burst: float64(burst), served: float64(burst), at: time.Now()}
}

// serveLocked advances to now. After a pause no more than burst bytes are due at once.
func (p *pacer) serveLocked(now time.Time, extra float64) {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		extra += elapsed.Seconds() * p.rate
		p.at = now
	}
	p.served = min(p.served+extra, p.reserved+p.burst)
}

// reserve reserves n bytes and returns their position.
func (p *pacer) reserve(now time.Time, n int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serveLocked(now, 0)
	p.reserved += float64(n)
	return p.reserved
}

// delay returns how long the reservation at a position has to wait.
func (p *pacer) delay(now time.Time, position float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serveLocked(now, 0)
	return time.Duration(max(position-p.served, 0) / p.rate * float64(time.Second))
}

// cancel gives back a reservation of n bytes that were not read. Those that wait are due
// earlier by it.
func (p *pacer) cancel(now time.Time, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serveLocked(now, float64(n))
}

// Tokens returns the bytes that could be read at once, or minus those that wait.
func (p *pacer) Tokens() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serveLocked(time.Now(), 0)
	return p.served - p.reserved
}
