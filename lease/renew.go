package lease

import (
	"time"

	"github.com/boragelock/boragelock/provider"
)

// renewal is this granter's exchange with one fenced target.
type renewal struct {
	// nonce is the last one received; nonceAt its arrival.
	nonce   string
	nonceAt time.Duration
	// incarnation of the target, and when this granter first heard from it.
	incarnation string
	heardAt     time.Duration
	// holds is the version whose list the incarnation has accepted from this
	// granter; known says that there is one.
	holds uint64
	known bool
	// stale is the version that the incarnation holds from another granter.
	stale uint64
	// seq belongs to the grant in flight, 0 when there is none; sentAt and
	// version to the last one that was sent.
	seq     uint64
	sent    bool
	sentAt  time.Duration
	version uint64
	// listed and nonced say what that grant carried.
	listed, nonced bool
	nextAt         time.Duration
	// bound is when the lease given by this granter ends at the latest.
	bound time.Duration
	// acceptedAt is the last accepted renewal; accepted says that there was one.
	acceptedAt time.Duration
	accepted   bool
}

func (g *Granter) renewActions(now time.Duration, out []Action) []Action {
	if a, _ := g.authority(now); a == AuthorityNone {
		return out
	}
	for _, t := range g.order {
		if g.due(now, t) {
			out = append(out, g.grant(now, t))
		}
	}
	return out
}

// due reports whether a grant should be sent to the target now.
func (g *Granter) due(now time.Duration, t *target) bool {
	r := &t.renewal
	if !t.fencing || !g.mayGrant(t) || (r.seq != 0 && now < r.sentAt+g.cfg.AnswerWithin) {
		return false
	}
	if g.follows(now, t) {
		return !r.sent || now >= r.sentAt+g.cfg.ProbeEvery
	}
	if r.nonce != "" && now-r.nonceAt < g.cfg.Authority && !g.mayUseNonce(t) {
		return false
	}
	// A change of the list does not wait for the schedule.
	changed := r.known && r.holds != t.version && r.version != t.version
	return changed || now >= r.nextAt
}

// follows reports whether the renewal of the target is left to a granter of
// higher rank.
func (g *Granter) follows(now time.Duration, t *target) bool {
	return g.rank > 0 && now < t.otherAt+g.followAfter()
}

// followAfter grows with the rank, so that the granters after the first one do
// not all start at once.
func (g *Granter) followAfter() time.Duration {
	return g.cfg.FollowAfter + time.Duration(g.rank-1)*g.cfg.RenewEvery
}

// mayGrant reports whether the target may be renewed as far as its shards are
// concerned.
func (g *Granter) mayGrant(t *target) bool {
	if t.lost && !g.omit.lost {
		return false
	}
	return t.version >= max(t.floor, t.renewal.stale)
}

// mayUseNonce reports whether the target's present incarnation may be given a
// lease. A target that restarts forgets the versions that it accepted. The log
// must have been read since this granter first heard from the incarnation:
// then the state holds each move that an earlier incarnation acknowledged.
// Without the log, the members that consented ask this one before they rely on
// an acknowledgement.
func (g *Granter) mayUseNonce(t *target) bool {
	if _, off := g.consentUntil(); off {
		return true
	}
	return g.log.start >= t.renewal.heardAt || g.omit.restart
}

func (g *Granter) grant(now time.Duration, t *target) SendGrant {
	r := &t.renewal
	g.seq++
	msg := provider.Grant{Granter: g.self.Host, LeaseMS: g.cfg.Lease.Milliseconds(), Version: t.version}
	r.seq, r.sentAt, r.version, r.listed, r.nonced = g.seq, now, t.version, false, false
	r.sent, r.nextAt = true, now+g.cfg.RenewEvery
	// An old nonce would give a short lease; a new one costs one exchange.
	if r.nonce != "" && now-r.nonceAt < g.cfg.Lease/2 && !g.follows(now, t) && g.mayUseNonce(t) {
		msg.Nonce, r.nonced = r.nonce, true
		r.bound = max(r.bound, r.nonceAt+g.cfg.stretch(g.cfg.Lease))
		if !r.known || r.holds != t.version {
			msg.HasShards, msg.Shards, msg.HotKeys = true, t.shards, t.hot
			r.listed = true
		}
	}
	return SendGrant{Target: t.name, Seq: g.seq, Grant: msg}
}

// MayRenew reports whether a grant may be written now. A grant is refused when
// the authority has ended, or what the target should hold has changed, since
// Step returned it.
func (g *Granter) MayRenew(now time.Duration, s SendGrant) bool {
	t := g.targets[s.Target]
	if t == nil || t.renewal.seq != s.Seq || s.Grant.Version != t.version || !g.mayGrant(t) {
		return false
	}
	if a, _ := g.authority(now); a == AuthorityNone {
		return false
	}
	return s.Grant.Nonce == "" || g.mayUseNonce(t)
}

func (g *Granter) granted(now time.Duration, e GrantAnswer) {
	t := g.targets[e.Target]
	if t == nil || t.renewal.seq != e.Seq || e.Seq == 0 {
		return
	}
	r := &t.renewal
	r.seq = 0
	if e.Reply.Incarnation != r.incarnation {
		r.incarnation, r.heardAt = e.Reply.Incarnation, now
		r.known, r.stale = false, 0
	}
	r.nonce, r.nonceAt = e.Reply.Nonce, now
	switch e.Reply.Result {
	case provider.GrantAccepted:
		r.accepted, r.acceptedAt = true, now
		r.known, r.holds = r.known || r.listed, r.version
		g.acknowledged(t, e.Reply)
	case provider.GrantStale:
		r.stale = max(r.stale, e.Reply.Version)
	case provider.GrantNeedShards:
		r.known = false
		r.nextAt = g.again(now, r.listed)
	case provider.GrantNonce:
		r.nextAt = g.again(now, r.nonced)
	}
}

// again returns when to repeat a grant: at once, unless the one refused had
// what the target asks for already, so that a faulty target causes no loop.
func (g *Granter) again(now time.Duration, had bool) time.Duration {
	if had {
		return now + g.cfg.RetryAfter
	}
	return now
}

func (g *Granter) grantFailed(now time.Duration, e GrantFailed) {
	t := g.targets[e.Target]
	if t == nil || t.renewal.seq != e.Seq || e.Seq == 0 {
		return
	}
	t.renewal.seq = 0
	t.renewal.nextAt = now + g.cfg.RetryAfter
}

// Bound returns when the lease that this granter last gave to a target ends at
// the latest; 0 when it gave none.
func (g *Granter) Bound(target string) time.Duration {
	if t := g.targets[target]; t != nil {
		return t.renewal.bound
	}
	return 0
}

// RenewalAges returns the age of this granter's last accepted renewal of each
// target, for HelloAnswered.RenewalAges on other hosts. Ages of FollowAfter and more
// are left out.
func (g *Granter) RenewalAges(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, t := range g.targets {
		if age := now - t.renewal.acceptedAt; t.renewal.accepted && age < g.cfg.FollowAfter {
			out[name] = age
		}
	}
	return out
}
