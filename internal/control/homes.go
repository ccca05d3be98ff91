package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
)

// HomeRequest asks the leader of a domain for homes and, for a host of that
// domain, renews the permits of the targets that it is the home of.
type HomeRequest struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Domain is the one asked about; "" asks for all that the leader knows.
	Domain string `json:"domain"`
	// Holds maps the targets that the host is the home of to the home's epoch.
	Holds map[string]uint64 `json:"holds,omitempty"`
	// Versions maps the domain's targets that do not check fences to their
	// version in the host's state, and Drained to the version for which it has
	// ended the requests for shards that the target lost. They are needed for
	// targets that the host is not yet the home of, too.
	Versions map[string]uint64 `json:"versions,omitempty"`
	Drained  map[string]uint64 `json:"drained,omitempty"`
	// Known repeats the Known of the last reply, so that the answer holds only
	// what has changed since.
	Known string `json:"known,omitempty"`
	// Stopping says that the host gives up its homes.
	Stopping bool `json:"stopping,omitempty"`
	// GivenUp lists targets that the host is no longer the home of.
	GivenUp []string `json:"given_up,omitempty"`
	// Suspects lists hosts that refused a connection.
	Suspects []string `json:"suspects,omitempty"`
}

// HomeReply answers HomeRequest.
type HomeReply struct {
	Leader bool `json:"leader"`
	// PermitMS maps the caller's targets to the length of the permit in
	// milliseconds, counted from the moment at which the request was sent.
	PermitMS map[string]int64 `json:"permit_ms,omitempty"`
	// Yield lists targets that the caller is asked to give up.
	Yield []string `json:"yield,omitempty"`
	// Known stands for all that the caller now has from this granter.
	Known string `json:"known"`
	// Domains holds the domains that have changed since the caller's Known.
	Domains map[string]DomainView `json:"domains,omitempty"`
}

// DomainView is what the leader of a domain publishes.
type DomainView struct {
	Homes   map[string]view.Home   `json:"homes"`
	Targets map[string]view.Target `json:"targets"`
	// Alive lists the domain's entry hosts that have called lately.
	Alive []string `json:"alive"`
}

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
	for name, e := range v.State.Entries {
		if name == h.self.Name || e.Gone {
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
	err := c.cfg.Peers.Call(ctx, st.Entries[host].PeerAddr, methodHome, req, &rep)
	return rep, err
}

// leader is the part of a domain's leading granter that assigns homes.
type leader struct {
	mu sync.Mutex
	// since is when this host began to lead; zero while it does not.
	since time.Duration
	// ledAt is when homes were last assigned and the view was rebuilt.
	ledAt time.Duration
	// homes and expires are what this leader has assigned or adopted.
	homes   map[string]view.Home
	expires map[string]time.Duration
	callers map[string]caller
	// views are the published domains; serial counts the changes, changedAt
	// holds the count at the last change of each domain.
	views     map[string]DomainView
	serial    uint64
	changedAt map[string]uint64
	// remoteKnown is the Known of each other domain's leader.
	remoteKnown map[string]string
	// remoteAt is when each other domain's leader last answered.
	remoteAt map[string]time.Duration
}

func newLeader() *leader {
	return &leader{
		homes: map[string]view.Home{}, expires: map[string]time.Duration{},
		callers: map[string]caller{}, views: map[string]DomainView{}, changedAt: map[string]uint64{},
		remoteKnown: map[string]string{},
		remoteAt:    map[string]time.Duration{},
	}
}

// caller is an entry host of the domain that has asked for homes.
type caller struct {
	incarnation string
	last        time.Duration
	stopping    bool
	// dead says that the host's kernel refused a connection.
	dead bool
}

// leadInterval is the least time between two assignments of homes.
const leadInterval = 25 * time.Millisecond

// aliveFor is how long after its last call a host counts as alive.
const aliveFor = time.Second

// refusedHostAfter is how long after its last call a host that refuses
// connections counts as dead: one call must have been missed.
const refusedHostAfter = 300 * time.Millisecond

// homeView answers a host. Any granter renews permits that the caller says it
// holds; only the leader assigns homes.
func (c *Control) homeView(_ context.Context, req HomeRequest) (HomeReply, error) {
	st := c.state()
	if st == nil || st.Config == nil {
		return HomeReply{}, &journal.StateError{Reason: "no configuration yet"}
	}
	now := c.cfg.Now()
	l := c.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	rep := HomeReply{Leader: c.leads(st), PermitMS: map[string]int64{}, Domains: map[string]DomainView{}}
	if e, ok := st.Entries[req.Host]; ok && e.Domain == c.cfg.Self.Domain {
		l.noteCaller(now, req)
		c.renewPermits(l, st, now, req, &rep)
	}
	if rep.Leader {
		// A large domain has hundreds of calls a second; each needs homes that
		// are a few milliseconds old at most, not a new assignment.
		if l.since == 0 || now-l.ledAt >= leadInterval {
			l.ledAt = now
			c.lead(l, st, now)
		}
		c.newPermits(l, st, now, req, &rep)
	} else {
		l.since = 0
	}
	l.changedSince(req, c.cfg.Self, &rep)
	return rep, nil
}

// changedSince adds the domains that have changed since the caller's Known.
func (l *leader) changedSince(req HomeRequest, self view.Self, rep *HomeReply) {
	id := self.Name + "." + self.Incarnation + ":"
	since := uint64(0)
	if text, ok := strings.CutPrefix(req.Known, id); ok {
		since, _ = strconv.ParseUint(text, 10, 64)
	}
	rep.Known = id + strconv.FormatUint(l.serial, 10)
	for name, at := range l.changedAt {
		if at > since && (req.Domain == "" || req.Domain == name) {
			rep.Domains[name] = l.views[name]
		}
	}
}

// set replaces what is published of a domain.
func (l *leader) set(domain string, v DomainView) {
	l.serial++
	l.views[domain], l.changedAt[domain] = v, l.serial
}

func (l *leader) noteCaller(now time.Duration, req HomeRequest) {
	l.callers[req.Host] = caller{incarnation: req.Incarnation, last: now, stopping: req.Stopping}
	for _, t := range req.GivenUp {
		if l.homes[t].Host == req.Host {
			delete(l.expires, t)
		}
	}
	for _, s := range req.Suspects {
		// The former leader has never called this one.
		if k := l.callers[s]; now-k.last > refusedHostAfter {
			k.dead = true
			l.callers[s] = k
		}
	}
}

// renewPermits renews what the caller holds, unless the leader knows of a
// later home.
func (c *Control) renewPermits(l *leader, st *journal.State, now time.Duration, req HomeRequest, rep *HomeReply) {
	e := st.Entries[req.Host]
	for t, epoch := range req.Holds {
		if known := l.homes[t]; known.Epoch > epoch || (known.Epoch == epoch && known.Host != req.Host) {
			continue
		}
		ms := c.permitFor(st, t, req)
		if ms <= 0 {
			continue
		}
		l.homes[t] = view.Home{Host: req.Host, HTTPAddr: e.HTTPAddr, Epoch: epoch}
		l.expires[t] = max(l.expires[t], now+c.stretched(ms))
		rep.PermitMS[t] = ms
	}
}

// stretched is the longest time that a permit can last on this host's clock.
func (c *Control) stretched(ms int64) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	return d + time.Duration(float64(d)*c.domains.config().RateBound) + time.Millisecond
}

// permitFor returns the length of a permit that this granter may give now.
func (c *Control) permitFor(st *journal.State, target string, req HomeRequest) int64 {
	dc := c.domains.own()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	if st.Config.Workloads[st.Config.Targets[target].Workload].Fencing {
		if !dc.core.MayRenewAny(c.cfg.Now()) {
			return 0
		}
		return c.cfg.Timing.Permit.Milliseconds()
	}
	ans := dc.core.Permit(c.cfg.Now(), lease.PermitRequest{
		Home: req.Host, Target: target, Version: req.Versions[target], Drained: req.Drained[target],
	})
	return ans.PermitMS
}

// newPermits gives the caller its first permits for targets that it has just
// become the home of.
func (c *Control) newPermits(l *leader, st *journal.State, now time.Duration, req HomeRequest, rep *HomeReply) {
	if req.Stopping {
		return
	}
	for t, home := range l.homes {
		if home.Host != req.Host || rep.PermitMS[t] > 0 || slices.Contains(req.GivenUp, t) {
			continue
		}
		if l.callers[req.Host].incarnation != req.Incarnation {
			continue
		}
		if ms := c.permitFor(st, t, req); ms > 0 {
			l.expires[t] = max(l.expires[t], now+c.stretched(ms))
			rep.PermitMS[t] = ms
		}
	}
}

// lead assigns homes and rebuilds the published view.
func (c *Control) lead(l *leader, st *journal.State, now time.Duration) {
	if l.since == 0 {
		l.since = now
		former := c.homes.domain(c.cfg.Self.Domain)
		l.set(c.cfg.Self.Domain, former)
		for t, h := range former.Homes {
			if l.homes[t].Epoch < h.Epoch {
				l.homes[t] = h
				l.expires[t] = now + c.stretched(c.cfg.Timing.Permit.Milliseconds())
			}
		}
	}
	alive := l.alive(now, c.stalls.lastEnd(), st)
	if len(alive) > 0 && c.mayAssign(l, st, now) {
		c.assign(l, st, now, alive)
	}
	c.rebuild(l, st, alive)
}

// alive lists the hosts that can be homes. A host need not have called while
// this one was stalled.
func (l *leader) alive(now, stalled time.Duration, st *journal.State) []string {
	var out []string
	for name, k := range l.callers {
		if !k.dead && !k.stopping && now-max(k.last, stalled) <= aliveFor && st.Config.Hosts[name].In() && !st.Entries[name].Gone {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// mayAssign reports whether the homes that an earlier leader assigned are
// known: all hosts of the domain have called or are dead, or all permits that
// it can have given have ended.
func (c *Control) mayAssign(l *leader, st *journal.State, now time.Duration) bool {
	if now-l.since > c.cfg.Timing.Authority+c.stretched(c.cfg.Timing.Permit.Milliseconds()) {
		return true
	}
	for name, e := range st.Entries {
		if e.Domain != c.cfg.Self.Domain || e.Gone {
			continue
		}
		if k, ok := l.callers[name]; !ok || !(k.dead || k.last > l.since) {
			return false
		}
	}
	return true
}

// assign gives each target without a living home to the least loaded host.
func (c *Control) assign(l *leader, st *journal.State, now time.Duration, alive []string) {
	load := map[string]int{}
	var free []string
	for _, t := range c.targets(st).all {
		home, ok := l.homes[t]
		if ok && slices.Contains(alive, home.Host) && l.expires[t] > 0 {
			load[home.Host]++
			continue
		}
		if ok && l.expires[t] > now && !l.callers[home.Host].dead {
			continue
		}
		free = append(free, t)
	}
	for _, t := range free {
		best := slices.MinFunc(alive, func(a, b string) int {
			return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(rank(t, b), rank(t, a)))
		})
		load[best]++
		l.homes[t] = view.Home{Host: best, HTTPAddr: st.Entries[best].HTTPAddr, Epoch: l.homes[t].Epoch + 1}
		l.expires[t] = now + c.stretched(c.cfg.Timing.Permit.Milliseconds())
		c.log.Info("home assigned", "target", t, "host", best, "epoch", l.homes[t].Epoch)
	}
}

// rank orders the hosts for one target by rendezvous hashing.
func rank(target, host string) uint64 { return xxhash.Sum64String(target + "\x00" + host) }

// rebuild publishes a new version of the domain's view when it has changed.
func (c *Control) rebuild(l *leader, st *journal.State, alive []string) {
	last := l.views[c.cfg.Self.Domain]
	next := DomainView{Homes: maps.Clone(l.homes), Targets: map[string]view.Target{}, Alive: alive}
	for _, t := range c.targets(st).all {
		if next.Targets[t] = c.domains.fitness.target(t); !next.Targets[t].Known {
			// A new leader keeps the word of the one before until it has its own.
			next.Targets[t] = last.Targets[t]
		}
	}
	if !sameView(next, last) {
		l.set(c.cfg.Self.Domain, next)
	}
}

// sameView compares views without the load of targets, which changes with
// every grant and which homes report to the request path themselves.
func sameView(a, b DomainView) bool {
	sameTarget := func(x, y view.Target) bool {
		return x.Known == y.Known && x.Fit == y.Fit && x.State == y.State && x.Incarnation == y.Incarnation && x.Ready == y.Ready
	}
	return maps.Equal(a.Homes, b.Homes) && slices.Equal(a.Alive, b.Alive) && maps.EqualFunc(a.Targets, b.Targets, sameTarget)
}
