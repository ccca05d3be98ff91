package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// idleTimeout is below the idle timeout of the server side (120 s), so that
	// this side closes first and no request is sent on a closing connection.
	idleTimeout = 60 * time.Second
	// maxResponseHeaderBytes limits the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxProbeBytes limits the response to a probe.
	maxProbeBytes = 4 << 10
	// probeReuse is how long the result of a probe is reused, so that many
	// requests on silent connections cause one probe.
	probeReuse = 20 * time.Millisecond
)

// pool holds the connections to one target or entry host.
type pool struct {
	addr      string
	transport *http.Transport
	m         *metrics
	// probePath is the path that probes request.
	probePath string
	dial      func(context.Context) (net.Conn, error)

	probeMu   sync.Mutex
	probedAt  time.Time
	probeBody []byte
	probeErr  error
}

// poolConfig configures a pool.
type poolConfig struct {
	addr           string
	maxConnections int
	maxDials       int // concurrent dials
	dialTimeout    time.Duration
	tls            *tls.Config
	probePath      string
}

func newPool(cfg poolConfig, m *metrics) *pool {
	p := &pool{addr: cfg.addr, m: m, probePath: cfg.probePath}
	dialSlots := make(chan struct{}, cfg.maxDials)
	p.dial = func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.dialTimeout)
		defer cancel()
		return dialLimited(ctx, cfg, dialSlots, m)
	}
	p.transport = &http.Transport{
		DialContext:         func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dialCounted(ctx) },
		MaxConnsPerHost:     cfg.maxConnections,
		MaxIdleConnsPerHost: cfg.maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A larger header is refused, so that a target cannot exhaust memory.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return p
}

func dialLimited(ctx context.Context, cfg poolConfig, dialSlots chan struct{}, m *metrics) (net.Conn, error) {
	select {
	case dialSlots <- struct{}{}:
	default:
		m.dialsWaited.Add(1)
		select {
		case dialSlots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	defer func() { <-dialSlots }()
	m.dials.Add(1)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", cfg.addr)
	if err == nil && cfg.tls != nil {
		c, err = handshake(ctx, c, cfg)
	}
	if err != nil {
		m.dialsFailed.Add(1)
	}
	return c, err
}

func handshake(ctx context.Context, c net.Conn, cfg poolConfig) (net.Conn, error) {
	config := cfg.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(cfg.addr)
	t := tls.Client(c, config)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return t, nil
}

func (p *pool) dialCounted(ctx context.Context) (net.Conn, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.m.connections.Add(1)
	out := &conn{Conn: c, onClose: func() { p.m.connections.Add(-1) }}
	if t, ok := c.(*net.TCPConn); ok {
		if out.rawConn, err = t.SyscallConn(); err != nil {
			_ = out.Close()
			return nil, err
		}
	}
	return out, nil
}

func (p *pool) close() { p.transport.CloseIdleConnections() }

// openIdle opens n connections concurrently and leaves them idle.
func (p *pool) openIdle(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { _, _ = p.fetch(ctx, p.transport) })
	}
	wg.Wait()
}

// probe requests probePath over a new connection and returns the response body.
func (p *pool) probe(ctx context.Context) ([]byte, error) {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	if time.Since(p.probedAt) < probeReuse {
		return p.probeBody, p.probeErr
	}
	tr := &http.Transport{
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dial(ctx) },
		DisableKeepAlives: true, DisableCompression: true,
	}
	p.probeBody, p.probeErr = p.fetch(ctx, tr)
	p.probedAt = time.Now()
	return p.probeBody, p.probeErr
}

// probeError reports a probe response with a status other than 200.
type probeError struct{ status string }

// Error implements error.
func (e *probeError) Error() string { return "probe response has status " + e.status }

func (p *pool) fetch(ctx context.Context, tr *http.Transport) ([]byte, error) {
	// The context of the request may end while other requests use the result.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+p.probePath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &probeError{resp.Status}
	}
	return data, err
}

// probeTimeout limits a probe: several times the cost of a new connection.
const probeTimeout = 300 * time.Millisecond

func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
