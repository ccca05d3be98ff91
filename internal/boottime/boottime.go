// Package boottime reads the boot-time clock, which keeps running while the machine
// is suspended.
//
// Go's monotonic clock stops during a suspend, so a lease that is timed by it would
// appear valid after a resume.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspends. It panics if the kernel has
// no boot-time clock, since no lease could be timed without it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
