// Package clock reads the time that passes on a host, including the time for
// which the host is suspended.
//
// Input: none. Output: durations since the host started. State: none.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started. It never steps back, it isn't
// changed when the time of day is set, and unlike the clock of package time it
// goes on while the host is suspended: leases of work run out in that time too.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; without it no deadline holds.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
