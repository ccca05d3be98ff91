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
	// idleTimeout is below the idle timeout of the servers' side (120 s), so
	// that this side closes first and no request meets a closing connection.
	idleTimeout = 60 * time.Second
	// maxResponseHeaderBytes limits the header of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxProbeBytes limits the response to a probe.
	maxProbeBytes = 4 << 10
	// probeReuse is how long the result of a probe is used again, so that many
	// requests on silent connections cause one probe.
	probeReuse = 20 * time.Millisecond
)

// pool holds the connections to one target or entry host.
type pool struct {
	addr string
	tr   *http.Transport
	m    *metrics
	// probePath is requested to test a new connection.
	probePath string
	dial      func(context.Context) (net.Conn, error)

	probeMu  sync.Mutex
	probedAt time.Time
	probed   []byte
	probeErr error
}

// poolConfig configures a pool.
type poolConfig struct {
	addr      string
	limit     int // connections
	dials     int // connections being opened
	timeout   time.Duration
	tls       *tls.Config
	probePath string
}

func newPool(cfg poolConfig, m *metrics) *pool {
	p := &pool{addr: cfg.addr, m: m, probePath: cfg.probePath}
	slots := make(chan struct{}, cfg.dials)
	p.dial = func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, cfg.timeout)
		defer cancel()
		return dialLimited(ctx, cfg, slots, m)
	}
	p.tr = &http.Transport{
		DialContext:         func(ctx context.Context, _, _ string) (net.Conn, error) { return p.counted(ctx) },
		MaxConnsPerHost:     cfg.limit,
		MaxIdleConnsPerHost: cfg.limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A larger header is refused, so that a target cannot exhaust memory.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return p
}

func dialLimited(ctx context.Context, cfg poolConfig, slots chan struct{}, m *metrics) (net.Conn, error) {
	select {
	case slots <- struct{}{}:
	default:
		m.dialsWaited.Add(1)
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	defer func() { <-slots }()
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
	named := cfg.tls.Clone()
	named.ServerName, _, _ = net.SplitHostPort(cfg.addr)
	t := tls.Client(c, named)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return t, nil
}

func (p *pool) counted(ctx context.Context) (net.Conn, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.m.connections.Add(1)
	out := &conn{Conn: c, onClose: func() { p.m.connections.Add(-1) }}
	if t, ok := c.(*net.TCPConn); ok {
		if out.raw, err = t.SyscallConn(); err != nil {
			_ = out.Close()
			return nil, err
		}
	}
	return out, nil
}

func (p *pool) close() { p.tr.CloseIdleConnections() }

// warm opens n connections at once and leaves them idle.
func (p *pool) warm(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { _, _ = p.get(ctx, p.tr) })
	}
	wg.Wait()
}

// probe tests a new connection and returns the body of the response.
func (p *pool) probe(ctx context.Context) ([]byte, error) {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	if time.Since(p.probedAt) < probeReuse {
		return p.probed, p.probeErr
	}
	tr := &http.Transport{
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dial(ctx) },
		DisableKeepAlives: true, DisableCompression: true,
	}
	p.probed, p.probeErr = p.get(ctx, tr)
	p.probedAt = time.Now()
	return p.probed, p.probeErr
}

// probeError says that a probe was answered with another status than 200.
type probeError struct{ status string }

// Error implements error.
func (e *probeError) Error() string { return "probe was answered with " + e.status }

func (p *pool) get(ctx context.Context, tr *http.Transport) ([]byte, error) {
	// The context of a request may end while others use the result.
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
