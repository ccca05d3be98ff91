package placement_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// One target with one slot: the first request runs, the second waits, and a third
// that cannot end in time is refused with the time after which there is room.
func ExampleBoard() {
	b := placement.NewBoard(placement.Config{Domain: "north", Depth: 1})
	b.SetTargets([]placement.Target{{ID: "a", Workload: "orders", Domain: "north", Slots: 1, Usable: true}})

	now := time.Minute
	request := func(limit time.Duration) placement.Request {
		return placement.Request{Workload: "orders", Route: "submit", Deadline: now + limit, Objective: limit}
	}
	first := b.Submit(now, request(time.Second))
	second := b.Submit(now, request(time.Second))
	third := b.Submit(now, request(50*time.Millisecond))
	fmt.Println(first.Verdict == placement.Send, second.Verdict == placement.Wait)
	fmt.Println(third.Verdict == placement.Refuse, third.Reason, third.RetryAfter)

	now += 100 * time.Millisecond
	b.Ended(now, first.Target, placement.Sample{Route: "submit", Took: 100 * time.Millisecond, Cold: -1})
	for _, p := range b.Dispatch(now) {
		fmt.Println(p.Ticket == second.Ticket, p.Target)
	}
	// Output:
	// true true
	// true deadline 100ms
	// true a
}
