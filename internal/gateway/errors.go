package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// Code says why the gateway answered a request itself.
type Code string

// Codes of the gateway's own responses.
const (
	CodeInternal Code = "internal"  // a fault in this program
	CodeNotReady Code = "not_ready" // no desired state is known yet
	CodeStopping Code = "stopping"  // the host stops before the request's deadline
	CodeFull     Code = "full"      // the host has as many connections, or as much in its memory, as it can
	// CodeCredential means that the credential is missing or no customer's.
	CodeCredential  Code = "credential"
	CodeAllotment   Code = "allotment"    // the customer's allotment over all hosts is used up
	CodeNoRoute     Code = "no_route"     // no route matches
	CodeMalformed   Code = "malformed"    // the request breaks the protocol
	CodeTooLarge    Code = "too_large"    // headers or body are over the limit
	CodeNoOwner     Code = "no_owner"     // no target may serve the key now
	CodeNoTarget    Code = "no_target"    // no target may receive the request
	CodeOverload    Code = "overload"     // the request could not finish in time
	CodeLimit       Code = "limit"        // the targets that may run it state limits that are used up
	CodeShed        Code = "shed"         // targets refused it without running it
	CodeQuarantined Code = "quarantined"  // targets ended while they ran the same request
	CodeMayHaveRun  Code = "may_have_run" // it was sent and no response arrived
	CodeTimeout     Code = "timeout"      // the deadline passed after it was sent, or the caller left
	CodeBadResponse Code = "bad_answer"   // the response is unsigned or has a content encoding
)

// Failure is a response of the gateway's own.
type Failure struct {
	Code   Code
	Status int
	// RetryAfter is sent with refusals, which guarantee that the request did not
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

func newRefusal(code Code, after time.Duration) *Failure {
	return &Failure{Code: code, Status: http.StatusServiceUnavailable, RetryAfter: max(after, minRetryAfter)}
}

// minRetryAfter keeps callers from retrying before anything can have changed.
const minRetryAfter = 50 * time.Millisecond
