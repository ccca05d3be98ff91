package slotpeer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// unansweredWithin bounds the time of an ask that the coordinator does not answer.
const unansweredWithin = dialTimeout + silenceTimeout

// testDeployment is a deployment that a test changes.
type testDeployment struct {
	mu        sync.Mutex
	directory *fleet.Directory
	changed   chan struct{}
}

func newTestDeployment(targets, slots int) *testDeployment {
	d := &testDeployment{directory: fleet.NewDirectory(), changed: make(chan struct{})}
	d.putState(1, time.Second)
	for i := range targets {
		d.directory.PutTarget(&fleet.Target{ID: fmt.Sprint("t", i), Workload: "w", Domain: "d", Address: "127.0.0.1:1", Slots: slots})
	}
	return d
}

// putState puts a desired state with one route of priority 0.
func (d *testDeployment) putState(version int, objective time.Duration) {
	s := &fleet.DesiredState{
		Version:   uint64(version),
		Workloads: map[string]*fleet.Workload{"w": {Name: "w", MaxConns: 100}},
		Routes:    []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Workloads: []fleet.WeightedWorkload{{Workload: "w", Weight: 1}}, Timeout: 2 * time.Second, Objective: objective, MaxAttempts: 1}},
	}
	s.IndexRoutes()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.PutDesiredState(s)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *testDeployment) Snapshot() *fleet.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Snapshot()
}

func (d *testDeployment) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// logBuffer is a log output that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), event)
}

// node is a host with a listener, which can be made to fail.
type node struct {
	*Peer
	deployment *testDeployment
	listener   net.Listener
	log        *logBuffer
	// handle replaces the handling of a message if it is set.
	handle atomic.Pointer[func(nc net.Conn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error]
	// unread accepts connections without reading from them.
	unread atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// startNode starts a host that shares n targets with the given slots.
func startNode(t testing.TB, n, slots int) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &node{deployment: newTestDeployment(n, slots), listener: l, log: &logBuffer{}}
	x.Peer = New(Config{Address: l.Addr().String(), Domain: "d", Log: hclog.New(&hclog.LoggerOptions{Output: x.log})})
	ctx, cancel := context.WithCancel(context.Background())
	sup := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	x.AddTo(sup, x.deployment)
	done := sup.ServeBackground(ctx)
	go x.accept(ctx, l)
	t.Cleanup(func() {
		cancel()
		x.kill()
		<-done
	})
	if !eventually(2*time.Second, func() bool { return x.Enabled() && x.targets() == n }) {
		t.Fatal("the host does not share slots")
	}
	return x
}

func (x *node) targets() int {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	return len(x.server.targets)
}

func (x *node) accept(ctx context.Context, l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		x.conns = append(x.conns, nc)
		x.mu.Unlock()
		if x.unread.Load() {
			continue
		}
		jsonrpc2.NewConn(ctx, peer.NewStream(nc), jsonrpc2.HandlerWithError(func(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			if f := x.handle.Load(); f != nil {
				return nil, (*f)(nc, conn, r)
			}
			if r.Method != MethodAsk {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
			}
			return nil, x.HandleAsk(nc, conn, r.Params)
		}), discardLog)
	}
}

// kill closes the listener and all connections.
func (x *node) kill() {
	_ = x.listener.Close()
	x.closeConns()
}

func (x *node) closeConns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, nc := range x.conns {
		_ = nc.Close()
	}
	x.conns = nil
}

// coordinatedBy makes a node the coordinator of all pools for some hosts.
func coordinatedBy(c *node, hosts ...*node) {
	for _, h := range hosts {
		h.SetHosts([]slots.Host{{Address: c.cfg.Address, Domain: "d", Cores: 1}})
	}
}

func (x *node) stats() slots.Stats {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	return x.server.coordinator.Stats()
}

// connections returns the number of hosts that are connected to the node.
func (x *node) connections() int {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	return max(len(x.server.hosts)-1, len(x.server.byConn)) // one is the node itself
}

// waitingAsks returns the number of asks of the host that wait for an answer.
func (x *node) waitingAsks() int {
	x.local.mu.Lock()
	n := len(x.local.waiting)
	x.local.mu.Unlock()
	x.Peer.mu.Lock()
	defer x.Peer.mu.Unlock()
	for _, k := range x.links {
		k.mu.Lock()
		n += len(k.waiting)
		k.mu.Unlock()
	}
	return n
}

func eventually(within time.Duration, f func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// request returns a request with a time limit for any target.
func request(left time.Duration) placement.Request {
	now := boottime.Now()
	return placement.Request{Workload: "w", Route: "r", Deadline: now + left, Objective: time.Second, ObjectiveDeadline: now + time.Second}
}

func served() placement.Outcome {
	return placement.Outcome{ResponseTime: 20 * time.Millisecond, ColdRemaining: -1}
}

// acquired is the result of Acquire.
type acquired struct {
	d        placement.Decision
	lease    *Lease
	answered bool
	took     time.Duration
}

func (x *node) acquire(ctx context.Context, left time.Duration) acquired {
	start := time.Now()
	d, l, ok := x.Acquire(ctx, request(left), "d")
	return acquired{d, l, ok, time.Since(start)}
}

// acquireLater asks in the background.
func (x *node) acquireLater(ctx context.Context, left time.Duration) <-chan acquired {
	ch := make(chan acquired, 1)
	go func() { ch <- x.acquire(ctx, left) }()
	return ch
}

func (a acquired) granted() bool { return a.answered && a.d.Action == placement.Send }

var background = context.Background()

// TestSlotsOfAllHosts guards against a target that gets more requests than it has slots, and
// against slots that are lost.
func TestSlotsOfAllHosts(t *testing.T) {
	Convey("Three hosts share the two slots of a target, one of them coordinates", t, func() {
		c, a, b := startNode(t, 1, 2), startNode(t, 1, 2), startNode(t, 1, 2)
		coordinatedBy(c, c, a, b)
		var running, most, failed atomic.Int64
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				x := []*node{c, a, b}[i%3].acquire(background, 20*time.Second)
				if !x.granted() || x.d.Target != "t0" {
					failed.Add(1)
					return
				}
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
				}
				time.Sleep(3 * time.Millisecond)
				running.Add(-1)
				if i%7 == 0 {
					x.lease.Release()
				} else {
					x.lease.End(served())
				}
				x.lease.End(served()) // has no effect
			}()
		}
		wg.Wait()
		So(failed.Load(), ShouldEqual, 0)
		So(most.Load(), ShouldBeBetweenOrEqual, 1, 2)
		So(eventually(time.Second, func() bool { s := c.stats(); return s.Leased == 0 && s.Waiting == 0 }), ShouldBeTrue)
		So(c.stats().Granted, ShouldEqual, 60)
		So(c.stats().Expired, ShouldEqual, 0)
	})
}

// TestWaitingAsk guards against asks that are kept after their caller left, and against a
// coordinator that counts as lost since an ask waits long.
func TestWaitingAsk(t *testing.T) {
	Convey("Given a host that waits for the only slot", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, c, a)
		first := c.acquire(background, 10*time.Second)
		So(first.granted(), ShouldBeTrue)
		ctx, cancel := context.WithCancel(background)
		defer cancel()
		later := a.acquireLater(ctx, 10*time.Second)
		So(eventually(time.Second, func() bool { return c.stats().Waiting == 1 }), ShouldBeTrue)

		Convey("it gets the slot after a wait longer than the time of silence", func() {
			time.Sleep(3 * silenceTimeout)
			first.lease.End(served())
			x := <-later
			So(x.granted(), ShouldBeTrue)
			x.lease.End(served())
			So(eventually(time.Second, func() bool { return c.stats().Leased == 0 }), ShouldBeTrue)
		})
		Convey("its ask is withdrawn when the caller leaves", func() {
			cancel()
			So((<-later).answered, ShouldBeFalse)
			So(eventually(time.Second, func() bool { return c.stats().Waiting == 0 }), ShouldBeTrue)
			So(a.waitingAsks(), ShouldEqual, 0)
			first.lease.End(served())
			So(eventually(time.Second, func() bool { return c.stats().Leased == 0 }), ShouldBeTrue)
		})
		Convey("its ask is dropped with its connection", func() {
			c.closeConns()
			x := <-later
			So(x.answered, ShouldBeFalse)
			So(eventually(time.Second, func() bool { return c.stats().Waiting == 0 && c.connections() == 0 }), ShouldBeTrue)
		})
		Convey("it gets no answer when the coordinator fails, which then starts anew", func() {
			waits := c.acquireLater(background, 10*time.Second)
			So(eventually(time.Second, func() bool { return c.stats().Waiting == 2 }), ShouldBeTrue)
			c.server.do(func(time.Duration) { panic("a fault") })
			So((<-later).answered, ShouldBeFalse)
			So((<-waits).answered, ShouldBeFalse)
			So(c.acquire(background, time.Second).granted(), ShouldBeTrue)
			So(c.log.count("] panic:"), ShouldEqual, 1)
		})
		Convey("its ask ends with the sharing", func() {
			c.deployment.putState(2, 100*time.Millisecond)
			x := <-later
			So(x.answered, ShouldBeTrue)
			So(x.d.Reason, ShouldEqual, placement.ReasonNoTarget)
			So(c.Shares(request(time.Second)), ShouldBeFalse)
		})
	})
	Convey("A lease of a host that ended is granted to another within a second", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, c, a)
		So(a.acquire(background, 30*time.Second).granted(), ShouldBeTrue)
		c.closeConns()
		x := c.acquire(background, 10*time.Second)
		So(x.granted(), ShouldBeTrue)
		So(x.took, ShouldBeLessThan, time.Second)
	})
}

// TestLostCoordinator guards against requests that wait longer than the stated time for a
// coordinator that does not answer.
func TestLostCoordinator(t *testing.T) {
	ignore := func(net.Conn, *jsonrpc2.Conn, *jsonrpc2.Request) error { return nil }
	notFound := func(_ net.Conn, _ *jsonrpc2.Conn, r *jsonrpc2.Request) error {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	for name, fail := range map[string]func(*node){
		"was killed":                         (*node).kill,
		"is silent":                          func(x *node) { x.handle.Store(&ignore) },
		"is of another release":              func(x *node) { x.handle.Store(&notFound) },
		"does not read":                      func(x *node) { x.unread.Store(true) },
		"falls silent while it is connected": func(x *node) { x.handle.Store(&ignore); x.unread.Store(true) },
	} {
		Convey("Given a coordinator that "+name, t, func() {
			c, a := startNode(t, 4, 4), startNode(t, 4, 4)
			coordinatedBy(c, a)
			if name == "falls silent while it is connected" {
				So(a.acquire(background, time.Second).granted(), ShouldBeTrue)
			}
			fail(c)
			Convey("all asks end in time without an answer, and the next ones at once", func() {
				var asks []<-chan acquired
				for range 50 {
					asks = append(asks, a.acquireLater(background, 10*time.Second))
					time.Sleep(2 * time.Millisecond)
				}
				for _, ch := range asks {
					x := <-ch
					So(x.answered, ShouldBeFalse)
					So(x.took, ShouldBeLessThan, unansweredWithin)
				}
				So(a.waitingAsks(), ShouldEqual, 0)
				So(eventually(time.Second, func() bool { return a.log.count("slot_coordinator_lost") == 1 }), ShouldBeTrue)
				So(a.acquire(background, time.Second).took, ShouldBeLessThan, silenceTimeout/2)
			})
		})
	}
	Convey("A coordinator that comes back is used again, and both are logged", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		c.handle.Store(&ignore)
		So(a.acquire(background, 10*time.Second).answered, ShouldBeFalse)
		c.handle.Store(nil)
		So(eventually(2*reconnectPause, func() bool {
			x := a.acquire(background, 10*time.Second)
			x.lease.End(served())
			return x.granted()
		}), ShouldBeTrue)
		So(a.log.count("slot_coordinator_lost"), ShouldEqual, 1)
		So(eventually(time.Second, func() bool { return a.log.count("slot_coordinator_found") == 1 }), ShouldBeTrue)
	})
	Convey("Attempts to reach one that stays silent become rare, and are logged once", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		c.handle.Store(&ignore)
		waited := 0
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a.acquire(background, time.Second).took > silenceTimeout/2 {
				waited++
			}
		}
		So(waited, ShouldBeBetweenOrEqual, 1, 3) // at 0, 0.8 and 2.1 s
		So(a.log.count("slot_coordinator_lost"), ShouldEqual, 1)
	})
	Convey("A coordinator that loses asks, but answers others, delays them to their deadline at most", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		So(a.acquire(background, 10*time.Second).granted(), ShouldBeTrue)
		other := a.acquireLater(background, 10*time.Second)
		So(eventually(time.Second, func() bool { return c.stats().Waiting == 1 }), ShouldBeTrue)
		c.handle.Store(&ignore)
		x := a.acquire(background, 700*time.Millisecond)
		So(x.answered, ShouldBeFalse)
		So(x.took, ShouldBeLessThan, time.Second)
		c.closeConns()
		So((<-other).answered, ShouldBeFalse)
	})
	Convey("Without hosts, and without a known coordinator, asks end at once", t, func() {
		a := startNode(t, 1, 1)
		x := a.acquire(background, time.Second)
		So(x.answered, ShouldBeFalse)
		So(x.took, ShouldBeLessThan, silenceTimeout/2)
	})
}

// TestSlowCoordinator guards against a coordinator that counts as lost although it answers, and
// against effects of a message that arrives twice or late.
func TestSlowCoordinator(t *testing.T) {
	Convey("One that is slow serves all asks", t, func() {
		c, a := startNode(t, 4, 4), startNode(t, 4, 4)
		coordinatedBy(c, a)
		slow := func(nc net.Conn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
			time.Sleep(silenceTimeout / 3)
			return c.HandleAsk(nc, conn, r.Params)
		}
		c.handle.Store(&slow)
		for range 5 {
			x := a.acquire(background, 10*time.Second)
			So(x.granted(), ShouldBeTrue)
			x.lease.End(served())
		}
		So(a.log.count("slot_coordinator_lost"), ShouldEqual, 0)
	})
	Convey("One that gets each message twice counts them once", t, func() {
		c, a := startNode(t, 2, 2), startNode(t, 2, 2)
		coordinatedBy(c, a)
		twice := func(nc net.Conn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
			_ = c.HandleAsk(nc, conn, r.Params)
			return c.HandleAsk(nc, conn, r.Params)
		}
		c.handle.Store(&twice)
		var granted []acquired
		for range 4 {
			x := a.acquire(background, 10*time.Second)
			So(x.granted(), ShouldBeTrue)
			granted = append(granted, x)
		}
		So(c.stats().Leased, ShouldEqual, 4)
		for _, x := range granted {
			x.lease.End(served())
		}
		So(eventually(time.Second, func() bool { return c.stats().Leased == 0 }), ShouldBeTrue)
		So(c.stats().Granted, ShouldEqual, 4)
	})
	Convey("One that was paused keeps nothing for the hosts that gave it up", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		resume := make(chan struct{})
		paused := func(nc net.Conn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
			<-resume
			return c.HandleAsk(nc, conn, r.Params)
		}
		c.handle.Store(&paused)
		var asks []<-chan acquired
		for range 5 {
			asks = append(asks, a.acquireLater(background, 30*time.Second))
		}
		for _, ch := range asks {
			x := <-ch
			So(x.answered, ShouldBeFalse)
			So(x.took, ShouldBeLessThan, unansweredWithin)
		}
		close(resume)
		So(eventually(2*time.Second, func() bool { s := c.stats(); return s.Leased == 0 && s.Waiting == 0 && c.connections() == 0 }), ShouldBeTrue)
		So(c.acquireLocal(), ShouldBeTrue)
	})
	Convey("A slot that is granted after its ask was given up is given back", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		So(a.acquireOnce(), ShouldBeTrue) // the connection is open
		late := func(nc net.Conn, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
			time.Sleep(silenceTimeout / 2)
			return c.HandleAsk(nc, conn, r.Params)
		}
		c.handle.Store(&late)
		ctx, cancel := context.WithTimeout(background, 50*time.Millisecond)
		defer cancel()
		So(a.acquire(ctx, 30*time.Second).answered, ShouldBeFalse)
		So(eventually(2*time.Second, func() bool { s := c.stats(); return s.Granted == 2 && s.Leased == 0 }), ShouldBeTrue)
	})
}

// acquireOnce asks for a slot and gives it back.
func (x *node) acquireOnce() bool {
	a := x.acquire(background, 5*time.Second)
	a.lease.End(served())
	return a.granted()
}

// acquireLocal is acquireOnce at the coordinator itself.
func (x *node) acquireLocal() bool {
	coordinatedBy(x, x)
	return x.acquireOnce()
}

// TestChangeOfHosts guards against connections and entries that are kept for hosts which are
// gone, and against a coordinator that is remembered for a target whose domain was unknown.
func TestChangeOfHosts(t *testing.T) {
	Convey("Asks go to the new coordinator, and what was lost is forgotten", t, func() {
		c, d, a := startNode(t, 1, 1), startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		So(a.acquireOnce(), ShouldBeTrue)
		c.kill()
		So(eventually(time.Second, func() bool { return a.log.count("slot_coordinator_lost") == 1 }), ShouldBeTrue)
		coordinatedBy(d, a)
		So(a.acquireOnce(), ShouldBeTrue)
		So(d.stats().Granted, ShouldEqual, 1)
		a.Peer.mu.Lock()
		defer a.Peer.mu.Unlock()
		So(a.lost, ShouldBeEmpty)
		So(a.links, ShouldHaveLength, 1)
	})
	Convey("An unused connection to a host that is gone is marked to be closed", t, func() {
		c, d, a := startNode(t, 1, 1), startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		So(a.acquireOnce(), ShouldBeTrue)
		coordinatedBy(d, a)
		a.Peer.mu.Lock()
		defer a.Peer.mu.Unlock()
		So(a.links[c.cfg.Address].retired.Load(), ShouldBeTrue)
	})
	Convey("The coordinator of a target depends on its domain, also after a question without one", t, func() {
		p := New(Config{Address: "self", Log: hclog.NewNullLogger()})
		var hosts []slots.Host
		for i := range 20 {
			hosts = append(hosts, slots.Host{Address: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%2), Cores: 1})
		}
		p.SetHosts(hosts)
		p.mu.Lock()
		defer p.mu.Unlock()
		for i := range 20 {
			pool := fmt.Sprint("w/t", i)
			p.coordinatorOf(0, pool, "")
			So(p.coordinatorOf(0, pool, "d1"), ShouldEqual, slots.CoordinatorOf(pool, "d1", hosts))
		}
	})
	Convey("Only contended keyed targets are shared, all of them until the leader tells", t, func() {
		a := startNode(t, 1, 1)
		shares := func(target string) bool { return a.Shares(placement.Request{Workload: "k", Target: target}) }
		a.SetContended(false, []string{"x"}, nil)
		So(shares("y"), ShouldBeTrue)
		a.SetContended(true, []string{"x"}, nil)
		So(shares("y"), ShouldBeFalse)
		So(shares("x"), ShouldBeTrue)
		a.SetContended(false, []string{"y"}, []string{"x"})
		So(shares("y"), ShouldBeTrue)
		So(shares("x"), ShouldBeFalse)
	})
}

// TestGarbage guards against messages of another process that end the coordinator's service for
// others, or that grow what it keeps.
func TestGarbage(t *testing.T) {
	Convey("Given a coordinator and a connection to it", t, func() {
		c, a := startNode(t, 1, 1), startNode(t, 1, 1)
		coordinatedBy(c, a)
		nc, err := net.Dial("tcp", c.cfg.Address)
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		answers := make(chan answerMessage, 10)
		conn := jsonrpc2.NewConn(background, peer.NewStream(nc), jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			var m answerMessage
			err := json.Unmarshal(*r.Params, &m)
			answers <- m
			return nil, err
		}), discardLog)

		Convey("messages that cannot be read have no effect", func() {
			for _, params := range []any{"x", []int{1}, map[string]any{"a": 1}, map[string]any{"a": []any{map[string]any{"i": -1}}}, askMessage{Asks: make([]wireAsk, maxBatch+1)}} {
				So(conn.Notify(background, MethodAsk, params), ShouldBeNil)
			}
			So(conn.Notify(background, MethodAsk, nil), ShouldBeNil)
			So(a.acquireOnce(), ShouldBeTrue)
			So(c.stats().Granted, ShouldEqual, 1)
		})
		Convey("a connection without JSON ends", func() {
			_, err := nc.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			So(err, ShouldBeNil)
			<-conn.DisconnectNotify()
			So(a.acquireOnce(), ShouldBeTrue)
		})
		Convey("an ask with names that are too long is refused, so that its host goes on by itself", func() {
			long := strings.Repeat("x", maxNameBytes+1)
			for _, w := range []wireAsk{{ID: 1, Pool: long}, {ID: 1, Route: long}, {ID: 1, Target: long}, {ID: 1, Tried: []string{long}}, {ID: 1, Tried: make([]string, maxTried+1)}} {
				w.LeftMS = 1000
				So(conn.Notify(background, MethodAsk, askMessage{Domain: long, Asks: []wireAsk{w}}), ShouldBeNil)
				So((<-answers).Answers, ShouldResemble, []wireAnswer{{ID: 1, Reason: placement.ReasonNoTarget}})
			}
		})
		Convey("figures are bounded", func() {
			const huge = 1 << 62
			now := boottime.Now()
			r := wireAsk{LeftMS: huge, ObjectiveMS: huge, ObjectiveLeftMS: -huge, Priority: huge, Pool: "p", Target: "t"}.ask(now, "h", "d", 0).Request
			So(r.Deadline, ShouldEqual, now+maxTime)
			So(r.Objective, ShouldEqual, maxTime)
			So(r.ObjectiveDeadline, ShouldEqual, now-maxTime)
			So(r.Priority, ShouldEqual, maxPriority)
			So(r.Workload, ShouldBeEmpty)
			o := wireEnd{ResponseUS: huge, Bytes: -1, Load: []int{huge, -huge, huge, -1}, PauseMS: -huge, ColdMS: huge}.outcome()
			So(*o.Load, ShouldResemble, placement.Load{Running: maxLoad, Waiting: 0, Slots: maxLoad, Slowdown: 0.01})
			So(o.ResponseTime, ShouldEqual, maxTime)
			So(o.ResponseBytes, ShouldEqual, 0)
			So(o.Pause, ShouldEqual, 0)
			So(o.ColdRemaining, ShouldEqual, maxTime)
		})
		Convey("an answer cannot name another target than the owner, or a metric", func() {
			So(wireAnswer{Target: "x"}.decision("owner").Target, ShouldEqual, "owner")
			So(wireAnswer{Target: "x"}.decision("").Target, ShouldEqual, "x")
			d := wireAnswer{Reason: "unheard-of", RetryAfterMS: -5}.decision("")
			So(d.Action, ShouldEqual, placement.Refuse)
			So(d.Reason, ShouldEqual, reasonOther)
			So(d.RetryAfter, ShouldEqual, 0)
		})
		Convey("a connection beyond the bound is closed, and nothing is kept of it", func() {
			c.server.mu.Lock()
			for i := range maxHosts {
				c.server.hosts[fmt.Sprint("x", i)] = &remoteHost{close: func() {}}
			}
			c.server.mu.Unlock()
			x := a.acquire(background, 10*time.Second)
			So(x.answered, ShouldBeFalse)
			So(x.took, ShouldBeLessThan, silenceTimeout)
			c.server.mu.Lock()
			So(c.server.byConn, ShouldBeEmpty)
			c.server.mu.Unlock()
		})
	})
	Convey("A host that does not read its answers is disconnected", t, func() {
		c := startNode(t, 1, 1)
		closed := false
		h := &remoteHost{deliver: func(wireAnswer) bool { return false }, heartbeat: func() {}, close: func() { closed = true }}
		So(c.server.addHost(h), ShouldBeTrue)
		c.server.handle(h, askMessage{Asks: []wireAsk{{ID: 1, Pool: "w", Route: "r", LeftMS: 1000}}})
		So(closed, ShouldBeTrue)
		c.server.dropHost(h)
		c.server.handle(h, askMessage{Asks: []wireAsk{{ID: 2, Pool: "w", Route: "r", LeftMS: 1000}}}) // read before the end
		So(eventually(time.Second, func() bool { s := c.stats(); return s.Leased == 0 && s.Granted == 1 }), ShouldBeTrue)
	})
	Convey("An ask that is withdrawn in the same batch is not sent", t, func() {
		var m askMessage
		m.add([]outgoing{{ask: &wireAsk{ID: 1}}, {ask: &wireAsk{ID: 2}}, {unsent: 1}, {unsent: 3}})
		So(m.Asks, ShouldResemble, []wireAsk{{ID: 2}})
		So(m.Unsent, ShouldResemble, []uint64{3})
	})
}

// TestMessageSize guards against messages that use up the bandwidth of the hosts: an ask with its
// answer and its end is to stay below a tenth of the 10 Mbit/s of a small host at 150 requests
// a second, several times its share.
func TestMessageSize(t *testing.T) {
	Convey("An ask, its answer and its end take less than 833 bytes together", t, func() {
		r := request(2 * time.Second)
		r.Route, r.TriedTargets = "paid-checkout", []string{"checkout-0017"}
		size := 0
		for _, m := range []any{
			askMessage{Asks: []wireAsk{newWireAsk(boottime.Now(), 1e6, "checkout", r)}},
			answerMessage{Answers: []wireAnswer{{ID: 1e6, Target: "checkout-0017"}}},
			askMessage{Ends: []wireEnd{newWireEnd(1e6, placement.Outcome{ResponseTime: 100 * time.Millisecond, ResponseBytes: 20000, ColdRemaining: -1, Load: &placement.Load{Running: 6, Slots: 6, Slowdown: 1}})}},
		} {
			raw, err := json.Marshal(m)
			So(err, ShouldBeNil)
			params := json.RawMessage(raw)
			b, err := json.Marshal(&jsonrpc2.Request{Method: MethodAnswer, Params: &params, Notif: true})
			So(err, ShouldBeNil)
			size += len(b) + 1
		}
		t.Logf("%d bytes", size)
		So(size, ShouldBeLessThan, 833) // 10 Mbit/s / 10 / 8 / 150
	})
}

// TestMetrics guards against metrics that block or that are missing.
func TestMetrics(t *testing.T) {
	Convey("Waiting asks and refusals are shown", t, func() {
		c := startNode(t, 1, 1)
		coordinatedBy(c, c)
		So(c.acquire(background, 10*time.Second).granted(), ShouldBeTrue)
		later := c.acquireLater(background, 600*time.Millisecond)
		So(eventually(time.Second, func() bool { return c.stats().Waiting == 1 }), ShouldBeTrue)
		So(c.Vars().String(), ShouldContainSubstring, `"waiting_by_pool":{"w":1},"waiting_by_priority":{"0":1}`)
		x := <-later
		So(x.answered, ShouldBeTrue)
		So(x.d.Reason, ShouldEqual, placement.ReasonDeadline)
		So(c.Vars().String(), ShouldContainSubstring, `"coordinator_refusals_total": {"deadline":1}`)
	})
	Convey("A long queue is logged at its beginning and end", t, func() {
		c := startNode(t, 1, 1)
		for _, n := range []int{longQueueFrom, longQueueFrom + 1, longQueueUntil, longQueueUntil - 1, longQueueUntil + 1} {
			c.server.do(func(time.Duration) { c.server.noteQueue(n) })
		}
		So(c.log.count("slot_queue"), ShouldBeGreaterThanOrEqualTo, 2)
	})
}

// Guards against hosts behind a network partition that go on asking coordinators on the other
// side, and place requests without any count meanwhile.
func TestSubstituteOfAnUnreachableDomain(t *testing.T) {
	Convey("Given hosts of three domains", t, func() {
		hosts := []slots.Host{}
		for _, domain := range []string{"a", "b", "c"} {
			for i := range 4 {
				hosts = append(hosts, slots.Host{Address: fmt.Sprintf("%s%d", domain, i), Domain: domain, Cores: 1})
			}
		}
		newPeer := func(domain string) *Peer {
			p := New(Config{Address: domain + "0", Domain: domain, Log: hclog.NewNullLogger()})
			p.SetHosts(hosts)
			return p
		}
		lose := func(p *Peer, addresses ...string) {
			for _, x := range addresses {
				p.lost[x] = lostCoordinator{until: time.Second}
			}
		}
		pool, address := "", ""
		for i := 0; address == "" || address[0] != 'b'; i++ { // a pool with a coordinator in domain b
			pool = fmt.Sprint("w", i)
			address = newPeer("a").coordinatorOf(0, pool, "")
		}
		Convey("one lost coordinator has no substitute", func() {
			p := newPeer("a")
			lose(p, address)
			So(p.coordinatorOf(0, pool, ""), ShouldEqual, "")
		})
		Convey("hosts that lost several of a domain agree on a host of another one, until they try again", func() {
			p, q := newPeer("a"), newPeer("c")
			lose(p, "b0", "b1", "b2", "b3")
			lose(q, address, "b3", "b2")
			So(p.coordinatorOf(0, pool, "")[0], ShouldNotEqual, 'b')
			So(p.coordinatorOf(0, pool, ""), ShouldEqual, q.coordinatorOf(0, pool, ""))
			So(p.coordinatorOf(time.Second, pool, ""), ShouldEqual, address)
		})
		Convey("a host that loses coordinators of its own domain has no substitute for them", func() {
			p := newPeer("b")
			lose(p, "b1", "b2", "b3", address)
			So(p.coordinatorOf(0, pool, ""), ShouldEqual, "")
		})
	})
}
