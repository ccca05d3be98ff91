package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"
)

// stopLimit is how long a stopping server waits for its requests.
const stopLimit = 500 * time.Millisecond

// Server serves a handler on a listener under suture until its context ends.
type Server struct {
	// Name is shown by suture.
	Name     string
	Listener net.Listener
	Handler  http.Handler
}

// String implements fmt.Stringer.
func (s *Server) String() string { return s.Name }

// Serve implements suture.Service. A listener cannot be opened again on the
// same terms, so a failure is final.
func (s *Server) Serve(ctx context.Context) error {
	hs := &http.Server{Handler: s.Handler}
	failed := make(chan error, 1)
	go func() { failed <- hs.Serve(s.Listener) }()
	select {
	case err := <-failed:
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if hs.Shutdown(limit) != nil {
		_ = hs.Close()
	}
	return suture.ErrDoNotRestart
}
