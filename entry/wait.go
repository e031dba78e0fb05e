package entry

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/trace"
)

const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// backoff gives the randomized, doubling delays between the attempts of a
// request.
type backoff struct{ next time.Duration }

func newBackoff() *backoff { return &backoff{firstBackoff} }

// sleep waits for the next attempt. It returns false when ctx ends or the
// attempt would come later than left from now.
func (b *backoff) sleep(ctx context.Context, left time.Duration) bool {
	d := b.next/2 + rand.N(b.next)
	b.next = min(2*b.next, maxBackoff)
	return d < left && sleepFor(ctx, d)
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// randomSpanContext returns a span context that is not sampled.
func randomSpanContext() trace.SpanContext {
	var b [24]byte
	_, _ = crand.Read(b[:])
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID(b[:16]), SpanID: trace.SpanID(b[16:])})
}
