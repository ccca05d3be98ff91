package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
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
