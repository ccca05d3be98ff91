package lease

import "time"

// KeyLeaseConfig holds the times of grants whose targets count the hold from the
// arrival of the call. A zero field takes its default.
type KeyLeaseConfig struct {
	// Duration is the length of a grant. Default: 2.8 s: a granter that falls silent is
	// replaced within about 2.2 s, and keys of a lost target are back soon after.
	Duration time.Duration
	// CallTimeout is the longest time from the decision to send a grant until its last
	// byte may leave this host. Default: 600 ms.
	CallTimeout time.Duration
	// Drift is the part by which a target's clock may run slow, without unit.
	// Default: 0.02.
	Drift float64
	// Transit is the time that a call may be on its way without being late.
	// Default: 300 ms.
	Transit time.Duration
	// Authority is how long a granter may renew without an answer of the store.
	// Default: 10.5 s: an outage of 9 s and one missed confirmation before it.
	Authority time.Duration
	// Dial is how long a granter may open connections to targets without an answer
	// of the store; after that it renews over open connections only. A target that
	// starts anew forgets which fences it has seen, and its connections end.
	// Default: 1.5 s, two confirmations.
	Dial time.Duration
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
	set(&c.Transit, 300*time.Millisecond)
	set(&c.Authority, 10500*time.Millisecond)
	set(&c.Dial, 1500*time.Millisecond)
	if c.Drift == 0 {
		c.Drift = 0.02
	}
	return c
}

// Span is the longest time from the leaving of a grant to the end of its hold.
func (c KeyLeaseConfig) Span() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.Drift)) + c.Transit
}

// Term is the authority of one granter. The store orders granters: each gets a
// higher term number by a conditional append, and each confirms its term with
// the store. Times are on the boot-time clock, which goes on while the process
// is paused.
type Term struct {
	cfg KeyLeaseConfig
	// Number orders the granters; its fences are above those of lower terms.
	Number uint64
	// began is when the store confirmed the append that began the term.
	began time.Duration
	// confirmed is when the last call was sent by which the store confirmed the
	// term.
	confirmed time.Duration
	count     uint64
	ended     bool
	// prior is what is known of earlier granters; endedAt is when the previous one
	// had stopped at the latest.
	prior   EarlierGranters
	endedAt time.Duration
}

// fenceBits leaves room for four million grants a term in a number that a
// float of 53 bits holds.
const fenceBits = 28

// EarlierGranters is what the store and other hosts say of earlier granters.
type EarlierGranters struct {
	// Ended says that the previous granter stopped before this term began: it
	// resigned, or its process was seen to be replaced or to have stopped.
	PreviousStopped bool
	// OlderLeasesLeft is how long granters before the previous one may go on, as the
	// previous one last stated it.
	OlderLeasesLeft time.Duration
}

// BeginTerm starts a term whose append was sent and answered at these times.
func BeginTerm(cfg KeyLeaseConfig, number uint64, sent, answered time.Duration, prior EarlierGranters) *Term {
	return &Term{cfg: cfg.WithDefaults(), Number: number, began: answered, endedAt: answered, confirmed: sent, prior: prior}
}

// Confirm notes that a call sent at a time was answered by the store and showed
// that no later term has begun.
func (t *Term) Confirm(sent time.Duration) {
	t.confirmed = max(t.confirmed, sent)
}

// End ends the term: a later one was seen, or a target refused its fence.
func (t *Term) End() { t.ended = true }

// MayGrant reports whether grants may be sent.
func (t *Term) MayGrant(now time.Duration) bool {
	return !t.ended && now < t.confirmed+t.cfg.Authority
}

// MayDial reports whether grants may be sent over new connections.
func (t *Term) MayDial(now time.Duration) bool {
	return t.MayGrant(now) && now < t.confirmed+t.cfg.Dial
}

// SetPredecessorStopped notes that the granter of the term before had stopped at a time,
// which may lie before this term began.
func (t *Term) SetPredecessorStopped(at time.Duration) {
	if !t.prior.PreviousStopped {
		t.prior.PreviousStopped, t.endedAt = true, at
	}
}

// Exclusive is when earlier granters can no longer reach a target that started
// anew, and so has forgotten the fences of this term. Until then keys are not
// taken from a target that answers.
func (t *Term) Exclusive() time.Duration {
	if t.Number == 1 {
		return t.began
	}
	at := t.began + t.cfg.Dial + t.cfg.CallTimeout
	if t.prior.PreviousStopped && t.prior.OlderLeasesLeft == 0 {
		at = min(at, t.endedAt+t.cfg.CallTimeout)
	}
	return at
}

// Fence returns a new fence, above all fences of this and earlier terms.
func (t *Term) Fence() uint64 {
	t.count++
	return t.Number<<fenceBits | t.count
}

// Inherited is when each hold has ended that earlier granters may have given
// without this one knowing. A granter that is not known to have stopped goes on
// for its authority, and its last confirmation came before the append that began
// this term.
func (t *Term) Inherited() time.Duration {
	if t.prior.PreviousStopped {
		return max(t.began+t.prior.OlderLeasesLeft, t.endedAt+t.cfg.CallTimeout+t.cfg.Span())
	}
	return t.began + t.cfg.Authority + t.cfg.CallTimeout + t.cfg.Span()
}

// InheritedLeasesLeft is how long earlier granters may still have holds in force.
func (t *Term) InheritedLeasesLeft(now time.Duration) time.Duration { return max(0, t.Inherited()-now) }

// Holding tracks what one target may hold on one run of keys. Grants to a
// target for a run are sent one after the other, each with a higher fence.
type Holding struct {
	// own is the end of the latest hold that this granter may have given.
	own time.Duration
	// unanswered is the end of the holds of own grants that had no answer and are
	// newer than the last one answered: they may be applied late, also after a
	// release.
	unanswered time.Duration
	// prior is the end of the latest hold that earlier granters may have given.
	prior time.Duration
	// inherited says that an earlier granter may still renew the hold.
	inherited bool
	// exclusive is when earlier granters can no longer reach a target that started
	// anew; an answer to a grant sent before does not show that they are refused.
	exclusive time.Duration
}

// Inherit returns the holding of a target that earlier granters may have granted
// the keys, as an owner or as a former owner. One that has not stopped may go on
// renewing it, and does not know of moves by later ones.
func Inherit(t *Term) Holding {
	return Holding{prior: t.Inherited(), inherited: !t.prior.PreviousStopped || t.prior.OlderLeasesLeft > 0, exclusive: t.Exclusive()}
}

// narrow applies what has become known of earlier granters.
func (h *Holding) narrow(t *Term) {
	if h.prior == 0 {
		return
	}
	now := Inherit(t)
	h.prior, h.exclusive = min(h.prior, now.prior), min(h.exclusive, now.exclusive)
	h.inherited = h.inherited && now.inherited
}

// Sent notes that a grant is about to be sent. It may leave this host as late as
// the limit of the call.
func (h *Holding) Sent(cfg KeyLeaseConfig, now time.Duration) {
	end := now + cfg.CallTimeout + cfg.Span()
	h.own, h.unanswered = max(h.own, end), max(h.unanswered, end)
}

// Answered notes that the grant sent last, at a time, was accepted. The target now
// refuses all earlier ones that are still on their way, those of earlier granters
// too.
func (h *Holding) Answered(cfg KeyLeaseConfig, sent, now time.Duration) {
	h.own, h.unanswered = now+cfg.Span(), 0
	if sent >= h.exclusive {
		h.prior, h.inherited = 0, false
	}
}

// Released notes that the target answered a release. A grant without an answer
// may still be applied after it.
func (h *Holding) Released() { h.own = h.unanswered }

// Free reports whether every hold has ended.
func (h *Holding) Free(now time.Duration) bool { return now >= h.end() }

// end is when the last hold ends.
func (h *Holding) end() time.Duration { return max(h.own, h.prior) }

// Inherited reports whether an earlier granter may still renew the hold.
func (h *Holding) Inherited() bool { return h.inherited }

// join returns the holding of two neighbouring runs taken as one.
func (h Holding) join(o Holding) Holding {
	return Holding{
		own: max(h.own, o.own), unanswered: max(h.unanswered, o.unanswered), prior: max(h.prior, o.prior),
		inherited: h.inherited || o.inherited, exclusive: max(h.exclusive, o.exclusive),
	}
}
