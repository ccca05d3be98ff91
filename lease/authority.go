package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// pendingReads limits how many log reads wait for their state.
const pendingReads = 8

// logAuthority holds the log reads of this host.
type logAuthority struct {
	// start is the start of the last complete read whose records are all in
	// the published state; ok says that there was one.
	start time.Duration
	ok    bool
	// pending reads wait for a state that holds their records.
	pending []LogRead
	next    int64
}

func (l *logAuthority) read(e LogRead) {
	if len(l.pending) == pendingReads {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, e)
	l.settle()
}

func (l *logAuthority) stateAt(next int64) {
	l.next = next
	l.settle()
}

func (l *logAuthority) settle() {
	rest := l.pending[:0]
	for _, e := range l.pending {
		switch {
		case e.End > l.next:
			rest = append(rest, e)
		case !l.ok || e.Start > l.start:
			l.start, l.ok = e.Start, true
		}
	}
	l.pending = rest
}

func (g *Granter) logRead(e LogRead) { g.log.read(e) }

// consentRound is this granter's present spell without the log.
type consentRound struct {
	// seq numbers the spells, from 1.
	seq uint64
	// active says that consent has been asked for in the spell seq.
	active bool
	// since is the log read that the spell follows.
	since   time.Duration
	granted map[memberKey]bool
	askedAt time.Duration
	// back holds the granters that have yet to hear that spells up to seq ended.
	back   map[memberKey]journal.Member
	backAt time.Duration
}

func (c *consentRound) told(e LogRegainedAcked) {
	if e.Seq == c.seq && !c.active {
		delete(c.back, keyOf(e.From))
	}
}

// authority returns the grounds on which this granter may renew now, and when
// they end if nothing more is heard.
func (g *Granter) authority(now time.Duration) (Authority, time.Duration) {
	if g.rank < 0 || g.domainState == contract.StateLost {
		return AuthorityNone, now
	}
	if g.omit.authority {
		return AuthorityLog, now + g.cfg.Authority
	}
	if !g.log.ok {
		return AuthorityNone, now
	}
	until := g.log.start + g.cfg.Authority
	if now < until {
		return AuthorityLog, until
	}
	if end, ok := g.consentUntil(); ok && now < end {
		return AuthorityConsent, end
	}
	return AuthorityNone, now
}

// consentUntil returns the end of the right to renew without the log. All
// other members must have consented in this spell, except those that are
// excused.
func (g *Granter) consentUntil() (time.Duration, bool) {
	if g.omit.consent {
		return g.isolatedUntil(), true
	}
	if !g.consent.active {
		return 0, false
	}
	for _, m := range g.list.Members {
		if !g.isSelf(m) && !g.consent.granted[keyOf(m)] && !g.excused(m) {
			return 0, false
		}
	}
	return g.isolatedUntil(), true
}

// excused reports whether another member need not consent: it is proven dead,
// and the log has been read to its end since that was heard. Before it died
// the member may have waited out this granter's lease and released shards; only
// a later read is certain to hold the moves that it acted on.
func (g *Granter) excused(m journal.Member) bool {
	p := g.peers[keyOf(m)]
	return p.dead && (g.log.start > p.deadAt || g.omit.dead)
}

func (g *Granter) isolatedUntil() time.Duration {
	ms := g.state.Config.IsolatedServeMS
	if ms < 0 {
		return time.Duration(1<<63 - 1)
	}
	return g.log.start + g.cfg.Authority + time.Duration(ms)*time.Millisecond
}

// consentActions starts, continues or ends a spell without the log.
func (g *Granter) consentActions(now time.Duration, out []Action) []Action {
	c := &g.consent
	if c.active && g.log.start > c.since {
		c.active, c.granted, c.backAt = false, nil, now-g.cfg.AskEvery
	}
	wanted := g.rank >= 0 && g.log.ok && g.state.Config.IsolatedServeMS != 0 && g.domainState != contract.StateLost
	if wanted && !c.active && now >= g.log.start+g.cfg.ConsentAfter {
		c.seq++
		c.active, c.since = true, g.log.start
		c.granted, c.askedAt = map[memberKey]bool{}, now-g.cfg.AskEvery
		if c.back == nil {
			c.back = map[memberKey]journal.Member{}
		}
	}
	if c.active && wanted && now >= c.askedAt+g.cfg.AskEvery {
		c.askedAt = now
		for _, m := range g.list.Members {
			if k := keyOf(m); !g.isSelf(m) && !c.granted[k] && !g.peers[k].dead {
				c.back[k] = m
				out = append(out, AskConsent{To: m, Request: ConsentRequest{Domain: g.self.Domain, From: g.me, Seq: c.seq, Next: g.state.Next}})
			}
		}
	}
	g.forgetBack()
	if !c.active && len(c.back) > 0 && now >= c.backAt+g.cfg.AskEvery {
		c.backAt = now
		out = g.backActions(out)
	}
	return out
}

// forgetBack drops the granters that have left the list.
func (g *Granter) forgetBack() {
	if len(g.consent.back) == 0 {
		return
	}
	maps.DeleteFunc(g.consent.back, func(k memberKey, _ journal.Member) bool {
		return g.peers[k] == nil || g.peers[k].dead || !slices.ContainsFunc(g.others(), func(m journal.Member) bool { return keyOf(m) == k })
	})
}

func (g *Granter) backActions(out []Action) []Action {
	self := journal.Member{Host: g.self.Host, Incarnation: g.self.Incarnation}
	for _, m := range g.others() {
		k := keyOf(m)
		if _, due := g.consent.back[k]; due {
			out = append(out, SendLogRegained{To: m, Notice: LogRegainedNotice{Domain: g.self.Domain, From: self, Seq: g.consent.seq}})
		}
	}
	return out
}

func (g *Granter) consented(e ConsentAnswered) {
	c := &g.consent
	if c.active && e.Answer.Granted && e.Answer.Seq == c.seq && e.Answer.By == e.From.Incarnation {
		c.granted[keyOf(e.From)] = true
	}
}

// Consent answers lease.consent. It is refused to a host whose state lacks a
// record that this host knows and that concerns the domain: that host could go
// on granting what a release is already waiting for.
func (g *Granter) Consent(now time.Duration, r ConsentRequest) ConsentAnswer {
	a := ConsentAnswer{Seq: r.Seq, By: g.self.Incarnation}
	if g.state == nil || r.Domain != g.self.Domain {
		return a
	}
	a.Next = g.state.Next
	listed := false
	for _, m := range g.list.Members {
		listed = listed || keyOf(m) == keyOf(r.From)
	}
	p := g.peer(keyOf(r.From))
	g.learnNext(now, p, r.Next)
	if !listed || p.dead || r.Seq <= p.backSeq || g.domainState == contract.StateLost {
		return a
	}
	if g.relevant() >= r.Next && !g.omit.behind {
		return a
	}
	p.offLog = max(p.offLog, r.Seq)
	a.Granted = true
	return a
}

// relevant returns the offset of the last record that a granter of the domain
// must know to renew without the log.
func (g *Granter) relevant() int64 {
	last := max(g.list.Offset, g.state.IsolatedAt)
	for name := range g.targets {
		last = max(last, g.state.TargetVersion[name])
	}
	return last
}

// HandleLogRegained handles lease.back; its arrival is reported to the sender as
// LogRegainedAcked with the notice's Seq.
func (g *Granter) HandleLogRegained(now time.Duration, n LogRegainedNotice) {
	if n.Domain != g.self.Domain {
		return
	}
	p := g.peer(keyOf(n.From))
	if n.Seq <= p.backSeq {
		return
	}
	p.backSeq = n.Seq
	if p.offLog != 0 && p.offLog <= n.Seq {
		p.offLog, p.backAt = 0, now
	}
}
