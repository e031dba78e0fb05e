// Package slots decides whether a start, which is a request to run a task, runs now,
// waits in a short hold queue, or is answered as busy. Starts that the agent refuses
// on arrival do not reach this package.
//
// Input: starts and ends of tasks. Output: a Decision for each start, and the
// slot counts of wire.Load. State: the slots in use and the hold queue. The
// package is pure: it does no I/O and needs no time. A Slots is not safe for
// concurrent use; the event loop of the agent owns it.
package slots

import (
	"slices"

	"github.com/sesamelift/sesamelift/wire"
)

// Options sets the limits of an agent.
type Options struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int
	// LongSlots is the maximum number of long tasks that run at once; values above
	// Slots count as Slots.
	LongSlots int
	// MaxHeld is the capacity of the hold queue, in starts.
	MaxHeld int
}

// Decision is the outcome of Acquire.
type Decision int

const (
	// Run means that the start has taken a slot.
	Run Decision = iota + 1
	// Held means that the start waits in the hold queue for a slot.
	Held
	// Busy means that the start can neither run nor be held. No state is kept for it.
	Busy
)

type heldStart[T comparable] struct {
	item  T
	class wire.Class
}

// Slots counts the running tasks and keeps the held starts, which are identified by
// values of type T.
type Slots[T comparable] struct {
	options     Options
	running     int
	runningLong int
	// holdQueue has short tasks before long ones, in order of arrival within a class.
	holdQueue []heldStart[T]
}

// New returns a Slots with all slots free.
func New[T comparable](o Options) *Slots[T] {
	o.LongSlots = min(o.LongSlots, o.Slots)
	return &Slots[T]{options: o}
}

// Acquire requests a slot for a start. A long task that exceeds LongSlots gets Busy
// rather than Held: it could start only after another long task ends, and another
// agent may have a free slot before that.
func (s *Slots[T]) Acquire(item T, c wire.Class) Decision {
	switch {
	case s.fits(c):
		s.occupy(c)
		return Run
	case len(s.holdQueue) >= s.options.MaxHeld:
		return Busy
	case c == wire.ClassLong && s.runningLong >= s.options.LongSlots:
		return Busy
	}
	s.insert(heldStart[T]{item, c})
	return Held
}

// Release frees the slot of a task that has ended. The caller then calls
// AcquireHeld until it returns false.
func (s *Slots[T]) Release(c wire.Class) {
	s.running--
	if c == wire.ClassLong {
		s.runningLong--
	}
}

// AcquireHeld removes the first held start that fits from the hold queue, gives it
// a slot and returns it. It returns false if no held start fits.
func (s *Slots[T]) AcquireHeld() (T, bool) {
	for i, h := range s.holdQueue {
		if s.fits(h.class) {
			s.holdQueue = slices.Delete(s.holdQueue, i, i+1)
			s.occupy(h.class)
			return h.item, true
		}
	}
	var none T
	return none, false
}

// RemoveHeld removes a start from the hold queue and reports whether it was there.
func (s *Slots[T]) RemoveHeld(item T) bool {
	i := slices.IndexFunc(s.holdQueue, func(h heldStart[T]) bool { return h.item == item })
	if i < 0 {
		return false
	}
	s.holdQueue = slices.Delete(s.holdQueue, i, i+1)
	return true
}

// RemoveAllHeld empties the hold queue and returns the removed starts in queue
// order.
func (s *Slots[T]) RemoveAllHeld() []T {
	items := make([]T, len(s.holdQueue))
	for i, h := range s.holdQueue {
		items[i] = h.item
	}
	s.holdQueue = nil
	return items
}

// HasFreeSlot reports whether a slot is free for a short task.
func (s *Slots[T]) HasFreeSlot() bool { return s.fits(wire.ClassShort) }

// Idle reports whether no task runs and the hold queue is empty.
func (s *Slots[T]) Idle() bool { return s.running == 0 && len(s.holdQueue) == 0 }

// Load returns the slot counts that the agent reports to entries.
func (s *Slots[T]) Load() wire.Load {
	return wire.Load{
		Slots: uint16(s.options.Slots), Running: uint16(s.running),
		RunningLong: uint16(s.runningLong), Held: uint16(len(s.holdQueue)),
	}
}

// fits reports whether a task of the class can run now without exceeding Slots or
// LongSlots.
func (s *Slots[T]) fits(c wire.Class) bool {
	return s.running < s.options.Slots && (c != wire.ClassLong || s.runningLong < s.options.LongSlots)
}

func (s *Slots[T]) occupy(c wire.Class) {
	s.running++
	if c == wire.ClassLong {
		s.runningLong++
	}
}

// insert adds a start to the hold queue, after the held starts of its class.
func (s *Slots[T]) insert(h heldStart[T]) {
	at := len(s.holdQueue)
	if h.class == wire.ClassShort {
		if i := slices.IndexFunc(s.holdQueue, func(o heldStart[T]) bool { return o.class == wire.ClassLong }); i >= 0 {
			at = i
		}
	}
	s.holdQueue = slices.Insert(s.holdQueue, at, h)
}
