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

// TestMoveDuringRenewal guards against keys that are granted to nobody for the length of a
// lease after a move, since a renewal of the whole range was in flight when it was split.
func TestMoveDuringRenewal(t *testing.T) {
	Convey("Given a renewal of a key range in flight while a part of the range moves", t, func() {
		cfg := RangeConfig{}.withDefaults()
		term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
		table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
		g := NewRangeGranter(cfg, term, table, true)
		now := time.Second
		tick := func() []TargetCall {
			term.Confirm(now)
			return g.Tick(now, func(string) bool { return true })
		}
		for _, o := range tick() {
			g.HandleGrantResult(now, o, GrantAccepted)
		}
		now += cfg.RenewEvery
		var renewal TargetCall
		for _, o := range tick() {
			if o.Target == "a" {
				renewal = o
			} else {
				g.HandleGrantResult(now, o, GrantAccepted)
			}
		}
		So(renewal.Target, ShouldEqual, "a")
		g.SetTable(now, table.Move(ownership.RangeMove{From: 0, To: 20, Owner: "b"}))
		// due returns the calls that concern the moved keys.
		due := func() (calls []TargetCall) {
			for _, o := range tick() {
				if o.From == 0 {
					calls = append(calls, o)
				} else {
					g.HandleGrantResult(now, o, GrantAccepted)
				}
			}
			return calls
		}
		Convey("when it was accepted before the release was sent, the keys are granted at once after the release", func() {
			now += 5 * time.Millisecond
			So(due(), ShouldBeEmpty) // a release could overtake the renewal
			now += 5 * time.Millisecond
			g.HandleGrantResult(now, renewal, GrantAccepted)
			calls := due()
			So(calls, ShouldHaveLength, 1)
			So(calls[0].Release, ShouldBeTrue)
			So(calls[0].Target, ShouldEqual, "a")
			now += 5 * time.Millisecond
			g.HandleReleaseResult(now, calls[0], "", true)
			calls = due()
			So(calls, ShouldHaveLength, 1)
			So(calls[0].Release, ShouldBeFalse)
			So(calls[0].Target, ShouldEqual, "b")
		})
		Convey("when its outcome is unknown, the keys are granted only when its lease has ended", func() {
			end := now + cfg.KeyLease.CallTimeout + cfg.KeyLease.MaxSpan()
			now += cfg.KeyLease.CallTimeout
			g.HandleGrantResult(now, renewal, GrantUnknown)
			calls := due()
			So(calls, ShouldHaveLength, 1)
			So(calls[0].Release, ShouldBeTrue)
			g.HandleReleaseResult(now, calls[0], "", true)
			now = end - time.Millisecond
			So(due(), ShouldBeEmpty)
			now = end
			So(due(), ShouldHaveLength, 1)
		})
		Convey("when it did not leave the host, it counts as never sent", func() {
			g.HandleGrantResult(now, renewal, GrantNotSent)
			calls := due()
			So(calls, ShouldHaveLength, 1)
			g.HandleReleaseResult(now, calls[0], "", true)
			So(due(), ShouldHaveLength, 1)
		})
	})
}

// TestUnansweredGrantsAreBounded guards against grants to silent targets that are kept
// after their leases have ended.
func TestUnansweredGrantsAreBounded(t *testing.T) {
	Convey("Given a granter whose target never answers, and then moves its keys away", t, func() {
		cfg := RangeConfig{}.withDefaults()
		term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
		table := ownership.NewRangeTable([]string{"silent"}, []float64{1})
		g := NewRangeGranter(cfg, term, table, true)
		retry := cfg.KeyLease.CallTimeout + cfg.RetryAfter
		lasts := cfg.KeyLease.CallTimeout + cfg.KeyLease.MaxSpan()
		now := time.Duration(0)
		for range 50 {
			term.Confirm(now)
			for _, o := range g.Tick(now, func(string) bool { return true }) {
				g.HandleGrantResult(now+cfg.KeyLease.CallTimeout, o, GrantUnknown)
			}
			now += retry
		}
		So(len(g.unanswered["silent"]), ShouldBeBetweenOrEqual, 1, int(lasts/retry)+1)
		g.SetTable(now+lasts, table.Move(ownership.RangeMove{From: 0, To: 1 << 15, Owner: "b"}))
		So(g.unanswered, ShouldBeEmpty)
	})
}
