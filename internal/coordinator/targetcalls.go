package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/platform"
)

// releaseTimeout bounds a release, which waits for work in progress.
const releaseTimeout = 4 * time.Second

// startTargetCalls starts the calls that the granters request.
func (t *term) startTargetCalls(now time.Duration, snap *fleet.Snapshot) {
	sendUntil := now + t.c.cfg.Ranges.KeyLease.CallTimeout
	for _, g := range t.granters {
		calls := g.Tick(now, func(id string) bool { return t.address(snap, id) != "" })
		for _, o := range calls {
			go t.guardedCall(g, o, t.address(snap, o.Target), sendUntil)
		}
	}
}

func (t *term) address(snap *fleet.Snapshot, id string) string {
	if x := snap.Targets[id]; x != nil {
		return x.Address
	}
	return t.addresses[id]
}

// guardedCall makes one call to a target. After a panic the outcome is unknown.
func (t *term) guardedCall(g *lease.RangeGranter, o lease.TargetCall, address string, sendUntil time.Duration) {
	err := guard.Call("grant call", func() { t.callTarget(g, o, address, sendUntil) })
	if err == nil {
		return
	}
	t.c.cfg.Log.Error("panic", "duty", "grant call", "target", o.Target, "err", err)
	t.post(func(now time.Duration) {
		if o.Release {
			g.HandleReleaseResult(now, o, "", false)
		} else {
			g.HandleGrantResult(now, o, lease.GrantUnknown)
		}
	})
}

// callTarget makes one call to a target and posts its result. The call opens a connection,
// if it may, and leaves this host until the given time on the boot-time clock, or not at all:
// it may start late when the host is short of processor time.
func (t *term) callTarget(g *lease.RangeGranter, o lease.TargetCall, address string, sendUntil time.Duration) {
	parent := platform.WithSendingUntil(platform.WithDialingUntil(t.ctx, time.Now().Add(sendUntil-boottime.Now())), sendUntil)
	if o.OpenOnly {
		parent = platform.WithoutDialing(t.ctx)
	}
	if o.Release {
		ctx, cancel := context.WithTimeout(parent, releaseTimeout)
		defer cancel()
		handover, err := t.c.cfg.Grants.Release(ctx, address, o.Target, o.From, o.To, o.Fence)
		t.c.metrics.targetCall("release", err)
		t.post(func(now time.Duration) {
			g.HandleReleaseResult(now, o, handover, err == nil)
			t.c.cfg.Log.Debug("release", "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "err", err)
		})
		return
	}
	ctx, cancel := context.WithTimeout(parent, t.c.cfg.Ranges.KeyLease.CallTimeout)
	defer cancel()
	err := t.c.cfg.Grants.Grant(ctx, address, o.Target, platform.Grant{
		From: o.From, To: o.To, Fence: o.Fence, LeaseDuration: o.LeaseDuration, HandoverToken: o.Handover,
	})
	t.c.metrics.targetCall("grant", err)
	t.post(func(now time.Duration) {
		var e *platform.Error
		switch {
		case err == nil:
			delete(t.fenceRefusals, o.Target)
			g.HandleGrantResult(now, o, lease.GrantAccepted)
			return
		case errors.As(err, &e) && e.Outcome == platform.NotDone && e.Status == 0:
			g.HandleGrantResult(now, o, lease.GrantNotSent)
		default:
			g.HandleGrantResult(now, o, lease.GrantUnknown)
			if e != nil && e.Outcome == platform.Conflict && !g.Superseded(o) {
				t.noteFenceRefusal(o.Target)
			}
		}
		t.c.cfg.Log.Info("grant_failed", "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "err", err)
	})
}

// maxFenceRefusals is the number of consecutive fencing tokens that one target refused for no
// call of this term after which another leader must have granted it keys.
const maxFenceRefusals = 2

// noteFenceRefusal counts a refused fencing token, and ends the term if there are too many.
func (t *term) noteFenceRefusal(target string) {
	if t.fenceRefusals[target]++; t.fenceRefusals[target] >= maxFenceRefusals {
		t.endReason = endFenced
	}
}
