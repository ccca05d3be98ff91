//go:build review

package kit

import (
	"errors"
	"io"
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

// carry carries bytes one way; the end of the connection follows them.
func carry(from, to net.Conn, delay time.Duration) {
	queue := make(chan segment, linkQueue)
	go func() {
		for s := range queue {
			time.Sleep(time.Until(s.at))
			if _, err := to.Write(s.b); err != nil {
				break
			}
		}
		_ = to.Close()
		for range queue {
		}
	}()
	for {
		b := make([]byte, linkSegment)
		n, err := from.Read(b)
		if n > 0 {
			queue <- segment{b[:n], time.Now().Add(delay)}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			time.Sleep(delay)
			close(queue)
			return
		}
	}
}
