package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestPredecessorEnded guards against a leader that keeps reporting the longest wait
// for keys after it learned that the previous leader had stopped: callers were asked to
// retry after 10 s although the keys could be granted within 2 s.
func TestPredecessorEnded(t *testing.T) {
	Convey("Given a leader across a cut, whose former leader is not known to have stopped", t, func() {
		cfg := RangeConfig{}.withDefaults()
		began := time.Minute
		term := BeginTerm(cfg.KeyLease, 3, began, began, EarlierGranters{})
		table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
		g := NewRangeGranter(cfg, term, table, false)
		next := table.Move(ownership.RangeMove{From: 0, To: 100, Owner: "b"})
		g.SetTable(began+time.Second, next)
		now := began + 3*time.Second
		term.Confirm(now)
		view, changed := g.View(now)
		So(changed, ShouldBeTrue)
		So(view[0].GrantableInMS, ShouldBeGreaterThan, 10000)
		_, changed = g.View(now)
		So(changed, ShouldBeFalse)

		Convey("when it learns that the former one stopped 2.5 s ago, the keys are back after the rest of its hold, and the view says so", func() {
			term.SetPreviousStopped(now - 2500*time.Millisecond)
			g.ApplyPreviousStopped()
			view, changed := g.View(now)
			So(changed, ShouldBeTrue)
			want := cfg.KeyLease.CallTimeout + cfg.KeyLease.MaxSpan() - 2500*time.Millisecond
			So(view[0].GrantableInMS, ShouldEqual, want.Milliseconds())
		})
	})
}
