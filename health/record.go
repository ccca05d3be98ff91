package health

import (
	"math"
	"time"
)

const (
	// failingAge is the time constant with which a failure rate is forgotten.
	failingAge = 3 * time.Second
	// speedAge is the time constant with which the speed of a target without new
	// answers returns to that of its peers: one that was ten times slower is tried
	// again after about 20 s, when it counts as twice as slow.
	speedAge = 10 * time.Second
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 0.2
	// speedWeight is the least weight of one answer in the speed.
	speedWeight = 0.1
	// minFactor and maxFactor bound the speed, so that one odd answer does not
	// exclude a target.
	minFactor, maxFactor = 0.2, 20
)

// TargetStats is what the requests of one host say of a target. The zero value knows
// nothing.
type TargetStats struct {
	// failing is the recent share of requests that failed, as of failedAt.
	failing  float64
	failedAt time.Duration
	// factor is the service time in relation to that of the peers, as of sampledAt.
	factor    float64
	samples   int
	sampledAt time.Duration
	condition Condition
}

// Condition is what TargetStats say of a target.
type Condition uint8

// Conditions.
const (
	Fit Condition = iota
	// Slow targets take at least slowFrom times as long as their peers.
	Slow
	// Failing targets fail at least a share of failingFrom of their requests.
	Failing
)

// String returns the condition's name in logs.
func (c Condition) String() string { return [...]string{"fit", "slow", "failing"}[c] }

// Limits of the conditions. A condition ends at a lower value than it begins at, so
// that one request more or less does not change it.
const (
	failingFrom, failingUntil = 0.5, 0.2
	slowFrom, slowUntil       = 2.5, 1.7
)

// Condition returns the condition as of the last request.
func (r *TargetStats) Condition() Condition { return r.condition }

// weigh sets the condition.
func (r *TargetStats) weigh(now time.Duration) {
	failing, slow := failingFrom, slowFrom
	switch r.condition {
	case Failing:
		failing = failingUntil
	case Slow:
		slow = slowUntil
	}
	switch {
	case r.FailureRate(now) >= failing:
		r.condition = Failing
	case r.LastSlowdown() >= slow:
		r.condition = Slow
	default:
		r.condition = Fit
	}
}

// RecordRequest notes the end of a request.
func (r *TargetStats) RecordRequest(now time.Duration, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	r.failing = (1-failureWeight)*r.FailureRate(now) + failureWeight*x
	r.failedAt = now
	r.weigh(now)
}

// RecordUnreachable notes that no connection to the target could be opened: all
// requests to it fail for now.
func (r *TargetStats) RecordUnreachable(now time.Duration) {
	r.failing, r.failedAt = 1, now
	r.weigh(now)
}

// FailureRate returns the share of requests that fail, 0 to 1.
func (r *TargetStats) FailureRate(now time.Duration) float64 {
	return faded(r.failing, now-r.failedAt, failingAge)
}

// RecordServiceTime notes a service time and the one that is expected of its peers, in
// seconds.
func (r *TargetStats) RecordServiceTime(now time.Duration, service, expected float64) {
	r.samples++
	// After a silence, what was known before says little.
	weight := max(speedWeight, 1/float64(r.samples+1), 1-faded(1, now-r.sampledAt, speedAge))
	factor := r.LastSlowdown()
	factor += weight * (service/max(expected, 1e-3) - factor)
	r.factor = min(max(factor, minFactor), maxFactor)
	r.sampledAt = now
	r.weigh(now)
}

// LastSlowdown returns the target's service time in relation to that of its peers,
// as it was at the last answer.
func (r *TargetStats) LastSlowdown() float64 {
	if r.samples == 0 {
		return 1
	}
	return r.factor
}

// Slowdown returns the target's service time in relation to that of its peers, which
// returns to 1 while there is no answer.
func (r *TargetStats) Slowdown(now time.Duration) float64 {
	return 1 + faded(r.LastSlowdown()-1, now-r.sampledAt, speedAge)
}

func faded(x float64, age, constant time.Duration) float64 {
	return x * math.Exp(-float64(age)/float64(constant))
}
