package bench

import (
	"net/http"
	"time"
)

// CallOutcome is what a caller knows of its request in the end.
type CallOutcome string

// Outcomes of calls.
const (
	CallOK         CallOutcome = "ok"
	CallNotRun     CallOutcome = "not_run"
	CallMayHaveRun CallOutcome = "may_have_run"
)

// Call is the record of one logical request of a caller, with all its attempts.
type Call struct {
	// Tag is unique and passed to the target.
	Tag        string
	Workload   string
	Key        string
	Method     string
	Customer   string
	Idempotent bool
	// Shard is the hashed shard of the key, for keyed workloads.
	Shard int32
	// Due is when the request was to be sent, End when its outcome was known.
	Due, End time.Duration
	Outcome  CallOutcome
	// Code is the error code of the router, or one of the codes below.
	Code     string
	Status   int
	Attempts int
	// Entry is the entry host of the last attempt.
	Entry string
	// AnswerFault says what is wrong with an answer of success.
	AnswerFault string
	// AnswerTarget is the target named in the answer.
	AnswerTarget string
	// Cuts are attempts that ended because a connection was closed.
	Cuts []CutAttempt
}

// CutAttempt is an attempt whose connection was closed before the answer.
type CutAttempt struct {
	Entry   string
	Started time.Duration
	Ended   time.Duration
}

// Codes of attempts that got no answer.
const (
	codeNoConnection = "no_connection"
	codeLost         = "answer_lost"
	codeTimeout      = "caller_timeout"
)

// Limited reports whether the last attempt exceeded its customer's contract.
func (c *Call) Limited() bool { return c.Status == http.StatusTooManyRequests }

// Applied is a step that was performed.
type Applied struct {
	Step Step
	// At and Until are when it was performed and when its effect was ended;
	// Until is 0 when it lasts.
	At, Until time.Duration
	// Targets, Entries and Domain name what it hit.
	Targets []string
	Entries []string
	Domain  string
}

// ConfigSeen is a probe that saw whether a configuration change is in force on
// an entry host.
type ConfigSeen struct {
	Host string
	// Change numbers the changes from 1 on; a host that has applied none has 0.
	Change int
	At     time.Duration
}

// Evidence is all that the checker judges from.
type Evidence struct {
	Plan  *Plan
	Calls []Call
	Runs  []Run
	Steps []Applied
	// ConfigAt is when each change was accepted.
	ConfigAt []time.Duration
	Config   []ConfigSeen
	// Begin and MeasureFrom are the start of the load and the end of its
	// warm-up; End is the end of the load.
	Begin, MeasureFrom, End time.Duration
}
