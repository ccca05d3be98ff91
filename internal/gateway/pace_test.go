package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/internal/slotpeer"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/quarantine"
)

// unsharedSlots is a deployment with shared slots in which no request takes one.
type unsharedSlots struct{}

func (unsharedSlots) Shares(placement.Request) bool { return false }
func (unsharedSlots) Acquire(context.Context, placement.Request, string) (placement.Decision, *slotpeer.Lease, bool) {
	return placement.Decision{}, nil, false
}

// Guards against the pace of targets acting in a deployment that does not ask for it, and
// against a fall of it that leaves no trace.
func TestPaceLine(t *testing.T) {
	Convey("Given a gateway whose target serves some requests and then sheds them", t, func() {
		start := func(shared SharedSlots, priority int) (*Gateway, *logBuffer) {
			d := &fakeDeployment{directory: fleet.NewDirectory(), changed: make(chan struct{}), suspects: quarantine.NewLedger(quarantine.Config{})}
			state := &fleet.DesiredState{
				Version: 1, Workloads: map[string]*fleet.Workload{"w": {Name: "w"}},
				Routes: []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Priority: priority, Objective: time.Second, Timeout: 2 * time.Second, Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}}}},
			}
			state.IndexRoutes()
			d.directory.PutDesiredState(state)
			d.directory.PutTarget(&fleet.Target{ID: "t0", Workload: "w", Address: "127.0.0.1:1", Domain: "d", Slots: 2})
			log := &logBuffer{}
			g := New(Config{Domain: "d", Deployment: d, Log: eventlog.New(log, "info"), Slots: shared, AdaptivePace: true})
			g.syncSnapshot()
			g.scheduler.SetColdRateShare(1) // no other host takes part
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for i := range 8 {
				if i >= 6 && shared != nil && priority == 0 {
					time.Sleep(1100 * time.Millisecond) // a target has at most one line in a second
				}
				d, ok := g.schedule(ctx, placement.Request{Workload: "w", Route: "r", Target: "t0", Deadline: boottime.Now() + time.Minute})
				So(ok, ShouldBeTrue)
				So(d.Action, ShouldEqual, placement.Send)
				g.requestEnded("t0", placement.Outcome{Route: "r", ResponseTime: 10 * time.Millisecond, Shed: i == 7, ColdRemaining: -1})
			}
			return g, log
		}

		Convey("where slots are shared, the fall of its pace is logged and counted", func() {
			g, log := start(unsharedSlots{}, 0)
			_, ok := log.waitForLine("pace", map[string]string{"target": "t0", "limit": "3", "rate_per_s": "0", "reason": "shed"})
			So(ok, ShouldBeTrue)
			So(g.metrics.paceChanges.Get("shed"), ShouldNotBeNil)
		})
		Convey("where they are not shared, its pace is not limited", func() {
			for _, c := range []struct {
				shared   SharedSlots
				priority int
			}{{nil, 0}, {unsharedSlots{}, 1}} {
				g, log := start(c.shared, c.priority)
				So(log.lines(), ShouldBeEmpty)
				So(g.metrics.paceChanges.String(), ShouldEqual, "{}")
				_, ok := g.scheduler.Pace(time.Hour, "t0", "r")
				So(ok, ShouldBeFalse)
			}
		})
	})
}
