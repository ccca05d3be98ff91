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
	ranges []lease.RangeView
	// asOf is when the leader stated the ranges, on this host's clock.
	asOf time.Duration
	// encoded is the message with all ranges, made when it is first needed.
	encodeOnce sync.Once
	encoded    peerMessage
}

// message returns the encoded message with all ranges. After a change of the leader it
// is sent to hundreds of hosts, so that it is encoded only once.
func (r *RangeMap) message(workload string) peerMessage {
	r.encodeOnce.Do(func() {
		r.encoded = encode(methodRanges, rangesMessage{clockReading: clockAt(r.asOf), Workload: workload, Full: true, Ranges: r.ranges})
	})
	return r.encoded
}

// Owner returns the owner of a key and whether the key is granted to it. If it is not,
// availableAt is the latest time at which the key can be granted.
func (r *RangeMap) Owner(key int) (id string, ready bool, availableAt time.Duration) {
	x, ok := r.RangeOf(key)
	if !ok {
		return "", false, r.asOf
	}
	return x.Owner, x.Ready, r.asOf + time.Duration(x.GrantableInMS)*time.Millisecond
}

// RangeOf returns the range of a key, or false if none has it.
func (r *RangeMap) RangeOf(key int) (lease.RangeView, bool) {
	i := sort.Search(len(r.ranges), func(i int) bool { return r.ranges[i].To >= key })
	if i == len(r.ranges) || r.ranges[i].From > key {
		return lease.RangeView{}, false
	}
	return r.ranges[i], true
}

// Ranges returns the key ranges in order; the slice must not be changed.
func (r *RangeMap) Ranges() []lease.RangeView { return r.ranges }

// overlay returns a map in which the changed ranges, which do not overlap each other,
// replace the parts of ranges that they cover.
func (r *RangeMap) overlay(now time.Duration, changed []lease.RangeView) *RangeMap {
	changed = slices.Clone(changed)
	slices.SortFunc(changed, func(a, b lease.RangeView) int { return a.From - b.From })
	elapsed := (now - r.asOf).Milliseconds()
	out := make([]lease.RangeView, 0, len(r.ranges)+2*len(changed))
	next := 0 // the first changed range that is not yet in out
	for _, x := range r.ranges {
		if x.GrantableInMS > 0 {
			x.GrantableInMS = max(0, x.GrantableInMS-elapsed) // relative to now
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
	return &RangeMap{ranges: out, asOf: now}
}

// digest returns a hash of the ranges, their owners and their readiness. It is never 0.
func (r *RangeMap) digest() uint64 {
	h := fnv.New64a()
	var b []byte
	for _, x := range r.ranges {
		b = binary.BigEndian.AppendUint32(b[:0], uint32(x.From))
		b = binary.BigEndian.AppendUint32(b, uint32(x.To))
		b = append(b, x.Owner...)
		if x.Ready {
			b = append(b, 1)
		}
		b = append(b, 0)
		_, _ = h.Write(b) // a hash takes everything
	}
	return max(h.Sum64(), 1) // 0 means that there is no digest
}

// grantableTolerance is by how much the time at which keys can be granted may differ from
// the one that hosts were told.
const grantableTolerance = 50 * time.Millisecond

// changedSince returns the ranges that are not in the earlier map, and those whose keys can
// be granted at another time than it says.
func (r *RangeMap) changedSince(earlier *RangeMap) []lease.RangeView {
	if earlier == nil {
		return r.ranges
	}
	grantableAt := func(m *RangeMap, x lease.RangeView) time.Duration {
		return m.asOf + time.Duration(x.GrantableInMS)*time.Millisecond
	}
	known := make(map[lease.RangeView]time.Duration, len(earlier.ranges))
	for _, x := range earlier.ranges {
		at := grantableAt(earlier, x)
		x.GrantableInMS = 0
		known[x] = at
	}
	var out []lease.RangeView
	for _, x := range r.ranges {
		same := x
		same.GrantableInMS = 0
		told, ok := known[same]
		// A time that has passed means now.
		if !ok || !x.Ready && (grantableAt(r, x)-max(told, r.asOf)).Abs() > grantableTolerance {
			out = append(out, x)
		}
	}
	return out
}

// RangeMap returns the owners of the keys of a workload, or nil when they are unknown.
func (c *Coordinator) RangeMap(workload string) *RangeMap { return (*c.rangeMaps.Load())[workload] }

// setRangeMap publishes the range map of a workload.
func (c *Coordinator) setRangeMap(workload string, r *RangeMap) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.rangeMaps.Load()
	next := make(map[string]*RangeMap, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[workload] = r
	c.rangeMaps.Store(&next)
	c.signalChange()
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

// requestCounts counts the keyed requests that this host handled, by workload.
type requestCounts struct {
	mu      sync.Mutex
	keys    map[string]map[int]int
	targets map[string]map[string]TargetStats
}

func (k *requestCounts) init() {
	k.keys, k.targets = map[string]map[int]int{}, map[string]map[string]TargetStats{}
}

func (k *requestCounts) addKey(workload string, key int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.keys[workload]
	if m == nil {
		m = map[int]int{}
		k.keys[workload] = m
	}
	m[key]++
}

func (k *requestCounts) addTarget(workload string, t TargetStats) {
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

// drain returns the counts and resets them.
func (k *requestCounts) drain() []countsMessage {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []countsMessage
	for w, m := range k.keys {
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

// CountKey counts a request for a key; the leader balances keys by these counts.
func (c *Coordinator) CountKey(workload string, key int) { c.counts.addKey(workload, key) }

// newRangeMap returns the range map of a stored table. The grants of its ranges are not
// known; they are assumed to be in force, since a target without a lease refuses requests.
func newRangeMap(t *ownership.RangeTable) *RangeMap {
	r := &RangeMap{}
	for _, s := range t.Ranges {
		r.ranges = append(r.ranges, lease.RangeView{From: s.From, To: s.To, Owner: s.Owner, Ready: true})
	}
	return r
}
