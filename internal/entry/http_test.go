package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/listener"
)

// TestDrainServesWaitingConnections guards against a planned stop that resets
// connections which the kernel completed and the server has not accepted yet.
func TestDrainServesWaitingConnections(t *testing.T) {
	Convey("connections that wait for accept when the drain begins get their response", t, func() {
		ln, err := listener.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		svc := newHTTPService("test", ln, nil, &http.Server{
			ReadHeaderTimeout: time.Second,
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		})
		conns := make([]net.Conn, 8)
		for i := range conns {
			conns[i], err = net.Dial("tcp", ln.Addr().String())
			So(err, ShouldBeNil)
			t.Cleanup(func() { _ = conns[i].Close() })
			_, err = io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			So(err, ShouldBeNil)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- svc.drain(ctx) }()
		time.Sleep(50 * time.Millisecond) // the drain begins before the server accepts
		served := make(chan error, 1)
		go func() { served <- svc.Serve(ctx) }()
		for _, c := range conns {
			So(c.SetReadDeadline(time.Now().Add(2*time.Second)), ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		}
		So(<-drained, ShouldBeNil)
		<-served
		_, err = net.DialTimeout("tcp", ln.Addr().String(), time.Second)
		So(err, ShouldNotBeNil)
	})
}
