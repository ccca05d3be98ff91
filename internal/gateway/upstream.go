package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/platform"
)

// Limits of connections to targets.
const (
	dialTimeout = 300 * time.Millisecond
	// assumedKeepAlive is how long a connection may be idle at a target that does
	// not say; keepAliveMargin is kept from what it says.
	assumedKeepAlive = 4 * time.Second
	keepAliveMargin  = 1500 * time.Millisecond
	// bufferedAnswer is the size up to which an answer is read whole before any
	// of it is passed on, so that a broken one can be replaced.
	bufferedAnswer = 1 << 20
	// maxSurplus is the number of answers to earlier requests that are skipped.
	maxSurplus = 3
	// maxInformational is the number of informational answers before the final one.
	maxInformational = 4
	// readBuffer in bytes also bounds a chunk's line and the trailers of an answer,
	// which net/http reads only as far as they fit the buffer.
	readBuffer = 4 << 10
	// maxAnswerHead bounds the status line and headers of an answer, in bytes.
	maxAnswerHead = 64 << 10
	// maxCarried is the number of requests after which a connection is closed, 8
	// bytes are kept of each.
	maxCarried = 1024
	// lateAnswer is how long an answer is waited for beyond the deadline that the
	// target was told, since the target's own answer to a timeout is on its way.
	lateAnswer = 60 * time.Millisecond
)

// upstream is a connection to a target.
type upstream struct {
	nc net.Conn
	// limited bounds the bytes of the head of an answer; br reads from it.
	limited   *io.LimitedReader
	br        *bufio.Reader
	idleSince time.Duration
	keepAlive time.Duration
	reused    bool
	// carried are the hashes of the identifiers that were sent on the connection.
	// A late second copy of an answer is told apart by its identifier, so that
	// none is sent twice.
	carried []uint64
}

func newUpstream(nc net.Conn) *upstream {
	limited := &io.LimitedReader{R: nc}
	return &upstream{nc: nc, limited: limited, br: bufio.NewReaderSize(limited, readBuffer), keepAlive: assumedKeepAlive}
}

var identifierSeed = maphash.MakeSeed()

// hasCarried reports whether a request with the identifier was sent on the
// connection.
func (u *upstream) hasCarried(requestID string) bool {
	return slices.Contains(u.carried, maphash.String(identifierSeed, requestID))
}

// worn reports whether the connection has carried as many requests as it
// remembers.
func (u *upstream) worn() bool { return len(u.carried) >= maxCarried }

// expired reports whether the target may close the idle connection soon.
func (u *upstream) expired(now time.Duration) bool {
	return now-u.idleSince > u.keepAlive-keepAliveMargin
}

// usable reports whether an idle connection is still open and has no data that
// nobody asked for.
func (u *upstream) usable(now time.Duration) bool {
	if u.expired(now) || u.br.Buffered() > 0 {
		return false
	}
	sc, ok := u.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = e == unix.EAGAIN
	})
	return err == nil && open
}

// outgoing is a request as it is sent to a target.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              []byte
	id                string // the caller's identifier
	// left is the time that the target is told.
	left time.Duration
	// finishes says that the request goes on to its answer once it was sent, also when
	// the caller leaves.
	finishes bool
}

// encode writes the request in the form of the wire.
func (o *outgoing) encode(target string) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(o.body))
	b.WriteString(o.method)
	b.WriteByte(' ')
	b.WriteString(o.uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(o.host)
	b.WriteString("\r\n")
	platform.WriteRequest(o.header, o.left, target)
	writeHeader(&b, o.header)
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(o.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(o.body)
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		if platform.IsHopHeader(name) {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

// sendError says how a request failed at one target.
type sendError struct {
	// sent says that bytes of the request may have reached the target.
	sent   bool
	reason string
	err    error
}

// Error implements error.
func (e *sendError) Error() string {
	if e.err != nil {
		return e.reason + ": " + e.err.Error()
	}
	return e.reason
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// reset reports whether the target reset the connection, as some do when they are
// full. Whether the request ran is not known from it.
func (e *sendError) reset() bool { return errors.Is(e.err, syscall.ECONNRESET) }

func (e *sendError) timeout() bool {
	var ne net.Error
	return errors.As(e.err, &ne) && ne.Timeout()
}

// roundTrip sends a request to a target and reads its answer. It fails with
// *sendError.
func (p *pools) roundTrip(ctx context.Context, o *outgoing, id, address string, memory *memoryBudget) (*answer, *sendError) {
	u, err := p.take(ctx, id, address, o.id)
	if err != nil {
		return nil, &sendError{reason: "connect", err: err}
	}
	if err := ctx.Err(); err != nil {
		p.put(u, id, address)
		return nil, &sendError{reason: "caller left", err: err}
	}
	if o.finishes {
		ctx = context.WithoutCancel(ctx)
	}
	stop := context.AfterFunc(ctx, func() { _ = u.nc.Close() }) // ends the work at the target
	a, failure := u.exchange(o, id, memory)
	if failure != nil {
		stop()
		_ = u.nc.Close() // out of step
		if failure.timeout() {
			p.drop(id, address)
		}
		return nil, failure
	}
	finish := func(complete bool) {
		// A stop that comes too late means that the connection is being closed.
		if !stop() || !complete || a.header.Get("Connection") == "close" || u.br.Buffered() > 0 || !a.framed || u.worn() {
			_ = u.nc.Close() // not to be used again
			return
		}
		if a.said.KeepAlive > 0 {
			u.keepAlive = a.said.KeepAlive
		}
		p.put(u, id, address)
	}
	if a.rest == nil {
		finish(true)
		return a, nil
	}
	a.finish = finish
	return a, nil
}

// exchange writes a request and reads the answer that belongs to it.
func (u *upstream) exchange(o *outgoing, id string, memory *memoryBudget) (*answer, *sendError) {
	if err := u.nc.SetDeadline(time.Now().Add(o.left + lateAnswer)); err != nil {
		return nil, &sendError{reason: "deadline", err: err}
	}
	u.carried = append(u.carried, maphash.String(identifierSeed, o.id))
	payload := o.encode(id)
	if len(payload) <= writeInline {
		if n, err := u.nc.Write(payload); err != nil {
			return nil, &sendError{sent: n > 0, reason: "write", err: err}
		}
	} else {
		// A target may answer before it has read a long body.
		go func() {
			if _, err := u.nc.Write(payload); err != nil {
				_ = u.nc.Close() // the reader sees the end
			}
		}()
	}
	for range maxSurplus {
		resp, err := u.readHead(o.method)
		if err != nil {
			return nil, &sendError{sent: true, reason: "no answer", err: err}
		}
		a, err := readAnswer(resp, memory)
		if err != nil {
			return nil, &sendError{sent: true, reason: "answer broke off", err: err}
		}
		if a.said.ID == o.id || a.said.ID == "" && !u.reused {
			return a, nil
		}
		more := a.rest == nil && !resp.Close && u.reused && a.said.ID != ""
		a.memory.release()
		if !more {
			break // no earlier request can be answered here
		}
	}
	return nil, &sendError{sent: true, reason: "answers of other requests"}
}

// headTooLongError says that the head of an answer is over maxAnswerHead.
type headTooLongError struct{ err error }

// Error implements error.
func (e *headTooLongError) Error() string {
	return "head of the answer over " + strconv.Itoa(maxAnswerHead) + " bytes: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *headTooLongError) Unwrap() error { return e.err }

// readHead reads the head of the next answer that is not informational.
func (u *upstream) readHead(method string) (*http.Response, error) {
	for range maxInformational {
		u.limited.N = maxAnswerHead
		resp, err := http.ReadResponse(u.br, &http.Request{Method: method})
		if err != nil {
			if u.limited.N <= 0 {
				err = &headTooLongError{err}
			}
			return nil, err
		}
		u.limited.N = math.MaxInt64 // the body has a bound of its own
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &informationalError{}
}

// informationalError says that too many informational answers came.
type informationalError struct{}

// Error implements error.
func (*informationalError) Error() string {
	return "over " + strconv.Itoa(maxInformational) + " informational answers"
}

// writeInline is the size up to which a request is written before its answer is
// read; it fits the socket's buffer.
const writeInline = 16 << 10
