package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWaitWhenLate covers the order of waiting requests of a pool whose only slot is taken.
func TestWaitWhenLate(t *testing.T) {
	now := time.Minute
	newScheduler := func() *Scheduler {
		s := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 1, WaitWhenLate: true}, 1, 1)
		So(s.Submit(now, newRequest(now+time.Second)).Action, ShouldEqual, Send)
		return s
	}
	wait := func(s *Scheduler, priority int, objective, limit time.Duration) uint64 {
		r := newRequest(now + limit)
		r.Priority, r.Objective, r.ObjectiveDeadline = priority, 500*time.Millisecond, now+objective
		d := s.Submit(now, r)
		So(d.Action, ShouldEqual, Wait)
		return d.Ticket
	}
	// served returns the next request that gets the slot, which the one before has left.
	served := func(s *Scheduler, at time.Duration) uint64 {
		s.RecordOutcome(at, "t0", Outcome{Route: "r", ColdRemaining: -1})
		for _, d := range s.Dispatch(at) {
			if d.Action == Send {
				return d.Ticket
			}
		}
		return 0
	}
	Convey("A request that can meet its objective goes before a more urgent one that cannot", t, func() {
		s := newScheduler()
		late := wait(s, 0, 50*time.Millisecond, 2*time.Second)
		inTime := wait(s, 2, 500*time.Millisecond, 2*time.Second)
		So(served(s, now), ShouldEqual, inTime)
		So(served(s, now), ShouldEqual, late)
	})
	Convey("While none is late, the earlier deadline goes first", t, func() {
		s := newScheduler()
		second := wait(s, 1, 500*time.Millisecond, 2*time.Second)
		first := wait(s, 1, 500*time.Millisecond, 1900*time.Millisecond)
		So(served(s, now), ShouldEqual, first)
		So(served(s, now), ShouldEqual, second)
	})
	// Guards against an overload in which each request begins when it has just enough time.
	Convey("While more late ones wait than drain soon, the newest of the most urgent go first", t, func() {
		s := newScheduler()
		for range 2 {
			wait(s, 0, 50*time.Millisecond, 2*time.Second)
		}
		lessUrgent := wait(s, 2, 500*time.Millisecond, 3*time.Second)
		older := wait(s, 1, 500*time.Millisecond, 1900*time.Millisecond)
		newer := wait(s, 1, 500*time.Millisecond, 2*time.Second)
		So(served(s, now), ShouldEqual, newer)
		So(served(s, now), ShouldEqual, older)
		So(served(s, now), ShouldEqual, lessUrgent)
	})
	// Guards against urgent requests that never go first since all targets are slow.
	Convey("A request whose objective is shorter than its service time goes first while it is new", t, func() {
		s := newScheduler()
		for range 20 {
			s.RecordPlaced(now, "t0", "")
			s.RecordOutcome(now, "t0", Outcome{Route: "slow", ResponseTime: time.Second, ColdRemaining: -1})
		}
		wait(s, 2, 500*time.Millisecond, 3*time.Second)
		urgent := newRequest(now + 3*time.Second)
		urgent.Route, urgent.ObjectiveDeadline = "slow", now+500*time.Millisecond
		So(served(s, now), ShouldNotEqual, 0)
		wait(s, 2, 500*time.Millisecond, 3*time.Second)
		d := s.Submit(now, urgent)
		So(d.Action, ShouldEqual, Wait)
		So(served(s, now), ShouldEqual, d.Ticket)
	})
	Convey("A late request is refused while its caller still has time to come back", t, func() {
		s := newScheduler()
		wait(s, 0, 50*time.Millisecond, 2*time.Second)
		So(s.Dispatch(now+950*time.Millisecond), ShouldBeEmpty)
		decisions := s.Dispatch(now + 1050*time.Millisecond)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].Action, ShouldEqual, Refuse)
		So(decisions[0].RetryAfter, ShouldBeLessThan, 300*time.Millisecond)
		So(s.QueueLength(), ShouldEqual, 0)
	})
	Convey("A waiting request can be withdrawn when it is late and when it is not", t, func() {
		s := newScheduler()
		late, inTime := wait(s, 0, 50*time.Millisecond, 2*time.Second), wait(s, 0, 500*time.Millisecond, 2*time.Second)
		So(s.Cancel(late), ShouldBeTrue)
		So(s.Cancel(inTime), ShouldBeTrue)
		So(s.Cancel(late), ShouldBeFalse)
		So(s.QueueLength(), ShouldEqual, 0)
		So(s.queues, ShouldBeEmpty)
	})
}
