package placement

import (
	"testing"
	"time"
)

// BenchmarkSubmitWhileWaiting measures an ask at a coordinator at which 500 requests wait.
func BenchmarkSubmitWhileWaiting(b *testing.B) {
	s, r := newWaitingScheduler()
	r.ObjectiveDeadline = time.Minute + 400*time.Millisecond
	b.ReportAllocs()
	for b.Loop() {
		s.Cancel(s.Submit(time.Minute, r).Ticket)
	}
}

// BenchmarkDispatchWhileWaiting measures the end of a request while 500 others wait.
func BenchmarkDispatchWhileWaiting(b *testing.B) {
	s, r := newWaitingScheduler()
	b.ReportAllocs()
	for b.Loop() {
		s.RecordOutcome(time.Minute, "t0", Outcome{Route: "r", ColdRemaining: -1})
		for _, d := range s.DispatchPool(time.Minute, r) {
			r.ObjectiveDeadline = time.Minute + time.Duration(d.Ticket%500)*time.Millisecond
			s.Submit(time.Minute, r)
		}
	}
}

// newWaitingScheduler returns a scheduler of 24 full targets for which 500 requests wait.
func newWaitingScheduler() (*Scheduler, Request) {
	s := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: 4096}, 24, 6)
	r := newRequest(time.Hour)
	for range 24*6 + 500 {
		r.ObjectiveDeadline = time.Minute + time.Duration(s.QueueLength())*time.Millisecond
		s.Submit(time.Minute, r)
	}
	return s, r
}
