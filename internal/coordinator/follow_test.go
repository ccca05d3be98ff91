package coordinator

import (
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

// TestFollowerBack guards against counting the end of a store outage from when the host
// notices it: a target that had left during the outage got requests for half a second
// longer than allowed.
func TestFollowerBack(t *testing.T) {
	Convey("a follower knows when it could read again", t, func() {
		f := newFollower(New(Config{Log: hclog.NewNullLogger()}), platform.TopicTargets, nil)
		f.next = 5
		f.confirmCaughtUp(0, 5, 0, 10*time.Second)
		So(recoveredAt(f), ShouldEqual, 10*time.Second)
		f.confirmCaughtUp(0, 5, 200*time.Millisecond, 11*time.Second)
		f.confirmCaughtUp(0, 5, 0, 12*time.Second)
		So(recoveredAt(f), ShouldEqual, 10*time.Second)
		f.confirmCaughtUp(0, 5, 300*time.Millisecond, 20*time.Second)
		f.confirmCaughtUp(0, 5, 0, 20500*time.Millisecond)
		So(recoveredAt(f), ShouldEqual, 19700*time.Millisecond)
	})
}

func recoveredAt(f *follower) time.Duration {
	at, _ := f.recovery()
	return at
}

// TestDesiredStateAfterAbsence guards against a host that, after an outage, reads every
// desired state that it missed before the one in force, which takes long on a slow link
// with hundreds of routes.
func TestDesiredStateAfterAbsence(t *testing.T) {
	Convey("a host that was without the store reads the newest desired state only", t, func() {
		store := standin.NewStore()
		for range 20 {
			store.Put(platform.TopicOperator, "config", []byte(desiredJSON))
		}
		srv := httptest.NewServer(store)
		defer srv.Close()
		c := New(Config{Log: hclog.NewNullLogger(), Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://"))})
		var got int
		c.operator.apply = func(r []platform.Record, _ bool) []platform.Record { got += len(r); return r }
		c.operator.next, c.operator.caughtUpAt = 1, boottime.Now()-time.Minute
		So(c.operator.read(t.Context()), ShouldBeNil)
		So(got, ShouldEqual, 1)
		So(c.operator.position(), ShouldEqual, 20)
	})
}

// TestWakeFollowers guards against a read that hangs after a partition although another
// read got a response: the targets' topic was up to date only half a second after the
// leader was known.
func TestWakeFollowers(t *testing.T) {
	Convey("an answer ends the reads of followers that have been without the store", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		now := boottime.Now()
		ended := map[*follower]bool{}
		for _, f := range []*follower{c.operator, c.targets, c.control} {
			f.endRead = func() { ended[f] = true }
			f.caughtUpAt = now - time.Minute
		}
		c.operator.caughtUpAt = now
		c.cancelStalledReads(c.control)
		So(ended, ShouldBeEmpty) // the host has just started and reads all keys
		c.targets.applied = true
		c.cancelStalledReads(c.control)
		So(ended, ShouldResemble, map[*follower]bool{c.targets: true})
	})
}
