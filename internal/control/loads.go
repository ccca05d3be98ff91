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
	// shards. The hottest keys change within minutes, but a target that has
	// become slow delays its requests until its shards have moved.
	loadInterval = time.Second
	// loadHalfLife is the half-life of the decaying counts.
	loadHalfLife = 5 * time.Second
	// minCount is the decayed count below which a shard or key is dropped.
	minCount = 0.5
	// minRequestsPerTarget is the decayed number of requests per target from
	// which on loads are used. The random error of a target's load is then 7 %,
	// below the imbalance of 10 % that starts a move.
	minRequestsPerTarget = 200
	// serviceTimeInterval is the interval at which a home checks for a large
	// change of a target's service time, which it reports at once.
	serviceTimeInterval = loadInterval / 4
	// serviceTimeJumpRatio is the ratio of two service times above which the
	// change is reported at once.
	serviceTimeJumpRatio = 2
	// slowConfirmPeriod is how long a target must be slow before its weight
	// drops.
	slowConfirmPeriod = 400 * time.Millisecond
	// serviceTimeMaxAge is how long a reported service time is used.
	serviceTimeMaxAge = 5 * loadInterval
	// slowFactor is the ratio of a target's service time to the median of its
	// workload from which on the target counts as slow. Equal targets differ by
	// less.
	slowFactor = 2.5
	// minSlowWeight is the lowest weight of a slow target. With it the target
	// keeps a few shards, whose requests show its recovery.
	minSlowWeight = 0.05
	// minSplitAge is how long a split key keeps its shard at least, so that a key
	// near the limit is not split and merged repeatedly.
	minSplitAge = 30 * time.Second
	// topKeys is the number of keys of a workload in one report.
	topKeys = 32
	// topKeysMerged is the number of keys in a leader's report for its domain.
	topKeysMerged = 128
)

// LoadReport is the load measured by one host, or by all hosts of a domain as
// reported by its leader.
type LoadReport struct {
	// From is the name of the host, or "domain/NAME".
	From string `json:"from"`
	// Counts are the requests since the last report.
	Counts hotkeys.Report `json:"counts"`
	// ServiceTimesUS holds the mean service times of targets in microseconds.
	ServiceTimesUS map[string]int64 `json:"service_us,omitempty"`
}

// loadTable holds the measured load by which the planner balances: counts of
// requests that decay with time. A count is both a measure of the rate and the
// size of its sample.
type loadTable struct {
	now     func() time.Duration
	counter *hotkeys.Counter

	mu        sync.Mutex
	decayedAt time.Duration
	shards    map[ownership.ID]float64
	keys      map[loadKey]float64
	pending   LoadReport
	// serviceTimes holds the last reported service time of each target.
	serviceTimes map[string]reportedServiceTime
	// judges compare the targets of each workload.
	judges map[string]*health.Judge
}

// reportedServiceTime is a service time and the time of its report.
type reportedServiceTime struct {
	us         int64
	reportedAt time.Duration
}

// loadKey names a key of a workload.
type loadKey struct{ workload, key string }

func newLoadTable(now func() time.Duration) *loadTable {
	return &loadTable{
		now: now, counter: hotkeys.New(hotkeys.Config{}),
		shards: map[ownership.ID]float64{}, keys: map[loadKey]float64{}, serviceTimes: map[string]reportedServiceTime{}, judges: map[string]*health.Judge{},
	}
}

// addReport adds the counts and service times of a report.
func (l *loadTable) addReport(r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay()
	if l.pending.ServiceTimesUS == nil {
		l.pending.ServiceTimesUS = map[string]int64{}
	}
	for t, us := range r.ServiceTimesUS {
		l.serviceTimes[t] = reportedServiceTime{us, l.decayedAt}
		l.pending.ServiceTimesUS[t] = us
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

// decay reduces all counts by the time since the last call; the caller holds
// l.mu.
func (l *loadTable) decay() {
	now := l.now()
	factor := math.Exp2(-float64(now-l.decayedAt) / float64(loadHalfLife))
	l.decayedAt = now
	decayCounts(l.shards, factor)
	decayCounts(l.keys, factor)
}

// decayCounts multiplies counts by a factor and drops those below minCount.
func decayCounts[K comparable](m map[K]float64, factor float64) {
	for k, v := range m {
		if v *= factor; v < minCount {
			delete(m, k)
		} else {
			m[k] = v
		}
	}
}

// takePending returns the sum of the reports added since the last call, for the
// coordinator.
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
	// Reports of the same key need not be merged: only the home counts a request,
	// so the receiver can add them up.
	slices.SortFunc(p.Keys, func(a, b hotkeys.KeyCount) int { return cmp.Compare(b.Count, a.Count) })
	out.Keys = p.Keys[:min(len(p.Keys), topKeysMerged)]
	return LoadReport{Counts: out, ServiceTimesUS: pending.ServiceTimesUS}
}

// planLoads holds the loads for one plan.
type planLoads struct {
	shards  map[ownership.ID]float64
	hotKeys []ownership.KeyLoad
	// workloadTotals holds the size of the sample of each workload.
	workloadTotals map[string]float64
}

// forPlan returns the present loads. While the views of the homes differ, some
// requests for a split key are counted under its parent shard, and the decayed
// counts still include the time before the split. So forPlan adds up the two
// shards and divides the sum by the count of the key itself.
func (l *loadTable) forPlan(t *ownership.Table) planLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay()
	out := planLoads{shards: maps.Clone(l.shards), workloadTotals: map[string]float64{}}
	for id, n := range l.shards {
		out.workloadTotals[id.Workload] += n
	}
	for k, n := range l.keys {
		out.hotKeys = append(out.hotKeys, ownership.KeyLoad{Workload: k.workload, Key: k.key, Load: n})
	}
	for name, w := range t.Workloads {
		for key, n := range w.HotKeys {
			keyShard, parentShard := ownership.ID{Workload: name, Shard: n}, ownership.ID{Workload: name, Shard: w.HashShard(key)}
			sum := out.shards[keyShard] + out.shards[parentShard]
			out.shards[keyShard] = min(l.keys[loadKey{name, key}], sum)
			out.shards[parentShard] = sum - out.shards[keyShard]
		}
	}
	slices.SortFunc(out.hotKeys, func(a, b ownership.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// slowTargetWeights returns the weights, below 1, of the slow targets of all
// workloads.
func (l *loadTable) slowTargetWeights(targets map[string]contract.Target) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	byWorkload := map[string]map[string]time.Duration{}
	for name, s := range l.serviceTimes {
		if l.now()-s.reportedAt > serviceTimeMaxAge {
			delete(l.serviceTimes, name)
			continue
		}
		w := targets[name].Workload
		if byWorkload[w] == nil {
			byWorkload[w] = map[string]time.Duration{}
		}
		byWorkload[w][name] = time.Duration(s.us) * time.Microsecond
	}
	out := map[string]float64{}
	for w, times := range byWorkload {
		maps.Copy(out, l.judge(w).SlowTargetWeights(l.now(), times))
	}
	return out
}

// judge returns the judge of a workload's targets; the caller holds l.mu.
func (l *loadTable) judge(workload string) *health.Judge {
	if l.judges[workload] == nil {
		l.judges[workload] = newJudge()
	}
	return l.judges[workload]
}

func newJudge() *health.Judge {
	j, err := health.NewJudge(health.Config{
		SlowFactor: slowFactor, ConfirmPeriod: slowConfirmPeriod, MinWeight: minSlowWeight, MinTargets: 2,
	})
	if err != nil {
		panic("invalid judge configuration: " + err.Error()) // constants of this package
	}
	return j
}

// serviceTimeJumped reports whether a service time differs by more than
// serviceTimeJumpRatio from the last reported one.
func serviceTimeJumped(now, last map[string]int64) bool {
	for t, us := range now {
		if lastUS := last[t]; lastUS > 0 && (us > serviceTimeJumpRatio*lastUS || lastUS > serviceTimeJumpRatio*us) {
			return true
		}
	}
	return false
}

// sufficientFor reports whether the sample of a workload is large enough to
// balance it. A workload without load is balanced by its numbers of shards,
// which needs no sample.
func (l planLoads) sufficientFor(workload string, targets int) bool {
	n := l.workloadTotals[workload]
	return n == 0 || n >= minRequestsPerTarget*float64(targets)
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
// domain or, on the leader, the load of its domain to the coordinator.
func (c *Control) serveLoads(ctx context.Context) error {
	tick := time.NewTicker(serviceTimeInterval)
	defer tick.Stop()
	var lastReport time.Duration
	reported := map[string]int64{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		times := c.ownServiceTimes()
		due := c.cfg.Now()-lastReport >= loadInterval
		st := c.state()
		if !due && !serviceTimeJumped(times, reported) || st == nil || st.Config == nil {
			continue
		}
		maps.Copy(reported, times)
		own := LoadReport{From: c.cfg.Self.Name, ServiceTimesUS: reported}
		if due {
			lastReport = c.cfg.Now()
			own.Counts = c.loads.counter.ReportAndReset(topKeys)
		}
		c.reportLoad(ctx, st, own)
		reported = maps.Clone(times)
	}
}

// reportLoad sends a report to the leader of the domain or, on the leader, the
// sum of the domain's reports to the coordinator.
func (c *Control) reportLoad(ctx context.Context, st *journal.State, report LoadReport) {
	if !c.leads(st) {
		c.sendLoad(ctx, st, c.cfg.Self.Domain, report)
		return
	}
	c.loads.addReport(report)
	sum := c.loads.takePending()
	sum.From = "domain/" + c.cfg.Self.Domain
	if first := c.coordinatorDomain(st); first != "" && first != c.cfg.Self.Domain {
		c.sendLoad(ctx, st, first, sum)
	}
}

// sendLoad sends a report to the leader of a domain. It does not repeat a lost
// report, since the next one follows soon.
func (c *Control) sendLoad(ctx context.Context, st *journal.State, domain string, r LoadReport) {
	members := st.Granters[domain].Members
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Peers.Call(ctx, st.EntryHosts[members[0].Host].PeerAddr, methodLoadReport, r, nil); err != nil {
		c.log.Debug("failed to report load", "domain", domain, "error", err)
	}
}

func (c *Control) handleLoadReport(_ context.Context, r LoadReport) (struct{}, error) {
	c.loads.addReport(r)
	return struct{}{}, nil
}
