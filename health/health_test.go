package health

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func mustPool(domain string) *Pool {
	p, err := NewPool(Config{}, domain)
	if err != nil {
		panic(err)
	}
	return p
}

func targets(n int) (ts []Target) {
	for i := range n {
		ts = append(ts, Target{Name: fmt.Sprint("t", i), Domain: fmt.Sprint("d", i%2), Slots: 2, Fit: true})
	}
	return ts
}

// fleet simulates targets with first-in-first-out queues and hosts that
// choose between them.
type fleet struct {
	rnd     *rand.Rand
	hosts   []*Pool
	free    [][]time.Duration // for each target, when each slot is free
	ends    [][]time.Duration // for each target, the ends of its requests
	mean    []float64         // for each target, at its home
	slow    func(now time.Duration, target int) float64
	pending endHeap
	sent    []int
	latency []time.Duration
}

type end struct {
	at, arrived, service time.Duration
	host, target         int
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newFleet(hosts, n int, slow func(time.Duration, int) float64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(1, 1)), slow: slow, sent: make([]int, n), mean: make([]float64, n)}
	for i := range hosts {
		p := mustPool(fmt.Sprint("d", i%2))
		p.SetTargets(targets(n))
		f.hosts = append(f.hosts, p)
	}
	for range n {
		f.free = append(f.free, make([]time.Duration, 2))
		f.ends = append(f.ends, nil)
	}
	return f
}

// run sends requests at the load, in units of the capacity without slow
// targets, with a mean service time of 10 ms.
func (f *fleet) run(from, to time.Duration, load float64) {
	rate := load * float64(2*len(f.free)) / 0.010
	f.latency = f.latency[:0]
	for now := from; now < to; now += time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)) {
		for len(f.pending) > 0 && f.pending[0].at <= now {
			f.end(heap.Pop(&f.pending).(end))
		}
		h := f.rnd.IntN(len(f.hosts))
		c, ok := f.hosts[h].Choose(now, f.rnd.Uint64(), "")
		if !ok {
			continue
		}
		var t int
		fmt.Sscanf(c.Name, "t%d", &t)
		f.hosts[h].Sent(c.Name)
		f.sent[t]++
		slices.Sort(f.free[t])
		service := time.Duration((0.5 + 0.5*f.rnd.ExpFloat64()) * f.slow(now, t) * float64(10*ms))
		done := max(now, f.free[t][0]) + service
		f.free[t][0] = done
		f.ends[t] = append(f.ends[t], done)
		heap.Push(&f.pending, end{at: done, arrived: now, service: service, host: h, target: t})
	}
}

func (f *fleet) end(e end) {
	f.latency = append(f.latency, e.at-e.arrived)
	f.ends[e.target] = slices.DeleteFunc(f.ends[e.target], func(at time.Duration) bool { return at <= e.at })
	m := &f.mean[e.target]
	if *m == 0 {
		*m = e.service.Seconds()
	}
	*m += (e.service.Seconds() - *m) / 16
	name, n := fmt.Sprint("t", e.target), len(f.ends[e.target])
	f.hosts[e.host].Ended(e.at, name, e.service, false)
	f.hosts[e.host].Report(e.at, name, Load{InFlight: min(n, 2), Queued: max(0, n-2), Limit: 2, Service: time.Duration(*m * float64(time.Second))})
}

func (f *fleet) p99() time.Duration {
	slices.Sort(f.latency)
	return f.latency[len(f.latency)*99/100]
}

// The design promises that one target in eight that is ten times slower makes
// the p99 at most 1.5 times as high.
func TestSlowTarget(t *testing.T) {
	Convey("a slow target gets few requests, and its load back when it recovers", t, func() {
		f := newFleet(4, 8, func(now time.Duration, i int) float64 {
			if i == 3 && now > 10*time.Second && now < 30*time.Second {
				return 10
			}
			return 1
		})
		f.run(0, 10*time.Second, 0.6)
		before := f.p99()
		f.run(10*time.Second, 12*time.Second, 0.6)
		f.sent[3] = 0
		f.run(12*time.Second, 30*time.Second, 0.6)
		So(f.p99(), ShouldBeLessThan, before*3/2)
		st, _ := f.hosts[0].State(30*time.Second, "t3")
		So(st.Slow, ShouldBeTrue)
		// Probes have to go on, and to stay below 1% of the requests.
		So(f.sent[3], ShouldBeBetween, 18, 0.01*0.6*1600*18)
		f.run(30*time.Second, 45*time.Second, 0.6)
		for _, h := range f.hosts {
			st, _ := h.State(45*time.Second, "t3")
			So(st.Weight, ShouldEqual, 1)
		}
	})
}

// A comparison with the fastest target, or at two targets, blames normal ones.
func TestNotSlow(t *testing.T) {
	Convey("targets near the median, or of a pair, keep their weight", t, func() {
		for _, services := range [][]int{{10, 25, 28, 31}, {10, 100}, {10, 10, 29}} {
			p := mustPool("d0")
			p.SetTargets(targets(len(services)))
			for now := time.Second; now < 3*time.Second; now += 100 * ms {
				for i, s := range services {
					p.Report(now, fmt.Sprint("t", i), Load{Service: time.Duration(s) * ms})
				}
			}
			for i := range services {
				st, _ := p.State(3*time.Second, fmt.Sprint("t", i))
				So(st.Slow, ShouldBeFalse)
			}
		}
	})
}

// Moving the load of most targets would overload the rest.
func TestPropertyAtMostHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		p := mustPool("d0")
		p.SetTargets(targets(n))
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * ms
			for i := range n {
				service := time.Duration(rapid.SampledFrom([]int{1, 1, 1, 10, 40, 200}).Draw(t, "service")) * ms
				if rapid.Bool().Draw(t, "report") {
					p.Report(now, fmt.Sprint("t", i), Load{Limit: 2, Service: service})
				} else {
					p.Ended(now, fmt.Sprint("t", i), service, false)
				}
			}
			slow := 0
			for i := range n {
				st, _ := p.State(now, fmt.Sprint("t", i))
				if st.Slow {
					slow++
				}
				if !(st.Weight > 0 && st.Weight <= 1) {
					t.Fatalf("weight %v", st.Weight)
				}
			}
			if 2*slow > n || slow != len(p.reduced) {
				t.Fatalf("%d of %d targets are slow, %d listed", slow, n, len(p.reduced))
			}
			if c, ok := p.Choose(now, rapid.Uint64().Draw(t, "random"), "t0"); ok != (n > 1) || ok && c.Name == "t0" {
				t.Fatalf("chose %+v, %v", c, ok)
			}
		}
	})
}

// A choice by old or distant reports sends requests past an idle target.
func TestChoose(t *testing.T) {
	count := func(p *Pool, now time.Duration) map[string]int {
		r, n := rand.New(rand.NewPCG(2, 2)), map[string]int{}
		for range 1000 {
			if c, ok := p.Choose(now, r.Uint64(), ""); ok {
				n[c.Name]++
			}
		}
		return n
	}
	Convey("the own domain is used first, and evenly", t, func() {
		p := mustPool("d0")
		p.SetTargets(targets(6))
		n := count(p, 0)
		for _, name := range []string{"t0", "t2", "t4"} {
			So(n[name], ShouldBeBetween, 250, 420)
		}
		So(n["t1"]+n["t3"]+n["t5"], ShouldEqual, 0)
		Convey("the shorter queue is chosen while its report is fresh", func() {
			p.Report(time.Second, "t0", Load{InFlight: 2, Queued: 4, Service: 10 * ms})
			p.Report(time.Second, "t2", Load{Service: 10 * ms})
			p.Report(time.Second, "t4", Load{Service: 10 * ms})
			n := count(p, time.Second)
			So(n["t0"], ShouldEqual, 0)
			So(n["t2"]+n["t4"], ShouldEqual, 1000)
			So(count(p, 5*time.Second)["t0"], ShouldBeBetween, 250, 420)
		})
		Convey("load spills over when the own domain has long queues", func() {
			for i := range 6 {
				p.Report(time.Second, fmt.Sprint("t", i), Load{InFlight: 2, Queued: 8 * (1 - i%2), Service: 10 * ms})
			}
			n := count(p, time.Second)
			So(n["t1"]+n["t3"]+n["t5"], ShouldEqual, 1000)
		})
		Convey("and when it has no fit target", func() {
			ts := targets(6)
			for i := range ts {
				ts[i].Fit = i%2 == 1
			}
			p.SetTargets(ts)
			n := count(p, time.Second)
			So(n["t1"]+n["t3"]+n["t5"], ShouldEqual, 1000)
		})
	})
	Convey("requests sent since the report count", t, func() {
		p := mustPool("d0")
		p.SetTargets(targets(4))
		p.Report(time.Second, "t0", Load{Service: 10 * ms})
		p.Report(time.Second, "t2", Load{InFlight: 1, Service: 10 * ms})
		for range 4 {
			p.Sent("t0")
		}
		So(count(p, time.Second)["t2"], ShouldEqual, 1000)
	})
	Convey("settings out of range are refused", t, func() {
		for _, c := range []Config{{SlowFactor: 1}, {MinWeight: 2}, {Probes: -1}, {ProbeShare: 2}, {MaxAge: -1}, {RestoreFactor: 0.5}} {
			_, err := NewPool(c, "d")
			So(err, ShouldHaveSameTypeAs, &ConfigError{})
		}
	})
}

// BenchmarkChoose measures a choice between 20 targets with a slow one.
func BenchmarkChoose(b *testing.B) {
	p := mustPool("d0")
	p.SetTargets(targets(20))
	for now := time.Duration(0); now < time.Second; now += 100 * ms {
		for i := range 20 {
			p.Report(now, fmt.Sprint("t", i), Load{Service: time.Duration(10+100*(i/19)) * ms})
		}
	}
	b.ReportAllocs()
	r := rand.New(rand.NewPCG(1, 1))
	for range b.N {
		c, _ := p.Choose(time.Second, r.Uint64(), "")
		p.Sent(c.Name)
		p.Ended(time.Second, c.Name, 10*ms, false)
	}
}
