package gateway

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// smallReceiveBuffer is a net.Dialer.Control that sets a receive buffer of slowBufferBytes.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowBufferBytes)
	}); err != nil {
		return err
	}
	return failed
}

// eventually reports whether a condition holds within the limit.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
