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
	// maxLatency is the largest recorded latency; higher ones count as this one.
	maxLatency = 60 * time.Second
	// slowResponse is the latency above which a shard counts as unavailable while
	// the request waited.
	slowResponse = 500 * time.Millisecond
	// maxRequestGap is the largest mean time between the requests for a shard at
	// which its unavailable time can be determined.
	maxRequestGap = 250 * time.Millisecond
	// domainMoveTime is how long after the end of a domain step requests still
	// count for the domain service figure.
	domainMoveTime = 5 * time.Second
	// affectedWindow is how long before a fault an execution on the target makes
	// its shard count as affected.
	affectedWindow = 10 * time.Second
)

// probeKey returns a key that hashes to a shard.
func probeKey(w WorkloadPlan, shard int32) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("probe-%d-%d", shard, n)
		if int32(xxhash.Sum64String(key)%uint64(w.Shards)) == shard {
			return key
		}
	}
}

// disruptiveActions are the actions that can make shards unavailable.
var disruptiveActions = []Action{ActKillTarget, ActFreezeTarget, ActCutTarget, ActSilenceConnections, ActLoseAnswers, ActLeaveTarget, ActPauseEntry,
	ActKillEntry, ActStopEntry, ActDomainOut, ActCutDomain, ActCutDomainOneWay, ActLogDown, ActLogSilent}

// measuresAvailability reports whether the scenario can make shards unavailable.
func (s Scenario) measuresAvailability() bool { return s.has(disruptiveActions...) }

// disruptsEntries reports whether the scenario pauses, kills or stops entry
// hosts. Only the router knows which shards that affects, so all count as
// affected.
func (s Scenario) disruptsEntries() bool { return s.has(ActPauseEntry, ActKillEntry, ActStopEntry) }

// result collects the evidence, checks it and computes the measurements.
func (r *scenarioRun) result(policy Policy) (Result, error) {
	records, err := r.cluster.readTargetRecords()
	if err != nil {
		return Result{}, err
	}
	e := &r.evidence
	e.Plan, e.Calls, e.Records, e.Steps = r.cluster.cfg.Plan, r.load.calls, records, r.steps
	e.ConfigAccepted, e.ConfigObservations = r.probe.acceptedAt, r.probe.observations
	found := Check(e)
	out := Result{
		Deployment: r.opts.Deployment, Scenario: r.opts.Scenario, Seed: r.opts.Seed, Policy: string(policy),
		Scale: r.opts.Scale, DurationS: r.opts.Duration.Seconds(), Broken: r.cluster.cfg.Break,
		Violations: found.Counts, Examples: found.Examples,
	}
	out.countOutcomes(e)
	out.Imbalance = imbalance(e, &out)
	if r.scenario.measuresAvailability() {
		out.Churn = churn(e)
		out.Unavailable = unavailable(e, r.scenario)
	}
	out.DomainService = domainService(e)
	out.ConfigInForceMS = configInForce(e)
	out.OtherCustomersP99 = othersP99(e)
	r.addCosts(&out)
	return out, nil
}

// inMeasurement reports whether a call was due after the warm-up and before the
// end of the load, so that it counts for the measurements.
func (e *Evidence) inMeasurement(c *Call) bool { return c.Due >= e.MeasureFrom && c.Due < e.End }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P99: at(99), P999: at(99.9)}
}

// countOutcomes fills in the outcome counts and latencies.
func (r *Result) countOutcomes(e *Evidence) {
	all, each := newHistogram(), map[string]*hdrhistogram.Histogram{}
	r.Workloads, r.Codes = map[string]WorkloadResult{}, map[string]int{}
	for name := range e.Plan.Workloads {
		each[name] = newHistogram()
	}
	for i := range e.Calls {
		c := &e.Calls[i]
		if !e.inMeasurement(c) {
			continue
		}
		w := r.Workloads[c.Workload]
		r.Requests++
		w.Requests++
		switch c.Outcome {
		case CallOK:
			r.OK++
			w.OK++
			recordLatency(all, c.End-c.Due)
			recordLatency(each[c.Workload], c.End-c.Due)
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
	r.Latency = summarizeLatency(all)
	for name, w := range r.Workloads {
		w.Latency = summarizeLatency(each[name])
		r.Workloads[name] = w
	}
	r.Goodput = float64(r.OK) / (e.End - e.MeasureFrom).Seconds()
}

// imbalance returns the ratio of maximum to mean requests per target, over the
// targets that no step affected, for the workload where it is largest. It also
// stores the ratio of each workload in out.
func imbalance(e *Evidence, out *Result) *float64 {
	disrupted := map[string]bool{}
	for _, s := range e.Steps {
		for _, t := range s.Targets {
			disrupted[t] = true
		}
	}
	count := map[string]int{}
	for _, r := range e.Records {
		if at := time.Duration(r.StartMono); r.Outcome == standin.RunEffect && at >= e.MeasureFrom && at < e.End {
			count[r.Target]++
		}
	}
	worst := 0.0
	for _, name := range sortedKeys(out.Workloads) {
		sum, most, n := 0, 0, 0
		for _, t := range e.Plan.Deployment.Targets {
			if t.Workload == name && !disrupted[t.Name] {
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

// churn returns the number of changes of the target that serves a shard, divided
// by the number of shards that had requests.
func churn(e *Evidence) *float64 {
	byShard := map[shardName][]TargetRecord{}
	for _, r := range e.Records {
		w := e.Plan.Workloads[r.Workload]
		if r.Outcome == standin.RunEffect && w.Keyed && time.Duration(r.StartMono) >= e.MeasureFrom {
			k := shardName{r.Workload, int32(xxhash.Sum64String(r.Key) % uint64(w.Shards))}
			byShard[k] = append(byShard[k], r)
		}
	}
	changes := 0
	for _, records := range byShard {
		sortByStart(records)
		for i := 1; i < len(records); i++ {
			if records[i].Target != records[i-1].Target && records[i].Shard == records[i-1].Shard {
				changes++
			}
		}
	}
	if len(byShard) == 0 {
		return nil
	}
	return ptr(float64(changes) / float64(len(byShard)))
}

// affectedShards returns the shards that a target served shortly before a
// disruptive step affected it.
func affectedShards(e *Evidence) map[shardName]bool {
	out := map[shardName]bool{}
	for _, r := range e.Records {
		w := e.Plan.Workloads[r.Workload]
		if r.Outcome != standin.RunEffect || !w.Keyed {
			continue
		}
		at := time.Duration(r.StartMono)
		for _, s := range e.Steps {
			if slices.Contains(disruptiveActions, s.Step.Action) && slices.Contains(s.Targets, r.Target) && at < s.At && at > s.At-affectedWindow {
				out[shardName{r.Workload, int32(xxhash.Sum64String(r.Key) % uint64(w.Shards))}] = true
			}
		}
	}
	return out
}

// unavailable returns the unavailable times of the shards that had requests
// often enough.
func unavailable(e *Evidence, s Scenario) *Unavailable {
	byShard := map[shardName][]*Call{}
	for i := range e.Calls {
		c := &e.Calls[i]
		if e.inMeasurement(c) && e.Plan.Workloads[c.Workload].Keyed && !c.Limited() {
			k := shardName{c.Workload, c.Shard}
			byShard[k] = append(byShard[k], c)
		}
	}
	affected := affectedShards(e)
	var affectedTimes, unaffectedTimes []time.Duration
	for k, calls := range byShard {
		if (e.End-e.MeasureFrom)/time.Duration(len(calls)) > maxRequestGap {
			continue
		}
		d := unserved(calls, e.End)
		if affected[k] || s.disruptsEntries() {
			affectedTimes = append(affectedTimes, d)
		} else {
			unaffectedTimes = append(unaffectedTimes, d)
		}
	}
	return &Unavailable{Affected: quantiles(affectedTimes), Unaffected: quantiles(unaffectedTimes)}
}

// unserved returns the total time for which a shard was unavailable: from when a
// failed request was due until the next successful one was due, and while a
// successful request waited longer than slowResponse.
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
		case c.End-c.Due > slowResponse:
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

// domainService returns the share of requests that succeeded while a domain was
// taken out or cut off and for domainMoveTime after, or nil without such a step.
func domainService(e *Evidence) *float64 {
	ok, all := 0, 0
	for i := range e.Calls {
		c := &e.Calls[i]
		if c.Limited() || !e.inMeasurement(c) || !slices.ContainsFunc(e.Steps, func(s AppliedStep) bool {
			return s.Domain != "" && c.Due >= s.At && (s.Until == 0 || c.Due < s.Until+domainMoveTime)
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

// configInForce returns the distribution, over the changes, of the time from the
// acceptance of a change until it was observed on the last host. For a host that
// was paused, the time is counted from the end of the pause.
func configInForce(e *Evidence) *Distribution {
	var all []time.Duration
	for n, accepted := range e.ConfigAccepted {
		next := e.End
		if n+1 < len(e.ConfigAccepted) {
			next = e.ConfigAccepted[n+1]
		}
		last := time.Duration(0)
		for _, host := range e.Plan.Entries {
			last = max(last, shownAfter(e, host.Name, n+1, accepted, next))
		}
		all = append(all, last)
	}
	return newDistribution(all)
}

// shownAfter returns the time until a change was observed on a host, or the whole
// time until the next change when it was not.
func shownAfter(e *Evidence, host string, change int, accepted, next time.Duration) time.Duration {
	from := accepted
	for _, s := range e.Steps {
		if slices.Contains(s.Entries, host) && s.At < next && s.Until > accepted {
			from = max(from, s.Until)
		}
	}
	for _, seen := range e.ConfigObservations {
		if seen.Host == host && seen.Change >= change && seen.At >= accepted {
			return max(0, seen.At-from)
		}
	}
	return max(0, next-from)
}

// othersP99 returns the p99 latency in milliseconds of the other customers while
// the last customer floods, or nil without such a step.
func othersP99(e *Evidence) *float64 {
	h := newHistogram()
	last := ""
	if n := len(e.Plan.Customers); n > 0 {
		last = e.Plan.Customers[n-1].Customer
	}
	for i := range e.Calls {
		c := &e.Calls[i]
		during := slices.ContainsFunc(e.Steps, func(s AppliedStep) bool {
			return s.Step.Action == ActFlood && c.Due >= s.At && (s.Until == 0 || c.Due < s.Until)
		})
		if during && c.Customer != last && c.Outcome == CallOK {
			recordLatency(h, c.End-c.Due)
		}
	}
	if h.TotalCount() == 0 {
		return nil
	}
	return ptr(summarizeLatency(h).P99)
}

// addCosts fills in the resource usage of the entry hosts.
func (r *scenarioRun) addCosts(out *Result) {
	if n := len(r.load.calls); n > 0 {
		out.CPUPerRequest = ptr(float64((r.loadEndUsage.cpu - r.loadStartUsage.cpu).Microseconds()) / float64(n))
	}
	idle := (r.loadStartUsage.at - r.idleUsage.at).Seconds()
	hosts := float64(r.loadStartUsage.entryCount)
	if r.cluster.cfg.Policy != PolicyBoragelock || idle <= 0 || hosts == 0 || r.loadEndUsage.memorySamples == 0 {
		return
	}
	out.Control = &Control{
		CPUPercent:      100 * (r.loadStartUsage.cpu - r.idleUsage.cpu).Seconds() / idle / hosts,
		MemoryMB:        float64(r.loadEndUsage.memory) / float64(r.loadEndUsage.memorySamples) / (1 << 20),
		PeerBytesPerSec: float64(r.loadStartUsage.peerBytes-r.idleUsage.peerBytes) / idle / hosts,
		LogBytesPerSec:  float64(r.loadStartUsage.logBytes-r.idleUsage.logBytes) / idle / hosts,
	}
}
