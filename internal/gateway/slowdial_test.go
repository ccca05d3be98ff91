package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSlowConnection guards against requests that are sent by what was true before their
// connection was opened: to a target that has left since, and with the time that was left
// then.
func TestSlowConnection(t *testing.T) {
	const delay = 400 * time.Millisecond
	Convey("Given two targets, the connections to one of which open late", t, func() {
		r := newHarness(t, 2)
		slow := r.targets[0]
		opening := make(chan struct{}, 8)
		dial := r.gw.pool.dial
		r.gw.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if address == r.deployment.Snapshot().Targets[slow.ID].Address {
				opening <- struct{}{}
				time.Sleep(delay)
			}
			return dial(ctx, address)
		}
		leaving := func(id string, leaves bool) {
			x := *r.deployment.Snapshot().Targets[id]
			x.Leaving = leaves
			r.announceTarget(x)
		}
		leaving(r.targets[1].ID, true) // until the request is placed
		const deadlineMS = 1500
		statuses := make(chan int, 1)
		go func() {
			resp, _, err := r.sendRequest(http.MethodPost, "/o/x", "id1", "", deadlineMS)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
		<-opening

		Convey("a request is not sent to a target that has left meanwhile", func() {
			leaving(slow.ID, true)
			leaving(r.targets[1].ID, false)
			So(<-statuses, ShouldEqual, http.StatusOK)
			So(slow.RunCount("id1"), ShouldEqual, 0)
			So(r.targets[1].RunCount("id1"), ShouldEqual, 1)
		})
		Convey("the target is told the time that is left", func() {
			So(<-statuses, ShouldEqual, http.StatusOK)
			ms, err := strconv.Atoi(slow.Deadline("id1"))
			So(err, ShouldBeNil)
			So(ms, ShouldBeBetween, 0, deadlineMS-int(delay.Milliseconds())+1)
		})
	})
	Convey("Given a target whose connections open after the deadline", t, func() {
		r := newHarness(t, 1)
		dial := r.gw.pool.dial
		r.gw.pool.dial = func(_ context.Context, address string) (net.Conn, error) {
			time.Sleep(delay)
			return dial(context.Background(), address)
		}
		resp, _, err := r.sendRequest(http.MethodPost, "/o/x", "id2", "", int(delay.Milliseconds())/2)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldNotEqual, http.StatusOK)
		So(r.runCount("id2"), ShouldEqual, 0)
		So(r.gw.metrics.sends.Get("connect"), ShouldBeNil)
	})
}
