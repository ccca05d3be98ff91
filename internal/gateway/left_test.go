package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// cancellationLimit is the time after which no target receives the request of a
// caller that has left.
const cancellationLimit = 500 * time.Millisecond

// TestCallerWhoLeft guards against an order that is sent to further targets after its
// caller has left.
func TestCallerWhoLeft(t *testing.T) {
	Convey("after the caller has left no further target gets its order", t, func() {
		r := newHarness(t, 0)
		var mu sync.Mutex
		var arrivals []time.Time
		for i := range 4 {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
				w.Header().Set(standin.HeaderRequestID, q.Header.Get(standin.HeaderRequestID))
				w.Header().Set("X-Boragelock-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(srv.Close)
			r.announceTarget(fleet.Target{ID: fmt.Sprint("slow", i), Workload: "w", Address: strings.TrimPrefix(srv.URL, "http://"), Domain: "d", Slots: 2})
		}
		nc, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		_, err = fmt.Fprintf(nc, "POST /o/1 HTTP/1.1\r\nHost: h\r\n%s: a1\r\n%s: 2000\r\nContent-Length: 1\r\n\r\nx", standin.HeaderRequestID, standin.HeaderDeadline)
		So(err, ShouldBeNil)
		arrived := func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(arrivals)
		}
		for end := time.Now().Add(5 * time.Second); arrived() == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		So(nc.Close(), ShouldBeNil)
		left := time.Now()
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		So(len(arrivals), ShouldBeGreaterThan, 0)
		So(arrivals[len(arrivals)-1], ShouldHappenBefore, left.Add(cancellationLimit))
	})
}
