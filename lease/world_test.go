package lease

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

const ms = time.Millisecond

// world simulates hosts, targets, a network and a log in one event queue.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	queue    eventQueue
	seq      int
	omit     safeguards
	hosts    []*simHost
	targets  []*simTarget
	nodes    map[string]*simNode
	cut      map[[2]string]time.Duration
	lossRate float64
	slowRate float64
	records  [][]byte
	logState *journal.State
	// violation describes the first violation of an invariant.
	violation string
	keys      []string
	fencing   bool
	// longPoll lets hosts read a record as soon as it is appended, like a log that
	// answers waiting reads. Without it they lag by up to 100 ms.
	longPoll       bool
	released       map[ownership.Proof]int
	consentPeriods int
}

// simNode is a process with its own clock that may be paused or down.
type simNode struct {
	name, domain      string
	rate              float64
	offset            time.Duration
	up                bool
	pausedUntil       time.Duration
	incarnationNumber int
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (n *simNode) incarnation() string { return fmt.Sprintf("%s#%d", n.name, n.incarnationNumber) }

type simHost struct {
	simNode
	st       *journal.State
	granters map[string]*Granter
	// readStart and readEnd describe the last complete log read.
	readStart time.Duration
	readEnd   int64
	// noPeerRecordsUntil is until when the host gets no records from peers.
	noPeerRecordsUntil time.Duration
	// homes holds what the host sends to targets without fencing.
	homes map[string]*simHome
}

// simHome sends requests to one target while it has a permit.
type simHome struct {
	until   time.Duration
	drained uint64
	// running holds, per key, when its request ends and the epoch under which it was
	// sent.
	running map[string]simRequest
}

type simRequest struct {
	ends  time.Duration
	epoch uint64
}

type simTarget struct {
	simNode
	nonces   map[string]simNonce
	version  uint64
	hasList  bool
	held     map[int32]uint64
	hot      map[string]int32
	leaseEnd time.Duration
	// draining holds, per key, until when a request continues to run.
	draining        map[string]time.Duration
	acceptsAnyNonce bool
}

type simNonce struct {
	value string
	at    time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *world) at(t time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{max(t, w.now), w.seq, fn})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == "" {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

func (w *world) failf(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// worldConfig holds the random settings of one history.
type worldConfig struct {
	seed               uint64
	isolatedMS         int64
	lossRate, slowRate float64
	fencing            bool
	omit               safeguards
	acceptsAnyNonce    bool
}

// newWorld returns a world of two domains: d1 has four hosts, three of them granters,
// and two targets; d2 has one of each.
func newWorld(c worldConfig) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(c.seed, 1)), nodes: map[string]*simNode{}, cut: map[[2]string]time.Duration{},
		lossRate: c.lossRate, slowRate: c.slowRate, omit: c.omit, fencing: c.fencing, logState: journal.NewState(), released: map[ownership.Proof]int{},
	}
	for _, name := range []string{"g1", "g2", "g3", "g4", "h1"} {
		h := &simHost{simNode: w.node(name, "d1")}
		if name == "h1" {
			h.domain = "d2"
		}
		w.hosts = append(w.hosts, h)
		w.nodes[name] = &h.simNode
	}
	d := contract.Deployment{
		Name: "sim", IsolatedServeMS: c.isolatedMS, Domains: []contract.Domain{{Name: "d1"}, {Name: "d2"}},
		Workloads: []contract.Workload{{Name: "w", Keyed: true, Shards: 3, Fencing: c.fencing}},
	}
	for i, name := range []string{"a", "b", "c"} {
		t := &simTarget{simNode: w.node(name, "d1"), acceptsAnyNonce: c.acceptsAnyNonce}
		if name == "c" {
			t.domain = "d2"
		}
		t.reset()
		w.targets = append(w.targets, t)
		w.nodes[name] = &t.simNode
		d.Targets = append(d.Targets, contract.Target{Name: name, Workload: "w", Domain: t.domain, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 1, MaxConnections: 1})
	}
	w.append("boot", journal.KindBootstrap, d)
	for domain, hosts := range map[string][]string{"d1": {"g1", "g2", "g3"}, "d2": {"h1"}} {
		g := journal.Granters{Domain: domain}
		for _, h := range hosts {
			g.Members = append(g.Members, journal.Member{Host: h, Incarnation: w.nodes[h].incarnation()})
		}
		w.append("list-"+domain, journal.KindGranters, g)
	}
	m := ownership.Move{Reason: ownership.ReasonInitial}
	for n := range int32(3) {
		m.Shards = append(m.Shards, ownership.MoveShard{ID: shardID(n), To: []string{"a", "b", "a"}[n]})
	}
	w.append("init", journal.KindMove, m)
	for i := 0; len(w.keys) < 6; i++ {
		w.keys = append(w.keys, fmt.Sprint("key", i))
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func shardID(n int32) ownership.ID { return ownership.ID{Workload: "w", Shard: n} }

// node returns a process whose clock differs from any other by at most the
// rate bound.
func (w *world) node(name, domain string) simNode {
	return simNode{name: name, domain: domain, up: true, incarnationNumber: 1,
		rate: 1 + (w.rng.Float64()-0.5)*0.00099, offset: time.Duration(w.rng.IntN(1000)) * time.Second}
}

// append adds a record to the log and applies it to logState.
func (w *world) append(id string, kind journal.Kind, body any) {
	data, err := journal.Encode(id, kind, body)
	if err != nil {
		panic(err)
	}
	w.appendRaw(data)
}

func (w *world) appendRaw(data []byte) {
	before := w.logState.Table.Clone()
	if _, err := w.logState.Apply(journal.FirstOffset+int64(len(w.records)), data); err != nil {
		panic(err)
	}
	w.records = append(w.records, data)
	for _, h := range w.hosts {
		if w.longPoll && h.up {
			w.at(w.now+ms, func() { w.receive(h.name, h.incarnationNumber, func() { w.readLog(h) }) })
		}
	}
	for name, t := range before.Workloads {
		for n, s := range t.Shards {
			if now := w.logState.Table.Workloads[name].Shards[n]; now.Epoch < s.Epoch {
				w.failf("epoch of shard %d fell from %d to %d", n, s.Epoch, now.Epoch)
			}
		}
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *world) linked(a, b string) bool { return w.now >= w.cut[pair(a, b)] }

func (w *world) delay() time.Duration {
	if w.rng.Float64() < w.slowRate {
		return time.Duration(w.rng.IntN(2500)) * ms
	}
	return time.Duration(200+w.rng.IntN(2500)) * time.Microsecond
}

// send delivers a message late, twice or never. A paused receiver gets it after the
// pause. Only the given incarnation receives it; 0 stands for any.
func (w *world) send(from, to string, incarnation int, fn func()) {
	for range 1 + w.rng.IntN(10)/9 {
		if !w.linked(from, to) || w.rng.Float64() < w.lossRate {
			continue
		}
		w.at(w.now+w.delay(), func() {
			if w.linked(from, to) {
				w.receive(to, incarnation, fn)
			}
		})
	}
}

func (w *world) receive(to string, incarnation int, fn func()) {
	n := w.nodes[to]
	switch {
	case n == nil:
		fn()
	case !n.up || (incarnation != 0 && n.incarnationNumber != incarnation):
	case w.now < n.pausedUntil:
		w.at(n.pausedUntil, func() { w.receive(to, incarnation, fn) })
	default:
		fn()
	}
}

// start starts an incarnation of a host, which reads the log from its beginning.
func (w *world) start(h *simHost) {
	h.up, h.st, h.granters, h.readStart, h.readEnd = true, journal.NewState(), map[string]*Granter{}, 0, 0
	for _, d := range []string{"d1", "d2"} {
		h.granters[d] = New(DefaultConfig(), Self{Host: h.name, Incarnation: h.incarnation(), Domain: d})
		h.granters[d].omit = w.omit
	}
	h.homes = map[string]*simHome{}
	for _, t := range w.targets {
		if t.domain == h.domain && !w.fencing {
			h.homes[t.name] = &simHome{running: map[string]simRequest{}}
			w.every(h, h.incarnationNumber, 90*ms, func() { w.askPermit(h, t.name) })
			w.every(h, h.incarnationNumber, 30*ms, func() { w.sendRequests(h, t.name) })
		}
	}
	incarnation := h.incarnationNumber
	w.every(h, incarnation, 40*ms, func() { w.step(h, Tick{}) })
	w.every(h, incarnation, 100*ms, func() { w.readLog(h) })
	w.every(h, incarnation, 110*ms, func() { w.hello(h) })
}

// every calls fn once a period while the incarnation of the host runs and is not
// paused.
func (w *world) every(h *simHost, incarnation int, period time.Duration, fn func()) {
	var again func()
	again = func() {
		if h.incarnationNumber != incarnation {
			return
		}
		if w.now >= h.pausedUntil {
			fn()
		}
		w.at(max(w.now+period, h.pausedUntil), again)
	}
	w.at(w.now+time.Duration(w.rng.Int64N(int64(period))), again)
}

// askPermit asks one of the domain's granters, at random, for a permit.
func (w *world) askPermit(h *simHost, target string) {
	list := h.st.Granters[h.domain].Members
	if h.st.Config == nil || len(list) == 0 {
		return
	}
	home, incarnation, sent := h.homes[target], h.incarnationNumber, h.clock(w.now)
	r := PermitRequest{Home: h.name, Target: target, Version: uint64(h.st.TargetVersion[target])}
	draining := false
	for k, q := range home.running {
		s := h.st.Table.Workloads["w"].Shards[h.st.Table.Workloads["w"].Locate(k)]
		draining = draining || (w.now < q.ends && (s.Owner != target || s.Epoch != q.epoch))
	}
	if !draining {
		home.drained = r.Version
	}
	r.Drained = home.drained
	w.call(h, list[w.rng.IntN(len(list))].Host, func(to *simHost) {
		ans := to.granters[h.domain].Permit(to.clock(w.now), r)
		w.send(to.name, h.name, incarnation, func() {
			if h.clock(w.now) >= home.until {
				clear(home.running)
			}
			home.until = max(home.until, sent+time.Duration(ans.PermitMS)*ms)
		})
	})
}

// sendRequests starts requests for keys that the target owns, as far as the
// host knows.
func (w *world) sendRequests(h *simHost, target string) {
	home := h.homes[target]
	if h.st.Config == nil || h.clock(w.now) >= home.until {
		return
	}
	tab := h.st.Table.Workloads["w"]
	for _, k := range w.keys {
		s := tab.Shards[tab.Locate(k)]
		if s.Owner == target && s.Active() && w.now >= home.running[k].ends {
			home.running[k] = simRequest{w.now + time.Duration(w.rng.IntN(1200))*ms, s.Epoch}
		}
	}
	w.checkOneOwner()
}

// requestRuns reports whether a request for the key runs on a target without fencing.
// Requests end with their home's permit.
func (w *world) requestRuns(t *simTarget, key string) bool {
	for _, h := range w.hosts {
		home := h.homes[t.name]
		if h.up && home != nil && h.clock(w.now) < home.until && w.now < home.running[key].ends {
			return true
		}
	}
	return false
}

func (w *world) step(h *simHost, ev Event) {
	for _, d := range []string{"d1", "d2"} {
		w.stepOne(h, d, ev)
	}
}

func (w *world) stepOne(h *simHost, domain string, ev Event) {
	for _, a := range h.granters[domain].Step(h.clock(w.now), ev) {
		w.carryOut(h, domain, a)
	}
}

func (w *world) carryOut(h *simHost, domain string, a Action) {
	incarnation := h.incarnationNumber
	reply := func(from string, ev func() Event) {
		w.send(from, h.name, incarnation, func() { w.stepOne(h, domain, ev()) })
	}
	switch a := a.(type) {
	case SendGrant:
		// The process may be paused between the decision and the check.
		w.at(w.now+time.Duration(w.rng.IntN(3))*ms, func() {
			w.receive(h.name, incarnation, func() { w.grant(h, domain, a) })
		})
	case AskConsent:
		w.call(h, a.To.Host, func(to *simHost) {
			ans := to.granters[domain].Consent(to.clock(w.now), a.Request)
			reply(to.name, func() Event { return ConsentAnswered{From: a.To, Answer: ans} })
		})
	case SendLogRegained:
		w.call(h, a.To.Host, func(to *simHost) {
			to.granters[domain].HandleLogRegained(to.clock(w.now), a.Notice)
			reply(to.name, func() Event { return LogRegainedAcked{From: a.To, Seq: a.Notice.Seq} })
		})
	case SendStopRenew:
		sent := h.clock(w.now)
		w.call(h, a.To.Host, func(to *simHost) {
			if ans, ok := to.granters[domain].StopRenew(to.clock(w.now), a.Request); ok {
				reply(to.name, func() Event { return StopRenewAnswered{From: a.To, SentAt: sent, Answer: ans} })
			}
		})
	case AppendReleased:
		w.seq++
		id := fmt.Sprint("rel", w.seq)
		w.send(h.name, "log", 0, func() {
			before := w.logState.Table.Clone()
			w.append(id, journal.KindReleased, a.Body)
			for _, s := range a.Body.Shards {
				if was, _ := before.Get(s.ID); was.UnreleasedEpoch == s.Epoch {
					w.released[a.Body.Proof]++
				}
			}
		})
	case AuthorityChanged:
		if a.To == AuthorityConsent {
			w.consentPeriods++
		}
	}
}

// call delivers a request to whatever incarnation of the host is up.
func (w *world) call(from *simHost, to string, fn func(*simHost)) {
	for _, h := range w.hosts {
		if h.name == to {
			w.send(from.name, to, 0, func() { fn(h) })
		}
	}
}

// hello exchanges observations, and lets a host without the log read the records that
// a peer has.
func (w *world) hello(h *simHost) {
	for _, other := range w.hosts {
		if other == h {
			continue
		}
		sent, from, incarnation := h.clock(w.now), h.st.NextOffset, h.incarnationNumber
		w.call(h, other.name, func(o *simHost) {
			seen := HelloAnswered{Host: o.name, Incarnation: o.incarnation(), SentAt: sent, Next: o.st.NextOffset,
				RenewalAges: o.granters[h.domain].RenewalAges(o.clock(w.now))}
			next, end, hasRead := o.st.NextOffset, o.readEnd, o.readEnd > 0
			age := o.clock(w.now) - o.readStart
			w.send(o.name, h.name, incarnation, func() {
				w.step(h, seen)
				if w.now < h.noPeerRecordsUntil {
					return
				}
				w.apply(h, max(from, h.st.NextOffset), next)
				if hasRead {
					w.complete(h, sent-DefaultConfig().stretch(age), end)
				}
			})
		})
	}
}

func (w *world) readLog(h *simHost) {
	start, incarnation := h.clock(w.now), h.incarnationNumber
	w.send(h.name, "log", 0, func() {
		end := journal.FirstOffset + int64(len(w.records))
		w.send("log", h.name, incarnation, func() {
			w.apply(h, h.st.NextOffset, end)
			w.complete(h, start, end)
		})
	})
}

func (w *world) apply(h *simHost, from, end int64) {
	for o := from; o < end; o++ {
		if _, err := h.st.Apply(o, w.records[o-journal.FirstOffset]); err != nil {
			panic(err)
		}
	}
	if end > from {
		w.step(h, StatePublished{State: h.st.Clone()})
	}
}

func (w *world) complete(h *simHost, start time.Duration, end int64) {
	if h.st.NextOffset >= end && start > h.readStart {
		h.readStart, h.readEnd = start, end
	}
	w.step(h, LogRead{Start: start, End: end})
}

func (w *world) grant(h *simHost, domain string, a SendGrant) {
	incarnation := h.incarnationNumber
	failed := func() { w.stepOne(h, domain, GrantFailed{Target: a.Target, Seq: a.Seq}) }
	if !h.granters[domain].MayRenew(h.clock(w.now), a) {
		failed()
		return
	}
	for _, t := range w.targets {
		if t.name != a.Target {
			continue
		}
		w.send(h.name, t.name, 0, func() {
			reply := t.grant(w, a.Grant)
			w.checkOneOwner()
			w.send(t.name, h.name, incarnation, func() {
				w.stepOne(h, domain, GrantAnswer{Target: a.Target, Seq: a.Seq, Reply: reply})
			})
		})
	}
	w.at(w.now+150*ms, func() { w.receive(h.name, incarnation, failed) })
}

func (t *simTarget) reset() {
	t.nonces, t.version, t.hasList = map[string]simNonce{}, 0, false
	t.held, t.hot, t.leaseEnd, t.draining = map[int32]uint64{}, map[string]int32{}, 0, map[string]time.Duration{}
}

func (t *simTarget) leased(w *world) bool { return t.up && t.clock(w.now) < t.leaseEnd }

// grant implements the rules that docs/platform.md states for targets.
func (t *simTarget) grant(w *world, g provider.Grant) provider.GrantReply {
	now := t.clock(w.now)
	rep := provider.GrantReply{Incarnation: t.incarnation(), Result: t.applyGrant(w, g, now)}
	w.seq++
	nonce := fmt.Sprint(t.incarnation(), "-", w.seq)
	t.nonces[g.Granter] = simNonce{nonce, now}
	rep.Nonce, rep.Version = nonce, t.version
	for k, ends := range t.draining {
		if t.leased(w) && w.now < ends {
			rep.Draining = append(rep.Draining, provider.ShardEpoch{Workload: "w", Shard: w.shardOf(k)})
			if n, split := w.logState.Table.Workloads["w"].HotKeys[k]; split {
				rep.Draining = append(rep.Draining, provider.ShardEpoch{Workload: "w", Shard: n})
			}
		}
	}
	return rep
}

func (t *simTarget) applyGrant(w *world, g provider.Grant, now time.Duration) provider.GrantResult {
	n, ok := t.nonces[g.Granter]
	if t.acceptsAnyNonce {
		n, ok = simNonce{g.Nonce, now}, g.Nonce != ""
	}
	end := n.at + time.Duration(g.LeaseMS)*ms
	switch {
	case !ok || n.value != g.Nonce || end <= now:
		return provider.GrantNonceRejected
	case g.Version < t.version:
		return provider.GrantStaleVersion
	case !g.HasShards && (g.Version != t.version || !t.hasList):
		return provider.GrantNeedShards
	}
	// Requests of a lease that has ended can no longer take effect.
	if !t.leased(w) {
		t.draining = map[string]time.Duration{}
	}
	old := map[string]bool{}
	for _, k := range w.keys {
		old[k] = t.leased(w) && t.holds(w, k)
	}
	t.leaseEnd, t.version = max(t.leaseEnd, end), g.Version
	if g.HasShards {
		t.hasList, t.held, t.hot = true, map[int32]uint64{}, map[string]int32{}
		for _, s := range g.Shards {
			t.held[s.Shard] = s.Epoch
		}
		for _, h := range g.HotKeys {
			t.hot[h.Key] = h.Shard
		}
	}
	for _, k := range w.keys {
		if old[k] && !t.holds(w, k) && w.rng.IntN(2) == 0 {
			t.draining[k] = w.now + time.Duration(w.rng.IntN(1500))*ms
		}
	}
	return provider.GrantAccepted
}

func (w *world) shardOf(key string) int32 { return w.logState.Table.Workloads["w"].HashShard(key) }

// holds reports whether the list covers a key.
func (t *simTarget) holds(w *world, key string) bool {
	n, split := t.hot[key]
	if !split {
		n = w.shardOf(key)
	}
	_, ok := t.held[n]
	return ok
}

// acts reports whether the target could let a request for the key take effect.
func (t *simTarget) acts(w *world, key string) bool {
	return t.leased(w) && (t.holds(w, key) || w.now < t.draining[key])
}

// checkOneOwner verifies that no two targets act for one key.
func (w *world) checkOneOwner() {
	for _, k := range w.keys {
		var acting []string
		for _, t := range w.targets {
			if t.acts(w, k) || w.requestRuns(t, k) {
				acting = append(acting, fmt.Sprintf("%s(version %d)", t.name, t.version))
			}
		}
		if len(acting) > 1 {
			w.failf("key %s of shard %d: %v act", k, w.shardOf(k), acting)
		}
	}
}

// checkStates verifies that each host's state results from the records that it read.
func (w *world) checkStates() {
	want, byNext := journal.NewState(), map[int64][]byte{}
	for i := 0; ; i++ {
		byNext[want.NextOffset], _ = json.Marshal(want)
		if i == len(w.records) {
			break
		}
		if _, err := want.Apply(want.NextOffset, w.records[i]); err != nil {
			panic(err)
		}
	}
	for _, h := range w.hosts {
		if got, _ := json.Marshal(h.st); !slices.Equal(got, byNext[h.st.NextOffset]) {
			w.failf("state of %s at %d differs from the fold", h.name, h.st.NextOffset)
		}
	}
}
