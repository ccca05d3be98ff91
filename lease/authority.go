package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// maxPendingReads limits how many log reads wait for their state.
const maxPendingReads = 8

// logReads tracks the complete log reads of this host.
type logReads struct {
	// start is the latest start of a complete read whose records are all in the
	// published state; hasRead says that there was one.
	start   time.Duration
	hasRead bool
	// pending holds the reads that wait for a state with their records.
	pending []LogRead
	next    int64
}

func (l *logReads) read(e LogRead) {
	if len(l.pending) == maxPendingReads {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, e)
	l.applyPending()
}

func (l *logReads) statePublished(next int64) {
	l.next = next
	l.applyPending()
}

func (l *logReads) applyPending() {
	rest := l.pending[:0]
	for _, e := range l.pending {
		switch {
		case e.End > l.next:
			rest = append(rest, e)
		case !l.hasRead || e.Start > l.start:
			l.start, l.hasRead = e.Start, true
		}
	}
	l.pending = rest
}

func (g *Granter) logRead(e LogRead) { g.logReads.read(e) }

// consentPeriod is this granter's current or last period without the log.
type consentPeriod struct {
	// seq numbers the periods, from 1.
	seq uint64
	// active says that period seq lasts, for which consent has been requested.
	active bool
	// lastRead is the start of the last log read before the period.
	lastRead  time.Duration
	grantedBy map[memberKey]bool
	askedAt   time.Duration
	// toNotify holds the granters that have not acknowledged the end of the periods
	// up to seq.
	toNotify   map[memberKey]journal.Member
	notifiedAt time.Duration
}

func (c *consentPeriod) acknowledged(e LogRegainedAcked) {
	if e.Seq == c.seq && !c.active {
		delete(c.toNotify, keyOf(e.From))
	}
}

// authority returns the grounds on which this granter may renew now, and when they
// end unless extended.
func (g *Granter) authority(now time.Duration) (Authority, time.Duration) {
	if g.rank < 0 || g.domainState == contract.StateLost {
		return AuthorityNone, now
	}
	if g.omit.authorityLimit {
		return AuthorityLog, now + g.cfg.Authority
	}
	if !g.logReads.hasRead {
		return AuthorityNone, now
	}
	until := g.logReads.start + g.cfg.Authority
	if now < until {
		return AuthorityLog, until
	}
	if end, ok := g.consentUntil(); ok && now < end {
		return AuthorityConsent, end
	}
	return AuthorityNone, now
}

// consentUntil returns the end of the right to renew without the log. All other
// members must have consented in this period, except those that are excused.
func (g *Granter) consentUntil() (time.Duration, bool) {
	if g.omit.needConsent {
		return g.isolatedUntil(), true
	}
	if !g.consent.active {
		return 0, false
	}
	for _, m := range g.list.Members {
		if !g.isSelf(m) && !g.consent.grantedBy[keyOf(m)] && !g.excused(m) {
			return 0, false
		}
	}
	return g.isolatedUntil(), true
}

// excused reports whether another member need not consent: it is proven dead, and
// the log has been read to its end since that was learned. Before it died, the member
// may have waited until this granter's lease ended and released shards; only a later
// read is certain to include the moves on which it acted.
func (g *Granter) excused(m journal.Member) bool {
	p := g.peers[keyOf(m)]
	return p.dead && (g.logReads.start > p.deadAt || g.omit.readAfterDeath)
}

func (g *Granter) isolatedUntil() time.Duration {
	ms := g.state.Config.IsolatedServeMS
	if ms < 0 {
		return time.Duration(1<<63 - 1)
	}
	return g.logReads.start + g.cfg.Authority + time.Duration(ms)*time.Millisecond
}

// consentActions starts, continues or ends a period without the log.
func (g *Granter) consentActions(now time.Duration, out []Action) []Action {
	c := &g.consent
	if c.active && g.logReads.start > c.lastRead {
		c.active, c.grantedBy, c.notifiedAt = false, nil, now-g.cfg.AskEvery
	}
	mayAsk := g.rank >= 0 && g.logReads.hasRead && g.state.Config.IsolatedServeMS != 0 && g.domainState != contract.StateLost
	if mayAsk && !c.active && now >= g.logReads.start+g.cfg.ConsentAfter {
		c.seq++
		c.active, c.lastRead = true, g.logReads.start
		c.grantedBy, c.askedAt = map[memberKey]bool{}, now-g.cfg.AskEvery
		if c.toNotify == nil {
			c.toNotify = map[memberKey]journal.Member{}
		}
	}
	if c.active && mayAsk && now >= c.askedAt+g.cfg.AskEvery {
		c.askedAt = now
		for _, m := range g.list.Members {
			if k := keyOf(m); !g.isSelf(m) && !c.grantedBy[k] && !g.peers[k].dead {
				c.toNotify[k] = m
				out = append(out, AskConsent{To: m, Request: ConsentRequest{Domain: g.self.Domain, From: g.member, Seq: c.seq, Next: g.state.NextOffset}})
			}
		}
	}
	g.pruneToNotify()
	if !c.active && len(c.toNotify) > 0 && now >= c.notifiedAt+g.cfg.AskEvery {
		c.notifiedAt = now
		out = g.logRegainedActions(out)
	}
	return out
}

// pruneToNotify drops the granters that have died or left the list.
func (g *Granter) pruneToNotify() {
	if len(g.consent.toNotify) == 0 {
		return
	}
	maps.DeleteFunc(g.consent.toNotify, func(k memberKey, _ journal.Member) bool {
		return g.peers[k] == nil || g.peers[k].dead || !slices.ContainsFunc(g.others(), func(m journal.Member) bool { return keyOf(m) == k })
	})
}

func (g *Granter) logRegainedActions(out []Action) []Action {
	self := journal.Member{Host: g.self.Host, Incarnation: g.self.Incarnation}
	for _, m := range g.others() {
		k := keyOf(m)
		if _, due := g.consent.toNotify[k]; due {
			out = append(out, SendLogRegained{To: m, Notice: LogRegainedNotice{Domain: g.self.Domain, From: self, Seq: g.consent.seq}})
		}
	}
	return out
}

func (g *Granter) consentAnswered(e ConsentAnswered) {
	c := &g.consent
	if c.active && e.Answer.Granted && e.Answer.Seq == c.seq && e.Answer.By == e.From.Incarnation {
		c.grantedBy[keyOf(e.From)] = true
	}
}

// Consent answers lease.consent. It is refused to a host whose state lacks a record
// that this host knows and that concerns the domain: that host could keep granting
// shards whose release is already pending.
func (g *Granter) Consent(now time.Duration, r ConsentRequest) ConsentAnswer {
	a := ConsentAnswer{Seq: r.Seq, By: g.self.Incarnation}
	if g.state == nil || r.Domain != g.self.Domain {
		return a
	}
	a.Next = g.state.NextOffset
	listed := false
	for _, m := range g.list.Members {
		listed = listed || keyOf(m) == keyOf(r.From)
	}
	p := g.peer(keyOf(r.From))
	g.learnNext(now, p, r.Next)
	if !listed || p.dead || r.Seq <= p.endedSeq || g.domainState == contract.StateLost {
		return a
	}
	if g.lastRelevantOffset() >= r.Next && !g.omit.refuseBehind {
		return a
	}
	p.consentSeq = max(p.consentSeq, r.Seq)
	a.Granted = true
	return a
}

// lastRelevantOffset returns the offset of the last record that a granter of the
// domain must know to renew without the log.
func (g *Granter) lastRelevantOffset() int64 {
	last := max(g.list.Offset, g.state.IsolatedServeOffset)
	for name := range g.targets {
		last = max(last, g.state.TargetVersion[name])
	}
	return last
}

// HandleLogRegained handles lease.back. The response reaches the sender's Step as
// LogRegainedAcked with the Seq of the notice.
func (g *Granter) HandleLogRegained(now time.Duration, n LogRegainedNotice) {
	if n.Domain != g.self.Domain {
		return
	}
	p := g.peer(keyOf(n.From))
	if n.Seq <= p.endedSeq {
		return
	}
	p.endedSeq = n.Seq
	if p.consentSeq != 0 && p.consentSeq <= n.Seq {
		p.consentSeq, p.endedAt = 0, now
	}
}
