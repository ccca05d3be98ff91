package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGather guards against a first assignment to only the targets that announced
// themselves first: each later one then takes keys from others, and more than half of
// all keys changed owners before the first request.
func TestGather(t *testing.T) {
	Convey("Keys are first assigned when no further target has come for a while", t, func() {
		x := targetDiscovery{}
		now := time.Minute
		for n := range 20 {
			x = x.observe(now, n)
			So(x.complete(now), ShouldBeFalse)
			now += 100 * time.Millisecond
		}
		So(x.observe(now, 19).complete(now), ShouldBeFalse)
		So(x.observe(now+discoveryQuietTime, 19).complete(now+discoveryQuietTime), ShouldBeTrue)
	})
	Convey("Targets that go on coming are not waited for without end", t, func() {
		x := targetDiscovery{}
		now := time.Minute
		for n := 1; now < time.Minute+maxDiscoveryTime; n++ {
			x = x.observe(now, n)
			So(x.complete(now), ShouldBeFalse)
			now += 500 * time.Millisecond
		}
		So(x.complete(now), ShouldBeTrue)
	})
	Convey("Without a target nothing is assigned", t, func() {
		So(targetDiscovery{}.observe(time.Hour, 0).complete(2*time.Hour), ShouldBeFalse)
	})
}
