package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/slotpeer"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
	"github.com/boragelock/boragelock/slots"
)

// newSharingHarness returns a harness whose gateway shares slots through the coordinator of
// its own process. Targets have two slots each.
func newSharingHarness(t *testing.T, targets int) (*harness, *slotpeer.Peer) {
	t.Helper()
	const self = "127.0.0.1:1"
	p := slotpeer.New(slotpeer.Config{Address: self, Domain: "d", Log: hclog.NewNullLogger()})
	r := newHarnessOn(t, targets, func(s *fakeDeployment) Deployment { return s }, func(c *Config) { c.Slots = p })
	d := &fleet.DesiredState{
		Version: 2, Workloads: map[string]*fleet.Workload{"w": {Name: "w", MaxConns: 100}},
		Limits: fleet.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 10000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
		Routes: []fleet.Route{{
			Name: "safe", Host: "h", Prefix: "/s/", Kind: fleet.Safe, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}},
			Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 3,
		}},
	}
	d.IndexRoutes()
	r.deployment.mu.Lock()
	r.deployment.directory.PutDesiredState(d)
	r.deployment.mu.Unlock()
	p.SetHosts([]slots.Host{{Address: self, Domain: "d", Cores: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	sup := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	p.AddTo(sup, r.deployment)
	done := sup.ServeBackground(ctx)
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(2 * time.Second); !p.Enabled(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("slots are not shared")
		}
	}
	time.Sleep(50 * time.Millisecond) // the targets follow at once
	return r, p
}

// noLeases reports whether all slots were given back.
func noLeases(p *slotpeer.Peer) bool {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v := p.Vars().String(); strings.Contains(v, `"coordinator_leased": 0`) && strings.Contains(v, `"coordinator_waiting": 0`) {
			return true
		}
	}
	return false
}

// concurrency returns the largest number of requests that ran at a target at a time, by when
// they arrived and how long they took.
func concurrency(arrivals []time.Time, took time.Duration) int {
	most := 0
	for _, a := range arrivals {
		n := 0
		for _, b := range arrivals {
			if !b.After(a) && b.Add(took).After(a) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestSharedQueue guards against requests that wait at a target instead of in the shared queue,
// and against requests or slots that are lost there.
func TestSharedQueue(t *testing.T) {
	Convey("Given a target with two slots that are shared", t, func() {
		r, p := newSharingHarness(t, 1)

		Convey("requests wait in the shared queue and are served, no more at a time than there are slots", func() {
			const took = 60 * time.Millisecond
			r.setBehaviour(standin.Behaviour{ServiceTime: took})
			var wg sync.WaitGroup
			var served atomic.Int32
			for i := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					res, _, err := r.sendRequest("GET", "/s/x", fmt.Sprint("q", i), "", 2000)
					if err == nil && res.StatusCode == http.StatusOK {
						served.Add(1)
					}
				}()
			}
			wg.Wait()
			So(served.Load(), ShouldEqual, 12)
			So(r.targets[0].TotalRuns(), ShouldEqual, 12)
			So(concurrency(r.targets[0].Arrivals(), took-5*time.Millisecond), ShouldBeLessThanOrEqualTo, 2)
			So(p.Vars().String(), ShouldContainSubstring, `"granted": 12`)
			So(noLeases(p), ShouldBeTrue)
		})
		Convey("a request that cannot end in time is refused with a time to come back, and has not run", func() {
			r.setBehaviour(standin.Behaviour{NeverRespond: true})
			for i := range 2 {
				go func() { _, _, _ = r.sendRequest("GET", "/s/x", fmt.Sprint("long", i), "", 2000) }()
			}
			So(awaitRuns(r, 2), ShouldBeTrue)
			start := time.Now()
			res, _, err := r.sendRequest("GET", "/s/x", "late", "", 600)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(res.Header.Get("Retry-After"), ShouldNotBeEmpty)
			So(time.Since(start), ShouldBeLessThan, 700*time.Millisecond)
			So(r.runCount("late"), ShouldEqual, 0)
			So(p.Vars().String(), ShouldContainSubstring, `"refused_deadline": 1`)
		})
		Convey("a caller that leaves while its request waits leaves nothing behind", func() {
			r.setBehaviour(standin.Behaviour{ServiceTime: 400 * time.Millisecond})
			for i := range 2 {
				go func() { _, _, _ = r.sendRequest("GET", "/s/x", fmt.Sprint("long", i), "", 2000) }()
			}
			So(awaitRuns(r, 2), ShouldBeTrue)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.address+"/s/x", nil)
			So(err, ShouldBeNil)
			req.Host = "h"
			req.Header.Set(standin.HeaderRequestID, "left")
			_, err = (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			So(err, ShouldNotBeNil)
			time.Sleep(500 * time.Millisecond)
			So(r.runCount("left"), ShouldEqual, 0)
			So(noLeases(p), ShouldBeTrue)
		})
		Convey("without a coordinator the scheduler of the host decides", func() {
			p.SetHosts(nil)
			res, _, err := r.sendRequest("GET", "/s/x", "alone", "", 1000)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			So(p.Vars().String(), ShouldContainSubstring, `"no_coordinator": 1`)
		})
		Convey("with a coordinator that cannot be reached, too", func() {
			p.SetHosts([]slots.Host{{Address: "127.0.0.1:2", Domain: "d", Cores: 1}})
			start := time.Now()
			res, _, err := r.sendRequest("GET", "/s/x", "alone", "", 1000)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			So(time.Since(start), ShouldBeLessThan, 400*time.Millisecond)
		})
		Convey("a target that the coordinator does not know yet is used", func() {
			r.deployment.mu.Lock()
			r.deployment.directory.RemoveTarget(boottime.Now(), "t0")
			r.deployment.mu.Unlock()
			x := fleet.Target{ID: "t9", Workload: "w", Address: strings.TrimPrefix(r.servers[0].URL, "http://"), Domain: "d", Slots: 2}
			r.targets[0].ID = "t9"
			r.announceTarget(x)
			res, _, err := r.sendRequest("GET", "/s/x", "new", "", 1000)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			So(r.runCount("new"), ShouldEqual, 1)
			So(noLeases(p), ShouldBeTrue)
		})
	})
}

func awaitRuns(r *harness, n int) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r.targets[0].TotalRuns() == n {
			return true
		}
	}
	return false
}

// fakeSlots answers asks by a function.
type fakeSlots struct {
	acquire func(ctx context.Context, r placement.Request) (placement.Decision, bool)
	asked   atomic.Int32
}

func (s *fakeSlots) Shares(placement.Request) bool { return true }

func (s *fakeSlots) Acquire(ctx context.Context, r placement.Request, _ string) (placement.Decision, *slotpeer.Lease, bool) {
	s.asked.Add(1)
	d, answered := s.acquire(ctx, r)
	return d, &slotpeer.Lease{}, answered
}

// permitDeployment counts permits.
type permitDeployment struct {
	*fakeDeployment
	permits atomic.Int32
}

func (d *permitDeployment) TakePermit(context.Context, fleet.Incarnation) limits.Permit {
	d.permits.Add(1)
	return limits.Permit{Granted: true}
}

// TestTargetOfTheCoordinator guards against a request that is sent to a target of another
// workload since a coordinator says so, and against a limited target that gets one without a
// permit.
func TestTargetOfTheCoordinator(t *testing.T) {
	Convey("Given a coordinator that grants another target", t, func() {
		s := &fakeSlots{}
		deployment := &permitDeployment{}
		r := newHarnessOn(t, 2, func(s *fakeDeployment) Deployment { deployment.fakeDeployment = s; return deployment }, func(c *Config) { c.Slots = s })
		grant := func(id string) {
			s.acquire = func(context.Context, placement.Request) (placement.Decision, bool) {
				return placement.Decision{Action: placement.Send, Target: id}, true
			}
		}
		serve := func() int {
			res, _, err := r.sendRequest("GET", "/s/x", "a", "", 1000)
			So(err, ShouldBeNil)
			return res.StatusCode
		}
		Convey("of another workload, the host chooses one by itself", func() {
			other := standin.NewTarget("other", 2, false)
			r.announceTarget(fleet.Target{ID: "other", Workload: "v", Address: strings.TrimPrefix(r.servers[0].URL, "http://"), Domain: "d", Slots: 2})
			grant("other")
			So(serve(), ShouldEqual, http.StatusOK)
			So(other.TotalRuns(), ShouldEqual, 0)
			So(r.runCount("a"), ShouldEqual, 1)
			So(s.asked.Load(), ShouldEqual, 1)
		})
		Convey("that is unknown, too", func() {
			grant("unknown")
			So(serve(), ShouldEqual, http.StatusOK)
			So(s.asked.Load(), ShouldEqual, 1)
		})
		Convey("whose limit became known meanwhile, it takes a permit", func() {
			s.acquire = func(context.Context, placement.Request) (placement.Decision, bool) {
				r.deployment.mu.Lock()
				defer r.deployment.mu.Unlock()
				t0 := r.deployment.directory.Snapshot().Targets["t0"]
				r.deployment.directory.SetRequestLimit(t0.Ident(), 5)
				return placement.Decision{Action: placement.Send, Target: "t0"}, true
			}
			So(serve(), ShouldEqual, http.StatusOK)
			So(s.asked.Load(), ShouldEqual, 1)
			So(int(deployment.permits.Load())+r.targets[1].RunCount("a"), ShouldEqual, 1)
		})
	})
}

// TestOwnerChangesWhileARequestWaits guards against a request that is sent to the former owner of
// its key, which it was granted a slot of after a long wait.
func TestOwnerChangesWhileARequestWaits(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a host with three keyed targets, whose slots are shared", t, func() {
		store := standin.NewStore()
		s := &fakeSlots{}
		s.acquire = func(_ context.Context, r placement.Request) (placement.Decision, bool) {
			return placement.Decision{Action: placement.Send, Target: r.Target}, true
		}
		r, _ := newHostOn(t, store, 3, func(c *Config) { c.Slots = s })
		const key = 7
		_, ok := r.requestUntilStatus(http.StatusOK, "first", key)
		So(ok, ShouldBeTrue)
		deployment := r.gw.cfg.Deployment
		first, _, _ := deployment.RangeMap("w").Owner(key)

		Convey("a request whose owner leaves while it waits is sent to the next owner only", func() {
			asks := s.asked.Load()
			var waited atomic.Bool
			s.acquire = func(_ context.Context, q placement.Request) (placement.Decision, bool) {
				if q.Target == first && !waited.Swap(true) {
					for i, x := range r.targets {
						if x.ID == first {
							store.Put(platform.TopicTargets, first, map[string]any{
								"service": "w", "address": strings.TrimPrefix(r.servers[i].URL, "http://"), "zone": "d", "slots": 1, "state": "draining",
								"cold-left-s": 0, "seq": 2, "born": 1,
							})
						}
					}
					for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						if owner, _, _ := deployment.RangeMap("w").Owner(key); owner != first {
							break
						}
					}
				}
				return placement.Decision{Action: placement.Send, Target: q.Target}, true
			}
			status := r.requestKey("GET", "/k/x", "moved", key)
			owner, _, _ := deployment.RangeMap("w").Owner(key)
			So(owner, ShouldNotEqual, first)
			So(status, ShouldBeIn, http.StatusOK, http.StatusServiceUnavailable)
			So(s.asked.Load()-asks, ShouldBeGreaterThanOrEqualTo, 1)
			for _, x := range r.targets {
				if x.ID == first {
					So(x.RunCount("moved"), ShouldEqual, 0)
				}
			}
			So(r.runCount("moved"), ShouldEqual, map[int]int{http.StatusOK: 1}[status])
			So(fmt.Sprint(r.gw.metrics.sends.Get("wrong_target")), ShouldEqual, "<nil>")
		})
	})
}
