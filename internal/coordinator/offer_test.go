package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLeaderThatTheStoreTurnsAway guards against a leader that goes on without the store until
// the others notice: keys did not move meanwhile, and all hosts read the store themselves.
func TestLeaderThatTheStoreTurnsAway(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a leader that the store turns away", t, func() {
		k := newCluster(t, 4, 4)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		following := func() int {
			n := 0
			for _, h := range k.hosts {
				if h.c.HasLeader() {
					n++
				}
			}
			return n
		}
		So(eventually(3*time.Second, func() bool { return following() == len(k.hosts) }), ShouldBeTrue)
		time.Sleep(first.c.cfg.Ranges.KeyLease.MaxSpan())

		Convey("another host leads before the views of the others are stale", func() {
			first.storeProxy.rejected.Store(true)
			So(eventually(staleAfter, func() bool { x := k.leader(); return x != nil && x != first }), ShouldBeTrue)
			So(k.anyHeldTwice(), ShouldBeFalse)
			So(eventually(staleAfter, func() bool { return following() == len(k.hosts) }), ShouldBeTrue)
			So(eventually(servedAgainWithin, k.allHeldOnce), ShouldBeTrue)
		})
		Convey("a host that the store turns away, too, leaves it to the next one", func() {
			reached := k.hosts[0]
			if reached == first {
				reached = k.hosts[1]
			}
			for _, h := range k.hosts {
				h.storeProxy.rejected.Store(h != reached)
			}
			So(eventually(4*time.Second, func() bool { return k.leader() == reached }), ShouldBeTrue)
		})
		Convey("while the store turns all away, the leader goes on", func() {
			for _, h := range k.hosts {
				h.storeProxy.rejected.Store(true)
			}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				So(k.leader(), ShouldEqual, first)
				So(k.allHeldOnce(), ShouldBeTrue)
			}
		})
	})
}
