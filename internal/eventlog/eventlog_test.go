package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedOutput is an output that accepts no line until release is closed.
type blockedOutput struct{ release chan struct{} }

func (s blockedOutput) Write(b []byte) (int, error) { <-s.release; return len(b), nil }

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestLog(t *testing.T) {
	Convey("An output that is stuck does not block, and what is dropped is counted", t, func() {
		s := blockedOutput{make(chan struct{})}
		l := New(s, "info")
		done := make(chan struct{})
		go func() {
			for i := range 3 * queueCapacity {
				l.Info("event", "n", i)
			}
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("logging blocked")
		}
		So(l.out.takeDropped(), ShouldBeGreaterThan, queueCapacity)
		close(s.release)
		l.Close()
	})
	Convey("Under load each kind is thinned to its rate, by the same requests on each host", t, func() {
		kept := make([]map[string]bool, 2)
		for host := range kept {
			out := &syncBuffer{}
			l := New(out, "info")
			kept[host] = map[string]bool{}
			for range 12 { // seconds
				for i := range 400 * (host + 1) { // one host is busier
					id := fmt.Sprint("id", i)
					l.Request("served", id)
				}
				l.ReportOmitted()
			}
			n := 0
			for i := range 400 {
				if l.sample("served", fmt.Sprint("id", i)) {
					kept[host][fmt.Sprint("id", i)] = true
					n++
				}
			}
			So(n, ShouldBeLessThan, 3*RateLimits["served"])
			l.Close()
			So(out.String(), ShouldContainSubstring, "events_thinned")
		}
		for id := range kept[1] {
			So(kept[0][id], ShouldBeTrue)
		}
	})
	Convey("A line is one line of key=value pairs with the request", t, func() {
		out := &syncBuffer{}
		l := New(out, "info")
		l.Request("refused", "abc", "reason", "deadline", "left_ms", 12)
		l.Close()
		So(strings.Count(out.String(), "\n"), ShouldEqual, 1)
		So(out.String(), ShouldContainSubstring, "refused: request=abc reason=deadline left_ms=12")
	})
}
