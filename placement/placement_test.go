package placement

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func newTestScheduler(cfg Config, n, slots int) *Scheduler {
	scheduler := NewScheduler(cfg)
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprint("t", i), Workload: "w", Domain: fmt.Sprint("d", i%2), Slots: slots, Usable: true})
	}
	scheduler.SetTargets(list)
	return scheduler
}

func newRequest(deadline time.Duration) Request {
	return Request{Workload: "w", Route: "r", Deadline: deadline, Objective: 500 * time.Millisecond, Random: 0.5}
}

// Guards against hosts that fill the targets of a coordinator that they cannot reach.
func TestSubmitBesideACoordinator(t *testing.T) {
	Convey("A host that its coordinator did not answer has one request in flight at a target", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0"}, 1, 6)
		now := time.Minute
		r := newRequest(now + time.Second)
		r.SharedPool = true
		So(scheduler.Submit(now, r).Action, ShouldEqual, Send)
		waiting := scheduler.Submit(now, r)
		So(waiting.Action, ShouldEqual, Wait)
		So(scheduler.Dispatch(now), ShouldBeEmpty)
		scheduler.RecordOutcome(now+50*time.Millisecond, "t0", Outcome{Route: "r", ResponseTime: 50 * time.Millisecond, ColdRemaining: -1})
		So(scheduler.Dispatch(now + 50*time.Millisecond)[0].Ticket, ShouldEqual, waiting.Ticket)
		So(scheduler.Submit(now, newRequest(now+time.Second)).Action, ShouldEqual, Send)
	})
}

func TestSubmit(t *testing.T) {
	Convey("Given two targets with one slot each", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 1}, 2, 1)
		now := time.Minute

		Convey("the own domain comes first, then the free one", func() {
			So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t0")
			So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t1")
		})
		Convey("when all are full a request waits, and gets the first slot that is free", func() {
			scheduler.Submit(now, newRequest(now+time.Second))
			scheduler.Submit(now, newRequest(now+time.Second))
			d := scheduler.Submit(now, newRequest(now+time.Second))
			So(d.Action, ShouldEqual, Wait)
			So(scheduler.Dispatch(now), ShouldBeEmpty)
			scheduler.RecordOutcome(now, "t1", Outcome{Route: "r", ResponseTime: 100 * time.Millisecond, ColdRemaining: -1})
			p := scheduler.Dispatch(now)
			So(len(p), ShouldEqual, 1)
			So(p[0].Ticket, ShouldEqual, d.Ticket)
			So(p[0].Target, ShouldEqual, "t1")
		})
		Convey("the more urgent of two waiting requests is first", func() {
			scheduler.Submit(now, newRequest(now+time.Second))
			scheduler.Submit(now, newRequest(now+time.Second))
			low, high := newRequest(now+time.Second), newRequest(now+2*time.Second)
			low.Priority = 2
			scheduler.Submit(now, low)
			want := scheduler.Submit(now, high).Ticket
			scheduler.RecordOutcome(now, "t0", Outcome{Route: "r", ColdRemaining: -1})
			So(scheduler.Dispatch(now)[0].Ticket, ShouldEqual, want)
		})
		Convey("what cannot end in time is refused at once, with a time to come back", func() {
			d := scheduler.Submit(now, newRequest(now+10*time.Millisecond))
			So(d.Action, ShouldEqual, Refuse)
			So(d.Reason, ShouldEqual, ReasonDeadline)
		})
		Convey("a waiting request is refused as soon as it cannot end in time", func() {
			scheduler.Submit(now, newRequest(now+time.Second))
			scheduler.Submit(now, newRequest(now+time.Second))
			scheduler.Submit(now, newRequest(now+200*time.Millisecond))
			So(scheduler.Dispatch(now+50*time.Millisecond), ShouldBeEmpty)
			p := scheduler.Dispatch(now + 150*time.Millisecond)
			So(len(p), ShouldEqual, 1)
			So(p[0].Action, ShouldEqual, Refuse)
			So(scheduler.QueueLength(), ShouldEqual, 0)
		})
		Convey("without a usable target the request is refused", func() {
			r := newRequest(now + time.Second)
			r.TriedTargets = []string{"t0", "t1"}
			So(scheduler.Submit(now, r).Reason, ShouldEqual, ReasonNoTarget)
			r = newRequest(now + time.Second)
			r.Target = "gone"
			So(scheduler.Submit(now, r).Reason, ShouldEqual, ReasonNoTarget)
		})
		Convey("a cancelled request no longer waits", func() {
			scheduler.Submit(now, newRequest(now+time.Second))
			scheduler.Submit(now, newRequest(now+time.Second))
			d := scheduler.Submit(now, newRequest(now+time.Second))
			So(scheduler.Cancel(d.Ticket), ShouldBeTrue)
			So(scheduler.Cancel(d.Ticket), ShouldBeFalse)
		})
	})
}

func TestAvoidance(t *testing.T) {
	now := time.Minute
	Convey("A target that cannot be reached is avoided for a while", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0"}, 2, 4)
		So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t0")
		scheduler.RecordOutcome(now, "t0", Outcome{Route: "r", Failed: true, Unreachable: true, ColdRemaining: -1})
		So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t1")
		later := now + 30*time.Second
		So(scheduler.Submit(later, newRequest(later+time.Second)).Target, ShouldEqual, "t0")
	})
	Convey("A target that sheds gets nothing until its queue has moved", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0"}, 2, 4)
		scheduler.Submit(now, newRequest(now+time.Second))
		scheduler.RecordOutcome(now, "t0", Outcome{Route: "r", Shed: true, ColdRemaining: -1})
		So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t1")
	})
	Convey("A target's report of foreign load counts, and ages", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0"}, 2, 1)
		scheduler.Submit(now, newRequest(now+time.Second))
		scheduler.RecordOutcome(now, "t0", Outcome{Route: "r", ResponseTime: 100 * time.Millisecond, Load: &Load{Running: 1, Waiting: 2, Slots: 1, Slowdown: 1}, ColdRemaining: -1})
		So(scheduler.Submit(now, newRequest(now+time.Second)).Target, ShouldEqual, "t1")
		scheduler.RecordOutcome(now, "t1", Outcome{Route: "r", ColdRemaining: -1})
		later := now + 5*time.Second
		So(scheduler.Submit(later, newRequest(later+time.Second)).Target, ShouldEqual, "t0")
	})
	// Load pattern: a domain returns with all targets cold; each has a capacity of 4
	// requests per second.
	Convey("A cold target gets no more than its rate", t, func() {
		scheduler := NewScheduler(Config{Domain: "d"})
		scheduler.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 8, Usable: true, ColdUntil: now + 10*time.Second, ColdRate: 4}})
		sent := 0
		for at := now; at < now+2*time.Second; at += 10 * time.Millisecond {
			if d := scheduler.Submit(at, newRequest(at+time.Second)); d.Action == Send {
				sent++
				scheduler.RecordOutcome(at, "t", Outcome{Route: "r", ColdRemaining: -1})
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 7, 9)
	})
}

// replay simulates arrivals at targets with different service times. The arrival and
// work times come from a seed.
type replay struct {
	rnd       *rand.Rand
	slowdowns []float64
	slots     int
	rate      float64
	duration  time.Duration
}

type finish struct {
	at     time.Duration
	target int
	took   time.Duration
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// run returns the share of requests that ended within 500 ms.
func (r replay) run(place func(now time.Duration) int, ended func(now time.Duration, f finish, busy int)) float64 {
	slotFreeAt := make([][]time.Duration, len(r.slowdowns)) // when each slot is free
	inFlight := make([]int, len(r.slowdowns))
	for i := range slotFreeAt {
		slotFreeAt[i] = make([]time.Duration, r.slots)
	}
	var pending finishes
	inTime, total := 0, 0
	for now := time.Duration(0); now < r.duration; now += time.Duration(r.rnd.ExpFloat64() / r.rate * float64(time.Second)) {
		for len(pending) > 0 && pending[0].at <= now {
			f := heap.Pop(&pending).(finish)
			inFlight[f.target]--
			ended(f.at, f, inFlight[f.target])
		}
		work := time.Duration((0.7 + 0.6*r.rnd.Float64()) * 0.16 * float64(time.Second))
		total++
		i := place(now)
		if i < 0 {
			continue
		}
		slot := 0
		for s := range slotFreeAt[i] {
			if slotFreeAt[i][s] < slotFreeAt[i][slot] {
				slot = s
			}
		}
		start := max(now, slotFreeAt[i][slot])
		end := start + time.Duration(float64(work)*r.slowdowns[i])
		slotFreeAt[i][slot] = end
		inFlight[i]++
		heap.Push(&pending, finish{at: end, target: i, took: end - now})
		if end-now <= 500*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(total)
}

// Load pattern: a burst near the capacity of 8 targets with 2 slots, whose service
// times are 0.5 to 1.5 times the mean. The scheduler must serve more requests within
// 500 ms than a random choice.
func TestReplayBurst(t *testing.T) {
	slowdowns := []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5}
	newReplay := func(seed int64) replay {
		return replay{rnd: rand.New(rand.NewSource(seed)), slowdowns: slowdowns, slots: 2, rate: 85, duration: 30 * time.Second}
	}
	for seed := int64(1); seed <= 5; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		randomShare := newReplay(seed).run(func(time.Duration) int { return rnd.Intn(len(slowdowns)) }, func(time.Duration, finish, int) {})
		scheduler := newTestScheduler(Config{Domain: "d0", CrossDomainCost: 1}, len(slowdowns), 2)
		scheduledShare := newReplay(seed).run(func(now time.Duration) int {
			r := newRequest(now + 2*time.Second)
			r.Random = rnd.Float64()
			d := scheduler.Submit(now, r)
			if d.Action != Send {
				if d.Action == Wait {
					scheduler.Cancel(d.Ticket)
				}
				return -1
			}
			return int(d.Target[1] - '0')
		}, func(now time.Duration, f finish, busy int) {
			scheduler.RecordOutcome(now, fmt.Sprint("t", f.target), Outcome{
				Route: "r", ResponseTime: f.took, Load: &Load{Running: min(busy+1, 2), Waiting: max(0, busy-1), Slots: 2, Slowdown: 1}, ColdRemaining: -1,
			})
		})
		if scheduledShare < randomShare+0.1 {
			t.Errorf("seed %d: %.3f within 500 ms, a random choice has %.3f", seed, scheduledShare, randomShare)
		}
	}
}

// BenchmarkSubmit measures one decision and the end of its request, for a pool and for the
// owner of a key. Targets have reported load, so that its decay is computed.
func BenchmarkSubmit(b *testing.B) {
	for _, adaptive := range []bool{false, true} {
		for _, targets := range []int{16, 100, 350, 619} {
			for _, keyed := range []bool{false, true} {
				b.Run(fmt.Sprintf("adaptive=%t/keyed=%t/targets=%d", adaptive, keyed, targets), func(b *testing.B) {
					scheduler, now := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 3, AdaptivePace: adaptive}, targets, 6), time.Minute
					outcome := Outcome{Route: "r", ResponseTime: 100 * time.Millisecond, Load: &Load{Running: 3, Slots: 6, Slowdown: 1}, ColdRemaining: -1}
					for i := range targets {
						scheduler.RecordOutcome(now, fmt.Sprint("t", i), outcome)
					}
					r := newRequest(time.Hour)
					if keyed {
						r.Target = "t7"
					}
					random := rand.New(rand.NewSource(1))
					submit := func() Action {
						now += 500 * time.Microsecond
						r.Random = random.Float64()
						d := scheduler.Submit(now, r)
						switch d.Action {
						case Send:
							scheduler.RecordOutcome(now, d.Target, outcome)
						case Wait:
							scheduler.Cancel(d.Ticket)
						}
						return d.Action
					}
					for range 10_000 { // 5 s, in which the pace of all targets rises
						submit()
					}
					b.ReportAllocs()
					for b.Loop() {
						if submit() != Send {
							b.Fatal("not sent")
						}
					}
				})
			}
		}
	}
}

// BenchmarkFullPool measures a decision in a pool without room, as each waiting request takes
// it after each response.
func BenchmarkFullPool(b *testing.B) {
	for _, targets := range []int{16, 100, 350, 619} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			scheduler, now := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 1, AdaptivePace: true, WaitWhenLate: true}, targets, 6), time.Minute
			for i := range targets {
				for range 6 {
					scheduler.RecordPlaced(now, fmt.Sprint("t", i), "r")
				}
			}
			r := newRequest(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				if d := scheduler.decide(now, r); d.Action != Wait {
					b.Fatal("not full")
				}
			}
		})
	}
}
