package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/retry"
)

// Guards against a second run of a non-idempotent request, which would duplicate
// a customer's work.
func TestNoSilentReplay(t *testing.T) {
	Convey("a request on a kept-alive connection that breaks after the write is sent once", t, func() {
		var sent atomic.Int32
		tgt := newRawTarget(t, func(n int, c net.Conn) {
			if n == 1 && readRequest(c) != "" {
				_, _ = io.WriteString(c, ok("first"))
				if readRequest(c) != "" {
					sent.Add(1)
				}
				return
			}
			for readRequest(c) != "" {
				sent.Add(1)
				_, _ = io.WriteString(c, ok("again"))
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		So(s.do("GET", "/v1/keyed/a", nil).body, ShouldEqual, "first")
		r := s.do("POST", "/v1/keyed/a", nil, "Idempotency-Key", "x", "X-Idempotency-Key", "x")
		So(r.status, ShouldEqual, http.StatusBadGateway)
		So(r.e.Code, ShouldEqual, retry.CodeResponseLost)
		So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
		So(sent.Load(), ShouldEqual, 1)
	})
	Convey("net/http does not repeat an idempotent request without the budget", t, func() {
		var sent atomic.Int32
		tgt := newRawTarget(t, func(n int, c net.Conn) {
			for i := 0; readRequest(c) != ""; i++ {
				sent.Add(1)
				if i > 0 || n > 1 {
					return
				}
				_, _ = io.WriteString(c, ok("first"))
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		So(s.do("GET", "/v1/keyed/a", nil).status, ShouldEqual, http.StatusOK)
		sent.Store(0)
		// The budget of a customer without successes is one retry; one success
		// adds a tenth.
		r := s.do("GET", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "400")
		So(r.e.Code, ShouldEqual, retry.CodeResponseLost)
		So(sent.Load(), ShouldBeLessThanOrEqualTo, 3)
		So(sent.Load(), ShouldEqual, 1+s.server.m.retries.Value())
	})
	Convey("a connection that broke while idle costs nothing, even for a POST", t, func() {
		closed := make(chan struct{}, 100)
		tgt := newRawTarget(t, func(n int, c net.Conn) {
			if readRequest(c) != "" {
				_, _ = io.WriteString(c, ok("one"))
				_ = c.Close()
				closed <- struct{}{}
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		for range 20 {
			r := s.do("POST", "/v1/keyed/a", strings.NewReader("x"))
			So(r.status, ShouldEqual, http.StatusOK)
			<-closed
		}
	})
}

// Guards against a truncated response that is passed on as complete, so that the
// caller loses data without an error.
func TestCutAnswers(t *testing.T) {
	answers := map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no length": "HTTP/1.1 200 OK\r\n\r\nlooks whole",
		"header":    "HTTP/1.1 200 OK\r\nContent-Le",
		"status":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	}
	for _, status := range []string{"000", "099", "600", "999"} {
		answers["status, which is "+status+","] = "HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\nok"
	}
	for name, text := range answers {
		Convey("an answer cut in its "+name+" is an error with an open outcome", t, func() {
			tgt := newRawTarget(t, func(_ int, c net.Conn) {
				if readRequest(c) != "" {
					_, _ = io.WriteString(c, text)
				}
			})
			r := newTestHost(t, tgt.addr(), nil).do("POST", "/v1/keyed/a", nil)
			So(r.status, ShouldEqual, http.StatusBadGateway)
			So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
		})
	}
	Convey("a large answer that is cut after its header was passed on ends as a broken connection", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			if readRequest(c) != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 500000))
			}
		})
		r := newTestHost(t, tgt.addr(), nil).do("GET", "/v1/keyed/a", nil)
		So(r.status, ShouldEqual, http.StatusOK)
		So(r.err, ShouldNotBeNil)
	})
	Convey("a body without a length that is reset during an upload is an error with an open outcome", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			if readRequest(c) != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0) // fails on a connection that is closed already
				_ = c.Close()
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		for range 8 {
			r := s.do("POST", "/v1/keyed/a", strings.NewReader(strings.Repeat("u", 1<<20)))
			if r.err != nil {
				continue // a broken connection, which is no answer: the host may close one with an unread upload
			}
			So(r.status, ShouldEqual, http.StatusBadGateway)
			So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
		}
	})
	Convey("an answer with a name that is no token is an error with an open outcome", t, func() {
		for _, line := range []string{"X Odd: v", "X-Odd : v", "Content-Length : 3", "Connection : close", "X\tOdd: v", "X\x00Odd: v", "X\x7fOdd: v"} {
			for _, text := range []string{
				"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
				"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 503 Service Unavailable\r\nBoragelock-Outcome: not_run\r\nBoragelock-Code: shed\r\nContent-Length: 0\r\n" + line + "\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + ok("body"),
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n",
			} {
				var conns atomic.Int32
				tgt := newRawTarget(t, func(n int, c net.Conn) {
					conns.Store(int32(n))
					for readRequest(c) != "" {
						_, _ = io.WriteString(c, text)
					}
				})
				s := newTestHost(t, tgt.addr(), nil)
				for range 2 {
					r := s.do("POST", "/v1/keyed/a", nil)
					So(r.status, ShouldEqual, http.StatusBadGateway)
					So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
				}
				if !strings.Contains(text, "chunked") { // trailers end after the body, whose end is sure
					So(conns.Load(), ShouldEqual, 2) // none is used again
				}
			}
		}
	})
	Convey("an answer with a line that begins with a blank is an error with an open outcome, also on a kept connection", t, func() {
		for _, line := range []string{" X-Odd: v", "\tX-Odd: v", " Content-Length: 3", ": v"} {
			for _, text := range []string{
				"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
				"HTTP/1.1 503 Service Unavailable\r\nBoragelock-Outcome: not_run\r\nBoragelock-Code: shed\r\nContent-Length: 0\r\n" + line + "\r\n\r\n",
				"HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\n\r\n" + ok("body"),
				"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
			} {
				var sent atomic.Int32
				tgt := newRawTarget(t, func(_ int, c net.Conn) {
					for readRequest(c) != "" {
						if sent.Add(1) == 2 {
							_, _ = io.WriteString(c, text)
							continue
						}
						_, _ = io.WriteString(c, ok("own\r\n\r\n own"))
					}
				})
				s := newTestHost(t, tgt.addr(), nil)
				for n := 1; n <= 3; n++ {
					r := s.do("POST", "/v1/keyed/a", nil)
					if n == 2 {
						So(r.status, ShouldEqual, http.StatusBadGateway)
						So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
						continue
					}
					So(r.body, ShouldEqual, "own\r\n\r\n own")
				}
				So(sent.Load(), ShouldEqual, 3)
			}
		}
	})
	Convey("a large answer whose trailers have such a name ends as a broken connection", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			if readRequest(c) != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"+strings.Repeat("x", 200000)+"\r\n0\r\nX-Odd : v\r\n\r\n")
			}
		})
		r := newTestHost(t, tgt.addr(), nil).do("GET", "/v1/keyed/a", nil)
		So(r.err, ShouldNotBeNil)
	})
	Convey("a large answer arrives as a whole", t, func() {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for range 100 {
				_, _ = io.WriteString(w, strings.Repeat("y", 10000))
			}
		}))
		defer h.Close()
		r := newTestHost(t, h.Listener.Addr().String(), nil).do("GET", "/v1/keyed/a", nil)
		So(r.err, ShouldBeNil)
		So(len(r.body), ShouldEqual, 1000000)
	})
}

// Guards against a response that is matched to the wrong request, which would
// disclose one customer's data to another.
func TestCrossedAnswers(t *testing.T) {
	Convey("surplus bytes behind a response are not taken for the next one", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			for i := 0; readRequest(c) != ""; i++ {
				_, _ = io.WriteString(c, ok("mine")+ok("not mine"))
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		for range 200 {
			r := s.do("GET", "/v1/keyed/a", nil)
			So(r.body, ShouldNotEqual, "not mine")
		}
	})
	Convey("a response that arrives late on a connection at rest is dropped with it", t, func() {
		late := make(chan struct{}, 1000)
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			for readRequest(c) != "" {
				_, _ = io.WriteString(c, ok("mine"))
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, ok("not mine"))
				late <- struct{}{}
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		for range 200 {
			// The surplus response has arrived before the next request is sent,
			// but may not have been read. A POST is sent only once, which keeps
			// the two sides synchronized.
			r := s.do("POST", "/v1/keyed/a", nil)
			So(r.body, ShouldNotEqual, "not mine")
			select {
			case <-late:
			case <-time.After(2 * time.Second):
				t.Fatalf("the target did not read a request; the host's response: status %d, body %q", r.status, r.body)
			}
		}
	})
	Convey("the late response to a request that was given up is never taken for another's", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			for {
				head := readRequest(c)
				if head == "" {
					return
				}
				if strings.Contains(head, "/v1/work/late ") {
					time.Sleep(40 * time.Millisecond)
					_, _ = io.WriteString(c, ok("late"))
					continue
				}
				_, _ = io.WriteString(c, ok("mine"))
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		for range 10 {
			So(s.do("GET", "/v1/keyed/late", nil, "Boragelock-Deadline-Ms", "20").status, ShouldEqual, http.StatusGatewayTimeout)
			for range 5 {
				So(s.do("GET", "/v1/keyed/a", nil).body, ShouldEqual, "mine")
				time.Sleep(5 * time.Millisecond)
			}
		}
	})
	Convey("a response that names another request is refused", t, func() {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Boragelock-Request-Id", "another")
		}))
		defer h.Close()
		r := newTestHost(t, h.Listener.Addr().String(), nil).do("POST", "/v1/keyed/a", nil)
		So(r.status, ShouldEqual, http.StatusBadGateway)
		So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
	})
	Convey("interim responses are not final ones, and an early response is passed on", t, func() {
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			for readRequest(c) != "" {
				_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20))
				_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			}
		})
		r := newTestHost(t, tgt.addr(), nil).do("POST", "/v1/keyed/a", strings.NewReader(strings.Repeat("z", 500000)))
		So(r.status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(r.body, ShouldEqual, "no")
	})
}

// Guards against requests that wait on a silent connection until their deadline,
// and against reporting the target of such a connection as failed.
func TestSilentConnection(t *testing.T) {
	silentFirst := func() *rawTarget {
		return newRawTarget(t, func(n int, c net.Conn) {
			for {
				head := readRequest(c)
				if head == "" {
					return
				}
				if answerProbe(c, head) {
					continue
				}
				if n == 1 {
					_, _ = io.Copy(io.Discard, c)
					return
				}
				_, _ = io.WriteString(c, ok("works"))
			}
		})
	}
	Convey("an idempotent request is sent again on a new connection", t, func() {
		s := newTestHost(t, silentFirst().addr(), nil)
		start := time.Now()
		r := s.do("GET", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "5000")
		So(r.body, ShouldEqual, "works")
		So(time.Since(start), ShouldBeLessThan, time.Second)
		So(s.source.reported(view.EventConnectionRefused), ShouldBeFalse)
	})
	Convey("a non-idempotent request ends with an open outcome before its deadline", t, func() {
		s := newTestHost(t, silentFirst().addr(), nil)
		start := time.Now()
		r := s.do("POST", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "5000")
		So(r.e.Code, ShouldEqual, CodeSilentConnection)
		So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
		So(time.Since(start), ShouldBeLessThan, 2*time.Second)
	})
	Convey("a slow target that reports its requests is left to work", t, func() {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/load" {
				_, _ = io.WriteString(w, `{"state":"serving","in_flight":1}`)
				return
			}
			time.Sleep(220 * time.Millisecond)
			_, _ = io.WriteString(w, "slow")
		}))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		So(s.do("GET", "/v1/keyed/a", nil).body, ShouldEqual, "slow")
		So(s.server.m.silentConnections.Value(), ShouldEqual, 0)
	})
}

// Guards against a request that reaches a target without a valid permit or epoch
// and can run on the wrong owner.
func TestFence(t *testing.T) {
	Convey("without a permit nothing is written", t, func() {
		var sent atomic.Int32
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { sent.Add(1) }))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		s.source.permits["b"] = 0
		r := s.do("GET", "/v1/bare/a", nil)
		So(r.status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		So(sent.Load(), ShouldEqual, 0)
	})
	Convey("a permit that ends between admission and write stops the write", t, func() {
		var sent atomic.Int32
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { sent.Add(1) }))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		home := s.server.ensureHome("b")
		s.source.mu.Lock()
		s.source.permits["b"] = 0
		s.source.mu.Unlock()
		c := &call{workload: "bare", keyed: true, key: "a", method: "POST", customer: "c", header: http.Header{}, body: &body{buffered: true}, deadline: 1 << 62}
		_, _, e := s.server.send(t.Context(), home, c, route{target: "b", epoch: 1})
		So(e.Code, ShouldEqual, retry.CodeNotHome)
		So(e.Outcome, ShouldEqual, retry.NotRun)
		So(sent.Load(), ShouldEqual, 0)
	})
	Convey("a request for a shard that changes hands is held and sent to the new owner", t, func() {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Header.Get("Boragelock-Epoch"))
		}))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		id := ownership.ID{Workload: "bare", Shard: 0}
		s.source.update(func(v *view.View) {
			v.State.Table.ApplyMove(ownership.Move{Shards: []ownership.MoveShard{{ID: id, FromEpoch: 1, To: "b"}}})
		})
		time.AfterFunc(80*time.Millisecond, func() {
			s.source.update(func(v *view.View) {
				v.State.Table.ApplyReleased(ownership.Released{Shards: []ownership.ReleasedShard{{ID: id, Epoch: 1}}})
			})
		})
		start := time.Now()
		r := s.do("POST", "/v1/bare/a", strings.NewReader("x"))
		So(r.body, ShouldEqual, "2")
		So(time.Since(start), ShouldBeGreaterThan, 70*time.Millisecond)
	})
	Convey("a target that refuses as not_owner is reported, and the request is routed again", t, func() {
		var n atomic.Int32
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				w.Header().Set("Boragelock-Outcome", "not_run")
				w.Header().Set("Boragelock-Code", "not_owner")
				w.WriteHeader(http.StatusConflict)
				return
			}
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		r := s.do("POST", "/v1/keyed/a", strings.NewReader("once"))
		So(r.body, ShouldEqual, "once")
		So(s.source.reported(view.EventNotOwner), ShouldBeTrue)
	})
}

// Guards against the outcome not_run for a request that has run: the response to
// its first attempt was lost, and the second attempt was shed.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	Convey("a refusal of the second attempt does not hide the first", t, func() {
		const shed = "HTTP/1.1 503 Service Unavailable\r\nBoragelock-Outcome: not_run\r\nBoragelock-Code: shed\r\nContent-Length: 0\r\n\r\n"
		var sent atomic.Int32
		tgt := newRawTarget(t, func(_ int, c net.Conn) {
			for {
				head := readRequest(c)
				if head == "" {
					return
				}
				if answerProbe(c, head) {
					continue
				}
				if sent.Add(1) == 1 {
					return
				}
				_, _ = io.WriteString(c, shed)
			}
		})
		s := newTestHost(t, tgt.addr(), nil)
		r := s.do("GET", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "1000")
		So(sent.Load(), ShouldBeGreaterThan, 1)
		So(r.e.Code, ShouldEqual, retry.CodeShed)
		So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
	})
}
