package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/platform"
)

// startBehindASlowStore starts a host to which the store answers reads of all targets after a
// delay, and returns it with the number of these reads.
func startBehindASlowStore(t *testing.T, k *cluster, delay time.Duration) (*Coordinator, *atomic.Int32) {
	reads := new(atomic.Int32)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "newest") && r.URL.Query().Get("topic") == platform.TopicTargets {
			reads.Add(1)
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
		}
		k.store.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	c := New(Config{
		Host: "new", Fleet: k.loopback, Peer: k.peerAddress(99), Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://")),
		Grants: platform.NewGrants(), Log: hclog.NewNullLogger(), Cores: 1, LinkMbps: 1000,
	})
	sup := suture.New("slow start", suture.Spec{EventHook: func(suture.Event) {}})
	c.AddTo(sup)
	done := sup.ServeBackground(t.Context())
	t.Cleanup(func() { <-done })
	return c, reads
}

// slowStartDelay is how long the store takes to answer with all targets.
const slowStartDelay = 800 * time.Millisecond

// TestStartBehindASlowStore guards against a host that starts its reading of all targets again
// whenever it has read another topic: when all hosts start, each reading waits for the others.
func TestStartBehindASlowStore(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a host that starts reads all targets once, however long it takes", t, func() {
		c, reads := startBehindASlowStore(t, emptyCluster(t).start(0, 2), slowStartDelay)
		So(eventually(3*time.Second, c.targets.hasApplied), ShouldBeTrue)
		So(reads.Load(), ShouldEqual, 1)
	})
}

// TestLeaderThatKnowsNoTargets guards against a host that leads before it knows the targets: it
// can grant no keys, and the hosts that know them wait for it.
func TestLeaderThatKnowsNoTargets(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a host that starts leads when it knows the targets, and not before", t, func() {
		c, _ := startBehindASlowStore(t, emptyCluster(t).start(0, 2), slowStartDelay)
		So(eventually(3*time.Second, func() bool {
			leading := c.Leading()
			if c.targets.hasApplied() {
				return true
			}
			So(leading, ShouldBeFalse)
			return false
		}), ShouldBeTrue)
		So(eventually(2*time.Second, c.Leading), ShouldBeTrue)
	})
}
