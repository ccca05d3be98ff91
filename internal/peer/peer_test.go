package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type echo struct{ N int }

func startServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: ln}
	s.Handle("echo", TypedHandler(func(_ context.Context, p echo) (echo, error) { return p, nil }))
	s.Handle("slow", TypedHandler(func(ctx context.Context, _ echo) (echo, error) {
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		return echo{}, nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String()
}

func call(c *Client, addr, method string, timeout time.Duration, out *echo) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, addr, method, echo{N: 7}, out)
}

// A slow call must neither delay the next one nor leave a connection in use
// that may have gone silent.
func TestCallAfterTimeoutUsesNewConnection(t *testing.T) {
	Convey("a call that times out is told from one that is refused", t, func() {
		addr := startServer(t)
		c := &Client{}
		defer c.Close()
		var out echo
		So(call(c, addr, "echo", time.Second, &out), ShouldBeNil)
		So(out.N, ShouldEqual, 7)

		var callErr *CallError
		So(errors.As(call(c, addr, "slow", 50*time.Millisecond, &out), &callErr), ShouldBeTrue)
		So(callErr.Code, ShouldEqual, CodeTimeout)
		So(call(c, addr, "echo", time.Second, &out), ShouldBeNil)

		So(errors.As(call(c, addr, "none", time.Second, &out), &callErr), ShouldBeTrue)
		So(callErr.Code, ShouldEqual, CodeRemote)

		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		closed := ln.Addr().String()
		_ = ln.Close()
		So(errors.As(call(c, closed, "echo", time.Second, &out), &callErr), ShouldBeTrue)
		So(callErr.Code, ShouldEqual, CodeRefused)
	})
}
