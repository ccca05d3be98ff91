package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/httpmessage"
)

// attempt is one transmission of a request over one hop.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	// writeCheck runs before each write; nil allows all writes.
	writeCheck func() error
	// probe tests the server over a new connection.
	probe func(context.Context) error
	// silenceTimeout is how long the connection may stay without data, once the
	// request has been written, before the server is probed. It is replaced by
	// bodySilenceTimeout when the header of the response has arrived.
	silenceTimeout, bodySilenceTimeout time.Duration
	// canReroute reports whether the request can be sent elsewhere; the attempt
	// is then aborted when the probe fails as well. nil means never.
	canReroute func() bool
	m          *metrics

	mu                sync.Mutex
	conn              *conn
	useID             uint64
	startedAfterWrite bool  // the response began after the request was written
	cause             error // why this host aborted the attempt
	wrote             bool  // a byte of the request may have left on an earlier connection
	done              bool
	silenceTimer      *time.Timer
	// probesWithoutData counts the consecutive probes that were answered while
	// this connection received no data. Only checkSilence uses it, which never
	// runs concurrently with itself.
	probesWithoutData int
}

// probesForSilence is the number of answered probes after which a connection
// counts as silent. One is not enough: a process that gets no CPU time for a
// while may answer the probe just before it resumes the request.
const probesForSilence = 2

// attemptError is the failure of an attempt.
type attemptError struct {
	// wrote is true when a byte of the request may have left.
	wrote bool
	// writeCheckErr is the error of the write check, or nil.
	writeCheckErr error
	// dial is true when no connection could be opened.
	dial bool
	err  error
}

// Error implements error.
func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// roundTrip sends req through tr. The response's body must be read before
// finish is called, which ends the attempt.
func (a *attempt) roundTrip(tr *http.Transport, req *http.Request) (*http.Response, *attemptError) {
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn:      a.gotConn,
		WroteRequest: a.wroteRequest,
		// Called by the only goroutine that reads the connection, before it
		// reads beyond the first part of the response.
		GotFirstResponseByte: a.gotFirstByte,
		// With this hook Transport accepts any number of interim responses,
		// which show that a waiting connection is not silent.
		Got1xxResponse: checkInterim,
	})
	resp, err := tr.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, a.fail(err)
	}
	a.headerReceived()
	if err := httpmessage.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		a.closeConn()
		return nil, a.fail(err)
	}
	if !a.ownsResponse() {
		_ = resp.Body.Close()
		a.abort(errMismatchedResponse)
		return nil, a.fail(errMismatchedResponse)
	}
	return resp, nil
}

// checkInterim fails the attempt when an interim response is malformed.
func checkInterim(_ int, h textproto.MIMEHeader) error {
	return httpmessage.CheckFieldNames(http.Header(h))
}

// gotConn is called when Transport has assigned a connection. A second call
// after a write to the first connection is a silent replay, which it prevents.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		a.abort(errReplay)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		wrote, _ := a.conn.blockWrites(a.useID)
		a.wrote = a.wrote || wrote
	}
	check := a.writeCheck
	if a.wrote {
		a.cause = errReplay
		a.m.replaysPrevented.Add(1)
		check = func() error { return errReplay }
		a.cancel()
	}
	a.conn, a.useID = c, c.attach(check)
}

// wroteRequest starts the silence timer. Before that, while the caller still
// sends its body, the server may have nothing to send.
func (a *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if info.Err != nil || a.conn == nil || a.probe == nil || a.silenceTimer != nil || a.done {
		return
	}
	a.conn.lastRead.Store(sinceStart())
	a.silenceTimer = time.AfterFunc(a.silenceTimeout, a.checkSilence)
}

// closeConn closes the connection, so that Transport cannot use it for another request.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // nothing is lost: its response is not used
	}
}

// headerReceived is called when the header of the response has arrived.
func (a *attempt) headerReceived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silenceTimeout = a.bodySilenceTimeout
}

// gotFirstByte records whether the response began after the request was written.
func (a *attempt) gotFirstByte() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedAfterWrite = a.conn != nil && a.conn.receivedResponse(a.useID)
}

// ownsResponse reports whether the response belongs to this request.
func (a *attempt) ownsResponse() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startedAfterWrite
}

// checkSilence runs when the connection may be silent. It probes the server and
// aborts the attempt when the connection counts as silent, or when the probe
// fails and the request can be sent elsewhere.
func (a *attempt) checkSilence() {
	a.mu.Lock()
	c, done, limit := a.conn, a.done, a.silenceTimeout
	a.mu.Unlock()
	if done {
		return
	}
	silentFor := time.Duration(sinceStart() - c.lastRead.Load())
	if silentFor < limit {
		a.probesWithoutData = 0
		a.resetTimer(limit - silentFor)
		return
	}
	lastRead := c.lastRead.Load()
	err := a.probe(a.ctx)
	receivedData := c.lastRead.Load() != lastRead
	if receivedData || err != nil {
		a.probesWithoutData = 0
	} else {
		a.probesWithoutData++
	}
	switch {
	case a.probesWithoutData >= probesForSilence:
		a.abort(errSilent)
	case !receivedData && err != nil && a.canReroute != nil && a.canReroute():
		a.abort(errPeerSilent)
	case a.probesWithoutData > 0:
		a.resetTimer(max(limit/2, 2*heartbeatInterval))
	default:
		a.resetTimer(limit)
	}
}

func (a *attempt) resetTimer(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done {
		a.silenceTimer.Reset(d)
	}
}

// abort cancels the attempt with the given cause, which closes its connection.
func (a *attempt) abort(cause error) {
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

// fail classifies the failure of the attempt and blocks further writes.
func (a *attempt) fail(err error) *attemptError {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &attemptError{wrote: a.wrote, err: err}
	if a.conn != nil {
		wrote, checkErr := a.conn.blockWrites(a.useID)
		out.wrote = out.wrote || wrote
		out.writeCheckErr = checkErr
	}
	out.dial = a.conn == nil
	if a.cause != nil {
		out.err = a.cause
	}
	a.stopLocked()
	return out
}

// finish ends the attempt after its response. whole is true when the response
// was read to its end, so that the connection can carry another request.
func (a *attempt) finish(whole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if whole && a.conn != nil && !a.done {
		a.conn.detach(a.useID)
	}
	a.stopLocked()
}

func (a *attempt) stopLocked() {
	a.done = true
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	a.cancel()
}

// abortCauseOr returns the cause with which this host aborted the attempt, or err.
func (a *attempt) abortCauseOr(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause != nil {
		return a.cause
	}
	return err
}
