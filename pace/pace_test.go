package pace

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// host is a caller with its own part of a target, which it may lose and start anew.
type host struct {
	p       Pacer
	started bool
}

// Load pattern: a target is cold, and hosts with more requests than it bears send to it,
// start anew, end and come back. Guards against tokens that the hosts hold unused and spend
// together, and against a whole token for each host that starts.
func TestColdBound(t *testing.T) {
	Convey("A cold target receives in one second at most its cold rate x 1.5 + 8 requests", t, func() {
		for seed := range int64(300) {
			rnd := rand.New(rand.NewSource(seed))
			rate := []float64{0.5, 1, 2, 4, 10, 40, 150}[rnd.Intn(7)]
			n := 1 + rnd.Intn(90)
			// The parts are those of slotpeer.coldRateShare, gateway.hostsColdShare and
			// placement.besideCoordinator.
			hostsShare, withCoordinator := 0.8, rnd.Intn(2) == 0
			if withCoordinator {
				hostsShare *= 0.45
			}
			live := n
			hosts := make([]host, n+1)
			var sent []time.Duration
			// Demand varies between none and far above the rate, so that tokens accumulate.
			demand := 0.0
			for now := time.Second; now < 40*time.Second; now += 5 * time.Millisecond {
				if rnd.Intn(400) == 0 {
					demand = []float64{0, 0, 0.1, 1}[rnd.Intn(4)]
				}
				if rnd.Intn(100) == 0 { // a host starts, or ends and is replaced
					hosts[rnd.Intn(n)] = host{}
				}
				if rnd.Intn(500) == 0 { // a third of the hosts restart
					for i := range n / 3 {
						hosts[i] = host{}
					}
				}
				if rnd.Intn(1000) == 0 { // hosts go; the others take their parts
					live = n/2 + rnd.Intn(n-n/2) + 1
				}
				for i := range hosts {
					h := &hosts[i]
					share := hostsShare / float64(live)
					if i == n {
						share = 0.8
						if !withCoordinator {
							continue
						}
					} else if i >= live {
						continue
					}
					if rnd.Float64() >= demand {
						continue
					}
					x := Params{Full: 6, Expected: 10 * time.Millisecond, Share: share, ColdUntil: time.Hour, ColdRate: rate}
					if !h.started {
						h.started = true
						h.p.Start(now, rnd.Float64())
					}
					if h.p.Allows(now, &x) {
						h.p.Sent(now, &x)
						h.p.Ended(now, &x, Good, 0)
						sent = append(sent, now)
					}
				}
			}
			most, first := 0, 0
			for i, at := range sent {
				for at-sent[first] >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			if float64(most) > 1.5*rate+8 {
				t.Errorf("seed %d: %d hosts, coordinator %t, rate %g: %d requests within a second", seed, n, withCoordinator, rate, most)
			}
		}
	})
	Convey("and a coordinator uses its part of the cold rate", t, func() {
		var p Pacer
		x := Params{Full: 6, Expected: 10 * time.Millisecond, Share: 0.8, ColdUntil: time.Hour, ColdRate: 4}
		p.Start(0, 0.5)
		sent := 0
		for now := time.Duration(0); now < 100*time.Second; now += 5 * time.Millisecond {
			if p.Allows(now, &x) {
				p.Sent(now, &x)
				p.Ended(now, &x, Good, 0)
				sent++
			}
		}
		So(sent, ShouldBeBetween, 300, 322)
	})
}

func TestPacer(t *testing.T) {
	x := Params{Full: 6, Expected: 100 * time.Millisecond, Share: 1}
	Convey("Given a target of which nothing is known", t, func() {
		var p Pacer
		now := time.Minute
		p.Start(now, 0)
		respond := func(result Result) {
			p.Sent(now, &x)
			now += 50 * time.Millisecond
			p.Ended(now, &x, result, 0)
		}

		Convey("it begins with one request and is full within two seconds, also without one", func() {
			So(p.Limit(now, x.Full), ShouldEqual, 1)
			So(p.Limit(now+2*time.Second, x.Full), ShouldEqual, 6)
		})
		Convey("one that runs the requests of others at the usual speed is ready for as many", func() {
			p.Sent(now, &x)
			p.Ended(now, &x, Good, 4)
			So(p.Limit(now, x.Full), ShouldEqual, 5)
		})
		Convey("while no response comes, no further request is sent", func() {
			p.Sent(now, &x)
			later := now + time.Second
			So(p.Limit(later, x.Full), ShouldEqual, 1)
			So(p.Allows(later, &x), ShouldBeFalse)
			So(p.State(later, &x).Reason, ShouldEqual, ReasonSilent)
		})
		Convey("one that answers fast while it fails does not rise, and is probed less and less", func() {
			sent := 0
			for end := now + 10*time.Second; now < end; now += time.Millisecond {
				if p.Allows(now, &x) {
					sent++
					p.Sent(now, &x)
					p.Ended(now, &x, Failed, 0)
				}
			}
			So(sent, ShouldBeLessThan, 20)
			So(p.Limit(now, x.Full), ShouldEqual, 1)
			Convey("and is full within two seconds when it is well", func() {
				now += time.Second
				respond(Good)
				So(p.Limit(now+2*time.Second, x.Full), ShouldEqual, 6)
			})
		})
		Convey("one that is fast and then slow does not rise", func() {
			for range 6 {
				respond(Good)
			}
			for range 10 {
				respond(Slow)
				now += 100 * time.Millisecond
			}
			So(p.Limit(now+time.Minute, x.Full), ShouldBeLessThan, 1.1)
		})
		Convey("the refusals of requests that were sent together lower the limit once", func() {
			for range 5 {
				respond(Good)
			}
			for range 4 {
				p.Sent(now, &x)
			}
			for range 4 {
				p.Ended(now, &x, Shed, 0)
			}
			So(p.Limit(now, x.Full), ShouldEqual, 3)
		})
		Convey("at the end of the cold time the limit does not jump to the full number", func() {
			x := x
			x.ColdUntil, x.ColdRate = now+10*time.Second, 4
			So(p.Allows(now, &x), ShouldBeFalse)
			now += 10 * time.Second
			So(p.Allows(now, &x), ShouldBeTrue)
			So(p.Limit(now, x.Full), ShouldEqual, 1)
			So(p.Limit(now+2*time.Second, x.Full), ShouldEqual, 6)
		})
	})
}

// Guards against a log line for each target when all hosts start.
func TestReporter(t *testing.T) {
	Convey("Changes by half or more are reported, each target's at most once a second", t, func() {
		var r Reporter
		now := time.Minute
		So(r.Due(now, "a", State{Limit: 6}), ShouldBeFalse)
		So(r.Due(now, "a", State{Limit: 4}), ShouldBeFalse)
		So(r.Due(now, "a", State{Limit: 3}), ShouldBeTrue)
		So(r.Due(now, "a", State{Limit: 1}), ShouldBeFalse)
		So(r.Due(now+time.Second, "a", State{Limit: 1}), ShouldBeTrue)
		So(r.Due(now+2*time.Second, "a", State{Limit: 1, Rate: 5}), ShouldBeTrue)
	})
	Convey("and those of many targets are bounded", t, func() {
		var r Reporter
		reported := 0
		for _, limit := range []float64{1, 6} {
			for i := range 300 {
				if r.Due(time.Minute, string(rune('A'+i)), State{Limit: limit}) {
					reported++
				}
			}
		}
		So(reported, ShouldEqual, maxReportsPerSecond)
		So(r.Suppressed, ShouldEqual, 290)
	})
}
