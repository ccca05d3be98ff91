package pace

import (
	"math"
	"time"
)

const (
	// RampInterval is the time in which the limit doubles without a bad response. From 1
	// to 18 requests, the largest limit in use, it takes 2.1 s.
	RampInterval = 500 * time.Millisecond
	// recoveryTime is the time in which the limit rises from 0 to full after a fall, once
	// the target responds well and recoveryDelay has passed since the last bad response.
	// Without the delay, a target that sheds above a load refuses twice as many requests.
	recoveryTime, recoveryDelay = time.Second, time.Second
	// SlowFactor is the ratio of a response time to the expected one from which on a
	// response is slow. Service times of one route vary by a factor of two.
	SlowFactor = 3
	// shedDecrease, slowDecrease and failureDecrease are the factors of the limit after a
	// bad response. A single failure may be due to the request, and a slow response to a
	// long one, so that they lower it less.
	shedDecrease, slowDecrease, failureDecrease = 0.5, 0.7, 0.75
	// minEvidence is the number of consecutive slow responses or failures after which the
	// limit falls. Three in a hundred requests take seven times as long as the others, and a
	// target may lose responses without being overloaded.
	minEvidence = 3
	// longFactor is the ratio of a response time to the expected one that long requests reach.
	longFactor = 8
	// minProbeInterval is the interval after the first of consecutive bad responses, about
	// half of a service time; maxProbeInterval bounds it, so that a target that is well
	// again is used within seconds.
	minProbeInterval, maxProbeInterval = 60 * time.Millisecond, time.Second
	// probeShare is the share below which the longest interval grows with the number of
	// hosts, up to maxProbeFactor times: hosts that do not know of each other's probes
	// would send many of them together.
	probeShare, maxProbeFactor = 0.05, 4
	// rateHeadroom is the ratio of the rate of a target of which nothing is known to the
	// one that its limit allows at the usual service time.
	rateHeadroom = 1.5
	// separateShare is the share below which a caller knows too little of the others'
	// requests, so that the rate of a target of which nothing is known is limited as well.
	separateShare = 0.25
	// heldTokens is the number of unused tokens that all hosts together hold for a target
	// if their shares sum up to one.
	heldTokens = 1.0
)

// Params describes a target and the caller's part of it.
type Params struct {
	// Full is the number of requests, of all hosts, that the target is sent at the most.
	Full float64
	// Expected is the usual service time of the request at the target.
	Expected time.Duration
	// Share is the fraction of the target's rate that the caller may use, above 0 to 1.
	Share float64
	// ColdUntil is the end of the target's cold time, ColdRate its capacity in requests
	// per second until then, 0 if it is unknown.
	ColdUntil time.Duration
	ColdRate  float64
}

func (p *Params) cold(now time.Duration) bool { return now < p.ColdUntil && p.ColdRate > 0 }

// Result is how a request ended.
type Result uint8

// The results of a request.
const (
	// Unknown tells nothing of the target: the caller went away.
	Unknown Result = iota
	Good
	// Slow is a response that took SlowFactor times the expected time or longer.
	Slow
	// Shed is a refusal or a connection reset.
	Shed
	// Failed is a failure, or no response.
	Failed
)

// Reason tells what determines a pace.
type Reason string

// The reasons for a pace.
const (
	ReasonUnknown   Reason = "unknown"    // nothing is known of the target
	ReasonCold      Reason = "cold"       // it states that it is cold
	ReasonResponses Reason = "responses"  // it responds at the usual speed
	ReasonSlow      Reason = "slow"       // its last bad response was slow
	ReasonShed      Reason = "shed"       // its last bad response was a refusal
	ReasonFailed    Reason = "failed"     // its last bad response was a failure
	ReasonSilent    Reason = "no_answers" // requests are in flight without a response
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonUnknown, ReasonCold, ReasonResponses, ReasonSlow, ReasonShed, ReasonFailed, ReasonSilent}

// Pacer is the pace of one target. The zero value knows nothing of the target.
type Pacer struct {
	// limit is the number of requests as of changedAt, 0 before Start.
	limit     float64
	changedAt time.Duration
	// fallen says that the limit fell since the start: from then on it rises linearly.
	fallen bool
	// proven says that a response came at the usual speed.
	proven bool
	// last is the last result other than Unknown, bad the number of consecutive refusals
	// and failures.
	last Result
	bad  int
	// suspicious is the number of consecutive slow responses and failures.
	suspicious int
	// handledUntil is the time until which bad responses belong to requests that were sent
	// before the limit fell. probeAt is when the next request may be sent after a bad
	// response, badAt when the last one came.
	handledUntil, probeAt, badAt time.Duration
	inFlight                     int
	// quietSince is when the last response came, or the first request after a time without
	// any was sent; longest is the longest expected time of the requests sent since.
	quietSince, longest time.Duration
	// tokens counts the tokens of a limited rate as of tokensAt. limited says that the rate
	// was limited then.
	tokens   float64
	tokensAt time.Duration
	limited  bool
	wasCold  bool
}

// Started reports whether Start was called.
func (p *Pacer) Started() bool { return p.limit > 0 }

// Start begins with a probe of one, for a target that is new or has recovered. random, from
// 0 to 1, spreads the tokens of different hosts over time.
func (p *Pacer) Start(now time.Duration, random float64) {
	*p = Pacer{limit: 1, changedAt: now, tokens: random, tokensAt: now, inFlight: p.inFlight, quietSince: now, longest: p.longest}
}

// SetInFlight sets the number of requests in flight, for a Pacer that takes over later.
func (p *Pacer) SetInFlight(now time.Duration, n int) { p.inFlight, p.quietSince = n, now }

// Restart makes the Pacer start anew with the next call of Start.
func (p *Pacer) Restart() { p.limit = 0 }

// silentFrom returns when the target counts as silent.
func (p *Pacer) silentFrom() time.Duration {
	if p.inFlight < minEvidence {
		return p.quietSince + longFactor*p.longest
	}
	return p.quietSince + SlowFactor*p.longest
}

// silent reports whether responses are overdue.
func (p *Pacer) silent(now time.Duration) bool { return p.inFlight > 0 && now > p.silentFrom() }

// risen returns the limit with the rise since changedAt.
func (p *Pacer) risen(now time.Duration, full float64) float64 {
	if p.limit >= full {
		return full
	}
	if p.inFlight > 0 {
		now = min(now, p.silentFrom())
	}
	elapsed := now - p.changedAt
	switch {
	case elapsed <= 0 || p.last > Good:
		return p.limit
	case p.fallen:
		elapsed = min(elapsed, now-p.badAt-recoveryDelay)
		return min(full, p.limit+full*float64(max(0, elapsed))/float64(recoveryTime))
	case elapsed > 16*RampInterval:
		return full
	default:
		return min(full, p.limit*math.Exp2(float64(elapsed)/float64(RampInterval)))
	}
}

// Limit returns the number of requests of all hosts that the target is ready for.
func (p *Pacer) Limit(now time.Duration, full float64) float64 {
	if p.silent(now) {
		return 1
	}
	return p.risen(now, full)
}

// ReadyAt returns when the next request may be sent after a bad response.
func (p *Pacer) ReadyAt() time.Duration { return p.probeAt }

// Allows reports whether the rate permits a request, and no response is overdue. The caller
// compares the load of the target with Limit.
func (p *Pacer) Allows(now time.Duration, x *Params) bool {
	if now < p.probeAt || p.silent(now) {
		return false
	}
	if p.limit < x.Full && p.risen(now, x.Full) >= x.Full {
		p.limit = x.Full // keeps decisions from computing the rise again
	}
	rate, limited := p.limitedRate(now, x)
	if !limited {
		p.limited = false
		return true
	}
	p.addTokens(now, rate, x.Share)
	return p.tokens >= 1
}

// limitedRate returns the rate of all hosts together, if it is limited.
func (p *Pacer) limitedRate(now time.Duration, x *Params) (rate float64, limited bool) {
	cold := x.cold(now)
	if p.wasCold && !cold {
		p.endCold(now, x)
	}
	p.wasCold = cold
	if cold {
		return x.ColdRate, true
	}
	if p.proven || x.Share >= separateShare {
		return 0, false
	}
	limit := p.risen(now, x.Full)
	return rateHeadroom * limit / max(x.Expected, time.Millisecond).Seconds(), limit < x.Full
}

// endCold lets the limit rise from what the target had at its cold rate: a jump to the full
// number is what the end of the cold time is known to break.
func (p *Pacer) endCold(now time.Duration, x *Params) {
	atColdRate := max(1, 2*x.ColdRate*x.Expected.Seconds())
	p.limit, p.changedAt, p.fallen = min(p.risen(now, x.Full), atColdRate), now, false
}

// addTokens adds the tokens since tokensAt. A token is valid for heldTokens divided by the
// rate of all hosts; a caller with a large share keeps one.
func (p *Pacer) addTokens(now time.Duration, rate, share float64) {
	if !p.limited {
		// Tokens of an earlier limit are void, but their phase differs between hosts.
		p.limited, p.tokensAt = true, now
		p.tokens -= math.Floor(p.tokens)
		return
	}
	p.tokens += rate * share * (now - p.tokensAt).Seconds()
	p.tokensAt = now
	validity := heldTokens * share
	if validity >= 1 {
		p.tokens = min(p.tokens, 1)
	} else if p.tokens >= 1+validity {
		p.tokens -= math.Floor(p.tokens - validity)
	}
}

// Sent records a request to the target, also one that Allows did not permit because another
// caller placed it: it uses this caller's part.
func (p *Pacer) Sent(now time.Duration, x *Params) {
	if rate, limited := p.limitedRate(now, x); limited {
		p.addTokens(now, rate, x.Share)
		p.tokens = max(p.tokens-1, -1)
	}
	if p.inFlight == 0 {
		p.quietSince, p.longest = now, 0
	}
	p.longest = max(p.longest, x.Expected)
	p.inFlight++
	if p.bad > 0 {
		p.probeAt = max(p.probeAt, now+p.probeInterval(x.Share))
	}
}

// Unsent records that a request that Sent counted was not sent, or that nothing is known of
// its end.
func (p *Pacer) Unsent() { p.inFlight = max(0, p.inFlight-1) }

// Ended records the end of a request and reports whether the limit fell. load is the number
// of requests, of all hosts, that the target reports to run, 0 if it reports none.
func (p *Pacer) Ended(now time.Duration, x *Params, result Result, load int) (fell bool) {
	p.Unsent()
	if result == Unknown || !p.Started() {
		return false
	}
	p.limit = p.risen(now, x.Full)
	p.changedAt, p.quietSince = now, now
	if result == Good {
		p.good(x, load)
		return false
	}
	if now < p.handledUntil {
		p.last, p.badAt = result, now
		return false
	}
	if result != Shed {
		if p.suspicious++; p.suspicious < minEvidence {
			return false
		}
	}
	p.fall(now, x, result)
	return true
}

// good raises the limit. A target that runs the requests of other hosts at the usual speed
// is ready for as many and one more, also if this host knows nothing else of it.
func (p *Pacer) good(x *Params, load int) {
	p.last, p.proven, p.bad, p.probeAt, p.handledUntil, p.suspicious = Good, true, 0, 0, 0, 0
	if p.fallen {
		p.limit += 1 / p.limit
	} else {
		p.limit++
	}
	p.limit = min(max(p.limit, float64(load+1)), x.Full)
}

func (p *Pacer) fall(now time.Duration, x *Params, result Result) {
	p.last, p.fallen, p.badAt = result, true, now
	factor := shedDecrease
	switch result {
	case Slow:
		factor = slowDecrease
	case Failed:
		if p.bad == 0 {
			factor = failureDecrease
		}
	}
	p.limit = max(1, factor*p.limit)
	if result == Slow {
		p.handledUntil = now + x.Expected
		return
	}
	p.bad++
	if result == Shed || p.bad > 1 {
		p.handledUntil = now + p.probeInterval(x.Share)
		p.probeAt = max(p.probeAt, p.handledUntil)
	}
}

// probeInterval returns the interval between probes after consecutive bad responses.
func (p *Pacer) probeInterval(share float64) time.Duration {
	longest := time.Duration(float64(maxProbeInterval) * min(maxProbeFactor, max(1, probeShare/share)))
	return min(longest, minProbeInterval<<min(max(p.bad-1, 0), 8))
}

// State is a target's pace.
type State struct {
	// Limit is the number of requests of all hosts, Rate the number of them per second, 0
	// if it is not limited.
	Limit, Rate float64
	Reason      Reason
}

// State returns the current pace.
func (p *Pacer) State(now time.Duration, x *Params) State {
	rate, limited := p.limitedRate(now, x)
	s := State{Limit: p.Limit(now, x.Full), Reason: ReasonResponses}
	if limited {
		s.Rate = rate
	}
	switch {
	case p.silent(now):
		s.Reason = ReasonSilent
	case x.cold(now):
		s.Reason = ReasonCold
	case p.last == Shed:
		s.Reason = ReasonShed
	case p.last == Failed:
		s.Reason = ReasonFailed
	case p.last == Slow:
		s.Reason = ReasonSlow
	case !p.proven:
		s.Reason = ReasonUnknown
	}
	return s
}
