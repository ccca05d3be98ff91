package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/hotkeys"
	"github.com/boragelock/boragelock/ownership"
)

// A key that was just split was taken for cold, since its own shard had no
// counts yet, and was merged and split again ten times a second.
func TestSplitKeyKeepsItsLoad(t *testing.T) {
	Convey("the load of a split key is its own, whichever shard it was counted under", t, func() {
		now := time.Duration(0)
		l := newLoadTable(func() time.Duration { return now })
		tab := ownership.NewTable()
		tab.AddWorkload("w", 4)
		parent := tab.Workloads["w"].HashShard("hot")
		id := ownership.ID{Workload: "w", Shard: parent}
		l.take(LoadReport{Counts: hotkeys.Report{
			Shards: []hotkeys.ShardCount{{ID: id, Count: 1000}},
			Keys:   []hotkeys.KeyCount{{Workload: "w", Key: "hot", Count: 700}},
		}})
		tab.Workloads["w"].Shards[parent] = ownership.Shard{Owner: "t", Epoch: 1}
		So(tab.ApplySplit(ownership.Split{Workload: "w", Key: "hot", FromEpoch: 1}), ShouldBeNil)
		got := l.plan(tab)
		So(got.shards[id], ShouldEqual, 300)
		So(got.shards[ownership.ID{Workload: "w", Shard: 4}], ShouldEqual, 700)
		So(got.known("w", 5), ShouldBeTrue)
		So(got.known("w", 6), ShouldBeFalse)
		So(got.known("idle", 6), ShouldBeTrue)

		now = loadHalfLife
		So(l.plan(tab).total["w"], ShouldAlmostEqual, 500)
	})
}

// Keys of a target that has become slow would stay slow for as long as it is.
func TestSlowTargetsGetLess(t *testing.T) {
	Convey("targets far above the median get a lower weight, never all of them", t, func() {
		now := time.Second
		l := newLoadTable(func() time.Duration { return now })
		targets := map[string]contract.Target{}
		for _, name := range []string{"a", "b", "c", "d"} {
			targets[name] = contract.Target{Name: name, Workload: "w"}
		}
		l.take(LoadReport{ServiceUS: map[string]int64{"a": 10000, "b": 11000, "c": 100000, "d": 12000}})
		So(l.weights(targets), ShouldBeEmpty)
		now += slowConfirm
		So(l.weights(targets), ShouldResemble, map[string]float64{"c": 0.11})
		l.take(LoadReport{ServiceUS: map[string]int64{"a": 90000, "b": 110000, "d": 120000}})
		So(l.weights(targets), ShouldBeEmpty)
		now += serviceLife + 1
		So(l.weights(targets), ShouldBeEmpty)
	})
}
