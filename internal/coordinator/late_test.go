package coordinator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform"
)

// laggingHost follows the leader of a cluster through a proxy. It reaches the store
// directly.
type laggingHost struct {
	testHost
	proxy *faultproxy.Proxy
}

// newLaggingHost starts a host that follows the cluster's leader, and waits until it does.
func newLaggingHost(t *testing.T, k *cluster) *laggingHost {
	d := &storeProxy{handler: k.store}
	srv := httptest.NewServer(d)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	leader := k.leader().c
	p, err := faultproxy.New(faultproxy.Options{Upstream: leader.cfg.Peer})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &laggingHost{proxy: p, testHost: testHost{storeProxy: d, stop: cancel, c: New(Config{
		Host: "late", Peer: "127.0.0.1:1", Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://")),
		Grants: platform.NewGrants(), Log: hclog.NewNullLogger(),
	})}}
	sup := suture.New("late", suture.Spec{EventHook: func(suture.Event) {}})
	sup.Add(p)
	for _, f := range h.c.followers() {
		sup.Add(f)
	}
	sup.Add(&task{"peer client", func(ctx context.Context) error {
		for ctx.Err() == nil {
			l := leader.leadership.current()
			l.Address = p.Addr()
			h.c.followLeader(ctx, l)
			sleep(ctx, 50*time.Millisecond)
		}
		return ctx.Err()
	}})
	done := sup.ServeBackground(ctx)
	t.Cleanup(func() { cancel(); <-done })
	if !eventually(5*time.Second, func() bool { return h.c.leadership.isConnected() && h.c.Ready() }) {
		t.Fatal("the lagging host does not follow the leader")
	}
	return h
}

// increaseDelay increases the delay of the leader's messages up to the given one, as on a
// link that carries 1/stretch of the leader's traffic.
func (h *laggingHost) increaseDelay(stretch int, delay time.Duration) {
	const step = 20 * time.Millisecond
	for d := time.Duration(0); d < delay; d += step * time.Duration(stretch-1) {
		h.proxy.SetFaults("", faultproxy.Faults{DownDelay: d})
		time.Sleep(step * time.Duration(stretch))
	}
}

// TestLateMessagesAreNotFresh guards against a host that treats delayed messages of the
// leader as current: it kept using desired states that had been replaced.
func TestLateMessagesAreNotFresh(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("a host to which the leader's messages come late reads a change from the store in time", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := newLaggingHost(t, k)
		h.increaseDelay(2, 4*time.Second)
		k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 9)))
		So(eventually(inForceWithin, func() bool { return h.hasVersion(9) }), ShouldBeTrue)
	})
}

// inForceWithin is the time within which a change must be in force on all hosts.
const inForceWithin = 2 * time.Second
