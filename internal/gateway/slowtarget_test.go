package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// Guards against a target that reads a long request slowly and is taken for a silent one, and
// against a silent one that is waited for until the deadline.
func TestTargetThatReadsSlowly(t *testing.T) {
	const bytes = 8 << 20 // more than the buffers of the kernel
	send := func(handle func(nc net.Conn)) (*response, *sendError, time.Duration) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			handle(nc)
		}()
		o := &targetRequest{method: "POST", uri: "/", host: "h", header: http.Header{}, body: make([]byte, bytes), id: "x", timeout: 8 * time.Second}
		start := time.Now()
		res, failure := newPool().roundTrip(context.Background(), o, "t", l.Addr().String(), newMemoryBudget(1<<20))
		return res, failure, time.Since(start)
	}
	Convey("A target that reads nothing for 3 s and then all of it answers", t, func() {
		res, failure, _ := send(func(nc net.Conn) {
			time.Sleep(3 * time.Second)
			req, err := http.ReadRequest(bufio.NewReader(nc))
			if err != nil {
				return
			}
			if n, err := io.Copy(io.Discard, req.Body); err != nil || n != bytes {
				return
			}
			writeString(nc, rawResponse(okStatus, "x", signedHeader, "ok"))
			_, _ = nc.Read(make([]byte, 1)) // until the host closes
		})
		So(failure, ShouldBeNil)
		So(string(res.body), ShouldEqual, "ok")
		So(res.metadata.ID, ShouldEqual, "x")
	})
	Convey("One that acknowledges nothing ends the exchange, with an unknown outcome", t, func() {
		_, failure, took := send(func(nc net.Conn) {
			drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
			err := control(nc, func(fd int) error {
				return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
			})
			if err != nil {
				t.Error(err)
			}
			time.Sleep(9 * time.Second)
		})
		So(failure, ShouldNotBeNil)
		So(failure.sent, ShouldBeTrue)
		So(failure.timeout(), ShouldBeTrue)
		So(took, ShouldBeLessThan, 5*time.Second)
	})
}
