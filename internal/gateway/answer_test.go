package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// rawTarget calls respond for each request that it reads, with the number of the
// connection and the number of the request on it. It returns its address.
func rawTarget(t *testing.T, respond func(nc net.Conn, conn, n int, r *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn := 0; ; conn++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					respond(nc, conn, n, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func rawResponse(status, id, headers, body string) string {
	if id != "" {
		headers += standin.HeaderRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body
}

const (
	signedHeader  = standin.HeaderSignature + ": s\r\n"
	notRunHeader  = "X-Boragelock-Not-Executed: 1\r\n"
	refusedStatus = "503 Service Unavailable"
	okStatus      = "200 OK"
)

func roundTrip(p *pool, address, id string) (*response, *sendError) {
	o := &targetRequest{method: "POST", uri: "/", host: "h", header: http.Header{}, id: id, timeout: time.Second}
	o.header.Set(standin.HeaderRequestID, id)
	return p.roundTrip(context.Background(), o, "t", address, newMemoryBudget(1<<20))
}

func writeString(nc net.Conn, s string) { _, _ = io.WriteString(nc, s) } // the gateway may have closed the connection

func TestSecondCopies(t *testing.T) {
	Convey("Given a target that refuses a request and sends a second copy of the refusal, late", t, func() {
		address := rawTarget(t, func(nc net.Conn, conn, n int, r *http.Request) {
			id := r.Header.Get(standin.HeaderRequestID)
			if conn == 0 && n == 0 {
				writeString(nc, rawResponse(refusedStatus, id, notRunHeader, ""))
				return
			}
			if n > 0 {
				writeString(nc, rawResponse(refusedStatus, "x", notRunHeader, "")) // the late duplicate
			}
			writeString(nc, rawResponse(okStatus, id, signedHeader, "ran"))
		})
		p := newPool()
		res, failure := roundTrip(p, address, "x")
		So(failure, ShouldBeNil)
		So(res.metadata.NotRun, ShouldBeTrue)

		Convey("a repeat with the same identifier does not take the copy for its answer", func() {
			res, failure := roundTrip(p, address, "x")
			So(failure, ShouldBeNil)
			So(res.metadata.NotRun, ShouldBeFalse)
			So(string(res.body), ShouldEqual, "ran")
		})
		Convey("another request on the connection skips the copy", func() {
			res, failure := roundTrip(p, address, "y")
			So(failure, ShouldBeNil)
			So(res.metadata.ID, ShouldEqual, "y")
			So(string(res.body), ShouldEqual, "ran")
		})
		Convey("nor after another request went between the two", func() {
			_, failure := roundTrip(p, address, "y")
			So(failure, ShouldBeNil)
			res, failure := roundTrip(p, address, "x")
			So(failure, ShouldBeNil)
			So(res.metadata.NotRun, ShouldBeFalse)
		})
	})
	Convey("A copy whose head arrives in pieces around the next request is skipped", t, func() {
		address := rawTarget(t, func(nc net.Conn, conn, n int, r *http.Request) {
			id := r.Header.Get(standin.HeaderRequestID)
			copied := rawResponse(okStatus, "x", signedHeader, "old")
			if n > 0 {
				writeString(nc, copied[:20])
				time.Sleep(50 * time.Millisecond)
				writeString(nc, copied[20:])
			}
			writeString(nc, rawResponse(okStatus, id, signedHeader, "answer of "+id))
		})
		p := newPool()
		_, failure := roundTrip(p, address, "x")
		So(failure, ShouldBeNil)
		res, failure := roundTrip(p, address, "y")
		So(failure, ShouldBeNil)
		So(string(res.body), ShouldEqual, "answer of y")
	})
	Convey("An answer without an identifier is taken on a new connection only", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, _ *http.Request) {
			writeString(nc, rawResponse(okStatus, "", signedHeader, "whose"))
		})
		p := newPool()
		res, failure := roundTrip(p, address, "x")
		So(failure, ShouldBeNil)
		So(string(res.body), ShouldEqual, "whose")
		_, failure = roundTrip(p, address, "y")
		So(failure, ShouldNotBeNil)
		So(failure.sent, ShouldBeTrue)
	})
	Convey("A connection is closed when it cannot remember more identifiers", t, func() {
		var conns atomic.Int64
		address := rawTarget(t, func(nc net.Conn, conn, _ int, r *http.Request) {
			conns.Store(int64(conn) + 1)
			writeString(nc, rawResponse(okStatus, r.Header.Get(standin.HeaderRequestID), signedHeader, ""))
		})
		p := newPool()
		for i := range maxRequestsPerConn + 1 {
			_, failure := roundTrip(p, address, fmt.Sprint(i))
			So(failure, ShouldBeNil)
		}
		So(conns.Load(), ShouldEqual, 2)
	})
}

// endlessResponses are beginnings of responses and the text that follows without
// end.
var endlessResponses = map[string][2]string{
	"line that is no head":  {"", "x"},
	"text that is no head":  {"", "no answer\r\n"},
	"status line":           {"HTTP/1.1 200 ", "x"},
	"header line":           {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"headers":               {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
	"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"chunk extension":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunk extensions":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nb\r\n"},
	"trailers":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	"body without a length": {"HTTP/1.1 200 OK\r\n" + signedHeader + "\r\n", "body"},
	"chunked body":          {"HTTP/1.1 200 OK\r\n" + signedHeader + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"body of huge length":   {"HTTP/1.1 200 OK\r\n" + signedHeader + "Content-Length: 9000000000\r\n\r\n", "body"},
}

// endlessTarget sends a response that does not end until the connection is closed.
// A hundred of them together send 1,300 Mbit/s, more than the fastest link of a
// host carries.
func endlessTarget(t *testing.T, what [2]string) string {
	const blockBytes, blockEvery = 32 << 10, 20 * time.Millisecond
	block := strings.Repeat(what[1], 1+blockBytes/len(what[1]))
	return rawTarget(t, func(nc net.Conn, _, _ int, _ *http.Request) {
		writeString(nc, what[0])
		for {
			if _, err := io.WriteString(nc, block); err != nil {
				return
			}
			time.Sleep(blockEvery)
		}
	})
}

// receivesCompleteResponse reports whether a request gets a complete response with
// status 200. The body is discarded as it is read.
func (r *harness) receivesCompleteResponse(path, id string) bool {
	nc, err := net.Dial("tcp", r.address)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }()
	writeString(nc, rawRequest(id, path))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

func TestEndlessAnswers(t *testing.T) {
	const (
		hostMB      = 184
		badTargets  = 100
		sampleEvery = 5 * time.Millisecond
	)
	Convey("Given a host of 184 MiB and 100 targets whose answers never end", t, func() {
		r := newHarness(t, 1)
		d := *r.deployment.Snapshot().DesiredState
		d.Version++
		d.Routes = append(d.Routes, fleet.Route{Name: "bad", Host: "h", Prefix: "/bad/", Kind: fleet.Safe, MaxAttempts: 1,
			Workloads: []fleet.WeightedWorkload{{Workload: "bad", Weight: 1}}, Timeout: 1500 * time.Millisecond, Objective: time.Second})
		d.Workloads = maps.Clone(d.Workloads) // the gateway still reads the previous map
		d.Workloads["bad"] = &fleet.Workload{Name: "bad", MaxConns: 100}
		d.IndexRoutes()
		r.deployment.mu.Lock()
		r.deployment.directory.PutDesiredState(&d)
		i := 0
		var kinds [][2]string
		for _, e := range endlessResponses {
			kinds = append(kinds, e)
		}
		for ; i < badTargets; i++ {
			r.deployment.directory.PutTarget(&fleet.Target{ID: fmt.Sprint("bad", i), Workload: "bad", Domain: "d", Slots: 1, Address: endlessTarget(t, kinds[i%len(kinds)])})
		}
		r.deployment.mu.Unlock()

		runtime.GC()
		var peak atomic.Uint64
		stop, sampled := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(sampled)
			for tick := time.NewTicker(sampleEvery); ; {
				select {
				case <-stop:
					return
				case <-tick.C:
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak.Store(max(peak.Load(), m.HeapInuse+m.StackInuse))
				}
			}
		}()
		var wg sync.WaitGroup
		for i := range badTargets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if r.receivesCompleteResponse("/bad/x", fmt.Sprint("e", i)) {
					t.Error("an endless response was accepted as complete")
				}
			}()
		}
		served := 0
		for i := range 20 {
			start := time.Now()
			resp, _, err := r.sendRequest("GET", "/s/x", fmt.Sprint("g", i), "", 1500)
			if err == nil && resp.StatusCode == http.StatusOK {
				served++
				continue
			}
			t.Logf("request %d after %v: %v, %v", i, time.Since(start), resp, err)
		}
		wg.Wait()
		close(stop)
		<-sampled
		So(served, ShouldEqual, 20)
		So(peak.Load()>>20, ShouldBeLessThan, hostMB)
		t.Logf("peak of heap and stacks: %d MiB", peak.Load()>>20)
		for end := time.Now().Add(time.Second); r.gw.responseMemory.free.Load() < int64(responseMemoryShare*hostMB*(1<<20)) && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		So(r.gw.responseMemory.free.Load(), ShouldEqual, int64(responseMemoryShare*hostMB*(1<<20)))
	})
	for name, e := range endlessResponses {
		if strings.Contains(name, "body") {
			continue // streamed until the deadline
		}
		Convey("An endless "+name+" ends the exchange before the deadline", t, func() {
			start := time.Now()
			_, failure := roundTrip(newPool(), endlessTarget(t, e), "x")
			So(failure, ShouldNotBeNil)
			So(failure.sent, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, 900*time.Millisecond)
		})
	}
}

func TestStreamedAnswers(t *testing.T) {
	big := strings.Repeat("b", 3*maxBufferedBody)
	Convey("An answer for which the budget has no room is streamed whole", t, func() {
		r := newHarness(t, 0)
		r.gw.responseMemory.free.Store(0)
		r.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 2, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
			writeString(nc, rawResponse(okStatus, req.Header.Get(standin.HeaderRequestID), signedHeader, "small"))
		})})
		resp, body, err := r.sendRequest("GET", "/s/x", "a", "", 1500)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, "small")
	})
	for _, ended := range []bool{true, false} {
		Convey(fmt.Sprintf("A large answer in chunks, ended %v, is complete for the caller only if it ended", ended), t, func() {
			r := newHarness(t, 0)
			r.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 2, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				writeString(nc, "HTTP/1.1 200 OK\r\n"+signedHeader+standin.HeaderRequestID+": "+req.Header.Get(standin.HeaderRequestID)+"\r\nTransfer-Encoding: chunked\r\n\r\n")
				writeString(nc, fmt.Sprintf("%x\r\n%s\r\n", len(big), big))
				if ended {
					writeString(nc, "0\r\n\r\n")
				} else {
					_ = nc.Close() // cuts the response off
				}
			})})
			resp, body, err := r.sendRequest("GET", "/s/x", "a", "", 1500)
			if ended {
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 200)
				So(len(body), ShouldEqual, len(big))
			} else {
				So(err, ShouldNotBeNil)
			}
		})
	}
}

func TestLeavingAndPausingTargets(t *testing.T) {
	Convey("Given two targets, one of which says something of itself in its answers", t, func() {
		r := newHarness(t, 1)
		var reached atomic.Int64
		addTargetResponding := func(status, headers string) {
			address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				reached.Add(1)
				writeString(nc, rawResponse(status, req.Header.Get(standin.HeaderRequestID), headers, "b"))
			})
			r.announceTarget(fleet.Target{ID: "s", Born: 1, Workload: "w", Address: address, Domain: "d", Slots: 2})
			r.gw.syncSnapshot()
		}
		requests := func(n int) {
			// Four at a time fill the other target, so that both are chosen.
			const together = 4
			for range n / together {
				var failed atomic.Int64
				var wg sync.WaitGroup
				for i := range together {
					wg.Add(1)
					go func() {
						defer wg.Done()
						resp, _, err := r.sendRequest("POST", "/o/x", fmt.Sprint(time.Now().UnixNano(), i), "b", 2000)
						if err != nil || resp.StatusCode != http.StatusOK {
							failed.Add(1)
						}
					}()
				}
				wg.Wait()
				So(failed.Load(), ShouldEqual, 0)
			}
		}
		r.setBehaviour(standin.Behaviour{ServiceTime: 20 * time.Millisecond})
		// Requests in transit when the first response arrives may still reach the target.
		waitForFirstRequest := func() int64 {
			for reached.Load() == 0 {
				requests(4)
			}
			return reached.Load()
		}
		Convey("one that leaves gets nothing more, also when it is announced as ready again", func() {
			addTargetResponding(okStatus, signedHeader+"Server-Leaving: 1\r\n")
			before := waitForFirstRequest()
			requests(20)
			So(reached.Load(), ShouldEqual, before)
			old := *r.deployment.Snapshot().Targets["s"]
			So(old.Leaving, ShouldBeTrue)
			old.Leaving = false
			r.announceTarget(old)
			requests(20)
			So(reached.Load(), ShouldEqual, before)
			next := old
			next.Born = 2
			r.announceTarget(next)
			requests(20)
			So(reached.Load(), ShouldBeGreaterThan, before) // a new incarnation is a new target
		})
		Convey("one that asks for a pause gets nothing until its end", func() {
			addTargetResponding(refusedStatus, notRunHeader+"Retry-After: 1.5\r\n")
			start := time.Now()
			before := waitForFirstRequest()
			requests(32)
			So(reached.Load(), ShouldEqual, before)
			So(time.Since(start), ShouldBeLessThan, 1500*time.Millisecond)
			time.Sleep(1600*time.Millisecond - time.Since(start))
			requests(32)
			So(reached.Load(), ShouldBeGreaterThan, before)
		})
		Convey("a pause that cannot be true is ignored", func() {
			addTargetResponding(refusedStatus, notRunHeader+"Retry-After: 1e300\r\n")
			requests(4)
			before := reached.Load()
			So(before, ShouldBeGreaterThan, 0)
			time.Sleep(100 * time.Millisecond)
			requests(8)
			So(reached.Load(), ShouldBeGreaterThan, before)
		})
	})
}

// panickingDeployment panics at a chosen point of the request path.
type panickingDeployment struct {
	*fakeDeployment
	panicAt atomic.Value
}

func (s *panickingDeployment) UpToDate() bool {
	if s.panicAt.Load() == "route" {
		panic("test")
	}
	return s.fakeDeployment.UpToDate()
}

func (s *panickingDeployment) MarkTargetLeaving(fleet.Incarnation) { panic("test") }

func TestPanicInARequest(t *testing.T) {
	Convey("Given a gateway with a fault that panics", t, func() {
		p := &panickingDeployment{}
		r := newHarnessOn(t, 1, func(s *fakeDeployment) Deployment { p.fakeDeployment = s; return p })

		Convey("a request that reached no target is refused, and the next one is served", func() {
			p.panicAt.Store("route")
			resp, _, err := r.sendRequest("GET", "/none", "a", "", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 503)
			resp, _, err = r.sendRequest("GET", "/s/x", "b", "", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		})
		Convey("one that was sent is not refused, and its target is not counted as busy", func() {
			r.deployment.mu.Lock()
			r.deployment.directory.RemoveTarget(time.Hour, "t0")
			r.deployment.mu.Unlock()
			r.announceTarget(fleet.Target{ID: "s", Workload: "w", Domain: "d", Slots: 1, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				h := signedHeader
				if req.Header.Get(standin.HeaderRequestID) != "last" {
					h += "Server-Leaving: 1\r\n"
				}
				writeString(nc, rawResponse(okStatus, req.Header.Get(standin.HeaderRequestID), h, ""))
			})})
			for i := range 10 {
				resp, _, err := r.sendRequest("POST", "/o/x", fmt.Sprint(i), "b", 1000)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 502)
			}
			resp, _, err := r.sendRequest("POST", "/o/x", "last", "b", 1000)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
		})
	})
}

func TestAnswerMemory(t *testing.T) {
	Convey("Answers that are held at a time take no more memory than the budget, and give it back", t, func() {
		const limit = 4 << 20
		budget := newMemoryBudget(limit)
		var buffered []*response
		total := 0
		for range 20 {
			resp := &http.Response{StatusCode: 200, Header: http.Header{}, ContentLength: -1, TransferEncoding: []string{"chunked"},
				Body: io.NopCloser(io.LimitReader(zeroReader{}, 2*maxBufferedBody))}
			res, err := readResponse(resp, budget)
			So(err, ShouldBeNil)
			So(res.unread, ShouldNotBeNil)
			res.releaseConn = func(bool) {}
			total += cap(res.body)
			buffered = append(buffered, res)
		}
		So(total, ShouldBeLessThanOrEqualTo, limit)
		So(total, ShouldBeGreaterThan, limit/2)
		for _, res := range buffered {
			res.discard()
			res.discard()
		}
		So(budget.free.Load(), ShouldEqual, limit)
	})
}

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// TestResponsesThatBreakOff guards against a response whose head or body ends early and that
// the caller gets as a complete one.
func TestResponsesThatBreakOff(t *testing.T) {
	const id = "x"
	withLength := rawResponse(okStatus, id, signedHeader, "the whole body")
	chunked := "HTTP/1.1 " + okStatus + "\r\n" + signedHeader + standin.HeaderRequestID + ": " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, whole := range map[string]string{"with a length": withLength, "in chunks": chunked} {
		Convey("A response "+name+" that the target cuts off after any byte is no response", t, func() {
			var cut atomic.Int64
			address := rawTarget(t, func(nc net.Conn, _, _ int, _ *http.Request) {
				writeString(nc, whole[:cut.Load()])
				_ = nc.Close() // in good order: the gateway reads the end of the stream
			})
			for n := range len(whole) {
				cut.Store(int64(n))
				res, failure := roundTrip(newPool(), address, id)
				if failure == nil && res.unread != nil {
					continue // streamed: it ends in an error
				}
				So(fmt.Sprint(n, failure != nil && failure.sent), ShouldEqual, fmt.Sprint(n, true))
			}
			cut.Store(int64(len(whole)))
			_, failure := roundTrip(newPool(), address, id)
			So(failure, ShouldBeNil)
		})
	}
}

// TestRefusalWrittenAgain guards against a refusal that a target writes once more on a kept
// connection: the caller of the next request was told that it had not run.
func TestRefusalWrittenAgain(t *testing.T) {
	for name, copies := range map[string]string{
		"with the identifier of the refused request": rawResponse(refusedStatus, "a", notRunHeader, ""),
		"without an identifier":                      rawResponse(refusedStatus, "", notRunHeader, ""),
		"several times":                              strings.Repeat(rawResponse(refusedStatus, "a", notRunHeader, ""), 2*maxResponseReads),
	} {
		Convey("A refusal that is written again "+name+" refuses no other request", t, func() {
			var ran atomic.Int64
			address := rawTarget(t, func(nc net.Conn, conn, n int, r *http.Request) {
				if conn == 0 && n == 0 {
					writeString(nc, rawResponse(refusedStatus, "a", notRunHeader, ""))
					return
				}
				ran.Add(1)
				writeString(nc, copies)
				writeString(nc, rawResponse(okStatus, r.Header.Get(standin.HeaderRequestID), signedHeader, "ran"))
			})
			p := newPool()
			res, failure := roundTrip(p, address, "a")
			So(failure, ShouldBeNil)
			So(res.metadata.NotRun, ShouldBeTrue)
			res, failure = roundTrip(p, address, "b")
			So(ran.Load(), ShouldEqual, 1)
			if failure != nil {
				So(failure.sent, ShouldBeTrue) // it may have run, so that it is not sent again
			} else {
				So(res.metadata.NotRun, ShouldBeFalse)
			}
		})
	}
}
