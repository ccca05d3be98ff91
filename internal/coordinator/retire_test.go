package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRetireWhileTheStoreIsAway guards against a leader that resigns on a planned stop
// while no other host can be elected: all keys were without an owner until the store was
// reachable again (docs/incidents.md, inc-6632).
func TestRetireWhileTheStoreIsAway(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given two hosts that cannot reach the store", t, func() {
		k := newCluster(t, 2, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		for _, h := range k.hosts {
			h.storeProxy.blocked.Store(true)
		}
		time.Sleep(3 * time.Second)
		first.c.Retire()

		Convey("a leader that is told to stop goes on granting until another can lead", func() {
			for range 40 {
				So(k.allHeldOnce(), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
			So(first.c.Leading(), ShouldBeTrue)
			for _, h := range k.hosts {
				h.storeProxy.blocked.Store(false)
			}
			So(eventually(3*time.Second, func() bool { x := k.leader(); return x != nil && x != first }), ShouldBeTrue)
			for range 30 {
				So(k.allHeldOnce(), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
		})
	})
}
