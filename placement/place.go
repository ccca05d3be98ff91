package placement

import (
	"cmp"
	"slices"
	"time"
)

// Request is a request to place on a target.
type Request struct {
	Workload string
	Route    string
	// Target is the owner of the request's key; if empty, any target may serve it.
	Target string
	// Domain is the failure domain of the host that sends the request. Default: that of
	// the scheduler.
	Domain string
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Deadline is when the response is due at the latest.
	Deadline time.Duration
	// Objective is the latency objective; it weights the expected cost of a failure.
	Objective time.Duration
	// ObjectiveDeadline is when the response is due to meet the objective, 0 without
	// an objective.
	ObjectiveDeadline time.Duration
	// HasIdleConnection reports whether the host has an idle connection to a target.
	HasIdleConnection func(id string) bool
	// SharedPool means that a coordinator places requests on the same targets, but did not
	// answer for this one.
	SharedPool bool
	// TriedTargets lists the targets that must not be chosen again.
	TriedTargets []string
	// Random is a number from 0 to 1 that spreads requests over equal targets and
	// callers' retries over time.
	Random float64
	// Affinity, if not 0, takes the place of Random in the choice among similar targets: with
	// the same value requests prefer the same ones.
	Affinity float64
}

// Action is what a Decision tells the caller to do with the request.
type Action uint8

// The actions of a Decision.
const (
	Send Action = iota
	Wait
	Refuse
)

// Reason tells why a request is refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonNoTarget means that no target may receive the request.
	ReasonNoTarget Reason = "no_target"
	// ReasonDeadline means that the request cannot end before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonObjective means that the work ahead would make the request miss its
	// latency objective.
	ReasonObjective Reason = "objective"
	// ReasonLimit means that the targets that may receive the request state limits and
	// no permit is available.
	ReasonLimit Reason = "limit"
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull Reason = "queue_full"
)

// Decision is the result of placing a Request.
type Decision struct {
	Action Action
	// Target is the ID of the target to send to.
	Target string
	// NeedsPermit means that the target states a limit: the request may be sent only
	// with a permit. Without one, the caller reports RecordPermitRefused and submits the
	// request again.
	NeedsPermit bool
	// Ticket identifies a waiting request.
	Ticket uint64
	Reason Reason
	// RetryAfter is the time after which the scheduler expects capacity, for a
	// refusal.
	RetryAfter time.Duration
}

// Submit decides on a new request.
func (s *Scheduler) Submit(now time.Duration, r Request) Decision {
	if !s.hasQueuedAhead(now, r) {
		if d := s.decide(now, r); d.Action != Wait {
			return d
		}
	} else if ahead := s.workAhead(now, r); missesDeadline(now, r, ahead, s.meanServiceTime(r.Route)) {
		if s.cfg.WaitWhenLate {
			ahead += time.Duration(retryJitter * r.Random * float64(ahead))
		}
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: ahead}
	}
	if s.queueLength >= s.cfg.MaxQueueLength {
		return Decision{Action: Refuse, Reason: ReasonQueueFull, RetryAfter: s.drainTime(now, r)}
	}
	return Decision{Action: Wait, Ticket: s.enqueue(now, r)}
}

// minServiceFraction is the fraction of the mean service time that a request is
// assumed to need. With 0.6, one in seven requests to a hot target ends after its
// deadline.
const minServiceFraction = 1.0

// maxBesideCoordinator is the number of requests that this host has in flight at a target whose
// slots a coordinator may be granting to others meanwhile.
const maxBesideCoordinator = 1

// decide decides on a request by the current load, and counts it as in flight if a
// target has capacity.
func (s *Scheduler) decide(now time.Duration, r Request) Decision {
	serviceTime := s.meanServiceTime(r.Route)
	var best *target
	bestCost := 0.0
	anyBusy := false
	shortestWait := -1.0
	permitAfter := time.Duration(-1)
	list := s.candidates(&r)
	next, stride, considered, full := 0, 1, 0, 0
	if s.cfg.AdaptivePace && len(list) > maxConsidered {
		next, stride = int(r.Random*float64(len(list)))%len(list), coprimeStride(len(list))
	}
	for range list {
		t := list[next]
		if next += stride; next >= len(list) {
			next -= len(list)
		}
		if !t.Usable || slices.Contains(r.TriedTargets, t.ID) {
			continue
		}
		if after, refused := t.withoutPermit(now); refused {
			if permitAfter < 0 || after < permitAfter {
				permitAfter = after
			}
			continue
		}
		if s.cfg.AdaptivePace && float64(t.inFlight) >= s.maxRequests(t) {
			// The shortest wait at a full pool is taken from some of its targets.
			anyBusy = true
			if full++; full > maxConsidered {
				continue
			}
		}
		if s.cfg.AdaptivePace {
			if !s.allowsPace(now, t, &r, serviceTime) {
				anyBusy = true
				continue
			}
		} else if !s.hasColdToken(now, t, r.Random) {
			anyBusy = anyBusy || r.Target != ""
			continue
		}
		load := s.estimatedLoad(now, t)
		wait := s.waitBehind(now, t, serviceTime, load)
		if shortestWait < 0 || wait < shortestWait {
			shortestWait = wait
		}
		if load >= s.requestLimit(now, t) || now < t.unavailableUntil() || r.SharedPool && t.inFlight >= maxBesideCoordinator {
			anyBusy = true
			continue
		}
		cost := s.cost(now, t, &r, serviceTime, wait)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
		if considered++; considered >= maxConsidered && s.cfg.AdaptivePace {
			break
		}
	}
	timeLeft := (r.Deadline - now).Seconds()
	switch {
	case s.missesObjective(now, r, serviceTime, shortestWait):
		return Decision{Action: Refuse, Reason: ReasonObjective, RetryAfter: s.objectiveRetryAfter(now, r, serviceTime, shortestWait)}
	case best != nil && s.estimatedWait(now, best, serviceTime)+minServiceFraction*serviceTime > timeLeft && !s.triesAgain(now, r, timeLeft):
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: toDuration(shortestWait)}
	case best != nil:
		best.inFlight++
		best.coldTokens--
		s.recordPaceSent(now, best, serviceTime, r.SharedPool)
		return Decision{Action: Send, Target: best.ID, NeedsPermit: best.RequestLimit > 0}
	case anyBusy && minServiceFraction*serviceTime <= timeLeft && max(shortestWait, 0) < timeLeft:
		return Decision{Action: Wait}
	case anyBusy:
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: toDuration(max(shortestWait, serviceTime) * (1 + retryJitter*r.Random))}
	}
	if permitAfter >= 0 {
		return Decision{Action: Refuse, Reason: ReasonLimit, RetryAfter: permitAfter}
	}
	return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: toDuration(serviceTime)}
}

// missesObjective reports whether the work ahead of a request makes it miss its
// latency objective. shortestWait is the shortest wait at a target that may receive
// it. A request that misses the objective without any work ahead may still be sent.
func (s *Scheduler) missesObjective(now time.Duration, r Request, serviceTime, shortestWait float64) bool {
	timeLeft := (r.ObjectiveDeadline - now).Seconds()
	return !s.cfg.WaitWhenLate && r.ObjectiveDeadline > 0 && shortestWait > 0 && serviceTime <= timeLeft && shortestWait+serviceTime > max(objectiveFraction*timeLeft, serviceTime)
}

// objectiveFraction is the fraction of the time left to the objective that the wait
// and the mean service time may use: both vary, and hosts do not know of each other's
// requests.
const objectiveFraction = 0.7

// objectiveRetryAfter returns the time until the work ahead is short enough for a
// request to meet its objective, or until the first target ends its pause. Jitter
// spreads the retries of callers that are refused together.
func (s *Scheduler) objectiveRetryAfter(now time.Duration, r Request, serviceTime, shortestWait float64) time.Duration {
	after := max(serviceTime, shortestWait+serviceTime-r.Objective.Seconds(), s.pauseRemaining(now, r).Seconds())
	return toDuration(after * (1 + retryJitter*r.Random))
}

// retryJitter is the largest fraction of a retry time that is added at random.
const retryJitter = 0.2

// pauseRemaining returns the time until the first target that may receive a request
// ends the pause that it asked for, 0 if one of them is not paused.
func (s *Scheduler) pauseRemaining(now time.Duration, r Request) time.Duration {
	shortest := time.Duration(-1)
	for _, t := range s.candidates(&r) {
		if remaining := max(0, t.pausedUntil-now); t.Usable && (shortest < 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return max(0, shortest)
}

func (s *Scheduler) candidates(r *Request) []*target {
	if r.Target == "" {
		return s.targetsByWorkload[r.Workload]
	}
	if t := s.targets[r.Target]; t != nil {
		return t.self[:]
	}
	return nil
}

// costJitter is the largest fraction of the service time that is added to the cost of
// a target at random, so that hosts with the same reports do not all choose the same
// target.
const costJitter = 0.15

// cost returns the estimated time to a response in seconds, plus the costs of the
// expected failures, of another failure domain and of a new connection.
func (s *Scheduler) cost(now time.Duration, t *target, r *Request, serviceTime, wait float64) float64 {
	cost := wait + serviceTime*t.serviceFactor(now)
	cost += t.stats.FailureRate(now) * 2 * max(r.Objective.Seconds(), serviceTime)
	if domain := cmp.Or(r.Domain, s.cfg.Domain); t.Domain != domain {
		cost += s.cfg.CrossDomainCost.Seconds()
		if e := s.routeEstimates[r.Route]; e != nil {
			cost += s.cfg.CrossDomainCostPerKB.Seconds() * e.responseKB
		}
	}
	if r.HasIdleConnection != nil && !r.HasIdleConnection(t.ID) {
		cost += s.cfg.NewConnectionCost.Seconds()
	}
	return cost + costJitter*serviceTime*hashFraction(cmp.Or(r.Affinity, r.Random), t.ID)
}

// hashFraction returns a number from 0 to 1 that depends on random and on the target.
func hashFraction(random float64, id string) float64 {
	h := uint64(random * (1 << 52))
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return float64(h>>11) / (1 << 53)
}

// hasColdToken reports whether the cold rate of a target permits a request.
func (s *Scheduler) hasColdToken(now time.Duration, t *target, random float64) bool {
	if now >= t.ColdUntil || t.ColdRate <= 0 {
		t.wasCold = false
		return true
	}
	if !t.wasCold {
		// Start with a random fraction of a token: with a whole one on each host, a
		// target that turns cold receives as many requests at once as there are hosts.
		t.wasCold, t.coldTokens, t.coldTokensAt = true, random, now
	}
	rate := t.ColdRate * s.cfg.ColdRateShare
	t.coldTokens = min(1, t.coldTokens+rate*(now-t.coldTokensAt).Seconds())
	t.coldTokensAt = now
	return t.coldTokens >= 1
}

// missesDeadline reports whether a request cannot end before its deadline if the work
// ahead and the request take minServiceFraction of the expected time.
func missesDeadline(now time.Duration, r Request, ahead time.Duration, serviceTime float64) bool {
	return minServiceFraction*(ahead.Seconds()+serviceTime) > (r.Deadline - now).Seconds()
}

// workAhead returns the expected time for the work that precedes a request: the load
// of the targets that may receive it, and the waiting requests for the same workload
// and target that have a higher priority or, with the same, an earlier deadline.
func (s *Scheduler) workAhead(now time.Duration, r Request) time.Duration {
	self, late := &waiter{Request: r, ticket: s.lastTicket + 1}, s.isLate(now, &r)
	waiting := 0
	if q := s.queues[r.pool()]; q != nil {
		list := q.waiters
		if late {
			waiting, list = len(list), q.late
		}
		i, _ := slices.BinarySearchFunc(list, self, compareWaiters)
		waiting += i
	}
	return s.workTime(now, r, waiting)
}

// drainTime returns the expected time for all work that competes with a request.
func (s *Scheduler) drainTime(now time.Duration, r Request) time.Duration {
	waiting := 0
	if q := s.queues[r.pool()]; q != nil {
		waiting = q.length()
	}
	return s.workTime(now, r, waiting)
}

// workTime returns the expected time for the load of the targets that may receive a
// request, and for a number of waiting requests.
func (s *Scheduler) workTime(now time.Duration, r Request, waiting int) time.Duration {
	slots, requests := 0.0, float64(waiting)
	for _, t := range s.candidates(&r) {
		if t.Usable {
			slots += float64(max(t.Slots, 1))
			requests += s.estimatedLoad(now, t)
		}
	}
	return toDuration(requests / max(slots, 1) * s.meanServiceTime(r.Route))
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
