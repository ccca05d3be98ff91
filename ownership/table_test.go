package ownership

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMoveWaitsForRelease guards against two owners of one shard: a new owner that
// may serve it before the previous one is released.
func TestMoveWaitsForRelease(t *testing.T) {
	Convey("a moved shard is inactive until its former owner is released", t, func() {
		table := NewTable()
		table.AddWorkload("lookups", 4)
		id := ID{Workload: "lookups", Shard: 1}
		move := func(from uint64, to string) []*Refusal {
			return table.ApplyMove(Move{Shards: []MoveShard{{ID: id, FromEpoch: from, To: to}}})
		}
		So(move(0, "a"), ShouldBeEmpty)
		s, _ := table.Get(id)
		So(s.Active(), ShouldBeTrue)

		So(move(1, "b"), ShouldBeEmpty)
		So(move(1, "c"), ShouldHaveLength, 1)
		s, _ = table.Get(id)
		So(s, ShouldResemble, Shard{Owner: "b", Epoch: 2, UnreleasedEpoch: 1, PreviousOwner: "a"})

		So(move(2, "c"), ShouldBeEmpty)
		s, _ = table.Get(id)
		So(s, ShouldResemble, Shard{Owner: "c", Epoch: 3, UnreleasedEpoch: 1, PreviousOwner: "a"})

		So(table.ApplyReleased(Released{Shards: []ReleasedShard{{ID: id, Epoch: 2}}}), ShouldHaveLength, 1)
		So(table.ApplyReleased(Released{Shards: []ReleasedShard{{ID: id, Epoch: 1}}}), ShouldBeEmpty)
		s, _ = table.Get(id)
		So(s.Active(), ShouldBeTrue)
	})
}
