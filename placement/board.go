package placement

import (
	"math"
	"sort"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/health"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/pace"
)

// Config holds the settings of a Scheduler. A zero field takes its default.
type Config struct {
	// Domain is the host's failure domain.
	Domain string
	// CrossDomainCost is the cost of a request to another domain, expressed as time.
	// Default: 4 ms, for the round trip and the price of the traffic.
	CrossDomainCost time.Duration
	// CrossDomainCostPerKB is the additional cost of each kilobyte of the response,
	// since traffic between domains is expensive. Default: 3 ms.
	CrossDomainCostPerKB time.Duration
	// NewConnectionCost is the cost of opening a connection, expressed as time.
	// Default: 40 ms.
	NewConnectionCost time.Duration
	// MaxRequestsPerSlot limits the requests running and waiting at a target, for
	// each of its slots. Default: 3.
	MaxRequestsPerSlot float64
	// ReportTimeConstant is the time constant with which a target's report of other
	// hosts' load decays towards the mean of its reports. MeanTimeConstant is the
	// one with which the mean follows the reports and, without any, decays to zero.
	// Defaults: 400 ms and 3 s.
	ReportTimeConstant, MeanTimeConstant time.Duration
	// InitialServiceTime is the assumed service time of a route without a sample.
	// Default: 100 ms.
	InitialServiceTime time.Duration
	// InitialShedBackoff is how long a target that shed a request receives no
	// others. It doubles with each consecutive refusal, up to MaxShedBackoff.
	// Defaults: 60 ms, about half of a service time, and 1 s.
	InitialShedBackoff time.Duration
	MaxShedBackoff     time.Duration
	// MaxQueueLength bounds the number of waiting requests. Default: 512.
	MaxQueueLength int
	// ColdRateShare is the fraction of a target's cold rate that this host may use.
	// Default: 1.
	ColdRateShare float64
	// AdaptivePace limits the requests to a target by package pace, in place of the backoff
	// and the lower limit after refusals and of the cold rate alone. ColdRateShare is then
	// also the fraction of the rate of a target of which nothing is known.
	AdaptivePace bool
	// WaitWhenLate makes requests wait that would miss their latency objective because
	// of the work ahead; by default they are refused.
	WaitWhenLate bool
}

func (c Config) withDefaults() Config {
	setDefault := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	setDefault(&c.CrossDomainCost, 4*time.Millisecond)
	setDefault(&c.CrossDomainCostPerKB, 3*time.Millisecond)
	setDefault(&c.NewConnectionCost, 40*time.Millisecond)
	setDefault(&c.ReportTimeConstant, 400*time.Millisecond)
	setDefault(&c.MeanTimeConstant, 3*time.Second)
	setDefault(&c.InitialServiceTime, 100*time.Millisecond)
	setDefault(&c.InitialShedBackoff, 60*time.Millisecond)
	setDefault(&c.MaxShedBackoff, time.Second)
	if c.MaxRequestsPerSlot == 0 {
		c.MaxRequestsPerSlot = 3
	}
	if c.MaxQueueLength == 0 {
		c.MaxQueueLength = 512
	}
	if c.ColdRateShare == 0 {
		c.ColdRateShare = 1
	}
	return c
}

// Target describes a target to a Scheduler.
type Target struct {
	ID string
	// Incarnation distinguishes processes with the same ID; statistics of one are
	// not applied to the next.
	Incarnation fleet.Incarnation
	Workload    string
	Domain      string
	Slots       int
	// Usable targets may receive new requests.
	Usable    bool
	ColdUntil time.Duration
	// ColdRate is its capacity in requests per second while it is cold.
	ColdRate float64
	// RequestLimit is the number of requests per second that the target accepts from
	// all hosts together, or 0 if it states none. Each request to it needs a permit.
	RequestLimit float64
}

// Load is the load that a target reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the current duration of work at the target, relative to its normal
	// duration.
	Slowdown float64
}

// target is a Target with its state and statistics.
type target struct {
	Target
	// inFlight counts the requests that this scheduler placed and that have not ended.
	inFlight int
	// othersLoad is the load of other hosts in the last report.
	othersLoad float64
	reportedAt time.Duration
	// meanOthersLoad is the mean of othersLoad over the last reportCount reports,
	// which restart from zero after a long time without a report.
	meanOthersLoad float64
	reportCount    int
	slowdown       float64
	stats          health.TargetStats
	// limitReduction is the fraction, 0 to 1, by which refusals reduce the request
	// limit between its maximum and minLimit.
	limitReduction float64
	// backoffUntil is the end of the backoff after the target shed a request,
	// pausedUntil the end of the pause that it asked this host for.
	backoffUntil, pausedUntil time.Duration
	// shedBackoff is the backoff after the last of consecutive refusals; an outcome
	// without a refusal halves it.
	shedBackoff time.Duration
	// wasCold is whether the target was cold when last considered. coldTokens is the
	// number of requests that it may receive while cold, as of coldTokensAt.
	wasCold      bool
	coldTokens   float64
	coldTokensAt time.Duration
	// permitRefused is the last refusal of a permit, permitRefusedAt when it came. It
	// holds until the time at which the next permit is available.
	permitRefused   limits.Permit
	permitRefusedAt time.Duration
	// pace is used with Config.AdaptivePace, in place of limitReduction, backoffUntil,
	// shedBackoff, wasCold, coldTokens and coldTokensAt.
	pace pace.Pacer
	// self holds the target alone, as the list of targets of a request for its keys.
	self [1]*target
}

// Scheduler places the requests of one host on targets.
type Scheduler struct {
	cfg     Config
	targets map[string]*target
	// targetsByWorkload lists targets in the order of their IDs.
	targetsByWorkload map[string][]*target
	routeEstimates    map[string]*serviceEstimate
	queues            map[poolKey]*waitQueue
	poolOfTicket      map[uint64]poolKey
	queueLength       int
	lastTicket        uint64
	paceStats         PaceStats
}

// NewScheduler returns a Scheduler without targets.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg.withDefaults(), targets: map[string]*target{}, routeEstimates: map[string]*serviceEstimate{}, queues: map[poolKey]*waitQueue{}, poolOfTicket: map[uint64]poolKey{}}
}

// SetColdRateShare sets the fraction of a target's cold rate that this host may use.
func (s *Scheduler) SetColdRateShare(share float64) { s.cfg.ColdRateShare = share }

// SetWaitWhenLate sets Config.WaitWhenLate.
func (s *Scheduler) SetWaitWhenLate(wait bool) { s.cfg.WaitWhenLate = wait }

// SetAdaptivePace sets Config.AdaptivePace. A change starts all targets anew.
func (s *Scheduler) SetAdaptivePace(on bool) {
	if on == s.cfg.AdaptivePace {
		return
	}
	s.cfg.AdaptivePace = on
	for _, t := range s.targets {
		t.pace = pace.Pacer{}
		t.pace.SetInFlight(0, t.inFlight)
	}
}

// SetTargets replaces the list of targets. It keeps the state of incarnations that
// remain.
func (s *Scheduler) SetTargets(list []Target) {
	old := s.targets
	s.targets = make(map[string]*target, len(list))
	s.targetsByWorkload = map[string][]*target{}
	for _, x := range list {
		t := old[x.ID]
		if t == nil || t.Incarnation != x.Incarnation {
			t = &target{slowdown: 1}
			t.self[0] = t
		} else if x.Usable && !t.Usable {
			t.pace.Restart()
		}
		if x.RequestLimit != t.RequestLimit {
			t.permitRefused = limits.Permit{} // the next permit may be available sooner
		}
		t.Target = x
		s.targets[x.ID] = t
		s.targetsByWorkload[x.Workload] = append(s.targetsByWorkload[x.Workload], t)
	}
	for _, l := range s.targetsByWorkload {
		sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	}
}

// serviceEstimate is the learned service time of a route in seconds, over all
// targets.
type serviceEstimate struct {
	mean float64
	// likely is the quantile likelyQuantile of the service times.
	likely     float64
	samples    int
	responseKB float64 // mean size of a response in kilobytes
	// triedAt is when the last sample came, or when triesAgain let a request through. trying
	// says that there was no sample since.
	triedAt time.Duration
	trying  bool
}

// Load pattern: a host is suspended while a request is under way, or all targets are slow for
// a moment, and the mean service time exceeds what callers have. Without new samples all
// requests of the route would be refused for good.
const (
	// estimateValidity is how long requests are refused by a mean without a new sample; after
	// that it counts for half as much after each estimateHalfLife, until one request is sent.
	estimateValidity = time.Second
	estimateHalfLife = 500 * time.Millisecond
	// trialWeight is the weight of the sample of that request.
	trialWeight = 0.5
)

// aged returns the mean service time by which requests are refused.
func (e *serviceEstimate) aged(now time.Duration) float64 {
	return e.mean * math.Exp2(-float64(max(0, now-e.triedAt-estimateValidity))/float64(estimateHalfLife))
}

// outlierFactor limits a sample to this multiple of the mean, so that a slow target
// does not raise the estimate of the whole route.
const outlierFactor = 4

const (
	// likelyQuantile is the fraction of a route's requests that must be able to meet the
	// objective in the time left for a request to go before late ones. By the mean service
	// time, a third or more of those that begin last end late if the times are log-normal.
	likelyQuantile = 0.9
	// likelyStep is the step by which the quantile follows the samples, as a fraction of the
	// mean: it doubles within some 20 samples of twice the time.
	likelyStep = 0.05
)

// addSample adds a service time without dividing it by the target's slowdown. With
// the division the mean and the slowdowns drift together, since only their product
// is measured.
func (e *serviceEstimate) addSample(now time.Duration, sample float64) {
	if e.samples > 0 {
		sample = min(sample, outlierFactor*e.mean)
	}
	e.samples++
	weight := max(0.05, 1/float64(e.samples))
	if e.trying {
		weight = max(weight, trialWeight)
	}
	e.mean += weight * (sample - e.mean)
	if e.samples == 1 {
		e.likely = sample
	}
	if step := likelyStep * e.mean; sample > e.likely {
		e.likely += likelyQuantile * step
	} else {
		e.likely -= (1 - likelyQuantile) * step
	}
	e.triedAt, e.trying = now, false
}

// triesAgain reports whether a request is sent although by the mean service time of its
// route it cannot end in time, since the mean is old.
func (s *Scheduler) triesAgain(now time.Duration, r Request, timeLeft float64) bool {
	e := s.routeEstimates[r.Route]
	if e == nil || minServiceFraction*e.mean <= timeLeft || minServiceFraction*e.aged(now) > timeLeft {
		return false
	}
	e.triedAt, e.trying = now, true
	return true
}

func (s *Scheduler) meanServiceTime(route string) float64 {
	if e := s.routeEstimates[route]; e != nil && e.samples > 0 {
		return e.mean
	}
	return s.cfg.InitialServiceTime.Seconds()
}

// likelyServiceTime returns the service time that likelyQuantile of a route's requests do
// not exceed.
func (s *Scheduler) likelyServiceTime(route string) float64 {
	if e := s.routeEstimates[route]; e != nil && e.samples > 0 {
		return e.likely
	}
	return s.cfg.InitialServiceTime.Seconds()
}

// ServiceTime returns the mean service time of a route's requests at a target,
// without the time that they wait there. If the target is unknown, it returns the
// mean over all targets.
func (s *Scheduler) ServiceTime(now time.Duration, route, id string) time.Duration {
	serviceTime := s.meanServiceTime(route)
	if t := s.targets[id]; t != nil {
		serviceTime *= t.serviceFactor(now)
	}
	return time.Duration(serviceTime * float64(time.Second))
}

// slowdownMaxAge is how long a reported slowdown is used: it changes many times a
// second.
const slowdownMaxAge = 250 * time.Millisecond

func (t *target) currentSlowdown(now time.Duration) float64 {
	if now-t.reportedAt > slowdownMaxAge {
		return 1
	}
	return t.slowdown
}

// estimatedLoad returns the estimated number of requests that run or wait at a
// target.
func (s *Scheduler) estimatedLoad(now time.Duration, t *target) float64 {
	if t.othersLoad == 0 && t.meanOthersLoad == 0 {
		return float64(t.inFlight)
	}
	age := float64(now - t.reportedAt)
	mean := 0.0
	if t.reportCount >= minReports {
		mean = t.meanOthersLoad * math.Exp(-age/float64(s.cfg.MeanTimeConstant))
	}
	return float64(t.inFlight) + mean + (t.othersLoad-mean)*math.Exp(-age/float64(s.cfg.ReportTimeConstant))
}

// serviceFactor is the service time at a target relative to that of its routes. The
// slowdown of a target without requests in flight decays, so that a slow target is
// retried with one request at a time.
func (t *target) serviceFactor(now time.Duration) float64 {
	if t.inFlight == 0 {
		return t.stats.Slowdown(now) * t.currentSlowdown(now)
	}
	return t.stats.LastSlowdown() * t.currentSlowdown(now)
}

// The request limit of a target falls by a fraction of the remainder after each
// refusal and rises by a step after each request that was not refused, as in
// congestion control: hosts do not know of each other's requests, and a target that
// they all fill refuses most of them.
const (
	limitDecrease = 0.5
	limitIncrease = 0.05
	// minLimit is the lowest request limit.
	minLimit = 1
)

// requestLimit returns the number of requests, running and waiting, at which a target
// receives no new ones.
func (s *Scheduler) requestLimit(now time.Duration, t *target) float64 {
	if s.cfg.AdaptivePace {
		return t.pace.Limit(now, s.maxRequests(t))
	}
	maxRequests := s.cfg.MaxRequestsPerSlot * float64(max(t.Slots, 1))
	return maxRequests - t.limitReduction*max(0, maxRequests-minLimit)
}

// estimatedWait returns the time in seconds until a new request would begin to run at
// a target, for requests with the given service time in seconds.
func (s *Scheduler) estimatedWait(now time.Duration, t *target, serviceTime float64) float64 {
	return s.waitBehind(now, t, serviceTime, s.estimatedLoad(now, t))
}

// waitBehind is estimatedWait for a target with the given load.
func (s *Scheduler) waitBehind(now time.Duration, t *target, serviceTime, load float64) float64 {
	slots := float64(max(t.Slots, 1))
	queued := max(0, load+1-slots)
	w := queued / slots * serviceTime * t.serviceFactor(now)
	return max(w, (t.unavailableUntil() - now).Seconds())
}

// unavailableUntil returns when the target may receive requests again.
func (t *target) unavailableUntil() time.Duration {
	return max(t.backoffUntil, t.pausedUntil, t.pace.ReadyAt())
}

// Outcome describes how a request ended at a target.
type Outcome struct {
	Route string
	// ResponseTime is the time from sending to the response, 0 without a response.
	ResponseTime time.Duration
	// ResponseBytes is the size of the response in bytes.
	ResponseBytes int
	// Load is the load that the target reported, or nil.
	Load *Load
	// Shed means that the target refused the request without running it.
	Shed bool
	// Pause is how long the target asks this host to send it no requests.
	Pause time.Duration
	// ConnectionReset means that the target reset the connection, which counts as a
	// refusal: some targets do so when they are full.
	ConnectionReset bool
	// Failed means that there was no valid response, or one that reports a failure.
	Failed bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	// ColdRemaining is how much longer the target reports to be cold, or -1 without a
	// report.
	ColdRemaining time.Duration
}

// RecordOutcome updates the state of a target when a request that Submit or Dispatch
// placed on it has ended.
func (s *Scheduler) RecordOutcome(now time.Duration, id string, outcome Outcome) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	s.recordPace(now, t, outcome)
	if outcome.Load != nil {
		s.recordLoad(now, t, *outcome.Load)
	}
	if outcome.ColdRemaining >= 0 {
		t.ColdUntil = now + outcome.ColdRemaining
	}
	if outcome.Pause > 0 {
		t.pausedUntil = max(t.pausedUntil, now+outcome.Pause)
	}
	if outcome.Shed || outcome.ConnectionReset {
		s.recordShed(now, t, outcome.Load)
	}
	if outcome.Shed {
		return
	}
	if !outcome.ConnectionReset {
		t.shedBackoff /= 2
		t.limitReduction = max(0, t.limitReduction-limitIncrease)
	}
	if outcome.Unreachable {
		t.stats.RecordUnreachable(now)
	} else {
		t.stats.RecordRequest(now, outcome.Failed)
	}
	if outcome.ResponseTime > 0 && !outcome.Failed {
		s.updateServiceTimes(now, t, outcome)
	}
	if e := s.routeEstimates[outcome.Route]; e != nil && !outcome.Failed {
		e.responseKB += 0.05 * (float64(outcome.ResponseBytes)/1024 - e.responseKB)
	}
}

// recordShed records that a target refused a request. Hosts that fill the same target
// do not know of each other: each host backs off longer after each consecutive
// refusal, so that together they send about as much as the target's capacity.
// Refusals during a backoff do not extend it, since they belong to requests that were
// sent before it. A target that refuses requests while it has free slots is faulty
// and not full: the refusal counts as a failure.
func (s *Scheduler) recordShed(now time.Duration, t *target, l *Load) {
	if l.HasFreeSlots() {
		t.stats.RecordRequest(now, true)
		return
	}
	if s.cfg.AdaptivePace {
		return
	}
	t.limitReduction += limitDecrease * (1 - t.limitReduction)
	if now < t.backoffUntil {
		return
	}
	t.shedBackoff = min(max(2*t.shedBackoff, s.cfg.InitialShedBackoff), s.cfg.MaxShedBackoff)
	t.backoffUntil = now + t.shedBackoff
}

// HasFreeSlots reports whether a target reported free slots.
func (l *Load) HasFreeSlots() bool { return l != nil && l.Waiting == 0 && l.Running < l.Slots }

// A report has at least minReportWeight in the mean of a target's reports. The mean
// is used from minReports reports on, since one or two reports are no reliable mean.
const (
	minReportWeight = 0.2
	minReports      = 3
)

// recordLoad records the load that a target reports, which includes the request that
// has just ended.
func (s *Scheduler) recordLoad(now time.Duration, t *target, l Load) {
	t.othersLoad = max(0, float64(l.Running+l.Waiting-1-t.inFlight))
	if now-t.reportedAt > 2*s.cfg.MeanTimeConstant {
		t.reportCount, t.meanOthersLoad = 0, 0
	}
	t.reportCount++
	weight := max(1-math.Exp(-float64(now-t.reportedAt)/float64(s.cfg.MeanTimeConstant)), minReportWeight, 1/float64(t.reportCount))
	t.meanOthersLoad += weight * (t.othersLoad - t.meanOthersLoad)
	t.reportedAt, t.slowdown = now, l.Slowdown
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
}

// updateServiceTimes updates the service times from a response. A request that may
// have waited for a slot yields only a lower bound of the service time. The bound is
// needed: without it a slow target whose requests all wait keeps its load.
func (s *Scheduler) updateServiceTimes(now time.Duration, t *target, outcome Outcome) {
	serviceTime := outcome.ResponseTime.Seconds() / t.currentSlowdown(now)
	if outcome.Load != nil && outcome.Load.Waiting > 0 || t.inFlight >= max(t.Slots, 1) {
		lowerBound, expected := serviceTime/(1+2*s.cfg.MaxRequestsPerSlot), s.meanServiceTime(outcome.Route)
		if lowerBound > expected*t.stats.LastSlowdown() {
			t.stats.RecordServiceTime(now, lowerBound, expected)
		}
		return
	}
	estimate := s.routeEstimates[outcome.Route]
	if estimate == nil {
		estimate = &serviceEstimate{}
		s.routeEstimates[outcome.Route] = estimate
	}
	estimate.addSample(now, serviceTime)
	t.stats.RecordServiceTime(now, serviceTime, estimate.mean)
}

// TargetHealth returns the condition of a target and the figures behind it: the share
// of its requests that fail, and its service time relative to that of its routes.
func (s *Scheduler) TargetHealth(now time.Duration, id string) (condition health.Condition, failureRate, slowdown float64) {
	t := s.targets[id]
	if t == nil {
		return health.Fit, 0, 1
	}
	return t.stats.Condition(), t.stats.FailureRate(now), t.stats.LastSlowdown()
}

// minPermitWait is the least time for which the refusal of a permit holds.
const minPermitWait = 5 * time.Millisecond

// RecordPermitRefused releases a request that Submit or Dispatch placed on a target and
// that got no permit. The target receives no request until the next permit is available.
func (s *Scheduler) RecordPermitRefused(now time.Duration, id string, refused limits.Permit) {
	s.ReleaseUnsent(id)
	if t := s.targets[id]; t != nil {
		refused.NextAfter = max(refused.NextAfter, minPermitWait)
		t.permitRefused, t.permitRefusedAt = refused, now
	}
}

// withoutPermit reports whether a target states a limit and no permit is available, and
// after which time a caller should come back.
func (t *target) withoutPermit(now time.Duration) (comeBackAfter time.Duration, refused bool) {
	if t.RequestLimit <= 0 || now >= t.permitRefusedAt+t.permitRefused.NextAfter {
		return 0, false
	}
	return t.permitRefusedAt + max(t.permitRefused.ComeBackAfter, t.permitRefused.NextAfter) - now, true
}

// RestorePlaced counts a request as in flight at a target that was missing from the list of
// targets meanwhile. It was sent before, so that it does not use up the target's rate.
func (s *Scheduler) RestorePlaced(id string) {
	if t := s.targets[id]; t != nil {
		t.inFlight++
	}
}

// RecordPlaced counts a request as in flight at a target on which another scheduler placed
// it. RecordOutcome or ReleaseUnsent ends it.
func (s *Scheduler) RecordPlaced(now time.Duration, id, route string) {
	if t := s.targets[id]; t != nil {
		t.inFlight++
		s.recordPaceSent(now, t, s.meanServiceTime(route), true)
	}
}

// ReleaseUnsent releases a request that Submit or Dispatch placed on a target and
// that was not sent.
func (s *Scheduler) ReleaseUnsent(id string) {
	if t := s.targets[id]; t != nil {
		t.inFlight = max(0, t.inFlight-1)
		t.pace.Unsent()
	}
}
