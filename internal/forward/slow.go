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
	// workload at which unkeyed requests begin to avoid it.
	slowFactor = 3
	// slowTTL is how long a target is avoided after its latency was last reported.
	// After that it is tried again with one request at a time.
	slowTTL = 5 * time.Second
	// requestsPerSlowProbe is the average number of requests of which one goes to
	// any target, slow or not, so that a recovery is detected. One in 200 stays
	// below the 1 % that determine the p99.
	requestsPerSlowProbe = 200
)

// choices are the targets that an unkeyed request may go to.
type choices struct{ sameDomain, otherDomains []string }

// excludeSlow returns the targets of a workload without the slow ones, except
// those that mayProbe admits. It returns all targets if none would be left.
func (s *Server) excludeSlow(all *candidates, workload string) choices {
	sameDomain, otherDomains := all.sameDomain[workload], all.otherDomains[workload]
	slow := s.slowTargets.Load()
	if slow == nil || len(*slow) == 0 || rand.IntN(requestsPerSlowProbe) == 0 {
		return choices{sameDomain, otherDomains}
	}
	withoutSlow := func(names []string) []string {
		if !slices.ContainsFunc(names, func(n string) bool { return (*slow)[n] }) {
			return names
		}
		return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return (*slow)[n] && !s.mayProbe(n) })
	}
	out := choices{withoutSlow(sameDomain), withoutSlow(otherDomains)}
	if len(out.sameDomain)+len(out.otherDomains) == 0 {
		return choices{sameDomain, otherDomains}
	}
	return out
}

// mayProbe reports whether a slow target's latency was not reported for slowTTL
// and this host has no request in progress there.
func (s *Server) mayProbe(target string) bool {
	l := s.loadOf(target)
	h := l.hint.Load()
	return l.inFlight.Load() == 0 && (h == nil || time.Since(h.at) > slowTTL)
}

// updateSlowTargets compares the mean latencies, as last reported by their homes,
// of the targets of each unkeyed workload.
func (s *Server) updateSlowTargets(v *view.View) {
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
	s.slowTargets.Store(&slow)
}
