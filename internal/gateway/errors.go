package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// Code classifies why the gateway answers a request by itself.
type Code string

// Codes of the gateway's own answers.
const (
	CodeInternal   Code = "internal"     // a fault of this program
	CodeNotReady   Code = "not_ready"    // no desired state is known yet
	CodeStopping   Code = "stopping"     // the host stops before the request's deadline
	CodeNoRoute    Code = "no_route"     // no route matches
	CodeMalformed  Code = "malformed"    // the request breaks the protocol
	CodeTooLarge   Code = "too_large"    // headers or body are over the limit
	CodeNoOwner    Code = "no_owner"     // nobody holds the key now
	CodeNoTarget   Code = "no_target"    // no target may get the request
	CodeOverload   Code = "overload"     // the request could not end in time
	CodeShed       Code = "shed"         // targets refused it without running it
	CodeMayHaveRun Code = "may_have_run" // it was sent and no answer came
	CodeTimeout    Code = "timeout"      // it was sent and the time ran out
	CodeBadAnswer  Code = "bad_answer"   // the answer was broken or not its own
)

// Failure is an answer of the gateway's own.
type Failure struct {
	Code   Code
	Status int
	// RetryAfter is sent with refusals, which promise that the request did not
	// run.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err != nil {
		return fmt.Sprintf("%s: %v", f.Code, f.Err)
	}
	return string(f.Code)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

func refuse(code Code, after time.Duration) *Failure {
	return &Failure{Code: code, Status: http.StatusServiceUnavailable, RetryAfter: max(after, minRetryAfter)}
}

// minRetryAfter keeps callers from coming back before anything can change.
const minRetryAfter = 50 * time.Millisecond
