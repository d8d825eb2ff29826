// Package bootclock reads a monotonic clock that includes the time during which the machine was suspended, which the monotonic reading of
// time.Now does not. Use it to timestamp information that is valid only for a limited time.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. It never decreases. Results are comparable only with other results of Now in the same
// process.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it no expiry check is reliable.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
