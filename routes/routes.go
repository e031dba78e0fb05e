// Package routes holds the configuration that an entry reads from the platform:
// which requests belong to which queue, and the priority, deadlines and attempts
// of a queue's jobs. Only entries on the users' platform use it; others use package
// config.
//
// Input: versions of the configuration. Output: the queue of a request. State:
// the newest version, which is never replaced by an older one. Safe for
// concurrent use.
package routes

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Queue is a route of the configuration and the queue of the jobs that match it.
// They run on the workers of its service.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority orders queues; 0 is the highest priority.
	Priority int
	// MaxAttempts is the number of failures of one task after which its job fails.
	MaxAttempts int
	// LatencyFactor and LatencyAllowance define when a job is on time: within
	// LatencyFactor times the declared run time of its longest chain of dependent
	// steps, plus LatencyAllowance.
	LatencyFactor    float64
	LatencyAllowance time.Duration
	// Timeout bounds a job whose caller gives no deadline.
	Timeout time.Duration
	// RecommendedWorkersOnly says that only workers that an external service
	// recommends may be used. Such jobs aren't supported yet.
	RecommendedWorkersOnly bool
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Queues  []Queue
	// MaxBodyBytes bounds a request; 0 means the default.
	MaxBodyBytes int64
}

// Holder keeps the newest version. The zero value has none.
type Holder struct {
	current atomic.Pointer[routingTable]
	// first is closed when the first version is adopted.
	first     chan struct{}
	firstInit sync.Once
}

// Available returns a channel that is closed once there is a version.
func (h *Holder) Available() <-chan struct{} {
	h.firstInit.Do(func() { h.first = make(chan struct{}) })
	return h.first
}

type routingTable struct {
	config       *Config
	queuesByHost map[string][]*Queue
}

// Adopt puts c into effect if it is newer than the version in effect. It reports
// whether it did.
func (h *Holder) Adopt(c *Config) bool {
	t := newRoutingTable(c)
	for {
		old := h.current.Load()
		if old != nil && c.Version <= old.config.Version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			if old == nil {
				_ = h.Available()
				close(h.first)
			}
			return true
		}
	}
}

// Current returns the version in effect, nil before the first.
func (h *Holder) Current() *Config {
	if t := h.current.Load(); t != nil {
		return t.config
	}
	return nil
}

// LongestTimeout returns the longest time that callers of a queue wait, unless they give a
// deadline of their own; 0 without a version.
func (h *Holder) LongestTimeout() (longest time.Duration) {
	if c := h.Current(); c != nil {
		for i := range c.Queues {
			longest = max(longest, c.Queues[i].Timeout)
		}
	}
	return longest
}

// Match returns the queue of the host with the longest prefix that path begins
// with, and the rest of the path after the prefix.
func (h *Holder) Match(host, path string) (*Queue, string, bool) {
	t := h.current.Load()
	if t == nil {
		return nil, "", false
	}
	for _, q := range t.queuesByHost[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// newRoutingTable groups the queues by host, the longest prefix first.
func newRoutingTable(c *Config) *routingTable {
	t := &routingTable{config: c, queuesByHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		t.queuesByHost[q.Host] = append(t.queuesByHost[q.Host], q)
	}
	for _, list := range t.queuesByHost {
		sort.SliceStable(list, func(i, k int) bool { return len(list[i].PathPrefix) > len(list[k].PathPrefix) })
	}
	return t
}
