package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/boragelock/boragelock/internal/standin"
)

// TargetRecord is one record that a target wrote.
type TargetRecord = standin.Record

const (
	// newWorkGrace is how long a leaving target, or a target of a domain that is
	// taken out, may still start new work (invariants 4 and 8).
	newWorkGrace = 3 * time.Second
	// lenderChangeOverlap is how long the lent half of a rate may be used twice
	// when its lender changes (design page, section 7).
	lenderChangeOverlap = 2 * time.Second
	// concurrencySlack allows for use of the lent half twice.
	concurrencySlack = 1.5
	// rateSlack allows for bursts that form when requests take different times
	// between the limiter and the target.
	rateSlack = 1.05
	// maxExamples limits the examples that are kept for each kind.
	maxExamples = 5
)

// limitWindows are the time windows over which a contract's rate is checked.
var limitWindows = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}

// Findings are the violations found by a check.
type Findings struct {
	Counts        map[ViolationKind]int
	Examples      []string
	exampleCounts map[ViolationKind]int
}

func newFindings() *Findings {
	return &Findings{Counts: map[ViolationKind]int{}, exampleCounts: map[ViolationKind]int{}}
}

// markChecked adds a count for a kind, so that a kind without violations is
// reported as 0.
func (f *Findings) markChecked(k ViolationKind) { f.Counts[k] += 0 }

func (f *Findings) add(k ViolationKind, n int, format string, args ...any) {
	if n == 0 {
		return
	}
	f.Counts[k] += n
	if f.exampleCounts[k] < maxExamples {
		f.exampleCounts[k]++
		f.Examples = append(f.Examples, string(k)+": "+fmt.Sprintf(format, args...))
	}
}

// Check checks the evidence for violations. Kinds that the scenario does not
// exercise have no count.
func Check(e *Evidence) *Findings {
	f := newFindings()
	for _, k := range []ViolationKind{DualOwner, DoubleRun, FalseNotRun, LostAcknowledged, WrongAnswer, OverLimit} {
		f.markChecked(k)
	}
	effects := effectsByTag(e.Records)
	checkOwners(e, f)
	checkCalls(e, effects, f)
	checkRates(e, f)
	checkConcurrency(e, f)
	checkTargetLimits(e, f)
	checkLateWork(e, f)
	checkCuts(e, f)
	checkConfig(e, f)
	return f
}

func effectsByTag(records []TargetRecord) map[string][]TargetRecord {
	out := map[string][]TargetRecord{}
	for _, r := range records {
		if r.Outcome == standin.RunEffect {
			out[r.Tag] = append(out[r.Tag], r)
		}
	}
	return out
}

// checkOwners finds shards and keys that had two owners. Ownership is per shard,
// so it compares the executions of each hashed shard. The shard of a split key
// is reused for another key after a merge, so its executions are compared by
// key. Executions of one key are also compared when they name different shards,
// as after a split, or none, as under a policy without shards.
func checkOwners(e *Evidence, f *Findings) {
	byShard, byKey := map[string][]TargetRecord{}, map[string][]TargetRecord{}
	for _, r := range e.Records {
		if r.Outcome != standin.RunEffect || !e.Plan.Workloads[r.Workload].Keyed {
			continue
		}
		key := r.Workload + " key " + r.Key
		byKey[key] = append(byKey[key], r)
		if r.Epoch > 0 {
			shard := fmt.Sprintf("%s shard %d", r.Workload, r.Shard)
			if r.Shard >= e.Plan.Workloads[r.Workload].Shards {
				shard += " key " + r.Key
			}
			byShard[shard] = append(byShard[shard], r)
		}
	}
	for name, records := range byShard {
		sortByStart(records)
		checkOverlaps(name, records, f, func(a, b TargetRecord) bool { return true })
		checkEpochs(name, records, f)
	}
	for name, records := range byKey {
		sortByStart(records)
		checkOverlaps(name, records, f, func(a, b TargetRecord) bool { return a.Shard != b.Shard || a.Epoch == 0 })
	}
}

func sortByStart(records []TargetRecord) {
	slices.SortFunc(records, func(a, b TargetRecord) int { return cmp.Compare(a.StartMono, b.StartMono) })
}

// checkOverlaps compares each execution, in order of start time, with the
// execution on each other target that started before it and ended last.
func checkOverlaps(name string, records []TargetRecord, f *Findings, comparable func(a, b TargetRecord) bool) {
	latest := map[string]TargetRecord{}
	for _, r := range records {
		for target, other := range latest {
			if target != r.Target && other.EndMono > r.StartMono && comparable(other, r) {
				f.add(DualOwner, 1, "%s: %s epoch %d ran until %d, %s epoch %d started at %d",
					name, target, other.Epoch, other.EndMono, r.Target, r.Epoch, r.StartMono)
				break
			}
		}
		if other, ok := latest[r.Target]; !ok || r.EndMono > other.EndMono {
			latest[r.Target] = r
		}
	}
}

// checkEpochs finds executions that started after an execution with the same or
// a later epoch had started on another target.
func checkEpochs(name string, records []TargetRecord, f *Findings) {
	newest := TargetRecord{}
	for _, r := range records {
		if newest.Epoch > 0 && r.Target != newest.Target && r.Epoch <= newest.Epoch {
			f.add(DualOwner, 1, "%s: %s started at epoch %d after %s had started at epoch %d",
				name, r.Target, r.Epoch, newest.Target, newest.Epoch)
			continue
		}
		if r.Epoch >= newest.Epoch {
			newest = r
		}
	}
}

// checkCalls compares the outcomes reported to callers with the effects on the
// targets.
func checkCalls(e *Evidence, effects map[string][]TargetRecord, f *Findings) {
	for i := range e.Calls {
		c := &e.Calls[i]
		executions := effects[c.Tag]
		if !c.Idempotent && len(executions) > 1 {
			f.add(DoubleRun, 1, "%s %s took effect %d times, on %s", c.Tag, c.Key, len(executions), targetsOf(executions))
		}
		if c.Outcome == CallNotRun && len(executions) > 0 {
			f.add(FalseNotRun, 1, "%s via %s: code %s, took effect on %s", c.Tag, c.Entry, c.Code, targetsOf(executions))
		}
		if c.Outcome == CallOK && len(executions) == 0 {
			f.add(LostAcknowledged, 1, "%s via %s: success response, but no effect", c.Tag, c.Entry)
		}
		if fault := responseFault(c, executions); fault != "" {
			f.add(WrongAnswer, 1, "%s via %s: %s", c.Tag, c.Entry, fault)
		}
	}
}

func responseFault(c *Call, executions []TargetRecord) string {
	if c.ResponseFault != "" {
		return c.ResponseFault
	}
	if c.Outcome != CallOK || c.ResponseTarget == "" || len(executions) == 0 {
		return ""
	}
	if !slices.ContainsFunc(executions, func(r TargetRecord) bool { return r.Target == c.ResponseTarget }) {
		return "response of " + c.ResponseTarget + ", but the request took effect on " + targetsOf(executions)
	}
	return ""
}

func targetsOf(records []TargetRecord) string {
	out := ""
	for _, r := range records {
		out += " " + r.Target
	}
	return out[min(1, len(out)):]
}

// checkRates counts the admitted calls of each customer above what its contract
// allows within any window.
func checkRates(e *Evidence, f *Findings) {
	admitted := map[string][]time.Duration{}
	started := firstStartByTag(e.Records)
	for i := range e.Calls {
		if at, ok := started[e.Calls[i].Tag]; ok {
			admitted[e.Calls[i].Customer] = append(admitted[e.Calls[i].Customer], at)
		}
	}
	for _, c := range e.Plan.Customers {
		times := admitted[c.Customer]
		slices.Sort(times)
		excess, worst := 0, time.Duration(0)
		for _, window := range limitWindows {
			allowed := int(rateSlack * (c.RatePerSecond*window.Seconds() + c.Burst + c.RatePerSecond/2*lenderChangeOverlap.Seconds()))
			if n := maxInWindow(times, window) - allowed; n > excess {
				excess, worst = n, window
			}
		}
		f.add(OverLimit, excess, "customer %s: %d requests above its rate limit within %s", c.Customer, excess, worst)
	}
}

// maxInWindow returns the largest number of the sorted times within any window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	most, from := 0, 0
	for to, at := range times {
		for at-times[from] > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// firstStartByTag returns when each request first started to run.
func firstStartByTag(records []TargetRecord) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range records {
		at := time.Duration(r.StartMono)
		if old, ok := out[r.Tag]; r.Outcome != "" && (!ok || at < old) {
			out[r.Tag] = at
		}
	}
	return out
}

// checkConcurrency counts by how many the concurrent requests of a customer
// exceeded its contract.
func checkConcurrency(e *Evidence, f *Findings) {
	type edge struct {
		at   int64
		step int
	}
	edges := map[string][]edge{}
	for _, r := range e.Records {
		if r.Outcome != "" {
			edges[r.Customer] = append(edges[r.Customer], edge{r.StartMono, 1}, edge{r.EndMono, -1})
		}
	}
	for _, c := range e.Plan.Customers {
		list := edges[c.Customer]
		slices.SortFunc(list, func(a, b edge) int {
			if a.at != b.at {
				return cmp.Compare(a.at, b.at)
			}
			return a.step - b.step
		})
		running, worst := 0, 0
		for _, x := range list {
			running += x.step
			worst = max(worst, running)
		}
		allowed := int(concurrencySlack * float64(c.Concurrency))
		f.add(OverLimit, max(0, worst-allowed), "customer %s: %d concurrent requests, limit %d", c.Customer, worst, allowed)
	}
}

// checkTargetLimits counts the events that show a target above its capacity. A
// cold target that sheds requests counts only when a new incarnation had
// announced that it is cold.
func checkTargetLimits(e *Evidence, f *Findings) {
	announced := map[string]bool{}
	for _, r := range e.Records {
		id := r.Target + " " + r.Incarnation
		switch r.Event {
		case standin.EventStart:
			announced[id] = true
		case standin.EventCold:
			// A cold event directly follows the start of a cold incarnation; any
			// later one was not announced.
			if r.Seq > 2 && !followsStart(e.Records, r) {
				announced[id] = false
			}
		case standin.EventConnection, standin.EventFallOver:
			f.add(OverLimit, 1, "target %s: %s at %d", r.Target, r.Event, r.StartMono)
		case standin.EventShedCold:
			if announced[id] {
				f.add(OverLimit, 1, "target %s: request above its capacity while cold at %d", r.Target, r.StartMono)
			}
		}
	}
}

func followsStart(records []TargetRecord, cold TargetRecord) bool {
	return slices.ContainsFunc(records, func(r TargetRecord) bool {
		return r.Event == standin.EventStart && r.Target == cold.Target && r.Incarnation == cold.Incarnation &&
			cold.StartMono-r.StartMono < int64(time.Millisecond)
	})
}

// period is a time during which a target must not start work; a zero to means
// that it has no end.
type period struct{ from, to time.Duration }

// checkLateWork counts executions that started more than newWorkGrace after
// their target started to leave or their domain was taken out.
func checkLateWork(e *Evidence, f *Findings) {
	closedPeriods := map[string][]period{}
	measured := false
	for _, s := range e.Steps {
		if s.Step.Action != ActDomainOut && s.Step.Action != ActLeaveTarget {
			continue
		}
		measured = true
		for _, t := range s.Targets {
			closedPeriods[t] = append(closedPeriods[t], period{from: s.At + newWorkGrace, to: s.Until})
		}
	}
	if !measured {
		return
	}
	f.markChecked(LateNewWork)
	for _, r := range e.Records {
		if r.Outcome == "" {
			continue
		}
		at := time.Duration(r.StartMono)
		for _, p := range closedPeriods[r.Target] {
			if at > p.from && (p.to == 0 || at < p.to) {
				f.add(LateNewWork, 1, "%s started %s %s after the limit", r.Target, r.Tag, at-p.from)
				break
			}
		}
	}
}

// checkCuts counts requests that lost their connection to an entry host during
// its planned stop.
func checkCuts(e *Evidence, f *Findings) {
	for _, s := range e.Steps {
		if s.Step.Action != ActStopEntry {
			continue
		}
		f.markChecked(CutInFlight)
		for i := range e.Calls {
			for _, cut := range e.Calls[i].Cuts {
				if slices.Contains(s.Entries, cut.Entry) && cut.Ended >= s.At && (s.Until == 0 || cut.Ended < s.Until) {
					f.add(CutInFlight, 1, "%s lost its connection to %s, %s after its stop began", e.Calls[i].Tag, cut.Entry, cut.Ended-s.At)
				}
			}
		}
	}
}

// checkConfig counts observations of an earlier configuration on a host that had
// already applied a later one.
func checkConfig(e *Evidence, f *Findings) {
	if len(e.ConfigAccepted) == 0 {
		return
	}
	f.markChecked(ConfigReverted)
	highest := map[string]int{}
	for _, s := range e.ConfigObservations {
		if s.Change < highest[s.Host] {
			f.add(ConfigReverted, 1, "%s showed change %d after change %d", s.Host, s.Change, highest[s.Host])
		}
		highest[s.Host] = max(highest[s.Host], s.Change)
	}
}
