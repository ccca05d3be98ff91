package bench

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
)

// configProbeInterval is the interval at which each entry host is probed for the
// newest change.
const configProbeInterval = 50 * time.Millisecond

// configProbe observes which change is in force on each entry host. It does not
// rely on the router's reports: it sends requests of the probe customer, which a
// host admits or refuses.
type configProbe struct {
	mu sync.Mutex
	// pending is set while a change is being made, since its effect may be
	// observed before its acceptance is known. generation increases whenever
	// pending is set or cleared.
	pending    bool
	generation int
	// acceptedAt holds the time at which each change was accepted.
	acceptedAt   []time.Duration
	observations []ConfigObservation
}

// beginChange starts a change and returns its number.
func (p *configProbe) beginChange() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = true
	p.generation++
	return len(p.acceptedAt) + 1
}

// acceptChange records the acceptance of the pending change.
func (p *configProbe) acceptChange(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedAt = append(p.acceptedAt, at)
	p.pending = false
	p.generation++
}

func (p *configProbe) currentGeneration() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// run probes all hosts until the context ends.
func (p *configProbe) run(ctx context.Context, b *balancer) {
	var wg sync.WaitGroup
	for _, h := range b.hosts {
		wg.Go(func() { p.watchHost(ctx, h) })
	}
	wg.Wait()
}

func (p *configProbe) watchHost(ctx context.Context, h *balancedHost) {
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
		generation := p.currentGeneration()
		if admitted, ok := probeHost(ctx, client, h, probeToken); ok {
			p.recordResponse(h.name, generation, admitted)
		}
	}
}

// probeHost reports whether the host admits the probe customer with a
// credential. ok is false when the response does not tell.
func probeHost(ctx context.Context, client *http.Client, h *balancedHost, token string) (admitted, ok bool) {
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

// recordResponse records the response to a probe. It discards the response when
// a change was made during the request, since either state is then possible.
func (p *configProbe) recordResponse(host string, generation int, admitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending || p.generation != generation {
		return
	}
	change := len(p.acceptedAt)
	if ended := change%2 == 1; ended == admitted {
		change--
	}
	if change >= 0 {
		p.observations = append(p.observations, ConfigObservation{Host: host, Change: change, At: boottime.Now()})
	}
}
