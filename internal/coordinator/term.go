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

// Timing and limits of a leader.
const (
	leadTick  = 50 * time.Millisecond
	planEvery = 250 * time.Millisecond
	// digestEvery is the interval at which the leader sends peers a digest of all ranges,
	// in case a change was lost.
	digestEvery = 5 * time.Second
	// moveCooldown is how long keys are not moved again for load balancing after a move.
	moveCooldown = 1 * time.Second
	// discoveryQuietTime is the time without a further target after which a new
	// workload's keys are first assigned, maxDiscoveryTime the longest time to wait for
	// that: targets that are found later take keys from others.
	discoveryQuietTime = 700 * time.Millisecond
	maxDiscoveryTime   = 3 * time.Second
	// loopQueueSize bounds the results of calls that are queued for the loop.
	loopQueueSize = 1024
)

// loopFunc is a function that the leader's loop runs.
type loopFunc func(now time.Duration)

// term is the state of the leader's loop. Only the loop uses it.
type term struct {
	c         *Coordinator
	record    leaderRecord
	lease     *lease.Term
	loopQueue chan loopFunc
	ctx       context.Context

	// hostsSettledAt is when the hosts have had time to connect.
	hostsSettledAt time.Duration
	// contended holds the contended targets.
	contended contendedTargets

	granters   map[string]*lease.RangeGranter
	loads      map[string]*keyLoads
	sentRanges map[string]*RangeMap
	// discoveries has the targets found so far of workloads without a table.
	discoveries map[string]targetDiscovery
	startTimes  map[string]int64
	// addresses keeps the addresses of targets that are no longer announced.
	addresses map[string]string
	// limitedSince is when each target's limit began.
	limitedSince map[fleet.Incarnation]time.Duration
	// fenceRefusals counts the fencing tokens that each target refused since it last
	// accepted one.
	fenceRefusals map[string]int

	beganAt time.Duration
	// formerConfirmedAt is when this host last saw a former leader confirm its term, or 0.
	formerConfirmedAt time.Duration
	// tables has the tables of owners that are in force.
	tables map[string]*ownership.RangeTable
	// firstTables has the workloads whose keys this term assigned first.
	firstTables map[string]bool
	// previousTerm is the term before this one, or 0 when it is not asked for.
	previousTerm uint64
	// previousEnded is true when the leader of the previous term is known to have stopped.
	previousEnded bool

	appendInProgress bool
	// allStopped says that all hosts have stated that they lead no earlier term.
	allStopped bool
	// collecting is true while the leader collects the tables of an earlier era.
	collecting bool
	// storeAllTables says that the store may not have the tables in force.
	storeAllTables bool
	unstoredTables map[string]*ownership.RangeTable
	// confirmedAt is when the store last accepted a record of this term.
	confirmedAt               time.Duration
	nextConfirm               time.Duration
	nextPlan                  time.Duration
	nextPositions, nextDigest time.Duration
	endReason                 string
	load                      leadLoad
	offers                    offers
}

// leadTerm leads until the term ends.
func (c *Coordinator) leadTerm(ctx context.Context, w *wonTerm) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		c: c, record: w.record, lease: lease.BeginTerm(c.cfg.Ranges.KeyLease, w.record.Term, w.sentAt, w.acknowledgedAt, w.earlier),
		loopQueue: make(chan loopFunc, loopQueueSize), ctx: ctx,
		granters: map[string]*lease.RangeGranter{}, loads: map[string]*keyLoads{}, sentRanges: map[string]*RangeMap{},
		discoveries: map[string]targetDiscovery{}, startTimes: map[string]int64{}, addresses: map[string]string{}, fenceRefusals: map[string]int{},
		limitedSince: map[fleet.Incarnation]time.Duration{}, tables: map[string]*ownership.RangeTable{}, firstTables: map[string]bool{}, previousTerm: w.previousTerm, storeAllTables: w.earlier.RecordsLost, collecting: w.earlier.RecordsLost,
		unstoredTables: map[string]*ownership.RangeTable{}, beganAt: w.acknowledgedAt, formerConfirmedAt: w.formerConfirmedAt, confirmedAt: w.acknowledgedAt, nextConfirm: w.acknowledgedAt + confirmEvery,
	}
	if t.storeAllTables {
		t.nextConfirm = w.acknowledgedAt
	}
	c.limits.beginTerm()
	c.allotments.beginTerm(boottime.Now(), c.leadership.latestEnded())
	c.roster.beginTerm(boottime.Now(), c.processState().lastLed(boottime.Now()))
	c.toldHosts.Store(nil)
	c.toldContended.Store(nil)
	c.leading.Store(true)
	c.metrics.terms.Add(1)
	c.cfg.Log.Info("lead_began", "term", w.record.Term, "former_ended", w.earlier.PreviousStopped, "clear_ms", w.earlier.OlderLeasesLeft.Milliseconds())
	if previous := c.leadership.previousRecord(); previous.Address != "" && previous.Address != c.cfg.Peer {
		go c.askPreviousLeader(ctx, previous)
	}
	if err := guard.Call("lead", t.loop); err != nil {
		t.endReason = endPanic
		c.cfg.Log.Error("panic", "duty", "lead", "err", err)
	}
	t.lease.End()
	cancel() // ends the calls in progress before the end of the term is announced
	c.leading.Store(false)
	c.metrics.setLeases(0, 0, 0)
	c.endedTerm.Store(&endedTerm{term: w.record.Term, at: boottime.Now()})
	c.cfg.Log.Info("lead_ended", "term", w.record.Term, "reason", t.endReason)
	c.peers.closeAll()
	c.leadership.mu.Lock()
	c.leadership.campaignNotBefore = boottime.Now() + campaignPause
	c.leadership.mu.Unlock()
	if t.endReason == endStopped || t.endReason == endIsolated || t.endReason == endPanic {
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
	if serveLoop(t.ctx, ticker.C, t.loopQueue, t.tick, func() bool { return t.endReason != "" }) {
		t.endReason = endStopped
	}
}

// serveLoop runs the functions of a queue and ticks until ended returns true, or the context
// ends, which it reports. What is queued at a tick runs before it: a tick that takes long must not
// decide without the results that wait.
func serveLoop(ctx context.Context, ticks <-chan time.Time, queue <-chan loopFunc, tick loopFunc, ended func() bool) (stopped bool) {
	for !ended() {
		select {
		case <-ctx.Done():
			return true
		case r := <-queue:
			r(boottime.Now())
		case <-ticks:
			for n := len(queue); n > 0 && !ended(); n-- {
				(<-queue)(boottime.Now())
			}
			if !ended() {
				tick(boottime.Now())
			}
		}
	}
	return false
}

// post queues a function for the loop.
func (t *term) post(r loopFunc) {
	select {
	case t.loopQueue <- r:
	case <-t.ctx.Done():
	}
}

func (t *term) tick(now time.Duration) {
	t.load.noteTick(now, t.c)
	if !t.lease.MayGrant(now) {
		t.endReason = endAuthority
		return
	}
	if l := t.c.leadership.current(); l.Term > t.record.Term && l.Incarnation != t.record.Incarnation {
		t.endReason = endConflict
		return
	}
	if t.c.retired.Load() && now-t.confirmedAt < storeLostAfter {
		t.endReason = endStopped
		return
	}
	if at, ok := t.c.leadership.endOf(t.previousTerm); ok && !t.previousEnded {
		t.previousEnded = true
		t.c.cfg.Log.Info("former_leader_ended", "term", t.previousTerm, "after_ms", (now - t.beganAt).Milliseconds(),
			"ago_ms", (now - at).Milliseconds())
		t.lease.SetPreviousStopped(at)
		for _, g := range t.granters {
			g.ApplyPreviousStopped()
		}
	}
	t.noteEarlierStopped(now)
	if t.awaitsWitnesses(now) {
		t.confirmIfDue(now)
		t.sendPositions(now)
		return
	}
	snap := t.c.Snapshot()
	t.updateGranters(now, snap)
	if now >= t.nextPlan {
		t.nextPlan = now + planEvery
		t.collectCounts(now)
		t.plan(now, snap)
		t.sendContended()
		t.updateMetrics(now)
	}
	t.startTargetCalls(now, snap)
	t.publishRanges(now)
	t.confirmIfDue(now)
	t.offerLead(now)
	t.sendPositions(now)
}

// confirmIfDue confirms the term when it is time or when tables are to be stored.
func (t *term) confirmIfDue(now time.Duration) {
	if !t.appendInProgress && (now >= t.nextConfirm || len(t.unstoredTables) > 0) {
		t.confirm(now)
	}
}

// sendPositions sends the peers the leader's position in each topic when it is due.
func (t *term) sendPositions(now time.Duration) {
	if now >= t.nextPositions {
		t.nextPositions = now + positionsEvery
		t.c.peers.send(methodPositions, t.c.topicPositions())
		t.sendHosts(now)
	}
}

// updateGranters starts granters for keyed workloads, and informs granters which
// targets were restarted.
func (t *term) updateGranters(now time.Duration, snap *fleet.Snapshot) {
	if snap.DesiredState == nil {
		return
	}
	for id, x := range snap.Targets {
		if t.startTimes[id] != x.Born || t.addresses[id] != x.Address {
			for _, g := range t.granters {
				g.HandleTargetRestart(id)
			}
			t.startTimes[id], t.addresses[id] = x.Born, x.Address
		}
	}
	for name, w := range snap.DesiredState.Workloads {
		if !w.Keyed || t.granters[name] != nil {
			continue
		}
		if table := t.c.leadership.table(name); table != nil {
			t.startGranter(name, table, false)
			continue
		}
		x := t.discoveries[name].observe(now, len(usableTargets(snap, name)))
		t.discoveries[name] = x
		if x.complete(now) && !t.appendInProgress && t.unstoredTables[name] == nil {
			t.unstoredTables[name], t.firstTables[name] = initialTable(snap, name), true
		}
	}
}

// targetDiscovery counts the targets of a workload whose keys were never assigned.
type targetDiscovery struct {
	count int
	// firstAt is when the first target was found, changedAt when the count last changed.
	firstAt, changedAt time.Duration
}

// observe returns the discovery updated with the current number of targets.
func (x targetDiscovery) observe(now time.Duration, targets int) targetDiscovery {
	if targets == x.count {
		return x
	}
	if x.count == 0 {
		x.firstAt = now
	}
	x.count, x.changedAt = targets, now
	return x
}

// complete reports whether the keys should be assigned now.
func (x targetDiscovery) complete(now time.Duration) bool {
	return x.count > 0 && (now >= x.changedAt+discoveryQuietTime || now >= x.firstAt+maxDiscoveryTime)
}

// startGranter starts granting the keys of a workload.
func (t *term) startGranter(workload string, table *ownership.RangeTable, isNew bool) {
	g := lease.NewRangeGranter(t.c.cfg.Ranges, t.lease, table, isNew)
	if t.formerConfirmedAt > 0 {
		g.AssumeLeases(t.formerConfirmedAt)
	}
	t.granters[workload] = g
	t.tables[workload] = table
	t.loads[workload] = newKeyLoads()
}

// updateMetrics updates the metrics of the granted key ranges.
func (t *term) updateMetrics(now time.Duration) {
	left, granted, ungranted := time.Duration(math.MaxInt64), 0, 0
	for _, g := range t.granters {
		l, n, m := g.GrantStats(now)
		left, granted, ungranted = min(left, l), granted+n, ungranted+m
	}
	if granted == 0 {
		left = 0
	}
	t.c.metrics.setLeases(left, granted, ungranted)
}

// usableTargets returns the targets of a workload that may receive new requests.
func usableTargets(snap *fleet.Snapshot, workload string) []*fleet.Target {
	var out []*fleet.Target
	for _, x := range snap.TargetsOf(workload) {
		if snap.Usable(x) {
			out = append(out, x)
		}
	}
	return out
}

func initialTable(snap *fleet.Snapshot, workload string) *ownership.RangeTable {
	var owners []string
	var weights []float64
	for _, x := range usableTargets(snap, workload) {
		owners = append(owners, x.ID)
		weights = append(weights, float64(x.Slots))
	}
	return ownership.NewRangeTable(owners, weights)
}

// collectCounts adds the request counts of all hosts to the loads.
func (t *term) collectCounts(now time.Duration) {
	for _, l := range t.loads {
		l.decay(now)
	}
	for _, m := range append(t.c.counts.drain(), t.c.leadership.drainCounts()...) {
		if l := t.loads[m.Workload]; l != nil {
			l.add(m.Keys)
			l.addTargetStats(m.Targets)
		}
	}
}

// plan moves keys when targets are added, removed or overloaded.
func (t *term) plan(now time.Duration, snap *fleet.Snapshot) {
	if t.appendInProgress || snap.DesiredState == nil {
		return
	}
	t.forgetLimits(snap)
	for name, g := range t.granters {
		w := snap.DesiredState.Workloads[name]
		table := t.tables[name]
		if w == nil || table == nil || t.unstoredTables[name] != nil {
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
				t.endReason = endIsolated
			}
			continue
		}
		awaited := t.awaitedOwners(now, snap, table)
		if 2*len(awaited) > len(table.KeyCounts()) {
			continue
		}
		rates := t.loads[name].rates()
		t.noteContention(now, name, table, targets, rates)
		moves := ownership.PlanRanges(ownership.RangePlanConfig{}, ownership.RangeInput{
			Table: table, Targets: targets, Rates: rates, RateVariance: rateVariance,
			Movable: func(s ownership.KeyRange) bool { return g.Movable(now, s, moveCooldown) },
			Stays:   func(s ownership.KeyRange) bool { return awaited[s.Owner] || awaitsFencing(now, g, s) },
		})
		next := table.ForgetReturns(func(target string) bool { return snap.Targets[target] != nil })
		if cleared := g.ClearedRanges(); len(cleared) > 0 {
			next = next.ReleaseAll(cleared)
		}
		if len(moves) > 0 {
			next = next.Move(moves...)
			t.c.metrics.moves.Add(int64(len(moves)))
			for _, m := range moves {
				t.c.cfg.Log.Info("move", "workload", name, "from", m.From, "to", m.To, "former", table.Find(m.From).Owner,
					"owner", m.Owner, "rate_per_s", t.loads[name].rate(m.From, m.To), "failing", len(failing))
			}
		}
		if next != table {
			t.unstoredTables[name] = next
		}
	}
}

// awaitsFencing reports whether keys that their owner is to lose stay with it until it refuses
// the grants of earlier leaders, and makes that soon.
func awaitsFencing(now time.Duration, g *lease.RangeGranter, s ownership.KeyRange) bool {
	if !g.AwaitsFencing(now, s) {
		return false
	}
	g.FenceSoon(s)
	return true
}

// awaitedOwners returns the owners of keys that are not announced and may be back soon: their
// keys stay with them.
func (t *term) awaitedOwners(now time.Duration, snap *fleet.Snapshot, table *ownership.RangeTable) map[string]bool {
	awaited := map[string]bool{}
	t.c.mu.Lock()
	unsettled := t.c.dir.MayBeAnnounced(now)
	t.c.mu.Unlock()
	if !unsettled {
		return awaited
	}
	for owner := range table.KeyCounts() {
		if snap.Targets[owner] == nil {
			awaited[owner] = true
		}
	}
	return awaited
}

// defaultServiceTime is the time of a request on a target without measurements.
const defaultServiceTime = 0.1 // seconds

// planTargets returns the targets that may own keys. Cold ones have less capacity.
func (t *term) planTargets(now time.Duration, snap *fleet.Snapshot, w *fleet.Workload, failing map[string]bool) []ownership.RangeTarget {
	var out []ownership.RangeTarget
	for _, x := range usableTargets(snap, w.Name) {
		if failing[x.ID] {
			continue
		}
		service := t.loads[w.Name].serviceTime(x.ID)
		r := ownership.RangeTarget{ID: x.ID, Capacity: float64(x.Slots), ServiceSeconds: service, AcceptsKeys: true}
		if now < x.ColdUntil && w.ColdRate > 0 {
			r.Capacity = min(r.Capacity, w.ColdRate*service)
		}
		if limit := snap.RequestLimit(x); limit > 0 {
			r.Limited, r.KeepsKeys, r.Capacity = true, !t.limitLasts(now, x), min(r.Capacity, limit*service)
		} else {
			delete(t.limitedSince, x.Ident())
		}
		out = append(out, r)
	}
	return out
}

// publishRanges publishes granted ranges on this host and sends the peers each change at
// once and a digest of all ranges periodically.
func (t *term) publishRanges(now time.Duration) {
	due := now >= t.nextDigest
	if due {
		t.nextDigest = now + digestEvery
	}
	for name, g := range t.granters {
		ranges, changed := g.View(now)
		if !changed && !due {
			continue
		}
		r := &RangeMap{ranges: ranges, asOf: now}
		if changed {
			t.c.setRangeMap(name, r)
		}
		m := rangesMessage{clockReading: clockAt(now), Workload: name, Full: t.sentRanges[name] == nil, Ranges: r.changedSince(t.sentRanges[name])}
		if due {
			m.Digest = r.digest()
		}
		if due || len(m.Ranges) > 0 {
			t.c.peers.send(methodRanges, m)
		}
		t.sentRanges[name] = r
	}
}

// confirm appends the leader's record and changed range tables.
func (t *term) confirm(now time.Duration) {
	if t.c.storeEra.Load() != t.record.Era {
		t.restate(now)
		return
	}
	t.nextConfirm = now + confirmEvery
	t.appendInProgress = true
	t.record.Heartbeat++
	t.record.UpMS = (now - t.c.startedAt).Milliseconds()
	t.record.EarlierLeaseMS = t.lease.InheritedLeasesLeft(now).Milliseconds()
	t.record.UnknownHoldersMS = t.lease.UnknownHoldersLeft(now).Milliseconds()
	records := []platform.Record{t.record.storeRecord()}
	tables := t.unstoredTables
	storesAll := t.storeAllTables && !t.collecting
	if storesAll {
		tables, t.record.TablesEra = t.allTables(), t.record.Era
	}
	t.unstoredTables = map[string]*ownership.RangeTable{}
	for name, table := range tables {
		records = append(records, platform.Record{Key: keyRanges + name, Value: table.Encode()})
	}
	records = append(records, t.c.rosterRecord(now, storesAll)...)
	offset, era := t.c.control.position(), t.record.Era
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		defer cancel()
		sent := boottime.Now()
		b, err := t.c.cfg.Store.Append(ctx, platform.TopicControl, offset, records)
		t.c.noteStoreCall("append", b.Era, err)
		if err == nil && t.c.storeEra.Load() != era {
			err = &platform.Error{Op: "append", Outcome: platform.Restored, Era: b.Era, Offset: -1}
		}
		if err != nil {
			t.readControlTopic(offset)
		}
		t.post(func(now time.Duration) {
			t.appendInProgress = false
			if err != nil {
				t.c.cfg.Log.Info("term_not_confirmed", "term", t.record.Term, "at", offset, "err", err)
				t.nextConfirm = now + retryPause
				t.handleAppendError(err)
				return
			}
			t.confirmedAt, t.storeAllTables = now, t.storeAllTables && !storesAll
			t.lease.Confirm(sent)
			t.c.control.applyBatch(offset, b, false, sent)
			t.applyStored(now, tables)
		})
	}()
}

// applyStored puts range tables into force that the store has accepted.
func (t *term) applyStored(now time.Duration, tables map[string]*ownership.RangeTable) {
	for name, table := range tables {
		if g := t.granters[name]; g != nil {
			t.tables[name] = table
			g.SetTable(now, table)
		} else if t.firstTables[name] {
			t.startGranter(name, table, true)
		}
	}
}

// readControlTopic reads the control topic from an offset after a failed append.
func (t *term) readControlTopic(offset int64) {
	if err := t.c.readControl(t.ctx, offset); err != nil {
		// If the outage lasts, the term's authority lapses.
		t.c.cfg.Log.Debug("store_read_failed", "topic", platform.TopicControl, "err", err)
	}
}

// handleAppendError handles a failed append: a record of another term ends this
// one; a table that was stored although the response was lost is put into force.
func (t *term) handleAppendError(err error) {
	var e *platform.Error
	now := t.c.leadership.current()
	var later *laterTermError
	if now.Term > t.record.Term || now.Term == t.record.Term && now.Incarnation != t.record.Incarnation || errors.As(err, &later) {
		t.endReason = endConflict
		return
	}
	if errors.As(err, &e) && e.Outcome == platform.Conflict {
		t.storeAllTables = true // whoever appended may have replaced them
	}
	if errors.As(err, &e) && e.Outcome == platform.Unknown {
		for name := range t.granters {
			if table := t.c.leadership.table(name); table != nil {
				t.applyStored(boottime.Now(), map[string]*ownership.RangeTable{name: table})
			}
		}
	}
}

// resign appends a record that announces that this host no longer grants.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	now := boottime.Now()
	r := leaderRecord{
		Term: t.record.Term, Era: t.record.Era, TablesEra: t.record.TablesEra, Heartbeat: t.record.Heartbeat + 1, UpMS: (now - t.c.startedAt).Milliseconds(),
		EarlierLeaseMS: t.lease.InheritedLeasesLeft(now).Milliseconds(), UnknownHoldersMS: t.lease.UnknownHoldersLeft(now).Milliseconds(),
	}
	b, err := t.c.cfg.Store.Append(ctx, platform.TopicControl, t.c.control.position(), []platform.Record{r.storeRecord()})
	t.c.noteStoreCall("append", b.Era, err)
	if err != nil {
		t.c.cfg.Log.Info("resignation_failed", "term", r.Term, "err", err)
	}
}
