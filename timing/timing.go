// Package timing derives the timeouts between processes from the platform's
// bounds, such that the runs of a job have ended before its caller submits it
// again.
//
// Input: bounds. Output: timings, or an error when no timings guarantee this.
// State: none.
package timing

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

// Bounds are the limits that the platform guarantees.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants. The worker stops
	// its runs when the lease expires without a renewal.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a run.
	MaxStopTime time.Duration
	// ResendAfter is how long after its connection breaks a caller submits its job
	// again.
	ResendAfter time.Duration
	// Contact is how long after the store answers again a process may take to have its
	// changes; 0 means DefaultContact.
	Contact time.Duration
	// Cancel is the time in which a cancelled job must have been ended wherever it runs; 0
	// means DefaultCancel.
	Cancel time.Duration
}

// Timings are the intervals and timeouts that entries and agents use.
type Timings struct {
	// Lease is the duration of the leases that agents request.
	Lease time.Duration
	// PingInterval is the interval at which an entry pings an agent that runs its
	// tasks.
	PingInterval time.Duration
	// SilenceTimeout is how long an entry and an agent wait for a message from each
	// other before they consider the other lost.
	SilenceTimeout time.Duration
	// ReconnectGrace is how long an agent keeps the runs of a lost connection, so
	// that the entry can reconnect.
	ReconnectGrace time.Duration
	// RestartDelay is how long after losing the connection to an agent an entry waits
	// before it starts the agent's tasks elsewhere.
	RestartDelay time.Duration
	// MaxSuspension is how long an entry may be suspended before it must assume
	// that its callers have submitted their jobs elsewhere.
	MaxSuspension time.Duration
	// StoreAttemptInterval is the longest time between two attempts to read the changes of
	// the store, however many earlier ones are unanswered.
	StoreAttemptInterval time.Duration
	// CancelTimeout is how long after a request to cancel a job an entry has asked the other
	// entries about it. With bounds of some seconds, agents have stopped the runs of an entry
	// that hasn't answered by then, unless only its connection to this one is lost.
	CancelTimeout time.Duration
	// LateArrival is how long after the deadline of a job a request of it may arrive again.
	LateArrival time.Duration
}

// maxCopyDelay is how late a copy of a request may be, beyond the time after which callers
// submit their jobs again. The platform speaks of seconds.
const maxCopyDelay = 10 * time.Second

// DefaultContact is the value of Bounds.Contact where the settings name none.
const DefaultContact = 3 * time.Second

// DefaultCancel is the value of Bounds.Cancel where the settings name none.
const DefaultCancel = 3 * time.Second

const (
	// contactReserve is the part of Bounds.Contact that is left for the connection, the reply
	// and its use, on a host with a tenth of a core; half of the bound where that is less.
	contactReserve = time.Second
	// maxStoreAttemptInterval is below the 2 s in which a configuration must take effect
	// although a connection goes silent. minStoreAttemptInterval bounds the load on the store.
	maxStoreAttemptInterval = 1700 * time.Millisecond
	minStoreAttemptInterval = 200 * time.Millisecond
	// clockDrift is the largest share by which a worker's clock may run slow.
	clockDrift = 0.02
	// maxSchedulingDelay is the time allowed for a timer that fires late and for
	// waiting for a CPU. It is counted once for each process that has to act in
	// turn.
	maxSchedulingDelay = 60 * time.Millisecond
	// Upper limits of the timings. With lower limits, the ordinary pauses of a busy
	// host would be mistaken for the loss of a process.
	maxLease          = 800 * time.Millisecond
	maxSilenceTimeout = 500 * time.Millisecond
	maxReconnectGrace = 250 * time.Millisecond
	// minTimeout is the shortest silence timeout and the shortest lease that are
	// usable on a host with a tenth of a core.
	minTimeout = 150 * time.Millisecond
)

// Derive returns the timings for b.
//
// When an entry is lost, its agents stop its runs at the latest after
//
//	SilenceTimeout + maxSchedulingDelay + MaxStopTime + maxSchedulingDelay
//
// and when an agent is lost as well, the lease ends the runs of its worker after
//
//	Lease * (1 + clockDrift) + MaxStopTime + maxSchedulingDelay
//
// the first counted from the last message received, the second from the date of the last
// message: when the entry sent it, not when the agent handled it. Neither may exceed
// ResendAfter.
func Derive(b Bounds) (Timings, error) {
	// budget is the part of ResendAfter that is left for detecting a loss. It allows
	// for two scheduling delays in both cases.
	budget := b.ResendAfter - b.MaxStopTime - 2*maxSchedulingDelay
	t := Timings{
		Lease:          min(b.MaxLease, maxLease, time.Duration(float64(budget)/(1+clockDrift))),
		SilenceTimeout: min(maxSilenceTimeout, budget),
	}
	if t.SilenceTimeout < minTimeout || t.Lease < minTimeout {
		return Timings{}, errors.Errorf(
			"no safe timings for the platform bounds: max lease %v, stop time %v, resend after %v", b.MaxLease, b.MaxStopTime, b.ResendAfter)
	}
	t.PingInterval = t.SilenceTimeout / 4
	t.ReconnectGrace = min(maxReconnectGrace, t.SilenceTimeout/2)
	t.RestartDelay = max(time.Duration(float64(t.Lease)*(1+clockDrift)), t.SilenceTimeout) + b.MaxStopTime + 2*maxSchedulingDelay
	// A quarter is left for the answer to the caller, on a host with a tenth of a core.
	t.CancelTimeout = cmp.Or(b.Cancel, DefaultCancel) * 3 / 4
	t.LateArrival = b.ResendAfter + maxCopyDelay
	contact := cmp.Or(b.Contact, DefaultContact)
	t.StoreAttemptInterval = max(min(max(contact-contactReserve, contact/2), maxStoreAttemptInterval), minStoreAttemptInterval)
	t.MaxSuspension = max(t.SilenceTimeout, budget-4*maxSchedulingDelay)
	return t, nil
}
