package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/admission"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpmessage"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

const (
	// maxAttempts limits the attempts of one request at its home. The home
	// closes all idle connections after the first broken one, so a third
	// attempt is rare.
	maxAttempts = 3
	// nonIdempotentSilenceFactor multiplies the silence timeout of a connection
	// with a non-idempotent request, since abandoning such a request leaves its
	// outcome unknown.
	nonIdempotentSilenceFactor = 4
	// maxStillRunningReports is how often the target's report that the request
	// still runs is accepted, since the report may be wrong.
	maxStillRunningReports = 4
	// minRetryAfter is the minimum Retry-After hint after a target sheds a request.
	minRetryAfter = 5 * time.Millisecond
)

// fenceError reports that this host may no longer send the request.
type fenceError struct{ code retry.Code }

// Error implements error.
func (e *fenceError) Error() string { return "write refused: " + string(e.code) }

var (
	errNoPermit   = &fenceError{retry.CodeNotHome}
	errShardMoved = &fenceError{retry.CodeNotOwner}
)

// serveHome runs a request on this host, the home of its target.
func (s *Server) serveHome(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	ctx, cancel := context.WithTimeout(ctx, c.remaining())
	ctx, span := s.startSpan(ctx, "home", nil)
	ans, err := s.serveHomeInSpan(ctx, c, r)
	describeSpan(span, c, r)
	endSpan(span, err)
	if err != nil {
		cancel()
		return nil, err
	}
	ans.onFinish(func(bool) { cancel() })
	return ans, nil
}

func (s *Server) serveHomeInSpan(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	h := s.ensureHome(r.target)
	if h == nil {
		return nil, newError(retry.CodeNotHome)
	}
	if c.keyed && s.cfg.HotKeys != nil {
		s.cfg.HotKeys.Observe(c.workload, c.key, r.shard)
	}
	version := uint64(s.cfg.Source.View().State.TargetVersion[r.target])
	h.beginRequest(version)
	slot, err := h.acquire(ctx, c)
	if err != nil {
		h.endRequest(version)
		return nil, err
	}
	start := time.Now()
	defer addSince(s.m.homeUS, start)
	outcome := retry.NotRun
	for n := 1; ; n++ {
		ans, latency, err := s.send(ctx, h, c, r)
		if err == nil {
			ans.load, ans.hasLoad = h.hint(), true
			ans.onFinish(func(bool) {
				h.endRequest(version)
				h.release(slot, admission.Sample{Latency: latency, Outcome: admission.OutcomeOK})
			})
			return ans, nil
		}
		outcome = retry.CombineOutcomes(outcome, err.Outcome)
		if n < maxAttempts && s.shouldResend(c, h, err) {
			continue
		}
		err = err.WithOutcome(outcome)
		h.endRequest(version)
		h.release(slot, admission.Sample{Latency: latency, Outcome: sampleOutcome(err)})
		if err.Code == retry.CodeShed {
			// The target sends no hint; the queue here gives an estimate.
			err = err.WithRetryAfter(max(h.estimatedWait(), minRetryAfter))
		}
		return nil, err
	}
}

// shouldResend reports whether the home itself retries a request. A request of
// which nothing was written costs the target nothing and uses no retry budget.
func (s *Server) shouldResend(c *call, h *home, e *retry.Error) bool {
	switch e.Code {
	case retry.CodeConnection:
		if errors.As(e.Err, new(*brokenConnError)) && c.body.canResend() {
			h.pool.close()
			return true
		}
		return false
	case retry.CodeResponseLost, CodeSilentConnection:
		return c.keyed && s.retryable(c, e) && s.takeRetry(c)
	}
	return false
}

func sampleOutcome(e *retry.Error) admission.Outcome {
	switch e.Code {
	case retry.CodeShed:
		return admission.OutcomeShed
	case CodeCancelled, retry.CodeDeadline:
		return admission.OutcomeCancelled
	}
	return admission.OutcomeFailed
}

// send sends a request to the target once. latency is the time until the
// response, or the part that is read ahead, has been read; the time for the
// rest may depend on how fast the caller reads.
func (s *Server) send(ctx context.Context, h *home, c *call, r route) (ans *answer, latency time.Duration, e *retry.Error) {
	start := time.Now()
	defer func() { latency = time.Since(start) }()
	left := c.remaining()
	if left <= 0 {
		return nil, 0, newError(retry.CodeDeadline)
	}
	ctx, span := s.startSpan(ctx, "target", nil)
	defer func() { describeSpan(span, c, r); endSpan(span, e) }()
	attemptCtx, cancel := context.WithCancel(ctx)
	req, ok := c.newRequest(attemptCtx, h.pool.addr, httpplatform.PathWork, r, left)
	if !ok {
		cancel()
		return nil, 0, newError(retry.CodeConnection).WithCause("body cannot be sent again", nil)
	}
	a := s.targetAttempt(attemptCtx, cancel, h, c, r)
	resp, failure := a.roundTrip(h.pool.transport, req)
	if failure != nil {
		return nil, 0, s.targetFailure(ctx, c, r, failure)
	}
	if e := s.parseRefusal(resp, a, r); e != nil {
		return nil, 0, e
	}
	if id := resp.Header.Get(provider.HeaderRequestID); id != "" && id != c.id {
		a.abort(errMismatchedResponse)
		_ = resp.Body.Close()
		s.m.crossedAnswers.Add(1)
		return nil, 0, newError(retry.CodeTargetFailed).WithCause("send", errMismatchedResponse)
	}
	ans, err := newAnswer(c, resp, a)
	if err != nil {
		return nil, 0, s.responseError(ctx, err)
	}
	return ans, 0, nil
}

func (s *Server) targetAttempt(ctx context.Context, cancel context.CancelFunc, h *home, c *call, r route) *attempt {
	silenceTimeout := h.silenceTimeout(s.cfg.MinSilenceTimeout)
	if !c.idempotent {
		silenceTimeout *= nonIdempotentSilenceFactor
	}
	stillRunningReports := 0
	probe := func(ctx context.Context) error {
		err := h.probeTarget(ctx)
		if errors.As(err, new(*stillRunningError)) {
			if stillRunningReports++; stillRunningReports > maxStillRunningReports {
				return nil
			}
		}
		return err
	}
	return &attempt{ctx: ctx, cancel: cancel, writeCheck: s.writeCheckFor(c, r), probe: probe, silenceTimeout: silenceTimeout, bodySilenceTimeout: s.cfg.BodyStallTimeout, m: s.m}
}

// writeCheckFor returns the check that runs immediately before each write. The
// home's permit must be valid. A target that does not check epochs relies on
// the sender, so for it the shard must be active there in this host's own view.
func (s *Server) writeCheckFor(c *call, r route) func() error {
	if s.cfg.DisableFence {
		return nil
	}
	return func() error {
		if s.cfg.Source.Permit(r.target) <= 0 {
			return errNoPermit
		}
		if c.keyed && !s.ownsShard(c, r, !c.fencing) {
			return errShardMoved
		}
		return nil
	}
}

// ownsShard reports whether the target owns the route's shard in this host's
// view. requireEpoch requires the route's epoch; otherwise an older view is
// accepted, since the target itself compares the epochs.
func (s *Server) ownsShard(c *call, r route, requireEpoch bool) bool {
	shard, ok := shardOf(s.cfg.Source.View(), c.workload, r.shard)
	if !ok {
		return !requireEpoch
	}
	if shard.Epoch == r.epoch {
		return shard.Active() && shard.Owner == r.target
	}
	return !requireEpoch && shard.Epoch < r.epoch
}

// parseRefusal returns the error of a response by which the target refuses a
// request that it has not run, or nil for any other response.
func (s *Server) parseRefusal(resp *http.Response, a *attempt, r route) *retry.Error {
	if resp.StatusCode != http.StatusConflict && resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	if resp.Header.Get(HeaderOutcome) != string(retry.NotRun) {
		return nil
	}
	var e *retry.Error
	switch resp.Header.Get(HeaderCode) {
	case provider.RefusalNotOwner:
		e = newError(retry.CodeNotOwner)
		s.cfg.Source.Report(view.Event{Kind: view.EventNotOwner, Target: r.target})
	case provider.RefusalLeaving:
		e = newError(retry.CodeLeaving)
		s.cfg.Source.Report(view.Event{Kind: view.EventTargetLeaving, Target: r.target})
	case provider.RefusalShed:
		e = newError(retry.CodeShed)
	case provider.RefusalDeadline:
		e = newError(retry.CodeDeadline)
	default:
		return nil
	}
	_, whole, err := readAhead(http.MethodGet, resp)
	_ = resp.Body.Close()
	a.finish(whole && err == nil)
	return e
}

// brokenConnError reports that a connection failed before any byte was written.
type brokenConnError struct{ err error }

// Error implements error.
func (e *brokenConnError) Error() string { return "connection failed before write: " + e.err.Error() }

// Unwrap returns the cause.
func (e *brokenConnError) Unwrap() error { return e.err }

// targetFailure converts the failure of an attempt into the caller's error.
func (s *Server) targetFailure(ctx context.Context, c *call, r route, f *attemptError) *retry.Error {
	if fence := (*fenceError)(nil); errors.As(f.writeCheckErr, &fence) {
		return newError(fence.code).WithOutcome(outcomeOf(f.wrote)).WithCause("fence", f.writeCheckErr)
	}
	if e := c.body.callerErr(); e != nil {
		return e.WithOutcome(outcomeOf(f.wrote))
	}
	if e := contextError(ctx, f.wrote); e != nil {
		return e.WithCause("send", f.err)
	}
	switch {
	case f.dial:
		if refusedConnection(f.err) {
			s.cfg.Source.Report(view.Event{Kind: view.EventConnectionRefused, Target: r.target})
		}
		return newError(retry.CodeConnection).WithCause("dial", f.err)
	case !f.wrote:
		return newError(retry.CodeConnection).WithCause("send", &brokenConnError{f.err})
	case f.err == errSilent:
		s.m.silentConnections.Add(1)
		return newError(CodeSilentConnection).WithCause("send", f.err)
	case f.err == errMismatchedResponse:
		s.m.crossedAnswers.Add(1)
		return newError(retry.CodeTargetFailed).WithCause("send", f.err)
	case isMalformed(f.err):
		return newError(retry.CodeTargetFailed).WithCause("send", f.err)
	}
	return newError(retry.CodeResponseLost).WithCause("send", f.err)
}

// responseError returns the error for a response that cannot be passed on.
func (s *Server) responseError(ctx context.Context, err error) *retry.Error {
	if e := contextError(ctx, true); e != nil {
		return e.WithCause("read response", err)
	}
	if err == errSilent {
		s.m.silentConnections.Add(1)
		return newError(CodeSilentConnection).WithCause("read response", err)
	}
	if errors.As(err, new(*invalidResponseError)) || isMalformed(err) {
		return newError(retry.CodeTargetFailed).WithCause("read response", err)
	}
	return newError(retry.CodeResponseLost).WithCause("read response", err)
}

// isMalformed reports whether a target sent a malformed response.
func isMalformed(err error) bool {
	return errors.As(err, new(*httpmessage.FieldNameError)) || errors.As(err, new(*httpmessage.LineStartError))
}

// takeRetry takes one retry from the budgets of the host and the customer.
func (s *Server) takeRetry(c *call) bool {
	s.budgetMu.Lock()
	ok := s.budget.Take(boottime.Now(), c.customer)
	s.budgetMu.Unlock()
	if !ok {
		s.m.retriesWithoutBudget.Add(1)
		return false
	}
	s.m.retries.Add(1)
	return true
}
