package lease

import "time"

// KeyLeaseConfig holds the times of key leases, which a target counts from the
// arrival of the grant. A zero field takes its default.
type KeyLeaseConfig struct {
	// Duration is the length of a key lease. Default: 2.8 s, since a silent granter is
	// replaced within about 2.2 s and the keys of a lost target are served again soon
	// after.
	Duration time.Duration
	// CallTimeout is the longest time from the decision to send a grant until its last
	// byte may leave this host. Default: 600 ms.
	CallTimeout time.Duration
	// ClockDrift is the fraction by which a target's clock may run slow. Default: 0.02.
	ClockDrift float64
	// MaxTransit is the longest transit of a call that counts as on time.
	// Default: 300 ms.
	MaxTransit time.Duration
	// GrantWithoutStore is how long a granter may grant without a response from the
	// store. Default: 10.5 s, which covers an outage of 9 s and one missed confirmation
	// before it.
	GrantWithoutStore time.Duration
	// DialWithoutStore is how long a granter may open connections to targets without
	// a response from the store; after that it renews over open connections only. A
	// target that restarts forgets the fencing tokens it has seen, and its connections
	// end. Default: 1.5 s, two confirmations.
	DialWithoutStore time.Duration
}

// WithDefaults returns the config with defaults for zero fields.
func (c KeyLeaseConfig) WithDefaults() KeyLeaseConfig {
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Duration, 2800*time.Millisecond)
	set(&c.CallTimeout, 600*time.Millisecond)
	set(&c.MaxTransit, 300*time.Millisecond)
	set(&c.GrantWithoutStore, 10500*time.Millisecond)
	set(&c.DialWithoutStore, 1500*time.Millisecond)
	if c.ClockDrift == 0 {
		c.ClockDrift = 0.02
	}
	return c
}

// MaxSpan is the longest time from sending a grant to the end of its key lease.
func (c KeyLeaseConfig) MaxSpan() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.ClockDrift)) + c.MaxTransit
}

// latestEnd is the latest end of a lease by a grant that is sent now. It may leave this
// host as late as the timeout of the call.
func (c KeyLeaseConfig) latestEnd(now time.Duration) time.Duration {
	return now + c.CallTimeout + c.MaxSpan()
}

// Term is the numbered authority of one granter. The store orders granters: each
// begins a term with a higher number by a conditional append, and confirms it with
// the store. Times are on the boot-time clock, which continues while the
// process is paused.
type Term struct {
	cfg KeyLeaseConfig
	// Number orders the granters; its fencing tokens exceed those of lower terms.
	Number uint64
	// beganAt is when the store confirmed the append that began the term.
	beganAt time.Duration
	// confirmedAt is the send time of the last call by which the store confirmed the
	// term.
	confirmedAt time.Duration
	// fences counts the fencing tokens issued in the term.
	fences uint64
	ended  bool
	// earlier is what this granter knows about earlier granters; previousStoppedAt is
	// the latest time at which the previous one can have stopped.
	earlier           EarlierGranters
	previousStoppedAt time.Duration
	// allStopped says that all earlier granters had stopped by previousStoppedAt.
	allStopped bool
}

// fenceBits is the number of low bits that count fencing tokens within a term: 2^28
// tokens a term and 2^25 terms fit in the 53 bits that a float64 holds exactly.
const fenceBits = 28

// maxFences bounds the fencing tokens of a term. It leaves room for the calls that one Tick
// starts.
const maxFences = 1<<fenceBits - 1<<17

// EarlierGranters is what the store and other hosts report about earlier granters.
type EarlierGranters struct {
	// PreviousStopped says that the previous granter stopped before this term began:
	// it resigned, or its process was seen to have been replaced or to have stopped.
	PreviousStopped bool
	// OlderLeasesLeft is how long key leases of granters before the previous one may
	// remain in force, as the previous one last reported.
	OlderLeasesLeft time.Duration
	// RecordsLost says that the store lost records, and that no granter has stored its
	// tables since: it may name neither the previous granter nor all holders of keys.
	RecordsLost bool
	// UnknownHoldersLeft is for how long targets that the stored tables do not name may
	// hold keys, as the previous granter last reported.
	UnknownHoldersLeft time.Duration
	// ConfirmedBefore is a time after the last confirmation of any earlier granter, or 0 when
	// only the beginning of the term is known to be one.
	ConfirmedBefore time.Duration
}

// BeginTerm starts a term whose append was sent and answered at these times.
func BeginTerm(cfg KeyLeaseConfig, number uint64, sent, answered time.Duration, earlier EarlierGranters) *Term {
	if earlier.RecordsLost {
		earlier.PreviousStopped = false // whoever is known to have stopped may not have been the last
	}
	return &Term{cfg: cfg.WithDefaults(), Number: number, beganAt: answered, previousStoppedAt: answered, confirmedAt: sent, earlier: earlier}
}

// Confirm records that the store responded to a call sent at the given time and
// that no later term had begun.
func (t *Term) Confirm(sent time.Duration) {
	t.confirmedAt = max(t.confirmedAt, sent)
}

// End ends the term, for example because a later one was seen or a target refused
// its fencing token.
func (t *Term) End() { t.ended = true }

// Renumber continues the term under a higher number, by an append that was sent and
// answered at these times. The store lost records, perhaps those of another granter: it
// counts as an earlier one that may go on. The granter's tables are complete, since it
// moved keys last, unless it is still collecting them and has granted nothing.
func (t *Term) Renumber(number uint64, sent, answered time.Duration, collecting bool) {
	earlier := EarlierGranters{UnknownHoldersLeft: t.UnknownHoldersLeft(answered)}
	if collecting {
		earlier = t.earlier
		earlier.UnknownHoldersLeft = max(0, t.beganAt+earlier.UnknownHoldersLeft-answered)
		// A granter whose record is lost may have begun since.
		earlier.PreviousStopped, earlier.ConfirmedBefore = false, 0
	}
	*t = Term{cfg: t.cfg, Number: number, beganAt: answered, previousStoppedAt: answered, confirmedAt: sent, earlier: earlier, ended: t.ended}
}

// SetTablesKnown records that the granter knows the newest tables although the store lost
// records.
func (t *Term) SetTablesKnown() { t.earlier.RecordsLost = false }

// RenumberedLeasesLeft is how long key leases of other granters may remain in force when
// the term is renumbered.
func (t *Term) RenumberedLeasesLeft() time.Duration {
	return t.cfg.GrantWithoutStore + t.cfg.CallTimeout + t.cfg.MaxSpan()
}

// MayGrant reports whether grants may be sent. A term whose fencing tokens are used up may
// not go on, since the next ones belong to later terms.
func (t *Term) MayGrant(now time.Duration) bool {
	return !t.ended && t.fences < maxFences && now < t.confirmedAt+t.cfg.GrantWithoutStore
}

// MayDial reports whether grants may be sent over new connections.
func (t *Term) MayDial(now time.Duration) bool {
	return t.MayGrant(now) && now < t.confirmedAt+t.cfg.DialWithoutStore
}

// SetPreviousStopped records that the granter of the previous term had stopped by
// the given time, which may lie before this term began.
func (t *Term) SetPreviousStopped(at time.Duration) {
	if !t.earlier.PreviousStopped && !t.earlier.RecordsLost {
		t.earlier.PreviousStopped, t.previousStoppedAt = true, at
	}
}

// SetAllStopped records that all earlier granters, also those whose records the store lost,
// had stopped by the given time.
func (t *Term) SetAllStopped(at time.Duration) {
	t.allStopped, t.previousStoppedAt = true, at
	t.earlier.PreviousStopped, t.earlier.OlderLeasesLeft = true, 0
}

// ExclusiveFrom is when earlier granters can no longer reach a restarted target,
// which has forgotten the fencing tokens of this term. Until then keys are not
// taken from a target that responds.
func (t *Term) ExclusiveFrom() time.Duration {
	if t.Number == 1 {
		return t.beganAt
	}
	at := t.beganAt + t.cfg.DialWithoutStore + t.cfg.CallTimeout
	if t.earlier.PreviousStopped && t.earlier.OlderLeasesLeft == 0 {
		at = min(at, t.previousStoppedAt+t.cfg.CallTimeout)
	}
	return at
}

// NextFence returns a new fencing token, above all those of this and earlier terms.
func (t *Term) NextFence() uint64 {
	t.fences++
	return t.Number<<fenceBits | t.fences
}

// PriorEnd is when all key leases have ended that earlier granters may have issued
// without the knowledge of this one. A granter that is not known to have stopped may
// grant for GrantWithoutStore after its last confirmation, which came before the
// append that began this term.
func (t *Term) PriorEnd() time.Duration {
	if t.earlier.PreviousStopped {
		return max(t.beganAt+t.earlier.OlderLeasesLeft, t.previousStoppedAt+t.cfg.CallTimeout+t.cfg.MaxSpan())
	}
	confirmedBefore := t.beganAt
	if at := t.earlier.ConfirmedBefore; at > 0 {
		confirmedBefore = min(confirmedBefore, at)
	}
	return max(t.beganAt, confirmedBefore+t.cfg.GrantWithoutStore+t.cfg.CallTimeout+t.cfg.MaxSpan())
}

// UnknownHoldersEnd is when all key leases have ended of targets that the stored tables do
// not name, or the beginning of the term if they name all.
func (t *Term) UnknownHoldersEnd() time.Duration {
	if t.earlier.RecordsLost {
		return t.PriorEnd()
	}
	end := t.beganAt + t.earlier.UnknownHoldersLeft
	if t.allStopped {
		end = min(end, t.PriorEnd())
	}
	return end
}

// UnknownHoldersLeft is for how long targets that the stored tables do not name may hold
// keys.
func (t *Term) UnknownHoldersLeft(now time.Duration) time.Duration {
	return max(0, t.UnknownHoldersEnd()-now)
}

// InheritedLeasesLeft is how long key leases of earlier granters may remain in force.
func (t *Term) InheritedLeasesLeft(now time.Duration) time.Duration { return max(0, t.PriorEnd()-now) }

// LeaseBound tracks until when one target may have leases on one key range. Grants
// to a target for a range are sent one after the other, each with a higher fencing
// token.
type LeaseBound struct {
	// ownEnd is the latest end of a lease that this granter may have issued.
	ownEnd time.Duration
	// inheritedEnd is the latest end of a lease that earlier granters may have issued.
	inheritedEnd time.Duration
	// earlierMayRenew says that an earlier granter may still renew its lease.
	earlierMayRenew bool
	// exclusiveFrom is when earlier granters can no longer reach a restarted target;
	// a response to a grant sent before does not show that the target refuses them.
	exclusiveFrom time.Duration
}

// InheritedBound returns the bound for a target to which earlier granters may have
// granted the keys, as an owner or a previous owner. An earlier granter that has not
// stopped may keep renewing the lease, and does not know of moves by later ones.
func InheritedBound(t *Term) LeaseBound {
	return LeaseBound{inheritedEnd: t.PriorEnd(), earlierMayRenew: !t.earlier.PreviousStopped || t.earlier.OlderLeasesLeft > 0, exclusiveFrom: t.ExclusiveFrom()}
}

// tighten applies what has become known about earlier granters.
func (b *LeaseBound) tighten(t *Term) {
	if b.inheritedEnd == 0 {
		return
	}
	now := InheritedBound(t)
	b.inheritedEnd, b.exclusiveFrom = min(b.inheritedEnd, now.inheritedEnd), min(b.exclusiveFrom, now.exclusiveFrom)
	b.earlierMayRenew = b.earlierMayRenew && now.earlierMayRenew
}

// NoteSent records that a grant is about to be sent.
func (b *LeaseBound) NoteSent(cfg KeyLeaseConfig, now time.Duration) {
	b.ownEnd = max(b.ownEnd, cfg.latestEnd(now))
}

// NoteAccepted records that the target accepted the last grant, sent at the given
// time. It now refuses all earlier grants that are still in transit, including those
// of earlier granters.
func (b *LeaseBound) NoteAccepted(cfg KeyLeaseConfig, sent, now time.Duration) {
	b.ownEnd = now + cfg.MaxSpan()
	if sent >= b.exclusiveFrom {
		b.inheritedEnd, b.earlierMayRenew = 0, false
	}
}

// NoteReleased records that the target acknowledged a release. It may still apply grants
// without a response afterwards, whose leases end by unansweredEnd.
func (b *LeaseBound) NoteReleased(unansweredEnd time.Duration) { b.ownEnd = unansweredEnd }

// Expired reports whether every lease has ended.
func (b *LeaseBound) Expired(now time.Duration) bool { return now >= b.end() }

// end is when the last lease ends.
func (b *LeaseBound) end() time.Duration { return max(b.ownEnd, b.inheritedEnd) }

// Inherited reports whether leases of earlier granters may be in force: no accepted grant has
// shown yet that the target refuses them.
func (b *LeaseBound) Inherited(now time.Duration) bool {
	return b.earlierMayRenew || now < b.inheritedEnd
}

// EarlierMayRenew reports whether an earlier granter may still renew its lease.
func (b *LeaseBound) EarlierMayRenew() bool { return b.earlierMayRenew }

// merge returns the bound of two neighbouring key ranges that are combined.
func (b LeaseBound) merge(o LeaseBound) LeaseBound {
	return LeaseBound{
		ownEnd: max(b.ownEnd, o.ownEnd), inheritedEnd: max(b.inheritedEnd, o.inheritedEnd),
		earlierMayRenew: b.earlierMayRenew || o.earlierMayRenew, exclusiveFrom: max(b.exclusiveFrom, o.exclusiveFrom),
	}
}
