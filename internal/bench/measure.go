package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/standin"
)

const (
	// maxLatency limits the recorded latencies.
	maxLatency = 60 * time.Second
	// slowAnswer is the latency above which a shard counts as not served while
	// the request waited.
	slowAnswer = 500 * time.Millisecond
	// denseGap is the mean time between the requests for a shard up to which
	// its unavailable time can be told.
	denseGap = 250 * time.Millisecond
	// moveTime is how long after a domain step its service is still counted.
	moveTime = 5 * time.Second
	// hitMemory is how long before a fault a run on the target makes its shard
	// affected.
	hitMemory = 10 * time.Second
)

// probeKey returns a key of a shard.
func probeKey(w WorkloadPlan, shard int32) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("probe-%d-%d", shard, n)
		if int32(xxhash.Sum64String(key)%uint64(w.Shards)) == shard {
			return key
		}
	}
}

// takesAway lists the actions that can leave shards without service.
var takesAway = []Action{ActKillTarget, ActFreezeTarget, ActCutTarget, ActSilenceConnections, ActLoseAnswers, ActLeaveTarget, ActPauseEntry,
	ActKillEntry, ActStopEntry, ActDomainOut, ActCutDomain, ActCutDomainOneWay, ActLogDown, ActLogSilent}

// measuresAvailability reports whether the scenario takes something away.
func (s Scenario) measuresAvailability() bool { return s.has(takesAway...) }

// hitsEntries reports whether the scenario takes entry hosts away. Which
// shards that affects is known to the router only, so all count as affected.
func (s Scenario) hitsEntries() bool { return s.has(ActPauseEntry, ActKillEntry, ActStopEntry) }

// result collects the evidence, checks it and computes the figures.
func (r *run) result(policy Policy) (Result, error) {
	runs, err := r.cluster.readRuns()
	if err != nil {
		return Result{}, err
	}
	e := &r.evidence
	e.Plan, e.Calls, e.Runs, e.Steps = r.cluster.cfg.Plan, r.load.calls, runs, r.steps
	e.ConfigAt, e.Config = r.probe.accepted, r.probe.seen
	found := Check(e)
	out := Result{
		Deployment: r.opts.Deployment, Scenario: r.opts.Scenario, Seed: r.opts.Seed, Policy: string(policy),
		Scale: r.opts.Scale, DurationS: r.opts.Duration.Seconds(), Broken: r.cluster.cfg.Break,
		Violations: found.Counts, Examples: found.Examples,
	}
	out.count(e)
	out.Imbalance = imbalance(e, &out)
	if r.scenario.measuresAvailability() {
		out.Churn = churn(e)
		out.Unavailable = unavailable(e, r.scenario)
	}
	out.DomainService = domainService(e)
	out.ConfigInForceMS = configInForce(e)
	out.OtherCustomersP99 = othersP99(e)
	r.costs(&out)
	return out, nil
}

// measured reports whether a call counts for the figures.
func (e *Evidence) measured(c *Call) bool { return c.Due >= e.MeasureFrom && c.Due < e.End }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// count fills in the outcomes and latencies.
func (r *Result) count(e *Evidence) {
	all, each := newHistogram(), map[string]*hdrhistogram.Histogram{}
	r.Workloads, r.Codes = map[string]WorkloadResult{}, map[string]int{}
	for name := range e.Plan.Workloads {
		each[name] = newHistogram()
	}
	for i := range e.Calls {
		c := &e.Calls[i]
		if !e.measured(c) {
			continue
		}
		w := r.Workloads[c.Workload]
		r.Requests++
		w.Requests++
		switch c.Outcome {
		case CallOK:
			r.OK++
			w.OK++
			record(all, c.End-c.Due)
			record(each[c.Workload], c.End-c.Due)
		case CallNotRun:
			r.NotRun++
		default:
			r.MayHaveRun++
		}
		if c.Outcome != CallOK {
			r.Codes[c.Code]++
			if c.Limited() {
				r.Limited++
			}
		}
		r.Workloads[c.Workload] = w
	}
	r.Latency = latency(all)
	for name, w := range r.Workloads {
		w.Latency = latency(each[name])
		r.Workloads[name] = w
	}
	r.Goodput = float64(r.OK) / (e.End - e.MeasureFrom).Seconds()
}

// imbalance returns the worst workload's maximum over mean of the requests
// that each target ran, over the targets that no step hit.
func imbalance(e *Evidence, out *Result) *float64 {
	hit := map[string]bool{}
	for _, s := range e.Steps {
		for _, t := range s.Targets {
			hit[t] = true
		}
	}
	count := map[string]int{}
	for _, r := range e.Runs {
		if at := time.Duration(r.StartMono); r.Outcome == standin.RunEffect && at >= e.MeasureFrom && at < e.End {
			count[r.Target]++
		}
	}
	worst := 0.0
	for _, name := range sortedKeys(out.Workloads) {
		sum, most, n := 0, 0, 0
		for _, t := range e.Plan.Deployment.Targets {
			if t.Workload == name && !hit[t.Name] {
				sum, most, n = sum+count[t.Name], max(most, count[t.Name]), n+1
			}
		}
		if n < 2 || sum == 0 {
			continue
		}
		value := float64(most) * float64(n) / float64(sum)
		w := out.Workloads[name]
		w.Imbalance = ptr(value)
		out.Workloads[name] = w
		worst = max(worst, value)
	}
	if worst == 0 {
		return nil
	}
	return &worst
}

// churn returns the number of changes of the acting target of a shard, divided
// by the number of shards that were seen.
func churn(e *Evidence) *float64 {
	byShard := map[shardName][]Run{}
	for _, r := range e.Runs {
		w := e.Plan.Workloads[r.Workload]
		if r.Outcome == standin.RunEffect && w.Keyed && time.Duration(r.StartMono) >= e.MeasureFrom {
			k := shardName{r.Workload, int32(xxhash.Sum64String(r.Key) % uint64(w.Shards))}
			byShard[k] = append(byShard[k], r)
		}
	}
	changes := 0
	for _, runs := range byShard {
		sortByStart(runs)
		for i := 1; i < len(runs); i++ {
			if runs[i].Target != runs[i-1].Target && runs[i].Shard == runs[i-1].Shard {
				changes++
			}
		}
	}
	if len(byShard) == 0 {
		return nil
	}
	return ptr(float64(changes) / float64(len(byShard)))
}

// affected returns the shards that ran on a target shortly before a step hit it.
func affected(e *Evidence) map[shardName]bool {
	out := map[shardName]bool{}
	for _, r := range e.Runs {
		w := e.Plan.Workloads[r.Workload]
		if r.Outcome != standin.RunEffect || !w.Keyed {
			continue
		}
		at := time.Duration(r.StartMono)
		for _, s := range e.Steps {
			if slices.Contains(takesAway, s.Step.Action) && slices.Contains(s.Targets, r.Target) && at < s.At && at > s.At-hitMemory {
				out[shardName{r.Workload, int32(xxhash.Sum64String(r.Key) % uint64(w.Shards))}] = true
			}
		}
	}
	return out
}

// unavailable returns the unavailable times of the shards that were asked for
// often enough.
func unavailable(e *Evidence, s Scenario) *Unavailable {
	byShard := map[shardName][]*Call{}
	for i := range e.Calls {
		c := &e.Calls[i]
		if e.measured(c) && e.Plan.Workloads[c.Workload].Keyed && !c.Limited() {
			k := shardName{c.Workload, c.Shard}
			byShard[k] = append(byShard[k], c)
		}
	}
	hit := affected(e)
	var yes, no []time.Duration
	for k, calls := range byShard {
		if (e.End-e.MeasureFrom)/time.Duration(len(calls)) > denseGap {
			continue
		}
		d := unserved(calls, e.End)
		if hit[k] || s.hitsEntries() {
			yes = append(yes, d)
		} else {
			no = append(no, d)
		}
	}
	return &Unavailable{Affected: quantiles(yes), Unaffected: quantiles(no)}
}

// unserved returns the total time during which a shard was not served: from a
// request that failed until the next one that succeeded was due, and while a
// request that succeeded late was waiting.
func unserved(calls []*Call, end time.Duration) time.Duration {
	slices.SortFunc(calls, func(a, b *Call) int { return cmp.Compare(a.Due, b.Due) })
	total, covered := time.Duration(0), time.Duration(0)
	for i, c := range calls {
		until := c.Due
		switch {
		case c.Outcome != CallOK:
			until = end
			for _, later := range calls[i+1:] {
				if later.Outcome == CallOK {
					until = later.Due
					break
				}
			}
		case c.End-c.Due > slowAnswer:
			until = c.End
		}
		if from := max(c.Due, covered); until > from {
			total += until - from
			covered = until
		}
	}
	return total
}

func quantiles(list []time.Duration) *Quantiles {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	at := func(q float64) float64 { return ms(list[min(len(list)-1, int(q*float64(len(list))))]) }
	return &Quantiles{P50: at(0.5), P99: at(0.99), Max: ms(list[len(list)-1])}
}

// domainService returns the share of requests that succeeded while a domain
// was out or cut off and shortly after, or nil without such a step.
func domainService(e *Evidence) *float64 {
	ok, all := 0, 0
	for i := range e.Calls {
		c := &e.Calls[i]
		if c.Limited() || !e.measured(c) || !slices.ContainsFunc(e.Steps, func(s Applied) bool {
			return s.Domain != "" && c.Due >= s.At && (s.Until == 0 || c.Due < s.Until+moveTime)
		}) {
			continue
		}
		all++
		if c.Outcome == CallOK {
			ok++
		}
	}
	if all == 0 {
		return nil
	}
	return ptr(float64(ok) / float64(all))
}

// configInForce returns the distribution over the changes of the time from the
// acceptance of a change until the last host showed it. For a host that was
// paused, the time is counted from the end of the pause.
func configInForce(e *Evidence) *Spread {
	var all []time.Duration
	for n, accepted := range e.ConfigAt {
		next := e.End
		if n+1 < len(e.ConfigAt) {
			next = e.ConfigAt[n+1]
		}
		last := time.Duration(0)
		for _, host := range e.Plan.Entries {
			last = max(last, shownAfter(e, host.Name, n+1, accepted, next))
		}
		all = append(all, last)
	}
	return newSpread(all)
}

// shownAfter returns how long a host took to show a change, or the whole time
// until the next one when it did not.
func shownAfter(e *Evidence, host string, change int, accepted, next time.Duration) time.Duration {
	from := accepted
	for _, s := range e.Steps {
		if slices.Contains(s.Entries, host) && s.At < next && s.Until > accepted {
			from = max(from, s.Until)
		}
	}
	for _, seen := range e.Config {
		if seen.Host == host && seen.Change >= change && seen.At >= accepted {
			return max(0, seen.At-from)
		}
	}
	return max(0, next-from)
}

// othersP99 returns the p99 in milliseconds of the customers that did not flood
// while another one did, or nil without such a step.
func othersP99(e *Evidence) *float64 {
	h := newHistogram()
	last := ""
	if n := len(e.Plan.Customers); n > 0 {
		last = e.Plan.Customers[n-1].Customer
	}
	for i := range e.Calls {
		c := &e.Calls[i]
		during := slices.ContainsFunc(e.Steps, func(s Applied) bool {
			return s.Step.Action == ActFlood && c.Due >= s.At && (s.Until == 0 || c.Due < s.Until)
		})
		if during && c.Customer != last && c.Outcome == CallOK {
			record(h, c.End-c.Due)
		}
	}
	if h.TotalCount() == 0 {
		return nil
	}
	return ptr(latency(h).P99)
}

// costs fills in what the entry hosts used.
func (r *run) costs(out *Result) {
	if n := len(r.load.calls); n > 0 {
		out.CPUPerRequest = ptr(float64((r.end.cpu - r.start.cpu).Microseconds()) / float64(n))
	}
	idle := (r.start.at - r.idle.at).Seconds()
	hosts := float64(r.start.entries)
	if r.cluster.cfg.Policy != PolicyBoragelock || idle <= 0 || hosts == 0 || r.end.memoryCount == 0 {
		return
	}
	out.Control = &Control{
		CPUPercent:      100 * (r.start.cpu - r.idle.cpu).Seconds() / idle / hosts,
		MemoryMB:        float64(r.end.memory) / float64(r.end.memoryCount) / (1 << 20),
		PeerBytesPerSec: float64(r.start.peer-r.idle.peer) / idle / hosts,
		LogBytesPerSec:  float64(r.start.log-r.idle.log) / idle / hosts,
	}
}
