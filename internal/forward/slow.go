package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelock/boragelock/health"
	"github.com/boragelock/boragelock/internal/view"
)

const (
	// slowFactor is the ratio of a target's mean latency to the median of its
	// workload from which on unkeyed requests avoid it.
	slowFactor = 3
	// slowLife is how long a target is avoided after the last word about its
	// latency. After that it is tried again by one request at a time.
	slowLife = 5 * time.Second
	// slowProbes is the average number of requests of which one goes to any
	// target, slow or not, so that a recovery is noticed. One in 200 stays
	// below the 1 % that make the p99.
	slowProbes = 200
)

// choices are the targets that an unkeyed request may go to.
type choices struct{ near, far []string }

// withoutSlow leaves out the slow targets of a workload, unless none is left.
func (s *Server) withoutSlow(all *candidates, workload string) choices {
	near, far := all.near[workload], all.far[workload]
	slow := s.slow.Load()
	if slow == nil || len(*slow) == 0 || rand.IntN(slowProbes) == 0 {
		return choices{near, far}
	}
	fast := func(names []string) []string {
		if !slices.ContainsFunc(names, func(n string) bool { return (*slow)[n] }) {
			return names
		}
		return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return (*slow)[n] && !s.mayTry(n) })
	}
	out := choices{fast(near), fast(far)}
	if len(out.near)+len(out.far) == 0 {
		return choices{near, far}
	}
	return out
}

// mayTry reports whether a slow target has not been heard of for long and has
// no request of this host in progress.
func (s *Server) mayTry(target string) bool {
	l := s.loadOf(target)
	h := l.hint.Load()
	return l.sent.Load() == 0 && (h == nil || time.Since(h.at) > slowLife)
}

// findSlow compares the mean latencies of the targets of each unkeyed
// workload, by the last word of their homes.
func (s *Server) findSlow(v *view.View) {
	byWorkload := map[string]map[string]time.Duration{}
	for name, t := range v.State.Config.Targets {
		if v.State.Config.Workloads[t.Workload].Keyed {
			continue
		}
		if h := s.loadOf(name).hint.Load(); h != nil && h.latency > 0 {
			if byWorkload[t.Workload] == nil {
				byWorkload[t.Workload] = map[string]time.Duration{}
			}
			byWorkload[t.Workload][name] = h.latency
		}
	}
	slow := map[string]bool{}
	for _, latencies := range byWorkload {
		for name := range health.SlowOutliers(latencies, slowFactor) {
			slow[name] = true
		}
	}
	s.slow.Store(&slow)
}
