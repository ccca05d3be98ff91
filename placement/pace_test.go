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

// crowd replays requests of many hosts, each with its own Scheduler, at targets with slots
// and a short queue.
type crowd struct {
	rnd       *rand.Rand
	hosts     []*Scheduler
	slots     int
	running   []int
	queued    [][]crowdRequest
	events    hotEvents
	behavior  func(now time.Duration, target int) (factor float64, shedAbove int)
	perSecond []crowdSecond
	// sent counts the requests to each target in each interval of 100 ms.
	sent [][]int
}

// crowdSecond counts the requests that arrived in a second.
type crowdSecond struct{ arrived, inTime, shed int }

type crowdRequest struct {
	host, target int
	arrived      time.Duration
	sent         time.Duration
}

const (
	crowdService   = 160 * time.Millisecond
	crowdObjective = time.Second
	crowdDelay     = 2 * time.Millisecond
)

func newCrowd(hosts, targets int, cfg Config) *crowd {
	c := &crowd{
		rnd: rand.New(rand.NewSource(1)), slots: 6, running: make([]int, targets), queued: make([][]crowdRequest, targets),
		behavior: func(time.Duration, int) (float64, int) { return 1, 12 }, sent: make([][]int, targets),
	}
	for range hosts {
		cfg.Domain = "d0"
		c.hosts = append(c.hosts, newTestScheduler(cfg, targets, c.slots))
	}
	return c
}

func (c *crowd) at(when time.Duration, do func(now time.Duration)) {
	heap.Push(&c.events, hotEvent{at: when, do: do, order: len(c.events)})
}

func (c *crowd) second(arrived time.Duration) *crowdSecond {
	for int(arrived/time.Second) >= len(c.perSecond) {
		c.perSecond = append(c.perSecond, crowdSecond{})
	}
	return &c.perSecond[arrived/time.Second]
}

func (c *crowd) submit(now time.Duration, q crowdRequest) {
	s := c.hosts[q.host]
	d := s.Submit(now, Request{
		Workload: "w", Route: "r", Deadline: q.arrived + 2*crowdObjective, ObjectiveDeadline: q.arrived + crowdObjective, Objective: crowdObjective,
		Random: c.rnd.Float64(),
	})
	switch d.Action {
	case Send:
		_, _ = fmt.Sscanf(d.Target, "t%d", &q.target)
		q.sent = now
		c.at(now+crowdDelay, func(now time.Duration) { c.receive(now, q) })
	case Wait:
		s.Cancel(d.Ticket)
		c.at(now+20*time.Millisecond, func(now time.Duration) { c.submit(now, q) })
	}
}

func (c *crowd) receive(now time.Duration, q crowdRequest) {
	i := int(now / (100 * time.Millisecond))
	for i >= len(c.sent[q.target]) {
		c.sent[q.target] = append(c.sent[q.target], 0)
	}
	c.sent[q.target][i]++
	_, shedAbove := c.behavior(now, q.target)
	switch load := c.running[q.target] + len(c.queued[q.target]); {
	case load >= shedAbove:
		c.second(q.arrived).shed++
		c.respond(now, q, true)
	case c.running[q.target] >= c.slots:
		c.queued[q.target] = append(c.queued[q.target], q)
	default:
		c.run(now, q)
	}
}

func (c *crowd) run(now time.Duration, q crowdRequest) {
	c.running[q.target]++
	factor, _ := c.behavior(now, q.target)
	work := time.Duration(factor * (0.7 + 0.6*c.rnd.Float64()) * float64(crowdService))
	c.at(now+work, func(now time.Duration) {
		c.respond(now, q, false)
		c.running[q.target]--
		if l := c.queued[q.target]; len(l) > 0 {
			c.queued[q.target] = l[1:]
			c.run(now, l[0])
		}
	})
}

func (c *crowd) respond(now time.Duration, q crowdRequest, shed bool) {
	load := &Load{Running: c.running[q.target], Waiting: len(c.queued[q.target]), Slots: c.slots, Slowdown: 1}
	c.at(now+crowdDelay, func(now time.Duration) {
		outcome := Outcome{Route: "r", Load: load, Shed: shed, ColdRemaining: -1}
		if !shed {
			outcome.ResponseTime = now - q.sent
			if now-q.arrived <= crowdObjective {
				c.second(q.arrived).inTime++
			}
		}
		c.hosts[q.host].RecordOutcome(now, fmt.Sprint("t", q.target), outcome)
		if shed {
			c.submit(now, q)
		}
	})
}

// simulate sends requests at a part of the targets' capacity.
func (c *crowd) simulate(length time.Duration, load float64) {
	rate := load * float64(len(c.running)*c.slots) / crowdService.Seconds()
	var next func(now time.Duration)
	next = func(now time.Duration) {
		q := crowdRequest{host: c.rnd.Intn(len(c.hosts)), arrived: now}
		c.second(now).arrived++
		c.submit(now, q)
		c.at(now+time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.at(0, next)
	for len(c.events) > 0 && c.events[0].at < length {
		e := heap.Pop(&c.events).(hotEvent)
		e.do(e.at)
	}
}

// inTime returns the share of requests that were in time, of those that arrived in the
// seconds from first to last.
func (c *crowd) inTime(first, last int) (share float64, shed int) {
	arrived, inTime := 0, 0
	for _, s := range c.perSecond[first : last+1] {
		arrived, inTime, shed = arrived+s.arrived, inTime+s.inTime, shed+s.shed
	}
	return float64(inTime) / float64(arrived), shed
}

// most returns the largest number of requests to one target within 100 ms of the first n.
func (c *crowd) most(n int) int {
	most := 0
	for _, l := range c.sent {
		if len(l) > 0 {
			most = max(most, slices.Max(l[:min(n, len(l))]))
		}
	}
	return most
}

// Load pattern: all hosts start at once under half of the usual load, and know nothing of
// any target. Guards against a crowd at some targets while others are idle, and against a
// slow start that leaves all of them idle.
func TestAllHostsStart(t *testing.T) {
	for _, hosts := range []int{1, 60} { // a coordinator, and hosts that place by themselves
		cfg := Config{WaitWhenLate: true, ColdRateShare: 0.8 / float64(hosts)}
		if hosts == 1 {
			cfg.MaxRequestsPerSlot, cfg.ColdRateShare = 1, 0.8
		}
		run := func(adaptive bool) *crowd {
			cfg.AdaptivePace = adaptive
			c := newCrowd(hosts, 40, cfg)
			c.simulate(8*time.Second, 0.5)
			return c
		}
		Convey(fmt.Sprintf("Given %d senders", hosts), t, func() {
			paced, before := run(true), run(false)
			for second := range 6 {
				p, pShed := paced.inTime(second, second)
				b, bShed := before.inTime(second, second)
				t.Logf("%d senders, second %d: in time %.3f, shed %d; without pace %.3f, %d", hosts, second, p, pShed, b, bShed)
			}
			t.Logf("%d senders: at most %d requests to a target in 100 ms of the first second; without pace %d", hosts, paced.most(10), before.most(10))
			Convey("no target gets a crowd, and from the second second on the usual share is in time", func() {
				So(paced.most(10), ShouldBeLessThanOrEqualTo, before.most(10))
				p, _ := paced.inTime(2, 6)
				b, _ := before.inTime(2, 6)
				So(p, ShouldBeGreaterThan, b-0.01)
				first, _ := paced.inTime(0, 1)
				So(first, ShouldBeGreaterThan, 0.9)
			})
		})
	}
}

// Load pattern: a third of the targets shed all but two requests at once for 5 s, then are
// well again, near the capacity. Guards against targets that stay idle after they shed.
func TestShedThenWellAgain(t *testing.T) {
	for _, hosts := range []int{1, 60} {
		cfg := Config{WaitWhenLate: true, ColdRateShare: 0.8 / float64(hosts)}
		if hosts == 1 {
			cfg.MaxRequestsPerSlot, cfg.ColdRateShare = 1, 0.8
		}
		run := func(adaptive bool) *crowd {
			cfg.AdaptivePace = adaptive
			c := newCrowd(hosts, 12, cfg)
			c.behavior = func(now time.Duration, target int) (float64, int) {
				if target%3 == 0 && now > 5*time.Second && now < 10*time.Second {
					return 1, 2
				}
				return 1, 12
			}
			c.simulate(18*time.Second, 0.75)
			return c
		}
		Convey(fmt.Sprintf("Given %d senders, the targets are used fully within three seconds", hosts), t, func() {
			paced, before := run(true), run(false)
			for _, span := range [][2]int{{1, 4}, {5, 9}, {10, 12}, {13, 16}} {
				p, pShed := paced.inTime(span[0], span[1])
				b, bShed := before.inTime(span[0], span[1])
				t.Logf("%d senders, seconds %d to %d: in time %.3f, shed %d; without pace %.3f, %d", hosts, span[0], span[1], p, pShed, b, bShed)
			}
			p, _ := paced.inTime(13, 16)
			usual, _ := paced.inTime(1, 4)
			So(p, ShouldBeGreaterThan, usual-0.02)
		})
	}
}

// Load pattern: that of TestHotTargetRejectsLittle, ten hosts that send 1.5 times the
// capacity of a target for its keys. The pace replaces the backoff and the lower limit
// after refusals, and is held to the same bounds.
func TestHotTargetWithPace(t *testing.T) {
	Convey("a full target is kept full, and refuses few of the requests sent to it", t, func() {
		f := newHotTarget(10)
		for _, s := range f.hosts {
			s.SetAdaptivePace(true)
			s.SetColdRateShare(0.08)
		}
		f.simulate(60*time.Second, 1.5)
		capacity := 60 * 2 / hotTargetServiceTime.Seconds()
		t.Logf("served %d of %.0f, refused %d of %d arrivals, late %d", f.served, capacity, f.refused, f.arrivals, f.late)
		So(float64(f.served), ShouldBeGreaterThan, 0.9*capacity)
		So(float64(f.refused), ShouldBeLessThan, 0.23*float64(f.arrivals))
	})
}

// Load pattern: hosts with shares start, end and return while a target is cold and demand
// comes and goes. Guards against tokens of many hosts that are spent together; the bound is
// that of docs/design/hard-load.md.
func TestColdTargetOfHostsThatComeAndGo(t *testing.T) {
	Convey("a cold target gets at most 1.5 times its rate plus 8 in a second", t, func() {
		for seed := range int64(30) {
			rnd := rand.New(rand.NewSource(seed))
			n, rate := 2+rnd.Intn(80), []float64{1, 4, 10, 40}[rnd.Intn(4)]
			list := []Target{
				{ID: "cold", Workload: "w", Slots: 6, Usable: true, ColdUntil: time.Hour, ColdRate: rate},
				{ID: "warm", Workload: "w", Slots: 6, Usable: true},
			}
			start := func() *Scheduler {
				s := NewScheduler(Config{AdaptivePace: true, WaitWhenLate: true, ColdRateShare: 0.8 / float64(n)})
				s.SetTargets(list)
				return s
			}
			hosts := make([]*Scheduler, n)
			for i := range hosts {
				hosts[i] = start()
			}
			var sent []time.Duration
			keyed := rnd.Intn(2) == 0
			busy := true
			for now := time.Minute; now < time.Minute+20*time.Second; now += time.Millisecond {
				if rnd.Intn(2000) == 0 {
					busy = !busy
				}
				if rnd.Intn(200) == 0 {
					hosts[rnd.Intn(n)] = start()
				}
				if rnd.Intn(5000) == 0 {
					for i := range hosts {
						hosts[i] = start()
					}
				}
				if !busy {
					continue
				}
				s := hosts[rnd.Intn(n)]
				r := Request{Workload: "w", Route: "r", Deadline: now + 5*time.Second, Random: rnd.Float64()}
				if keyed {
					r.Target = "cold"
				}
				d := s.Submit(now, r)
				switch d.Action {
				case Send:
					s.RecordOutcome(now, d.Target, Outcome{Route: "r", ResponseTime: 10 * time.Millisecond, ColdRemaining: -1})
					if d.Target == "cold" {
						sent = append(sent, now)
					}
				case Wait:
					s.Cancel(d.Ticket)
				}
			}
			most, first := 0, 0
			for i, at := range sent {
				for at-sent[first] >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			So(float64(most), ShouldBeLessThanOrEqualTo, 1.5*rate+8)
			if rate >= 4 && keyed {
				So(len(sent), ShouldBeGreaterThan, int(rate)) // it is not left idle
			}
		}
	})
}
