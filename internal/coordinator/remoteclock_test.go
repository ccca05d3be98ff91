package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRemoteClock guards against times of another host that look younger than they are.
func TestRemoteClock(t *testing.T) {
	Convey("nothing is told before the clock was learned", t, func() {
		_, ok := new(remoteClock).earliestLocal(time.Second, time.Second)
		So(ok, ShouldBeFalse)
	})
	Convey("a reply that was delayed makes times older by the way there at most", t, func() {
		var r remoteClock
		r.observe(10*time.Second, 100*time.Second+20*time.Millisecond) // 20 ms in transit
		at, _ := r.earliestLocal(10*time.Second, 101*time.Second)
		So(at, ShouldEqual, 10*time.Second+980*time.Millisecond)
		r.observe(11*time.Second, 101*time.Second+500*time.Millisecond) // a slower reply
		at, _ = r.earliestLocal(10*time.Second, 101*time.Second)
		So(at, ShouldEqual, 10*time.Second+980*time.Millisecond)
	})
	Convey("no time is placed later than it was, whatever the delays and the drift", t, func() {
		wrong := 0
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 0))
			offset := time.Duration(random.Int64N(int64(time.Hour)))
			rate := 1 + (2*random.Float64()-1)*maxClockDrift
			remote := func(now time.Duration) time.Duration { return offset + time.Duration(rate*float64(now)) }
			var r remoteClock
			for now := time.Duration(0); now < time.Hour; now += time.Duration(random.Int64N(int64(time.Minute))) {
				r.observe(now, remote(now+time.Duration(random.Int64N(int64(time.Second)))))
				later := now + time.Duration(random.Int64N(int64(10*time.Second)))
				at, ok := r.earliestLocal(later, remote(later))
				// A microsecond of rounding error is allowed.
				if !ok || at > later+time.Microsecond || at < later-2*time.Second {
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
	})
}
