package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// TestDeadMemberIsExcusedOnlyAfterALaterRead guards against two owners: a granter that
// could not read the log did without a dead member's consent, although that member had
// waited until the granter's lease ended and released shards before it died.
func TestDeadMemberIsExcusedOnlyAfterALaterRead(t *testing.T) {
	Convey("a dead member excuses consent only when the log was read since", t, func() {
		cfg := DefaultConfig()
		st := journal.NewState()
		apply := func(id string, kind journal.Kind, body any) {
			data, err := journal.Encode(id, kind, body)
			So(err, ShouldBeNil)
			_, err = st.Apply(st.NextOffset, data)
			So(err, ShouldBeNil)
		}
		apply("1", journal.KindBootstrap, contract.Deployment{Name: "x", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d"}}})
		apply("2", journal.KindGranters, journal.Granters{Domain: "d", Members: []journal.Member{{Host: "a", Incarnation: "1"}, {Host: "b", Incarnation: "1"}}})
		g := New(cfg, Self{Host: "b", Incarnation: "1", Domain: "d"})
		now := time.Second
		read := func() { g.Step(now, LogRead{Start: now, End: st.NextOffset}) }
		advance := func(d time.Duration) {
			for end := now + d; now < end; now += cfg.TickEvery {
				g.Step(now, Tick{})
			}
		}
		g.Step(now, StatePublished{State: st.Clone()})
		read()
		advance(100 * time.Millisecond)
		g.Step(now, HelloAnswered{Host: "a", Incarnation: "2", SentAt: now, Next: st.NextOffset})
		advance(cfg.Authority)
		So(g.HasAuthority(now), ShouldBeFalse)

		read()
		advance(2 * cfg.Authority)
		So(g.HasAuthority(now), ShouldBeTrue)
	})
}

// TestAckWaitsForRequestsUnderTheParentShard guards against two targets acting for one
// key: a request that began before its key was split continued under the parent shard
// while the key's own shard moved.
func TestAckWaitsForRequestsUnderTheParentShard(t *testing.T) {
	Convey("requests under a dropped shard hold back the shards that may share a key", t, func() {
		g := New(DefaultConfig(), Self{})
		g.state = journal.NewState()
		g.state.Table.AddWorkload("w", 8)
		running := func(shard int32) provider.ShardEpoch {
			return provider.ShardEpoch{Workload: "w", Shard: shard, Epoch: 1}
		}
		shares := func(a, b int32) bool { return g.mayShareKey(running(a), ownership.ID{Workload: "w", Shard: b}) }
		So(shares(3, 3), ShouldBeTrue)
		So(shares(3, 4), ShouldBeFalse)
		So(shares(3, 9), ShouldBeTrue)
		So(shares(9, 3), ShouldBeTrue)
		So(shares(9, 10), ShouldBeFalse)
		So(g.mayShareKey(running(3), ownership.ID{Workload: "other", Shard: 3}), ShouldBeFalse)
	})
}
