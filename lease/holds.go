package lease

import "time"

// HoldConfig holds the times of grants whose targets count the hold from the
// arrival of the call. A zero field takes its default.
type HoldConfig struct {
	// Hold is the length of a grant. Default: 2.8 s: a granter that falls silent is
	// replaced within about 2.2 s, and keys of a lost target are back soon after.
	Hold time.Duration
	// Call is the longest time from the decision to send a grant until its last
	// byte may leave this host. Default: 600 ms.
	Call time.Duration
	// Drift is the part by which a target's clock may run slow, without unit.
	// Default: 0.02.
	Drift float64
	// Transit is the time that a call may be on its way without being late.
	// Default: 300 ms.
	Transit time.Duration
	// Authority is how long a granter may renew without an answer of the store.
	// Default: 10.5 s: an outage of 9 s and one missed confirmation before it.
	Authority time.Duration
}

// WithDefaults returns the config with defaults for zero fields.
func (c HoldConfig) WithDefaults() HoldConfig {
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Hold, 2800*time.Millisecond)
	set(&c.Call, 600*time.Millisecond)
	set(&c.Transit, 300*time.Millisecond)
	set(&c.Authority, 10500*time.Millisecond)
	if c.Drift == 0 {
		c.Drift = 0.02
	}
	return c
}

// Span is the longest time from the leaving of a grant to the end of its hold.
func (c HoldConfig) Span() time.Duration {
	return time.Duration(float64(c.Hold)*(1+c.Drift)) + c.Transit
}

// Term is the authority of one granter. The store orders granters: each gets a
// higher term number by a conditional append, and each confirms its term with
// the store. Times are on the boot-time clock, which goes on while the process
// is paused.
type Term struct {
	cfg HoldConfig
	// Number orders the granters; its fences are above those of lower terms.
	Number uint64
	// began is when the store confirmed the append that began the term.
	began time.Duration
	// confirmed is when the last call was sent by which the store confirmed the
	// term.
	confirmed time.Duration
	count     uint64
	ended     bool
	// resigned says that the previous granter gave the right back.
	resigned bool
}

// fenceBits leaves room for four million grants a term in a number that a
// float of 53 bits holds.
const fenceBits = 28

// BeginTerm starts a term whose append was sent and answered at these times.
func BeginTerm(cfg HoldConfig, number uint64, sent, answered time.Duration) *Term {
	return &Term{cfg: cfg.WithDefaults(), Number: number, began: answered, confirmed: sent}
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

// Fence returns a new fence, above all fences of this and earlier terms.
func (t *Term) Fence() uint64 {
	t.count++
	return t.Number<<fenceBits | t.count
}

// Inherited is when each hold has ended that an earlier granter may have given
// to an owner without this one knowing: the earlier one's last confirmation came
// before the append that began this term.
func (t *Term) Inherited() time.Duration {
	return t.began + t.cfg.Authority + t.cfg.Call + t.cfg.Span()
}

// Superseded is when each hold has ended that an earlier granter gave to a
// target which the stored table lists as a former owner: a granter sends no
// grant to a former owner after it stored the move.
func (t *Term) Superseded() time.Duration { return t.began + t.cfg.Call + t.cfg.Span() }

// Resigned notes that the previous granter stopped before this term began.
func (t *Term) Resigned() { t.resigned = true }

// Holding tracks what one target may hold on one run of keys. Grants to a
// target for a run are sent one after the other, each with a higher fence.
type Holding struct {
	// until is the end of the latest hold that the target may have.
	until time.Duration
	// unanswered is the end of the holds of grants that had no answer and are
	// newer than the last one answered: they may be applied late, also after a
	// release.
	unanswered time.Duration
	// inherited says that an earlier granter may still renew the hold.
	inherited bool
}

// Inherit returns the holding of an owner that an earlier granter may renew
// until the end of its authority.
func Inherit(t *Term) Holding {
	if t.resigned {
		return Holding{until: t.Superseded(), unanswered: t.Superseded()}
	}
	return Holding{until: t.Inherited(), inherited: true}
}

// Former returns the holding of a former owner in the stored table.
func Former(t *Term) Holding {
	return Holding{until: t.Superseded(), unanswered: t.Superseded()}
}

// Sent notes that a grant is about to be sent. It may leave this host as late as
// the limit of the call.
func (h *Holding) Sent(cfg HoldConfig, now time.Duration) {
	h.until = max(h.until, now+cfg.Call+cfg.Span())
	h.unanswered = max(h.unanswered, now+cfg.Call+cfg.Span())
}

// Answered notes that the grant sent last was accepted. The target now refuses
// all earlier ones that are still on their way, those of earlier granters too.
func (h *Holding) Answered(cfg HoldConfig, now time.Duration) {
	*h = Holding{until: now + cfg.Span()}
}

// Released notes that the target answered a release. A grant without an answer
// may still be applied after it.
func (h *Holding) Released() {
	if !h.inherited {
		h.until = h.unanswered
	}
}

// Free reports whether every hold has ended.
func (h *Holding) Free(now time.Duration) bool { return now >= h.until }

// Inherited reports whether an earlier granter may still renew the hold.
func (h *Holding) Inherited() bool { return h.inherited }

// join returns the holding of two neighbouring runs taken as one.
func (h Holding) join(o Holding) Holding {
	return Holding{
		until: max(h.until, o.until), unanswered: max(h.unanswered, o.unanswered),
		inherited: h.inherited || o.inherited,
	}
}
