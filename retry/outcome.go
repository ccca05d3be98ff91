package retry

// Outcome says whether a target ran a request.
type Outcome string

// Outcomes.
const (
	// NotRun: no target has run the request and none will.
	NotRun Outcome = "not_run"
	// MayHaveRun: it is unknown whether a target has run the request.
	MayHaveRun Outcome = "may_have_run"
	// Ran: a target has run the request.
	Ran Outcome = "ran"
)

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool { return o == NotRun || o == MayHaveRun || o == Ran }

// Attempt is what is known about one attempt to run a request.
type Attempt struct {
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// AnyByteSent says that at least one byte of the request was written to a
	// connection to a target, or to another entry host that did not respond.
	AnyByteSent bool
	// ReportedOutcome is the outcome that the target, or the home on its behalf,
	// reported; it is empty when there was no response.
	ReportedOutcome Outcome
	// ResponseReceived says that the target's response was received completely.
	ResponseReceived bool
}

// Outcome returns the outcome of the attempt.
func (a Attempt) Outcome() Outcome {
	switch {
	case a.ResponseReceived && a.ReportedOutcome == "":
		return Ran
	case a.ReportedOutcome.Valid():
		return a.ReportedOutcome
	case !a.AnyByteSent:
		return NotRun
	}
	return MayHaveRun
}

// Retryable reports whether the request may be sent again after the attempt.
// Budget and deadline are checked separately.
func (a Attempt) Retryable() bool {
	switch a.Outcome() {
	case NotRun:
		return true
	case Ran:
		return false
	}
	return a.Idempotent
}

// CombineOutcomes returns the outcome of a request over two successive or parallel
// attempts: it is not_run only if both are.
func CombineOutcomes(a, b Outcome) Outcome {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == NotRun && b == NotRun:
		return NotRun
	}
	return MayHaveRun
}
