package bench

import (
	"net/http"
	"time"
)

// CallOutcome is the final outcome of a request from the caller's view.
type CallOutcome string

// Outcomes of calls.
const (
	CallOK         CallOutcome = "ok"
	CallNotRun     CallOutcome = "not_run"
	CallMayHaveRun CallOutcome = "may_have_run"
)

// Call is the record of one logical request of a caller, with all its attempts.
type Call struct {
	// Tag is unique; the request carries it to the target.
	Tag        string
	Workload   string
	Key        string
	Method     string
	Customer   string
	Idempotent bool
	// Shard is the hashed shard of the key, for keyed workloads.
	Shard int32
	// Due is the scheduled send time, End the time when the outcome was known.
	Due, End time.Duration
	Outcome  CallOutcome
	// Code is the error code of the router, one of codeNoConnection,
	// codeResponseLost and codeTimeout, or status_N for an error response with
	// status N and no outcome.
	Code     string
	Status   int
	Attempts int
	// Entry is the entry host of the last attempt.
	Entry string
	// ResponseFault describes what is wrong with a response, or is empty.
	ResponseFault string
	// ResponseTarget is the target named in a success response.
	ResponseTarget string
	// Cuts are the attempts whose connection was closed.
	Cuts []CutAttempt
}

// CutAttempt is an attempt whose connection was closed before the response was
// complete.
type CutAttempt struct {
	Entry   string
	Started time.Duration
	Ended   time.Duration
}

// Codes of attempts that got no response.
const (
	codeNoConnection = "no_connection"
	codeResponseLost = "answer_lost"
	codeTimeout      = "caller_timeout"
)

// Limited reports whether the last attempt was refused because it exceeded the
// customer's contract.
func (c *Call) Limited() bool { return c.Status == http.StatusTooManyRequests }

// AppliedStep is a step that was performed.
type AppliedStep struct {
	Step Step
	// At and Until are the times when the step was performed and when its effect
	// ended; Until is 0 while the effect lasts.
	At, Until time.Duration
	// Targets, Entries and Domain name what the step affected.
	Targets []string
	Entries []string
	Domain  string
}

// ConfigObservation is the result of a probe: the configuration change that was
// in force on an entry host.
type ConfigObservation struct {
	Host string
	// Change is the number of the change, from 1 on, or 0 when the host has
	// applied none.
	Change int
	At     time.Duration
}

// Evidence is the input of the checker.
type Evidence struct {
	Plan    *Plan
	Calls   []Call
	Records []TargetRecord
	Steps   []AppliedStep
	// ConfigAccepted holds the time at which each change was accepted.
	ConfigAccepted     []time.Duration
	ConfigObservations []ConfigObservation
	// Begin and MeasureFrom are the start of the load and the end of its
	// warm-up; End is the end of the load.
	Begin, MeasureFrom, End time.Duration
}
