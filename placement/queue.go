package placement

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: for seconds more requests come than the targets bear. In the order of
// their deadlines all of them are answered late, since the ones that are served next are
// those that have waited longest. With Config.WaitWhenLate:
//
//   - Requests that can still meet their objective go before those that cannot, so that a
//     queue that has grown too long costs only the requests at its end their objective.
//   - While more late requests wait than overloadFactor for each slot, those with the most
//     time left go first. In the order of deadlines each would begin when it has just enough
//     time, and callers that came back after a refusal, who are late already, would take
//     the slots of new ones.
//
// docs/design/queue-order.md has the replays.

// poolKey identifies the requests that compete for the same targets.
type poolKey struct{ workload, target string }

func (r *Request) pool() poolKey { return poolKey{r.Workload, r.Target} }

// waiter is a waiting request.
type waiter struct {
	Request
	ticket      uint64
	submittedAt time.Duration
}

// waitQueue holds the waiting requests of a pool, both lists in the order of compareWaiters.
// late has those that can no longer meet their objective, where late requests wait.
type waitQueue struct{ waiters, late []*waiter }

// length returns the number of waiting requests.
func (q *waitQueue) length() int { return len(q.waiters) + len(q.late) }

const (
	// latePatience is the fraction of its time limit for which a request waits that can no
	// longer meet its objective. A caller that is refused then has half of its time left to come back.
	latePatience = 0.5
	// maxLikelyFraction bounds the time that a request needs for its objective, as a
	// fraction of it. Otherwise urgent requests whose objective is short for the service
	// times would never go first.
	maxLikelyFraction = 0.5
	// overloadFactor is the number of late requests for each slot beyond which the newest go
	// first. Fewer drain within about a service time, which is less than the objectives leave,
	// and in the order of deadlines more requests are in time after a short overload.
	overloadFactor = 1.5
)

// enqueue adds a waiting request and returns its ticket.
func (s *Scheduler) enqueue(now time.Duration, r Request) uint64 {
	s.lastTicket++
	w := &waiter{Request: r, ticket: s.lastTicket, submittedAt: now}
	q := s.queues[r.pool()]
	if q == nil {
		q = &waitQueue{}
		s.queues[r.pool()] = q
	}
	if s.isLate(now, &r) {
		q.late = insertWaiter(q.late, w)
	} else {
		q.waiters = insertWaiter(q.waiters, w)
	}
	s.queueLength++
	s.poolOfTicket[w.ticket] = r.pool()
	return w.ticket
}

// insertWaiter inserts a waiter into a list.
func insertWaiter(list []*waiter, w *waiter) []*waiter {
	i, _ := slices.BinarySearchFunc(list, w, compareWaiters)
	return slices.Insert(list, i, w)
}

// remove removes the waiter with an index from one of the lists of a pool.
func (s *Scheduler) remove(pool poolKey, q *waitQueue, list *[]*waiter, i int) {
	delete(s.poolOfTicket, (*list)[i].ticket)
	*list = slices.Delete(*list, i, i+1)
	s.queueLength--
	if q.length() == 0 {
		delete(s.queues, pool)
	}
}

func compareWaiters(a, b *waiter) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority) // a customer's priority may be any number
	}
	if a.Deadline != b.Deadline {
		if a.Deadline < b.Deadline {
			return -1
		}
		return 1
	}
	return int(int64(a.ticket) - int64(b.ticket))
}

// hasQueuedAhead reports whether a request waits that goes before r: in the same pool, with
// the same or a higher priority. Where late requests wait, one that is late is not ahead of
// one that is not.
func (s *Scheduler) hasQueuedAhead(now time.Duration, r Request) bool {
	q := s.queues[r.pool()]
	switch {
	case q == nil:
		return false
	case s.isLate(now, &r):
		return len(q.waiters) > 0 || q.late[0].Priority <= r.Priority
	}
	return len(q.waiters) > 0 && q.waiters[0].Priority <= r.Priority
}

// isLate reports whether a request is not likely to meet its objective, if late requests wait.
func (s *Scheduler) isLate(now time.Duration, r *Request) bool {
	if !s.cfg.WaitWhenLate || r.ObjectiveDeadline <= 0 {
		return false
	}
	return now+toDuration(s.timeToObjective(r, s.poolFactor(now, r.Target))) > r.ObjectiveDeadline
}

// poolFactor returns the service time at the target of a keyed request relative to that of
// its route.
func (s *Scheduler) poolFactor(now time.Duration, id string) float64 {
	if t := s.targets[id]; t != nil {
		return t.serviceFactor(now)
	}
	return 1
}

// timeToObjective returns the time in seconds that a request needs to meet its objective.
func (s *Scheduler) timeToObjective(r *Request, factor float64) float64 {
	need := s.likelyServiceTime(r.Route) * factor
	if r.Objective > 0 {
		need = min(need, maxLikelyFraction*r.Objective.Seconds())
	}
	return need
}

// moveLate moves the waiting requests of a pool that can no longer meet their objective.
func (s *Scheduler) moveLate(now time.Duration, pool poolKey, q *waitQueue) {
	if !s.cfg.WaitWhenLate {
		return
	}
	factor := s.poolFactor(now, pool.target)
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.ObjectiveDeadline > 0 && now+toDuration(s.timeToObjective(&w.Request, factor)) > w.ObjectiveDeadline {
			q.late = insertWaiter(q.late, w)
		} else {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// next returns the list and the index of the waiter that goes first, or -1. Where late
// requests wait, they go after the others. With newestFirst, the one of the most urgent with
// the most time left goes first.
func (q *waitQueue) next(newestFirst bool) (list *[]*waiter, i int) {
	if len(q.waiters) == 0 {
		return &q.late, min(0, len(q.late)-1)
	}
	if newestFirst {
		i, _ = slices.BinarySearchFunc(q.waiters, q.waiters[0].Priority+1, func(w *waiter, priority int) int { return w.Priority - priority })
		i--
	}
	return &q.waiters, i
}

// isOverloaded reports whether more late requests wait than overloadFactor times what the
// targets run at a time.
func (s *Scheduler) isOverloaded(pool poolKey, q *waitQueue) bool {
	if len(q.late) == 0 {
		return false
	}
	slots := 0
	for _, t := range s.candidates(&Request{Workload: pool.workload, Target: pool.target}) {
		if t.Usable {
			slots += max(t.Slots, 1)
		}
	}
	return float64(len(q.late)) > overloadFactor*float64(slots)
}

// QueuedDecision is the decision on a request that waited.
type QueuedDecision struct {
	Ticket uint64
	Decision
}

// Dispatch returns the decisions on the waiting requests for which a target has
// capacity, or which can no longer end in time.
func (s *Scheduler) Dispatch(now time.Duration) []QueuedDecision {
	var decisions []QueuedDecision
	for pool, q := range s.queues {
		decisions = s.dispatchPool(now, pool, q, decisions)
	}
	// Pools do not share targets, so that only the order of the decisions depends on the
	// order of the map.
	slices.SortFunc(decisions, func(a, b QueuedDecision) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
	return decisions
}

// DispatchPool is Dispatch for the requests that compete with r.
func (s *Scheduler) DispatchPool(now time.Duration, r Request) []QueuedDecision {
	q := s.queues[r.pool()]
	if q == nil {
		return nil
	}
	return s.dispatchPool(now, r.pool(), q, nil)
}

func (s *Scheduler) dispatchPool(now time.Duration, pool poolKey, q *waitQueue, decisions []QueuedDecision) []QueuedDecision {
	s.moveLate(now, pool, q)
	newestFirst := s.isOverloaded(pool, q)
	for list, i := q.next(newestFirst); i >= 0; list, i = q.next(newestFirst) {
		w := (*list)[i]
		d := s.decide(now, w.Request)
		if d.Action == Wait {
			break
		}
		s.remove(pool, q, list, i)
		decisions = append(decisions, QueuedDecision{Ticket: w.ticket, Decision: d})
	}
	decisions = s.refuseExpired(now, pool, q, &q.waiters, decisions)
	return s.refuseExpired(now, pool, q, &q.late, decisions)
}

// refuseExpired refuses the waiting requests in one of the lists of a pool that cannot end in
// time.
func (s *Scheduler) refuseExpired(now time.Duration, pool poolKey, q *waitQueue, list *[]*waiter, decisions []QueuedDecision) []QueuedDecision {
	for i := 0; i < len(*list); {
		w := (*list)[i]
		if now+s.minServiceTime(w) <= w.Deadline && (list != &q.late || !w.exhaustsPatience(now)) {
			i++
			continue
		}
		s.remove(pool, q, list, i)
		after := max(s.drainTime(now, w.Request), toDuration(s.meanServiceTime(w.Route)))
		after += time.Duration(retryJitter * w.Random * float64(after))
		decisions = append(decisions, QueuedDecision{Ticket: w.ticket, Decision: Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: after}})
	}
	return decisions
}

// exhaustsPatience reports whether a late request has waited for latePatience of its time.
func (w *waiter) exhaustsPatience(now time.Duration) bool {
	return now-w.submittedAt > time.Duration(latePatience*float64(w.Deadline-w.submittedAt))
}

// QueueLength returns the number of waiting requests.
func (s *Scheduler) QueueLength() int { return s.queueLength }

// Cancel removes a waiting request and reports whether it was still waiting.
func (s *Scheduler) Cancel(ticket uint64) bool {
	pool, ok := s.poolOfTicket[ticket]
	if !ok {
		return false
	}
	q := s.queues[pool]
	for _, list := range []*[]*waiter{&q.waiters, &q.late} {
		if i := slices.IndexFunc(*list, func(w *waiter) bool { return w.ticket == ticket }); i >= 0 {
			s.remove(pool, q, list, i)
			break
		}
	}
	return true
}

// minServiceTime returns the shortest time in which a waiting request can end.
func (s *Scheduler) minServiceTime(w *waiter) time.Duration {
	return time.Duration(minServiceFraction * s.meanServiceTime(w.Route) * float64(time.Second))
}
