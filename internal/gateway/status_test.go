package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// Guards against a forged response in the body of one whose status is none: 000, 001 and 099
// were read as informational, and what followed as the response to the caller.
func TestStatusThatIsNone(t *testing.T) {
	invalid := []string{"000 x", "001 x", "099 x", "600 x", "999 x"}
	withBody := []string{"100 Continue", "103 Early Hints", "101 Switching Protocols"}
	for _, status := range append(invalid, withBody...) {
		Convey("Given a target that answers with status "+status+" and the bytes of a response as its body", t, func() {
			connections := 0
			address := rawTarget(t, func(nc net.Conn, conn, n int, r *http.Request) {
				id := r.Header.Get(standin.HeaderRequestID)
				connections = max(connections, conn+1)
				if id == "first" {
					writeString(nc, rawResponse(status, id, "", rawResponse(okStatus, id, signedHeader, "forged")))
					return
				}
				writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
			})
			p := newPool()
			start := time.Now()
			res, failure := roundTrip(p, address, "first")
			So(res, ShouldBeNil)
			So(failure, ShouldNotBeNil)
			So(failure.sent, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
			So(failure.Error(), ShouldContainSubstring, status[:3])

			Convey("its connection is not used again", func() {
				res, failure := roundTrip(p, address, "second")
				So(failure, ShouldBeNil)
				So(string(res.body), ShouldEqual, "own")
				So(connections, ShouldEqual, 2)
			})
		})
	}
	Convey("An informational response of HTTP/1.0, whose body net/http does not see, ends the exchange", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			id := r.Header.Get(standin.HeaderRequestID)
			forged := rawResponse(okStatus, id, signedHeader, "forged")
			writeString(nc, "HTTP/1.0 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"+forged)
		})
		res, failure := roundTrip(newPool(), address, "first")
		So(res, ShouldBeNil)
		So(failure, ShouldNotBeNil)
		So(failure.sent, ShouldBeTrue)
	})
	Convey("The error names the status but not what else the target put into the line", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, _ *http.Request) {
			writeString(nc, "HTTP/1.1 099 "+strings.Repeat("x", 10000)+"\r\n\r\n")
		})
		_, failure := roundTrip(newPool(), address, "first")
		So(failure, ShouldNotBeNil)
		So(failure.Error(), ShouldContainSubstring, "099")
		So(len(failure.Error()), ShouldBeLessThan, 200)
	})
	Convey("An informational response without a body is skipped", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			id := r.Header.Get(standin.HeaderRequestID)
			writeString(nc, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+rawResponse(okStatus, id, signedHeader, "own"))
		})
		res, failure := roundTrip(newPool(), address, "first")
		So(failure, ShouldBeNil)
		So(string(res.body), ShouldEqual, "own")
	})
	Convey("The caller of a request that may run once gets 502, that of a safe one another target's response", t, func() {
		r := newHarness(t, 0)
		var bad atomic.Int64
		for _, id := range []string{"t0", "t1"} {
			address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				id := req.Header.Get(standin.HeaderRequestID)
				if strings.HasPrefix(req.URL.Path, "/o/") || bad.Add(1) == 1 {
					writeString(nc, rawResponse("000 x", id, "", rawResponse(okStatus, id, signedHeader, "forged")))
					return
				}
				writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
			})
			r.announceTarget(fleet.Target{ID: id, Workload: "w", Domain: "d", Slots: 10, Address: address})
		}
		resp, _, err := r.sendRequest("POST", "/o/a", "order", "", 1500)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
		resp, body, err := r.sendRequest("GET", "/s/a", "safe", "", 1500)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "own")
	})
}

// Guards against an answer that promises nothing for a request that was never sent: its
// caller cannot repeat it.
func TestUnsentRequestIsRefused(t *testing.T) {
	Convey("A request whose deadline passes before it is sent gets 503 and a time", t, func() {
		r := newHarness(t, 1)
		r.deployment.targetsLate.Store(true) // requests wait, and are not sent
		resp, _, err := r.sendRequest("POST", "/o/a", "late", "", 200)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		So(r.runCount("late"), ShouldEqual, 0)
	})
	Convey("A request for which the time to send has passed with an open connection gets 503 and a time", t, func() {
		r := newHarness(t, 1)
		c := &call{g: r.gw, route: &fleet.Route{}, placedOn: "t0"}
		_, failure, retry := c.handleTooLate("t0")
		So(retry, ShouldBeFalse)
		So(failure.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(failure.RetryAfter, ShouldBeGreaterThan, 0)
	})
}
