package lease

import (
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// Granter is the core for one domain on one host.
type Granter struct {
	cfg  Config
	self Self
	// omit removes safeguards; only tests set it.
	omit safeguards

	state *journal.State
	list  journal.Granters
	// me is the entry of this host in list; rank its place, -1 when it is none.
	me   journal.Member
	rank int
	// listSeen is when the present list was first published.
	listSeen time.Duration
	// domainState is the operators' state of the domain.
	domainState contract.OperState

	log     logAuthority
	consent consentRound
	// peers holds what is known of each incarnation of the other granters.
	peers   map[memberKey]*peer
	targets map[string]*target
	// order holds the targets by name, waiting those with shards that wait for
	// release, so that a step with nothing to do costs little.
	order, waiting []*target
	// indexed is the last table change that targets were built from.
	indexed int64
	// told is the authority last reported by AuthorityChanged.
	told Authority
	seq  uint64
}

// safeguards names the rules that tests can take away to show that each is
// needed.
type safeguards struct {
	// authority is the limit on renewing after the last log read, consent the
	// need of consent for renewing without the log, behind its refusal to hosts
	// that lack records.
	authority, consent, behind bool
	// stop is the accounting for the other granters, lost the end of renewals
	// of a target declared lost, wait the wait of a release for its proof,
	// restart the log read before a restarted target gets a lease.
	stop, lost, wait, restart bool
	// word is the promise that an acknowledgement waits for, asked the doubt
	// whether a member had to ask this one, limit the doubt whether a domain
	// knows the limit for serving without the log, dead the log read after a
	// member's death before its consent is excused.
	word, asked, limit, dead bool
}

// memberKey names one incarnation of a host.
type memberKey struct{ host, incarnation string }

func keyOf(m journal.Member) memberKey { return memberKey{m.Host, m.Incarnation} }

// peer is what is known of one incarnation of another granter.
type peer struct {
	// listedAt is when a list with this incarnation was first published here.
	listedAt time.Duration
	listed   bool
	// next is the highest Next that the incarnation has reported.
	next int64
	// knowsMe and knowsLimit say when it was known to have read the record that
	// added this granter, and the one that set isolated_serve_ms.
	knowsMe, knowsLimit mark
	// offLog is the spell for which consent was given and not yet ended, or 0.
	offLog uint64
	// backSeq is the last spell that has ended, backAt when that was heard.
	backSeq uint64
	backAt  time.Duration
	// dead says that a newer incarnation answered; deadAt when that was heard.
	dead   bool
	deadAt time.Duration
}

// mark is the time at which an offset was known to have been passed.
type mark struct {
	offset int64
	at     time.Duration
	passed bool
}

func (m *mark) update(now time.Duration, offset, next int64) {
	if m.offset != offset {
		*m = mark{offset: offset}
	}
	if !m.passed && next > offset {
		m.passed, m.at = true, now
	}
}

// learnNext takes a Next that an incarnation reported.
func (g *Granter) learnNext(now time.Duration, p *peer, next int64) {
	p.next = max(p.next, next)
	p.knowsMe.update(now, g.me.AddedAt, p.next)
	if g.state != nil {
		p.knowsLimit.update(now, g.state.IsolatedAt, p.next)
	}
}

// New returns a Granter that may renew nothing until it has been given a state
// that lists it and a complete log read.
func New(cfg Config, self Self) *Granter {
	return &Granter{
		cfg: cfg, self: self, rank: -1, told: AuthorityNone, indexed: -1,
		peers: map[memberKey]*peer{}, targets: map[string]*target{},
	}
}

// Step takes an event and returns what to do.
func (g *Granter) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case StatePublished:
		g.publish(now, e.State)
	case LogRead:
		g.logRead(e)
	case GrantAnswer:
		g.granted(now, e)
	case GrantFailed:
		g.grantFailed(now, e)
	case HelloAnswered:
		g.peerSeen(now, e)
	case ConsentAnswered:
		g.consented(e)
	case LogRegainedAcked:
		g.consent.told(e)
	case StopRenewAnswered:
		g.stopAnswered(now, e)
	}
	if g.state == nil || g.state.Config == nil {
		return nil
	}
	out = g.consentActions(now, out)
	out = g.renewActions(now, out)
	out = g.releaseActions(now, out)
	if a, _ := g.authority(now); a != g.told {
		out = append(out, AuthorityChanged{From: g.told, To: a})
		g.told = a
	}
	return out
}

func (g *Granter) publish(now time.Duration, s *journal.State) {
	if s == nil || s.Config == nil || (g.state != nil && s.Next < g.state.Next) {
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
	g.log.stateAt(s.Next)
	g.index(now)
}

func (g *Granter) setList(now time.Duration, list journal.Granters) {
	g.list, g.listSeen = list, now
	g.me, g.rank = journal.Member{}, -1
	for i, m := range list.Members {
		if g.isSelf(m) {
			g.me, g.rank = m, i
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

func (g *Granter) peerSeen(now time.Duration, e HelloAnswered) {
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
			t.otherAt = max(t.otherAt, now-age)
		}
	}
}
