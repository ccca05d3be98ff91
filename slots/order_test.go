package slots

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// threeKinds are the requests of the peak of a day.
var threeKinds = []requestKind{
	{priority: 2, mean: 290 * time.Millisecond, spread: 0.5, objective: time.Second, limit: 4 * time.Second, share: 0.62},
	{priority: 1, mean: 370 * time.Millisecond, spread: 0.8, objective: 1200 * time.Millisecond, limit: 5 * time.Second, share: 0.22},
	{priority: 0, mean: 200 * time.Millisecond, spread: 0.5, objective: 600 * time.Millisecond, limit: 2500 * time.Millisecond, share: 0.16},
}

// mixedSpeeds are the speeds of targets of three types.
func mixedSpeeds(n int) (speeds []float64) {
	for i := range n {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	return speeds
}

// peak returns the load of a peak between two times.
func peak(usual, peak float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return peak
		}
		return usual
	}
}

// dayPeak is the peak of a day: 12 s with 1.7 times a usual load.
func dayPeak(name string, usual float64) *loadPattern {
	return &loadPattern{name: name, kinds: threeKinds, speeds: mixedSpeeds(24), slots: 6, hosts: 60, noiseShare: 0.2,
		load: peak(usual, 1.7*usual, 5*time.Second, 17*time.Second), measured: 5 * time.Second, duration: 20 * time.Second}
}

// missing marks a pattern that misses orderGoal.
func missing(p *loadPattern) *loadPattern {
	p.missesGoal = true
	return p
}

func loadPatterns() []*loadPattern {
	slowed := mixedSpeeds(24)
	for i := range 8 {
		slowed[i] /= 3
	}
	hidden := dayPeak("peak, usual load 0.65, time left not stated", 0.65)
	hidden.hidden = true
	return []*loadPattern{
		dayPeak("peak, usual load 0.55", 0.55),
		missing(dayPeak("peak, usual load 0.65", 0.65)),
		missing(dayPeak("peak, usual load 0.80", 0.80)),
		missing(hidden),
		{name: "burst of the most urgent kind", missesGoal: true, kinds: threeKinds, speeds: mixedSpeeds(24), slots: 6, hosts: 60, noiseShare: 0.2,
			load: peak(0.65, 2, 5*time.Second, 9*time.Second), burstKind: 2, burstAbove: 0.65, measured: 5 * time.Second, duration: 12 * time.Second},
		{name: "burst of one kind", missesGoal: true, kinds: threeKinds, speeds: mixedSpeeds(24), slots: 6, hosts: 60, noiseShare: 0.2,
			load: peak(0.65, 2, 5*time.Second, 7*time.Second), burstKind: 0, burstAbove: 0.65, measured: 5 * time.Second, duration: 12 * time.Second},
		{name: "200 hot keys", missesGoal: true, kinds: threeKinds, speeds: mixedSpeeds(24), slots: 6, hosts: 60, noiseShare: 0.2, keys: 200,
			load: peak(0.65, 0.65, 0, 0), measured: 5 * time.Second, duration: 17 * time.Second},
		{name: "a third slowed", kinds: threeKinds, speeds: slowed, slots: 6, hosts: 60, noiseShare: 0.2,
			load: peak(0.85, 0.85, 0, 0), measured: 0, duration: 12 * time.Second},
		{name: "all hosts just started", missesGoal: true, kinds: threeKinds, speeds: mixedSpeeds(24), slots: 6, hosts: 60, noiseShare: 0.2,
			load: peak(0.65, 1.3, 0, 3*time.Second), measured: 0, duration: 8 * time.Second},
	}
}

// orderGoal is the goal of docs/design/hard-load.md for the requests in time, as a share of
// the bound.
const orderGoal = 0.9

// patternResults are the results of a pattern over several seeds.
type patternResults struct{ shared, alone, bound replayResult }

func (p *loadPattern) results(t *testing.T, seeds ...uint64) patternResults {
	var x patternResults
	for _, seed := range seeds {
		c := p.draw(seed)
		x.shared = x.shared.add(c.replay(seed, true))
		x.alone = x.alone.add(c.replay(seed, false))
		x.bound = x.bound.add(c.bound())
	}
	s, a, b := x.shared.total(), x.alone.total(), x.bound.total()
	t.Logf("%s: %d requests; in time %.3f of the bound, value %.3f; alone %.3f, %.3f", p.name, s.asked,
		x.inTimeShare(), s.value()/b.value(), float64(a.inTime)/float64(b.inTime), a.value()/b.value())
	t.Logf("  in time/late/refused/failed: shared %d/%d/%d/%d%v", s.inTime, s.late, s.refused, s.failed, x.shared)
	t.Logf("  alone %d/%d/%d/%d%v", a.inTime, a.late, a.refused, a.failed, x.alone)
	t.Logf("  bound %d/%d/%d/%d%v", b.inTime, b.late, b.refused, b.failed, x.bound)
	return x
}

// inTimeShare returns the requests in time with a coordinator, as a share of the bound.
func (x patternResults) inTimeShare() float64 {
	return float64(x.shared.total().inTime) / float64(x.bound.total().inTime)
}

// TestQueueOrder replays the patterns with a coordinator, with hosts that decide by
// themselves, and with the bound. It guards against an order of waiting that yields less
// than hosts without a coordinator do, against requests that get no answer although they
// are the most urgent, and against a loss of the goal where it is met. The patterns that
// miss it are in TestQueueOrderGoal.
func TestQueueOrder(t *testing.T) {
	for _, p := range loadPatterns() {
		Convey("Given the pattern "+p.name, t, func() {
			x := p.results(t, 1, 2)
			s, a, b := x.shared.total(), x.alone.total(), x.bound.total()
			So(s.asked, ShouldEqual, b.asked)
			So(s.asked, ShouldEqual, a.asked)
			So(s.value(), ShouldBeGreaterThan, a.value())
			urgent := x.shared[2]
			answered := float64(urgent.inTime+urgent.late) / float64(urgent.asked)
			for _, k := range x.shared[:2] {
				// The kinds have different tails and time limits.
				So(answered, ShouldBeGreaterThan, float64(k.inTime+k.late)/float64(k.asked)-0.01)
			}
			if !p.missesGoal {
				So(x.inTimeShare(), ShouldBeGreaterThanOrEqualTo, orderGoal)
			}
		})
	}
}
