package coordinator

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// TestLateWin guards against a term without a leader: the append that began it was
// executed but got no response, its host read the record later and did not recognize it
// as its own, and the next leader waited 14 s for that term (soak seed 1033).
func TestLateWin(t *testing.T) {
	Convey("Given a host whose append for term 4 had no answer", t, func() {
		c := New(Config{Host: "host1", Peer: "127.0.0.1:1", Log: hclog.NewNullLogger()})
		record := func(term uint64, incarnation string) platform.Record {
			return leaderRecord{Term: term, Host: "host1", Address: "127.0.0.1:1", Incarnation: incarnation}.storeRecord()
		}
		c.applyControl([]platform.Record{record(3, "other")}, true)
		sent := boottime.Now()
		c.unansweredTerm = &wonTerm{
			record: leaderRecord{Term: 4, Host: "host1", Address: "127.0.0.1:1", Incarnation: c.incarnation}, sentAt: sent,
		}
		So(c.claimUnansweredTerm(), ShouldBeNil)
		time.Sleep(5 * time.Millisecond)

		Convey("when the topic shows its record, it leads the term, whose authority counts from the append", func() {
			c.applyControl([]platform.Record{record(4, c.incarnation)}, false)
			w := c.claimUnansweredTerm()
			So(w, ShouldNotBeNil)
			So(w.record.Term, ShouldEqual, 4)
			So(w.sentAt, ShouldEqual, sent)
			So(w.acknowledgedAt, ShouldBeGreaterThan, sent)
			So(c.claimUnansweredTerm(), ShouldBeNil)
		})
		Convey("when another host won the term, or a later one began, it does not lead", func() {
			c.applyControl([]platform.Record{record(4, "other")}, false)
			So(c.claimUnansweredTerm(), ShouldBeNil)
			c.unansweredTerm = &wonTerm{record: leaderRecord{Term: 4, Incarnation: c.incarnation}}
			c.applyControl([]platform.Record{record(5, c.incarnation)}, false)
			So(c.claimUnansweredTerm(), ShouldBeNil)
		})
		Convey("when it led the term after a second append and has stopped, it does not lead it again", func() {
			c.endedTerm.Store(&endedTerm{term: 4, at: boottime.Now()})
			c.applyControl([]platform.Record{record(4, c.incarnation)}, false)
			So(c.claimUnansweredTerm(), ShouldBeNil)
		})
		Convey("when it was told to stop meanwhile, it does not lead", func() {
			c.Retire()
			c.applyControl([]platform.Record{record(4, c.incarnation)}, false)
			So(c.claimUnansweredTerm(), ShouldBeNil)
		})
	})
}
