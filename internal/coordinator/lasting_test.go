package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/ownership"
)

// limitedFleet replays the plans of a leader for a workload, some of whose targets state
// limits. The measured rates vary around the true ones as those of random arrivals do.
type limitedFleet struct {
	dir   *fleet.Directory
	table *ownership.RangeTable
	rates []float64
	rnd   *rand.Rand
	moves int
}

const (
	fleetService = 0.16 // seconds
	fleetSlots   = 2
)

func newLimitedFleet(targets int, perSecond float64) *limitedFleet {
	f := &limitedFleet{dir: fleet.NewDirectory(), rates: make([]float64, ownership.RangeKeys), rnd: rand.New(rand.NewPCG(1, 2))}
	var ids []string
	var weights []float64
	for i := range targets {
		id := fmt.Sprintf("t%03d", i)
		ids, weights = append(ids, id), append(weights, 1)
		f.dir.PutTarget(&fleet.Target{ID: id, Workload: "w", Slots: fleetSlots})
	}
	f.table = ownership.NewRangeTable(ids, weights)
	for k := range f.rates {
		f.rates[k] = perSecond / ownership.RangeKeys
	}
	return f
}

func (f *limitedFleet) setLimits(ids []string, perSecond float64) {
	for _, id := range ids {
		f.dir.SetRequestLimit(f.dir.Snapshot().Targets[id].Ident(), perSecond)
	}
}

// plan makes one plan and puts it into force.
func (f *limitedFleet) plan() {
	snap := f.dir.Snapshot()
	in := ownership.RangeInput{Table: f.table, RateVariance: rateVariance, Rates: make([]float32, ownership.RangeKeys)}
	const block = 512 // keys whose rates vary together
	for k := range in.Rates {
		if k%block == 0 {
			mean := f.rates[k] * block
			factor := max(0, 1+f.rnd.NormFloat64()*0.3/max(1, mean))
			for i := range block {
				in.Rates[k+i] = float32(f.rates[k+i] * factor)
			}
		}
	}
	for _, x := range snap.TargetsOf("w") {
		r := ownership.RangeTarget{ID: x.ID, Capacity: fleetSlots, ServiceSeconds: fleetService, AcceptsKeys: true}
		if limit := snap.RequestLimit(x); limit > 0 {
			r.Limited, r.Capacity = true, min(r.Capacity, limit*fleetService)
		}
		in.Targets = append(in.Targets, r)
	}
	moves := ownership.PlanRanges(ownership.RangePlanConfig{}, in)
	next := f.table.Move(moves...)
	f.moves += len(moves)
	for _, s := range next.Ranges {
		next = next.Release(s.From, s.To)
	}
	f.table = next
}

// load returns the rate of requests for the keys of each target.
func (f *limitedFleet) load() map[string]float64 {
	out := map[string]float64{}
	for _, s := range f.table.Ranges {
		for k := s.From; k <= s.To; k++ {
			out[s.Owner] += f.rates[k]
		}
	}
	return out
}

// TestLimitedTargetsOfAFleet replays limits of a third of the targets of a fleet, each a
// quarter of the requests for its keys.
func TestLimitedTargetsOfAFleet(t *testing.T) {
	for _, targets := range []int{9, 21, 169, 619} {
		Convey(fmt.Sprintf("%d targets, a third of which state a limit", targets), t, func() {
			perTarget := 5.2
			f := newLimitedFleet(targets, perTarget*float64(targets))
			limit := perTarget / 4
			var limited []string
			for i := 0; i < targets; i += 3 {
				limited = append(limited, fmt.Sprintf("t%03d", i))
			}
			f.setLimits(limited, limit)
			for range 60 {
				f.plan()
			}
			load, excess := f.load(), 0.0
			for _, id := range limited {
				excess += max(0, load[id]-limit)
				So(load[id], ShouldBeGreaterThanOrEqualTo, 0.8*limit)
			}
			So(excess, ShouldBeLessThan, 0.05*perTarget*float64(targets))
			for _, x := range f.dir.Snapshot().TargetsOf("w") {
				if f.dir.Snapshot().RequestLimit(x) == 0 {
					So(load[x.ID]*fleetService/fleetSlots, ShouldBeLessThan, 0.9)
				}
			}
			f.moves = 0
			for range 40 {
				f.plan()
			}
			So(f.moves, ShouldBeLessThan, 40) // keys do not go back and forth
			f.setLimits(limited, 0)
			for range 60 {
				f.plan()
			}
			load = f.load()
			for _, id := range limited {
				So(load[id], ShouldBeGreaterThanOrEqualTo, 0.7*perTarget)
			}
			f.moves = 0
			for range 40 {
				f.plan()
			}
			So(f.moves, ShouldBeLessThan, 40)
		})
	}
}
