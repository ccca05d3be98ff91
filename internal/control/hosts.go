package control

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/membership"
)

// Intervals of the duty that watches the other hosts.
const (
	helloInterval = 200 * time.Millisecond
	// deadAfter is how long a granter must have been silent before the next
	// one replaces it. It is longer than two lost hellos.
	deadAfter = 600 * time.Millisecond
	// refusedDeadAfter is the same for a granter whose host refuses
	// connections, which proves that its process is gone.
	refusedDeadAfter = 200 * time.Millisecond
	// outsiderStep delays hosts that are no granters, by rank, before they
	// replace a list whose members are all silent.
	outsiderStep = 400 * time.Millisecond
	// firstListWait is how long a domain without granters waits for more hosts
	// to announce themselves.
	firstListWait = 700 * time.Millisecond
	// remoteInterval is the interval at which a leader asks the leaders of the
	// other domains for their homes.
	remoteInterval = 250 * time.Millisecond
	// announceRetry is the pause after a failed announcement.
	announceRetry = 500 * time.Millisecond
	// granterCount is the number of granters of a domain.
	granterCount = 3
)

// hostTable holds what hellos have shown of the other granters.
type hostTable struct {
	mu sync.Mutex
	m  map[string]seen
	// emptySince is when the domain was first seen without living granters,
	// since it last had one; 0 while it has.
	emptySince time.Duration
}

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
		if e := st.Entries[c.cfg.Self.Name]; e != c.entryHost() && !c.stopping.Load() && now-lastAnnounce > announceRetry {
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
			c.helloOne(ctx, st.Entries[m.Host])
		}()
	}
	wg.Wait()
}

func (c *Control) helloOne(ctx context.Context, e journal.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.cfg.Now()
	var rep HelloReply
	err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHello, struct{}{}, &rep)
	c.hosts.update(e.Name, func(s *seen) {
		if s.firstTry == 0 {
			s.firstTry = sent
		}
		s.refused = isRefused(err)
		if err == nil {
			s.incarnation, s.lastOK, s.stopping = rep.Incarnation, sent, rep.Stopping
		}
	})
	if err != nil {
		c.blame(hostNode(e.Name), true, sent)
		if isRefused(err) {
			c.homes.suspect(e.Name)
		}
		return
	}
	c.noteHello(e.Name, sent, rep)
	c.domains.step(c.cfg.Self.Domain, lease.PeerSeen{
		Host: e.Name, Incarnation: rep.Incarnation, SentAt: sent, Next: rep.Next, Renewed: c.renewedBy(rep),
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
	f := c.domains.fitness
	f.step(membership.Answered{Node: hostNode(host), Incarnation: rep.Incarnation})
	for t, age := range c.renewedBy(rep) {
		f.step(membership.Reported{Node: targetNode(t), By: host, OK: true, At: sent - age})
	}
	for _, t := range rep.Failing {
		f.step(membership.Reported{Node: targetNode(t), By: host, At: sent})
	}
}

// silent reports whether a granter no longer does its work.
func (c *Control) silent(st *journal.State, m journal.Member, now time.Duration) bool {
	if m.Host == c.cfg.Self.Name {
		return m.Incarnation != c.cfg.Self.Incarnation || c.stopping.Load()
	}
	e := st.Entries[m.Host]
	if e.Gone || (e.Incarnation != m.Incarnation && e.Incarnation != "") || !st.Config.Hosts[m.Host].In() {
		return true
	}
	s := c.hosts.get(m.Host)
	if s.stopping || (s.lastOK > 0 && s.incarnation != m.Incarnation) {
		return true
	}
	since := now - max(s.lastOK, s.firstTry, c.stalls.lastEnd())
	if s.firstTry == 0 {
		return false
	}
	return since > deadAfter || (s.refused && since > refusedDeadAfter)
}

// keepGranters proposes a new list of granters when one of them is silent or
// the list is too short. The first living member proposes; when all are
// silent the other hosts of the domain do, one after the other.
func (c *Control) keepGranters(ctx context.Context, st *journal.State, now time.Duration) {
	g := st.Granters[c.cfg.Self.Domain]
	var living, gone []journal.Member
	for _, m := range g.Members {
		if c.silent(st, m, now) {
			gone = append(gone, m)
		} else {
			living = append(living, m)
		}
	}
	candidates := c.candidates(st, g, now)
	retired := c.retired()
	want := min(granterCount, len(living)+len(candidates))
	keepRetiring := remaining(g.Retiring, retired)
	if len(gone) == 0 && len(living) >= want && len(keepRetiring) == len(g.Retiring) && g.Version > 0 {
		return
	}
	if !c.mayPropose(st, living, now) {
		return
	}
	next := journal.Granters{Domain: c.cfg.Self.Domain, FromVersion: g.Version, Members: living}
	for _, m := range candidates {
		if len(next.Members) < granterCount {
			next.Members = append(next.Members, m)
		}
	}
	next.Retiring = append(keepRetiring, gone...)
	if len(next.Members) == 0 {
		return
	}
	res, err := c.Append(ctx, journal.KindGranters, next)
	if err != nil {
		c.log.Warn("granters not written", "error", err)
		return
	}
	c.log.Info("granters written", "domain", next.Domain, "members", len(next.Members), "outcome", res.Outcome)
}

// mayPropose reports whether it is this host's turn to propose a list.
func (c *Control) mayPropose(st *journal.State, living []journal.Member, now time.Duration) bool {
	if c.stopping.Load() {
		return len(living) == 0
	}
	if len(living) > 0 {
		c.hosts.mu.Lock()
		c.hosts.emptySince = 0
		c.hosts.mu.Unlock()
		return living[0].Host == c.cfg.Self.Name
	}
	rank := slices.Index(c.domainHosts(st), c.cfg.Self.Name)
	if rank < 0 {
		return false
	}
	c.hosts.mu.Lock()
	if c.hosts.emptySince == 0 {
		c.hosts.emptySince = now
	}
	since := c.hosts.emptySince
	c.hosts.mu.Unlock()
	return now-since > firstListWait+time.Duration(rank)*outsiderStep
}

// domainHosts lists the domain's announced hosts in order of their names.
func (c *Control) domainHosts(st *journal.State) []string {
	var out []string
	for name, e := range st.Entries {
		if e.Domain == c.cfg.Self.Domain && !e.Gone && st.Config.Hosts[name].In() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// candidates lists hosts that could become granters, those that have called
// this host lately first.
func (c *Control) candidates(st *journal.State, g journal.Granters, now time.Duration) []journal.Member {
	listed := map[string]bool{}
	for _, m := range g.Members {
		if !c.silent(st, m, now) {
			listed[m.Host] = true
		}
	}
	// The fold refuses a list with a member that is still retiring. Such a host
	// is added after a record has ended its retirement.
	for _, m := range g.Retiring {
		listed[m.Host] = true
	}
	c.leader.mu.Lock()
	alive := c.leader.alive(now, c.stalls.lastEnd(), st)
	c.leader.mu.Unlock()
	var out []journal.Member
	for _, name := range c.domainHosts(st) {
		e := st.Entries[name]
		isSelf := name == c.cfg.Self.Name && !c.stopping.Load()
		known := g.Version == 0 || slices.Contains(alive, name)
		if !listed[name] && (isSelf || known) && !c.recentlySilent(name, now) {
			out = append(out, journal.Member{Host: name, Incarnation: e.Incarnation})
		}
	}
	return out
}

func (c *Control) recentlySilent(host string, now time.Duration) bool {
	s := c.hosts.get(host)
	return host != c.cfg.Self.Name && s.firstTry > 0 && now-max(s.lastOK, s.firstTry, c.stalls.lastEnd()) > deadAfter
}

func (c *Control) retired() []journal.Member {
	dc := c.domains.own()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.Retired(c.cfg.Now())
}

// remaining returns the members of list that are not in done.
func remaining(list, done []journal.Member) []journal.Member {
	var out []journal.Member
	for _, m := range list {
		ended := slices.ContainsFunc(done, func(d journal.Member) bool {
			return d.Host == m.Host && d.Incarnation == m.Incarnation
		})
		if !ended {
			out = append(out, m)
		}
	}
	return out
}

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

// listInterval is the interval at which granters read the platform's list of hosts.
const listInterval = time.Second

// serveHostList reads the platform's list of hosts while this host is a granter.
func (c *Control) serveHostList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || c.cfg.HostList == nil || !c.isGranter(st) {
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
	c.domains.fitness.step(membership.GoodEndpoint{Start: start})
	c.domains.fitness.step(membership.Listed{Hosts: hosts})
}

// dropGone records the hosts of this domain that have gone for good.
func (c *Control) dropGone(ctx context.Context, st *journal.State) {
	for _, name := range c.domainHosts(st) {
		if name == c.cfg.Self.Name || !c.domains.fitness.gone(name) {
			continue
		}
		e := st.Entries[name]
		e.Gone = true
		if _, err := c.Append(ctx, journal.KindEntryHost, e); err != nil {
			c.log.Warn("host not recorded as gone", "host", name, "error", err)
		}
	}
}

// isGranter reports whether this host is a granter of its domain.
func (c *Control) isGranter(st *journal.State) bool {
	return slices.ContainsFunc(st.Granters[c.cfg.Self.Domain].Members, func(m journal.Member) bool {
		return m.Host == c.cfg.Self.Name && m.Incarnation == c.cfg.Self.Incarnation
	})
}

func (c *Control) takeEvent(e view.Event) {
	switch e.Kind {
	case view.EventPeerDown:
		if e.Host != "" {
			c.homes.suspect(e.Host)
		}
	case view.EventLeaving:
		c.domains.fitness.step(membership.SaysLeaving{Node: targetNode(e.Target)})
	}
}

// serveEvents takes the reports of the request path.
func (c *Control) serveEvents(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			c.takeEvent(e)
		}
	}
}
