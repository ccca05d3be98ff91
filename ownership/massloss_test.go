package ownership

import (
	"fmt"
	"math/rand"
	"reflect"
	"runtime"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// moveByCopy applies moves as the first version of RangeTable.Move did, one copy of the table
// for each.
func moveByCopy(t *RangeTable, moves ...RangeMove) *RangeTable {
	ranges := slices.Clone(t.Ranges)
	for _, m := range moves {
		var out []KeyRange
		for _, s := range ranges {
			if s.To < m.From || s.From > m.To || s.Owner == m.Owner {
				out = append(out, s)
				continue
			}
			if s.From < m.From {
				left := s
				left.To = m.From - 1
				out = append(out, left)
			}
			previous := append(slices.Clone(s.PreviousOwners), s.Owner)
			previous = slices.DeleteFunc(previous, func(x string) bool { return x == m.Owner })
			slices.Sort(previous)
			out = append(out, KeyRange{
				From: max(s.From, m.From), To: min(s.To, m.To), Owner: m.Owner, PreviousOwners: slices.Compact(previous),
				ReturnTo: returnToAfter(s, m),
			})
			if s.To > m.To {
				right := s
				right.From = m.To + 1
				out = append(out, right)
			}
		}
		ranges = out
	}
	return (&RangeTable{Ranges: ranges}).mergeAdjacent()
}

func randomMove(rnd *rand.Rand, owners []string) RangeMove {
	from := rnd.Intn(RangeKeys)
	return RangeMove{From: from, To: min(RangeKeys-1, from+rnd.Intn(400)), Owner: owners[rnd.Intn(len(owners))], FromLimited: rnd.Intn(4) == 0}
}

func ownerNames(n int) (owners []string, weights []float64) {
	for i := range n {
		owners, weights = append(owners, fmt.Sprintf("i-%010x", i*7919)), append(weights, 1)
	}
	return owners, weights
}

// TestMovesInPlace guards against moves in place that differ from moves of a copy.
func TestMovesInPlace(t *testing.T) {
	Convey("moves and releases give the same table as on a copy for each, and leave the first one as it is", t, func() {
		for seed := range int64(40) {
			rnd := rand.New(rand.NewSource(seed))
			owners, weights := ownerNames(3 + rnd.Intn(60))
			table := NewRangeTable(owners, weights)
			for range 30 {
				var moves []RangeMove
				for range 1 + rnd.Intn(8) {
					moves = append(moves, randomMove(rnd, owners))
				}
				before := &RangeTable{Ranges: slices.Clone(table.Ranges)}
				want := moveByCopy(table, moves...)
				got := table.Move(moves...)
				if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(table, before) {
					So(got.Ranges, ShouldResemble, want.Ranges)
					So(table.Ranges, ShouldResemble, before.Ranges)
				}
				inPlace := &RangeTable{Ranges: slices.Clone(table.Ranges)}
				each := table
				for _, m := range moves {
					inPlace.moveInPlace(m)
					each = moveByCopy(each, m)
				}
				if !reflect.DeepEqual(inPlace, each) {
					So(inPlace.Ranges, ShouldResemble, each.Ranges)
				}
				var released []KeyRange
				one := got
				for _, s := range got.Ranges {
					if rnd.Intn(3) == 0 {
						released = append(released, s)
						one = one.Release(s.From, s.To)
					}
				}
				table = got.ReleaseAll(released)
				if !reflect.DeepEqual(table, one) {
					So(table.Ranges, ShouldResemble, one.Ranges)
				}
			}
		}
	})
}

// TestLossOfManyTargets guards against a leader that plans for longer than its hosts wait for
// it when many targets go at once: each move copied the whole table.
func TestLossOfManyTargets(t *testing.T) {
	const targets, ranges, lostOfTen = 619, 1434, 4
	Convey("the plan for the loss of many targets of a large fleet allocates little more than its moves", t, func() {
		rnd := rand.New(rand.NewSource(1))
		owners, weights := ownerNames(targets)
		table := NewRangeTable(owners, weights)
		for len(table.Ranges) < ranges {
			table = table.Move(randomMove(rnd, owners)).Release(0, RangeKeys-1)
		}
		in := RangeInput{Table: table, Rates: make([]float32, RangeKeys), RateVariance: 0.3, Movable: func(KeyRange) bool { return true }}
		for k := range in.Rates {
			in.Rates[k] = float32(rnd.ExpFloat64() * 3000 / RangeKeys)
		}
		for i, o := range owners {
			if i%10 >= lostOfTen {
				in.Targets = append(in.Targets, RangeTarget{ID: o, Capacity: 2, ServiceSeconds: 0.21, AcceptsKeys: true})
			}
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		moves := PlanRanges(RangePlanConfig{}, in)
		table.Move(moves...)
		runtime.ReadMemStats(&after)
		So(len(moves), ShouldBeGreaterThan, ranges*lostOfTen/10)
		tableBytes := uint64(len(table.Ranges)) * uint64(reflect.TypeFor[KeyRange]().Size())
		So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, 50*tableBytes)
	})
}
