//go:build review

package kit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Balancer forwards new connections as the platform does: to a host in rotation in the
// consumer's zone, to any host of the zone if fewer than half are in rotation, and to another
// zone if none is. It asks each host once a second; two misses take it out.
type Balancer struct {
	hosts []*Host
	zones int
	mu    sync.Mutex
	miss  []int
}

// NewBalancer returns a balancer for hosts that are in the zones 0 to zones-1 in turn. It
// asks them until stop is closed.
func NewBalancer(hosts []*Host, zones int, stop <-chan struct{}) *Balancer {
	b := &Balancer{hosts: hosts, zones: zones, miss: make([]int, len(hosts))}
	for i, h := range hosts {
		go func() {
			for {
				ok := h.IsReady()
				b.mu.Lock()
				if b.miss[i]++; ok {
					b.miss[i] = 0
				}
				b.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return b
}

// Pick returns the host of a new connection from a zone.
func (b *Balancer) Pick(zone int) *Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	for z := range b.zones {
		var in, all []*Host
		for i, h := range b.hosts {
			if i%b.zones != (zone+z)%b.zones {
				continue
			}
			all = append(all, h)
			if b.miss[i] < 2 {
				in = append(in, h)
			}
		}
		if 2*len(in) >= len(all) {
			return in[rand.IntN(len(in))]
		}
		if len(in) > 0 {
			return all[rand.IntN(len(all))]
		}
	}
	return b.hosts[rand.IntN(len(b.hosts))]
}
