package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestReleaseOpensNoConnection guards against a granter without the store whose release
// opens a connection to a target that has restarted: it would renew a lease over it.
func TestReleaseOpensNoConnection(t *testing.T) {
	Convey("a granter that may open no connection sends releases over open ones only", t, func() {
		cfg := RangeConfig{}.withDefaults()
		term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
		table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
		g := NewRangeGranter(cfg, term, table, true)
		reachable := func(string) bool { return true }
		for _, o := range g.Tick(0, reachable) {
			g.HandleGrantResult(0, o, GrantAccepted)
		}
		g.SetTable(0, table.Move(ownership.RangeMove{From: 0, To: 20, Owner: "b"}))
		for _, now := range []time.Duration{0, cfg.KeyLease.DialWithoutStore} {
			for _, o := range g.Tick(now, reachable) {
				So(o.OpenOnly, ShouldEqual, now > 0)
				if o.Release {
					g.HandleReleaseResult(now, o, "", false)
				} else {
					g.HandleGrantResult(now, o, GrantUnknown)
				}
			}
		}
	})
}
