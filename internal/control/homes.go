package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// held is a permit of this host.
type held struct {
	epoch uint64
	until time.Duration
}

// homeTable holds the homes as this host knows them, and its own permits.
type homeTable struct {
	now  func() time.Duration
	self view.Self

	mu       sync.Mutex
	domains  map[string]DomainView
	known    string
	permits  map[string]held
	givenUp  map[string]bool
	suspects map[string]bool
	stopping bool
	// failed says that no granter answered the last request.
	failed bool
}

func newHomeTable(cfg Config) *homeTable {
	return &homeTable{
		now: cfg.Now, self: cfg.Self, domains: map[string]DomainView{},
		permits: map[string]held{}, givenUp: map[string]bool{}, suspects: map[string]bool{},
	}
}

// permit returns for how much longer this host may send to a target.
func (h *homeTable) permit(target string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.permits[target]
	if !ok || h.givenUp[target] {
		return 0
	}
	return max(p.until-h.now(), 0)
}

// held returns the number of targets that this host is the home of.
func (h *homeTable) held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, n := h.now(), 0
	for _, p := range h.permits {
		if p.until > now {
			n++
		}
	}
	return n
}

func (h *homeTable) giveUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	for t := range h.permits {
		h.givenUp[t] = true
	}
}

// fill adds homes, targets and peers to a view.
func (h *homeTable) fill(v *view.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.Homes, v.Targets, v.Peers = map[string]view.Home{}, map[string]view.Target{}, map[string]view.Peer{}
	alive := map[string]bool{}
	for _, d := range h.domains {
		maps.Copy(v.Homes, d.Homes)
		maps.Copy(v.Targets, d.Targets)
		for _, name := range d.Alive {
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

// request builds the next request of this host.
func (h *homeTable) request(st *journal.State, targets *domainTargets) HomeRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := HomeRequest{
		Host: h.self.Name, Incarnation: h.self.Incarnation, Domain: "",
		Holds: map[string]uint64{}, Versions: map[string]uint64{}, Drained: map[string]uint64{},
		Known: h.known, Stopping: h.stopping,
	}
	now := h.now()
	for t, p := range h.permits {
		if h.givenUp[t] {
			req.GivenUp = append(req.GivenUp, t)
			continue
		}
		if p.until > now {
			req.Holds[t] = p.epoch
		}
	}
	for t, cfg := range targets.probed {
		if !st.Config.Workloads[cfg.Workload].Fencing {
			req.Versions[t] = uint64(st.TargetVersion[t])
		}
	}
	for s := range h.suspects {
		req.Suspects = append(req.Suspects, s)
	}
	clear(h.suspects)
	return req
}

// take applies a reply to a request that was sent at a time. It reports
// whether anything but the length of permits changed.
func (h *homeTable) take(sent time.Duration, req HomeRequest, rep HomeReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := len(rep.Domains) > 0
	h.known = rep.Known
	for name, d := range rep.Domains {
		h.domains[name] = d
	}
	for _, t := range req.GivenUp {
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
		h.permits[t] = held{epoch: home.Epoch, until: sent + time.Duration(ms)*time.Millisecond}
	}
	for _, t := range rep.Yield {
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
	return h.failed
}

func (h *homeTable) setFailed(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = failed
}

func (h *homeTable) homeOf(target string) (view.Home, bool) {
	for _, d := range h.domains {
		if home, ok := d.Homes[target]; ok {
			return home, true
		}
	}
	return view.Home{}, false
}

func (h *homeTable) suspect(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspects[host] = true
}

// domain returns the cached view of a domain.
func (h *homeTable) domain(name string) DomainView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.domains[name]
}

// serveHomes asks for homes and permits at every interval.
func (c *Control) serveHomes(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.Timing.ViewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			c.askHomes(ctx)
		}
	}
}

// askHomes asks the granters of the own domain in order until one answers.
func (c *Control) askHomes(ctx context.Context) {
	v := c.View()
	if v == nil {
		return
	}
	// The request path works by the published view, so its state counts.
	st := v.State
	for _, m := range st.Granters[c.cfg.Self.Domain].Members {
		req := c.homes.request(st, c.targets(st))
		if c.drained != nil {
			for t, version := range req.Versions {
				req.Drained[t] = c.drained(t, version)
			}
		}
		sent := c.cfg.Now()
		rep, err := c.callHome(ctx, st, m.Host, req)
		if err != nil {
			if isRefused(err) {
				c.homes.suspect(m.Host)
			}
			continue
		}
		if c.homes.take(sent, req, rep) {
			c.publish()
		}
		c.homes.setFailed(false)
		return
	}
	c.homes.setFailed(true)
}

func (c *Control) callHome(ctx context.Context, st *journal.State, host string, req HomeRequest) (HomeReply, error) {
	if host == c.cfg.Self.Name {
		return c.homeView(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var rep HomeReply
	err := c.cfg.Peers.Call(ctx, st.EntryHosts[host].PeerAddr, methodHome, req, &rep)
	return rep, err
}
