package admission

import (
	"fmt"
	"time"
)

// Config holds the settings of a Limiter. A zero field takes its default.
type Config struct {
	// MaxQueue is the maximum number of waiting requests. Default: 128.
	MaxQueue int
	// InitialServiceTime is the estimated service time before the first sample.
	// Default: 10 ms.
	InitialServiceTime time.Duration
	// OverloadInterval is how long none of a customer's requests must wait for
	// less than OverloadWait before the customer's queue counts as overloaded.
	// The queue stays overloaded until no request has been shed for this reason
	// for the same time. Default: 300 ms.
	OverloadInterval time.Duration
	// OverloadWait is the longest estimated wait at which a request of an
	// overloaded customer is still queued, or two mean service times if those
	// are longer. Default: 20 ms.
	OverloadWait time.Duration
	// SlackShare is the largest part of the slack that the estimated wait of an
	// arriving request may take, without unit, 0 to 1. The slack is the time to
	// the deadline less the service time. Default: 0.75.
	SlackShare float64
	// LatencyTolerance is the ratio of current to baseline latency above which
	// the adaptive limit decreases, without unit. Default: 2.
	LatencyTolerance float64
	// ColdFactor is the ratio of the lowest of the last ColdSamples latencies
	// to the median latency of the warm target above which the target may have
	// turned cold, without unit. Default: 2.
	ColdFactor float64
	// ColdSamples is the number of successive latencies that ColdFactor applies to. Default: 6.
	ColdSamples int
	// ReportLag is the maximum age of a target's report. The number in flight
	// that the target reports includes all requests of this home that have run
	// for longer. Default: 1 s.
	ReportLag time.Duration
	// FormerHomeTTL is how long requests of the former home are counted, unless
	// reports show earlier that they ended. Default: 30 s.
	FormerHomeTTL time.Duration
	// ReviewInterval is the interval between checks whether the waiting
	// requests can still meet their deadlines. Default: 50 ms.
	ReviewInterval time.Duration
	// MaxPause is the longest pause after a target refuses a request while
	// the limit is 1: the pause begins at one service time and doubles with
	// each refusal. Default: 200 ms.
	MaxPause time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry hint. Defaults: 5 ms, 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Limits are the configured limits of the target.
type Limits struct {
	// Slots is the number of requests that the target runs at once; at least 1.
	Slots int
	// ColdSlots is the number that it can run at once when cold, 1 to Slots; 0
	// means half of Slots, rounded down, and at least 1.
	ColdSlots int
	// Ramp is how long the target takes from cold to warm at full use of its
	// limit; 0 means that it is never cold.
	Ramp time.Duration
}

// InitialState is what a new home knows about the target.
type InitialState struct {
	// InFlight is the number of requests that the target reported as
	// running after the former home's permit ended; -1 when there is no such
	// report, which counts as all slots.
	InFlight int
	// Warm is set when the target is known to be warm; a target without a ramp
	// always is.
	Warm bool
	// Report is the latest report, or the zero Report.
	Report Report
}

// Report is the state that the target reports. It may lag by Config.ReportLag.
type Report struct {
	// Incarnation changes when the target restarts; empty when unknown.
	Incarnation string
	// Cold is set when the target reports itself as cold.
	Cold bool
	// InFlight is the number of requests that the target runs, from all senders.
	InFlight int
	// Capacity is the number of requests that the target reports it can run at
	// once; 0 when unknown.
	Capacity int
}

// Request is a request that arrives at the home.
type Request struct {
	// ID identifies the request among those in the limiter.
	ID uint64
	// Customer is the customer whose share the request uses.
	Customer string
	// Weight of the customer's contract; 1 when it is not positive.
	Weight float64
	// Deadline is the boot time by which the response must be complete.
	Deadline time.Duration
	// Cost is the expected service time as a multiple of the mean service time;
	// 1 when it is not positive.
	Cost float64
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Run: send the request now, and call Done when it ends.
	Run Verdict = iota + 1
	// Wait: the request is queued; a later Notice holds the final verdict.
	Wait
	// Shed: respond with not_run now.
	Shed
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case Shed:
		return "shed"
	}
	return "unknown"
}

// Reason is the reason why a request is shed.
type Reason string

// Reasons.
const (
	// ReasonQueueFull: the queue is full and no customer uses more of it, by
	// weight, than this one.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline: the request cannot meet its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload: the customer's queue is overloaded; see
	// Config.OverloadInterval.
	ReasonOverload Reason = "overload"
	// ReasonDraining: this host stops being the target's home.
	ReasonDraining Reason = "draining"
	// ReasonDuplicate: a request with this ID is waiting or running.
	ReasonDuplicate Reason = "duplicate_id"
)

// Decision is the verdict on a request with its details.
type Decision struct {
	Verdict Verdict
	// Reason is set when Verdict is Shed.
	Reason Reason
	// RetryAfter is the estimated time after which a similar request would be
	// accepted; set when Verdict is Shed.
	RetryAfter time.Duration
}

// Notice ends the wait of a request: its Verdict is Run or Shed.
type Notice struct {
	ID uint64
	Decision
}

// Outcome classifies the end of a request that ran.
type Outcome uint8

// Outcomes.
const (
	// OutcomeOK: the target responded; the latency is a sample.
	OutcomeOK Outcome = iota
	// OutcomeShed: the target refused the request because it is overloaded.
	OutcomeShed
	// OutcomeFailed: the request failed for a reason unrelated to the
	// target's load, for example a broken connection or not_owner.
	OutcomeFailed
	// OutcomeCancelled: the request was abandoned before the target responded.
	OutcomeCancelled
)

// Sample is the measured result of a request that ran.
type Sample struct {
	// Latency is the time from the write to the end of the response.
	Latency time.Duration
	Outcome Outcome
}

// Stats is a snapshot of a Limiter.
type Stats struct {
	// Limit is the limit in force: the minimum of Slots, Adaptive and Ramp.
	Limit, Slots, Adaptive, Ramp int
	// InFlight is the number of requests sent by this home,
	// FormerHomeInFlight the number still counted for the former home, and
	// Queued the number that wait.
	InFlight, FormerHomeInFlight, Queued int
	// MeanServiceTime is the moving average of the service time.
	MeanServiceTime time.Duration
	// EstimatedWait is the estimated wait of a request of a customer that has
	// no request waiting.
	EstimatedWait time.Duration
	// Cold is set until the cold ramp is complete.
	Cold bool
	// Draining is set after Drain has been called.
	Draining bool
	// Started, Completed, ShedTotal, Refused, Cancelled, ColdStarts and
	// UnknownIDs count since the start: requests started, requests completed,
	// requests shed, refusals by the target, cancelled waits, ramps begun, and
	// calls with the ID of an unknown request.
	Started, Completed, ShedTotal, Refused, Cancelled, ColdStarts, UnknownIDs uint64
}

// ConfigError reports an invalid field of a Config or Limits.
type ConfigError struct {
	// Field is the name of the field, Value its value, and Allowed describes
	// the allowed values.
	Field, Value, Allowed string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

func (c Config) withDefaults() Config {
	setInt := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	setDur := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	setFloat := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	setInt(&c.MaxQueue, 128)
	setInt(&c.ColdSamples, 6)
	setDur(&c.InitialServiceTime, 10*time.Millisecond)
	setDur(&c.OverloadInterval, 300*time.Millisecond)
	setDur(&c.OverloadWait, 20*time.Millisecond)
	setDur(&c.ReportLag, time.Second)
	setDur(&c.FormerHomeTTL, 30*time.Second)
	setDur(&c.ReviewInterval, 50*time.Millisecond)
	setDur(&c.MaxPause, 200*time.Millisecond)
	setDur(&c.MinRetryAfter, 5*time.Millisecond)
	setDur(&c.MaxRetryAfter, 5*time.Second)
	setFloat(&c.SlackShare, 0.75)
	setFloat(&c.LatencyTolerance, 2)
	setFloat(&c.ColdFactor, 2)
	return c
}

func (c Config) validate() error {
	invalid := func(field string, v any, allowed string) error {
		return &ConfigError{Field: field, Value: fmt.Sprint(v), Allowed: allowed}
	}
	switch {
	case c.MaxQueue < 1:
		return invalid("max_queue", c.MaxQueue, "1 or more")
	case c.ColdSamples < 1:
		return invalid("cold_samples", c.ColdSamples, "1 or more")
	case c.InitialServiceTime < 0, c.OverloadInterval < 0, c.OverloadWait < 0, c.ReportLag < 0, c.FormerHomeTTL < 0, c.ReviewInterval < 0, c.MaxPause < 0:
		return invalid("duration", "negative", "0 or more")
	case c.MinRetryAfter < 0 || c.MaxRetryAfter < c.MinRetryAfter:
		return invalid("max_retry_after", c.MaxRetryAfter, "min_retry_after or more")
	case !(c.SlackShare > 0 && c.SlackShare <= 1):
		return invalid("slack_share", c.SlackShare, "more than 0, at most 1")
	case !(c.LatencyTolerance >= 1):
		return invalid("latency_tolerance", c.LatencyTolerance, "1 or more")
	case !(c.ColdFactor >= 1):
		return invalid("cold_factor", c.ColdFactor, "1 or more")
	}
	return nil
}

func (l Limits) normalize() (Limits, error) {
	if l.Slots < 1 {
		return l, &ConfigError{Field: "slots", Value: fmt.Sprint(l.Slots), Allowed: "1 or more"}
	}
	if l.ColdSlots < 0 || l.ColdSlots > l.Slots {
		return l, &ConfigError{Field: "cold_slots", Value: fmt.Sprint(l.ColdSlots), Allowed: "0 to slots"}
	}
	if l.Ramp < 0 {
		return l, &ConfigError{Field: "ramp", Value: l.Ramp.String(), Allowed: "0 or more"}
	}
	if l.ColdSlots == 0 {
		l.ColdSlots = max(1, l.Slots/2)
	}
	return l, nil
}
