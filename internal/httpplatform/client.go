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

	"github.com/boragelock/boragelock/provider"
)

const (
	// maxAnswerBytes limits the answers that are read into memory.
	maxAnswerBytes = 64 << 20
	// maxDetailBytes limits how much of an error answer is kept as detail.
	maxDetailBytes = 256
	// idleTimeout closes connections that are not used.
	idleTimeout = 30 * time.Second
)

// Options are the settings of a client.
type Options struct {
	// DialTimeout limits the opening of a connection. Default 400 ms, so that
	// a granter sees a dead target within two renewals.
	DialTimeout time.Duration
	// Dial opens connections. Default: a net.Dialer.
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
	base string
	http *http.Client
}

func newClient(addr string, o Options) *client {
	o = o.withDefaults()
	tr := &http.Transport{
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
	return &client{base: strings.TrimSuffix(addr, "/"), http: &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Bytes to and from the platform and, for control, targets.
var (
	sentBytes     = expvar.NewInt("platform_sent_bytes")
	receivedBytes = expvar.NewInt("platform_received_bytes")
)

// countedConn counts calls of Write, successful or not, and bytes.
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

// sending watches the connections that one request is given.
type sending struct {
	mu    sync.Mutex
	conns []*countedConn
	start []int64
	other bool
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*countedConn)
	if !ok {
		s.other = true
		return
	}
	s.conns = append(s.conns, c)
	s.start = append(s.start, c.writes.Load())
}

// mayHaveSent reports whether a byte of the request can have left this host.
// When the context has ended, the transport may still be about to write to a
// connection that the request was given.
func (s *sending) mayHaveSent(ctxEnded bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.other || (ctxEnded && len(s.conns) > 0) {
		return true
	}
	for i, c := range s.conns {
		if c.writes.Load() != s.start[i] {
			return true
		}
	}
	return false
}

// do sends one request and decodes the answer into out.
func (c *client) do(ctx context.Context, op, method, path string, body []byte, out any) error {
	sent := &sending{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(traced, method, c.base+path, rd)
	if err != nil {
		return &provider.Error{Op: op, Code: provider.CodeUnavailable, Detail: "request could not be built", Err: err}
	}
	req.GetBody = nil
	// An empty value keeps the transport from sending its own name, which
	// would be a tenth of a renewal.
	req.Header["User-Agent"] = []string{""}
	resp, err := c.http.Do(req)
	if err != nil {
		if sent.mayHaveSent(ctx.Err() != nil) {
			return &provider.Error{Op: op, Code: provider.CodeUnknownOutcome, Detail: "no answer", Err: err}
		}
		return &provider.Error{Op: op, Code: provider.CodeUnavailable, Detail: "no connection", Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &provider.Error{Op: op, Code: provider.CodeUnknownOutcome, Detail: "answer was cut", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(op, resp, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &provider.Error{Op: op, Code: provider.CodeMalformed, Detail: "answer is not the expected JSON", Err: err}
	}
	return nil
}

// refusal turns an answer other than 200 into an error.
func refusal(op string, resp *http.Response, body []byte) error {
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

// CloseIdle closes the connections that carry no request.
func (c *client) CloseIdle() { c.http.CloseIdleConnections() }
