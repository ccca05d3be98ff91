package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Bound of the deployments: in each window, all hosts together admit at most
// (rate·window + burst)·(1 + quotaOverage) + quotaSlack requests of a customer.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

func quota(l Allotment) float64 {
	return (l.PerSecond*quotaWindow.Seconds()+l.Burst)*(1+quotaOverage) + quotaSlack
}

// historyStep is the resolution of a history.
const historyStep = 10 * time.Millisecond

// history is a random run of hosts that admit the requests of customers, with faults.
type history struct {
	r         *rand.Rand
	now       time.Duration
	hosts     []*historyHost
	term      uint64
	leaders   map[uint64]*historyLeader
	customers []Allotment
	// loweredAt is when all hosts knew the lower limits of lowered.
	loweredAt time.Duration
	lowered   []Allotment
	// admitted counts the admitted requests of each customer by step.
	admitted [][]int
	events   []historyEvent
	// flood is the number of requests in each step that a host has for each customer.
	flood []int
	trace []string
}

type historyEvent struct {
	at  time.Duration
	run func()
}

type historyLeader struct {
	host *historyHost
	term uint64
	a    *Allotments
}

type historyHost struct {
	name   string
	listed bool
	share  *AllotmentShare
	// side is the part of the network that the host is in.
	side        int
	pausedUntil time.Duration
	// follows is the term that the host follows, 0 for none. heard is when it last heard of
	// its leader.
	follows uint64
	heard   time.Duration
	sending bool
	sentAt  time.Duration
	life    int
	waiting []int
}

func newHistory(seed uint64) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 7)), leaders: map[uint64]*historyLeader{}, now: time.Hour}
	h.customers = []Allotment{{30, 12}, {2, 0}, {300, 60}, {0.5, 5}, {1000, 0}, {60, 600}}
	h.admitted, h.flood = make([][]int, len(h.customers)), make([]int, len(h.customers))
	hosts := 3 + h.r.IntN(40)
	if seed%8 == 7 {
		hosts = 85
	}
	for i := range hosts {
		// A sixth of the hosts reaches no leader ever, so that none knows them.
		h.hosts = append(h.hosts, &historyHost{name: fmt.Sprint("h", i), listed: i < 3 || h.r.IntN(6) > 0})
		h.start(h.hosts[i])
	}
	return h
}

func (h *history) start(x *historyHost) {
	x.share, x.life, x.follows, x.sending = NewAllotmentShare(h.now), x.life+1, 0, false
	x.waiting = make([]int, len(h.customers))
	for term, l := range h.leaders {
		if l.host == x {
			delete(h.leaders, term)
		}
	}
}

func (h *history) after(d time.Duration, run func()) {
	h.events = append(h.events, historyEvent{h.now + d, run})
}

// transit returns how long a message takes, or false if it is lost.
func (h *history) transit() (time.Duration, bool) {
	switch n := h.r.IntN(100); {
	case n < 2:
		return 0, false
	case n < 5:
		return time.Duration(h.r.IntN(3000)) * time.Millisecond, true
	}
	return time.Duration(h.r.IntN(12)) * time.Millisecond, true
}

// listed returns the number of hosts that leaders count.
func (h *history) listed() (n int) {
	for _, x := range h.hosts {
		if x.listed {
			n++
		}
	}
	return n
}

// elect makes a listed host the leader of a new term. The earlier one may lead on.
func (h *history) elect() {
	x := h.hosts[h.r.IntN(len(h.hosts))]
	if !x.listed || x.pausedUntil > h.now {
		return
	}
	h.term++
	for term, l := range h.leaders {
		if l.host == x {
			delete(h.leaders, term)
		}
	}
	term := h.term
	h.leaders[term] = &historyLeader{x, term, NewAllotments(h.now, x.share.LeadsFrom(h.now, 0))}
	x.follows = 0
	x.share.BeginLeader(h.now, 0)
	h.note("elect %s term %d", x.name, term)
	for old := range h.leaders {
		if old < term {
			h.after(time.Duration(h.r.IntN(8000))*time.Millisecond, func() { delete(h.leaders, old) })
		}
	}
}

func (h *history) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf("%v ", h.now-time.Hour)+fmt.Sprintf(format, args...))
}

func (h *history) fault() {
	x := h.hosts[h.r.IntN(len(h.hosts))]
	switch h.r.IntN(9) {
	case 0, 1: // a part of the hosts is cut off
		h.note("cut")
		part := h.r.IntN(len(h.hosts))
		for i, y := range h.hosts {
			y.side = 0
			if i < part {
				y.side = 1
			}
		}
	case 2, 3:
		h.note("healed")
		for _, y := range h.hosts {
			y.side = 0
		}
	case 4:
		h.elect()
	case 5:
		h.note("restart %s", x.name)
		h.start(x)
	case 6:
		x.pausedUntil = h.now + time.Duration(h.r.IntN(5000))*time.Millisecond
		h.note("pause %s until %v", x.name, x.pausedUntil-time.Hour)
	case 7:
		if h.r.IntN(4) == 0 {
			h.note("all hosts restart")
			for _, y := range h.hosts {
				h.start(y)
			}
		}
	case 8: // all sources fall silent, so that tokens and turns accumulate
		clear(h.flood)
	}
	for i := range h.flood {
		if h.r.IntN(3) == 0 {
			h.flood[i] = []int{0, 1, 8}[h.r.IntN(3)]
		}
	}
}

func (h *history) connected(x *historyHost, l *historyLeader) bool {
	return l != nil && l.host.side == x.side && l.host != x && x.listed
}

// follow lets a host find the newest leader on its side, and notice that it hears nothing.
func (h *history) follow(x *historyHost) {
	if l := h.leaders[x.follows]; h.connected(x, l) && l.host.pausedUntil <= h.now {
		x.heard = h.now
	}
	if x.follows != 0 && h.now-x.heard > 900*time.Millisecond {
		x.follows = 0
		x.share.BeginLeader(h.now, 0)
	}
	newest := uint64(0)
	for term, l := range h.leaders {
		if h.connected(x, l) && l.host.pausedUntil <= h.now {
			newest = max(newest, term)
		}
	}
	if newest > x.follows && h.r.IntN(50) == 0 {
		x.follows, x.heard = newest, h.now
		x.share.BeginLeader(h.now, newest)
	}
}

// send sends a host's message to its leader.
func (h *history) send(x *historyHost) {
	l := h.leaders[x.follows]
	asks := x.waiting
	x.waiting, x.sending, x.sentAt = make([]int, len(h.customers)), true, h.now
	present := x.share.NextMessage(h.now, 0)
	sentAt, life, term := h.now, x.life, x.follows
	stamp := h.now + time.Duration(h.r.IntN(20))*time.Millisecond // the estimate of the leader's clock
	done := false
	h.after(250*time.Millisecond, func() {
		if !done && x.life == life {
			done, x.sending = true, false
			x.share.RecordAnswer(h.now, term, false)
		}
	})
	there, ok := h.transit()
	if !ok || !h.connected(x, l) {
		return
	}
	arrive := func() {
		if h.leaders[term] != l || !h.connected(x, l) {
			return
		}
		if present {
			l.a.RecordPresent(x.name, min(stamp, h.now))
		}
		granted, spares := make([]int, len(asks)), make([]int, len(asks))
		if h.now-stamp <= MaxAskAge {
			for i, n := range asks {
				if n > 0 {
					granted[i], spares[i], _ = l.a.Take(h.now, strconv.Itoa(i), h.customers[i], h.listed(), n, n)
				}
			}
		}
		back, ok := h.transit()
		if !ok {
			return
		}
		h.after(back, func() {
			if done || x.life != life || !h.connected(x, l) {
				return
			}
			done, x.sending = true, false
			x.share.RecordAnswer(h.now, term, true)
			for i := range asks {
				used := granted[i]
				if h.now-sentAt > 100*time.Millisecond {
					used = 0 // the requests have not waited
				}
				h.admit(i, used)
				x.share.RecordTokens(h.now, sentAt, strconv.Itoa(i), used, granted[i]-used+spares[i])
			}
		})
	}
	h.after(there, func() {
		if pause := l.host.pausedUntil - h.now; pause > 0 {
			h.after(pause, arrive)
			return
		}
		arrive()
	})
}

func (h *history) admit(customer, n int) {
	a := h.admitted[customer]
	a[len(a)-1] += n
}

// step lets each host admit what it may.
func (h *history) step() {
	h.now += historyStep
	for i := range h.admitted {
		h.admitted[i] = append(h.admitted[i], 0)
	}
	pending := h.events
	h.events = nil
	for _, e := range pending {
		if e.at <= h.now {
			e.run()
		} else {
			h.events = append(h.events, e)
		}
	}
	if h.r.IntN(40) == 0 {
		h.fault()
	}
	for _, x := range h.hosts {
		if x.pausedUntil > h.now {
			continue
		}
		var own *historyLeader
		for _, l := range h.leaders {
			if l.host == x {
				own = l
				x.share.RecordLeading(h.now)
			}
		}
		if own == nil {
			h.follow(x)
		}
		for i, l := range h.customers {
			for range h.flood[i] {
				if own != nil {
					granted, _, _ := own.a.Take(h.now, strconv.Itoa(i), l, h.listed(), 1, 0)
					h.admit(i, granted)
					continue
				}
				p, decided := x.share.Take(h.now, strconv.Itoa(i), l)
				if !decided && x.follows != 0 && x.waiting[i] < 20 {
					x.waiting[i]++
				}
				if !decided && !x.share.Present() {
					p = x.share.TakeOwn(h.now, strconv.Itoa(i), l, OwnShare{Hosts: h.listed(), Listed: x.listed}, h.r.Float64())
				}
				if p.Granted {
					h.admit(i, 1)
				}
			}
		}
		if x.follows != 0 && !x.sending {
			h.send(x)
		}
	}
}

// worst returns the most requests of a customer in any window that begins at from or later,
// and when it began.
func (h *history) worst(customer int, from time.Duration) (most int, at time.Duration) {
	steps, sum := int(quotaWindow/historyStep), 0
	admitted := h.admitted[customer][from/historyStep:]
	for i, n := range admitted {
		sum += n
		if i >= steps {
			sum -= admitted[i-steps]
		}
		if sum > most {
			most, at = sum, from+time.Duration(i+1-steps)*historyStep
		}
	}
	return most, at
}

// lower lowers the limits to a third on all hosts.
func (h *history) lower() {
	h.loweredAt, h.lowered = h.now-time.Hour, make([]Allotment, len(h.customers))
	for i, l := range h.customers {
		h.lowered[i] = Allotment{l.PerSecond / 3, l.Burst / 3}
	}
	h.customers = h.lowered
}

// TestBurstOfAnAllotment guards against a burst that is spent twice: with two leaders, by a
// later leader, or after a lower limit.
func TestBurstOfAnAllotment(t *testing.T) {
	Convey("Given a leader of ten hosts and a customer with a full burst", t, func() {
		const hosts = 10
		l := Allotment{PerSecond: 10, Burst: 400}
		now := time.Hour
		a := NewAllotments(now-time.Hour, now)
		present := func(n int) {
			for i := range n {
				a.RecordPresent(strconv.Itoa(i), now)
			}
		}
		present(hosts - 1)
		take := func(a *Allotments, l Allotment) int {
			granted, _, _ := a.Take(now, "c", l, hosts, 1000, 0)
			return granted
		}
		Convey("the burst is there once, and a later leader has none", func() {
			So(take(a, l), ShouldEqual, 400+spareBurst)
			So(take(a, l), ShouldEqual, 0)
			So(take(NewAllotments(now, now), l), ShouldEqual, 0)
		})
		Convey("a leader that keeps half of the hosts keeps half of the burst, and the rate", func() {
			now += presentFor
			present(hosts/2 - 1)
			now += countEvery
			So(take(a, l), ShouldEqual, (400+spareBurst)/2)
			now += time.Second
			So(take(a, l), ShouldBeBetweenOrEqual, 4, 5) // the presence lasts for 1.15 s
		})
		Convey("a leader whose own share another one may still grant says when it has one", func() {
			a := NewAllotments(now-time.Minute, now+time.Second)
			granted, _, refused := a.Take(now, "c", l, hosts, 1, 1)
			So(granted, ShouldEqual, 0)
			So(refused, ShouldResemble, Permit{NextAfter: time.Second, ComeBackAfter: time.Second})
		})
		Convey("a lower limit is in force at once, also in the same moment", func() {
			_, _, _ = a.Take(now, "c", l, hosts, 0, 0)
			So(take(a, Allotment{PerSecond: 1, Burst: 2}), ShouldEqual, 2+spareBurst)
		})
	})
}

// TestAllotmentsOfRandomHistories guards against customers that exceed their allotment over
// all hosts together while hosts are cut off, pause or restart, leaders change or lead side by
// side, and messages are late or lost. BORAGELOCK_SEEDS sets the number of seeds.
func TestAllotmentsOfRandomHistories(t *testing.T) {
	seeds := 16
	if n, err := strconv.Atoi(os.Getenv("BORAGELOCK_SEEDS")); err == nil {
		seeds = n
	}
	Convey("in each window, all hosts together keep the bound", t, func() {
		highest := 0.0
		for seed := range seeds {
			h := newHistory(uint64(seed))
			if seed%2 == 0 {
				h.elect() // otherwise there is no leader at first
			}
			limits := h.customers
			const length = 40 * time.Second
			for h.now < time.Hour+length {
				h.step()
				if h.lowered == nil && h.now >= time.Hour+length*3/5 {
					h.lower()
				}
			}
			check := func(limits []Allotment, from time.Duration) {
				for i, l := range limits {
					most, at := h.worst(i, from)
					highest = max(highest, float64(most)/quota(l))
					if float64(most) <= quota(l) {
						continue
					}
					t.Errorf("seed %d: %d hosts, %v: %d requests in the window from %v, %.0f allowed", seed, len(h.hosts), l, most, at, quota(l))
					if testing.Verbose() {
						t.Log(strings.Join(h.trace, "\n"))
					}
				}
			}
			check(limits, 0)
			check(h.lowered, h.loweredAt+tokenValidity)
		}
		t.Logf("at most %.2f of the bound", highest)
		So(highest, ShouldBeLessThanOrEqualTo, 1)
	})
}

// alone returns hosts that were present at a leader until now, and then lost it.
func alone(now time.Duration, hosts int) []*AllotmentShare {
	list := make([]*AllotmentShare, hosts)
	for i := range list {
		s := NewAllotmentShare(now - time.Minute)
		s.BeginLeader(now-time.Minute, 1)
		s.RecordAnswer(now-time.Minute, 1, true)
		s.NextMessage(now, 1)
		s.BeginLeader(now, 0)
		list[i] = s
	}
	return list
}

// TestAllotmentOfHostsThatAreCutOff guards against hosts that use their even shares while the
// leader still grants them, or that save turns while they are idle.
func TestAllotmentOfHostsThatAreCutOff(t *testing.T) {
	const hosts = 85
	own := OwnShare{Hosts: hosts, Listed: true}
	Convey("In the window after all hosts but the leader were cut off, they keep the bound", t, func() {
		r := rand.New(rand.NewPCG(3, 4))
		now := time.Hour
		l := Allotment{PerSecond: 300}
		a := NewAllotments(now-time.Minute, now-time.Minute)
		for i := range hosts - 1 {
			a.RecordPresent(strconv.Itoa(i), now)
		}
		shares, admitted := alone(now, hosts-1), 0
		for end := now + quotaWindow; now < end; now += 5 * time.Millisecond {
			granted, _, _ := a.Take(now, "c", l, hosts, 100, 0)
			admitted += granted
			for _, s := range shares {
				if s.TakeOwn(now, "c", l, own, r.Float64()).Granted {
					admitted++
				}
			}
		}
		So(float64(admitted), ShouldBeBetween, 0.9*5*l.PerSecond, quota(l))
	})
	Convey("After a pause of all requests, hosts without a leader keep the bound", t, func() {
		r := rand.New(rand.NewPCG(5, 6))
		l := Allotment{PerSecond: 100}
		now := time.Hour
		shares, admitted := alone(now, hosts), 0
		for _, at := range []time.Duration{now + 2*time.Second, now + 12*time.Second} {
			admitted = 0
			for now = at; now < at+quotaWindow; now += 5 * time.Millisecond {
				for _, s := range shares {
					if s.TakeOwn(now, "c", l, own, r.Float64()).Granted {
						admitted++
					}
				}
			}
			So(float64(admitted), ShouldBeBetween, 0.9*5*l.PerSecond, quota(l))
		}
	})
	Convey("A token is not kept for longer than 100 ms", t, func() {
		s := NewAllotmentShare(time.Hour)
		s.RecordTokens(time.Hour+10*time.Millisecond, time.Hour, "c", 0, 2)
		p, decided := s.Take(time.Hour+50*time.Millisecond, "c", Allotment{1, 1})
		So(decided && p.Granted, ShouldBeTrue)
		_, decided = s.Take(time.Hour+100*time.Millisecond, "c", Allotment{1, 1})
		So(decided, ShouldBeFalse)
	})
	Convey("A host that begins to lead waits until no other leader grants its share", t, func() {
		s := alone(time.Hour, 1)[0]
		So(s.LeadsFrom(time.Hour, 0), ShouldEqual, time.Hour+ownShareAfter)
		So(s.LeadsFrom(time.Hour, 1), ShouldEqual, time.Hour)
	})
}

// BenchmarkAllotmentShare measures a token that a host has at hand, with 1,000 customers.
func BenchmarkAllotmentShare(b *testing.B) {
	s := NewAllotmentShare(time.Hour)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("customer", i)
		s.RecordTokens(time.Hour, time.Hour, names[i], 0, math.MaxInt32)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if p, _ := s.Take(time.Hour, names[i%len(names)], Allotment{1e9, 1e9}); !p.Granted {
			b.Fatal("refused")
		}
	}
}
