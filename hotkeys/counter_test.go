package hotkeys

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/ownership"
)

// Guards against a sketch that misses a hot key, which then never gets a target of its
// own.
func TestFindsHotKeysAmongMany(t *testing.T) {
	Convey("68 hot keys among a million others are found with a fair estimate", t, func() {
		c := New(Config{})
		rng := rand.New(rand.NewPCG(1, 2))
		const hot, each = 68, 2000
		for range each {
			for h := range hot {
				c.Observe("lookups", fmt.Sprintf("hot-%d", h), 1)
				c.Observe("lookups", fmt.Sprintf("cold-%d", rng.IntN(1_000_000)), 2)
			}
		}
		r := c.ReportAndReset(hot)
		So(r.Keys, ShouldHaveLength, hot)
		for _, k := range r.Keys {
			So(k.Key, ShouldStartWith, "hot-")
			So(k.Count-k.ErrorBound, ShouldBeBetween, each/2, each*3/2)
		}
		var total uint64
		for _, s := range r.Shards {
			total += s.Count
		}
		So(total, ShouldEqual, 2*hot*each)
		So(c.ReportAndReset(hot), ShouldResemble, Report{})
	})
}

func BenchmarkObserve(b *testing.B) {
	c := New(Config{})
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Observe("lookups", keys[i%len(keys)], int32(i%64))
	}
}

func ExampleCounter() {
	c := New(Config{SampleEvery: 1})
	for range 3 {
		c.Observe("lookups", "notice-1", 7)
	}
	r := c.ReportAndReset(1)
	fmt.Println(r.Keys[0].Key, r.Keys[0].Count, r.Shards[0].ID == ownership.ID{Workload: "lookups", Shard: 7})
	// Output: notice-1 3 true
}
