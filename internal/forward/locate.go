package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// shardOf returns a shard in a view, or false when the view has none.
func shardOf(v *view.View, workload string, n int32) (ownership.Shard, bool) {
	if v == nil || v.State == nil {
		return ownership.Shard{}, false
	}
	return v.State.Table.Get(ownership.ID{Workload: workload, Shard: n})
}

// locate finds the route of a call in a view without waiting. avoid is a target
// to avoid, or empty. The returned code is empty when the route is usable.
func (s *Server) locate(v *view.View, c *call, avoid string) (route, retry.Code) {
	if v == nil || v.State == nil || v.State.Config == nil {
		return route{}, retry.CodeNotReady
	}
	if c.keyed {
		return locateKey(v, c)
	}
	return s.chooseTarget(v, c, avoid)
}

func locateKey(v *view.View, c *call) (route, retry.Code) {
	w, ok := v.State.Table.Workloads[c.workload]
	if !ok {
		return route{}, retry.CodeNotReady
	}
	n := w.Locate(c.key)
	shard := w.Shards[n]
	if !shard.Active() {
		return route{}, retry.CodeNoOwner
	}
	return withHome(v, route{target: shard.Owner, shard: n, epoch: shard.Epoch})
}

func withHome(v *view.View, r route) (route, retry.Code) {
	h, ok := v.Homes[r.target]
	if !ok {
		return route{}, retry.CodeNoHome
	}
	r.homeHost = h.Host
	if h.Host != v.Self.Name {
		r.homeAddr = h.HTTPAddr
	}
	return r, ""
}

// candidates are the targets of an unkeyed workload in one view.
type candidates struct {
	view *view.View
	// sameDomain and otherDomains map workloads to the targets in this host's
	// domain and in other domains.
	sameDomain, otherDomains map[string][]string
}

// candidatesOf returns the targets of each unkeyed workload that accept new work.
// They are computed once for each view.
func (s *Server) candidatesOf(v *view.View) *candidates {
	if c := s.candidates.Load(); c != nil && c.view == v {
		return c
	}
	c := &candidates{view: v, sameDomain: map[string][]string{}, otherDomains: map[string][]string{}}
	for name, t := range v.State.Config.Targets {
		_, hasHome := v.Homes[name]
		if v.State.Config.Workloads[t.Workload].Keyed || !hasHome || !acceptsWork(v.Targets[name]) || !v.State.Config.TargetInService(name) {
			continue
		}
		if t.Domain == v.Self.Domain {
			c.sameDomain[t.Workload] = append(c.sameDomain[t.Workload], name)
		} else {
			c.otherDomains[t.Workload] = append(c.otherDomains[t.Workload], name)
		}
	}
	s.candidates.Store(c)
	return c
}

// acceptsWork reports whether new work may be sent to a target of an unkeyed
// workload. A target whose fitness was never checked may be used: granters send
// no grants to targets without shards.
func acceptsWork(t view.Target) bool {
	known := t.Incarnation != ""
	return (t.Fit || !known) && t.State != provider.TargetLeaving
}

// chooseTarget chooses the better of two random targets in this host's domain. If
// the domain has none or both are full, it also considers two in other domains.
func (s *Server) chooseTarget(v *view.View, c *call, avoid string) (route, retry.Code) {
	all := s.excludeSlow(s.candidatesOf(v), c.workload)
	local, localScore := s.betterOfTwo(v, all.sameDomain, avoid)
	if local != "" && localScore < fullScore {
		return withHome(v, route{target: local})
	}
	remote, remoteScore := s.betterOfTwo(v, all.otherDomains, avoid)
	switch {
	case local == "" && remote == "":
		return route{}, retry.CodeNoTarget
	case remote == "" || local != "" && localScore <= remoteScore:
		return withHome(v, route{target: local})
	}
	return withHome(v, route{target: remote})
}

// avoidScore is the score of a target that failed recently: it is chosen only
// when there is no other.
const avoidScore = 1e9

// slotsPerSecond is the number of busy slots to which one second of mean latency
// is equivalent when targets are compared.
const slotsPerSecond = 2.5

// fullScore is the score of a target whose slots are all in use.
const fullScore = 1.0

// betterOfTwo returns the better of two random targets and its score: the requests
// at its home per slot, plus a term for the latency.
func (s *Server) betterOfTwo(v *view.View, names []string, avoid string) (string, float64) {
	best, bestScore := "", 0.0
	for _, name := range pickTwo(names, avoid) {
		if score := s.score(v, name); name != "" && (best == "" || score < bestScore) {
			best, bestScore = name, score
		}
	}
	return best, bestScore
}

func pickTwo(names []string, avoid string) [2]string {
	pick := func(not string) string {
		if len(names) == 0 {
			return ""
		}
		start := rand.IntN(len(names))
		for i := range names {
			if n := names[(start+i)%len(names)]; n != avoid && n != not {
				return n
			}
		}
		return ""
	}
	first := pick("")
	return [2]string{first, pick(first)}
}

// score returns the load of a target: the load last reported by its home plus the
// requests that this host has in progress there. A lower score is better.
func (s *Server) score(v *view.View, name string) float64 {
	if name == "" {
		return 0
	}
	slots := float64(max(v.State.Config.Targets[name].Slots, 1))
	l := s.loadOf(name)
	if sinceStart() < l.avoidUntil.Load() {
		return avoidScore
	}
	hint := l.hint.Load()
	if hint == nil || time.Since(hint.at) > hintTTL {
		return float64(l.inFlight.Load()) / slots
	}
	// At equal queues the mean latency distinguishes a slow target from the others.
	return (float64(hint.queued)+float64(l.inFlight.Load()))/slots + hint.latency.Seconds()*slotsPerSecond/slots
}

// resolveRoute finds the route of a call and waits for one until the call's route
// deadline. It returns a channel that is closed when a newer view is published.
func (s *Server) resolveRoute(ctx context.Context, c *call, avoid string) (route, <-chan struct{}, *retry.Error) {
	waiting := false
	for {
		changed := s.cfg.Source.Changed()
		r, code := s.locate(s.cfg.Source.View(), c, avoid)
		if code == "" {
			return r, changed, nil
		}
		if !waiting {
			if !s.startRouteWait() {
				return r, nil, newError(CodeHoldFull).WithRetryAfter(s.cfg.RouteTimeout)
			}
			waiting = true
			defer s.endRouteWait()
		}
		if e := s.awaitView(ctx, c, changed, s.cfg.RouteTimeout); e != nil {
			if e.Code == retry.CodeNoOwner {
				e = newError(code).WithRetryAfter(retryUnavailable)
			}
			return r, nil, e
		}
	}
}

// retryUnavailable is the Retry-After hint for a request whose owner did not
// become usable: the takeover of a lost target takes about 1.2 s, of which
// RouteTimeout has passed.
const retryUnavailable = 500 * time.Millisecond

// awaitView waits for a newer view for at most maxWait, and no longer than until
// the call's route deadline. It fails with CodeNoOwner when the route deadline
// has passed.
func (s *Server) awaitView(ctx context.Context, c *call, changed <-chan struct{}, maxWait time.Duration) *retry.Error {
	now := boottime.Now()
	left := c.routeDeadline - now
	if left <= 0 {
		return newError(retry.CodeNoOwner)
	}
	timer := time.NewTimer(min(left, maxWait))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return contextError(ctx, false)
	case <-timer.C:
		if maxWait >= left {
			return newError(retry.CodeNoOwner)
		}
		return nil
	}
}

func (s *Server) startRouteWait() bool {
	if s.routeWaiters.Add(1) > int64(s.cfg.MaxRouteWaiters) {
		s.routeWaiters.Add(-1)
		s.m.holdsRefused.Add(1)
		return false
	}
	s.m.requestsHeld.Add(1)
	return true
}

func (s *Server) endRouteWait() {
	s.routeWaiters.Add(-1)
	s.m.requestsHeld.Add(-1)
}
