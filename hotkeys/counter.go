package hotkeys

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/boragelock/boragelock/ownership"
)

// Config sets the size of a Counter.
type Config struct {
	// KeysPerWorkload is the number of keys that are counted for each workload. It
	// should be a few times the number of hot keys to find. Default 256.
	KeysPerWorkload int
	// SampleEvery is the average number of requests per counted key: the key of one
	// in SampleEvery requests is counted. Default 4.
	SampleEvery int
}

func (c Config) withDefaults() Config {
	if c.KeysPerWorkload <= 0 {
		c.KeysPerWorkload = 256
	}
	if c.SampleEvery <= 0 {
		c.SampleEvery = 4
	}
	return c
}

// ShardCount is the number of requests for one shard.
type ShardCount struct {
	ownership.ID
	Count uint64 `json:"n"`
}

// KeyCount is the estimated number of requests for one key.
type KeyCount struct {
	Workload string `json:"workload"`
	Key      string `json:"key"`
	Count    uint64 `json:"n"`
	// ErrorBound is the most by which Count may be too high, apart from sampling.
	ErrorBound uint64 `json:"err,omitempty"`
}

// Report holds the counts since the previous report.
type Report struct {
	Shards []ShardCount `json:"shards,omitempty"`
	// Keys are in descending order of their counts.
	Keys []KeyCount `json:"keys,omitempty"`
}

// Counter counts requests by shard and by key.
type Counter struct {
	cfg Config

	mu     sync.Mutex
	shards map[ownership.ID]uint64
	keys   map[string]*sketch
}

// New returns an empty Counter.
func New(cfg Config) *Counter {
	return &Counter{cfg: cfg.withDefaults(), shards: map[ownership.ID]uint64{}, keys: map[string]*sketch{}}
}

// Observe counts one request.
func (c *Counter) Observe(workload, key string, shard int32) {
	sampled := rand.IntN(c.cfg.SampleEvery) == 0
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards[ownership.ID{Workload: workload, Shard: shard}]++
	if !sampled {
		return
	}
	s := c.keys[workload]
	if s == nil {
		s = newSketch(c.cfg.KeysPerWorkload)
		c.keys[workload] = s
	}
	s.add(key)
}

// ReportAndReset returns the counts and resets them to zero. It reports at most maxKeys
// keys of each workload.
func (c *Counter) ReportAndReset(maxKeys int) Report {
	c.mu.Lock()
	shards, keys := c.shards, c.keys
	c.shards, c.keys = make(map[ownership.ID]uint64, len(shards)), map[string]*sketch{}
	c.mu.Unlock()
	var r Report
	for id, n := range shards {
		r.Shards = append(r.Shards, ShardCount{ID: id, Count: n})
	}
	for workload, s := range keys {
		for _, e := range s.topEntries(maxKeys) {
			r.Keys = append(r.Keys, KeyCount{
				Workload: workload, Key: e.key,
				Count: e.count * uint64(c.cfg.SampleEvery), ErrorBound: e.errorBound * uint64(c.cfg.SampleEvery),
			})
		}
	}
	slices.SortFunc(r.Keys, func(a, b KeyCount) int { return cmp.Compare(b.Count, a.Count) })
	return r
}

// entry is one counter of a sketch.
type entry struct {
	key        string
	count      uint64
	errorBound uint64
	// heapIndex is the index in sketch.heap.
	heapIndex int
}

// sketch is the Space-Saving summary of one workload: a min-heap by count.
type sketch struct {
	size  int
	byKey map[string]*entry
	heap  []*entry
}

func newSketch(size int) *sketch { return &sketch{size: size, byKey: make(map[string]*entry, size)} }

func (s *sketch) add(key string) {
	if e := s.byKey[key]; e != nil {
		e.count++
		s.siftDown(e.heapIndex)
		return
	}
	if len(s.heap) < s.size {
		e := &entry{key: key, count: 1, heapIndex: len(s.heap)}
		s.heap = append(s.heap, e)
		s.byKey[key] = e
		s.siftUp(e.heapIndex)
		return
	}
	e := s.heap[0]
	delete(s.byKey, e.key)
	e.key, e.errorBound = key, e.count
	e.count++
	s.byKey[key] = e
	s.siftDown(0)
}

func (s *sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].heapIndex, s.heap[j].heapIndex = i, j
}

func (s *sketch) siftUp(i int) {
	for i > 0 && s.heap[i].count < s.heap[(i-1)/2].count {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *sketch) siftDown(i int) {
	for {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.heap) && s.heap[child].count < s.heap[smallest].count {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		s.swap(i, smallest)
		i = smallest
	}
}

func (s *sketch) topEntries(n int) []entry {
	out := make([]entry, 0, len(s.heap))
	for _, e := range s.heap {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b entry) int { return cmp.Compare(b.count, a.count) })
	return out[:min(n, len(out))]
}
