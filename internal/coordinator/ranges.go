package coordinator

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
)

// RangeMap maps the keys of one workload to their owners. It is immutable.
type RangeMap struct {
	runs []lease.RangeView
	// at is when the runs were told, on this host's clock.
	at time.Duration
	// encoded is the message with all runs, made when a host first asks for it.
	encodeOnce sync.Once
	encoded    peerMessage
}

// message returns the encoded message that tells a host all runs. Hundreds of hosts
// ask for the same one when the lead changes.
func (r *RangeMap) message(workload string) peerMessage {
	r.encodeOnce.Do(func() {
		r.encoded = encode(methodRanges, rangesMessage{clockReply: clockAt(r.at), Workload: workload, Full: true, Runs: r.runs})
	})
	return r.encoded
}

// Owner returns the target that holds a key, and whether it was granted. When it
// was not, back is when the key can be granted at the latest.
func (r *RangeMap) Owner(key int) (id string, ready bool, back time.Duration) {
	i := sort.Search(len(r.runs), func(i int) bool { return r.runs[i].To >= key })
	if i == len(r.runs) || r.runs[i].From > key {
		return "", false, r.at
	}
	x := r.runs[i]
	return x.Owner, x.Ready, r.at + time.Duration(x.GrantableInMS)*time.Millisecond
}

// Ranges returns the key ranges in order; the slice must not be changed.
func (r *RangeMap) Ranges() []lease.RangeView { return r.runs }

// overlay returns ranges in which the given runs replace what they cover. The runs
// that are given do not overlap each other.
func (r *RangeMap) overlay(now time.Duration, changed []lease.RangeView) *RangeMap {
	changed = slices.Clone(changed)
	slices.SortFunc(changed, func(a, b lease.RangeView) int { return a.From - b.From })
	passed := (now - r.at).Milliseconds()
	out := make([]lease.RangeView, 0, len(r.runs)+2*len(changed))
	next := 0 // the first changed run that has not been put out
	for _, x := range r.runs {
		if x.GrantableInMS > 0 {
			x.GrantableInMS = max(0, x.GrantableInMS-passed) // restated for now
		}
		for x.From <= x.To {
			for next < len(changed) && changed[next].To < x.From {
				out = append(out, changed[next])
				next++
			}
			if next == len(changed) || changed[next].From > x.To {
				out = append(out, x)
				break
			}
			c := changed[next]
			if x.From < c.From {
				left := x
				left.To = c.From - 1
				out = append(out, left)
			}
			x.From = c.To + 1
		}
	}
	out = append(out, changed[next:]...)
	return &RangeMap{runs: out, at: now}
}

// digest returns a number that differs, but for chance, between ranges whose runs,
// owners or readiness differ.
func (r *RangeMap) digest() uint64 {
	h := fnv.New64a()
	var b []byte
	for _, x := range r.runs {
		b = binary.BigEndian.AppendUint32(b[:0], uint32(x.From))
		b = binary.BigEndian.AppendUint32(b, uint32(x.To))
		b = append(b, x.Owner...)
		if x.Ready {
			b = append(b, 1)
		}
		b = append(b, 0)
		_, _ = h.Write(b) // a hash takes everything
	}
	return max(h.Sum64(), 1) // 0 says nothing
}

// changes returns the runs that are not in the earlier ranges.
func (r *RangeMap) changes(earlier *RangeMap) []lease.RangeView {
	if earlier == nil {
		return r.runs
	}
	known := make(map[lease.RangeView]bool, len(earlier.runs))
	for _, x := range earlier.runs {
		x.GrantableInMS = 0
		known[x] = true
	}
	var out []lease.RangeView
	for _, x := range r.runs {
		same := x
		same.GrantableInMS = 0
		if !known[same] {
			out = append(out, x)
		}
	}
	return out
}

// RangeMap returns the owners of the keys of a workload, or nil when they are unknown.
func (c *Coordinator) RangeMap(workload string) *RangeMap { return (*c.ranges.Load())[workload] }

// setRanges publishes the ranges of a workload.
func (c *Coordinator) setRanges(workload string, r *RangeMap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.ranges.Load()
	next := make(map[string]*RangeMap, len(old)+1)
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

// TargetStats is what a host observed of a target since its last report.
type TargetStats struct {
	ID string `json:"id"`
	// Responses is the number of responses that did not wait at the target, and ServiceMS
	// the sum of their times in milliseconds.
	Responses int   `json:"n"`
	ServiceMS int64 `json:"ms"`
	// Failed counts requests that failed or were refused.
	Failed int `json:"f,omitempty"`
}

// keyCounts counts the keyed requests that this host took, by workload.
type keyCounts struct {
	mu      sync.Mutex
	count   map[string]map[int]int
	targets map[string]map[string]TargetStats
}

func (k *keyCounts) init() {
	k.count, k.targets = map[string]map[int]int{}, map[string]map[string]TargetStats{}
}

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

func (k *keyCounts) addTarget(workload string, t TargetStats) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.targets[workload]
	if m == nil {
		m = map[string]TargetStats{}
		k.targets[workload] = m
	}
	old := m[t.ID]
	m[t.ID] = TargetStats{ID: t.ID, Responses: old.Responses + t.Responses, ServiceMS: old.ServiceMS + t.ServiceMS, Failed: old.Failed + t.Failed}
}

// take returns the counts and starts anew.
func (k *keyCounts) take() []countsMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []countsMessage
	for w, m := range k.count {
		c := countsMessage{Workload: w}
		for key, n := range m {
			c.Keys = append(c.Keys, KeyCount{Key: key, Count: n})
		}
		for _, t := range k.targets[w] {
			c.Targets = append(c.Targets, t)
		}
		clear(m)
		clear(k.targets[w])
		if len(c.Keys)+len(c.Targets) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// AddTargetStats adds what a keyed request observed of a target.
func (c *Coordinator) AddTargetStats(workload string, t TargetStats) { c.counts.addTarget(workload, t) }

// CountKey notes a request for a key; the leader balances keys by these counts.
func (c *Coordinator) CountKey(workload string, key int) { c.counts.add(workload, key) }

// segmentViews turns a stored table into ranges whose grants are unknown; they
// are taken to be in force, since a target that holds nothing refuses.
func segmentViews(t *ownership.RangeTable) *RangeMap {
	r := &RangeMap{}
	for _, s := range t.Ranges {
		r.runs = append(r.runs, lease.RangeView{From: s.From, To: s.To, Owner: s.Owner, Ready: true})
	}
	return r
}
