package ownership_test

import (
	"fmt"

	"github.com/boragelock/boragelock/ownership"
)

// A target is lost. Its shards move to the other target, which may serve them only
// after the previous owner is released.
func Example() {
	table := ownership.NewTable()
	table.AddWorkload("lookups", 4)
	targets := []ownership.PlanTarget{
		{Name: "t1", Workload: "lookups", Domain: "d1", Eligible: true, Ready: true},
		{Name: "t2", Workload: "lookups", Domain: "d1", Eligible: true, Ready: true},
	}
	plan := func() ownership.Plan {
		return ownership.MakePlan(ownership.DefaultPlanConfig(), ownership.PlanInput{Table: table, Targets: targets})
	}
	for _, m := range plan().Moves {
		table.ApplyMove(m)
	}
	targets[0].Eligible, targets[0].Lost = false, true
	for _, m := range plan().Moves {
		fmt.Println(m.Reason, len(m.Shards), "shards")
		table.ApplyMove(m)
	}
	show := func() {
		r, _ := ownership.Compile(table).Shard(ownership.ID{Workload: "lookups", Shard: 0})
		fmt.Printf("%s at epoch %d, active: %t\n", r.Target, r.Epoch, r.Active)
	}
	show()
	table.ApplyReleased(ownership.Released{Proof: ownership.ProofLeaseExpired, Shards: []ownership.ReleasedShard{
		{ID: ownership.ID{Workload: "lookups", Shard: 0}, Epoch: 1}}})
	show()
	// Output:
	// lost 2 shards
	// t2 at epoch 2, active: false
	// t2 at epoch 2, active: true
}
