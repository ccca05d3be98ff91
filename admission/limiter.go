package admission

import (
	"math"
	"time"
)

// Limiter admits requests to one target. It is not safe for concurrent use.
type Limiter struct {
	cfg      Config
	limits   Limits
	running  map[uint64]running
	queue    queue
	service  estimator
	adaptive adaptive
	ramp     ramp
	foreign  foreign
	// own is the highest number in flight over the age of a report.
	own   peak
	pause pause
	// reviewed is when the queue was last reviewed, stalled the time in
	// seconds for which no slot has become free, 0 when it is usual.
	reviewed time.Duration
	stalled  float64
	draining bool
	out      []Notice
	stats    Stats
}

// running is a request that was sent to the target.
type running struct {
	flow    *flow
	started time.Duration
	charged float64
}

// New returns the limiter of a target whose home this host becomes at now. It
// fails with *ConfigError.
func New(cfg Config, limits Limits, now time.Duration, start InitialState) (*Limiter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	limits, err := limits.normalize()
	if err != nil {
		return nil, err
	}
	l := &Limiter{
		cfg: cfg, limits: limits,
		running: make(map[uint64]running, limits.Slots),
		queue:   newQueue(),
		service: newEstimator(cfg.InitialServiceTime),
	}
	l.queue.setService(l.service.avg)
	l.adaptive.reset(limits.Slots, cfg.ColdSamples)
	l.ramp.report = start.Report
	if !start.Warm {
		l.ramp.restart()
		l.stats.ColdStarts++
	} else {
		l.ramp.finish()
	}
	if start.InFlight < 0 {
		start.InFlight = limits.Slots
	}
	l.foreign.start(start.InFlight, now+cfg.FormerHomeTTL, now+2*cfg.ReportLag)
	return l, nil
}

// Arrive decides on a new request. The notices concern other requests, which
// the arrival displaced from the queue.
func (l *Limiter) Arrive(now time.Duration, r Request) (Decision, []Notice) {
	l.out = l.out[:0]
	if !(r.Weight > 0) {
		r.Weight = 1
	}
	if !(r.Cost > 0) {
		r.Cost = 1
	}
	if d := l.precheck(now, r); d.Verdict == Shed {
		return d, nil
	}
	f := l.queue.flow(r.Customer, r.Weight)
	if l.queue.length == 0 && l.free(now) > 0 {
		if l.total() > 0 && now+l.service.likely(r.Cost) > r.Deadline {
			return l.shed(ReasonDeadline, l.cfg.MinRetryAfter), nil
		}
		f.intervalEnd, f.retryAt = 0, 0
		l.start(now, f, r.ID, r.Cost)
		return Decision{Verdict: Run}, nil
	}
	d := l.enqueue(now, f, r)
	l.dispatch(now)
	return l.settle(r.ID, d)
}

// precheck refuses requests that must not enter the queue at all.
func (l *Limiter) precheck(now time.Duration, r Request) Decision {
	if l.draining {
		return l.shed(ReasonDraining, l.cfg.MinRetryAfter)
	}
	if r.Deadline <= now {
		return l.shed(ReasonDeadline, l.cfg.MinRetryAfter)
	}
	if _, ok := l.running[r.ID]; ok || l.queue.has(r.ID) {
		return l.shed(ReasonDuplicate, l.cfg.MinRetryAfter)
	}
	return Decision{}
}

// settle takes the arrival's own notice, if any, out of the notices.
func (l *Limiter) settle(id uint64, d Decision) (Decision, []Notice) {
	for i, n := range l.out {
		if n.ID == id {
			l.out = append(l.out[:i], l.out[i+1:]...)
			return n.Decision, l.out
		}
	}
	return d, l.out
}

// Done ends a request that ran and returns the waiting requests to start or
// shed.
func (l *Limiter) Done(now time.Duration, id uint64, s Sample) []Notice {
	l.out = l.out[:0]
	r, ok := l.running[id]
	if !ok {
		l.stats.UnknownIDs++
		return nil
	}
	delete(l.running, id)
	l.stats.Completed++
	l.queue.settle(r, s)
	if len(l.running) == 0 && l.queue.length == 0 {
		l.queue.idle()
	}
	l.learn(now, s)
	l.dispatch(now)
	return l.out
}

// learn feeds a sample to the estimates. The request has left running.
func (l *Limiter) learn(now time.Duration, s Sample) {
	switch s.Outcome {
	case OutcomeOK:
		limit := l.Limit()
		inFlight := l.total() + 1
		l.pause = pause{}
		l.service.add(s.Latency)
		l.queue.setService(l.service.avg)
		cold := l.ramp.progress(s.Latency, limit, l.limits)
		l.adaptive.sample(s.Latency, inFlight, l.limits.Slots, cold, l.cfg.LatencyTolerance)
		if !cold && l.ramp.turnedCold(l.adaptive.jumped(l.cfg.ColdFactor), l.limits) {
			l.coldStart()
			l.review(now)
		}
	case OutcomeShed:
		l.stats.Refused++
		lowest := l.adaptive.value() == 1
		if l.adaptive.refused(now, l.total()+1, l.service.mean()) && lowest {
			l.pause.extend(now, l.service.mean(), l.cfg.MaxPause)
		}
		l.ramp.refused()
	}
}

func (l *Limiter) coldStart() {
	l.ramp.restart()
	l.adaptive.forgetRecent()
	l.stats.ColdStarts++
}

// Cancel takes a waiting request out of the queue. It reports whether the
// request waited; one that runs is ended with Done.
func (l *Limiter) Cancel(now time.Duration, id uint64) bool {
	if !l.queue.remove(id) {
		l.stats.UnknownIDs++
		return false
	}
	l.stats.Cancelled++
	return true
}

// Expire sheds waiting requests that can no longer meet their deadlines and
// starts those for which there is room. The caller calls it at NextExpiry and
// whenever the home has not heard of the target for some time.
func (l *Limiter) Expire(now time.Duration) []Notice {
	l.out = l.out[:0]
	l.review(now)
	l.dispatch(now)
	return l.out
}

// NextExpiry returns the time at which Expire has something to do, or false
// when nothing waits.
func (l *Limiter) NextExpiry() (time.Duration, bool) {
	if l.queue.length == 0 {
		return 0, false
	}
	at := time.Duration(math.MaxInt64)
	for _, f := range l.queue.active {
		for _, w := range f.waiters {
			at = min(at, w.deadline-l.service.likely(w.cost))
		}
	}
	at = min(at, l.reviewed+l.cfg.ReviewInterval)
	if l.foreign.count > 0 {
		at = min(at, l.foreign.until)
	}
	if l.pause.length > 0 {
		at = min(at, max(l.pause.until, l.reviewed+time.Microsecond))
	}
	return at, true
}

// Drain sheds all waiting requests with ReasonDraining and refuses new ones.
// Requests in flight are ended with Done as before.
func (l *Limiter) Drain(now time.Duration) []Notice {
	l.out = l.out[:0]
	l.draining = true
	l.queue.each(func(f *flow, w waiter) bool {
		l.notify(w.id, l.shed(ReasonDraining, l.cfg.MinRetryAfter))
		return false
	})
	return l.out
}

// SetLimits changes the configured limits. It fails with *ConfigError and
// then changes nothing. Requests in flight above a lower limit are not ended.
func (l *Limiter) SetLimits(now time.Duration, limits Limits) ([]Notice, error) {
	limits, err := limits.normalize()
	if err != nil {
		return nil, err
	}
	l.out = l.out[:0]
	l.adaptive.resize(l.limits.Slots, limits.Slots)
	l.limits = limits
	l.review(now)
	l.dispatch(now)
	return l.out, nil
}

// Observe takes a report of the target into account: it may begin a cold ramp,
// and it ends the count of the former home's requests.
func (l *Limiter) Observe(now time.Duration, r Report) []Notice {
	l.out = l.out[:0]
	if l.foreign.count > 0 || now < l.foreign.raise {
		l.observeForeign(now, r.InFlight)
	}
	restarted := l.ramp.observe(r)
	cold := !l.ramp.complete(l.limits)
	if restarted || !cold && l.ramp.turnedCold(l.adaptive.jumped(l.cfg.ColdFactor), l.limits) {
		l.coldStart()
		l.review(now)
	}
	l.dispatch(now)
	return l.out
}

// observeForeign corrects the count of the former home's requests. Own
// requests that have run for longer than the age of the report are part of it;
// those that ran within that age may be.
func (l *Limiter) observeForeign(now time.Duration, inFlight int) {
	old := 0
	for _, q := range l.running {
		if q.started+l.cfg.ReportLag <= now {
			old++
		}
	}
	l.own.add(now, len(l.running), l.cfg.ReportLag)
	l.foreign.observe(now, inFlight, old, l.own.value(), l.limits.Slots)
}

// Limit returns the concurrency limit in force, 1 to Slots.
func (l *Limiter) Limit() int {
	return max(1, min(l.limits.Slots, l.adaptive.value(), l.ramp.limit(l.limits)))
}

// Stats returns a picture of the limiter at now.
func (l *Limiter) Stats(now time.Duration) Stats {
	s := l.stats
	s.Limit, s.Slots = l.Limit(), l.limits.Slots
	s.Adaptive, s.Ramp = l.adaptive.value(), l.ramp.limit(l.limits)
	s.InFlight, s.FormerHomeInFlight, s.Queued = len(l.running), l.foreign.count, l.queue.length
	s.MeanServiceTime = l.service.mean()
	s.EstimatedWait = l.freeWait(now)
	s.Cold = s.Ramp < s.Slots
	s.Draining = l.draining
	return s
}

func (l *Limiter) total() int { return len(l.running) + l.foreign.count }

// free returns the number of requests that may start now.
func (l *Limiter) free(now time.Duration) int {
	l.foreign.expire(now)
	if now < l.pause.until {
		return 0
	}
	return l.Limit() - l.total()
}

func (l *Limiter) start(now time.Duration, f *flow, id uint64, cost float64) {
	charged := cost * l.service.mean().Seconds()
	l.queue.charge(f, charged)
	l.running[id] = running{flow: f, started: now, charged: charged}
	l.own.add(now, len(l.running), l.cfg.ReportLag)
	l.stats.Started++
}

func (l *Limiter) shed(reason Reason, after time.Duration) Decision {
	l.stats.ShedTotal++
	after = min(max(after, l.cfg.MinRetryAfter), l.cfg.MaxRetryAfter)
	return Decision{Verdict: Shed, Reason: reason, RetryAfter: after}
}

func (l *Limiter) notify(id uint64, d Decision) {
	l.out = append(l.out, Notice{ID: id, Decision: d})
}
