package journal

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/ownership"
)

// A removed granter that cannot read the log may still renew leases; a takeover
// that does not count it creates two owners.
func TestRemovedGranterRetires(t *testing.T) {
	Convey("a granters record that leaves out a member keeps it as retiring", t, func() {
		s := NewState()
		apply := func(id string, kind Kind, body any) Result {
			data, err := Encode(id, kind, body)
			So(err, ShouldBeNil)
			res, err := s.Apply(s.NextOffset, data)
			So(err, ShouldBeNil)
			return res
		}
		a, b, c := Member{Host: "a", Incarnation: "1"}, Member{Host: "b", Incarnation: "1"}, Member{Host: "c", Incarnation: "1"}
		apply("1", KindBootstrap, Bootstrap{Name: "x", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d"}}})
		So(apply("2", KindGranters, Granters{Domain: "d", Members: []Member{a, b}}).Outcome, ShouldEqual, OutcomeApplied)
		So(apply("3", KindGranters, Granters{Domain: "d", FromVersion: 1, Members: []Member{b, c}}).Outcome, ShouldEqual, OutcomeApplied)
		So(s.Granters["d"].Retiring, ShouldResemble, []Member{{Host: "a", Incarnation: "1", AddedAt: 2}})

		So(apply("4", KindGranters, Granters{Domain: "d", FromVersion: 2, Members: []Member{b, c}}).Outcome, ShouldEqual, OutcomeApplied)
		So(s.Granters["d"].Retiring, ShouldBeEmpty)
	})
}

// Operators may declare a domain lost by mistake and revoke the declaration. A
// release that arrives after that would create a second owner beside a live one.
func TestLostProofNeedsLostDomain(t *testing.T) {
	Convey("a release by the word that a domain is lost holds only while the word does", t, func() {
		s := newTestState(2, 2)
		set := func(id string, state contract.OperatorState) {
			item := contract.Item{Domain: &contract.SetState{Name: "d1", State: state}}
			res := applyNext(s, id, KindChange, Change{FromVersion: s.Config.Version, Operator: "op", Items: []contract.Item{item}})
			So(res.Outcome, ShouldEqual, OutcomeApplied)
		}
		shard := ownership.ID{Workload: "w", Shard: 0}
		release := func(id string) Outcome {
			return applyNext(s, id, KindReleased, Released{Proof: ownership.ProofDomainLost, Shards: []ownership.ReleasedShard{{ID: shard, Epoch: 1}}}).Outcome
		}
		set("lost", contract.StateLost)
		applyNext(s, "move", KindMove, Move{Reason: ownership.ReasonLost, Shards: []ownership.MoveShard{{ID: shard, FromEpoch: 1, To: "t0001"}}})
		set("in", contract.StateIn)
		So(release("late"), ShouldEqual, OutcomeRefused)
		got, _ := s.Table.Get(shard)
		So(got.Active(), ShouldBeFalse)

		set("lost again", contract.StateLost)
		So(release("again"), ShouldEqual, OutcomeApplied)
	})
}
