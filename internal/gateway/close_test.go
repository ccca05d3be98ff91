package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform/standin"
)

// Sizes of bodies in bytes. A response with writtenBody is written at once, within
// maxUnsentBytes, and takes the slow link many round trips; the writes of largeBody and
// hugeBody last until the caller reads, that of hugeBody also without maxUnsentBytes.
const (
	writtenBody = 60 << 10
	largeBody   = 600 << 10
	hugeBody    = 16 << 20
)

// receiveBuffer is the receive buffer of callers on a slow link, in bytes.
const receiveBuffer = 16 << 10

// addLargeTarget adds a target that answers each request with a body of size bytes after
// serviceTime. The result reports whether a request ran.
func (r *harness) addLargeTarget(t *testing.T, size int, serviceTime time.Duration) (ran func(id string) bool) {
	var runs sync.Map
	body := strings.Repeat("d", size)
	address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
		id := req.Header.Get(standin.HeaderRequestID)
		runs.Store(id, true)
		time.Sleep(serviceTime)
		writeString(nc, rawResponse(okStatus, id, signedHeader, body))
	})
	r.announceTarget(fleet.Target{ID: "large", Workload: "w", Domain: "d", Slots: 100, Address: address})
	return func(id string) bool { _, ok := runs.Load(id); return ok }
}

// dialSlow connects to the host with a small receive buffer.
func (r *harness) dialSlow(t *testing.T) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	tcp := nc.(*net.TCPConn)
	if err := tcp.SetReadBuffer(receiveBuffer); err != nil {
		t.Fatal(err)
	}
	if err := tcp.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return tcp
}

// setRouteTimeouts sets the time limit of all routes.
func (r *harness) setRouteTimeouts(limit time.Duration) {
	d := *r.deployment.Snapshot().DesiredState
	d.Version++
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		d.Routes[i].Timeout = limit
	}
	d.IndexRoutes()
	r.deployment.mu.Lock()
	defer r.deployment.mu.Unlock()
	r.deployment.directory.PutDesiredState(&d)
}

// slowReader reads in small parts with a pause before each.
type slowReader struct {
	r     io.Reader
	pause time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.r.Read(p[:min(len(p), receiveBuffer)])
}

// readBodies reads n responses and returns the number of those whose body is complete,
// and whether the last one closes the connection.
func readBodies(r io.Reader, n int) (complete int, closing bool, err error) {
	br := bufio.NewReaderSize(r, receiveBuffer)
	for complete < n && !closing {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return complete, closing, err
		}
		closing = resp.Close
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return complete, closing, err
		}
		complete++
	}
	return complete, closing, nil
}

// TestStopWithRequestsSentAhead guards against a planned stop that cuts off answers, or
// leaves requests that were passed on without one, when callers send further requests
// before the earlier ones are answered.
func TestStopWithRequestsSentAhead(t *testing.T) {
	const (
		callers = 8
		// timeLimit is that of the requests. An answer that is streamed to a slow caller is
		// cut off at its time limit whether the host stops or not.
		timeLimit = 15 * time.Second
		// takenFor is how long a stopping host takes requests in.
		takenFor = 3500 * time.Millisecond
	)
	Convey("Given a stopping host and callers that read slowly and send ahead", t, func() {
		r := newHarness(t, 0)
		r.setRouteTimeouts(timeLimit)
		ran := r.addLargeTarget(t, largeBody, 20*time.Millisecond)
		var wg sync.WaitGroup
		var cut, unanswered atomic.Int64
		for i := range callers {
			nc := r.dialSlow(t)
			So(nc.SetDeadline(time.Now().Add(3*timeLimit)), ShouldBeNil)
			name := fmt.Sprint("c", i, "-")
			var sent atomic.Int64
			closing := make(chan struct{})
			wg.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-closing:
						return
					case <-time.After(3 * time.Millisecond):
					}
					if _, err := io.WriteString(nc, rawRequestWithin(name+strconv.Itoa(k), "/s/x", timeLimit)); err != nil {
						return
					}
					sent.Add(1)
				}
			})
			wg.Go(func() {
				br := bufio.NewReaderSize(slowReader{nc, time.Millisecond}, receiveBuffer)
				answered, last := 0, false
				for !last {
					resp, err := http.ReadResponse(br, nil)
					if err == nil {
						if last = resp.Close; last {
							close(closing)
						}
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						cut.Add(1)
						t.Logf("%s%d: %v", name, answered, err)
						break
					}
					answered++
				}
				if !last {
					close(closing)
				}
				_ = nc.Close() // the caller has all answers that it will get
				time.Sleep(200 * time.Millisecond)
				for k := answered; k < int(sent.Load()); k++ {
					if ran(name + strconv.Itoa(k)) {
						unanswered.Add(1)
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		r.gw.Drain(boottime.Now() + takenFor + timeLimit)
		wg.Wait()
		t.Logf("closes: %s", r.gw.Closes())
		So(cut.Load(), ShouldEqual, 0)
		So(unanswered.Load(), ShouldEqual, 0)
		for end := time.Now().Add(time.Second); r.gw.OpenConnections() > 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		So(r.gw.OpenConnections(), ShouldEqual, 0)
	})
}

// TestRequestDuringTheClosingResponse guards against passing on a request that arrives
// while the response that closes the connection is being written.
func TestRequestDuringTheClosingResponse(t *testing.T) {
	Convey("Given a stopping host whose closing response waits for a slow caller", t, func() {
		r := newHarness(t, 0)
		ran := r.addLargeTarget(t, hugeBody, 0)
		r.gw.Drain(boottime.Now() + 5*time.Second)
		nc := r.dialSlow(t)
		_, err := io.WriteString(nc, rawRequest("a", "/s/x"))
		So(err, ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		_, err = io.WriteString(nc, rawRequest("b", "/s/x"))
		So(err, ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		complete, closing, err := readBodies(nc, 2)
		So(err, ShouldBeNil)
		So(complete, ShouldEqual, 1)
		So(closing, ShouldBeTrue)
		So(ran("b"), ShouldBeFalse)
	})
}

// TestClosesKeepAnswersWhole guards against closes outside a planned stop that reset the
// connection while an answer is still on its way to the caller.
func TestClosesKeepAnswersWhole(t *testing.T) {
	Convey("An answer is whole when a request comes after the idle connection was closed", t, func() {
		r := newHarness(t, 0)
		ran := r.addLargeTarget(t, writtenBody, 0)
		nc := r.dialSlow(t)
		_, err := io.WriteString(nc, rawRequest("a", "/s/x"))
		So(err, ShouldBeNil)
		// The answer waits in the send buffer, so that the connection counts as idle.
		go func() { time.Sleep(3300 * time.Millisecond); writeString(nc, rawRequest("late", "/s/x")) }()
		time.Sleep(3500 * time.Millisecond)
		complete, _, err := readBodies(nc, 1)
		So(err, ShouldBeNil)
		So(complete, ShouldEqual, 1)
		So(ran("late"), ShouldBeFalse)
	})
	Convey("Given a caller that reads slowly", t, func() {
		r := newHarness(t, 0)
		ran := r.addLargeTarget(t, largeBody, 0)
		nc := r.dialSlow(t)
		_, err := io.WriteString(nc, rawRequest("a", "/s/x"))
		So(err, ShouldBeNil)
		sendLate := func(after time.Duration) { time.Sleep(after); writeString(nc, rawRequest("late", "/s/x")) }

		Convey("a connection on which an answer is still being written is not closed as idle, and a late request is answered too", func() {
			go sendLate(3300 * time.Millisecond)
			time.Sleep(3500 * time.Millisecond)
			complete, _, err := readBodies(nc, 2)
			So(err, ShouldBeNil)
			So(complete, ShouldEqual, 2)
			So(ran("late"), ShouldBeTrue)
		})
		Convey("an answer before a request that breaks the protocol is whole, and that one's refusal too", func() {
			writeString(nc, "GET /s/1 HTTP/1.1\r\nno header\r\n\r\n")
			go sendLate(300 * time.Millisecond)
			complete, closing, err := readBodies(slowReader{nc, 40 * time.Millisecond}, 2)
			So(err, ShouldBeNil)
			So(complete, ShouldEqual, 2)
			So(closing, ShouldBeTrue)
			So(ran("late"), ShouldBeFalse)
		})
		Convey("an answer to the last request of a connection is whole when the caller sends more", func() {
			last := strings.Replace(rawRequest("b", "/s/x"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
			writeString(nc, last)
			go func() {
				for range 20 {
					sendLate(50 * time.Millisecond)
				}
			}()
			complete, closing, err := readBodies(slowReader{nc, 10 * time.Millisecond}, 2)
			So(err, ShouldBeNil)
			So(complete, ShouldEqual, 2)
			So(closing, ShouldBeTrue)
			So(ran("late"), ShouldBeFalse)
		})
	})
}

// TestRequestsBehindAnUndelimitedAnswer guards against passing on a request behind one
// whose answer can end only with the connection.
func TestRequestsBehindAnUndelimitedAnswer(t *testing.T) {
	Convey("A request behind one of HTTP/1.0 is not passed on", t, func() {
		var runs sync.Map
		r := newHarness(t, 0)
		r.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 2, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
			id := req.Header.Get(standin.HeaderRequestID)
			runs.Store(id, true)
			size := 2 * maxBufferedBody
			writeString(nc, "HTTP/1.1 200 OK\r\n"+signedHeader+standin.HeaderRequestID+": "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			writeString(nc, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size)))
		})})
		nc := r.dialSlow(t)
		old := strings.Replace(strings.Replace(rawRequest("a", "/s/x"), "HTTP/1.1", "HTTP/1.0", 1), "\r\n\r\n", "\r\nConnection: keep-alive\r\n\r\n", 1)
		_, err := io.WriteString(nc, old+rawRequest("behind", "/s/x"))
		So(err, ShouldBeNil)
		b, err := io.ReadAll(nc)
		So(err, ShouldBeNil)
		_, body, _ := strings.Cut(string(b), "\r\n\r\n")
		So(len(body), ShouldEqual, 2*maxBufferedBody)
		_, behindRan := runs.Load("behind")
		So(behindRan, ShouldBeFalse)
	})
}
