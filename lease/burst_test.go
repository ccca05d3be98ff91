package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestGrantsAreSpread guards against a leader that starts the grants of all runs of
// a large fleet in one tick, and their renewals in step ever after.
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
			most := max(leastGrants, int(grantBurst*float64(targets)*float64(tick)/float64(cfg.Renew)))
			last := map[string]time.Duration{}
			longest := time.Duration(0)
			now := tick
			for ; now < 20*time.Second; now += tick {
				if now%(500*time.Millisecond) == 0 {
					term.Confirm(now)
				}
				orders := g.Tick(now, func(string) bool { return true })
				if len(orders) > most {
					t.Fatalf("%d grants in one tick, %d are the most", len(orders), most)
				}
				for _, o := range orders {
					longest = max(longest, now-last[o.Target])
					last[o.Target] = now
					g.HandleGrantResult(now, o, GrantAccepted)
				}
			}
			So(len(last), ShouldEqual, targets)
			for _, at := range last {
				longest = max(longest, now-at)
			}
			// A renewal may be lost, so that two periods have to fit the hold.
			So(longest, ShouldBeLessThan, cfg.Renew+cfg.Renew/2)
		})
	}
	Convey("Without a period there is no bound", t, func() {
		cfg := RangeConfig{}.withDefaults()
		So(cfg.maxGrants(619), ShouldEqual, 619)
	})
}
