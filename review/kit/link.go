//go:build review

package kit

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// A link's window and segment size are those of a wide area link; loopback has far larger
// ones.
const (
	linkWindow  = 64 << 10
	linkSegment = 1448
	linkQueue   = linkWindow / linkSegment
)

// Dial connects to an address over a link with a delay each way.
func Dial(address string, delay time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if ctlErr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow),
			)
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	far, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	near, end := net.Pipe()
	go carry(far, end, delay)
	go carry(end, far, delay)
	return near, nil
}

type segment struct {
	b  []byte
	at time.Time
}

// carry carries bytes one way; the end of the connection follows them. When the receiver is
// gone, the rest is dropped, and what it sent before is still carried the other way.
func carry(from, to net.Conn, delay time.Duration) {
	queue := make(chan segment, linkQueue)
	go func() {
		gone := false
		for s := range queue {
			if gone {
				continue
			}
			time.Sleep(time.Until(s.at))
			_, err := to.Write(s.b)
			gone = err != nil
		}
		_ = to.Close()
	}()
	for {
		b := make([]byte, linkSegment)
		n, err := from.Read(b)
		if n > 0 {
			queue <- segment{b[:n], time.Now().Add(delay)}
		}
		if err != nil {
			time.Sleep(delay)
			close(queue)
			return
		}
	}
}
