package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform/standin"
)

// allotted returns a harness whose customer north has a limit and some requests left.
func allotted(t *testing.T, left int) *customerHarness {
	h := newCustomerHarness(t)
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	d := *h.deployment.directory.Snapshot().DesiredState
	d.Version, d.Customers = 9, fleet.NewCustomers()
	So(d.Customers.Add(fleet.Customer{Name: "north", RatePerSecond: 10, Burst: 5}, []string{"n1"}), ShouldBeEmpty)
	So(d.Customers.Add(fleet.Customer{Name: "south"}, []string{"s1"}), ShouldBeEmpty)
	h.deployment.directory.PutDesiredState(&d)
	h.deployment.allotments = map[string]int{"north": left}
	return h
}

func (h *customerHarness) allotmentCalls() int {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	return h.deployment.allotmentCalls
}

// Guards against requests above an allotment that reach a target, and against refusals that
// callers cannot act on.
func TestRequestsAboveTheAllotment(t *testing.T) {
	Convey("Given a customer with two requests left", t, func() {
		h := allotted(t, 2)
		So(h.send("/s/a", "1", credentialHeader+": n1"), ShouldEqual, 200)
		So(h.send("/open/a", "2", credentialHeader+": n1"), ShouldEqual, 200)

		Convey("further ones get 429 with the time to come back, and reach no target", func() {
			nc, err := net.Dial("tcp", h.address)
			So(err, ShouldBeNil)
			defer func() { _ = nc.Close() }()
			_, err = fmt.Fprintf(nc, "GET /s/a HTTP/1.1\r\nHost: h\r\n%s: 3\r\n%s: n1\r\n\r\n", standin.HeaderRequestID, credentialHeader)
			So(err, ShouldBeNil)
			So(nc.SetReadDeadline(time.Now().Add(3*time.Second)), ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusTooManyRequests)
			So(resp.Header.Get("Retry-After"), ShouldEqual, "1.500")
			So(h.received("3"), ShouldBeNil)
			So(h.sendOn(nc, "/s/a", "4", credentialHeader+": s1"), ShouldEqual, 200) // the connection stays
		})
		Convey("customers without a limit, and denied requests, take nothing", func() {
			before := h.allotmentCalls()
			So(h.send("/s/a", "5", credentialHeader+": s1"), ShouldEqual, 200)
			So(h.send("/open/a", "6"), ShouldEqual, 200)
			So(h.send("/s/a", "7", credentialHeader+": x"), ShouldEqual, http.StatusUnauthorized)
			So(h.allotmentCalls(), ShouldEqual, before)
		})
	})
}

// Guards against a request that counts several times because it is sent several times.
func TestRetriesTakeOneFromTheAllotment(t *testing.T) {
	Convey("a request that a target refuses first counts once", t, func() {
		h := allotted(t, 1)
		h.deployment.mu.Lock()
		h.deployment.directory.RemoveTarget(boottime.Now(), "t")
		h.deployment.mu.Unlock()
		var seen sync.Map
		for _, id := range []string{"a", "b"} {
			address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				request := req.Header.Get(standin.HeaderRequestID)
				if _, again := seen.LoadOrStore(request, true); again {
					writeString(nc, rawResponse(okStatus, request, signedHeader, "body"))
					return
				}
				writeString(nc, rawResponse(refusedStatus, request, signedHeader+notRunHeader, ""))
			})
			h.announceTarget(fleet.Target{ID: id, Workload: "w", Domain: "d", Slots: 100, Address: address})
		}
		So(h.send("/s/a", "once", credentialHeader+": n1"), ShouldEqual, 200)
		So(h.allotmentCalls(), ShouldEqual, 1)
		So(h.send("/s/a", "refused", credentialHeader+": n1"), ShouldEqual, http.StatusTooManyRequests)
		_, sent := seen.Load("refused")
		So(sent, ShouldBeFalse)
	})
}
