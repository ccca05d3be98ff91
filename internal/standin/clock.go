package standin

import (
	"time"

	"golang.org/x/sys/unix"
)

// MonoNow returns the boot-time clock. All processes of a machine share it, so
// records of different processes can be compared.
func MonoNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
