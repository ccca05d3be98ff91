package bench

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pathReady is the readiness check of an entry host.
	pathReady = "/readyz"
	// balancerInterval and balancerTimeout apply to the health checks of the
	// platform's load balancer.
	balancerInterval = 200 * time.Millisecond
	balancerTimeout  = 300 * time.Millisecond
	// balancerFailures is the number of consecutive failed checks after which
	// the balancer sends a host no new requests.
	balancerFailures = 2
)

// balancer simulates the platform's load balancer in front of the entry hosts:
// round robin over the hosts that pass their health checks.
type balancer struct {
	hosts []*balancedHost
	next  atomic.Uint64
}

type balancedHost struct {
	name, addr string
	up         atomic.Bool
}

func newBalancer(c *Cluster) *balancer {
	b := &balancer{}
	for _, e := range c.cfg.Plan.Entries {
		b.hosts = append(b.hosts, &balancedHost{name: e.Name, addr: c.entries[e.Name].callers.proxy.Addr()})
	}
	return b
}

// run checks the health of the hosts until the context ends.
func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range b.hosts {
		wg.Go(func() { h.run(ctx) })
	}
	wg.Wait()
}

func (h *balancedHost) run(ctx context.Context) {
	client := &http.Client{Timeout: balancerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(balancerInterval)
	defer tick.Stop()
	failures := 0
	for {
		resp, err := client.Get("http://" + h.addr + pathReady)
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			failures = 0
			h.up.Store(true)
		} else if failures++; failures >= balancerFailures {
			h.up.Store(false)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// allUp reports whether every host passes its health checks.
func (b *balancer) allUp() bool {
	for _, h := range b.hosts {
		if !h.up.Load() {
			return false
		}
	}
	return true
}

// pick returns the next host that is up, or the next host when none is up.
func (b *balancer) pick() *balancedHost {
	n := b.next.Add(1)
	for i := range b.hosts {
		if h := b.hosts[(n+uint64(i))%uint64(len(b.hosts))]; h.up.Load() {
			return h
		}
	}
	return b.hosts[n%uint64(len(b.hosts))]
}
