package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/lease"
)

// restartAll stops all hosts and starts as many with their names.
func (k *cluster) restartAll() {
	n := len(k.hosts)
	for _, h := range k.hosts {
		h.stop()
	}
	k.hosts = nil
	for i := range n {
		k.addHost(i)
	}
}

// TestAllHostsEndWithTheStore guards against keys that nobody is granted for the longest
// time for which a lost leader could go on, although all processes that could lead have
// ended, and against grants while targets still hold keys by what the store lost.
func TestAllHostsEndWithTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	// All leases have ended 3.8 s after the last host; an election among hosts that know
	// nothing of the former era and the exchange of what they know take 4.5 s at most.
	const heldWithin = 6 * time.Second
	Convey("when the store loses moves and all hosts start anew, the keys are granted when the leases of the former processes have ended", t, func() {
		k := settled(t, 3, 4)
		time.Sleep(2 * confirmEvery)
		c := k.store.Copy()
		k.addTarget("new")
		So(eventually(6*time.Second, func() bool { return k.holdsAny("new") && k.allHeldOnce() }), ShouldBeTrue)
		k.restoreAfter(0, c)
		k.restartAll()
		k.announce("new")
		So(eventually(heldWithin, func() bool {
			So(k.anyHeldTwice(), ShouldBeFalse)
			return k.leader() != nil && k.allHeldOnce()
		}), ShouldBeTrue)
		So(k.neverHeldTwice(3*time.Second), ShouldBeTrue)
	})
	Convey("when one of the hosts does not come back, the longest time is waited for", t, func() {
		k := newClusterWith(t, 3, 4, lease.RangeConfig{KeyLease: lease.KeyLeaseConfig{GrantWithoutStore: 6 * time.Second}})
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() && k.following() == len(k.hosts) }), ShouldBeTrue)
		time.Sleep(2 * confirmEvery)
		k.restoreAfter(0, k.store.Copy())
		for _, h := range k.hosts {
			h.stop()
		}
		k.hosts = nil
		restored := time.Now()
		k.addHost(0)
		k.addHost(1)
		granted := func() bool { return k.holdsAny("t0") || k.holdsAny("t1") }
		So(eventually(5*time.Second, func() bool { return !granted() }), ShouldBeTrue)
		for time.Since(restored) < 9*time.Second { // 6 s of authority and 3.8 s of leases
			So(granted(), ShouldBeFalse)
			time.Sleep(50 * time.Millisecond)
		}
		So(eventually(6*time.Second, k.allHeldOnce), ShouldBeTrue)
	})
}

// TestHostsThatStartShareBudgets guards against hosts that start together, each of which
// takes the whole of what all hosts share until it has heard from a leader.
func TestHostsThatStartShareBudgets(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("hosts that start anew know how many there are as soon as they know the owners of keys", t, func() {
		k := settled(t, 5, 2)
		time.Sleep(2 * confirmEvery)
		k.restartAll()
		for _, h := range k.hosts {
			So(eventually(3*time.Second, h.c.Ready), ShouldBeTrue)
			So(h.c.HostCount(), ShouldEqual, 5)
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, h := range k.hosts {
				So(h.c.HostCount(), ShouldEqual, 5)
			}
		}
	})
}
