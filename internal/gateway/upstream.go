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

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpmessage"
	"github.com/boragelock/boragelock/platform"
)

// Limits of connections to targets.
const (
	dialTimeout = 300 * time.Millisecond
	// defaultKeepAlive is the idle time of connections to a target that reports none.
	// The gateway closes a connection keepAliveMargin before its idle time ends.
	defaultKeepAlive = 4 * time.Second
	keepAliveMargin  = 1500 * time.Millisecond
	// maxBufferedBody is the size up to which a body is read whole before any of it
	// is forwarded, so that a broken response can be replaced.
	maxBufferedBody = 1 << 20
	// maxResponseReads is the number of responses that are read to find the one that
	// belongs to the request; responses to earlier requests are skipped.
	maxResponseReads = 3
	// maxHeadReads is the number of heads that are read to find the final response;
	// informational responses (1xx) are skipped.
	maxHeadReads = 4
	// readBufferSize, in bytes, also bounds a chunk's line and the trailers of a
	// response: net/http reads them only as far as they fit the buffer.
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response, in bytes.
	maxHeadBytes = 64 << 10
	// maxRequestsPerConn is the number of requests after which a connection is
	// closed; it keeps 8 bytes for each.
	maxRequestsPerConn = 1024
	// responseGrace is the wait for a response beyond the deadline sent to the target,
	// since the target's own timeout response may be in transit.
	responseGrace = 60 * time.Millisecond
)

// targetConn is a connection to a target.
type targetConn struct {
	nc net.Conn
	// headLimit bounds the bytes of a response's head; br reads from it.
	headLimit *io.LimitedReader
	// scanner scans the heads of responses on their way to br.
	scanner   httpmessage.HeadScanner
	br        *bufio.Reader
	idleSince time.Duration
	keepAlive time.Duration
	reused    bool
	// sentIDHashes are the hashes of the identifiers that were sent on the
	// connection. A late duplicate of a response is recognized by its identifier, so
	// no identifier is sent twice.
	sentIDHashes []uint64
}

func newTargetConn(nc net.Conn) *targetConn {
	u := &targetConn{nc: nc, headLimit: &io.LimitedReader{R: nc}, keepAlive: defaultKeepAlive}
	u.br = bufio.NewReaderSize(scannedReader{u}, readBufferSize)
	return u
}

// scannedReader reads from a connection and scans what it reads.
type scannedReader struct{ u *targetConn }

// Read implements io.Reader.
func (r scannedReader) Read(p []byte) (int, error) {
	if err := r.u.scanner.Err(); err != nil {
		return 0, err
	}
	n, err := r.u.headLimit.Read(p)
	if used, scanErr := r.u.scanner.Scan(p[:n]); scanErr != nil {
		return used, scanErr
	}
	return n, err
}

// startHead makes the scanner expect a response, of which a part may have been read with the
// one before it.
func (u *targetConn) startHead() error {
	u.scanner.Start()
	read, err := u.br.Peek(u.br.Buffered())
	if err == nil {
		_, err = u.scanner.Scan(read)
	}
	return err
}

var idHashSeed = maphash.MakeSeed()

// hasSent reports whether a request with the identifier was sent on the
// connection.
func (u *targetConn) hasSent(requestID string) bool {
	return slices.Contains(u.sentIDHashes, maphash.String(idHashSeed, requestID))
}

// atRequestLimit reports whether maxRequestsPerConn requests were sent on the
// connection.
func (u *targetConn) atRequestLimit() bool { return len(u.sentIDHashes) >= maxRequestsPerConn }

// expired reports whether the target may close the idle connection soon.
func (u *targetConn) expired(now time.Duration) bool {
	return now-u.idleSince > u.keepAlive-keepAliveMargin
}

// usable reports whether an idle connection is still open and has no unexpected
// data to read.
func (u *targetConn) usable(now time.Duration) bool {
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

// targetRequest is a request as it is sent to a target.
type targetRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
	// bodyMemory holds the memory of body; it may be nil.
	bodyMemory *requestBody
	id         string // the caller's identifier
	// timeout is the remaining time that is sent to the target.
	timeout time.Duration
	// timeLeft returns timeout once a connection is open, or false if the request may no
	// longer be sent. It may be nil.
	timeLeft func() (timeout time.Duration, ok bool)
	// ignoreCallerCancel says that the request, once sent, continues when the caller
	// leaves.
	ignoreCallerCancel bool
}

// encodeHead returns the request without its body in the HTTP/1.1 wire format.
func (o *targetRequest) encodeHead(target string) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(o.body), maxInlineWrite))
	b.WriteString(o.method)
	b.WriteByte(' ')
	b.WriteString(o.uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(o.host)
	b.WriteString("\r\n")
	platform.SetRequestHeaders(o.header, o.timeout, target)
	writeHeader(&b, o.header)
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(o.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeHeader(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		if platform.IsHopByHopHeader(name) {
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

// sendError is the failure of a request at one target.
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

// connectionReset reports whether the target reset the connection, as some do when
// they are full. A reset does not show whether the request ran.
func (e *sendError) connectionReset() bool { return errors.Is(e.err, syscall.ECONNRESET) }

func (e *sendError) timeout() bool {
	var ne net.Error
	return errors.As(e.err, &ne) && ne.Timeout()
}

// Reasons of sends that failed for a reason of this host, and say nothing about the target.
const (
	// reasonShortage means that this host lacks something.
	reasonShortage = "shortage"
	// reasonTooLate means that the request may no longer be sent to the target.
	reasonTooLate = "too late"
)

// isShortage reports whether a connection was not opened since this host lacks descriptors
// or memory.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// roundTrip sends a request to a target and reads its response. It fails with
// *sendError.
func (p *pool) roundTrip(ctx context.Context, o *targetRequest, id, address string, memory *memoryBudget) (*response, *sendError) {
	u, err := p.get(ctx, id, address, o.id)
	switch {
	case isShortage(err):
		return nil, &sendError{reason: reasonShortage, err: err}
	case err != nil:
		return nil, &sendError{reason: "connect", err: err}
	}
	if err := ctx.Err(); err != nil {
		p.put(u, id, address)
		return nil, &sendError{reason: "caller left", err: err}
	}
	if o.timeLeft != nil {
		var ok bool
		if o.timeout, ok = o.timeLeft(); !ok {
			p.put(u, id, address)
			return nil, &sendError{reason: reasonTooLate}
		}
	}
	if o.ignoreCallerCancel {
		ctx = context.WithoutCancel(ctx)
	}
	stop := context.AfterFunc(ctx, func() { _ = u.nc.Close() }) // cancels the request at the target
	sentAt := boottime.Now()
	res, failure := u.exchange(o, id, memory)
	if failure != nil {
		stop()
		_ = u.nc.Close() // not reusable
		if failure.timeout() {
			p.closeIdle(id, address)
		}
		return nil, failure
	}
	finish := func(complete bool) {
		// stop returns false when the connection is already being closed.
		if !stop() || !complete || res.header.Get("Connection") == "close" || u.br.Buffered() > 0 || !res.selfDelimited || u.atRequestLimit() {
			_ = u.nc.Close() // not reusable
			return
		}
		if res.metadata.KeepAliveTimeout > 0 {
			u.keepAlive = res.metadata.KeepAliveTimeout
		}
		p.put(u, id, address)
	}
	if res.unread == nil {
		finish(true)
		return res, nil
	}
	res.releaseConn = finish
	res.unreadSince = boottime.Now()
	deadline := time.Now().Add(o.timeout + responseGrace - (res.unreadSince - sentAt))
	res.extendDeadline = func(d time.Duration) {
		deadline = deadline.Add(d)
		if u.nc.SetReadDeadline(deadline) != nil {
			_ = u.nc.Close() // makes the next read fail
		}
	}
	return res, nil
}

// exchange writes a request and reads the response that belongs to it.
func (u *targetConn) exchange(o *targetRequest, id string, memory *memoryBudget) (*response, *sendError) {
	if err := u.nc.SetDeadline(time.Now().Add(o.timeout + responseGrace)); err != nil {
		return nil, &sendError{reason: "deadline", err: err}
	}
	u.sentIDHashes = append(u.sentIDHashes, maphash.String(idHashSeed, o.id))
	head := o.encodeHead(id)
	var request *upload // nil when the request was written before its response is read
	if len(head)+len(o.body) <= maxInlineWrite {
		if n, err := u.nc.Write(append(head, o.body...)); err != nil {
			return nil, &sendError{sent: n > 0, reason: "write", err: err}
		}
	} else {
		stop, err := watchPeer(u.nc)
		if err != nil {
			return nil, &sendError{reason: "deadline", err: err}
		}
		defer stop()
		// A target may respond before it has read a long body.
		request = startUpload(u.nc, head, o.body, o.bodyMemory)
	}
	for range maxResponseReads {
		resp, err := u.readHead(o.method)
		if err != nil {
			return nil, &sendError{sent: true, reason: "no answer", err: err}
		}
		if request != nil && endsWithConnection(resp) {
			resp.Body = &closeDelimitedBody{resp.Body, request}
		}
		res, err := readResponse(resp, memory)
		if err != nil {
			return nil, &sendError{sent: true, reason: "answer broke off", err: err}
		}
		if res.metadata.ID == o.id || res.metadata.ID == "" && !u.reused {
			return res, nil
		}
		mayContinue := res.unread == nil && !resp.Close && u.reused && res.metadata.ID != ""
		res.memory.release()
		if !mayContinue {
			break // the connection has no earlier request left to respond to
		}
	}
	return nil, &sendError{sent: true, reason: "answers of other requests"}
}

// headTooLongError says that the head of a response exceeds maxHeadBytes.
type headTooLongError struct{ err error }

// Error implements error.
func (e *headTooLongError) Error() string {
	return "response head exceeds " + strconv.Itoa(maxHeadBytes) + " bytes: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *headTooLongError) Unwrap() error { return e.err }

// readHead reads the head of the next response that is not informational.
func (u *targetConn) readHead(method string) (*http.Response, error) {
	if err := u.startHead(); err != nil {
		return nil, err
	}
	for range maxHeadReads {
		u.headLimit.N = maxHeadBytes
		resp, err := http.ReadResponse(u.br, &http.Request{Method: method})
		if err != nil {
			if u.headLimit.N <= 0 {
				err = &headTooLongError{err}
			}
			return nil, err
		}
		u.headLimit.N = math.MaxInt64 // the body has its own limit
		if err := httpmessage.CheckResponse(resp); err != nil {
			return nil, err
		}
		switch {
		case platform.IsFinalStatus(resp.StatusCode):
			return resp, nil
		case !isInformational(resp):
			return nil, &invalidStatusError{resp.Status[:min(len(resp.Status), maxStatusText)]}
		}
	}
	return nil, &noFinalResponseError{}
}

// isInformational reports whether a response is one that another one follows. One with a body
// is not: what follows may be the body. The gateway asks for no other protocol (101). HTTP/1.0
// has none, and net/http drops its Transfer-Encoding, so that a body would not be seen.
func isInformational(resp *http.Response) bool {
	if !resp.ProtoAtLeast(1, 1) || resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) == 0 && (length == "" || length == "0")
}

// maxStatusText bounds what is logged of an invalid status line, in bytes.
const maxStatusText = 32

// invalidStatusError says that what a target sent is no response.
type invalidStatusError struct{ status string }

// Error implements error.
func (e *invalidStatusError) Error() string {
	return "status " + strconv.Quote(e.status) + " is no final one, or informational with a body"
}

// noFinalResponseError says that maxHeadReads heads were all informational.
type noFinalResponseError struct{}

// Error implements error.
func (*noFinalResponseError) Error() string {
	return "no final response in the first " + strconv.Itoa(maxHeadReads) + " heads"
}

// maxInlineWrite is the size up to which a request is written before its response
// is read; it fits the socket's buffer.
const maxInlineWrite = 16 << 10
