package coordinator

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform"
)

// leavingMessage names targets that said themselves that they stop. Hosts tell the
// leader, which moves their keys, and the leader tells all others.
type leavingMessage struct {
	Runs []fleet.Incarnation `json:"runs"`
}

// MarkTargetLeaving records that a target itself reported that it is stopping.
func (c *Coordinator) MarkTargetLeaving(run fleet.Incarnation) {
	if !c.targetsLeave([]fleet.Incarnation{run}, true) {
		return
	}
	select {
	case c.leavingHeard <- struct{}{}:
	default: // the connection is about to send all
	}
}

// heardGrant takes what a target says of itself in the answer to a grant.
func (c *Coordinator) heardGrant(target, address string, said platform.Answer) {
	if !said.Leaving {
		return
	}
	if t := c.Snapshot().Targets[target]; t != nil && t.Address == address {
		c.MarkTargetLeaving(t.Ident())
	}
}

// targetsLeave puts runs on the list of those that stop and reports whether any
// was new. The leader tells its peers.
func (c *Coordinator) targetsLeave(runs []fleet.Incarnation, own bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh []fleet.Incarnation
	for _, r := range runs {
		if c.dir.MarkLeaving(r, own) {
			fresh = append(fresh, r)
			c.cfg.Log.Info("target_leaves", "target", r.ID, "address", r.Address, "own", own)
		}
	}
	if len(fresh) == 0 {
		return false
	}
	c.publish()
	if c.Leading() {
		c.peers.send(methodLeaving, leavingMessage{Runs: fresh})
	}
	return true
}

// leavingTargets returns the announced targets that said themselves that they stop.
func (c *Coordinator) leavingTargets(ownOnly bool) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dir.LeavingIncarnations(ownOnly)
}

// tellLeaving tells the leader which targets told this host that they stop.
func (c *Coordinator) tellLeaving(ctx context.Context, nc net.Conn, conn *jsonrpc2.Conn) error {
	runs := c.leavingTargets(true)
	if len(runs) == 0 {
		return nil
	}
	return notify(ctx, nc, conn, methodLeaving, leavingMessage{Runs: runs})
}
