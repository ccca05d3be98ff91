package health_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/health"
)

// One of four targets turns slow and loses its load.
func Example() {
	pool, err := health.NewPool(health.Config{}, "north")
	if err != nil {
		fmt.Println(err)
		return
	}
	names := []string{"a", "b", "c", "d"}
	var targets []health.Target
	for _, n := range names {
		targets = append(targets, health.Target{Name: n, Domain: "north", Slots: 6, Fit: true})
	}
	pool.SetTargets(targets)

	for now := time.Second; now < 2*time.Second; now += 100 * time.Millisecond {
		for _, n := range names {
			load := health.Load{Limit: 6, Service: 10 * time.Millisecond}
			if n == "c" {
				load.Service = 100 * time.Millisecond
			}
			pool.Report(now, n, load)
		}
	}
	for _, n := range names {
		s, _ := pool.State(2*time.Second, n)
		fmt.Printf("%s %.1f\n", n, s.Weight)
	}
	// Output:
	// a 1.0
	// b 1.0
	// c 0.1
	// d 1.0
}
