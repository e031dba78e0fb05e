package entry

import (
	"sync/atomic"
	"time"
)

// clockJump is how far the wall clock may be ahead before the clock follows it.
const clockJump = time.Second

// clock gives times that never step back, so that keys are discarded and refused
// by the same clock. It follows the monotonic clock from one reading of the wall
// clock. The monotonic clock stands still while a host is suspended, so the
// clock catches up when the wall clock is ahead. Safe for concurrent use.
type clock struct {
	base  time.Time
	ahead atomic.Int64
}

func (c *clock) now() time.Time {
	t := time.Now()
	return c.at(t.Sub(c.base), t.Round(0))
}

// at takes the time since base by the monotonic clock, and the wall clock.
func (c *clock) at(elapsed time.Duration, wall time.Time) time.Time {
	for {
		ahead := c.ahead.Load()
		n := c.base.Add(elapsed + time.Duration(ahead))
		jump := wall.Sub(n.Round(0))
		if jump <= clockJump {
			return n
		}
		c.ahead.CompareAndSwap(ahead, ahead+int64(jump))
	}
}
