// Package slots decides whether an accepted start runs now, is held for a short
// time, or is busy.
//
// Input: accepted starts and completions. Output: run now, held, busy, and the
// load for wire.Load. State: the slots in use and the hold queue. The package
// is pure and not safe for concurrent use; the core loop of the agent owns it.
package slots

import (
	"slices"

	"github.com/sesamelift/sesamelift/wire"
)

// Options sets the limits of an agent.
type Options struct {
	// Slots is the number of tasks that run at once.
	Slots int
	// LongSlots is how many of the slots long tasks may take; more than Slots
	// means Slots.
	LongSlots int
	// Hold is how many starts may wait for a slot.
	Hold int
}

// Decision is what happens to a start.
type Decision int

// Decisions.
const (
	// Run means that the start has taken a slot.
	Run Decision = iota + 1
	// Held means that the start waits in the hold queue for a slot.
	Held
	// Busy means that there is no room; nothing is kept of the start.
	Busy
)

type held[T comparable] struct {
	item  T
	class wire.Class
}

// Slots tracks starts of type T.
type Slots[T comparable] struct {
	options     Options
	running     int
	runningLong int
	// hold is ordered: short tasks first, each class by arrival.
	hold []held[T]
}

// New returns slots that are all free.
func New[T comparable](o Options) *Slots[T] {
	o.LongSlots = min(o.LongSlots, o.Slots)
	return &Slots[T]{options: o}
}

// Offer asks for a slot. A long task beyond the share of long tasks is busy
// rather than held: the slot that it needs frees only when another long task
// ends, and another agent may have room before that.
func (s *Slots[T]) Offer(item T, c wire.Class) Decision {
	switch {
	case s.fits(c):
		s.take(c)
		return Run
	case len(s.hold) >= s.options.Hold:
		return Busy
	case c == wire.ClassLong && s.runningLong >= s.options.LongSlots:
		return Busy
	}
	s.insert(held[T]{item, c})
	return Held
}

// Done frees the slot of a task that ended. The caller then calls Next until it
// returns false.
func (s *Slots[T]) Done(c wire.Class) {
	s.running--
	if c == wire.ClassLong {
		s.runningLong--
	}
}

// Next takes the first held start for which there is a slot now.
func (s *Slots[T]) Next() (T, bool) {
	for i, h := range s.hold {
		if s.fits(h.class) {
			s.hold = slices.Delete(s.hold, i, i+1)
			s.take(h.class)
			return h.item, true
		}
	}
	var none T
	return none, false
}

// Withdraw removes a held start and reports whether it was held.
func (s *Slots[T]) Withdraw(item T) bool {
	i := slices.IndexFunc(s.hold, func(h held[T]) bool { return h.item == item })
	if i < 0 {
		return false
	}
	s.hold = slices.Delete(s.hold, i, i+1)
	return true
}

// Clear empties the hold queue and returns what it held, in order.
func (s *Slots[T]) Clear() []T {
	items := make([]T, len(s.hold))
	for i, h := range s.hold {
		items[i] = h.item
	}
	s.hold = nil
	return items
}

// Free reports whether a short task would run at once.
func (s *Slots[T]) Free() bool { return s.fits(wire.ClassShort) }

// Idle reports whether nothing runs and nothing is held.
func (s *Slots[T]) Idle() bool { return s.running == 0 && len(s.hold) == 0 }

// Load returns the counts of slots for messages to entries.
func (s *Slots[T]) Load() wire.Load {
	return wire.Load{
		Slots: uint16(s.options.Slots), Running: uint16(s.running),
		RunningLong: uint16(s.runningLong), Held: uint16(len(s.hold)),
	}
}

func (s *Slots[T]) fits(c wire.Class) bool {
	return s.running < s.options.Slots && (c != wire.ClassLong || s.runningLong < s.options.LongSlots)
}

func (s *Slots[T]) take(c wire.Class) {
	s.running++
	if c == wire.ClassLong {
		s.runningLong++
	}
}

func (s *Slots[T]) insert(h held[T]) {
	at := len(s.hold)
	if h.class == wire.ClassShort {
		if i := slices.IndexFunc(s.hold, func(o held[T]) bool { return o.class == wire.ClassLong }); i >= 0 {
			at = i
		}
	}
	s.hold = slices.Insert(s.hold, at, h)
}
