package control

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
)

// observeInterval is the interval at which a leader hears from the granters of
// the other domains. It only has to learn which records they have read and
// whether they have been replaced, both of which seldom change.
const observeInterval = time.Second

// serveObservers lets the cores that observe other domains know their granters.
// Without it a leader could not tell that a granter knows a changed limit for
// serving in isolation, nor that it is dead, and would not take over.
func (c *Control) serveObservers(ctx context.Context) error {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || !c.leads(st) {
			continue
		}
		for domain, g := range st.Granters {
			if domain == c.cfg.Self.Domain {
				continue
			}
			for _, m := range slices.Concat(g.Members, g.Retiring) {
				go c.observe(ctx, domain, st.EntryHosts[m.Host])
			}
		}
	}
}

// observe asks a granter of another domain who it is and what it has read.
func (c *Control) observe(ctx context.Context, domain string, e journal.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.cfg.Now()
	var rep HelloReply
	if err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHello, struct{}{}, &rep); err != nil {
		return
	}
	c.domains.step(domain, lease.HelloAnswered{Host: e.Name, Incarnation: rep.Incarnation, SentAt: sent, Next: rep.Next})
}
