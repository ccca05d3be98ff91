package bench

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ptr returns a pointer to a copy of v.
func ptr[T any](v T) *T { return &v }
