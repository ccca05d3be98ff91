package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/guard"
)

// MaxCallsPerConn limits the concurrent calls of one connection. Further calls
// wait in the connection, so that one peer cannot occupy the host.
const MaxCallsPerConn = 64

// Handler handles the calls of one method. The caller receives the text of an
// error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves calls. Add handlers before Serve. It is a suture service.
type Server struct {
	// Listener accepts the connections.
	Listener net.Listener
	// TLS is the server side of mutual TLS, or nil for plain TCP.
	TLS *tls.Config

	mu       sync.Mutex
	handlers map[string]Handler
}

// discardLog keeps the library from writing to the standard logger; failures are
// counted and returned instead.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Handle sets the handler of a method.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
	}
	s.handlers[method] = h
}

// TypedHandler adapts a function with typed parameters and result to a Handler.
func TypedHandler[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var p P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &p); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters do not fit the method"}
			}
		}
		return f(ctx, p)
	}
}

// Serve accepts connections until the context ends. It closes the listener.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.serveConn(ctx, conn)
		}()
	}
}

func (s *Server) serveConn(ctx context.Context, netConn net.Conn) {
	if s.TLS != nil {
		netConn = tls.Server(netConn, s.TLS)
	}
	stream := NewStream(countedConn{netConn})
	d := &dispatcher{server: s, slots: make(chan struct{}, MaxCallsPerConn)}
	conn := jsonrpc2.NewConn(ctx, stream, d, discardLog)
	select {
	case <-ctx.Done():
	case <-conn.DisconnectNotify():
	}
	_ = conn.Close()
}

// dispatcher runs the calls of one connection concurrently, so that a long poll
// does not delay later calls.
type dispatcher struct {
	server *Server
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	d.slots <- struct{}{}
	go func() {
		defer func() { <-d.slots }()
		d.respond(ctx, conn, req)
	}()
}

func (d *dispatcher) respond(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	d.server.mu.Lock()
	h := d.server.handlers[req.Method]
	d.server.mu.Unlock()
	if h == nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	var result any
	var err error
	if panicked := guard.Call("peer call "+req.Method, func() { result, err = h(ctx, params) }); panicked != nil {
		result, err = nil, panicked
	}
	if req.Notif {
		return
	}
	if err != nil {
		var rpc *jsonrpc2.Error
		if !errors.As(err, &rpc) {
			rpc = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		_ = conn.ReplyWithError(ctx, req.ID, rpc)
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}
