package coordinator

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/platform"
)

// TestLateCheckIn guards against requests to a target that leaves or has left, since a report that
// it had made before was carried out late.
func TestLateCheckIn(t *testing.T) {
	Convey("Given a host and a target whose reports may be carried out late", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		var offset int64
		apply := func(born, seq int, state string) {
			value := ""
			if state != "" {
				value = fmt.Sprintf(`{"service":"w","address":"127.0.0.1:80","zone":"z","slots":2,"state":%q,"cold-left-s":0,"seq":%d,"born":%d}`, state, seq, born)
			}
			offset++
			c.applyTargets([]platform.Record{{Offset: offset, Key: "t0", Value: []byte(value)}}, false)
		}
		usable := func() bool {
			s := c.Snapshot()
			x := s.Targets["t0"]
			return x != nil && s.Usable(x)
		}
		apply(1000, 4, "ready")
		So(usable(), ShouldBeTrue)
		apply(1000, 6, "draining")

		Convey("a report from before it was leaving does not count", func() {
			apply(1000, 5, "ready")
			So(usable(), ShouldBeFalse)
		})
		Convey("nor does one from before it was removed", func() {
			c.dir.WithdrawOutage()
			apply(1000, 0, "")
			apply(1000, 5, "ready")
			So(usable(), ShouldBeFalse)
		})
		Convey("the last one may be written again after it lapsed", func() {
			apply(1000, 7, "ready")
			c.dir.WithdrawOutage()
			apply(1000, 0, "")
			So(usable(), ShouldBeFalse)
			apply(1000, 7, "ready")
			So(usable(), ShouldBeTrue)
		})
		Convey("nor in a reading of all targets, in which the target stays announced", func() {
			offset++
			c.applyTargets([]platform.Record{{Offset: offset, Key: "t0", Value: []byte(`{"service":"w","address":"127.0.0.1:80","zone":"z","slots":2,"state":"ready","cold-left-s":0,"seq":5,"born":1000}`)}}, true)
			So(usable(), ShouldBeFalse)
			So(c.Snapshot().Targets["t0"], ShouldNotBeNil)
		})
		Convey("a later one does, and those of its next run", func() {
			apply(1000, 7, "ready")
			So(usable(), ShouldBeTrue)
			apply(1000, 0, "")
			apply(2000, 1, "ready")
			So(usable(), ShouldBeTrue)
		})
	})
}
