package admission

import (
	"fmt"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// standingWait is how many run times of waiting work may stand in front of a
	// new job during an overload. It keeps the slots busy until the next job
	// comes and drains soon after the overload.
	standingWait = 1.5
	// pressureShare is the part of a job's time left for which the queue must
	// stand above standingWait without a break before it counts as overload. A
	// burst of large jobs at normal load drains before that.
	pressureShare = 4
	// calmTime is how long all new jobs must find the queue below standingWait
	// for the end of the overload. At twice the capacity, an entry of the small
	// deployment gets a job every 40 ms and some are large.
	calmTime = 300 * time.Millisecond
	// quietTime without a job above standingWait ends the overload, too.
	quietTime = time.Second
)

// pressure tells a queue that stands from a burst that drains.
type pressure struct {
	// since is the start of an unbroken time above standingWait; zero if below.
	since time.Time
	// high is the last time above it.
	high time.Time
	// low is the first time below it after high; zero if none.
	low        time.Time
	overloaded bool
}

// checkPressure refuses jobs while a standing queue is longer than it has to be.
// A longer queue serves nobody sooner, and all later jobs would wait behind it.
func (s *State) checkPressure(now time.Time, r Request, p Supply) *api.Verdict {
	q := s.pressure[r.Service]
	if q == nil {
		q = &pressure{}
		s.pressure[r.Service] = q
	}
	runs := float64(p.Waiting) / float64(s.slots(p))
	if !q.update(now, runs > standingWait, r.TimeLeft) {
		return nil
	}
	wait := time.Duration(runs * float64(p.RunTime))
	return overload(wait, fmt.Sprintf("the service is overloaded, the expected wait is %v", wait.Round(time.Millisecond)))
}

// update takes whether the queue is above standingWait and reports whether the
// job is to be refused.
func (q *pressure) update(now time.Time, above bool, timeLeft time.Duration) bool {
	if now.Sub(q.high) > quietTime {
		q.overloaded, q.since = false, time.Time{}
	}
	if !above {
		if q.low.IsZero() {
			q.low = now
		}
		if now.Sub(q.low) >= calmTime {
			q.overloaded = false
		}
		q.since = time.Time{}
		return false
	}
	q.high, q.low = now, time.Time{}
	if q.since.IsZero() {
		q.since = now
	}
	if now.Sub(q.since) >= timeLeft/pressureShare {
		q.overloaded = true
	}
	return q.overloaded
}
