package placement

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// slowFleet simulates targets with two slots and first-in-first-out queues, and hosts
// whose schedulers choose between them.
type slowFleet struct {
	rnd         *rand.Rand
	hosts       []*Scheduler
	slotFreeAt  [][]time.Duration // for each target, when each slot is free
	completions [][]time.Duration // for each target, when its requests complete
	slowdown    func(now time.Duration, target int) float64
	pending     slowCompletions
	sent        []int
	refused     int
	latencies   []time.Duration
}

type slowCompletion struct {
	at, arrived time.Duration
	host        int
	target      int
}

type slowCompletions []slowCompletion

func (h slowCompletions) Len() int           { return len(h) }
func (h slowCompletions) Less(i, j int) bool { return h[i].at < h[j].at }
func (h slowCompletions) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slowCompletions) Push(x any)        { *h = append(*h, x.(slowCompletion)) }
func (h *slowCompletions) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newSlowFleet(hosts, n int, slowdown func(time.Duration, int) float64) *slowFleet {
	f := &slowFleet{rnd: rand.New(rand.NewSource(1)), slowdown: slowdown, sent: make([]int, n)}
	for i := range hosts {
		f.hosts = append(f.hosts, newTestScheduler(Config{Domain: fmt.Sprint("d", i%2)}, n, 2))
	}
	for range n {
		f.slotFreeAt = append(f.slotFreeAt, make([]time.Duration, 2))
		f.completions = append(f.completions, nil)
	}
	return f
}

// slowServiceTime is the mean service time of a target that is not slow.
const slowServiceTime = 100 * time.Millisecond

// run sends requests; load is their rate relative to the capacity without slow targets.
func (f *slowFleet) run(from, to time.Duration, load float64) {
	rate := load * float64(2*len(f.slotFreeAt)) / slowServiceTime.Seconds()
	f.latencies, f.refused = f.latencies[:0], 0
	for now := from; now < to; now += time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)) {
		for len(f.pending) > 0 && f.pending[0].at <= now {
			f.complete(heap.Pop(&f.pending).(slowCompletion))
		}
		h := f.rnd.Intn(len(f.hosts))
		d := f.hosts[h].Submit(now, Request{
			Workload: "w", Route: "r", Deadline: now + 5*time.Second, Objective: 500 * time.Millisecond, Random: f.rnd.Float64(),
		})
		if d.Action != Send {
			f.refused++
			if d.Action == Wait {
				f.hosts[h].Cancel(d.Ticket)
			}
			continue
		}
		f.start(now, h, d.Target)
	}
}

func (f *slowFleet) start(now time.Duration, host int, id string) {
	t := slices.Index(targetIDs(len(f.slotFreeAt)), id)
	f.sent[t]++
	slices.Sort(f.slotFreeAt[t])
	service := time.Duration((0.5 + 0.5*f.rnd.ExpFloat64()) * f.slowdown(now, t) * float64(slowServiceTime))
	done := max(now, f.slotFreeAt[t][0]) + service
	f.slotFreeAt[t][0] = done
	f.completions[t] = append(f.completions[t], done)
	heap.Push(&f.pending, slowCompletion{at: done, arrived: now, host: host, target: t})
}

func targetIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint("t", i))
	}
	return ids
}

func (f *slowFleet) complete(e slowCompletion) {
	f.latencies = append(f.latencies, e.at-e.arrived)
	n := len(f.completions[e.target])
	f.completions[e.target] = slices.DeleteFunc(f.completions[e.target], func(at time.Duration) bool { return at <= e.at })
	f.hosts[e.host].RecordOutcome(e.at, fmt.Sprint("t", e.target), Outcome{
		Route: "r", ResponseTime: e.at - e.arrived, ColdRemaining: -1,
		Load: &Load{Running: min(n, 2), Waiting: max(0, n-2), Slots: 2, Slowdown: 1},
	})
}

func (f *slowFleet) p99() time.Duration {
	slices.Sort(f.latencies)
	return f.latencies[len(f.latencies)*99/100]
}

// Load pattern: steady load at 0.6 of the capacity; one target of eight is ten times
// slower for 20 s without reporting it. The p99 latency must stay below 1.5 times its
// former value, and the target must regain its load.
func TestSlowTargetInFleet(t *testing.T) {
	Convey("a slow target gets few requests, and its load back when it recovers", t, func() {
		f := newSlowFleet(4, 8, func(now time.Duration, i int) float64 {
			if i == 3 && now > 30*time.Second && now < 50*time.Second {
				return 10
			}
			return 1
		})
		f.run(time.Second, 30*time.Second, 0.6)
		before := f.p99()
		f.run(30*time.Second, 35*time.Second, 0.6)
		f.sent[3] = 0
		f.run(35*time.Second, 50*time.Second, 0.6)
		So(f.refused, ShouldEqual, 0)
		So(f.p99(), ShouldBeLessThan, before*3/2)
		So(f.sent[3], ShouldBeLessThan, 0.01*0.6*160*15)
		f.run(50*time.Second, 90*time.Second, 0.6)
		clear(f.sent)
		f.run(90*time.Second, 120*time.Second, 0.6)
		total := 0
		for _, n := range f.sent {
			total += n
		}
		So(f.sent[3], ShouldBeGreaterThan, total/16)
	})
}

// Load pattern: steady load at 0.6 of the capacity for two minutes. Guards against
// drift of a route's learned service time: at five times the true one, the scheduler
// refuses requests that could be served and returns wrong retry times.
func TestServiceTimeDoesNotDrift(t *testing.T) {
	Convey("the learned service time stays near the true one", t, func() {
		f := newSlowFleet(4, 8, func(time.Duration, int) float64 { return 1 })
		for at := 10 * time.Second; at <= 120*time.Second; at += 10 * time.Second {
			f.run(at-9*time.Second, at, 0.6)
			for _, scheduler := range f.hosts {
				So(scheduler.ServiceTime(at, "r", ""), ShouldBeBetween, slowServiceTime*2/3, slowServiceTime*3/2)
			}
		}
	})
}

// Load pattern: steady load over 90 hosts when one target turns cold. Guards against a
// whole initial token on each host: the target then receives 90 requests within a
// second instead of the few of its cold rate.
func TestColdTargetOverManyHosts(t *testing.T) {
	Convey("a cold target gets its rate over all hosts together", t, func() {
		const hosts, coldRate = 90, 4.0
		rnd := rand.New(rand.NewSource(1))
		list := []Target{{ID: "cold", Workload: "w", Slots: 6, Usable: true}, {ID: "warm", Workload: "w", Slots: 6, Usable: true}}
		var schedulers []*Scheduler
		for range hosts {
			scheduler := NewScheduler(Config{ColdRateShare: 1.0 / hosts})
			scheduler.SetTargets(list)
			schedulers = append(schedulers, scheduler)
		}
		list = slices.Clone(list)
		list[0].ColdUntil, list[0].ColdRate = 40*time.Second, coldRate
		perSecond := map[int]int{}
		total := 0
		for now := 10 * time.Second; now < 40*time.Second; now += 2 * time.Millisecond {
			scheduler := schedulers[rnd.Intn(hosts)]
			if now >= 11*time.Second {
				scheduler.SetTargets(list)
			}
			d := scheduler.Submit(now, Request{Workload: "w", Route: "r", Deadline: now + 5*time.Second, Random: rnd.Float64()})
			if d.Action != Send {
				continue
			}
			scheduler.RecordOutcome(now, d.Target, Outcome{Route: "r", ResponseTime: 10 * time.Millisecond, ColdRemaining: -1})
			if d.Target == "cold" && now >= 11*time.Second {
				perSecond[int(now/time.Second)]++
				total++
			}
		}
		for _, n := range perSecond {
			So(n, ShouldBeLessThanOrEqualTo, int(1.5*coldRate)+5)
		}
		So(total, ShouldBeBetween, 29*coldRate/2, 29*coldRate*1.3)
	})
}

// Load pattern: a burst of requests with short deadlines arrives while others wait for
// the only slot. Guards against queueing requests that cannot end in time: they must be
// refused on arrival with a retry time.
func TestBurstBehindWaitingRequests(t *testing.T) {
	Convey("a request that cannot end behind the waiting ones is refused when it arrives", t, func() {
		scheduler := newTestScheduler(Config{Domain: "d0", MaxRequestsPerSlot: 1}, 1, 1)
		now := time.Minute
		for range 8 {
			scheduler.Submit(now, newRequest(now+500*time.Millisecond))
		}
		So(scheduler.QueueLength(), ShouldBeLessThan, 8)
		d := scheduler.Submit(now, newRequest(now+500*time.Millisecond))
		So(d.Action, ShouldEqual, Refuse)
		So(d.Reason, ShouldEqual, ReasonDeadline)
		// The work ahead takes longer than the time limit minus the request's service time.
		So(d.RetryAfter, ShouldBeGreaterThan, 400*time.Millisecond)
		Convey("a more urgent one, and one with more time, wait", func() {
			urgent := newRequest(now + 500*time.Millisecond)
			urgent.Priority = -1
			So(scheduler.Submit(now, urgent).Action, ShouldEqual, Wait)
			So(scheduler.Submit(now, newRequest(now+3*time.Second)).Action, ShouldEqual, Wait)
		})
	})
}
