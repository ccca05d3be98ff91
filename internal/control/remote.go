package control

import (
	"context"

	"github.com/boragelock/boragelock/journal"
)

// askRemote asks the leaders of the other domains for their homes.
func (c *Control) askRemote(ctx context.Context, st *journal.State) {
	for _, d := range st.Config.DomainOrder {
		if d == c.cfg.Self.Domain {
			continue
		}
		go c.askDomain(ctx, st, d)
	}
}

func (c *Control) askDomain(ctx context.Context, st *journal.State, domain string) {
	l := c.leader
	l.mu.Lock()
	known := l.remoteKnown[domain]
	l.mu.Unlock()
	for _, m := range st.Granters[domain].Members {
		rep, err := c.callHome(ctx, st, m.Host, HomeRequest{Host: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Domain: domain, Known: known})
		if err != nil || !rep.Leader {
			continue
		}
		l.mu.Lock()
		if v, ok := rep.Domains[domain]; ok {
			l.set(domain, v)
		}
		l.remoteKnown[domain] = rep.Known
		l.remoteAt[domain] = c.cfg.Now()
		l.mu.Unlock()
		return
	}
}
