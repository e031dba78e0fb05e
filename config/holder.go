package config

import "sync"

// Holder keeps the version in effect, which only increases. The zero value is
// ready to use and holds no version. Safe for concurrent use.
type Holder struct {
	mu          sync.Mutex
	current     *Config
	subscribers map[chan *Config]struct{}
}

// Current returns the version in effect, or nil before the first. The caller
// must not change it.
func (h *Holder) Current() *Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Version returns the number of the version in effect, 0 before the first.
func (h *Holder) Version() uint64 {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Adopt puts c into effect if it is newer than the version in effect, and reports
// whether it did. It ignores nil and version 0.
func (h *Holder) Adopt(c *Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c == nil || c.Version == 0 || h.current != nil && c.Version <= h.current.Version {
		return false
	}
	h.current = c
	for s := range h.subscribers {
		deliver(s, c)
	}
	return true
}

// Subscribe returns a channel that receives the version in effect, if there is
// one, and each later one. A slow reader may miss versions in between but never
// the newest. The channel is never closed; cancel ends the subscription.
func (h *Holder) Subscribe() (versions <-chan *Config, cancel func()) {
	s := make(chan *Config, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subscribers == nil {
		h.subscribers = map[chan *Config]struct{}{}
	}
	h.subscribers[s] = struct{}{}
	if h.current != nil {
		s <- h.current
	}
	return s, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, s)
	}
}

// deliver replaces a version that has not been read yet. Holder.mu must be held:
// with only one sender the buffer is empty after the receive, so the send does
// not block.
func deliver(subscriber chan *Config, c *Config) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- c
}
