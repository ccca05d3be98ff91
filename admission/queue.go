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
	// startTag is the start tag of the next request, finishTag the finish tag
	// of the last one charged, both in virtual seconds.
	startTag, finishTag float64
	running             int
	waiters             []waiter
	// intervalEnd is the end of the current interval for the overload state,
	// hadShortWait is set when a wait in it was short, and overloadUntil is when
	// the customer's queue no longer counts as overloaded.
	intervalEnd   time.Duration
	hadShortWait  bool
	overloadUntil time.Duration
	// retryAt is the earliest retry time of the next shed request.
	retryAt time.Duration
}

// queue shares capacity between flows by start-time fair queueing.
type queue struct {
	flows         map[string]*flow
	activeFlows   []*flow
	flowByRequest map[uint64]*flow
	// vtime is the virtual time, credit burstCredit in seconds of service.
	vtime  float64
	credit float64
	// maxFinishTag is the highest finish tag of all flows.
	maxFinishTag float64
	length       int
}

func newQueue() queue {
	return queue{flows: map[string]*flow{}, flowByRequest: map[uint64]*flow{}}
}

// flowEvictionThreshold is the number of flows at which idle ones are evicted
// before a flow is added.
const flowEvictionThreshold = 1024

func (q *queue) flow(customer string, weight float64) *flow {
	f, ok := q.flows[customer]
	if !ok {
		if len(q.flows) >= flowEvictionThreshold {
			q.evictIdleFlows()
		}
		f = &flow{customer: customer}
		q.flows[customer] = f
	}
	f.weight = weight
	return f
}

func (q *queue) evictIdleFlows() {
	for name, f := range q.flows {
		if f.running == 0 && len(f.waiters) == 0 && f.finishTag <= q.vtime {
			delete(q.flows, name)
		}
	}
}

func (q *queue) contains(id uint64) bool {
	if q.length == 0 {
		return false
	}
	_, ok := q.flowByRequest[id]
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

// burstCredit is the service, in mean service times, that a customer that was
// below its share may get before the others. Without it, a customer with a
// small, uneven load waits behind another one's flood after each of its bursts.
const burstCredit = 8

// setMeanServiceTime sets the mean service time in seconds.
func (q *queue) setMeanServiceTime(mean float64) { q.credit = burstCredit * mean }

// minStartTag returns the lowest start tag of a flow whose queue was empty.
func (q *queue) minStartTag(f *flow) float64 { return max(q.vtime-q.credit/f.weight, f.finishTag) }

func (q *queue) insert(f *flow, w waiter) {
	if len(f.waiters) == 0 {
		f.startTag = q.minStartTag(f)
		q.activeFlows = append(q.activeFlows, f)
	}
	f.waiters = slices.Insert(f.waiters, f.position(w.deadline), w)
	q.flowByRequest[w.id] = f
	q.length++
}

func (q *queue) removeAt(f *flow, i int) {
	delete(q.flowByRequest, f.waiters[i].id)
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.length--
	if len(f.waiters) == 0 {
		i := slices.Index(q.activeFlows, f)
		q.activeFlows = slices.Delete(q.activeFlows, i, i+1)
	}
}

func (q *queue) remove(id uint64) bool {
	f, ok := q.flowByRequest[id]
	if !ok {
		return false
	}
	q.removeAt(f, slices.IndexFunc(f.waiters, func(w waiter) bool { return w.id == id }))
	return true
}

// nextFlow returns the active flow with the lowest start tag, or nil.
func (q *queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.activeFlows {
		if best == nil || f.startTag < best.startTag {
			best = f
		}
	}
	return best
}

// charge charges f for the start of a request with its cost in seconds.
func (q *queue) charge(f *flow, cost float64) {
	start := f.startTag
	if len(f.waiters) == 0 {
		start = q.minStartTag(f)
	}
	q.vtime = max(q.vtime, start)
	f.finishTag = start + cost/f.weight
	f.startTag = f.finishTag
	q.maxFinishTag = max(q.maxFinishTag, f.finishTag)
	f.running++
}

// advanceVirtualTime moves the virtual time to the highest finish tag. It is
// called when nothing runs or waits, so that earlier use does not count against
// a customer.
func (q *queue) advanceVirtualTime() { q.vtime = q.maxFinishTag }

// maxCorrection limits the correction of a charge to a multiple of it, so that
// one request on a frozen target does not starve its customer.
const maxCorrection = 8

// correctCharge corrects the charge of a completed request by its latency. A
// request that the target refused is not charged.
func (q *queue) correctCharge(r runningRequest, s Sample) {
	r.flow.running--
	diff := min(s.Latency.Seconds(), maxCorrection*r.chargedSeconds) - r.chargedSeconds
	if s.Outcome == OutcomeShed {
		diff = -r.chargedSeconds
	}
	r.flow.finishTag += diff / r.flow.weight
	r.flow.startTag = max(r.flow.startTag+diff/r.flow.weight, q.vtime-q.credit/r.flow.weight)
	q.maxFinishTag = max(q.maxFinishTag, r.flow.finishTag)
}

// retain calls keep for all waiters and removes those for which it returns
// false.
func (q *queue) retain(keep func(*flow, waiter) bool) {
	for i := len(q.activeFlows) - 1; i >= 0; i-- {
		f := q.activeFlows[i]
		for j := len(f.waiters) - 1; j >= 0; j-- {
			if !keep(f, f.waiters[j]) {
				q.removeAt(f, j)
			}
		}
	}
}

// share returns the fraction of the capacity that f gets while the currently
// active flows have waiters, 0 to 1.
func (q *queue) share(f *flow) float64 {
	total := 0.0
	for _, g := range q.activeFlows {
		if g != f {
			total += g.weight
		}
	}
	return f.weight / (total + f.weight)
}
