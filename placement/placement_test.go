package placement

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func boardOf(cfg Config, n, slots int) *Scheduler {
	b := NewScheduler(cfg)
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprint("t", i), Workload: "w", Domain: fmt.Sprint("d", i%2), Slots: slots, Usable: true})
	}
	b.SetTargets(list)
	return b
}

func req(deadline time.Duration) Request {
	return Request{Workload: "w", Route: "r", Deadline: deadline, Objective: 500 * time.Millisecond, Random: 0.5}
}

func TestSubmit(t *testing.T) {
	Convey("Given two targets with one slot each", t, func() {
		b := boardOf(Config{Domain: "d0", Depth: 1}, 2, 1)
		now := time.Minute

		Convey("the own domain comes first, then the free one", func() {
			So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t0")
			So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t1")
		})
		Convey("when all are full a request waits, and gets the first slot that is free", func() {
			b.Submit(now, req(now+time.Second))
			b.Submit(now, req(now+time.Second))
			d := b.Submit(now, req(now+time.Second))
			So(d.Action, ShouldEqual, Wait)
			So(b.Dispatch(now), ShouldBeEmpty)
			b.RecordOutcome(now, "t1", Outcome{Route: "r", ResponseTime: 100 * time.Millisecond, ColdRemaining: -1})
			p := b.Dispatch(now)
			So(len(p), ShouldEqual, 1)
			So(p[0].Ticket, ShouldEqual, d.Ticket)
			So(p[0].Target, ShouldEqual, "t1")
		})
		Convey("the more urgent of two waiting requests is first", func() {
			b.Submit(now, req(now+time.Second))
			b.Submit(now, req(now+time.Second))
			low, high := req(now+time.Second), req(now+2*time.Second)
			low.Priority = 2
			b.Submit(now, low)
			want := b.Submit(now, high).Ticket
			b.RecordOutcome(now, "t0", Outcome{Route: "r", ColdRemaining: -1})
			So(b.Dispatch(now)[0].Ticket, ShouldEqual, want)
		})
		Convey("what cannot end in time is refused at once, with a time to come back", func() {
			d := b.Submit(now, req(now+10*time.Millisecond))
			So(d.Action, ShouldEqual, Refuse)
			So(d.Reason, ShouldEqual, ReasonDeadline)
		})
		Convey("a waiting request is refused as soon as it cannot end in time", func() {
			b.Submit(now, req(now+time.Second))
			b.Submit(now, req(now+time.Second))
			b.Submit(now, req(now+200*time.Millisecond))
			So(b.Dispatch(now+50*time.Millisecond), ShouldBeEmpty)
			p := b.Dispatch(now + 150*time.Millisecond)
			So(len(p), ShouldEqual, 1)
			So(p[0].Action, ShouldEqual, Refuse)
			So(b.QueueLength(), ShouldEqual, 0)
		})
		Convey("without a usable target the request is refused", func() {
			r := req(now + time.Second)
			r.TriedTargets = []string{"t0", "t1"}
			So(b.Submit(now, r).Reason, ShouldEqual, ReasonNoTarget)
			r = req(now + time.Second)
			r.Target = "gone"
			So(b.Submit(now, r).Reason, ShouldEqual, ReasonNoTarget)
		})
		Convey("a cancelled request no longer waits", func() {
			b.Submit(now, req(now+time.Second))
			b.Submit(now, req(now+time.Second))
			d := b.Submit(now, req(now+time.Second))
			So(b.Cancel(d.Ticket), ShouldBeTrue)
			So(b.Cancel(d.Ticket), ShouldBeFalse)
		})
	})
}

func TestAvoidance(t *testing.T) {
	now := time.Minute
	Convey("A target that cannot be reached is avoided for a while", t, func() {
		b := boardOf(Config{Domain: "d0"}, 2, 4)
		So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t0")
		b.RecordOutcome(now, "t0", Outcome{Route: "r", Failed: true, Unreachable: true, ColdRemaining: -1})
		So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t1")
		later := now + 30*time.Second
		So(b.Submit(later, req(later+time.Second)).Target, ShouldEqual, "t0")
	})
	Convey("A target that sheds gets nothing until its queue has moved", t, func() {
		b := boardOf(Config{Domain: "d0"}, 2, 4)
		b.Submit(now, req(now+time.Second))
		b.RecordOutcome(now, "t0", Outcome{Route: "r", Shed: true, ColdRemaining: -1})
		So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t1")
	})
	Convey("A target's report of foreign load counts, and ages", t, func() {
		b := boardOf(Config{Domain: "d0"}, 2, 1)
		b.Submit(now, req(now+time.Second))
		b.RecordOutcome(now, "t0", Outcome{Route: "r", ResponseTime: 100 * time.Millisecond, Load: &Load{Running: 1, Waiting: 2, Slots: 1, Slowdown: 1}, ColdRemaining: -1})
		So(b.Submit(now, req(now+time.Second)).Target, ShouldEqual, "t1")
		b.RecordOutcome(now, "t1", Outcome{Route: "r", ColdRemaining: -1})
		later := now + 5*time.Second
		So(b.Submit(later, req(later+time.Second)).Target, ShouldEqual, "t0")
	})
	// Load pattern: a domain returns with all targets cold; 4 requests a second is
	// what each bears.
	Convey("A cold target gets no more than its rate", t, func() {
		b := NewScheduler(Config{Domain: "d"})
		b.SetTargets([]Target{{ID: "t", Workload: "w", Domain: "d", Slots: 8, Usable: true, ColdUntil: now + 10*time.Second, ColdRate: 4}})
		sent := 0
		for at := now; at < now+2*time.Second; at += 10 * time.Millisecond {
			if d := b.Submit(at, req(at+time.Second)); d.Action == Send {
				sent++
				b.RecordOutcome(at, "t", Outcome{Route: "r", ColdRemaining: -1})
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 7, 9)
	})
}

// replay plays arrivals in front of targets of different speed, as data: arrival
// times, work times and speeds come from a seed. choose places a request.
type replay struct {
	rnd    *rand.Rand
	speeds []float64
	slots  int
	rate   float64
	length time.Duration
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
	free := make([][]time.Duration, len(r.speeds)) // when each slot is free
	inside := make([]int, len(r.speeds))
	for i := range free {
		free[i] = make([]time.Duration, r.slots)
	}
	var open finishes
	good, all := 0, 0
	for now := time.Duration(0); now < r.length; now += time.Duration(r.rnd.ExpFloat64() / r.rate * float64(time.Second)) {
		for len(open) > 0 && open[0].at <= now {
			f := heap.Pop(&open).(finish)
			inside[f.target]--
			ended(f.at, f, inside[f.target])
		}
		work := time.Duration((0.7 + 0.6*r.rnd.Float64()) * 0.16 * float64(time.Second))
		all++
		i := place(now)
		if i < 0 {
			continue
		}
		slot := 0
		for s := range free[i] {
			if free[i][s] < free[i][slot] {
				slot = s
			}
		}
		start := max(now, free[i][slot])
		end := start + time.Duration(float64(work)*r.speeds[i])
		free[i][slot] = end
		inside[i]++
		heap.Push(&open, finish{at: end, target: i, took: end - now})
		if end-now <= 500*time.Millisecond {
			good++
		}
	}
	return float64(good) / float64(all)
}

// Load pattern: 8 targets with 2 slots, of speeds 0.5 to 1.5, near their capacity
// in a burst. The board must serve more within 500 ms than a random choice.
func TestReplayBurst(t *testing.T) {
	speeds := []float64{0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5}
	make1 := func(seed int64) replay {
		return replay{rnd: rand.New(rand.NewSource(seed)), speeds: speeds, slots: 2, rate: 85, length: 30 * time.Second}
	}
	for seed := int64(1); seed <= 5; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		random := make1(seed).run(func(time.Duration) int { return rnd.Intn(len(speeds)) }, func(time.Duration, finish, int) {})
		b := boardOf(Config{Domain: "d0", CrossDomain: 1}, len(speeds), 2)
		placed := make1(seed).run(func(now time.Duration) int {
			r := req(now + 2*time.Second)
			r.Random = rnd.Float64()
			d := b.Submit(now, r)
			if d.Action != Send {
				if d.Action == Wait {
					b.Cancel(d.Ticket)
				}
				return -1
			}
			return int(d.Target[1] - '0')
		}, func(now time.Duration, f finish, busy int) {
			b.RecordOutcome(now, fmt.Sprint("t", f.target), Outcome{
				Route: "r", ResponseTime: f.took, Load: &Load{Running: min(busy+1, 2), Waiting: max(0, busy-1), Slots: 2, Slowdown: 1}, ColdRemaining: -1,
			})
		})
		if placed < random+0.1 {
			t.Errorf("seed %d: %.3f within 500 ms, a random choice has %.3f", seed, placed, random)
		}
	}
}

func BenchmarkSubmit(b *testing.B) {
	board := boardOf(Config{Domain: "d0", Depth: 1e9}, 16, 2)
	r := req(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		board.Submit(time.Minute, r)
	}
}
