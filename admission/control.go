package admission

import (
	"slices"
	"time"
)

// estimator holds the mean service time and its mean deviation, as moving
// averages.
type estimator struct {
	meanSeconds, deviationSeconds float64
	samples                       int
}

// estimatorWeight is the weight of a new sample in the moving averages.
const estimatorWeight = 1.0 / 16

func newEstimator(initial time.Duration) estimator { return estimator{meanSeconds: initial.Seconds()} }

func (e *estimator) add(d time.Duration) {
	x := d.Seconds()
	if e.samples < 1/estimatorWeight {
		e.samples++
	}
	// The first samples weigh more, so that the initial value soon loses its effect.
	w := max(estimatorWeight, 1/float64(e.samples))
	diff := x - e.meanSeconds
	e.meanSeconds += w * diff
	if e.samples > 1 {
		e.deviationSeconds += w * (max(diff, -diff) - e.deviationSeconds)
	}
}

func (e *estimator) mean() time.Duration { return seconds(e.meanSeconds) }

// lowEstimate returns a service time within which a request of the given cost
// has a fair chance to complete: the mean less the deviation, and at least half
// of the mean.
func (e *estimator) lowEstimate(cost float64) time.Duration {
	return seconds(cost * max(e.meanSeconds-e.deviationSeconds, e.meanSeconds/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// windowSamples is the number of samples that are compared with the baseline
	// latency. With 16, noise alone makes the p99 at 2 slots 10% worse.
	windowSamples = 32
	// baselineWeight is the weight of a window in the baseline latency. It is
	// low, since the baseline must not follow an overload; a trial detects a
	// lasting change instead.
	baselineWeight = 1.0 / 64
	// growthStep divided by the limit is what each response adds to the limit
	// while the limit is fully used: from 1 to 2 takes about 10 responses.
	growthStep = 1.0 / 8
	// refusalFactor scales the limit after a refusal.
	refusalFactor = 0.7
	// minTrialThroughput is the fraction of the throughput that must remain for
	// a decrease of the limit to be kept.
	minTrialThroughput = 0.9
	// minGrowthPause and maxGrowthPause bound the number of responses without
	// growth after a decrease that was kept. The number doubles with each such
	// decrease, so that the limit does not return to a harmful value again and
	// again.
	minGrowthPause, maxGrowthPause = 32, 1024
)

// adaptiveLimit is the limit that follows latency and refusals.
//
// When both the mean and the median latency of a window exceed the tolerance,
// the limit is decreased on trial. With the mean alone, 1% of inherently slow
// requests cost 44% of the goodput at 6 slots; with the median alone, two kinds
// of requests in equal numbers cost 31%. If the throughput of the next window
// is lower, the latency does not come from concurrency: the previous limit is
// restored and the new latency becomes the baseline.
type adaptiveLimit struct {
	limit float64
	// baseline is the latency with which windows are compared, warmMedian the
	// median of a warm target in seconds, which a trial does not change. Both
	// are 0 before the first window; windowCount counts the windows in them.
	baseline    windowLatency
	warmMedian  float64
	windowCount int
	// window holds the latencies of sampleCount samples in seconds, inFlightSum
	// the sum of their numbers in flight. The next samplesToSkip samples are not
	// added to it.
	window                     [windowSamples]float64
	inFlightSum                float64
	sampleCount, samplesToSkip int
	trial                      trial
	// growthPause is the number of responses until the limit may grow again,
	// lastGrowthPause the number after the latest kept decrease.
	growthPause, lastGrowthPause int
	// recentLatencies is a ring of the latest latencies in seconds.
	recentLatencies []float64
	recentIndex     int
	recentFull      bool
	// decreasedAt is when a refusal last decreased the limit.
	decreasedAt time.Duration
}

// windowLatency describes a window, in seconds.
type windowLatency struct{ mean, median float64 }

// exceeds reports whether both values exceed those of baseline by a factor.
func (l windowLatency) exceeds(baseline windowLatency, factor float64) bool {
	return baseline.mean > 0 && l.mean > factor*baseline.mean && l.median > factor*baseline.median
}

// trial is a decrease that has not been confirmed. latency, limit and
// throughput are the values before it.
type trial struct {
	active            bool
	latency           windowLatency
	limit, throughput float64
}

func (a *adaptiveLimit) reset(slots, recentSize int) {
	*a = adaptiveLimit{limit: float64(slots), recentLatencies: make([]float64, recentSize)}
}

func (a *adaptiveLimit) value() int { return max(1, int(a.limit+1e-9)) }

// resize keeps the difference from the number of slots when that changes.
func (a *adaptiveLimit) resize(oldSlots, slots int) {
	a.limit = max(1, min(a.limit+float64(slots-oldSlots), float64(slots)))
	a.trial.active = false
}

// latencyJumped reports whether all recent latencies exceed the warm median by
// the cold factor.
func (a *adaptiveLimit) latencyJumped(factor float64) bool {
	if !a.recentFull || a.warmMedian == 0 {
		return false
	}
	for _, x := range a.recentLatencies {
		if x <= factor*a.warmMedian {
			return false
		}
	}
	return true
}

// resetSamples discards the samples and reverts a trial when a cold start begins.
// The ramp limits the cold target instead.
func (a *adaptiveLimit) resetSamples() {
	a.recentIndex, a.recentFull = 0, false
	a.inFlightSum, a.sampleCount, a.samplesToSkip = 0, 0, 0
	if a.trial.active {
		a.limit = a.trial.limit
		a.trial.active = false
	}
}

// addSample adds the latency of a response. inFlight includes the completed
// request.
func (a *adaptiveLimit) addSample(elapsed time.Duration, inFlight, slots int, cold bool, tolerance float64) {
	x := elapsed.Seconds()
	a.recentLatencies[a.recentIndex] = x
	if a.recentIndex++; a.recentIndex == len(a.recentLatencies) {
		a.recentIndex, a.recentFull = 0, true
	}
	if cold {
		return
	}
	a.grow(inFlight, slots)
	if a.samplesToSkip > 0 {
		a.samplesToSkip--
		return
	}
	a.window[a.sampleCount] = x
	a.inFlightSum += float64(inFlight)
	if a.sampleCount++; a.sampleCount >= windowSamples {
		a.evaluateWindow(slots, tolerance)
	}
}

// grow raises the limit while it is fully used.
func (a *adaptiveLimit) grow(inFlight, slots int) {
	switch {
	case a.growthPause > 0:
		a.growthPause--
	case !a.trial.active && inFlight >= a.value():
		a.limit = min(float64(slots), a.limit+growthStep/a.limit)
	}
}

// evaluateWindow adjusts the limit or the baseline by a full window.
func (a *adaptiveLimit) evaluateWindow(slots int, tolerance float64) {
	slices.Sort(a.window[:])
	current := windowLatency{median: a.window[windowSamples/2]}
	for _, x := range a.window {
		current.mean += x / windowSamples
	}
	throughput := a.inFlightSum / windowSamples / max(current.mean, 1e-9) // Little's law
	a.inFlightSum, a.sampleCount = 0, 0
	switch {
	case a.trial.active:
		a.endTrial(throughput, slots)
	case a.value() > 1 && current.exceeds(a.baseline, tolerance):
		a.trial = trial{active: true, limit: a.limit, latency: current, throughput: throughput}
		factor := max(0.5, tolerance*a.baseline.mean/current.mean)
		a.limit = max(1, min(a.limit*factor, float64(a.value()-1)))
		// Requests in flight started under the previous limit.
		a.samplesToSkip = slots
	default:
		a.updateBaseline(current)
		if a.value() >= slots {
			a.lastGrowthPause /= 2
		}
	}
}

// endTrial ends a trial: it reverts a decrease that cost throughput.
func (a *adaptiveLimit) endTrial(throughput float64, slots int) {
	a.trial.active = false
	if throughput < minTrialThroughput*a.trial.throughput {
		a.limit = min(a.trial.limit, float64(slots))
		a.baseline.mean = max(a.baseline.mean, a.trial.latency.mean)
		a.baseline.median = max(a.baseline.median, a.trial.latency.median)
		return
	}
	a.lastGrowthPause = min(max(2*a.lastGrowthPause, minGrowthPause), maxGrowthPause)
	a.growthPause = a.lastGrowthPause
}

// updateBaseline moves the baseline latencies towards those of a window, down
// faster than up.
func (a *adaptiveLimit) updateBaseline(window windowLatency) {
	a.windowCount++
	weight := max(baselineWeight, 1/float64(a.windowCount))
	decreaseWeight := max(weight, 0.25)
	update := func(p *float64, x float64) {
		switch {
		case *p == 0:
			*p = x
		case x < *p/2:
			*p += decreaseWeight * (x - *p)
		default:
			*p += weight * (min(x, 2**p) - *p)
		}
	}
	update(&a.baseline.mean, window.mean)
	update(&a.baseline.median, window.median)
	update(&a.warmMedian, window.median)
}

// onRefusal decreases the limit after a refusal, at most once per service time:
// the refusals of one burst have one cause. It reports whether it did.
func (a *adaptiveLimit) onRefusal(now time.Duration, inFlight int, service time.Duration) bool {
	if a.decreasedAt > 0 && now < a.decreasedAt+service {
		return false
	}
	a.decreasedAt = now
	a.trial.active = false
	a.limit = max(1, min(a.limit, float64(inFlight))*refusalFactor)
	return true
}

// refusalPause stops dispatch for a time, so that the queue is not wasted on a
// target that refuses even single requests.
type refusalPause struct {
	until, length time.Duration
}

func (p *refusalPause) extend(now, service, maxLength time.Duration) {
	p.length = min(max(2*p.length, service), maxLength)
	p.until = now + p.length
}

// coldRamp limits a cold target by the work done since the target was last
// known to be cold.
type coldRamp struct {
	workDone time.Duration
	finished bool
	report   Report
	// coldSuspected is set when reports have indicated a cold target, without a
	// restart, since the last ramp began.
	coldSuspected bool
}

func (r *coldRamp) restart() { r.workDone, r.finished, r.coldSuspected = 0, false, false }
func (r *coldRamp) finish()  { r.finished = true }

func (r *coldRamp) limit(l Limits) int {
	if r.complete(l) {
		return l.Slots
	}
	return l.ColdSlots + int(float64(l.Slots-l.ColdSlots)*float64(r.workDone)/float64(l.Ramp))
}

func (r *coldRamp) complete(l Limits) bool { return r.finished || r.workDone >= l.Ramp }

// minRampResponses is the minimum number of responses in a ramp. It bounds the
// work that one very late response adds, for example after a freeze.
const minRampResponses = 32

// addWork adds the work of a response: its latency divided by the limit, so
// that full use of the limit advances the ramp by one second per second. It
// reports whether the target was still cold.
func (r *coldRamp) addWork(latency time.Duration, limit int, l Limits) (cold bool) {
	if r.complete(l) {
		return false
	}
	r.workDone += min(latency/time.Duration(limit), l.Ramp/minRampResponses+1)
	return true
}

// onRefusal halves the work done.
func (r *coldRamp) onRefusal() { r.workDone /= 2 }

// observe takes a report and reports whether the target has restarted.
func (r *coldRamp) observe(report Report) (restarted bool) {
	previous := r.report
	r.report = report
	if report.Incarnation == "" {
		r.report.Incarnation = previous.Incarnation
	}
	if report.Capacity == 0 {
		r.report.Capacity = previous.Capacity
	}
	if previous.Incarnation != "" && report.Incarnation != "" && report.Incarnation != previous.Incarnation {
		return true
	}
	switch {
	case report.Cold && !previous.Cold || report.Capacity > 0 && report.Capacity < previous.Capacity:
		r.coldSuspected = true
	case !report.Cold && report.Capacity > previous.Capacity:
		r.coldSuspected = false
	}
	return false
}

// turnedCold reports whether latency and reports together show that a warm
// target has turned cold. A report alone may be wrong, and latency alone can
// have other causes.
func (r *coldRamp) turnedCold(latencyJumped bool, l Limits) bool {
	return latencyJumped && r.coldSuspected && l.Ramp > 0
}

// formerHomeRequests counts the former home's requests that the target may
// still run.
type formerHomeRequests struct {
	count int
	// expiresAt is when all of them count as ended. Until increaseUntil a report
	// may still increase the count.
	expiresAt, increaseUntil time.Duration
}

func (f *formerHomeRequests) reset(n int, expiresAt, increaseUntil time.Duration) {
	f.count, f.expiresAt, f.increaseUntil = max(0, n), expiresAt, increaseUntil
}

// observe takes a report of total requests in flight, of which at least minOwn
// and at most maxOwn are this home's.
func (f *formerHomeRequests) observe(now time.Duration, total, minOwn, maxOwn, slots int) {
	f.count = min(f.count, max(0, total-minOwn))
	if now < f.increaseUntil {
		f.count = max(f.count, min(total-maxOwn, slots))
	}
}

func (f *formerHomeRequests) expire(now time.Duration) {
	if f.count > 0 && now >= f.expiresAt {
		f.count = 0
	}
}

// peak is the highest value of the last one to two periods.
type peak struct {
	current, previous int
	rotateAt          time.Duration
}

func (p *peak) add(now time.Duration, n int, period time.Duration) {
	if now >= p.rotateAt {
		p.previous, p.current = p.current, n
		if now >= p.rotateAt+period {
			p.previous = n
		}
		p.rotateAt = now + period
	}
	p.current = max(p.current, n)
}

func (p *peak) value() int { return max(p.current, p.previous) }
