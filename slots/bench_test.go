package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// BenchmarkAsk measures an ask with the end of another lease while 500 asks of 66 hosts wait,
// and the checks for heartbeats that come with it.
func BenchmarkAsk(b *testing.B) {
	for _, targets := range []int{100, 350} {
		b.Run(fmt.Sprint(targets, "_targets"), func(b *testing.B) {
			c := NewCoordinator(placement.Config{MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: 4096})
			list := make([]placement.Target, targets)
			for i := range list {
				list[i] = placement.Target{ID: fmt.Sprint("target-", i), Workload: "w", Domain: fmt.Sprint("d", i%3), Slots: 6, Usable: true}
			}
			c.SetTargets(list)
			hosts := make([]string, 66)
			for i := range hosts {
				hosts[i] = fmt.Sprint("h", i)
			}
			type held struct {
				host string
				id   uint64
			}
			var leases []held
			now, id := time.Hour, uint64(0)
			ask := func() {
				id++
				host := hosts[id%66]
				for _, a := range c.Ask(now, Ask{Host: host, ID: id, Domain: fmt.Sprint("d", id%3), Request: placement.Request{
					Workload: "w", Route: "r", Priority: int(id % 3), Deadline: now + 10*time.Minute, Objective: time.Second,
					ObjectiveDeadline: now + 10*time.Minute, Random: float64(id%97) / 97,
				}}) {
					leases = append(leases, held{a.Host, a.ID})
				}
			}
			for c.Stats().Waiting < 500 {
				ask()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 50 * time.Microsecond
				l := leases[0]
				leases = leases[1:]
				for _, a := range c.End(now, l.host, l.id, placement.Outcome{ResponseTime: 100 * time.Millisecond, ColdRemaining: -1}) {
					leases = append(leases, held{a.Host, a.ID})
				}
				ask()
				if i%100 == 0 {
					for _, h := range hosts {
						c.HasWaiting(h)
					}
				}
				if i%400 == 0 {
					for _, a := range c.Tick(now) {
						leases = append(leases, held{a.Host, a.ID})
					}
				}
			}
			b.ReportMetric(float64(c.Stats().Waiting), "waiting")
		})
	}
}
