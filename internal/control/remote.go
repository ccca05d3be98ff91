package control

import (
	"context"

	"github.com/boragelock/boragelock/journal"
)

// requestRemoteHomes requests the homes of the other domains from their leaders.
func (c *Control) requestRemoteHomes(ctx context.Context, st *journal.State) {
	for _, d := range st.Config.DomainOrder {
		if d == c.cfg.Self.Domain {
			continue
		}
		go c.requestDomainHomes(ctx, st, d)
	}
}

func (c *Control) requestDomainHomes(ctx context.Context, st *journal.State, domain string) {
	l := c.leader
	l.mu.Lock()
	token := l.remoteTokens[domain]
	l.mu.Unlock()
	for _, m := range st.Granters[domain].Members {
		rep, err := c.fetchHomes(ctx, st, m.Host, HomeRequest{Host: c.cfg.Self.Name, Incarnation: c.cfg.Self.Incarnation, Domain: domain, ViewToken: token})
		if err != nil || !rep.IsLeader {
			continue
		}
		l.mu.Lock()
		if v, ok := rep.Domains[domain]; ok {
			l.setView(domain, v)
		}
		l.remoteTokens[domain] = rep.ViewToken
		l.remoteAnsweredAt[domain] = c.cfg.Now()
		l.mu.Unlock()
		return
	}
}
