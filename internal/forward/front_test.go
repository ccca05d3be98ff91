package forward

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/retry"
)

// Guards against an error code that docs/api.md does not list, which callers
// could not handle.
func TestPageListsEachCode(t *testing.T) {
	Convey("docs/api.md lists each code with its status", t, func() {
		page, err := os.ReadFile("../../docs/api.md")
		So(err, ShouldBeNil)
		want := map[retry.Code]int{}
		for _, c := range retry.Codes() {
			want[c.Code] = c.Status
		}
		for code, info := range ownCodes {
			want[code] = info.status
		}
		for code, status := range want {
			So(string(page), ShouldContainSubstring, fmt.Sprintf("| `%s` | %d |", code, status))
		}
	})
}

func echo() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %d", r.Method, r.URL.EscapedPath(), r.Header.Get("Boragelock-Key"), len(body))
	}))
}

// Guards against refusals with the wrong status or code.
func TestRefusals(t *testing.T) {
	h := echo()
	defer h.Close()
	cases := []struct {
		name, method, path string
		body               io.Reader
		header             []string
		status             int
		code               retry.Code
	}{
		{"unknown workload", "GET", "/v1/nothing/a", nil, nil, 404, retry.CodeUnknownWorkload},
		{"no workload", "GET", "/other", nil, nil, 404, retry.CodeUnknownWorkload},
		{"unknown customer", "GET", "/v1/keyed/a", nil, []string{"Boragelock-Customer", "x"}, 401, retry.CodeUnauthenticated},
		{"wrong credential", "GET", "/v1/keyed/a", nil, []string{"Authorization", "Bearer x"}, 401, retry.CodeUnauthenticated},
		{"no bearer", "GET", "/v1/keyed/a", nil, []string{"Authorization", token}, 401, retry.CodeUnauthenticated},
		{"ended contract", "GET", "/v1/keyed/a", nil, []string{"Boragelock-Customer", "past"}, 403, CodeContractEnded},
		{"workload outside the contract", "GET", "/v1/free/a", nil, []string{"Boragelock-Customer", "slow"}, 403, retry.CodeForbiddenWorkload},
		{"no key", "GET", "/v1/keyed/", nil, nil, 400, retry.CodeBadRequest},
		{"long key", "GET", "/v1/keyed/" + strings.Repeat("k", 1025), nil, nil, 414, CodeKeyTooLong},
		{"large header", "GET", "/v1/keyed/a", nil, []string{"X-Large", strings.Repeat("h", 17<<10)}, 431, CodeHeaderTooLarge},
		{"large declared body", "POST", "/v1/keyed/a", strings.NewReader(strings.Repeat("b", 1<<20+1)), nil, 413, retry.CodeBodyTooLarge},
		{"wrong deadline", "GET", "/v1/keyed/a", nil, []string{"Boragelock-Deadline-Ms", "-1"}, 400, retry.CodeBadRequest},
		{"malformed identifier", "POST", "/v1/keyed/a", nil, []string{"Boragelock-Request-Id", "x"}, 400, retry.CodeBadRequestID},
		{"identifier of a former incarnation", "POST", "/v1/keyed/a", nil, []string{"Boragelock-Request-Id", "e1.i0.1." + strings.Repeat("0", 32)}, 410, retry.CodeIssuerGone},
		{"identifier of a host that is gone", "POST", "/v1/keyed/a", nil, []string{"Boragelock-Request-Id", "e9.i1.1." + strings.Repeat("0", 32)}, 410, retry.CodeIssuerGone},
		{"forged identifier", "POST", "/v1/keyed/a", nil, []string{"Boragelock-Request-Id", "e1.i1.1." + strings.Repeat("0", 32)}, 400, retry.CodeBadRequestID},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			s := newTestHost(t, h.Listener.Addr().String(), nil)
			r := s.do(c.method, c.path, c.body, c.header...)
			So(r.err, ShouldBeNil)
			So(r.status, ShouldEqual, c.status)
			So(r.e, ShouldNotBeNil)
			So(r.e.Code, ShouldEqual, c.code)
			So(s.server.m.errors.Get(string(c.code)).String(), ShouldEqual, "1")
		})
	}
	Convey("a body of unknown length above the limit is refused before it is sent as a whole", t, func() {
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		r := s.do("POST", "/v1/keyed/a", io.MultiReader(strings.NewReader(strings.Repeat("b", 1<<20)), strings.NewReader("more")))
		So(r.e.Code, ShouldEqual, retry.CodeBodyTooLarge)
	})
	Convey("a customer beyond its rate is told when to come back", t, func() {
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		So(s.do("GET", "/v1/keyed/a", nil, "Boragelock-Customer", "slow").status, ShouldEqual, http.StatusOK)
		r := s.do("GET", "/v1/keyed/a", nil, "Boragelock-Customer", "slow")
		So(r.status, ShouldEqual, http.StatusTooManyRequests)
		So(r.e.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(r.header.Get("Retry-After"), ShouldNotBeBlank)
	})
}

// Guards against a key that is changed in transit, which would reach another
// owner or another record.
func TestKeysArriveUnchanged(t *testing.T) {
	h := echo()
	defer h.Close()
	s := newTestHost(t, h.Listener.Addr().String(), nil)
	Convey("keys with slashes, empty segments, dots and escapes arrive as sent", t, func() {
		for path, escaped := range map[string]string{
			"a/b": "a%2Fb", "a%2Fb": "a%2Fb", "a//b": "a%2F%2Fb", "a/../b": "a%2F..%2Fb", "%25": "%25", "a%20b": "a%20b", "%C3%A9": "%C3%A9",
		} {
			r := s.do("POST", "/v1/keyed/"+path, strings.NewReader("12345"))
			So(r.body, ShouldEqual, "POST /v1/work/"+escaped+" "+escaped+" 5")
		}
	})
}

// Guards against a slow caller that occupies a slot or a connection for long.
func TestSlowCaller(t *testing.T) {
	h := echo()
	defer h.Close()
	Convey("a body with a long pause ends with a timeout and nothing is sent", t, func() {
		s := newTestHost(t, h.Listener.Addr().String(), func(c *Config) { c.BodyStallTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", s.front.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_, err = io.WriteString(c, "POST /v1/keyed/a HTTP/1.1\r\nHost: x\r\nBoragelock-Customer: c\r\nAuthorization: Bearer "+token+"\r\nContent-Length: 10\r\n\r\nabc")
		So(err, ShouldBeNil)
		So(c.SetReadDeadline(time.Now().Add(2*time.Second)), ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(resp.Header.Get("Boragelock-Outcome"), ShouldEqual, "not_run")
	})
	Convey("the pause limit of the body does not cut a slow answer", t, func() {
		slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/load") {
				_, _ = io.WriteString(w, `{"in_flight":1}`)
				return
			}
			time.Sleep(150 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		}))
		defer slow.Close()
		s := newTestHost(t, slow.Listener.Addr().String(), func(c *Config) { c.BodyStallTimeout = 50 * time.Millisecond })
		So(s.do("POST", "/v1/keyed/a", strings.NewReader("abc")).body, ShouldEqual, "done")
	})
}

// Guards against a request that still uses a slot after its caller cancelled it
// or its deadline passed.
func TestDeadlineAndCancellation(t *testing.T) {
	Convey("a request that no slot becomes free for ends as not_run at its deadline", t, func() {
		release := make(chan struct{})
		var running atomic.Int64
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/load") {
				_, _ = io.WriteString(w, `{"in_flight":8}`)
				return
			}
			running.Add(1)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { s.do("POST", "/v1/keyed/a", nil) })
		}
		for end := time.Now().Add(5 * time.Second); running.Load() < 8 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(running.Load(), ShouldEqual, 8)
		start := time.Now()
		r := s.do("POST", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "100")
		So(r.e.Code, ShouldEqual, retry.CodeDeadline)
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		So(time.Since(start), ShouldBeLessThan, 200*time.Millisecond)
		close(release)
		wg.Wait()
	})
	Convey("deadline and cancellation reach the target", t, func() {
		var deadlineMS atomic.Value
		cancelled := make(chan struct{})
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/load") {
				_, _ = io.WriteString(w, `{"in_flight":1}`)
				return
			}
			deadlineMS.Store(r.Header.Get("Boragelock-Deadline-Ms"))
			<-r.Context().Done()
			close(cancelled)
		}))
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		r := s.do("POST", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "150")
		So(r.e.Code, ShouldEqual, retry.CodeDeadline)
		So(r.e.Outcome, ShouldEqual, retry.MayHaveRun)
		So(deadlineMS.Load(), ShouldBeIn, "150", "149", "148", "147", "146", "145")
		select {
		case <-cancelled:
		case <-time.After(time.Second):
			t.Error("the request was not cancelled at the target")
		}
	})
}

// twoHosts returns host e1, from which calls are made, and host e2, the home of
// all targets.
func twoHosts(t testing.TB, addr string) (e1, e2 *testHost) {
	e2 = newTestHost(t, addr, nil)
	inner := httptest.NewServer(e2.server.PeerHandler())
	t.Cleanup(inner.Close)
	innerAddr := inner.Listener.Addr().String()
	e2.source.update(func(v *view.View) {
		v.Self.Name, v.Self.Incarnation = "e2", "i2"
		for name := range v.Homes {
			v.Homes[name] = view.Home{Host: "e2", Epoch: 1}
		}
	})
	e1 = newTestHost(t, addr, nil)
	e1.source.update(func(v *view.View) {
		for name := range v.Homes {
			v.Homes[name] = view.Home{Host: "e2", HTTPAddr: innerAddr, Epoch: 1}
		}
		v.Peers["e2"] = view.Peer{Name: "e2", Incarnation: "i2", HTTPAddr: innerAddr, Alive: true}
	})
	return e1, e2
}

// Guards against responses, errors and outcomes that are changed when a request
// is forwarded by another entry host.
func TestThroughHome(t *testing.T) {
	h := echo()
	defer h.Close()
	Convey("requests of all kinds pass through the home", t, func() {
		e1, e2 := twoHosts(t, h.Listener.Addr().String())
		So(e1.do("GET", "/v1/keyed/a/b", nil).body, ShouldEqual, "GET /v1/work/a%2Fb a%2Fb 0")
		So(e1.do("POST", "/v1/keyed/a", strings.NewReader(strings.Repeat("x", 300000))).body, ShouldEqual, "POST /v1/work/a a 300000")
		So(e1.do("GET", "/v1/free/x", nil).body, ShouldEqual, "GET /v1/work/x  0")
		head := e1.do("HEAD", "/v1/keyed/a", nil)
		So(head.status, ShouldEqual, http.StatusOK)
		So(head.header.Get("Content-Length"), ShouldNotBeBlank)
		So(len(e2.server.homes), ShouldBeGreaterThan, 0)
		So(len(e1.server.homes), ShouldEqual, 0)
	})
	Convey("a home without a permit answers not_home, which is reported", t, func() {
		e1, e2 := twoHosts(t, h.Listener.Addr().String())
		e2.source.permits["k"] = 0
		r := e1.do("POST", "/v1/keyed/a", nil)
		So(r.e.Code, ShouldEqual, retry.CodeNotHome)
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		So(e1.source.reported(view.EventNotHome), ShouldBeTrue)
	})
	Convey("a home that refuses connections is reported, and nothing has run", t, func() {
		e1, _ := twoHosts(t, h.Listener.Addr().String())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(ln.Close(), ShouldBeNil)
		e1.source.update(func(v *view.View) { v.Homes["k"] = view.Home{Host: "e2", HTTPAddr: ln.Addr().String()} })
		r := e1.do("POST", "/v1/keyed/a", nil)
		So(r.e.Code, ShouldEqual, CodeHomeUnreachable)
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		So(e1.source.reported(view.EventPeerDown), ShouldBeTrue)
	})
	Convey("bodies are streamed in both directions at once", t, func() {
		duplex := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			buf := make([]byte, 100)
			for {
				n, err := io.ReadFull(r.Body, buf)
				if _, werr := w.Write(buf[:n]); err != nil || werr != nil || control.Flush() != nil {
					return
				}
			}
		}))
		defer duplex.Close()
		e1, _ := twoHosts(t, duplex.Listener.Addr().String())
		rd, wr := io.Pipe()
		go func() { _, _ = io.WriteString(wr, strings.Repeat("a", 700*100)) }()
		req, err := http.NewRequest("POST", e1.front.URL+"/v1/keyed/a", rd)
		So(err, ShouldBeNil)
		req.Header.Set("Boragelock-Customer", "c")
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := e1.client.Do(req)
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		got := make([]byte, 700*100)
		_, err = io.ReadFull(resp.Body, got)
		So(err, ShouldBeNil)
		for i := range 5 {
			// The pause is above the silence timeouts of both hops.
			time.Sleep(300 * time.Millisecond)
			sent := strings.Repeat(string(rune('b'+i)), 100)
			_, err = io.WriteString(wr, sent)
			So(err, ShouldBeNil)
			_, err = io.ReadFull(resp.Body, got[:100])
			So(err, ShouldBeNil)
			So(string(got[:100]), ShouldEqual, sent)
		}
		So(wr.Close(), ShouldBeNil)
		rest, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(rest, ShouldBeEmpty)
	})
	Convey("a slow request outlives the silence limit because of heartbeats", t, func() {
		slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/load") {
				_, _ = io.WriteString(w, `{"in_flight":1}`)
				return
			}
			time.Sleep(400 * time.Millisecond)
			_, _ = io.WriteString(w, "slow")
		}))
		defer slow.Close()
		e1, _ := twoHosts(t, slow.Listener.Addr().String())
		So(e1.do("POST", "/v1/keyed/a", nil).body, ShouldEqual, "slow")
		So(e1.server.m.silentConnections.Value(), ShouldEqual, 0)
	})
}

// Guards against two runs of the same request identifier, which would duplicate a
// customer's work.
func TestRequestIDs(t *testing.T) {
	Convey("an issued identifier runs once, on whichever host it is sent to", t, func() {
		var runs atomic.Int32
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == "POST" {
				runs.Add(1)
			}
			_, _ = io.WriteString(w, r.Header.Get("Boragelock-Request-Id"))
		}))
		defer h.Close()
		e1, e2 := twoHosts(t, h.Listener.Addr().String())
		var issued issueResponse
		So(json.Unmarshal([]byte(e2.do("POST", PathRequestIDs, strings.NewReader(`{"count":2}`)).body), &issued), ShouldBeNil)
		So(issued.RequestIDs, ShouldHaveLength, 2)
		id := issued.RequestIDs[0]
		So(e1.do("POST", "/v1/keyed/a", nil, "Boragelock-Request-Id", id).body, ShouldEqual, id)
		for _, s := range []*testHost{e1, e2} {
			r := s.do("POST", "/v1/keyed/a", nil, "Boragelock-Request-Id", id)
			So(r.e.Code, ShouldEqual, retry.CodeAlreadyDone)
			So(r.e.Outcome, ShouldEqual, retry.Ran)
		}
		So(runs.Load(), ShouldEqual, 1)
		So(e1.do("POST", PathRequestIDs, strings.NewReader(`{"count":0}`)).status, ShouldEqual, http.StatusBadRequest)
	})
	Convey("a repeat that is refused for another reason does not say not_run", t, func() {
		h := echo()
		defer h.Close()
		e1, e2 := twoHosts(t, h.Listener.Addr().String())
		id := e2.do("POST", "/v1/keyed/a", nil).header.Get("Boragelock-Request-Id")
		unused := issueResponse{}
		So(json.Unmarshal([]byte(e2.do("POST", PathRequestIDs, nil).body), &unused), ShouldBeNil)
		large := func() io.Reader { return strings.NewReader(strings.Repeat("b", 1<<20+1)) }
		for _, c := range []struct {
			s    *testHost
			id   string
			want retry.Outcome
		}{
			{e2, id, retry.Ran}, {e1, id, retry.MayHaveRun},
			{e2, unused.RequestIDs[0], retry.NotRun}, {e1, unused.RequestIDs[0], retry.MayHaveRun},
		} {
			r := c.s.do("POST", "/v1/keyed/a", large(), "Boragelock-Request-Id", c.id)
			So(r.e.Code, ShouldEqual, retry.CodeBodyTooLarge)
			So(r.e.Outcome, ShouldEqual, c.want)
		}
		So(e2.do("POST", "/v1/keyed/a", nil, "Boragelock-Request-Id", unused.RequestIDs[0]).status, ShouldEqual, 200)
	})
	Convey("an identifier may be used again after not_run", t, func() {
		h := echo()
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		s.source.permits["k"] = 0
		r := s.do("POST", "/v1/keyed/a", nil)
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		id := r.header.Get("Boragelock-Request-Id")
		s.source.mu.Lock()
		s.source.permits["k"] = time.Minute
		s.source.mu.Unlock()
		So(s.do("POST", "/v1/keyed/a", nil, "Boragelock-Request-Id", id).status, ShouldEqual, http.StatusOK)
	})
}
