package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/platform"
)

// TestAddressOfAnotherFleet guards against a host that follows the leader of another fleet,
// which listens where a leader of its own did, and against leaders that end their term for
// one of another fleet.
func TestAddressOfAnotherFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a fleet whose last leader had an address that a host of another fleet has now", t, func() {
		other := settled(t, 2, 2)
		leader := other.leader()
		term := leader.c.leadership.current().Term
		k := emptyCluster(t)
		gone := leaderRecord{Term: 40, Era: firstEra, TablesEra: firstEra, Host: "gone", Incarnation: "former", Address: leader.c.cfg.Peer}
		k.store.Put(platform.TopicControl, keyLeader, gone.storeRecord().Value)
		k.start(2, 2)
		Convey("each fleet has its own leader, and its keys are granted", func() {
			for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				So(other.leader() == leader, ShouldBeTrue)
				So(leader.c.leadership.current().Term, ShouldEqual, term)
				So(leader.c.HostCount(), ShouldEqual, 2)
			}
			So(k.leader(), ShouldNotBeNil)
			So(k.allHeldOnce(), ShouldBeTrue)
			for _, h := range k.hosts {
				So(h.c.leadership.current().Term, ShouldBeGreaterThan, gone.Term)
				So(h.c.HasLeader(), ShouldBeTrue)
			}
		})
	})
}
