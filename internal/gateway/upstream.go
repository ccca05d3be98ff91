package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/internal/boottime"
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
	readBuffer = 4 << 10
	// lateAnswer is how long an answer is waited for beyond the deadline that the
	// target was told, since the target's own answer to a timeout is on its way.
	lateAnswer = 60 * time.Millisecond
)

// upstream is a connection to a target.
type upstream struct {
	nc        net.Conn
	br        *bufio.Reader
	idleSince time.Duration
	keepAlive time.Duration
	reused    bool
}

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

// poolKey names one run of a target at an address.
type poolKey struct{ id, address string }

// pools keeps idle connections to targets.
type pools struct {
	mu   sync.Mutex
	idle map[poolKey][]*upstream
	// open counts the idle connections of each target.
	open map[string]int
}

func newPools() *pools { return &pools{idle: map[poolKey][]*upstream{}, open: map[string]int{}} }

// connected reports whether a connection to a target is open and idle.
func (p *pools) connected(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[id] > 0
}

// take returns an idle connection or opens one.
func (p *pools) take(ctx context.Context, id, address string) (*upstream, error) {
	key := poolKey{id, address}
	now := boottime.Now()
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			break
		}
		u := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.count(id, -1)
		p.mu.Unlock()
		if u.usable(now) {
			u.reused = true
			return u, nil
		}
		_ = u.nc.Close() // the target closed it or it is out of step
	}
	nc, err := platform.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &upstream{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), keepAlive: assumedKeepAlive}, nil
}

// count changes the number of idle connections of a target; p.mu is held.
func (p *pools) count(id string, n int) {
	if p.open[id] += n; p.open[id] <= 0 {
		delete(p.open, id)
	}
}

// put returns a connection after a complete answer.
func (p *pools) put(u *upstream, id, address string) {
	u.idleSince = boottime.Now()
	key := poolKey{id, address}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], u)
	p.count(id, 1)
}

// drop closes the idle connections of a target, for example because one of
// them went silent.
func (p *pools) drop(id, address string) {
	key := poolKey{id, address}
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.count(id, -len(list))
	p.mu.Unlock()
	for _, u := range list {
		_ = u.nc.Close() // given up
	}
}

// sweep closes connections that were idle for too long.
func (p *pools) sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if u.expired(now) {
				_ = u.nc.Close() // out of time
				continue
			}
			kept = append(kept, u)
		}
		p.count(key.id, len(kept)-len(list))
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// outgoing is a request as it is sent to a target.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              []byte
	id                string // the caller's identifier
	// left is the time that the target is told.
	left time.Duration
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

// answer is a target's answer.
type answer struct {
	status int
	header http.Header
	said   platform.Answer
	body   []byte
	// rest is the part of a large answer that has not been read, or nil. finish
	// must be called after it was read.
	rest   io.Reader
	length int64 // of the whole body, -1 when the answer does not say
	// framed answers end before their connection does.
	framed bool
	finish func(complete bool)
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

func (e *sendError) timeout() bool {
	var ne net.Error
	return errors.As(e.err, &ne) && ne.Timeout()
}

// roundTrip sends a request to a target and reads its answer. It fails with
// *sendError.
func (p *pools) roundTrip(ctx context.Context, o *outgoing, id, address string) (*answer, *sendError) {
	u, err := p.take(ctx, id, address)
	if err != nil {
		return nil, &sendError{reason: "connect", err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = u.nc.Close() }) // ends the work at the target
	a, failure := u.exchange(o, id)
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
		if !stop() || !complete || a.header.Get("Connection") == "close" || u.br.Buffered() > 0 || !a.framed {
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
func (u *upstream) exchange(o *outgoing, id string) (*answer, *sendError) {
	if err := u.nc.SetDeadline(time.Now().Add(o.left + lateAnswer)); err != nil {
		return nil, &sendError{reason: "deadline", err: err}
	}
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
		resp, err := http.ReadResponse(u.br, &http.Request{Method: o.method})
		if err != nil {
			return nil, &sendError{sent: true, reason: "no answer", err: err}
		}
		if resp.StatusCode < 200 {
			continue
		}
		a := &answer{status: resp.StatusCode, header: resp.Header, said: platform.ReadAnswer(resp.StatusCode, resp.Header), length: resp.ContentLength}
		if resp.Close {
			resp.Header.Set("Connection", "close")
		}
		a.framed = a.length >= 0 || len(resp.TransferEncoding) > 0
		a.body, err = io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer))
		if err != nil {
			return nil, &sendError{sent: true, reason: "answer broke off", err: err}
		}
		if len(a.body) == bufferedAnswer {
			a.rest = resp.Body
		}
		if a.said.ID != "" && a.said.ID != o.id {
			if a.rest != nil || resp.Close || !u.reused {
				break // no earlier request can be answered here
			}
			continue
		}
		return a, nil
	}
	return nil, &sendError{sent: true, reason: "answers of other requests"}
}

// writeInline is the size up to which a request is written before its answer is
// read; it fits the socket's buffer.
const writeInline = 16 << 10
