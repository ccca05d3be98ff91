package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHostLateWithTargets guards against requests that a host which is behind sends to a target
// that has left.
func TestHostLateWithTargets(t *testing.T) {
	Convey("Given a host that does not know yet that one of two targets has left", t, func() {
		r := newHarness(t, 2)
		r.deployment.targetsLate.Store(true)

		Convey("its requests wait until it has caught up, and go to the other one", func() {
			const catchUp = 300 * time.Millisecond
			time.AfterFunc(catchUp, func() {
				x := *r.deployment.Snapshot().Targets["t0"]
				x.Leaving = true
				r.announceTarget(x)
				r.deployment.targetsLate.Store(false)
			})
			for _, path := range []string{"/s/x", "/o/x"} {
				resp, _, err := r.sendRequest(http.MethodPost, path, "id"+path, "", 1500)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
				So(r.targets[0].RunCount("id"+path), ShouldEqual, 0)
				So(r.targets[1].RunCount("id"+path), ShouldEqual, 1)
			}
		})
		Convey("one that does not catch up in time refuses them", func() {
			resp, _, err := r.sendRequest(http.MethodPost, "/o/x", "id", "", 200)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(r.runCount("id"), ShouldEqual, 0)
		})
	})
}
