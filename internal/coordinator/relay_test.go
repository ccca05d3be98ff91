package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

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

// relayed returns the bytes that a leader has relayed.
func (h *testHost) relayed(t *testing.T) int {
	var v struct {
		Bytes map[string]int `json:"peer_bytes_total"`
	}
	if err := json.Unmarshal([]byte(h.c.Vars().String()), &v); err != nil {
		t.Fatal(err)
	}
	return v.Bytes[methodRelay]
}

// controlBudget is what control may send each second to a host, in bytes.
const controlBudget = 4 << 10

// TestChangeOfALargeDesiredState guards against a leader that sends the whole desired
// state to each host at each change: its link was full for 16 s, and hosts used states
// that had been replaced.
func TestChangeOfALargeDesiredState(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a change of one route of a thousand costs what changed, and is in force in time", t, func() {
		k := newCluster(t, 2, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.held() }), ShouldBeTrue)
		follower := k.hosts[0]
		if follower == k.leader() {
			follower = k.hosts[1]
		}
		So(eventually(3*time.Second, follower.c.lead.isConnected), ShouldBeTrue)
		k.store.Put(platform.TopicOperator, "config", largeDesired(10, 1000))
		So(eventually(inForceWithin, func() bool { return follower.knows(10) }), ShouldBeTrue)
		before := k.leader().relayed(t)
		k.store.Put(platform.TopicOperator, "config", largeDesired(11, 1000))
		So(eventually(inForceWithin, func() bool { return follower.knows(11) }), ShouldBeTrue)
		So(len(follower.c.Snapshot().Desired.Routes), ShouldEqual, 1001)
		So(follower.c.Snapshot().Desired.Routes[11].Parts[0].Workload, ShouldEqual, "other")
		So(k.leader().relayed(t)-before, ShouldBeLessThan, controlBudget)
	})
}

// TestRelayOfLargeValues guards against a host that makes another value from a patch
// than the leader had, or goes on without one that it cannot apply.
func TestRelayOfLargeValues(t *testing.T) {
	record := func(offset int64, value []byte) platform.Record {
		return platform.Record{Offset: offset, Key: "k", Value: value}
	}
	Convey("records go on as patches, whatever came before", t, func() {
		leader, host := largeValues{}, largeValues{}
		for i := range int64(20) {
			r := record(i, largeDesired(uint64(i), 100))
			if i%7 == 5 {
				r.Value = nil // the key is dropped
			}
			packed := leader.pack([]platform.Record{r}, true)
			got, err := host.unpack(packed, i)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, []platform.Record{r})
			So(len(packed[0].Patch) > 0, ShouldEqual, i > 0 && i%7 != 5 && i%7 != 6)
		}
	})
	Convey("several records of a message build on each other, and those that were applied are left out", t, func() {
		leader, host := largeValues{}, largeValues{}
		first := record(0, largeDesired(0, 100))
		leader.put(first)
		host.put(first)
		batch := []platform.Record{record(1, largeDesired(1, 100)), record(2, largeDesired(2, 100)), record(3, []byte("small"))}
		packed := leader.pack(batch, true)
		host.put(batch[0])
		got, err := host.unpack(packed, 2)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, batch[1:])
		So(host, ShouldBeEmpty)
	})
	Convey("a patch of a record that is not known is refused", t, func() {
		leader, host := largeValues{}, largeValues{}
		leader.put(record(0, largeDesired(0, 100)))
		host.put(record(1, largeDesired(1, 100)))
		_, err := host.unpack(leader.pack([]platform.Record{record(2, largeDesired(2, 100))}, true), 2)
		So(err, ShouldNotBeNil)
	})
	Convey("after a patch that cannot be applied the topic is read from the store at once", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		c.operator.next, c.operator.fresh = 5, time.Hour
		taken := c.operator.takeRelayed(relayMessage{From: 5, Next: 6, Records: []relayedRecord{{Offset: 5, Key: "config", Patch: []byte("x")}}}, time.Hour)
		So(taken, ShouldBeFalse)
		So(c.operator.needed(time.Hour), ShouldBeTrue)
	})
}
