package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func mustJudge(cfg Config) *Judge {
	j, err := NewJudge(cfg)
	if err != nil {
		panic(err)
	}
	return j
}

func serviceTimes(services ...int) map[string]time.Duration {
	m := map[string]time.Duration{}
	for i, s := range services {
		m[fmt.Sprint("t", i)] = time.Duration(s) * ms
	}
	return m
}

// Guards against normal targets that count as slow because they are compared with the
// fastest target, or because there are only two.
func TestNotSlow(t *testing.T) {
	Convey("targets near the median, or of a pair, keep their weight", t, func() {
		for _, services := range [][]int{{10, 25, 28, 31}, {10, 100}, {10, 10, 29}} {
			j := mustJudge(Config{})
			for now := time.Second; now < 3*time.Second; now += 100 * ms {
				So(j.SlowTargetWeights(now, serviceTimes(services...)), ShouldBeEmpty)
			}
		}
	})
}

// Guards against a single outlier that removes a target's load, and against a target
// that stays slow after it recovers.
func TestSlow(t *testing.T) {
	Convey("a target is slow once it has been so for the time set, until it is not", t, func() {
		j := mustJudge(Config{})
		slow := serviceTimes(10, 10, 10, 100)
		So(j.SlowTargetWeights(0, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(200*ms, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(300*ms, slow), ShouldResemble, map[string]float64{"t3": 0.1})
		So(j.SlowTargetWeights(400*ms, serviceTimes(10, 10, 10, 12)), ShouldBeEmpty)
		So(j.SlowTargetWeights(500*ms, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(900*ms, serviceTimes(10, 10, 10, 10000)), ShouldResemble, map[string]float64{"t3": 0.02})
		So(j.SlowTargetWeights(time.Second, serviceTimes(10, 10, 10)), ShouldBeEmpty)
		So(j.SlowTargetWeights(2*time.Second, slow), ShouldBeEmpty)
	})
	Convey("settings out of range are refused", t, func() {
		for _, c := range []Config{{SlowFactor: 1}, {MinWeight: 2}, {MinTargets: 1}, {ConfirmPeriod: -1}} {
			_, err := NewJudge(c)
			So(err, ShouldHaveSameTypeAs, &ConfigError{})
		}
	})
}

// Guards against more than half of the targets counting as slow: moving their load would
// overload the rest.
func TestPropertyAtMostHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		j := mustJudge(Config{MinTargets: 2})
		now := time.Duration(0)
		service := map[string]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * ms
			for i := range n {
				service[fmt.Sprint("t", i)] = time.Duration(rapid.SampledFrom([]int{1, 1, 1, 10, 40, 200}).Draw(t, "service")) * ms
			}
			slow := j.SlowTargetWeights(now, service)
			if 2*len(slow) > n {
				t.Fatalf("%d of %d targets are slow", len(slow), n)
			}
			for name, w := range slow {
				if !(w > 0 && w < 1) {
					t.Fatalf("weight %v of %s", w, name)
				}
			}
		}
	})
}

// Guards against a target that failed, or was slow, and is never retried.
func TestRecord(t *testing.T) {
	Convey("Given a target that fails and is slow", t, func() {
		var stats TargetStats
		So(stats.FailureRate(time.Second), ShouldEqual, 0)
		So(stats.Slowdown(time.Second), ShouldEqual, 1)
		now := time.Minute
		for range 20 {
			stats.RecordRequest(now, true)
			stats.RecordServiceTime(now, 1, 0.1)
		}
		So(stats.FailureRate(now), ShouldBeGreaterThan, 0.95)
		So(stats.Slowdown(now), ShouldBeGreaterThan, 8)
		Convey("both are forgotten while nothing is heard of it", func() {
			So(stats.FailureRate(now+10*time.Second), ShouldBeLessThan, 0.05)
			So(stats.Slowdown(now+20*time.Second), ShouldBeLessThan, 2.3)
			So(stats.Slowdown(now+60*time.Second), ShouldBeLessThan, 1.05)
			So(stats.LastSlowdown(), ShouldBeGreaterThan, 8)
			stats.RecordServiceTime(now+60*time.Second, 0.1, 0.1)
			So(stats.LastSlowdown(), ShouldBeLessThan, 1.1)
		})
		Convey("both are corrected by good answers", func() {
			for range 30 {
				stats.RecordRequest(now, false)
				stats.RecordServiceTime(now, 0.1, 0.1)
			}
			So(stats.FailureRate(now), ShouldBeLessThan, 0.05)
			So(stats.Slowdown(now), ShouldBeLessThan, 1.5)
		})
		Convey("a connection that cannot be opened counts as failing altogether", func() {
			stats.RecordRequest(now, false)
			stats.RecordUnreachable(now)
			So(stats.FailureRate(now), ShouldEqual, 1)
		})
		Convey("no answer moves the factor out of its bounds", func() {
			stats.RecordServiceTime(now, 1e6, 1e-9)
			So(stats.Slowdown(now), ShouldBeLessThanOrEqualTo, maxSlowdown)
			for range 100 {
				stats.RecordServiceTime(now, 0, 1)
			}
			So(stats.Slowdown(now), ShouldAlmostEqual, minSlowdown, 1e-9)
		})
	})
}

// BenchmarkSlow measures the comparison of 20 targets, one of them slow.
func BenchmarkSlow(b *testing.B) {
	j := mustJudge(Config{})
	service := serviceTimes(10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 110)
	b.ReportAllocs()
	for i := range b.N {
		j.SlowTargetWeights(time.Duration(i)*ms, service)
	}
}
