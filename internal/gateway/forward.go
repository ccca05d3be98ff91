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
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/platform"
)

// call is one request of a caller on its way.
type call struct {
	g       *Gateway
	req     platform.Request
	route   *fleet.Route
	arrived time.Duration
	// deadline is the earlier one of the caller's and the route's.
	deadline time.Duration
	workload string
	keyed    bool
	out      outgoing
	// sends counts targets that may have got the request, tried names them.
	sends int
	tried []string
	// refused counts refusals by targets; mayHaveRun is set when the outcome of
	// a send is unknown.
	refused    int
	mayHaveRun bool
	// placed is the target at which the board counts the request, or empty; sending
	// is set from the send to a target until its outcome was taken.
	placed  string
	sending bool
}

// Times of the request path.
const (
	// ownerWait is the longest wait for the owner of a key.
	ownerWait = 2 * time.Second
	// handOver is the expected rest of a hand-over of keys between two targets
	// that both answer: the work in progress on the keys ends first.
	handOver = 150 * time.Millisecond
	// notReadyAfter is the time after which a host that starts is likely ready.
	notReadyAfter = 500 * time.Millisecond
	// shedRetry is the pause before a request goes again to the owner of its key
	// that was full.
	shedRetry = 80 * time.Millisecond
)

// serve answers one request. body has been read whole. A panic ends the request
// with a failure that is true: refused when nothing was sent to a target.
func (g *Gateway) serve(ctx context.Context, r *http.Request, body []byte, arrived time.Duration) (a *answer, f *Failure) {
	c := &call{g: g, req: platform.ReadRequest(r.Header), arrived: arrived}
	err := guard.Call("request", func() { a, f = c.serve(ctx, r, body) })
	if err == nil {
		return a, f
	}
	g.cfg.Log.Error("panic", "duty", "request", "request", c.req.ID, "target", c.placed, "err", err)
	if c.placed != "" {
		g.withdrawn(c.placed)
	}
	if c.sending || c.mayHaveRun {
		return nil, &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: err}
	}
	return nil, refuse(CodeInternal, notReadyAfter)
}

// serve finds the route of a request and runs it.
func (c *call) serve(ctx context.Context, r *http.Request, body []byte) (*answer, *Failure) {
	g := c.g
	snap := g.sync()
	if snap.DesiredState == nil {
		return nil, refuse(CodeNotReady, notReadyAfter)
	}
	host, _, _ := strings.Cut(strings.ToLower(r.Host), ":")
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = snap.DesiredState.MatchRoute(host, path)
	if c.route == nil {
		if !g.cfg.Deployment.UpToDate() {
			return nil, refuse(CodeNotReady, notReadyAfter)
		}
		return nil, &Failure{Code: CodeNoRoute, Status: http.StatusNotFound}
	}
	left := c.route.Timeout
	if c.req.Deadline > 0 && (left <= 0 || c.req.Deadline < left) {
		left = c.req.Deadline
	}
	c.deadline = c.arrived + left
	if g.stopping(c.deadline) {
		return nil, refuse(CodeStopping, minRetryAfter)
	}
	c.workload = g.part(c.route)
	c.keyed = c.req.Key >= 0 && snap.DesiredState.Workloads[c.workload] != nil && snap.DesiredState.Workloads[c.workload].Keyed
	c.out = outgoing{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, body: body, id: c.req.ID, finishes: !c.route.Kind.Idempotent()}
	g.earn(c.workload)
	if c.keyed {
		g.cfg.Deployment.CountKey(c.workload, c.req.Key)
	}
	a, failure := c.run(ctx)
	g.m.count(c.workload, c.route.Kind, a, failure)
	return a, failure
}

// run places and sends the request until there is an answer or the caller has left.
func (c *call) run(ctx context.Context) (*answer, *Failure) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, c.final(&Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: err})
		}
		d, failure := c.place(ctx)
		if failure != nil {
			return nil, c.final(failure)
		}
		c.placed = d.Target
		a, failure, again := c.send(ctx, d.Target)
		c.placed, c.sending = "", false
		if !again {
			return a, failure
		}
	}
}

// final turns a refusal into a failure that does not promise too much, when an
// earlier send may have run the request.
func (c *call) final(f *Failure) *Failure {
	if c.mayHaveRun {
		return &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: f}
	}
	return f
}

// place finds a target.
func (c *call) place(ctx context.Context) (placement.Decision, *Failure) {
	r := placement.Request{
		Workload: c.workload, Route: c.route.Name, Priority: c.route.Priority, Deadline: c.deadline,
		Objective: c.route.Objective, ObjectiveDeadline: c.aim(), TriedTargets: c.tried, HasIdleConnection: c.g.pools.connected,
	}
	if c.keyed {
		owner, failure := c.owner(ctx)
		if failure != nil {
			return placement.Decision{}, failure
		}
		r.Target, r.TriedTargets = owner, nil
	}
	start := boottime.Now()
	d, ok := c.g.place(ctx, r)
	c.g.m.queue.add(boottime.Now() - start)
	if !ok {
		return d, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: ctx.Err()}
	}
	if d.Action == placement.Refuse {
		code := CodeOverload
		if d.Reason == placement.ReasonNoTarget {
			code = CodeNoTarget
		}
		c.g.m.refusals.Add(string(d.Reason), 1)
		c.g.cfg.Log.Request("refused", c.req.ID, "route", c.route.Name, "workload", c.workload, "target", r.Target,
			"reason", d.Reason, "retry_after_ms", d.RetryAfter.Milliseconds(), "left_ms", (c.deadline - boottime.Now()).Milliseconds())
		return d, refuse(code, d.RetryAfter)
	}
	return d, nil
}

// aim returns when the answer should be there, or 0 without an objective.
func (c *call) aim() time.Duration {
	if c.route.Objective <= 0 {
		return 0
	}
	return c.arrived + c.route.Objective
}

// owner returns the target that holds the request's key. It waits while the key
// is handed over, if that can end before the deadline.
func (c *call) owner(ctx context.Context) (string, *Failure) {
	for start := boottime.Now(); ; {
		changed := c.g.cfg.Deployment.Changed()
		snap := c.g.sync()
		now := boottime.Now()
		back := now + handOver
		if r := c.g.cfg.Deployment.RangeMap(c.workload); r != nil {
			id, ready, at := r.Owner(c.req.Key)
			if t := snap.Targets[id]; ready && t != nil && snap.Usable(t) {
				return id, nil
			}
			if !ready {
				back = max(at, back)
			}
		}
		if now-start >= ownerWait || back+c.g.service(now, c.route.Name)/2 > c.deadline {
			c.g.m.refusals.Add(string(CodeNoOwner), 1)
			c.g.cfg.Log.Request("no_owner", c.req.ID, "workload", c.workload, "key", c.req.Key,
				"waited_ms", (now - start).Milliseconds(), "back_ms", (back - now).Milliseconds())
			return "", refuse(CodeNoOwner, back-now)
		}
		timer := time.NewTimer(min(ownerWait, c.deadline-now))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return "", &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: ctx.Err()}
		}
		timer.Stop()
	}
}

func (g *Gateway) service(now time.Duration, route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.board.ServiceTime(now, route, "")
}

// send sends the request to a target. again says that it may go to another.
func (c *call) send(ctx context.Context, id string) (a *answer, f *Failure, again bool) {
	snap := c.g.sync()
	t := snap.Targets[id]
	if t == nil {
		c.g.withdrawn(id)
		c.tried = append(c.tried, id)
		return nil, nil, true
	}
	if c.sends+c.refused > 0 && !c.g.repeat(c.workload) {
		c.g.withdrawn(id)
		return nil, c.final(refuse(CodeShed, shedRetry)), false
	}
	now := boottime.Now()
	c.out.left = c.deadline - now
	c.sending = true
	a, failure := c.g.pools.roundTrip(ctx, &c.out, id, t.Address, c.g.answers)
	took := boottime.Now() - now
	if failure != nil {
		return c.sendFailed(ctx, id, failure, took)
	}
	return c.answered(ctx, t, a, took)
}

func (g *Gateway) withdrawn(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.board.ReleaseUnsent(id)
}

// sendFailed decides what follows a send without a proper answer.
func (c *call) sendFailed(ctx context.Context, id string, e *sendError, took time.Duration) (*answer, *Failure, bool) {
	c.g.m.sends.Add(e.reason, 1)
	gone := ctx.Err() != nil && !(e.sent && c.out.finishes)
	s := placement.Outcome{Route: c.route.Name, Failed: !gone, Unreachable: !e.sent && !gone, ColdRemaining: -1, ConnectionReset: e.reset()}
	c.ended(id, s)
	if !gone {
		c.count(id, s)
	}
	c.tried = append(c.tried, id)
	c.g.cfg.Log.Request("send_failed", c.req.ID, "target", id, "reason", e.reason, "sent", e.sent,
		"took_ms", took.Milliseconds(), "err", e.err)
	if gone {
		return nil, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: e}, false
	}
	if !e.sent {
		// A target that refuses connections may be an owner that is gone; the
		// next owner is known within the hold.
		if c.keyed && !c.pause(ctx, shedRetry) {
			return nil, c.final(refuse(CodeNoTarget, shedRetry)), false
		}
		return nil, nil, true
	}
	c.sends++
	c.mayHaveRun = true
	if c.route.Kind.Idempotent() && c.sends < c.route.MaxAttempts && c.timeLeft() {
		return nil, nil, true
	}
	if e.timeout() {
		return nil, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: e}, false
	}
	return nil, &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: e}, false
}

// ended tells the board that the request has ended at a target.
func (c *call) ended(id string, s placement.Outcome) {
	c.placed = ""
	c.g.ended(id, s)
}

// count tells the leader what a keyed request saw of its target.
func (c *call) count(id string, s placement.Outcome) {
	if !c.keyed {
		return
	}
	t := coordinator.TargetStats{ID: id}
	switch {
	case s.Failed || s.Shed && s.Load != nil && s.Load.Waiting == 0:
		t.Failed = 1
	case s.ResponseTime > 0 && !s.Shed && s.Load != nil && s.Load.Waiting == 0:
		t.Responses, t.ServiceMS = 1, s.ResponseTime.Milliseconds()
	default:
		return
	}
	c.g.cfg.Deployment.AddTargetStats(c.workload, t)
}

// timeLeft reports whether another send could still end in time.
func (c *call) timeLeft() bool {
	now := boottime.Now()
	return now+c.g.service(now, c.route.Name)/2 < c.deadline
}

// pause waits and reports whether the request goes on.
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

// answered decides what follows an answer.
func (c *call) answered(ctx context.Context, t *fleet.Target, a *answer, took time.Duration) (*answer, *Failure, bool) {
	id := t.ID
	c.heard(t, a)
	s := placement.Outcome{Route: c.route.Name, ResponseTime: took, ColdRemaining: a.said.Cold, ResponseBytes: len(a.body), Pause: a.said.Pause}
	if l := a.said.Load; l != nil {
		s.Load = &placement.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Pace}
	}
	broken := a.status < 300 && (!a.said.Signed || a.header.Get("Content-Encoding") != "")
	s.Shed = a.said.NotRun && !a.said.WrongTarget
	s.Failed = !a.said.NotRun && (a.status >= 500 || broken)
	if a.said.WrongTarget {
		s.ResponseTime = 0
	}
	c.ended(id, s)
	c.count(id, s)
	c.g.m.target.add(took)
	switch {
	case a.said.NotRun:
		a.discard()
		return c.notRun(ctx, id, a, s.Load.HasFreeSlots())
	case s.Failed && c.route.Kind.Idempotent() && c.sends+1 < c.route.MaxAttempts && !c.keyed && c.timeLeft():
		c.sends++
		c.tried = append(c.tried, id)
		c.mayHaveRun = true
		c.g.m.sends.Add("failed", 1)
		a.discard()
		return nil, nil, true
	case broken:
		a.discard()
		c.g.m.sends.Add("broken", 1)
		return nil, &Failure{Code: CodeBadAnswer, Status: http.StatusBadGateway}, false
	}
	c.g.m.sends.Add("answered", 1)
	c.g.cfg.Log.Request("served", c.req.ID, "route", c.route.Name, "workload", c.workload, "key", c.req.Key, "target", id,
		"status", a.status, "sends", c.sends+1, "refusals", c.refused, "target_ms", took.Milliseconds(),
		"total_ms", (boottime.Now() - c.arrived).Milliseconds(), "load", a.said.Load)
	return a, nil, false
}

// heard takes what an answer says of the target itself.
func (c *call) heard(t *fleet.Target, a *answer) {
	if a.said.Leaving {
		c.g.cfg.Deployment.MarkTargetLeaving(t.Ident())
		c.g.sync()
	}
	if a.said.BadPause {
		c.g.m.sends.Add("bad_pause", 1)
	}
	if a.said.Pause > 0 {
		c.g.m.sends.Add("pause", 1)
		c.g.cfg.Log.Request("target_pauses", c.req.ID, "target", t.ID, "pause_ms", a.said.Pause.Milliseconds())
	}
}

// notRun decides what follows a refusal by a target.
// hasRoom says that the target has free slots all the same.
func (c *call) notRun(ctx context.Context, id string, a *answer, hasRoom bool) (*answer, *Failure, bool) {
	c.refused++
	if !c.keyed {
		c.sends++
	}
	c.g.m.sends.Add("not_run", 1)
	c.g.cfg.Log.Request("not_run", c.req.ID, "target", id, "status", a.status, "wrong_target", a.said.WrongTarget,
		"key", c.req.Key, "sends", c.sends, "load", a.said.Load)
	if !c.keyed {
		c.tried = append(c.tried, id)
	}
	if c.sends >= c.route.MaxAttempts || !c.timeLeft() || c.keyed && (a.said.WrongTarget || hasRoom) && !c.pause(ctx, shedRetry) {
		after := shedRetry
		if c.keyed {
			after = max(after, a.said.Pause)
		}
		return nil, c.final(refuse(CodeShed, after)), false
	}
	return nil, nil, true
}
