package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// attempt is one sending of a request on one hop.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	// gate is checked before each write; nil allows all.
	gate func() error
	// probe tests a new connection to the same server.
	probe func(context.Context) error
	// silentAfter is how long the connection may stay without data, once the
	// request has been written, before it is probed. pauseAfter takes its place
	// when the header of the response has arrived.
	silentAfter, pauseAfter time.Duration
	// useless reports whether the attempt should end when the probe fails as
	// well, because the request can be sent elsewhere; nil means never.
	useless func() bool
	m       *metrics

	mu    sync.Mutex
	conn  *conn
	use   uint64
	fresh bool  // the response began after the request was written
	cause error // why the attempt was ended by this host
	wrote bool  // a byte of the request may have left on an earlier connection
	done  bool
	timer *time.Timer
	// proofs counts the probes in a row that were answered while this
	// connection had no data. It is used by watch only, which never runs twice
	// at the same time.
	proofs int
}

// proofsNeeded is the number of answered probes after which a connection counts
// as silent. One is not enough: a process that gets no processor time for a
// while may answer the probe just before it goes on with the request.
const proofsNeeded = 2

// attemptError is the failure of an attempt.
type attemptError struct {
	// wrote says that a byte of the request may have left.
	wrote bool
	// gate is the error of the gate, or nil.
	gate error
	// dial says that no connection could be opened.
	dial bool
	err  error
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// roundTrip sends req through tr. The response's body must be read within the
// attempt, which ends with finish.
func (a *attempt) roundTrip(tr *http.Transport, req *http.Request) (*http.Response, *attemptError) {
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn:      a.gotConn,
		WroteRequest: a.wroteRequest,
		// Called by the goroutine that alone reads the connection, before it
		// reads beyond the first part of the response.
		GotFirstResponseByte: a.firstByte,
		// With this hook Transport accepts any number of interim responses,
		// which keep a waiting connection from being taken for silent.
		Got1xxResponse: got1xx,
	})
	resp, err := tr.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, a.failed(err)
	}
	a.responded()
	if !a.own() {
		_ = resp.Body.Close()
		a.end(errCrossed)
		return nil, a.failed(errCrossed)
	}
	return resp, nil
}

func got1xx(int, textproto.MIMEHeader) error { return nil }

// gotConn is called when Transport has assigned a connection. A second call
// with the first connection already written to is a silent replay.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		a.end(errReplay)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		wrote, _ := a.conn.seal(a.use)
		a.wrote = a.wrote || wrote
	}
	gate := a.gate
	if a.wrote {
		a.cause = errReplay
		a.m.replaysPrevented.Add(1)
		gate = func() error { return errReplay }
		a.cancel()
	}
	a.conn, a.use = c, c.attach(gate)
}

// wroteRequest begins the watch. While the caller still sends its body, the
// server may have nothing to say.
func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.Err != nil || a.conn == nil || a.probe == nil || a.timer != nil || a.done {
		return
	}
	a.conn.lastRead.Store(sinceStart())
	a.timer = time.AfterFunc(a.silentAfter, a.watch)
}

// responded is called when the header of the response has arrived.
func (a *attempt) responded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentAfter = a.pauseAfter
}

// firstByte notes whether the response began after the request was written.
func (a *attempt) firstByte() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fresh = a.conn != nil && a.conn.answered(a.use)
}

// own reports whether the response answers this request.
func (a *attempt) own() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fresh
}

// watch runs when the connection may be silent.
func (a *attempt) watch() {
	a.mu.Lock()
	c, done, limit := a.conn, a.done, a.silentAfter
	a.mu.Unlock()
	if done {
		return
	}
	quiet := time.Duration(sinceStart() - c.lastRead.Load())
	if quiet < limit {
		a.proofs = 0
		a.rearm(limit - quiet)
		return
	}
	before := c.lastRead.Load()
	err := a.probe(a.ctx)
	alive := c.lastRead.Load() != before
	if alive || err != nil {
		a.proofs = 0
	} else {
		a.proofs++
	}
	switch {
	case a.proofs >= proofsNeeded:
		a.end(errSilent)
	case !alive && err != nil && a.useless != nil && a.useless():
		a.end(errPeerSilent)
	case a.proofs > 0:
		a.rearm(max(limit/2, 2*heartbeat))
	default:
		a.rearm(limit)
	}
}

func (a *attempt) rearm(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done {
		a.timer.Reset(d)
	}
}

// end gives the attempt up for the given cause; its connection is closed.
func (a *attempt) end(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	if a.cause == nil {
		a.cause = cause
	}
	a.cancel()
}

// failed classifies the failure of the attempt and prevents further writes.
func (a *attempt) failed(err error) *attemptError {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &attemptError{wrote: a.wrote, err: err}
	if a.conn != nil {
		wrote, gateErr := a.conn.seal(a.use)
		out.wrote = out.wrote || wrote
		out.gate = gateErr
	}
	out.dial = a.conn == nil
	if a.cause != nil {
		out.err = a.cause
	}
	a.stopLocked()
	return out
}

// finish ends the attempt after its response. whole says that the response
// was read to its end, so that the connection can carry another request.
func (a *attempt) finish(whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if whole && a.conn != nil && !a.done {
		a.conn.detach(a.use)
	}
	a.stopLocked()
}

func (a *attempt) stopLocked() {
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cancel()
}

// reason returns why this host ended the attempt, or err.
func (a *attempt) reason(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause != nil {
		return a.cause
	}
	return err
}
