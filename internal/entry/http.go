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
	// stopping says that the listener was closed on purpose.
	stopping atomic.Bool
	// finished is closed when no request is in progress after that.
	finished chan struct{}

	mu sync.Mutex
	// busy holds the connections that are new or carry a request.
	busy map[net.Conn]struct{}
}

func newHTTPService(name string, ln net.Listener, srv *http.Server) *httpService {
	s := &httpService{name: name, srv: srv, ln: ln, busy: map[net.Conn]struct{}{}, finished: make(chan struct{})}
	srv.ConnState = s.connState
	return s
}

// String names the service in logs.
func (s *httpService) String() string { return "http-" + s.name }

// Serve runs until ctx ends or the server is finished. Suture ends ctx when
// Serve returns, so Serve waits for the requests in progress.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.srv.Close() })
	defer stop()
	err := s.srv.Serve(s.ln)
	if !s.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	select {
	case <-s.finished:
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

// finishPoll is how often finish looks for busy connections.
const finishPoll = 5 * time.Millisecond

// finish stops accepting connections and waits until none carries a request.
// http.Server.Shutdown alone would drop requests whose header arrives while it
// begins, so it is called only when no connection is busy.
func (s *httpService) finish(ctx context.Context) error {
	if s.stopping.CompareAndSwap(false, true) {
		defer close(s.finished)
	}
	_ = s.ln.Close()
	tick := time.NewTicker(finishPoll)
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
