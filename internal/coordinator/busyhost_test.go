package coordinator

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// leftWithin is the time within which no host sends requests to a target any more that has left.
const leftWithin = 3 * time.Second

// TestSlowStoreIsNoOutage guards against a host that takes slow answers of the store for an
// outage: it kept targets that were gone for as long as it waits after an outage.
func TestSlowStoreIsNoOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a host to which the leader's messages and the store's answers come late", t, func() {
		k := newCluster(t, 1, 2)
		So(eventually(8*time.Second, func() bool { return k.leader() != nil && k.allHeldOnce() }), ShouldBeTrue)
		h := newLaggingHost(t, k)
		stopped := make(chan struct{})
		go func() { defer close(stopped); _ = h.c.serveExpiry(t.Context()) }()
		t.Cleanup(func() { <-stopped })
		So(eventually(5*time.Second, func() bool { return !h.mayBeAnnounced() }), ShouldBeTrue)
		h.storeProxy.transit.Store(int64(900 * time.Millisecond))
		h.increaseDelay(2, 5*time.Second)

		Convey("a target that has left is not used any more in time", func() {
			k.store.Put(platform.TopicTargets, "t0", nil)
			So(eventually(leftWithin, func() bool { return h.c.Snapshot().Targets["t0"] == nil }), ShouldBeTrue)
		})
	})
}

// TestAgeOfALateAnswer guards against a host that counts what the store told it from the arrival
// of the answer: it used, and as the leader relayed, as current what was seconds old.
func TestAgeOfALateAnswer(t *testing.T) {
	Convey("Given a store whose answers are on their way for 0.5 s", t, func() {
		const transit = 500 * time.Millisecond
		store := standin.NewStore()
		store.Put(platform.TopicTargets, "t0", nil)
		proxy := &storeProxy{handler: store}
		srv := httptest.NewServer(proxy)
		defer srv.Close()
		f := newTargetsFollower(srv)
		So(f.read(context.Background()), ShouldBeNil)
		proxy.transit.Store(int64(transit))

		Convey("what a read without new records tells is as old", func() {
			So(f.read(context.Background()), ShouldBeNil)
			So(f.age(boottime.Now()), ShouldBeGreaterThanOrEqualTo, transit)
		})
		Convey("what a read with new records tells is as old", func() {
			store.Put(platform.TopicTargets, "t1", nil)
			So(f.read(context.Background()), ShouldBeNil)
			So(f.age(boottime.Now()), ShouldBeGreaterThanOrEqualTo, transit)
		})
	})
}

// TestPartOfTheRecords guards against a host that takes the records of one answer for all that
// there are: with large desired states it acted by an old one as if it were in force.
func TestPartOfTheRecords(t *testing.T) {
	Convey("A host that read some of the new records has not caught up", t, func() {
		end := 3
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "newest") {
				_, _ = w.Write([]byte(`{"items":[],"has-more":false,"end-offset":0}`))
				return
			}
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			b = append(binary.BigEndian.AppendUint32(b, 3), 2, 't', '0')
			_, _ = w.Write(b)
		}))
		defer srv.Close()
		f := newTargetsFollower(srv)
		So(f.read(context.Background()), ShouldBeNil)
		before := f.age(0)
		So(f.read(context.Background()), ShouldBeNil)
		So(f.position(), ShouldEqual, 1)
		So(f.age(0), ShouldEqual, before)
		end = 2
		So(f.read(context.Background()), ShouldBeNil)
		So(f.age(0), ShouldBeLessThan, before)
	})
}

// newTargetsFollower returns the follower of the targets' topic of a host that does not run.
func newTargetsFollower(store *httptest.Server) *follower {
	c := New(Config{Host: "h", Store: platform.NewStore(strings.TrimPrefix(store.URL, "http://")), Grants: platform.NewGrants(), Log: hclog.NewNullLogger()})
	return c.targets
}

// TestViewOfTheTargets guards against requests that are sent by an old view of the targets
// although the store would answer with a newer one.
func TestViewOfTheTargets(t *testing.T) {
	Convey("Given a host whose view of the targets was current at 0", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		f := c.targets
		f.following = true
		now := boottime.Now()
		old := func(age time.Duration) bool {
			f.caughtUpAt = now - age
			_, current := c.TargetsView()
			return !current
		}
		Convey("it is used until changes are due", func() {
			So(old(1700*time.Millisecond), ShouldBeFalse)
			So(old(1900*time.Millisecond), ShouldBeTrue)
		})
		Convey("it is used when nothing follows the targets, as at the end of the process", func() {
			f.following = false
			So(old(time.Hour), ShouldBeFalse)
		})
		Convey("it is used when the store refuses to tell a newer one", func() {
			f.contact.begin(0, 0)
			f.contact.end(0, &platform.Error{Outcome: platform.NotDone, Status: http.StatusServiceUnavailable})
			So(old(time.Hour), ShouldBeFalse)
		})
		Convey("it is used when the store is silent, not when the process did not run", func() {
			f.contact.begin(c.ran.now(), 0)
			c.ran.tick(time.Second)
			c.ran.tick(4 * time.Second)
			So(old(3*time.Second), ShouldBeTrue)
			for i := range 10 {
				c.ran.tick(4*time.Second + time.Duration(i)*expireEvery)
			}
			So(old(4*time.Second), ShouldBeFalse)
		})
		Convey("a read that ended while the process did not run says nothing of the store", func() {
			f.contact.begin(c.ran.now(), 0)
			f.contact.end(c.ran.now(), context.DeadlineExceeded)
			So(old(3*time.Second), ShouldBeTrue)
		})
		Convey("an answer ends an outage", func() {
			f.contact.begin(0, 0)
			f.contact.end(time.Second, context.DeadlineExceeded)
			So(old(3*time.Second), ShouldBeFalse)
			f.contact.begin(time.Second, 0)
			f.contact.end(time.Second, nil)
			So(old(3*time.Second), ShouldBeTrue)
		})
	})
}

// TestOwnStallIsNoSilence guards against a host that did not run for a while, takes its leader for
// silent, and connects to it anew together with all others that are short of processor time.
func TestOwnStallIsNoSilence(t *testing.T) {
	Convey("Given a host that hears of its leader", t, func() {
		w := stallWatch{tickedAt: time.Second}
		now := time.Second
		for range 8 {
			now += countsEvery
			w.tick(now)
		}
		Convey("a silence while it runs is the leader's", func() {
			So(w.excuses(now+countsEvery), ShouldBeFalse)
		})
		Convey("one in which it did not run may be its own, once", func() {
			now += silentAfter + time.Second
			w.tick(now)
			So(w.excuses(now), ShouldBeTrue)
			So(w.excuses(now+countsEvery), ShouldBeFalse)
		})
		Convey("it is the leader's again after a message", func() {
			now += silentAfter + time.Second
			w.tick(now)
			w.heard()
			So(w.excuses(now+countsEvery), ShouldBeFalse)
		})
	})
}

// TestOwnStallOffersNoLead guards against a leader that did not run for a while and gives its lead
// away, since its calls to the store ran into their deadlines meanwhile.
func TestOwnStallOffersNoLead(t *testing.T) {
	Convey("Given a leader that the store answers", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		tm := &term{c: c}
		pc := &peerConn{outbox: make(chan peerMessage, outboxSize), host: "other"}
		c.peers.conns[pc] = true
		fail := func() {
			for range offerFailures {
				c.noteStoreCall("read", 0, &platform.Error{Outcome: platform.Unknown, Offset: -1, Err: context.DeadlineExceeded})
			}
		}
		c.ran.tick(boottime.Now())
		c.noteStoreCall("read", 0, nil)

		Convey("it keeps the lead when its calls failed while it did not run", func() {
			time.Sleep(offerAfter + expireEvery)
			c.ran.tick(boottime.Now())
			fail()
			tm.offerLead(boottime.Now())
			So(pc.outbox, ShouldBeEmpty)
		})
		Convey("it offers the lead when they fail while it runs", func() {
			fail()
			for range int(offerAfter/expireEvery) + 2 {
				time.Sleep(expireEvery)
				c.ran.tick(boottime.Now())
			}
			tm.offerLead(boottime.Now())
			So(len(pc.outbox), ShouldEqual, 1)
		})
	})
}

// TestOutageIsSeenByReads guards against a host that forgets an outage with the first read that
// the store answers again: it dropped live targets whose announcements had lapsed.
func TestOutageIsSeenByReads(t *testing.T) {
	Convey("Given a host whose view has become old", t, func() {
		store := standin.NewStore()
		store.Put(platform.TopicTargets, "t0", nil)
		proxy := &storeProxy{handler: store}
		srv := httptest.NewServer(proxy)
		defer srv.Close()
		f := newTargetsFollower(srv)
		So(f.read(context.Background()), ShouldBeNil)
		_, outage := f.recovery()
		So(outage, ShouldBeTrue) // it has just started
		caughtUp := boottime.Now() - topicLostAfter - time.Second
		f.caughtUpAt = caughtUp

		Convey("a refused read before it catches up was an outage", func() {
			proxy.rejected.Store(true)
			So(f.read(context.Background()), ShouldNotBeNil)
			proxy.rejected.Store(false)
			So(f.read(context.Background()), ShouldBeNil)
			_, outage := f.recovery()
			So(outage, ShouldBeTrue)
		})
		Convey("it was none when the store answered each read", func() {
			So(f.read(context.Background()), ShouldBeNil)
			_, outage := f.recovery()
			So(outage, ShouldBeFalse)
		})
	})
}
