package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// hotPattern is a load on the owner of a hot key from several hosts that do not
// know of each other's requests.
type hotPattern struct {
	hosts         int
	slots         int
	queueCapacity int // requests that may wait at the owner, which refuses others
	serviceTime   time.Duration
	// objective counts from the arrival at a host, deadline from the first arrival
	// at any host.
	objective, deadline time.Duration
	// load is the offered load relative to the owner's capacity.
	load float64
	// noiseShare is the fraction of the time in which neighbours of the owner make
	// its work take hotNoiseFactor times as long, in periods of hotNoiseSpan.
	noiseShare float64
	duration   time.Duration
}

// hotResult counts the requests of a replay.
type hotResult struct{ asked, inTime, late, refused, sends, rejected int }

// replayEvent is an event of a replay.
type replayEvent struct {
	at time.Duration
	do func(now time.Duration)
}

type replayEvents []replayEvent

func (s replayEvents) Len() int           { return len(s) }
func (s replayEvents) Less(i, j int) bool { return s[i].at < s[j].at }
func (s replayEvents) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *replayEvents) Push(x any)        { *s = append(*s, x.(replayEvent)) }
func (s *replayEvents) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// hotReplay simulates a pattern: hosts place requests by their schedulers, the owner
// runs them in the order of their arrival.
type hotReplay struct {
	hotPattern
	rnd        *rand.Rand
	events     replayEvents
	schedulers []*Scheduler
	// running and waiting are the requests at the owner.
	running  int
	waiting  []func(now time.Duration)
	slowdown float64
	// waitingAtHost holds the requests that wait at each host, by ticket.
	waitingAtHost []map[uint64]*hotRequest
	result        hotResult
}

type hotRequest struct {
	host int
	// firstArrived is the arrival at the first host, arrived the one at this host.
	firstArrived, arrived time.Duration
	sends, retries        int
}

const (
	hotOneWayDelay = time.Millisecond
	hotMaxAttempts = 3
	// hotMaxRetries is how often a caller retries after a refusal.
	hotMaxRetries       = 2
	hotNoiseFactor      = 3
	hotNoiseSpan        = 400 * time.Millisecond
	hotDispatchInterval = 20 * time.Millisecond
)

func (p hotPattern) replay(seed uint64) hotResult {
	s := &hotReplay{hotPattern: p, rnd: rand.New(rand.NewPCG(seed, 1))}
	for range p.hosts {
		scheduler := NewScheduler(Config{Domain: "d"})
		scheduler.SetTargets([]Target{{ID: "owner", Workload: "w", Domain: "d", Slots: p.slots, Usable: true}})
		s.schedulers = append(s.schedulers, scheduler)
		s.waitingAtHost = append(s.waitingAtHost, map[uint64]*hotRequest{})
	}
	rate := p.load * float64(p.slots) / p.serviceTime.Seconds() / (1 + p.noiseShare*(hotNoiseFactor-1))
	for at := time.Duration(0); at < p.duration+p.deadline; at += hotNoiseSpan {
		slowdown := 1.0
		if s.rnd.Float64() < p.noiseShare {
			slowdown = hotNoiseFactor
		}
		s.schedule(at, func(time.Duration) { s.slowdown = slowdown })
	}
	for at := time.Duration(0); at < p.duration; at += time.Duration(s.rnd.ExpFloat64() / rate * float64(time.Second)) {
		q := &hotRequest{host: s.rnd.IntN(p.hosts), firstArrived: at, arrived: at}
		s.schedule(at, func(now time.Duration) { s.result.asked++; s.place(now, q) })
	}
	for at := time.Duration(0); at < p.duration+p.deadline; at += hotDispatchInterval {
		s.schedule(at, func(now time.Duration) {
			for h := range s.schedulers {
				s.dispatch(now, h)
			}
		})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(replayEvent)
		e.do(e.at)
	}
	return s.result
}

func (s *hotReplay) schedule(at time.Duration, do func(time.Duration)) {
	heap.Push(&s.events, replayEvent{at, do})
}

func (s *hotReplay) place(now time.Duration, q *hotRequest) {
	d := s.schedulers[q.host].Submit(now, Request{Workload: "w", Route: "r", Target: "owner", Objective: s.objective,
		ObjectiveDeadline: q.arrived + s.objective, Deadline: q.firstArrived + s.deadline, Random: s.rnd.Float64()})
	if d.Action == Wait {
		s.waitingAtHost[q.host][d.Ticket] = q
		return
	}
	s.handleDecision(now, q, d)
}

func (s *hotReplay) dispatch(now time.Duration, host int) {
	for _, p := range s.schedulers[host].Dispatch(now) {
		q := s.waitingAtHost[host][p.Ticket]
		delete(s.waitingAtHost[host], p.Ticket)
		s.handleDecision(now, q, p.Decision)
	}
}

func (s *hotReplay) handleDecision(now time.Duration, q *hotRequest, d Decision) {
	if d.Action == Refuse {
		s.retryLater(now, q, d.RetryAfter)
		return
	}
	s.result.sends++
	q.sends++
	s.schedule(now+hotOneWayDelay, func(now time.Duration) { s.arriveAtOwner(now, q, now-hotOneWayDelay) })
}

// arriveAtOwner runs, queues or refuses a request that arrives at the owner.
func (s *hotReplay) arriveAtOwner(now time.Duration, q *hotRequest, sent time.Duration) {
	run := func(now time.Duration) {
		s.running++
		took := time.Duration((0.7 + 0.6*s.rnd.Float64()) * s.slowdown * float64(s.serviceTime))
		s.schedule(now+took, func(now time.Duration) {
			load := &Load{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Slowdown: s.slowdown}
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next(now)
			}
			s.schedule(now+hotOneWayDelay, func(now time.Duration) { s.handleResponse(now, q, sent, load) })
		})
	}
	switch {
	case s.running < s.slots:
		run(now)
	case len(s.waiting) < s.queueCapacity:
		s.waiting = append(s.waiting, run)
	default:
		s.result.rejected++
		load := &Load{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Slowdown: s.slowdown}
		s.schedule(now+hotOneWayDelay, func(now time.Duration) { s.handleShed(now, q, load) })
	}
}

func (s *hotReplay) handleResponse(now time.Duration, q *hotRequest, sent time.Duration, load *Load) {
	if now-q.firstArrived <= s.objective {
		s.result.inTime++
	} else {
		s.result.late++
	}
	s.schedulers[q.host].RecordOutcome(now, "owner", Outcome{Route: "r", ResponseTime: now - sent, Load: load, ColdRemaining: -1})
	s.dispatch(now, q.host)
}

func (s *hotReplay) handleShed(now time.Duration, q *hotRequest, load *Load) {
	s.schedulers[q.host].RecordOutcome(now, "owner", Outcome{Route: "r", Load: load, Shed: true, ColdRemaining: -1})
	if q.sends >= hotMaxAttempts {
		s.retryLater(now, q, 80*time.Millisecond)
		return
	}
	s.place(now, q)
}

// retryLater lets the caller retry at a random host. Callers honour the retry time, up
// to a third of the time left to their deadline.
func (s *hotReplay) retryLater(now time.Duration, q *hotRequest, after time.Duration) {
	after = min(after, (q.firstArrived+s.deadline-now)/3)
	if q.retries >= hotMaxRetries || after <= 0 {
		s.result.refused++
		return
	}
	s.schedule(now+after, func(now time.Duration) {
		s.place(now, &hotRequest{host: s.rnd.IntN(s.hosts), firstArrived: q.firstArrived, arrived: now, retries: q.retries + 1})
	})
}

// overloadedOwner returns a pattern whose load is 1.5 times the owner's capacity.
func overloadedOwner(hosts int) hotPattern {
	return hotPattern{hosts: hosts, slots: 6, queueCapacity: 24, serviceTime: 120 * time.Millisecond, objective: 400 * time.Millisecond,
		deadline: 2500 * time.Millisecond, load: 1.5, duration: 20 * time.Second}
}

// checkOverloadedOwner checks the goal for an overloaded owner: it stays busy, and at
// least half of its capacity yields responses within the objective. With unbounded
// queues, all of its responses are late.
func checkOverloadedOwner(t *testing.T, p hotPattern) {
	r := p.replay(1)
	t.Logf("%d hosts: %+v", p.hosts, r)
	capacity := float64(p.slots) * p.duration.Seconds() / p.serviceTime.Seconds()
	So(float64(r.inTime+r.late), ShouldBeGreaterThan, 0.9*capacity)
	So(float64(r.inTime), ShouldBeGreaterThan, 0.5*capacity)
	So(r.rejected, ShouldBeLessThan, r.sends/4)
}

// TestHotOwner replays the load of one hot key on its owner from eight hosts.
func TestHotOwner(t *testing.T) {
	Convey("Given the owner of a key that draws half as much again as it bears", t, func() {
		checkOverloadedOwner(t, overloadedOwner(8))
	})
	for _, hosts := range []int{8, 60} {
		for _, noise := range []float64{0, 0.2} {
			Convey(fmt.Sprintf("An owner with little to do gets all requests of %d hosts, noise %.1f", hosts, noise), t, func() {
				p := overloadedOwner(hosts)
				p.load, p.noiseShare = 0.5, noise
				r := p.replay(2)
				So(r.refused, ShouldBeLessThan, r.asked/100)
				So(r.rejected, ShouldEqual, 0)
			})
		}
	}
}

// TestFullTargetIsLeftAlone guards against hosts that retry at once at a full target,
// and against treating a target as full that refuses requests while it has free slots.
func TestFullTargetIsLeftAlone(t *testing.T) {
	backoffAfter := func(l *Load, n int) (pause time.Duration) {
		scheduler := NewScheduler(Config{Domain: "d"})
		scheduler.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 2, Usable: true}})
		now := time.Minute
		for range n {
			scheduler.RecordOutcome(now, "t", Outcome{Route: "r", Shed: true, Load: l, ColdRemaining: -1})
			pause = scheduler.targets["t"].unavailableUntil() - now
			now += pause
		}
		return pause
	}
	Convey("The pause after each refusal in a row is twice as long, up to a bound", t, func() {
		full := &Load{Running: 2, Waiting: 8, Slots: 2, Slowdown: 1}
		So(backoffAfter(full, 1), ShouldEqual, 60*time.Millisecond)
		So(backoffAfter(full, 3), ShouldEqual, 240*time.Millisecond)
		So(backoffAfter(full, 9), ShouldEqual, time.Second)
	})
	Convey("A target that refuses though it has free slots is not full: it counts as failing", t, func() {
		So(backoffAfter(&Load{Running: 1, Slots: 2, Slowdown: 1}, 5), ShouldBeLessThanOrEqualTo, 0)
		scheduler := newTestScheduler(Config{Domain: "d0"}, 2, 4)
		for range 5 {
			scheduler.RecordOutcome(time.Minute, "t0", Outcome{Route: "r", Shed: true, Load: &Load{Slots: 4, Slowdown: 1}, ColdRemaining: -1})
		}
		So(scheduler.Submit(time.Minute, newRequest(time.Minute+time.Second)).Target, ShouldEqual, "t1")
	})
	Convey("A request that is late already may wait for an owner that has work", t, func() {
		scheduler := NewScheduler(Config{Domain: "d"})
		scheduler.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 1, Usable: true}})
		now := time.Minute
		r := Request{Workload: "w", Route: "r", Target: "t", Objective: 400 * time.Millisecond, ObjectiveDeadline: now - time.Millisecond, Deadline: now + time.Second}
		So(scheduler.Submit(now, r).Action, ShouldEqual, Send)
		So(scheduler.Submit(now, r).Action, ShouldEqual, Send)
		r.ObjectiveDeadline = now + 150*time.Millisecond
		So(scheduler.Submit(now, r).Reason, ShouldEqual, ReasonObjective)
	})
	Convey("An answer halves the pause; refusals of requests from before it do not count", t, func() {
		scheduler := NewScheduler(Config{Domain: "d"})
		scheduler.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 2, Usable: true}})
		for range 5 {
			scheduler.RecordOutcome(time.Minute, "t", Outcome{Route: "r", Shed: true, ColdRemaining: -1})
		}
		So(scheduler.targets["t"].shedBackoff, ShouldEqual, 60*time.Millisecond)
		scheduler.RecordOutcome(time.Minute, "t", Outcome{Route: "r", ResponseTime: time.Millisecond, ColdRemaining: -1})
		So(scheduler.targets["t"].shedBackoff, ShouldEqual, 30*time.Millisecond)
	})
}

// TestPausedTargets covers targets that ask for a pause: the retry times that callers
// receive must match the pauses.
func TestPausedTargets(t *testing.T) {
	now := time.Minute
	newPausedScheduler := func(targets int, pause time.Duration) *Scheduler {
		scheduler := newTestScheduler(Config{Domain: "d0"}, targets, 4)
		for i := range targets {
			scheduler.RecordOutcome(now, fmt.Sprint("t", i), Outcome{Route: "r", Shed: true, Load: &Load{Slots: 4, Slowdown: 1}, ColdRemaining: -1, Pause: pause + time.Duration(i)*time.Second})
		}
		return scheduler
	}
	for _, objective := range []time.Duration{0, 400 * time.Millisecond} {
		Convey(fmt.Sprintf("A request for the keys of a paused owner is refused with the end of the pause, objective %v", objective), t, func() {
			r := newRequest(now + 2*time.Second)
			r.Target, r.Objective, r.Random = "t0", objective, 0.5
			if objective > 0 {
				r.ObjectiveDeadline = now + objective
			}
			d := newPausedScheduler(1, 5*time.Second).Submit(now, r)
			So(d.Action, ShouldEqual, Refuse)
			So(d.RetryAfter, ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
		})
	}
	Convey("It waits for a pause that ends in time", t, func() {
		scheduler := newPausedScheduler(1, 200*time.Millisecond)
		r := newRequest(now + 2*time.Second)
		r.Target = "t0"
		So(scheduler.Submit(now, r).Action, ShouldEqual, Wait)
		So(scheduler.Dispatch(now+150*time.Millisecond), ShouldBeEmpty)
		placed := scheduler.Dispatch(now + 210*time.Millisecond)
		So(placed, ShouldHaveLength, 1)
		So(placed[0].Action, ShouldEqual, Send)
	})
	Convey("When all targets pause, callers are told the earliest end, spread", t, func() {
		scheduler := newPausedScheduler(3, 5*time.Second)
		seen := map[time.Duration]bool{}
		for i := range 10 {
			r := newRequest(now + 2*time.Second)
			r.Random = float64(i) / 10
			d := scheduler.Submit(now, r)
			So(d.Action, ShouldEqual, Refuse)
			So(d.RetryAfter, ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
			seen[d.RetryAfter] = true
		}
		So(len(seen), ShouldEqual, 10)
	})
	Convey("With one target that does not pause, requests go there", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0"}, 2, 4)
		scheduler.RecordOutcome(now, "t0", Outcome{Route: "r", Shed: true, ColdRemaining: -1, Pause: 5 * time.Second})
		So(scheduler.Submit(now, newRequest(now+2*time.Second)).Target, ShouldEqual, "t1")
	})
}
