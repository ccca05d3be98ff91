package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func target(id string) *Target { return &Target{ID: id, Workload: "w", Address: id + ":1", Slots: 2} }

func TestDirectory(t *testing.T) {
	Convey("Given a directory with a target", t, func() {
		d := NewDirectory()
		d.PutTarget(target("a"))
		So(len(d.Snapshot().TargetsOf("w")), ShouldEqual, 1)

		Convey("a removal counts at once while the store answers", func() {
			So(d.RemoveTarget(time.Minute, "a"), ShouldBeTrue)
			So(d.Snapshot().Targets["a"], ShouldBeNil)
		})
		Convey("a target that lapses while the store is away is kept until it had time to come back", func() {
			d.MarkStoreUnreachable()
			So(d.RemoveTarget(time.Minute, "a"), ShouldBeFalse)
			So(d.RemoveExpired(2*time.Minute), ShouldBeEmpty)
			d.MarkStoreReachable(3 * time.Minute)
			So(d.RemoveExpired(3*time.Minute+2*time.Second), ShouldBeEmpty)
			So(d.Snapshot().Targets["a"], ShouldNotBeNil)
			So(d.RemoveExpired(3*time.Minute+RemovalGrace), ShouldResemble, []string{"a"})
		})
		Convey("a target that announces itself again is kept", func() {
			d.MarkStoreUnreachable()
			d.RemoveTarget(time.Minute, "a")
			d.MarkStoreReachable(2 * time.Minute)
			d.PutTarget(target("a"))
			So(d.RemoveExpired(3*time.Minute), ShouldBeEmpty)
		})
		// Guards against a grace period that starts at the removal: a host that alone
		// was cut off from the store then sends requests to a leaving target for more
		// than 2 s.
		Convey("a removal after the store's return is kept no longer than the grace of the return", func() {
			d.MarkStoreUnreachable()
			d.MarkStoreReachable(time.Minute)
			d.RemoveTarget(time.Minute+2*time.Second, "a")
			So(d.RemoveExpired(time.Minute+RemovalGrace), ShouldResemble, []string{"a"})
		})
		Convey("a change of the cold time alone is a change", func() {
			x := target("a")
			x.ColdUntil = time.Second
			So(d.PutTarget(x), ShouldBeTrue)
			So(d.PutTarget(x), ShouldBeFalse)
		})
		Convey("a complete list removes what is not on it", func() {
			d.PutTarget(target("b"))
			So(d.RemoveUnannounced(time.Minute, map[string]bool{"b": true}), ShouldResemble, []string{"a"})
		})
	})
}

func TestDesiredNeverGoesBack(t *testing.T) {
	Convey("A lower or equal version is ignored", t, func() {
		d := NewDirectory()
		So(d.PutDesiredState(&DesiredState{Version: 7}), ShouldBeTrue)
		So(d.PutDesiredState(&DesiredState{Version: 5}), ShouldBeFalse)
		So(d.PutDesiredState(&DesiredState{Version: 7}), ShouldBeFalse)
		So(d.PutDesiredState(&DesiredState{Version: 9}), ShouldBeTrue)
		So(d.Snapshot().DesiredState.Version, ShouldEqual, 9)
	})
}

func TestEvacuation(t *testing.T) {
	Convey("Targets of an evacuated domain and leaving ones get nothing new", t, func() {
		d := NewDirectory()
		x := target("a")
		x.Domain = "z"
		d.PutTarget(x)
		d.SetEvacuated("z", true)
		So(d.Snapshot().Usable(x), ShouldBeFalse)
		d.SetEvacuated("z", false)
		So(d.Snapshot().Usable(x), ShouldBeTrue)
		x.Leaving = true
		So(d.Snapshot().Usable(x), ShouldBeFalse)
	})
}

func TestSplitFollowsWeights(t *testing.T) {
	Convey("A split gives each part its share", t, func() {
		r := &Route{Workloads: []WeightedWorkload{{"a", 90}, {"b", 10}}}
		n := map[string]int{}
		for i := range 1000 {
			n[r.ChooseWorkload(float64(i)/1000)]++
		}
		So(n["a"], ShouldEqual, 900)
		So(r.ChooseWorkload(1), ShouldEqual, "b")
	})
}

// TestSilentTarget guards against the removal of a live target that cannot renew its
// announcement during an outage of the store.
func TestSilentTarget(t *testing.T) {
	Convey("A target that is silent while the store is away stays in use until the grace time is over", t, func() {
		d := NewDirectory()
		d.PutTarget(&Target{ID: "t", Born: 1, Address: "a"})
		d.MarkStoreUnreachable()
		So(d.RemoveTarget(time.Minute, "t"), ShouldBeFalse)
		So(d.RemoveExpired(time.Hour), ShouldBeEmpty)
		So(d.Snapshot().Targets["t"], ShouldNotBeNil)
		d.MarkStoreReachable(time.Hour)
		So(d.RemoveExpired(time.Hour+RemovalGrace-1), ShouldBeEmpty)
		So(d.RemoveExpired(time.Hour+RemovalGrace), ShouldResemble, []string{"t"})
	})
	Convey("A target's own word that it leaves holds for its run, and for no other", t, func() {
		d := NewDirectory()
		d.PutTarget(&Target{ID: "t", Born: 1, Address: "a"})
		So(d.MarkLeaving(Incarnation{"t", 1, "a"}, true), ShouldBeTrue)
		So(d.MarkLeaving(Incarnation{"t", 1, "a"}, false), ShouldBeFalse)
		So(d.Snapshot().Usable(d.Snapshot().Targets["t"]), ShouldBeFalse)
		d.PutTarget(&Target{ID: "t", Born: 1, Address: "a", Slots: 2})
		So(d.Snapshot().Targets["t"].Leaving, ShouldBeTrue)
		So(d.LeavingIncarnations(true), ShouldResemble, []Incarnation{{"t", 1, "a"}})
		d.PutTarget(&Target{ID: "t", Born: 2, Address: "a"})
		So(d.Snapshot().Targets["t"].Leaving, ShouldBeFalse)
		So(d.LeavingIncarnations(false), ShouldBeEmpty)
		d.PutTarget(&Target{ID: "t", Born: 1, Address: "b"})
		So(d.Snapshot().Targets["t"].Leaving, ShouldBeFalse)
	})
	Convey("What is remembered of leaving targets is bounded", t, func() {
		d := NewDirectory()
		for i := range 3 * maxLeavingIncarnations {
			d.MarkLeaving(Incarnation{ID: fmt.Sprint(i)}, true)
		}
		So(len(d.leavingIncarnations), ShouldBeLessThanOrEqualTo, maxLeavingIncarnations)
	})
}
