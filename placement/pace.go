package placement

import (
	"time"

	"github.com/boragelock/boragelock/pace"
)

// maxConsidered is the number of targets with room from which the best is chosen with
// Config.AdaptivePace. A decision over 619 targets takes 55 us, which hosts with an eighth of a
// core cannot spend on each request.
const maxConsidered = 24

// coprimeStride returns a step that visits each of n targets once, in an order that has
// little to do with that of their IDs: targets of one domain have similar IDs.
func coprimeStride(n int) int {
	for step := int(0.618 * float64(n)); step > 1; step-- {
		if gcd(step, n) == 1 {
			return step
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// maxRequests is the number of requests, of all hosts, that a target is sent at the most.
func (s *Scheduler) maxRequests(t *target) float64 {
	return s.cfg.MaxRequestsPerSlot * float64(max(t.Slots, 1))
}

// maxPaceSlowdown bounds the usual slowdown of a target: one that has become slow is not
// taken to be usually so.
const maxPaceSlowdown = 2

// besideCoordinator is the part of this host's share of a cold rate that it uses while a
// coordinator places requests as well. A host that is cut off does not know whether the
// coordinator runs; together they stay below the 1.5 times that a cold target bears.
const besideCoordinator = 0.45

func (s *Scheduler) paceParams(t *target, serviceTime float64, sharedPool bool) pace.Params {
	share := s.cfg.ColdRateShare
	if sharedPool {
		share *= besideCoordinator
	}
	return pace.Params{
		Full: s.maxRequests(t), Expected: toDuration(serviceTime * min(max(t.stats.LastSlowdown(), 1), maxPaceSlowdown)), Share: share,
		ColdUntil: t.ColdUntil, ColdRate: t.ColdRate,
	}
}

// allowsPace reports whether the pace of a target permits a request. The load is compared
// with requestLimit.
func (s *Scheduler) allowsPace(now time.Duration, t *target, r *Request, serviceTime float64) bool {
	if !t.pace.Started() {
		t.pace.Start(now, hashFraction(r.Random, t.ID))
	}
	x := s.paceParams(t, serviceTime, r.SharedPool)
	return t.pace.Allows(now, &x)
}

// recordPaceSent records a request to a target.
func (s *Scheduler) recordPaceSent(now time.Duration, t *target, serviceTime float64, sharedPool bool) {
	if s.cfg.AdaptivePace {
		if !t.pace.Started() {
			// Placed by a coordinator; the clocks of the hosts differ and spread the tokens.
			t.pace.Start(now, float64(now%time.Millisecond)/float64(time.Millisecond))
		}
		x := s.paceParams(t, serviceTime, sharedPool)
		// A request that waits at the target for others is not overdue before its turn.
		x.Expected += toDuration(s.estimatedWait(now, t, serviceTime))
		t.pace.Sent(now, &x)
	}
}

// recordPace records the end of a request for the target's pace, before the outcome changes
// its usual service time.
func (s *Scheduler) recordPace(now time.Duration, t *target, outcome Outcome) {
	if !s.cfg.AdaptivePace {
		return
	}
	x := s.paceParams(t, s.meanServiceTime(outcome.Route), false)
	result := paceResult(outcome, x.Expected)
	load := 0
	if outcome.Load != nil {
		load = outcome.Load.Running
	}
	if t.pace.Ended(now, &x, result, load) {
		s.paceStats.count(result)
	}
}

// paceResult classifies an outcome. A response is expected to take longer by the work that
// waits at the target, and by what slows its machine at the moment. A reset after a request
// was sent is more often a lost response than a full target.
func paceResult(outcome Outcome, expected time.Duration) pace.Result {
	if outcome.Load != nil && outcome.Load.Slots > 0 {
		expected += expected * time.Duration(outcome.Load.Waiting) / time.Duration(outcome.Load.Slots)
	}
	if outcome.Load != nil && outcome.Load.Slowdown > 1 {
		expected = time.Duration(float64(expected) * outcome.Load.Slowdown)
	}
	switch {
	case outcome.Shed:
		return pace.Shed
	case outcome.Failed || outcome.Unreachable || outcome.ConnectionReset:
		return pace.Failed
	case outcome.ResponseTime <= 0:
		return pace.Unknown
	case outcome.ResponseTime >= pace.SlowFactor*expected:
		return pace.Slow
	}
	return pace.Good
}

// PaceStats counts the falls of targets' limits by the response that caused them.
type PaceStats struct{ Shed, Slow, Failed uint64 }

func (c *PaceStats) count(result pace.Result) {
	switch result {
	case pace.Shed:
		c.Shed++
	case pace.Slow:
		c.Slow++
	case pace.Failed:
		c.Failed++
	}
}

// PaceStats returns the counts since the start.
func (s *Scheduler) PaceStats() PaceStats { return s.paceStats }

// Pace returns the pace of a target for requests of a route. Without Config.AdaptivePace, or for an unknown target, ok is false.
func (s *Scheduler) Pace(now time.Duration, id, route string) (state pace.State, ok bool) {
	t := s.targets[id]
	if t == nil || !s.cfg.AdaptivePace || !t.pace.Started() {
		return pace.State{}, false
	}
	x := s.paceParams(t, s.meanServiceTime(route), false)
	return t.pace.State(now, &x), true
}
