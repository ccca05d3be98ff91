package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
)

// forgetInOutage drops announcements of targets as if the host had missed them in an outage
// of the store that ends now.
func (h *testHost) forgetInOutage(ids ...string) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	now := boottime.Now()
	for _, id := range ids {
		h.c.dir.RemoveTarget(now, id)
	}
	h.c.dir.MarkStoreUnreachable()
	h.c.dir.MarkStoreReachable(now)
	h.c.publish()
}

// TestMovesWhileAnOwnerIsAwaited guards against a leader that moves no keys at all while one
// owner is not announced: keys of targets that leave had no owner meanwhile.
func TestMovesWhileAnOwnerIsAwaited(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("while a leader waits for the announcement of one owner, the keys of another that leaves move in time", t, func() {
		k := newCluster(t, 1, 6)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		So(eventually(4*time.Second, func() bool { return !k.leader().mayBeAnnounced() }), ShouldBeTrue)
		k.leader().forgetInOutage("t1")
		k.announceAs("t0", "draining")
		So(eventually(servedAgainWithin, func() bool { return k.holdsNone("t0") && k.allHeldOnce() }), ShouldBeTrue)
		So(k.leader().mayBeAnnounced(), ShouldBeTrue)
		So(k.holdsNone("t1"), ShouldBeFalse)
	})
	Convey("while most owners are awaited, none is taken for gone", t, func() {
		k := newCluster(t, 1, 4)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		So(eventually(4*time.Second, func() bool { return !k.leader().mayBeAnnounced() }), ShouldBeTrue)
		h, moves := k.leader(), k.leader().c.metrics.moves.Value()
		h.forgetInOutage("t1", "t2", "t3")
		for h.mayBeAnnounced() {
			So(h.c.metrics.moves.Value(), ShouldEqual, moves)
			time.Sleep(20 * time.Millisecond)
		}
	})
}
