package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/lease"
)

// TestOverlayOfManyRuns compares a changed range map with a table of single keys.
func TestOverlayOfManyRuns(t *testing.T) {
	Convey("Changed runs replace what they cover, and nothing else", t, func() {
		const keys = 60
		r := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			var owner [keys]string
			base := &RangeMap{}
			for k := 0; k < keys; {
				to := min(keys-1, k+r.IntN(12))
				base.ranges = append(base.ranges, lease.RangeView{From: k, To: to, Owner: fmt.Sprint("o", k), Ready: true, GrantableInMS: 100})
				for ; k <= to; k++ {
					owner[k] = base.ranges[len(base.ranges)-1].Owner
				}
			}
			var changed []lease.RangeView
			for k := r.IntN(10); k < keys; {
				to := min(keys-1, k+r.IntN(8))
				changed = append(changed, lease.RangeView{From: k, To: to, Owner: fmt.Sprint("n", k)})
				for i := k; i <= to; i++ {
					owner[i] = fmt.Sprint("n", k)
				}
				k = to + 1 + r.IntN(20)
			}
			r.Shuffle(len(changed), func(i, j int) { changed[i], changed[j] = changed[j], changed[i] })
			got := base.overlay(40*time.Millisecond, changed)
			next := 0
			for _, x := range got.ranges {
				if x.From != next || x.To < x.From {
					t.Fatalf("ranges are not in order: %+v", got.ranges)
				}
				next = x.To + 1
			}
			if next != keys {
				t.Fatalf("keys from %d on are missing", next)
			}
			for k := range keys {
				if id, _, _ := got.Owner(k); id != owner[k] {
					t.Fatalf("key %d has owner %s, not %s", k, id, owner[k])
				}
			}
		}
	})
}

// BenchmarkOverlay measures the work of a host for a plan that moves 100 key ranges in a
// fleet of 619 targets.
func BenchmarkOverlay(b *testing.B) {
	base := &RangeMap{}
	for i := range 928 {
		base.ranges = append(base.ranges, lease.RangeView{From: i * 70, To: i*70 + 69, Owner: fmt.Sprint(i), Ready: true})
	}
	var changed []lease.RangeView
	for i := range 100 {
		changed = append(changed, lease.RangeView{From: i*500 + 10, To: i*500 + 20, Owner: "n"})
	}
	for b.Loop() {
		base.overlay(0, changed)
	}
}

// TestDigest guards against hosts that keep a key range after they missed its change.
func TestDigest(t *testing.T) {
	view := func(owner string) []lease.RangeView {
		return []lease.RangeView{{From: 0, To: 9, Owner: "a", Ready: true}, {From: 10, To: 19, Owner: owner, Ready: true}}
	}
	Convey("Given a host that knows all runs", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		So(c.applyRanges(rangesMessage{Workload: "w", Full: true, Ranges: view("b")}, 0), ShouldBeFalse)
		Convey("a digest of the same runs asks for nothing", func() {
			So(c.applyRanges(rangesMessage{Workload: "w", Digest: (&RangeMap{ranges: view("b")}).digest()}, 0), ShouldBeFalse)
		})
		Convey("one of other runs asks for all, until they came", func() {
			digest := (&RangeMap{ranges: view("c")}).digest()
			So(c.applyRanges(rangesMessage{Workload: "w", Digest: digest}, 0), ShouldBeTrue)
			So(c.applyRanges(rangesMessage{Workload: "w", Full: true, Ranges: view("c")}, 0), ShouldBeFalse)
			So(c.applyRanges(rangesMessage{Workload: "w", Digest: digest}, 0), ShouldBeFalse)
		})
		Convey("a change and the digest after it agree", func() {
			So(c.applyRanges(rangesMessage{Workload: "w", Ranges: view("c")[1:], Digest: (&RangeMap{ranges: view("c")}).digest()}, 0), ShouldBeFalse)
		})
		Convey("readiness counts, the time until a run is back does not", func() {
			x := view("b")
			x[1].GrantableInMS = 100
			So((&RangeMap{ranges: x}).digest(), ShouldEqual, (&RangeMap{ranges: view("b")}).digest())
			x[1].Ready = false
			So((&RangeMap{ranges: x}).digest(), ShouldNotEqual, (&RangeMap{ranges: view("b")}).digest())
		})
	})
	Convey("A host without runs asks for all", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		So(c.applyRanges(rangesMessage{Workload: "w", Ranges: view("b")[1:]}, 0), ShouldBeTrue)
		So(c.RangeMap("w"), ShouldBeNil)
	})
	if testing.Short() {
		return
	}
	Convey("A host whose runs were spoiled has the leader's again within a period of the digest", t, func() {
		k := newCluster(t, 3, 3)
		So(eventually(8*time.Second, func() bool {
			return k.leader() != nil && k.allHeldOnce() && k.hosts[0].c.Ready() && k.hosts[1].c.Ready() && k.hosts[2].c.Ready()
		}), ShouldBeTrue)
		var follower *Coordinator
		for _, h := range k.hosts {
			if h != k.leader() {
				follower = h.c
			}
		}
		follower.setRangeMap("w", &RangeMap{ranges: []lease.RangeView{{From: 0, To: 65535, Owner: "none", Ready: true}}, asOf: boottime.Now()})
		So(eventually(digestEvery+2*time.Second, func() bool {
			return follower.RangeMap("w").digest() == k.leader().c.RangeMap("w").digest()
		}), ShouldBeTrue)
	})
}

// TestTimesOfRunsThatWereToldLate guards against a host that counts the time until keys
// are available from the arrival of a delayed message instead of its creation: callers
// got longer retry delays than needed.
func TestTimesOfRunsThatWereToldLate(t *testing.T) {
	Convey("the time until keys are back counts from when the leader stated it", t, func() {
		leader := &RangeMap{ranges: []lease.RangeView{{From: 0, To: 65535, Owner: "a", GrantableInMS: 3000}}, asOf: boottime.Now() - 2*time.Second}
		m := leader.message("w")
		c := New(Config{Log: hclog.NewNullLogger()})
		k := &leaderLink{c: c}
		now := boottime.Now()
		k.updateClock(now, clockAt(now))
		So(k.handle(&jsonrpc2.Request{Method: m.method, Params: &m.params}), ShouldBeNil)
		_, _, back := c.RangeMap("w").Owner(5)
		So(back, ShouldAlmostEqual, now+time.Second, 100*time.Millisecond)
	})
}

// TestLaterGrantIsTold guards against hosts that expect keys earlier than the leader does:
// callers then wait for the keys until their deadline and are refused late.
func TestLaterGrantIsTold(t *testing.T) {
	Convey("Given a key range that is not ready", t, func() {
		view := func(at time.Duration, grantableInMS int64) *RangeMap {
			return &RangeMap{asOf: at, ranges: []lease.RangeView{
				{From: 0, To: 9, Owner: "a", Ready: true}, {From: 10, To: 19, Owner: "b", GrantableInMS: grantableInMS},
			}}
		}
		told := view(time.Second, 1000)
		Convey("the passage of time is no change", func() {
			So(view(1500*time.Millisecond, 500).changedSince(told), ShouldBeEmpty)
			So(view(3*time.Second, 0).changedSince(told), ShouldBeEmpty)
		})
		Convey("a later or an earlier time is one", func() {
			for _, later := range []*RangeMap{view(1500*time.Millisecond, 3000), view(3*time.Second, 2000), view(1500*time.Millisecond, 0)} {
				changed := later.changedSince(told)
				So(changed, ShouldHaveLength, 1)
				So(changed[0], ShouldResemble, later.ranges[1])
			}
		})
	})
}
