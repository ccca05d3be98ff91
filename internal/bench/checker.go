package bench

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/boragelock/boragelock/internal/standin"
)

// Run is one record of a target.
type Run = standin.Record

const (
	// lateAfter is how long a leaving target or a domain that is taken out may
	// still start new work (invariants 4 and 8).
	lateAfter = 3 * time.Second
	// lentFor is how long the lent half of a rate may be used twice when its
	// lender changes (design page, section 7).
	lentFor = 2 * time.Second
	// concurrencySlack allows for the lent half being used twice.
	concurrencySlack = 1.5
	// rateSlack allows for the time that requests spend between the limiter
	// and the target, by which they can bunch up.
	rateSlack = 1.05
	// maxExamples limits the examples kept of each kind.
	maxExamples = 5
)

// limitWindows are the windows over which a contract's rate is judged.
var limitWindows = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}

// Findings are the violations that a check found.
type Findings struct {
	Counts   map[ViolationKind]int
	Examples []string
	shown    map[ViolationKind]int
}

func newFindings() *Findings {
	return &Findings{Counts: map[ViolationKind]int{}, shown: map[ViolationKind]int{}}
}

// measured makes the count of a kind present.
func (f *Findings) measured(k ViolationKind) { f.Counts[k] += 0 }

func (f *Findings) add(k ViolationKind, n int, format string, args ...any) {
	if n == 0 {
		return
	}
	f.Counts[k] += n
	if f.shown[k] < maxExamples {
		f.shown[k]++
		f.Examples = append(f.Examples, string(k)+": "+fmt.Sprintf(format, args...))
	}
}

// Check judges the evidence. Counts of what the scenario does not exercise
// are absent.
func Check(e *Evidence) *Findings {
	f := newFindings()
	for _, k := range []ViolationKind{DualOwner, DoubleRun, FalseNotRun, LostAcknowledged, WrongAnswer, OverLimit} {
		f.measured(k)
	}
	effects := effectsByTag(e.Runs)
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

func effectsByTag(runs []Run) map[string][]Run {
	out := map[string][]Run{}
	for _, r := range runs {
		if r.Outcome == standin.RunEffect {
			out[r.Tag] = append(out[r.Tag], r)
		}
	}
	return out
}

// checkOwners finds shards and keys for which two targets acted. Ownership is
// held by shard, so runs of one hashed shard are compared. The shard of a split
// key is used again for another key after a merge, so its runs are compared by
// key. Runs of one key are compared in addition when they name different
// shards, as after a split, or none, as under a policy without shards.
func checkOwners(e *Evidence, f *Findings) {
	byShard, byKey := map[string][]Run{}, map[string][]Run{}
	for _, r := range e.Runs {
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
	for name, runs := range byShard {
		sortByStart(runs)
		checkOverlaps(name, runs, f, func(a, b Run) bool { return true })
		checkEpochs(name, runs, f)
	}
	for name, runs := range byKey {
		sortByStart(runs)
		checkOverlaps(name, runs, f, func(a, b Run) bool { return a.Shard != b.Shard || a.Epoch == 0 })
	}
}

func sortByStart(runs []Run) {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.StartMono, b.StartMono) })
}

// checkOverlaps compares each run, in order of their starts, with the run
// before it that ended last on each other target.
func checkOverlaps(name string, runs []Run, f *Findings, comparable func(a, b Run) bool) {
	latest := map[string]Run{}
	for _, r := range runs {
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

// checkEpochs finds runs that started after a run of the same or a later epoch
// had started on another target.
func checkEpochs(name string, runs []Run, f *Findings) {
	newest := Run{}
	for _, r := range runs {
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

// checkCalls compares what callers were told with what took effect.
func checkCalls(e *Evidence, effects map[string][]Run, f *Findings) {
	for i := range e.Calls {
		c := &e.Calls[i]
		done := effects[c.Tag]
		if !c.Idempotent && len(done) > 1 {
			f.add(DoubleRun, 1, "%s %s took effect %d times, on %s", c.Tag, c.Key, len(done), targetsOf(done))
		}
		if c.Outcome == CallNotRun && len(done) > 0 {
			f.add(FalseNotRun, 1, "%s via %s: code %s, took effect on %s", c.Tag, c.Entry, c.Code, targetsOf(done))
		}
		if c.Outcome == CallOK && len(done) == 0 {
			f.add(LostAcknowledged, 1, "%s via %s: success without an effect", c.Tag, c.Entry)
		}
		if fault := answerFault(c, done); fault != "" {
			f.add(WrongAnswer, 1, "%s via %s: %s", c.Tag, c.Entry, fault)
		}
	}
}

func answerFault(c *Call, done []Run) string {
	if c.AnswerFault != "" {
		return c.AnswerFault
	}
	if c.Outcome != CallOK || c.AnswerTarget == "" || len(done) == 0 {
		return ""
	}
	if !slices.ContainsFunc(done, func(r Run) bool { return r.Target == c.AnswerTarget }) {
		return "answer of " + c.AnswerTarget + ", but took effect on " + targetsOf(done)
	}
	return ""
}

func targetsOf(runs []Run) string {
	out := ""
	for _, r := range runs {
		out += " " + r.Target
	}
	return out[min(1, len(out)):]
}

// checkRates counts the admitted calls of each customer that exceed what its
// contract allows within any window.
func checkRates(e *Evidence, f *Findings) {
	admitted := map[string][]time.Duration{}
	started := startsByTag(e.Runs)
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
			allowed := int(rateSlack * (c.RatePerSecond*window.Seconds() + c.Burst + c.RatePerSecond/2*lentFor.Seconds()))
			if n := mostWithin(times, window) - allowed; n > excess {
				excess, worst = n, window
			}
		}
		f.add(OverLimit, excess, "customer %s: %d requests above what its rate allows in %s", c.Customer, excess, worst)
	}
}

// mostWithin returns the largest number of the sorted times in any window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, from := 0, 0
	for to, at := range times {
		for at-times[from] > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// startsByTag returns when each request first started to run.
func startsByTag(runs []Run) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range runs {
		at := time.Duration(r.StartMono)
		if old, ok := out[r.Tag]; r.Outcome != "" && (!ok || at < old) {
			out[r.Tag] = at
		}
	}
	return out
}

// checkConcurrency counts how far the requests of a customer that ran at once
// exceeded its contract.
func checkConcurrency(e *Evidence, f *Findings) {
	type edge struct {
		at   int64
		step int
	}
	edges := map[string][]edge{}
	for _, r := range e.Runs {
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
		f.add(OverLimit, max(0, worst-allowed), "customer %s: %d requests at once, allowed %d", c.Customer, worst, allowed)
	}
}

// checkTargetLimits counts the signs that a target got more than it bears. A
// cold target that sheds counts only when its coldness was announced by a new
// incarnation.
func checkTargetLimits(e *Evidence, f *Findings) {
	announced := map[string]bool{}
	for _, r := range e.Runs {
		id := r.Target + " " + r.Incarnation
		switch r.Event {
		case standin.EventStart:
			announced[id] = true
		case standin.EventCold:
			// A cold event directly follows the start of a cold incarnation;
			// any later one came without warning.
			if r.Seq > 2 && !followsStart(e.Runs, r) {
				announced[id] = false
			}
		case standin.EventConnection, standin.EventFallOver:
			f.add(OverLimit, 1, "target %s: %s at %d", r.Target, r.Event, r.StartMono)
		case standin.EventShedCold:
			if announced[id] {
				f.add(OverLimit, 1, "target %s: request above what it bears while cold at %d", r.Target, r.StartMono)
			}
		}
	}
}

func followsStart(runs []Run, cold Run) bool {
	return slices.ContainsFunc(runs, func(r Run) bool {
		return r.Event == standin.EventStart && r.Target == cold.Target && r.Incarnation == cold.Incarnation &&
			cold.StartMono-r.StartMono < int64(time.Millisecond)
	})
}

// period is a time during which a target must not start work.
type period struct{ from, to time.Duration }

// checkLateWork counts runs that started too long after their target started
// to leave or their domain was taken out.
func checkLateWork(e *Evidence, f *Findings) {
	closed := map[string][]period{}
	measured := false
	for _, s := range e.Steps {
		if s.Step.Action != ActDomainOut && s.Step.Action != ActLeaveTarget {
			continue
		}
		measured = true
		for _, t := range s.Targets {
			closed[t] = append(closed[t], period{from: s.At + lateAfter, to: s.Until})
		}
	}
	if !measured {
		return
	}
	f.measured(LateNewWork)
	for _, r := range e.Runs {
		if r.Outcome == "" {
			continue
		}
		at := time.Duration(r.StartMono)
		for _, p := range closed[r.Target] {
			if at > p.from && (p.to == 0 || at < p.to) {
				f.add(LateNewWork, 1, "%s started %s %s after the limit", r.Target, r.Tag, at-p.from)
				break
			}
		}
	}
}

// checkCuts counts requests that were in flight on an entry host during its
// planned stop and lost their connection.
func checkCuts(e *Evidence, f *Findings) {
	for _, s := range e.Steps {
		if s.Step.Action != ActStopEntry {
			continue
		}
		f.measured(CutInFlight)
		for i := range e.Calls {
			for _, cut := range e.Calls[i].Cuts {
				if slices.Contains(s.Entries, cut.Entry) && cut.Ended >= s.At && (s.Until == 0 || cut.Ended < s.Until) {
					f.add(CutInFlight, 1, "%s was cut by %s, %s after its stop began", e.Calls[i].Tag, cut.Entry, cut.Ended-s.At)
				}
			}
		}
	}
}

// checkConfig counts hosts on which an earlier configuration followed a later
// one.
func checkConfig(e *Evidence, f *Findings) {
	if len(e.ConfigAt) == 0 {
		return
	}
	f.measured(ConfigReverted)
	highest := map[string]int{}
	for _, s := range e.Config {
		if s.Change < highest[s.Host] {
			f.add(ConfigReverted, 1, "%s showed change %d after change %d", s.Host, s.Change, highest[s.Host])
		}
		highest[s.Host] = max(highest[s.Host], s.Change)
	}
}
