//go:build knownred

package slots

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestQueueOrderGoal replays the patterns in which less than orderGoal of the bound is in time.
// The bound knows each service time before it begins, which no scheduler does.
func TestQueueOrderGoal(t *testing.T) {
	for _, p := range loadPatterns() {
		if p.missesGoal {
			Convey("Given the pattern "+p.name, t, func() {
				So(p.results(t, 11, 12, 13, 14).inTimeShare(), ShouldBeGreaterThanOrEqualTo, orderGoal)
			})
		}
	}
}
