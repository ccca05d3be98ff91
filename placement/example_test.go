package placement_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// One target with one slot: the first request runs, the second waits, and the third,
// which cannot end in time, is refused with the time after which it could run.
func ExampleScheduler() {
	scheduler := placement.NewScheduler(placement.Config{Domain: "north", MaxRequestsPerSlot: 1})
	scheduler.SetTargets([]placement.Target{{ID: "a", Workload: "orders", Domain: "north", Slots: 1, Usable: true}})

	now := time.Minute
	request := func(limit time.Duration) placement.Request {
		return placement.Request{Workload: "orders", Route: "submit", Deadline: now + limit, Objective: limit}
	}
	first := scheduler.Submit(now, request(time.Second))
	second := scheduler.Submit(now, request(time.Second))
	third := scheduler.Submit(now, request(50*time.Millisecond))
	fmt.Println(first.Action == placement.Send, second.Action == placement.Wait)
	fmt.Println(third.Action == placement.Refuse, third.Reason, third.RetryAfter)

	now += 100 * time.Millisecond
	scheduler.RecordOutcome(now, first.Target, placement.Outcome{Route: "submit", ResponseTime: 100 * time.Millisecond, ColdRemaining: -1})
	for _, p := range scheduler.Dispatch(now) {
		fmt.Println(p.Ticket == second.Ticket, p.Target)
	}
	// Output:
	// true true
	// true deadline 100ms
	// true a
}
