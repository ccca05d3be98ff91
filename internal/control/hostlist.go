package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/membership"
)

// listInterval is the interval at which granters read the platform's list of hosts.
const listInterval = time.Second

// followerListTicks is the number of intervals between two reads by a granter
// that does not lead. The list names all nodes of all domains (130 KB at the
// design size), and only the leader acts on it.
const followerListTicks = 10

// serveHostList reads the platform's list of hosts while this host is a granter.
func (c *Control) serveHostList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
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
		if !c.leads(st) && n%followerListTicks != 0 {
			continue
		}
		c.readHostList(ctx)
		if c.leads(st) {
			c.dropGone(ctx, st)
		}
	}
}

func (c *Control) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	start := c.cfg.Now()
	hosts, err := c.cfg.HostList.Hosts(ctx)
	if err != nil {
		c.log.Debug("list of hosts not read", "error", err)
		return
	}
	c.domains.fitness.step(membership.EndpointResponded{SentAt: start})
	c.domains.fitness.step(membership.HostsListed{Hosts: hosts})
}

// dropGone records the hosts of this domain that have gone for good.
func (c *Control) dropGone(ctx context.Context, st *journal.State) {
	for _, name := range c.domainHosts(st) {
		if name == c.cfg.Self.Name || !c.domains.fitness.gone(name) {
			continue
		}
		e := st.EntryHosts[name]
		e.Stopped = true
		if _, err := c.Append(ctx, journal.KindEntryHost, e); err != nil {
			c.log.Warn("host not recorded as gone", "host", name, "error", err)
		}
	}
}
