package coordinator

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// TestLeaderAfterACompaction guards against a leader that sends all hosts all targets when
// records were deleted that it had yet to read: with hundreds of each, news of targets that
// leave waited for its link for seconds.
func TestLeaderAfterACompaction(t *testing.T) {
	const targets = 900
	Convey("Given a leader that reads all keys anew, and a host that followed it until then", t, func() {
		p := newRelayPair()
		ids := make([]string, targets)
		for i := range ids {
			ids[i] = fmt.Sprint("t", i)
		}
		p.read("ready", ids...)
		p.pass()
		newest := func(state func(i int) string) platform.Batch {
			var b platform.Batch
			for i, id := range ids {
				r := platform.Record{Offset: p.next, Key: id}
				p.next++
				p.seq++
				if s := state(i); s != "" {
					r.Value = announcement(id, s, p.seq)
					b.Records = append(b.Records, r)
				}
			}
			b.NextOffset = p.next
			return b
		}
		b := newest(func(i int) string {
			switch i {
			case 0:
				return "draining"
			case 1:
				return ""
			}
			return "ready"
		})
		sent := func() (bytes int) {
			queued := len(p.pc.outbox)
			for range queued {
				m := <-p.pc.outbox
				bytes += len(m.params)
				p.pc.outbox <- m
			}
			return bytes
		}
		So(sent(), ShouldEqual, 0)
		p.leader.targets.applyBatch(unknownOffset, b, true, boottime.Now())

		Convey("it tells the host what has changed, and no more", func() {
			So(sent(), ShouldBeBetween, 0, 8*len(b.Records[0].Value))
			p.pass()
			s := p.host.Snapshot()
			So(len(s.Targets), ShouldEqual, targets-1)
			So(s.Targets["t0"].Leaving, ShouldBeTrue)
			So(s.Targets["t1"], ShouldBeNil)
			So(s.Targets["t2"].Leaving, ShouldBeFalse)
			So(p.host.targets.position(), ShouldEqual, p.leader.targets.position())
		})
		Convey("a host that connects later and has missed more gets all changes", func() {
			records, ok := p.leader.targets.state.changes(int64(targets))
			So(ok, ShouldBeTrue)
			So(records, ShouldHaveLength, 2)
		})
		Convey("records that come after are relayed as before", func() {
			p.pass()
			p.read("draining", "t2")
			p.pass()
			So(p.host.Snapshot().Targets["t2"].Leaving, ShouldBeTrue)
		})
	})
}

// TestFullRelayOfRememberedRecords guards against a host that follows and keeps only what is new
// of all records that the leader sends: those that the store lost have old offsets, and the host
// tells them to others when it leads.
func TestFullRelayOfRememberedRecords(t *testing.T) {
	Convey("a host that follows keeps all records of a full relay, also those with old offsets", t, func() {
		p := newRelayPair()
		p.read("ready", "t0", "t1")
		m := relayMessage{Topic: platform.TopicTargets, Full: true, Next: p.next}
		for i, id := range []string{"lost", "t1"} {
			m.Records = append(m.Records, relayedRecord{Offset: int64(i), Key: id, Value: announcement(id, "ready", 9)})
		}
		So(p.host.targets.applyRelay(m, boottime.Now()), ShouldBeTrue)
		So(p.hostHas("lost"), ShouldBeTrue)
		_, kept := p.host.targets.state.newest["lost"]
		So(kept, ShouldBeTrue)
	})
}
