package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/coordinator"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/internal/listener"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/platform/standin"
	"github.com/boragelock/boragelock/quarantine"
)

// fakeDeployment is a deployment whose state a test sets.
type fakeDeployment struct {
	mu        sync.Mutex
	directory *fleet.Directory
	changed   chan struct{}
	stale     atomic.Bool
	// targetsLate says that the host is late in following the targets.
	targetsLate atomic.Bool
	suspects    *quarantine.Ledger
	// allotments counts the requests that each customer may still send, allotmentCalls the
	// calls of TakeAllotment.
	allotments     map[string]int
	allotmentCalls int
}

func (s *fakeDeployment) TakeAllotment(_ context.Context, c *fleet.Customer) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotmentCalls++
	if s.allotments[c.Name] == 0 {
		return false, 1500 * time.Millisecond
	}
	s.allotments[c.Name]--
	return true, 0
}

func (s *fakeDeployment) Snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Snapshot()
}

func (s *fakeDeployment) Changed() <-chan struct{}                       { return s.changed }
func (s *fakeDeployment) RangeMap(string) *coordinator.RangeMap          { return nil }
func (s *fakeDeployment) CountKey(string, int)                           {}
func (s *fakeDeployment) AddTargetStats(string, coordinator.TargetStats) {}
func (s *fakeDeployment) MarkTargetLeaving(incarnation fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.MarkLeaving(incarnation, true)
}
func (s *fakeDeployment) SuspectedRequests() *quarantine.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.List()
}

func (s *fakeDeployment) RecordTargetEnd(r quarantine.Request, target fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.suspects.RecordEnd(now, r, quarantine.End{Target: target, At: now})
}

func (s *fakeDeployment) RecordAnswer(r quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordAnswer(boottime.Now(), r.ID)
}

func (s *fakeDeployment) TakeRun(_ context.Context, r quarantine.Request, lasts time.Duration) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.TakeRun(boottime.Now(), r.ID, "self", lasts)
}

func (s *fakeDeployment) EndRun(r quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.EndRun(boottime.Now(), r.ID, "self")
}

func (s *fakeDeployment) RecordRequestLimit(limits.LimitStatement) {}
func (s *fakeDeployment) TakePermit(context.Context, fleet.Incarnation) limits.Permit {
	return limits.Permit{Granted: true}
}
func (s *fakeDeployment) Ready() bool     { return true }
func (s *fakeDeployment) HasLeader() bool { return true }
func (s *fakeDeployment) HostCount() int  { return 1 }
func (s *fakeDeployment) UpToDate() bool  { return !s.stale.Load() }

func (s *fakeDeployment) TargetsView() (time.Duration, bool) { return 0, !s.targetsLate.Load() }

// harness is a gateway in front of stand-in targets.
type harness struct {
	deployment *fakeDeployment
	gw         *Gateway
	address    string
	targets    []*standin.Target
	servers    []*httptest.Server
}

func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	return newHarnessOn(t, targets, func(s *fakeDeployment) Deployment { return s })
}

// newHarnessOn returns a harness whose gateway uses the result of wrap as its
// deployment, with changed settings.
func newHarnessOn(t *testing.T, targets int, wrap func(*fakeDeployment) Deployment, change ...func(*Config)) *harness {
	t.Helper()
	return newHarnessWith(t, targets, wrap, 0, func(*Gateway) {}, change...)
}

// newHarnessWith returns a harness whose gateway has the given memory, or the default for 0,
// and is prepared before it serves.
func newHarnessWith(t *testing.T, targets int, wrap func(*fakeDeployment) Deployment, memoryMB int, prepare func(*Gateway), change ...func(*Config)) *harness {
	t.Helper()
	r := &harness{deployment: &fakeDeployment{directory: fleet.NewDirectory(), changed: make(chan struct{}), suspects: quarantine.NewLedger(quarantine.Config{})}}
	d := &fleet.DesiredState{
		Version:   1,
		Workloads: map[string]*fleet.Workload{"w": {Name: "w", MaxConns: 100}},
		Limits:    fleet.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 10000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
		Routes: []fleet.Route{
			{Name: "safe", Host: "h", Prefix: "/s/", Kind: fleet.Safe, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 3},
			{Name: "short", Host: "h", Prefix: "/s/short/", Kind: fleet.Safe, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}}, Timeout: 200 * time.Millisecond, Objective: 100 * time.Millisecond, MaxAttempts: 1},
			{Name: "order", Host: "h", Prefix: "/o/", Kind: fleet.Unsafe, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}}, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 3},
		},
	}
	d.IndexRoutes()
	r.deployment.directory.PutDesiredState(d)
	for i := range targets {
		x := standin.NewTarget(fmt.Sprintf("t%d", i), 2, false)
		srv := httptest.NewServer(x)
		t.Cleanup(srv.Close)
		r.targets, r.servers = append(r.targets, x), append(r.servers, srv)
		r.deployment.directory.PutTarget(&fleet.Target{
			ID: x.ID, Workload: "w", Address: strings.TrimPrefix(srv.URL, "http://"), Domain: "d", Slots: 2,
		})
	}
	cfg := Config{
		Domain: "d", Deployment: wrap(r.deployment), Log: eventlog.New(io.Discard, "info"), RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second,
		MemoryMB: memoryMB,
	}
	for _, f := range change {
		f(&cfg)
	}
	r.gw = New(cfg)
	prepare(r.gw)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = r.gw.ServeCallers(ctx, l) }() // ends with the context
	go func() { _ = r.gw.Serve(ctx) }()           // ends with the context
	r.address = l.Addr().String()
	return r
}

// announceTarget adds or replaces a target of the deployment.
func (r *harness) announceTarget(t fleet.Target) {
	r.deployment.mu.Lock()
	defer r.deployment.mu.Unlock()
	r.deployment.directory.PutTarget(&t)
}

func (r *harness) setBehaviour(b standin.Behaviour) {
	for _, t := range r.targets {
		t.SetBehaviour(b)
	}
}

func (r *harness) runCount(id string) int {
	n := 0
	for _, t := range r.targets {
		n += t.RunCount(id)
	}
	return n
}

// sendRequest sends one request on a new connection and returns the response and its
// body.
func (r *harness) sendRequest(method, path, id, body string, deadlineMS int) (*http.Response, string, error) {
	req, err := http.NewRequest(method, "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Host = "h"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadlineMS))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func TestForward(t *testing.T) {
	Convey("Given a gateway with two targets", t, func() {
		r := newHarness(t, 2)

		Convey("method, path, query, body and identifier reach the target unchanged, the answer the caller", func() {
			resp, body, err := r.sendRequest("POST", "/o/x?a=1&b=%20", "id1", "the body", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
			So(body, ShouldStartWith, "answer of t")
			So(resp.Header.Get(standin.HeaderSignature), ShouldNotBeEmpty)
			So(r.targets[0].RecordedRequest("id1")+r.targets[1].RecordedRequest("id1"), ShouldEqual, "POST /o/x?a=1&b=%20 the body")
		})
		Convey("a request without a route is 404, unless newer routes may exist", func() {
			resp, _, err := r.sendRequest("GET", "/none", "id", "", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 404)
			r.deployment.stale.Store(true)
			resp, _, err = r.sendRequest("GET", "/none", "id", "", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
		})
		Convey("an order whose answer is lost is not sent again and is not refused", func() {
			r.setBehaviour(standin.Behaviour{TruncateBody: true})
			resp, _, err := r.sendRequest("POST", "/o/x", "id2", "b", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 502)
			So(r.runCount("id2"), ShouldEqual, 1)
		})
		Convey("an order that a target did not run goes to another one", func() {
			r.targets[0].SetBehaviour(standin.Behaviour{Shed: true})
			for i := range 6 {
				resp, _, err := r.sendRequest("POST", "/o/x", fmt.Sprint("o", i), "b", 1000)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 200)
			}
		})
		Convey("a request that all targets shed is refused with a time to come back, and has not run", func() {
			r.setBehaviour(standin.Behaviour{Shed: true})
			resp, _, err := r.sendRequest("POST", "/o/x", "id3", "b", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
			So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
			So(r.runCount("id3"), ShouldEqual, 0)
		})
		for name, b := range map[string]standin.Behaviour{
			"broken off": {TruncateBody: true}, "unsigned": {OmitSignature: true}, "of another request": {WrongRequestID: true},
		} {
			Convey("a success that is "+name+" does not reach the caller; a safe request goes to another target", func() {
				r.targets[0].SetBehaviour(b)
				for i := range 6 {
					resp, body, err := r.sendRequest("GET", "/s/x", fmt.Sprint("s", i), "", 1500)
					So(err, ShouldBeNil)
					So(resp.StatusCode, ShouldEqual, 200)
					So(body, ShouldEqual, "answer of t1")
				}
			})
		}
		Convey("a target that refuses connections is passed over", func() {
			r.servers[0].Close()
			for i := range 4 {
				resp, _, err := r.sendRequest("POST", "/o/x", fmt.Sprint("c", i), "b", 1000)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 200)
			}
		})
		Convey("the route's timeout ends a request with an answer", func() {
			r.setBehaviour(standin.Behaviour{NeverRespond: true})
			start := time.Now()
			resp, _, err := r.sendRequest("GET", "/s/short/x", "id4", "", 5000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 504)
			So(time.Since(start), ShouldBeLessThan, 700*time.Millisecond)
		})
		Convey("a body over the limit is 413, and nothing runs", func() {
			resp, _, err := r.sendRequest("POST", "/o/x", "id5", strings.Repeat("x", 20000), 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 413)
			So(r.runCount("id5"), ShouldEqual, 0)
		})
		Convey("a stopping host refuses what could outlast it and says that it is not ready", func() {
			r.gw.Drain(boottime.Now() + 500*time.Millisecond)
			So(r.gw.Ready(), ShouldBeFalse)
			resp, _, err := r.sendRequest("GET", "/s/x", "id6", "", 3000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
			So(r.runCount("id6"), ShouldEqual, 0)
			resp, _, err = r.sendRequest("GET", "/s/x", "id7", "", 300)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
			So(resp.Close, ShouldBeTrue)
		})
	})
}

// TestPlannedStopUnderLoad stops a host while requests are in every stage. It guards
// against a request that was sent and gets no response.
func TestPlannedStopUnderLoad(t *testing.T) {
	Convey("Given a host that is told to stop while connections are new, idle, half read and busy", t, func() {
		r := newHarness(t, 4)
		r.setBehaviour(standin.Behaviour{ServiceTime: 150 * time.Millisecond})
		open := func() (net.Conn, *bufio.Reader) {
			nc, err := net.Dial("tcp", r.address)
			So(err, ShouldBeNil)
			t.Cleanup(func() { _ = nc.Close() })
			So(nc.SetDeadline(time.Now().Add(6*time.Second)), ShouldBeNil)
			return nc, bufio.NewReader(nc)
		}
		status := func(br *bufio.Reader) int {
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			return resp.StatusCode
		}
		unread, unreadBR := open() // accepted, nothing was sent yet
		idle, idleBR := open()
		writeString(idle, rawRequest("idle0", "/s/x"))
		So(status(idleBR), ShouldEqual, 200)
		half, halfBR := open()
		whole := rawRequest("half", "/s/x")
		writeString(half, whole[:30])
		busy, busyBR := open()
		writeString(busy, rawRequest("b0", "/s/x")+rawRequest("b1", "/s/x")+rawRequest("b2", "/s/x"))
		time.Sleep(50 * time.Millisecond)

		r.gw.Drain(boottime.Now() + 5*time.Second)
		late, lateBR := open() // the balancer has not seen the stop yet
		writeString(late, rawRequest("late", "/s/x"))
		writeString(half, whole[30:])
		writeString(unread, rawRequest("unread", "/s/x"))
		writeString(idle, rawRequest("idle1", "/s/x"))
		for range 3 {
			So(status(busyBR), ShouldEqual, 200)
		}
		for _, br := range []*bufio.Reader{lateBR, halfBR, unreadBR, idleBR} {
			So(status(br), ShouldEqual, 200)
		}
		So(func() bool {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if r.gw.OpenConnections() == 0 && r.gw.InFlight() == 0 {
					return true
				}
			}
			return false
		}(), ShouldBeTrue)
	})
}

// TestStopServesWaitingConnections guards against a stop that resets connections which
// wait for accept, and against one that ends before it has counted the last of them.
func TestStopServesWaitingConnections(t *testing.T) {
	Convey("Given connections that wait for accept when the listener is drained", t, func() {
		const waiting = 8
		r := newHarness(t, 2)
		r.setBehaviour(standin.Behaviour{ServiceTime: 100 * time.Millisecond})
		l, err := listener.Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		conns := make([]net.Conn, waiting)
		for i := range conns {
			conns[i], err = net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			t.Cleanup(func() { _ = conns[i].Close() })
			So(conns[i].SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			_, err = io.WriteString(conns[i], rawRequest("w"+strconv.Itoa(i), "/s/x"))
			So(err, ShouldBeNil)
		}
		r.gw.Drain(boottime.Now() + 5*time.Second)
		So(l.Drain(), ShouldBeNil)
		So(r.gw.ServeCallers(t.Context(), l), ShouldWrap, net.ErrClosed)
		for _, nc := range conns {
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		}
		for end := time.Now().Add(2 * time.Second); r.gw.OpenConnections() > 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		So(r.gw.OpenConnections(), ShouldEqual, 0)
	})
}

func rawRequest(id, path string) string { return rawRequestWithin(id, path, 1500*time.Millisecond) }

// rawRequestWithin returns a request with a time limit.
func rawRequestWithin(id, path string, limit time.Duration) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + standin.HeaderRequestID + ": " + id + "\r\n" +
		standin.HeaderDeadline + ": " + strconv.FormatInt(limit.Milliseconds(), 10) + "\r\n\r\n"
}

func TestConnection(t *testing.T) {
	Convey("Given a caller's connection", t, func() {
		r := newHarness(t, 2)
		nc, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		So(nc.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		br := bufio.NewReader(nc)

		Convey("requests sent behind each other run together and are answered in order", func() {
			r.setBehaviour(standin.Behaviour{ServiceTime: 200 * time.Millisecond})
			start := time.Now()
			_, err := io.WriteString(nc, rawRequest("a", "/s/1")+rawRequest("b", "/s/2")+rawRequest("c", "/s/3"))
			So(err, ShouldBeNil)
			for _, id := range []string{"a", "b", "c"} {
				resp, err := http.ReadResponse(br, nil)
				So(err, ShouldBeNil)
				So(resp.Header.Get(standin.HeaderRequestID), ShouldEqual, id)
				_, err = io.Copy(io.Discard, resp.Body)
				So(err, ShouldBeNil)
			}
			So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		})
		Convey("when the caller leaves, the work at the target ends within half a second", func() {
			r.setBehaviour(standin.Behaviour{NeverRespond: true})
			_, err := io.WriteString(nc, rawRequest("a", "/s/1"))
			So(err, ShouldBeNil)
			time.Sleep(100 * time.Millisecond)
			So(nc.Close(), ShouldBeNil)
			time.Sleep(400 * time.Millisecond)
			So(r.targets[0].CancelledCount()+r.targets[1].CancelledCount(), ShouldEqual, 1)
		})
		Convey("a request that breaks the protocol is 400 and ends the connection", func() {
			_, err := io.WriteString(nc, "GET /s/1 HTTP/1.1\r\nno header\r\n\r\n")
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 400)
			So(resp.Close, ShouldBeTrue)
		})
		Convey("headers over the limit are 431", func() {
			_, err := io.WriteString(nc, "GET /s/1 HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 20000))
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 431)
		})
		Convey("an idle connection is kept for the idle time and then closed", func() {
			_, err := io.WriteString(nc, rawRequest("a", "/s/1"))
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			time.Sleep(1600 * time.Millisecond) // four fifths of the idle time
			_, err = io.WriteString(nc, rawRequest("b", "/s/1"))
			So(err, ShouldBeNil)
			resp, err = http.ReadResponse(br, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		})
	})
}

// FuzzAnswers sends arbitrary bytes as a target's responses. It guards against taking
// the response to another request or an incomplete one for the request's own.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + standin.HeaderRequestID + ": id\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + standin.HeaderRequestID + ": old\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + standin.HeaderRequestID + ": id\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, b []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(b) // the reader may have closed the connection
			}
		}()
		u := newTargetConn(near)
		res, err := u.exchange(&targetRequest{method: "GET", uri: "/", host: "h", header: http.Header{}, id: "id", timeout: time.Second}, "t", newMemoryBudget(1<<20))
		if err != nil {
			return
		}
		if res.metadata.ID != "" && res.metadata.ID != "id" {
			t.Fatalf("accepted the response to request %q", res.metadata.ID)
		}
		if res.contentLength >= 0 && res.unread == nil && res.selfDelimited && res.status != 204 && res.status != 304 && int64(len(res.body)) != res.contentLength && !bytes.Contains(b, []byte("chunked")) {
			t.Fatalf("accepted a body of %d bytes, declared as %d", len(res.body), res.contentLength)
		}
	})
}
