package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/fleet"
)

var limitedTarget = fleet.Incarnation{ID: "t", Born: 1, Address: "a"}

// limitReplay replays callers whose requests arrive at random at the hosts of a fleet,
// for a target that states a limit for all hosts together. Callers that are refused do
// not come back.
type limitReplay struct {
	hosts     int
	perSecond float64
	// demand is the rate of requests for the target in multiples of its limit.
	demand   float64
	duration time.Duration
	rnd      *rand.Rand
	sends    []time.Duration
}

// hop is the transit time between two hosts in the replay.
const hop = 2 * time.Millisecond

func newLimitReplay(hosts int, perSecond, demand float64) *limitReplay {
	return &limitReplay{
		hosts: hosts, perSecond: perSecond, demand: demand, duration: max(60*time.Second, time.Duration(100/perSecond)*time.Second),
		rnd: rand.New(rand.NewPCG(uint64(hosts), uint64(1000*perSecond))),
	}
}

// run calls admit for each request; admit returns when the request is sent, or false.
func (r *limitReplay) run(admit func(now time.Duration, host int) (time.Duration, bool)) {
	rate := r.perSecond * r.demand
	for now := time.Duration(0); ; {
		now += time.Duration(r.rnd.ExpFloat64() / rate * float64(time.Second))
		if now >= r.duration {
			return
		}
		if at, ok := admit(now, r.rnd.IntN(r.hosts)); ok {
			r.sends = append(r.sends, at)
		}
	}
}

// mostInWindow returns the most requests in 4 s between two times.
func (r *limitReplay) mostInWindow(from, to time.Duration) int {
	most := 0
	for i, at := range r.sends {
		if at < from || at >= to {
			continue
		}
		n := 0
		for _, other := range r.sends[i:] {
			if other < at+4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// usedShare returns the rate of requests between two times relative to the limit.
func (r *limitReplay) usedShare(from, to time.Duration) float64 {
	n := 0
	for _, at := range r.sends {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / r.perSecond / (to - from).Seconds()
}

// allowed is the users' rule for 4 s.
func (r *limitReplay) allowed() int { return int(1.5*4*r.perSecond + 5) }

const settled = 3 * time.Second

// permitHosts is the way in which the hosts of a fleet use a counter.
type permitHosts struct {
	r       *limitReplay
	counter *PermitCounter
	shares  []*EvenShares
	// nextAt is when each host asks again after a refusal, cut whether it reaches no
	// counter. asked counts the messages to the counter.
	nextAt []time.Duration
	cut    []bool
	hosts  HostCount
	asked  int
}

func newPermitHosts(r *limitReplay) *permitHosts {
	p := &permitHosts{r: r, counter: NewPermitCounter(), nextAt: make([]time.Duration, r.hosts), cut: make([]bool, r.hosts)}
	for range r.hosts {
		p.shares = append(p.shares, NewEvenShares(0))
	}
	p.hosts.Observe(0, r.hosts)
	return p
}

func (p *permitHosts) admit(now time.Duration, host int) (time.Duration, bool) {
	if now < p.nextAt[host] {
		return 0, false
	}
	at := now + 2*hop
	var x Permit
	if p.cut[host] {
		at = now
		x = p.shares[host].Take(now, limitedTarget, p.r.perSecond, p.r.hosts, p.r.rnd.Float64())
	} else {
		p.asked++
		p.shares[host].ReachedCounter(now)
		var granted int
		granted, x = p.counter.Take(now+hop, limitedTarget, p.r.perSecond*p.hosts.ConnectedShare(now), 1)
		x.Granted = granted == 1
	}
	if !x.Granted {
		p.nextAt[host] = at + x.NextAfter
	}
	return at, x.Granted
}

// cutHosts cuts the first n hosts off from the counter, or reconnects all with 0.
func (p *permitHosts) cutHosts(now time.Duration, n int) {
	p.hosts.Observe(now, p.r.hosts-n)
	for i := range p.cut {
		p.cut[i] = i < n
		p.nextAt[i] = now
	}
}

// sharesByDemand is the way of contracts: an even share for each host and loans.
func sharesByDemand(r *limitReplay) func(time.Duration, int) (time.Duration, bool) {
	c := contract.Contract{RatePerSecond: r.perSecond, Burst: max(minPermitBurst, r.perSecond*permitBurst.Seconds()), Concurrency: 1 << 20, Workloads: []string{"w"}}
	var names []string
	for i := range r.hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	contracts := map[string]contract.Contract{"t": c}
	var enforcers []*Enforcer
	lender := NewLender(Config{}, Hosts{Self: LenderOf("t", names), Configured: names, Live: names}, "1")
	lender.SetContracts(contracts)
	for _, name := range names {
		e := NewEnforcer(Config{}, Hosts{Self: name, Configured: names, Live: names}, "1")
		e.SetContracts(0, contracts)
		enforcers = append(enforcers, e)
	}
	lastLoans := time.Duration(0)
	return func(now time.Duration, host int) (time.Duration, bool) {
		for ; lastLoans < now; lastLoans += 10 * time.Millisecond {
			for _, e := range enforcers {
				for _, b := range e.DueBorrowRequests(lastLoans) {
					e.ApplyLoan(lastLoans, b, lender.Lend(lastLoans, b))
				}
			}
		}
		ok := enforcers[host].Admit(now, "t", "w", 0).Admitted
		enforcers[host].Done("t")
		return now, ok
	}
}

// TestWaysToKeepALimitOfATarget weighs the ways to keep a limit that a target states for
// all hosts together, most of which send it less than one request a second.
func TestWaysToKeepALimitOfATarget(t *testing.T) {
	for _, hosts := range []int{3, 10, 86, 295} {
		for _, perSecond := range []float64{0.5, 1.6, 20, 200} {
			shares := newLimitReplay(hosts, perSecond, 4)
			shares.run(sharesByDemand(shares))
			even := newLimitReplay(hosts, perSecond, 4)
			none := newPermitHosts(even)
			none.cutHosts(0, hosts)
			even.run(none.admit)
			permits := newLimitReplay(hosts, perSecond, 4)
			counted := newPermitHosts(permits)
			permits.run(counted.admit)
			row := func(r *limitReplay) string {
				return fmt.Sprintf("%4d %.2f", r.mostInWindow(settled, r.duration), r.usedShare(settled, r.duration))
			}
			t.Logf("hosts %3d limit %5.1f allowed %4d | shares by demand %s | even shares %s | permits %s, %.1f messages a second",
				hosts, perSecond, permits.allowed(), row(shares), row(even), row(permits), float64(counted.asked)/permits.duration.Seconds())
			if n := permits.mostInWindow(settled, permits.duration); n > permits.allowed() {
				t.Errorf("permits: %d hosts, limit %.1f: %d requests in 4 s, allowed %d", hosts, perSecond, n, permits.allowed())
			}
			if u := permits.usedShare(settled, permits.duration); u < 0.9 {
				t.Errorf("permits: %d hosts, limit %.1f: %.2f of the limit is used", hosts, perSecond, u)
			}
		}
	}
}

// TestLimitOfATargetWhileHostsAreCutOff guards against hosts that go on without the
// counter, beside those that reach it, and against a limit that they leave unused.
func TestLimitOfATargetWhileHostsAreCutOff(t *testing.T) {
	for _, hosts := range []int{3, 10, 86, 295} {
		for _, perSecond := range []float64{0.5, 1.6, 20} {
			for _, share := range []float64{0.3, 0.5, 1} {
				r := newLimitReplay(hosts, perSecond, 4)
				p := newPermitHosts(r)
				r.duration = 120 * time.Second
				cutAt, healedAt, changed := 20*time.Second, 45*time.Second, false
				r.run(func(now time.Duration, host int) (time.Duration, bool) {
					switch {
					case now >= healedAt && p.cut[0]:
						p.cutHosts(now, 0)
						p.counter = NewPermitCounter() // another leader counts anew
					case now >= cutAt && now < healedAt && !changed:
						changed = true
						p.cutHosts(now, max(1, int(share*float64(hosts))))
					}
					return p.admit(now, host)
				})
				if n := r.mostInWindow(settled, r.duration); n > r.allowed() {
					t.Errorf("%d hosts, limit %.1f, %.1f of the hosts cut off: %d requests in 4 s, allowed %d", hosts, perSecond, share, n, r.allowed())
				}
				connected := 1 - float64(max(1, int(share*float64(hosts))))/float64(hosts)
				used := r.usedShare(cutAt, healedAt)
				if r.perSecond > 1 && used < 0.9*connected {
					t.Errorf("%d hosts, limit %.1f: %.2f of the limit is used while %.2f of the hosts reach the counter", hosts, perSecond, used, connected)
				}
				t.Logf("%d hosts, limit %.1f, %.1f of the hosts cut off: at most %d in 4 s, allowed %d; %.2f used meanwhile", hosts, perSecond, share, r.mostInWindow(settled, r.duration), r.allowed(), used)
			}
		}
	}
}

func TestPermitCounter(t *testing.T) {
	Convey("Given a counter for a target with a limit of 2 a second", t, func() {
		c := NewPermitCounter()
		c.Take(0, limitedTarget, 2, 1)
		take := func(now time.Duration, n int) (int, Permit) { return c.Take(now, limitedTarget, 2, n) }
		Convey("it starts without permits and tells refused callers apart", func() {
			_, first := c.Take(0, fleet.Incarnation{ID: "other"}, 2, 1)
			So(first, ShouldResemble, Permit{NextAfter: 500 * time.Millisecond, ComeBackAfter: 500 * time.Millisecond})
			_, second := c.Take(0, fleet.Incarnation{ID: "other"}, 2, 1)
			So(second, ShouldResemble, Permit{NextAfter: 500 * time.Millisecond, ComeBackAfter: time.Second})
		})
		Convey("unused permits accumulate up to the burst", func() {
			n, _ := take(time.Minute, 10)
			So(n, ShouldEqual, minPermitBurst)
		})
		Convey("refused callers are spread over maxComeBackAfter at most", func() {
			_, x := take(0, 100)
			So(x.NextAfter, ShouldEqual, 500*time.Millisecond)
			_, x = take(0, 1)
			So(x.ComeBackAfter, ShouldEqual, maxComeBackAfter)
		})
		Convey("a limit that rises or falls counts from the next request on", func() {
			n, _ := c.Take(time.Second, limitedTarget, 100, 100)
			So(n, ShouldEqual, 50)
			n, x := c.Take(2*time.Second, limitedTarget, 0.1, 1)
			So(n, ShouldEqual, 0)
			So(x.NextAfter, ShouldBeBetween, 8*time.Second, 9100*time.Millisecond)
		})
		Convey("a limit of zero grants nothing", func() {
			n, _ := c.Take(time.Hour, fleet.Incarnation{ID: "zero"}, 0, 1)
			So(n, ShouldEqual, 0)
			n, _ = c.Take(2*time.Hour, fleet.Incarnation{ID: "zero"}, 0, 1)
			So(n, ShouldEqual, 0)
		})
	})
}

func TestHostCount(t *testing.T) {
	Convey("Hosts that are gone count for half a minute to a minute", t, func() {
		var h HostCount
		So(h.Recent(0), ShouldEqual, 0)
		h.Observe(time.Second, 10)
		So(h.ConnectedShare(time.Second), ShouldEqual, 1)
		h.Observe(2*time.Second, 4)
		So(h.ConnectedShare(2*time.Second), ShouldEqual, 0.4)
		So(h.Recent(29*time.Second), ShouldEqual, 10)
		So(h.Recent(32*time.Second), ShouldEqual, 10)
		So(h.Recent(62*time.Second), ShouldEqual, 4)
		So(h.ConnectedShare(62*time.Second), ShouldEqual, 1)
		h.Observe(10*time.Minute, 12)
		So(h.ConnectedShare(10*time.Minute), ShouldEqual, 1)
	})
}

// TestStatementsOutOfOrder guards against an old statement that undoes a newer one, and
// against a limit that is ended by a response made before the limit.
func TestStatementsOutOfOrder(t *testing.T) {
	at := func(perSecond float64, sent, received int) LimitStatement {
		return LimitStatement{Target: limitedTarget, PerSecond: perSecond, SentAt: time.Duration(sent), ReceivedAt: time.Duration(received)}
	}
	limitAfter := func(list ...LimitStatement) float64 {
		x := NewTargetLimits()
		for _, s := range list {
			x.Apply(s)
		}
		s, _ := x.Get(limitedTarget)
		return s.PerSecond
	}
	Convey("A response without a limit is no state", t, func() {
		x := NewTargetLimits()
		So(x.Apply(at(0, 1, 2)), ShouldBeFalse)
		So(x.All(), ShouldBeEmpty)
	})
	Convey("A statement that was certainly made later replaces another, in any order of arrival", t, func() {
		So(limitAfter(at(2, 1, 5), at(4, 5, 9)), ShouldEqual, 4)
		So(limitAfter(at(4, 5, 9), at(2, 1, 5)), ShouldEqual, 4)
		So(limitAfter(at(2, 1, 5), at(0, 6, 9)), ShouldEqual, 0)
		So(limitAfter(at(2, 1, 5), at(0, 6, 9), at(2, 1, 5)), ShouldEqual, 0)
	})
	Convey("Of statements whose order is unknown the lower limit is in force", t, func() {
		So(limitAfter(at(2, 1, 5), at(0, 2, 6)), ShouldEqual, 2)
		So(limitAfter(at(4, 1, 5), at(0, 6, 9), at(2, 7, 8)), ShouldEqual, 2)
		So(limitAfter(at(2, 1, 5), at(4, 3, 9)), ShouldEqual, 2)
	})
	Convey("Responses that overlap without end do not keep a limit from rising or ending", t, func() {
		for _, last := range []float64{0, 9} {
			x := NewTargetLimits()
			for i := range 10 {
				x.Apply(at(2, 2*i, 2*i+10))
			}
			for i := 10; i < 20; i++ {
				x.Apply(at(last, 2*i, 2*i+10))
			}
			s, _ := x.Get(limitedTarget)
			So(s.PerSecond, ShouldEqual, last)
		}
	})
	Convey("Apply tells whether the limit changed, and Retain drops targets", t, func() {
		x := NewTargetLimits()
		So(x.Apply(at(2, 1, 2)), ShouldBeTrue)
		So(x.Apply(at(2, 3, 4)), ShouldBeFalse)
		So(x.Apply(at(0, 5, 6)), ShouldBeTrue)
		So(x.Apply(at(0, 7, 8)), ShouldBeFalse)
		So(x.Retain(func(LimitStatement) bool { return false }), ShouldResemble, []fleet.Incarnation{limitedTarget})
		So(x.All(), ShouldBeEmpty)
	})
}

// TestTurnsAreNotSaved guards against hosts that save their turns while there is little
// demand and use them at once when it returns.
func TestTurnsAreNotSaved(t *testing.T) {
	for _, hosts := range []int{3, 86, 295} {
		for _, perSecond := range []float64{0.1, 1.6, 20} {
			rnd := rand.New(rand.NewPCG(1, uint64(hosts)))
			granted := 0
			now := 10 * time.Minute
			for range hosts {
				e := NewEvenShares(0)
				e.Take(time.Second, limitedTarget, perSecond, hosts, rnd.Float64())
				for at := now; at < now+4*time.Second; at += 100 * time.Millisecond {
					if e.Take(at, limitedTarget, perSecond, hosts, rnd.Float64()).Granted {
						granted++
					}
				}
			}
			if allowed := 1.5*4*perSecond + 5; float64(granted) > allowed {
				t.Errorf("%d hosts, limit %.1f: %d requests in 4 s after ten minutes, allowed %.0f", hosts, perSecond, granted, allowed)
			}
		}
	}
}
