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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/listener"
	"github.com/boragelock/boragelock/platform"
)

// Limits of callers' connections.
const (
	// maxPipelined is the number of requests in flight on one connection.
	maxPipelined = 16
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout apply until a desired state is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleMargin is added to the idle time that is announced to callers.
	idleMargin = 1 * time.Second
	// drainIdleTimeout is how long a stopping host keeps idle connections: callers
	// still use them, and by then the balancer has seen that the host is not ready.
	drainIdleTimeout = 2500 * time.Millisecond
	// maxWriteStall bounds the time in which a caller takes no byte of its response. A caller
	// that reads 1 kB/s may announce room for 64 kB at a time, about once a minute.
	maxWriteStall = 70 * time.Second
	// callerWriteTimeout is the bound while memory is short, and of refusals.
	callerWriteTimeout = 10 * time.Second
	// maxUnsentBytes bounds what the kernel holds of a response beyond what the caller has
	// room for. Without it, it takes up to 4 MB for each caller, which no budget counts.
	maxUnsentBytes = 64 << 10
)

// ServeCallers accepts and serves callers' connections until the context ends or the
// listener is closed. It then fails with the context's error or net.ErrClosed, and
// OpenConnections counts every accepted connection that is still open.
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
		if g.cfg.MaxCallers > 0 && g.openConns.Load() >= int64(g.cfg.MaxCallers+g.cfg.MaxClosing) {
			g.metrics.closes.Add("refused_at_once", 1)
			_ = nc.Close() // nothing of it was read
			continue
		}
		serve := func() { g.serveConn(ctx, nc) }
		if !g.makeRoom() {
			serve = func() { g.refuseConnection(nc) }
		}
		g.openConns.Add(1)
		go func() {
			defer g.openConns.Add(-1)
			if err := guard.Call("connection", serve); err != nil {
				g.cfg.Log.Error("panic", "duty", "connection", "err", err)
				_ = nc.Close() // its state is unknown after the panic
			}
		}()
	}
}

func (g *Gateway) limits() fleet.Limits {
	l := fleet.Limits{
		MaxHeaderBytes: defaultHeaderBytes, MaxBodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
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
	// headLimit bounds the bytes of a request's head.
	headLimit *io.LimitedReader
	br        *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	// slots bounds the requests in flight.
	slots chan struct{}
	// latestWritten is closed when the response to the latest request was written.
	latestWritten chan struct{}
	wg            sync.WaitGroup
	// memory is the connection's part of the memory of responses.
	memory *memoryBudget

	mu      sync.Mutex
	pending int
	// closing says that no further request is started. The response to the last
	// pending one closes the connection.
	closing bool
	// lastWritten says that this response was written, so that reading ends.
	lastWritten bool
	// broken says that no further response can be written.
	broken bool
}

// serveConn serves one connection: it starts each request once it was read.
func (g *Gateway) serveConn(parent context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	limited := &io.LimitedReader{R: nc}
	done := make(chan struct{})
	close(done)
	c := &callerConn{
		g: g, nc: nc, headLimit: limited, br: bufio.NewReaderSize(limited, readBufferSize), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, maxPipelined), latestWritten: done, memory: g.responseMemory.forConnection(),
	}
	if err := limitUnsent(nc); err != nil {
		g.cfg.Log.Debug("unsent_limit_failed", "err", err)
	}
	g.callers.setIdle(c)
	defer g.callers.remove(c)
	c.readLoop()
	c.wg.Wait()
	cancel()
	g.metrics.closes.Add(string(listener.LingeringClose(nc)), 1)
}

// readLoop reads requests and starts each until the connection ends.
func (c *callerConn) readLoop() {
	for {
		c.slots <- struct{}{}
		if c.memory.held.Load() > maxBufferedBody {
			<-c.latestWritten // a caller that reads slowly gets no further responses prepared
		}
		l := c.g.limits()
		if !c.awaitRequest(l) {
			return
		}
		r, body, failure := c.readRequest(l)
		arrived := boottime.Now()
		if failure == nil && r == nil {
			// The caller left or sent an incomplete request: cancel its requests.
			c.cancel()
			return
		}
		last := failure != nil || r.Close
		if !c.startRequest(last) {
			body.drop()
			c.g.metrics.closes.Add("requests_not_started", 1)
			return
		}
		previousWritten := c.latestWritten
		done := make(chan struct{})
		c.latestWritten = done
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer c.g.inFlight.Add(-1)
			defer close(done)
			defer body.drop()
			err := guard.Call("answer", func() { c.handle(r, body, failure, arrived, previousWritten) })
			if err != nil {
				c.g.cfg.Log.Error("panic", "duty", "answer", "err", err)
				c.abandon()
			}
			<-c.slots
		}()
		if last {
			if failure == nil {
				c.watchForClose()
			}
			return
		}
	}
}

// startRequest counts a request as pending and reports whether it may be started. last
// says that no further request will be.
func (c *callerConn) startRequest(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.closing = last
	if c.pending++; c.pending == 1 {
		c.g.callers.remove(c)
	}
	c.g.inFlight.Add(1)
	return true
}

// closesWithResponse reports whether the response that is written next, to the oldest
// pending request, closes the connection. A stopping host closes it with the response to
// the last pending request, and starts none from then on.
func (c *callerConn) closesWithResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 1 {
		return false
	}
	c.closing = c.closing || c.g.draining.Load()
	return c.closing
}

// stopStarting lets no further request of the connection be started.
func (c *callerConn) stopStarting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// stopReading ends readLoop after the last response was written.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWritten = true
	if c.nc.SetReadDeadline(time.Now()) != nil {
		_ = c.nc.Close() // ends readLoop too
	}
}

// setReadDeadline sets the deadline of reads. It fails with net.ErrClosed when no
// further request is read.
func (c *callerConn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWritten {
		return net.ErrClosed
	}
	return c.nc.SetReadDeadline(t)
}

// abandon closes the connection after a panic while a response was written, since
// a part of it may have been sent.
func (c *callerConn) abandon() {
	c.mu.Lock()
	c.pending--
	c.broken = true
	c.mu.Unlock()
	_ = c.nc.Close() // ends readLoop
}

// watchForClose waits, after the last request, for the caller to close the
// connection, and then cancels the requests in flight.
func (c *callerConn) watchForClose() {
	if err := c.setReadDeadline(time.Time{}); err != nil {
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
	c.headLimit.N = math.MaxInt64
	idle := l.IdleTimeout + idleMargin
	for start := boottime.Now(); ; {
		wait := idle - (boottime.Now() - start)
		if c.g.draining.Load() {
			wait = min(wait, drainIdleTimeout)
		}
		// Short waits let a stopping host close its idle connections.
		if err := c.setReadDeadline(time.Now().Add(min(max(wait, time.Millisecond), drainIdleTimeout))); err != nil {
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

// readRequest reads one request with its body. It returns all nil when the
// connection failed or ended. A body for which there is no memory stays unread.
func (c *callerConn) readRequest(l fleet.Limits) (*http.Request, *requestBody, *Failure) {
	if err := c.setReadDeadline(time.Now().Add(l.HeaderTimeout)); err != nil {
		return nil, nil, nil
	}
	c.headLimit.N = int64(l.MaxHeaderBytes) + readBufferSize
	r, err := http.ReadRequest(c.br)
	if err != nil {
		var ne net.Error
		switch {
		case c.headLimit.N <= 0:
			return nil, nil, &Failure{Code: CodeTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Err: err}
		case errors.As(err, &ne) && ne.Timeout():
			return nil, nil, &Failure{Code: CodeMalformed, Status: http.StatusRequestTimeout, Err: err}
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
			return nil, nil, nil
		}
		return nil, nil, &Failure{Code: CodeMalformed, Status: http.StatusBadRequest, Err: err}
	}
	if !r.ProtoAtLeast(1, 1) {
		r.Close = true // a response without a length ends the connection (RFC 9112, 9.3)
	}
	if r.ContentLength > l.MaxBodyBytes {
		return r, nil, &Failure{Code: CodeTooLarge, Status: http.StatusRequestEntityTooLarge}
	}
	if r.ContentLength == 0 {
		return r, nil, nil
	}
	c.headLimit.N = math.MaxInt64
	expectsContinue := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if expectsContinue {
		<-c.latestWritten // interim responses keep the order of the requests
	}
	body, err := c.g.bodyMemory.read(c.ctx, r.Body, r.ContentLength, l.MaxBodyBytes, func() error {
		if err := c.setReadDeadline(time.Now().Add(l.IdleTimeout)); err != nil || !expectsContinue {
			return err
		}
		_, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
		return err
	})
	if err == nil {
		return r, body, nil
	}
	if f := bodyFailure(err); f != nil {
		return r, nil, f
	}
	return nil, nil, nil
}

// handle serves one request and writes the response after the previous one.
func (c *callerConn) handle(r *http.Request, body *requestBody, failure *Failure, arrived time.Duration, previousWritten chan struct{}) {
	var res *response
	if failure == nil {
		removeHopHeaders(r.Header)
		res, failure = c.g.serve(c.ctx, r, body, arrived, c.memory)
	}
	c.logOutcome(r, res, failure, arrived)
	if failure != nil && failure.Code == CodeStopping {
		c.stopStarting() // the next one would be refused too
	}
	<-previousWritten
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	last := false
	if !broken {
		last = c.closesWithResponse()
		broken = !c.writeResponse(r, res, failure, last)
	}
	if res != nil {
		res.discard()
	}
	c.mu.Lock()
	c.pending--
	c.broken = broken
	if c.pending == 0 && !c.closing && !broken {
		c.g.callers.setIdle(c)
	}
	c.mu.Unlock()
	switch {
	case broken:
		_ = c.nc.Close() // ends readLoop
	case last:
		c.stopReading()
	}
}

// removeHopHeaders removes the headers that the Connection header names.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range bytes.Split([]byte(v), []byte(",")) {
			if n := http.CanonicalHeaderKey(string(bytes.TrimSpace(name))); n != "" && !platform.IsHopByHopHeader(n) && n != "Close" {
				h.Del(n)
			}
		}
	}
}

// logOutcome counts a request's outcome. It also logs a request that the gateway
// answered itself.
func (c *callerConn) logOutcome(r *http.Request, res *response, f *Failure, arrived time.Duration) {
	took := boottime.Now() - arrived
	c.g.metrics.totalLatency.record(took)
	if f == nil {
		c.g.metrics.outcomes.Add(strconv.Itoa(res.status), 1)
		return
	}
	c.g.metrics.outcomes.Add(string(f.Code), 1)
	id := ""
	if r != nil {
		id = platform.ParseRequestHeaders(r.Header).ID
	}
	c.g.cfg.Log.Request("failed", id, "code", f.Code, "status", f.Status, "took_ms", took.Milliseconds(),
		"retry_after_ms", f.RetryAfter.Milliseconds(), "err", f.Err, "caller_left", c.ctx.Err() != nil)
}
