package admission

import (
	"fmt"
	"time"
)

// Config holds the settings of a Limiter. A zero field takes its default.
type Config struct {
	// MaxQueue is the number of requests that may wait. Default: 128.
	MaxQueue int
	// InitialService is the estimated service time before the first sample.
	// Default: 10 ms.
	InitialServiceTime time.Duration
	// OverloadInterval is how long the shortest wait of a customer's requests
	// must stay above OverloadWait until that customer's queue counts as
	// overloaded, and how long it then counts as overloaded after the last
	// request that was shed for this. Default: 300 ms.
	OverloadInterval time.Duration
	// OverloadWait is the longest estimated wait at which a request of an
	// overloaded customer is still queued; two mean service times when that
	// is longer. Default: 20 ms.
	OverloadWait time.Duration
	// SlackShare is the part of the time to the deadline (less the service
	// time) that the estimated wait may take when a request arrives, without
	// unit, 0 to 1. Default: 0.75.
	SlackShare float64
	// LatencyTolerance is the ratio of present to usual latency from which the
	// adaptive limit decreases, without unit. Default: 2.
	LatencyTolerance float64
	// ColdFactor is the ratio of the lowest of the last ColdSamples latencies
	// to the usual latency from which the target may have turned cold, without
	// unit. Default: 2.
	ColdFactor float64
	// ColdSamples is the number of successive answers in ColdFactor. Default: 6.
	ColdSamples int
	// ReportLag is the highest age of a report of the target. Requests of this
	// home that have run for longer are certainly included in the number in
	// flight that the target reports. Default: 1 s.
	ReportLag time.Duration
	// ForeignTTL is how long requests of the former home count at most, unless
	// reports show earlier that they ended. Default: 30 s.
	FormerHomeTTL time.Duration
	// ReviewInterval is the time between two checks whether the waiting
	// requests can still meet their deadlines. Default: 50 ms.
	ReviewInterval time.Duration
	// MaxPause is the longest pause after a target has refused a request while
	// the limit was 1: the pause begins at one service time and doubles with
	// each refusal. Default: 200 ms.
	MaxPause time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry hint. Defaults: 5 ms, 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// Limits are the configured limits of the target.
type Limits struct {
	// Slots is the number of requests that the target runs at once; at least 1.
	Slots int
	// ColdSlots is the number that it bears at once when cold, 1 to Slots; 0
	// means half of Slots, rounded down, and at least 1.
	ColdSlots int
	// Ramp is how long the target takes from cold to warm at full use of its
	// limit; 0 means that it is never cold.
	Ramp time.Duration
}

// Start says what a new home knows of the target.
type InitialState struct {
	// InFlight is the number of requests that the target reported to run
	// after the former home's permit had ended; -1 when there is no such
	// report, which counts as all slots.
	InFlight int
	// Warm says that the target is known to be warm. A new home passes false
	// unless the target has no ramp.
	Warm bool
	// Report is the newest report, or the zero Report.
	Report Report
}

// Report is what the target says of itself. It may lag by Config.ReportLag.
type Report struct {
	// Incarnation changes when the target restarts; empty when unknown.
	Incarnation string
	// Cold says that the target calls itself cold.
	Cold bool
	// InFlight is the number of requests that the target runs, of all senders.
	InFlight int
	// Bears is the number of requests that the target says it bears at once; 0
	// when unknown.
	Capacity int
}

// Request is a request that arrives at the home.
type Request struct {
	// ID identifies the request among those in the limiter.
	ID uint64
	// Customer is whose share is used.
	Customer string
	// Weight of the customer's contract; 1 when it is not positive.
	Weight float64
	// Deadline is the boot time by which the response must be complete.
	Deadline time.Duration
	// Cost is the expected service time in units of the mean one; 1 when it is
	// not positive.
	Cost float64
}

// Verdict is what happens to a request.
type Verdict uint8

// Verdicts.
const (
	// Run: send the request now, and call Done when it ends.
	Run Verdict = iota + 1
	// Wait: a later Notice says what happens.
	Wait
	// Shed: answer not_run now.
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

// Reason says why a request is shed.
type Reason string

// Reasons.
const (
	// ReasonQueueFull: the queue is full and no customer uses more of it, by
	// weight, than this one.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline: the request cannot meet its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload: the customer's queue has not emptied for
	// Config.OverloadInterval.
	ReasonOverload Reason = "overload"
	// ReasonDraining: this host stops being the target's home.
	ReasonDraining Reason = "draining"
	// ReasonDuplicate: a request with this ID is in the limiter.
	ReasonDuplicate Reason = "duplicate_id"
)

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	// Reason is set when Verdict is Shed.
	Reason Reason
	// RetryAfter is the estimate after which a like request would be accepted;
	// set when Verdict is Shed.
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
	// OutcomeOK: the target answered; the latency is a sample.
	OutcomeOK Outcome = iota
	// OutcomeShed: the target refused the request because it has too much work.
	OutcomeShed
	// OutcomeFailed: the request failed for a reason that says nothing of the
	// target's load, for example a broken connection or not_owner.
	OutcomeFailed
	// OutcomeCancelled: the request was given up before the target answered.
	OutcomeCancelled
)

// Sample is what was seen of a request that ran.
type Sample struct {
	// Latency is the time from the write to the end of the response.
	Latency time.Duration
	Outcome Outcome
}

// Stats is a picture of a Limiter.
type Stats struct {
	// Limit is the limit in force; Slots, Adaptive and Ramp are its parts.
	Limit, Slots, Adaptive, Ramp int
	// InFlight is the number of requests sent by this home, Foreign the number
	// that still counts for the former home, Queued the number that wait.
	InFlight, FormerHomeInFlight, Queued int
	// Service is the mean service time.
	MeanServiceTime time.Duration
	// Wait is the estimated wait of a request of a new customer.
	EstimatedWait time.Duration
	// Cold says that the cold ramp is not complete.
	Cold bool
	// Draining says that Drain has been called.
	Draining bool
	// Started, Completed, ShedTotal, Refused, Cancelled, ColdStarts and
	// Unknown count since the start: requests run, requests done, requests
	// shed, refusals by the target, waits given up, ramps begun, and calls
	// that named an unknown request.
	Started, Completed, ShedTotal, Refused, Cancelled, ColdStarts, UnknownIDs uint64
}

// ConfigError says which field of a Config or Limits is wrong.
type ConfigError struct {
	// Field is the name of the field, Value its value, Allowed what is allowed.
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
	bad := func(field string, v any, allowed string) error {
		return &ConfigError{Field: field, Value: fmt.Sprint(v), Allowed: allowed}
	}
	switch {
	case c.MaxQueue < 1:
		return bad("max_queue", c.MaxQueue, "1 or more")
	case c.ColdSamples < 1:
		return bad("cold_samples", c.ColdSamples, "1 or more")
	case c.InitialServiceTime < 0, c.OverloadInterval < 0, c.OverloadWait < 0, c.ReportLag < 0, c.FormerHomeTTL < 0, c.ReviewInterval < 0, c.MaxPause < 0:
		return bad("duration", "negative", "0 or more")
	case c.MinRetryAfter < 0 || c.MaxRetryAfter < c.MinRetryAfter:
		return bad("max_retry_after", c.MaxRetryAfter, "min_retry_after or more")
	case !(c.SlackShare > 0 && c.SlackShare <= 1):
		return bad("slack_share", c.SlackShare, "more than 0, at most 1")
	case !(c.LatencyTolerance >= 1):
		return bad("latency_tolerance", c.LatencyTolerance, "1 or more")
	case !(c.ColdFactor >= 1):
		return bad("cold_factor", c.ColdFactor, "1 or more")
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
