package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// After a pause of this host all attempts that it had under way have timed
// out; blaming the targets would take the shards of all of them away.
func TestStallMeterNoticesPauses(t *testing.T) {
	Convey("a stall counts against attempts that it overlaps only", t, func() {
		now := time.Second
		m := newStallMeter(func() time.Duration { return now })
		step := func(d time.Duration) { now += d; m.note(now) }
		m.tick.Store(int64(now))
		step(stallTick)
		So(m.since(0), ShouldBeFalse)
		start := now
		now += 200 * time.Millisecond
		So(m.since(start), ShouldBeTrue) // not yet noticed by a tick
		m.note(now)
		step(stallTick)
		So(m.since(start), ShouldBeTrue)
		So(m.since(now), ShouldBeFalse)
	})
}
