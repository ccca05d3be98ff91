// Package boottime reads the boot-time clock, which goes on in a suspend.
//
// Go's monotonic clock stops while a machine is suspended, so a lease that is
// judged by it would appear valid after a resume.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspends. It panics when the
// kernel has no such clock, since no lease could be judged without it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
