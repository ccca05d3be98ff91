package placement

import (
	"slices"
	"time"
)

// Request is a request to be placed.
type Request struct {
	Workload string
	Route    string
	// Target is the owner of the request's key; empty when any target will do.
	Target string
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// Deadline is when the answer must be there.
	Deadline time.Duration
	// Objective is the latency aimed at; a likely failure is weighed with it.
	Objective time.Duration
	// ObjectiveDeadline is when the answer should be there, 0 when there is no objective.
	ObjectiveDeadline time.Duration
	// HasIdleConnection reports whether a connection to a target is open and idle.
	HasIdleConnection func(id string) bool
	// TriedTargets lists targets that must not be chosen again.
	TriedTargets []string
	// Random is a number from 0 to 1 that spreads equal choices.
	Random float64
}

// Action is the kind of a decision.
type Action uint8

// Actions.
const (
	Send Action = iota
	Wait
	Refuse
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNoTarget means that no target may get the request.
	ReasonNoTarget Reason = "no_target"
	// ReasonDeadline means that the request cannot end before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonObjective means that the work ahead would make the request late.
	ReasonObjective Reason = "objective"
	// ReasonFull means that too many requests wait.
	ReasonFull Reason = "queue_full"
)

// Decision answers a Request.
type Decision struct {
	Action Action
	// Target is the one to send to.
	Target string
	// Ticket names a waiting request.
	Ticket uint64
	Reason Reason
	// RetryAfter is when there will be room, for a refusal.
	RetryAfter time.Duration
}

// waiter is a request that waits.
type waiter struct {
	Request
	ticket uint64
}

// Submit decides about a new request.
func (b *Scheduler) Submit(now time.Duration, r Request) Decision {
	if !b.mustQueue(r) {
		if d := b.try(now, r); d.Action != Wait {
			return d
		}
	} else if ahead := b.ahead(now, r); hopeless(now, r, ahead, b.service(r.Route)) {
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: ahead}
	}
	if len(b.waiting) >= b.cfg.MaxWaiting {
		return Decision{Action: Refuse, Reason: ReasonFull, RetryAfter: b.drainTime(now, r)}
	}
	b.sequence++
	w := &waiter{Request: r, ticket: b.sequence}
	i, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, i, w)
	return Decision{Action: Wait, Ticket: w.ticket}
}

// mustQueue reports whether a request of the same target, or of the same
// workload without keys, waits that comes first.
func (b *Scheduler) mustQueue(r Request) bool {
	for _, w := range b.waiting {
		if w.Workload == r.Workload && w.Target == r.Target && w.Priority <= r.Priority {
			return true
		}
	}
	return false
}

func compareWaiters(a, b *waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.Deadline != b.Deadline {
		if a.Deadline < b.Deadline {
			return -1
		}
		return 1
	}
	return int(int64(a.ticket) - int64(b.ticket))
}

// Placed is the decision about a request that waited.
type Placed struct {
	Ticket uint64
	Decision
}

// Dispatch decides about waiting requests for which there is room, or which can
// no longer end in time.
func (b *Scheduler) Dispatch(now time.Duration) []Placed {
	var placed []Placed
	kept := b.waiting[:0]
	blocked := map[[2]string]bool{}
	for _, w := range b.waiting {
		key := [2]string{w.Workload, w.Target}
		if blocked[key] && now+b.least(w) <= w.Deadline {
			kept = append(kept, w)
			continue
		}
		d := b.try(now, w.Request)
		if d.Action == Wait {
			blocked[key] = true
			kept = append(kept, w)
			continue
		}
		placed = append(placed, Placed{Ticket: w.ticket, Decision: d})
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	return placed
}

// QueueLength returns the number of waiting requests.
func (b *Scheduler) QueueLength() int { return len(b.waiting) }

// Cancel removes a waiting request; it reports whether it still waited.
func (b *Scheduler) Cancel(ticket uint64) bool {
	i := slices.IndexFunc(b.waiting, func(w *waiter) bool { return w.ticket == ticket })
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	return true
}

// least returns the shortest time in which a waiting request could end.
func (b *Scheduler) least(w *waiter) time.Duration {
	return time.Duration(leastPart * b.service(w.Route) * float64(time.Second))
}

// leastPart is the part of the mean service time that a request is taken to need:
// with 0.6, one in seven requests to a hot target ended after its deadline.
const leastPart = 1.0

// try decides about a request by the present load, and counts it as sent when
// there is room.
func (b *Scheduler) try(now time.Duration, r Request) Decision {
	service := b.service(r.Route)
	var best *target
	bestCost := 0.0
	full := false
	soonest := -1.0
	for _, t := range b.candidates(r) {
		if !t.Usable || slices.Contains(r.TriedTargets, t.ID) {
			continue
		}
		if !b.coldRoom(now, t, r.Random) {
			full = full || r.Target != ""
			continue
		}
		wait := b.wait(now, t, service)
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
		if b.busy(now, t) >= b.limit(t) || now < t.closedUntil() {
			full = true
			continue
		}
		cost := b.cost(now, t, r, service, wait)
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	left := (r.Deadline - now).Seconds()
	switch {
	case b.late(now, r, service, soonest):
		return Decision{Action: Refuse, Reason: ReasonObjective, RetryAfter: b.relief(now, r, service, soonest)}
	case best != nil && b.wait(now, best, service)+leastPart*service > left:
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: seconds(soonest)}
	case best != nil:
		best.own++
		best.coldTokens--
		return Decision{Action: Send, Target: best.ID}
	case full && leastPart*service <= left && max(soonest, 0) < left:
		return Decision{Action: Wait}
	case full:
		return Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: seconds(max(soonest, service) * (1 + returnSpread*r.Random))}
	}
	return Decision{Action: Refuse, Reason: ReasonNoTarget, RetryAfter: seconds(service)}
}

// late reports whether the work ahead of a request, and not the request itself,
// makes it late: soonest is the shortest wait at a target that may get it. One that
// would be late without any work ahead may still go.
func (b *Scheduler) late(now time.Duration, r Request, service, soonest float64) bool {
	left := (r.ObjectiveDeadline - now).Seconds()
	return r.ObjectiveDeadline > 0 && soonest > 0 && service <= left && soonest+service > max(aimPart*left, service)
}

// aimPart is the part of the time to the objective that waiting and mean service
// may take: both vary, and hosts do not know of each other's sends.
const aimPart = 0.7

// relief returns the time until the work ahead is short enough for a request to
// be in time, or until the first target ends its pause. Callers who are refused
// together are told different times.
func (b *Scheduler) relief(now time.Duration, r Request, service, soonest float64) time.Duration {
	after := max(service, soonest+service-r.Objective.Seconds(), b.paused(now, r).Seconds())
	return seconds(after * (1 + returnSpread*r.Random))
}

// returnSpread is the part of the time until a caller may return that is added by
// chance.
const returnSpread = 0.2

// paused returns the time until the first target that may get a request ends the
// pause that it asked for, 0 when one has none.
func (b *Scheduler) paused(now time.Duration, r Request) time.Duration {
	least := time.Duration(-1)
	for _, t := range b.candidates(r) {
		if left := max(0, t.pausedUntil-now); t.Usable && (least < 0 || left < least) {
			least = left
		}
	}
	return max(0, least)
}

func (b *Scheduler) candidates(r Request) []*target {
	if r.Target == "" {
		return b.byWorkload[r.Workload]
	}
	if t := b.targets[r.Target]; t != nil {
		return []*target{t}
	}
	return nil
}

// spread is the part of the service time by which equal choices differ by
// chance, so that hosts with the same reports do not all choose the same target.
const spread = 0.15

// cost is the estimated time to an answer in seconds, with what a likely
// failure and another domain cost.
func (b *Scheduler) cost(now time.Duration, t *target, r Request, service, wait float64) float64 {
	cost := wait + service*t.slowness(now)
	cost += t.record.FailureRate(now) * 2 * max(r.Objective.Seconds(), service)
	if t.Domain != b.cfg.Domain {
		cost += b.cfg.CrossDomain.Seconds()
		if e := b.routes[r.Route]; e != nil {
			cost += b.cfg.CrossDomainKB.Seconds() * e.size
		}
	}
	if r.HasIdleConnection != nil && !r.HasIdleConnection(t.ID) {
		cost += b.cfg.NewConnection.Seconds()
	}
	return cost + spread*service*scatter(r.Random, t.ID)
}

// scatter returns a number from 0 to 1 that differs between targets.
func scatter(random float64, id string) float64 {
	h := uint64(random * (1 << 52))
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return float64(h>>11) / (1 << 53)
}

// coldRoom reports whether a target may get a request as far as its cold rate
// goes.
func (b *Scheduler) coldRoom(now time.Duration, t *target, random float64) bool {
	if now >= t.ColdUntil || t.ColdRate <= 0 {
		t.cold = false
		return true
	}
	if !t.cold {
		// A part of a request in hand, by chance: with a whole one on each host, a
		// target that turns cold gets as many requests at once as there are hosts.
		t.cold, t.coldTokens, t.coldAt = true, random, now
	}
	rate := t.ColdRate * b.cfg.ColdShare
	t.coldTokens = min(1, t.coldTokens+rate*(now-t.coldAt).Seconds())
	t.coldAt = now
	return t.coldTokens >= 1
}

// hopeless reports whether a request cannot end in time behind the work ahead of
// it, if that takes leastPart of the time expected.
func hopeless(now time.Duration, r Request, ahead time.Duration, service float64) bool {
	return leastPart*(ahead.Seconds()+service) > (r.Deadline - now).Seconds()
}

// ahead returns the time in which the work of a request's workload is done that
// comes before it: what is in the targets, and the waiting requests that are more
// urgent or have an earlier deadline.
func (b *Scheduler) ahead(now time.Duration, r Request) time.Duration {
	return b.workTime(now, r, func(w *waiter) bool { return compareWaiters(w, &waiter{Request: r, ticket: b.sequence + 1}) < 0 })
}

// drainTime returns the time after which the queue of a workload is worked off.
func (b *Scheduler) drainTime(now time.Duration, r Request) time.Duration {
	return b.workTime(now, r, func(*waiter) bool { return true })
}

// workTime returns the time for the work that is in the targets that a request
// may go to, and for the waiting requests of the same kind that count.
func (b *Scheduler) workTime(now time.Duration, r Request, counts func(*waiter) bool) time.Duration {
	slots, ahead := 0.0, 0.0
	for _, t := range b.candidates(r) {
		if t.Usable {
			slots += float64(max(t.Slots, 1))
			ahead += b.busy(now, t)
		}
	}
	for _, w := range b.waiting {
		if w.Workload == r.Workload && w.Target == r.Target && counts(w) {
			ahead++
		}
	}
	return seconds(ahead / max(slots, 1) * b.service(r.Route))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
