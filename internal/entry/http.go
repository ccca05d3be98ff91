package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/listener"
)

// httpService serves an http.Server on its listener. It implements
// suture.Service.
type httpService struct {
	name string
	srv  *http.Server
	ln   *listener.Listener
	// lingering closes the connections of ln.
	lingering *listener.Lingering
	// tls is nil for plain TCP.
	tls *tls.Config
	// stopping is true once drain closes the listener, so that Serve does not
	// treat this as a failure.
	stopping atomic.Bool
	// drained is closed when drain returns.
	drained chan struct{}

	mu sync.Mutex
	// busy holds the connections that are new or have a request in progress.
	busy map[net.Conn]struct{}
}

func newHTTPService(name string, ln *listener.Listener, tlsConfig *tls.Config, srv *http.Server) *httpService {
	s := &httpService{name: name, srv: srv, ln: ln, lingering: &listener.Lingering{Listener: ln}, tls: tlsConfig, busy: map[net.Conn]struct{}{}, drained: make(chan struct{})}
	srv.ConnState = s.connState
	return s
}

// String returns the name of the service for logs.
func (s *httpService) String() string { return "http-" + s.name }

// Serve runs until ctx ends or the server is drained. When Serve returns, suture
// ends ctx, so Serve waits for the requests in progress.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.srv.Close() })
	defer stop()
	var ln net.Listener = s.lingering
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls)
	}
	err := s.srv.Serve(ln)
	if !s.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
	return suture.ErrDoNotRestart
}

func (s *httpService) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		s.busy[c] = struct{}{}
		return
	}
	delete(s.busy, c)
}

func (s *httpService) busyConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy)
}

// drainPollInterval is how often drain checks for busy connections.
const drainPollInterval = 5 * time.Millisecond

// drain stops accepting connections and waits until no connection has a request
// in progress and each closed one has delivered its responses. http.Server.Shutdown alone would drop requests whose header arrives
// while it begins, so drain calls it only when no connection is busy.
func (s *httpService) drain(ctx context.Context) error {
	if s.stopping.CompareAndSwap(false, true) {
		defer close(s.drained)
	}
	notDrained := s.ln.Drain()
	select {
	case <-s.ln.Closed(): // every accepted connection is counted as busy
	case <-ctx.Done():
		return errors.Join(notDrained, ctx.Err())
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.busyConnections() > 0 || s.lingering.Closing() > 0 {
		select {
		case <-ctx.Done():
			return errors.Join(notDrained, ctx.Err())
		case <-tick.C:
		}
	}
	return errors.Join(notDrained, s.srv.Shutdown(ctx))
}
