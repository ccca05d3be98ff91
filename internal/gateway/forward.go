package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/coordinator"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/slotpeer"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/platform"
)

// call is one request of a caller in progress.
type call struct {
	g       *Gateway
	req     platform.RequestMetadata
	route   *fleet.Route
	arrived time.Duration
	// deadline is the earlier of the caller's and the route's.
	deadline time.Duration
	workload string
	keyed    bool
	// customer sends the request, nil on an anonymous route or without customers.
	customer *fleet.Customer
	// ownership is the range of the request's key as of the last placement.
	ownership ownedRange
	outgoing  targetRequest
	// memory is the caller's part of the memory of responses.
	memory *memoryBudget
	// pathHash identifies the route and path among the remembered sizes of responses.
	pathHash uint64
	// attempts counts sends that count against the route's MaxAttempts; tried names
	// the targets that are not chosen again.
	attempts int
	tried    []string
	// refusals counts refusals by targets; mayHaveRun is set when a target may have
	// run the request.
	refusals   int
	mayHaveRun bool
	// placedOn is the target at which the scheduler counts the request, or empty;
	// sending is set from the send to a target until its outcome was handled.
	placedOn string
	sending  bool
	// lease is the shared slot that the request has, or nil.
	lease *slotpeer.Lease
	// viewAge is the age of what the host knew of the targets at the last send.
	viewAge time.Duration
	// content identifies the request when targets end under it; hasRun is set while this is
	// the copy that may be sent.
	content content
	hasRun  bool
}

// Times of the request path.
const (
	// notReadyRetryAfter is the time after which a starting host is likely ready.
	notReadyRetryAfter = 500 * time.Millisecond
	// shedRetryDelay is the delay before a request for a key is sent again after the
	// owner refused it or could not be connected to.
	shedRetryDelay = 80 * time.Millisecond
)

// serve handles one request, whose body has been read whole. A panic ends the
// request with a failure that states its outcome correctly: it is refused only if
// nothing was sent to a target.
func (g *Gateway) serve(ctx context.Context, r *http.Request, body *requestBody, arrived time.Duration, memory *memoryBudget) (res *response, f *Failure) {
	c := &call{g: g, req: platform.ParseRequestHeaders(r.Header), arrived: arrived, memory: memory}
	err := guard.Call("request", func() { res, f = c.serve(ctx, r, body) })
	if err == nil {
		return res, f
	}
	g.cfg.Log.Error("panic", "duty", "request", "request", c.req.ID, "target", c.placedOn, "err", err)
	if c.placedOn != "" {
		c.releaseUnsent(c.placedOn)
	}
	if c.sending || c.mayHaveRun {
		return nil, &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: err}
	}
	return nil, newRefusal(CodeInternal, notReadyRetryAfter)
}

// serve finds the route of a request and runs it.
func (c *call) serve(ctx context.Context, r *http.Request, body *requestBody) (*response, *Failure) {
	g := c.g
	snap := g.syncSnapshot()
	if snap.DesiredState == nil {
		return nil, newRefusal(CodeNotReady, notReadyRetryAfter)
	}
	host, _, _ := strings.Cut(strings.ToLower(r.Host), ":")
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = snap.DesiredState.MatchRoute(host, path)
	if c.route == nil {
		if !g.cfg.Deployment.UpToDate() {
			return nil, newRefusal(CodeNotReady, notReadyRetryAfter)
		}
		return nil, &Failure{Code: CodeNoRoute, Status: http.StatusNotFound}
	}
	timeout := c.route.Timeout
	if c.req.Deadline > 0 && (timeout <= 0 || c.req.Deadline < timeout) {
		timeout = c.req.Deadline
	}
	c.deadline = c.arrived + timeout
	if failure := c.authenticate(snap.DesiredState, r.Header); failure != nil {
		return nil, failure
	}
	if g.stopsBefore(c.deadline) {
		return nil, newRefusal(CodeStopping, minRetryAfter)
	}
	c.pathHash = pathHash(c.route.Name, path)
	if g.lacksMemoryFor(c.arrived, c.pathHash) {
		return nil, newRefusal(CodeFull, bodyRetryAfter)
	}
	if failure := c.takeAllotment(ctx); failure != nil {
		return nil, failure
	}
	c.workload = g.chooseWorkload(c.route)
	c.keyed = c.req.Key >= 0 && snap.DesiredState.Workloads[c.workload] != nil && snap.DesiredState.Workloads[c.workload].Keyed
	c.outgoing = targetRequest{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, body: body.bytes(), bodyMemory: body, id: c.req.ID, ignoreCallerCancel: !c.route.Kind.Idempotent()}
	g.recordRequest(c.workload)
	if c.keyed {
		g.cfg.Deployment.CountKey(c.workload, c.req.Key)
	}
	res, failure := c.run(ctx)
	g.metrics.countOutcome(c.workload, c.route.Kind, res, failure)
	return res, failure
}

// run places and sends the request until there is a response or a failure, or the
// caller has left.
func (c *call) run(ctx context.Context) (*response, *Failure) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, c.finalFailure(&Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: err})
		}
		if failure := c.checkQuarantine(); failure != nil {
			return nil, c.finalFailure(failure)
		}
		d, failure := c.place(ctx)
		if failure != nil {
			return nil, c.finalFailure(failure)
		}
		c.placedOn = d.Target
		if c.lease != nil && !c.keepsOwner(d.Target) {
			c.releaseUnsent(d.Target)
			continue
		}
		again, failure := c.takeRun(ctx, d.Target)
		if failure != nil {
			return nil, c.finalFailure(failure)
		}
		if again {
			continue
		}
		res, failure, retry := c.send(ctx, d.Target)
		c.placedOn, c.sending = "", false
		c.endRun()
		if !retry {
			return res, failure
		}
	}
}

// finalFailure replaces a failure by CodeMayHaveRun if a target may have run the
// request, since a refusal guarantees that none did.
func (c *call) finalFailure(f *Failure) *Failure {
	if c.mayHaveRun {
		return &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: f}
	}
	return f
}

// place finds a target for the request.
func (c *call) place(ctx context.Context) (placement.Decision, *Failure) {
	r := placement.Request{
		Workload: c.workload, Route: c.route.Name, Priority: c.priority(), Deadline: c.deadline,
		Objective: c.route.Objective, ObjectiveDeadline: c.objectiveDeadline(), TriedTargets: c.tried, HasIdleConnection: c.g.pool.hasIdle,
	}
	if c.keyed {
		owner, failure := c.owner(ctx)
		if failure != nil {
			return placement.Decision{}, failure
		}
		r.Target, r.TriedTargets = owner, nil
	}
	start := boottime.Now()
	d, ok := c.acquire(ctx, r)
	c.g.metrics.queueWait.record(boottime.Now() - start)
	if !ok {
		return d, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: ctx.Err()}
	}
	if d.Action == placement.Refuse {
		code := CodeOverload
		switch d.Reason {
		case placement.ReasonNoTarget:
			code = CodeNoTarget
		case placement.ReasonLimit:
			code = CodeLimit
		}
		c.g.metrics.refusals.Add(string(d.Reason), 1)
		c.g.cfg.Log.Request("refused", c.req.ID, "route", c.route.Name, "workload", c.workload, "customer", c.customerName(), "key", c.req.Key, "target", r.Target,
			"reason", d.Reason, "retry_after_ms", d.RetryAfter.Milliseconds(), "left_ms", (c.deadline - boottime.Now()).Milliseconds())
		return d, newRefusal(code, d.RetryAfter)
	}
	return d, nil
}

// objectiveDeadline returns when the response should arrive, or 0 without an
// objective.
func (c *call) objectiveDeadline() time.Duration {
	if c.route.Objective <= 0 {
		return 0
	}
	return c.arrived + c.route.Objective
}

func (g *Gateway) serviceTime(now time.Duration, route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ServiceTime(now, route, "")
}

// send sends the request to a target. retry says that the request is to be placed
// again.
func (c *call) send(ctx context.Context, id string) (res *response, f *Failure, retry bool) {
	if !c.awaitCurrentTargets(ctx) {
		c.releaseUnsent(id)
		return nil, c.finalFailure(newRefusal(CodeNotReady, notReadyRetryAfter)), false
	}
	snap := c.g.syncSnapshot()
	t := snap.Targets[id]
	if t == nil {
		c.releaseUnsent(id)
		c.tried = append(c.tried, id)
		return nil, nil, true
	}
	if c.attempts+c.refusals > 0 && !c.g.takeRetry(c.workload) {
		c.releaseUnsent(id)
		return nil, c.finalFailure(newRefusal(CodeShed, shedRetryDelay)), false
	}
	now := boottime.Now()
	c.outgoing.timeLeft = func() (time.Duration, bool) {
		left := c.deadline - boottime.Now()
		age, current := c.g.cfg.Deployment.TargetsView()
		c.viewAge = age
		return left, left > 0 && current && c.g.isInUse(t)
	}
	c.sending = true
	res, failure := c.g.pool.roundTrip(ctx, &c.outgoing, id, t.Address, c.memory)
	took := boottime.Now() - now
	if failure != nil {
		return c.handleSendFailure(ctx, t, failure, took)
	}
	return c.handleResponse(ctx, t, res, took)
}

// currentTargetsPoll is the interval at which a request checks whether its host has caught up.
const currentTargetsPoll = 20 * time.Millisecond

// awaitCurrentTargets waits until the request may be sent by what is known of the targets, and
// reports whether that was in time. A host that is late catches up with one read.
func (c *call) awaitCurrentTargets(ctx context.Context) bool {
	if _, current := c.g.cfg.Deployment.TargetsView(); current {
		return true
	}
	c.g.metrics.sends.Add("waited for the targets", 1)
	for c.pause(ctx, currentTargetsPoll) {
		if _, current := c.g.cfg.Deployment.TargetsView(); current {
			return true
		}
	}
	return false
}

func (g *Gateway) releaseUnsent(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.ReleaseUnsent(id)
}

// handleShortage decides how a request continues for which this host lacked a descriptor or
// handleTooLate decides how a request continues that was not sent, since the target left or
// requestEnded reports to the scheduler that the request has ended at a target.
func (c *call) requestEnded(id string, outcome placement.Outcome) {
	c.placedOn = ""
	c.lease.End(outcome)
	c.lease = nil
	c.g.requestEnded(id, outcome)
}

// countTargetResult reports a keyed request's result at its target to the leader.
func (c *call) countTargetResult(id string, outcome placement.Outcome) {
	if !c.keyed {
		return
	}
	t := coordinator.TargetStats{ID: id}
	switch {
	case outcome.Failed || outcome.Shed && outcome.Load != nil && outcome.Load.Waiting == 0:
		t.Failed = 1
	case outcome.ResponseTime > 0 && !outcome.Shed && outcome.Load != nil && outcome.Load.Waiting == 0:
		t.Responses, t.ServiceMS = 1, outcome.ResponseTime.Milliseconds()
	default:
		return
	}
	c.g.cfg.Deployment.AddTargetStats(c.workload, t)
}

// canRetryInTime reports whether another send could still finish in time.
func (c *call) canRetryInTime() bool {
	now := boottime.Now()
	return now+c.g.serviceTime(now, c.route.Name)/2 < c.deadline
}

// pause waits and reports whether the request continues.
func (c *call) pause(ctx context.Context, d time.Duration) bool {
	if boottime.Now()+d >= c.deadline {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyRequestLimit applies the limit that a response states. One without a limit ends
// handleNotRun decides how a request continues after a target refused it.
