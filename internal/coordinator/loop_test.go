package coordinator

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestResultsBeforeTicks guards against a busy leader that ticks again and again while the results
// of its grants wait: it counted targets that had answered as failing.
func TestResultsBeforeTicks(t *testing.T) {
	Convey("Given a loop whose ticks take longer than their period", t, func() {
		const results = 500
		queue, ticks := make(chan loopFunc, results), make(chan time.Time, 8)
		handled, ticked := 0, 0
		for range results {
			queue <- func(time.Duration) { handled++ }
		}
		tick := func(time.Duration) { ticked++ }
		for range cap(ticks) {
			ticks <- time.Now() // the next tick is always due
		}
		before := -1
		stopped := serveLoop(context.Background(), ticks, queue, func(now time.Duration) {
			if before < 0 {
				before = handled
			}
			tick(now)
		}, func() bool { return ticked == cap(ticks) })
		So(stopped, ShouldBeFalse)
		So(before, ShouldEqual, results)
	})
	Convey("A loop ends with its context, and between two functions", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(serveLoop(ctx, nil, nil, nil, func() bool { return false }), ShouldBeTrue)
		queue, ticks, n := make(chan loopFunc, 2), make(chan time.Time, 1), 0
		for range cap(queue) {
			queue <- func(time.Duration) { n++ }
		}
		ticks <- time.Now()
		tick := func(time.Duration) { n += 10 }
		So(serveLoop(context.Background(), ticks, queue, tick, func() bool { return n > 0 }), ShouldBeFalse)
		So(n, ShouldEqual, 1)
	})
}
