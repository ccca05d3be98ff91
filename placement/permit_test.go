package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/limits"
)

// TestTargetsWithALimit guards against requests that wait for a target whose limit is
// used up, or that are refused although another target has room.
func TestTargetsWithALimit(t *testing.T) {
	Convey("Given two targets, one of which states a limit", t, func() {
		s := NewScheduler(Config{Domain: "d"})
		set := func(first, second float64) {
			s.SetTargets([]Target{
				{ID: "a", Workload: "w", Domain: "d", Slots: 2, Usable: true, RequestLimit: first},
				{ID: "b", Workload: "w", Domain: "d", Slots: 2, Usable: true, RequestLimit: second},
			})
		}
		set(2, 0)
		now := time.Second
		any := Request{Workload: "w", Route: "r", Deadline: now + 2*time.Second, Objective: time.Second}
		toA := any
		toA.Target = "a"
		refusal := limits.Permit{NextAfter: 300 * time.Millisecond, ComeBackAfter: 800 * time.Millisecond}

		Convey("a request to it needs a permit, one to the other does not", func() {
			So(s.Submit(now, toA), ShouldResemble, Decision{Action: Send, Target: "a", NeedsPermit: true})
			toB := any
			toB.Target = "b"
			So(s.Submit(now, toB), ShouldResemble, Decision{Action: Send, Target: "b"})
		})
		Convey("without a permit a request goes to the other target", func() {
			s.Submit(now, toA)
			s.RecordPermitRefused(now, "a", refusal)
			for range 2 {
				So(s.Submit(now, any).Target, ShouldEqual, "b")
			}
		})
		Convey("without a permit a request for its keys is refused at once, with the time to come back", func() {
			s.Submit(now, toA)
			s.RecordPermitRefused(now, "a", refusal)
			now += 100 * time.Millisecond
			So(s.Submit(now, toA), ShouldResemble, Decision{Action: Refuse, Reason: ReasonLimit, RetryAfter: 700 * time.Millisecond})
			So(s.QueueLength(), ShouldEqual, 0)
		})
		Convey("it is asked again when the next permit is available, and at once when it states no limit", func() {
			s.Submit(now, toA)
			s.RecordPermitRefused(now, "a", refusal)
			So(s.Submit(now+299*time.Millisecond, toA).Action, ShouldEqual, Refuse)
			So(s.Submit(now+300*time.Millisecond, toA).NeedsPermit, ShouldBeTrue)
			set(0, 0)
			So(s.Submit(now, toA), ShouldResemble, Decision{Action: Send, Target: "a"})
		})
		Convey("it is asked again at once when its limit changes", func() {
			s.Submit(now, toA)
			s.RecordPermitRefused(now, "a", limits.Permit{NextAfter: 10 * time.Second, ComeBackAfter: 10 * time.Second})
			set(2, 4)
			So(s.Submit(now, toA).Action, ShouldEqual, Refuse)
			set(200, 4)
			So(s.Submit(now, toA).NeedsPermit, ShouldBeTrue)
		})
		Convey("with no permit at any target a request is refused until the first is available", func() {
			set(2, 4)
			s.Submit(now, toA)
			s.RecordPermitRefused(now, "a", refusal)
			toB := any
			toB.Target = "b"
			s.Submit(now, toB)
			s.RecordPermitRefused(now, "b", limits.Permit{NextAfter: 50 * time.Millisecond, ComeBackAfter: 60 * time.Millisecond})
			So(s.Submit(now, any), ShouldResemble, Decision{Action: Refuse, Reason: ReasonLimit, RetryAfter: 60 * time.Millisecond})
		})
		Convey("a refused permit leaves no load behind, and holds for a while", func() {
			for range 20 {
				So(s.Submit(now, toA).NeedsPermit, ShouldBeTrue)
				s.RecordPermitRefused(now, "a", limits.Permit{})
				So(s.Submit(now, toA).Action, ShouldEqual, Refuse)
				now += minPermitWait
			}
		})
	})
}
