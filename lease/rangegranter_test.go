package lease

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/boragelock/boragelock/ownership"
)

// The history below simulates granters, targets and the store with random delays,
// lost messages, network partitions, pauses and restarts, and checks after each step
// that no two targets have a lease on one key.

const (
	historyStep  = 50 * time.Millisecond
	historyEnd   = 60 * time.Second
	historyHosts = 3
	// probeKeys are the keys that are checked.
	probeKeys = 64
)

// simLease is a target's lease on one key.
type simLease struct {
	fence uint64
	until time.Duration
}

// rangeSimTarget is a target that counts leases from the arrival of the grant on a
// clock that may run 2 % slow. A release does not raise its highest fencing token,
// since the protocol does not require that.
type rangeSimTarget struct {
	maxFence [probeKeys]uint64
	leases   [probeKeys]simLease
	cutOff   map[int]bool // hosts that cannot reach it
	// started is when the current incarnation of the target started.
	started time.Duration
	// connected holds the hosts with an open connection; a restart closes them all.
	connected map[int]bool
}

// rangeCall is a call in flight.
type rangeCall struct {
	host    int
	granter *RangeGranter
	call    TargetCall
	// leaseStart is when the lease begins, appliedAt when the target handles the call.
	leaseStart, appliedAt time.Duration
	// timeoutAt is when the host's call times out, answerAt when the answer arrives.
	timeoutAt, answerAt time.Duration
	// arrived says that the time has come at which the call arrives, reached that it did.
	arrived, reached bool
	// handled says that the target applied, refused or missed the call, reported that
	// the host knows the result.
	handled, reported, ok bool
}

// rangeHost is one possible granter.
type rangeHost struct {
	term    *Term
	granter *RangeGranter
	// era and offset are its position in the log, table the one that it last stored.
	era, offset int
	table       *ownership.RangeTable
	cutStore    bool
	pausedUntil time.Duration
	confirmAt   time.Duration
}

// rangeRecord is a record of the store.
type rangeRecord struct {
	at    time.Duration
	era   int
	term  uint64
	table *ownership.RangeTable
	// resign ends the term; leasesLeft is how long leases of earlier granters may
	// remain in force.
	resign     bool
	leasesLeft time.Duration
	// unknownLeft is for how long holders that the table does not name may hold keys.
	unknownLeft time.Duration
}

type rangeHistory struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Duration
	cfg     RangeConfig
	log     []rangeRecord
	hosts   []*rangeHost
	targets map[string]*rangeSimTarget
	// begun has the numbers of all terms, also of those that the store lost.
	begun []uint64
	// stoppedAt is when the granter of each term was first seen to have stopped.
	stoppedAt map[uint64]time.Duration
	targetIDs []string
	calls     []*rangeCall
	moves     int
	granted   int
	// restartChance is the probability that a target restarts in a step.
	restartChance float64
	// restoreChance is the probability that the store returns from a copy in a step.
	restoreChance float64
	// era counts the restores, from 1.
	era, restated int
	// eraBeganAt is when the store last returned from a copy, allStopped how often a granter
	// learned that all earlier ones had stopped.
	eraBeganAt time.Duration
	allStopped int
	// trustPrevious lets granters take the previous granter that the store names for all
	// earlier ones; confirmedEarlier is how long before a restore they take the last
	// confirmations to have been.
	trustPrevious    bool
	confirmedEarlier time.Duration
	// trustCopies lets granters take the table of a restored store for the newest one.
	trustCopies bool
	// hintChance is the probability that a granter learns of a later term in a step.
	hintChance float64
	// keepNumbers lets granters go on after a restore under their number.
	keepNumbers bool
	// dialAlways lets granters open connections for as long as they may grant.
	dialAlways bool
	// violation describes the first key leased to two targets at a time.
	violation string
}

func probeKey(i int) int { return i * ownership.RangeKeys / probeKeys }

func newRangeHistory(t *testing.T, seed int64, cfg RangeConfig) *rangeHistory {
	h := &rangeHistory{t: t, rnd: rand.New(rand.NewSource(seed)), cfg: cfg, targets: map[string]*rangeSimTarget{}, stoppedAt: map[uint64]time.Duration{}, restartChance: 0.001, era: 1, hintChance: 0.05}
	for i := range 4 {
		name := fmt.Sprintf("t%d", i)
		h.targetIDs = append(h.targetIDs, name)
		h.targets[name] = &rangeSimTarget{cutOff: map[int]bool{}, connected: map[int]bool{}}
	}
	for range historyHosts {
		h.hosts = append(h.hosts, &rangeHost{})
	}
	return h
}

func (h *rangeHistory) chance(p float64) bool { return h.rnd.Float64() < p }

func (h *rangeHistory) between(a, b time.Duration) time.Duration {
	return a + time.Duration(h.rnd.Int63n(int64(b-a)+1))
}

func (h *rangeHistory) last() rangeRecord {
	if len(h.log) == 0 {
		return rangeRecord{}
	}
	return h.log[len(h.log)-1]
}

func (h *rangeHistory) table() *ownership.RangeTable {
	for i := len(h.log) - 1; i >= 0; i-- {
		if h.log[i].table != nil {
			return h.log[i].table
		}
	}
	return nil
}

// campaign makes a host the granter of the next term.
func (h *rangeHistory) campaign(x *rangeHost) {
	last := h.last()
	table := h.table()
	isNew := table == nil
	if isNew {
		table = ownership.NewRangeTable(h.targetIDs, []float64{1, 1, 1, 1})
	}
	h.begun = append(h.begun, nextSimTerm(last, h.era))
	lost := h.era > 1 && last.era < h.era && !h.trustCopies
	number := nextSimTerm(last, h.era)
	earlier := EarlierGranters{
		PreviousStopped: last.resign || isNew, OlderLeasesLeft: last.leasesLeft, RecordsLost: lost, UnknownHoldersLeft: last.unknownLeft,
	}
	if lost {
		earlier.ConfirmedBefore = max(1, h.eraBeganAt-h.confirmedEarlier)
	}
	x.term = BeginTerm(h.cfg.KeyLease, number, h.now, h.now, earlier)
	h.log = append(h.log, rangeRecord{
		at: h.now, era: h.era, term: number, table: table,
		leasesLeft: x.term.InheritedLeasesLeft(h.now), unknownLeft: x.term.UnknownHoldersLeft(h.now),
	})
	x.era, x.offset, x.table = h.era, len(h.log), table
	x.granter = NewRangeGranter(h.cfg, x.term, table, isNew)
	x.confirmAt = h.now + time.Second
}

// append stores a record if no other host has appended since this host's last one.
func (h *rangeHistory) append(x *rangeHost, r rangeRecord) bool {
	if x.cutStore {
		return false
	}
	if x.era != h.era {
		if h.last().term > x.term.Number {
			x.term.End()
			return false
		}
		// The granter stores its table again, under a new number.
		r.term = nextSimTerm(rangeRecord{term: x.term.Number, era: x.era}, h.era)
		r.table = x.table
		h.begun = append(h.begun, r.term)
		if h.keepNumbers {
			r.term = x.term.Number
			x.term.Confirm(h.now)
		} else {
			x.term.Renumber(r.term, h.now, h.now, false)
			x.granter.ApplyRenumber()
		}
		x.era, x.offset = h.era, len(h.log)
		h.restated++
		h.store(x, r)
		return false
	}
	if len(h.log) != x.offset {
		x.term.End()
		return false
	}
	h.store(x, r)
	x.term.Confirm(h.now)
	return true
}

// store appends a record of a host's term.
func (h *rangeHistory) store(x *rangeHost, r rangeRecord) {
	r.at, r.era = h.now, h.era
	r.leasesLeft, r.unknownLeft = x.term.InheritedLeasesLeft(h.now), x.term.UnknownHoldersLeft(h.now)
	h.log = append(h.log, r)
	x.offset = len(h.log)
	if r.table != nil {
		x.table = r.table
	}
}

// nextSimTerm returns the number of the term after a record.
func nextSimTerm(last rangeRecord, era int) uint64 {
	return last.term + 1 + uint64(1000*(era-last.era))
}

// restore returns the store to a copy that is up to 20 s old.
func (h *rangeHistory) restore() {
	age := h.between(0, 20*time.Second)
	for n := len(h.log); n > 0 && h.log[n-1].at > h.now-age; n-- {
		h.log = h.log[:n-1]
	}
	h.era++
	h.eraBeganAt = h.now
}

// recordStops records when each term was first seen to have no granter.
func (h *rangeHistory) recordStops() {
	running := map[uint64]bool{}
	for _, x := range h.hosts {
		if x.term != nil && !x.term.ended {
			running[x.term.Number] = true
		}
	}
	for _, n := range h.begun {
		if _, known := h.stoppedAt[n]; !known && !running[n] {
			h.stoppedAt[n] = h.now
		}
	}
}

// reportTerms lets granters learn at random that a later term has begun.
func (h *rangeHistory) reportTerms() {
	for _, x := range h.hosts {
		if x.term == nil || !h.chance(h.hintChance) {
			continue
		}
		for _, y := range h.hosts {
			if y.term != nil && y.term.Number > x.term.Number {
				x.term.End()
			}
		}
	}
}

// reportStops lets the granters learn at random that the granter of the previous
// term has stopped, and by when.
func (h *rangeHistory) reportStops() {
	for _, x := range h.hosts {
		if x.term == nil || !h.chance(0.05) {
			continue
		}
		if at, ok := h.stoppedAt[x.term.Number-1]; ok {
			x.term.SetPreviousStopped(at)
			x.granter.ApplyPreviousStopped()
		}
		if at, ok := h.earlierStopped(x); ok && x.term.UnknownHoldersLeft(h.now) > 0 {
			x.term.SetAllStopped(at)
			x.granter.ApplyPreviousStopped()
			h.allStopped++
		}
	}
}

// earlierStopped returns when all granters but one had stopped, or false when one of them
// has not.
func (h *rangeHistory) earlierStopped(x *rangeHost) (at time.Duration, ok bool) {
	for i, n := range h.begun {
		if n == x.term.Number || h.trustPrevious && i > 0 {
			continue
		}
		stopped, ok := h.stoppedAt[n]
		if !ok {
			return 0, false
		}
		at = max(at, stopped)
	}
	return at, true
}

func (h *rangeHistory) injectFaults() {
	if h.restoreChance > 0 && h.chance(h.restoreChance) {
		h.restore()
	}
	for i, x := range h.hosts {
		if h.chance(0.004) {
			x.cutStore = !x.cutStore
		}
		if h.chance(0.003) {
			x.pausedUntil = h.now + h.between(0, 8*time.Second)
		}
		for _, name := range h.targetIDs {
			if t := h.targets[name]; h.chance(0.003) {
				t.cutOff[i] = !t.cutOff[i]
			}
		}
		if x.term != nil && h.chance(0.001) { // the process is killed and restarts
			x.term, x.granter = nil, nil
			x.cutStore = false
		}
	}
	for _, name := range h.targetIDs {
		if t := h.targets[name]; h.chance(h.restartChance) { // a restart under the same ID
			*t = rangeSimTarget{cutOff: t.cutOff, started: h.now, connected: map[int]bool{}}
		}
	}
}

func (h *rangeHistory) send(i int, x *rangeHost, o TargetCall) {
	c := &rangeCall{host: i, granter: x.granter, call: o, timeoutAt: h.now + h.cfg.KeyLease.realCallTimeout()}
	c.leaseStart = h.now + h.between(0, h.cfg.KeyLease.realCallTimeout()+h.cfg.KeyLease.MaxTransit/2)
	c.appliedAt = c.leaseStart
	c.answerAt = c.appliedAt + h.between(0, 100*time.Millisecond)
	if !o.Release && h.chance(0.1) { // no answer, and applied late
		c.appliedAt += h.between(0, 12*time.Second)
		c.answerAt = c.timeoutAt
	} else if h.chance(0.05) {
		c.answerAt = c.timeoutAt
	}
	h.calls = append(h.calls, c)
}

// realCallTimeout is the timeout of a call in the history, whatever the configuration
// under test says.
func (c KeyLeaseConfig) realCallTimeout() time.Duration { return 600 * time.Millisecond }

// deliver applies the calls that have arrived.
func (h *rangeHistory) deliver() {
	kept := h.calls[:0]
	for _, c := range h.calls {
		t := h.targets[c.call.Target]
		if !c.arrived && h.now >= c.leaseStart {
			c.arrived, c.reached = true, h.reaches(t, c)
		}
		if !c.handled && h.now >= c.appliedAt {
			c.handled = true
			// A call that waits at its target is lost when that restarts.
			c.ok = c.reached && (c.appliedAt == c.leaseStart || t.started <= c.leaseStart) && h.apply(t, c)
		}
		h.reportResult(c)
		if !c.handled || !c.reported {
			kept = append(kept, c)
		}
	}
	h.calls = kept
}

// reaches reports whether a call that arrives now reaches its target.
func (h *rangeHistory) reaches(t *rangeSimTarget, c *rangeCall) bool {
	if t.cutOff[c.host] || !t.connected[c.host] && c.call.OpenOnly && !h.dialAlways {
		return false
	}
	t.connected[c.host] = true
	return true
}

// reportResult passes the result of a call to its granter when it is known.
func (h *rangeHistory) reportResult(c *rangeCall) {
	if c.reported || h.now < min(c.timeoutAt, c.answerAt) {
		return
	}
	c.reported = true
	x := h.hosts[c.host]
	if x.granter != c.granter || x.granter == nil {
		return
	}
	accepted := c.ok && c.handled && c.answerAt < c.timeoutAt
	switch {
	case c.call.Release:
		x.granter.HandleReleaseResult(h.now, c.call, "", accepted)
	case accepted:
		x.granter.HandleGrantResult(h.now, c.call, GrantAccepted)
	default:
		x.granter.HandleGrantResult(h.now, c.call, GrantUnknown)
	}
}

func (h *rangeHistory) apply(t *rangeSimTarget, c *rangeCall) bool {
	o := c.call
	for i := range probeKeys {
		if k := probeKey(i); !o.Release && k >= o.From && k <= o.To && t.maxFence[i] > o.Fence {
			return false
		}
	}
	for i := range probeKeys {
		k := probeKey(i)
		if k < o.From || k > o.To {
			continue
		}
		if o.Release {
			t.leases[i] = simLease{}
			continue
		}
		t.maxFence[i] = o.Fence
		t.leases[i] = simLease{fence: o.Fence, until: c.leaseStart + time.Duration(float64(o.LeaseDuration)*1.02)}
		h.granted++
	}
	return true
}

func (h *rangeHistory) checkOneOwner() {
	for i := range probeKeys {
		holder := ""
		for _, name := range h.targetIDs {
			if h.targets[name].leases[i].until <= h.now {
				continue
			}
			if holder != "" && h.violation == "" {
				h.violation = fmt.Sprintf("at %v key %d is held by %s and %s", h.now, probeKey(i), holder, name)
			}
			holder = name
		}
	}
}

// stepHost lets a host campaign, and one that leads confirm its term, grant and move
// keys.
func (h *rangeHistory) stepHost(i int, x *rangeHost) {
	if h.now < x.pausedUntil {
		return
	}
	if x.term == nil {
		if !x.cutStore && h.chance(0.01) {
			h.campaign(x)
		}
		return
	}
	if !x.term.MayGrant(h.now) {
		x.term, x.granter = nil, nil
		return
	}
	if h.now >= x.confirmAt {
		x.confirmAt = h.now + time.Second
		h.append(x, rangeRecord{term: x.term.Number})
	}
	if h.chance(0.05) {
		h.move(x)
	}
	if h.chance(0.002) && h.append(x, rangeRecord{term: x.term.Number, resign: true}) {
		x.term, x.granter = nil, nil
		return
	}
	for _, o := range x.granter.Tick(h.now, func(string) bool { return true }) {
		h.send(i, x, o)
	}
}

// move gives keys of a random key range to a random target. It moves only ranges of
// failing owners and ranges that are movable.
func (h *rangeHistory) move(x *rangeHost) {
	table := x.table
	s := table.Ranges[h.rnd.Intn(len(table.Ranges))]
	failing := false
	for _, id := range x.granter.FailingOwners(h.now) {
		failing = failing || id == s.Owner
	}
	if !failing && !x.granter.Movable(h.now, s, time.Second) {
		return
	}
	next := table
	for _, d := range x.granter.ClearedRanges() {
		next = next.Release(d.From, d.To)
	}
	cut := s.From + h.rnd.Intn(s.Len())
	next = next.Move(ownership.RangeMove{From: s.From, To: cut, Owner: h.targetIDs[h.rnd.Intn(len(h.targetIDs))]})
	if h.append(x, rangeRecord{term: x.term.Number, table: next}) {
		x.granter.SetTable(h.now, next)
		h.moves++
	}
}

func (h *rangeHistory) run() {
	for ; h.now < historyEnd && h.violation == ""; h.now += historyStep {
		h.injectFaults()
		h.recordStops()
		h.reportStops()
		if h.restoreChance > 0 {
			h.reportTerms()
		}
		for i, x := range h.hosts {
			h.stepHost(i, x)
		}
		h.deliver()
		h.checkOneOwner()
	}
}

// TestRangeGrantsNeverOverlap guards against two targets that have a lease on one key
// at the same time: through a granter that is partitioned, paused or killed, through
// unanswered grants that are applied seconds later, and through slow clocks of targets.
func TestRangeGrantsNeverOverlap(t *testing.T) {
	moves, granted := 0, 0
	for seed := int64(1); seed <= 150; seed++ {
		h := newRangeHistory(t, seed, RangeConfig{}.withDefaults())
		h.run()
		if h.violation != "" {
			t.Fatalf("seed %d: %s", seed, h.violation)
		}
		moves, granted = moves+h.moves, granted+h.granted
	}
	if moves < 1000 || granted < 100000 {
		t.Fatalf("%d moves and %d grants are too few to show anything", moves, granted)
	}
}

// TestGrantsAfterRestores guards against grants by a table that is older than the leases in
// force: the store returns from a copy, in series with partitions, pauses and kills.
func TestGrantsAfterRestores(t *testing.T) {
	moves, granted, restores, restated, allStopped := 0, 0, 0, 0, 0
	for seed := int64(1); seed <= 300; seed++ {
		h := newRangeHistory(t, seed, RangeConfig{}.withDefaults())
		h.restoreChance = 0.003
		h.run()
		if h.violation != "" {
			t.Fatalf("seed %d: %s", seed, h.violation)
		}
		moves, granted, restores, restated, allStopped = moves+h.moves, granted+h.granted, restores+h.era-1, restated+h.restated, allStopped+h.allStopped
	}
	if moves < 1000 || granted < 100000 || restores < 500 || restated < 200 || allStopped < 100 {
		t.Fatalf("%d moves, %d grants, %d restores, %d tables stored again and %d ends of all granters are too few to show anything", moves, granted, restores, restated, allStopped)
	}
	for name, mutate := range map[string]func(*rangeHistory){
		"granters trust the table of a restored store":    func(h *rangeHistory) { h.trustCopies = true },
		"granters go on after a restore under one number": func(h *rangeHistory) { h.keepNumbers, h.hintChance = true, 0.005 },
		"granters ask one earlier granter, not all":       func(h *rangeHistory) { h.trustPrevious = true },
		"granters may be confirmed after the time stated": func(h *rangeHistory) { h.confirmedEarlier = 10 * time.Second },
	} {
		found := false
		for seed := int64(1); seed <= 400 && !found; seed++ {
			h := newRangeHistory(t, seed, RangeConfig{}.withDefaults())
			h.restoreChance = 0.003
			mutate(h)
			h.run()
			found = h.violation != ""
		}
		if !found {
			t.Errorf("no violation found although %s", name)
		}
	}
}

// TestLeasesOfALostTerm guards against a granter that goes on after a restore and takes keys
// from a silent target, which a granter whose term is lost may still reach.
func TestLeasesOfALostTerm(t *testing.T) {
	cfg := RangeConfig{}.withDefaults()
	term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
	table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
	g := NewRangeGranter(cfg, term, table, true)
	now := time.Second
	all := func(string) bool { return true }
	for _, o := range g.Tick(now, all) {
		g.HandleGrantResult(now, o, GrantAccepted)
	}
	term.Renumber(1025, now, now, false)
	g.ApplyRenumber()
	if view, _ := g.View(now); !view[0].Ready || !view[1].Ready {
		t.Fatalf("keys are not served while the granter goes on: %+v", view)
	}
	if !term.MayGrant(now) || term.NextFence() <= 1<<fenceBits|1<<(fenceBits-1) {
		t.Fatal("the granter does not go on under the new number")
	}
	g.SetTable(now, table.Move(ownership.RangeMove{From: 0, To: 20, Owner: "b"}))
	grantsOfMovedKeys := func(now time.Duration) int {
		term.Confirm(now)
		n := 0
		for _, o := range g.Tick(now, func(id string) bool { return id == "b" }) {
			if !o.Release && o.From == 0 {
				n++
			}
		}
		return n
	}
	if n := grantsOfMovedKeys(term.PriorEnd() - time.Millisecond); n != 0 {
		t.Fatal("keys were granted while a target that is silent may hold them")
	}
	if n := grantsOfMovedKeys(term.PriorEnd()); n != 1 {
		t.Fatal("keys were not granted although all leases have ended")
	}
}

// TestFencesOfALongTerm guards against fencing tokens that run into those of the next term:
// hundreds of grants a second use up the tokens of a term within days.
func TestFencesOfALongTerm(t *testing.T) {
	cfg := RangeConfig{}.withDefaults()
	term := BeginTerm(cfg.KeyLease, 3, 0, 0, EarlierGranters{PreviousStopped: true})
	g := NewRangeGranter(cfg, term, ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1}), true)
	all := func(string) bool { return true }
	term.fences = 1<<fenceBits - 1
	if calls := g.Tick(time.Second, all); len(calls) != 0 {
		t.Fatalf("a grant has fencing token %#x, which is not one of term 3", calls[0].Fence)
	}
}

// TestRangeGrantMutants checks that the history detects the removal of each safeguard.
func TestRangeGrantMutants(t *testing.T) {
	for name, mutate := range map[string]func(*RangeConfig){
		"a granter does not wait for leases of earlier ones": func(c *RangeConfig) { c.KeyLease.GrantWithoutStore = 1 },
		"the call timeout is not part of the lease bound":    func(c *RangeConfig) { c.KeyLease.CallTimeout, c.KeyLease.MaxTransit = 1, 1 },
		"a granter opens connections without the store":      func(c *RangeConfig) { c.KeyLease.DialWithoutStore = c.KeyLease.GrantWithoutStore },
		"a key lease is assumed to be half as long as it is": func(c *RangeConfig) { c.KeyLease.ClockDrift = -0.5 },
	} {
		found := false
		for seed := int64(1); seed <= 400 && !found; seed++ {
			cfg := RangeConfig{}.withDefaults()
			mutate(&cfg)
			// With a short GrantWithoutStore the granters still grant for the default
			// time; their successors ignore the inherited leases instead.
			h := newRangeHistory(t, seed, cfg)
			if cfg.KeyLease.DialWithoutStore == cfg.KeyLease.GrantWithoutStore {
				h.dialAlways, h.restartChance = true, 0.02
				h.cfg.KeyLease.DialWithoutStore = KeyLeaseConfig{}.WithDefaults().DialWithoutStore
			}
			if cfg.KeyLease.GrantWithoutStore == 1 {
				h.cfg.KeyLease.GrantWithoutStore = KeyLeaseConfig{}.WithDefaults().GrantWithoutStore
				h.runIgnoringInheritedLeases()
			} else {
				h.run()
			}
			found = h.violation != ""
		}
		if !found {
			t.Errorf("no violation found although %s", name)
		}
	}
}

// runIgnoringInheritedLeases simulates granters that ignore the leases of earlier
// granters.
func (h *rangeHistory) runIgnoringInheritedLeases() {
	for ; h.now < historyEnd && h.violation == ""; h.now += historyStep {
		h.injectFaults()
		for i, x := range h.hosts {
			before := x.granter
			h.stepHost(i, x)
			if x.granter != nil && x.granter != before {
				for _, r := range x.granter.ranges {
					r.lease = LeaseBound{}
				}
			}
		}
		h.deliver()
		h.checkOneOwner()
	}
}

// TestBackOfRuns guards against refused requests while keys are handed over between
// two targets that respond: the previous lease ends seconds later, but the hand-over
// takes a fraction of a second.
func TestBackOfRuns(t *testing.T) {
	cfg := RangeConfig{}.withDefaults()
	term := BeginTerm(cfg.KeyLease, 1, 0, 0, EarlierGranters{PreviousStopped: true})
	table := ownership.NewRangeTable([]string{"a", "b"}, []float64{1, 1})
	g := NewRangeGranter(cfg, term, table, true)
	now := time.Second
	all := func(string) bool { return true }
	for _, o := range g.Tick(now, all) {
		g.HandleGrantResult(now, o, GrantAccepted)
	}
	table = table.Move(ownership.RangeMove{From: 10, To: 20, Owner: "b"})
	g.SetTable(now, table)
	view, changed := g.View(now)
	if !changed || view[1].Ready || view[1].GrantableInMS != 0 {
		t.Fatalf("hand-over from a target that answers: %+v", view[1])
	}
	// If the previous owner stops responding, the end of its lease counts.
	later := now + cfg.FailingAfter + 10*time.Millisecond
	g.viewChanged = true
	if view, _ = g.View(later); view[1].GrantableInMS < 1000 {
		t.Fatalf("hand-over from a target that does not answer: %+v", view[1])
	}
}
