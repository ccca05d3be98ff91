package lease

import (
	"slices"
	"sort"
	"time"

	"github.com/boragelock/boragelock/ownership"
)

// RangeConfig holds the settings of a RangeGranter. A zero field takes its
// default.
type RangeConfig struct {
	KeyLease KeyLeaseConfig
	// RenewEvery is the time between two grants of a key range. Default: a third of
	// the key lease, so that two grants may be lost.
	RenewEvery time.Duration
	// RetryAfter is the time before a failed call is repeated. Default: 300 ms.
	RetryAfter time.Duration
	// FailingAfter is the time without an accepted grant after which a target counts
	// as failing. Default: RenewEvery plus the call timeout plus 50 ms.
	FailingAfter time.Duration
	// TickEvery is the period in which Tick is called. It limits the grants of one
	// Tick to little more than the average: after a first table or a change of leader
	// all ranges are due at once, and their renewals would stay synchronized. A Tick that
	// comes late may start more.
	// Default: 0, no limit.
	TickEvery time.Duration
}

// A Tick starts at most grantBurst times the average number of grants due in a Tick,
// or minGrants if that is more.
const (
	grantBurst = 1.5
	minGrants  = 32
)

// maxGrants returns the number of grants that a Tick may start for a number of key
// ranges when the Tick before was called a time ago.
func (c RangeConfig) maxGrants(ranges int, ago time.Duration) int {
	if c.TickEvery <= 0 {
		return ranges
	}
	return max(minGrants, int(grantBurst*float64(ranges)*float64(max(c.TickEvery, ago))/float64(c.RenewEvery)))
}

func (c RangeConfig) withDefaults() RangeConfig {
	c.KeyLease = c.KeyLease.WithDefaults()
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.RenewEvery, c.KeyLease.Duration/3)
	set(&c.RetryAfter, 300*time.Millisecond)
	set(&c.FailingAfter, c.RenewEvery+c.KeyLease.CallTimeout+50*time.Millisecond)
	return c
}

// TargetCall is a call to a target that a RangeGranter requests.
type TargetCall struct {
	// Release is true for a release, false for a grant.
	Release bool
	Target  string
	From    int
	To      int
	Fence   uint64
	// LeaseDuration and Handover belong to grants.
	LeaseDuration time.Duration
	Handover      string
	// OpenOnly restricts the call to connections that are already open.
	OpenOnly bool
}

// unknownHolder stands for targets that the stored tables do not name and that may hold
// keys, since the store lost records. It cannot be told to release them.
const unknownHolder = ""

// previousOwnerState is a previous owner of a key range and the state of its release.
type previousOwnerState struct {
	target   string
	lease    LeaseBound
	released bool
	inFlight bool
	// fence is the fencing token of the release in flight.
	fence  uint64
	nextAt time.Duration
}

// rangeState is one key range of the table with the state of its grants.
type rangeState struct {
	ownership.KeyRange
	lease LeaseBound
	// leaseBefore is the lease bound before the grant in flight; fence and sentAt
	// belong to that grant.
	leaseBefore         LeaseBound
	fence               uint64
	sentAt              time.Duration
	previousOwnerStates []previousOwnerState
	// granted says that the owner accepted a grant from this granter, inherited that it may
	// have the keys from an earlier one and nobody else may.
	granted   bool
	inherited bool
	handover  string
	inFlight  bool
	nextAt    time.Duration
	// movedAt is when the range was last given to another owner.
	movedAt time.Duration
	// acceptedAt is the time of the last accepted grant; before the first one, the
	// start of the term or of the table that created the range. acceptedRun is the same on
	// the granter's run time.
	acceptedAt, acceptedRun time.Duration
	// askedRun is the run time of the first grant since the last accepted one; asked says
	// that there is one.
	askedRun time.Duration
	asked    bool
	// failing says that the owner was failing at the last View.
	failing bool
}

// RangeGranter grants the keys of one range-partitioned workload in one term.
//
// It grants a range to its owner only after each previous owner has released it or
// the previous owner's key lease has ended, and never grants a range to a previous
// owner. A move may be passed to SetTable only after it was stored, so that a later granter
// knows each target that may have a key lease.
//
// It performs no I/O: Tick returns the calls to make, and HandleGrantResult and
// HandleReleaseResult take their results. It is not safe for concurrent use.
type RangeGranter struct {
	cfg    RangeConfig
	term   *Term
	ranges []*rangeState
	// run is the time during which the granter ran: without the time by which its calls came
	// late, in which it could neither ask targets nor hear them. runAt is the time up to
	// which it was counted.
	run, runAt time.Duration
	// lastTick is the time of the last Tick.
	lastTick time.Duration
	// lastAccepted is when each target last accepted a grant, on the run time.
	lastAccepted map[string]time.Duration
	unanswered   unansweredGrants
	// inheritedUntil is until when inherited keys count as granted by an earlier granter.
	inheritedUntil time.Duration
	// viewChanged says that the next View differs from the last one.
	viewChanged bool
	// tickStart is the index of the range at which the next Tick begins: the first
	// one that the grant limit skipped.
	tickStart int
}

// NewRangeGranter returns a granter for a table that was read from the store after
// the term began. Unless the table is new, the owners may have key leases from
// earlier terms.
func NewRangeGranter(cfg RangeConfig, term *Term, table *ownership.RangeTable, isNew bool) *RangeGranter {
	g := &RangeGranter{cfg: cfg.withDefaults(), term: term, runAt: term.beganAt, lastTick: term.beganAt, lastAccepted: map[string]time.Duration{}, unanswered: unansweredGrants{}, viewChanged: true}
	for _, s := range table.Ranges {
		r := &rangeState{KeyRange: s, acceptedAt: term.beganAt, movedAt: -time.Hour}
		if !isNew {
			r.lease = InheritedBound(term)
			r.inherited = len(s.PreviousOwners) == 0 && term.UnknownHoldersEnd() <= term.beganAt
		}
		for _, id := range s.PreviousOwners {
			r.previousOwnerStates = append(r.previousOwnerStates, previousOwnerState{target: id, lease: InheritedBound(term)})
		}
		if end := term.UnknownHoldersEnd(); end > term.beganAt {
			r.previousOwnerStates = append(r.previousOwnerStates, previousOwnerState{target: unknownHolder, lease: LeaseBound{ownEnd: end}})
		}
		g.ranges = append(g.ranges, r)
	}
	return g
}

// lateTicks is the number of periods without a call from which on a granter did not run.
const lateTicks = 6

// runTime returns the run time at a time. Without a period it is not known which calls are late.
// Grants in flight while the granter did not run may have been given up, and count as not asked.
func (g *RangeGranter) runTime(now time.Duration) time.Duration {
	d := max(0, now-g.runAt)
	g.runAt += d
	if most := lateTicks * g.cfg.TickEvery; most > 0 && d > most {
		d = most
		for _, r := range g.ranges {
			r.asked = false
		}
	}
	g.run += d
	return g.run
}

// AssumeLeases says that the earlier granter still renewed its leases at a time: the owners of
// the stored table have the keys until the oldest of these leases end. Without it nothing is
// assumed, since the earlier granter may have been gone for long.
func (g *RangeGranter) AssumeLeases(renewedAt time.Duration) {
	g.inheritedUntil = renewedAt + g.cfg.KeyLease.Duration - g.cfg.RenewEvery
	g.viewChanged = true
}

// SetTable replaces the table by one that has been stored.
func (g *RangeGranter) SetTable(now time.Duration, table *ownership.RangeTable) {
	g.unanswered.prune(now) // also of targets that are gone
	run, old := g.runTime(now), g.ranges
	g.ranges = make([]*rangeState, 0, len(table.Ranges))
	for _, s := range table.Ranges {
		g.ranges = append(g.ranges, carryOver(now, run, old, s))
	}
	g.viewChanged = true
}

// carryOver builds the state of a new key range from the old ranges it overlaps, at a time and
// run time.
func carryOver(now, run time.Duration, old []*rangeState, s ownership.KeyRange) *rangeState {
	first := sort.Search(len(old), func(i int) bool { return old[i].To >= s.From })
	if old[first].From == s.From && old[first].To == s.To && old[first].Owner == s.Owner {
		old[first].KeyRange = s
		return old[first]
	}
	r := &rangeState{KeyRange: s, granted: true, inherited: true, movedAt: -time.Hour, acceptedAt: now, acceptedRun: run}
	bounds := map[string]LeaseBound{}
	for _, o := range old[first:] {
		if o.From > s.To {
			break
		}
		bounds[o.Owner] = bounds[o.Owner].merge(o.lease)
		for _, f := range o.previousOwnerStates {
			bounds[f.target] = bounds[f.target].merge(f.lease)
		}
		if o.Owner != s.Owner {
			r.granted, r.inherited, r.movedAt = false, false, now
			continue
		}
		r.inherited = r.inherited && (o.granted || o.inherited)
		r.granted = r.granted && o.granted
		r.movedAt = max(r.movedAt, o.movedAt)
		r.acceptedAt, r.acceptedRun = min(r.acceptedAt, o.acceptedAt), min(r.acceptedRun, o.acceptedRun)
		if o.asked && (!r.asked || o.askedRun < r.askedRun) {
			r.asked, r.askedRun = true, o.askedRun
		}
		r.fence = max(r.fence, o.fence)
		r.inFlight = r.inFlight || o.inFlight
	}
	if len(s.PreviousOwners) > 0 {
		r.granted, r.inherited = false, false
	}
	r.lease = bounds[s.Owner]
	r.inFlight = false
	for _, id := range s.PreviousOwners {
		r.previousOwnerStates = append(r.previousOwnerStates, previousOwnerState{target: id, lease: bounds[id]})
	}
	if b := bounds[unknownHolder]; !b.Expired(now) {
		r.previousOwnerStates = append(r.previousOwnerStates, previousOwnerState{target: unknownHolder, lease: b})
	}
	return r
}

// Tick returns the calls that are due. reachable reports whether a target can be
// called; for an unreachable previous owner, the granter waits until its lease ends.
func (g *RangeGranter) Tick(now time.Duration, reachable func(id string) bool) []TargetCall {
	if !g.term.MayGrant(now) {
		return nil
	}
	var calls []TargetCall
	run := g.runTime(now)
	grants, first, skipped := g.cfg.maxGrants(len(g.ranges), now-g.lastTick), g.tickStart, false
	g.lastTick = now
	for i := range g.ranges {
		n := (first + i) % len(g.ranges)
		r := g.ranges[n]
		if g.awaitsPreviousOwners(now, r) {
			calls = g.appendReleases(now, r, reachable, calls)
			continue
		}
		if r.inFlight || now < r.nextAt || !reachable(r.Owner) {
			continue
		}
		if grants == 0 {
			if !skipped {
				g.tickStart, skipped = n, true
			}
			continue
		}
		grants--
		r.inFlight, r.sentAt, r.leaseBefore, r.fence = true, now, r.lease, g.term.NextFence()
		if !r.asked {
			r.asked, r.askedRun = true, run
		}
		r.lease.NoteSent(g.cfg.KeyLease, now)
		call := TargetCall{
			Target: r.Owner, From: r.From, To: r.To, Fence: r.fence, LeaseDuration: g.cfg.KeyLease.Duration, Handover: r.handover,
			OpenOnly: !g.term.MayDial(now),
		}
		g.unanswered.noteSent(call, g.cfg.KeyLease.latestEnd(now))
		calls = append(calls, call)
	}
	return calls
}

// awaitsPreviousOwners reports whether a previous owner may still have a lease on keys of
// the range.
func (g *RangeGranter) awaitsPreviousOwners(now time.Duration, r *rangeState) bool {
	for i := range r.previousOwnerStates {
		if !r.previousOwnerStates[i].lease.Expired(now) {
			return true
		}
	}
	return false
}

// appendReleases appends the releases of a range that are due. A release could overtake a
// grant in flight, so that it is sent when the grant has ended.
func (g *RangeGranter) appendReleases(now time.Duration, r *rangeState, reachable func(string) bool, calls []TargetCall) []TargetCall {
	for i := range r.previousOwnerStates {
		f := &r.previousOwnerStates[i]
		if f.target == unknownHolder || f.released || f.inFlight || now < f.nextAt || !reachable(f.target) ||
			g.unanswered.inFlightTo(f.target, r.From, r.To) {
			continue
		}
		f.inFlight, f.fence = true, g.term.NextFence()
		calls = append(calls, TargetCall{
			Release: true, Target: f.target, From: r.From, To: r.To, Fence: f.fence, OpenOnly: !g.term.MayDial(now),
		})
	}
	return calls
}

func (g *RangeGranter) rangeOf(call TargetCall) *rangeState {
	i := sort.Search(len(g.ranges), func(i int) bool { return g.ranges[i].To >= call.From })
	if i == len(g.ranges) || g.ranges[i].From != call.From || g.ranges[i].To != call.To {
		return nil
	}
	return g.ranges[i]
}

// GrantResult is the result of a grant.
type GrantResult uint8

// Results of grants.
const (
	// GrantAccepted means that the target accepted the grant.
	GrantAccepted GrantResult = iota
	// GrantUnknown means that there was no response: the target may have applied the
	// grant, or may apply it later.
	GrantUnknown
	// GrantNotSent means that no byte of the call left this host.
	GrantNotSent
)

// HandleGrantResult processes the result of a grant.
func (g *RangeGranter) HandleGrantResult(now time.Duration, call TargetCall, result GrantResult) {
	g.unanswered.noteResult(now, call, result)
	ok := result == GrantAccepted
	run := g.runTime(now)
	if ok {
		g.lastAccepted[call.Target] = run
	}
	r := g.rangeOf(call)
	if r == nil || !r.inFlight || r.fence != call.Fence {
		return // the range was split or moved meanwhile; newer grants may be in flight
	}
	r.inFlight = false
	if result == GrantNotSent {
		r.lease = r.leaseBefore
	}
	if !ok {
		r.nextAt = now + g.cfg.RetryAfter
		return
	}
	r.nextAt, r.acceptedAt, r.acceptedRun, r.asked, r.handover = now+g.cfg.RenewEvery, now, run, false, ""
	r.lease.NoteAccepted(g.cfg.KeyLease, r.sentAt, now)
	if !r.granted {
		g.viewChanged = g.viewChanged || !r.inherited || now >= g.inheritedUntil
		r.granted = true
		r.previousOwnerStates = nil
	}
}

// Superseded reports whether this granter itself has sent the target a later call for some of
// the keys of a grant: the target may have refused the grant since that one overtook it, after
// a key range was split, merged or moved.
func (g *RangeGranter) Superseded(call TargetCall) bool {
	for _, r := range g.ranges {
		if r.To < call.From || r.From > call.To {
			continue
		}
		if r.Owner == call.Target && r.fence > call.Fence {
			return true
		}
		for _, p := range r.previousOwnerStates {
			if p.target == call.Target && p.fence > call.Fence {
				return true
			}
		}
	}
	return false
}

// HandleReleaseResult processes the result of a release.
func (g *RangeGranter) HandleReleaseResult(now time.Duration, call TargetCall, handover string, ok bool) {
	r := g.rangeOf(call)
	if r == nil {
		return
	}
	for i := range r.previousOwnerStates {
		f := &r.previousOwnerStates[i]
		if f.target != call.Target || !f.inFlight || f.fence != call.Fence {
			continue
		}
		f.inFlight = false
		if !ok {
			f.nextAt = now + g.cfg.RetryAfter
			continue
		}
		f.released = true
		f.lease.NoteReleased(g.unanswered.latestEnd(f.target, r.From, r.To))
		g.viewChanged = g.viewChanged || !f.lease.Expired(now)
		if handover != "" {
			r.handover = handover
		}
	}
}

// ApplyPreviousStopped tightens all lease bounds after the term has learned that
// the granter of the previous term, or all earlier ones, stopped.
func (g *RangeGranter) ApplyPreviousStopped() {
	// Pending keys can be granted sooner than the last View reported.
	g.viewChanged = true
	for _, r := range g.ranges {
		r.lease.tighten(g.term)
		r.leaseBefore.tighten(g.term)
		for i := range r.previousOwnerStates {
			f := &r.previousOwnerStates[i]
			f.lease.tighten(g.term)
			if f.target == unknownHolder {
				f.lease.ownEnd = min(f.lease.ownEnd, g.term.UnknownHoldersEnd())
			}
		}
	}
}

// ApplyRenumber widens all lease bounds after the term was renumbered: a granter whose
// records are lost may renew the leases that it knows.
func (g *RangeGranter) ApplyRenumber() {
	inherited := InheritedBound(g.term)
	for _, r := range g.ranges {
		r.lease = r.lease.merge(inherited)
		r.leaseBefore = r.leaseBefore.merge(inherited)
		for i := range r.previousOwnerStates {
			if f := &r.previousOwnerStates[i]; f.target != unknownHolder {
				f.lease = f.lease.merge(inherited)
			}
		}
	}
}

// HandleTargetRestart makes the ranges of a target due at once: it restarted under
// the same ID and has no leases.
func (g *RangeGranter) HandleTargetRestart(id string) {
	for _, r := range g.ranges {
		if r.Owner == id {
			r.nextAt = 0
		}
	}
}

// FailingOwners returns the owners that have accepted no grant for FailingAfter.
func (g *RangeGranter) FailingOwners(now time.Duration) []string {
	var ids []string
	for _, r := range g.ranges {
		if g.isFailing(now, r) {
			ids = append(ids, r.Owner)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// isFailing reports whether the owner of a range accepted no grant for too long, although this
// granter ran and asked it in time.
func (g *RangeGranter) isFailing(now time.Duration, r *rangeState) bool {
	run := g.runTime(now)
	since := run - max(r.acceptedRun, g.lastAccepted[r.Owner])
	switch {
	case len(r.previousOwnerStates) > 0 || since <= g.cfg.FailingAfter:
		return false
	case g.cfg.TickEvery <= 0:
		return true // grants are not put off
	case r.asked:
		return run-r.askedRun >= g.cfg.KeyLease.CallTimeout
	}
	return since > g.cfg.FailingAfter+g.cfg.RenewEvery
}

// HalfGranted reports whether at least half of the ranges were granted in this term.
func (g *RangeGranter) HalfGranted() bool {
	n := 0
	for _, r := range g.ranges {
		if r.granted {
			n++
		}
	}
	return 2*n >= len(g.ranges)
}

// GrantStats returns the shortest time for which a range granted in this term surely
// stays leased, and the numbers of ranges that were granted and that were not.
func (g *RangeGranter) GrantStats(now time.Duration) (left time.Duration, granted, ungranted int) {
	left = g.cfg.KeyLease.Duration
	for _, r := range g.ranges {
		if !r.granted {
			ungranted++
			continue
		}
		granted++
		left = min(left, max(0, r.acceptedAt+g.cfg.KeyLease.Duration-now))
	}
	return left, granted, ungranted
}

// Movable reports whether keys within one range may be moved to balance load: it is
// granted, no call is in flight, no earlier granter can still renew its lease, and its
// last move is at least cooldown ago.
func (g *RangeGranter) Movable(now time.Duration, s ownership.KeyRange, cooldown time.Duration) bool {
	r := g.rangeWith(s)
	return r != nil && now >= g.term.ExclusiveFrom() && r.granted && !r.inFlight && now-r.movedAt >= cooldown && !r.lease.EarlierMayRenew()
}

// AwaitsFencing reports whether keys of a range should stay with their owner until it has
// accepted a grant by which it refuses those of earlier granters. Keys that are taken before
// have no owner until all leases of earlier granters have ended, also if the owner releases
// them. The keys of an owner that accepts no grants need not wait.
func (g *RangeGranter) AwaitsFencing(now time.Duration, s ownership.KeyRange) bool {
	r := g.rangeWith(s)
	return r != nil && len(r.previousOwnerStates) == 0 && r.lease.Inherited(now) && !g.isFailing(now, r)
}

// FenceSoon makes the next grant of a range due at the first moment at which its acceptance
// shows that the owner refuses the grants of earlier granters.
func (g *RangeGranter) FenceSoon(s ownership.KeyRange) {
	if r := g.rangeWith(s); r != nil && r.sentAt < r.lease.exclusiveFrom {
		r.nextAt = min(r.nextAt, r.lease.exclusiveFrom)
	}
}

// rangeWith returns the range that has all keys of s, or nil.
func (g *RangeGranter) rangeWith(s ownership.KeyRange) *rangeState {
	i := sort.Search(len(g.ranges), func(i int) bool { return g.ranges[i].To >= s.From })
	if i == len(g.ranges) || g.ranges[i].From > s.From || g.ranges[i].To < s.To {
		return nil
	}
	return g.ranges[i]
}

// ClearedRanges lists the ranges whose previous owners have no lease left, though the
// stored table still names them.
func (g *RangeGranter) ClearedRanges() []ownership.KeyRange {
	var done []ownership.KeyRange
	for _, r := range g.ranges {
		if r.granted && len(r.PreviousOwners) > 0 {
			done = append(done, r.KeyRange)
		}
	}
	return done
}

// RangeView is a key range as the request path sees it.
type RangeView struct {
	From  int    `json:"f"`
	To    int    `json:"t"`
	Owner string `json:"o"`
	// Ready says that the owner accepted a grant of the keys, from this granter or, as far as
	// AssumeLeases says, from an earlier one, and is not failing.
	Ready bool `json:"r"`
	// GrantableInMS is the longest time in milliseconds, as of the view, until the keys
	// of a range that is not ready can be granted.
	GrantableInMS int64 `json:"b,omitempty"`
}

// View returns the ranges, and whether anything but the passage of time has changed
// them since the last call.
func (g *RangeGranter) View(now time.Duration) ([]RangeView, bool) {
	for _, r := range g.ranges {
		if failing := g.isFailing(now, r); failing != r.failing {
			r.failing, g.viewChanged = failing, true
		}
	}
	inherited := now < g.inheritedUntil
	if g.inheritedUntil > 0 && !inherited {
		g.inheritedUntil, g.viewChanged = 0, true
	}
	changed := g.viewChanged
	g.viewChanged = false
	view := make([]RangeView, len(g.ranges))
	for i, r := range g.ranges {
		view[i] = RangeView{From: r.From, To: r.To, Owner: r.Owner, Ready: (r.granted || r.inherited && inherited) && !r.failing}
		if !view[i].Ready {
			view[i].GrantableInMS = g.untilGrantable(now, r).Milliseconds()
		}
	}
	return view, changed
}

// untilGrantable returns the time until a range can be granted to its owner, or, if
// the owner is failing, to another one. A previous owner that responds releases the keys
// as soon as its work on them has ended; that time is not included.
func (g *RangeGranter) untilGrantable(now time.Duration, r *rangeState) time.Duration {
	until := now
	if r.failing {
		until = r.lease.end()
	}
	for i := range r.previousOwnerStates {
		f := &r.previousOwnerStates[i]
		if accepted, ok := g.lastAccepted[f.target]; !ok || f.released || g.runTime(now)-accepted > g.cfg.FailingAfter {
			until = max(until, f.lease.end())
		}
	}
	return until - now
}
