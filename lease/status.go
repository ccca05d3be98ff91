package lease

import "time"

// Status returns a summary.
func (g *Granter) Status(now time.Duration) Status {
	s := Status{Authority: AuthorityNone, Until: now, Rank: g.rank, ReleaseBlockers: map[string][]string{}}
	if g.state == nil {
		return s
	}
	s.Authority, s.Until = g.authority(now)
	for _, t := range g.waiting {
		if t.lost {
			s.Lapsing = append(s.Lapsing, t.name)
		}
		for _, m := range g.others() {
			if g.unaccounted(now, t, keyOf(m)) {
				s.ReleaseBlockers[t.name] = append(s.ReleaseBlockers[t.name], m.Host)
			}
		}
	}
	for _, m := range g.others() {
		if p := g.peers[keyOf(m)]; p.offLog != 0 && !p.dead {
			s.OffLog = append(s.OffLog, m.Host)
		}
	}
	return s
}

// HasAuthority reports whether the authority lasts now, so that permits for
// targets that check fences may be given.
func (g *Granter) HasAuthority(now time.Duration) bool {
	if g.state == nil {
		return false
	}
	a, _ := g.authority(now)
	return a != AuthorityNone
}

// unaccounted reports whether a release still needs something of the granter.
func (g *Granter) unaccounted(now time.Duration, t *target, k memberKey) bool {
	for _, m := range g.others() {
		if keyOf(m) != k {
			continue
		}
		if t.lost {
			return now < g.endOf(t, m)
		}
		return g.lacksWord(t, m, t.version)
	}
	return false
}
