package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/platform"
)

// Limits of callers' connections.
const (
	// maxPipelined is the number of requests of one connection in progress.
	maxPipelined = 16
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdle hold until a desired state is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdle          = 15 * time.Second
	// idleMargin is added to the idle time that callers are told.
	idleMargin = 1 * time.Second
	// drainIdle is how long a stopping host keeps idle connections: callers use
	// them until then, and the balancer has seen that the host is not ready.
	drainIdle = 2500 * time.Millisecond
	// callerWrite bounds the writing of an answer to a caller that does not read.
	callerWrite = 10 * time.Second
)

// ServeCallers accepts callers until the context ends.
func (g *Gateway) ServeCallers(ctx context.Context, l net.Listener) error {
	go func() {
		<-ctx.Done()
		_ = l.Close() // ends Accept
	}()
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return err
		}
		go func() {
			if err := guard.Call("connection", func() { g.serveConn(ctx, nc) }); err != nil {
				g.cfg.Log.Error("panic", "duty", "connection", "err", err)
				_ = nc.Close() // the connection is given up
			}
		}()
	}
}

func (g *Gateway) limits() fleet.Limits {
	l := fleet.Limits{
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle,
	}
	if d := g.cfg.Deployment.Snapshot().DesiredState; d != nil {
		if d.Limits.MaxHeaderBytes > 0 {
			l.MaxHeaderBytes = d.Limits.MaxHeaderBytes
		}
		if d.Limits.MaxBodyBytes > 0 {
			l.MaxBodyBytes = d.Limits.MaxBodyBytes
		}
		if d.Limits.HeaderTimeout > 0 {
			l.HeaderTimeout = d.Limits.HeaderTimeout
		}
		if d.Limits.IdleTimeout > 0 {
			l.IdleTimeout = d.Limits.IdleTimeout
		}
	}
	return l
}

// callerConn is a caller's connection.
type callerConn struct {
	g  *Gateway
	nc net.Conn
	// limited bounds the bytes of a header.
	limited *io.LimitedReader
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	// slots bounds the requests in progress.
	slots chan struct{}
	// last is closed when the answer to the latest request was written.
	last chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	pending int
	// broken says that no further answer can be written.
	broken bool
	// unread says that the last request was answered before it was read.
	unread bool
}

// serveConn reads requests and starts each as soon as it was read.
func (g *Gateway) serveConn(parent context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	limited := &io.LimitedReader{R: nc}
	done := make(chan struct{})
	close(done)
	c := &callerConn{
		g: g, nc: nc, limited: limited, br: bufio.NewReaderSize(limited, readBuffer), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPipelined), last: done,
	}
	g.open.Add(1)
	defer g.open.Add(-1)
	c.read()
	c.wg.Wait()
	cancel()
	if c.unread {
		c.discard()
	}
	_ = nc.Close() // all answers were written
}

// discardFor and discardBytes bound what is read and dropped after an answer that
// came before the request was read: closing at once would reset the connection
// and the answer with it.
const (
	discardFor   = 500 * time.Millisecond
	discardBytes = 1 << 20
)

// discard ends the connection's own direction and reads what the caller still
// sends.
func (c *callerConn) discard() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	if c.nc.SetReadDeadline(time.Now().Add(discardFor)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.nc, discardBytes) // the connection is given up in any case
}

// read reads requests until the connection ends.
func (c *callerConn) read() {
	for {
		c.slots <- struct{}{}
		l := c.g.limits()
		if !c.awaitRequest(l) {
			return
		}
		r, body, failure := c.readRequest(l)
		arrived := boottime.Now()
		if failure == nil && r == nil {
			// The caller left or broke off: what it asked for is cancelled.
			c.cancel()
			return
		}
		turn := c.last
		done := make(chan struct{})
		c.last = done
		c.mu.Lock()
		c.pending++
		c.mu.Unlock()
		c.g.inFlight.Add(1)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer c.g.inFlight.Add(-1)
			defer close(done)
			err := guard.Call("answer", func() { c.handle(r, body, failure, arrived, turn) })
			if err != nil {
				c.g.cfg.Log.Error("panic", "duty", "answer", "err", err)
				c.abandon()
			}
			<-c.slots
		}()
		if failure != nil {
			c.unread = true
			return
		}
		if r.Close {
			c.watch()
			return
		}
	}
}

// abandon ends the connection after a panic in the writing of an answer, of which
// a part may have been written.
func (c *callerConn) abandon() {
	c.mu.Lock()
	c.pending--
	c.broken = true
	c.mu.Unlock()
	_ = c.nc.Close() // the reader ends
}

// watch waits for the caller's end after the last request, and cancels what is
// in progress when it leaves.
func (c *callerConn) watch() {
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		c.cancel()
		return
	}
	go func() {
		var one [1]byte
		if _, err := c.nc.Read(one[:]); err != nil {
			c.cancel()
		}
	}()
}

// awaitRequest waits for the first byte of the next request.
func (c *callerConn) awaitRequest(l fleet.Limits) bool {
	c.limited.N = math.MaxInt64
	idle := l.IdleTimeout + idleMargin
	for start := boottime.Now(); ; {
		wait := idle - (boottime.Now() - start)
		if c.g.draining.Load() {
			wait = min(wait, drainIdle)
		}
		// Short waits let a stopping host end its idle connections.
		if err := c.nc.SetReadDeadline(time.Now().Add(min(max(wait, time.Millisecond), drainIdle))); err != nil {
			c.cancel()
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			c.cancel()
			return false
		}
		c.mu.Lock()
		pending := c.pending
		c.mu.Unlock()
		if pending > 0 {
			start = boottime.Now()
			continue
		}
		if c.g.draining.Load() || boottime.Now()-start >= idle {
			return false
		}
	}
}

// readRequest reads one request with its body. It returns nothing when the
// caller broke off.
func (c *callerConn) readRequest(l fleet.Limits) (*http.Request, []byte, *Failure) {
	if err := c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return nil, nil, nil
	}
	c.limited.N = int64(l.MaxHeaderBytes) + readBuffer
	r, err := http.ReadRequest(c.br)
	if err != nil {
		var ne net.Error
		switch {
		case c.limited.N <= 0:
			return nil, nil, &Failure{Code: CodeTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Err: err}
		case errors.As(err, &ne) && ne.Timeout():
			return nil, nil, &Failure{Code: CodeMalformed, Status: http.StatusRequestTimeout, Err: err}
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
			return nil, nil, nil
		}
		return nil, nil, &Failure{Code: CodeMalformed, Status: http.StatusBadRequest, Err: err}
	}
	if r.ContentLength > l.MaxBodyBytes {
		return r, nil, &Failure{Code: CodeTooLarge, Status: http.StatusRequestEntityTooLarge}
	}
	if r.ContentLength == 0 {
		return r, nil, nil
	}
	c.limited.N = math.MaxInt64
	if r.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil
		}
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(l.IdleTimeout)); err != nil {
		return nil, nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, l.MaxBodyBytes+1))
	if err != nil {
		return nil, nil, nil
	}
	if int64(len(body)) > l.MaxBodyBytes {
		return r, nil, &Failure{Code: CodeTooLarge, Status: http.StatusRequestEntityTooLarge}
	}
	return r, body, nil
}

// handle answers one request when its turn has come.
func (c *callerConn) handle(r *http.Request, body []byte, failure *Failure, arrived time.Duration, turn chan struct{}) {
	var a *answer
	early := failure != nil
	if !early {
		removeHopHeaders(r.Header)
		a, failure = c.g.serve(c.ctx, r, body, arrived)
	}
	c.log(r, a, failure, arrived)
	<-turn
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if !broken {
		broken = !c.write(r, a, failure)
	}
	if a != nil {
		a.discard()
	}
	c.mu.Lock()
	c.pending--
	c.broken = broken
	c.mu.Unlock()
	if broken && !early {
		_ = c.nc.Close() // the reader ends; after an early answer it closes by itself
	}
}

// removeHopHeaders drops the headers that the connection names as its own.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range bytes.Split([]byte(v), []byte(",")) {
			if n := http.CanonicalHeaderKey(string(bytes.TrimSpace(name))); n != "" && !platform.IsHopHeader(n) && n != "Close" {
				h.Del(n)
			}
		}
	}
}

// log counts a request's outcome and writes a line when the gateway answered it
// by itself.
func (c *callerConn) log(r *http.Request, a *answer, f *Failure, arrived time.Duration) {
	took := boottime.Now() - arrived
	c.g.m.total.add(took)
	if f == nil {
		c.g.m.outcomes.Add(strconv.Itoa(a.status), 1)
		return
	}
	c.g.m.outcomes.Add(string(f.Code), 1)
	id := ""
	if r != nil {
		id = platform.ReadRequest(r.Header).ID
	}
	c.g.cfg.Log.Request("failed", id, "code", f.Code, "status", f.Status, "took_ms", took.Milliseconds(),
		"retry_after_ms", f.RetryAfter.Milliseconds(), "err", f.Err, "caller_left", c.ctx.Err() != nil)
}

// write writes an answer and reports whether the connection can go on.
func (c *callerConn) write(r *http.Request, a *answer, f *Failure) bool {
	if c.ctx.Err() != nil && a == nil {
		return false
	}
	var b bytes.Buffer
	end := r == nil || r.Close || c.g.draining.Load() && c.alone()
	chunked := a != nil && a.rest != nil && a.length < 0 && r.ProtoAtLeast(1, 1)
	if f != nil {
		end = end || f.Status == http.StatusBadRequest || f.Status == http.StatusRequestTimeout ||
			f.Status == http.StatusRequestEntityTooLarge || f.Status == http.StatusRequestHeaderFieldsTooLarge
		writeStatus(&b, f.Status)
		if f.RetryAfter > 0 {
			b.WriteString("Retry-After: " + strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n")
		}
		b.WriteString("Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(f.Code)) + "\r\n")
	} else {
		writeStatus(&b, a.status)
		writeHeader(&b, a.header)
		switch {
		case chunked:
			b.WriteString("Transfer-Encoding: chunked\r\n")
		case a.rest != nil && a.length < 0:
			end = true // the end of the connection marks the end of the body
		case a.rest != nil:
			b.WriteString("Content-Length: " + strconv.FormatInt(a.length, 10) + "\r\n")
		case a.status != http.StatusNoContent && a.status != http.StatusNotModified:
			b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n")
		}
	}
	if end {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if err := c.nc.SetWriteDeadline(time.Now().Add(callerWrite)); err != nil {
		return false
	}
	if f != nil {
		b.WriteString(string(f.Code))
		_, err := c.nc.Write(b.Bytes())
		return err == nil && !end
	}
	if a.rest != nil {
		return c.stream(b.Bytes(), a, chunked) && !end
	}
	_, err := (&net.Buffers{b.Bytes(), a.body}).WriteTo(c.nc)
	return err == nil && !end
}

// stream writes an answer of which a part has not been read yet. One that breaks
// off ends the connection so that the caller sees it: without the last chunk, short
// of its length, or by a reset where the end of the connection marks the end of the
// body.
func (c *callerConn) stream(head []byte, a *answer, chunked bool) bool {
	_, err := c.nc.Write(head)
	if err == nil {
		var w io.WriteCloser = plainWriter{c.nc}
		if chunked {
			w = httputil.NewChunkedWriter(c.nc)
		}
		_, err = w.Write(a.body)
		if err == nil {
			_, err = io.Copy(w, a.rest)
		}
		if err == nil {
			err = w.Close()
		}
		if err == nil && chunked {
			_, err = io.WriteString(c.nc, "\r\n") // no trailers
		}
	}
	a.finish(err == nil)
	a.rest = nil
	if err == nil {
		return true
	}
	c.g.m.sends.Add("cut", 1)
	if tcp, ok := c.nc.(interface{ SetLinger(int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			c.g.cfg.Log.Debug("linger_failed", "err", err)
		}
	}
	return false
}

// plainWriter writes a body whose length or end the head tells.
type plainWriter struct{ io.Writer }

// Close implements io.Closer.
func (plainWriter) Close() error { return nil }

// alone reports whether no request follows the present one: those behind an
// answer that ends the connection would be sent again.
func (c *callerConn) alone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 1
}

func writeStatus(b *bytes.Buffer, status int) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	b.WriteString("\r\n")
}
