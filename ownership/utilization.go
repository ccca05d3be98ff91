package ownership

// Utilizations returns the share of its capacity that each target uses by the rates of the
// keys that it owns. Requests for keys of targets that are not listed are left out.
func Utilizations(table *RangeTable, targets []RangeTarget, rates []float32) map[string]float64 {
	byID := make(map[string]*RangeTarget, len(targets))
	for i := range targets {
		byID[targets[i].ID] = &targets[i]
	}
	out := make(map[string]float64, len(targets))
	for _, x := range table.Ranges {
		t := byID[x.Owner]
		if t == nil || t.Capacity <= 0 {
			continue
		}
		rate := 0.0
		for _, r := range rates[x.From : x.To+1] {
			rate += float64(r)
		}
		out[x.Owner] += rate * t.ServiceSeconds / t.Capacity
	}
	return out
}
