package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/boragelock/boragelock/retry"
)

// Codes of errors that only the HTTP side of an entry host returns, in addition
// to those of package retry. docs/api.md describes all of them.
const (
	CodeContractEnded     retry.Code = "contract_ended"
	CodeKeyTooLong        retry.Code = "key_too_long"
	CodeHeaderTooLarge    retry.Code = "header_too_large"
	CodeBodyTimeout       retry.Code = "body_timeout"
	CodeBodyCut           retry.Code = "body_cut"
	CodeSilentConnection  retry.Code = "silent_connection"
	CodeCancelled         retry.Code = "cancelled"
	CodeHoldFull          retry.Code = "hold_full"
	CodeIssuerUnreachable retry.Code = "issuer_unreachable"
	// CodeHomeUnreachable: the target's home could not be reached.
	CodeHomeUnreachable retry.Code = "home_unreachable"
)

// statusClientClosed is the non-standard but common status for a request whose
// caller has disconnected.
const statusClientClosed = 499

type codeInfo struct {
	status  int
	outcome retry.Outcome
	message string
}

var ownCodes = map[retry.Code]codeInfo{
	CodeContractEnded:     {http.StatusForbidden, retry.NotRun, "the contract has ended"},
	CodeKeyTooLong:        {http.StatusRequestURITooLong, retry.NotRun, "the key is too long"},
	CodeHeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, retry.NotRun, "the header is too large"},
	CodeBodyTimeout:       {http.StatusRequestTimeout, retry.NotRun, "the body was sent too slowly"},
	CodeBodyCut:           {http.StatusBadRequest, retry.NotRun, "the body ended early"},
	CodeSilentConnection:  {http.StatusBadGateway, retry.MayHaveRun, "the connection to the target went silent"},
	CodeCancelled:         {statusClientClosed, retry.MayHaveRun, "the caller gave the request up"},
	CodeHoldFull:          {http.StatusServiceUnavailable, retry.NotRun, "too many requests wait for keys that change hands"},
	CodeIssuerUnreachable: {http.StatusServiceUnavailable, retry.MayHaveRun, "the entry host that issued the request identifier cannot be reached; repeat with the same identifier"},
	CodeHomeUnreachable:   {http.StatusBadGateway, retry.NotRun, "the entry host of the target cannot be reached"},
}

// newError returns the Error of a code with its default outcome and message.
func newError(code retry.Code) *retry.Error {
	if info, ok := ownCodes[code]; ok {
		return &retry.Error{Code: code, Outcome: info.outcome, Message: info.message}
	}
	return retry.NewError(code)
}

func status(e *retry.Error) int {
	if info, ok := ownCodes[e.Code]; ok {
		return info.status
	}
	return e.Status()
}

// outcomeOf returns may_have_run when a byte of the request may have been
// written, else not_run.
func outcomeOf(wrote bool) retry.Outcome {
	if wrote {
		return retry.MayHaveRun
	}
	return retry.NotRun
}

// contextError returns the error of a request whose context has ended, or nil.
func contextError(ctx context.Context, wrote bool) *retry.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return newError(retry.CodeDeadline).WithOutcome(outcomeOf(wrote))
	}
	return newError(CodeCancelled).WithOutcome(outcomeOf(wrote))
}

// writeError writes e as the response.
func writeError(w http.ResponseWriter, e *retry.Error) {
	body := e.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderCode, string(e.Code))
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfterMS > 0 {
		const msPerSecond = 1000
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+msPerSecond-1)/msPerSecond, 10))
	}
	w.WriteHeader(status(e))
	_, _ = w.Write(body)
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(int64(d/time.Millisecond), 1), 10)
}
