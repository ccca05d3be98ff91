package control

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// The status must report counts as unknown, not as 0, when no host reports them.
// Otherwise an operator who waits for a domain's requests to end stops too early.
func TestStatusCounts(t *testing.T) {
	tgt := contract.Target{Name: "t", Workload: "w", Domain: "d"}
	b := statusBuilder{
		v: &view.View{
			State: &journal.State{
				Config:   &contract.State{Targets: map[string]contract.Target{"t": tgt}},
				Granters: map[string]journal.Granters{"d": {Members: []journal.Member{{Host: "a"}, {Host: "b"}}}},
			},
			Homes: map[string]view.Home{"t": {Host: "b"}},
		},
		reports: map[string]HostReport{"a": {
			Loads: map[string]TargetLoad{"t": {InFlight: 1}}, LeaseMS: map[string]int64{"t": 300},
			ReleaseBlockers: map[string][]string{"t": {"b"}},
		}},
	}
	Convey("requests are unknown while the home does not answer", t, func() {
		got := b.target(tgt)
		So([]int{got.InFlight, got.Queued}, ShouldResemble, []int{-1, -1})
		So(got.LeaseMS, ShouldEqual, 300)
		So(got.ReleaseBlockers, ShouldResemble, []string{"b"})
	})
	Convey("requests of the home and of a former home are added up", t, func() {
		b.reports["b"] = HostReport{Loads: map[string]TargetLoad{"t": {InFlight: 2, Queued: 3}}}
		got := b.target(tgt)
		So([]int{got.InFlight, got.Queued}, ShouldResemble, []int{3, 3})
	})
	Convey("a lease that no granter reports is unknown", t, func() {
		b.reports = map[string]HostReport{}
		So(b.target(tgt).LeaseMS, ShouldEqual, -1)
	})
	Convey("a shard that waits for its former owner counts for both", t, func() {
		got := countShards(&ownership.Table{Workloads: map[string]*ownership.WorkloadTable{"w": {Shards: []ownership.Shard{
			{Owner: "t"}, {Owner: "t", UnreleasedEpoch: 2, PreviousOwner: "u"}, {},
		}}}})
		So(got, ShouldResemble, map[string]shardCounts{"t": {owned: 2, waiting: 1}, "u": {leaving: 1}})
	})
}

var oneDomain = contract.Deployment{Name: "x", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d"}}}

// testFollower returns a Follower that has applied the given records.
func testFollower(records ...provider.Record) *Follower {
	f := newFollower(func() time.Duration { return 1 }, nil, hclog.NewNullLogger())
	f.onState, f.onLogRead = func(*journal.State) {}, func(time.Duration) {}
	f.apply(&logSource{}, readResult{Batch: provider.Batch{Records: records, FirstOffset: 1, EndOffset: int64(len(records)) + 1}})
	return f
}

func encodedRecord(t *testing.T, offset int64, id string, kind journal.Kind, body any) provider.Record {
	t.Helper()
	data, err := journal.Encode(id, kind, body)
	if err != nil {
		t.Fatal(err)
	}
	return provider.Record{Offset: offset, Data: data}
}

// The history must show which of two conflicting changes was applied, and list a
// record that was appended twice only once.
func TestHistory(t *testing.T) {
	change := contract.Change{FromVersion: 1, Operator: "op", Items: []contract.Item{{Domain: &contract.SetState{Name: "d", State: contract.StateOut}}}}
	f := testFollower(
		encodedRecord(t, 1, "boot", journal.KindBootstrap, oneDomain),
		encodedRecord(t, 2, "first", journal.KindChange, change),
		encodedRecord(t, 3, "second", journal.KindChange, change),
		encodedRecord(t, 4, "first", journal.KindChange, change),
	)
	Convey("both changes are listed with their outcomes", t, func() {
		got, err := (&Control{follower: f}).Changes(context.Background())
		So(err, ShouldBeNil)
		So(len(got), ShouldEqual, 2)
		So([]any{got[0].Offset, got[0].Version, got[0].Outcome}, ShouldResemble, []any{int64(2), int64(2), journal.OutcomeApplied})
		So([]any{got[1].Offset, got[1].Version, got[1].Outcome}, ShouldResemble, []any{int64(3), int64(0), journal.OutcomeRefused})
	})
}

// A change whose result this host has not seen must not be reported as applied.
func TestPassedRecord(t *testing.T) {
	f := testFollower(encodedRecord(t, 1, "boot", journal.KindBootstrap, oneDomain))
	w := &Writer{follower: f}
	Convey("a record whose result was not seen has an unknown outcome", t, func() {
		_, err := w.readBack(context.Background(), "other", journal.KindChange, 1)
		var unknown operator.OutcomeUnknown = err.(*AppendError)
		So(unknown.OutcomeUnknown(), ShouldBeTrue)
	})
	Convey("a result that was seen is returned", t, func() {
		res, err := w.readBack(context.Background(), "boot", journal.KindBootstrap, 1)
		So(err, ShouldBeNil)
		So(res.Outcome, ShouldEqual, journal.OutcomeApplied)
	})
}

// A domain whose granters are all cut off from the log must read through another
// domain: a peer that is cut off too responds, but without new records.
func TestDomainReadsThroughAnother(t *testing.T) {
	s := newTestSystem(t, 2, 2)
	first := s.startAll(2, 3)
	var cut []*testHost
	for name, h := range s.hosts {
		if name[:2] == "d1" {
			h.logCut.Store(true)
			cut = append(cut, h)
		}
	}
	for n := range 3 {
		s.change(first, contract.Item{Isolation: &contract.Isolation{ServeMS: int64(n)}})
		want := first.View().State.Config.Version
		took := s.eventually(4*time.Second, "change in force in the cut domain", func() bool {
			for _, h := range cut {
				if h.View().State.Config.Version < want {
					return false
				}
			}
			return true
		})
		t.Logf("change %d in force after %s", n, took.Round(time.Millisecond))
	}
}
