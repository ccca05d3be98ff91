package placement

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// hotTarget simulates a target with few slots and a short queue, which refuses
// requests beyond these, and hosts that send it requests for its keys.
type hotTarget struct {
	rnd             *rand.Rand
	hosts           []*Scheduler
	slots           int
	queueCapacity   int
	running         int
	waiting         []hotTargetRequest
	events          hotEvents
	arrivalByTicket map[string]time.Duration // arrival of the requests that wait at a host
	served          int
	refused         int // arrivals that the target refused
	arrivals        int
	late            int
}

type hotTargetRequest struct {
	host    int
	arrived time.Duration
}

type hotEvent struct {
	at    time.Duration
	do    func(now time.Duration)
	order int
}

type hotEvents []hotEvent

func (h hotEvents) Len() int { return len(h) }
func (h hotEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h hotEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *hotEvents) Push(x any)   { *h = append(*h, x.(hotEvent)) }
func (h *hotEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (f *hotTarget) schedule(at time.Duration, do func(now time.Duration)) {
	heap.Push(&f.events, hotEvent{at: at, do: do, order: len(f.events)})
}

const (
	hotTargetServiceTime = 100 * time.Millisecond
	// hotTargetDelay is the one-way delay between a host and the target.
	hotTargetDelay    = 2 * time.Millisecond
	hotTargetDeadline = time.Second
)

// submit makes a host place a request.
func (f *hotTarget) submit(now time.Duration, host int, arrived time.Duration) {
	d := f.hosts[host].Submit(now, Request{
		Workload: "w", Route: "r", Target: "t0", Deadline: arrived + hotTargetDeadline, Objective: hotTargetDeadline / 2, Random: f.rnd.Float64(),
	})
	switch d.Action {
	case Send:
		f.send(now, host, arrived)
	case Wait:
		f.arrivalByTicket[fmt.Sprint(host, "/", d.Ticket)] = arrived
	}
}

func (f *hotTarget) send(now time.Duration, host int, arrived time.Duration) {
	f.schedule(now+hotTargetDelay, func(now time.Duration) {
		f.arrivals++
		s := hotTargetRequest{host, arrived}
		switch {
		case f.running < f.slots:
			f.run(now, s)
		case len(f.waiting) < f.queueCapacity:
			f.waiting = append(f.waiting, s)
		default:
			f.refused++
			f.respond(now, s, true)
		}
	})
}

func (f *hotTarget) run(now time.Duration, s hotTargetRequest) {
	f.running++
	work := time.Duration((0.5 + 0.5*f.rnd.ExpFloat64()) * float64(hotTargetServiceTime))
	f.schedule(now+work, func(now time.Duration) {
		f.respond(now, s, false)
		f.running--
		if len(f.waiting) > 0 {
			next := f.waiting[0]
			f.waiting = f.waiting[1:]
			f.run(now, next)
		}
	})
}

// respond delivers the outcome of a request to its host, which then dispatches waiting
// requests.
func (f *hotTarget) respond(now time.Duration, s hotTargetRequest, shed bool) {
	load := &Load{Running: f.running, Waiting: len(f.waiting), Slots: f.slots, Slowdown: 1}
	f.schedule(now+hotTargetDelay, func(now time.Duration) {
		sample := Outcome{Route: "r", Load: load, Shed: shed, ColdRemaining: -1}
		if !shed {
			sample.ResponseTime = hotTargetServiceTime
			if f.served++; now-s.arrived > hotTargetDeadline {
				f.late++
			}
		}
		f.hosts[s.host].RecordOutcome(now, "t0", sample)
		if shed && now-s.arrived < hotTargetDeadline/2 {
			f.schedule(now+80*time.Millisecond, func(now time.Duration) { f.submit(now, s.host, s.arrived) })
		}
		f.dispatch(now, s.host)
	})
}

func (f *hotTarget) dispatch(now time.Duration, host int) {
	for _, p := range f.hosts[host].Dispatch(now) {
		key := fmt.Sprint(host, "/", p.Ticket)
		arrived := f.arrivalByTicket[key]
		delete(f.arrivalByTicket, key)
		if p.Action == Send {
			f.send(now, host, arrived)
		}
	}
}

// simulate sends requests; load is their rate relative to the target's capacity.
func (f *hotTarget) simulate(length time.Duration, load float64) {
	rate := load * float64(f.slots) / hotTargetServiceTime.Seconds()
	var next func(now time.Duration)
	next = func(now time.Duration) {
		f.submit(now, f.rnd.Intn(len(f.hosts)), now)
		f.schedule(now+time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.schedule(0, next)
	for i := range f.hosts {
		var tick func(now time.Duration)
		tick = func(now time.Duration) {
			f.dispatch(now, i)
			f.schedule(now+20*time.Millisecond, tick)
		}
		f.schedule(0, tick)
	}
	for len(f.events) > 0 && f.events[0].at < length {
		e := heap.Pop(&f.events).(hotEvent)
		e.do(e.at)
	}
}

func newHotTarget(hosts int) *hotTarget {
	f := &hotTarget{rnd: rand.New(rand.NewSource(1)), slots: 2, queueCapacity: 4, arrivalByTicket: map[string]time.Duration{}}
	for range hosts {
		f.hosts = append(f.hosts, newTestScheduler(Config{Domain: "d0"}, 1, 2))
	}
	return f
}

// Load pattern: ten hosts that do not know of each other's requests send 1.5 times the
// capacity of a target for its keys.
func TestHotTargetRejectsLittle(t *testing.T) {
	Convey("a full target is kept full, and refuses few of the requests sent to it", t, func() {
		f := newHotTarget(10)
		f.simulate(60*time.Second, 1.5)
		capacity := 60 * 2 / hotTargetServiceTime.Seconds()
		t.Logf("served %d of %.0f, refused %d of %d arrivals, late %d", f.served, capacity, f.refused, f.arrivals, f.late)
		So(float64(f.served), ShouldBeGreaterThan, 0.9*capacity)
		// With a fixed limit the target refuses four of five arrivals here. In replays
		// of whole days it refuses 23 %, which must not be exceeded.
		So(float64(f.refused), ShouldBeLessThan, 0.23*float64(f.arrivals))
	})
}
