package lease

import "time"

// Status returns a summary.
func (g *Granter) Status(now time.Duration) Status {
	s := Status{Authority: AuthorityNone, Until: now, Rank: g.rank, ReleaseBlockers: map[string][]string{}}
	if g.state == nil {
		return s
	}
	s.Authority, s.Until = g.authority(now)
	for _, t := range g.unreleasedTargets {
		if t.lost {
			s.NotRenewed = append(s.NotRenewed, t.name)
		}
		for _, m := range g.others() {
			if g.blocksRelease(now, t, keyOf(m)) {
				s.ReleaseBlockers[t.name] = append(s.ReleaseBlockers[t.name], m.Host)
			}
		}
	}
	for _, m := range g.others() {
		if p := g.peers[keyOf(m)]; p.consentSeq != 0 && !p.dead {
			s.WithoutLog = append(s.WithoutLog, m.Host)
		}
	}
	return s
}

// HasAuthority reports whether this granter has authority now, so that it may give
// permits for targets that check fences.
func (g *Granter) HasAuthority(now time.Duration) bool {
	if g.state == nil {
		return false
	}
	a, _ := g.authority(now)
	return a != AuthorityNone
}

// blocksRelease reports whether a release still waits for the granter k.
func (g *Granter) blocksRelease(now time.Duration, t *target, k memberKey) bool {
	for _, m := range g.others() {
		if keyOf(m) != k {
			continue
		}
		if t.lost {
			return now < g.leasesEndOf(t, m)
		}
		return g.lacksPromise(t, m, t.version)
	}
	return false
}
