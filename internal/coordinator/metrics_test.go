package coordinator

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMetrics guards against counters that are served but never written.
func TestMetrics(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("the metrics of a leader count calls and tell ages and holds", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, k.allHeldOnce), ShouldBeTrue)
		time.Sleep(2 * planEvery)
		var v struct {
			Store       map[string]int `json:"store_calls_total"`
			Targets     map[string]int `json:"target_calls_total"`
			Terms       int            `json:"terms_total"`
			Granted     int            `json:"runs_granted"`
			Ungranted   int            `json:"runs_ungranted"`
			HoldLeft    int            `json:"hold_left_min_ms"`
			Version     int            `json:"desired_state_version"`
			DesiredAge  int            `json:"desired_state_age_ms"`
			TargetsAge  int            `json:"targets_age_ms"`
			Leading     bool           `json:"leading"`
			HostsNumber int            `json:"hosts"`
		}
		So(json.Unmarshal([]byte(k.hosts[0].c.Vars().String()), &v), ShouldBeNil)
		So(v.Store["append/ok"], ShouldBeGreaterThan, 0)
		So(v.Store["newest/ok"], ShouldBeGreaterThan, 0)
		So(v.Targets["grant/ok"], ShouldBeGreaterThanOrEqualTo, 2)
		So(v.Terms, ShouldEqual, 1)
		So(v.Granted, ShouldEqual, 2)
		So(v.Ungranted, ShouldEqual, 0)
		So(v.HoldLeft, ShouldBeBetween, 500, 2801)
		So(v.Version, ShouldEqual, 1)
		So(v.DesiredAge, ShouldBeBetween, -1, 2000)
		So(v.TargetsAge, ShouldBeBetween, -1, 2000)
		So(v.Leading, ShouldBeTrue)
		So(v.HostsNumber, ShouldEqual, 1)

		k.hosts[0].storeProxy.blocked.Store(true)
		So(eventually(4*time.Second, func() bool {
			So(json.Unmarshal([]byte(k.hosts[0].c.Vars().String()), &v), ShouldBeNil)
			return v.DesiredAge > 1000 && v.Store["append/unknown"] > 0
		}), ShouldBeTrue)
	})
}

// TestLagMetrics guards against late messages of a leader that no metric shows, and
// against traffic that is not counted by method.
func TestLagMetrics(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a host tells how late the leader's messages are, and the leader what it sends", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		late := newLaggingHost(t, k)
		late.increaseDelay(2, 3*time.Second)
		var host struct {
			Lag int `json:"leader_lag_ms"`
		}
		var leader struct {
			Bytes map[string]int `json:"peer_bytes_total"`
		}
		So(eventually(5*time.Second, func() bool {
			So(json.Unmarshal([]byte(late.c.Vars().String()), &host), ShouldBeNil)
			return host.Lag >= 1000
		}), ShouldBeTrue)
		So(json.Unmarshal([]byte(k.hosts[0].c.Vars().String()), &leader), ShouldBeNil)
		So(leader.Bytes["fresh"], ShouldBeGreaterThan, 0)
		So(leader.Bytes["ranges"], ShouldBeGreaterThan, 0)
	})
}
