package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// DefaultDialTimeout limits the time to open a connection.
const DefaultDialTimeout = 300 * time.Millisecond

// Client calls methods of other entry hosts. It is safe for concurrent use.
type Client struct {
	// TLS is the client side of mutual TLS, or nil for plain TCP.
	TLS *tls.Config
	// DialTimeout limits the time to open a connection; 0 means
	// DefaultDialTimeout.
	DialTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// Call calls a method and decodes its result. The context must have a
// deadline. Errors are of type *CallError.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	callCounts.Add(method, 1)
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return c.recordFailure(addr, method, dialCode(err), err)
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		return c.recordFailure(addr, method, CodeRemote, err)
	case ctx.Err() != nil:
		// The connection may have gone silent; the next call opens a new one.
		c.drop(addr, conn)
		return c.recordFailure(addr, method, CodeTimeout, err)
	case isDecodeError(err):
		return c.recordFailure(addr, method, CodeMalformed, err)
	}
	c.drop(addr, conn)
	return c.recordFailure(addr, method, CodeClosed, err)
}

func (c *Client) recordFailure(addr, method string, code Code, err error) *CallError {
	failureCounts.Add(method+"_"+string(code), 1)
	return &CallError{Addr: addr, Method: method, Code: code, Err: err}
}

func isDecodeError(err error) bool {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &mismatch)
}

func dialCode(err error) Code {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return CodeRefused
	}
	return CodeUnreachable
}

func (c *Client) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
			c.drop(addr, conn)
		default:
			return conn, nil
		}
	}
	return c.dial(ctx, addr)
}

func (c *Client) dial(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var netConn net.Conn
	var err error
	if c.TLS != nil {
		netConn, err = (&tls.Dialer{Config: c.TLS}).DialContext(ctx, "tcp", addr)
	} else {
		netConn, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	stream := NewStream(countedConn{netConn})
	conn := jsonrpc2.NewConn(context.Background(), stream, rejectCalls{}, discardLog)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*jsonrpc2.Conn{}
	}
	if existing := c.conns[addr]; existing != nil {
		// Another call opened a connection at the same time.
		go func() { _ = conn.Close() }()
		return existing, nil
	}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) drop(addr string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = nil
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// rejectCalls is the handler of outgoing connections, on which the peer makes no
// calls.
type rejectCalls struct{}

func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side takes no calls"})
	}
}
