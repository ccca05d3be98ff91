package pace

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// rule decides when a target may receive a request. The variants weighed in
// docs/design/pace.md are rules.
type rule interface {
	allows(now time.Duration, inFlight int) bool
	sent(now time.Duration)
	ended(now time.Duration, result Result, took time.Duration, running int)
}

const (
	replaySlots   = 6
	replayService = 160 * time.Millisecond
	// replayQueue is the number of requests that wait at the target before it sheds.
	replayQueue     = 6
	replayObjective = time.Second
	replayRate      = 28 // three quarters of the capacity
)

// pacerRule is the rule of this package, as the coordinator of a target uses it.
type pacerRule struct {
	p Pacer
	x Params
}

func (r *pacerRule) allows(now time.Duration, inFlight int) bool {
	return r.p.Allows(now, &r.x) && float64(inFlight) < r.p.Limit(now, r.x.Full)
}
func (r *pacerRule) sent(now time.Duration) { r.p.Sent(now, &r.x) }
func (r *pacerRule) ended(now time.Duration, result Result, _ time.Duration, running int) {
	r.p.Ended(now, &r.x, result, running)
}

// fixedRule always permits the full number.
type fixedRule struct{}

func (fixedRule) allows(_ time.Duration, inFlight int) bool               { return inFlight < replaySlots }
func (fixedRule) sent(time.Duration)                                      {}
func (fixedRule) ended(_ time.Duration, _ Result, _ time.Duration, _ int) {}

// aimdRule halves the limit after a refusal and raises it by one for each full limit of
// other responses.
type aimdRule struct{ limit float64 }

func (r *aimdRule) allows(_ time.Duration, inFlight int) bool { return float64(inFlight) < r.limit }
func (r *aimdRule) sent(time.Duration)                        {}
func (r *aimdRule) ended(_ time.Duration, result Result, _ time.Duration, _ int) {
	if result == Shed {
		r.limit = max(1, r.limit/2)
		return
	}
	r.limit = min(replaySlots, r.limit+1/r.limit)
}

// gradientRule multiplies the limit by the ratio of the usual to the current response time
// and adds one, smoothed.
type gradientRule struct{ limit float64 }

func (r *gradientRule) allows(_ time.Duration, inFlight int) bool { return float64(inFlight) < r.limit }
func (r *gradientRule) sent(time.Duration)                        {}
func (r *gradientRule) ended(_ time.Duration, _ Result, took time.Duration, _ int) {
	gradient := min(1, max(0.5, float64(replayService)/float64(max(took, time.Millisecond))))
	r.limit += 0.2 * (r.limit*gradient + 1 - r.limit)
	r.limit = min(replaySlots, max(1, r.limit))
}

// slowStartRule raises the limit by one with each good response, and falls to one.
type slowStartRule struct{ limit float64 }

func (r *slowStartRule) allows(_ time.Duration, inFlight int) bool {
	return float64(inFlight) < r.limit
}
func (r *slowStartRule) sent(time.Duration) {}
func (r *slowStartRule) ended(_ time.Duration, result Result, _ time.Duration, _ int) {
	if result == Good {
		r.limit = min(replaySlots, r.limit+1)
	} else {
		r.limit = 1
	}
}

// probeRule permits one request until a good response, then the full number.
type probeRule struct{ open bool }

func (r *probeRule) allows(_ time.Duration, inFlight int) bool {
	return inFlight < 1 || r.open && inFlight < replaySlots
}
func (r *probeRule) sent(time.Duration) {}
func (r *probeRule) ended(_ time.Duration, result Result, _ time.Duration, _ int) {
	r.open = result == Good
}

// behavior is how a target behaves at a time.
type behavior struct {
	// factor multiplies service times. With capacity, requests beyond it slow all down in
	// proportion. shedAbove is the load from which on requests are refused, failing makes
	// requests fail within a millisecond.
	factor, capacity float64
	shedAbove        int
	failing          bool
}

var usual = behavior{factor: 1}

// pattern is a load pattern; the disturbance lasts from from to until, and returns after
// every if that is set.
type pattern struct {
	name        string
	from, until time.Duration
	every       time.Duration
	rate        float64
	disturbance behavior
}

var patterns = []pattern{
	{name: "start under load", rate: replayRate},
	{name: "cold without announcement", until: 4 * time.Second, rate: replayRate, disturbance: behavior{factor: 2, capacity: 1}},
	{name: "recovered from slow", from: 5 * time.Second, until: 10 * time.Second, rate: replayRate, disturbance: behavior{factor: 6}},
	{name: "domain back, 2x load", rate: 2 * replayRate, until: 4 * time.Second, disturbance: behavior{factor: 1, shedAbove: 3}},
	{name: "fails fast", from: 5 * time.Second, until: 10 * time.Second, rate: replayRate, disturbance: behavior{factor: 1, failing: true}},
	{name: "fast, then slow", from: 1 * time.Second, until: 6 * time.Second, rate: replayRate, disturbance: behavior{factor: 5, capacity: 3}},
	{name: "slow for 0.4 s of each 2 s", until: 400 * time.Millisecond, every: 2 * time.Second, rate: replayRate, disturbance: behavior{factor: 3}},
	{name: "shed, well again", from: 5 * time.Second, until: 10 * time.Second, rate: replayRate, disturbance: behavior{factor: 1, shedAbove: 1}},
}

// figures are what a replay measured.
type figures struct {
	arrived, inTime int
	// refused counts shed and failed responses, slow those that took SlowFactor times the
	// usual time. sentDisturbed counts requests that were sent during the disturbance.
	refused, slow, sentDisturbed int
	// fullAfter is the time from the end of the disturbance until 0.9 of the usual number
	// of requests were served within a second.
	fullAfter time.Duration
}

func (f figures) String() string {
	return fmt.Sprintf("in time %4.1f %%, refused or failed %3d, slow %3d, sent meanwhile %3d, full after %.1f s",
		100*float64(f.inTime)/float64(f.arrived), f.refused, f.slow, f.sentDisturbed, f.fullAfter.Seconds())
}

type replayEvent struct {
	at       time.Duration
	order    int
	work     time.Duration // at the usual speed
	arrived  time.Duration
	sent     time.Duration
	refused  bool
	isArrive bool
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// replayTarget is a target with slots and a short queue, and a caller's queue in front.
type replayTarget struct {
	rnd      *rand.Rand
	rule     rule
	pattern  pattern
	events   replayEvents
	order    int
	waiting  []replayEvent // at the caller
	queued   []replayEvent // at the target
	running  int
	inFlight int
	served   []time.Duration
	figures
}

func (f *replayTarget) push(e replayEvent) {
	f.order++
	e.order = f.order
	heap.Push(&f.events, e)
}

func (f *replayTarget) behavior(now time.Duration) behavior {
	if f.disturbed(now) {
		return f.pattern.disturbance
	}
	return usual
}

func (f *replayTarget) disturbed(now time.Duration) bool {
	if f.pattern.every > 0 {
		now %= f.pattern.every
	}
	return now >= f.pattern.from && now < f.pattern.until
}

func (f *replayTarget) dispatch(now time.Duration) {
	for len(f.waiting) > 0 {
		e := f.waiting[0]
		if now-e.arrived > replayObjective-replayService {
			f.waiting = f.waiting[1:] // late; goes elsewhere
			continue
		}
		if !f.rule.allows(now, f.inFlight) {
			return
		}
		f.waiting = f.waiting[1:]
		f.inFlight++
		e.sent = now
		f.rule.sent(now)
		f.receive(now, e)
	}
}

func (f *replayTarget) receive(now time.Duration, e replayEvent) {
	b := f.behavior(now)
	if f.disturbed(now) {
		f.sentDisturbed++
	}
	load := f.running + len(f.queued)
	switch {
	case b.failing, b.shedAbove > 0 && load >= b.shedAbove, load >= replaySlots+replayQueue:
		e.refused, e.at = true, now+time.Millisecond
		f.push(e)
	case f.running >= replaySlots:
		f.queued = append(f.queued, e)
	default:
		f.run(now, e)
	}
}

func (f *replayTarget) run(now time.Duration, e replayEvent) {
	f.running++
	b := f.behavior(now)
	factor := b.factor
	if b.capacity > 0 {
		factor *= max(1, float64(f.running)/b.capacity)
	}
	e.at = now + time.Duration(factor*float64(e.work))
	f.push(e)
}

func (f *replayTarget) end(now time.Duration, e replayEvent) {
	f.inFlight--
	took, result := now-e.sent, Good
	running := f.running
	if !e.refused {
		f.running--
		if len(f.queued) > 0 {
			next := f.queued[0]
			f.queued = f.queued[1:]
			f.run(now, next)
		}
		f.served = append(f.served, now)
		if now-e.arrived <= replayObjective {
			f.inTime++
		}
		if took >= SlowFactor*replayService {
			result = Slow
			f.slow++
		}
	} else {
		f.refused++
		result = Shed
		if f.behavior(now).failing {
			result = Failed
		}
	}
	f.rule.ended(now, result, took, running-1)
}

const replayLength = 20 * time.Second

func (f *replayTarget) simulate() figures {
	arrive := func(now time.Duration) {
		rate := f.pattern.rate
		if now > f.pattern.until {
			rate = replayRate
		}
		f.push(replayEvent{at: now + time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), isArrive: true})
	}
	arrive(0)
	nextTick := time.Duration(0)
	for f.events[0].at < replayLength {
		for nextTick <= f.events[0].at {
			f.dispatch(nextTick)
			nextTick += 20 * time.Millisecond
		}
		e := heap.Pop(&f.events).(replayEvent)
		if e.isArrive {
			f.arrived++
			work := time.Duration((0.7 + 0.6*f.rnd.Float64()) * float64(replayService))
			f.waiting = append(f.waiting, replayEvent{arrived: e.at, work: work})
			arrive(e.at)
		} else {
			f.end(e.at, e)
		}
		f.dispatch(e.at)
	}
	f.fullAfter = f.timeToFull()
	return f.figures
}

// timeToFull returns the time from the end of the disturbance to the start of the first
// second in which 0.9 of the usual number of requests were served.
func (f *replayTarget) timeToFull() time.Duration {
	first := 0
	for begin := f.pattern.until; begin < replayLength-time.Second; begin += 100 * time.Millisecond {
		for first < len(f.served) && f.served[first] < begin {
			first++
		}
		n := 0
		for _, at := range f.served[first:] {
			if at >= begin+time.Second {
				break
			}
			n++
		}
		if float64(n) >= 0.9*replayRate {
			return begin - f.pattern.until
		}
	}
	return replayLength - f.pattern.until
}

// replayAll sums up the figures of several seeds; fullAfter is the mean.
func replayAll(p pattern, newRule func() rule) figures {
	const seeds = 20
	var sum figures
	for seed := range int64(seeds) {
		f := &replayTarget{rnd: rand.New(rand.NewSource(seed)), rule: newRule(), pattern: p}
		one := f.simulate()
		sum.arrived += one.arrived
		sum.inTime += one.inTime
		sum.refused += one.refused
		sum.slow += one.slow
		sum.sentDisturbed += one.sentDisturbed
		sum.fullAfter += one.fullAfter / seeds
	}
	sum.refused, sum.slow, sum.sentDisturbed = sum.refused/seeds, sum.slow/seeds, sum.sentDisturbed/seeds
	return sum
}

func newPacerRule() rule {
	r := &pacerRule{x: Params{Full: replaySlots, Expected: replayService, Share: 1}}
	r.p.Start(0, 0)
	return r
}

// Load patterns: those of docs/design/pace.md. Guards against a rule that leaves a target
// idle that is well, or goes on sending to one that is not.
func TestReplay(t *testing.T) {
	variants := []struct {
		name string
		new  func() rule
	}{
		{"pace", newPacerRule},
		{"fixed limit", func() rule { return fixedRule{} }},
		{"AIMD on shed", func() rule { return &aimdRule{1} }},
		{"gradient", func() rule { return &gradientRule{1} }},
		{"slow start by work", func() rule { return &slowStartRule{1} }},
		{"probe of one", func() rule { return &probeRule{} }},
	}
	for _, p := range patterns {
		for _, v := range variants {
			t.Logf("%-26s %-18s %s", p.name, v.name, replayAll(p, v.new))
		}
	}
	Convey("For each load pattern", t, func() {
		for _, p := range patterns {
			Convey(p.name, func() {
				paced, fixed := replayAll(p, newPacerRule), replayAll(p, func() rule { return fixedRule{} })
				// The target is used fully within seconds after it is well again.
				So(paced.fullAfter, ShouldBeLessThan, 3*time.Second)
				// Meanwhile it is not sent more than without the rule, and what is in time
				// does not fall by more than the ramp of a second.
				So(paced.refused, ShouldBeLessThanOrEqualTo, fixed.refused)
				So(float64(paced.inTime), ShouldBeGreaterThan, float64(fixed.inTime)-float64(fixed.arrived)*0.05)
			})
		}
	})
}
