package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/quarantine"
)

const (
	// confirmTimeout bounds the connection that shows whether a target has ended.
	confirmTimeout = 200 * time.Millisecond
	// maxEndsToRepeat is the number of ends of targets under a request up to which it is
	// sent again within its attempt.
	maxEndsToRepeat = 1
)

// content is the identity of a request's content, computed when it is first needed.
type content struct {
	hasHead, hasRequest bool
	head                quarantine.Digest
	request             quarantine.Request
}

// contentHead returns the digest of the request without its body.
func (c *call) contentHead() quarantine.Digest {
	if !c.content.hasHead {
		o := &c.outgoing
		c.content.head, c.content.hasHead = quarantine.HeadOf(o.method, o.host, o.uri, len(o.body)), true
	}
	return c.content.head
}

// contentID returns the identity of the request's content.
func (c *call) contentID() quarantine.Request {
	if !c.content.hasRequest {
		c.content.request, c.content.hasRequest = quarantine.RequestOf(c.contentHead(), c.outgoing.body), true
	}
	return c.content.request
}

// suspicion returns the verdict on the request, or false if it is not suspected.
func (c *call) suspicion() (quarantine.Verdict, bool) {
	list := c.g.cfg.Deployment.SuspectedRequests()
	if list == nil || !list.HasHead(c.contentHead()) {
		return quarantine.Verdict{}, false
	}
	return list.Lookup(c.contentID())
}

// runMargin is added to the time that a run may last, for the answer and the report.
const runMargin = 500 * time.Millisecond

// checkQuarantine returns the refusal of a request under which targets ended.
func (c *call) checkQuarantine() *Failure {
	v, ok := c.suspicion()
	now := boottime.Now()
	if !ok || !v.Refuse || now >= v.NextTrial || c.hasRun {
		return nil
	}
	return c.refuseSuspect(v, v.RetryAfter(now))
}

func (c *call) refuseSuspect(v quarantine.Verdict, after time.Duration) *Failure {
	c.g.metrics.refusals.Add(string(CodeQuarantined), 1)
	c.g.cfg.Log.Request("quarantined", c.req.ID, "route", c.route.Name, "workload", c.workload, "digest", v.ID.String(),
		"ends", v.Ends, "refused", v.Refuse, "retry_after_ms", after.Milliseconds())
	return newRefusal(CodeQuarantined, after)
}

// takeRun takes a run for a request that is to be sent, if it is suspected. When another
// copy runs, it gives the placement back and waits until it may ask again; retry then says
// that the request is to be placed again.
func (c *call) takeRun(ctx context.Context, target string) (retry bool, f *Failure) {
	v, suspected := c.suspicion()
	if !suspected {
		return false, nil
	}
	changed := c.g.cfg.Deployment.Changed()
	now := boottime.Now()
	granted, wait := c.g.cfg.Deployment.TakeRun(ctx, v.Request, c.deadline-now+runMargin)
	if granted {
		c.hasRun = true
		return false, nil
	}
	c.releaseUnsent(target)
	now = boottime.Now()
	latest := c.deadline - c.g.serviceTime(now, c.route.Name)/2
	if v.Refuse || now >= latest {
		return false, c.refuseSuspect(v, max(wait, v.RetryAfter(now)))
	}
	timer := time.NewTimer(min(max(wait, time.Millisecond), latest-now))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true, nil
}

// endRun returns the run that was taken, if any.
func (c *call) endRun() {
	if c.hasRun {
		c.hasRun = false
		c.g.cfg.Deployment.EndRun(c.contentID())
	}
}

// noteTargetEnd records that a target ended under the request, if it did: the connection
// broke, the target was not about to leave, and it refuses new connections. A broken
// connection alone has other causes, such as an idle connection that the target closed.
func (c *call) noteTargetEnd(ctx context.Context, t *fleet.Target, e *sendError) {
	if !e.sent || !e.connectionLost() || !c.g.isInUse(t) || !c.g.refusesConnections(ctx, t) || !c.g.isInUse(t) {
		return
	}
	c.g.metrics.sends.Add("target_ended", 1)
	c.g.cfg.Log.Request("target_ended", c.req.ID, "route", c.route.Name, "workload", c.workload, "target", t.ID,
		"digest", c.contentID().ID.String(), "err", e.err)
	c.g.cfg.Deployment.RecordTargetEnd(c.contentID(), t.Ident())
}

// connectionLost reports whether the target's side ended the connection.
func (e *sendError) connectionLost() bool {
	return errors.Is(e.err, io.EOF) || errors.Is(e.err, io.ErrUnexpectedEOF) || errors.Is(e.err, syscall.ECONNRESET) || errors.Is(e.err, syscall.EPIPE)
}

// isInUse reports whether an incarnation of a target may still receive requests.
func (g *Gateway) isInUse(t *fleet.Target) bool {
	snap := g.cfg.Deployment.Snapshot()
	x := snap.Targets[t.ID]
	return x != nil && x.Ident() == t.Ident() && snap.Usable(x)
}

// refusesConnections reports whether a target refuses a new connection. One that is made
// is kept for later requests.
func (g *Gateway) refusesConnections(ctx context.Context, t *fleet.Target) bool {
	nc, err := platform.Dialer(confirmTimeout).DialContext(context.WithoutCancel(ctx), "tcp", t.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	g.pool.put(newTargetConn(nc), t.ID, t.Address)
	return false
}

// mayRepeat reports whether the request may be sent again within its attempt.
func (c *call) mayRepeat() bool {
	v, ok := c.suspicion()
	return !ok || v.Ends <= maxEndsToRepeat
}

// noteAnswer records that a target answered a suspected request.
func (c *call) noteAnswer() {
	if v, ok := c.suspicion(); ok {
		c.g.cfg.Deployment.RecordAnswer(v.Request)
	}
}
