package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestGrantsAreSpread guards against a leader that starts the grants of all key ranges
// of a large fleet in one tick, and keeps their renewals synchronized afterwards.
func TestGrantsAreSpread(t *testing.T) {
	const tick = 50 * time.Millisecond
	for _, targets := range []int{8, 619} {
		Convey(fmt.Sprintf("Given a new table of %d targets", targets), t, func() {
			var owners []string
			var weights []float64
			for i := range targets {
				owners, weights = append(owners, fmt.Sprintf("t%03d", i)), append(weights, 1)
			}
			cfg := RangeConfig{TickEvery: tick}.withDefaults()
			term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
			g := NewRangeGranter(cfg, term, ownership.NewRangeTable(owners, weights), true)
			limit := max(minGrants, int(grantBurst*float64(targets)*float64(tick)/float64(cfg.RenewEvery)))
			last := map[string]time.Duration{}
			longest := time.Duration(0)
			now := tick
			for ; now < 20*time.Second; now += tick {
				if now%(500*time.Millisecond) == 0 {
					term.Confirm(now)
				}
				calls := g.Tick(now, func(string) bool { return true })
				if len(calls) > limit {
					t.Fatalf("%d grants in one tick exceed the limit of %d", len(calls), limit)
				}
				for _, call := range calls {
					longest = max(longest, now-last[call.Target])
					last[call.Target] = now
					g.HandleGrantResult(now, call, GrantAccepted)
				}
			}
			So(len(last), ShouldEqual, targets)
			for _, at := range last {
				longest = max(longest, now-at)
			}
			// A renewal may be lost, so two periods must fit into the key lease.
			So(longest, ShouldBeLessThan, cfg.RenewEvery+cfg.RenewEvery/2)
		})
	}
	Convey("Without a period there is no bound", t, func() {
		cfg := RangeConfig{}.withDefaults()
		So(cfg.maxGrants(619, 0), ShouldEqual, 619)
	})
}
