package slots

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// requestKind is a kind of requests of a load pattern.
type requestKind struct {
	priority int
	// mean and spread are the mean of the service times and the standard deviation of their
	// logarithm. tailShare of them take tailFactor times as long.
	mean             time.Duration
	spread           float64
	objective, limit time.Duration
	share            float64
}

const (
	tailShare  = 0.03
	tailFactor = 7
	// noiseFactor is how much longer work takes in the noisy periods of a target, which last
	// noiseSpan.
	noiseFactor = 3
	noiseSpan   = 400 * time.Millisecond
	oneWayDelay = time.Millisecond
	tickPeriod  = 20 * time.Millisecond
	// minRetryAfter is the least time after which the gateway lets callers come back.
	minRetryAfter = 50 * time.Millisecond
	// targetQueueLength is the number of requests that wait at a target for each of its slots.
	targetQueueLength = 3
)

// loadPattern is a load on the targets of a workload.
type loadPattern struct {
	name  string
	kinds []requestKind
	// speeds has the speed of each target, relative to that of which the service times are.
	speeds []float64
	slots  int
	// load is the offered load over time, relative to the capacity of all targets.
	load       func(at time.Duration) float64
	noiseShare float64
	// measured is the time from which arrivals count, duration the end of arrivals.
	measured, duration time.Duration
	hosts              int
	// keys is the number of keys of a keyed workload, each of which has an owner; 0 means
	// that any target serves any request.
	keys int
	// burstKind is the kind of the requests beyond a load of burstAbove, if it is set.
	burstKind  int
	burstAbove float64
	// hidden says that callers that come back don't state the time that they have left.
	hidden bool
	// missesGoal says that the pattern misses orderGoal.
	missesGoal bool
}

// arrival is a request of a pattern.
type arrival struct {
	at     time.Duration
	kind   int
	work   float64 // seconds at speed 1 without noise
	owner  int     // index of the target, -1 if any may serve it
	counts bool
	// retries is how often the caller comes back after a refusal.
	retries int
}

// kindResult counts the requests of a kind.
type kindResult struct{ asked, inTime, late, refused, failed int }

// replayResult has the counts of each kind of a pattern.
type replayResult []kindResult

func (r replayResult) total() (t kindResult) {
	for _, k := range r {
		t.asked += k.asked
		t.inTime += k.inTime
		t.late += k.late
		t.refused += k.refused
		t.failed += k.failed
	}
	return t
}

// lateValue is what callers get of a late response, relative to one in time.
const lateValue = 0.3

func (k kindResult) value() float64 { return float64(k.inTime) + lateValue*float64(k.late) }

func (r replayResult) String() string {
	s := ""
	for i, k := range r {
		s += fmt.Sprintf(" | kind %d: %d/%d/%d/%d of %d", i, k.inTime, k.late, k.refused, k.failed, k.asked)
	}
	return s
}

func (r replayResult) add(o replayResult) replayResult {
	if r == nil {
		r = make(replayResult, len(o))
	}
	for i := range o {
		r[i].asked += o[i].asked
		r[i].inTime += o[i].inTime
		r[i].late += o[i].late
		r[i].refused += o[i].refused
		r[i].failed += o[i].failed
	}
	return r
}

// count records how a request ended.
func (r replayResult) count(p *loadPattern, a *arrival, end time.Duration, refused bool) {
	k := &r[a.kind]
	if !a.counts {
		return
	}
	k.asked++
	switch {
	case refused:
		k.refused++
	case end <= a.at+p.kinds[a.kind].objective:
		k.inTime++
	case end <= a.at+p.kinds[a.kind].limit:
		k.late++
	default:
		k.failed++
	}
}

// course is a pattern with its random choices made: what arrives, and when targets are slow.
type course struct {
	*loadPattern
	arrivals []*arrival
	noisy    [][]bool // by target and period
}

func (p *loadPattern) draw(seed uint64) *course {
	rnd := rand.New(rand.NewPCG(seed, 7))
	c := &course{loadPattern: p}
	for range p.speeds {
		var noisy []bool
		for at := time.Duration(0); at < p.duration+10*time.Second; at += noiseSpan {
			noisy = append(noisy, rnd.Float64() < p.noiseShare)
		}
		c.noisy = append(c.noisy, noisy)
	}
	owners, weights, sum := make([]int, p.keys), make([]float64, p.keys), 0.0
	for i := range owners {
		owners[i] = rnd.IntN(len(p.speeds))
		weights[i] = 1 / math.Pow(float64(i+4), 0.8)
		sum += weights[i]
	}
	capacity := 0.0
	for _, speed := range p.speeds {
		capacity += speed * float64(p.slots)
	}
	capacity *= 1 - p.noiseShare*(1-1.0/noiseFactor)
	meanWork := 0.0
	for _, k := range p.kinds {
		meanWork += k.share * k.mean.Seconds()
	}
	peak := 0.0
	for at := time.Duration(0); at < p.duration; at += 10 * time.Millisecond {
		peak = max(peak, p.load(at))
	}
	rate := peak * capacity / meanWork
	for at := time.Duration(0); at < p.duration; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		u, load := rnd.Float64()*peak, p.load(at)
		if u > load {
			continue
		}
		a := &arrival{at: at, owner: -1, counts: at >= p.measured, retries: 1 + rnd.IntN(2)}
		for x := rnd.Float64(); a.kind < len(p.kinds)-1 && x >= p.kinds[a.kind].share; a.kind++ {
			x -= p.kinds[a.kind].share
		}
		if p.burstAbove > 0 && u > p.burstAbove {
			a.kind = p.burstKind
		}
		k := p.kinds[a.kind]
		body := k.mean.Seconds() / (1 + tailShare*(tailFactor-1))
		a.work = body * math.Exp(rnd.NormFloat64()*k.spread-k.spread*k.spread/2)
		if rnd.Float64() < tailShare {
			a.work *= tailFactor
		}
		if p.keys > 0 {
			x := rnd.Float64() * sum
			key := 0
			for ; key < p.keys-1 && x >= weights[key]; key++ {
				x -= weights[key]
			}
			a.owner = owners[key]
		}
		c.arrivals = append(c.arrivals, a)
	}
	return c
}

func (c *course) slowdown(target int, at time.Duration) float64 {
	if i := int(at / noiseSpan); i < len(c.noisy[target]) && c.noisy[target][i] {
		return noiseFactor
	}
	return 1
}

// end returns when work ends that begins at a target.
func (c *course) end(target int, start time.Duration, work float64) time.Duration {
	at := start
	for {
		rate := c.speeds[target] / c.slowdown(target, at)
		next := (at/noiseSpan + 1) * noiseSpan
		if need := time.Duration(work / rate * float64(time.Second)); at+need <= next {
			return at + need
		}
		work -= rate * (next - at).Seconds()
		at = next
	}
}

// event is an event of a replay.
type event struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type timeline struct {
	events eventHeap
	count  int
}

func (t *timeline) schedule(at time.Duration, do func(time.Duration)) {
	t.count++
	heap.Push(&t.events, event{at, t.count, do})
}

func (t *timeline) run() {
	for t.events.Len() > 0 {
		e := heap.Pop(&t.events).(event)
		e.do(e.at)
	}
}

// bound places a course by one scheduler that knows the service times, loads and speeds: by
// priority, then by the time at which the objective is due, what can be in time goes to the
// target where it ends first. What cannot is served when nothing else could use the slot.
func (c *course) bound() replayResult {
	result := make(replayResult, len(c.kinds))
	var t timeline
	busy := make([]int, len(c.speeds))
	var waiting []*arrival
	// first returns the target at which a request ends first, among the free or all ones.
	first := func(now time.Duration, a *arrival, free bool) (best int, end time.Duration) {
		best = -1
		for i := range c.speeds {
			if a.owner >= 0 && a.owner != i || free && busy[i] >= c.slots {
				continue
			}
			if e := c.end(i, now, a.work); best < 0 || e < end {
				best, end = i, e
			}
		}
		return best, end
	}
	var place func(now time.Duration)
	start := func(a *arrival, target int, end time.Duration) {
		busy[target]++
		result.count(c.loadPattern, a, end, false)
		t.schedule(end, func(now time.Duration) { busy[target]--; place(now) })
	}
	place = func(now time.Duration) {
		for _, late := range []bool{false, true} {
			kept := waiting[:0]
			for _, a := range waiting {
				k := c.kinds[a.kind]
				limit := a.at + k.objective
				if late {
					limit = a.at + k.limit
				}
				target, end := first(now, a, true)
				if target >= 0 && end <= limit {
					if late {
						if _, e := first(now, a, false); e <= a.at+k.objective {
							kept = append(kept, a) // another target is free in time
							continue
						}
					}
					start(a, target, end)
					continue
				}
				if now+time.Duration(a.work/c.maxSpeed()*float64(time.Second)) > a.at+k.limit {
					result.count(c.loadPattern, a, 0, true)
					continue
				}
				kept = append(kept, a)
			}
			waiting = kept
		}
	}
	for _, a := range c.arrivals {
		t.schedule(a.at, func(now time.Duration) {
			i := sort.Search(len(waiting), func(i int) bool {
				if x, y := c.kinds[waiting[i].kind].priority, c.kinds[a.kind].priority; x != y {
					return x > y
				}
				return c.byObjective(a, waiting[i])
			})
			waiting = append(waiting, nil)
			copy(waiting[i+1:], waiting[i:])
			waiting[i] = a
			place(now)
		})
	}
	t.run()
	for _, a := range waiting {
		result.count(c.loadPattern, a, 0, true)
	}
	return result
}

func (c *course) maxSpeed() float64 {
	m := 0.0
	for _, s := range c.speeds {
		m = max(m, s)
	}
	return m
}

// byObjective orders requests by when their objective is due.
func (c *course) byObjective(a, b *arrival) bool {
	return a.at+c.kinds[a.kind].objective < b.at+c.kinds[b.kind].objective
}

// simulation replays a course with hosts that ask one coordinator, or with hosts that decide
// by themselves.
type simulation struct {
	*course
	timeline
	rnd         *rand.Rand
	result      replayResult
	coordinator *Coordinator
	schedulers  []*placement.Scheduler
	// waitingAtHost has the requests that wait at hosts without a coordinator.
	waitingAtHost []map[uint64]*attempt
	attempts      map[uint64]*attempt
	running       []int
	queued        [][]*attempt
	lastID        uint64
}

// attempt is a request as a host sees it.
type attempt struct {
	*arrival
	id              uint64
	host            int
	arrived, sentAt time.Duration
	target          int
	returns         int
	decided, ended  bool
}

// replay replays a course. With shared, the hosts ask a coordinator.
func (c *course) replay(seed uint64, shared bool) replayResult {
	s := &simulation{course: c, rnd: rand.New(rand.NewPCG(seed, 11)), result: make(replayResult, len(c.kinds)),
		attempts: map[uint64]*attempt{}, running: make([]int, len(c.speeds)), queued: make([][]*attempt, len(c.speeds))}
	var targets []placement.Target
	for i := range c.speeds {
		targets = append(targets, placement.Target{ID: targetID(i), Workload: s.pool(i), Domain: "d", Slots: c.slots, Usable: true})
	}
	if shared {
		s.coordinator = NewCoordinator(placement.Config{MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: 4096})
		s.coordinator.SetTargets(targets)
	} else {
		for range c.hosts {
			scheduler := placement.NewScheduler(placement.Config{Domain: "d"})
			scheduler.SetTargets(targets)
			s.schedulers = append(s.schedulers, scheduler)
			s.waitingAtHost = append(s.waitingAtHost, map[uint64]*attempt{})
		}
	}
	for _, a := range c.arrivals {
		s.schedule(a.at, func(now time.Duration) { s.arrive(now, &attempt{arrival: a}) })
	}
	for at := time.Duration(0); at < c.duration+10*time.Second; at += tickPeriod {
		s.schedule(at, func(now time.Duration) {
			if s.coordinator != nil {
				s.deliver(now, s.coordinator.Tick(now))
				return
			}
			for h := range s.schedulers {
				s.dispatch(now, h)
			}
		})
	}
	s.run()
	return s.result
}

func targetID(i int) string { return fmt.Sprint("t", i) }

func targetIndex(id string) (i int) {
	_, _ = fmt.Sscanf(id, "t%d", &i)
	return i
}

// pool returns the pool of a target.
func (s *simulation) pool(target int) string {
	return PoolOf("w", targetID(target), s.keys > 0)
}

// arrive handles a request that arrives at a random host.
func (s *simulation) arrive(now time.Duration, a *attempt) {
	s.lastID++
	a.id, a.host, a.arrived = s.lastID, s.rnd.IntN(s.hosts), now
	k := s.kinds[a.kind]
	r := placement.Request{Workload: s.pool(max(0, a.owner)), Route: fmt.Sprint("r", a.kind), Priority: k.priority, Deadline: a.at + k.limit,
		Objective: k.objective, ObjectiveDeadline: now + k.objective, Random: s.rnd.Float64()}
	if a.owner >= 0 {
		r.Target = targetID(a.owner)
	}
	if s.hidden {
		r.Deadline = now + k.limit
	}
	s.attempts[a.id] = a
	if a.returns > 0 {
		s.schedule(a.at+k.limit, func(now time.Duration) { s.leave(now, a) })
	}
	if s.coordinator != nil {
		s.schedule(now+oneWayDelay, func(now time.Duration) {
			s.deliver(now, s.coordinator.Ask(now, Ask{Host: fmt.Sprint(a.host), ID: a.id, Domain: "d", Request: r}))
		})
		return
	}
	d := s.schedulers[a.host].Submit(now, r)
	if d.Action == placement.Wait {
		s.waitingAtHost[a.host][d.Ticket] = a
		return
	}
	s.decided(now, a, d)
}

// deliver brings answers of the coordinator to the hosts.
func (s *simulation) deliver(now time.Duration, answers []Answer) {
	for _, x := range answers {
		a := s.attempts[x.ID]
		s.schedule(now+oneWayDelay, func(now time.Duration) { s.decided(now, a, x.Decision) })
	}
}

// dispatch takes the decisions of a host without a coordinator.
func (s *simulation) dispatch(now time.Duration, host int) {
	for _, q := range s.schedulers[host].Dispatch(now) {
		a := s.waitingAtHost[host][q.Ticket]
		delete(s.waitingAtHost[host], q.Ticket)
		s.decided(now, a, q.Decision)
	}
}

// leave ends a waiting request whose caller has left.
func (s *simulation) leave(now time.Duration, a *attempt) {
	if a.decided {
		return
	}
	a.ended = true
	s.result.count(s.loadPattern, a.arrival, math.MaxInt64, false)
	if s.coordinator != nil {
		s.schedule(now+oneWayDelay, func(now time.Duration) { s.deliver(now, s.coordinator.Withdraw(now, fmt.Sprint(a.host), a.id)) })
		return
	}
	for ticket, w := range s.waitingAtHost[a.host] {
		if w == a {
			s.schedulers[a.host].Cancel(ticket)
			delete(s.waitingAtHost[a.host], ticket)
		}
	}
}

func (s *simulation) decided(now time.Duration, a *attempt, d placement.Decision) {
	if a.ended {
		if d.Action == placement.Send && s.coordinator != nil {
			s.schedule(now+oneWayDelay, func(now time.Duration) { s.deliver(now, s.coordinator.Withdraw(now, fmt.Sprint(a.host), a.id)) })
		}
		return
	}
	a.decided = true
	deadline := a.at + s.kinds[a.kind].limit
	if d.Action == placement.Refuse {
		s.comeBack(now, a, d.RetryAfter)
		return
	}
	a.target, a.sentAt = targetIndex(d.Target), now
	s.schedule(now+oneWayDelay, func(now time.Duration) { s.reachTarget(now, a) })
	s.schedule(deadline, func(now time.Duration) { s.giveUp(now, a) })
}

// comeBack lets the caller of a refused request come back.
func (s *simulation) comeBack(now time.Duration, a *attempt, after time.Duration) {
	delete(s.attempts, a.id)
	back := now + max(after, minRetryAfter)
	if a.returns >= a.retries || back >= a.at+s.kinds[a.kind].limit {
		s.result.count(s.loadPattern, a.arrival, 0, true)
		return
	}
	s.schedule(back, func(now time.Duration) { s.arrive(now, &attempt{arrival: a.arrival, returns: a.returns + 1}) })
}

// reachTarget runs, queues or sheds a request that arrives at its target.
func (s *simulation) reachTarget(now time.Duration, a *attempt) {
	switch {
	case s.running[a.target] < s.slots:
		s.start(now, a)
	case len(s.queued[a.target]) < targetQueueLength*s.slots:
		s.queued[a.target] = append(s.queued[a.target], a)
	default:
		load := s.load(now, a.target)
		s.schedule(now+oneWayDelay, func(now time.Duration) {
			a.ended = true
			s.report(now, a, placement.Outcome{Shed: true, Load: load, ColdRemaining: -1})
			if a.returns < 3 {
				s.arrive(now, &attempt{arrival: a.arrival, returns: a.returns + 1})
				return
			}
			s.result.count(s.loadPattern, a.arrival, 0, true)
		})
	}
}

func (s *simulation) start(now time.Duration, a *attempt) {
	s.running[a.target]++
	// A target drops a request whose host has closed the connection.
	end := s.end(a.target, now, a.work)
	s.schedule(min(end, max(now, a.at+s.kinds[a.kind].limit)), func(now time.Duration) {
		load := s.load(now, a.target)
		s.running[a.target]--
		for len(s.queued[a.target]) > 0 && s.running[a.target] < s.slots {
			next := s.queued[a.target][0]
			s.queued[a.target] = s.queued[a.target][1:]
			if !next.ended {
				s.start(now, next)
			}
		}
		if now < end {
			return
		}
		s.schedule(now+oneWayDelay, func(now time.Duration) {
			if a.ended {
				return
			}
			a.ended = true
			s.result.count(s.loadPattern, a.arrival, now, false)
			s.report(now, a, placement.Outcome{ResponseTime: now - a.sentAt, Load: load, ColdRemaining: -1})
		})
	})
}

// giveUp ends a request at its deadline.
func (s *simulation) giveUp(now time.Duration, a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	s.result.count(s.loadPattern, a.arrival, math.MaxInt64, false)
	s.report(now, a, placement.Outcome{Failed: true, ColdRemaining: -1})
}

func (s *simulation) load(now time.Duration, target int) *placement.Load {
	return &placement.Load{Running: s.running[target], Waiting: len(s.queued[target]), Slots: s.slots, Slowdown: s.slowdown(target, now)}
}

// report reports an outcome to the coordinator or to the host's scheduler.
func (s *simulation) report(now time.Duration, a *attempt, o placement.Outcome) {
	delete(s.attempts, a.id)
	if s.coordinator != nil {
		s.schedule(now+oneWayDelay, func(now time.Duration) {
			s.deliver(now, s.coordinator.End(now, fmt.Sprint(a.host), a.id, o))
		})
		return
	}
	o.Route = fmt.Sprint("r", a.kind)
	s.schedulers[a.host].RecordOutcome(now, targetID(a.target), o)
	s.dispatch(now, a.host)
}
