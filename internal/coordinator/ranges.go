package coordinator

import (
	"slices"
	"sort"
	"sync"

	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
)

// Ranges says who holds the keys of one workload. It is immutable.
type Ranges struct {
	runs []lease.RangeView
}

// Owner returns the target that holds a key, and whether it was granted.
func (r *Ranges) Owner(key int) (id string, ready bool) {
	i := sort.Search(len(r.runs), func(i int) bool { return r.runs[i].To >= key })
	if i == len(r.runs) || r.runs[i].From > key {
		return "", false
	}
	return r.runs[i].Owner, r.runs[i].Ready
}

// Runs returns the runs of keys in order; the slice must not be changed.
func (r *Ranges) Runs() []lease.RangeView { return r.runs }

// overlay returns ranges in which the given runs replace what they cover.
func (r *Ranges) overlay(changed []lease.RangeView) *Ranges {
	out := r.runs
	for _, c := range changed {
		var next []lease.RangeView
		for _, x := range out {
			if x.To < c.From || x.From > c.To {
				next = append(next, x)
				continue
			}
			if x.From < c.From {
				left := x
				left.To = c.From - 1
				next = append(next, left)
			}
			if x.To > c.To {
				right := x
				right.From = c.To + 1
				next = append(next, right)
			}
		}
		next = append(next, c)
		slices.SortFunc(next, func(a, b lease.RangeView) int { return a.From - b.From })
		out = next
	}
	return &Ranges{runs: out}
}

// changes returns the runs that are not in the earlier ranges.
func (r *Ranges) changes(earlier *Ranges) []lease.RangeView {
	if earlier == nil {
		return r.runs
	}
	known := make(map[lease.RangeView]bool, len(earlier.runs))
	for _, x := range earlier.runs {
		known[x] = true
	}
	var out []lease.RangeView
	for _, x := range r.runs {
		if !known[x] {
			out = append(out, x)
		}
	}
	return out
}

// Ranges returns who holds the keys of a workload, or nil when it is unknown.
func (c *Coordinator) Ranges(workload string) *Ranges { return (*c.ranges.Load())[workload] }

// setRanges publishes the ranges of a workload.
func (c *Coordinator) setRanges(workload string, r *Ranges) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.ranges.Load()
	next := make(map[string]*Ranges, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[workload] = r
	c.ranges.Store(&next)
	c.notify()
}

// KeyCount is the number of requests for one key since the last report.
type KeyCount struct {
	Key   int `json:"k"`
	Count int `json:"n"`
}

// keyCounts counts the keyed requests that this host took, by workload.
type keyCounts struct {
	mu    sync.Mutex
	count map[string]map[int]int
}

func (k *keyCounts) init() { k.count = map[string]map[int]int{} }

func (k *keyCounts) add(workload string, key int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.count[workload]
	if m == nil {
		m = map[int]int{}
		k.count[workload] = m
	}
	m[key]++
}

// take returns the counts and starts anew.
func (k *keyCounts) take() map[string][]KeyCount {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string][]KeyCount, len(k.count))
	for w, m := range k.count {
		for key, n := range m {
			out[w] = append(out[w], KeyCount{Key: key, Count: n})
		}
		clear(m)
	}
	return out
}

// CountKey notes a request for a key; the leader balances keys by these counts.
func (c *Coordinator) CountKey(workload string, key int) { c.counts.add(workload, key) }

// segmentViews turns a stored table into ranges whose grants are unknown; they
// are taken to be in force, since a target that holds nothing refuses.
func segmentViews(t *ownership.RangeTable) *Ranges {
	r := &Ranges{}
	for _, s := range t.Segments {
		r.runs = append(r.runs, lease.RangeView{From: s.From, To: s.To, Owner: s.Owner, Ready: true})
	}
	return r
}
