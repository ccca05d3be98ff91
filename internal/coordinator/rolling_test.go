package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
)

// TestLeaderInARollingRestart guards against a lead that goes from one host that is about to be
// restarted to the next: each change leaves keys that are on the move without an owner for longer.
func TestLeaderInARollingRestart(t *testing.T) {
	Convey("Given a leader that has run for a minute when it stops", t, func() {
		now := boottime.Now()
		host := func(uptime time.Duration) *Coordinator {
			c := New(Config{Host: "h", Cores: 1, LinkMbps: 1000, Log: hclog.NewNullLogger()})
			c.startedAt = now - uptime
			c.leadership.record = leaderRecord{Term: 2, UpMS: time.Minute.Milliseconds()}
			c.leadership.recordSeenAt = now
			return c
		}
		Convey("a host that was restarted meanwhile campaigns before those that were not", func() {
			So(host(10*time.Second).campaignDelay(), ShouldEqual, 0)
			So(host(time.Minute).campaignDelay(), ShouldBeGreaterThanOrEqualTo, campaignJitter)
			So(host(time.Hour).campaignDelay(), ShouldBeGreaterThanOrEqualTo, campaignJitter)
		})
		Convey("it does also when it hears of the stop from the leader itself", func() {
			c := host(time.Minute)
			c.leadership.record.Host, c.leadership.endedTerm = "leader", 2
			So(c.campaignDelay(), ShouldEqual, settledDelay)
		})
		Convey("a leader that was lost is replaced as soon as before", func() {
			c := host(time.Minute)
			c.leadership.record.Host = "leader"
			So(c.campaignDelay(), ShouldEqual, 0)
		})
	})
}
