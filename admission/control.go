package admission

import "time"

// estimator holds the mean service time and its mean deviation, as moving
// averages with weight 1/16 for a sample.
type estimator struct {
	avg, dev float64 // seconds
	samples  int
}

const estimatorWeight = 1.0 / 16

func newEstimator(initial time.Duration) estimator { return estimator{avg: initial.Seconds()} }

func (e *estimator) add(d time.Duration) {
	x := d.Seconds()
	e.samples++
	// The first samples weigh more, so that the initial value is soon forgotten.
	w := max(estimatorWeight, 1/float64(e.samples))
	diff := x - e.avg
	e.avg += w * diff
	if diff < 0 {
		diff = -diff
	}
	if e.samples > 1 {
		e.dev += w * (diff - e.dev)
	}
}

func (e *estimator) mean() time.Duration { return seconds(e.avg) }

// likely returns the service time that a request of the given cost has a fair
// chance to need: the mean less the deviation, and at least half of the mean.
func (e *estimator) likely(cost float64) time.Duration {
	return seconds(cost * max(e.avg-e.dev, e.avg/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// adaptive is the limit that follows latency and refusals.
type adaptive struct {
	limit float64
	// recent holds the latest latencies in seconds.
	recent  []float64
	changed time.Duration
}

func (a *adaptive) reset(slots int) { a.limit = float64(slots) }
func (a *adaptive) value() int      { return max(1, int(a.limit+1e-9)) }
func (a *adaptive) forgetRecent()   { a.recent = a.recent[:0] }
func (a *adaptive) resize(old, slots int) {
	a.limit = max(1, min(a.limit+float64(slots-old), float64(slots)))
}
func (a *adaptive) jumped(cfg Config) bool { return false }

func (a *adaptive) sample(now, latency time.Duration, inFlight, slots int, cold bool, cfg Config) {
	a.limit = min(float64(slots), a.limit+1/(a.limit*4))
}

func (a *adaptive) refused(now time.Duration, inFlight int, service time.Duration) {
	if now < a.changed+service {
		return
	}
	a.changed = now
	a.limit = max(1, min(a.limit, float64(inFlight))*0.7)
}

// ramp is the cold ramp: work done since the target was last known cold.
type ramp struct {
	done   time.Duration
	warm   bool
	report Report
}

func (r *ramp) restart() { r.done, r.warm = 0, false }
func (r *ramp) finish()  { r.warm = true }

func (r *ramp) limit(l Limits) int {
	if r.warm || l.Ramp == 0 || r.done >= l.Ramp {
		return l.Slots
	}
	return l.ColdSlots + int(float64(l.Slots-l.ColdSlots)*float64(r.done)/float64(l.Ramp))
}

func (r *ramp) progress(latency time.Duration, limit int, l Limits) (cold bool) {
	if r.limit(l) >= l.Slots {
		return false
	}
	r.done += latency / time.Duration(limit)
	return true
}

func (r *ramp) refused()                 { r.done /= 2 }
func (r *ramp) suspect(jumped bool) bool { return false }

func (r *ramp) observe(n Report, l Limits, jumped bool) bool {
	restarted := n.Incarnation != "" && r.report.Incarnation != "" && n.Incarnation != r.report.Incarnation
	r.report = n
	return restarted
}

// foreign counts the former home's requests that the target may still run.
type foreign struct {
	count int
	until time.Duration
}

func (f *foreign) start(n int, until time.Duration) { f.count, f.until = max(0, n), until }
func (f *foreign) observe(n int)                    { f.count = min(f.count, max(0, n)) }

func (f *foreign) expire(now time.Duration) {
	if f.count > 0 && now >= f.until {
		f.count = 0
	}
}
