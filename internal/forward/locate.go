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

// shardOf returns a shard in a view.
func shardOf(v *view.View, workload string, n int32) (ownership.Shard, bool) {
	if v == nil || v.State == nil {
		return ownership.Shard{}, false
	}
	return v.State.Table.Get(ownership.ID{Workload: workload, Shard: n})
}

// locate finds the route of a call in a view. It does not wait. The returned
// code is empty when the route is usable.
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
		r.home = h.HTTPAddr
	}
	return r, ""
}

// candidates are the targets of an unkeyed workload in one view.
type candidates struct {
	v *view.View
	// near are in the host's own domain, far in others.
	near, far map[string][]string
}

// candidatesOf returns the targets of each unkeyed workload that may get new
// work, computed once for each view.
func (s *Server) candidatesOf(v *view.View) *candidates {
	if c := s.candidates.Load(); c != nil && c.v == v {
		return c
	}
	c := &candidates{v: v, near: map[string][]string{}, far: map[string][]string{}}
	for name, t := range v.State.Config.Targets {
		_, hasHome := v.Homes[name]
		if v.State.Config.Workloads[t.Workload].Keyed || !hasHome || !takesWork(v.Targets[name]) || !v.State.Config.TargetInService(name) {
			continue
		}
		if t.Domain == v.Self.Domain {
			c.near[t.Workload] = append(c.near[t.Workload], name)
		} else {
			c.far[t.Workload] = append(c.far[t.Workload], name)
		}
	}
	s.candidates.Store(c)
	return c
}

// takesWork reports whether new work may be sent to a target of an unkeyed
// workload. One that has never been judged may be used: granters send no grants
// to targets without shards.
func takesWork(t view.Target) bool {
	judged := t.Incarnation != ""
	return (t.Fit || !judged) && t.State != provider.TargetLeaving
}

// chooseTarget takes the better of two random targets of the own domain, or of
// the others when the own domain has none or both are full.
func (s *Server) chooseTarget(v *view.View, c *call, avoid string) (route, retry.Code) {
	all := s.withoutSlow(s.candidatesOf(v), c.workload)
	near, nearScore := s.better(v, all.near, avoid)
	if near != "" && nearScore < fullScore {
		return withHome(v, route{target: near})
	}
	far, farScore := s.better(v, all.far, avoid)
	switch {
	case near == "" && far == "":
		return route{}, retry.CodeNoTarget
	case far == "" || near != "" && nearScore <= farScore:
		return withHome(v, route{target: near})
	}
	return withHome(v, route{target: far})
}

// avoidScore is the score of a target that failed lately: it is chosen only
// when there is no other.
const avoidScore = 1e9

// slotsPerSecond is the number of busy slots that a second of mean latency
// counts as when targets are compared.
const slotsPerSecond = 2.5

// fullScore is the score of a target whose slots are all in use.
const fullScore = 1.0

// better returns the better of two random targets and its score: the requests
// at its home for each slot, weighted by latency among targets that are full.
func (s *Server) better(v *view.View, names []string, avoid string) (string, float64) {
	best, bestScore := "", 0.0
	for _, name := range twoOf(names, avoid) {
		if score := s.score(v, name); name != "" && (best == "" || score < bestScore) {
			best, bestScore = name, score
		}
	}
	return best, bestScore
}

func twoOf(names []string, avoid string) [2]string {
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

// score is the load of a target by the last word of its home plus what this
// host has sent there since.
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
	if hint == nil || time.Since(hint.at) > hintLife {
		return float64(l.sent.Load()) / slots
	}
	// The mean latency tells a slowed target from its peers at equal queues.
	return (float64(hint.queued)+float64(l.sent.Load()))/slots + hint.latency.Seconds()*slotsPerSecond/slots
}

// resolve finds the route of a call and waits for one while the call may be
// held. It returns a channel that is closed when a newer view is published.
func (s *Server) resolve(ctx context.Context, c *call, avoid string) (route, <-chan struct{}, *retry.Error) {
	held := false
	for {
		changed := s.cfg.Source.Changed()
		r, code := s.locate(s.cfg.Source.View(), c, avoid)
		if code == "" {
			return r, changed, nil
		}
		if !held {
			if !s.hold() {
				return r, nil, newError(CodeHoldFull).WithRetryAfter(s.cfg.RouteTimeout)
			}
			held = true
			defer s.unhold()
		}
		if e := s.await(ctx, c, changed, s.cfg.RouteTimeout); e != nil {
			if e.Code == retry.CodeNoOwner {
				e = newError(code).WithRetryAfter(retryUnavailable)
			}
			return r, nil, e
		}
	}
}

// retryUnavailable is the hint for a request whose owner did not become usable:
// the takeover of a lost target takes about 1.2 s, of which RouteTimeout has passed.
const retryUnavailable = 500 * time.Millisecond

// await waits for a newer view, for at most longest, until the call's hold or
// deadline ends. It fails with CodeNoOwner when the hold has ended.
func (s *Server) await(ctx context.Context, c *call, changed <-chan struct{}, longest time.Duration) *retry.Error {
	now := boottime.Now()
	left := c.holdUntil - now
	if left <= 0 {
		return newError(retry.CodeNoOwner)
	}
	timer := time.NewTimer(min(left, longest))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ended(ctx, false)
	case <-timer.C:
		if longest >= left {
			return newError(retry.CodeNoOwner)
		}
		return nil
	}
}

func (s *Server) hold() bool {
	if s.heldNow.Add(1) > int64(s.cfg.MaxRouteWaiters) {
		s.heldNow.Add(-1)
		s.m.holdFull.Add(1)
		return false
	}
	s.m.held.Add(1)
	return true
}

func (s *Server) unhold() {
	s.heldNow.Add(-1)
	s.m.held.Add(-1)
}
