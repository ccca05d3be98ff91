package control

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/health"
	"github.com/boragelock/boragelock/hotkeys"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
)

const (
	// loadInterval is the interval at which homes report the load of their
	// shards. The hottest keys change within minutes; a target that has become
	// slow delays its requests until its shards have moved.
	loadInterval = time.Second
	// loadHalfLife is the time in which a count loses half its weight.
	loadHalfLife = 5 * time.Second
	// leastCount is the decayed count below which a shard or key is forgotten.
	leastCount = 0.5
	// leastSample is the decayed number of requests per target from which on
	// loads are believed: the random error of a target's load is then 7 %,
	// below the imbalance of 10 % that starts a move.
	leastSample = 200
	// serviceInterval is the interval at which a home looks for a change of a
	// target's service time, which it reports at once.
	serviceInterval = loadInterval / 4
	// serviceJump is the ratio of two service times from which on the change is
	// reported at once.
	serviceJump = 2
	// slowConfirm is how long a target must be slow before it gets less.
	slowConfirm = 400 * time.Millisecond
	// serviceLife is how long a reported service time counts.
	serviceLife = 5 * loadInterval
	// slowFactor is the ratio of a target's service time to the median of its
	// workload from which on it gets less: below it lie the differences between
	// equal targets.
	slowFactor = 2.5
	// leastWeight is the lowest weight of a slow target. It keeps a few shards,
	// by which its recovery is seen.
	leastWeight = 0.05
	// leastSplitAge is how long a split key keeps its shard, so that a key near
	// the limit is not split and merged in turn.
	leastSplitAge = 30 * time.Second
	// topKeys is the number of keys of a workload in one report.
	topKeys = 32
	// topKeysMerged is the number of keys that a leader passes on.
	topKeysMerged = 128
)

// LoadReport is the load that one host, or the leader of a domain for all its
// hosts, has seen.
type LoadReport struct {
	// From is the host, or "domain/NAME".
	From string `json:"from"`
	// Counts are the requests since the last report.
	Counts hotkeys.Report `json:"counts"`
	// ServiceUS is the mean service time of targets in microseconds.
	ServiceUS map[string]int64 `json:"service_us,omitempty"`
}

// loadTable holds the measured load that the planner balances by: counts of
// requests that decay with time, so that they are both a rate and the size of
// the sample behind it.
type loadTable struct {
	now     func() time.Duration
	counter *hotkeys.Counter

	mu      sync.Mutex
	at      time.Duration
	shards  map[ownership.ID]float64
	keys    map[loadKey]float64
	pending LoadReport
	// service holds the last reported service time of each target.
	service map[string]timedService
	// judges compare the targets of each workload.
	judges map[string]*health.Judge
}

// timedService is a service time and when it was reported.
type timedService struct {
	us int64
	at time.Duration
}

// loadKey names a key of a workload.
type loadKey struct{ workload, key string }

func newLoadTable(now func() time.Duration) *loadTable {
	return &loadTable{
		now: now, counter: hotkeys.New(hotkeys.Config{}),
		shards: map[ownership.ID]float64{}, keys: map[loadKey]float64{}, service: map[string]timedService{}, judges: map[string]*health.Judge{},
	}
}

// take adds the counts of a report.
func (l *loadTable) take(r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay()
	if l.pending.ServiceUS == nil {
		l.pending.ServiceUS = map[string]int64{}
	}
	for t, us := range r.ServiceUS {
		l.service[t] = timedService{us, l.at}
		l.pending.ServiceUS[t] = us
	}
	for _, s := range r.Counts.Shards {
		l.shards[s.ID] += float64(s.Count)
	}
	for _, k := range r.Counts.Keys {
		l.keys[loadKey{k.Workload, k.Key}] += float64(k.Count - k.ErrorBound)
	}
	l.pending.Counts.Shards = append(l.pending.Counts.Shards, r.Counts.Shards...)
	l.pending.Counts.Keys = append(l.pending.Counts.Keys, r.Counts.Keys...)
}

// decay lets the counts fade; l.mu is held.
func (l *loadTable) decay() {
	now := l.now()
	factor := math.Exp2(-float64(now-l.at) / float64(loadHalfLife))
	l.at = now
	fade(l.shards, factor)
	fade(l.keys, factor)
}

// fade multiplies counts and forgets those that no longer matter.
func fade[K comparable](m map[K]float64, factor float64) {
	for k, v := range m {
		if v *= factor; v < leastCount {
			delete(m, k)
		} else {
			m[k] = v
		}
	}
}

// takePending returns what has been taken since the last call, summed up, for
// the coordinator.
func (l *loadTable) takePending() LoadReport {
	l.mu.Lock()
	pending := l.pending
	l.pending = LoadReport{}
	l.mu.Unlock()
	p := pending.Counts
	shards := map[ownership.ID]uint64{}
	for _, s := range p.Shards {
		shards[s.ID] += s.Count
	}
	var out hotkeys.Report
	for id, n := range shards {
		out.Shards = append(out.Shards, hotkeys.ShardCount{ID: id, Count: n})
	}
	// A key has one home, so each report of it is for other requests.
	slices.SortFunc(p.Keys, func(a, b hotkeys.KeyCount) int { return cmp.Compare(b.Count, a.Count) })
	out.Keys = p.Keys[:min(len(p.Keys), topKeysMerged)]
	return LoadReport{Counts: out, ServiceUS: pending.ServiceUS}
}

// loads are the figures for one plan.
type loads struct {
	shards map[ownership.ID]float64
	hot    []ownership.KeyLoad
	// total is the size of the sample of each workload.
	total map[string]float64
}

// plan returns the present loads. The requests for a split key are counted
// partly under its parent's shard while the views of the homes differ, and the
// decayed counts remember the time before the split; so the two shards are
// taken together and divided by the count of the key itself.
func (l *loadTable) plan(t *ownership.Table) loads {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay()
	out := loads{shards: maps.Clone(l.shards), total: map[string]float64{}}
	for id, n := range l.shards {
		out.total[id.Workload] += n
	}
	for k, n := range l.keys {
		out.hot = append(out.hot, ownership.KeyLoad{Workload: k.workload, Key: k.key, Load: n})
	}
	for name, w := range t.Workloads {
		for key, n := range w.HotKeys {
			own, parent := ownership.ID{Workload: name, Shard: n}, ownership.ID{Workload: name, Shard: w.HashShard(key)}
			both := out.shards[own] + out.shards[parent]
			out.shards[own] = min(l.keys[loadKey{name, key}], both)
			out.shards[parent] = both - out.shards[own]
		}
	}
	slices.SortFunc(out.hot, func(a, b ownership.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// weights returns the weights below 1 of the slow targets of each workload.
func (l *loadTable) weights(targets map[string]contract.Target) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	byWorkload := map[string]map[string]time.Duration{}
	for name, s := range l.service {
		if l.now()-s.at > serviceLife {
			delete(l.service, name)
			continue
		}
		w := targets[name].Workload
		if byWorkload[w] == nil {
			byWorkload[w] = map[string]time.Duration{}
		}
		byWorkload[w][name] = time.Duration(s.us) * time.Microsecond
	}
	out := map[string]float64{}
	for w, service := range byWorkload {
		maps.Copy(out, l.judge(w).SlowTargetWeights(l.now(), service))
	}
	return out
}

// judge returns the judge of a workload's targets; l.mu is held.
func (l *loadTable) judge(workload string) *health.Judge {
	if l.judges[workload] == nil {
		l.judges[workload] = newJudge()
	}
	return l.judges[workload]
}

func newJudge() *health.Judge {
	j, err := health.NewJudge(health.Config{
		SlowFactor: slowFactor, ConfirmPeriod: slowConfirm, MinWeight: leastWeight, MinTargets: 2,
	})
	if err != nil {
		panic("settings of the judge: " + err.Error()) // constants of this package
	}
	return j
}

// jumped reports whether a service time differs much from the one that was
// reported last.
func jumped(now, last map[string]int64) bool {
	for t, us := range now {
		if was := last[t]; was > 0 && (us > serviceJump*was || was > serviceJump*us) {
			return true
		}
	}
	return false
}

// known reports whether the sample of a workload suffices to balance it by.
// Without any load the numbers of shards are balanced, which needs no sample.
func (l loads) known(workload string, targets int) bool {
	n := l.total[workload]
	return n == 0 || n >= leastSample*float64(targets)
}

// Observe counts a request that this host handles as the home of its target.
// It implements view.HotKeyObserver.
func (c *Control) Observe(workload, key string, shard int32) {
	c.loads.counter.Observe(workload, key, shard)
}

// ownServiceTimes returns the service times of the targets that this host is
// the home of, in microseconds.
func (c *Control) ownServiceTimes() map[string]int64 {
	if c.serviceTimes == nil {
		return nil
	}
	out := map[string]int64{}
	for t, d := range c.serviceTimes() {
		out[t] = d.Microseconds()
	}
	return out
}

// serveLoads reports the load of this host's targets to the leader of its
// domain, and a leader the load of its domain to the coordinator.
func (c *Control) serveLoads(ctx context.Context) error {
	tick := time.NewTicker(serviceInterval)
	defer tick.Stop()
	var last time.Duration
	service := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		times := c.ownServiceTimes()
		due := c.cfg.Now()-last >= loadInterval
		st := c.state()
		if !due && !jumped(times, service) || st == nil || st.Config == nil {
			continue
		}
		maps.Copy(service, times)
		own := LoadReport{From: c.cfg.Self.Name, ServiceUS: service}
		if due {
			last = c.cfg.Now()
			own.Counts = c.loads.counter.ReportAndReset(topKeys)
		}
		c.passOn(ctx, st, own)
		service = maps.Clone(times)
	}
}

// passOn gives a report to the leader of the domain or, on the leader itself,
// the sum of its reports to the coordinator.
func (c *Control) passOn(ctx context.Context, st *journal.State, own LoadReport) {
	if !c.leads(st) {
		c.sendLoad(ctx, st, c.cfg.Self.Domain, own)
		return
	}
	c.loads.take(own)
	sum := c.loads.takePending()
	sum.From = "domain/" + c.cfg.Self.Domain
	if first := c.coordinatorDomain(st); first != "" && first != c.cfg.Self.Domain {
		c.sendLoad(ctx, st, first, sum)
	}
}

// sendLoad sends a report to the leader of a domain. A report that is lost is
// not repeated, since the next one follows soon.
func (c *Control) sendLoad(ctx context.Context, st *journal.State, domain string, r LoadReport) {
	members := st.Granters[domain].Members
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Peers.Call(ctx, st.EntryHosts[members[0].Host].PeerAddr, methodHot, r, nil); err != nil {
		c.log.Debug("load not reported", "domain", domain, "error", err)
	}
}

func (c *Control) hotReport(_ context.Context, r LoadReport) (struct{}, error) {
	c.loads.take(r)
	return struct{}{}, nil
}
