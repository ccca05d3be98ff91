package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// poolKey names one run of a target at an address.
type poolKey struct{ id, address string }

// pools keeps idle connections to targets.
type pools struct {
	mu   sync.Mutex
	idle map[poolKey][]*upstream
	// open counts the idle connections of each target.
	open map[string]int
}

func newPools() *pools { return &pools{idle: map[poolKey][]*upstream{}, open: map[string]int{}} }

// connected reports whether a connection to a target is open and idle.
func (p *pools) connected(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[id] > 0
}

// take returns an idle connection that has not carried the request before, or
// opens one.
func (p *pools) take(ctx context.Context, id, address, requestID string) (*upstream, error) {
	now := boottime.Now()
	for {
		u := p.pop(poolKey{id, address}, requestID)
		if u == nil {
			break
		}
		if u.usable(now) {
			u.reused = true
			return u, nil
		}
		_ = u.nc.Close() // the target closed it or it is out of step
	}
	nc, err := platform.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newUpstream(nc), nil
}

// pop takes the latest idle connection that has not carried the request.
func (p *pools) pop(key poolKey, requestID string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if u := list[i]; !u.hasCarried(requestID) {
			p.idle[key] = slices.Delete(list, i, i+1)
			p.count(key.id, -1)
			return u
		}
	}
	return nil
}

// count changes the number of idle connections of a target; p.mu is held.
func (p *pools) count(id string, n int) {
	if p.open[id] += n; p.open[id] <= 0 {
		delete(p.open, id)
	}
}

// put returns a connection after a complete answer.
func (p *pools) put(u *upstream, id, address string) {
	u.idleSince = boottime.Now()
	key := poolKey{id, address}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], u)
	p.count(id, 1)
}

// drop closes the idle connections of a target, for example because one of
// them went silent.
func (p *pools) drop(id, address string) {
	key := poolKey{id, address}
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.count(id, -len(list))
	p.mu.Unlock()
	for _, u := range list {
		_ = u.nc.Close() // given up
	}
}

// sweep closes connections that were idle for too long.
func (p *pools) sweep(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if u.expired(now) {
				_ = u.nc.Close() // out of time
				continue
			}
			kept = append(kept, u)
		}
		p.count(key.id, len(kept)-len(list))
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}
