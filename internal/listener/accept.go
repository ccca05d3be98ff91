package listener

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// Pauses after an Accept that failed for a reason which passes. They double.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// passingErrors are the errors of accept(2) that do not concern the listening socket: the
// process or the system is short of something, or the connection ended before.
var passingErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM, syscall.EPROTO,
	syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// Passes reports whether an error of Accept has a cause that passes, so that the listener
// can still be used.
func Passes(err error) bool {
	return slices.ContainsFunc(passingErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// OnAcceptError sets the function that receives each error of Accept that passes, and the
// pause before the next attempt. It must be called before the first Accept.
func (l *Listener) OnAcceptError(f func(err error, pause time.Duration)) { l.onAcceptError = f }

// waitAfter waits after an error that passes and returns the next pause.
func (l *Listener) waitAfter(err error, pause time.Duration) time.Duration {
	pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
	if l.onAcceptError != nil {
		l.onAcceptError(err, pause)
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.closed:
	}
	return pause
}
