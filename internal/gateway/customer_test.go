package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

const (
	credentialHeader = "X-Boragelock-Key"
	customerHeader   = "X-Boragelock-Tenant"
)

// customerHarness is a gateway with customers in front of a target that records headers.
type customerHarness struct {
	*harness
	mu      sync.Mutex
	headers map[string]http.Header
}

func newCustomerHarness(t *testing.T) *customerHarness {
	h := &customerHarness{harness: newHarness(t, 0), headers: map[string]http.Header{}}
	address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
		id := req.Header.Get(standin.HeaderRequestID)
		h.mu.Lock()
		h.headers[id] = req.Header
		h.mu.Unlock()
		writeString(nc, rawResponse(okStatus, id, signedHeader, "body"))
	})
	h.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 100, Address: address})
	h.setCredentials(2, map[string][]string{"north": {"n1", "n2"}, "south": {"s1"}})
	return h
}

// setCredentials puts a desired state with the credentials of customers.
func (h *customerHarness) setCredentials(version uint64, credentials map[string][]string) {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	d := *h.deployment.directory.Snapshot().DesiredState
	d.Version = version
	d.Routes = append([]fleet.Route{}, d.Routes...)
	if d.MatchRoute("h", "/open/") == nil {
		open := d.Routes[0]
		open.Name, open.Prefix, open.Anonymous = "open", "/open/", true
		d.Routes = append(d.Routes, open)
	}
	d.IndexRoutes()
	d.Customers = fleet.NewCustomers()
	for name, list := range credentials {
		if problems := d.Customers.Add(fleet.Customer{Name: name}, list); len(problems) > 0 {
			panic(problems[0])
		}
	}
	h.deployment.directory.PutDesiredState(&d)
}

// send sends a request on a connection with the given header lines and returns its status.
func (h *customerHarness) send(path, id string, lines ...string) int {
	nc, err := net.Dial("tcp", h.address)
	So(err, ShouldBeNil)
	defer func() { _ = nc.Close() }()
	return h.sendOn(nc, path, id, lines...)
}

func (h *customerHarness) sendOn(nc net.Conn, path, id string, lines ...string) int {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 1000\r\n", path, standin.HeaderRequestID, id, standin.HeaderDeadline)
	for _, l := range lines {
		head += l + "\r\n"
	}
	_, err := nc.Write([]byte(head + "\r\n"))
	So(err, ShouldBeNil)
	So(nc.SetReadDeadline(time.Now().Add(3*time.Second)), ShouldBeNil)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	So(err, ShouldBeNil)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// received returns the headers with which a request reached the target, nil if it did not.
func (h *customerHarness) received(id string) http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.headers[id]
}

// Guards against requests that run without a customer's credential, or as another customer.
func TestCredentials(t *testing.T) {
	Convey("Given a gateway with customers", t, func() {
		h := newCustomerHarness(t)

		Convey("a credential opens its customer's requests, and only the name reaches the target", func() {
			So(h.send("/s/a", "1", credentialHeader+": n2"), ShouldEqual, 200)
			So(h.received("1")[customerHeader], ShouldResemble, []string{"north"})
			So(h.received("1")[credentialHeader], ShouldBeNil)
		})
		Convey("an unknown, missing or repeated credential is denied", func() {
			for i, lines := range [][]string{{credentialHeader + ": x"}, nil, {credentialHeader + ": n1", credentialHeader + ": s1"}, {credentialHeader + ": n1, s1"}, {credentialHeader + ":"}} {
				id := fmt.Sprintf("denied%d", i)
				So(h.send("/s/a", id, lines...), ShouldEqual, http.StatusUnauthorized)
				So(h.received(id), ShouldBeNil)
			}
		})
		Convey("no spelling of the headers lets a caller name a customer or pass a credential on", func() {
			for i, lines := range [][]string{
				{customerHeader + ": south"}, {strings.ToLower(customerHeader) + ": south", customerHeader + ": south"},
				{"X_Boragelock_Tenant: south"}, {"X.Boragelock.Tenant: south", "X-Boragelock.Key: s1"}, {"x-boragelock_tenant: south", "x_boragelock_key: s1"},
				{"Connection: " + customerHeader, customerHeader + ": south"},
			} {
				for path, want := range map[string][]string{"/s/a": {"north"}, "/open/a": {"north"}} {
					id := fmt.Sprintf("spelling%d%s", i, path)
					So(h.send(path, id, append(lines, credentialHeader+": n1")...), ShouldEqual, 200)
					So(h.received(id)[customerHeader], ShouldResemble, want)
					for name, values := range h.received(id) {
						So(strings.Join(values, " "), ShouldNotContainSubstring, "south")
						So(strings.ToLower(name), ShouldNotContainSubstring, "_key")
						So(strings.ToLower(name), ShouldNotContainSubstring, ".key")
					}
				}
			}
		})
		Convey("an anonymous route serves callers without a customer, and names none", func() {
			So(h.send("/open/a", "2", customerHeader+": south"), ShouldEqual, 200)
			So(h.received("2")[customerHeader], ShouldBeNil)
			So(h.send("/open/a", "3", credentialHeader+": x", customerHeader+": south"), ShouldEqual, 200)
			So(h.received("3")[customerHeader], ShouldBeNil)
			So(h.received("3")[credentialHeader], ShouldBeNil)
		})
		Convey("a withdrawn credential is denied on an open connection, a new one is served", func() {
			nc, err := net.Dial("tcp", h.address)
			So(err, ShouldBeNil)
			defer func() { _ = nc.Close() }()
			So(h.sendOn(nc, "/s/a", "4", credentialHeader+": s1"), ShouldEqual, 200)
			h.setCredentials(3, map[string][]string{"south": {"s2"}})
			So(h.sendOn(nc, "/s/a", "5", credentialHeader+": s1"), ShouldEqual, http.StatusUnauthorized)
			So(h.sendOn(nc, "/s/a", "6", credentialHeader+": s2"), ShouldEqual, 200)
			h.setCredentials(2, map[string][]string{"south": {"s1"}}) // an older version
			So(h.sendOn(nc, "/s/a", "7", credentialHeader+": s1"), ShouldEqual, http.StatusUnauthorized)
			So(h.received("7"), ShouldBeNil)
		})
		Convey("a host with an old view of the desired state refuses what it cannot judge", func() {
			h.deployment.stale.Store(true)
			So(h.send("/s/a", "8", credentialHeader+": x"), ShouldEqual, http.StatusServiceUnavailable)
			So(h.send("/s/a", "9", credentialHeader+": n1"), ShouldEqual, 200)
		})
		Convey("when all customers are withdrawn, every credential is denied", func() {
			h.setCredentials(3, nil)
			So(h.send("/s/a", "10", credentialHeader+": n1"), ShouldEqual, http.StatusUnauthorized)
		})
	})
	Convey("Given a deployment without customers, the headers are removed and nothing is denied", t, func() {
		h := newCustomerHarness(t)
		h.deployment.mu.Lock()
		d := *h.deployment.directory.Snapshot().DesiredState
		d.Version, d.Customers = 3, nil
		h.deployment.directory.PutDesiredState(&d)
		h.deployment.mu.Unlock()
		So(h.send("/s/a", "11", credentialHeader+": n1", customerHeader+": north"), ShouldEqual, 200)
		So(h.received("11")[customerHeader], ShouldBeNil)
		So(h.received("11")[credentialHeader], ShouldBeNil)
	})
}
