package control

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/membership"
)

// Intervals of the duty that watches the other hosts.
const (
	helloInterval = 200 * time.Millisecond
	// remoteInterval is the interval at which a leader asks the leaders of the
	// other domains for their homes.
	remoteInterval = 250 * time.Millisecond
	// announceRetry is the pause after a failed announcement.
	announceRetry = 500 * time.Millisecond
)

// hostTable holds what hellos have shown of the other granters.
type hostTable struct {
	mu sync.Mutex
	m  map[string]seen
	// emptySince is when the domain was first seen without living granters,
	// since it last had one; 0 while it has.
	emptySince time.Duration
}

// seen holds times on the clock that stands still while this host is stalled.
type seen struct {
	incarnation string
	lastOK      time.Duration
	firstTry    time.Duration
	refused     bool
	stopping    bool
}

func newHostTable() *hostTable { return &hostTable{m: map[string]seen{}} }

func (h *hostTable) update(host string, f func(*seen)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.m[host]
	f(&s)
	h.m[host] = s
}

func (h *hostTable) get(host string) seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.m[host]
}

// forget drops what hellos have shown. A host that has stopped calling the
// granters must not take the age of its last call for their silence.
func (h *hostTable) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.m)
}

// serveHosts announces this host, watches the granters and keeps their list.
func (c *Control) serveHosts(ctx context.Context) error {
	tick := time.NewTicker(helloInterval)
	defer tick.Stop()
	var lastAnnounce, lastRemote time.Duration
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil {
			// Nothing has been read; an empty log publishes nothing either.
			if c.cfg.Bootstrap != nil && c.follower.Position().ReadAsOf > 0 {
				c.bootstrap(ctx)
			}
			continue
		}
		now := c.cfg.Now()
		if e := st.EntryHosts[c.cfg.Self.Name]; e != c.entryHost() && !c.stopping.Load() && now-lastAnnounce > announceRetry {
			lastAnnounce = now
			go c.announce(ctx)
		}
		if st.Config == nil {
			if c.cfg.Bootstrap != nil {
				c.bootstrap(ctx)
			}
			continue
		}
		c.noteRank(st)
		if c.isGranter(st) || c.homes.unanswered() {
			c.helloGranters(ctx, st)
		} else {
			c.hosts.forget()
		}
		c.keepGranters(ctx, st, now)
		if c.leads(st) && now-lastRemote > remoteInterval {
			lastRemote = now
			c.askRemote(ctx, st)
		}
	}
}

// noteRank publishes this host's place among the granters.
func (c *Control) noteRank(st *journal.State) {
	rank := new(expvar.Int)
	rank.Set(int64(slices.IndexFunc(st.Granters[c.cfg.Self.Domain].Members, func(m journal.Member) bool {
		return m.Host == c.cfg.Self.Name && m.Incarnation == c.cfg.Self.Incarnation
	})))
	granterRank.Set(c.cfg.Self.Name, rank)
}

func (c *Control) announce(ctx context.Context) {
	if _, err := c.Append(ctx, journal.KindEntryHost, c.entryHost()); err != nil {
		c.log.Warn("host not announced", "error", err)
	}
}

func (c *Control) bootstrap(ctx context.Context) {
	res, err := c.Append(ctx, journal.KindBootstrap, c.cfg.Bootstrap)
	if err != nil {
		c.log.Warn("bootstrap not written", "error", err)
		return
	}
	c.log.Info("bootstrap written", "outcome", res.Outcome)
}

// helloGranters calls the other granters of the domain side by side. A host
// that is not a granter calls them only when none of them answers its request
// for homes, to replace a list that is all silent.
func (c *Control) helloGranters(ctx context.Context, st *journal.State) {
	g := st.Granters[c.cfg.Self.Domain]
	var wg sync.WaitGroup
	for _, m := range slices.Concat(g.Members, g.Retiring) {
		if m.Host == c.cfg.Self.Name {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.helloOne(ctx, st.EntryHosts[m.Host])
		}()
	}
	wg.Wait()
}

func (c *Control) helloOne(ctx context.Context, e journal.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, awake := c.cfg.Now(), c.stalls.awake()
	var rep HelloReply
	err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHello, struct{}{}, &rep)
	c.hosts.update(e.Name, func(s *seen) {
		if s.firstTry == 0 {
			s.firstTry = awake
		}
		s.refused = isRefused(err)
		if err == nil {
			s.incarnation, s.lastOK, s.stopping = rep.Incarnation, awake, rep.Stopping
		}
	})
	if err != nil {
		c.blame(hostNode(e.Name), true, awake, callTimeout, isRefused(err))
		if isRefused(err) {
			c.homes.suspect(e.Name)
		}
		return
	}
	c.noteHello(e.Name, sent, rep)
	c.domains.step(c.cfg.Self.Domain, lease.HelloAnswered{
		Host: e.Name, Incarnation: rep.Incarnation, SentAt: sent, Next: rep.Next, RenewalAges: c.renewedBy(rep),
	})
}

// renewedBy returns the ages of a granter's renewals.
func (c *Control) renewedBy(rep HelloReply) map[string]time.Duration {
	out := map[string]time.Duration{}
	st := c.state()
	if rep.RenewedMS == 0 || st == nil || st.Config == nil {
		return out
	}
	for _, t := range c.targets(st).granted {
		if !slices.Contains(rep.NotRenewed, t) {
			out[t] = time.Duration(rep.RenewedMS) * time.Millisecond
		}
	}
	return out
}

// noteHello passes on what a granter says of itself and of the targets.
func (c *Control) noteHello(host string, sent time.Duration, rep HelloReply) {
	c.notePermits(rep.PermitsMS)
	f := c.domains.fitness
	f.step(membership.Responded{Node: hostNode(host), Incarnation: rep.Incarnation})
	for t, age := range c.renewedBy(rep) {
		f.step(membership.PeerReported{Node: targetNode(t), Peer: host, Reachable: true, At: sent - age})
	}
	for _, t := range rep.Failing {
		f.step(membership.PeerReported{Node: targetNode(t), Peer: host, At: sent})
	}
}
