package fleet_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/fleet"
)

// A target whose announcement lapses during an outage of the store is kept until it
// has had time to announce itself again.
func ExampleDirectory() {
	d := fleet.NewDirectory()
	d.PutTarget(&fleet.Target{ID: "a", Workload: "orders", Domain: "north", Slots: 6})

	now := time.Minute
	d.MarkStoreUnreachable()
	fmt.Println("removed while the store is away:", d.RemoveTarget(now, "a"))

	now += 9 * time.Second
	d.MarkStoreReachable(now)
	fmt.Println("targets right after its return:", len(d.Snapshot().TargetsOf("orders")))
	fmt.Println("given up after the grace:", d.RemoveExpired(now+fleet.RemovalGrace))
	// Output:
	// removed while the store is away: false
	// targets right after its return: 1
	// given up after the grace: [a]
}
