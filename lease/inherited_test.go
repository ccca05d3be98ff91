package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestOwnersAtAChangeOfGranter guards against a new granter that states of all keys that they
// have no owner until it has granted them, though the leases of the former one are in force.
func TestOwnersAtAChangeOfGranter(t *testing.T) {
	Convey("Given a granter that takes over keys", t, func() {
		cfg := RangeConfig{}.withDefaults()
		began := time.Minute
		table := ownership.NewRangeTable([]string{"a", "b", "c"}, []float64{1, 1, 1})
		moved := table.Ranges[2]
		table = table.Move(ownership.RangeMove{From: moved.From, To: moved.To, Owner: "b"})
		term := BeginTerm(cfg.KeyLease, 3, began, began, EarlierGranters{PreviousStopped: true})
		g := NewRangeGranter(cfg, term, table, false)
		g.AssumeLeases(began)
		ready := func(now time.Duration, key int) bool {
			view, _ := g.View(now)
			for _, x := range view {
				if x.From <= key && key <= x.To {
					return x.Ready
				}
			}
			return false
		}
		first := table.Ranges[0]

		Convey("its owners keep the keys, but for those that were being moved", func() {
			So(ready(began, first.From), ShouldBeTrue)
			So(ready(began, moved.From), ShouldBeFalse)
		})
		Convey("an accepted grant changes nothing for callers", func() {
			_, _ = g.View(began)
			for _, c := range g.Tick(began, func(string) bool { return true }) {
				g.HandleGrantResult(began, c, GrantAccepted)
			}
			_, changed := g.View(began)
			So(changed, ShouldBeFalse)
		})
		Convey("when the former granter was last heard of some time ago, for as long as its leases last", func() {
			renewed := began - 1600*time.Millisecond
			g.AssumeLeases(renewed)
			until := renewed + cfg.KeyLease.Duration - cfg.RenewEvery
			So(ready(until-time.Millisecond, first.From), ShouldBeTrue)
			_, _ = g.View(until - time.Millisecond)
			_, changed := g.View(until)
			So(changed, ShouldBeTrue)
			So(ready(until, first.From), ShouldBeFalse)
			for _, c := range g.Tick(until, func(string) bool { return true }) {
				g.HandleGrantResult(until, c, GrantAccepted)
			}
			_, changed = g.View(until)
			So(changed, ShouldBeTrue)
			So(ready(until, first.From), ShouldBeTrue)
		})
		Convey("nothing is assumed of a former granter that was not heard of", func() {
			So(NewRangeGranter(cfg, term, table, false).inheritedUntil, ShouldEqual, 0)
		})
		Convey("an owner that accepts no grant does not keep them", func() {
			So(ready(began+cfg.FailingAfter+time.Millisecond, first.From), ShouldBeFalse)
		})
		Convey("a part of a range that is split keeps its owner, the other part waits for its next one", func() {
			g.SetTable(began, table.Move(ownership.RangeMove{From: first.From, To: first.From + 9, Owner: "b"}))
			So(ready(began, first.From), ShouldBeFalse)
			So(ready(began, first.From+10), ShouldBeTrue)
		})
	})
	Convey("keys that nobody was granted have no owner before their first grant", t, func() {
		term := BeginTerm(KeyLeaseConfig{}, 1, time.Minute, time.Minute, EarlierGranters{PreviousStopped: true})
		view, _ := NewRangeGranter(RangeConfig{}, term, ownership.NewRangeTable([]string{"a"}, []float64{1}), true).View(time.Minute)
		So(view[0].Ready, ShouldBeFalse)
	})
	Convey("nor have keys while the store's tables may not be the newest", t, func() {
		term := BeginTerm(KeyLeaseConfig{}, 3, time.Minute, time.Minute, EarlierGranters{RecordsLost: true})
		view, _ := NewRangeGranter(RangeConfig{}, term, ownership.NewRangeTable([]string{"a"}, []float64{1}), false).View(time.Minute)
		So(view[0].Ready, ShouldBeFalse)
	})
}
