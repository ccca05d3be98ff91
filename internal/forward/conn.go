package forward

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connError is a fault that a conn itself finds.
type connError struct{ reason string }

// Error implements error.
func (e *connError) Error() string { return e.reason }

var (
	errSealed      = &connError{"request was given up before it was written"}
	errUnsolicited = &connError{"data arrived on a connection without a request"}
	errReplay      = &connError{"transport tried to repeat a request that may have been sent"}
	errSilent      = &connError{"connection is silent while a new one works"}
	errPeerSilent  = &connError{"entry host answers on no connection"}
	errClosed      = &connError{"connection was closed by the other side while it was idle"}
	errCrossed     = &connError{"response does not belong to the request"}
)

// conn is a connection to a target or an entry host that knows which request
// uses it. net/http's Transport does not say whether a byte of a failed request
// was written, and takes surplus data of the previous response for the next
// one.
type conn struct {
	net.Conn
	// raw is the socket, or nil for a connection with TLS. Reads are accounted
	// for under the lock, so that the check before the first write of a request
	// sees all data that arrived before it.
	raw syscall.RawConn
	// lastRead is when data arrived last, in nanoseconds since the start of
	// the process.
	lastRead atomic.Int64

	mu        sync.Mutex
	use       uint64       // counts the requests that were given this connection
	gate      func() error // checked before each write
	gateErr   error
	sealed    bool
	wrote     bool  // a byte of the present request may have left
	reading   bool  // a response is expected
	read      int64 // bytes
	readStart int64 // bytes read when the present request was first written
	onClose   func()
	closed    bool
}

var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// attach gives the connection to a request and returns the number of the use.
func (c *conn) attach(gate func() error) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use++
	c.gate, c.gateErr, c.sealed, c.wrote, c.reading = gate, nil, false, false, false
	return c.use
}

// detach ends a use after its response was read to the end.
func (c *conn) detach(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == use {
		c.reading, c.gate = false, nil
	}
}

// seal prevents further writes of a use and reports whether a byte of its
// request may have left, and the error of the gate.
func (c *conn) seal(use uint64) (wrote bool, gateErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != use {
		// A later request has the connection, so this one was written.
		return true, nil
	}
	c.sealed = true
	return c.wrote, c.gateErr
}

// answered reports whether data arrived after the request of a use was
// written. Otherwise a response can only come from surplus data.
func (c *conn) answered(use uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use == use && c.wrote && c.read > c.readStart
}

// Write implements net.Conn. The gate is called last before the system call.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	if c.gate != nil {
		if err := c.gate(); err != nil {
			c.gateErr = err
			c.mu.Unlock()
			return 0, err
		}
	}
	if !c.wrote {
		if err := c.pending(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
		c.wrote, c.reading = true, true
		c.readStart = c.read
		c.lastRead.Store(sinceStart())
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// pending finds data or an end that waits in the socket; c.mu is held.
func (c *conn) pending() (err error) {
	if c.raw == nil {
		return nil
	}
	controlErr := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			err = errUnsolicited
		case e == nil:
			err = errClosed
		}
	})
	if err == nil {
		err = controlErr
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.raw == nil {
		n, err := c.Conn.Read(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.account(n, err)
	}
	var n int
	var err error
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = unix.Read(int(fd), b)
		for err == unix.EINTR {
			n, err = unix.Read(int(fd), b)
		}
		if err == unix.EAGAIN {
			return false
		}
		n, err = c.account(max(n, 0), err)
		return true
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err == nil && n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError("read", errno)
	}
	return n, err
}

// account counts data that was read; c.mu is held.
func (c *conn) account(n int, err error) (int, error) {
	if n == 0 {
		return n, err
	}
	c.lastRead.Store(sinceStart())
	c.read += int64(n)
	if !c.reading {
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first && c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}
