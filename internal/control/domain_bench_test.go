package control

import (
	"fmt"
	"testing"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
)

// BenchmarkDomainLost plans the takeover of a lost domain at the design size. It
// counts the records that the takeover needs: the moves as split by splitMove,
// and one released record for each target.
func BenchmarkDomainLost(b *testing.B) {
	const domains, targetsPerDomain, shards = 13, 90, 65536
	table := ownership.NewTable()
	table.AddWorkload("lookups", shards)
	var targets []ownership.PlanTarget
	for i := range domains * targetsPerDomain {
		targets = append(targets, ownership.PlanTarget{
			Name: fmt.Sprintf("lookups-%04d", i), Workload: "lookups", Domain: fmt.Sprintf("d%02d", i%domains),
			Capacity: 2, Eligible: i%domains != 0, Ready: i%domains != 0, Lost: i%domains == 0,
		})
	}
	for n := range table.Workloads["lookups"].Shards {
		table.Workloads["lookups"].Shards[n] = ownership.Shard{Owner: targets[n%len(targets)].Name, Epoch: 1000}
	}
	var moveRecords, releasedRecords, bytes, movedShards int
	for b.Loop() {
		moveRecords, releasedRecords, bytes, movedShards = 0, 0, 0, 0
		releasedShards := map[string][]ownership.ReleasedShard{}
		plan := ownership.MakePlan(ownership.DefaultPlanConfig(), ownership.PlanInput{Table: table, Targets: targets})
		for _, m := range plan.Moves {
			for _, part := range splitMove(m) {
				moveRecords++
				movedShards += len(part.Shards)
				bytes += recordBytes(b, journal.KindMove, part)
			}
			for _, x := range m.Shards {
				s, _ := table.Get(x.ID)
				releasedShards[s.Owner] = append(releasedShards[s.Owner], ownership.ReleasedShard{ID: x.ID, Epoch: x.FromEpoch})
			}
		}
		for _, list := range releasedShards {
			releasedRecords++
			bytes += recordBytes(b, journal.KindReleased, ownership.Released{Shards: list, Proof: ownership.ProofDomainLost})
		}
	}
	b.ReportMetric(float64(movedShards), "shards")
	b.ReportMetric(float64(moveRecords), "move-records")
	b.ReportMetric(float64(releasedRecords), "released-records")
	b.ReportMetric(float64(bytes)/(1<<10), "KiB")
}

func recordBytes(b *testing.B, kind journal.Kind, body any) int {
	data, err := journal.Encode("host-0000.0123456789abcdef-1", kind, body)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
