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

// goneWithin is the time after a caller has left from which on no target gets its
// request any more.
const goneWithin = 500 * time.Millisecond

// TestCallerWhoLeft guards against an order that goes to one target after the other
// though its caller has left.
func TestCallerWhoLeft(t *testing.T) {
	Convey("after the caller has left no further target gets its order", t, func() {
		r := newRig(t, 0)
		var mu sync.Mutex
		var arrivals []time.Time
		for i := range 4 {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
				w.Header().Set(standin.HeaderID, q.Header.Get(standin.HeaderID))
				w.Header().Set("X-Boragelock-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			t.Cleanup(srv.Close)
			r.put(fleet.Target{ID: fmt.Sprint("slow", i), Workload: "w", Address: strings.TrimPrefix(srv.URL, "http://"), Domain: "d", Slots: 2})
		}
		nc, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		_, err = fmt.Fprintf(nc, "POST /o/1 HTTP/1.1\r\nHost: h\r\n%s: a1\r\n%s: 2000\r\nContent-Length: 1\r\n\r\nx", standin.HeaderID, standin.HeaderDeadline)
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
		So(arrivals[len(arrivals)-1], ShouldHappenBefore, left.Add(goneWithin))
	})
}
