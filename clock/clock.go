// Package clock reads the monotonic clock of the host that also advances while
// the host is suspended.
//
// Input: none. Output: durations since the host booted. State: none.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host booted. It is monotonic and not
// affected by setting the time of day. Unlike the monotonic clock of package time,
// it advances while the host is suspended, because leases also expire during that
// time.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided this clock since 2.6.39. No deadline can be kept
		// without it.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
