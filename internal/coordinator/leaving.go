package coordinator

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/platform"
)

// leavingMessage names incarnations of targets that reported that they are stopping.
// Hosts send it to the leader, which moves their keys and sends it to all other hosts.
type leavingMessage struct {
	Targets []fleet.Incarnation `json:"runs"`
}

// MarkTargetLeaving records that a target itself reported that it is stopping.
func (c *Coordinator) MarkTargetLeaving(incarnation fleet.Incarnation) {
	if !c.markTargetsLeaving([]fleet.Incarnation{incarnation}, true) {
		return
	}
	select {
	case c.leavingReported <- struct{}{}:
	default: // a signal is pending, and all leaving targets will be sent
	}
}

// handleGrantResponse handles what a target reports about itself in the response to
// a grant or a release.
func (c *Coordinator) handleGrantResponse(target, address string, response platform.ResponseMetadata) {
	t := c.Snapshot().Targets[target]
	if t == nil || t.Address != address {
		return
	}
	if response.Leaving {
		c.MarkTargetLeaving(t.Ident())
	}
	// Only responses to requests end a limit: targets need not state it in others.
	if response.RequestLimit > 0 && !response.WrongTarget {
		now := boottime.Now()
		c.RecordRequestLimit(limits.LimitStatement{
			Target: t.Ident(), PerSecond: response.RequestLimit, SentAt: now - releaseTimeout, ReceivedAt: now,
		})
	}
}

// markTargetsLeaving marks incarnations of targets as leaving and reports whether any was
// new. toThisHost means that they reported it to this host. The leader informs its peers.
func (c *Coordinator) markTargetsLeaving(incarnations []fleet.Incarnation, toThisHost bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []fleet.Incarnation
	for _, r := range incarnations {
		if c.dir.MarkLeaving(r, toThisHost) {
			added = append(added, r)
			c.cfg.Log.Info("target_leaves", "target", r.ID, "address", r.Address, "own", toThisHost)
		}
	}
	if len(added) == 0 {
		return false
	}
	c.publish()
	if c.Leading() {
		c.peers.send(methodLeaving, leavingMessage{Targets: added})
	}
	return true
}

// leavingTargets returns the announced targets that reported that they are stopping.
func (c *Coordinator) leavingTargets(toThisHostOnly bool) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dir.LeavingIncarnations(toThisHostOnly)
}

// sendLeaving sends the leader the targets that reported to this host that they are
// stopping.
func (c *Coordinator) sendLeaving(ctx context.Context, nc net.Conn, conn *jsonrpc2.Conn) error {
	incarnations := c.leavingTargets(true)
	if len(incarnations) == 0 {
		return nil
	}
	return notify(ctx, nc, conn, methodLeaving, leavingMessage{Targets: incarnations})
}
