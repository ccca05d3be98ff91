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

// DefaultDialTimeout limits the opening of a connection.
const DefaultDialTimeout = 300 * time.Millisecond

// Client calls methods of other entry hosts. It is safe for concurrent use.
type Client struct {
	// TLS is the client side of mutual TLS, or nil for plain TCP.
	TLS *tls.Config
	// DialTimeout limits the opening of a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// Call calls a method and decodes its result. The context must have a
// deadline. It fails with *CallError.
func (c *Client) Call(ctx context.Context, addr, method string, params, result any) error {
	calls.Add(method, 1)
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return c.fail(addr, method, dialCode(err), err)
	}
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		return c.fail(addr, method, CodeRemote, err)
	case ctx.Err() != nil:
		// The connection may have gone silent; the next call opens a new one.
		c.drop(addr, conn)
		return c.fail(addr, method, CodeTimeout, err)
	case isJSONError(err):
		return c.fail(addr, method, CodeMalformed, err)
	}
	c.drop(addr, conn)
	return c.fail(addr, method, CodeClosed, err)
}

func (c *Client) fail(addr, method string, code Code, err error) *CallError {
	failures.Add(method+"_"+string(code), 1)
	return &CallError{Addr: addr, Method: method, Code: code, Err: err}
}

func isJSONError(err error) bool {
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &typ)
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
	var raw net.Conn
	var err error
	if c.TLS != nil {
		raw, err = (&tls.Dialer{Config: c.TLS}).DialContext(ctx, "tcp", addr)
	} else {
		raw, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	stream := NewStream(countedConn{raw})
	conn := jsonrpc2.NewConn(context.Background(), stream, refuseCalls{}, quiet)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*jsonrpc2.Conn{}
	}
	if other := c.conns[addr]; other != nil {
		// Another call opened a connection at the same time.
		go func() { _ = conn.Close() }()
		return other, nil
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

// refuseCalls is the handler of outgoing connections, on which no peer calls.
type refuseCalls struct{}

func (refuseCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side takes no calls"})
	}
}
