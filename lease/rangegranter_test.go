package lease

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/boragelock/boragelock/ownership"
)

// The history below plays granters, targets and the store with random delays,
// losses, cuts, pauses and restarts, and checks after each step that no key is
// held by two targets.

const (
	historyStep  = 50 * time.Millisecond
	historyEnd   = 60 * time.Second
	historyHosts = 3
	// probeKeys are the keys that are checked.
	probeKeys = 64
)

// rangeHold is what a target holds of one key.
type rangeHold struct {
	fence uint64
	until time.Duration
}

// rangeSimTarget is a target that counts holds from arrival on a clock that may run
// 2 % slow. A release does not raise the fence it has seen, since the protocol
// does not say that it does.
type rangeSimTarget struct {
	seen  [probeKeys]uint64
	holds [probeKeys]rangeHold
	cut   map[int]bool // hosts that cannot reach it
	// started is when the present process of the target started.
	started time.Duration
	// connected are the hosts with an open connection; a restart ends them all.
	connected map[int]bool
}

// rangeCall is a call on its way.
type rangeCall struct {
	host    int
	granter *RangeGranter
	order   TargetCall
	// counts is when the hold begins, applied when the target takes the call.
	counts, applied time.Duration
	// limit is when the host gives the call up, answer when the answer arrives.
	limit, answer time.Duration
	// done says that the target took or missed it, told that the host knows the
	// result.
	done, told, ok bool
}

// rangeHost is one possible granter.
type rangeHost struct {
	term        *Term
	granter     *RangeGranter
	offset      int // records that it has read
	cutStore    bool
	pausedUntil time.Duration
	confirmAt   time.Duration
}

// rangeRecord is a record of the store.
type rangeRecord struct {
	term  uint64
	table *ownership.RangeTable
	// resign ends the term; clear is how long earlier granters may go on.
	resign bool
	clear  time.Duration
}

type rangeHistory struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Duration
	cfg     RangeConfig
	log     []rangeRecord
	hosts   []*rangeHost
	targets map[string]*rangeSimTarget
	// stopped is when the granter of each term was first seen to have stopped.
	stopped map[uint64]time.Duration
	names   []string
	calls   []*rangeCall
	moves   int
	granted int
	// restarts is the chance of a target's restart in a step.
	restarts float64
	// dialAlways lets granters open connections for as long as they may grant.
	dialAlways bool
	// broken describes the first key held twice.
	broken string
}

func probeKey(i int) int { return i * ownership.RangeKeys / probeKeys }

func newRangeHistory(t *testing.T, seed int64, cfg RangeConfig) *rangeHistory {
	h := &rangeHistory{t: t, rnd: rand.New(rand.NewSource(seed)), cfg: cfg, targets: map[string]*rangeSimTarget{}, stopped: map[uint64]time.Duration{}, restarts: 0.001}
	for i := range 4 {
		name := fmt.Sprintf("t%d", i)
		h.names = append(h.names, name)
		h.targets[name] = &rangeSimTarget{cut: map[int]bool{}, connected: map[int]bool{}}
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

// stand makes a host the granter of the next term.
func (h *rangeHistory) stand(x *rangeHost) {
	last := h.last()
	table := h.table()
	isNew := table == nil
	if isNew {
		table = ownership.NewRangeTable(h.names, []float64{1, 1, 1, 1})
	}
	x.term = BeginTerm(h.cfg.KeyLease, last.term+1, h.now, h.now, EarlierGranters{PreviousStopped: last.resign || isNew, OlderLeasesLeft: last.clear})
	h.log = append(h.log, rangeRecord{term: last.term + 1, table: table, clear: x.term.InheritedLeasesLeft(h.now)})
	x.offset = len(h.log)
	x.granter = NewRangeGranter(h.cfg, x.term, table, isNew)
	x.confirmAt = h.now + time.Second
}

// append stores a record if nobody else has appended since the host's last one.
func (h *rangeHistory) append(x *rangeHost, r rangeRecord) bool {
	if x.cutStore {
		return false
	}
	if len(h.log) != x.offset {
		x.term.End()
		return false
	}
	r.clear = x.term.InheritedLeasesLeft(h.now)
	h.log = append(h.log, r)
	x.offset = len(h.log)
	x.term.Confirm(h.now)
	return true
}

// noteStops notes when each term was first seen to have no granter.
func (h *rangeHistory) noteStops() {
	running := map[uint64]bool{}
	for _, x := range h.hosts {
		if x.term != nil && !x.term.ended {
			running[x.term.Number] = true
		}
	}
	for n := uint64(1); n <= h.last().term; n++ {
		if _, known := h.stopped[n]; !known && !running[n] {
			h.stopped[n] = h.now
		}
	}
}

// tellEnded lets the present granter hear that the one before has stopped, and
// when it had at the latest.
func (h *rangeHistory) tellEnded() {
	for _, x := range h.hosts {
		if x.term == nil || !h.chance(0.05) {
			continue
		}
		if at, ok := h.stopped[x.term.Number-1]; ok {
			x.term.SetPredecessorStopped(at)
			x.granter.ApplyPredecessorStopped()
		}
	}
}

func (h *rangeHistory) faults() {
	for i, x := range h.hosts {
		if h.chance(0.004) {
			x.cutStore = !x.cutStore
		}
		if h.chance(0.003) {
			x.pausedUntil = h.now + h.between(0, 8*time.Second)
		}
		for _, name := range h.names {
			if t := h.targets[name]; h.chance(0.003) {
				t.cut[i] = !t.cut[i]
			}
		}
		if x.term != nil && h.chance(0.001) { // the process is killed and starts anew
			x.term, x.granter = nil, nil
			x.cutStore = false
		}
	}
	for _, name := range h.names {
		if t := h.targets[name]; h.chance(h.restarts) { // a restart under the same identifier
			*t = rangeSimTarget{cut: t.cut, started: h.now, connected: map[int]bool{}}
		}
	}
}

func (h *rangeHistory) send(i int, x *rangeHost, o TargetCall) {
	c := &rangeCall{host: i, granter: x.granter, order: o, limit: h.now + h.cfg.KeyLease.withCallForTest()}
	c.counts = h.now + h.between(0, h.cfg.KeyLease.withCallForTest()+h.cfg.KeyLease.Transit/2)
	c.applied = c.counts
	c.answer = c.applied + h.between(0, 100*time.Millisecond)
	if !o.Release && h.chance(0.1) { // no answer, and carried out late
		c.applied += h.between(0, 12*time.Second)
		c.answer = c.limit
	} else if h.chance(0.05) {
		c.answer = c.limit
	}
	h.calls = append(h.calls, c)
}

// withCallForTest is the real limit of a call in the history, whatever the
// configuration under test believes.
func (c KeyLeaseConfig) withCallForTest() time.Duration { return 600 * time.Millisecond }

// deliver carries out calls that have arrived.
func (h *rangeHistory) deliver() {
	kept := h.calls[:0]
	for _, c := range h.calls {
		t := h.targets[c.order.Target]
		if !c.done && h.now >= c.applied {
			c.done = true
			c.ok = h.arrives(t, c) && h.apply(t, c)
		}
		h.tell(c)
		if !c.done || !c.told {
			kept = append(kept, c)
		}
	}
	h.calls = kept
}

// arrives reports whether a call reaches its target. One that is carried out late
// was taken by the target before, unless it has started anew.
func (h *rangeHistory) arrives(t *rangeSimTarget, c *rangeCall) bool {
	if c.applied > c.counts {
		return t.started <= c.counts
	}
	if t.cut[c.host] || !t.connected[c.host] && c.order.OpenOnly && !h.dialAlways {
		return false
	}
	t.connected[c.host] = true
	return true
}

// tell passes the result of a call to its granter when it is known.
func (h *rangeHistory) tell(c *rangeCall) {
	if c.told || h.now < min(c.limit, c.answer) {
		return
	}
	c.told = true
	x := h.hosts[c.host]
	if x.granter != c.granter || x.granter == nil {
		return
	}
	accepted := c.ok && c.done && c.answer < c.limit
	switch {
	case c.order.Release:
		x.granter.HandleReleaseResult(h.now, c.order, "", accepted)
	case accepted:
		x.granter.HandleGrantResult(h.now, c.order, GrantAccepted)
	default:
		x.granter.HandleGrantResult(h.now, c.order, GrantUnknown)
	}
}

func (h *rangeHistory) apply(t *rangeSimTarget, c *rangeCall) bool {
	o := c.order
	for i := range probeKeys {
		if k := probeKey(i); !o.Release && k >= o.From && k <= o.To && t.seen[i] > o.Fence {
			return false
		}
	}
	for i := range probeKeys {
		k := probeKey(i)
		if k < o.From || k > o.To {
			continue
		}
		if o.Release {
			t.holds[i] = rangeHold{}
			continue
		}
		t.seen[i] = o.Fence
		t.holds[i] = rangeHold{fence: o.Fence, until: c.counts + time.Duration(float64(o.LeaseDuration)*1.02)}
		h.granted++
	}
	return true
}

func (h *rangeHistory) check() {
	for i := range probeKeys {
		holder := ""
		for _, name := range h.names {
			if h.targets[name].holds[i].until <= h.now {
				continue
			}
			if holder != "" && h.broken == "" {
				h.broken = fmt.Sprintf("at %v key %d is held by %s and %s", h.now, probeKey(i), holder, name)
			}
			holder = name
		}
	}
}

// act lets a host that leads grant, confirm and move keys.
func (h *rangeHistory) act(i int, x *rangeHost) {
	if h.now < x.pausedUntil {
		return
	}
	if x.term == nil {
		if !x.cutStore && h.chance(0.01) {
			h.stand(x)
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

// move gives keys of a random segment to a random target: of a failing owner, or
// of one whose keys may be moved.
func (h *rangeHistory) move(x *rangeHost) {
	table := h.table()
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
	next = next.Move(ownership.RangeMove{From: s.From, To: cut, Owner: h.names[h.rnd.Intn(len(h.names))]})
	if h.append(x, rangeRecord{term: x.term.Number, table: next}) {
		x.granter.SetTable(h.now, next)
		h.moves++
	}
}

func (h *rangeHistory) run() {
	for ; h.now < historyEnd && h.broken == ""; h.now += historyStep {
		h.faults()
		h.noteStops()
		h.tellEnded()
		for i, x := range h.hosts {
			h.act(i, x)
		}
		h.deliver()
		h.check()
	}
}

// TestRangeGrantsNeverOverlap guards against two targets that hold a key at the
// same time: by a granter that is cut off, paused or killed, by grants without an
// answer that are carried out seconds later, and by targets with slow clocks.
func TestRangeGrantsNeverOverlap(t *testing.T) {
	moves, granted := 0, 0
	for seed := int64(1); seed <= 150; seed++ {
		h := newRangeHistory(t, seed, RangeConfig{}.withDefaults())
		h.run()
		if h.broken != "" {
			t.Fatalf("seed %d: %s", seed, h.broken)
		}
		moves, granted = moves+h.moves, granted+h.granted
	}
	if moves < 1000 || granted < 100000 {
		t.Fatalf("%d moves and %d grants are too few to show anything", moves, granted)
	}
}

// TestRangeGrantMutants checks that the history finds each safeguard's removal.
func TestRangeGrantMutants(t *testing.T) {
	for name, mutate := range map[string]func(*RangeConfig){
		"authority of the former granter is not waited for": func(c *RangeConfig) { c.KeyLease.Authority = 1 },
		"limit of a call is not part of the bound":          func(c *RangeConfig) { c.KeyLease.CallTimeout, c.KeyLease.Transit = 1, 1 },
		"a granter without the store opens connections":     func(c *RangeConfig) { c.KeyLease.Dial = c.KeyLease.Authority },
		"a hold is taken to be half as long":                func(c *RangeConfig) { c.KeyLease.Drift = -0.5 },
	} {
		found := false
		for seed := int64(1); seed <= 400 && !found; seed++ {
			cfg := RangeConfig{}.withDefaults()
			mutate(&cfg)
			// The former granter of a history with a short authority goes on as long
			// as the safe one.
			h := newRangeHistory(t, seed, cfg)
			if cfg.KeyLease.Dial == cfg.KeyLease.Authority {
				h.dialAlways, h.restarts = true, 0.02
				h.cfg.KeyLease.Dial = KeyLeaseConfig{}.WithDefaults().Dial
			}
			if cfg.KeyLease.Authority == 1 {
				h.cfg.KeyLease.Authority = KeyLeaseConfig{}.WithDefaults().Authority
				h.runWithForgetfulSuccessors()
			} else {
				h.run()
			}
			found = h.broken != ""
		}
		if !found {
			t.Errorf("not found: %s", name)
		}
	}
}

// runWithForgetfulSuccessors plays granters that take earlier ones to be gone.
func (h *rangeHistory) runWithForgetfulSuccessors() {
	for ; h.now < historyEnd && h.broken == ""; h.now += historyStep {
		h.faults()
		for i, x := range h.hosts {
			before := x.granter
			h.act(i, x)
			if x.granter != nil && x.granter != before {
				for _, r := range x.granter.runs {
					r.holding = Holding{}
				}
			}
		}
		h.deliver()
		h.check()
	}
}

// TestBackOfRuns guards against requests that are refused while keys are handed
// over between two targets that answer: the end of the former hold is seconds
// away, the hand-over takes a fraction of one.
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
	// Without an answer for a while, the end of the former hold is what counts.
	later := now + cfg.Failing + 10*time.Millisecond
	g.changed = true
	if view, _ = g.View(later); view[1].GrantableInMS < 1000 {
		t.Fatalf("hand-over from a target that does not answer: %+v", view[1])
	}
}
