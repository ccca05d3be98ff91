package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestTakingKeysBeforeFencing guards against keys that are taken from an owner that responds
// while an earlier granter may still reach it: they waited for the end of that one's leases.
func TestTakingKeysBeforeFencing(t *testing.T) {
	Convey("Given a granter whose predecessor is not known to have stopped", t, func() {
		cfg := RangeConfig{}.withDefaults()
		began := time.Minute
		term := BeginTerm(cfg.KeyLease, 3, began, began, EarlierGranters{})
		table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
		g := NewRangeGranter(cfg, term, table, false)
		of := func(calls []TargetCall, target string, release bool) (found []TargetCall) {
			for _, c := range calls {
				if c.Target == target && c.Release == release {
					found = append(found, c)
				}
			}
			return found
		}
		reachable := func(string) bool { return true }
		first := table.Ranges[0]
		So(first.Owner, ShouldEqual, "a")

		Convey("the keys of an owner that accepts grants stay until it refuses the predecessor's, and are then granted after a release", func() {
			now := began
			for ; g.AwaitsFencing(now, first); now += 50 * time.Millisecond {
				So(now-began, ShouldBeLessThan, 3*time.Second)
				term.Confirm(now)
				g.FenceSoon(first)
				for _, c := range g.Tick(now, reachable) {
					g.HandleGrantResult(now, c, GrantAccepted)
				}
			}
			So(now-began, ShouldBeBetweenOrEqual, cfg.KeyLease.DialWithoutStore+cfg.KeyLease.CallTimeout, cfg.KeyLease.DialWithoutStore+cfg.KeyLease.CallTimeout+100*time.Millisecond)
			g.SetTable(now, table.Move(ownership.RangeMove{From: first.From, To: first.To, Owner: "b"}))
			releases := of(g.Tick(now, reachable), "a", true)
			So(releases, ShouldHaveLength, 1)
			g.HandleReleaseResult(now, releases[0], "token", true)
			grants := of(g.Tick(now, reachable), "b", false)
			So(grants, ShouldNotBeEmpty)
			So(grants[0].From, ShouldEqual, first.From)
		})
		Convey("the keys of an owner that accepts none need not stay", func() {
			So(g.AwaitsFencing(began, first), ShouldBeTrue)
			So(g.AwaitsFencing(began+cfg.FailingAfter+time.Millisecond, first), ShouldBeFalse)
		})
		Convey("an owner is not granted its keys again and again until then", func() {
			now := began
			calls := of(g.Tick(now, reachable), "a", false)
			So(calls, ShouldHaveLength, 1)
			g.HandleGrantResult(now, calls[0], GrantAccepted)
			g.FenceSoon(first)
			So(of(g.Tick(now+100*time.Millisecond, reachable), "a", false), ShouldBeEmpty)
		})
	})
	Convey("the first granter of keys has no predecessor to wait for", t, func() {
		term := BeginTerm(KeyLeaseConfig{}, 1, time.Minute, time.Minute, EarlierGranters{PreviousStopped: true})
		table := ownership.NewRangeTable([]string{"a"}, []float64{1})
		So(NewRangeGranter(RangeConfig{}, term, table, true).AwaitsFencing(time.Minute, table.Ranges[0]), ShouldBeFalse)
	})
}
