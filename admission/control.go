package admission

import (
	"slices"
	"time"
)

// estimator holds the mean service time and its mean deviation, as moving
// averages.
type estimator struct {
	avg, dev float64 // seconds
	samples  int
}

// estimatorWeight is the weight of a new sample in the moving averages.
const estimatorWeight = 1.0 / 16

func newEstimator(initial time.Duration) estimator { return estimator{avg: initial.Seconds()} }

func (e *estimator) add(d time.Duration) {
	x := d.Seconds()
	if e.samples < 1/estimatorWeight {
		e.samples++
	}
	// The first samples weigh more, so that the initial value is soon forgotten.
	w := max(estimatorWeight, 1/float64(e.samples))
	diff := x - e.avg
	e.avg += w * diff
	if e.samples > 1 {
		e.dev += w * (max(diff, -diff) - e.dev)
	}
}

func (e *estimator) mean() time.Duration { return seconds(e.avg) }

// likely returns the service time that a request of the given cost has a fair
// chance to need: the mean less the deviation, and at least half of the mean.
func (e *estimator) likely(cost float64) time.Duration {
	return seconds(cost * max(e.avg-e.dev, e.avg/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// windowSamples is the number of samples that are compared with the usual
	// latency: with 16, noise alone made a p99 at 2 slots 10% worse.
	windowSamples = 32
	// usualWeight is the weight of a window in the usual latency. It is low,
	// since the usual latency must not follow an overload; a lasting change is
	// recognized by a trial instead.
	usualWeight = 1.0 / 64
	// growth is the number of slots, divided by the limit, that each answer
	// under full use adds: from 1 to 2 takes about 10 answers.
	growth = 1.0 / 8
	// refusalFactor scales the limit after a refusal.
	refusalFactor = 0.7
	// trialLoss is the part of the throughput that must remain for a decrease
	// of the limit to be kept.
	trialLoss = 0.9
	// minHold and maxHold bound the number of answers without growth after a
	// decrease that helped; it doubles with each one, so that the limit does
	// not return to a harmful value all the time.
	minHold, maxHold = 32, 1024
)

// adaptive is the limit that follows latency and refusals.
//
// When both mean and median latency of a window are above the tolerance, the
// limit is decreased on trial. With the mean alone, 1% of requests that are slow
// by themselves took 44% of the goodput at 6 slots; with the median alone, two
// kinds of requests in equal numbers took 31%. If the throughput of the next window is lower, the
// latency does not come from concurrency: the former limit is restored and the
// new latency becomes the usual one.
type adaptive struct {
	limit float64
	// usual is the latency with which windows are compared, warm the median of
	// a warm target in seconds, which a trial does not change. Both are 0
	// before the first window; windows counts those in them.
	usual   latency
	warm    float64
	windows int
	// window holds the latencies of count samples, load adds up their numbers
	// in flight; skip samples are left out before it.
	window      [windowSamples]float64
	load        float64
	count, skip int
	trial       trial
	// hold is the number of answers until the limit may grow again, lastHold
	// the number after the latest decrease.
	hold, lastHold int
	// recent is a ring of the latest latencies in seconds.
	recent  []float64
	next    int
	filled  bool
	changed time.Duration
}

// latency describes a window, in seconds.
type latency struct{ mean, median float64 }

// above reports whether both values are above those of usual by a factor.
func (l latency) above(usual latency, factor float64) bool {
	return usual.mean > 0 && l.mean > factor*usual.mean && l.median > factor*usual.median
}

// trial is a decrease that has not been confirmed.
type trial struct {
	active        bool
	latency       latency
	limit, thrput float64
}

func (a *adaptive) reset(slots, recent int) {
	*a = adaptive{limit: float64(slots), recent: make([]float64, recent)}
}

func (a *adaptive) value() int { return max(1, int(a.limit+1e-9)) }

// resize keeps the distance from the slots when these change.
func (a *adaptive) resize(old, slots int) {
	a.limit = max(1, min(a.limit+float64(slots-old), float64(slots)))
	a.trial.active = false
}

// jumped reports whether all recent latencies are above the warm one by the
// cold factor.
func (a *adaptive) jumped(factor float64) bool {
	if !a.filled || a.warm == 0 {
		return false
	}
	for _, x := range a.recent {
		if x <= factor*a.warm {
			return false
		}
	}
	return true
}

// forgetRecent begins a new window and ends a trial, when the target starts
// cold. The cold target is limited by the ramp instead.
func (a *adaptive) forgetRecent() {
	a.next, a.filled = 0, false
	a.load, a.count, a.skip = 0, 0, 0
	if a.trial.active {
		a.limit = a.trial.limit
		a.trial.active = false
	}
}

// sample adds an answer's latency. inFlight includes the answered request.
func (a *adaptive) sample(took time.Duration, inFlight, slots int, cold bool, tolerance float64) {
	x := took.Seconds()
	a.recent[a.next] = x
	if a.next++; a.next == len(a.recent) {
		a.next, a.filled = 0, true
	}
	if cold {
		return
	}
	a.grow(inFlight, slots)
	if a.skip > 0 {
		a.skip--
		return
	}
	a.window[a.count] = x
	a.load += float64(inFlight)
	if a.count++; a.count >= windowSamples {
		a.evaluate(slots, tolerance)
	}
}

// grow raises the limit under full use.
func (a *adaptive) grow(inFlight, slots int) {
	switch {
	case a.hold > 0:
		a.hold--
	case !a.trial.active && inFlight >= a.value():
		a.limit = min(float64(slots), a.limit+growth/a.limit)
	}
}

// evaluate takes a full window into account.
func (a *adaptive) evaluate(slots int, tolerance float64) {
	slices.Sort(a.window[:])
	now := latency{median: a.window[windowSamples/2]}
	for _, x := range a.window {
		now.mean += x / windowSamples
	}
	thrput := a.load / windowSamples / max(now.mean, 1e-9) // Little's law
	a.load, a.count = 0, 0
	switch {
	case a.trial.active:
		a.judge(thrput, slots)
	case a.value() > 1 && now.above(a.usual, tolerance):
		a.trial = trial{active: true, limit: a.limit, latency: now, thrput: thrput}
		factor := max(0.5, tolerance*a.usual.mean/now.mean)
		a.limit = max(1, min(a.limit*factor, float64(a.value()-1)))
		// Requests in flight started under the former limit.
		a.skip = slots
	default:
		a.follow(now)
		if a.value() >= slots {
			a.lastHold /= 2
		}
	}
}

// judge ends a trial: a decrease that cost throughput is taken back.
func (a *adaptive) judge(thrput float64, slots int) {
	a.trial.active = false
	if thrput < trialLoss*a.trial.thrput {
		a.limit = min(a.trial.limit, float64(slots))
		a.usual.mean = max(a.usual.mean, a.trial.latency.mean)
		a.usual.median = max(a.usual.median, a.trial.latency.median)
		return
	}
	a.lastHold = min(max(2*a.lastHold, minHold), maxHold)
	a.hold = a.lastHold
}

// follow moves the usual latencies to those of a window, down faster than up.
func (a *adaptive) follow(now latency) {
	a.windows++
	w := max(usualWeight, 1/float64(a.windows))
	down := max(w, 0.25)
	move := func(p *float64, x float64) {
		switch {
		case *p == 0:
			*p = x
		case x < *p/2:
			*p += down * (x - *p)
		default:
			*p += w * (min(x, 2**p) - *p)
		}
	}
	move(&a.usual.mean, now.mean)
	move(&a.usual.median, now.median)
	move(&a.warm, now.median)
}

// refused decreases the limit after a refusal, once in a service time: the
// refusals of one burst have one cause. It reports whether it did.
func (a *adaptive) refused(now time.Duration, inFlight int, service time.Duration) bool {
	if a.changed > 0 && now < a.changed+service {
		return false
	}
	a.changed = now
	a.trial.active = false
	a.limit = max(1, min(a.limit, float64(inFlight))*refusalFactor)
	return true
}

// pause keeps the queue from being spent on a target that refuses even single
// requests.
type pause struct {
	until, length time.Duration
}

func (p *pause) extend(now, service, limit time.Duration) {
	p.length = min(max(2*p.length, service), limit)
	p.until = now + p.length
}

// ramp is the cold ramp: work done since the target was last known cold.
type ramp struct {
	done   time.Duration
	warm   bool
	report Report
	// suspected says that the reports gave a sign of coldness, without a
	// restart, since the last ramp began.
	suspected bool
}

func (r *ramp) restart() { r.done, r.warm, r.suspected = 0, false, false }
func (r *ramp) finish()  { r.warm = true }

func (r *ramp) limit(l Limits) int {
	if r.complete(l) {
		return l.Slots
	}
	return l.ColdSlots + int(float64(l.Slots-l.ColdSlots)*float64(r.done)/float64(l.Ramp))
}

func (r *ramp) complete(l Limits) bool { return r.warm || r.done >= l.Ramp }

// rampSteps is the least number of answers in a ramp. It bounds what one
// answer that came very late, for example after a freeze, adds as work.
const rampSteps = 32

// progress adds the work of an answer: its latency divided by the limit, so
// that full use of the limit advances the ramp by one second a second. It
// reports whether the target was still cold.
func (r *ramp) progress(latency time.Duration, limit int, l Limits) (cold bool) {
	if r.complete(l) {
		return false
	}
	r.done += min(latency/time.Duration(limit), l.Ramp/rampSteps+1)
	return true
}

// refused takes half of the progress back.
func (r *ramp) refused() { r.done /= 2 }

// observe takes a report and reports whether the target has restarted.
func (r *ramp) observe(n Report) (restarted bool) {
	old := r.report
	r.report = n
	if n.Incarnation == "" {
		r.report.Incarnation = old.Incarnation
	}
	if n.Capacity == 0 {
		r.report.Capacity = old.Capacity
	}
	if old.Incarnation != "" && n.Incarnation != "" && n.Incarnation != old.Incarnation {
		return true
	}
	switch {
	case n.Cold && !old.Cold || n.Capacity > 0 && n.Capacity < old.Capacity:
		r.suspected = true
	case !n.Cold && n.Capacity > old.Capacity:
		r.suspected = false
	}
	return false
}

// turnedCold reports whether latency and reports together show that a warm
// target has turned cold. A report alone may mislead, and latency alone has
// other causes.
func (r *ramp) turnedCold(jumped bool, l Limits) bool {
	return jumped && r.suspected && l.Ramp > 0
}

// foreign counts the former home's requests that the target may still run.
type foreign struct {
	count int
	// until is when they have ended by all means, raise until when a report
	// may still add to them.
	until, raise time.Duration
}

func (f *foreign) start(n int, until, raise time.Duration) {
	f.count, f.until, f.raise = max(0, n), until, raise
}

// observe takes a report of total requests in flight, of which at least
// ownLeast and at most ownMost are this home's.
func (f *foreign) observe(now time.Duration, total, ownLeast, ownMost, slots int) {
	f.count = min(f.count, max(0, total-ownLeast))
	if now < f.raise {
		f.count = max(f.count, min(total-ownMost, slots))
	}
}

func (f *foreign) expire(now time.Duration) {
	if f.count > 0 && now >= f.until {
		f.count = 0
	}
}

// peak is the highest value over between one and two periods.
type peak struct {
	current, last int
	rotate        time.Duration
}

func (p *peak) add(now time.Duration, n int, period time.Duration) {
	if now >= p.rotate {
		p.last, p.current = p.current, n
		if now >= p.rotate+period {
			p.last = n
		}
		p.rotate = now + period
	}
	p.current = max(p.current, n)
}

func (p *peak) value() int { return max(p.current, p.last) }
