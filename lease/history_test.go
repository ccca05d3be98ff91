package lease

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
)

// TestMain fixes the seed and the number of the random histories, so that runs are
// reproducible and short. To run more histories:
// go test ./lease -run OneOwner -rapid.checks 3000 -rapid.seed 1
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "25", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

// faultUntil is how long faults occur; settleUntil is when all shards must be
// active again after the last fault has been repaired.
const (
	faultUntil  = 8 * time.Second
	settleUntil = 18 * time.Second
)

// A simFault is one fault or change that occurs in a history.
type simFault struct {
	at, dur         time.Duration
	kind            int
	node, other     int
	shards          int
	target, variant int
}

const faultKinds = 23

var drawFault = rapid.Custom(func(t *rapid.T) simFault {
	return simFault{
		at:      time.Duration(rapid.IntRange(500, int(faultUntil/ms)).Draw(t, "at")) * ms,
		dur:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "dur")) * ms,
		kind:    rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
		node:    rapid.IntRange(0, 4).Draw(t, "node"),
		other:   rapid.IntRange(0, 4).Draw(t, "other"),
		shards:  rapid.IntRange(1, 7).Draw(t, "shards"),
		target:  rapid.IntRange(0, 2).Draw(t, "target"),
		variant: rapid.IntRange(0, 3).Draw(t, "extra"),
	}
})

func (w *world) inject(f simFault) {
	h, t := w.hosts[f.node], w.targets[f.target]
	until := w.now + f.dur
	switch f.kind {
	case 0:
		h.pausedUntil = max(h.pausedUntil, until)
	case 1:
		t.pausedUntil = max(t.pausedUntil, until)
	case 2:
		w.crash(&h.simNode, f.dur, func() { w.start(h) })
	case 3:
		w.crash(&t.simNode, f.dur, t.reset)
	case 4:
		w.cut[pair(h.name, "log")] = until
	case 5:
		for _, x := range w.hosts {
			w.cut[pair(x.name, "log")] = until
		}
	case 6:
		w.cut[pair(h.name, w.hosts[f.other].name)] = until
	case 7:
		w.cut[pair(h.name, t.name)] = until
	case 8:
		w.isolateDomain(until)
	case 9, 10, 11:
		w.move(f)
	case 12:
		w.replaceGranters(h)
	case 13:
		w.appendOtherRecord(f)
	case 14:
		w.isolateHost(h, until)
		w.at(w.now+100*ms, func() { w.move(f) })
	case 15:
		// The host reaches its peers but gets no records from them.
		w.cut[pair(h.name, "log")], h.noPeerRecordsUntil = until, until
		w.at(w.now+100*ms, func() { w.move(f) })
	case 16:
		w.staleRestart(h, t, f)
	case 17:
		w.isolateWithTarget(h, t, f)
	case 18:
		w.loseDomain(f)
	case 19:
		w.restartWithoutLog(h, t, f)
	case 20:
		w.newMember(h, f)
	case 21:
		w.changeServeLimit(f)
	case 22:
		// The host's peers restart before it can ask them for consent.
		w.isolateWithTarget(h, t, f)
		w.at(w.now+1700*ms, func() {
			for _, x := range w.hosts[:4] {
				if x != h {
					w.crash(&x.simNode, 20*ms, func() { w.start(x) })
				}
			}
		})
	}
}

// loseLogWithConsent cuts a host off from the log, so that it gets the consent of its
// peers, and then from all but its targets.
func (w *world) loseLogWithConsent(h *simHost, until time.Duration) {
	w.cut[pair(h.name, "log")], h.noPeerRecordsUntil = until, until
	w.at(w.now+600*ms, func() { w.isolateHost(h, until) })
}

// restartWithoutLog has a target acknowledge a planned move to another granter and
// restart, while a granter without the log still has the old list.
func (w *world) restartWithoutLog(h *simHost, t *simTarget, f simFault) {
	w.loseLogWithConsent(h, w.now+3*time.Second+f.dur/4)
	w.at(w.now+1100*ms, func() {
		f.shards, f.variant, f.target = 7, 1, (f.target+1)%3
		w.move(f)
	})
	w.at(w.now+1150*ms+f.dur/10, func() { w.crash(&t.simNode, 5*ms, t.reset) })
}

// newMember replaces the list of granters while a member is without the log,
// then has a target declared lost.
func (w *world) newMember(h *simHost, f simFault) {
	w.loseLogWithConsent(h, w.now+3*time.Second+f.dur/4)
	w.at(w.now+650*ms, func() { w.replaceGranters(w.hosts[(f.node+1)%4]) })
	w.at(w.now+900*ms, func() {
		f.shards, f.variant = 7, 2
		w.move(f)
	})
}

// changeServeLimit isolates d1 while it may serve without a limit, then sets a limit
// by a record that d1 cannot read, and declares its targets lost.
func (w *world) changeServeLimit(f simFault) {
	serve := func(serveMS int64) {
		w.seq++
		w.append(fmt.Sprint("limit", w.seq), journal.KindChange, contract.Change{FromVersion: w.logState.Config.Version,
			Items: []contract.Item{{Isolation: &contract.Isolation{ServeMS: serveMS}}}})
	}
	serve(-1)
	w.at(w.now+400*ms, func() { w.isolateDomain(w.now + 3*time.Second + f.dur/4) })
	w.at(w.now+1200*ms, func() {
		serve(0)
		f.shards, f.variant, f.target = 7, 2, 2
		w.move(f)
	})
}

// loseDomain stops all of d1, in half of the variants after an operator declares it
// lost, and moves its shards to d2.
func (w *world) loseDomain(f simFault) {
	declare := func(s contract.OperatorState) {
		w.seq++
		w.append(fmt.Sprint("domain", w.seq), journal.KindChange, contract.Change{FromVersion: w.logState.Config.Version,
			Items: []contract.Item{{Domain: &contract.SetState{Name: "d1", State: s}}}})
	}
	for _, x := range w.nodes {
		if !x.up {
			return
		}
	}
	if f.variant%2 == 1 {
		declare(contract.StateLost)
		w.at(w.now+f.dur-1, func() { declare(contract.StateIn) })
	}
	for _, h := range w.hosts[:4] {
		w.crash(&h.simNode, f.dur, func() { w.start(h) })
	}
	for _, t := range w.targets[:2] {
		w.crash(&t.simNode, f.dur, t.reset)
	}
	w.at(w.now+200*ms, func() {
		f.shards, f.variant, f.target = 7, 2, 2
		w.move(f)
	})
}

// isolateWithTarget partitions a host and a target from all others, declares the
// target lost, then reconnects the host to its peers, but without records.
func (w *world) isolateWithTarget(h *simHost, t *simTarget, f simFault) {
	until := w.now + 2*time.Second + f.dur/2
	for _, x := range w.hosts {
		if x != h {
			w.cut[pair(x.name, t.name)] = until
		}
	}
	w.isolateHost(h, w.now+1800*ms)
	w.cut[pair(h.name, "log")], h.noPeerRecordsUntil = until, until
	w.at(w.now+100*ms, func() {
		f.shards, f.variant, f.target = 7, 2, (f.target+1)%3
		w.move(f)
	})
}

// isolateHost partitions a host from all but its targets.
func (w *world) isolateHost(h *simHost, until time.Duration) {
	w.cut[pair(h.name, "log")] = until
	for _, x := range w.hosts {
		w.cut[pair(h.name, x.name)] = until
	}
}

// staleRestart makes a host renew at the same time as the others, then lose the log
// shortly before a planned move whose previous owner acknowledges it and restarts.
func (w *world) staleRestart(h *simHost, t *simTarget, f simFault) {
	until := w.now + 700*ms + f.dur/4
	w.isolateHost(h, until)
	w.cut[pair(h.name, "log")] = 0
	w.at(w.now+450*ms, func() { w.cut[pair(h.name, "log")] = until })
	w.at(w.now+500*ms, func() {
		f.shards, f.variant, f.target = 7, 1, (f.target+1)%3
		w.move(f)
	})
	w.at(w.now+550*ms+f.dur/10, func() { w.crash(&t.simNode, 5*ms, t.reset) })
}

func (w *world) crash(n *simNode, down time.Duration, start func()) {
	if !n.up {
		return
	}
	n.up = false
	n.incarnationNumber++
	w.at(w.now+down, func() {
		n.up, n.pausedUntil = true, 0
		start()
	})
}

// isolateDomain partitions d1 from the log and from d2.
func (w *world) isolateDomain(until time.Duration) {
	for _, h := range w.hosts[:4] {
		w.cut[pair(h.name, "log")], w.cut[pair(h.name, "h1")] = until, until
	}
}

// move appends a move; for odd variants a second planner appends another one. Of two
// moves from the same epoch one must be refused.
func (w *world) move(f simFault) {
	reason := []ownership.Reason{ownership.ReasonLost, ownership.ReasonLeaving, ownership.ReasonLost, ownership.ReasonRebalance}[f.variant]
	for race := range 1 + f.variant%2 {
		m := ownership.Move{Reason: reason}
		for n, s := range w.logState.Table.Workloads["w"].Shards {
			if f.shards&(1<<(n%3)) != 0 && s.Owner != "" {
				to := w.targets[(f.target+race)%3].name
				m.Shards = append(m.Shards, ownership.MoveShard{ID: shardID(int32(n)), FromEpoch: s.Epoch, To: to})
			}
		}
		w.seq++
		w.append(fmt.Sprint("move", w.seq), journal.KindMove, m)
	}
}

// replaceGranters lets a host propose the running hosts as granters.
func (w *world) replaceGranters(h *simHost) {
	if !h.up || w.now < h.pausedUntil || h.domain != "d1" || h.st.Config == nil {
		return
	}
	old := h.st.Granters["d1"]
	g := journal.Granters{Domain: "d1", FromVersion: old.Version}
	for i := range 4 {
		x := w.hosts[(i+int(old.Version))%4]
		if m := (journal.Member{Host: x.name, Incarnation: x.incarnation()}); x.up && len(g.Members) < 3 &&
			!slices.ContainsFunc(old.Retiring, func(r journal.Member) bool { return keyOf(r) == keyOf(m) }) {
			g.Members = append(g.Members, m)
		}
	}
	done := h.granters["d1"].RetiredGranters(h.clock(w.now))
	for _, m := range old.Retiring {
		if !slices.Contains(done, m) {
			g.Retiring = append(g.Retiring, m)
		}
	}
	w.seq++
	id := fmt.Sprint("list", w.seq)
	w.send(h.name, "log", 0, func() { w.append(id, journal.KindGranters, g) })
}

// appendOtherRecord appends a record of another kind, or a malformed one.
func (w *world) appendOtherRecord(f simFault) {
	w.seq++
	id, key := fmt.Sprint("rec", w.seq), w.keys[f.other]
	tab := w.logState.Table.Workloads["w"]
	n, split := tab.HotKeys[key]
	switch {
	case f.variant == 0:
		serve := []int64{-1, 0, 300}[f.target]
		w.append(id, journal.KindChange, contract.Change{FromVersion: w.logState.Config.Version,
			Items: []contract.Item{{Isolation: &contract.Isolation{ServeMS: serve}}}})
	case f.variant == 1:
		w.appendRaw([]byte(`{"v":1,"id":"` + id + `","kind":"move","body":[`))
	case split:
		w.append(id, journal.KindMerge, ownership.Merge{Workload: "w", Key: key, FromEpoch: tab.Shards[n].Epoch})
	default:
		w.append(id, journal.KindSplit, ownership.Split{Workload: "w", Key: key, FromEpoch: tab.Shards[tab.HashShard(key)].Epoch})
	}
}

// repair ends all faults and keeps the list of granters up to date.
func (w *world) repair() {
	w.lossRate, w.slowRate = 0, 0
	clear(w.cut)
	for _, n := range w.nodes {
		n.pausedUntil = min(n.pausedUntil, w.now)
	}
	for at := w.now + 500*ms; at < settleUntil-3*time.Second; at += 500 * ms {
		w.at(at, func() {
			list := w.logState.Granters["d1"]
			stale := len(list.Retiring) > 0 || len(list.Members) < 3
			for _, m := range list.Members {
				stale = stale || w.nodes[m.Host].incarnation() != m.Incarnation
			}
			for _, h := range w.hosts {
				if stale && h.domain == "d1" {
					w.replaceGranters(h)
				}
			}
			if m := w.logState.Granters["d2"]; w.hosts[4].up && m.Members[0].Incarnation != w.hosts[4].incarnation() {
				w.seq++
				w.append(fmt.Sprint("list", w.seq), journal.KindGranters, journal.Granters{Domain: "d2", FromVersion: m.Version,
					Members: []journal.Member{{Host: "h1", Incarnation: w.hosts[4].incarnation()}}})
			}
		})
	}
}

// checkSettled verifies that each shard is active and held by its owner.
func (w *world) checkSettled() {
	for n, s := range w.logState.Table.Workloads["w"].Shards {
		if s.Owner == "" {
			continue
		}
		if !s.Active() {
			w.failf("shard %d still waits: %+v, granters %+v, status %+v", n, s, w.logState.Granters, w.status())
			continue
		}
		for _, t := range w.targets {
			if t.name == s.Owner && w.fencing && (!t.leased(w) || t.held[int32(n)] != s.Epoch) {
				w.failf("shard %d is not held by %s: %+v, status %+v", n, s.Owner, t, w.status())
			}
		}
	}
}

func (w *world) status() (out []string) {
	for _, h := range w.hosts {
		for _, d := range []string{"d1", "d2"} {
			out = append(out, fmt.Sprintf("%s %s next %d %+v", h.incarnation(), d, h.st.NextOffset, h.granters[d].Status(h.clock(w.now))))
		}
	}
	return out
}

func (w *world) runHistory(faults []simFault) {
	for _, f := range faults {
		w.at(f.at, func() { w.inject(f) })
	}
	w.run(faultUntil + 500*ms)
	w.repair()
	// A crashed process returns after at most 5 s.
	w.run(settleUntil)
	if w.violation == "" {
		w.checkSettled()
		w.checkStates()
	}
}

func drawWorld(t *rapid.T) (worldConfig, []simFault) {
	c := worldConfig{
		seed:       rapid.Uint64().Draw(t, "seed"),
		isolatedMS: rapid.SampledFrom([]int64{-1, -1, 0, 300}).Draw(t, "isolated"),
		lossRate:   rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss"),
		slowRate:   rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "slow"),
		fencing:    true,
	}
	return c, rapid.SliceOfN(drawFault, 1, 24).Draw(t, "faults")
}

// TestHistoryOneOwner guards against two targets that act for one key at a time.
func TestHistoryOneOwner(t *testing.T) {
	checkHistories(t, true, ownership.ProofAck)
}

// TestHistoryOneOwnerWithoutFencing does the same for targets that accept any
// command: their homes must not send for a key to two of them at a time.
func TestHistoryOneOwnerWithoutFencing(t *testing.T) {
	checkHistories(t, false, ownership.ProofLeaseExpired)
}

func checkHistories(t *testing.T, fencing bool, required ownership.Proof) {
	released, consentPeriods, histories := map[ownership.Proof]int{}, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		c, faults := drawWorld(rt)
		c.fencing = fencing
		w := newWorld(c)
		w.runHistory(faults)
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
		histories++
		consentPeriods += w.consentPeriods
		for p, n := range w.released {
			released[p] += n
		}
	})
	t.Logf("%d histories, releases %v, periods with consent %d", histories, released, consentPeriods)
	if released[required] == 0 || released[ownership.ProofLeaseExpired] == 0 || consentPeriods == 0 {
		t.Error("the histories do not cover the proofs of release and consent")
	}
}

// TestHistoryNeedsEachSafeguard checks that the histories detect the removal of each
// safeguard: without it, two targets act for one key in some history.
func TestHistoryNeedsEachSafeguard(t *testing.T) {
	for _, x := range []struct {
		name string
		// focus is the kind of every second fault, to find a violation sooner.
		focus  int
		remove func(*worldConfig)
	}{
		{"nonce", 9, func(c *worldConfig) { c.acceptsAnyNonce = true }},
		{"authority", 14, func(c *worldConfig) { c.omit.authorityLimit = true }},
		{"consent", 14, func(c *worldConfig) { c.omit.needConsent = true }},
		{"behind", 17, func(c *worldConfig) { c.omit.refuseBehind = true }},
		{"stop_renew accounting", 14, func(c *worldConfig) { c.omit.accountForOthers = true }},
		{"lost", 9, func(c *worldConfig) { c.omit.refuseLost = true }},
		{"release", 9, func(c *worldConfig) { c.omit.waitForLease = true }},
		{"stop_renew accounting without fencing", 9, func(c *worldConfig) { c.omit.accountForOthers, c.fencing = true, false }},
		{"release without fencing", 9, func(c *worldConfig) { c.omit.waitForLease, c.fencing = true, false }},
		{"promise before acknowledgement", 19, func(c *worldConfig) { c.omit.needPromise = true }},
		{"members that were not asked", 20, func(c *worldConfig) { c.omit.checkAsked = true }},
		{"limit known to the domain", 21, func(c *worldConfig) { c.omit.checkLimit = true }},
		{"later read after a member's death", 22, func(c *worldConfig) { c.omit.readAfterDeath = true }},
		{"restart", 16, func(c *worldConfig) { c.omit.readAfterRestart = true }},
	} {
		t.Run(x.name, func(t *testing.T) {
			type history struct {
				config worldConfig
				faults []simFault
			}
			draw := rapid.Custom(func(rt *rapid.T) history {
				c, f := drawWorld(rt)
				x.remove(&c)
				for i := 0; i < len(f); i += 2 {
					f[i].kind = x.focus
				}
				return history{c, f}
			})
			for seed := range mutantHistories {
				h := draw.Example(seed)
				w := newWorld(h.config)
				w.runHistory(h.faults)
				if strings.Contains(w.violation, " act") {
					t.Logf("found by history %d: %s", seed, w.violation)
					return
				}
			}
			t.Errorf("%d histories without this safeguard found nothing", mutantHistories)
		})
	}
}

const mutantHistories = 400

// TestTakeoverTime checks that a lost target's keys are served again within 2 s, even
// when the leading granter is lost at the same time.
func TestTakeoverTime(t *testing.T) {
	for _, x := range []struct {
		name       string
		withLeader bool
	}{{"target", false}, {"target and leading granter", true}} {
		t.Run(x.name, func(t *testing.T) {
			var unavailable []time.Duration
			for seed := range uint64(100) {
				w := newWorld(worldConfig{seed: seed, isolatedMS: -1, fencing: true})
				w.longPoll = true
				w.run(2*time.Second + time.Duration(w.rng.IntN(200))*ms)
				lost := w.now
				w.crash(&w.targets[0].simNode, time.Hour, func() {})
				if x.withLeader {
					w.crash(&w.hosts[0].simNode, time.Hour, func() {})
				}
				// Membership detects the loss after two failed renewals.
				w.run(w.now + 450*ms)
				w.move(simFault{shards: 5, target: 1, variant: 2})
				for w.violation == "" && w.now < lost+5*time.Second && len(w.targets[1].held) < 3 {
					w.run(w.now + ms)
				}
				unavailable = append(unavailable, w.now-lost)
			}
			slices.Sort(unavailable)
			p50, p99 := unavailable[len(unavailable)/2], unavailable[len(unavailable)*99/100]
			t.Logf("served again after %v at p50, %v at p99", p50, p99)
			if p99 > 2*time.Second {
				t.Errorf("p99 is %v", p99)
			}
		})
	}
}
