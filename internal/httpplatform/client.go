package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/internal/httpmessage"
	"github.com/boragelock/boragelock/provider"
)

const (
	// maxResponseBytes limits how much of a response body is read into memory.
	maxResponseBytes = 64 << 20
	// maxDetailBytes limits how much of an error response is kept as detail.
	maxDetailBytes = 256
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 30 * time.Second
)

// Options are the settings of a client.
type Options struct {
	// DialTimeout limits the time to open a connection. The default of 400 ms
	// lets a granter detect a dead target within two renewals.
	DialTimeout time.Duration
	// Dial opens connections. The default is a net.Dialer with DialTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 400 * time.Millisecond
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return o
}

// client sends requests to one server.
type client struct {
	baseURL string
	http    *http.Client
}

func newClient(addr string, o Options) *client {
	o = o.withDefaults()
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	return &client{baseURL: strings.TrimSuffix(addr, "/"), http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Bytes sent to and received from the platform and the control interface of
// targets.
var (
	sentBytes     = expvar.NewInt("platform_sent_bytes")
	receivedBytes = expvar.NewInt("platform_received_bytes")
)

// countedConn counts the calls of Write, successful or not, and the bytes in both
// directions.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	sentBytes.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	receivedBytes.Add(int64(n))
	return n, err
}

// writeTracker tracks writes to the connections that one request is given.
type writeTracker struct {
	mu            sync.Mutex
	conns         []*countedConn
	writesBefore  []int64
	untrackedConn bool
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*countedConn)
	if !ok {
		t.untrackedConn = true
		return
	}
	t.conns = append(t.conns, c)
	t.writesBefore = append(t.writesBefore, c.writes.Load())
}

// closeConns closes the connections, so that what a server sends next on them is not taken for
// the response to another request.
func (t *writeTracker) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.Close() // nothing is lost: no request is in progress on it
	}
}

// mayHaveSent reports whether a byte of the request may have left this host.
// After the context has ended, the transport may still be about to write to a
// connection that the request was given.
func (t *writeTracker) mayHaveSent(ctxEnded bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untrackedConn || (ctxEnded && len(t.conns) > 0) {
		return true
	}
	for i, c := range t.conns {
		if c.writes.Load() != t.writesBefore[i] {
			return true
		}
	}
	return false
}

// do sends one request and decodes the response into out.
func (c *client) do(ctx context.Context, op, method, path string, body []byte, out any) error {
	tracker := &writeTracker{}
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	var reqBody io.Reader
	if body != nil {
		reqBody = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(tracedCtx, method, c.baseURL+path, reqBody)
	if err != nil {
		return &provider.Error{Op: op, Code: provider.CodeUnavailable, Detail: "request could not be built", Err: err}
	}
	req.GetBody = nil
	// An empty value keeps the transport from sending its own User-Agent, which
	// would be a tenth of the bytes of a renewal.
	req.Header["User-Agent"] = []string{""}
	resp, err := c.http.Do(req)
	if err != nil {
		if tracker.mayHaveSent(ctx.Err() != nil) {
			return &provider.Error{Op: op, Code: provider.CodeUnknownOutcome, Detail: "no response", Err: err}
		}
		return &provider.Error{Op: op, Code: provider.CodeUnavailable, Detail: "no connection", Err: err}
	}
	defer resp.Body.Close()
	if err := httpmessage.CheckResponse(resp); err != nil {
		tracker.closeConns()
		return &provider.Error{Op: op, Code: provider.CodeUnknownOutcome, Detail: "response is malformed", Err: err}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &provider.Error{Op: op, Code: provider.CodeUnknownOutcome, Detail: "response body could not be read to its end", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &provider.Error{Op: op, Code: provider.CodeMalformed, Detail: "response is not the expected JSON", Err: err}
	}
	return nil
}

// statusError turns a response with a status other than 200 into an error.
func statusError(op string, resp *http.Response, body []byte) error {
	detail := strings.TrimSpace(string(body[:min(len(body), maxDetailBytes)]))
	e := &provider.Error{Op: op, Detail: resp.Status + " " + detail}
	switch {
	case resp.StatusCode == http.StatusGone:
		e.Code = provider.CodeExpired
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		e.Code = provider.CodeRejected
	case resp.Header.Get(provider.HeaderOutcome) == "not_run":
		e.Code = provider.CodeUnavailable
	default:
		e.Code = provider.CodeUnknownOutcome
	}
	return e
}

// CloseIdleConnections closes the connections that carry no request.
func (c *client) CloseIdleConnections() { c.http.CloseIdleConnections() }
