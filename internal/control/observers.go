package control

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
)

// observeInterval is the interval at which a leader calls the granters of the
// other domains. It only needs to know which records they have read and whether
// they have been replaced, both of which rarely change.
const observeInterval = time.Second

// serveObservers reports the granters of the other domains to the cores that
// observe them. Without these reports a leader does not learn that a granter has
// read a changed limit for serving in isolation, or that it is dead, and does
// not take over.
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
				go c.helloRemoteGranter(ctx, domain, st.EntryHosts[m.Host])
			}
		}
	}
}

// helloRemoteGranter asks a granter of another domain for its incarnation and
// position.
func (c *Control) helloRemoteGranter(ctx context.Context, domain string, e journal.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.cfg.Now()
	var rep HelloReply
	if err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHello, struct{}{}, &rep); err != nil {
		return
	}
	c.domains.step(domain, lease.HelloAnswered{Host: e.Name, Incarnation: rep.Incarnation, SentAt: sent, Next: rep.Next})
}
