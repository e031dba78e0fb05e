package directory

import (
	"context"
	"time"
)

// hedge describes how a call is repeated while earlier ones are unanswered. A store that
// was silent never answers the calls that it received meanwhile, and connections can go
// silent for good: a call that is repeated only after its timeout would be late by as
// much once the store is back.
type hedge struct {
	// delay is the time without an answer after which another call is made.
	delay time.Duration
	// timeout bounds each call.
	timeout time.Duration
	// limit is the largest number of unanswered calls.
	limit int
}

// newHedge returns a hedge that makes a call after each delay, however many earlier ones are
// unanswered: those that have not timed out by then are fewer than its limit. The call that
// times out at the same moment as another is made counts as unanswered.
func newHedge(delay, timeout time.Duration) hedge {
	return hedge{delay: delay, timeout: timeout, limit: int(timeout/delay) + 1}
}

// run makes a call, and further ones while it is unanswered. It returns the first result
// without an error, an error once no call is under way, or that of ctx. While calls only
// time out it goes on. Before each call beside unanswered ones it calls unanswered.
func run[T any](ctx context.Context, h hedge, call func(context.Context) (T, error), unanswered func()) (T, error) {
	type result struct {
		value T
		err   error
	}
	// Ends the calls that are still under way.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, h.limit)
	underWay := 0
	start := func() {
		underWay++
		go func() {
			ctx, cancel := context.WithTimeout(ctx, h.timeout)
			defer cancel()
			value, err := call(ctx)
			results <- result{value, err}
		}()
	}
	start()
	ticker := time.NewTicker(h.delay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		case r := <-results:
			if underWay--; r.err == nil || underWay == 0 {
				return r.value, r.err
			}
		case <-ticker.C:
			if underWay < h.limit {
				unanswered()
				start()
			}
		}
	}
}
