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

// Intervals of serveHosts.
const (
	helloInterval = 200 * time.Millisecond
	// remoteHomesInterval is the interval at which a leader requests the homes of
	// the other domains from their leaders.
	remoteHomesInterval = 250 * time.Millisecond
	// announceRetry is the least time between two announcements of this host.
	announceRetry = 500 * time.Millisecond
)

// granterTable holds the results of the hellos to the other granters.
type granterTable struct {
	mu       sync.Mutex
	contacts map[string]granterContact
	// noGrantersSince is when this host first saw the domain without a living
	// granter since it last had one; 0 while it has one.
	noGrantersSince time.Duration
}

// granterContact is the result of the hellos to one granter. Its times are those
// of stallMeter.awake.
type granterContact struct {
	incarnation  string
	lastAnswered time.Duration
	firstAttempt time.Duration
	refused      bool
	stopping     bool
}

func newGranterTable() *granterTable { return &granterTable{contacts: map[string]granterContact{}} }

func (h *granterTable) update(host string, f func(*granterContact)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.contacts[host]
	f(&s)
	h.contacts[host] = s
}

func (h *granterTable) get(host string) granterContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contacts[host]
}

// reset drops the results of all hellos, so that a host that no longer calls the
// granters does not mistake the age of its last call for their silence.
func (h *granterTable) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.contacts)
}

// serveHosts announces this host, calls the other granters and maintains the
// list of granters.
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
			// The log is empty or has not been read yet. After a complete read it
			// is known to be empty.
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
		c.publishRank(st)
		if c.isGranter(st) || c.homes.unanswered() {
			c.helloGranters(ctx, st)
		} else {
			c.granters.reset()
		}
		c.maintainGranters(ctx, st, now)
		if c.leads(st) && now-lastRemote > remoteHomesInterval {
			lastRemote = now
			c.requestRemoteHomes(ctx, st)
		}
	}
}

// publishRank publishes this host's index in the list of granters as a metric.
func (c *Control) publishRank(st *journal.State) {
	rank := new(expvar.Int)
	rank.Set(int64(slices.IndexFunc(st.Granters[c.cfg.Self.Domain].Members, func(m journal.Member) bool {
		return m.Host == c.cfg.Self.Name && m.Incarnation == c.cfg.Self.Incarnation
	})))
	granterRank.Set(c.cfg.Self.Name, rank)
}

func (c *Control) announce(ctx context.Context) {
	if _, err := c.Append(ctx, journal.KindEntryHost, c.entryHost()); err != nil {
		c.log.Warn("failed to announce this host", "error", err)
	}
}

func (c *Control) bootstrap(ctx context.Context) {
	res, err := c.Append(ctx, journal.KindBootstrap, c.cfg.Bootstrap)
	if err != nil {
		c.log.Warn("failed to write the bootstrap record", "error", err)
		return
	}
	c.log.Info("bootstrap record written", "outcome", res.Outcome)
}

// helloGranters calls the domain's other granters concurrently. A host that is
// not a granter calls them only when none answered its request for homes, so
// that it can replace a list whose members are all silent.
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
			c.helloGranter(ctx, st.EntryHosts[m.Host])
		}()
	}
	wg.Wait()
}

func (c *Control) helloGranter(ctx context.Context, e journal.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, awake := c.cfg.Now(), c.stalls.awake()
	var rep HelloReply
	err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHello, struct{}{}, &rep)
	c.granters.update(e.Name, func(s *granterContact) {
		if s.firstAttempt == 0 {
			s.firstAttempt = awake
		}
		s.refused = isRefused(err)
		if err == nil {
			s.incarnation, s.lastAnswered, s.stopping = rep.Incarnation, awake, rep.Stopping
		}
	})
	if err != nil {
		c.reportFailure(hostNode(e.Name), true, awake, callTimeout, isRefused(err))
		if isRefused(err) {
			c.homes.addSuspect(e.Name)
		}
		return
	}
	c.applyHello(e.Name, sent, rep)
	c.domains.step(c.cfg.Self.Domain, lease.HelloAnswered{
		Host: e.Name, Incarnation: rep.Incarnation, SentAt: sent, Next: rep.Next, RenewalAges: c.renewalAges(rep),
	})
}

// renewalAges returns, by target, the ages of the renewals that a granter
// reports.
func (c *Control) renewalAges(rep HelloReply) map[string]time.Duration {
	out := map[string]time.Duration{}
	st := c.state()
	if rep.RenewalAgeMS == 0 || st == nil || st.Config == nil {
		return out
	}
	for _, t := range c.targets(st).leased {
		if !slices.Contains(rep.NotRenewedTargets, t) {
			out[t] = time.Duration(rep.RenewalAgeMS) * time.Millisecond
		}
	}
	return out
}

// applyHello processes what a granter reports of itself and of the targets.
func (c *Control) applyHello(host string, sent time.Duration, rep HelloReply) {
	c.applyPermits(rep.PermitsMS)
	f := c.domains.fitness
	f.step(membership.Responded{Node: hostNode(host), Incarnation: rep.Incarnation})
	for t, age := range c.renewalAges(rep) {
		f.step(membership.PeerReported{Node: targetNode(t), Peer: host, Reachable: true, At: sent - age})
	}
	for _, t := range rep.FailingTargets {
		f.step(membership.PeerReported{Node: targetNode(t), Peer: host, At: sent})
	}
}
