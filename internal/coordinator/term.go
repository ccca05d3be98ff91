package coordinator

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
)

// Times of a leader.
const (
	leadTick  = 50 * time.Millisecond
	planEvery = 250 * time.Millisecond
	// digestEvery is the period in which peers get a digest of all runs, in case a
	// change was lost.
	digestEvery = 5 * time.Second
	// quietAfterMove is how long keys stay after a move for the sake of load.
	quietAfterMove = 1 * time.Second
	// gatherFor is the time without a further target after which a new workload's
	// keys are first assigned, gatherMost the longest time to wait for that: targets
	// that come later take keys from others.
	gatherFor  = 700 * time.Millisecond
	gatherMost = 3 * time.Second
	// releaseTimeout bounds a release, which waits for work in progress.
	releaseTimeout = 4 * time.Second
	// resultQueue bounds the results of calls that wait for the loop.
	resultQueue = 1024
)

// result is something that the leader's loop runs.
type result func(now time.Duration)

// term is the state of the leader's loop. Only the loop uses it.
type term struct {
	c       *Coordinator
	record  leaderRecord
	lease   *lease.Term
	results chan result
	ctx     context.Context

	granters map[string]*lease.RangeGranter
	loads    map[string]*keyLoads
	sentView map[string]*RangeMap
	// gathering are the targets seen so far of workloads without a table.
	gathering map[string]gathered
	born      map[string]int64
	// addresses remembers where targets were that are no longer announced.
	addresses map[string]string
	// refused counts the refused fences of each target since it last accepted one.
	refused map[string]int

	began time.Duration
	// formerEnded says that the leader of the term before is known to have stopped.
	formerEnded bool

	appending bool
	dirty     map[string]*ownership.RangeTable
	// confirmed is when the store last accepted a record of this term.
	confirmed             time.Duration
	nextConfirm           time.Duration
	nextPlan              time.Duration
	nextFresh, nextDigest time.Duration
	over                  string
}

// leadTerm leads until the term ends.
func (c *Coordinator) leadTerm(ctx context.Context, w *wonTerm) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		c: c, record: w.record, lease: lease.BeginTerm(c.cfg.Ranges.KeyLease, w.record.Term, w.sent, w.answered, w.prior),
		results: make(chan result, resultQueue), ctx: ctx,
		granters: map[string]*lease.RangeGranter{}, loads: map[string]*keyLoads{}, sentView: map[string]*RangeMap{},
		gathering: map[string]gathered{}, born: map[string]int64{}, addresses: map[string]string{}, refused: map[string]int{},
		dirty: map[string]*ownership.RangeTable{}, began: w.answered, confirmed: w.answered, nextConfirm: w.answered + confirmEvery,
	}
	c.leading.Store(true)
	c.m.terms.Add(1)
	c.cfg.Log.Info("lead_began", "term", w.record.Term, "former_ended", w.prior.PreviousStopped, "clear_ms", w.prior.OlderLeasesLeft.Milliseconds())
	if former := c.lead.formerRecord(); former.Address != "" && former.Address != c.cfg.Peer {
		go c.askFormer(ctx, former)
	}
	if err := guard.Call("lead", t.loop); err != nil {
		t.over = endPanic
		c.cfg.Log.Error("panic", "duty", "lead", "err", err)
	}
	t.lease.End()
	cancel() // ends the calls in progress before the end of the term is told
	c.leading.Store(false)
	c.m.holds(0, 0, 0)
	c.endedTerm.Store(&endedTerm{term: w.record.Term, at: boottime.Now()})
	c.cfg.Log.Info("lead_ended", "term", w.record.Term, "reason", t.over)
	c.peers.closeAll()
	c.lead.mu.Lock()
	c.lead.notBefore = boottime.Now() + resignPause
	c.lead.mu.Unlock()
	if t.over == endStopped || t.over == endIsolated || t.over == endPanic {
		t.resign()
	}
}

// Reasons for the end of a term.
const (
	endStopped   = "host stops"
	endConflict  = "another term began"
	endFenced    = "a target refused the fence"
	endAuthority = "store did not confirm the term in time"
	endIsolated  = "most targets cannot be reached"
	endPanic     = "fault of this program"
)

func (t *term) loop() {
	ticker := time.NewTicker(leadTick)
	defer ticker.Stop()
	for t.over == "" {
		select {
		case <-t.ctx.Done():
			t.over = endStopped
		case r := <-t.results:
			r(boottime.Now())
		case <-ticker.C:
			t.tick(boottime.Now())
		}
	}
}

// post hands a result to the loop.
func (t *term) post(r result) {
	select {
	case t.results <- r:
	case <-t.ctx.Done():
	}
}

func (t *term) tick(now time.Duration) {
	if !t.lease.MayGrant(now) {
		t.over = endAuthority
		return
	}
	if t.c.retired.Load() && now-t.confirmed < awayAfter {
		t.over = endStopped
		return
	}
	if at, ok := t.c.lead.endOf(t.record.Term - 1); ok && !t.formerEnded {
		t.formerEnded = true
		t.c.cfg.Log.Info("former_leader_ended", "term", t.record.Term-1, "after_ms", (now - t.began).Milliseconds(),
			"ago_ms", (now - at).Milliseconds())
		t.lease.SetPredecessorStopped(at)
		for _, g := range t.granters {
			g.ApplyPredecessorStopped()
		}
	}
	snap := t.c.Snapshot()
	t.follow(now, snap)
	if now >= t.nextPlan {
		t.nextPlan = now + planEvery
		t.collect(now)
		t.plan(now, snap)
		t.measure(now)
	}
	t.order(now, snap)
	t.publish(now)
	if !t.appending && (now >= t.nextConfirm || len(t.dirty) > 0) {
		t.confirm(now)
	}
	if now >= t.nextFresh {
		t.nextFresh = now + freshEvery
		t.c.peers.send(methodFresh, t.c.freshness())
	}
}

// follow starts granters for keyed workloads, and tells them of restarts.
func (t *term) follow(now time.Duration, snap *fleet.Snapshot) {
	if snap.DesiredState == nil {
		return
	}
	for id, x := range snap.Targets {
		if t.born[id] != x.Born || t.addresses[id] != x.Address {
			for _, g := range t.granters {
				g.HandleTargetRestart(id)
			}
			t.born[id], t.addresses[id] = x.Born, x.Address
		}
	}
	for name, w := range snap.DesiredState.Workloads {
		if !w.Keyed || t.granters[name] != nil {
			continue
		}
		if table := t.c.lead.table(name); table != nil {
			t.start(name, table, false)
			continue
		}
		x := t.gathering[name].with(now, len(usable(snap, name)))
		t.gathering[name] = x
		if x.complete(now) && !t.appending && t.dirty[name] == nil {
			t.dirty[name] = firstTable(snap, name)
		}
	}
}

// gathered counts the targets of a workload whose keys were never assigned.
type gathered struct {
	targets int
	// first is when there was a target, latest when their number last changed.
	first, latest time.Duration
}

// with returns the count after a look at the targets.
func (x gathered) with(now time.Duration, targets int) gathered {
	if targets == x.targets {
		return x
	}
	if x.targets == 0 {
		x.first = now
	}
	x.targets, x.latest = targets, now
	return x
}

// complete reports whether the keys should be assigned now.
func (x gathered) complete(now time.Duration) bool {
	return x.targets > 0 && (now >= x.latest+gatherFor || now >= x.first+gatherMost)
}

// start begins to grant the keys of a workload.
func (t *term) start(workload string, table *ownership.RangeTable, isNew bool) {
	t.granters[workload] = lease.NewRangeGranter(t.c.cfg.Ranges, t.lease, table, isNew)
	t.loads[workload] = newKeyLoads()
}

// measure updates the metrics of the granted runs.
func (t *term) measure(now time.Duration) {
	left, granted, ungranted := time.Duration(math.MaxInt64), 0, 0
	for _, g := range t.granters {
		l, n, m := g.GrantStats(now)
		left, granted, ungranted = min(left, l), granted+n, ungranted+m
	}
	if granted == 0 {
		left = 0
	}
	t.c.m.holds(left, granted, ungranted)
}

// usable returns the targets of a workload that may get requests.
func usable(snap *fleet.Snapshot, workload string) []*fleet.Target {
	var out []*fleet.Target
	for _, x := range snap.TargetsOf(workload) {
		if snap.Usable(x) {
			out = append(out, x)
		}
	}
	return out
}

func firstTable(snap *fleet.Snapshot, workload string) *ownership.RangeTable {
	var owners []string
	var weights []float64
	for _, x := range usable(snap, workload) {
		owners = append(owners, x.ID)
		weights = append(weights, float64(x.Slots))
	}
	return ownership.NewRangeTable(owners, weights)
}

// collect adds the key counts of all hosts to the loads.
func (t *term) collect(now time.Duration) {
	for _, l := range t.loads {
		l.decay(now)
	}
	for _, m := range append(t.c.counts.take(), t.c.lead.takeCounts()...) {
		if l := t.loads[m.Workload]; l != nil {
			l.add(m.Keys)
			l.addServices(m.Targets)
		}
	}
}

// plan moves keys where targets came, went or are overloaded.
func (t *term) plan(now time.Duration, snap *fleet.Snapshot) {
	if t.appending || snap.DesiredState == nil {
		return
	}
	for name, g := range t.granters {
		w := snap.DesiredState.Workloads[name]
		table := t.c.lead.table(name)
		if w == nil || table == nil || t.dirty[name] != nil {
			continue
		}
		failing := map[string]bool{}
		for _, id := range g.FailingOwners(now) {
			failing[id] = true
		}
		targets := t.planTargets(now, snap, w, failing)
		if len(targets) == 0 {
			continue
		}
		if 2*len(failing) > len(table.KeyCounts())+1 {
			// When most targets fail, this host is more likely cut off than they are.
			if g.HalfGranted() && t.c.peers.size() > 0 {
				t.over = endIsolated
			}
			continue
		}
		moves := ownership.PlanRanges(ownership.RangePlanConfig{}, ownership.RangeInput{
			Table: table, Targets: targets, Rates: t.loads[name].rates(), RateVariance: rateVariance,
			Movable: func(s ownership.KeyRange) bool { return g.Movable(now, s, quietAfterMove) },
		})
		next := table
		for _, s := range g.ClearedRanges() {
			next = next.Release(s.From, s.To)
		}
		if len(moves) > 0 {
			next = next.Move(moves...)
			t.c.m.moves.Add(int64(len(moves)))
			for _, m := range moves {
				t.c.cfg.Log.Info("move", "workload", name, "from", m.From, "to", m.To, "former", table.Find(m.From).Owner,
					"owner", m.Owner, "rate_per_s", t.loads[name].rate(m.From, m.To), "failing", len(failing))
			}
		}
		if next != table {
			t.dirty[name] = next
		}
	}
}

// defaultService is the time of a request on a target without a measurement.
const defaultService = 0.1 // seconds

// planTargets returns the targets that may own keys. Cold ones bear less.
func (t *term) planTargets(now time.Duration, snap *fleet.Snapshot, w *fleet.Workload, failing map[string]bool) []ownership.RangeTarget {
	var out []ownership.RangeTarget
	for _, x := range usable(snap, w.Name) {
		if failing[x.ID] {
			continue
		}
		service := t.loads[w.Name].service(x.ID)
		r := ownership.RangeTarget{ID: x.ID, Capacity: float64(x.Slots), ServiceSeconds: service, AcceptsKeys: true}
		if now < x.ColdUntil && w.ColdRate > 0 {
			r.Capacity = min(r.Capacity, w.ColdRate*service)
		}
		out = append(out, r)
	}
	return out
}

// order makes the calls that the granters ask for.
func (t *term) order(now time.Duration, snap *fleet.Snapshot) {
	for _, g := range t.granters {
		orders := g.Tick(now, func(id string) bool { return t.address(snap, id) != "" })
		for _, o := range orders {
			go t.guardedCall(g, o, t.address(snap, o.Target))
		}
	}
}

func (t *term) address(snap *fleet.Snapshot, id string) string {
	if x := snap.Targets[id]; x != nil {
		return x.Address
	}
	return t.addresses[id]
}

// guardedCall makes one call to a target. After a panic the outcome is unknown.
func (t *term) guardedCall(g *lease.RangeGranter, o lease.TargetCall, address string) {
	err := guard.Call("grant call", func() { t.call(g, o, address) })
	if err == nil {
		return
	}
	t.c.cfg.Log.Error("panic", "duty", "grant call", "target", o.Target, "err", err)
	t.post(func(now time.Duration) {
		if o.Release {
			g.HandleReleaseResult(now, o, "", false)
		} else {
			g.HandleGrantResult(now, o, lease.GrantUnknown)
		}
	})
}

// call makes one call to a target and posts its result.
func (t *term) call(g *lease.RangeGranter, o lease.TargetCall, address string) {
	if o.Release {
		ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout)
		defer cancel()
		handover, err := t.c.cfg.Grants.Release(ctx, address, o.Target, o.From, o.To, o.Fence)
		t.c.m.targetCall("release", err)
		t.post(func(now time.Duration) {
			g.HandleReleaseResult(now, o, handover, err == nil)
			t.c.cfg.Log.Debug("release", "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "err", err)
		})
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.c.cfg.Ranges.KeyLease.CallTimeout)
	defer cancel()
	if o.OpenOnly {
		ctx = platform.OpenOnly(ctx)
	}
	err := t.c.cfg.Grants.Grant(ctx, address, o.Target, platform.Grant{
		From: o.From, To: o.To, Fence: o.Fence, Hold: o.LeaseDuration, Handover: o.Handover,
	})
	t.c.m.targetCall("grant", err)
	t.post(func(now time.Duration) {
		var e *platform.Error
		switch {
		case err == nil:
			delete(t.refused, o.Target)
			g.HandleGrantResult(now, o, lease.GrantAccepted)
			return
		case errors.As(err, &e) && e.Outcome == platform.NotDone && e.Status == 0:
			g.HandleGrantResult(now, o, lease.GrantNotSent)
		default:
			g.HandleGrantResult(now, o, lease.GrantUnknown)
			if e != nil && e.Outcome == platform.Conflict {
				t.fenced(o.Target)
			}
		}
		t.c.cfg.Log.Info("grant_failed", "target", o.Target, "from", o.From, "to", o.To, "fence", o.Fence, "err", err)
	})
}

// refusalsInRow is the number of refused fences of one target after which another
// leader must have granted it keys. A single one also happens within a term: when
// a run is cut, a grant of the whole may arrive after that of a part.
const refusalsInRow = 2

// fenced notes that a target refused a fence.
func (t *term) fenced(target string) {
	if t.refused[target]++; t.refused[target] >= refusalsInRow {
		t.over = endFenced
	}
}

// publish makes granted ranges visible here and to the peers, which get changes as
// they come and a digest of all runs at times.
func (t *term) publish(now time.Duration) {
	due := now >= t.nextDigest
	if due {
		t.nextDigest = now + digestEvery
	}
	for name, g := range t.granters {
		runs, changed := g.View(now)
		if !changed && !due {
			continue
		}
		r := &RangeMap{runs: runs, at: now}
		if changed {
			t.c.setRanges(name, r)
		}
		m := rangesMessage{clockReply: clockAt(now), Workload: name, Full: t.sentView[name] == nil, Runs: r.changes(t.sentView[name])}
		if due {
			m.Digest = r.digest()
		}
		if due || len(m.Runs) > 0 {
			t.c.peers.send(methodRanges, m)
		}
		t.sentView[name] = r
	}
}

// confirm appends the leader's record and changed tables.
func (t *term) confirm(now time.Duration) {
	t.nextConfirm = now + confirmEvery
	t.appending = true
	t.record.Beat++
	t.record.ClearMS = t.lease.InheritedLeasesLeft(now).Milliseconds()
	records := []platform.Record{t.record.record()}
	tables := t.dirty
	t.dirty = map[string]*ownership.RangeTable{}
	for name, table := range tables {
		records = append(records, platform.Record{Key: keyRanges + name, Value: table.Encode()})
	}
	at := t.c.control.position()
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		defer cancel()
		sent := boottime.Now()
		end, err := t.c.cfg.Store.Append(ctx, platform.TopicControl, at, records)
		t.c.m.storeCall("append", err)
		if err != nil {
			t.checkTopic(at)
		}
		t.post(func(now time.Duration) {
			t.appending = false
			if err != nil {
				t.c.cfg.Log.Info("term_not_confirmed", "term", t.record.Term, "err", err)
				t.nextConfirm = now + retryPause
				t.appendFailed(err)
				return
			}
			t.confirmed = now
			t.lease.Confirm(sent)
			t.c.control.take(at, platform.Batch{Records: records, Next: end}, false, sent)
			t.stored(now, tables)
		})
	}()
}

// stored puts tables into force that the store has accepted.
func (t *term) stored(now time.Duration, tables map[string]*ownership.RangeTable) {
	for name, table := range tables {
		if g := t.granters[name]; g != nil {
			g.SetTable(now, table)
			continue
		}
		t.start(name, table, true)
	}
}

// checkTopic reads what the control topic holds after a failed append.
func (t *term) checkTopic(at int64) {
	ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
	defer cancel()
	b, err := t.c.cfg.Store.Read(ctx, platform.TopicControl, at, 0)
	t.c.m.storeCall("read", err)
	if err != nil {
		return // the term ends by itself when this goes on
	}
	t.c.control.take(at, b, false, boottime.Now())
}

// appendFailed decides what a failed append means: a record of another term
// ends this one; a table that was stored although the answer was lost is in
// force.
func (t *term) appendFailed(err error) {
	var e *platform.Error
	now := t.c.lead.current()
	if now.Term > t.record.Term || now.Term == t.record.Term && now.Incarnation != t.record.Incarnation {
		t.over = endConflict
		return
	}
	if errors.As(err, &e) && e.Outcome == platform.Unknown {
		for name := range t.granters {
			if table := t.c.lead.table(name); table != nil {
				t.stored(boottime.Now(), map[string]*ownership.RangeTable{name: table})
			}
		}
	}
}

// resign tells the other hosts that this one no longer grants.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r := leaderRecord{Term: t.record.Term, Beat: t.record.Beat + 1, ClearMS: t.lease.InheritedLeasesLeft(boottime.Now()).Milliseconds()}
	_, err := t.c.cfg.Store.Append(ctx, platform.TopicControl, t.c.control.position(), []platform.Record{r.record()})
	t.c.m.storeCall("append", err)
	if err != nil {
		t.c.cfg.Log.Info("resignation_failed", "term", r.Term, "err", err)
	}
}
