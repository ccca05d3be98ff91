package admission

import (
	"math"
	"time"
)

// Limiter admits requests to one target. It is not safe for concurrent use.
type Limiter struct {
	cfg         Config
	limits      Limits
	running     map[uint64]runningRequest
	queue       queue
	serviceTime estimator
	adaptive    adaptiveLimit
	ramp        coldRamp
	formerHome  formerHomeRequests
	// ownPeak is the highest number in flight over the maximum age of a report.
	ownPeak peak
	pause   refusalPause
	// reviewedAt is when the queue was last reviewed, stallSeconds the time for
	// which no slot has become free, 0 while it is below stallFactor mean
	// service times.
	reviewedAt   time.Duration
	stallSeconds float64
	draining     bool
	notices      []Notice
	stats        Stats
}

// runningRequest is a request that was sent to the target.
type runningRequest struct {
	flow           *flow
	started        time.Duration
	chargedSeconds float64
}

// New returns the limiter of a target for which this host becomes the home at
// now. It fails with *ConfigError.
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
		running:     make(map[uint64]runningRequest, limits.Slots),
		queue:       newQueue(),
		serviceTime: newEstimator(cfg.InitialServiceTime),
	}
	l.queue.setMeanServiceTime(l.serviceTime.meanSeconds)
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
	l.formerHome.reset(start.InFlight, now+cfg.FormerHomeTTL, now+2*cfg.ReportLag)
	return l, nil
}

// Arrive decides on a new request. The notices concern other requests, which
// the arrival evicts from the queue or which leave it at now.
func (l *Limiter) Arrive(now time.Duration, r Request) (Decision, []Notice) {
	l.notices = l.notices[:0]
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
	if l.queue.length == 0 && l.freeSlots(now) > 0 {
		if l.totalInFlight() > 0 && now+l.serviceTime.lowEstimate(r.Cost) > r.Deadline {
			return l.shed(ReasonDeadline, l.cfg.MinRetryAfter), nil
		}
		f.intervalEnd, f.retryAt = 0, 0
		l.startRequest(now, f, r.ID, r.Cost)
		return Decision{Verdict: Run}, nil
	}
	d := l.enqueue(now, f, r)
	l.dispatch(now)
	return l.takeOwnNotice(r.ID, d)
}

// precheck sheds requests that must neither run nor enter the queue.
func (l *Limiter) precheck(now time.Duration, r Request) Decision {
	if l.draining {
		return l.shed(ReasonDraining, l.cfg.MinRetryAfter)
	}
	if r.Deadline <= now {
		return l.shed(ReasonDeadline, l.cfg.MinRetryAfter)
	}
	if _, ok := l.running[r.ID]; ok || l.queue.contains(r.ID) {
		return l.shed(ReasonDuplicate, l.cfg.MinRetryAfter)
	}
	return Decision{}
}

// takeOwnNotice removes the arrival's own notice, if any, from the notices and
// returns its decision; otherwise it returns d.
func (l *Limiter) takeOwnNotice(id uint64, d Decision) (Decision, []Notice) {
	for i, n := range l.notices {
		if n.ID == id {
			l.notices = append(l.notices[:i], l.notices[i+1:]...)
			return n.Decision, l.notices
		}
	}
	return d, l.notices
}

// Done ends a request that ran and returns the waiting requests to start or
// shed.
func (l *Limiter) Done(now time.Duration, id uint64, s Sample) []Notice {
	l.notices = l.notices[:0]
	r, ok := l.running[id]
	if !ok {
		l.stats.UnknownIDs++
		return nil
	}
	delete(l.running, id)
	l.stats.Completed++
	l.queue.correctCharge(r, s)
	if len(l.running) == 0 && l.queue.length == 0 {
		l.queue.advanceVirtualTime()
	}
	l.recordSample(now, s)
	l.dispatch(now)
	return l.notices
}

// recordSample updates the estimates and limits with a sample. The request is
// no longer in running.
func (l *Limiter) recordSample(now time.Duration, s Sample) {
	switch s.Outcome {
	case OutcomeOK:
		limit := l.Limit()
		inFlight := l.totalInFlight() + 1
		l.pause = refusalPause{}
		l.serviceTime.add(s.Latency)
		l.queue.setMeanServiceTime(l.serviceTime.meanSeconds)
		cold := l.ramp.addWork(s.Latency, limit, l.limits)
		l.adaptive.addSample(s.Latency, inFlight, l.limits.Slots, cold, l.cfg.LatencyTolerance)
		if !cold && l.ramp.turnedCold(l.adaptive.latencyJumped(l.cfg.ColdFactor), l.limits) {
			l.coldStart()
			l.review(now)
		}
	case OutcomeShed:
		l.stats.Refused++
		lowest := l.adaptive.value() == 1
		if l.adaptive.onRefusal(now, l.totalInFlight()+1, l.serviceTime.mean()) && lowest {
			l.pause.extend(now, l.serviceTime.mean(), l.cfg.MaxPause)
		}
		l.ramp.onRefusal()
	}
}

func (l *Limiter) coldStart() {
	l.ramp.restart()
	l.adaptive.resetSamples()
	l.stats.ColdStarts++
}

// Cancel removes a waiting request from the queue. It reports whether the
// request was waiting; a running request is ended with Done.
func (l *Limiter) Cancel(now time.Duration, id uint64) bool {
	if !l.queue.remove(id) {
		l.stats.UnknownIDs++
		return false
	}
	l.stats.Cancelled++
	return true
}

// Expire sheds waiting requests that can no longer meet their deadlines and
// starts those for which there is capacity. The caller calls it at NextExpiry
// and whenever the home has received nothing from the target for some time.
func (l *Limiter) Expire(now time.Duration) []Notice {
	l.notices = l.notices[:0]
	l.review(now)
	l.dispatch(now)
	return l.notices
}

// NextExpiry returns the time at which Expire has something to do, or false
// when nothing waits.
func (l *Limiter) NextExpiry() (time.Duration, bool) {
	if l.queue.length == 0 {
		return 0, false
	}
	at := time.Duration(math.MaxInt64)
	for _, f := range l.queue.activeFlows {
		for _, w := range f.waiters {
			at = min(at, w.deadline-l.serviceTime.lowEstimate(w.cost))
		}
	}
	at = min(at, l.reviewedAt+l.cfg.ReviewInterval)
	if l.formerHome.count > 0 {
		at = min(at, l.formerHome.expiresAt)
	}
	if l.pause.length > 0 {
		at = min(at, max(l.pause.until, l.reviewedAt+time.Microsecond))
	}
	return at, true
}

// Drain sheds all waiting requests and all new ones with ReasonDraining.
// Requests in flight are ended with Done as before.
func (l *Limiter) Drain(now time.Duration) []Notice {
	l.notices = l.notices[:0]
	l.draining = true
	l.queue.retain(func(f *flow, w waiter) bool {
		l.notify(w.id, l.shed(ReasonDraining, l.cfg.MinRetryAfter))
		return false
	})
	return l.notices
}

// SetLimits changes the configured limits. It fails with *ConfigError and
// then changes nothing. Requests in flight above a lower limit are not ended.
func (l *Limiter) SetLimits(now time.Duration, limits Limits) ([]Notice, error) {
	limits, err := limits.normalize()
	if err != nil {
		return nil, err
	}
	l.notices = l.notices[:0]
	l.adaptive.resize(l.limits.Slots, limits.Slots)
	l.limits = limits
	l.review(now)
	l.dispatch(now)
	return l.notices, nil
}

// Observe processes a report of the target: it may begin a cold ramp, and it
// corrects the count of the former home's requests.
func (l *Limiter) Observe(now time.Duration, r Report) []Notice {
	l.notices = l.notices[:0]
	if l.formerHome.count > 0 || now < l.formerHome.increaseUntil {
		l.updateFormerHome(now, r.InFlight)
	}
	restarted := l.ramp.observe(r)
	cold := !l.ramp.complete(l.limits)
	if restarted || !cold && l.ramp.turnedCold(l.adaptive.latencyJumped(l.cfg.ColdFactor), l.limits) {
		l.coldStart()
		l.review(now)
	}
	l.dispatch(now)
	return l.notices
}

// updateFormerHome corrects the count of the former home's requests. A report
// includes own requests that have run for longer than its maximum age; it may
// include those that ran within that time.
func (l *Limiter) updateFormerHome(now time.Duration, inFlight int) {
	included := 0
	for _, q := range l.running {
		if q.started+l.cfg.ReportLag <= now {
			included++
		}
	}
	l.ownPeak.add(now, len(l.running), l.cfg.ReportLag)
	l.formerHome.observe(now, inFlight, included, l.ownPeak.value(), l.limits.Slots)
}

// Limit returns the concurrency limit in force, 1 to Slots.
func (l *Limiter) Limit() int {
	return max(1, min(l.limits.Slots, l.adaptive.value(), l.ramp.limit(l.limits)))
}

// Stats returns a snapshot of the limiter at now.
func (l *Limiter) Stats(now time.Duration) Stats {
	s := l.stats
	s.Limit, s.Slots = l.Limit(), l.limits.Slots
	s.Adaptive, s.Ramp = l.adaptive.value(), l.ramp.limit(l.limits)
	s.InFlight, s.FormerHomeInFlight, s.Queued = len(l.running), l.formerHome.count, l.queue.length
	s.MeanServiceTime = l.serviceTime.mean()
	s.EstimatedWait = l.newCustomerWait(now)
	s.Cold = s.Ramp < s.Slots
	s.Draining = l.draining
	return s
}

func (l *Limiter) totalInFlight() int { return len(l.running) + l.formerHome.count }

// freeSlots returns the number of requests that may start now.
func (l *Limiter) freeSlots(now time.Duration) int {
	l.formerHome.expire(now)
	if now < l.pause.until {
		return 0
	}
	return l.Limit() - l.totalInFlight()
}

func (l *Limiter) startRequest(now time.Duration, f *flow, id uint64, cost float64) {
	charged := cost * l.serviceTime.mean().Seconds()
	l.queue.charge(f, charged)
	l.running[id] = runningRequest{flow: f, started: now, chargedSeconds: charged}
	l.ownPeak.add(now, len(l.running), l.cfg.ReportLag)
	l.stats.Started++
}

func (l *Limiter) shed(reason Reason, after time.Duration) Decision {
	l.stats.ShedTotal++
	after = min(max(after, l.cfg.MinRetryAfter), l.cfg.MaxRetryAfter)
	return Decision{Verdict: Shed, Reason: reason, RetryAfter: after}
}

func (l *Limiter) notify(id uint64, d Decision) {
	l.notices = append(l.notices, Notice{ID: id, Decision: d})
}
