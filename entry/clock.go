package entry

import (
	"sync/atomic"
	"time"
)

// maxWallClockLead is how far the wall clock may be ahead of the clock before
// the clock is advanced to it.
const maxWallClockLead = time.Second

// clock returns times that never go backwards. Expired keys are deleted and
// refused by the same clock, so that a deleted key is not accepted again. The
// clock adds the elapsed monotonic time to one reading of the wall clock. Since
// the monotonic clock stops while a host is suspended, the clock is advanced when
// the wall clock is ahead. It is safe for concurrent use.
type clock struct {
	base       time.Time
	correction atomic.Int64
}

func (c *clock) now() time.Time {
	t := time.Now()
	return c.timeAt(t.Sub(c.base), t.Round(0))
}

// timeAt returns the time for the monotonic time elapsed since base and a
// reading of the wall clock.
func (c *clock) timeAt(elapsed time.Duration, wall time.Time) time.Time {
	for {
		correction := c.correction.Load()
		n := c.base.Add(elapsed + time.Duration(correction))
		lead := wall.Sub(n.Round(0))
		if lead <= maxWallClockLead {
			return n
		}
		c.correction.CompareAndSwap(correction, correction+int64(lead))
	}
}
