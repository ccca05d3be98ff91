package placement

import (
	"slices"
	"time"
)

// Load pattern: for seconds more requests come than the targets bear. In the order of
// their deadlines all of them are answered late, since the ones that are served next are
// those that have waited longest. With Config.WaitWhenLate, requests that can still meet
// their objective go before those that cannot, so that a queue that has grown too long
// costs only the requests at its end their objective.

// poolKey identifies the requests that compete for the same targets.
type poolKey struct{ workload, target string }

func (r *Request) pool() poolKey { return poolKey{r.Workload, r.Target} }

// waiter is a waiting request.
type waiter struct {
	Request
	ticket      uint64
	submittedAt time.Duration
}

// waitQueue holds the waiting requests of a pool in the order of compareWaiters.
type waitQueue struct{ waiters []*waiter }

// latePatience is the fraction of its time limit for which a request waits that can no
// longer meet its objective. A caller that is refused then has time to come back.
const latePatience = 0.5

// enqueue adds a waiting request and returns its ticket.
func (s *Scheduler) enqueue(now time.Duration, r Request) uint64 {
	s.lastTicket++
	w := &waiter{Request: r, ticket: s.lastTicket, submittedAt: now}
	q := s.queues[r.pool()]
	if q == nil {
		q = &waitQueue{}
		s.queues[r.pool()] = q
	}
	i, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, i, w)
	s.queueLength++
	s.poolOfTicket[w.ticket] = r.pool()
	return w.ticket
}

// remove removes the waiter with an index from the queue of a pool.
func (s *Scheduler) remove(pool poolKey, q *waitQueue, i int) {
	delete(s.poolOfTicket, q.waiters[i].ticket)
	q.waiters = slices.Delete(q.waiters, i, i+1)
	s.queueLength--
	if len(q.waiters) == 0 {
		delete(s.queues, pool)
	}
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

// hasQueuedAhead reports whether a request waits that goes before r: in the same pool, with
// the same or a higher priority. Where late requests wait, one that is late is not ahead of
// one that is not.
func (s *Scheduler) hasQueuedAhead(now time.Duration, r Request) bool {
	q := s.queues[r.pool()]
	if q == nil {
		return false
	}
	late := s.isLate(now, &r)
	for _, w := range q.waiters {
		if w.Priority <= r.Priority && (late || !s.isLate(now, &w.Request)) || late && !s.isLate(now, &w.Request) {
			return true
		}
	}
	return false
}

// isLate reports whether a request can no longer meet its objective, if late requests wait.
func (s *Scheduler) isLate(now time.Duration, r *Request) bool {
	if !s.cfg.WaitWhenLate || r.ObjectiveDeadline <= 0 {
		return false
	}
	serviceTime := s.meanServiceTime(r.Route)
	if t := s.targets[r.Target]; t != nil {
		serviceTime *= t.serviceFactor(now)
	}
	return now+toDuration(serviceTime) > r.ObjectiveDeadline
}

// next returns the index of the waiter that goes first, or -1. Where late requests wait, the
// first one that is not late goes first.
func (s *Scheduler) next(now time.Duration, q *waitQueue) int {
	if s.cfg.WaitWhenLate {
		for i, w := range q.waiters {
			if !s.isLate(now, &w.Request) {
				return i
			}
		}
	}
	if len(q.waiters) == 0 {
		return -1
	}
	return 0
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
	for i := s.next(now, q); i >= 0; i = s.next(now, q) {
		w := q.waiters[i]
		d := s.decide(now, w.Request)
		if d.Action == Wait {
			break
		}
		s.remove(pool, q, i)
		decisions = append(decisions, QueuedDecision{Ticket: w.ticket, Decision: d})
	}
	return s.refuseExpired(now, pool, q, decisions)
}

// refuseExpired refuses the waiting requests that cannot end in time.
func (s *Scheduler) refuseExpired(now time.Duration, pool poolKey, q *waitQueue, decisions []QueuedDecision) []QueuedDecision {
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		if now+s.minServiceTime(w) <= w.Deadline && !s.exhaustsPatience(now, w) {
			i++
			continue
		}
		s.remove(pool, q, i)
		after := max(s.drainTime(now, w.Request), toDuration(s.meanServiceTime(w.Route)))
		after += time.Duration(retryJitter * w.Random * float64(after))
		decisions = append(decisions, QueuedDecision{Ticket: w.ticket, Decision: Decision{Action: Refuse, Reason: ReasonDeadline, RetryAfter: after}})
	}
	return decisions
}

// exhaustsPatience reports whether a late request has waited for latePatience of its time.
func (s *Scheduler) exhaustsPatience(now time.Duration, w *waiter) bool {
	return s.cfg.WaitWhenLate && s.isLate(now, &w.Request) && now-w.submittedAt > time.Duration(latePatience*float64(w.Deadline-w.submittedAt))
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
	s.remove(pool, q, slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.ticket == ticket }))
	return true
}

// minServiceTime returns the shortest time in which a waiting request can end.
func (s *Scheduler) minServiceTime(w *waiter) time.Duration {
	return time.Duration(minServiceFraction * s.meanServiceTime(w.Route) * float64(time.Second))
}
