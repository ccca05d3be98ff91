package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform"
)

// largeDesired returns a desired state with many routes, of which one depends on the
// version.
func largeDesired(version uint64, routes int) []byte {
	var b bytes.Buffer
	for i := range routes {
		service := "w"
		if uint64(i) == version%uint64(routes) {
			service = "other"
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d","path-prefix":"/%x/","kind":"safe","timeout-s":1,"target-latency-s":0.5,"priority":1,"service":"%s","max-attempts":2},`,
			i*7919, i%9, i*104729, service)
	}
	return []byte(fmt.Sprintf(strings.Replace(desiredJSON, `"routes":[`, `"routes":[`+strings.ReplaceAll(b.String(), "%", "%%"), 1), version))
}

// relayedBytes returns the number of bytes that a leader has relayed.
func (h *testHost) relayedBytes(t *testing.T) int {
	var v struct {
		Bytes map[string]int `json:"peer_bytes_total"`
	}
	if err := json.Unmarshal([]byte(h.c.Vars().String()), &v); err != nil {
		t.Fatal(err)
	}
	return v.Bytes[methodRelay]
}

// controlBytesPerSecond is the budget of control traffic to a host, in bytes per second.
const controlBytesPerSecond = 4 << 10

// TestChangeOfALargeDesiredState guards against a leader that sends the whole desired
// state to each host at each change: its link was saturated for 16 s, and hosts used
// states that had been replaced.
func TestChangeOfALargeDesiredState(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a change of one route of a thousand costs what changed, and is in force in time", t, func() {
		k := newCluster(t, 2, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		follower := k.hosts[0]
		if follower == k.leader() {
			follower = k.hosts[1]
		}
		So(eventually(3*time.Second, follower.c.leadership.isConnected), ShouldBeTrue)
		start := k.leader().relayedBytes(t)
		k.store.Put(platform.TopicOperator, "config", largeDesired(10, 1000))
		So(eventually(inForceWithin, func() bool { return follower.hasVersion(10) }), ShouldBeTrue)
		// Bytes are counted after they are written, possibly after the host has received them.
		counted := func(from int) bool {
			return eventually(inForceWithin, func() bool { return k.leader().relayedBytes(t) > from })
		}
		So(counted(start+controlBytesPerSecond), ShouldBeTrue) // the first one is sent whole
		before := k.leader().relayedBytes(t)
		k.store.Put(platform.TopicOperator, "config", largeDesired(11, 1000))
		So(eventually(inForceWithin, func() bool { return follower.hasVersion(11) }), ShouldBeTrue)
		So(counted(before), ShouldBeTrue)
		So(len(follower.c.Snapshot().DesiredState.Routes), ShouldEqual, 1001)
		So(follower.c.Snapshot().DesiredState.Routes[11].Workloads[0].Workload, ShouldEqual, "other")
		So(k.leader().relayedBytes(t)-before, ShouldBeLessThan, controlBytesPerSecond)
	})
}

// TestRelayOfRecords guards against a host that gets another value from a patch than the
// leader's, or that continues without a patch that it cannot apply.
func TestRelayOfRecords(t *testing.T) {
	record := func(offset int64, value []byte) platform.Record {
		return platform.Record{Offset: offset, Key: "k", Value: value}
	}
	Convey("large values go on as patches, whatever came before", t, func() {
		leader, host := newTopicState(), newTopicState()
		for i := range int64(20) {
			r := record(i, largeDesired(uint64(i), 100))
			if i%7 == 5 {
				r.Value = nil // a tombstone
			}
			packed := leader.pack(r)
			leader.put(r)
			got, err := host.unpack([]relayedRecord{packed}, i)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []platform.Record{r})
			host.put(r)
			So(len(packed.Patch) < 300, ShouldEqual, i > 0 && i%7 != 6)
		}
	})
	Convey("records of a message build on each other, and those that were applied are left out", t, func() {
		leader, host := newTopicState(), newTopicState()
		first := record(0, largeDesired(0, 100))
		leader.put(first)
		batch := []platform.Record{record(1, largeDesired(1, 100)), record(2, largeDesired(2, 100)), record(3, []byte("small"))}
		var packed []relayedRecord
		for _, r := range batch {
			packed = append(packed, leader.pack(r))
			leader.put(r)
		}
		host.put(first)
		host.put(batch[0])
		got, err := host.unpack(packed, 2)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, batch[1:])
	})
	Convey("a patch of a record that is not known is refused", t, func() {
		leader, host := newTopicState(), newTopicState()
		leader.put(record(0, largeDesired(0, 100)))
		host.put(record(1, largeDesired(1, 100)))
		_, err := host.unpack([]relayedRecord{leader.pack(record(2, largeDesired(2, 100)))}, 2)
		So(err, ShouldNotBeNil)
	})
	Convey("after a patch that cannot be applied the topic is read from the store at once", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		c.operator.next, c.operator.caughtUpAt = 5, time.Hour
		applied := c.operator.applyRelay(relayMessage{From: 5, Next: 6, Records: []relayedRecord{{Offset: 5, Key: "config", Patch: []byte("x")}}}, time.Hour)
		So(applied, ShouldBeFalse)
		So(c.operator.mustRead(time.Hour), ShouldBeTrue)
	})
}

// TestChangesSinceAnOffset guards against a host that lacks a change or a tombstone after
// it has reconnected and the leader has sent what it missed.
func TestChangesSinceAnOffset(t *testing.T) {
	Convey("in random histories a host that takes the changes since its offset has all keys", t, func() {
		wrong, served := 0, 0
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 0))
			var log []platform.Record
			state := newTopicState()
			began := random.Int64N(20)
			for offset := range int64(100) {
				r := platform.Record{Offset: offset, Key: fmt.Sprint("k", random.IntN(10))}
				if random.IntN(4) > 0 {
					r.Value = fmt.Appendf(nil, "%d %s", offset, strings.Repeat("x", random.IntN(2*minPatchedBytes)))
				}
				log = append(log, r)
				switch {
				case offset == began:
					state.reset(began + 1)
					for _, x := range compact(log) {
						state.put(x)
					}
				case offset > began:
					state.put(r)
				}
				if random.IntN(40) == 0 {
					state.dropTombstones()
				}
			}
			away := random.Int64N(100)
			changes, ok := state.changes(away)
			if !ok {
				continue
			}
			served++
			var packed []relayedRecord
			for _, r := range changes {
				packed = append(packed, packWhole(r))
			}
			host := newTopicState()
			got, err := host.unpack(packed, away)
			if err != nil || !maps.EqualFunc(compact(append(log[:away:away], got...)), compact(log),
				func(a, b platform.Record) bool { return a.Offset == b.Offset && bytes.Equal(a.Value, b.Value) }) {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
		So(served, ShouldBeGreaterThan, 100)
	})
	Convey("the number of dropped keys is bounded", t, func() {
		state := newTopicState()
		for i := range int64(3 * maxTombstones) {
			state.put(platform.Record{Offset: i, Key: fmt.Sprint(i)})
		}
		So(len(state.newest), ShouldBeLessThanOrEqualTo, maxTombstones)
		_, ok := state.changes(0)
		So(ok, ShouldBeFalse)
	})
}

// compact returns the newest record of each key that is not deleted.
func compact(log []platform.Record) map[string]platform.Record {
	out := map[string]platform.Record{}
	for _, r := range log {
		delete(out, r.Key)
		if len(r.Value) > 0 {
			out[r.Key] = r
		}
	}
	return out
}

// TestReturnBehindASlowStore guards against a host that, after a partition, uses a replaced
// desired state until it has read the whole current one over its link.
func TestReturnBehindASlowStore(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("the leader tells a host what it missed, though the host cannot read the store", t, func() {
		k := newCluster(t, 1, 3)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		k.store.Put(platform.TopicOperator, "config", largeDesired(10, 1000))
		h := newLaggingHost(t, k)
		So(eventually(inForceWithin, func() bool { return h.hasVersion(10) }), ShouldBeTrue)
		h.storeProxy.blocked.Store(true)
		h.proxy.SetFaults("", faultproxy.Faults{Cut: faultproxy.CutReset})
		time.Sleep(2 * topicLostAfter)
		k.store.Put(platform.TopicOperator, "config", largeDesired(11, 1000))
		k.store.Put(platform.TopicOperator, "evacuate/z2", map[string]any{})
		k.store.Put(platform.TopicTargets, "t0", nil)
		time.Sleep(maxReadWait)
		before := k.hosts[0].relayedBytes(t)
		h.proxy.SetFaults("", faultproxy.Faults{})
		So(eventually(inForceWithin, func() bool {
			s := h.c.Snapshot()
			return h.hasVersion(11) && s.Evacuated["z2"] && s.Targets["t0"] == nil && h.c.UpToDate()
		}), ShouldBeTrue)
		So(k.hosts[0].relayedBytes(t)-before, ShouldBeLessThan, 10*controlBytesPerSecond)
	})
}

// TestHostsThatOnlyTheLeaderReaches guards against a host that cannot read the store and
// gets no more relays about targets that leave once the leader has reread all keys: its
// requests went to a target 12 s after the target had left.
func TestHostsThatOnlyTheLeaderReaches(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a host that follows the leader and cannot read the store", t, func() {
		k := newCluster(t, 1, 3)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := newLaggingHost(t, k)
		time.Sleep(fleet.RemovalGrace) // removals are delayed after a start
		h.storeProxy.blocked.Store(true)
		gone := func() bool { return h.c.Snapshot().Targets["t0"] == nil }

		Convey("it follows a leader that has read all keys anew after records were deleted", func() {
			k.hosts[0].c.targets.resetPosition()
			time.Sleep(maxReadWait)
			k.store.Put(platform.TopicTargets, "t0", nil)
			So(eventually(inForceWithin, gone), ShouldBeTrue)
		})
		Convey("it catches up with a leader that has read all keys since the host's offset", func() {
			h.proxy.SetFaults("", faultproxy.Faults{Cut: faultproxy.CutReset})
			k.store.Put(platform.TopicTargets, "t0", nil)
			So(eventually(maxReadWait, func() bool { return k.hosts[0].c.Snapshot().Targets["t0"] == nil }), ShouldBeTrue)
			k.hosts[0].c.targets.resetPosition()
			So(eventually(2*maxReadWait, func() bool { return k.hosts[0].c.targets.position() != unknownOffset }), ShouldBeTrue)
			h.proxy.SetFaults("", faultproxy.Faults{})
			So(eventually(inForceWithin, gone), ShouldBeTrue)
		})
	})
}
