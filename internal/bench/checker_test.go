package bench

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/standin"
)

func testPlan() *Plan {
	return &Plan{
		Workloads: map[string]WorkloadPlan{"orders": {Workload: contract.Workload{Name: "orders", Keyed: true, Shards: 256}}},
		Customers: []CustomerPlan{{Contract: contract.Contract{Customer: "c", RatePerSecond: 10, Burst: 5, Concurrency: 2}}},
	}
}

// effectRecord returns the record of an execution that took effect.
func effectRecord(target, tag string, epoch uint64, start, end int64) TargetRecord {
	return TargetRecord{Target: target, Tag: tag, Epoch: epoch, StartMono: start, EndMono: end,
		Workload: "orders", Key: "k", Outcome: standin.RunEffect, Customer: "c"}
}

func counts(e Evidence) map[ViolationKind]int {
	e.Plan = testPlan()
	return Check(&e).Counts
}

// A checker that misses a violation accepts a faulty router; one that reports
// false violations hides real ones.
func TestCheck(t *testing.T) {
	Convey("runs of one key", t, func() {
		dual := func(records ...TargetRecord) int { return counts(Evidence{Records: records})[DualOwner] }
		Convey("one after the other under growing epochs are right", func() {
			So(dual(effectRecord("a", "1", 1, 0, 10), effectRecord("b", "2", 2, 10, 20), effectRecord("a", "3", 3, 21, 30)), ShouldEqual, 0)
		})
		Convey("at once on one target are right", func() {
			So(dual(effectRecord("a", "1", 1, 0, 10), effectRecord("a", "2", 1, 5, 20)), ShouldEqual, 0)
		})
		Convey("that overlap on two targets are dual owners", func() {
			So(dual(effectRecord("a", "1", 1, 0, 10), effectRecord("b", "2", 2, 9, 20)), ShouldEqual, 1)
		})
		Convey("that overlap a long run hidden behind a short one are found", func() {
			So(dual(effectRecord("a", "1", 1, 0, 100), effectRecord("a", "2", 1, 1, 2), effectRecord("b", "3", 2, 50, 60)), ShouldEqual, 1)
		})
		Convey("of an earlier epoch after a later one are dual owners", func() {
			So(dual(effectRecord("b", "1", 2, 0, 10), effectRecord("a", "2", 1, 20, 30)), ShouldEqual, 1)
		})
		Convey("of one shard but different keys are compared too", func() {
			x := effectRecord("b", "2", 2, 5, 20)
			x.Key = "other"
			So(dual(effectRecord("a", "1", 1, 0, 10), x), ShouldEqual, 1)
		})
		Convey("of a key under its parent shard and its own are compared", func() {
			x := effectRecord("b", "2", 1, 5, 20)
			x.Shard = 256
			So(dual(effectRecord("a", "1", 7, 0, 10), x), ShouldEqual, 1)
		})
		Convey("of different keys that used the shard of a split key one after the other are right", func() {
			x, y := effectRecord("b", "1", 3, 0, 10), effectRecord("a", "2", 2, 5, 20)
			x.Shard, y.Shard, y.Key = 256, 256, "other"
			So(dual(x, y), ShouldEqual, 0)
			y.Key = x.Key
			So(dual(x, y), ShouldBeGreaterThan, 0)
		})
		Convey("without epochs are compared by key", func() {
			So(dual(effectRecord("a", "1", 0, 0, 10), effectRecord("b", "2", 0, 5, 20)), ShouldEqual, 1)
			So(dual(effectRecord("a", "1", 0, 0, 10), effectRecord("b", "2", 0, 15, 20)), ShouldEqual, 0)
		})
		Convey("that took no effect do not count", func() {
			x := effectRecord("b", "2", 2, 5, 20)
			x.Outcome = standin.RunNotOwner
			So(dual(effectRecord("a", "1", 1, 0, 10), x), ShouldEqual, 0)
		})
	})
	Convey("a request", t, func() {
		Convey("that is not idempotent and ran twice is a double run", func() {
			e := Evidence{Calls: []Call{{Tag: "1", Outcome: CallOK, ResponseTarget: "a"}}, Records: []TargetRecord{effectRecord("a", "1", 1, 0, 1), effectRecord("a", "1", 1, 5, 6)}}
			So(counts(e)[DoubleRun], ShouldEqual, 1)
			e.Calls[0].Idempotent = true
			So(counts(e)[DoubleRun], ShouldEqual, 0)
		})
		Convey("that was refused as not_run but ran is a false refusal", func() {
			So(counts(Evidence{Calls: []Call{{Tag: "1", Outcome: CallNotRun}}, Records: []TargetRecord{effectRecord("a", "1", 1, 0, 1)}})[FalseNotRun], ShouldEqual, 1)
			So(counts(Evidence{Calls: []Call{{Tag: "1", Outcome: CallMayHaveRun}}, Records: []TargetRecord{effectRecord("a", "1", 1, 0, 1)}})[FalseNotRun], ShouldEqual, 0)
		})
		Convey("that was acknowledged without an effect is lost", func() {
			So(counts(Evidence{Calls: []Call{{Tag: "1", Outcome: CallOK}}})[LostAcknowledged], ShouldEqual, 1)
		})
		Convey("with a cut or crossed answer is found", func() {
			So(counts(Evidence{Calls: []Call{{Tag: "1", Outcome: CallOK, ResponseFault: "cut"}}, Records: []TargetRecord{effectRecord("a", "1", 1, 0, 1)}})[WrongAnswer], ShouldEqual, 1)
			So(counts(Evidence{Calls: []Call{{Tag: "1", Outcome: CallOK, ResponseTarget: "b"}}, Records: []TargetRecord{effectRecord("a", "1", 1, 0, 1)}})[WrongAnswer], ShouldEqual, 1)
		})
	})
	Convey("limits", t, func() {
		// Rate 10/s for 1 s, burst 5, 2 s of the lent half of the rate, 5% slack:
		// 26 requests.
		flood := func(n int) Evidence {
			var e Evidence
			for i := range n {
				tag := string(rune('A' + i))
				at := int64(i) * int64(time.Millisecond)
				e.Calls = append(e.Calls, Call{Tag: tag, Customer: "c", Outcome: CallOK})
				e.Records = append(e.Records, effectRecord("a", tag, 1, at, at+1))
			}
			return e
		}
		So(counts(flood(26))[OverLimit], ShouldEqual, 0)
		So(counts(flood(28))[OverLimit], ShouldEqual, 2)
		Convey("of concurrency hold over all targets", func() {
			records := []TargetRecord{effectRecord("a", "1", 1, 0, 10), effectRecord("a", "2", 1, 1, 10), effectRecord("a", "3", 1, 2, 10)}
			So(counts(Evidence{Records: records})[OverLimit], ShouldEqual, 0)
			So(counts(Evidence{Records: append(records, effectRecord("a", "4", 1, 3, 10))})[OverLimit], ShouldEqual, 1)
		})
		Convey("of targets: connections, falling over, and shedding while known to be cold", func() {
			ev := func(k standin.EventKind, seq, at int64) TargetRecord {
				return TargetRecord{Target: "a", Incarnation: "i", Event: k, Seq: seq, StartMono: at}
			}
			So(counts(Evidence{Records: []TargetRecord{ev(standin.EventConnection, 2, 9), ev(standin.EventFallOver, 3, 9)}})[OverLimit], ShouldEqual, 2)
			start := []TargetRecord{ev(standin.EventStart, 1, 0), ev(standin.EventCold, 2, 1)}
			So(counts(Evidence{Records: append(start, ev(standin.EventShedCold, 3, 9))})[OverLimit], ShouldEqual, 1)
			unannounced := []TargetRecord{ev(standin.EventStart, 1, 0), ev(standin.EventCold, 7, int64(time.Second)), ev(standin.EventShedCold, 8, int64(2*time.Second))}
			So(counts(Evidence{Records: unannounced})[OverLimit], ShouldEqual, 0)
		})
	})
	Convey("new work on a leaving target is late after 3 s and until it is back", t, func() {
		late := func(at time.Duration) int {
			return counts(Evidence{
				Steps:   []AppliedStep{{Step: Step{Action: ActDomainOut}, At: time.Second, Until: 10 * time.Second, Targets: []string{"a"}}},
				Records: []TargetRecord{effectRecord("a", "1", 1, int64(at), int64(at)+1)},
			})[LateNewWork]
		}
		So(late(3900*time.Millisecond), ShouldEqual, 0)
		So(late(4100*time.Millisecond), ShouldEqual, 1)
		So(late(11*time.Second), ShouldEqual, 0)
	})
	Convey("a connection lost in a planned stop is a cut", t, func() {
		cut := func(entry string, at time.Duration) int {
			return counts(Evidence{
				Steps: []AppliedStep{{Step: Step{Action: ActStopEntry}, At: time.Second, Entries: []string{"e1"}}},
				Calls: []Call{{Tag: "1", Outcome: CallMayHaveRun, Cuts: []CutAttempt{{Entry: entry, Ended: at}}}},
			})[CutInFlight]
		}
		So(cut("e1", 2*time.Second), ShouldEqual, 1)
		So(cut("e1", 0), ShouldEqual, 0)
		So(cut("e2", 2*time.Second), ShouldEqual, 0)
	})
	Convey("a configuration that goes back on a host is reverted", t, func() {
		seen := func(list ...ConfigObservation) int {
			return counts(Evidence{ConfigAccepted: []time.Duration{1, 2}, ConfigObservations: list})[ConfigReverted]
		}
		So(seen(ConfigObservation{Host: "a", Change: 1}, ConfigObservation{Host: "b", Change: 0}, ConfigObservation{Host: "a", Change: 2}), ShouldEqual, 0)
		So(seen(ConfigObservation{Host: "a", Change: 2}, ConfigObservation{Host: "a", Change: 1}), ShouldEqual, 1)
	})
	Convey("what a scenario does not exercise is absent", t, func() {
		got := counts(Evidence{})
		for _, k := range []ViolationKind{LateNewWork, CutInFlight, ConfigReverted} {
			_, present := got[k]
			So(present, ShouldBeFalse)
		}
		So(got[DualOwner], ShouldEqual, 0)
	})
}
