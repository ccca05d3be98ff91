package lease

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

const lateTickEvery = 50 * time.Millisecond

// answeringFleet is a granter with targets that answer each grant after a time, unless they are silent.
type answeringFleet struct {
	g       *RangeGranter
	now     time.Duration
	answers []pendingAnswer
	silent  map[string]bool
}

type pendingAnswer struct {
	at   time.Duration
	call TargetCall
}

func newAnsweringFleet(ranges int) *answeringFleet {
	var owners []string
	var weights []float64
	for i := range ranges {
		owners, weights = append(owners, fmt.Sprintf("t%04d", i)), append(weights, 1)
	}
	table := ownership.NewRangeTable(owners, weights)
	const start = time.Minute
	cfg := RangeConfig{KeyLease: KeyLeaseConfig{Duration: 2800 * time.Millisecond}, TickEvery: lateTickEvery}
	term := BeginTerm(cfg.KeyLease, 1, start, start, EarlierGranters{PreviousStopped: true})
	return &answeringFleet{g: NewRangeGranter(cfg, term, table, true), now: start, silent: map[string]bool{}}
}

// step lets the leader run at a time: it plans, calls, and then handles the answers that are there.
func (f *answeringFleet) step(now time.Duration) (failing []string) {
	f.now = now
	f.g.term.Confirm(now)
	failing = f.g.FailingOwners(now)
	for _, c := range f.g.Tick(now, func(string) bool { return true }) {
		f.answers = append(f.answers, pendingAnswer{now + 20*time.Millisecond, c})
	}
	rest := f.answers[:0]
	for _, a := range f.answers {
		switch {
		case now < a.at:
			rest = append(rest, a)
		case now >= a.at+600*time.Millisecond: // the call ran into its timeout
			f.g.HandleGrantResult(now, a.call, GrantUnknown)
		case f.silent[a.call.Target]:
			rest = append(rest, a)
		default:
			f.g.HandleGrantResult(now, a.call, GrantAccepted)
		}
	}
	f.answers = rest
	return failing
}

// run steps at an interval for a time and returns the most owners that were failing at once.
func (f *answeringFleet) run(d, interval time.Duration) (most int) {
	for end := f.now + d; f.now < end; {
		most = max(most, len(f.step(f.now+interval)))
	}
	return most
}

// TestLateLeaderIsNoFailingTarget guards against a leader that was short of processor time, finds
// that no target accepted a grant meanwhile, and takes the keys of targets that answer.
func TestLateLeaderIsNoFailingTarget(t *testing.T) {
	Convey("Given a leader whose targets answer", t, func() {
		f := newAnsweringFleet(1400)
		So(f.run(4*time.Second, lateTickEvery), ShouldEqual, 0)
		f.silent["t0007"] = true

		Convey("after it did not run for a time, only one that does not answer fails", func() {
			for _, stall := range []time.Duration{800 * time.Millisecond, 1800 * time.Millisecond, 3200 * time.Millisecond} {
				f.silent["t0007"] = false
				f.run(2*time.Second, lateTickEvery)
				So(f.run(time.Second, lateTickEvery), ShouldEqual, 0)
				f.silent["t0007"] = true
				So(len(f.step(f.now+stall)), ShouldEqual, 0)
				So(f.run(3*time.Second, lateTickEvery), ShouldEqual, 1)
				So(f.step(f.now+lateTickEvery), ShouldResemble, []string{"t0007"})
			}
		})
		Convey("one that does not answer fails as soon as before", func() {
			So(f.run(f.g.cfg.FailingAfter+2*lateTickEvery, lateTickEvery), ShouldEqual, 1)
		})
	})
}

// TestTableAfterAStall guards against owners that count as asked since before a stall when a table
// that was stored meanwhile is the first thing that the leader handles.
func TestTableAfterAStall(t *testing.T) {
	Convey("Given grants in flight when the leader stops to run", t, func() {
		f := newAnsweringFleet(100)
		f.step(f.now + lateTickEvery)
		table := &ownership.RangeTable{}
		for _, r := range f.g.ranges {
			So(r.asked || r.nextAt == 0, ShouldBeTrue)
			table.Ranges = append(table.Ranges, r.KeyRange)
		}
		f.g.SetTable(f.now+3*time.Second, table)
		for _, r := range f.g.ranges {
			So(r.asked, ShouldBeFalse)
		}
	})
}

// TestLateTicksKeepGrantsUp guards against key leases that end since a leader short of processor
// time starts as many grants in a late tick as in one on time.
func TestLateTicksKeepGrantsUp(t *testing.T) {
	Convey("Given a leader of many key ranges", t, func() {
		for _, interval := range []time.Duration{lateTickEvery, 150 * time.Millisecond, 400 * time.Millisecond} {
			Convey(fmt.Sprint("whose ticks come every ", interval), func() {
				f := newAnsweringFleet(1400)
				f.run(3*time.Second, lateTickEvery)
				for range 20 {
					f.run(interval, interval)
					left, granted, _ := f.g.GrantStats(f.now)
					So(granted, ShouldEqual, 1400)
					So(left, ShouldBeGreaterThan, 0)
				}
				f.run(8*time.Second, interval)
				left, _, _ := f.g.GrantStats(f.now)
				So(left, ShouldBeGreaterThan, 0)
			})
		}
	})
}
