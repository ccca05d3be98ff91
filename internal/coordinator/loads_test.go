package coordinator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// TestFirstAnswersAreNoMeasure guards against a leader that takes the first, short answer of a
// target for its service time: it gave the keys of many targets to one.
func TestFirstAnswersAreNoMeasure(t *testing.T) {
	const targets, evacuated, mean = 619, 103, 0.21 // seconds
	Convey("Given a leader to which the first answers of a workload are reported, the shortest first", t, func() {
		l := newKeyLoads()
		l.addTargetStats([]TargetStats{{ID: "t200", Responses: 1, ServiceMS: 4}})
		for i := range targets {
			l.addTargetStats([]TargetStats{{ID: fmt.Sprint("t", i), Responses: 1, ServiceMS: int64(110 + 200*(i*257%targets)/targets)}})
		}
		So(l.meanService.estimate(), ShouldBeBetween, 0.8*mean, 1.2*mean)

		Convey("one short answer tells little of a target", func() {
			So(l.serviceTime("t200"), ShouldBeGreaterThan, 0.7*mean)
		})
		Convey("many short ones tell that it is fast", func() {
			for range 40 {
				l.addTargetStats([]TargetStats{{ID: "t200", Responses: 1, ServiceMS: 100}})
			}
			So(l.serviceTime("t200"), ShouldBeBetween, 0.095, 0.115)
		})
		Convey("the keys of a domain that is evacuated then are spread", func() {
			var owners []string
			var weights []float64
			in := ownership.RangeInput{Rates: make([]float32, ownership.RangeKeys)}
			for i := range targets {
				id := fmt.Sprint("t", i)
				owners, weights = append(owners, id), append(weights, 1)
				if i >= evacuated {
					in.Targets = append(in.Targets, ownership.RangeTarget{ID: id, Capacity: 2, ServiceSeconds: l.serviceTime(id), AcceptsKeys: true})
				}
			}
			in.Table = ownership.NewRangeTable(owners, weights)
			for k := range in.Rates {
				in.Rates[k] = 700.0 / ownership.RangeKeys
			}
			given := map[string]int{}
			for _, m := range ownership.PlanRanges(ownership.RangePlanConfig{}, in) {
				given[m.Owner]++
			}
			So(len(given), ShouldBeGreaterThan, evacuated/2)
			So(given["t200"], ShouldBeLessThanOrEqualTo, 2)
		})
	})
	Convey("a target without an answer has the mean service time, and before any the default", t, func() {
		l := newKeyLoads()
		So(l.serviceTime("t0"), ShouldEqual, defaultServiceTime)
		for range 200 {
			l.addTargetStats([]TargetStats{{ID: "t1", Responses: 1, ServiceMS: 210}})
		}
		So(l.serviceTime("t0"), ShouldBeBetween, 0.205, 0.211)
		l.decay(time.Second)
	})
}
