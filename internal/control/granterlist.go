package control

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/journal"
)

// Times after which the list of granters is replaced.
const (
	// granterDeadAfter is the time without a response after which a granter is
	// replaced. It is longer than two lost hellos.
	granterDeadAfter = 500 * time.Millisecond
	// refusedGranterDeadAfter is the same for a granter whose host refuses
	// connections, which proves that its process has exited.
	refusedGranterDeadAfter = 200 * time.Millisecond
	// nonGranterStagger is the delay per rank before a host that is not a granter
	// replaces a list whose members are all silent.
	nonGranterStagger = 400 * time.Millisecond
	// noGrantersWait is how long a domain without living granters waits for more
	// hosts to announce themselves before a host proposes a list.
	noGrantersWait = 700 * time.Millisecond
	// granterCount is the number of granters of a domain.
	granterCount = 3
)

// needsReplacement reports whether a granter should leave the list: it is
// silent, stopping, restarted, or recorded as gone or out of service.
func (c *Control) needsReplacement(st *journal.State, m journal.Member, now time.Duration) bool {
	if m.Host == c.cfg.Self.Name {
		return m.Incarnation != c.cfg.Self.Incarnation || c.stopping.Load()
	}
	e := st.EntryHosts[m.Host]
	if e.Stopped || (e.Incarnation != m.Incarnation && e.Incarnation != "") || !st.Config.HostStates[m.Host].InService() {
		return true
	}
	s := c.granters.get(m.Host)
	if s.stopping || (s.lastAnswered > 0 && s.incarnation != m.Incarnation) {
		return true
	}
	silentFor := c.stalls.awake() - max(s.lastAnswered, s.firstAttempt)
	if s.firstAttempt == 0 {
		return false
	}
	return silentFor > granterDeadAfter || (s.refused && silentFor > refusedGranterDeadAfter)
}

// maintainGranters proposes a new list of granters when one needs replacement,
// the list is too short, or a retiring one may be dropped. The first living
// member proposes. When none is living, the hosts of the domain do, staggered by
// rank.
func (c *Control) maintainGranters(ctx context.Context, st *journal.State, now time.Duration) {
	g := st.Granters[c.cfg.Self.Domain]
	var living, toReplace []journal.Member
	for _, m := range g.Members {
		if c.needsReplacement(st, m, now) {
			toReplace = append(toReplace, m)
		} else {
			living = append(living, m)
		}
	}
	candidates := c.candidates(st, g, now)
	retired := c.retiredGranters()
	want := min(granterCount, len(living)+len(candidates))
	stillRetiring := withoutMembers(g.Retiring, retired)
	if len(toReplace) == 0 && len(living) >= want && len(stillRetiring) == len(g.Retiring) && g.Version > 0 {
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
	next.Retiring = append(stillRetiring, toReplace...)
	if len(next.Members) == 0 {
		return
	}
	res, err := c.Append(ctx, journal.KindGranters, next)
	if err != nil {
		c.log.Warn("failed to write the list of granters", "error", err)
		return
	}
	c.log.Info("list of granters written", "domain", next.Domain, "members", len(next.Members), "outcome", res.Outcome)
}

// mayPropose reports whether this host may propose a list now.
func (c *Control) mayPropose(st *journal.State, living []journal.Member, now time.Duration) bool {
	if c.stopping.Load() {
		return len(living) == 0
	}
	if len(living) > 0 {
		c.granters.mu.Lock()
		c.granters.noGrantersSince = 0
		c.granters.mu.Unlock()
		return living[0].Host == c.cfg.Self.Name
	}
	rank := slices.Index(c.domainHosts(st), c.cfg.Self.Name)
	if rank < 0 {
		return false
	}
	c.granters.mu.Lock()
	if c.granters.noGrantersSince == 0 {
		c.granters.noGrantersSince = now
	}
	since := c.granters.noGrantersSince
	c.granters.mu.Unlock()
	return now-since > noGrantersWait+time.Duration(rank)*nonGranterStagger
}

// domainHosts lists the domain's announced hosts that are in service, sorted by
// name.
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

// candidates lists, sorted by name, the hosts that could become granters. Once
// the domain has had a list, these are this host and those that have called it
// recently.
func (c *Control) candidates(st *journal.State, g journal.Granters, now time.Duration) []journal.Member {
	excluded := map[string]bool{}
	for _, m := range g.Members {
		if !c.needsReplacement(st, m, now) {
			excluded[m.Host] = true
		}
	}
	// journal.State refuses a list that has a host both as a member and as
	// retiring. Such a host is added after a record has ended its retirement.
	for _, m := range g.Retiring {
		excluded[m.Host] = true
	}
	c.leader.mu.Lock()
	alive := c.leader.aliveHosts(c.stalls.awake(), st)
	c.leader.mu.Unlock()
	var out []journal.Member
	for _, name := range c.domainHosts(st) {
		e := st.EntryHosts[name]
		isSelf := name == c.cfg.Self.Name && !c.stopping.Load()
		eligible := g.Version == 0 || slices.Contains(alive, name)
		if !excluded[name] && (isSelf || eligible) && !c.isSilent(name, now) {
			out = append(out, journal.Member{Host: name, Incarnation: e.Incarnation})
		}
	}
	return out
}

func (c *Control) isSilent(host string, now time.Duration) bool {
	s := c.granters.get(host)
	return host != c.cfg.Self.Name && s.firstAttempt > 0 && c.stalls.awake()-max(s.lastAnswered, s.firstAttempt) > granterDeadAfter
}

func (c *Control) retiredGranters() []journal.Member {
	dc := c.domains.ownCore()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.RetiredGranters(c.cfg.Now())
}

// withoutMembers returns the members of list that are not in done.
func withoutMembers(list, done []journal.Member) []journal.Member {
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
