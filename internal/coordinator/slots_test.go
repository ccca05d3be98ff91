package coordinator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/slots"
)

// fakeSlotService records what it is told.
type fakeSlotService struct {
	enabled atomic.Bool

	mu        sync.Mutex
	hosts     []slots.Host
	contended map[string]bool
	messages  int
}

func (s *fakeSlotService) Enabled() bool { return s.enabled.Load() }

func (s *fakeSlotService) SetHosts(hosts []slots.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages++
	s.hosts = hosts
}

func (s *fakeSlotService) SetContended(full bool, added, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.messages++
	if full {
		s.contended = map[string]bool{}
	}
	for _, id := range added {
		s.contended[id] = true
	}
	for _, id := range removed {
		delete(s.contended, id)
	}
}

func (s *fakeSlotService) HandleAsk(net.Conn, *jsonrpc2.Conn, *json.RawMessage) error { return nil }

func (s *fakeSlotService) told() (addresses, contended []string, messages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		addresses = append(addresses, h.Address)
	}
	return addresses, slices.Sorted(maps.Keys(s.contended)), s.messages
}

// slotCluster is a cluster whose hosts share slots.
type slotCluster struct {
	*cluster
	services map[*Coordinator]*fakeSlotService
	enabled  bool
}

func newSlotCluster(t *testing.T, hosts, targets int, enabled bool) *slotCluster {
	k := &slotCluster{cluster: emptyCluster(t), services: map[*Coordinator]*fakeSlotService{}, enabled: enabled}
	k.beforeStart = func(c *Coordinator) {
		s := &fakeSlotService{}
		s.enabled.Store(k.enabled)
		c.cfg.Slots, c.cfg.Domain = s, "z"
		k.services[c] = s
	}
	k.start(hosts, targets)
	return k
}

// toldAlike reports whether all running hosts were told that exactly these hosts are live.
func (k *slotCluster) toldAlike(running ...*testHost) bool {
	var want []string
	for _, h := range running {
		want = append(want, h.c.cfg.Peer)
	}
	slices.Sort(want)
	for _, h := range running {
		if addresses, _, _ := k.services[h.c].told(); !slices.Equal(addresses, want) {
			return false
		}
	}
	return true
}

// toldContended reports whether all these hosts were told the same contended targets.
func (k *slotCluster) toldContended(want []string, running ...*testHost) bool {
	for _, h := range running {
		if _, contended, _ := k.services[h.c].told(); !slices.Equal(contended, want) {
			return false
		}
	}
	return true
}

// count reports requests for all keys, at a rate that uses much or little of the targets.
func (k *slotCluster) count(h *testHost, perKey int) {
	for key := 0; key < 65536; key += 64 {
		for range perKey {
			h.c.CountKey("w", key)
		}
	}
}

// TestLiveHosts guards against hosts that select different coordinators since they were told
// different hosts or contended targets.
func TestLiveHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given hosts that share slots", t, func() {
		k := newSlotCluster(t, 3, 2, true)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		So(eventually(4*time.Second, func() bool { return k.toldAlike(k.hosts...) }), ShouldBeTrue)
		leader := k.leader()
		for _, h := range k.hosts {
			s := k.services[h.c]
			s.mu.Lock()
			So(s.hosts[0].Domain, ShouldEqual, "z")
			So(s.hosts[0].Cores, ShouldEqual, 1)
			s.mu.Unlock()
		}

		Convey("they are told the contended targets, also a host that joins later", func() {
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						k.count(leader, 1)
					}
				}
			}()
			defer wg.Wait()
			defer close(stop)
			all := []string{"t0", "t1"}
			So(eventually(10*time.Second, func() bool { return k.toldContended(all, k.hosts...) }), ShouldBeTrue)
			k.addHost(3)
			So(eventually(5*time.Second, func() bool { return k.toldAlike(k.hosts...) && k.toldContended(all, k.hosts...) }), ShouldBeTrue)
		})
		Convey("a new leader tells the hosts that are left", func() {
			leader.stop()
			var rest []*testHost
			for _, h := range k.hosts {
				if h != leader {
					rest = append(rest, h)
				}
			}
			So(eventually(12*time.Second, func() bool { return k.toldAlike(rest...) }), ShouldBeTrue)
		})
		Convey("hosts of an earlier release, which do not answer asks, are left out", func() {
			pc := &peerConn{address: "127.0.0.1:1", outbox: make(chan peerMessage, outboxSize)}
			leader.c.peers.add(pc)
			defer leader.c.peers.remove(pc)
			for _, h := range leader.c.liveHosts() {
				So(h.Address, ShouldNotEqual, "127.0.0.1:1")
			}
			So(leader.c.liveHosts(), ShouldHaveLength, 3)
		})
	})
	Convey("Nothing is told while slots are not shared", t, func() {
		k := newSlotCluster(t, 2, 2, false)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		for range 20 {
			k.count(k.hosts[0], 1)
			time.Sleep(200 * time.Millisecond)
		}
		k.addHost(2)
		time.Sleep(2 * hostsSettle)
		for _, h := range k.hosts {
			_, _, messages := k.services[h.c].told()
			So(messages, ShouldEqual, 0)
		}
	})
}

// TestContendedTargets guards against targets that stay contended for as long as the leader
// leads, since they have left or own no keys any more.
func TestContendedTargets(t *testing.T) {
	Convey("Given contended targets of two workloads", t, func() {
		var c contendedTargets
		_, due := c.changes()
		So(due, ShouldBeFalse)
		c.update("a", map[string]float64{"a1": contendedFrom, "a2": contendedFrom - 0.01, "a3": 2})
		c.update("b", map[string]float64{"b1": 1})
		m, due := c.changes()
		So(due, ShouldBeTrue)
		So(m, ShouldResemble, contendedMessage{Full: true, Added: []string{"a1", "a3", "b1"}})
		_, due = c.changes()
		So(due, ShouldBeFalse)

		Convey("one stays until it falls below the lower bound", func() {
			c.update("a", map[string]float64{"a1": contendedUntil, "a2": contendedFrom - 0.01, "a3": contendedUntil - 0.01})
			m, due := c.changes()
			So(due, ShouldBeTrue)
			So(m, ShouldResemble, contendedMessage{Removed: []string{"a3"}})
		})
		Convey("one that owns no keys any more goes", func() {
			c.update("a", map[string]float64{"a1": 0.5})
			m, _ := c.changes()
			So(m, ShouldResemble, contendedMessage{Removed: []string{"a3"}})
		})
		Convey("those of a workload that is gone go", func() {
			c.retain(func(workload string) bool { return workload == "b" })
			m, _ := c.changes()
			So(m, ShouldResemble, contendedMessage{Removed: []string{"a1", "a3"}})
		})
	})
}

// TestHostsThatDoNotShare guards against a host with shared queues off that is told to
// coordinate.
func TestHostsThatDoNotShare(t *testing.T) {
	Convey("A host without slots states no processor share", t, func() {
		So(New(Config{Cores: 2}).helloFor(leaderRecord{}).Cores, ShouldEqual, 0)
		So(New(Config{Cores: 2, Slots: &fakeSlotService{}}).helloFor(leaderRecord{}).Cores, ShouldEqual, 2)
	})
	Convey("The order of connections does not change the message", t, func() {
		c := New(Config{Peer: "h", Slots: &fakeSlotService{}, Cores: 1})
		for i := range 5 {
			c.peers.add(&peerConn{address: "x", domain: fmt.Sprint(i), cores: float64(i + 1)})
		}
		first := c.liveHosts()
		So(first, ShouldHaveLength, 2)
		for range 50 {
			So(c.liveHosts(), ShouldResemble, first)
		}
	})
}
