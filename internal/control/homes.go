package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// homePermit is this host's permit to send to a target as its home.
type homePermit struct {
	epoch      uint64
	validUntil time.Duration
}

// homeTable holds the homes that this host has received, and its own permits.
type homeTable struct {
	now  func() time.Duration
	self view.Self

	mu        sync.Mutex
	domains   map[string]DomainView
	viewToken string
	permits   map[string]homePermit
	givenUp   map[string]bool
	suspects  map[string]bool
	stopping  bool
	// lastUnanswered is true when no granter answered the last request.
	lastUnanswered bool
}

func newHomeTable(cfg Config) *homeTable {
	return &homeTable{
		now: cfg.Now, self: cfg.Self, domains: map[string]DomainView{},
		permits: map[string]homePermit{}, givenUp: map[string]bool{}, suspects: map[string]bool{},
	}
}

// permitLeft returns for how much longer this host may send to a target.
func (h *homeTable) permitLeft(target string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.permits[target]
	if !ok || h.givenUp[target] {
		return 0
	}
	return max(p.validUntil-h.now(), 0)
}

// heldCount returns the number of targets for which this host has a valid
// permit.
func (h *homeTable) heldCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, n := h.now(), 0
	for _, p := range h.permits {
		if p.validUntil > now {
			n++
		}
	}
	return n
}

func (h *homeTable) giveUpAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	for t := range h.permits {
		h.givenUp[t] = true
	}
}

// fillView sets the homes, targets and peers of a view.
func (h *homeTable) fillView(v *view.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.Homes, v.Targets, v.Peers = map[string]view.Home{}, map[string]view.Target{}, map[string]view.Peer{}
	alive := map[string]bool{}
	for _, d := range h.domains {
		maps.Copy(v.Homes, d.Homes)
		maps.Copy(v.Targets, d.Targets)
		for _, name := range d.AliveHosts {
			alive[name] = true
		}
	}
	for name, e := range v.State.EntryHosts {
		if name == h.self.Name || e.Stopped {
			continue
		}
		v.Peers[name] = view.Peer{Name: name, Domain: e.Domain, Incarnation: e.Incarnation, HTTPAddr: e.HTTPAddr, Alive: alive[name]}
	}
}

// buildRequest builds this host's next request.
func (h *homeTable) buildRequest(st *journal.State, targets *domainTargets) HomeRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := HomeRequest{
		Host: h.self.Name, Incarnation: h.self.Incarnation, Domain: "",
		HeldEpochs: map[string]uint64{}, TargetVersions: map[string]uint64{}, DrainedVersions: map[string]uint64{},
		ViewToken: h.viewToken, Stopping: h.stopping,
	}
	now := h.now()
	for t, p := range h.permits {
		if h.givenUp[t] {
			req.GivenUpTargets = append(req.GivenUpTargets, t)
			continue
		}
		if p.validUntil > now {
			req.HeldEpochs[t] = p.epoch
		}
	}
	for t, cfg := range targets.probed {
		if !st.Config.Workloads[cfg.Workload].Fencing {
			req.TargetVersions[t] = uint64(st.TargetVersion[t])
		}
	}
	for s := range h.suspects {
		req.SuspectHosts = append(req.SuspectHosts, s)
	}
	clear(h.suspects)
	return req
}

// applyReply applies the reply to a request that this host sent at a time. It
// reports whether anything but the length of permits changed.
func (h *homeTable) applyReply(sent time.Duration, req HomeRequest, rep HomeReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := len(rep.Domains) > 0
	h.viewToken = rep.ViewToken
	for name, d := range rep.Domains {
		h.domains[name] = d
	}
	for _, t := range req.GivenUpTargets {
		delete(h.permits, t)
		delete(h.givenUp, t)
	}
	for t, ms := range rep.PermitMS {
		home, ok := h.homeOf(t)
		if !ok || home.Host != h.self.Name || h.stopping {
			continue
		}
		if _, had := h.permits[t]; !had {
			changed = true
		}
		h.permits[t] = homePermit{epoch: home.Epoch, validUntil: sent + time.Duration(ms)*time.Millisecond}
	}
	for _, t := range rep.TargetsToGiveUp {
		if _, had := h.permits[t]; had {
			h.givenUp[t] = true
		}
	}
	return changed
}

// unanswered reports whether no granter answered the last request for homes.
func (h *homeTable) unanswered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastUnanswered
}

func (h *homeTable) setUnanswered(unanswered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastUnanswered = unanswered
}

func (h *homeTable) homeOf(target string) (view.Home, bool) {
	for _, d := range h.domains {
		if home, ok := d.Homes[target]; ok {
			return home, true
		}
	}
	return view.Home{}, false
}

func (h *homeTable) addSuspect(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects[host] = true
}

// domainView returns the cached view of a domain.
func (h *homeTable) domainView(name string) DomainView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.domains[name]
}

// serveHomes requests homes and permits at each Timing.ViewInterval.
func (c *Control) serveHomes(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.Timing.ViewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			c.requestHomes(ctx)
		}
	}
}

// requestHomes sends a request to the granters of this host's domain, in order,
// until one answers.
func (c *Control) requestHomes(ctx context.Context) {
	v := c.View()
	if v == nil {
		return
	}
	// The request must match the state that the request path uses, which is that
	// of the published view.
	st := v.State
	for _, m := range st.Granters[c.cfg.Self.Domain].Members {
		req := c.homes.buildRequest(st, c.targets(st))
		if c.drainedTo != nil {
			for t, version := range req.TargetVersions {
				req.DrainedVersions[t] = c.drainedTo(t, version)
			}
		}
		sent := c.cfg.Now()
		rep, err := c.fetchHomes(ctx, st, m.Host, req)
		if err != nil {
			if isRefused(err) {
				c.homes.addSuspect(m.Host)
			}
			continue
		}
		if c.homes.applyReply(sent, req, rep) {
			c.publish()
		}
		c.homes.setUnanswered(false)
		return
	}
	c.homes.setUnanswered(true)
}

func (c *Control) fetchHomes(ctx context.Context, st *journal.State, host string, req HomeRequest) (HomeReply, error) {
	if host == c.cfg.Self.Name {
		return c.homeView(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rep HomeReply
	err := c.cfg.Peers.Call(ctx, st.EntryHosts[host].PeerAddr, methodHome, req, &rep)
	return rep, err
}
