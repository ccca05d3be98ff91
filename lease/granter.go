package lease

import (
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// Granter decides for one domain on one host; see the package comment.
type Granter struct {
	cfg  Config
	self Self
	// omit removes safeguards; only tests set it.
	omit safeguards

	state *journal.State
	list  journal.Granters
	// member is the entry of this host in list; rank is its index there, -1 when the
	// host is no member.
	member journal.Member
	rank   int
	// listPublishedAt is when the current list was first published here.
	listPublishedAt time.Duration
	// domainState is the state that operators have set for the domain.
	domainState contract.OperatorState

	logReads logReads
	consent  consentPeriod
	// peers holds what is known about each incarnation of the other granters.
	peers   map[memberKey]*peer
	targets map[string]*target
	// sortedTargets holds the targets by name, unreleasedTargets those with shards
	// that wait for release, so that a step with nothing to do costs little.
	sortedTargets, unreleasedTargets []*target
	// indexedVersion is the highest target version that targets were built from, -1
	// to rebuild them.
	indexedVersion int64
	// reportedAuthority is the authority last reported by AuthorityChanged.
	reportedAuthority Authority
	grantSeq          uint64
}

// safeguards names the rules that tests can disable to show that each is needed.
type safeguards struct {
	// authorityLimit ends renewals some time after the last log read, needConsent
	// requires consent to renew without the log, refuseBehind refuses consent to
	// hosts that lack records.
	authorityLimit, needConsent, refuseBehind bool
	// accountForOthers accounts for the leases of the other granters, refuseLost
	// stops renewing a target declared lost, waitForLease delays a release until its
	// proof, readAfterRestart requires a log read before a restarted target gets a
	// lease.
	accountForOthers, refuseLost, waitForLease, readAfterRestart bool
	// needPromise makes an acknowledgement wait for the other granters' promises,
	// checkAsked checks whether a member had to ask this one for consent, checkLimit
	// whether a granter knows the limit for serving without the log, readAfterDeath
	// requires a log read after a member's death before its consent is excused.
	needPromise, checkAsked, checkLimit, readAfterDeath bool
}

// memberKey identifies one incarnation of a host.
type memberKey struct{ host, incarnation string }

func keyOf(m journal.Member) memberKey { return memberKey{m.Host, m.Incarnation} }

// peer is what is known about one incarnation of another granter.
type peer struct {
	// listedAt is when a list with this incarnation was first published here.
	listedAt time.Duration
	listed   bool
	// next is the highest Next that the incarnation has reported.
	next int64
	// readMyEntry and readServeLimit record when it was first known to have read the
	// record that added this granter, and the one that set isolated_serve_ms.
	readMyEntry, readServeLimit offsetMark
	// consentSeq is the period without the log for which this granter consented and
	// which has not ended, or 0.
	consentSeq uint64
	// endedSeq is the last of its periods without the log that ended; endedAt is when
	// the end of the last one with consent was reported here.
	endedSeq uint64
	endedAt  time.Duration
	// dead says that a newer incarnation has answered, deadAt when that was learned.
	dead   bool
	deadAt time.Duration
}

// offsetMark records since when an offset is known to have been passed.
type offsetMark struct {
	offset int64
	at     time.Duration
	passed bool
}

func (m *offsetMark) update(now time.Duration, offset, next int64) {
	if m.offset != offset {
		*m = offsetMark{offset: offset}
	}
	if !m.passed && next > offset {
		m.passed, m.at = true, now
	}
}

// learnNext records a Next that an incarnation reported.
func (g *Granter) learnNext(now time.Duration, p *peer, next int64) {
	p.next = max(p.next, next)
	p.readMyEntry.update(now, g.member.AddedAt, p.next)
	if g.state != nil {
		p.readServeLimit.update(now, g.state.IsolatedServeOffset, p.next)
	}
}

// New returns a Granter that may renew nothing until it has been given a state
// that lists it and a complete log read.
func New(cfg Config, self Self) *Granter {
	return &Granter{
		cfg: cfg, self: self, rank: -1, reportedAuthority: AuthorityNone, indexedVersion: -1,
		peers: map[memberKey]*peer{}, targets: map[string]*target{},
	}
}

// Step processes an event and returns the actions to carry out.
func (g *Granter) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case StatePublished:
		g.statePublished(now, e.State)
	case LogRead:
		g.logRead(e)
	case GrantAnswer:
		g.grantAnswered(now, e)
	case GrantFailed:
		g.grantFailed(now, e)
	case HelloAnswered:
		g.helloAnswered(now, e)
	case ConsentAnswered:
		g.consentAnswered(e)
	case LogRegainedAcked:
		g.consent.acknowledged(e)
	case StopRenewAnswered:
		g.stopRenewAnswered(now, e)
	}
	if g.state == nil || g.state.Config == nil {
		return nil
	}
	out = g.consentActions(now, out)
	out = g.renewActions(now, out)
	out = g.releaseActions(now, out)
	if a, _ := g.authority(now); a != g.reportedAuthority {
		out = append(out, AuthorityChanged{From: g.reportedAuthority, To: a})
		g.reportedAuthority = a
	}
	return out
}

func (g *Granter) statePublished(now time.Duration, s *journal.State) {
	if s == nil || s.Config == nil || (g.state != nil && s.NextOffset < g.state.NextOffset) {
		return
	}
	g.state = s
	if list := s.Granters[g.self.Domain]; list.Version != g.list.Version {
		g.setList(now, list)
	}
	for _, p := range g.peers {
		g.learnNext(now, p, p.next)
	}
	g.domainState = s.Config.Domains[g.self.Domain].State
	g.logReads.statePublished(s.NextOffset)
	g.indexTargets(now)
}

func (g *Granter) setList(now time.Duration, list journal.Granters) {
	g.list, g.listPublishedAt = list, now
	g.member, g.rank = journal.Member{}, -1
	for i, m := range list.Members {
		if g.isSelf(m) {
			g.member, g.rank = m, i
		}
	}
	for _, m := range g.others() {
		p := g.peer(keyOf(m))
		if !p.listed {
			p.listed, p.listedAt = true, now
		}
		// An older incarnation of this host ended before this one started.
		if m.Host == g.self.Host && !p.dead {
			p.dead, p.deadAt = true, now
		}
	}
}

func (g *Granter) isSelf(m journal.Member) bool {
	return m.Host == g.self.Host && m.Incarnation == g.self.Incarnation
}

// others returns the members and retiring members of the list except this one.
func (g *Granter) others() []journal.Member {
	out := make([]journal.Member, 0, len(g.list.Members)+len(g.list.Retiring))
	for _, part := range [][]journal.Member{g.list.Members, g.list.Retiring} {
		for _, m := range part {
			if !g.isSelf(m) {
				out = append(out, m)
			}
		}
	}
	return out
}

func (g *Granter) peer(k memberKey) *peer {
	p := g.peers[k]
	if p == nil {
		p = &peer{}
		g.peers[k] = p
	}
	return p
}

func (g *Granter) helloAnswered(now time.Duration, e HelloAnswered) {
	seen := memberKey{e.Host, e.Incarnation}
	p := g.peer(seen)
	g.learnNext(now, p, e.Next)
	for k, old := range g.peers {
		// The listed incarnation was alive before the list was published here,
		// so another one that answers a later hello is newer.
		if k.host == e.Host && k != seen && old.listed && !old.dead && e.SentAt > old.listedAt {
			old.dead, old.deadAt = true, now
		}
	}
	rank := -1
	for i, m := range g.list.Members {
		if keyOf(m) == seen {
			rank = i
		}
	}
	if rank < 0 || rank >= g.rank {
		return
	}
	for name, age := range e.RenewalAges {
		if t := g.targets[name]; t != nil {
			t.higherRankRenewedAt = max(t.higherRankRenewedAt, now-age)
		}
	}
}
