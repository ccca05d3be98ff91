package coordinator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// TestGrantsOfADelayedCallAreNotSent guards against two owners of a key: a leader short of
// processor time decided on a grant and sent it seconds later over an open connection, after
// the time from which it counted the lease as ended.
func TestGrantsOfADelayedCallAreNotSent(t *testing.T) {
	Convey("Given a leader with an open connection to a target", t, func() {
		target := standin.NewTarget("t1", 2, true)
		srv := httptest.NewServer(target)
		defer srv.Close()
		address := strings.TrimPrefix(srv.URL, "http://")
		c := New(Config{Host: "host1", Peer: "127.0.0.1:1", Grants: platform.NewGrants(), Log: hclog.NewNullLogger()})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		tm := &term{c: c, ctx: ctx, loopQueue: make(chan loopFunc, loopQueueSize), fenceRefusals: map[string]int{}}
		now := boottime.Now()
		table := &ownership.RangeTable{Ranges: []ownership.KeyRange{{To: 65535, Owner: "t1"}}}
		timeout := c.cfg.Ranges.KeyLease.CallTimeout
		// call makes a grant that was decided a time ago and returns whether it was accepted.
		call := func(ago time.Duration) bool {
			g := lease.NewRangeGranter(c.cfg.Ranges, lease.BeginTerm(c.cfg.Ranges.KeyLease, 1, now, now, lease.EarlierGranters{}), table, true)
			before := target.GrantCount()
			calls := g.Tick(now, func(string) bool { return true })
			So(calls, ShouldHaveLength, 1)
			tm.guardedCall(g, calls[0], address, boottime.Now()+timeout-ago)
			(<-tm.loopQueue)(boottime.Now())
			_, granted, _ := g.GrantStats(boottime.Now())
			So(target.GrantCount()-before, ShouldEqual, granted)
			return granted > 0
		}
		So(call(0), ShouldBeTrue)

		Convey("a call within its time is sent", func() { So(call(timeout/2), ShouldBeTrue) })
		Convey("one whose time has passed is not", func() { So(call(timeout+time.Second), ShouldBeFalse) })
	})
}
