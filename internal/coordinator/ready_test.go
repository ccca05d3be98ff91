package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/platform"
)

// TestReadyBeforeTheTargetsAreKnown guards against a host that takes callers when it has
// read the desired state, but not yet the targets and the owners of keys.
func TestReadyBeforeTheTargetsAreKnown(t *testing.T) {
	Convey("a host is ready when it has read all topics, also those without records", t, func() {
		c := New(Config{Log: hclog.NewNullLogger()})
		c.noteEra(firstEra)
		read := func(f *follower, records ...platform.Record) {
			So(f.applyBatch(unknownOffset, platform.Batch{Era: firstEra, NextOffset: int64(len(records)), Records: records}, true, time.Second), ShouldBeTrue)
		}
		So(c.Ready(), ShouldBeFalse)
		read(c.operator, platform.Record{Key: "config", Value: []byte(fmt.Sprintf(desiredJSON, 1))})
		So(c.Ready(), ShouldBeFalse)
		read(c.targets)
		So(c.Ready(), ShouldBeFalse)
		read(c.control)
		So(c.Ready(), ShouldBeTrue)
		c.targets.resetPosition()
		So(c.Ready(), ShouldBeTrue)
	})
}
