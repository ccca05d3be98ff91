package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/lease"
)

// TestOverlayOfManyRuns compares ranges after changes with a table of single keys.
func TestOverlayOfManyRuns(t *testing.T) {
	Convey("Changed runs replace what they cover, and nothing else", t, func() {
		const keys = 60
		r := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			var owner [keys]string
			base := &Ranges{}
			for k := 0; k < keys; {
				to := min(keys-1, k+r.IntN(12))
				base.runs = append(base.runs, lease.RangeView{From: k, To: to, Owner: fmt.Sprint("o", k), Ready: true, BackMS: 100})
				for ; k <= to; k++ {
					owner[k] = base.runs[len(base.runs)-1].Owner
				}
			}
			var changed []lease.RangeView
			for k := r.IntN(10); k < keys; {
				to := min(keys-1, k+r.IntN(8))
				changed = append(changed, lease.RangeView{From: k, To: to, Owner: fmt.Sprint("n", k)})
				for i := k; i <= to; i++ {
					owner[i] = fmt.Sprint("n", k)
				}
				k = to + 1 + r.IntN(20)
			}
			r.Shuffle(len(changed), func(i, j int) { changed[i], changed[j] = changed[j], changed[i] })
			got := base.overlay(40*time.Millisecond, changed)
			next := 0
			for _, x := range got.runs {
				if x.From != next || x.To < x.From {
					t.Fatalf("runs are not in order: %+v", got.runs)
				}
				next = x.To + 1
			}
			if next != keys {
				t.Fatalf("keys from %d on are missing", next)
			}
			for k := range keys {
				if id, _, _ := got.Owner(k); id != owner[k] {
					t.Fatalf("key %d has owner %s, not %s", k, id, owner[k])
				}
			}
		}
	})
}

// BenchmarkOverlay measures what a host does for a plan that moves 100 runs of a
// fleet of 619 targets.
func BenchmarkOverlay(b *testing.B) {
	base := &Ranges{}
	for i := range 928 {
		base.runs = append(base.runs, lease.RangeView{From: i * 70, To: i*70 + 69, Owner: fmt.Sprint(i), Ready: true})
	}
	var changed []lease.RangeView
	for i := range 100 {
		changed = append(changed, lease.RangeView{From: i*500 + 10, To: i*500 + 20, Owner: "n"})
	}
	for b.Loop() {
		base.overlay(0, changed)
	}
}
