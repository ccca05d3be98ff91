package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/membership"
)

// hostListInterval is the interval at which the leader reads the platform's list
// of hosts.
const hostListInterval = time.Second

// nonLeaderListTicks is the number of intervals between two reads by a granter
// that is not the leader. The list has all nodes of all domains (130 KB at the
// design size), and only the leader acts on it.
const nonLeaderListTicks = 10

// serveHostList reads the platform's list of hosts while this host is a granter.
func (c *Control) serveHostList(ctx context.Context) error {
	tick := time.NewTicker(hostListInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || c.cfg.HostList == nil || !c.isGranter(st) {
			continue
		}
		if !c.leads(st) && n%nonLeaderListTicks != 0 {
			continue
		}
		c.readHostList(ctx)
		if c.leads(st) {
			c.recordGoneHosts(ctx, st)
		}
	}
}

func (c *Control) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	start := c.cfg.Now()
	hosts, err := c.cfg.HostList.Hosts(ctx)
	if err != nil {
		c.log.Debug("failed to read the list of hosts", "error", err)
		return
	}
	c.domains.fitness.step(membership.EndpointResponded{SentAt: start})
	c.domains.fitness.step(membership.HostsListed{Hosts: hosts})
}

// recordGoneHosts writes a record for each host of this domain that may be
// declared gone.
func (c *Control) recordGoneHosts(ctx context.Context, st *journal.State) {
	for _, name := range c.domainHosts(st) {
		if name == c.cfg.Self.Name || !c.domains.fitness.mayDeclareGone(name) {
			continue
		}
		e := st.EntryHosts[name]
		e.Stopped = true
		if _, err := c.Append(ctx, journal.KindEntryHost, e); err != nil {
			c.log.Warn("failed to record a host as gone", "host", name, "error", err)
		}
	}
}
