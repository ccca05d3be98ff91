package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/platform"
)

// relayPair is a leader that reads records and a host that gets them by relay only.
type relayPair struct {
	leader, host *Coordinator
	pc           *peerConn
	next         int64
	seq          int
}

func newRelayPair() *relayPair {
	config := Config{Host: "leader", Peer: "127.0.0.1:0", Log: hclog.NewNullLogger()}
	p := &relayPair{leader: New(config), host: New(config), pc: &peerConn{outbox: make(chan peerMessage, outboxSize)}}
	p.leader.leading.Store(true)
	p.leader.peers.add(p.pc)
	for _, c := range []*Coordinator{p.leader, p.host} {
		c.targets.applyBatch(unknownOffset, platform.Batch{NextOffset: 0}, true, boottime.Now())
	}
	p.pass()
	return p
}

// pass passes the leader's messages to the host.
func (p *relayPair) pass() {
	k := &leaderLink{c: p.host, received: make(chan struct{}, 1), rangeRequests: make(chan string, maxRangeRequests)}
	for {
		select {
		case m := <-p.pc.outbox:
			params := []byte(m.params)
			if m.method == methodPacked {
				var packed packedMessage
				So(json.Unmarshal(params, &packed), ShouldBeNil)
				var err error
				params, err = delta.Apply(nil, packed.Params, maxUnpackedBytes)
				So(err, ShouldBeNil)
			}
			switch m.innerMethod {
			case methodRelay:
				var r relayMessage
				So(json.Unmarshal(params, &r), ShouldBeNil)
				p.host.targets.applyRelay(r, boottime.Now())
			case methodLimits:
				var l limitsMessage
				So(json.Unmarshal(params, &l), ShouldBeNil)
				k.applyLimits(l.Limits)
			}
		default:
			return
		}
	}
}

// announcement returns the value of a target's announcement.
func announcement(id, state string, seq int) []byte {
	return fmt.Appendf(nil, `{"service":"w","address":"%s:1","zone":"z","slots":2,"state":"%s","cold-left-s":0,"seq":%d,"born":1}`, id, state, seq)
}

// read lets the leader read records of targets: announcements, or deletions of those with
// an empty state.
func (p *relayPair) read(state string, ids ...string) {
	var b platform.Batch
	for _, id := range ids {
		r := platform.Record{Offset: p.next, Key: id}
		p.next++
		if state != "" {
			p.seq++
			r.Value = announcement(id, state, p.seq)
		}
		b.Records = append(b.Records, r)
	}
	from := p.next - int64(len(ids))
	b.NextOffset = p.next
	So(p.leader.targets.applyBatch(from, b, false, boottime.Now()), ShouldBeTrue)
	p.pass()
}

func (p *relayPair) hostHas(id string) bool { return p.host.Snapshot().Targets[id] != nil }

// lapse lets the announcement of a target lapse during an outage of the store. The leader
// keeps the target; the host, which notices no outage, drops it.
func (p *relayPair) lapse(ids ...string) {
	p.leader.mu.Lock()
	p.leader.dir.MarkStoreUnreachable()
	p.leader.mu.Unlock()
	p.read("", ids...)
	p.leader.mu.Lock()
	p.leader.dir.MarkStoreReachable(boottime.Now())
	p.leader.mu.Unlock()
}

// TestAnnouncementsAfterALapse guards against hosts that drop targets for good: the leader
// kept them, and did not relay announcements that changed nothing for itself.
func TestAnnouncementsAfterALapse(t *testing.T) {
	Convey("Given a target that the leader kept and another host dropped when its announcement lapsed", t, func() {
		p := newRelayPair()
		time.Sleep(5 * time.Millisecond)
		p.read("ready", "t0", "t1")
		So(p.hostHas("t0"), ShouldBeTrue)
		p.lapse("t0", "t1")
		So(p.leader.Snapshot().Targets["t0"], ShouldNotBeNil)
		So(p.hostHas("t0"), ShouldBeFalse)

		Convey("the host has it again when it announces itself, as it was", func() {
			p.read("ready", "t0")
			So(p.hostHas("t0"), ShouldBeTrue)
			So(p.hostHas("t1"), ShouldBeFalse)
		})
		Convey("a deletion and an announcement in one read end with the announcement", func() {
			p.read("ready", "t0")
			from := p.next
			p.seq++
			value := fmt.Appendf(nil, `{"service":"w","address":"t0:1","zone":"z","slots":2,"state":"ready","cold-left-s":0,"seq":%d,"born":1}`, p.seq)
			p.next += 2
			p.leader.targets.applyBatch(from, platform.Batch{NextOffset: p.next, Records: []platform.Record{{Offset: from, Key: "t0"}, {Offset: from + 1, Key: "t0", Value: value}}}, false, boottime.Now())
			p.pass()
			So(p.hostHas("t0"), ShouldBeTrue)
		})
		Convey("a host that connects gets all targets", func() {
			p.read("ready", "t0", "t1")
			late := New(Config{Host: "late", Peer: "127.0.0.1:0", Log: hclog.NewNullLogger()})
			p.host = late
			p.leader.targets.applyMu.Lock()
			p.pc.enqueue(encode(methodRelay, p.leader.targets.fullRelay()))
			p.leader.targets.applyMu.Unlock()
			p.pass()
			So(p.hostHas("t0"), ShouldBeTrue)
			So(p.hostHas("t1"), ShouldBeTrue)
		})
	})
	Convey("Announcements that only count up are not relayed", t, func() {
		p := newRelayPair()
		p.read("ready", "t0")
		before := len(p.pc.outbox)
		from := p.next
		p.next++
		p.leader.targets.applyBatch(from, platform.Batch{NextOffset: p.next, Records: []platform.Record{{Offset: from, Key: "t0",
			Value: []byte(`{"service":"w","address":"t0:1","zone":"z","slots":2,"state":"ready","cold-left-s":0,"seq":99,"born":1}`)}}}, false, boottime.Now())
		So(len(p.pc.outbox), ShouldEqual, before+1)
		var m relayMessage
		So(json.Unmarshal((<-p.pc.outbox).params, &m), ShouldBeNil)
		So(m.Records, ShouldBeEmpty)
	})
}

// TestLimitsAfterALapse guards against a host that forgets the limit of a target with its
// announcement, while the leader, which kept both, has nothing new to tell.
func TestLimitsAfterALapse(t *testing.T) {
	Convey("A limit that the leader knows is in force again on a host with the target", t, func() {
		p := newRelayPair()
		p.read("ready", "t0")
		target := p.leader.Snapshot().Targets["t0"].Ident()
		stated := limits.LimitStatement{Target: target, PerSecond: 2, SentAt: boottime.Now(), ReceivedAt: boottime.Now()}
		p.leader.RecordRequestLimit(stated)
		p.pass()
		limit := func(c *Coordinator) float64 {
			return c.Snapshot().RequestLimit(&fleet.Target{ID: target.ID, Address: target.Address, Born: target.Born})
		}
		So(limit(p.host), ShouldEqual, 2)
		p.lapse("t0")
		p.host.dropLimitsOfGoneTargets(boottime.Now() + 2*unannouncedLimitAge)
		So(limit(p.host), ShouldEqual, 0)
		So(limit(p.leader), ShouldEqual, 2)
		p.read("ready", "t0")
		So(limit(p.host), ShouldEqual, 2)
	})
}

// TestNewLeaderAfterALapse guards against a leader that started in an outage of the store
// and moves the keys of targets whose announcements lapsed in it: the targets live, and
// their keys are ungranted until all leases of the former leader have ended for certain.
func TestNewLeaderAfterALapse(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a leader that ends, announcements that lapsed, and a host that starts", t, func() {
		k := newCluster(t, 1, 3)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		owners := map[int]string{}
		for key := 0; key < 65536; key += 997 {
			owners[key], _, _ = k.hosts[0].c.RangeMap("w").Owner(key)
		}
		k.hosts[0].stop()
		k.hosts[0].c.leading.Store(false)
		for _, id := range []string{"t1", "t2"} {
			k.store.Put(platform.TopicTargets, id, nil)
		}
		k.addHost(1)
		started := time.Now()
		So(eventually(4*time.Second, func() bool { return k.hosts[1].c.Leading() }), ShouldBeTrue)
		time.Sleep(time.Until(started.Add(fleet.RemovalGrace - 400*time.Millisecond)))
		k.announce("t1")
		k.announce("t2")

		Convey("the targets keep their keys", func() {
			So(eventually(5*time.Second, k.allHeldOnce), ShouldBeTrue)
			for key, owner := range owners {
				got, _, _ := k.hosts[1].c.RangeMap("w").Owner(key)
				So(got, ShouldEqual, owner)
			}
		})
	})
}
