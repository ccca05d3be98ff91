package placement_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// One target with one slot: the first request runs, the second waits, and a third
// that cannot end in time is refused with the time after which there is room.
func ExampleScheduler() {
	b := placement.NewScheduler(placement.Config{Domain: "north", Depth: 1})
	b.SetTargets([]placement.Target{{ID: "a", Workload: "orders", Domain: "north", Slots: 1, Usable: true}})

	now := time.Minute
	request := func(limit time.Duration) placement.Request {
		return placement.Request{Workload: "orders", Route: "submit", Deadline: now + limit, Objective: limit}
	}
	first := b.Submit(now, request(time.Second))
	second := b.Submit(now, request(time.Second))
	third := b.Submit(now, request(50*time.Millisecond))
	fmt.Println(first.Action == placement.Send, second.Action == placement.Wait)
	fmt.Println(third.Action == placement.Refuse, third.Reason, third.RetryAfter)

	now += 100 * time.Millisecond
	b.RecordOutcome(now, first.Target, placement.Outcome{Route: "submit", ResponseTime: 100 * time.Millisecond, ColdRemaining: -1})
	for _, p := range b.Dispatch(now) {
		fmt.Println(p.Ticket == second.Ticket, p.Target)
	}
	// Output:
	// true true
	// true deadline 100ms
	// true a
}
