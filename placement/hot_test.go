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
// know of each other.
type hotPattern struct {
	hosts   int
	slots   int
	queue   int // requests that wait at the owner; further ones are refused
	service time.Duration
	// objective and deadline count from the arrival at a host.
	objective, deadline time.Duration
	// load is the offered load in relation to what the owner bears.
	load float64
	// Neighbours of the owner make its work hotNoise times as long for a share noise
	// of the time, in spans of hotNoiseSpan.
	noise float64
	span  time.Duration
}

// hotResult counts the requests of a replay.
type hotResult struct{ asked, inTime, late, refused, sends, rejected int }

// step is an event of the replay.
type step struct {
	at time.Duration
	do func(now time.Duration)
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// hotReplay plays a pattern: hosts place requests by their boards, the owner runs
// them in the order of their arrival.
type hotReplay struct {
	hotPattern
	r      *rand.Rand
	events steps
	boards []*Scheduler
	// running and waiting are the requests at the owner.
	running int
	waiting []func(now time.Duration)
	pace    float64
	// held are the requests that wait at each host, by ticket.
	held   []map[uint64]*hotRequest
	result hotResult
}

type hotRequest struct {
	host int
	// asked is when the caller first asked, arrived when it asked this host.
	asked, arrived time.Duration
	sends, returns int
}

const (
	hotOneWay      = time.Millisecond
	hotMaxAttempts = 3
	// hotReturns is how often a caller that was refused comes back.
	hotReturns   = 2
	hotNoise     = 3
	hotNoiseSpan = 400 * time.Millisecond
	hotDispatch  = 20 * time.Millisecond
)

func (p hotPattern) play(seed uint64) hotResult {
	s := &hotReplay{hotPattern: p, r: rand.New(rand.NewPCG(seed, 1))}
	for range p.hosts {
		b := NewScheduler(Config{Domain: "d"})
		b.SetTargets([]Target{{ID: "owner", Workload: "w", Domain: "d", Slots: p.slots, Usable: true}})
		s.boards = append(s.boards, b)
		s.held = append(s.held, map[uint64]*hotRequest{})
	}
	rate := p.load * float64(p.slots) / p.service.Seconds() / (1 + p.noise*(hotNoise-1))
	for at := time.Duration(0); at < p.span+p.deadline; at += hotNoiseSpan {
		pace := 1.0
		if s.r.Float64() < p.noise {
			pace = hotNoise
		}
		s.after(at, func(time.Duration) { s.pace = pace })
	}
	for at := time.Duration(0); at < p.span; at += time.Duration(s.r.ExpFloat64() / rate * float64(time.Second)) {
		q := &hotRequest{host: s.r.IntN(p.hosts), asked: at, arrived: at}
		s.after(at, func(now time.Duration) { s.result.asked++; s.place(now, q) })
	}
	for at := time.Duration(0); at < p.span+p.deadline; at += hotDispatch {
		s.after(at, func(now time.Duration) {
			for h := range s.boards {
				s.dispatch(now, h)
			}
		})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(step)
		e.do(e.at)
	}
	return s.result
}

func (s *hotReplay) after(at time.Duration, do func(time.Duration)) {
	heap.Push(&s.events, step{at, do})
}

func (s *hotReplay) place(now time.Duration, q *hotRequest) {
	d := s.boards[q.host].Submit(now, Request{Workload: "w", Route: "r", Target: "owner", Objective: s.objective,
		ObjectiveDeadline: q.arrived + s.objective, Deadline: q.asked + s.deadline, Random: s.r.Float64()})
	if d.Action == Wait {
		s.held[q.host][d.Ticket] = q
		return
	}
	s.decided(now, q, d)
}

func (s *hotReplay) dispatch(now time.Duration, host int) {
	for _, p := range s.boards[host].Dispatch(now) {
		q := s.held[host][p.Ticket]
		delete(s.held[host], p.Ticket)
		s.decided(now, q, p.Decision)
	}
}

func (s *hotReplay) decided(now time.Duration, q *hotRequest, d Decision) {
	if d.Action == Refuse {
		s.refused(now, q, d.RetryAfter)
		return
	}
	s.result.sends++
	q.sends++
	s.after(now+hotOneWay, func(now time.Duration) { s.arrive(now, q, now-hotOneWay) })
}

// arrive is the arrival of a request at the owner.
func (s *hotReplay) arrive(now time.Duration, q *hotRequest, sent time.Duration) {
	run := func(now time.Duration) {
		s.running++
		took := time.Duration((0.7 + 0.6*s.r.Float64()) * s.pace * float64(s.service))
		s.after(now+took, func(now time.Duration) {
			load := &Load{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Slowdown: s.pace}
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next(now)
			}
			s.after(now+hotOneWay, func(now time.Duration) { s.answered(now, q, sent, load) })
		})
	}
	switch {
	case s.running < s.slots:
		run(now)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, run)
	default:
		s.result.rejected++
		load := &Load{Running: s.running, Waiting: len(s.waiting), Slots: s.slots, Slowdown: s.pace}
		s.after(now+hotOneWay, func(now time.Duration) { s.rejected(now, q, load) })
	}
}

func (s *hotReplay) answered(now time.Duration, q *hotRequest, sent time.Duration, load *Load) {
	if now-q.asked <= s.objective {
		s.result.inTime++
	} else {
		s.result.late++
	}
	s.boards[q.host].RecordOutcome(now, "owner", Outcome{Route: "r", ResponseTime: now - sent, Load: load, ColdRemaining: -1})
	s.dispatch(now, q.host)
}

func (s *hotReplay) rejected(now time.Duration, q *hotRequest, load *Load) {
	s.boards[q.host].RecordOutcome(now, "owner", Outcome{Route: "r", Load: load, Shed: true, ColdRemaining: -1})
	if q.sends >= hotMaxAttempts {
		s.refused(now, q, 80*time.Millisecond)
		return
	}
	s.place(now, q)
}

// refused sends the caller back to another host, as callers do that honour the time
// that they were told up to a third of what they have left.
func (s *hotReplay) refused(now time.Duration, q *hotRequest, after time.Duration) {
	after = min(after, (q.asked+s.deadline-now)/3)
	if q.returns >= hotReturns || after <= 0 {
		s.result.refused++
		return
	}
	s.after(now+after, func(now time.Duration) {
		s.place(now, &hotRequest{host: s.r.IntN(s.hosts), asked: q.asked, arrived: now, returns: q.returns + 1})
	})
}

// overloaded is a key that draws half as much again as its owner bears.
func overloaded(hosts int) hotPattern {
	return hotPattern{hosts: hosts, slots: 6, queue: 24, service: 120 * time.Millisecond, objective: 400 * time.Millisecond,
		deadline: 2500 * time.Millisecond, load: 1.5, span: 20 * time.Second}
}

// checkOverloaded checks the goal for an overloaded owner: it stays busy, and half
// of what it bears is answered within the objective. With queues as long as it
// takes, all of its answers are late.
func checkOverloaded(t *testing.T, p hotPattern) {
	r := p.play(1)
	t.Logf("%d hosts: %+v", p.hosts, r)
	bears := float64(p.slots) * p.span.Seconds() / p.service.Seconds()
	So(float64(r.inTime+r.late), ShouldBeGreaterThan, 0.9*bears)
	So(float64(r.inTime), ShouldBeGreaterThan, 0.5*bears)
	So(r.rejected, ShouldBeLessThan, r.sends/4)
}

// TestHotOwner replays the load that one key draws to its owner from eight hosts.
func TestHotOwner(t *testing.T) {
	Convey("Given the owner of a key that draws half as much again as it bears", t, func() {
		checkOverloaded(t, overloaded(8))
	})
	for _, hosts := range []int{8, 60} {
		for _, noise := range []float64{0, 0.2} {
			Convey(fmt.Sprintf("An owner with little to do gets all requests of %d hosts, noise %.1f", hosts, noise), t, func() {
				p := overloaded(hosts)
				p.load, p.noise = 0.5, noise
				r := p.play(2)
				So(r.refused, ShouldBeLessThan, r.asked/100)
				So(r.rejected, ShouldEqual, 0)
			})
		}
	}
}

// TestHotOwnerOfManyHosts is the same from sixty hosts, each of which hears of the
// owner less than once a second.
func TestHotOwnerOfManyHosts(t *testing.T) {
	Convey("Given the owner of a key that draws half as much again as it bears", t, func() {
		checkOverloaded(t, overloaded(60))
	})
}

// TestFullTargetIsLeftAlone guards against hosts that repeat at once to a target that
// they fill, and against taking one that refuses with free slots for full.
func TestFullTargetIsLeftAlone(t *testing.T) {
	refusals := func(l *Load, n int) (pause time.Duration) {
		b := NewScheduler(Config{Domain: "d"})
		b.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 2, Usable: true}})
		now := time.Minute
		for range n {
			b.RecordOutcome(now, "t", Outcome{Route: "r", Shed: true, Load: l, ColdRemaining: -1})
			pause = b.targets["t"].closedUntil() - now
			now += pause
		}
		return pause
	}
	Convey("The pause after each refusal in a row is twice as long, up to a bound", t, func() {
		full := &Load{Running: 2, Waiting: 8, Slots: 2, Slowdown: 1}
		So(refusals(full, 1), ShouldEqual, 60*time.Millisecond)
		So(refusals(full, 3), ShouldEqual, 240*time.Millisecond)
		So(refusals(full, 9), ShouldEqual, time.Second)
	})
	Convey("A target that refuses though it has free slots is not full: it counts as failing", t, func() {
		So(refusals(&Load{Running: 1, Slots: 2, Slowdown: 1}, 5), ShouldBeLessThanOrEqualTo, 0)
		b := boardOf(Config{Domain: "d0"}, 2, 4)
		for range 5 {
			b.RecordOutcome(time.Minute, "t0", Outcome{Route: "r", Shed: true, Load: &Load{Slots: 4, Slowdown: 1}, ColdRemaining: -1})
		}
		So(b.Submit(time.Minute, req(time.Minute+time.Second)).Target, ShouldEqual, "t1")
	})
	Convey("A request that is late already may wait for an owner that has work", t, func() {
		b := NewScheduler(Config{Domain: "d"})
		b.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 1, Usable: true}})
		now := time.Minute
		r := Request{Workload: "w", Route: "r", Target: "t", Objective: 400 * time.Millisecond, ObjectiveDeadline: now - time.Millisecond, Deadline: now + time.Second}
		So(b.Submit(now, r).Action, ShouldEqual, Send)
		So(b.Submit(now, r).Action, ShouldEqual, Send)
		r.ObjectiveDeadline = now + 150*time.Millisecond
		So(b.Submit(now, r).Reason, ShouldEqual, ReasonObjective)
	})
	Convey("An answer halves the pause; refusals of requests from before it do not count", t, func() {
		b := NewScheduler(Config{Domain: "d"})
		b.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 2, Usable: true}})
		for range 5 {
			b.RecordOutcome(time.Minute, "t", Outcome{Route: "r", Shed: true, ColdRemaining: -1})
		}
		So(b.targets["t"].shedPause, ShouldEqual, 60*time.Millisecond)
		b.RecordOutcome(time.Minute, "t", Outcome{Route: "r", ResponseTime: time.Millisecond, ColdRemaining: -1})
		So(b.targets["t"].shedPause, ShouldEqual, 30*time.Millisecond)
	})
}

// TestPausedTargets replays targets that ask for a pause: what they are told to
// callers must be true.
func TestPausedTargets(t *testing.T) {
	now := time.Minute
	paused := func(targets int, pause time.Duration) *Scheduler {
		b := boardOf(Config{Domain: "d0"}, targets, 4)
		for i := range targets {
			b.RecordOutcome(now, fmt.Sprint("t", i), Outcome{Route: "r", Shed: true, Load: &Load{Slots: 4, Slowdown: 1}, ColdRemaining: -1, Pause: pause + time.Duration(i)*time.Second})
		}
		return b
	}
	for _, objective := range []time.Duration{0, 400 * time.Millisecond} {
		Convey(fmt.Sprintf("A request for the keys of a paused owner is refused with the end of the pause, objective %v", objective), t, func() {
			r := req(now + 2*time.Second)
			r.Target, r.Objective, r.Random = "t0", objective, 0.5
			if objective > 0 {
				r.ObjectiveDeadline = now + objective
			}
			d := paused(1, 5*time.Second).Submit(now, r)
			So(d.Action, ShouldEqual, Refuse)
			So(d.RetryAfter, ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
		})
	}
	Convey("It waits for a pause that ends in time", t, func() {
		b := paused(1, 200*time.Millisecond)
		r := req(now + 2*time.Second)
		r.Target = "t0"
		So(b.Submit(now, r).Action, ShouldEqual, Wait)
		So(b.Dispatch(now+150*time.Millisecond), ShouldBeEmpty)
		placed := b.Dispatch(now + 210*time.Millisecond)
		So(placed, ShouldHaveLength, 1)
		So(placed[0].Action, ShouldEqual, Send)
	})
	Convey("When all targets pause, callers are told the earliest end, spread", t, func() {
		b := paused(3, 5*time.Second)
		seen := map[time.Duration]bool{}
		for i := range 10 {
			r := req(now + 2*time.Second)
			r.Random = float64(i) / 10
			d := b.Submit(now, r)
			So(d.Action, ShouldEqual, Refuse)
			So(d.RetryAfter, ShouldBeBetweenOrEqual, 5*time.Second, 6*time.Second)
			seen[d.RetryAfter] = true
		}
		So(len(seen), ShouldEqual, 10)
	})
	Convey("With one target that does not pause, requests go there", t, func() {
		b := boardOf(Config{Domain: "d0"}, 2, 4)
		b.RecordOutcome(now, "t0", Outcome{Route: "r", Shed: true, ColdRemaining: -1, Pause: 5 * time.Second})
		So(b.Submit(now, req(now+2*time.Second)).Target, ShouldEqual, "t1")
	})
}
