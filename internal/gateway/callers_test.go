package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/platform/standin"
)

// TestCallersBeyondTheBound guards against callers that use up all descriptors, so that
// targets and other hosts cannot be reached.
func TestCallersBeyondTheBound(t *testing.T) {
	const maxCallers, maxClosing = 4, 2
	Convey("Given a host with as many connections as it may have", t, func() {
		r := newHarness(t, 4)
		cfg := r.gw.cfg
		cfg.MaxCallers, cfg.MaxClosing = maxCallers, maxClosing
		gw := New(cfg)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		r.address = l.Addr().String()
		go func() { _ = gw.ServeCallers(t.Context(), l) }() // ends with the test
		dial := func() (net.Conn, *bufio.Reader) {
			nc, err := net.Dial("tcp", r.address)
			So(err, ShouldBeNil)
			t.Cleanup(func() { _ = nc.Close() })
			So(nc.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			return nc, bufio.NewReader(nc)
		}
		ask := func(nc net.Conn, br *bufio.Reader, id string) (status int, closes bool) {
			writeString(nc, rawRequest(id, "/s/x"))
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			return resp.StatusCode, resp.Close
		}
		var conns []net.Conn
		var readers []*bufio.Reader
		for i := range maxCallers {
			nc, br := dial()
			conns, readers = append(conns, nc), append(readers, br)
			status, _ := ask(nc, br, "first"+strconv.Itoa(i))
			So(status, ShouldEqual, 200)
			time.Sleep(5 * time.Millisecond)
		}
		Convey("a new one takes the place of the one that is idle for longest", func() {
			status, closes := ask(conns[0], readers[0], "again")
			So(status, ShouldEqual, 200)
			So(closes, ShouldBeFalse)
			nc, br := dial()
			status, _ = ask(nc, br, "new")
			So(status, ShouldEqual, 200)
			_, err := readers[1].ReadByte()
			So(err, ShouldEqual, io.EOF)
			status, _ = ask(conns[0], readers[0], "kept")
			So(status, ShouldEqual, 200)
		})
		Convey("further ones that neither read nor close take no more than those that are being closed may", func() {
			r.setBehaviour(standin.Behaviour{ServiceTime: 300 * time.Millisecond})
			// Half of the callers have a request, the others keep an idle connection.
			for i := range maxCallers / 2 {
				writeString(conns[i], rawRequest("busy"+strconv.Itoa(i), "/s/x"))
			}
			time.Sleep(50 * time.Millisecond)
			for range 10 * maxCallers {
				dial()
				time.Sleep(time.Millisecond)
				So(gw.OpenConnections(), ShouldBeLessThanOrEqualTo, maxCallers+maxClosing)
			}
			for i := range maxCallers / 2 {
				resp, err := http.ReadResponse(readers[i], nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 200)
			}
		})
		Convey("a new one is refused with a time to come back when all are in use", func() {
			r.setBehaviour(standin.Behaviour{ServiceTime: 300 * time.Millisecond})
			for i, nc := range conns {
				writeString(nc, rawRequest("busy"+strconv.Itoa(i), "/s/x"))
			}
			time.Sleep(50 * time.Millisecond)
			_, br := dial()
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
			So(resp.Header.Get("Retry-After"), ShouldEqual, "1")
			So(resp.Close, ShouldBeTrue)
			for i, b := range readers {
				resp, err := http.ReadResponse(b, nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 200)
				So(resp.Header.Get(standin.HeaderRequestID), ShouldEqual, "busy"+strconv.Itoa(i))
			}
		})
	})
}
