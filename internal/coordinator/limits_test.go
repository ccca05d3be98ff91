package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/platform"
)

// stateLimit records that a target stated a limit to a host just now. It waits until the
// host knows the target.
func (h *testHost) stateLimit(id string, perSecond float64) {
	So(eventually(3*time.Second, func() bool { return h.target(id).ID == id }), ShouldBeTrue)
	now := boottime.Now()
	h.c.RecordRequestLimit(limits.LimitStatement{Target: h.target(id), PerSecond: perSecond, SentAt: now - time.Millisecond, ReceivedAt: now})
}

func (h *testHost) target(id string) fleet.Incarnation {
	if t := h.c.Snapshot().Targets[id]; t != nil {
		return t.Ident()
	}
	return fleet.Incarnation{}
}

func (h *testHost) knowsLimit(id string, perSecond float64) bool {
	s := h.c.Snapshot()
	return s.Targets[id] != nil && s.RequestLimit(s.Targets[id]) == perSecond
}

// follower returns a host that does not lead.
func (k *cluster) follower() *testHost {
	l := k.leader()
	for _, h := range k.hosts {
		if h != l && h.c.leadership.isConnected() {
			return h
		}
	}
	return nil
}

// TestLimitsReachAllHosts guards against hosts that send a target more than its limit
// because the target told the limit to other hosts only, or before they started.
func TestLimitsReachAllHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given three hosts and a target that states a limit to one of them", t, func() {
		k := newCluster(t, 3, 3)
		So(eventually(8*time.Second, func() bool {
			return k.leader() != nil && k.allHeldOnce() && k.follower() != nil && k.follower().c.HostCount() == len(k.hosts)
		}), ShouldBeTrue)
		all := func(perSecond float64) func() bool {
			return func() bool {
				for _, h := range k.hosts {
					if !h.knowsLimit("t1", perSecond) {
						return false
					}
				}
				return true
			}
		}
		k.follower().stateLimit("t1", 2)
		So(eventually(time.Second, all(2)), ShouldBeTrue)
		Convey("a change and the end reach all hosts, whichever heard of them", func() {
			time.Sleep(10 * time.Millisecond)
			k.leader().stateLimit("t1", 0.5)
			So(eventually(time.Second, all(0.5)), ShouldBeTrue)
			time.Sleep(10 * time.Millisecond)
			k.follower().stateLimit("t1", 0)
			So(eventually(time.Second, all(0)), ShouldBeTrue)
			So(k.follower().c.TakePermit(context.Background(), k.follower().target("t1")).Granted, ShouldBeTrue)
		})
		Convey("a host that starts later knows it, and so does the next leader", func() {
			k.addHost(3)
			So(eventually(4*time.Second, all(2)), ShouldBeTrue)
			old := k.leader()
			old.stop()
			old.c.leading.Store(false)
			So(eventually(10*time.Second, func() bool { x := k.leader(); return x != nil && x != old && x.knowsLimit("t1", 2) }), ShouldBeTrue)
		})
		Convey("a target that restarts has none", func() {
			k.store.Put(platform.TopicTargets, "t1", map[string]any{
				"service": "w", "address": k.leader().target("t1").Address, "zone": "z", "slots": 2, "state": "ready", "cold-left-s": 0, "seq": 1, "born": 2,
			})
			So(eventually(4*time.Second, all(0)), ShouldBeTrue)
		})
	})
}

// TestPermitsOfAFleet guards against hosts that together send a target more than its
// limit, or much less, while the leader changes.
func TestPermitsOfAFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	const perSecond = 5
	Convey("Given four hosts that ask for permits for one target at a high rate", t, func() {
		k := newCluster(t, 4, 3)
		So(eventually(8*time.Second, func() bool {
			return k.leader() != nil && k.allHeldOnce() && k.follower() != nil && k.follower().c.HostCount() == len(k.hosts)
		}), ShouldBeTrue)
		for _, h := range k.hosts {
			h.stateLimit("t1", perSecond)
		}
		target := k.follower().target("t1")
		var mu sync.Mutex
		var granted []time.Time
		ctx, cancel := context.WithCancel(context.Background())
		var asking sync.WaitGroup
		ask := func(h *testHost) {
			defer asking.Done()
			for ctx.Err() == nil {
				p := h.c.TakePermit(ctx, target)
				if p.Granted {
					mu.Lock()
					granted = append(granted, time.Now())
					mu.Unlock()
				}
				sleep(ctx, 10*time.Millisecond)
			}
		}
		for _, h := range k.hosts {
			asking.Add(1)
			go ask(h)
		}
		defer asking.Wait()
		defer cancel()
		mostIn4s := func() (most int) {
			mu.Lock()
			defer mu.Unlock()
			for i, at := range granted {
				n := 0
				for _, other := range granted[i:] {
					if other.Before(at.Add(4 * time.Second)) {
						n++
					}
				}
				most = max(most, n)
			}
			return most
		}
		Convey("they get the limit", func() {
			start := time.Now()
			time.Sleep(5 * time.Second)
			mu.Lock()
			n := len(granted)
			mu.Unlock()
			So(float64(n), ShouldBeBetween, 0.8*perSecond*time.Since(start).Seconds(), 1.2*perSecond*time.Since(start).Seconds())
		})
		Convey("they get at most the limit while the leader changes, and use it afterwards", func() {
			time.Sleep(time.Second)
			old := k.leader()
			old.stop()
			old.c.leading.Store(false)
			So(eventually(10*time.Second, func() bool { x := k.leader(); return x != nil && x != old }), ShouldBeTrue)
			time.Sleep(time.Second)
			mu.Lock()
			before := len(granted)
			mu.Unlock()
			time.Sleep(4 * time.Second)
			mu.Lock()
			n := len(granted) - before
			mu.Unlock()
			// One of four hosts is gone, and its share is left to it for a while.
			So(float64(n), ShouldBeGreaterThanOrEqualTo, 0.8*0.75*perSecond*4)
			So(mostIn4s(), ShouldBeLessThanOrEqualTo, 1.5*perSecond*4+5)
		})
	})
}

// TestPermitsOfASilentLeader guards against requests that wait for a leader which does
// not answer.
func TestPermitsOfASilentLeader(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a host whose leader falls silent decides by its even share at once", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := newLaggingHost(t, k)
		So(eventually(3*time.Second, func() bool { return h.c.HostCount() == 2 }), ShouldBeTrue)
		h.stateLimit("t1", 4)
		So(eventually(time.Second, func() bool { return k.leader().knowsLimit("t1", 4) }), ShouldBeTrue)
		h.proxy.SetFaults("", faultproxy.Faults{Cut: faultproxy.CutBoth})
		began, granted, longest := time.Now(), 0, time.Duration(0)
		for time.Since(began) < 4*time.Second {
			asked := time.Now()
			if h.c.TakePermit(context.Background(), h.target("t1")).Granted {
				granted++
			}
			longest = max(longest, time.Since(asked))
			time.Sleep(10 * time.Millisecond)
		}
		So(longest, ShouldBeLessThan, 500*time.Millisecond)
		So(granted, ShouldBeBetween, 3, 13) // half of 4 a second; 1.5 x 2 x 4 + 1 at most
	})
}

// TestLeaderIsAskedSoonAfterItReturns guards against hosts that refuse requests until
// their next turn, minutes later in a large fleet, although the leader is back.
func TestLeaderIsAskedSoonAfterItReturns(t *testing.T) {
	Convey("a refusal without a leader holds for a short time", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		now := boottime.Now()
		c.setHostCount(now, 295)
		target := fleet.Incarnation{ID: "t", Address: "a"}
		c.applyLimit(limits.LimitStatement{Target: target, PerSecond: 0.1, SentAt: now, ReceivedAt: now})
		for range 5 {
			if p := c.TakePermit(context.Background(), target); !p.Granted {
				So(p.NextAfter, ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
				So(p.ComeBackAfter, ShouldBeLessThanOrEqualTo, 5*time.Second)
			}
		}
	})
}

// TestStatementsOfTheFuture guards against a statement with a wrong time that outlasts
// all later ones.
func TestStatementsOfTheFuture(t *testing.T) {
	Convey("A statement from the future counts as made now", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		target := fleet.Incarnation{ID: "t", Address: "a"}
		now := boottime.Now()
		far := (now + time.Hour).Microseconds()
		c.applyLimit(statedLimit{Target: target, PerSecond: 3, SentUS: far, ReceivedUS: far}.statement(now))
		s, limited := c.limits.get(target)
		So(limited, ShouldBeTrue)
		So(s.ReceivedAt, ShouldEqual, now)
		So(c.applyLimit(limits.LimitStatement{Target: target, SentAt: now, ReceivedAt: now + 1}), ShouldBeTrue)
	})
	Convey("The limit of a target that is not announced is dropped after a while", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		target := fleet.Incarnation{ID: "t", Address: "a"}
		now := boottime.Now()
		c.applyLimit(limits.LimitStatement{Target: target, PerSecond: 3, SentAt: now, ReceivedAt: now})
		c.dropLimitsOfGoneTargets(now + unannouncedLimitAge - 1)
		_, limited := c.limits.get(target)
		So(limited, ShouldBeTrue)
		c.dropLimitsOfGoneTargets(now + unannouncedLimitAge)
		_, limited = c.limits.get(target)
		So(limited, ShouldBeFalse)
		So(c.Snapshot().RequestLimit(&fleet.Target{ID: "t", Address: "a"}), ShouldEqual, 0)
	})
}

// keysOf returns how many keys of the workload a target owns in the leader's table.
func (k *cluster) keysOf(id string) int {
	return k.leader().c.leadership.table("w").KeyCounts()[id]
}

// loadKeys reports a steady rate of requests for keys, and the service times of targets,
// until the context ends.
func (h *testHost) loadKeys(ctx context.Context, from, to, perSecond int, service map[string]time.Duration) {
	for n := 0; sleep(ctx, time.Second/time.Duration(perSecond)); n++ {
		h.c.CountKey("w", from+n%(to-from+1))
		for id, d := range service {
			h.c.AddTargetStats("w", TargetStats{ID: id, Responses: 1, ServiceMS: d.Milliseconds()})
		}
	}
}

// TestLimitedTargetsGetNoKeys guards against keys that move to a target which has room
// only because its limit keeps requests away from it.
func TestLimitedTargetsGetNoKeys(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a hot target, an idle one that states a limit and a slower one without", t, func() {
		k := newCluster(t, 1, 3)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := k.leader()
		table := h.c.leadership.table("w")
		hot := table.Ranges[0]
		for _, r := range table.Ranges {
			if r.Owner == "t0" {
				hot = r
			}
		}
		h.stateLimit("t1", 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		limited, slow := k.keysOf("t1"), k.keysOf("t2")
		go h.loadKeys(ctx, hot.From, hot.From+99, 40, map[string]time.Duration{
			"t0": 100 * time.Millisecond, "t1": 20 * time.Millisecond, "t2": 60 * time.Millisecond,
		})
		So(eventually(6*time.Second, func() bool { return k.keysOf("t2") > slow || k.keysOf("t1") > limited }), ShouldBeTrue)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			So(k.keysOf("t1"), ShouldEqual, limited)
		}
		So(k.keysOf("t2"), ShouldBeGreaterThan, slow)
	})
}

// TestLimitInTheResponseToAGrant guards against a limit that a target states to the
// leader only, and against one that ends because such a response does not state it.
func TestLimitInTheResponseToAGrant(t *testing.T) {
	Convey("a grant's response states a limit and does not end one", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		x := &fleet.Target{ID: "t", Address: "a", Workload: "w"}
		c.mu.Lock()
		c.dir.PutTarget(x)
		c.publish()
		c.mu.Unlock()
		limit := func() float64 { return c.Snapshot().RequestLimit(x) }
		c.handleGrantResponse("t", "another", platform.ResponseMetadata{RequestLimit: 3})
		c.handleGrantResponse("t", "a", platform.ResponseMetadata{RequestLimit: 3, WrongTarget: true})
		So(limit(), ShouldEqual, 0)
		c.handleGrantResponse("t", "a", platform.ResponseMetadata{RequestLimit: 3})
		So(limit(), ShouldEqual, 3)
		c.handleGrantResponse("t", "a", platform.ResponseMetadata{})
		So(limit(), ShouldEqual, 3)
		now := boottime.Now()
		c.RecordRequestLimit(limits.LimitStatement{Target: x.Ident(), SentAt: now, ReceivedAt: now + 1})
		So(limit(), ShouldEqual, 0)
	})
}

// BenchmarkPermits measures permits for one target that a follower gets from the leader,
// with the processor time of both hosts.
func BenchmarkPermits(b *testing.B) {
	k := newCluster(b, 2, 1)
	if !eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() && k.follower() != nil }) {
		b.Fatal("no follower")
	}
	h := k.follower()
	target := h.target("t0")
	now := boottime.Now()
	h.c.RecordRequestLimit(limits.LimitStatement{Target: target, PerSecond: 1e6, SentAt: now, ReceivedAt: now})
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			h.c.TakePermit(context.Background(), target)
		}
	})
}
