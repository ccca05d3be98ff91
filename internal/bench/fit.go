package bench

import "math"

// Fit is a least-squares line through the measured values of one quantity.
type Fit struct {
	Dimension string `json:"dimension"`
	Role      string `json:"role"`
	Quantity  string `json:"quantity"`
	// Slope is per unit of the dimension.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square distance from the line.
	Residual float64 `json:"residual"`
	Points   int     `json:"points"`
}

// fittedQuantities are the quantities that are fitted for each role.
var fittedQuantities = []struct {
	name string
	of   func(RoleUsage) float64
}{
	{"cpu_percent", func(u RoleUsage) float64 { return u.CPUPercent }},
	{"memory_mb", func(u RoleUsage) float64 { return u.MemoryMB }},
	{"peer_bytes_per_s", func(u RoleUsage) float64 { return u.PeerBytes }},
	{"platform_bytes_per_s", func(u RoleUsage) float64 { return u.PlatformBytes }},
}

// FitDimension returns the fits of all roles for points that differ in one
// dimension. It skips points without a measurement and returns no fit for fewer
// than two points.
func FitDimension(d Dimension, points []CapacityPoint) []Fit {
	var out []Fit
	for _, role := range []string{"leader", "granter", "plain"} {
		for _, q := range fittedQuantities {
			var xs, ys []float64
			for i, p := range points {
				if u, ok := p.Roles[role]; ok {
					xs, ys = append(xs, float64(d.values[i])), append(ys, q.of(u))
				}
			}
			if len(xs) < 2 {
				continue
			}
			f := Fit{Dimension: d.Name, Role: role, Quantity: q.name, Points: len(xs)}
			f.Slope, f.Intercept, f.Residual = leastSquares(xs, ys)
			out = append(out, f)
		}
	}
	return out
}

// leastSquares fits a line to points with at least two different xs.
func leastSquares(xs, ys []float64) (slope, intercept, residual float64) {
	n := float64(len(xs))
	var mx, my, sxx, sxy float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	slope = sxy / sxx
	intercept = my - slope*mx
	for i := range xs {
		d := ys[i] - intercept - slope*xs[i]
		residual += d * d / n
	}
	return slope, intercept, math.Sqrt(residual)
}
