package cancellation

import (
	"slices"
	"time"
)

const (
	// maxRetention limits how long a cancelled job is remembered, whatever its deadline.
	maxRetention = 5 * time.Minute
	// maxRecent limits the remembered jobs. The one that was cancelled first is forgotten.
	maxRecent = 32768
)

// Recent are the jobs that callers have cancelled lately, here or at another entry, and of
// which requests may still arrive.
type Recent struct {
	until map[string]time.Duration
	order []string
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{until: map[string]time.Duration{}} }

// Add records that a job has been cancelled, and that requests of it may arrive during the
// given time.
func (r *Recent) Add(now time.Duration, job string, retention time.Duration) {
	if _, ok := r.until[job]; !ok {
		r.order = append(r.order, job)
	}
	r.until[job] = max(r.until[job], now+min(retention, maxRetention))
	for len(r.order) > 0 && (len(r.order) > maxRecent || r.until[r.order[0]] <= now) {
		delete(r.until, r.order[0])
		r.order = r.order[1:]
	}
}

// List returns up to n jobs that have been cancelled lately, the last one first, with the time that
// is left.
func (r *Recent) List(now time.Duration, n int) []Request {
	var list []Request
	for _, job := range slices.Backward(r.order) {
		if len(list) == n {
			break
		}
		if until := r.until[job]; now < until {
			list = append(list, Request{job, until - now})
		}
	}
	return list
}

// Contains reports whether a job has been cancelled lately.
func (r *Recent) Contains(now time.Duration, job string) bool { return now < r.until[job] }
