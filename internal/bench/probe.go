package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
)

// configProbeInterval is the interval at which each entry host is asked whether
// the newest change is in force.
const configProbeInterval = 50 * time.Millisecond

// configProbe finds out by requests, not by the router's word, which change is
// in force on each entry host: the probe customer is let in or not.
type configProbe struct {
	mu sync.Mutex
	// pending is set while a change is being made, whose effect may be seen
	// before it is known to be accepted. generation counts the changes of both.
	pending    bool
	generation int
	// accepted is when each change was accepted.
	accepted []time.Duration
	seen     []ConfigSeen
}

// begin starts a change and returns its number.
func (p *configProbe) begin() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = true
	p.generation++
	return len(p.accepted) + 1
}

// accept ends a change.
func (p *configProbe) accept(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted = append(p.accepted, at)
	p.pending = false
	p.generation++
}

func (p *configProbe) present() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// run probes all hosts until the context ends.
func (p *configProbe) run(ctx context.Context, b *balancer) {
	var wg sync.WaitGroup
	for _, h := range b.hosts {
		wg.Go(func() { p.watch(ctx, h) })
	}
	wg.Wait()
}

func (p *configProbe) watch(ctx context.Context, h *balancedHost) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(configProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		generation := p.present()
		if admitted, ok := askProbe(ctx, client, h, probeToken); ok {
			p.note(h.name, generation, admitted)
		}
	}
}

// askProbe reports whether the host lets the probe customer in with a
// credential; ok is false when it gave no clear answer.
func askProbe(ctx context.Context, client *http.Client, h *balancedHost, token string) (admitted, ok bool) {
	req, err := newIDsRequest(ctx, "http://"+h.addr+pathRequestIDs, 1)
	if err != nil {
		return false, false
	}
	authorize(req, ProbeCustomer, token)
	resp, err := client.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusUnauthorized, http.StatusForbidden:
		return false, true
	}
	return false, false
}

// note records an answer. It is left out when a change was made during the
// request, since it then fits either.
func (p *configProbe) note(host string, generation int, admitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending || p.generation != generation {
		return
	}
	change := len(p.accepted)
	if ended := change%2 == 1; ended == admitted {
		change--
	}
	if change >= 0 {
		p.seen = append(p.seen, ConfigSeen{Host: host, Change: change, At: boottime.Now()})
	}
}
