package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// After a pause of this host all attempts that it had under way have timed
// out; blaming the targets would take the shards of all of them away.
func TestStallMeterNoticesPauses(t *testing.T) {
	Convey("the clock for the silence of others stands still during a stall", t, func() {
		now := time.Second
		m := newStallMeter(func() time.Duration { return now })
		tick := func() { now += stallTick; m.note(now) }
		m.tick.Store(int64(now))
		for range 5 {
			tick()
		}
		before := m.awake()
		tick()
		So(m.awake()-before, ShouldEqual, stallTick)
		now += time.Second
		So(m.awake()-before, ShouldEqual, 2*stallTick) // not yet noticed by a tick
		m.note(now)
		So(m.awake()-before, ShouldEqual, 2*stallTick)
		So(m.lastEnd(), ShouldEqual, now)
		tick()
		So(m.awake()-before, ShouldEqual, 3*stallTick)
	})
}
