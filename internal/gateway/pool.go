package gateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// poolKey identifies a target at an address.
type poolKey struct{ targetID, address string }

// pool keeps idle connections to targets.
type pool struct {
	mu   sync.Mutex
	idle map[poolKey][]*targetConn
	// idleCount is the number of idle connections of each target.
	idleCount map[string]int
	// dial opens a connection to an address.
	dial func(ctx context.Context, address string) (net.Conn, error)
}

func newPool() *pool {
	return &pool{
		idle: map[poolKey][]*targetConn{}, idleCount: map[string]int{},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return platform.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
		},
	}
}

// hasIdle reports whether the pool holds a connection to a target.
func (p *pool) hasIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount[id] > 0
}

// get returns an idle connection on which the request was not sent before, or
// dials a new one.
func (p *pool) get(ctx context.Context, id, address, requestID string) (*targetConn, error) {
	now := boottime.Now()
	for {
		u := p.popIdle(poolKey{id, address}, requestID)
		if u == nil {
			break
		}
		if u.usable(now) {
			u.reused = true
			return u, nil
		}
		_ = u.nc.Close() // expired, closed by the target or holding unexpected data
	}
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newTargetConn(nc), nil
}

// popIdle removes the most recently used idle connection on which the request was
// not sent before. It returns nil if there is none.
func (p *pool) popIdle(key poolKey, requestID string) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if u := list[i]; !u.hasSent(requestID) {
			p.idle[key] = slices.Delete(list, i, i+1)
			p.addIdleCount(key.targetID, -1)
			return u
		}
	}
	return nil
}

// addIdleCount adds n to the number of a target's idle connections; p.mu is held.
func (p *pool) addIdleCount(id string, n int) {
	if p.idleCount[id] += n; p.idleCount[id] <= 0 {
		delete(p.idleCount, id)
	}
}

// put makes a connection available for reuse.
func (p *pool) put(u *targetConn, id, address string) {
	u.idleSince = boottime.Now()
	key := poolKey{id, address}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], u)
	p.addIdleCount(id, 1)
}

// closeIdle closes the idle connections of a target, for example after a request
// to it timed out.
func (p *pool) closeIdle(id, address string) {
	key := poolKey{id, address}
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.addIdleCount(id, -len(list))
	p.mu.Unlock()
	for _, u := range list {
		_ = u.nc.Close() // not used again
	}
}

// closeExpired closes connections that were idle for too long.
func (p *pool) closeExpired(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if u.expired(now) {
				_ = u.nc.Close() // expired
				continue
			}
			kept = append(kept, u)
		}
		p.addIdleCount(key.targetID, len(kept)-len(list))
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}
