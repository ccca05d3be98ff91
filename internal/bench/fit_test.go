package bench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The fit must ignore sizes that failed; counted as zeros, they would distort the
// line through the others.
func TestFitLeavesOutFailedSizes(t *testing.T) {
	Convey("the line goes through the measured points only", t, func() {
		d := Dimensions[0]
		points := make([]CapacityPoint, len(d.values))
		for i, n := range d.values {
			points[i].Roles = map[string]RoleUsage{"leader": {CPUPercent: 2 + 0.5*float64(n)}}
		}
		points[1] = CapacityPoint{Error: "not ready"}
		f := FitDimension(d, points)[0]
		So(f.Points, ShouldEqual, len(d.values)-1)
		So(f.Slope, ShouldAlmostEqual, 0.5, 1e-9)
		So(f.Intercept, ShouldAlmostEqual, 2, 1e-9)
		So(f.Residual, ShouldAlmostEqual, 0, 1e-9)
	})
}
