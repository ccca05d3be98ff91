package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/platform"
)

// holdsAny reports whether a target holds any of a sample of keys.
func (k *cluster) holdsAny(id string) bool {
	for key := 0; key < 65536; key += 997 {
		if k.targets[id].Holds(key) {
			return true
		}
	}
	return false
}

// reportLeaving reports to a host that a target is leaving.
func (k *cluster) reportLeaving(h *testHost, id string) {
	h.c.MarkTargetLeaving(h.c.Snapshot().Targets[id].Ident())
}

// TestTargetThatLeaves guards against the use of a leaving target and its keys by hosts
// that start later: the store does not have what the target reported about itself.
func TestTargetThatLeaves(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given three hosts and a target that tells one of them that it leaves", t, func() {
		k := newCluster(t, 3, 3)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		var follower *testHost
		for _, h := range k.hosts {
			if h != k.leader() {
				follower = h
			}
		}
		for _, h := range k.hosts {
			h.storeProxy.blocked.Store(true) // the store cannot pass it on
		}
		k.reportLeaving(follower, "t1")
		known := func(h *testHost) bool { x := h.c.Snapshot().Targets["t1"]; return x != nil && x.Leaving }

		Convey("all hosts know it at once, and its keys are moved when moves can be stored", func() {
			So(eventually(time.Second, func() bool { return known(k.hosts[0]) && known(k.hosts[1]) && known(k.hosts[2]) }), ShouldBeTrue)
			for _, h := range k.hosts {
				h.storeProxy.blocked.Store(false)
			}
			So(eventually(6*time.Second, func() bool { return !k.holdsAny("t1") && k.allHeldOnce() }), ShouldBeTrue)
		})
		Convey("a host that starts later, and a leader elected later, know it too, though the store says that it is ready", func() {
			So(eventually(time.Second, func() bool { return known(k.leader()) }), ShouldBeTrue)
			for _, h := range k.hosts {
				h.storeProxy.blocked.Store(false)
			}
			So(eventually(6*time.Second, func() bool { return !k.holdsAny("t1") && k.allHeldOnce() }), ShouldBeTrue)
			old := k.leader()
			k.addHost(3)
			So(eventually(4*time.Second, func() bool { return known(k.hosts[3]) }), ShouldBeTrue)
			old.stop()
			old.c.leading.Store(false)
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				So(k.holdsAny("t1"), ShouldBeFalse)
			}
			So(eventually(10*time.Second, func() bool { x := k.leader(); return x != nil && x != old && known(x) && k.allHeldOnce() }), ShouldBeTrue)
			So(k.holdsAny("t1"), ShouldBeFalse)
		})
	})
}

// TestPanics injects a panic into the handling of a record and of a message and into the
// leader's loop; each ends only the record, the connection or the term.
func TestPanics(t *testing.T) {
	Convey("A record that causes a panic is left out, those beside it are taken", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		var applied []string
		f := newFollower(c, "topic", func(records []platform.Record, _ bool) []platform.Record {
			for _, r := range records {
				if r.Key == "bad" {
					panic("test")
				}
				applied = append(applied, r.Key)
			}
			return records
		})
		f.applyBatch(unknownOffset, platform.Batch{Records: []platform.Record{{Key: "a"}, {Key: "bad", Offset: 1}, {Key: "b", Offset: 2}}, NextOffset: 3}, true, 1)
		So(applied, ShouldContain, "b")
		So(f.position(), ShouldEqual, 3)
	})
	Convey("A message that causes a panic ends its connection and nothing else", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		near, far := net.Pipe()
		before := guard.PanicCount("peer message")
		h := c.recoverPanics(jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { panic("test") }))
		server := jsonrpc2.NewConn(context.Background(), peer.NewStream(far), h, discardLog)
		So(json.NewEncoder(near).Encode(map[string]any{"jsonrpc": "2.0", "method": "x", "params": map[string]any{}}), ShouldBeNil)
		select {
		case <-server.DisconnectNotify():
		case <-time.After(2 * time.Second):
			So("the connection", ShouldEqual, "closed")
		}
		So(guard.PanicCount("peer message"), ShouldEqual, before+1)
	})
	Convey("Messages that are malformed change nothing", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		for _, method := range []string{methodRelay, methodPositions, methodRanges, methodLeaving, methodLimits} {
			for _, params := range []string{`null`, `[]`, `"x"`, `{"workload":1}`, `{"topic":"t","records":[null]}`, `{"runs":[{"f":9,"t":-3,"o":"x","r":true}]}`,
				`{"limits":[{"per_s":-1,"sent_us":-9223372036854775808,"received_us":9223372036854775807}]}`, `{"limits":[null]}`} {
				p := json.RawMessage(params)
				So(guard.Call("test", func() {
					_ = (&leaderLink{c: c}).handle(&jsonrpc2.Request{Method: method, Params: &p})
				}), ShouldBeNil) // some return an error
			}
		}
		if r := c.RangeMap(""); r != nil {
			So(guard.Call("test", func() { r.Owner(5) }), ShouldBeNil)
		}
	})
	if testing.Short() {
		return
	}
	Convey("After a panic of the leader's loop another term begins, and keys stay held", t, func() {
		log := &panickyLogger{Logger: hclog.NewNullLogger()}
		k := newLoggedCluster(t, 2, 3, log)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		before := guard.PanicCount("lead")
		log.enabled.Store(true)
		k.reportLeaving(k.leader(), "t1") // its keys are moved
		So(eventually(3*time.Second, func() bool { return guard.PanicCount("lead") == before+1 }), ShouldBeTrue)
		So(eventually(12*time.Second, func() bool { return k.leader() != nil && !k.holdsAny("t1") && k.allHeldOnce() }), ShouldBeTrue)
	})
}

// panickyLogger panics once when a move is logged after it was enabled.
type panickyLogger struct {
	hclog.Logger
	enabled atomic.Bool
}

func (l *panickyLogger) Info(message string, args ...any) {
	if message == "move" && l.enabled.CompareAndSwap(true, false) {
		panic("test")
	}
	l.Logger.Info(message, args...)
}
