package cancellation

import (
	"slices"
	"time"
)

const (
	// recentRetention is how long a cancelled job is remembered: callers repeat a request
	// without an answer within a few seconds.
	recentRetention = 10 * time.Second
	// maxRecent limits the remembered jobs.
	maxRecent = 4096
)

// Recent are the jobs that an entry has cancelled for their callers lately. A caller whose
// request broke off after that asks again, here or at another entry.
type Recent struct {
	at    map[string]time.Duration
	order []string
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{at: map[string]time.Duration{}} }

// Add records that a job has been cancelled.
func (r *Recent) Add(now time.Duration, job string) {
	if _, ok := r.at[job]; !ok {
		r.order = append(r.order, job)
	}
	r.at[job] = now
	if len(r.order) > maxRecent {
		delete(r.at, r.order[0])
		r.order = r.order[1:]
	}
}

// Contains reports whether a job has been cancelled lately.
func (r *Recent) Contains(now time.Duration, job string) bool {
	at, ok := r.at[job]
	return ok && now-at < recentRetention
}

// Remove forgets a job that has been submitted again: that it was cancelled says nothing
// about how it ends now.
func (r *Recent) Remove(job string) {
	if _, ok := r.at[job]; !ok {
		return
	}
	delete(r.at, job)
	r.order = slices.DeleteFunc(r.order, func(o string) bool { return o == job })
}
