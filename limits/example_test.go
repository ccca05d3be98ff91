package limits_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/limits"
)

// Host a of two borrows from the customer's lender what its callers need beyond
// its even share, a quarter of the rate.
func Example() {
	contracts := map[string]contract.Contract{"ana": {
		Customer: "ana", Workloads: []string{"orders"}, RatePerSecond: 40, Burst: 40, Concurrency: 20, Weight: 1,
	}}
	names := []string{"a", "b"}
	name := limits.LenderOf("ana", names)
	enforcer := limits.NewEnforcer(limits.Config{}, limits.Hosts{Self: "a", Configured: names, Live: names}, "1")
	lender := limits.NewLender(limits.Config{}, limits.Hosts{Self: name, Configured: names, Live: names}, "1")
	enforcer.SetContracts(0, contracts)
	lender.SetContracts(contracts)

	now := time.Duration(0)
	for range 15 {
		now += 10 * time.Millisecond
		if enforcer.Admit(now, "ana", "orders", 0).Admitted {
			enforcer.Done("ana")
		}
	}
	for _, b := range enforcer.DueBorrowRequests(now) {
		enforcer.ApplyLoan(now, b, lender.Lend(now, b)) // over the network between hosts
	}
	s, _ := enforcer.Stats(now, "ana")
	fmt.Println(s.EvenShare.Rate, s.BorrowedShare.Rate, s.Admitted)
	fmt.Println(enforcer.Admit(now, "ana", "proofs", 0).Err())
	// Output:
	// 10 20 15
	// contract: workload: retry after 0s
}
