package lease

import (
	"time"

	"github.com/boragelock/boragelock/provider"
)

// renewal is the state of this granter's renewals of one target that checks fences.
type renewal struct {
	// nonce is the last one received, nonceAt the time of its arrival.
	nonce   string
	nonceAt time.Duration
	// incarnation is that of the target, incarnationSeenAt the time of its first
	// response to this granter.
	incarnation       string
	incarnationSeenAt time.Duration
	// acceptedVersion is the version whose list the incarnation has accepted from
	// this granter; listAccepted says that there is one.
	acceptedVersion uint64
	listAccepted    bool
	// staleVersion is the higher version that the incarnation has from another
	// granter.
	staleVersion uint64
	// inFlightSeq is the Seq of the grant in flight, 0 when there is none; sentAt and
	// sentVersion belong to the last grant sent.
	inFlightSeq uint64
	sent        bool
	sentAt      time.Duration
	sentVersion uint64
	// sentList and sentNonce say what that grant carried.
	sentList, sentNonce bool
	nextAt              time.Duration
	// leaseEnd is the latest end of a lease granted by this granter.
	leaseEnd time.Duration
	// acceptedAt is the time of the last accepted renewal; accepted says that there
	// was one.
	acceptedAt time.Duration
	accepted   bool
}

func (g *Granter) renewActions(now time.Duration, out []Action) []Action {
	if a, _ := g.authority(now); a == AuthorityNone {
		return out
	}
	for _, t := range g.sortedTargets {
		if g.due(now, t) {
			out = append(out, g.newGrant(now, t))
		}
	}
	return out
}

// due reports whether a grant should be sent to the target now.
func (g *Granter) due(now time.Duration, t *target) bool {
	r := &t.renewal
	if !t.fencing || !g.mayGrant(t) || (r.inFlightSeq != 0 && now < r.sentAt+g.cfg.AnswerTimeout) {
		return false
	}
	if g.leftToHigherRank(now, t) {
		return !r.sent || now >= r.sentAt+g.cfg.ProbeEvery
	}
	if r.nonce != "" && now-r.nonceAt < g.cfg.Authority && !g.mayUseNonce(t) {
		return false
	}
	// A change of the shard list is sent at once.
	listChanged := r.listAccepted && r.acceptedVersion != t.version && r.sentVersion != t.version
	return listChanged || now >= r.nextAt
}

// leftToHigherRank reports whether a granter of higher rank renews the target.
func (g *Granter) leftToHigherRank(now time.Duration, t *target) bool {
	return g.rank > 0 && now < t.higherRankRenewedAt+g.takeoverAfter()
}

// takeoverAfter grows with the rank, so that the granters after the first one do
// not all start renewing at once.
func (g *Granter) takeoverAfter() time.Duration {
	return g.cfg.TakeoverAfter + time.Duration(g.rank-1)*g.cfg.RenewEvery
}

// mayGrant reports whether the state of the target's shards allows a renewal.
func (g *Granter) mayGrant(t *target) bool {
	if t.lost && !g.omit.refuseLost {
		return false
	}
	return t.version >= max(t.minVersion, t.renewal.staleVersion)
}

// mayUseNonce reports whether the target's current incarnation may get a lease. A
// target that restarts forgets the versions that it accepted. The log must have been
// read since this granter first received a response from the incarnation: then the
// state holds each move that an earlier incarnation acknowledged. Without the log,
// the members that consented ask this one before they rely on an acknowledgement.
func (g *Granter) mayUseNonce(t *target) bool {
	if _, consented := g.consentUntil(); consented {
		return true
	}
	return g.logReads.start >= t.renewal.incarnationSeenAt || g.omit.readAfterRestart
}

func (g *Granter) newGrant(now time.Duration, t *target) SendGrant {
	r := &t.renewal
	g.grantSeq++
	msg := provider.Grant{Granter: g.self.Host, LeaseMS: g.cfg.Lease.Milliseconds(), Version: t.version}
	r.inFlightSeq, r.sentAt, r.sentVersion, r.sentList, r.sentNonce = g.grantSeq, now, t.version, false, false
	r.sent, r.nextAt = true, now+g.cfg.RenewEvery
	// An old nonce would yield a short lease; a new one costs one round trip.
	if r.nonce != "" && now-r.nonceAt < g.cfg.Lease/2 && !g.leftToHigherRank(now, t) && g.mayUseNonce(t) {
		msg.Nonce, r.sentNonce = r.nonce, true
		r.leaseEnd = max(r.leaseEnd, r.nonceAt+g.cfg.stretch(g.cfg.Lease))
		if !r.listAccepted || r.acceptedVersion != t.version {
			msg.HasShards, msg.Shards, msg.HotKeys = true, t.shards, t.hotKeys
			r.sentList = true
		}
	}
	return SendGrant{Target: t.name, Seq: g.grantSeq, Grant: msg}
}

// MayRenew reports whether a grant may be written now. It may not when, since Step
// returned the grant, the authority has ended or the shards of the target changed.
func (g *Granter) MayRenew(now time.Duration, s SendGrant) bool {
	t := g.targets[s.Target]
	if t == nil || t.renewal.inFlightSeq != s.Seq || s.Grant.Version != t.version || !g.mayGrant(t) {
		return false
	}
	if a, _ := g.authority(now); a == AuthorityNone {
		return false
	}
	return s.Grant.Nonce == "" || g.mayUseNonce(t)
}

func (g *Granter) grantAnswered(now time.Duration, e GrantAnswer) {
	t := g.targets[e.Target]
	if t == nil || t.renewal.inFlightSeq != e.Seq || e.Seq == 0 {
		return
	}
	r := &t.renewal
	r.inFlightSeq = 0
	if e.Reply.Incarnation != r.incarnation {
		r.incarnation, r.incarnationSeenAt = e.Reply.Incarnation, now
		r.listAccepted, r.staleVersion = false, 0
	}
	r.nonce, r.nonceAt = e.Reply.Nonce, now
	switch e.Reply.Result {
	case provider.GrantAccepted:
		r.accepted, r.acceptedAt = true, now
		r.listAccepted, r.acceptedVersion = r.listAccepted || r.sentList, r.sentVersion
		g.recordAck(t, e.Reply)
	case provider.GrantStaleVersion:
		r.staleVersion = max(r.staleVersion, e.Reply.Version)
	case provider.GrantNeedShards:
		r.listAccepted = false
		r.nextAt = g.repeatAt(now, r.sentList)
	case provider.GrantNonceRejected:
		r.nextAt = g.repeatAt(now, r.sentNonce)
	}
}

// repeatAt returns when to repeat a grant: at once, unless the refused one already
// carried what the target requests, so that a faulty target causes no tight loop.
func (g *Granter) repeatAt(now time.Duration, alreadySent bool) time.Duration {
	if alreadySent {
		return now + g.cfg.RetryAfter
	}
	return now
}

func (g *Granter) grantFailed(now time.Duration, e GrantFailed) {
	t := g.targets[e.Target]
	if t == nil || t.renewal.inFlightSeq != e.Seq || e.Seq == 0 {
		return
	}
	t.renewal.inFlightSeq = 0
	t.renewal.nextAt = now + g.cfg.RetryAfter
}

// LeaseEnd returns the latest end of a lease that this granter granted to a target,
// 0 when it granted none.
func (g *Granter) LeaseEnd(target string) time.Duration {
	if t := g.targets[target]; t != nil {
		return t.renewal.leaseEnd
	}
	return 0
}

// RenewalAges returns the age of this granter's last accepted renewal of each
// target, for HelloAnswered.RenewalAges on other hosts. Ages of TakeoverAfter and more
// are left out.
func (g *Granter) RenewalAges(now time.Duration) map[string]time.Duration {
	out := map[string]time.Duration{}
	for name, t := range g.targets {
		if age := now - t.renewal.acceptedAt; t.renewal.accepted && age < g.cfg.TakeoverAfter {
			out[name] = age
		}
	}
	return out
}
