package bench

import (
	"context"
	"encoding/json"

	"github.com/boragelock/boragelock/internal/standin"
)

// CallerAddrs returns the addresses that callers use to reach the entry hosts,
// in the order of the plan.
func (c *Cluster) CallerAddrs() []string {
	var out []string
	for _, e := range c.cfg.Plan.Entries {
		out = append(out, c.entries[e.Name].callers.proxy.Addr())
	}
	return out
}

// OperatorAddrs returns the operator addresses of all entry hosts, in the order
// of the plan.
func (c *Cluster) OperatorAddrs() []string {
	var out []string
	for _, e := range c.cfg.Plan.Entries {
		out = append(out, c.entries[e.Name].operator)
	}
	return out
}

// SwitchLog injects faults into the log; zero switches end them.
func (c *Cluster) SwitchLog(ctx context.Context, s standin.LogSwitches) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return &RunError{Op: "encode the fault switches of the log", Err: err}
	}
	return post(ctx, "http://"+c.logAddr.Admin+"/admin/switches", raw)
}

// CutLog cuts a domain off from the log, but not from the other domains, or
// restores the link.
func (c *Cluster) CutLog(domain string, cut bool) {
	l := c.network.findLink(linkLog, domain)
	l.cutFrom = ""
	if cut {
		l.cutFrom = domain
	}
	c.network.applyLinkFaults(l)
}
