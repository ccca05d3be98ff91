package control

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/membership"
	"github.com/boragelock/boragelock/provider"
)

// TestShortageIsNotTheTargets guards against a host that has no descriptor for calls to its
// targets, takes them for lost and moves their shards.
func TestShortageIsNotTheTargets(t *testing.T) {
	Convey("Given a host that watches three targets", t, func() {
		now := time.Second
		c := New(Config{Now: func() time.Duration { return now }})
		targets := []string{"t0", "t1", "t2"}
		c.domains.fitness.step(membership.Watch{Targets: targets})
		for _, x := range targets {
			c.domains.fitness.handleLoadReport(x, true, provider.LoadReport{Incarnation: "1", State: provider.TargetServing})
		}
		advance := func(d time.Duration) {
			for end := now + d; now < end; {
				now += stallTickInterval
				c.stalls.handleTick(now)
			}
		}
		c.stalls.lastTick.Store(int64(now))
		// fail has attempts on t0 fail with an error for two seconds, each after a time.
		fail := func(err error, after time.Duration) {
			for range 20 {
				start := c.stalls.awake()
				advance(after)
				c.reportFailure(targetNode("t0"), true, start, c.cfg.Timing.GrantTimeout, isConnectionFailure(err))
				advance(100*time.Millisecond - min(after, 100*time.Millisecond))
				for _, x := range targets[1:] {
					c.domains.fitness.handleLoadReport(x, false, provider.LoadReport{Incarnation: "1", State: provider.TargetServing})
				}
			}
		}
		state := func() membership.State { return c.domains.fitness.tracker.Get(targetNode("t0")).State }
		fit := state()
		Convey("calls that fail for lack of a descriptor do not count against a target", func() {
			fail(&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}, 0)
			So(state(), ShouldEqual, fit)
		})
		Convey("calls that it refuses or does not answer do", func() {
			for _, x := range []struct {
				err   error
				after time.Duration
			}{{syscall.ECONNREFUSED, 0}, {os.ErrDeadlineExceeded, c.cfg.Timing.GrantTimeout}} {
				fail(x.err, x.after)
				So(state(), ShouldNotEqual, fit)
				c.domains.fitness.handleLoadReport("t0", true, provider.LoadReport{Incarnation: "1", State: provider.TargetServing})
			}
		})
	})
}
