package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// simulation is a discrete event simulation of one target and its limiter.
type simulation struct {
	rng       *rand.Rand
	admitter  admitter
	events    eventHeap
	now       time.Duration
	customers []simCustomer
	requests  map[uint64]*simRequest
	nextID    uint64
	// serviceTime draws a service time for a number in flight.
	serviceTime func(r *rand.Rand, now time.Duration, inFlight int) time.Duration
	inFlight    int
	maxInFlight int
	// timerAt is when the next Expire is due, 0 when none is.
	timerAt time.Duration
}

// simCustomer is a customer with Poisson arrivals.
type simCustomer struct {
	name           string
	rate           float64
	weight         float64
	deadline       time.Duration
	onTime, late   int
	shed           int
	latency        *hdrhistogram.Histogram
	maxShedWait    time.Duration
	startAt, endAt time.Duration
}

type simRequest struct {
	customer          int
	arrived, deadline time.Duration
	started           time.Duration
}

type event struct {
	at   time.Duration
	kind int    // 0 arrival, 1 end, 2 timer
	n    uint64 // customer index of an arrival, request ID of an end
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// admitter is a Limiter or the fifo that it is compared with.
type admitter interface {
	Arrive(now time.Duration, r Request) (Decision, []Notice)
	Done(now time.Duration, id uint64, s Sample) []Notice
	Expire(now time.Duration) []Notice
	NextExpiry() (time.Duration, bool)
}

// fifo is a fixed limit with a bounded first-in-first-out queue.
type fifo struct {
	limit, maxQueue, running int
	waiting                  []uint64
}

func (f *fifo) Arrive(_ time.Duration, r Request) (Decision, []Notice) {
	switch {
	case f.running < f.limit:
		f.running++
		return Decision{Verdict: Run}, nil
	case len(f.waiting) < f.maxQueue:
		f.waiting = append(f.waiting, r.ID)
		return Decision{Verdict: Wait}, nil
	}
	return Decision{Verdict: Shed}, nil
}

func (f *fifo) Done(time.Duration, uint64, Sample) []Notice {
	if len(f.waiting) == 0 {
		f.running--
		return nil
	}
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	return []Notice{{ID: id, Decision: Decision{Verdict: Run}}}
}

func (f *fifo) Expire(time.Duration) []Notice     { return nil }
func (f *fifo) NextExpiry() (time.Duration, bool) { return 0, false }

func exponential(mean time.Duration) func(*rand.Rand, time.Duration, int) time.Duration {
	return func(r *rand.Rand, _ time.Duration, _ int) time.Duration {
		return time.Duration(r.ExpFloat64() * float64(mean))
	}
}

func newSimulation(seed uint64, a admitter, customers ...simCustomer) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), admitter: a, customers: customers, requests: map[uint64]*simRequest{}}
	for i := range s.customers {
		c := &s.customers[i]
		c.latency = hdrhistogram.New(1, 60_000_000, 3)
		if c.endAt == 0 {
			c.endAt = time.Hour
		}
		s.schedule(max(c.startAt, 0)+s.interarrivalTime(i), 0, uint64(i))
	}
	return s
}

func (s *simulation) interarrivalTime(i int) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.customers[i].rate * float64(time.Second))
}

func (s *simulation) schedule(at time.Duration, kind int, n uint64) {
	heap.Push(&s.events, event{at: at, kind: kind, n: n})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch e.kind {
		case 0:
			s.arrive(int(e.n))
		case 1:
			s.end(e.n)
		case 2:
			if e.at != s.timerAt {
				continue
			}
			s.timerAt = 0
			s.apply(s.admitter.Expire(s.now))
		}
		if at, ok := s.admitter.NextExpiry(); ok && (s.timerAt == 0 || at < s.timerAt) {
			s.timerAt = max(at, s.now+time.Microsecond)
			s.schedule(s.timerAt, 2, 0)
		}
	}
}

func (s *simulation) arrive(i int) {
	c := &s.customers[i]
	if s.now < c.endAt {
		s.schedule(s.now+s.interarrivalTime(i), 0, uint64(i))
	}
	s.nextID++
	id := s.nextID
	s.requests[id] = &simRequest{customer: i, arrived: s.now, deadline: s.now + c.deadline}
	d, notices := s.admitter.Arrive(s.now, Request{ID: id, Customer: c.name, Weight: c.weight, Deadline: s.now + c.deadline})
	s.handleDecision(id, d)
	s.apply(notices)
}

func (s *simulation) apply(notices []Notice) {
	for _, n := range notices {
		s.handleDecision(n.ID, n.Decision)
	}
}

func (s *simulation) handleDecision(id uint64, d Decision) {
	r := s.requests[id]
	switch d.Verdict {
	case Run:
		s.inFlight++
		s.maxInFlight = max(s.maxInFlight, s.inFlight)
		r.started = s.now
		s.schedule(s.now+s.serviceTime(s.rng, s.now, s.inFlight), 1, id)
	case Shed:
		c := &s.customers[r.customer]
		c.shed++
		c.maxShedWait = max(c.maxShedWait, s.now-r.arrived)
		delete(s.requests, id)
	}
}

func (s *simulation) end(id uint64) {
	r := s.requests[id]
	c := &s.customers[r.customer]
	if s.now <= r.deadline {
		c.onTime++
		_ = c.latency.RecordValue(int64((s.now - r.arrived) / time.Microsecond))
	} else {
		c.late++
	}
	delete(s.requests, id)
	s.inFlight--
	s.apply(s.admitter.Done(s.now, id, Sample{Latency: s.now - r.started}))
}

func newLimiter(slots int) *Limiter {
	l, err := New(Config{}, Limits{Slots: slots}, 0, InitialState{Warm: true})
	if err != nil {
		panic(err)
	}
	return l
}

// goodput returns the number of requests per second that meet their deadlines at
// a load given as a multiple of the capacity.
func goodput(a admitter, slots int, load float64, seed uint64) float64 {
	const mean, length = 10 * time.Millisecond, 60 * time.Second
	rate := load * float64(slots) / mean.Seconds()
	var cs []simCustomer
	for i := range 4 {
		cs = append(cs, simCustomer{name: fmt.Sprint(i), rate: rate / 4, weight: 1, deadline: 200 * time.Millisecond})
	}
	s := newSimulation(seed, a, cs...)
	s.serviceTime = exponential(mean)
	s.run(length)
	good := 0
	for _, c := range s.customers {
		good += c.onTime
	}
	return float64(good) / length.Seconds()
}

// wellBehavedUnderFlood returns the p99 in milliseconds of a customer at 0.2 of
// the capacity beside one that floods at the given load, and the share of its
// requests that meet their deadlines.
func wellBehavedUnderFlood(a admitter, slots int, flood float64, length time.Duration) (p99, share float64) {
	const mean = 10 * time.Millisecond
	capacity := float64(slots) / mean.Seconds()
	s := newSimulation(7, a,
		simCustomer{name: "innocent", rate: 0.2 * capacity, weight: 1, deadline: time.Second},
		simCustomer{name: "flood", rate: max(flood*capacity, 1e-6), weight: 1, deadline: time.Second})
	s.serviceTime = exponential(mean)
	s.run(length)
	c := s.customers[0]
	return float64(c.latency.ValueAtQuantile(99)) / 1000, float64(c.onTime) / float64(c.onTime+c.late+c.shed)
}

// BenchmarkComparison reports goodput and the well-behaved customer's p99 of the
// limiter and of a fixed limit with a FIFO queue.
func BenchmarkComparison(b *testing.B) {
	kinds := map[string]func(int) admitter{
		"limiter": func(n int) admitter { return newLimiter(n) },
		"fifo":    func(n int) admitter { return &fifo{limit: n, maxQueue: 128} },
	}
	for _, slots := range []int{2, 6} {
		for name, build := range kinds {
			for _, load := range []float64{0.5, 1, 1.5, 2, 3} {
				b.Run(fmt.Sprintf("goodput/%s/slots=%d/load=%.1f", name, slots, load), func(b *testing.B) {
					for range b.N {
						b.ReportMetric(goodput(build(slots), slots, load, 1), "good/s")
					}
				})
			}
			for _, flood := range []float64{0, 0.7, 3} {
				b.Run(fmt.Sprintf("innocent/%s/slots=%d/flood=%.1f", name, slots, flood), func(b *testing.B) {
					for range b.N {
						p99, share := wellBehavedUnderFlood(build(slots), slots, flood, 20*time.Minute)
						b.ReportMetric(p99, "p99-ms")
						b.ReportMetric(share, "served")
					}
				})
			}
		}
	}
}
