package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// TestPlannedStopOfTheLeader guards against hosts that learn of the leader's planned stop
// only when their topics are stale: all of them then read all topics.
func TestPlannedStopOfTheLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("all hosts follow the next leader before their views are stale", t, func() {
		k := newCluster(t, 5, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		following := func() int {
			n := 0
			for _, h := range k.hosts {
				if h.c.Leading() || h.c.leadership.isConnected() {
					n++
				}
			}
			return n
		}
		So(eventually(3*time.Second, func() bool { return following() == len(k.hosts) }), ShouldBeTrue)
		first.c.Retire()
		So(eventually(2*time.Second, func() bool { return !first.c.Leading() }), ShouldBeTrue)
		So(eventually(staleAfter, func() bool { return k.leader() != nil && following() == len(k.hosts) }), ShouldBeTrue)
	})
}

// TestWaitForTheNextLeader guards against a host that learns of the next leader only when
// its topics are stale.
func TestWaitForTheNextLeader(t *testing.T) {
	Convey("a host without a leader waits on the control topic, and on no other", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		now := boottime.Now()
		for _, f := range c.followers() {
			f.next, f.caughtUpAt = 5, now
		}
		So(c.control.mustRead(now), ShouldBeTrue)
		So(c.operator.mustRead(now), ShouldBeFalse)
		So(c.targets.mustRead(now), ShouldBeFalse)
		c.leadership.setConnected(true)
		So(c.control.mustRead(now), ShouldBeFalse)
	})
}

// TestHostsThatTheStoreTurnsAwayFollowTheNextLeader guards against hosts that cannot read
// from the store who leads: when the leader was cut off from the store as well, they
// followed no leader until they could read again, and used targets that had left.
func TestHostsThatTheStoreTurnsAwayFollowTheNextLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a leader and a host that the store turns away", t, func() {
		k := newCluster(t, 4, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		var host *testHost
		for _, h := range k.hosts {
			if h != first {
				host = h
			}
		}
		So(eventually(3*time.Second, host.c.leadership.isConnected), ShouldBeTrue)
		first.storeProxy.blocked.Store(true)
		host.storeProxy.blocked.Store(true)

		Convey("the host follows the next leader, and a change is in force there in time", func() {
			next := func() *testHost {
				if l := k.leader(); l != nil && l != first {
					return l
				}
				return nil
			}
			So(eventually(6*time.Second, func() bool { return next() != nil }), ShouldBeTrue)
			So(eventually(inForceWithin, func() bool {
				return host.c.leadership.isConnected() && host.c.leadership.current().Host == next().c.cfg.Host
			}), ShouldBeTrue)
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 9)))
			So(eventually(inForceWithin, func() bool { return host.hasVersion(9) }), ShouldBeTrue)
		})
	})
}
