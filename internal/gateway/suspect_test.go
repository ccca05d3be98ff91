package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform/standin"
	"github.com/boragelock/boragelock/quarantine"
)

// mortalTarget is a target that ends when it runs a request whose path has "fatal" in it.
type mortalTarget struct {
	id, address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	ends     int
	// running and mostRunning count the requests with "slow" in their path.
	running, mostRunning int
}

// addMortalTarget adds a target to the deployment and starts it.
func (r *harness) addMortalTarget(t *testing.T, id string) *mortalTarget {
	t.Helper()
	x := &mortalTarget{id: id, address: "127.0.0.1:0"}
	r.startMortalTarget(t, x)
	t.Cleanup(func() { x.end() })
	return x
}

// startMortalTarget starts a new incarnation at the address of the last one.
func (r *harness) startMortalTarget(t *testing.T, x *mortalTarget) {
	t.Helper()
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		t.Fatal(err)
	}
	x.mu.Lock()
	x.listener, x.conns, x.address = l, map[net.Conn]bool{}, l.Addr().String()
	x.born++
	announced := fleet.Target{ID: x.id, Workload: "w", Domain: "d", Slots: 4, Address: x.address, Born: x.born}
	x.mu.Unlock()
	go x.serve(l)
	r.announceTarget(announced)
}

func (x *mortalTarget) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		x.conns[nc] = true
		x.mu.Unlock()
		go x.serveConn(nc)
	}
}

func (x *mortalTarget) serveConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		switch path := req.URL.Path; {
		case strings.Contains(path, "fatal"):
			time.Sleep(20 * time.Millisecond)
			x.end()
			return
		case strings.Contains(path, "cut"):
			return
		case strings.Contains(path, "slow"):
			x.countRunning(1)
			time.Sleep(50 * time.Millisecond)
			x.countRunning(-1)
		}
		writeString(nc, rawResponse(okStatus, req.Header.Get(standin.HeaderRequestID), signedHeader, "ok"))
	}
}

func (x *mortalTarget) countRunning(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running += n
	x.mostRunning = max(x.mostRunning, x.running)
}

// end closes the listener and all connections.
func (x *mortalTarget) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener == nil {
		return
	}
	x.ends++
	_ = x.listener.Close() // the target ends
	for nc := range x.conns {
		_ = nc.Close() // the target ends
	}
	x.listener = nil
}

func (s *fakeDeployment) suspectCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Len()
}

// TestRequestThatEndsTargets guards against sending a request on after targets have ended
// under it, and against refusing others.
func TestRequestThatEndsTargets(t *testing.T) {
	Convey("Given six targets that a request ends", t, func() {
		r := newHarness(t, 0)
		var targets []*mortalTarget
		for i := range 6 {
			targets = append(targets, r.addMortalTarget(t, fmt.Sprint("m", i)))
		}
		ends := func() (n int) {
			for _, x := range targets {
				x.mu.Lock()
				n += x.ends
				x.mu.Unlock()
			}
			return n
		}
		status := func(method, path, id, body string) (int, string) {
			resp, _, err := r.sendRequest(method, path, id, body, 1500)
			So(err, ShouldBeNil)
			return resp.StatusCode, resp.Header.Get("Retry-After")
		}
		n := 0
		next := func() string { n++; return fmt.Sprint("id", n) }

		Convey("it is refused at once after the third, with any identifier, and others are served", func() {
			code, _ := status("GET", "/s/fatal?a=1", next(), "")
			So(code, ShouldEqual, 502)
			So(ends(), ShouldEqual, 2) // it was sent again once, and not a second time
			code, _ = status("GET", "/s/fatal?a=1", next(), "")
			So(code, ShouldEqual, 502)
			So(ends(), ShouldEqual, 3)
			for range 5 {
				start := time.Now()
				code, after := status("GET", "/s/fatal?a=1", next(), "")
				So(code, ShouldEqual, 503)
				So(after, ShouldNotBeEmpty)
				So(time.Since(start), ShouldBeLessThan, 200*time.Millisecond)
			}
			So(ends(), ShouldEqual, 3)
			code, _ = status("GET", "/s/other?a=1", next(), "")
			So(code, ShouldEqual, 200)
		})
		Convey("an order that ends a target is told by its body", func() {
			for range 3 {
				code, _ := status("POST", "/o/fatal", next(), "the body")
				So(code, ShouldEqual, 502)
			}
			So(ends(), ShouldEqual, 3)
			code, _ := status("POST", "/o/fatal", next(), "the body")
			So(code, ShouldEqual, 503)
			So(ends(), ShouldEqual, 3)
			code, _ = status("POST", "/o/fatal", next(), "another body")
			So(code, ShouldEqual, 502)
			So(ends(), ShouldEqual, 4)
		})
		Convey("a connection that breaks at a target which goes on is no evidence", func() {
			code, _ := status("POST", "/o/cut", next(), "b")
			So(code, ShouldEqual, 502)
			So(r.deployment.suspectCount(), ShouldEqual, 0)
		})
		Convey("the end of a target that was leaving, or is gone, is no evidence", func() {
			for _, x := range targets {
				r.deployment.MarkTargetLeaving(fleet.Incarnation{ID: x.id, Born: x.born, Address: x.address})
			}
			x := &call{g: r.gw}
			e := &sendError{sent: true, reason: "no answer", err: io.EOF}
			targets[0].end()
			x.noteTargetEnd(context.Background(), &fleet.Target{ID: "m0", Address: targets[0].address, Born: 1}, e)
			So(r.deployment.suspectCount(), ShouldEqual, 0)
			x.noteTargetEnd(context.Background(), &fleet.Target{ID: "gone", Address: targets[0].address, Born: 1}, e)
			So(r.deployment.suspectCount(), ShouldEqual, 0)
		})
	})
}

// TestSuspectedRequestsRunOnce guards against ending a further target with several copies
// of a suspected request, and against keeping an innocent one waiting.
func TestSuspectedRequestsRunOnce(t *testing.T) {
	Convey("Given a request that was in hand when a target ended", t, func() {
		r := newHarness(t, 0)
		x := r.addMortalTarget(t, "m0")
		request := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/s/slow", 0), nil)
		r.deployment.RecordTargetEnd(request, fleet.Incarnation{ID: "former", Born: 1})
		So(r.deployment.suspectCount(), ShouldEqual, 1)

		Convey("one copy runs first, the others wait for its answer, and it is suspected no longer", func() {
			var wg sync.WaitGroup
			codes := make([]int, 4)
			for i := range codes {
				wg.Go(func() {
					if resp, _, err := r.sendRequest("GET", "/s/slow", fmt.Sprint("c", i), "", 1500); err == nil {
						codes[i] = resp.StatusCode
					}
				})
			}
			time.Sleep(25 * time.Millisecond)
			x.mu.Lock()
			running := x.running
			x.mu.Unlock()
			So(running, ShouldEqual, 1)
			wg.Wait()
			So(codes, ShouldResemble, []int{200, 200, 200, 200})
			So(r.deployment.suspectCount(), ShouldEqual, 0)
		})
		Convey("a copy that cannot be answered in time is refused and told to come back", func() {
			granted, _ := r.deployment.TakeRun(context.Background(), request, 10*time.Second)
			So(granted, ShouldBeTrue)
			start := boottime.Now()
			resp, _, err := r.sendRequest("GET", "/s/slow", "c", "", 500)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
			So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
			So(boottime.Now()-start, ShouldBeLessThan, 600*time.Millisecond)
		})
	})
}
