package intake

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/decisions"
)

// reason is why a connection or request was refused.
type reason uint8

const (
	noRoom reason = iota
	tooManyConnections
	tooManyGreetings
	badGreeting
	tooManyBytes
	bodyTimedOut
	bodyTooLarge
	reasonCount
)

// reasonNames are the label values of the counter.
var reasonNames = [reasonCount]string{"no_room", "connections", "greetings", "no_hello", "bytes", "timeout", "too_large"}

// refusalLogInterval is the shortest time between two lines for one reason.
const refusalLogInterval = time.Second

// refusals counts refusals and logs each reason at most once in refusalLogInterval.
type refusals struct {
	log     func(decisions.Line)
	metrics tally.Scope
	now     func() time.Time

	mu       sync.Mutex
	counters map[string]*[reasonCount]tally.Counter
	unlogged [reasonCount]int
	loggedAt [reasonCount]time.Time
}

func newRefusals(log func(decisions.Line), metrics tally.Scope) *refusals {
	return &refusals{log: log, metrics: metrics, now: time.Now, counters: map[string]*[reasonCount]tally.Counter{}}
}

// add counts a refusal at an address. fields are added to its log line.
func (r *refusals) add(address string, why reason, fields ...any) {
	// The line is written without the lock, since the output may be slow.
	if l, due := r.count(address, why, fields); due {
		r.log(l)
	}
}

// count counts a refusal and returns the line to log, if one is due.
func (r *refusals) count(address string, why reason, fields []any) (l decisions.Line, due bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	byReason := r.counters[address]
	if byReason == nil {
		byReason = new([reasonCount]tally.Counter)
		r.counters[address] = byReason
	}
	if byReason[why] == nil {
		byReason[why] = r.metrics.Tagged(map[string]string{"address": address, "reason": reasonNames[why]}).Counter("intake_refused_total")
	}
	byReason[why].Inc(1)
	r.unlogged[why]++
	if !r.loggedAt[why].IsZero() && now.Sub(r.loggedAt[why]) < refusalLogInterval {
		return decisions.Line{}, false
	}
	l = line(why, append([]any{"address", address, "count", r.unlogged[why]}, fields...))
	r.unlogged[why], r.loggedAt[why] = 0, now
	return l, true
}

// line returns the log line for refusals.
func line(why reason, fields []any) decisions.Line {
	switch why {
	case noRoom:
		return decisions.Warn("connections refused: the bound is reached and all serve requests", fields...)
	case tooManyConnections:
		return decisions.Warn("connections closed to make room for new ones", fields...)
	case tooManyGreetings:
		return decisions.Warn("connections closed that had sent no hello message, to make room for new ones", fields...)
	case badGreeting:
		return decisions.Warn("connections rejected: no valid hello message", fields...)
	case tooManyBytes:
		return decisions.Warn("unfinished requests closed or refused: they hold too many bytes", fields...)
	case bodyTimedOut:
		return decisions.Warn("requests refused: their body did not arrive in time", fields...)
	}
	return decisions.Warn("requests refused: their body is too large", fields...)
}
