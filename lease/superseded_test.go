package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestGrantsOvertakenByTheirOwnTerm guards against a leader that resigns since a target refused
// two of its grants, which later ones of its own had overtaken.
func TestGrantsOvertakenByTheirOwnTerm(t *testing.T) {
	Convey("Given an owner of several ranges that are being granted", t, func() {
		now := time.Minute
		term := BeginTerm(KeyLeaseConfig{}, 2, now, now, EarlierGranters{PreviousStopped: true})
		table := ownership.NewRangeTable([]string{"a", "b", "c"}, []float64{1, 1, 1})
		g := NewRangeGranter(RangeConfig{}, term, table, true)
		reachable := func(string) bool { return true }
		first := g.Tick(now, reachable)
		So(first, ShouldHaveLength, 3)
		So(first[0].Target, ShouldEqual, "a")

		Convey("a refused grant that nothing of this term followed is another granter's doing", func() {
			So(g.Superseded(first[0]), ShouldBeFalse)
		})
		Convey("one of a range that was split and granted again may have been overtaken", func() {
			g.SetTable(now, table.Move(ownership.RangeMove{From: 0, To: 99, Owner: "b"}))
			So(g.Superseded(first[0]), ShouldBeFalse)
			g.Tick(now, reachable)
			So(g.Superseded(first[0]), ShouldBeTrue)
			So(g.Superseded(first[2]), ShouldBeFalse)

			Convey("also when that range is split in turn", func() {
				g.SetTable(now, table.Move(ownership.RangeMove{From: 0, To: 999, Owner: "b"}))
				So(g.Superseded(first[0]), ShouldBeTrue)
			})
		})
		Convey("one of a range that was moved and released may have been overtaken by the release", func() {
			g.HandleGrantResult(now, first[0], GrantUnknown)
			g.SetTable(now, table.Move(ownership.RangeMove{From: table.Ranges[0].From, To: table.Ranges[0].To, Owner: "b"}))
			g.Tick(now, reachable)
			So(g.Superseded(first[0]), ShouldBeTrue)
		})
	})
}
