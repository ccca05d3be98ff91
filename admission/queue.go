package admission

import (
	"slices"
	"time"
)

// waiter is a request in the queue.
type waiter struct {
	id       uint64
	deadline time.Duration
	arrived  time.Duration
	cost     float64
}

// flow is the queue of one customer, in order of deadline.
type flow struct {
	customer string
	weight   float64
	// start is the tag of the next request, finish that of the last one
	// charged, both in virtual seconds.
	start, finish float64
	running       int
	waiters       []waiter
	// intervalEnd is the end of the present interval of waits, shortWait says
	// that one of them was short, overloadUntil is how long the customer's
	// queue counts as overloaded.
	intervalEnd   time.Duration
	shortWait     bool
	overloadUntil time.Duration
	// retryAt is the latest time to which a shed request was referred.
	retryAt time.Duration
}

// queue shares capacity between flows by start-time fair queueing.
type queue struct {
	flows   map[string]*flow
	active  []*flow
	where   map[uint64]*flow
	virtual float64
	credit  float64
	// latest is the highest finish tag.
	latest float64
	length int
}

func newQueue() queue {
	return queue{flows: map[string]*flow{}, where: map[uint64]*flow{}}
}

// maxIdleFlows is the number of flows from which idle ones are forgotten.
const maxIdleFlows = 1024

func (q *queue) flow(customer string, weight float64) *flow {
	f, ok := q.flows[customer]
	if !ok {
		if len(q.flows) >= maxIdleFlows {
			q.forgetIdle()
		}
		f = &flow{customer: customer}
		q.flows[customer] = f
	}
	f.weight = weight
	return f
}

func (q *queue) forgetIdle() {
	for name, f := range q.flows {
		if f.running == 0 && len(f.waiters) == 0 && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

func (q *queue) has(id uint64) bool {
	if q.length == 0 {
		return false
	}
	_, ok := q.where[id]
	return ok
}

func byDeadline(w waiter, deadline time.Duration) int {
	if w.deadline <= deadline {
		return -1
	}
	return 1
}

// position returns the number of the flow's waiters that go before a deadline.
func (f *flow) position(deadline time.Duration) int {
	n, _ := slices.BinarySearchFunc(f.waiters, deadline, byDeadline)
	return n
}

// burstCredit is the service, in mean service times, that a customer which was
// below its share may get before the others. Without it a customer with a
// small, uneven load waits for a flood of another one after each of its bursts.
const burstCredit = 8

// setService sets the mean service time in seconds.
func (q *queue) setService(mean float64) { q.credit = burstCredit * mean }

// floor returns the lowest start tag of a flow that begins to queue.
func (q *queue) floor(f *flow) float64 { return max(q.virtual-q.credit/f.weight, f.finish) }

func (q *queue) insert(f *flow, w waiter) {
	if len(f.waiters) == 0 {
		f.start = q.floor(f)
		q.active = append(q.active, f)
	}
	f.waiters = slices.Insert(f.waiters, f.position(w.deadline), w)
	q.where[w.id] = f
	q.length++
}

func (q *queue) removeAt(f *flow, i int) {
	delete(q.where, f.waiters[i].id)
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.length--
	if len(f.waiters) == 0 {
		i := slices.Index(q.active, f)
		q.active = slices.Delete(q.active, i, i+1)
	}
}

func (q *queue) remove(id uint64) bool {
	f, ok := q.where[id]
	if !ok {
		return false
	}
	q.removeAt(f, slices.IndexFunc(f.waiters, func(w waiter) bool { return w.id == id }))
	return true
}

// next returns the active flow with the lowest start tag, or nil.
func (q *queue) next() *flow {
	var best *flow
	for _, f := range q.active {
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

// charge accounts for the start of a request of f.
func (q *queue) charge(f *flow, cost float64) {
	start := f.start
	if len(f.waiters) == 0 {
		start = q.floor(f)
	}
	q.virtual = max(q.virtual, start)
	f.finish = start + cost/f.weight
	f.start = f.finish
	q.latest = max(q.latest, f.finish)
	f.running++
}

// idle moves the virtual time on when nothing runs or waits, so that no
// customer is held to what it used before.
func (q *queue) idle() { q.virtual = q.latest }

// maxCorrection limits the correction of a charge to a multiple of it, so that
// one request on a frozen target does not shut its customer out.
const maxCorrection = 8

// settle corrects the charge of a request by what it used.
func (q *queue) settle(r running, s Sample) {
	r.flow.running--
	diff := min(s.Latency.Seconds(), maxCorrection*r.charged) - r.charged
	if s.Outcome == OutcomeShed {
		diff = -r.charged
	}
	r.flow.finish += diff / r.flow.weight
	r.flow.start = max(r.flow.start+diff/r.flow.weight, q.virtual-q.credit/r.flow.weight)
	q.latest = max(q.latest, r.flow.finish)
}

// each calls keep for all waiters and removes those for which it is false.
func (q *queue) each(keep func(*flow, waiter) bool) {
	for i := len(q.active) - 1; i >= 0; i-- {
		f := q.active[i]
		for j := len(f.waiters) - 1; j >= 0; j-- {
			if !keep(f, f.waiters[j]) {
				q.removeAt(f, j)
			}
		}
	}
}

// share returns the part of the capacity that f gets while the present flows
// are in use, 0 to 1.
func (q *queue) share(f *flow) float64 {
	total := 0.0
	for _, g := range q.active {
		if g != f {
			total += g.weight
		}
	}
	return f.weight / (total + f.weight)
}
