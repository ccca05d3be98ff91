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

// TestDrainWithRequestsSentAhead guards against a planned stop that resets a connection
// while its last response is on the way, since the caller has sent further requests.
func TestDrainWithRequestsSentAhead(t *testing.T) {
	const bodyBytes, receiveBuffer = 600 << 10, 16 << 10
	Convey("a response that closes the connection reaches a slow caller that sends ahead", t, func() {
		ln, err := listener.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		body := make([]byte, bodyBytes)
		svc := newHTTPService("test", ln, nil, &http.Server{
			ReadHeaderTimeout: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = w.Write(body) // the caller checks
			}),
		})
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		served := make(chan error, 1)
		go func() { served <- svc.Serve(ctx) }()
		nc, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		So(nc.(*net.TCPConn).SetReadBuffer(receiveBuffer), ShouldBeNil)
		So(nc.SetDeadline(time.Now().Add(6*time.Second)), ShouldBeNil)
		ahead := func() error {
			_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			return err
		}
		So(ahead(), ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		So(ahead(), ShouldBeNil)
		drained := make(chan error, 1)
		go func() { drained <- svc.drain(ctx) }()
		time.Sleep(200 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReaderSize(nc, receiveBuffer), nil)
		So(err, ShouldBeNil)
		n, err := io.Copy(io.Discard, resp.Body)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, bodyBytes)
		So(nc.Close(), ShouldBeNil)
		So(<-drained, ShouldBeNil)
		<-served
	})
}
