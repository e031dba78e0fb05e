package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against new keys that are refused as keys from the future after the
// host was suspended, because the monotonic clock stops meanwhile, and against
// a clock that goes backwards with the wall clock.
func TestClock(t *testing.T) {
	base := time.Now()
	c := clock{base: base}
	wall := base.Round(0)
	for _, r := range []struct{ elapsed, wall, want time.Duration }{
		{time.Minute, time.Minute, time.Minute},
		{2 * time.Minute, time.Hour, time.Hour},               // suspended for 58 min
		{3 * time.Minute, 2 * time.Minute, 61 * time.Minute},  // the wall clock is set back
		{4 * time.Minute, 62 * time.Minute, 62 * time.Minute}, // the wall clock is correct again
	} {
		qt.Check(t, c.timeAt(r.elapsed, wall.Add(r.wall)).Sub(base), qt.Equals, r.want)
	}
}
