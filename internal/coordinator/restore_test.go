package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// settled starts a cluster whose keys are granted and whose hosts follow the leader.
func settled(t *testing.T, hosts, targets int) *cluster {
	k := newCluster(t, hosts, targets)
	So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
	So(eventually(3*time.Second, func() bool { return k.following() == len(k.hosts) }), ShouldBeTrue)
	return k
}

// following returns the number of hosts that lead or are connected to the leader.
func (k *cluster) following() int {
	n := 0
	for _, h := range k.hosts {
		if h.c.Leading() || h.c.leadership.isConnected() {
			n++
		}
	}
	return n
}

// restoreAfter makes the store unavailable for a time and then returns it as a copy.
func (k *cluster) restoreAfter(outage time.Duration, c standin.Copy) {
	k.store.SetFault(standin.Unavailable)
	time.Sleep(outage)
	k.store.Restore(c)
	k.store.SetFault(standin.NoFault)
}

// neverHeldTwice reports whether no sampled key was held by two targets during a time.
func (k *cluster) neverHeldTwice(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if k.anyHeldTwice() {
			return false
		}
	}
	return true
}

// TestMovesThatTheStoreLost guards against a leader that grants keys by a table of owners
// that is older than the leases in force, since the store came back from an older copy.
func TestMovesThatTheStoreLost(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("when the store loses moves, no key is held twice, and the leader goes on", t, func() {
		k := settled(t, 3, 4)
		c := k.store.Copy()
		k.addTarget("new")
		So(eventually(6*time.Second, func() bool { return k.holdsAny("new") && k.allHeldOnce() }), ShouldBeTrue)
		first := k.leader()
		k.restoreAfter(2*time.Second, c)
		k.announce("new")
		So(k.neverHeldTwice(6*time.Second), ShouldBeTrue)
		So(k.leader() == first, ShouldBeTrue)
		So(k.allHeldOnce(), ShouldBeTrue)
		So(k.holdsAny("new"), ShouldBeTrue)
	})
}

// TestLeaderLostWithRecords guards against a new leader that takes the table of a restored
// store for the newest one: the leader that knew a newer one is gone as well.
func TestLeaderLostWithRecords(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	// lostMoves has keys move to a target "new" and returns the store as it was before.
	lostMoves := func(k *cluster) standin.Copy {
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() && k.following() == len(k.hosts) }), ShouldBeTrue)
		c := k.store.Copy()
		k.addTarget("new")
		So(eventually(6*time.Second, func() bool { return k.holdsAny("new") && k.allHeldOnce() }), ShouldBeTrue)
		// Later leaders wait for previous owners that the table still names.
		So(eventually(3*time.Second, func() bool {
			return !strings.Contains(string(k.store.NewestValue(platform.TopicControl, keyRanges+"w")), `"w":`)
		}), ShouldBeTrue)
		return c
	}
	Convey("when the store loses moves and the leader dies, the next one knows the moves from the hosts that followed", t, func() {
		k := newCluster(t, 3, 4)
		c := lostMoves(k)
		first := k.leader()
		k.store.SetFault(standin.Unavailable) // it cannot resign, and nobody else can be elected
		first.stop()
		k.restoreAfter(300*time.Millisecond, c)
		k.announce("new")
		So(eventually(5*time.Second, func() bool {
			So(k.anyHeldTwice(), ShouldBeFalse)
			return k.leader() != nil && k.holdsAny("new") && k.allHeldOnce()
		}), ShouldBeTrue)
		So(k.leader() != first, ShouldBeTrue)
		So(k.neverHeldTwice(4*time.Second), ShouldBeTrue)
		So(k.allHeldOnce(), ShouldBeTrue) // the leases of the former leader have ended
		So(string(k.store.NewestValue(platform.TopicControl, keyRanges+"w")), ShouldContainSubstring, `"new"`)
	})
	Convey("when all hosts die, the next leader waits until nobody can hold keys", t, func() {
		k := newClusterWith(t, 3, 4, lease.RangeConfig{KeyLease: lease.KeyLeaseConfig{GrantWithoutStore: 3 * time.Second}})
		c := lostMoves(k)
		k.store.SetFault(standin.Unavailable)
		for _, h := range k.hosts {
			h.stop()
		}
		k.hosts = nil
		k.restoreAfter(200*time.Millisecond, c)
		k.announce("new")
		k.addHost(3)
		k.addHost(4)
		So(eventually(6*time.Second, func() bool { return k.leader() != nil }), ShouldBeTrue)
		leader := k.leader()
		term := leader.c.leadership.current().Term
		So(k.neverHeldTwice(5*time.Second), ShouldBeTrue)
		// It confirms its term while it collects tables.
		So(leader.c.Leading(), ShouldBeTrue)
		So(leader.c.leadership.current().Term, ShouldEqual, term)
		So(eventually(8*time.Second, k.allHeldOnce), ShouldBeTrue)
		So(k.neverHeldTwice(time.Second), ShouldBeTrue)
	})
}

// TestTablesOfAnOlderCopy guards against the table of a copy that is taken for what the last
// leader granted by, since some leader has begun a term after the restore.
func TestTablesOfAnOlderCopy(t *testing.T) {
	leaderOf := func(l leaderRecord) platform.Record { return l.storeRecord() }
	tableOf := func(owner string) platform.Record {
		return platform.Record{Key: keyRanges + "w", Value: ownership.NewRangeTable([]string{owner}, []float64{1}).Encode()}
	}
	ownerOf := func(c *Coordinator) string { return c.leadership.table("w").Find(0).Owner }
	Convey("Given a leader of era 2 that collects tables, and has stored none", t, func() {
		copied := platform.Batch{Era: 2, NextOffset: 4, Records: []platform.Record{
			leaderOf(leaderRecord{Term: 1026, Era: 2, TablesEra: 1, Host: "x", Address: "a:1"}), tableOf("older"),
		}}
		Convey("a host that knows a newer table of era 1 keeps it", func() {
			c := New(Config{Log: hclog.NewNullLogger()})
			c.noteEra(1)
			So(c.control.applyBatch(unknownOffset, platform.Batch{Era: 1, NextOffset: 9, Records: []platform.Record{
				leaderOf(leaderRecord{Term: 2, Era: 1, TablesEra: 1, Host: "y", Address: "b:1"}), tableOf("newer"),
			}}, true, time.Second), ShouldBeTrue)
			c.noteEra(2)
			So(c.control.applyBatch(unknownOffset, copied, true, 2*time.Second), ShouldBeTrue)
			So(ownerOf(c), ShouldEqual, "newer")
			So(c.witnesses.position(), ShouldResemble, topicPosition{Era: 1, Next: 9})
			Convey("also when the store goes back once more", func() {
				c.noteEra(3)
				So(ownerOf(c), ShouldEqual, "newer")
				So(c.witnesses.position(), ShouldResemble, topicPosition{Era: 1, Next: 9})
			})
		})
		Convey("a host that started then does not know the newest table when the store goes back once more", func() {
			c := New(Config{Log: hclog.NewNullLogger()})
			c.noteEra(2)
			So(c.control.applyBatch(unknownOffset, copied, true, time.Second), ShouldBeTrue)
			c.noteEra(3)
			So(c.witnesses.position().known(), ShouldBeFalse)
			So(c.witnesses.suffice(1), ShouldBeFalse)
		})
		Convey("the term that follows it collects them again", func() {
			So(recordsLost(leaderRecord{Term: 1026, Era: 2, TablesEra: 1}, 2), ShouldBeTrue)
			So(recordsLost(leaderRecord{Term: 1026, Era: 2, TablesEra: 2}, 2), ShouldBeFalse)
		})
	})
}

// TestStoreGoesBackTwice guards against a leader that takes the table of the first copy for
// the newest one, since it began before the second restore.
func TestStoreGoesBackTwice(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("when only a leader that nobody follows knows the moves that the store lost", t, func() {
		k := settled(t, 3, 4)
		c := k.store.Copy()
		first := k.leader()
		first.stop()
		So(eventually(8*time.Second, func() bool { return !first.c.Leading() && k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		second := k.leader()
		k.addTarget("new")
		So(eventually(8*time.Second, func() bool { return k.holdsAny("new") && k.allHeldOnce() }), ShouldBeTrue)
		for _, h := range k.hosts {
			if h != second {
				h.stop()
			}
		}
		k.restoreAfter(100*time.Millisecond, c)
		k.announce("new")
		k.addHost(3)
		k.addHost(4)
		other := func() bool {
			return slices.ContainsFunc(k.hosts, func(h *testHost) bool { return h != second && h.c.Leading() })
		}
		So(eventually(8*time.Second, other), ShouldBeTrue)
		So(k.anyHeldTwice(), ShouldBeFalse)
		k.restoreAfter(100*time.Millisecond, k.store.Copy())
		k.announce("new")
		So(k.neverHeldTwice(5*time.Second), ShouldBeTrue)
		So(eventually(12*time.Second, k.allHeldOnce), ShouldBeTrue)
		So(k.holdsAny("new"), ShouldBeTrue)
	})
}

// TestChangesAfterTheStoreLostRecords guards against hosts that compare offsets of the
// store before and after it came back from a copy, and miss what is written afterwards.
func TestChangesAfterTheStoreLostRecords(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a change that is written after the store lost records is in force on all hosts in time", t, func() {
		k := settled(t, 4, 2)
		c := k.store.Copy()
		for version := 2; version <= 8; version++ {
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, version)))
		}
		for _, h := range k.hosts {
			So(eventually(inForceWithin, func() bool { return h.hasVersion(8) }), ShouldBeTrue)
		}
		for _, h := range k.hosts {
			h.storeProxy.blocked.Store(h != k.leader()) // the store turns the others away
		}
		k.restoreAfter(time.Second, c)
		time.Sleep(time.Second)
		k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 9)))
		for i, h := range k.hosts {
			So(fmt.Sprint(i, eventually(inForceWithin, func() bool { return h.hasVersion(9) })), ShouldEqual, fmt.Sprint(i, true))
		}
	})
}

// TestErasOutOfOrder guards against offsets that are compared across eras of the store, and
// against messages and responses of an earlier era that arrive late.
func TestErasOutOfOrder(t *testing.T) {
	Convey("Given a host that has read a topic up to offset 50 in era 3", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		f := c.operator
		c.noteEra(3)
		So(f.applyBatch(unknownOffset, platform.Batch{Era: 3, NextOffset: 50}, true, time.Hour), ShouldBeTrue)
		So(f.position(), ShouldEqual, 50)

		Convey("a late response of era 2 is not applied", func() {
			So(f.applyBatch(50, platform.Batch{Era: 2, NextOffset: 52}, false, time.Hour+1), ShouldBeFalse)
			So(f.applyBatch(unknownOffset, platform.Batch{Era: 2, NextOffset: 90}, true, time.Hour+1), ShouldBeFalse)
			So(f.position(), ShouldEqual, 50)
		})
		Convey("a late message of a host in era 2 is not applied, and confirms nothing", func() {
			So(f.applyRelay(relayMessage{Era: 2, From: 50, Next: 51}, time.Hour+1), ShouldBeFalse)
			f.confirmCaughtUp(2, 40, 0, 2*time.Hour)
			So(f.age(2*time.Hour), ShouldEqual, time.Hour)
		})
		Convey("a position in era 4 is not compared with one in era 3", func() {
			f.confirmCaughtUp(4, 40, 0, 2*time.Hour)
			So(f.age(2*time.Hour), ShouldEqual, time.Hour)
			So(f.position(), ShouldEqual, unknownOffset)
			Convey("and all keys of era 4 are applied, although its offsets are lower", func() {
				So(f.applyRelay(relayMessage{Era: 4, From: unknownOffset, Next: 40, Full: true}, 2*time.Hour), ShouldBeTrue)
				So(f.position(), ShouldEqual, 40)
			})
		})
		Convey("records of era 4 that follow on offset 50 by chance are not applied", func() {
			c.noteEra(4)
			So(f.applyBatch(50, platform.Batch{Era: 4, NextOffset: 52}, false, time.Hour+1), ShouldBeFalse)
		})
		Convey("eras of two restores in a row may be seen in any order", func() {
			c.noteEra(5)
			c.noteEra(4)
			So(c.storeEra.Load(), ShouldEqual, 5)
		})
		Convey("a host that was left behind in an earlier era is sent all keys", func() {
			pc := &peerConn{outbox: make(chan peerMessage, 4)}
			f.sendMissed(pc, topicPosition{Era: 2, Next: 50})
			So(len(pc.outbox), ShouldEqual, 1)
			var m relayMessage
			So(json.Unmarshal((<-pc.outbox).params, &m), ShouldBeNil)
			So(m.Full, ShouldBeTrue)
			So(m.Era, ShouldEqual, 3)
		})
	})
}

// TestTermsNeverRepeat guards against two leaders that give out the same fencing tokens,
// since the store lost the record of the first one's term.
func TestTermsNeverRepeat(t *testing.T) {
	Convey("the next term is above all that earlier eras can have had", t, func() {
		So(nextTerm(leaderRecord{}, 0), ShouldEqual, 1)
		So(nextTerm(leaderRecord{}, firstEra), ShouldEqual, 1)
		So(nextTerm(leaderRecord{Term: 7, Era: 1}, 1), ShouldEqual, 8)
		lost := nextTerm(leaderRecord{Term: 7, Era: 1}, 1) + 100
		So(nextTerm(leaderRecord{Term: 7, Era: 1}, 2), ShouldBeGreaterThan, lost)
		// The record of the first term is lost as well.
		So(nextTerm(leaderRecord{}, 2), ShouldBeGreaterThan, 100)
		// The copy of the second restore is older than that of the first one.
		second := nextTerm(leaderRecord{Term: 7, Era: 1}, 2) + 100
		So(nextTerm(leaderRecord{Term: 5, Era: 1}, 3), ShouldBeGreaterThan, second)
	})
	if testing.Short() {
		return
	}
	Convey("hosts without memory do not begin a term again that the store lost", t, func() {
		k := newCluster(t, 1, 1)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil }), ShouldBeTrue)
		c := k.store.Copy()
		k.hosts[0].stop()
		k.addHost(1)
		So(eventually(8*time.Second, k.hosts[1].c.Leading), ShouldBeTrue)
		lost := k.hosts[1].c.leadership.current().Term
		k.hosts[1].stop()
		k.restoreAfter(0, c)
		k.addHost(2)
		So(eventually(8*time.Second, k.hosts[2].c.Leading), ShouldBeTrue)
		So(k.hosts[2].c.leadership.current().Term, ShouldBeGreaterThan, lost)
	})
}

// TestWhatTheStoreLostStaysInForce guards against hosts that go back to an older desired
// state, evacuation or announcement, or start with one, until it is written again.
func TestWhatTheStoreLostStaysInForce(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a desired state, an evacuation, a leaving and a removed target that the store lost", t, func() {
		k := settled(t, 3, 4)
		k.store.Put(platform.TopicOperator, "evacuate/z1", map[string]any{})
		// missing names what is not in force on a host.
		missing := func(h *testHost) (m []string) {
			s := h.c.Snapshot()
			if !h.hasVersion(5) {
				m = append(m, "version")
			}
			if !s.Evacuated["z2"] {
				m = append(m, "evacuation")
			}
			if s.Targets["t1"] == nil || !s.Targets["t1"].Leaving {
				m = append(m, "leaving target")
			}
			if s.Targets["t2"] != nil {
				m = append(m, "removed target")
			}
			return m
		}
		inForce := func(h *testHost) bool { return len(missing(h)) == 0 }
		So(eventually(inForceWithin, func() bool { return k.hosts[0].c.Snapshot().Evacuated["z1"] }), ShouldBeTrue)
		c := k.store.Copy()
		k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 5)))
		k.store.Put(platform.TopicOperator, "evacuate/z2", map[string]any{})
		k.announceAs("t1", "draining")
		k.store.Put(platform.TopicTargets, "t2", nil)
		for _, h := range k.hosts {
			So(eventually(inForceWithin, func() bool { return inForce(h) }), ShouldBeTrue)
		}
		k.restoreAfter(500*time.Millisecond, c)
		allInForce := func() bool {
			for _, h := range k.hosts[:3] {
				So(missing(h), ShouldBeEmpty)
			}
			return true
		}

		Convey("it stays in force on all hosts, and on one that starts, until it is written again", func() {
			k.addHost(3)
			So(eventually(3*time.Second, k.hosts[3].c.Ready), ShouldBeTrue)
			// A host that starts cannot tell a target that was removed from one that will
			// announce itself again.
			graceEnd := time.Now().Add(fleet.RemovalGrace + 200*time.Millisecond)
			stillMissing := func() []string {
				m := missing(k.hosts[3])
				if time.Now().Before(graceEnd) {
					m = slices.DeleteFunc(m, func(s string) bool { return s == "removed target" })
				}
				return m
			}
			So(eventually(200*time.Millisecond, func() bool { return len(stillMissing()) == 0 }), ShouldBeTrue)
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				So(allInForce(), ShouldBeTrue)
				So(stillMissing(), ShouldBeEmpty)
			}
			k.store.Put(platform.TopicOperator, "evacuate/z2", nil)
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 6)))
			k.announce("t2") // it is back
			for _, h := range k.hosts {
				So(eventually(inForceWithin, func() bool {
					s := h.c.Snapshot()
					return h.hasVersion(6) && !s.Evacuated["z2"] && s.Evacuated["z1"] && s.Targets["t2"] != nil && s.Targets["t1"].Leaving
				}), ShouldBeTrue)
			}
		})
		Convey("it stays in force when the leader dies, also on a host that starts", func() {
			leader := k.leader()
			So(leader, ShouldNotBeNil)
			leader.stop()
			k.hosts = slices.DeleteFunc(k.hosts, func(h *testHost) bool { return h == leader })
			k.addHost(3)
			So(eventually(8*time.Second, func() bool { return k.hosts[2].c.Ready() && k.leader() != nil }), ShouldBeTrue)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				So(missing(k.hosts[0]), ShouldBeEmpty)
				So(missing(k.hosts[1]), ShouldBeEmpty)
			}
			So(eventually(fleet.RemovalGrace, func() bool { return inForce(k.hosts[2]) }), ShouldBeTrue)
		})
		Convey("after a second restore it is still in force", func() {
			time.Sleep(300 * time.Millisecond)
			k.restoreAfter(0, c)
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				So(allInForce(), ShouldBeTrue)
			}
		})
	})
}
