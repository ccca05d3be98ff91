package gateway

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// peerPoll is the interval at which a connection with a long request is checked.
const peerPoll = 250 * time.Millisecond

// watchPeer replaces the kernel's limit of unacknowledged bytes while a long request is sent:
// it ends the exchange when the target acknowledges nothing for as long, but not when the
// target answers that it has no room. stop ends it and restores the limit.
func watchPeer(nc net.Conn) (stop func(), err error) {
	if err := control(nc, func(fd int) error { return platform.SetUnackedTimeout(fd, false) }); err != nil {
		return nil, err
	}
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(peerPoll)
		defer tick.Stop()
		silentSince := time.Duration(0)
		for {
			select {
			case <-end:
				return
			case <-tick.C:
			}
			now := boottime.Now()
			switch {
			case !awaitsAcknowledgement(nc):
				silentSince = 0
			case silentSince == 0:
				silentSince = now
			case now-silentSince >= platform.UnackedTimeout:
				_ = nc.SetDeadline(time.Now()) // ends the exchange with a timeout
				return
			}
		}
	}()
	return func() {
		close(end)
		<-ended
		if control(nc, func(fd int) error { return platform.SetUnackedTimeout(fd, true) }) != nil {
			_ = nc.Close() // it would not notice a silent target
		}
	}, nil
}

// awaitsAcknowledgement reports whether the kernel has repeated a segment, or a question for
// room, that the peer has not acknowledged.
func awaitsAcknowledgement(nc net.Conn) (waits bool) {
	_ = control(nc, func(fd int) error { // a connection that ended waits for nothing
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		waits = err == nil && (info.Retransmits > 0 || info.Probes > 0)
		return err
	})
	return waits
}
