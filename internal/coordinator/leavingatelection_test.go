package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// servedAgainWithin is the time within which keys are served again after a loss.
const servedAgainWithin = 2 * time.Second

// holdsNone reports whether a target holds none of a sample of keys.
func (k *cluster) holdsNone(id string) bool {
	for key := 0; key < 65536; key += 97 {
		if k.targets[id].Holds(key) {
			return false
		}
	}
	return true
}

// TestLeavingTargetAtAChangeOfLeader guards against a new leader that takes keys from a target
// that responds before the target refuses earlier leaders: the keys had no owner until all
// leases had ended that these may have given, 3.8 s and up to 14 s.
func TestLeavingTargetAtAChangeOfLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a leader, and a target that leaves while the leader changes", t, func() {
		k := newCluster(t, 3, 4)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		time.Sleep(first.c.cfg.Ranges.KeyLease.MaxSpan() + time.Second) // no lease is older than its term
		next := func() bool { x := k.leader(); return x != nil && x != first }

		Convey("after a planned stop its keys have other owners in time", func() {
			first.c.Retire()
			So(eventually(2*time.Second, func() bool { return !first.c.Leading() }), ShouldBeTrue)
			k.announceAs("t0", "draining")
			So(eventually(2*time.Second, next), ShouldBeTrue)
			So(eventually(servedAgainWithin, func() bool { return k.holdsNone("t0") && k.allHeldOnce() }), ShouldBeTrue)
		})
		Convey("when the leader was cut off from the store, too", func() {
			first.storeProxy.blocked.Store(true)
			k.announceAs("t0", "draining")
			So(eventually(4*time.Second, next), ShouldBeTrue)
			So(eventually(servedAgainWithin, func() bool { return k.holdsNone("t0") && k.allHeldOnce() }), ShouldBeTrue)
		})
	})
}
