// Package cputime reads the processor time that this process has used.
package cputime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Process returns the processor time of all threads of this process, user and system. It
// panics if the kernel does not tell it.
func Process() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		panic("CLOCK_PROCESS_CPUTIME_ID is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
