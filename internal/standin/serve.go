package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
)

// shutdownTimeout limits how long a stopping server waits for its requests.
const shutdownTimeout = 500 * time.Millisecond

// Server serves a handler on a listener under suture until its context ends.
type Server struct {
	// Name identifies the service in events of suture.
	Name     string
	Listener net.Listener
	Handler  http.Handler
}

// String implements fmt.Stringer.
func (s *Server) String() string { return s.Name }

// Serve implements suture.Service. The server cannot reopen the listener, so a
// failure terminates the supervisor tree.
func (s *Server) Serve(ctx context.Context) error {
	hs := &http.Server{Handler: s.Handler}
	serveErr := make(chan error, 1)
	go func() { serveErr <- hs.Serve(s.Listener) }()
	select {
	case err := <-serveErr:
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if hs.Shutdown(shutdownCtx) != nil {
		_ = hs.Close()
	}
	return suture.ErrDoNotRestart
}
