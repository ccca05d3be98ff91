package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/placement"
)

// handleSendFailure decides how a request continues after a send without a usable
// response.
func (c *call) handleSendFailure(ctx context.Context, t *fleet.Target, e *sendError, took time.Duration) (*response, *Failure, bool) {
	id := t.ID
	c.g.metrics.sends.Add(e.reason, 1)
	switch e.reason {
	case reasonShortage:
		return c.handleShortage(ctx, id, e)
	case reasonTooLate:
		return c.handleTooLate(id)
	}
	callerGone := ctx.Err() != nil && !(e.sent && c.outgoing.ignoreCallerCancel)
	outcome := placement.Outcome{Route: c.route.Name, Failed: !callerGone, Unreachable: !e.sent && !callerGone, ColdRemaining: -1, ConnectionReset: e.connectionReset()}
	c.requestEnded(id, outcome)
	if !callerGone {
		c.countTargetResult(id, outcome)
	}
	c.tried = append(c.tried, id)
	c.g.cfg.Log.Request("send_failed", c.req.ID, "target", id, "reason", e.reason, "sent", e.sent,
		"took_ms", took.Milliseconds(), "view_ms", c.viewAge.Milliseconds(), "err", e.err)
	if callerGone {
		return nil, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: e}, false
	}
	if !e.sent {
		// A target that refuses connections may be an owner that is gone; another one
		// is granted its keys when its key lease has ended.
		if c.keyed && !c.pause(ctx, shedRetryDelay) {
			return nil, c.finalFailure(newRefusal(CodeNoTarget, shedRetryDelay)), false
		}
		return nil, nil, true
	}
	c.attempts++
	c.mayHaveRun = true
	c.noteTargetEnd(ctx, t, e)
	if c.route.Kind.Idempotent() && c.attempts < c.route.MaxAttempts && c.canRetryInTime() && c.mayRepeat() {
		return nil, nil, true
	}
	if e.timeout() {
		return nil, &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: e}, false
	}
	return nil, &Failure{Code: CodeMayHaveRun, Status: http.StatusBadGateway, Err: e}, false
}

// the like. That says nothing about the target.
func (c *call) handleShortage(ctx context.Context, id string, e *sendError) (*response, *Failure, bool) {
	c.placedOn = ""
	c.releaseUnsent(id)
	c.g.cfg.Log.Warn("send_shortage", "request", c.req.ID, "target", id, "err", e.err)
	if !c.pause(ctx, shedRetryDelay) {
		return nil, c.finalFailure(newRefusal(CodeFull, shedRetryDelay)), false
	}
	return nil, nil, true
}

// the deadline passed before a connection was open.
func (c *call) handleTooLate(id string) (*response, *Failure, bool) {
	c.placedOn = ""
	c.releaseUnsent(id)
	if boottime.Now() < c.deadline {
		return nil, nil, true
	}
	return nil, c.finalFailure(newRefusal(CodeOverload, minRetryAfter)), false
}

// handleResponse decides how a request continues after a response.
func (c *call) handleResponse(ctx context.Context, t *fleet.Target, res *response, took time.Duration) (*response, *Failure, bool) {
	id := t.ID
	c.applyTargetReport(t, res, took)
	outcome := placement.Outcome{Route: c.route.Name, ResponseTime: took, ColdRemaining: res.metadata.ColdRemaining, ResponseBytes: len(res.body), Pause: res.metadata.Pause}
	if l := res.metadata.Load; l != nil {
		outcome.Load = &placement.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}
	}
	broken := res.status < 300 && (!res.metadata.Signed || res.header.Get("Content-Encoding") != "")
	outcome.Shed = res.metadata.NotRun && !res.metadata.WrongTarget
	outcome.Failed = !res.metadata.NotRun && (res.status >= 500 || broken)
	if res.metadata.WrongTarget {
		outcome.ResponseTime = 0
	}
	c.requestEnded(id, outcome)
	c.countTargetResult(id, outcome)
	c.g.metrics.targetLatency.record(took)
	switch {
	case res.metadata.NotRun:
		res.discard()
		return c.handleNotRun(ctx, id, res, outcome.Load.HasFreeSlots())
	case outcome.Failed && c.route.Kind.Idempotent() && c.attempts+1 < c.route.MaxAttempts && !c.keyed && c.canRetryInTime():
		c.attempts++
		c.tried = append(c.tried, id)
		c.mayHaveRun = true
		c.g.metrics.sends.Add("failed", 1)
		res.discard()
		return nil, nil, true
	case broken:
		res.discard()
		c.g.metrics.sends.Add("broken", 1)
		return nil, &Failure{Code: CodeBadResponse, Status: http.StatusBadGateway}, false
	}
	if !outcome.Failed {
		c.noteAnswer()
	}
	c.g.responseSizes.record(boottime.Now(), c.pathHash, max(int64(len(res.body)), res.contentLength))
	c.g.metrics.sends.Add("answered", 1)
	c.g.cfg.Log.Request("served", c.req.ID, "route", c.route.Name, "workload", c.workload, "customer", c.customerName(), "key", c.req.Key, "target", id,
		"status", res.status, "sends", c.attempts+1, "refusals", c.refusals, "target_ms", took.Milliseconds(),
		"total_ms", (boottime.Now() - c.arrived).Milliseconds(), "view_ms", c.viewAge.Milliseconds(),
		"load", res.metadata.Load, "limit_per_s", res.metadata.RequestLimit)
	return res, nil, false
}

// applyTargetReport applies what a response reports of the target itself.
func (c *call) applyTargetReport(t *fleet.Target, res *response, took time.Duration) {
	c.applyRequestLimit(t, res, took)
	if res.metadata.Leaving {
		c.g.cfg.Deployment.MarkTargetLeaving(t.Ident())
		c.g.syncSnapshot()
	}
	if res.metadata.InvalidPause {
		c.g.metrics.sends.Add("bad_pause", 1)
	}
	if res.metadata.Pause > 0 {
		c.g.metrics.sends.Add("pause", 1)
		c.g.cfg.Log.Request("target_pauses", c.req.ID, "target", t.ID, "pause_ms", res.metadata.Pause.Milliseconds())
	}
}

// an earlier one only if it is certainly the target's.
func (c *call) applyRequestLimit(t *fleet.Target, res *response, took time.Duration) {
	m := res.metadata
	if m.InvalidRequestLimit {
		c.g.metrics.sends.Add("bad_limit", 1)
	}
	if m.RequestLimit > 0 {
		c.g.metrics.sends.Add("limited", 1)
	}
	if m.InvalidRequestLimit || m.WrongTarget || m.RequestLimit == 0 && !m.Signed && !m.NotRun {
		return
	}
	now := boottime.Now()
	c.g.cfg.Deployment.RecordRequestLimit(limits.LimitStatement{Target: t.Ident(), PerSecond: m.RequestLimit, SentAt: now - took, ReceivedAt: now})
}

// hasFreeSlots says that the target nevertheless reported free slots.
func (c *call) handleNotRun(ctx context.Context, id string, res *response, hasFreeSlots bool) (*response, *Failure, bool) {
	c.refusals++
	if !c.keyed {
		c.attempts++
	}
	if res.metadata.WrongTarget {
		c.g.metrics.sends.Add("wrong_target", 1)
	} else {
		c.g.metrics.sends.Add("not_run", 1)
	}
	c.g.cfg.Log.Request("not_run", c.req.ID, "target", id, "status", res.status, "wrong_target", res.metadata.WrongTarget,
		"key", c.req.Key, "sends", c.attempts, "view_ms", c.viewAge.Milliseconds(), "load", res.metadata.Load)
	if !c.keyed {
		c.tried = append(c.tried, id)
	}
	if c.keyed && res.metadata.WrongTarget && !c.g.cfg.Deployment.HasLeader() {
		c.g.lapsedOwners.note(boottime.Now(), c.ownership)
		return nil, nil, true // waits until the keys are granted
	}
	if c.attempts >= c.route.MaxAttempts || !c.canRetryInTime() || c.keyed && (res.metadata.WrongTarget || hasFreeSlots) && !c.pause(ctx, shedRetryDelay) {
		after := shedRetryDelay
		if c.keyed {
			after = max(after, res.metadata.Pause)
		}
		return nil, c.finalFailure(newRefusal(CodeShed, after)), false
	}
	return nil, nil, true
}
