package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
)

// httpService serves an http.Server on its listener. It implements
// suture.Service.
type httpService struct {
	name string
	srv  *http.Server
	ln   net.Listener
	// stopping is true once drain closes the listener, so that Serve does not
	// treat this as a failure.
	stopping atomic.Bool
	// drained is closed when drain returns.
	drained chan struct{}

	mu sync.Mutex
	// busy holds the connections that are new or have a request in progress.
	busy map[net.Conn]struct{}
}

func newHTTPService(name string, ln net.Listener, srv *http.Server) *httpService {
	s := &httpService{name: name, srv: srv, ln: ln, busy: map[net.Conn]struct{}{}, drained: make(chan struct{})}
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
	err := s.srv.Serve(s.ln)
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
// in progress. http.Server.Shutdown alone would drop requests whose header arrives
// while it begins, so drain calls it only when no connection is busy.
func (s *httpService) drain(ctx context.Context) error {
	if s.stopping.CompareAndSwap(false, true) {
		defer close(s.drained)
	}
	_ = s.ln.Close()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.busyConnections() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return s.srv.Shutdown(ctx)
}
