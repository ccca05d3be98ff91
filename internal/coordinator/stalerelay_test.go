package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// mayBeAnnounced reports whether the host keeps targets whose announcements are gone, as
// after an outage of the store.
func (h *testHost) mayBeAnnounced() bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.dir.MayBeAnnounced(boottime.Now())
}

// TestLateRelayIsNoOutage guards against a host that takes the store for unreachable when the
// leader's messages come late and no record comes: it went on using targets that were gone.
func TestLateRelayIsNoOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a host to which the leader's messages come late, and a store that it reaches", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := newLaggingHost(t, k)
		stopped := make(chan struct{})
		go func() { defer close(stopped); _ = h.c.serveExpiry(t.Context()) }()
		t.Cleanup(func() { <-stopped })
		So(eventually(5*time.Second, func() bool { return !h.mayBeAnnounced() }), ShouldBeTrue)
		h.increaseDelay(2, 4*time.Second)
		outage := false
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			outage = outage || h.mayBeAnnounced()
		}
		So(outage, ShouldBeFalse)

		Convey("a target whose announcement is deleted is gone within the time in which changes are in force", func() {
			k.store.Put(platform.TopicTargets, "t0", nil)
			So(eventually(inForceWithin, func() bool { return h.c.Snapshot().Targets["t0"] == nil }), ShouldBeTrue)
		})
	})
}
