// Package timing derives, from the platform's bounds, how long processes wait
// for one another, so that a job that its caller sends again never meets a run
// of its earlier submission.
//
// Input: bounds. Output: timings, or an error when no timings keep the promise.
// State: none.
package timing

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds are what the platform promises.
type Bounds struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// ResendAfter is how long after a broken connection a caller submits its job
	// again.
	ResendAfter time.Duration
}

// Timings are what entries and agents go by.
type Timings struct {
	// Lease is the length of the leases that agents ask for.
	Lease time.Duration
	// Ping is how often an entry shows an agent with its tasks that it lives.
	Ping time.Duration
	// Silence is how long entry and agent wait for a sign of the other.
	Silence time.Duration
	// Grace is how long an agent keeps the runs of a broken connection.
	Grace time.Duration
	// LossWait is how long after a lost connection an entry waits before it
	// starts the tasks of that agent elsewhere.
	LossWait time.Duration
	// Stale is the age from which an entry that was suspended has to expect that
	// its callers have submitted their jobs elsewhere.
	Stale time.Duration
}

const (
	// clockDrift is by how much a worker's clock may be slow.
	clockDrift = 0.02
	// reaction covers timers that fire late and a process that waits for its
	// processor, in each step of a chain.
	reaction = 60 * time.Millisecond
	// Upper limits: shorter times would take pauses of a busy host for a loss.
	maxLease   = 800 * time.Millisecond
	maxSilence = 500 * time.Millisecond
	maxGrace   = 250 * time.Millisecond
	// minSilence is what a host with a tenth of a core needs.
	minSilence = 150 * time.Millisecond
)

// Derive returns the timings for b.
//
// When an entry is lost, its agents stop its runs at the latest after
//
//	Silence + reaction + StopTime + reaction
//
// and when an agent is lost as well, the lease ends its runs after
//
//	Lease * (1 + drift) + StopTime + reaction
//
// both counted from the last sign of life. Both must be below ResendAfter.
func Derive(b Bounds) (Timings, error) {
	budget := b.ResendAfter - b.StopTime - 2*reaction
	t := Timings{
		Lease:   min(b.MaxLease, maxLease, time.Duration(float64(budget)/(1+clockDrift))),
		Silence: min(maxSilence, budget),
	}
	if t.Silence < minSilence || t.Lease < minSilence {
		return Timings{}, errors.Errorf(
			"no timings keep a resent job from its earlier run: leases of at most %v, %v to stop, resent after %v", b.MaxLease, b.StopTime, b.ResendAfter)
	}
	t.Ping = t.Silence / 4
	t.Grace = min(maxGrace, t.Silence/2)
	t.LossWait = max(time.Duration(float64(t.Lease)*(1+clockDrift)), t.Silence) + b.StopTime + 2*reaction
	t.Stale = max(t.Silence, budget-4*reaction)
	return t, nil
}
