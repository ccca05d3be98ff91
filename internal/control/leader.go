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

// leader is the state of homeView, by which a domain's leader assigns homes and
// each granter renews permits.
type leader struct {
	mu sync.Mutex
	// leadingSince is when this host became the leader; zero while it is not.
	leadingSince time.Duration
	// updatedAt is when updateHomes last ran.
	updatedAt time.Duration
	// homes are the homes that this host has assigned or adopted. permitEnds
	// holds the latest end of the permits of each; a target that was given up has
	// no entry.
	homes      map[string]view.Home
	permitEnds map[string]time.Duration
	callers    map[string]caller
	// yieldTarget is the target that its home is asked to give up, "" for none,
	// and yieldChosenAt when it was last chosen.
	yieldTarget   string
	yieldChosenAt time.Duration
	// views holds the published views by domain. viewVersion counts their
	// changes; domainVersions holds its value at the last change of each domain.
	views          map[string]DomainView
	viewVersion    uint64
	domainVersions map[string]uint64
	// remoteTokens holds the last ViewToken from each other domain's leader.
	remoteTokens map[string]string
	// remoteAnsweredAt is when each other domain's leader last answered.
	remoteAnsweredAt map[string]time.Duration
}

func newLeader() *leader {
	return &leader{
		homes: map[string]view.Home{}, permitEnds: map[string]time.Duration{},
		callers: map[string]caller{}, views: map[string]DomainView{}, domainVersions: map[string]uint64{},
		remoteTokens:     map[string]string{},
		remoteAnsweredAt: map[string]time.Duration{},
	}
}

// caller is an entry host of the domain that has sent a HomeRequest.
type caller struct {
	incarnation string
	lastCall    time.Duration
	// lastCallAwake is the time of the last call as returned by stallMeter.awake.
	lastCallAwake time.Duration
	stopping      bool
	// dead is true when another host reported that this one's kernel refused a
	// connection.
	dead bool
}

// minUpdateInterval is the least time between two runs of updateHomes.
const minUpdateInterval = 25 * time.Millisecond

// aliveFor is how long a host counts as alive after its last call.
const aliveFor = time.Second

// refusedHostDeadAfter is the time since its last call after which a host that
// refuses connections counts as dead. By then it has missed a call.
const refusedHostDeadAfter = 300 * time.Millisecond

// minYieldInterval is the least time between two choices of a home to give up,
// since requests for its target are queued until it has a new home.
const minYieldInterval = 2 * time.Second

// homeView answers a HomeRequest. Any granter renews the permits that the caller
// reports to hold; only the leader assigns homes.
func (c *Control) homeView(_ context.Context, req HomeRequest) (HomeReply, error) {
	st := c.state()
	if st == nil || st.Config == nil {
		return HomeReply{}, &journal.StateError{Reason: "no configuration yet"}
	}
	now := c.cfg.Now()
	l := c.leader
	l.mu.Lock()
	defer l.mu.Unlock()
	rep := HomeReply{IsLeader: c.leads(st), PermitMS: map[string]int64{}, Domains: map[string]DomainView{}}
	if e, ok := st.EntryHosts[req.Host]; ok && e.Domain == c.cfg.Self.Domain {
		l.recordCaller(now, c.stalls.awake(), req)
		c.renewPermits(l, st, now, req, &rep)
	}
	if rep.IsLeader {
		// A large domain sends hundreds of calls per second. Homes that are a few
		// milliseconds old are sufficient for each, without a new assignment.
		if l.leadingSince == 0 || now-l.updatedAt >= minUpdateInterval {
			l.updatedAt = now
			c.updateHomes(l, st, now)
		}
		c.grantFirstPermits(l, st, now, req, &rep)
		if l.yieldTarget != "" && l.homes[l.yieldTarget].Host == req.Host {
			rep.TargetsToGiveUp = []string{l.yieldTarget}
		}
	} else {
		l.leadingSince = 0
	}
	l.addChangedDomains(req, c.cfg.Self, &rep)
	return rep, nil
}

// addChangedDomains adds the domains that changed after the caller's ViewToken.
func (l *leader) addChangedDomains(req HomeRequest, self view.Self, rep *HomeReply) {
	id := self.Name + "." + self.Incarnation + ":"
	since := uint64(0)
	if text, ok := strings.CutPrefix(req.ViewToken, id); ok {
		since, _ = strconv.ParseUint(text, 10, 64)
	}
	rep.ViewToken = id + strconv.FormatUint(l.viewVersion, 10)
	for name, version := range l.domainVersions {
		if version > since && (req.Domain == "" || req.Domain == name) {
			rep.Domains[name] = l.views[name]
		}
	}
}

// setView replaces the published view of a domain.
func (l *leader) setView(domain string, v DomainView) {
	l.viewVersion++
	l.views[domain], l.domainVersions[domain] = v, l.viewVersion
}

func (l *leader) recordCaller(now, awake time.Duration, req HomeRequest) {
	l.callers[req.Host] = caller{incarnation: req.Incarnation, lastCall: now, lastCallAwake: awake, stopping: req.Stopping}
	for _, t := range req.GivenUpTargets {
		if l.homes[t].Host == req.Host {
			delete(l.permitEnds, t)
		}
		if l.yieldTarget == t {
			l.yieldTarget = ""
		}
	}
	for _, s := range req.SuspectHosts {
		// This also holds for a host that has never called this one, such as the
		// previous leader.
		if k := l.callers[s]; now-k.lastCall > refusedHostDeadAfter {
			k.dead = true
			l.callers[s] = k
		}
	}
}

// renewPermits renews the permits that the caller holds, except for targets for
// which this granter knows a later home.
func (c *Control) renewPermits(l *leader, st *journal.State, now time.Duration, req HomeRequest, rep *HomeReply) {
	e := st.EntryHosts[req.Host]
	for t, epoch := range req.HeldEpochs {
		if home := l.homes[t]; home.Epoch > epoch || (home.Epoch == epoch && home.Host != req.Host) {
			continue
		}
		ms := c.newPermitMS(st, t, req)
		if ms <= 0 {
			continue
		}
		l.homes[t] = view.Home{Host: req.Host, HTTPAddr: e.HTTPAddr, Epoch: epoch}
		l.permitEnds[t] = max(l.permitEnds[t], now+c.maxPermitDuration(ms))
		rep.PermitMS[t] = ms
	}
}

// maxPermitDuration is the longest time that a permit can last on this host's
// clock.
func (c *Control) maxPermitDuration(ms int64) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	return d + time.Duration(float64(d)*c.domains.config().RateBound) + time.Millisecond
}

// newPermitMS returns the length in milliseconds of a permit that this granter
// may give now, 0 when it may give none.
func (c *Control) newPermitMS(st *journal.State, target string, req HomeRequest) int64 {
	dc := c.domains.ownCore()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	if st.Config.Workloads[st.Config.Targets[target].Workload].Fencing {
		if !dc.core.HasAuthority(c.cfg.Now()) {
			return 0
		}
		return c.cfg.Timing.PermitDuration.Milliseconds()
	}
	ans := dc.core.Permit(c.cfg.Now(), lease.PermitRequest{
		Home: req.Host, Target: target, Version: req.TargetVersions[target], Drained: req.DrainedVersions[target],
	})
	return ans.PermitMS
}

// grantFirstPermits gives the caller permits for targets that it has become the
// home of.
func (c *Control) grantFirstPermits(l *leader, st *journal.State, now time.Duration, req HomeRequest, rep *HomeReply) {
	if req.Stopping {
		return
	}
	for t, home := range l.homes {
		if home.Host != req.Host || rep.PermitMS[t] > 0 || slices.Contains(req.GivenUpTargets, t) {
			continue
		}
		if l.callers[req.Host].incarnation != req.Incarnation {
			continue
		}
		if ms := c.newPermitMS(st, t, req); ms > 0 {
			l.permitEnds[t] = max(l.permitEnds[t], now+c.maxPermitDuration(ms))
			rep.PermitMS[t] = ms
		}
	}
}

// updateHomes assigns homes and publishes the view of this host's domain.
func (c *Control) updateHomes(l *leader, st *journal.State, now time.Duration) {
	if l.leadingSince == 0 {
		l.leadingSince = now
		previous := c.homes.domainView(c.cfg.Self.Domain)
		l.setView(c.cfg.Self.Domain, previous)
		for t, h := range previous.Homes {
			if l.homes[t].Epoch < h.Epoch {
				l.homes[t] = h
				l.permitEnds[t] = now + c.maxPermitDuration(c.cfg.Timing.PermitDuration.Milliseconds())
			}
		}
	}
	alive := l.aliveHosts(c.stalls.awake(), st)
	if len(alive) > 0 && c.hasAuthority(now) && c.mayAssign(l, st, now) {
		c.assignHomes(l, st, now, alive)
	}
	c.publishDomainView(l, st, alive)
}

// aliveHosts lists the hosts that can be homes: those that have called recently,
// not counting the time in which this process was stalled.
func (l *leader) aliveHosts(awake time.Duration, st *journal.State) []string {
	var out []string
	for name, k := range l.callers {
		if !k.dead && !k.stopping && awake-k.lastCallAwake <= aliveFor && st.Config.HostStates[name].InService() && !st.EntryHosts[name].Stopped {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// mayAssign reports whether this host knows the homes that an earlier leader
// assigned, or all permits that the earlier leader can have given have ended.
func (c *Control) mayAssign(l *leader, st *journal.State, now time.Duration) bool {
	if now-l.leadingSince > c.cfg.Timing.AuthorityDuration+c.maxPermitDuration(c.cfg.Timing.PermitDuration.Milliseconds()) {
		return true
	}
	var hosts []string
	for name, e := range st.EntryHosts {
		if e.Domain == c.cfg.Self.Domain && !e.Stopped {
			hosts = append(hosts, name)
		}
	}
	return allCalledSince(hosts, l.callers, l.leadingSince)
}

// assignHomes assigns a home to each target that has no living one.
func (c *Control) assignHomes(l *leader, st *journal.State, now time.Duration, alive []string) {
	in := assignment{
		targets: c.targets(st).all, homes: l.homes, permitEnds: l.permitEnds, callers: l.callers, alive: alive,
		unknownPermitEnd: c.stalls.lastStallEnd() + c.maxPermitDuration(c.cfg.Timing.PermitDuration.Milliseconds()),
	}
	for _, a := range in.chooseHomes(now) {
		l.homes[a.target] = view.Home{Host: a.host, HTTPAddr: st.EntryHosts[a.host].HTTPAddr, Epoch: l.homes[a.target].Epoch + 1}
		l.permitEnds[a.target] = now + c.maxPermitDuration(c.cfg.Timing.PermitDuration.Milliseconds())
		c.log.Info("home assigned", "target", a.target, "host", a.host, "epoch", l.homes[a.target].Epoch)
	}
	if now-l.yieldChosenAt > minYieldInterval {
		l.yieldTarget, l.yieldChosenAt = in.targetToYield(), now
	}
}

// hasAuthority reports whether this host may act as a granter now. After a pause
// it may not until it has read the log, since it may have been replaced.
func (c *Control) hasAuthority(now time.Duration) bool {
	dc := c.domains.ownCore()
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.HasAuthority(now)
}

// renewedPermits returns the remaining times, in milliseconds, of the permits
// that this host has renewed although it is not the leader; nil on the leader.
func (c *Control) renewedPermits(st *journal.State) map[string]int64 {
	if c.leads(st) {
		return nil
	}
	l, now := c.leader, c.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out map[string]int64
	for t, until := range l.permitEnds {
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

// applyPermits extends permitEnds by the permits that another granter has
// renewed, given by the remaining time in milliseconds.
func (c *Control) applyPermits(permits map[string]int64) {
	if len(permits) == 0 {
		return
	}
	l, now := c.leader, c.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, ms := range permits {
		if l.permitEnds[t] > 0 {
			l.permitEnds[t] = max(l.permitEnds[t], now+c.maxPermitDuration(ms))
		}
	}
}

// publishDomainView publishes the view of this host's domain when it has changed.
func (c *Control) publishDomainView(l *leader, st *journal.State, alive []string) {
	last := l.views[c.cfg.Self.Domain]
	next := DomainView{Homes: maps.Clone(l.homes), Targets: map[string]view.Target{}, AliveHosts: alive}
	for _, t := range c.targets(st).all {
		target := c.domains.fitness.targetView(t)
		if !target.Known {
			// Until the target has responded to it, a new leader keeps what the
			// previous leader published.
			target = last.Targets[t]
		}
		target.Warm = last.Targets[t].Incarnation == target.Incarnation && last.Targets[t].Warm ||
			c.isWarm(target, time.Duration(st.Config.Targets[t].RampMS)*time.Millisecond)
		next.Targets[t] = target
	}
	if !sameView(next, last) {
		l.setView(c.cfg.Self.Domain, next)
	}
}

// warmAfterRamps is the number of ramp times after which a serving target is
// assumed to take its full load.
const warmAfterRamps = 3

func (c *Control) isWarm(t view.Target, ramp time.Duration) bool {
	return t.Known && t.State == provider.TargetServing && t.Since > 0 && c.cfg.Now()-t.Since > warmAfterRamps*ramp
}

// sameView compares views without the load of targets, which changes with each
// grant and which homes report to the request path themselves.
func sameView(a, b DomainView) bool {
	sameTarget := func(x, y view.Target) bool {
		return x.Known == y.Known && x.Fit == y.Fit && x.State == y.State && x.Incarnation == y.Incarnation && x.Ready == y.Ready && x.Warm == y.Warm
	}
	return maps.Equal(a.Homes, b.Homes) && slices.Equal(a.AliveHosts, b.AliveHosts) && maps.EqualFunc(a.Targets, b.Targets, sameTarget)
}
