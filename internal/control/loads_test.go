package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/hotkeys"
	"github.com/boragelock/boragelock/ownership"
)

// A key that was just split must not look cold. Its own shard has no counts yet,
// so a planner that goes by these merges and splits the key ten times a second.
func TestSplitKeyKeepsItsLoad(t *testing.T) {
	Convey("the load of a split key is its own, whichever shard it was counted under", t, func() {
		now := time.Duration(0)
		l := newLoadTable(func() time.Duration { return now })
		table := ownership.NewTable()
		table.AddWorkload("w", 4)
		parent := table.Workloads["w"].HashShard("hot")
		id := ownership.ID{Workload: "w", Shard: parent}
		l.addReport(LoadReport{Counts: hotkeys.Report{
			Shards: []hotkeys.ShardCount{{ID: id, Count: 1000}},
			Keys:   []hotkeys.KeyCount{{Workload: "w", Key: "hot", Count: 700}},
		}})
		table.Workloads["w"].Shards[parent] = ownership.Shard{Owner: "t", Epoch: 1}
		So(table.ApplySplit(ownership.Split{Workload: "w", Key: "hot", FromEpoch: 1}), ShouldBeNil)
		got := l.forPlan(table)
		So(got.shards[id], ShouldEqual, 300)
		So(got.shards[ownership.ID{Workload: "w", Shard: 4}], ShouldEqual, 700)
		So(got.sufficientFor("w", 5), ShouldBeTrue)
		So(got.sufficientFor("w", 6), ShouldBeFalse)
		So(got.sufficientFor("idle", 6), ShouldBeTrue)

		now = loadHalfLife
		So(l.forPlan(table).workloadTotals["w"], ShouldAlmostEqual, 500)
	})
}

// A slow target must lose shards, as otherwise requests for its keys are delayed
// for as long as it is slow.
func TestSlowTargetsGetLess(t *testing.T) {
	Convey("targets far above the median get a lower weight, never all of them", t, func() {
		now := time.Second
		l := newLoadTable(func() time.Duration { return now })
		targets := map[string]contract.Target{}
		for _, name := range []string{"a", "b", "c", "d"} {
			targets[name] = contract.Target{Name: name, Workload: "w"}
		}
		l.addReport(LoadReport{ServiceTimesUS: map[string]int64{"a": 10000, "b": 11000, "c": 100000, "d": 12000}})
		So(l.slowTargetWeights(targets), ShouldBeEmpty)
		now += slowConfirmPeriod
		So(l.slowTargetWeights(targets), ShouldResemble, map[string]float64{"c": 0.11})
		l.addReport(LoadReport{ServiceTimesUS: map[string]int64{"a": 90000, "b": 110000, "d": 120000}})
		So(l.slowTargetWeights(targets), ShouldBeEmpty)
		now += serviceTimeMaxAge + 1
		So(l.slowTargetWeights(targets), ShouldBeEmpty)
	})
}
