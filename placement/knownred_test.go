//go:build knownred

package placement

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHotOwnerOfManyHosts replays the same load from sixty hosts, each of which
// receives a report of the owner less than once a second.
func TestHotOwnerOfManyHosts(t *testing.T) {
	Convey("Given the owner of a key that draws half as much again as it bears", t, func() {
		checkOverloadedOwner(t, overloadedOwner(60))
	})
}
