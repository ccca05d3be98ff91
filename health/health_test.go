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

func times(services ...int) map[string]time.Duration {
	m := map[string]time.Duration{}
	for i, s := range services {
		m[fmt.Sprint("t", i)] = time.Duration(s) * ms
	}
	return m
}

// A comparison with the fastest target, or at two targets, blames normal ones.
func TestNotSlow(t *testing.T) {
	Convey("targets near the median, or of a pair, keep their weight", t, func() {
		for _, services := range [][]int{{10, 25, 28, 31}, {10, 100}, {10, 10, 29}} {
			j := mustJudge(Config{})
			for now := time.Second; now < 3*time.Second; now += 100 * ms {
				So(j.SlowTargetWeights(now, times(services...)), ShouldBeEmpty)
			}
		}
	})
}

// One odd report took a target's load away; a target that recovered stayed slow.
func TestSlow(t *testing.T) {
	Convey("a target is slow once it has been so for the time set, until it is not", t, func() {
		j := mustJudge(Config{})
		slow := times(10, 10, 10, 100)
		So(j.SlowTargetWeights(0, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(200*ms, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(300*ms, slow), ShouldResemble, map[string]float64{"t3": 0.1})
		So(j.SlowTargetWeights(400*ms, times(10, 10, 10, 12)), ShouldBeEmpty)
		So(j.SlowTargetWeights(500*ms, slow), ShouldBeEmpty)
		So(j.SlowTargetWeights(900*ms, times(10, 10, 10, 10000)), ShouldResemble, map[string]float64{"t3": 0.02})
		So(j.SlowTargetWeights(time.Second, times(10, 10, 10)), ShouldBeEmpty)
		So(j.SlowTargetWeights(2*time.Second, slow), ShouldBeEmpty)
	})
	Convey("settings out of range are refused", t, func() {
		for _, c := range []Config{{SlowFactor: 1}, {MinWeight: 2}, {MinTargets: 1}, {ConfirmPeriod: -1}} {
			_, err := NewJudge(c)
			So(err, ShouldHaveSameTypeAs, &ConfigError{})
		}
	})
}

// Moving the load of most targets would overload the rest.
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

// A target that had failed, or was slow, was never tried again.
func TestRecord(t *testing.T) {
	Convey("Given a target that fails and is slow", t, func() {
		var r TargetStats
		So(r.FailureRate(time.Second), ShouldEqual, 0)
		So(r.Slowdown(time.Second), ShouldEqual, 1)
		now := time.Minute
		for range 20 {
			r.RecordRequest(now, true)
			r.RecordServiceTime(now, 1, 0.1)
		}
		So(r.FailureRate(now), ShouldBeGreaterThan, 0.95)
		So(r.Slowdown(now), ShouldBeGreaterThan, 8)
		Convey("both are forgotten while nothing is heard of it", func() {
			So(r.FailureRate(now+10*time.Second), ShouldBeLessThan, 0.05)
			So(r.Slowdown(now+20*time.Second), ShouldBeLessThan, 2.3)
			So(r.Slowdown(now+60*time.Second), ShouldBeLessThan, 1.05)
			So(r.LastSlowdown(), ShouldBeGreaterThan, 8)
			r.RecordServiceTime(now+60*time.Second, 0.1, 0.1)
			So(r.LastSlowdown(), ShouldBeLessThan, 1.1)
		})
		Convey("both are corrected by good answers", func() {
			for range 30 {
				r.RecordRequest(now, false)
				r.RecordServiceTime(now, 0.1, 0.1)
			}
			So(r.FailureRate(now), ShouldBeLessThan, 0.05)
			So(r.Slowdown(now), ShouldBeLessThan, 1.5)
		})
		Convey("a connection that cannot be opened counts as failing altogether", func() {
			r.RecordRequest(now, false)
			r.RecordUnreachable(now)
			So(r.FailureRate(now), ShouldEqual, 1)
		})
		Convey("no answer moves the factor out of its bounds", func() {
			r.RecordServiceTime(now, 1e6, 1e-9)
			So(r.Slowdown(now), ShouldBeLessThanOrEqualTo, maxFactor)
			for range 100 {
				r.RecordServiceTime(now, 0, 1)
			}
			So(r.Slowdown(now), ShouldAlmostEqual, minFactor, 1e-9)
		})
	})
}

// BenchmarkSlow measures a comparison of 20 targets with a slow one.
func BenchmarkSlow(b *testing.B) {
	j := mustJudge(Config{})
	service := times(10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 110)
	b.ReportAllocs()
	for i := range b.N {
		j.SlowTargetWeights(time.Duration(i)*ms, service)
	}
}
