package limits_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/limits"
)

// Two hosts: a borrows from the customer's lender what its callers need beyond
// its even quarter of the rate.
func Example() {
	contracts := map[string]contract.Contract{"ana": {
		Customer: "ana", Workloads: []string{"orders"}, RatePerSecond: 40, Burst: 40, Concurrency: 20, Weight: 1,
	}}
	names := []string{"a", "b"}
	name := limits.LenderOf("ana", names)
	gate := limits.NewEnforcer(limits.Config{}, limits.Hosts{Self: "a", Configured: names, Live: names}, "1")
	lender := limits.NewLender(limits.Config{}, limits.Hosts{Self: name, Configured: names, Live: names}, "1")
	gate.SetContracts(0, contracts)
	lender.SetContracts(contracts)

	now := time.Duration(0)
	for range 15 {
		now += 10 * time.Millisecond
		if gate.Admit(now, "ana", "orders", 0).Admitted {
			gate.Done("ana")
		}
	}
	for _, b := range gate.DueBorrowRequests(now) {
		gate.ApplyLoan(now, b, lender.Lend(now, b)) // over the network between hosts
	}
	s, _ := gate.Stats(now, "ana")
	fmt.Println(s.Even.Rate, s.Lent.Rate, s.Admitted)
	fmt.Println(gate.Admit(now, "ana", "proofs", 0).Err())
	// Output:
	// 10 20 15
	// contract: workload: retry after 0s
}
