package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform/standin"
)

// TestContinueWaitsForEarlierAnswers guards against an interim response to a request that
// is written before, or into, the response to an earlier one on the same connection.
func TestContinueWaitsForEarlierAnswers(t *testing.T) {
	Convey("Given a request, and behind it one whose caller waits for 100 Continue", t, func() {
		r := newHarness(t, 1)
		r.setBehaviour(standin.Behaviour{ServiceTime: 200 * time.Millisecond})
		nc, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		So(nc.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		br := bufio.NewReader(nc)
		next := func() (status int, id string) {
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			if resp.StatusCode != http.StatusContinue {
				_, err = io.Copy(io.Discard, resp.Body)
				So(err, ShouldBeNil)
			}
			return resp.StatusCode, resp.Header.Get(standin.HeaderRequestID)
		}
		writeString(nc, rawRequest("first", "/s/x"))
		writeString(nc, "POST /o/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-Continue\r\n"+
			standin.HeaderRequestID+": second\r\n"+standin.HeaderDeadline+": 1500\r\n\r\n")
		Convey("the answers come in order", func() {
			status, id := next()
			So(status, ShouldEqual, http.StatusOK)
			So(id, ShouldEqual, "first")
			status, _ = next()
			So(status, ShouldEqual, http.StatusContinue)
			writeString(nc, "12345")
			status, id = next()
			So(status, ShouldEqual, http.StatusOK)
			So(id, ShouldEqual, "second")
		})
		Convey("a stopping host answers the first and closes the connection with it", func() {
			time.Sleep(50 * time.Millisecond)
			r.gw.Drain(boottime.Now() + 5*time.Second)
			status, id := next()
			So(status, ShouldEqual, http.StatusOK)
			So(id, ShouldEqual, "first")
			_, err := br.ReadByte()
			So(err, ShouldEqual, io.EOF)
			So(r.targets[0].RunCount("second"), ShouldEqual, 0)
		})
	})
}
