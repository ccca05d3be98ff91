package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
)

// RangeKeys is the number of keys of a range-partitioned workload; they are
// numbered from 0.
const RangeKeys = 65536

// KeyRange is a range of neighbouring keys with one owner.
type KeyRange struct {
	// From and To are the first and the last key.
	From int `json:"f"`
	To   int `json:"t"`
	// Owner is the target to which the keys are assigned.
	Owner string `json:"o"`
	// PreviousOwners lists targets that may still serve the keys. The owner is
	// granted them only after each of these has released them or its key lease
	// has expired.
	PreviousOwners []string `json:"w,omitempty"`
	// ReturnTo is the target that the keys left because of its request limit and to which
	// they return, or empty.
	ReturnTo string `json:"r,omitempty"`
}

// Len returns the number of keys.
func (s KeyRange) Len() int { return s.To - s.From + 1 }

// RangeTable is the assignment of the keys of one range-partitioned workload.
// Its ranges are in order and cover all keys. A table is immutable.
type RangeTable struct {
	Ranges []KeyRange `json:"s"`
}

// RangeTableError reports why a stored table is invalid.
type RangeTableError struct{ Reason string }

// Error implements error.
func (e *RangeTableError) Error() string { return "range table: " + e.Reason }

// DecodeRangeTable decodes and validates a stored table. Its errors are of type
// *RangeTableError.
func DecodeRangeTable(b []byte) (*RangeTable, error) {
	t := &RangeTable{}
	if err := json.Unmarshal(b, t); err != nil {
		return nil, &RangeTableError{Reason: err.Error()}
	}
	next := 0
	for _, s := range t.Ranges {
		if s.From != next || s.To < s.From || s.To >= RangeKeys {
			return nil, &RangeTableError{Reason: fmt.Sprintf("key range %d-%d follows key %d", s.From, s.To, next-1)}
		}
		next = s.To + 1
	}
	if next != RangeKeys {
		return nil, &RangeTableError{Reason: fmt.Sprintf("keys from %d on have no owner", next)}
	}
	return t, nil
}

// Encode returns the stored form of the table.
func (t *RangeTable) Encode() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic("range table: " + err.Error()) // cannot happen: integers and strings only
	}
	return b
}

// Find returns the range that contains a key.
func (t *RangeTable) Find(key int) KeyRange {
	i := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].To >= key })
	return t.Ranges[i]
}

// NewRangeTable returns the first assignment, which divides all keys among the
// owners by their weights. No key has a previous owner.
func NewRangeTable(owners []string, weights []float64) *RangeTable {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	t := &RangeTable{}
	from, sum := 0, 0.0
	for i, o := range owners {
		sum += weights[i]
		to := int(sum/total*RangeKeys) - 1
		if i == len(owners)-1 {
			to = RangeKeys - 1
		}
		if to >= from {
			t.Ranges = append(t.Ranges, KeyRange{From: from, To: to, Owner: o})
			from = to + 1
		}
	}
	return t
}

// RangeMove assigns the keys From to To, inclusive, to an owner.
type RangeMove struct {
	From, To int
	Owner    string
	// FromLimited says that the keys leave their owner because of its request limit.
	FromLimited bool
}

// Move returns a table with the moves applied. An owner that is replaced while
// it waits for earlier owners is listed with them in PreviousOwners, since it may
// have been granted the keys.
func (t *RangeTable) Move(moves ...RangeMove) *RangeTable {
	ranges := slices.Clone(t.Ranges)
	for _, m := range moves {
		ranges, _, _ = splice(ranges, m)
	}
	return (&RangeTable{Ranges: ranges}).mergeAdjacent()
}

// moveInPlace applies a move to the table itself, whose ranges nothing else may use.
func (t *RangeTable) moveInPlace(m RangeMove) {
	ranges, first, end := splice(t.Ranges, m)
	for i := max(first, 1); i <= end && i < len(ranges); {
		if !joins(ranges[i-1], ranges[i]) {
			i++
			continue
		}
		ranges[i-1].To = ranges[i].To
		ranges = slices.Delete(ranges, i, i+1)
		end--
	}
	t.Ranges = ranges
}

// splice applies a move to ranges in place and returns them, with the index of the first range
// that it may have changed and the one after the last.
func splice(ranges []KeyRange, m RangeMove) (moved []KeyRange, first, end int) {
	first = sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= m.From })
	last := first
	var parts []KeyRange
	for ; last < len(ranges) && ranges[last].From <= m.To; last++ {
		s := ranges[last]
		if s.Owner == m.Owner {
			parts = append(parts, s)
			continue
		}
		if s.From < m.From {
			left := s
			left.To = m.From - 1
			parts = append(parts, left)
		}
		previous := append(slices.Clone(s.PreviousOwners), s.Owner)
		previous = slices.DeleteFunc(previous, func(x string) bool { return x == m.Owner })
		slices.Sort(previous)
		parts = append(parts, KeyRange{
			From: max(s.From, m.From), To: min(s.To, m.To), Owner: m.Owner, PreviousOwners: slices.Compact(previous),
			ReturnTo: returnToAfter(s, m),
		})
		if s.To > m.To {
			right := s
			right.From = m.To + 1
			parts = append(parts, right)
		}
	}
	return slices.Replace(ranges, first, last, parts...), first, first + len(parts)
}

// returnToAfter returns the target to which keys of a range return after a move: the one that
// they left first, also when they move on.
func returnToAfter(s KeyRange, m RangeMove) string {
	target := s.ReturnTo
	if target == "" && m.FromLimited {
		target = s.Owner
	}
	if target == m.Owner {
		return ""
	}
	return target
}

// ForgetReturns returns a table that forgets the targets for which keep returns false as ReturnTo, and the
// same table if there are none.
func (t *RangeTable) ForgetReturns(keep func(target string) bool) *RangeTable {
	ranges, changed := slices.Clone(t.Ranges), false
	for i := range ranges {
		if r := ranges[i].ReturnTo; r != "" && !keep(r) {
			ranges[i].ReturnTo, changed = "", true
		}
	}
	if !changed {
		return t
	}
	return (&RangeTable{Ranges: ranges}).mergeAdjacent()
}

// Release returns a table in which the ranges within the keys from to to have no
// previous owners.
func (t *RangeTable) Release(from, to int) *RangeTable {
	return t.ReleaseAll([]KeyRange{{From: from, To: to}})
}

// ReleaseAll returns a table in which the ranges within the released ones, which are in order
// and do not overlap, have no previous owners.
func (t *RangeTable) ReleaseAll(released []KeyRange) *RangeTable {
	ranges := slices.Clone(t.Ranges)
	next := 0 // the first released range that does not end before the current one
	for i := range ranges {
		for next < len(released) && released[next].To < ranges[i].To {
			next++
		}
		if next < len(released) && released[next].From <= ranges[i].From {
			ranges[i].PreviousOwners = nil
		}
	}
	return (&RangeTable{Ranges: ranges}).mergeAdjacent()
}

// mergeAdjacent merges neighbouring ranges that have the same owner and ReturnTo, and no
// previous owners.
func (t *RangeTable) mergeAdjacent() *RangeTable {
	out := make([]KeyRange, 0, len(t.Ranges))
	for _, s := range t.Ranges {
		if n := len(out); n > 0 && joins(out[n-1], s) {
			out[n-1].To = s.To
			continue
		}
		out = append(out, s)
	}
	return &RangeTable{Ranges: out}
}

// joins reports whether two neighbouring ranges are one.
func joins(a, b KeyRange) bool {
	return a.Owner == b.Owner && a.ReturnTo == b.ReturnTo && len(a.PreviousOwners) == 0 && len(b.PreviousOwners) == 0
}

// KeyCounts returns the number of keys of each owner.
func (t *RangeTable) KeyCounts() map[string]int {
	n := map[string]int{}
	for _, s := range t.Ranges {
		n[s.Owner] += s.Len()
	}
	return n
}
