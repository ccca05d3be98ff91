package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a lingering close.
const (
	// lingerTimeout is how long the peer may take to close the connection.
	lingerTimeout = 5 * time.Second
	// deliveredTimeout is the wait for the peer's close once its kernel has
	// acknowledged all bytes.
	deliveredTimeout = 500 * time.Millisecond
)

// Ending is how a lingering close ended.
type Ending string

// Endings of a lingering close.
const (
	ClosedByPeer Ending = "by_peer"        // the peer closed the connection too
	Delivered    Ending = "delivered"      // the peer's kernel has all bytes
	TimedOut     Ending = "timed_out"      // the peer has neither closed nor acknowledged
	Broken       Ending = "already_closed" // the connection had ended before
)

// LingeringClose closes a connection on which nothing more is written. Closing it at once
// while the peer still sends would make the kernel reset it and drop the bytes that are
// not sent yet. The connection is therefore closed for writing only, and what the peer
// sends is discarded until the peer closes it too (RFC 9112, section 9.6).
func LingeringClose(nc net.Conn) Ending {
	if !closeWrite(nc) {
		return Broken
	}
	return linger(nc)
}

// closeWrite closes a connection for writing. Where that fails, it closes it.
func closeWrite(nc net.Conn) bool {
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = nc.Close() // it had ended
		return false
	}
	return true
}

// linger discards what the peer of a half-closed connection sends, and closes it.
func linger(nc net.Conn) Ending {
	defer func() { _ = nc.Close() }() // nothing is left to be sent
	delivered := false
	for end := time.Now().Add(lingerTimeout); time.Now().Before(end); {
		if nc.SetReadDeadline(time.Now().Add(deliveredTimeout)) != nil {
			return Broken
		}
		if _, err := io.Copy(io.Discard, nc); !errors.Is(err, os.ErrDeadlineExceeded) {
			return ClosedByPeer
		}
		if delivered {
			return Delivered
		}
		delivered = endAcknowledged(nc)
	}
	return TimedOut
}

// endAcknowledged reports whether the peer's kernel has acknowledged the end of a
// connection that is closed for writing, and with it all bytes before.
func endAcknowledged(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	acknowledged := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		acknowledged = err == nil && info.State == unix.BPF_TCP_FIN_WAIT2
	})
	return err == nil && acknowledged
}

// Lingering is a listener for servers that close connections themselves. Close of its
// connections returns at once and continues as a LingeringClose.
type Lingering struct {
	net.Listener
	closing atomic.Int64
}

// Accept implements net.Listener.
func (l *Lingering) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c, listener: l}, nil
}

// Closing returns the number of connections whose close has not ended.
func (l *Lingering) Closing() int64 { return l.closing.Load() }

type lingeringConn struct {
	net.Conn
	listener *Lingering
	once     sync.Once
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	c.once.Do(func() {
		if !closeWrite(c.Conn) {
			return
		}
		c.listener.closing.Add(1)
		go func() {
			defer c.listener.closing.Add(-1)
			linger(c.Conn)
		}()
	})
	return nil
}
