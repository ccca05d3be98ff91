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

	"github.com/boragelock/boragelock/internal/httpmessage"
)

// connError is an error that this package detects on a connection.
type connError struct{ reason string }

// Error implements error.
func (e *connError) Error() string { return e.reason }

var (
	errAbandoned          = &connError{"request was abandoned before it was written"}
	errUnsolicited        = &connError{"data arrived on a connection without a request"}
	errReplay             = &connError{"transport tried to resend a request that may have been sent"}
	errSilent             = &connError{"connection is silent while a new connection works"}
	errPeerSilent         = &connError{"entry host responds on no connection"}
	errIdleClosed         = &connError{"server closed the connection while it was idle"}
	errMismatchedResponse = &connError{"response does not belong to the request"}
)

// conn is a connection to a target or an entry host that tracks which request
// uses it. net/http's Transport does not report whether a byte of a failed
// request was written, and takes surplus data after a response for the next
// response.
type conn struct {
	net.Conn
	// rawConn is the socket, or nil for a connection with TLS. Reads are counted
	// under the lock, so that the check before the first write of a request sees
	// all data that arrived before it.
	rawConn syscall.RawConn
	// lastRead is when data last arrived, or when a request was written, in
	// nanoseconds since the start of the process.
	lastRead atomic.Int64

	mu               sync.Mutex
	useID            uint64       // ID of the current use; counts the requests that used this connection
	writeCheck       func() error // runs before each write
	writeCheckErr    error
	writesBlocked    bool
	wrote            bool // a byte of the current request may have left
	responseExpected bool
	bytesRead        int64
	bytesReadAtWrite int64 // bytesRead at the first write of the current request
	scanner          httpmessage.HeadScanner
	onClose          func()
	closed           bool
}

var processStart = time.Now()

func sinceStart() int64 { return int64(time.Since(processStart)) }

// attach assigns the connection to a request and returns the ID of this use.
func (c *conn) attach(writeCheck func() error) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useID++
	c.writeCheck, c.writeCheckErr, c.writesBlocked, c.wrote, c.responseExpected = writeCheck, nil, false, false, false
	c.scanner.Start()
	return c.useID
}

// detach ends a use after its response has been read to the end.
func (c *conn) detach(useID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useID == useID {
		c.responseExpected, c.writeCheck = false, nil
	}
}

// blockWrites prevents further writes of a use. It reports whether a byte of its
// request may have left, and the error of the write check.
func (c *conn) blockWrites(useID uint64) (wrote bool, checkErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useID != useID {
		// A later request uses the connection, so this one was written.
		return true, nil
	}
	c.writesBlocked = true
	return c.wrote, c.writeCheckErr
}

// receivedResponse reports whether data arrived after the request of a use was
// written. Otherwise a response can only come from surplus data.
func (c *conn) receivedResponse(useID uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.useID == useID && c.wrote && c.bytesRead > c.bytesReadAtWrite
}

// Write implements net.Conn. It runs the write check before each write.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errAbandoned
	}
	if c.writeCheck != nil {
		if err := c.writeCheck(); err != nil {
			c.writeCheckErr = err
			c.mu.Unlock()
			return 0, err
		}
	}
	if !c.wrote {
		if err := c.checkUnread(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
		c.wrote, c.responseExpected = true, true
		c.bytesReadAtWrite = c.bytesRead
		c.lastRead.Store(sinceStart())
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// checkUnread returns an error if the socket has unread data or was closed by
// the server; c.mu is held.
func (c *conn) checkUnread() (err error) {
	if c.rawConn == nil {
		return nil
	}
	controlErr := c.rawConn.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, e := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			err = errUnsolicited
		case e == nil:
			err = errIdleClosed
		}
	})
	if err == nil {
		err = controlErr
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.rawConn == nil {
		if err := c.scanErr(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.checkRead(b[:n], err)
	}
	var n int
	var err error
	waitErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = 0, c.scanner.Err(); err != nil {
			return true
		}
		n, err = unix.Read(int(fd), b)
		for err == unix.EINTR {
			n, err = unix.Read(int(fd), b)
		}
		if err == unix.EAGAIN {
			return false
		}
		n, err = c.checkRead(b[:max(n, 0)], err)
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

func (c *conn) scanErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}

// checkRead counts the data that was read. It returns how much of it may be used, and an
// error when no response is expected or a line of its head is malformed; c.mu is held.
func (c *conn) checkRead(data []byte, err error) (int, error) {
	if len(data) == 0 {
		return 0, err
	}
	c.lastRead.Store(sinceStart())
	c.bytesRead += int64(len(data))
	if !c.responseExpected {
		return 0, errUnsolicited
	}
	if n, scanErr := c.scanner.Scan(data); scanErr != nil {
		return n, scanErr
	}
	return len(data), err
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
