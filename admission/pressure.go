package admission

import (
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// maxStandingRunTimes is the maximum length of the queue ahead of a new job
	// during an overload, in mean run times, which equals the number of waiting tasks
	// per expected slot. A queue of this length keeps the slots busy until the next
	// job arrives and drains soon after the overload.
	maxStandingRunTimes = 1.5
	// overloadTimeDivisor determines when a service counts as overloaded: once its
	// queue has been above maxStandingRunTimes without interruption for
	// 1/overloadTimeDivisor of the time left until the deadline of a new job. A burst
	// of large jobs at normal load drains before that.
	overloadTimeDivisor = 4
	// recoveryTime is how long every new job must find the queue at or below
	// maxStandingRunTimes for the overload to end. It must span several jobs, since
	// some are large: an entry of a small deployment at twice its capacity gets a
	// job every 40 ms.
	recoveryTime = 300 * time.Millisecond
	// idleResetTime is the time after which an overload also ends if no new job has
	// found the queue above maxStandingRunTimes.
	idleResetTime = time.Second
)

// overloadDetector distinguishes a standing queue from a burst that drains.
type overloadDetector struct {
	// aboveSince is the time since which every new job has found the queue above
	// maxStandingRunTimes; zero if the last one did not.
	aboveSince time.Time
	// lastAbove is when a job last found the queue above maxStandingRunTimes.
	lastAbove time.Time
	// belowSince is when a job first found the queue at or below maxStandingRunTimes
	// after lastAbove; zero if none has.
	belowSince time.Time
	overloaded bool
}

// checkOverload refuses jobs while the service is overloaded and its queue is
// above maxStandingRunTimes. A longer queue would serve no job sooner and would
// delay all later ones.
func (s *State) checkOverload(now time.Time, r Request, supply Supply) *api.Verdict {
	d := s.overload[r.Service]
	if d == nil {
		d = &overloadDetector{}
		s.overload[r.Service] = d
	}
	queueRunTimes := float64(supply.Waiting) / float64(s.expectedSlots(supply))
	if !d.update(now, queueRunTimes > maxStandingRunTimes, r.TimeLeft) {
		return nil
	}
	wait := time.Duration(queueRunTimes * float64(supply.RunTime))
	return refuseOverload(wait, fmt.Sprintf("the service is overloaded, the expected wait is %v", wait.Round(time.Millisecond)))
}

// update records whether a new job found the queue above maxStandingRunTimes and
// reports whether to refuse that job.
func (d *overloadDetector) update(now time.Time, above bool, timeLeft time.Duration) bool {
	if now.Sub(d.lastAbove) > idleResetTime {
		d.overloaded, d.aboveSince = false, time.Time{}
	}
	if !above {
		if d.belowSince.IsZero() {
			d.belowSince = now
		}
		if now.Sub(d.belowSince) >= recoveryTime {
			d.overloaded = false
		}
		d.aboveSince = time.Time{}
		return false
	}
	d.lastAbove, d.belowSince = now, time.Time{}
	if d.aboveSince.IsZero() {
		d.aboveSince = now
	}
	if now.Sub(d.aboveSince) >= timeLeft/overloadTimeDivisor {
		d.overloaded = true
	}
	return d.overloaded
}
