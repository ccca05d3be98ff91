package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRoster guards against leaders that take some of the hosts for all of them.
func TestRoster(t *testing.T) {
	Convey("Given a leader that has read the addresses of three hosts, its own among them", t, func() {
		r := &roster{}
		r.init("a:1")
		r.setStored([]string{"a:1", "b:1", "c:1"}, false)
		now := time.Hour
		r.beginTerm(now, now-5*time.Second)
		allStopped := func() bool {
			_, ok := r.allStopped()
			return ok
		}
		b, c := &peerConn{}, &peerConn{}
		r.join(b, "b:1", now-3*time.Second)
		So(allStopped(), ShouldBeFalse)

		Convey("all have stopped when each has stated it, by the latest of them", func() {
			r.join(c, "c:1", now-4*time.Second)
			at, ok := r.allStopped()
			So(ok, ShouldBeTrue)
			So(at, ShouldEqual, now-3*time.Second)
			Convey("one that was not stored counts too", func() {
				r.join(&peerConn{}, "d:1", now-time.Second)
				at, ok := r.allStopped()
				So(ok, ShouldBeTrue)
				So(at, ShouldEqual, now-time.Second)
			})
			Convey("what they stated does not hold after another restore", func() {
				r.forgetStops()
				So(allStopped(), ShouldBeFalse)
			})
		})
		Convey("addresses of a copy are added to the known ones", func() {
			r.setStored([]string{"e:1"}, true)
			So(r.size(), ShouldEqual, 4)
			r.join(c, "c:1", now)
			So(allStopped(), ShouldBeFalse)
		})
		Convey("a host that does not come stays for a minute, one that leaves for a minute from then", func() {
			addresses, changed := r.changed(now + rosterMemory - time.Second)
			So(addresses, ShouldResemble, []string{"a:1", "b:1", "c:1"})
			So(changed, ShouldBeFalse)
			r.leave(now+rosterMemory, b)
			addresses, changed = r.changed(now + rosterMemory)
			So(addresses, ShouldResemble, []string{"a:1", "b:1"})
			So(changed, ShouldBeTrue)
			addresses, _ = r.changed(now + 2*rosterMemory)
			So(addresses, ShouldResemble, []string{"a:1"})
		})
	})
	Convey("without any stored address nothing is known of all hosts", t, func() {
		r := &roster{}
		r.init("a:1")
		r.beginTerm(time.Hour, time.Hour)
		_, ok := r.allStopped()
		So(ok, ShouldBeFalse)
	})
}

// TestLastLed guards against the start of a process taken for the end of a term that it led.
func TestLastLed(t *testing.T) {
	Convey("a process led until its last term ended, or an earlier one on its host until it started", t, func() {
		So(processState{UptimeMS: 4000}.lastLed(time.Hour), ShouldEqual, time.Hour-4*time.Second)
		So(processState{UptimeMS: 4000, EndedTerm: 3, EndedAgoMS: 1000}.lastLed(time.Hour), ShouldEqual, time.Hour-time.Second)
	})
}
