package limits

import (
	"math"
	"time"

	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// Times of allotments. In a window of 5 s, all hosts together may admit a tenth more than
// a customer's allotment and 20 requests. docs/design/allotments.md has the calculation.
const (
	// AllotmentHeartbeat is the interval at which a host that follows the leader tells it
	// that it does not use its even share.
	AllotmentHeartbeat = 500 * time.Millisecond
	// presentFor is how long the leader counts a host from the time at which the host sent
	// such a message: one message may be lost.
	presentFor = 1200 * time.Millisecond
	// ownShareAfter is how long a host waits from that time until it uses its whole even
	// share: 50 ms for countEvery and 50 ms for the estimate of the leader's clock.
	ownShareAfter = presentFor + 100*time.Millisecond
	// countEvery is the interval at which the leader counts the hosts.
	countEvery = 50 * time.Millisecond
	// earlyShare is the part of its even share that a host uses before ownShareAfter: the
	// leader may still grant that share to others. It does so once in earlyShareEvery, so
	// that a link that fails repeatedly adds to each window once.
	earlyShare      = 0.1
	earlyShareEvery = 5 * time.Second
	// MaxAskAge is the age of a request for tokens from which the leader grants none: the
	// host has decided without it.
	MaxAskAge = 250 * time.Millisecond
	// tokenValidity is how long a host may use a token, counted from when it asked. What
	// hosts saved before a window adds to its requests, 0.1 of the rate at most; with
	// earlyShare, and tokens that reach waiting requests 0.25 s after they were granted, that
	// is 0.47 of the 0.5 that a tenth of 5 s allows.
	tokenValidity = 100 * time.Millisecond
	// ownShareLasts is how long a host without a leader uses its even share. The leader
	// leaves it to the host for a minute at most.
	ownShareLasts = 50 * time.Second
	// unlistedShare is the part of an even share of a host that the leader does not count.
	// As many such hosts as there are others add a twentieth to the rate.
	unlistedShare = 0.05
	// spareBurst is added to each burst: callers do not come at regular intervals. With 4, 7
	// of 10,000 requests at 0.8 of an allotment were refused (TestPrefetchedTokensOfManyHosts).
	spareBurst = 8
	// spareLevel is the part of a bucket up to which hosts get no tokens in advance: those
	// that they do not use are lost.
	spareLevel = 0.75
	// turnLasts and turnLastsRequests bound how long a host may use a turn of its own.
	turnLasts         = 250 * time.Millisecond
	turnLastsRequests = 4
)

// Allotment is a customer's limit over all hosts together.
type Allotment struct {
	PerSecond, Burst float64
}

// Allotments counts the requests of customers over all hosts. One host, the leader, has it.
// With a share s of the hosts present, it grants a customer at most
// s·(rate·T + burst + spareBurst) tokens in any period T. It is not safe for concurrent use.
type Allotments struct {
	began time.Duration
	// ownFrom is when this host's own even share is the leader's to grant.
	ownFrom   time.Duration
	customers map[string]*permitBucket
	// presentUntil is until when a host does not use its even share.
	presentUntil map[string]time.Duration
	countedAt    time.Duration
	present      int
}

// NewAllotments returns the state of a leader whose term began at a time. An earlier leader
// may have granted everything until then, so no customer has a burst yet, and until ownFrom
// (AllotmentShare.LeadsFrom) it may grant the share of this host.
func NewAllotments(began, ownFrom time.Duration) *Allotments {
	return &Allotments{began: began, ownFrom: ownFrom, customers: map[string]*permitBucket{}, presentUntil: map[string]time.Duration{}, countedAt: began - countEvery}
}

// RecordPresent records that a host stated at a time that it does not use its even share.
func (a *Allotments) RecordPresent(host string, at time.Duration) {
	until, known := a.presentUntil[host]
	a.presentUntil[host] = max(until, at+presentFor)
	if !known {
		a.countedAt -= countEvery
	}
}

// share returns the share of the hosts that are present, this one included.
func (a *Allotments) share(now time.Duration, hosts int) float64 {
	if now-a.countedAt >= countEvery {
		a.countedAt, a.present = now, 0
		if now >= a.ownFrom {
			a.present = 1
		}
		for host, until := range a.presentUntil {
			if now < until {
				a.present++
			} else {
				delete(a.presentUntil, host)
			}
		}
	}
	return float64(a.present) / float64(max(hosts, a.present, 1))
}

// Take grants up to n tokens to requests that wait, and up to spare further ones while the
// bucket is fuller than spareLevel. hosts is the number of hosts that may use an even share.
// The refusal describes the first request that got no token.
func (a *Allotments) Take(now time.Duration, customer string, l Allotment, hosts, n, spare int) (granted, spares int, refused Permit) {
	b := a.customers[customer]
	if b == nil {
		b = &permitBucket{Bucket: tokenbucket.Bucket{RefilledAt: a.began}}
		a.customers[customer] = b
	}
	share := a.share(now, hosts)
	if share == 0 { // this host has begun to lead, and no host has told that it is present
		wait := max(a.ownFrom-now, countEvery)
		return 0, 0, Permit{NextAfter: wait, ComeBackAfter: wait}
	}
	perSecond := l.PerSecond * share
	size := max(1, share*(l.Burst+spareBurst))
	b.Refill(now, perSecond, size)
	b.Tokens = min(b.Tokens, size) // also when no time has passed since a lower limit
	for granted < n && b.Tokens >= tokenbucket.Whole {
		b.Tokens--
		granted++
	}
	for spares < spare && b.Tokens >= 1+spareLevel*size {
		b.Tokens--
		spares++
	}
	if granted == n {
		return granted, spares, Permit{}
	}
	next := tokenbucket.Wait(1-b.Tokens, perSecond)
	comeBack := max(now+next, b.promisedUntil)
	latest := now + max(next, maxComeBackAfter)
	b.promisedUntil = min(comeBack+tokenbucket.Wait(float64(n-granted), perSecond), latest)
	return granted, spares, Permit{NextAfter: next, ComeBackAfter: min(comeBack, latest) - now}
}

// Retain drops the customers for which keep returns false.
func (a *Allotments) Retain(keep func(customer string) bool) {
	for name := range a.customers {
		if !keep(name) {
			delete(a.customers, name)
		}
	}
}

// AllotmentShare is what one host may admit of the customers' allotments. It is not safe for
// concurrent use.
type AllotmentShare struct {
	customers map[string]*hostAllotment
	// leader is the term of the leader that is asked, or 0; answered says that it answered
	// the latest message.
	leader   uint64
	answered bool
	// presentAt is when this host last told a leader, that of presentTerm, that it does not
	// use its even share. present says that this holds.
	presentAt   time.Duration
	presentTerm uint64
	present     bool
	// aloneSince is when it last ceased to hold, early says that an early share may be used
	// then. earlyFrom is when one began last.
	aloneSince time.Duration
	early      bool
	earlyFrom  time.Duration
}

// unknownTerm stands for the leader that counted an earlier process of this host.
const unknownTerm = math.MaxUint64

// hostAllotment is what a host has of one customer's allotment.
type hostAllotment struct {
	tokens     int
	validUntil time.Duration
	// refusedUntil is until when the leader has no token, comeBackAt when the next refused
	// caller should come back.
	refusedUntil, comeBackAt time.Duration
	// used counts the admitted requests of the period from usedSince, usedBefore those of
	// the period before.
	used, usedBefore int
	usedSince        time.Duration
	turns            *turns
}

// NewAllotmentShare returns the share of a host that has just started. A leader may still
// count its earlier process.
func NewAllotmentShare(now time.Duration) *AllotmentShare {
	return &AllotmentShare{customers: map[string]*hostAllotment{}, presentAt: now, presentTerm: unknownTerm, aloneSince: now, earlyFrom: now}
}

func (s *AllotmentShare) customer(name string) *hostAllotment {
	h := s.customers[name]
	if h == nil {
		h = &hostAllotment{}
		s.customers[name] = h
	}
	return h
}

// Take decides on a request by what the host has at hand. If decided is false, the leader is
// to be asked.
func (s *AllotmentShare) Take(now time.Duration, customer string, l Allotment) (p Permit, decided bool) {
	h := s.customer(customer)
	if h.tokens > 0 && now < h.validUntil {
		h.tokens--
		h.countUsed(now, 1)
		return Permit{Granted: true}, true
	}
	if now < h.refusedUntil {
		comeBack := max(h.comeBackAt, h.refusedUntil)
		h.comeBackAt = min(comeBack+tokenbucket.Wait(1, l.PerSecond), now+maxComeBackAfter)
		return Permit{NextAfter: h.refusedUntil - now, ComeBackAfter: comeBack - now}, true
	}
	return Permit{}, false
}

// Demand returns the number of requests that the host admitted lately while a token is valid.
func (s *AllotmentShare) Demand(now time.Duration, customer string) int {
	h := s.customer(customer)
	h.countUsed(now, 0)
	return max(h.used, h.usedBefore)
}

func (h *hostAllotment) countUsed(now time.Duration, n int) {
	if now-h.usedSince >= tokenValidity {
		h.usedBefore = h.used
		if now-h.usedSince >= 2*tokenValidity {
			h.usedBefore = 0
		}
		h.used, h.usedSince = 0, now
	}
	h.used += n
}

// BeginLeader records that the host follows the leader of a term from now on, or none if it
// is 0.
func (s *AllotmentShare) BeginLeader(now time.Duration, term uint64) {
	s.leader, s.answered = term, false
	s.leave(now)
}

// leave ends the presence at a leader.
func (s *AllotmentShare) leave(now time.Duration) {
	if !s.present {
		return
	}
	s.present, s.aloneSince = false, now
	if s.early = now-s.earlyFrom >= earlyShareEvery; s.early {
		s.earlyFrom = now
	}
	for _, h := range s.customers {
		h.turns, h.refusedUntil = nil, 0
	}
}

// NextMessage reports whether the message to the leader that is sent now states that the
// host does not use its even share, and records so. The host states it once the leader has
// answered and no other leader can count it any more; ended is the highest term whose leader
// is known to have stopped.
func (s *AllotmentShare) NextMessage(now time.Duration, ended uint64) (present bool) {
	if !s.answered || s.leader == 0 {
		return false
	}
	if s.presentTerm != s.leader && s.presentTerm > ended && now-s.presentAt < ownShareAfter {
		return false
	}
	s.present, s.presentAt, s.presentTerm = true, now, s.leader
	return true
}

// RecordAnswer records whether the leader of a term answered a message in time.
func (s *AllotmentShare) RecordAnswer(now time.Duration, term uint64, answered bool) {
	if term != s.leader {
		return
	}
	s.answered = answered
	if !answered {
		s.leave(now)
	}
}

// LeadsFrom returns from when this host, which begins to lead, may grant its even share itself.
// ended is the highest term whose leader is known to have stopped.
func (s *AllotmentShare) LeadsFrom(now time.Duration, ended uint64) time.Duration {
	if s.presentTerm <= ended {
		return now
	}
	return max(now, s.presentAt+ownShareAfter)
}

// RecordLeading records that this host leads, and so grants its even share itself.
func (s *AllotmentShare) RecordLeading(now time.Duration) {
	s.present, s.presentAt, s.presentTerm, s.early = false, now, 0, false
}

// RecordTokens records the leader's answer for a customer to a message sent at a time: used
// tokens went to requests that waited, the others are for later ones.
func (s *AllotmentShare) RecordTokens(now, sentAt time.Duration, customer string, used, others int) {
	h := s.customer(customer)
	h.countUsed(now, used)
	if now >= h.validUntil {
		h.tokens = 0
	}
	if others > 0 {
		// The earlier tokens lapse with these at the latest: the time is shorter for them.
		h.tokens, h.validUntil = h.tokens+others, validUntil(h, sentAt)
	}
}

// validUntil returns until when tokens of a message are valid together with those at hand.
func validUntil(h *hostAllotment, sentAt time.Duration) time.Duration {
	until := sentAt + tokenValidity
	if h.tokens > 0 {
		until = min(until, h.validUntil)
	}
	return until
}

// RecordRefused records that the leader has no token for a customer.
func (s *AllotmentShare) RecordRefused(now time.Duration, customer string, refused Permit) {
	h := s.customer(customer)
	h.refusedUntil = now + min(refused.NextAfter, maxRefusal)
	h.comeBackAt = now + refused.ComeBackAfter
}

// maxRefusal is how long a host relies on a refusal at most: a limit may have been raised.
const maxRefusal = time.Second

// Present reports whether the leader counts on it that the host does not use its even share.
func (s *AllotmentShare) Present() bool { return s.present }

// OwnShare describes the even share of a host.
type OwnShare struct {
	// Hosts is the number of hosts. Listed says that the leader counts this one among them.
	Hosts  int
	Listed bool
	// Unclaimed says that the leader grants nothing to this customer.
	Unclaimed bool
}

// TakeOwn decides on a request by the host's even share. random is a number from 0 to 1 that
// spreads the turns of hosts.
func (s *AllotmentShare) TakeOwn(now time.Duration, customer string, l Allotment, own OwnShare, random float64) Permit {
	share, since := 1/float64(max(own.Hosts, 1)), s.presentAt+ownShareAfter
	switch {
	case !own.Listed:
		share *= unlistedShare
	case own.Unclaimed:
		since = now
	case now < since && (s.present || !s.early):
		return Permit{NextAfter: since - now, ComeBackAfter: since - now}
	case now < since:
		share, since = share*earlyShare, s.aloneSince
	case now-s.presentAt >= ownShareLasts:
		share, since = share*unlistedShare, s.presentAt+ownShareLasts
	}
	h := s.customer(customer)
	perSecond := l.PerSecond * share
	if t := h.turns; t == nil || t.perSecond != perSecond {
		if t != nil {
			since = max(since, now) // the turns at the earlier rate may have been used
		}
		period := tokenbucket.Wait(1, perSecond)
		h.turns = &turns{perSecond: perSecond, first: since + time.Duration(random*float64(period)), period: period}
	}
	lasts := turnLasts + tokenbucket.Wait(turnLastsRequests, l.PerSecond)
	if h.turns.take(now, lasts) {
		h.countUsed(now, 1)
		return Permit{Granted: true}
	}
	next := max(h.turns.nextAt(now)-now, time.Millisecond)
	return Permit{NextAfter: next, ComeBackAfter: next}
}

// take uses the current turn, unless it was used or began longer ago than lasts.
func (t *turns) take(now, lasts time.Duration) bool {
	if now < t.first {
		return false
	}
	current := int64((now - t.first) / t.period)
	if current < t.next || now-t.first-time.Duration(current)*t.period > lasts {
		return false
	}
	t.next = current + 1
	return true
}

// nextAt returns when the next turn begins.
func (t *turns) nextAt(now time.Duration) time.Duration {
	if now < t.first {
		return t.first
	}
	return t.first + ((now-t.first)/t.period+1)*t.period
}

// Retain drops the customers for which keep returns false.
func (s *AllotmentShare) Retain(keep func(customer string) bool) {
	for name := range s.customers {
		if !keep(name) {
			delete(s.customers, name)
		}
	}
}
