package gateway

import (
	"context"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/slotpeer"
	"github.com/boragelock/boragelock/placement"
)

// SharedSlots grants the slots of targets for all hosts together (package slotpeer).
type SharedSlots interface {
	// Shares reports whether a request takes a shared slot.
	Shares(r placement.Request) bool
	// Acquire asks for a slot and waits for the answer. Without one, answered is false.
	Acquire(ctx context.Context, r placement.Request, targetDomain string) (d placement.Decision, l *slotpeer.Lease, answered bool)
}

// acquire finds a target for the request: by the coordinator of the shared slots or, if it
// does not answer, by the scheduler of this host. It returns false when the context ended
// first.
func (c *call) acquire(ctx context.Context, r placement.Request) (placement.Decision, bool) {
	if c.sharesSlots(r) {
		domain := ""
		if t := c.g.currentSnapshot().Targets[r.Target]; t != nil {
			domain = t.Domain
		}
		d, lease, answered := c.g.cfg.Slots.Acquire(ctx, r, domain)
		switch {
		case ctx.Err() != nil:
			lease.Release()
			return d, false
		case answered && d.Action == placement.Send && c.accepts(d.Target):
			c.lease = lease
			c.g.recordPlaced(d.Target, r.Route)
			return d, true
		case answered && d.Action == placement.Refuse && d.Reason != placement.ReasonNoTarget:
			return d, true
		}
		// A coordinator that knows of no target, or of another one than this host, may have
		// heard less of the targets, or more.
		lease.Release()
		r.SharedPool = true
	}
	return c.g.place(ctx, r)
}

// accepts reports whether a target that a coordinator chose may get the request by what this
// host knows: it belongs to the workload and states no limit. A limit may have become known
// while the request waited; it needs a permit then.
func (c *call) accepts(id string) bool {
	snap := c.g.syncSnapshot()
	t := snap.Targets[id]
	return t != nil && t.Workload == c.workload && snap.RequestLimit(t) == 0
}

// sharesSlots reports whether a request takes a shared slot. Targets that state a limit are
// left to permits, which are shared already.
func (c *call) sharesSlots(r placement.Request) bool {
	return c.g.cfg.Slots != nil && c.g.cfg.Slots.Shares(r) && !c.g.currentSnapshot().HasRequestLimits()
}

// keepsOwner reports whether the target still owns the key of a keyed request, which may
// have waited long.
func (c *call) keepsOwner(target string) bool {
	if !c.keyed {
		return true
	}
	ranges := c.g.cfg.Deployment.RangeMap(c.workload)
	if ranges == nil {
		return false
	}
	id, ready, _ := ranges.Owner(c.req.Key)
	return ready && id == target
}

// recordPlaced counts a request that a coordinator placed.
func (g *Gateway) recordPlaced(id, route string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordPlaced(boottime.Now(), id, route)
}

// releaseUnsent releases the slot of the request, which was not sent.
func (c *call) releaseUnsent(id string) {
	c.placedOn = ""
	c.lease.Release()
	c.lease = nil
	c.g.releaseUnsent(id)
}
