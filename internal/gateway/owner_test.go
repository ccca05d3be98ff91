package gateway

import (
	"expvar"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// TestWaitForOwnerEnds guards against requests that wait for the owner of their key up to
// the deadline, when no handover could still finish in time.
func TestWaitForOwnerEnds(t *testing.T) {
	Convey("Given a key that nobody owns", t, func() {
		r := newHarness(t, 1)
		d := &fleet.DesiredState{
			Version: 2, Workloads: map[string]*fleet.Workload{"w": {Name: "w", MaxConns: 100, Keyed: true}},
			Limits: fleet.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 10000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
			Routes: []fleet.Route{{
				Name: "keys", Host: "h", Prefix: "/k/", Kind: fleet.Safe, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}},
				Timeout: 1500 * time.Millisecond, Objective: time.Second, MaxAttempts: 2,
			}},
		}
		d.IndexRoutes()
		r.deployment.mu.Lock()
		r.deployment.directory.PutDesiredState(d)
		r.deployment.mu.Unlock()
		start := time.Now()
		So(r.requestKey("GET", "/k/x", "k0", 7), ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldBeGreaterThan, time.Second)
		So(time.Since(start), ShouldBeLessThan, 1500*time.Millisecond-expectedHandover/2)
	})
}

// TestKeysWithoutALeader guards against requests that are sent again and again to targets
// that hold no keys any more, while nobody leads and can grant them.
func TestKeysWithoutALeader(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given callers of two hosts, the leader of which stops while the store is away", t, func() {
		const targets = 4
		f := newLimitFleet(t, 2, targets)
		defer f.startCalls()()
		time.Sleep(time.Second)
		f.store.SetFault(standin.Unavailable)
		f.stopLeader()
		time.Sleep(4 * time.Second) // all key leases end 3.8 s after the last grant
		before := f.refusedSends()
		from := time.Now()
		time.Sleep(2 * time.Second)
		// One request a second asks each target whether it holds its keys again; one more
		// may be on its way.
		So(f.refusedSends()-before, ShouldBeLessThanOrEqualTo, 2*targets*3)
		until := time.Now()
		time.Sleep(1500 * time.Millisecond) // callers wait for that long
		keyed := 0
		for _, r := range f.resultsSince(from) {
			if r.keyed && r.status != 0 && r.at.Before(until) {
				keyed++
				So(r.status, ShouldEqual, http.StatusServiceUnavailable)
				So(r.took, ShouldBeLessThan, 1500*time.Millisecond)
			}
		}
		So(keyed, ShouldBeGreaterThan, 20)
		Convey("they are served soon after the store is back", func() {
			f.store.SetFault(standin.NoFault)
			time.Sleep(3 * time.Second)
			back := time.Now()
			time.Sleep(time.Second)
			served, keyed := 0, 0
			for _, r := range f.resultsSince(back) {
				if r.keyed && r.status != 0 {
					keyed++
					if r.status == http.StatusOK {
						served++
					}
				}
			}
			So(served, ShouldBeGreaterThanOrEqualTo, keyed*9/10)
		})
	})
}

// refusedSends returns how many requests targets refused to run.
func (f *limitFleet) refusedSends() (n int64) {
	for _, g := range f.gateways {
		if v, ok := g.metrics.sends.Get("not_run").(*expvar.Int); ok {
			n += v.Value()
		}
		if v, ok := g.metrics.sends.Get("wrong_target").(*expvar.Int); ok {
			n += v.Value()
		}
	}
	return n
}
