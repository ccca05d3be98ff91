package coordinator

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/quarantine"
)

// refuses reports whether a host refuses a request.
func (h *testHost) refuses(r quarantine.Request) bool {
	v, ok := h.c.SuspectedRequests().Lookup(r)
	return ok && v.Refuse
}

func (k *cluster) allRefuse(r quarantine.Request) bool {
	for _, h := range k.hosts {
		if !h.refuses(r) {
			return false
		}
	}
	return true
}

// endTarget records on a host that a target ended under a request.
func (h *testHost) endTarget(r quarantine.Request, n int64) {
	h.c.RecordTargetEnd(r, fleet.Incarnation{ID: "gone", Born: n})
}

// TestSuspectedRequestsOfAllHosts guards against hosts that send on what others have seen
// to end targets, also after the leader has changed.
func TestSuspectedRequestsOfAllHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given three hosts, each of which sees one target end under a request", t, func() {
		k := newCluster(t, 3, 3)
		So(eventually(8*time.Second, func() bool {
			n := 0
			for _, h := range k.hosts {
				if h.c.HasLeader() {
					n++
				}
			}
			return n == 3 && k.leader() != nil
		}), ShouldBeTrue)
		x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/x", 0), nil)
		for i, h := range k.hosts {
			So(h.refuses(x), ShouldBeFalse)
			h.endTarget(x, int64(i+1))
			time.Sleep(20 * time.Millisecond)
		}
		So(eventually(500*time.Millisecond, func() bool { return k.allRefuse(x) }), ShouldBeTrue)
		leader := k.leader()
		var followers []*testHost
		for _, h := range k.hosts {
			if h != leader {
				followers = append(followers, h)
			}
		}

		Convey("a host that starts later knows it", func() {
			k.addHost(3)
			So(eventually(4*time.Second, func() bool { return k.hosts[3].refuses(x) }), ShouldBeTrue)
		})
		Convey("an answer that one host gets clears it on all", func() {
			followers[0].c.RecordAnswer(x)
			So(eventually(500*time.Millisecond, func() bool {
				return !leader.refuses(x) && !followers[0].refuses(x) && !followers[1].refuses(x)
			}), ShouldBeTrue)
		})
		Convey("the hosts go on without a leader, and the next one knows it", func() {
			leader.stop()
			leader.c.leading.Store(false)
			for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				So(followers[0].refuses(x) && followers[1].refuses(x), ShouldBeTrue)
			}
			So(eventually(8*time.Second, func() bool { n := k.leader(); return n != nil && n != leader }), ShouldBeTrue)
			So(k.leader().refuses(x), ShouldBeTrue)
			y := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/y", 0), nil)
			for i, h := range []*testHost{followers[0], followers[1], followers[0]} {
				h.endTarget(y, int64(10+i))
			}
			So(eventually(2*time.Second, func() bool { return followers[0].refuses(y) && followers[1].refuses(y) }), ShouldBeTrue)
		})
	})
	Convey("Given a suspected request, one host at a time sends a copy of it", t, func() {
		k := newCluster(t, 3, 3)
		So(eventually(8*time.Second, func() bool {
			return k.leader() != nil && k.hosts[0].c.HasLeader() && k.hosts[1].c.HasLeader() && k.hosts[2].c.HasLeader()
		}), ShouldBeTrue)
		x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/x", 0), nil)
		k.hosts[0].endTarget(x, 1)
		So(eventually(time.Second, func() bool {
			_, ok := k.leader().c.SuspectedRequests().Lookup(x)
			return ok
		}), ShouldBeTrue)
		take := func(h *testHost) bool {
			granted, _ := h.c.TakeRun(context.Background(), x, 5*time.Second)
			return granted
		}
		So(take(k.hosts[0]), ShouldBeTrue)
		start := boottime.Now()
		So(take(k.hosts[1]), ShouldBeFalse)
		So(take(k.hosts[2]), ShouldBeFalse)
		So(boottime.Now()-start, ShouldBeLessThan, 500*time.Millisecond)
		k.hosts[0].c.EndRun(x)
		So(eventually(time.Second, func() bool { return take(k.hosts[1]) }), ShouldBeTrue)
	})
	Convey("Given a leader that is slow to answer, a host waits for it and sends no second copy", t, func() {
		k := newCluster(t, 2, 3)
		So(eventually(8*time.Second, func() bool {
			return k.leader() != nil && k.hosts[0].c.HasLeader() && k.hosts[1].c.HasLeader()
		}), ShouldBeTrue)
		leader, follower := k.leader(), k.hosts[0]
		if follower == leader {
			follower = k.hosts[1]
		}
		x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/x", 0), nil)
		leader.endTarget(x, 1)
		So(eventually(time.Second, func() bool {
			_, ok := follower.c.SuspectedRequests().Lookup(x)
			return ok
		}), ShouldBeTrue)
		granted, _ := leader.c.TakeRun(context.Background(), x, 5*time.Second)
		So(granted, ShouldBeTrue)
		leader.c.suspects.mu.Lock()
		time.AfterFunc(500*time.Millisecond, leader.c.suspects.mu.Unlock)
		granted, wait := follower.c.TakeRun(context.Background(), x, 5*time.Second)
		So(granted, ShouldBeFalse)
		So(wait, ShouldBeGreaterThan, 0)
	})
}

// TestListOfSuspectsLeavesRoomOnTheLink guards against a leader whose long list of suspected
// requests, sent again with each change, takes its whole link.
func TestListOfSuspectsLeavesRoomOnTheLink(t *testing.T) {
	const (
		hosts      = 294
		linkMbps   = 200
		tick       = 50 * time.Millisecond
		playedTime = 10 * time.Second
	)
	play := func(requests, ends int) (bytes int, slowest time.Duration) {
		log := eventlog.New(io.Discard, "error")
		defer log.Close()
		c := New(Config{LinkMbps: linkMbps, Log: log, Quarantine: quarantine.Config{}})
		c.leading.Store(true)
		outbox := make(chan peerMessage, hosts)
		for range hosts {
			c.peers.add(&peerConn{outbox: outbox})
		}
		drain := func() (told bool) {
			for {
				select {
				case m := <-outbox:
					bytes, told = bytes+len(m.params), true
				default:
					return told
				}
			}
		}
		changedAt := time.Duration(-1)
		for now := time.Duration(0); now < playedTime; now += tick {
			n := int(now / tick)
			if n < requests*ends {
				x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", fmt.Sprint("/", n%requests), 0), nil)
				c.suspects.mu.Lock()
				c.suspects.apply(now, observation{kind: targetEnded, request: x, end: quarantine.End{Target: fleet.Incarnation{ID: fmt.Sprint("i-0123456789", n), Born: int64(n)}, At: now}})
				c.suspects.mu.Unlock()
				if changedAt < 0 {
					changedAt = now
				}
			}
			c.tickSuspects(now)
			if drain() {
				slowest, changedAt = max(slowest, now-changedAt), -1
			}
		}
		return bytes, slowest
	}
	Convey("All hosts are told of one request at once", t, func() {
		_, slowest := play(1, 8)
		So(slowest, ShouldBeLessThanOrEqualTo, tick)
	})
	Convey("A flood of requests takes no more than its part of the link", t, func() {
		bytes, slowest := play(200, 1)
		t.Logf("%d hosts, 200 requests: %.1f MB in %v, a change is told after %v at the latest", hosts, float64(bytes)/1e6, playedTime, slowest)
		So(float64(bytes), ShouldBeLessThan, suspectsLinkShare*linkMbps*1e6/8*playedTime.Seconds()*1.1)
		So(slowest, ShouldBeLessThan, 2*time.Second)
	})
}

// TestNewLeaderKeepsRefusals guards against a new leader that drops a refusal, since the
// ends that led to it are older than ends may be that count.
func TestNewLeaderKeepsRefusals(t *testing.T) {
	const evidenceAge = 50 * time.Millisecond
	Convey("Given a host that refuses a request for longer than ends count, and a leader that does not know it", t, func() {
		log := eventlog.New(io.Discard, "error")
		defer log.Close()
		newHost := func() *testHost {
			return &testHost{c: New(Config{Log: log, Quarantine: quarantine.Config{EvidenceAge: evidenceAge}})}
		}
		host, leader := newHost(), newHost()
		leader.c.leading.Store(true)
		x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/x", 0), nil)
		for i := range 3 {
			host.endTarget(x, int64(i))
		}
		time.Sleep(2 * evidenceAge)
		host.c.tickSuspects(boottime.Now())
		So(host.refuses(x), ShouldBeTrue)
		report := func() {
			host.c.suspects.takeUnreported(boottime.Now())
			host.c.reportOwnSuspects()
			params := marshal(methodObservations, host.c.suspects.takeUnreported(boottime.Now()))
			So(leader.c.handleObservations(&jsonrpc2.Request{Params: &params}), ShouldBeNil)
		}
		Convey("the leader takes the refusal over, with the time of its trial", func() {
			report()
			So(leader.refuses(x), ShouldBeTrue)
			a, _ := host.c.SuspectedRequests().Lookup(x)
			b, _ := leader.c.SuspectedRequests().Lookup(x)
			So(b.NextTrial, ShouldAlmostEqual, a.NextTrial, 20*time.Millisecond)
			So(b.Ends, ShouldEqual, 3)
		})
		Convey("the leader's list, made before it heard of it, does not end the refusal", func() {
			host.c.suspects.takeUnreported(boottime.Now())
			host.c.reportOwnSuspects()
			host.c.applySuspects(suspectsMessage{})
			So(host.refuses(x), ShouldBeTrue)
		})
		Convey("a request that was answered since stays served", func() {
			report()
			leader.c.RecordAnswer(x)
			So(leader.refuses(x), ShouldBeFalse)
			report()
			So(leader.refuses(x), ShouldBeFalse)
		})
	})
}

// TestRefusalsMeetTheLeadersList guards against a host that connects to a new leader and
// gets its list before it has told its own: the list replaced what the host knew.
func TestRefusalsMeetTheLeadersList(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	const newHosts = 5
	Convey("Given a leader that knows one request, and hosts that refuse another one each when they connect", t, func() {
		k := newCluster(t, 1, 1)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil }), ShouldBeTrue)
		leader, start := k.leader(), boottime.Now()
		leader.endTarget(quarantine.RequestOf(quarantine.HeadOf("GET", "h", "/known", 0), nil), 1)
		for i := 1; i <= newHosts; i++ {
			x := quarantine.RequestOf(quarantine.HeadOf("GET", "h", fmt.Sprint("/", i), 0), nil)
			k.beforeStart = func(c *Coordinator) {
				for n := range 3 {
					// Ends of different requests within half a second would excuse each other.
					at := start - time.Duration(2*i)*time.Second
					c.observe(observation{kind: targetEnded, request: x, end: quarantine.End{Target: fleet.Incarnation{ID: "gone", Born: int64(10*i + n)}, At: at}})
				}
				c.suspects.takeUnreported(boottime.Now()) // told to an earlier leader
			}
			k.addHost(i)
			h := k.hosts[i]
			So(eventually(4*time.Second, func() bool {
				So(h.refuses(x), ShouldBeTrue)
				return h.c.HasLeader() && leader.refuses(x)
			}), ShouldBeTrue)
			So(h.refuses(x), ShouldBeTrue)
		}
	})
}
