// Package routes holds the configuration of an entry on a platform that keeps
// it: which requests belong to which queue, and what a queue's jobs are due.
//
// Input: versions of the configuration. Output: the queue of a request. State:
// the newest version, which never goes back. Safe for concurrent use.
package routes

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

// Queue is a route: jobs that match it run on the workers of its service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch and Allowance say when a job is on time: Stretch times its longest
	// chain of work, and Allowance.
	Stretch   float64
	Allowance time.Duration
	// Timeout bounds a job whose caller names no deadline.
	Timeout time.Duration
	// Advised says that only workers may be used that an external service
	// recommends. Such jobs aren't served yet.
	Advised bool
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Queues  []Queue
	// MaxBodyBytes bounds a request; 0 means the default.
	MaxBodyBytes int64
}

// Holder keeps the newest version.
type Holder struct {
	current atomic.Pointer[table]
}

type table struct {
	config *Config
	hosts  map[string][]*Queue
}

// Adopt puts c in force if it is newer than the version in force.
func (h *Holder) Adopt(c *Config) bool {
	t := index(c)
	for {
		old := h.current.Load()
		if old != nil && c.Version <= old.config.Version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Current returns the version in force, nil before the first.
func (h *Holder) Current() *Config {
	if t := h.current.Load(); t != nil {
		return t.config
	}
	return nil
}

// Match returns the queue whose host is that of the request and whose prefix is
// the longest that the path begins with, and the rest of the path.
func (h *Holder) Match(host, path string) (*Queue, string, bool) {
	t := h.current.Load()
	if t == nil {
		return nil, "", false
	}
	for _, q := range t.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return nil, "", false
}

// index groups the queues by host, longest prefix first.
func index(c *Config) *table {
	t := &table{config: c, hosts: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		t.hosts[q.Host] = append(t.hosts[q.Host], q)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, k int) bool { return len(list[i].Prefix) > len(list[k].Prefix) })
	}
	return t
}
