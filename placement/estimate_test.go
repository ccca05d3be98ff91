package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Load pattern: the first response of a route comes after a suspension of the host, and
// seems to have taken longer than any caller has. Guards against a host that refuses all
// later requests of the route, and against many requests at a time on a route that is slow.
func TestServiceTimeOfASuspendedHost(t *testing.T) {
	const callerHas = 1500 * time.Millisecond
	// play sends a request each 10 ms for 20 s, whose service time is given, and returns when
	// each was sent.
	play := func(service time.Duration) (sent []time.Duration, refused int) {
		s := newTestScheduler(Config{Domain: "d0"}, 1, 2)
		start := time.Minute
		d := s.Submit(start-4*time.Second, newRequest(start))
		s.RecordOutcome(start, d.Target, Outcome{Route: "r", ResponseTime: 4 * time.Second, ColdRemaining: -1})
		ends := []time.Duration{}
		for now := start; now < start+20*time.Second; now += 10 * time.Millisecond {
			for len(ends) > 0 && ends[0] <= now {
				s.RecordOutcome(now, "t0", Outcome{Route: "r", ResponseTime: service, ColdRemaining: -1})
				ends = ends[1:]
			}
			switch d := s.Submit(now, newRequest(now+callerHas)); d.Action {
			case Send:
				sent, ends = append(sent, now-start), append(ends, now+service)
			case Refuse:
				refused++
			}
		}
		return sent, refused
	}
	Convey("a route that is as fast as ever is tried within 2 s, and open soon after", t, func() {
		sent, refused := play(5 * time.Millisecond)
		So(sent, ShouldNotBeEmpty)
		So(sent[0], ShouldBeLessThan, 2*time.Second)
		So(refused, ShouldBeLessThan, 500) // requests of 5 s
	})
	Convey("a route that takes longer than callers have gets one request at a time", t, func() {
		sent, _ := play(4 * time.Second)
		So(len(sent), ShouldBeBetween, 2, 15)
		for i := 1; i < len(sent); i++ {
			So(sent[i]-sent[i-1], ShouldBeGreaterThanOrEqualTo, estimateValidity)
		}
	})
}
