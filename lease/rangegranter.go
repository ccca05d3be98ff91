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
	// Renew is the time between two grants of a run of keys. Default: a third
	// of the hold, so that two may be lost.
	Renew time.Duration
	// Retry is the time before a call that failed is repeated. Default: 300 ms.
	Retry time.Duration
	// Failing is the time without an accepted grant after which a target counts
	// as failing. Default: the renewal period and the limit of a call.
	Failing time.Duration
	// TickEvery is the period in which Tick is called. With it, a Tick starts not
	// many more grants than are due in one on the mean: all runs are due at once after
	// a first table or a change of the lead, and their renewals would stay in step.
	// Default: 0, no bound.
	TickEvery time.Duration
}

// A Tick starts grantBurst times the grants that are due in one on the mean, and
// leastGrants at least.
const (
	grantBurst  = 1.5
	leastGrants = 32
)

// maxGrants returns the number of grants that a Tick may start with a number of runs.
func (c RangeConfig) maxGrants(runs int) int {
	if c.TickEvery <= 0 {
		return runs
	}
	return max(leastGrants, int(grantBurst*float64(runs)*float64(c.TickEvery)/float64(c.Renew)))
}

func (c RangeConfig) withDefaults() RangeConfig {
	c.KeyLease = c.KeyLease.WithDefaults()
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Renew, c.KeyLease.Duration/3)
	set(&c.Retry, 300*time.Millisecond)
	set(&c.Failing, c.Renew+c.KeyLease.CallTimeout+50*time.Millisecond)
	return c
}

// TargetCall is a call to a target that a RangeGranter asks for.
type TargetCall struct {
	// Release tells a release from a grant.
	Release bool
	Target  string
	From    int
	To      int
	Fence   uint64
	// LeaseDuration and Handover belong to grants.
	LeaseDuration time.Duration
	Handover      string
	// OpenOnly says that the call may only use a connection that is open already.
	OpenOnly bool
}

// former is a target from which a run of keys is taken.
type former struct {
	id       string
	holding  Holding
	released bool
	busy     bool
	// fence is that of the release under way.
	fence uint64
	next  time.Duration
}

// run is one segment of the table with the state of its grants.
type run struct {
	ownership.KeyRange
	holding Holding
	// before is the holding before the grant that is under way; fence and sent are
	// those of the grant.
	before  Holding
	fence   uint64
	sent    time.Duration
	formers []former
	// granted says that the owner accepted a grant of this granter.
	granted  bool
	handover string
	busy     bool
	next     time.Duration
	// moved is when the run was last given to another owner.
	moved time.Duration
	// since is the time of the last accepted grant, or the first attempt.
	since time.Duration
	// failing is whether the owner was failing at the last View.
	failing bool
}

// RangeGranter grants the keys of one range-partitioned workload in one term.
//
// It grants a run to its owner only after each former owner released it or its
// hold has ended, and never grants a run to a former owner. A move may be
// passed to SetTable only after it was stored, so that a later granter knows
// each target that may hold keys.
//
// It performs no I/O: Tick returns calls to be made, and their results come
// back through HandleGrantResult and HandleReleaseResult. It is not safe for concurrent use.
type RangeGranter struct {
	cfg  RangeConfig
	term *Term
	runs []*run
	// lastOK is when each target last accepted a grant.
	lastOK map[string]time.Duration
	// changed says that the set of granted runs differs from the last View.
	changed bool
	// next is the run at which the next Tick begins, the first one that was due and
	// not granted in the last.
	next int
}

// NewRangeGranter returns a granter of a table that was read from the store
// after the term began. The owners may hold their keys from earlier terms
// unless the table is new.
func NewRangeGranter(cfg RangeConfig, term *Term, table *ownership.RangeTable, isNew bool) *RangeGranter {
	g := &RangeGranter{cfg: cfg.withDefaults(), term: term, lastOK: map[string]time.Duration{}, changed: true}
	for _, s := range table.Ranges {
		r := &run{KeyRange: s, since: term.began, moved: -time.Hour}
		if !isNew {
			r.holding = Inherit(term)
		}
		for _, id := range s.PreviousOwners {
			r.formers = append(r.formers, former{id: id, holding: Inherit(term)})
		}
		g.runs = append(g.runs, r)
	}
	return g
}

// SetTable takes a table that was stored.
func (g *RangeGranter) SetTable(now time.Duration, table *ownership.RangeTable) {
	old := g.runs
	g.runs = make([]*run, 0, len(table.Ranges))
	for _, s := range table.Ranges {
		g.runs = append(g.runs, follow(now, old, s))
	}
	g.changed = true
}

// follow makes the run of a new segment from the runs that it overlaps.
func follow(now time.Duration, old []*run, s ownership.KeyRange) *run {
	first := sort.Search(len(old), func(i int) bool { return old[i].To >= s.From })
	if old[first].From == s.From && old[first].To == s.To && old[first].Owner == s.Owner {
		old[first].KeyRange = s
		return old[first]
	}
	r := &run{KeyRange: s, granted: true, moved: -time.Hour, since: now}
	known := map[string]Holding{}
	for _, o := range old[first:] {
		if o.From > s.To {
			break
		}
		known[o.Owner] = known[o.Owner].join(o.holding)
		for _, f := range o.formers {
			known[f.id] = known[f.id].join(f.holding)
		}
		if o.Owner != s.Owner {
			r.granted, r.moved = false, now
			continue
		}
		r.granted = r.granted && o.granted
		r.moved = max(r.moved, o.moved)
		r.since = min(r.since, o.since)
		r.busy = r.busy || o.busy
	}
	if len(s.PreviousOwners) > 0 {
		r.granted = false
	}
	r.holding = known[s.Owner]
	r.busy = false
	for _, id := range s.PreviousOwners {
		r.formers = append(r.formers, former{id: id, holding: known[id]})
	}
	return r
}

// Tick returns the calls that are due. reachable tells whether a target can be
// called; the others' holds are waited for.
func (g *RangeGranter) Tick(now time.Duration, reachable func(id string) bool) []TargetCall {
	if !g.term.MayGrant(now) {
		return nil
	}
	var orders []TargetCall
	grants, first, skipped := g.cfg.maxGrants(len(g.runs)), g.next, false
	for i := range g.runs {
		n := (first + i) % len(g.runs)
		r := g.runs[n]
		if g.waits(now, r) {
			orders = g.releases(now, r, reachable, orders)
			continue
		}
		if r.busy || now < r.next || !reachable(r.Owner) {
			continue
		}
		if grants == 0 {
			if !skipped {
				g.next, skipped = n, true
			}
			continue
		}
		grants--
		r.busy, r.sent, r.before, r.fence = true, now, r.holding, g.term.Fence()
		r.holding.Sent(g.cfg.KeyLease, now)
		orders = append(orders, TargetCall{
			Target: r.Owner, From: r.From, To: r.To, Fence: r.fence, LeaseDuration: g.cfg.KeyLease.Duration, Handover: r.handover,
			OpenOnly: !g.term.MayDial(now),
		})
	}
	return orders
}

// waits reports whether a former owner may still hold keys of the run.
func (g *RangeGranter) waits(now time.Duration, r *run) bool {
	for i := range r.formers {
		if !r.formers[i].holding.Free(now) {
			return true
		}
	}
	return false
}

func (g *RangeGranter) releases(now time.Duration, r *run, reachable func(string) bool, orders []TargetCall) []TargetCall {
	for i := range r.formers {
		f := &r.formers[i]
		if f.released || f.busy || now < f.next || !reachable(f.id) {
			continue
		}
		f.busy, f.fence = true, g.term.Fence()
		orders = append(orders, TargetCall{Release: true, Target: f.id, From: r.From, To: r.To, Fence: f.fence})
	}
	return orders
}

func (g *RangeGranter) find(o TargetCall) *run {
	i := sort.Search(len(g.runs), func(i int) bool { return g.runs[i].To >= o.From })
	if i == len(g.runs) || g.runs[i].From != o.From || g.runs[i].To != o.To {
		return nil
	}
	return g.runs[i]
}

// GrantResult is the result of a grant.
type GrantResult uint8

// Results of grants.
const (
	// GrantAccepted means that the target answered and holds the keys.
	GrantAccepted GrantResult = iota
	// GrantUnknown means that there was no answer: the target may have taken the
	// grant, or may take it later.
	GrantUnknown
	// GrantNotSent means that no byte of the call left this host.
	GrantNotSent
)

// HandleGrantResult takes the result of a grant.
func (g *RangeGranter) HandleGrantResult(now time.Duration, o TargetCall, result GrantResult) {
	ok := result == GrantAccepted
	if ok {
		g.lastOK[o.Target] = now
	}
	r := g.find(o)
	if r == nil || !r.busy || r.fence != o.Fence {
		return // the run was cut or moved meanwhile; newer grants may be under way
	}
	r.busy = false
	if result == GrantNotSent {
		r.holding = r.before
	}
	if !ok {
		r.next = now + g.cfg.Retry
		return
	}
	r.next, r.since, r.handover = now+g.cfg.Renew, now, ""
	r.holding.Answered(g.cfg.KeyLease, r.sent, now)
	if !r.granted {
		r.granted, g.changed = true, true
		r.formers = nil
	}
}

// HandleReleaseResult takes the result of a release.
func (g *RangeGranter) HandleReleaseResult(now time.Duration, o TargetCall, handover string, ok bool) {
	r := g.find(o)
	if r == nil {
		return
	}
	for i := range r.formers {
		f := &r.formers[i]
		if f.id != o.Target || !f.busy || f.fence != o.Fence {
			continue
		}
		f.busy = false
		if !ok {
			f.next = now + g.cfg.Retry
			continue
		}
		f.released = true
		f.holding.Released()
		g.changed = g.changed || !f.holding.Free(now)
		if handover != "" {
			r.handover = handover
		}
	}
}

// ApplyPredecessorStopped applies what the term has come to know of the granter of the
// term before: that it has stopped.
func (g *RangeGranter) ApplyPredecessorStopped() {
	// Keys that are waited for are back sooner than the last View said.
	g.changed = true
	for _, r := range g.runs {
		r.holding.narrow(g.term)
		r.before.narrow(g.term)
		for i := range r.formers {
			r.formers[i].holding.narrow(g.term)
		}
	}
}

// HandleTargetRestart notes that a target started anew under its ID: it holds nothing.
func (g *RangeGranter) HandleTargetRestart(id string) {
	for _, r := range g.runs {
		if r.Owner == id {
			r.next = 0
		}
	}
}

// FailingOwners returns the owners without an accepted grant for a while.
func (g *RangeGranter) FailingOwners(now time.Duration) []string {
	var ids []string
	for _, r := range g.runs {
		if g.failing(now, r) {
			ids = append(ids, r.Owner)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (g *RangeGranter) failing(now time.Duration, r *run) bool {
	return len(r.formers) == 0 && now-max(r.since, g.lastOK[r.Owner]) > g.cfg.Failing
}

// HalfGranted reports whether at least half of the runs were granted in this term.
func (g *RangeGranter) HalfGranted() bool {
	n := 0
	for _, r := range g.runs {
		if r.granted {
			n++
		}
	}
	return 2*n >= len(g.runs)
}

// GrantStats returns the shortest time for which a run that was granted in this term is
// surely held on, and the numbers of runs that were granted and that were not.
func (g *RangeGranter) GrantStats(now time.Duration) (left time.Duration, granted, ungranted int) {
	left = g.cfg.KeyLease.Duration
	for _, r := range g.runs {
		if !r.granted {
			ungranted++
			continue
		}
		granted++
		left = min(left, max(0, r.since+g.cfg.KeyLease.Duration-now))
	}
	return left, granted, ungranted
}

// Movable reports whether keys within one run may be moved for the sake of load:
// nothing is under way for the run and its last move is a while ago.
func (g *RangeGranter) Movable(now time.Duration, s ownership.KeyRange, quiet time.Duration) bool {
	i := sort.Search(len(g.runs), func(i int) bool { return g.runs[i].To >= s.From })
	if i == len(g.runs) || g.runs[i].From > s.From || g.runs[i].To < s.To {
		return false
	}
	r := g.runs[i]
	return now >= g.term.Exclusive() && r.granted && !r.busy && now-r.moved >= quiet && !r.holding.Inherited()
}

// ClearedRanges lists segments whose former owners are no longer waited for, though the
// stored table still names them.
func (g *RangeGranter) ClearedRanges() []ownership.KeyRange {
	var done []ownership.KeyRange
	for _, r := range g.runs {
		if r.granted && len(r.PreviousOwners) > 0 {
			done = append(done, r.KeyRange)
		}
	}
	return done
}

// RangeView is a run of keys as the request path sees it.
type RangeView struct {
	From  int    `json:"f"`
	To    int    `json:"t"`
	Owner string `json:"o"`
	// Ready says that the owner accepted a grant of the keys and renewed it lately.
	Ready bool `json:"r"`
	// GrantableInMS is the time in milliseconds, as of the view, until the keys of a run
	// that is not ready can be granted at the latest.
	GrantableInMS int64 `json:"b,omitempty"`
}

// View returns the runs, and whether their owners or readiness differ from the
// last call's.
func (g *RangeGranter) View(now time.Duration) ([]RangeView, bool) {
	for _, r := range g.runs {
		if failing := g.failing(now, r); failing != r.failing {
			r.failing, g.changed = failing, true
		}
	}
	changed := g.changed
	g.changed = false
	view := make([]RangeView, len(g.runs))
	for i, r := range g.runs {
		view[i] = RangeView{From: r.From, To: r.To, Owner: r.Owner, Ready: r.granted && !r.failing}
		if !view[i].Ready {
			view[i].GrantableInMS = g.back(now, r).Milliseconds()
		}
	}
	return view, changed
}

// back returns the time until a run can be granted to its owner, or for an owner
// that fails, to another one. A former owner that answers releases the keys as
// soon as the work on them has ended, which is not counted here.
func (g *RangeGranter) back(now time.Duration, r *run) time.Duration {
	until := now
	if r.failing {
		until = r.holding.end()
	}
	for i := range r.formers {
		f := &r.formers[i]
		if f.released || now-g.lastOK[f.id] > g.cfg.Failing {
			until = max(until, f.holding.end())
		}
	}
	return until - now
}
