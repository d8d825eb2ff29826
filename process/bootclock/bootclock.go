// Package bootclock reads a clock that counts the time during which the machine was suspended, which the monotonic reading of time.Now
// does not. Whatever must not be believed for longer than a stated time is dated by it.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time. It never goes back and is comparable only with other results of Now
// in the same process.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; without it nothing that is dated can be trusted.
		panic("clock of the time since boot: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
