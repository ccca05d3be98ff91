package health

import (
	"math"
	"time"
)

const (
	// failureTimeConstant is the time constant with which a failure rate decays.
	failureTimeConstant = 3 * time.Second
	// slowdownTimeConstant is the time constant with which the slowdown of a target
	// without new responses decays to 1. A target that was ten times slower is
	// retried after about 20 s, when it counts as twice as slow.
	slowdownTimeConstant = 10 * time.Second
	// failureSampleWeight is the weight of one request in the failure rate.
	failureSampleWeight = 0.2
	// minSlowdownSampleWeight is the minimum weight of one response in the slowdown.
	minSlowdownSampleWeight = 0.1
	// minSlowdown and maxSlowdown bound the slowdown, so that one outlier does not
	// exclude a target.
	minSlowdown, maxSlowdown = 0.2, 20
)

// TargetStats holds statistics of one host's requests to a target. The zero value
// has no observations.
type TargetStats struct {
	// failureRate is the recent share of requests that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Duration
	// slowdown is the service time relative to that of the peers, as of sampledAt.
	slowdown  float64
	samples   int
	sampledAt time.Duration
	condition Condition
}

// Condition is the health of a target.
type Condition uint8

// The conditions of a target.
const (
	Fit Condition = iota
	// Slow targets take at least slowThreshold times as long as their peers.
	Slow
	// Failing targets fail at least the share failingThreshold of their requests.
	Failing
)

// String returns the condition's name in logs.
func (c Condition) String() string { return [...]string{"fit", "slow", "failing"}[c] }

// A condition ends below a lower threshold than the one at which it begins, so that a
// single request does not toggle it.
const (
	failingThreshold, failingClearThreshold = 0.5, 0.2
	slowThreshold, slowClearThreshold       = 2.5, 1.7
)

// Condition returns the condition as of the last request.
func (s *TargetStats) Condition() Condition { return s.condition }

// updateCondition sets the condition from the current statistics.
func (s *TargetStats) updateCondition(now time.Duration) {
	failureLimit, slowdownLimit := failingThreshold, slowThreshold
	switch s.condition {
	case Failing:
		failureLimit = failingClearThreshold
	case Slow:
		slowdownLimit = slowClearThreshold
	}
	switch {
	case s.FailureRate(now) >= failureLimit:
		s.condition = Failing
	case s.LastSlowdown() >= slowdownLimit:
		s.condition = Slow
	default:
		s.condition = Fit
	}
}

// RecordRequest records the end of a request.
func (s *TargetStats) RecordRequest(now time.Duration, failed bool) {
	failure := 0.0
	if failed {
		failure = 1
	}
	s.failureRate = (1-failureSampleWeight)*s.FailureRate(now) + failureSampleWeight*failure
	s.failureRateAt = now
	s.updateCondition(now)
}

// RecordUnreachable records that no connection to the target could be opened, and sets
// the failure rate to 1.
func (s *TargetStats) RecordUnreachable(now time.Duration) {
	s.failureRate, s.failureRateAt = 1, now
	s.updateCondition(now)
}

// FailureRate returns the share of requests that fail, 0 to 1. It decays to 0 without
// new requests.
func (s *TargetStats) FailureRate(now time.Duration) float64 {
	return decay(s.failureRate, now-s.failureRateAt, failureTimeConstant)
}

// RecordServiceTime records a service time and the one expected of the target's peers,
// both in seconds.
func (s *TargetStats) RecordServiceTime(now time.Duration, serviceTime, expected float64) {
	s.samples++
	// The weight grows with the time since the last sample, since the older samples
	// become unreliable.
	weight := max(minSlowdownSampleWeight, 1/float64(s.samples+1), 1-decay(1, now-s.sampledAt, slowdownTimeConstant))
	slowdown := s.LastSlowdown()
	slowdown += weight * (serviceTime/max(expected, 1e-3) - slowdown)
	s.slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	s.sampledAt = now
	s.updateCondition(now)
}

// LastSlowdown returns the target's service time relative to that of its peers, as of
// the last sample, or 1 without a sample.
func (s *TargetStats) LastSlowdown() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.slowdown
}

// Slowdown returns the target's service time relative to that of its peers. It decays
// to 1 without new samples.
func (s *TargetStats) Slowdown(now time.Duration) float64 {
	return 1 + decay(s.LastSlowdown()-1, now-s.sampledAt, slowdownTimeConstant)
}

func decay(x float64, age, timeConstant time.Duration) float64 {
	if x == 0 {
		return 0 // most targets do not fail; the exponential takes as long as the rest
	}
	return x * math.Exp(-float64(age)/float64(timeConstant))
}
