package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/admission"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

const (
	// maxSends bounds the attempts of one request at its home. Broken idle
	// connections are closed together after the first one, so that a third
	// attempt is rare.
	maxSends = 3
	// nonIdempotentPatience multiplies the time without data after which a
	// connection with a non-idempotent request is tested: giving such a
	// request up leaves its outcome open.
	nonIdempotentPatience = 4
	// maxExcuses is how often a target's word that the request runs is
	// believed, since its report may be wrong.
	maxExcuses = 4
	// minRetryAfter is the least hint after a refusal by a target.
	minRetryAfter = 5 * time.Millisecond
)

// fenceError says that this host may no longer send the request.
type fenceError struct{ code retry.Code }

// Error implements error.
func (e *fenceError) Error() string { return "write refused: " + string(e.code) }

var (
	errNoPermit = &fenceError{retry.CodeNotHome}
	errMoved    = &fenceError{retry.CodeNotOwner}
)

// serveHome runs a request at this host as home of its target.
func (s *Server) serveHome(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	ctx, cancel := context.WithTimeout(ctx, c.left())
	ctx, span := s.startSpan(ctx, "home", nil)
	ans, err := s.serveHomeInSpan(ctx, c, r)
	describe(span, c, r)
	endSpan(span, err)
	if err != nil {
		cancel()
		return nil, err
	}
	ans.then(func(bool) { cancel() })
	return ans, nil
}

func (s *Server) serveHomeInSpan(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	h := s.home(r.target)
	if h == nil {
		return nil, newError(retry.CodeNotHome)
	}
	if c.keyed && s.cfg.HotKeys != nil {
		s.cfg.HotKeys.Observe(c.workload, c.key, r.shard)
	}
	version := uint64(s.cfg.Source.View().State.TargetVersion[r.target])
	h.enter(version)
	slot, err := h.acquire(ctx, c)
	if err != nil {
		h.leave(version)
		return nil, err
	}
	start := time.Now()
	defer addSince(s.m.homeUS, start)
	outcome := retry.NotRun
	for n := 1; ; n++ {
		ans, latency, err := s.send(ctx, h, c, r)
		if err == nil {
			ans.load, ans.loaded = h.hint(), true
			ans.then(func(bool) {
				h.leave(version)
				h.release(slot, admission.Sample{Latency: latency, Outcome: admission.OutcomeOK})
			})
			return ans, nil
		}
		outcome = retry.CombineOutcomes(outcome, err.Outcome)
		if n < maxSends && s.sendAgain(c, h, err) {
			continue
		}
		err = err.WithOutcome(outcome)
		h.leave(version)
		h.release(slot, admission.Sample{Latency: latency, Outcome: sampleOf(err)})
		if err.Code == retry.CodeShed {
			// The target gives no hint; its queue here does.
			err = err.WithRetryAfter(max(h.wait(), minRetryAfter))
		}
		return nil, err
	}
}

// sendAgain reports whether the home itself sends a request again. A request
// of which nothing was written costs the target nothing and takes no budget.
func (s *Server) sendAgain(c *call, h *home, e *retry.Error) bool {
	switch e.Code {
	case retry.CodeConnection:
		if errors.As(e.Err, new(*brokenError)) && c.body.again() {
			h.pool.close()
			return true
		}
		return false
	case retry.CodeResponseLost, CodeSilentConnection:
		return c.keyed && s.retryable(c, e) && s.takeRetry(c)
	}
	return false
}

func sampleOf(e *retry.Error) admission.Outcome {
	switch e.Code {
	case retry.CodeShed:
		return admission.OutcomeShed
	case CodeCancelled, retry.CodeDeadline:
		return admission.OutcomeCancelled
	}
	return admission.OutcomeFailed
}

// send sends a request to the target once. latency is the time until the
// response was read to its end, or as far as it is read ahead; the rest may
// depend on how fast the caller reads.
func (s *Server) send(ctx context.Context, h *home, c *call, r route) (ans *answer, latency time.Duration, e *retry.Error) {
	start := time.Now()
	defer func() { latency = time.Since(start) }()
	left := c.left()
	if left <= 0 {
		return nil, 0, newError(retry.CodeDeadline)
	}
	ctx, span := s.startSpan(ctx, "target", nil)
	defer func() { describe(span, c, r); endSpan(span, e) }()
	attemptCtx, cancel := context.WithCancel(ctx)
	req, ok := c.request(attemptCtx, h.pool.addr, httpplatform.PathWork, r, left)
	if !ok {
		cancel()
		return nil, 0, newError(retry.CodeConnection).WithCause("body cannot be sent again", nil)
	}
	a := s.targetAttempt(attemptCtx, cancel, h, c, r)
	resp, failure := a.roundTrip(h.pool.tr, req)
	if failure != nil {
		return nil, 0, s.targetFailure(ctx, c, r, failure)
	}
	if e := s.refusal(resp, a, r); e != nil {
		return nil, 0, e
	}
	if id := resp.Header.Get(provider.HeaderRequestID); id != "" && id != c.id {
		a.end(errCrossed)
		_ = resp.Body.Close()
		s.m.crossed.Add(1)
		return nil, 0, newError(retry.CodeTargetFailed).WithCause("send", errCrossed)
	}
	ans, err := newAnswer(c, resp, a)
	if err != nil {
		return nil, 0, s.cutAnswer(ctx, err)
	}
	return ans, 0, nil
}

func (s *Server) targetAttempt(ctx context.Context, cancel context.CancelFunc, h *home, c *call, r route) *attempt {
	after := h.silentAfter(s.cfg.MinSilenceTimeout)
	if !c.idempotent {
		after *= nonIdempotentPatience
	}
	excuses := 0
	probe := func(ctx context.Context) error {
		err := h.test(ctx)
		if errors.As(err, new(*stillRunningError)) {
			if excuses++; excuses > maxExcuses {
				return nil
			}
		}
		return err
	}
	return &attempt{ctx: ctx, cancel: cancel, gate: s.gateFor(c, r), probe: probe, silentAfter: after, pauseAfter: s.cfg.BodyStallTimeout, m: s.m}
}

// gateFor returns the check that is made last before each write. The home's
// permit must be valid. A target that does not check epochs relies on the
// sender, so for it the shard must be active there in this host's own view.
func (s *Server) gateFor(c *call, r route) func() error {
	if s.cfg.DisableFence {
		return nil
	}
	return func() error {
		if s.cfg.Source.Permit(r.target) <= 0 {
			return errNoPermit
		}
		if c.keyed && !s.holds(c, r, !c.fencing) {
			return errMoved
		}
		return nil
	}
}

// holds reports whether the target owns the route's shard in this host's view.
// exact requires the route's epoch; otherwise an older view is accepted, since
// the target itself compares the epochs.
func (s *Server) holds(c *call, r route, exact bool) bool {
	shard, ok := shardOf(s.cfg.Source.View(), c.workload, r.shard)
	if !ok {
		return !exact
	}
	if shard.Epoch == r.epoch {
		return shard.Active() && shard.Owner == r.target
	}
	return !exact && shard.Epoch < r.epoch
}

// refusal recognizes a response by which a target refuses a request that it
// has not run.
func (s *Server) refusal(resp *http.Response, a *attempt, r route) *retry.Error {
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

// brokenError says that an idle connection failed before anything was written.
type brokenError struct{ err error }

// Error implements error.
func (e *brokenError) Error() string { return "connection broke before the write: " + e.err.Error() }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.err }

// targetFailure turns the failure of an attempt into the caller's error.
func (s *Server) targetFailure(ctx context.Context, c *call, r route, f *attemptError) *retry.Error {
	if fence := (*fenceError)(nil); errors.As(f.gate, &fence) {
		return newError(fence.code).WithOutcome(outcomeOf(f.wrote)).WithCause("fence", f.gate)
	}
	if e := c.body.fault(); e != nil {
		return e.WithOutcome(outcomeOf(f.wrote))
	}
	if e := ended(ctx, f.wrote); e != nil {
		return e.WithCause("send", f.err)
	}
	switch {
	case f.dial:
		if refusedConnection(f.err) {
			s.cfg.Source.Report(view.Event{Kind: view.EventConnectionRefused, Target: r.target})
		}
		return newError(retry.CodeConnection).WithCause("dial", f.err)
	case !f.wrote:
		return newError(retry.CodeConnection).WithCause("send", &brokenError{f.err})
	case f.err == errSilent:
		s.m.silent.Add(1)
		return newError(CodeSilentConnection).WithCause("send", f.err)
	case f.err == errCrossed:
		s.m.crossed.Add(1)
		return newError(retry.CodeTargetFailed).WithCause("send", f.err)
	}
	return newError(retry.CodeResponseLost).WithCause("send", f.err)
}

// cutAnswer returns the error of a response that cannot be passed on.
func (s *Server) cutAnswer(ctx context.Context, err error) *retry.Error {
	if e := ended(ctx, true); e != nil {
		return e.WithCause("read response", err)
	}
	if err == errSilent {
		s.m.silent.Add(1)
		return newError(CodeSilentConnection).WithCause("read response", err)
	}
	if errors.As(err, new(*invalidAnswer)) {
		return newError(retry.CodeTargetFailed).WithCause("read response", err)
	}
	return newError(retry.CodeResponseLost).WithCause("read response", err)
}

// takeRetry takes a retry from the budgets of the host and the customer.
func (s *Server) takeRetry(c *call) bool {
	s.budgetMu.Lock()
	ok := s.budget.Take(boottime.Now(), c.customer)
	s.budgetMu.Unlock()
	if !ok {
		s.m.budgetEmpty.Add(1)
		return false
	}
	s.m.retries.Add(1)
	return true
}
