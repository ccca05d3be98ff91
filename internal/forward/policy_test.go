package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/retry"
)

// Guards against a trace that is interrupted at a hop, which would hide where a
// request spent its time.
func TestTracing(t *testing.T) {
	var traceparent atomic.Value
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		traceparent.Store(r.Header.Get("Traceparent"))
	}))
	defer h.Close()
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	Convey("each hop has a span in the caller's trace, and the target gets the last one", t, func() {
		spans := tracetest.NewSpanRecorder()
		tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
		s := newTestHost(t, h.Listener.Addr().String(), func(c *Config) { c.Tracer = tracer })
		So(s.do("GET", "/v1/keyed/a", nil, "traceparent", parent).status, ShouldEqual, 200)
		So(traceparent.Load(), ShouldStartWith, "00-0af7651916cd43dd8448eb211c80319c-")
		So(traceparent.Load(), ShouldNotEqual, parent)
		var names []string
		for _, x := range spans.Ended() {
			names = append(names, x.Name())
			So(x.SpanContext().TraceID().String(), ShouldEqual, "0af7651916cd43dd8448eb211c80319c")
		}
		So(names, ShouldResemble, []string{"target", "home", "front"})
	})
	Convey("without a tracer the caller's context is passed on", t, func() {
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		So(s.do("GET", "/v1/keyed/a", nil, "traceparent", parent).status, ShouldEqual, 200)
		So(traceparent.Load(), ShouldEqual, parent)
	})
}

// Guards against one slow target that determines the tail latency of an unkeyed
// workload.
func TestHedging(t *testing.T) {
	var slow atomic.Bool
	var cancelled atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		if !slow.Load() || strings.HasPrefix(r.URL.Path, "/v1/load") {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			cancelled.Add(1)
		}
	}
	slowTarget := httptest.NewServer(http.HandlerFunc(serve))
	defer slowTarget.Close()
	fast := echo()
	defer fast.Close()
	Convey("an idempotent request is hedged, and the loser is cancelled", t, func() {
		s := newTestHost(t, fast.Listener.Addr().String(), func(c *Config) { c.MinSilenceTimeout = 2 * time.Second })
		s.source.update(func(v *view.View) {
			f1 := v.State.Config.Targets["f1"]
			f1.Addr = slowTarget.Listener.Addr().String()
			v.State.Config = v.State.Config.Clone()
			v.State.Config.Targets["f1"] = f1
		})
		for range 40 {
			s.server.hedger("free").StartRequest()
		}
		slow.Store(true)
		c := &call{id: "x", customer: "c", weight: 1, workload: "free", key: "x", method: "GET", header: http.Header{},
			body: &body{buffered: true}, idempotent: true, deadline: boottime.Now() + 5*time.Second}
		start := time.Now()
		ans, e := s.server.hedged(t.Context(), c, route{target: "f1"}, 20*time.Millisecond)
		So(e, ShouldBeNil)
		So(ans.status, ShouldEqual, 200)
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		So(s.server.m.hedgesWon.Value(), ShouldEqual, 1)
		time.Sleep(50 * time.Millisecond)
		So(cancelled.Load(), ShouldEqual, 1)
	})
	Convey("a POST is never hedged", t, func() {
		s := newTestHost(t, fast.Listener.Addr().String(), nil)
		for range 100 {
			So(s.do("POST", "/v1/free/x", nil).status, ShouldEqual, 200)
		}
		So(s.server.m.hedges.Value(), ShouldEqual, 0)
	})
	Convey("an unkeyed request goes to another target when the first refuses connections", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(ln.Close(), ShouldBeNil)
		s := newTestHost(t, fast.Listener.Addr().String(), nil)
		s.source.update(func(v *view.View) {
			f1 := v.State.Config.Targets["f1"]
			f1.Addr = ln.Addr().String()
			v.State.Config = v.State.Config.Clone()
			v.State.Config.Targets["f1"] = f1
		})
		for range 50 {
			So(s.do("POST", "/v1/free/x", nil).status, ShouldEqual, 200)
		}
	})
}

// Guards against a ready status without a configuration, for which callers'
// requests fail, and of a stopping host, which loses requests.
func TestHealth(t *testing.T) {
	Convey("readiness follows configuration and stop", t, func() {
		s := newTestHost(t, "127.0.0.1:1", nil)
		So(s.do("GET", PathReady, nil).status, ShouldEqual, 200)
		v := s.source.view
		s.source.view = nil
		So(s.do("GET", PathReady, nil).status, ShouldEqual, 503)
		So(s.do("GET", PathHealthy, nil).status, ShouldEqual, 200)
		r := s.do("GET", "/v1/keyed/a", nil)
		So(r.e.Code, ShouldEqual, retry.CodeNotReady)
		s.source.view = v
		s.server.SetUnready()
		So(s.do("GET", PathReady, nil).status, ShouldEqual, 503)
		So(s.do("GET", PathHealthy, nil).status, ShouldEqual, 200)
	})
}

// Guards against unbounded concurrent dials, which overload a target that has just
// recovered.
func TestDialsAreBounded(t *testing.T) {
	Convey("no more connections are opened at once, or kept, than permitted", t, func() {
		var open, maxOpen atomic.Int32
		h := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, "x")
		}))
		h.Config.ConnState = func(_ net.Conn, st http.ConnState) {
			switch st {
			case http.StateNew:
				n := open.Add(1)
				for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
				}
			case http.StateClosed:
				open.Add(-1)
			}
		}
		h.Start()
		defer h.Close()
		s := newTestHost(t, h.Listener.Addr().String(), nil)
		var wg sync.WaitGroup
		for range 64 {
			wg.Go(func() { s.do("POST", "/v1/keyed/a", nil) })
		}
		wg.Wait()
		So(maxOpen.Load(), ShouldBeLessThanOrEqualTo, poolLimit(contract.Target{Slots: 8, MaxConnections: 100}))
		So(s.server.m.answers.Value(), ShouldEqual, 64)
	})
}

// Guards against a refusal without the home's load: the front would send the next
// request to the same full queue.
func TestRefusalsCarryLoad(t *testing.T) {
	Convey("a home that sheds a request tells its load", t, func() {
		release := make(chan struct{})
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/v1/load") {
				<-release
			}
		}))
		defer h.Close()
		e1, _ := twoHosts(t, h.Listener.Addr().String())
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() { e1.do("POST", "/v1/keyed/a", nil) })
		}
		time.Sleep(100 * time.Millisecond)
		r := e1.do("POST", "/v1/keyed/a", nil, "Boragelock-Deadline-Ms", "50")
		So(r.e.Outcome, ShouldEqual, retry.NotRun)
		hint := e1.server.loadOf("k").hint.Load()
		So(hint, ShouldNotBeNil)
		So(hint.queued, ShouldBeGreaterThanOrEqualTo, 8)
		close(release)
		wg.Wait()
	})
}
