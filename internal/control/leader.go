package control

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/provider"
)

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
	// yields is the target that its home has been asked to give up, and
	// yieldAt when.
	yields  string
	yieldAt time.Duration
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
	// lastAwake is the same time on the clock that stands still in stalls.
	lastAwake time.Duration
	stopping  bool
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

// yieldInterval is the least time between two requests to give up a home, since
// requests for the target are held meanwhile.
const yieldInterval = 2 * time.Second

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
	if e, ok := st.EntryHosts[req.Host]; ok && e.Domain == c.cfg.Self.Domain {
		l.noteCaller(now, c.stalls.awake(), req)
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
		if l.yields != "" && l.homes[l.yields].Host == req.Host {
			rep.Yield = []string{l.yields}
		}
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

func (l *leader) noteCaller(now, awake time.Duration, req HomeRequest) {
	l.callers[req.Host] = caller{incarnation: req.Incarnation, last: now, lastAwake: awake, stopping: req.Stopping}
	for _, t := range req.GivenUp {
		if l.homes[t].Host == req.Host {
			delete(l.expires, t)
		}
		if l.yields == t {
			l.yields = ""
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
	e := st.EntryHosts[req.Host]
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
		if !dc.core.HasAuthority(c.cfg.Now()) {
			return 0
		}
		return c.cfg.Timing.PermitDuration.Milliseconds()
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
				l.expires[t] = now + c.stretched(c.cfg.Timing.PermitDuration.Milliseconds())
			}
		}
	}
	alive := l.alive(c.stalls.awake(), st)
	if len(alive) > 0 && c.hasAuthority(now) && c.mayAssign(l, st, now) {
		c.assign(l, st, now, alive)
	}
	c.rebuild(l, st, alive)
}

// alive lists the hosts that can be homes: those that have called lately on the
// clock that stands still while this host is stalled.
func (l *leader) alive(awake time.Duration, st *journal.State) []string {
	var out []string
	for name, k := range l.callers {
		if !k.dead && !k.stopping && awake-k.lastAwake <= aliveFor && st.Config.HostStates[name].InService() && !st.EntryHosts[name].Stopped {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// mayAssign reports whether the homes that an earlier leader assigned are
// known, or all permits that it can have given have ended.
func (c *Control) mayAssign(l *leader, st *journal.State, now time.Duration) bool {
	if now-l.since > c.cfg.Timing.AuthorityDuration+c.stretched(c.cfg.Timing.PermitDuration.Milliseconds()) {
		return true
	}
	var hosts []string
	for name, e := range st.EntryHosts {
		if e.Domain == c.cfg.Self.Domain && !e.Stopped {
			hosts = append(hosts, name)
		}
	}
	return allHeard(hosts, l.callers, l.since)
}

// assign gives each target without a living home to a host.
func (c *Control) assign(l *leader, st *journal.State, now time.Duration, alive []string) {
	in := assignment{
		targets: c.targets(st).all, homes: l.homes, expires: l.expires, callers: l.callers, alive: alive,
		floor: c.stalls.lastEnd() + c.stretched(c.cfg.Timing.PermitDuration.Milliseconds()),
	}
	for _, a := range in.choose(now) {
		l.homes[a.target] = view.Home{Host: a.host, HTTPAddr: st.EntryHosts[a.host].HTTPAddr, Epoch: l.homes[a.target].Epoch + 1}
		l.expires[a.target] = now + c.stretched(c.cfg.Timing.PermitDuration.Milliseconds())
		c.log.Info("home assigned", "target", a.target, "host", a.host, "epoch", l.homes[a.target].Epoch)
	}
	if now-l.yieldAt > yieldInterval {
		l.yields, l.yieldAt = in.yield(), now
	}
}

// hasAuthority reports whether this host may act as a granter now. A leader
// that wakes up from a pause may have been replaced, and may not until it has
// read the log.
func (c *Control) hasAuthority(now time.Duration) bool {
	dc := c.domains.own()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.HasAuthority(now)
}

// permitsGiven returns the remaining times, in milliseconds, of the permits
// that this host has renewed although it does not lead.
func (c *Control) permitsGiven(st *journal.State) map[string]int64 {
	if c.leads(st) {
		return nil
	}
	l, now := c.leader, c.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out map[string]int64
	for t, until := range l.expires {
		if until <= now {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[t] = (until - now).Milliseconds() + 1
	}
	return out
}

// notePermits takes the permits that another granter has renewed into account.
func (c *Control) notePermits(given map[string]int64) {
	if len(given) == 0 {
		return
	}
	l, now := c.leader, c.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, ms := range given {
		if l.expires[t] > 0 {
			l.expires[t] = max(l.expires[t], now+c.stretched(ms))
		}
	}
}

// rebuild publishes a new version of the domain's view when it has changed.
func (c *Control) rebuild(l *leader, st *journal.State, alive []string) {
	last := l.views[c.cfg.Self.Domain]
	next := DomainView{Homes: maps.Clone(l.homes), Targets: map[string]view.Target{}, Alive: alive}
	for _, t := range c.targets(st).all {
		seen := c.domains.fitness.target(t)
		if !seen.Known {
			// A new leader keeps the word of the one before until it has its own.
			seen = last.Targets[t]
		}
		seen.Warm = last.Targets[t].Incarnation == seen.Incarnation && last.Targets[t].Warm ||
			c.warm(seen, time.Duration(st.Config.Targets[t].RampMS)*time.Millisecond)
		next.Targets[t] = seen
	}
	if !sameView(next, last) {
		l.set(c.cfg.Self.Domain, next)
	}
}

// warmAfterRamps is the number of ramp times after which a target that says it
// serves is believed to bear its full load.
const warmAfterRamps = 3

func (c *Control) warm(t view.Target, ramp time.Duration) bool {
	return t.Known && t.State == provider.TargetServing && t.Since > 0 && c.cfg.Now()-t.Since > warmAfterRamps*ramp
}

// sameView compares views without the load of targets, which changes with
// every grant and which homes report to the request path themselves.
func sameView(a, b DomainView) bool {
	sameTarget := func(x, y view.Target) bool {
		return x.Known == y.Known && x.Fit == y.Fit && x.State == y.State && x.Incarnation == y.Incarnation && x.Ready == y.Ready && x.Warm == y.Warm
	}
	return maps.Equal(a.Homes, b.Homes) && slices.Equal(a.Alive, b.Alive) && maps.EqualFunc(a.Targets, b.Targets, sameTarget)
}
