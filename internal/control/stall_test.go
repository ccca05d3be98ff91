package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// After a pause of this host, all its attempts in progress have timed out. If they
// counted against the targets, all targets would lose their shards.
func TestStallMeterNoticesPauses(t *testing.T) {
	Convey("the clock for the silence of others stands still during a stall", t, func() {
		now := time.Second
		m := newStallMeter(func() time.Duration { return now })
		tick := func() { now += stallTickInterval; m.handleTick(now) }
		m.lastTick.Store(int64(now))
		for range 5 {
			tick()
		}
		before := m.awake()
		tick()
		So(m.awake()-before, ShouldEqual, stallTickInterval)
		now += time.Second
		So(m.awake()-before, ShouldEqual, 2*stallTickInterval) // before the next tick
		m.handleTick(now)
		So(m.awake()-before, ShouldEqual, 2*stallTickInterval)
		So(m.lastStallEnd(), ShouldEqual, now)
		tick()
		So(m.awake()-before, ShouldEqual, 3*stallTickInterval)
	})
}
