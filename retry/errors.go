package retry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Code classifies an Error.
type Code string

// Codes of the request path.
const (
	CodeUnauthenticated   Code = "unauthenticated"
	CodeForbiddenWorkload Code = "workload_not_permitted"
	CodeUnknownWorkload   Code = "unknown_workload"
	CodeBadRequest        Code = "bad_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeRateLimited       Code = "rate_limited"
	CodeConcurrency       Code = "concurrency_limited"
	CodeShed              Code = "shed"
	CodeQueueFull         Code = "queue_full"
	CodeDeadline          Code = "deadline_exceeded"
	CodeNoOwner           Code = "no_owner"
	CodeNoHome            Code = "no_home"
	CodeNoTarget          Code = "no_target"
	CodeNotOwner          Code = "not_owner"
	CodeNotHome           Code = "not_home"
	CodeLeaving           Code = "leaving"
	CodeStopping          Code = "stopping"
	CodeNotReady          Code = "not_ready"
	CodeConnection        Code = "connection_failed"
	CodeResponseLost      Code = "response_lost"
	CodeTargetFailed      Code = "target_failed"
	CodeBadRequestID      Code = "bad_request_id"
	CodeDuplicate         Code = "duplicate_in_flight"
	CodeAlreadyDone       Code = "already_done"
	CodeRequestIDExpired  Code = "request_id_expired"
	CodeIssuerGone        Code = "issuer_gone"
	CodeInternal          Code = "internal"
)

// CodeInfo describes a Code.
type CodeInfo struct {
	Code Code
	// Status is the HTTP status.
	Status int
	// Outcome is the default outcome.
	Outcome Outcome
	// Retryable says that the same request may succeed later.
	Retryable bool
	// Message is the default message.
	Message string
}

// codes is the table of codes, in the order of the request path.
var codes = []CodeInfo{
	{CodeUnauthenticated, http.StatusUnauthorized, NotRun, false, "the customer or its credential is not accepted"},
	{CodeForbiddenWorkload, http.StatusForbidden, NotRun, false, "the contract does not include this workload"},
	{CodeUnknownWorkload, http.StatusNotFound, NotRun, false, "there is no such workload"},
	{CodeBadRequest, http.StatusBadRequest, NotRun, false, "the request is malformed"},
	{CodeBodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, false, "the body is larger than the contract or the workload permits"},
	{CodeRateLimited, http.StatusTooManyRequests, NotRun, true, "the rate of the contract is used up"},
	{CodeConcurrency, http.StatusTooManyRequests, NotRun, true, "the contract's number of requests in flight is reached"},
	{CodeShed, http.StatusServiceUnavailable, NotRun, true, "the target has too much work"},
	{CodeQueueFull, http.StatusServiceUnavailable, NotRun, true, "the target's queue is full"},
	{CodeDeadline, http.StatusGatewayTimeout, NotRun, true, "the deadline cannot be met"},
	{CodeNoOwner, http.StatusServiceUnavailable, NotRun, true, "no target owns the key at present"},
	{CodeNoHome, http.StatusServiceUnavailable, NotRun, true, "no entry host sends to the target at present"},
	{CodeNoTarget, http.StatusServiceUnavailable, NotRun, true, "no target is fit for the workload at present"},
	{CodeNotOwner, http.StatusServiceUnavailable, NotRun, true, "the key has moved to another target"},
	{CodeNotHome, http.StatusServiceUnavailable, NotRun, true, "another entry host sends to the target"},
	{CodeLeaving, http.StatusServiceUnavailable, NotRun, true, "the target is leaving"},
	{CodeStopping, http.StatusServiceUnavailable, NotRun, true, "the entry host is stopping"},
	{CodeNotReady, http.StatusServiceUnavailable, NotRun, true, "the entry host is not ready"},
	{CodeConnection, http.StatusBadGateway, NotRun, true, "no connection to the target could be opened"},
	{CodeResponseLost, http.StatusBadGateway, MayHaveRun, false, "the response was lost"},
	{CodeTargetFailed, http.StatusBadGateway, MayHaveRun, false, "the target failed"},
	{CodeBadRequestID, http.StatusBadRequest, NotRun, false, "the request identifier is malformed or was not issued here"},
	{CodeDuplicate, http.StatusConflict, MayHaveRun, true, "a request with this identifier is in flight"},
	{CodeAlreadyDone, http.StatusConflict, Ran, false, "a request with this identifier has ended"},
	{CodeRequestIDExpired, http.StatusGone, MayHaveRun, false, "the request identifier is too old"},
	{CodeIssuerGone, http.StatusGone, MayHaveRun, false, "the entry host that issued the request identifier is gone"},
	{CodeInternal, http.StatusInternalServerError, MayHaveRun, false, "internal error"},
}

var codeIndex = func() map[Code]int {
	m := make(map[Code]int, len(codes))
	for i, c := range codes {
		m[c.Code] = i
	}
	return m
}()

// Codes returns the table of codes.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codes...) }

// Info returns the description of a code; an unknown code is described as
// CodeInternal.
func Info(c Code) CodeInfo {
	if i, ok := codeIndex[c]; ok {
		return codes[i]
	}
	return codes[codeIndex[CodeInternal]]
}

// Error is the only error type of the request path. Its JSON form is the body that
// callers receive. Message is for the customer who sent the request and names no
// other customer, target, host or address.
type Error struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
	// RetryAfterMS is the wait before a retry, in milliseconds; absent when 0.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Detail and Err are for the host's log only and are never sent.
	Detail string `json:"-"`
	Err    error  `json:"-"`
}

// NewError returns an Error with the default outcome and message of the code.
// The message of an unknown code is that of CodeInternal.
func NewError(c Code) *Error {
	info := Info(c)
	return &Error{Code: info.Code, Outcome: info.Outcome, Message: info.Message}
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy with a retry hint, rounded up to milliseconds.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMS = int64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
	return &c
}

// WithCause returns a copy with a detail and a cause for the log.
func (e *Error) WithCause(detail string, err error) *Error {
	c := *e
	c.Detail, c.Err = detail, err
	return &c
}

// Error implements error. The text includes Detail and the cause, and is for
// logs.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s: %s", e.Code, e.Outcome, e.Message)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status returns the HTTP status of the error.
func (e *Error) Status() int { return Info(e.Code).Status }

// Body returns the JSON that callers receive.
func (e *Error) Body() []byte {
	// The fields are strings and an integer, which always encode.
	b, _ := json.Marshal(e)
	return append(b, '\n')
}

// ParseError decodes the body of another entry host's error response. It returns
// false if the body is not one or has an unknown outcome.
func ParseError(body []byte) (*Error, bool) {
	var e Error
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" || !e.Outcome.Valid() {
		return nil, false
	}
	return &e, true
}
