package admission

import (
	"slices"
	"time"
)

// estimateWait estimates the time until a request at position pos of f starts.
func (l *Limiter) estimateWait(f *flow, pos int) time.Duration {
	startInterval := l.serviceTime.meanSeconds / float64(l.Limit())
	fairShareWait := float64(pos+1) * startInterval / l.queue.share(f)
	fullQueueWait := float64(l.queue.length+1) * startInterval
	return seconds(l.stallSeconds + min(fairShareWait, fullQueueWait))
}

// stallFactor is the number of mean service times after which, if no slot has
// become free, the mean no longer serves as the estimate of the time to the next
// one.
const stallFactor = 3

// measureStall measures how long all slots have been in use without a change,
// since a frozen target yields no samples. The time without a response is then
// the estimate of the time until the next one.
func (l *Limiter) measureStall(now time.Duration) {
	l.stallSeconds = 0
	if len(l.running) < l.Limit() {
		return
	}
	lastStart := time.Duration(0)
	for _, r := range l.running {
		lastStart = max(lastStart, r.started)
	}
	if s := (now - lastStart).Seconds(); s > stallFactor*l.serviceTime.meanSeconds {
		l.stallSeconds = s
	}
}

// newCustomerWait estimates the wait of a customer without waiting requests.
func (l *Limiter) newCustomerWait(now time.Duration) time.Duration {
	if l.queue.length == 0 && l.freeSlots(now) > 0 {
		return 0
	}
	return l.estimateWait(&flow{weight: 1}, 0)
}

// maxWait returns the longest wait at which a request may join f's queue, and
// the reason for shedding it when the estimate is longer.
func (l *Limiter) maxWait(now time.Duration, f *flow, deadline time.Duration, cost float64) (time.Duration, Reason) {
	slack := deadline - now - l.serviceTime.lowEstimate(cost)
	limit := time.Duration(float64(slack) * l.cfg.SlackShare)
	if now < f.overloadUntil {
		if o := l.overloadMaxWait(); o < limit {
			return o, ReasonOverload
		}
	}
	return limit, ReasonDeadline
}

func (l *Limiter) overloadMaxWait() time.Duration {
	return max(l.cfg.OverloadWait, 2*l.serviceTime.mean())
}

// enqueue puts a request into the queue or sheds it.
func (l *Limiter) enqueue(now time.Duration, f *flow, r Request) Decision {
	l.measureStall(now)
	pos := f.position(r.Deadline)
	wait := l.estimateWait(f, pos)
	if maxWait, reason := l.maxWait(now, f, r.Deadline, r.Cost); wait > maxWait {
		if reason == ReasonOverload {
			f.overloadUntil = now + l.cfg.OverloadInterval
		}
		return l.shed(reason, l.nextRetryAfter(now, f, wait-max(0, maxWait)))
	}
	if l.queue.length >= l.cfg.MaxQueue && !l.evict(now, f) {
		return l.shed(ReasonQueueFull, l.nextRetryAfter(now, f, wait/2))
	}
	if l.queue.length == 0 {
		l.reviewedAt = now
	}
	l.queue.insert(f, waiter{id: r.ID, deadline: r.Deadline, arrived: now, cost: r.Cost})
	return Decision{Verdict: Wait}
}

// evict sheds the last waiter of the flow that uses most of the queue in
// relation to its weight. It returns false if that is the arriving flow.
func (l *Limiter) evict(now time.Duration, arriving *flow) bool {
	usage := func(f *flow, extra int) float64 { return float64(len(f.waiters)+extra) / f.weight }
	largest, largestUsage := arriving, usage(arriving, 1)
	for _, f := range l.queue.activeFlows {
		if u := usage(f, 0); f != arriving && u > largestUsage {
			largest, largestUsage = f, u
		}
	}
	if largest == arriving {
		return false
	}
	last := len(largest.waiters) - 1
	id, wait := largest.waiters[last].id, l.estimateWait(largest, last)
	l.queue.removeAt(largest, last)
	l.notify(id, l.shed(ReasonQueueFull, l.nextRetryAfter(now, largest, wait/2)))
	return true
}

// nextRetryAfter returns the time after which a shed request would be queued,
// given that the queue has capacity after the given time. Requests shed one
// after the other get successive retry times, at the rate at which the
// customer's requests are served, so that they are not retried together.
func (l *Limiter) nextRetryAfter(now time.Duration, f *flow, after time.Duration) time.Duration {
	at := max(now+after, f.retryAt)
	f.retryAt = min(at+seconds(l.serviceTime.meanSeconds/float64(l.Limit())/l.queue.share(f)), now+l.cfg.MaxRetryAfter)
	return at - now
}

// dispatch starts waiting requests while slots are free.
func (l *Limiter) dispatch(now time.Duration) {
	for l.queue.length > 0 && l.freeSlots(now) > 0 {
		f := l.queue.nextFlow()
		w := f.waiters[0]
		f.updateOverload(now, now-w.arrived, l.overloadMaxWait(), l.cfg.OverloadInterval)
		if now+l.serviceTime.lowEstimate(w.cost) > w.deadline && l.totalInFlight() > 0 || now >= w.deadline {
			l.queue.removeAt(f, 0)
			l.notify(w.id, l.shed(ReasonDeadline, l.nextRetryAfter(now, f, l.estimateWait(f, len(f.waiters)))))
			continue
		}
		l.startRequest(now, f, w.id, w.cost)
		l.queue.removeAt(f, 0)
		l.notify(w.id, Decision{Verdict: Run})
	}
}

// updateOverload updates the overload state with the wait of a request that
// leaves the queue. The state begins when no wait in an interval was below
// maxWait, and lasts until no request has been shed for it for an interval:
// waits are short while it lasts, so they cannot end it.
func (f *flow) updateOverload(now, waited, maxWait, interval time.Duration) {
	if waited < maxWait {
		f.hadShortWait = true
	}
	if now < f.intervalEnd {
		return
	}
	if f.intervalEnd > 0 && !f.hadShortWait && now < f.intervalEnd+interval {
		f.overloadUntil = now + interval
	}
	f.hadShortWait = waited < maxWait
	f.intervalEnd = now + interval
}

// review sheds the waiting requests that cannot meet their deadlines by the
// current estimates.
func (l *Limiter) review(now time.Duration) {
	l.measureStall(now)
	l.reviewedAt = now
	for _, f := range slices.Clone(l.queue.activeFlows) {
		for i := 0; i < len(f.waiters); {
			w := f.waiters[i]
			start := now + l.estimateWait(f, i)
			if i == 0 {
				start = now + seconds(l.stallSeconds)
			}
			if start+l.serviceTime.lowEstimate(w.cost) < w.deadline {
				i++
				continue
			}
			l.queue.removeAt(f, i)
			l.notify(w.id, l.shed(ReasonDeadline, l.nextRetryAfter(now, f, l.estimateWait(f, len(f.waiters)))))
		}
	}
}
