package control

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/journal"
)

// When the list of granters is replaced.
const (
	// deadAfter is how long a granter must have been silent before the next
	// one replaces it. It is longer than two lost hellos.
	deadAfter = 500 * time.Millisecond
	// refusedDeadAfter is the same for a granter whose host refuses
	// connections, which proves that its process is gone.
	refusedDeadAfter = 200 * time.Millisecond
	// outsiderStep delays hosts that are no granters, by rank, before they
	// replace a list whose members are all silent.
	outsiderStep = 400 * time.Millisecond
	// firstListWait is how long a domain without granters waits for more hosts
	// to announce themselves.
	firstListWait = 700 * time.Millisecond
	// granterCount is the number of granters of a domain.
	granterCount = 3
)

// silent reports whether a granter no longer does its work.
func (c *Control) silent(st *journal.State, m journal.Member, now time.Duration) bool {
	if m.Host == c.cfg.Self.Name {
		return m.Incarnation != c.cfg.Self.Incarnation || c.stopping.Load()
	}
	e := st.EntryHosts[m.Host]
	if e.Stopped || (e.Incarnation != m.Incarnation && e.Incarnation != "") || !st.Config.HostStates[m.Host].InService() {
		return true
	}
	s := c.hosts.get(m.Host)
	if s.stopping || (s.lastOK > 0 && s.incarnation != m.Incarnation) {
		return true
	}
	since := c.stalls.awake() - max(s.lastOK, s.firstTry)
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
	for name, e := range st.EntryHosts {
		if e.Domain == c.cfg.Self.Domain && !e.Stopped && st.Config.HostStates[name].InService() {
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
	alive := c.leader.alive(c.stalls.awake(), st)
	c.leader.mu.Unlock()
	var out []journal.Member
	for _, name := range c.domainHosts(st) {
		e := st.EntryHosts[name]
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
	return host != c.cfg.Self.Name && s.firstTry > 0 && c.stalls.awake()-max(s.lastOK, s.firstTry) > deadAfter
}

func (c *Control) retired() []journal.Member {
	dc := c.domains.own()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.RetiredGranters(c.cfg.Now())
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

// isGranter reports whether this host is a granter of its domain.
func (c *Control) isGranter(st *journal.State) bool {
	return slices.ContainsFunc(st.Granters[c.cfg.Self.Domain].Members, func(m journal.Member) bool {
		return m.Host == c.cfg.Self.Name && m.Incarnation == c.cfg.Self.Incarnation
	})
}
