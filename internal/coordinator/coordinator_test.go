package coordinator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// storeProxy passes a host's requests to the store unless it is blocked.
type storeProxy struct {
	handler http.Handler
	// blocked requests get no response, rejected ones status 503.
	blocked, rejected atomic.Bool
	// transit is how long an answer is on its way after it was made.
	transit atomic.Int64
}

func (d *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.blocked.Load() {
		// The server notices the end of the caller only after it has read the request.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
		return
	}
	if d.rejected.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	transit := time.Duration(d.transit.Load())
	if transit == 0 {
		d.handler.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, r)
	time.Sleep(transit)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // a caller that has left notices it itself
}

type testHost struct {
	c          *Coordinator
	storeProxy *storeProxy
	stop       context.CancelFunc
}

// loopbacks counts the addresses that nextLoopback has returned.
var loopbacks atomic.Uint32

// nextLoopback returns a loopback address for the hosts of one cluster. With an address of
// its own no host gets the port of a former host of another cluster, whose hosts would
// connect to it and tell it their leader.
func nextLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>7&0x7f, 1+pid&0x7f, 1+loopbacks.Add(1)%250)
}

// cluster is a set of coordinators with a stand-in store and targets.
type cluster struct {
	// beforeStart is called with each host before it starts, if set.
	beforeStart func(*Coordinator)
	t           testing.TB
	// loopback is the address on which the hosts listen for each other.
	loopback string
	store    *standin.Store
	hosts    []*testHost
	targets  map[string]*standin.Target
	// addresses has the addresses of the targets, announcements how often each was announced.
	addresses     map[string]string
	announcements map[string]int
	log           hclog.Logger
	ranges        lease.RangeConfig
	// peers has the addresses on which hosts listen for each other, by host.
	peers map[int]string
}

const desiredJSON = `{"version":"%08x","routes":[{"name":"r","host":"h","path-prefix":"/","kind":"safe","timeout-s":1,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2}],
"services":[{"name":"w","health-path":"/health","max-conns":100,"cold-start-s":3,"cold-per-s":4,"sharded":true,"warmup-s":3}],"limits":{}}`

func newCluster(t testing.TB, hosts, targets int) *cluster {
	return newLoggedCluster(t, hosts, targets, hclog.NewNullLogger())
}

func newLoggedCluster(t testing.TB, hosts, targets int, log hclog.Logger) *cluster {
	k := emptyCluster(t)
	k.log = log
	return k.start(hosts, targets)
}

// newClusterWith starts a cluster with other times of grants.
func newClusterWith(t testing.TB, hosts, targets int, ranges lease.RangeConfig) *cluster {
	k := emptyCluster(t)
	k.ranges = ranges
	return k.start(hosts, targets)
}

func emptyCluster(t testing.TB) *cluster {
	return &cluster{t: t, loopback: nextLoopback(), store: standin.NewStore(), targets: map[string]*standin.Target{}, addresses: map[string]string{}, announcements: map[string]int{}, peers: map[int]string{}, log: hclog.NewNullLogger()}
}

func (k *cluster) start(hosts, targets int) *cluster {
	k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 1)))
	for i := range targets {
		k.addTarget(fmt.Sprint("t", i))
	}
	for i := range hosts {
		k.addHost(i)
	}
	return k
}

func (k *cluster) addTarget(id string) {
	x := standin.NewTarget(id, 2, true)
	srv := httptest.NewServer(x)
	k.t.Cleanup(srv.Close)
	k.targets[id], k.addresses[id] = x, strings.TrimPrefix(srv.URL, "http://")
	k.announce(id)
}

// announce writes the announcement of a target.
func (k *cluster) announce(id string) { k.announceAs(id, "ready") }

// announceAs writes the announcement of a target in a state.
func (k *cluster) announceAs(id, state string) {
	k.announcements[id]++
	k.store.Put(platform.TopicTargets, id, map[string]any{
		"service": "w", "address": k.addresses[id], "zone": "z", "slots": 2, "state": state,
		"cold-left-s": 0, "seq": k.announcements[id], "born": 1,
	})
}

func (k *cluster) addHost(i int) {
	d := &storeProxy{handler: k.store}
	srv := httptest.NewServer(d)
	k.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	peer := k.peerAddress(i)
	c := New(Config{
		Host: fmt.Sprint("host", i), Fleet: k.loopback, Peer: peer, Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://")),
		Grants: platform.NewGrants(), Log: k.log, Cores: 1, LinkMbps: 1000, Ranges: k.ranges,
	})
	if k.beforeStart != nil {
		k.beforeStart(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sup := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	c.AddTo(sup)
	done := sup.ServeBackground(ctx)
	k.t.Cleanup(func() { cancel(); <-done })
	k.hosts = append(k.hosts, &testHost{c: c, storeProxy: d, stop: cancel})
}

// peerAddress returns the address of a host. One that is started again keeps its own.
func (k *cluster) peerAddress(i int) string {
	address := k.peers[i]
	if address == "" {
		address = net.JoinHostPort(k.loopback, "0")
	}
	var l net.Listener
	if !eventually(2*time.Second, func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", address) // the earlier process may still listen
		return err == nil
	}) {
		k.t.Fatalf("cannot listen on %s", address)
	}
	k.peers[i] = l.Addr().String()
	if err := l.Close(); err != nil {
		k.t.Fatal(err)
	}
	return k.peers[i]
}

// eventually waits for a condition and reports whether it held within the limit.
func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func (k *cluster) leader() *testHost {
	var found *testHost
	for _, h := range k.hosts {
		if h.c.Leading() {
			if found != nil {
				return nil
			}
			found = h
		}
	}
	return found
}

// allHeldOnce reports whether each of a sample of keys is held by exactly one target.
func (k *cluster) allHeldOnce() bool {
	for key := 0; key < 65536; key += 997 {
		n := 0
		for _, t := range k.targets {
			if t.Holds(key) {
				n++
			}
		}
		if n != 1 {
			return false
		}
	}
	return true
}

// anyHeldTwice reports whether one of a sample of keys is held by several targets.
func (k *cluster) anyHeldTwice() bool {
	for key := 0; key < 65536; key += 997 {
		n := 0
		for _, t := range k.targets {
			if t.Holds(key) {
				n++
			}
		}
		if n > 1 {
			return true
		}
	}
	return false
}

func (h *testHost) hasVersion(version uint64) bool {
	d := h.c.Snapshot().DesiredState
	return d != nil && d.Version == version
}

func TestCluster(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given three hosts and four targets", t, func() {
		k := newCluster(t, 3, 4)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		for _, h := range k.hosts {
			So(eventually(3*time.Second, h.c.Ready), ShouldBeTrue)
		}
		first := k.leader()

		Convey("a change is in force on all hosts within 2 s, and an older version changes nothing", func() {
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 9)))
			for _, h := range k.hosts {
				So(eventually(2*time.Second, func() bool { return h.hasVersion(9) }), ShouldBeTrue)
			}
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 5)))
			time.Sleep(500 * time.Millisecond)
			for _, h := range k.hosts {
				So(h.hasVersion(9), ShouldBeTrue)
			}
		})
		Convey("when the leader resigns, another one takes over before the holds end", func() {
			first.c.Retire()
			So(eventually(2*time.Second, func() bool { x := k.leader(); return x != nil && x != first }), ShouldBeTrue)
			for range 40 {
				So(k.allHeldOnce(), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
		})
		Convey("a leader that is cut off from the store is replaced, and no key is held twice", func() {
			first.storeProxy.blocked.Store(true)
			So(eventually(6*time.Second, func() bool { x := k.leader(); return x != nil && x != first }), ShouldBeTrue)
			So(k.anyHeldTwice(), ShouldBeFalse)
			So(eventually(5*time.Second, k.allHeldOnce), ShouldBeTrue)
			// The previous leader cannot read who leads, so that the new one asks it.
			So(eventually(3*time.Second, func() bool { return k.leader().c.leadership.hasEnded(1) }), ShouldBeTrue)
		})
		Convey("while the store is down for all, the leader keeps the holds up", func() {
			for _, h := range k.hosts {
				h.storeProxy.blocked.Store(true)
			}
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				So(k.allHeldOnce(), ShouldBeTrue)
			}
		})
		Convey("a new target gets keys, and one that leaves loses them", func() {
			k.addTarget("new")
			So(eventually(5*time.Second, func() bool {
				for key := 0; key < 65536; key += 97 {
					if k.targets["new"].Holds(key) {
						return true
					}
				}
				return false
			}), ShouldBeTrue)
			k.store.Put(platform.TopicTargets, "t0", nil)
			So(eventually(5*time.Second, func() bool {
				for key := 0; key < 65536; key += 97 {
					if k.targets["t0"].Holds(key) {
						return false
					}
				}
				return k.allHeldOnce()
			}), ShouldBeTrue)
		})
		Convey("records that were deleted are read from the newest of each key", func() {
			k.store.Put(platform.TopicOperator, "evacuate/z2", map[string]any{})
			k.store.Compact(platform.TopicOperator)
			k.store.Compact(platform.TopicTargets)
			k.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredJSON, 12)))
			for _, h := range k.hosts {
				So(eventually(2*time.Second, func() bool { return h.hasVersion(12) && h.c.Snapshot().Evacuated["z2"] }), ShouldBeTrue)
			}
		})
	})
}

func TestOverlay(t *testing.T) {
	Convey("Changed runs replace what they cover", t, func() {
		r := (&RangeMap{ranges: parseRanges("0-99:a 100-65535:b")}).overlay(0, parseRanges("50-149:c"))
		id, _, _ := r.Owner(49)
		So(id, ShouldEqual, "a")
		id, _, _ = r.Owner(149)
		So(id, ShouldEqual, "c")
		id, _, _ = r.Owner(150)
		So(id, ShouldEqual, "b")
	})
}

// parseRanges parses key ranges in the form "FROM-TO:OWNER ...".
func parseRanges(s string) []lease.RangeView {
	var out []lease.RangeView
	for _, f := range strings.Fields(s) {
		var x lease.RangeView
		if _, err := fmt.Sscanf(strings.Replace(f, ":", " ", 1), "%d-%d %s", &x.From, &x.To, &x.Owner); err != nil {
			panic(err)
		}
		x.Ready = true
		out = append(out, x)
	}
	return out
}
