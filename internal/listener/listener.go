// Package listener provides a TCP listener that can stop without resetting
// connections. Closing a listening socket resets the connections that the kernel
// completed and the process has not accepted yet, though their peers may already
// have sent requests.
package listener

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// handshakeTime is how long a draining listener accepts connections whose handshake
// began before. Peers that retransmit the last segment of a handshake later than
// that are reset.
const handshakeTime = 100 * time.Millisecond

// Listener is a TCP listener that drains.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// closed is closed with the socket.
	closed    chan struct{}
	closeOnce sync.Once
	closeErr  error

	onAcceptError func(err error, pause time.Duration)
}

// Listen listens on the TCP address host:port. It fails with a *net.OpError.
func Listen(addr string) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // its sockets take no filter
	ln, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), closed: make(chan struct{})}, nil
}

// Accept implements net.Listener. It waits out errors that pass, such as a lack of
// descriptors. Once Drain was called, it returns the connections that wait, then closes
// the socket and fails with net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := time.Duration(0); ; {
		c, err := l.TCPListener.Accept()
		if err != nil && Passes(err) {
			pause = l.waitAfter(err, pause)
			continue
		}
		if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		waiting, err := l.waiting()
		if err == nil && waiting > 0 {
			err = l.SetDeadline(time.Now().Add(handshakeTime))
		}
		if err != nil || waiting == 0 {
			return nil, errors.Join(net.ErrClosed, err, l.Close())
		}
	}
}

// Drain begins no further handshake: the listener ignores the first segment of new
// connections until the socket is closed, and refuses them afterwards. The goroutine
// in Accept accepts what waits and closes the socket. If the kernel rejects the
// filter, Drain closes the socket at once and returns the error.
func (l *Listener) Drain() error {
	err := l.control(ignoreSYN)
	if err == nil {
		l.draining.Store(true)
		err = l.SetDeadline(time.Now().Add(handshakeTime))
	}
	if err != nil {
		return errors.Join(err, l.Close())
	}
	return nil
}

// Close closes the socket. Further calls return the result of the first.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}

// Closed is closed once the socket is closed.
func (l *Listener) Closed() <-chan struct{} { return l.closed }

// control calls f with the file descriptor of the socket.
func (l *Listener) control(f func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// waiting returns the number of connections that wait for accept. For a listening
// socket, tcpi_unacked is the length of that queue (linux, tcp_get_info).
func (l *Listener) waiting() (int, error) {
	var n int
	err := l.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = int(info.Unacked)
		}
		return err
	})
	return n, err
}

// Fields of a TCP header (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13 // bytes
	tcpFlagSYN     = 0x02
)

// ignoreSYN makes the socket drop segments that begin a connection. Connections that
// are accepted later inherit the filter, which concerns none of their segments.
func ignoreSYN(fd int) error {
	const wholeSegment = 1<<32 - 1
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpFlagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholeSegment},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
}
