package admission

import (
	"slices"
	"time"
)

// wait estimates the time until a request at position pos of f starts.
func (l *Limiter) wait(f *flow, pos int) time.Duration {
	perSlot := l.service.avg / float64(l.Limit())
	fair := float64(pos+1) * perSlot / l.queue.share(f)
	all := float64(l.queue.length+1) * perSlot
	return seconds(l.stalled + min(fair, all))
}

// stallFactor is the number of mean service times for which no slot has become
// free, from which the mean is no longer taken for the time to the next one.
const stallFactor = 3

// measureStall finds out how long all slots have been in use without a change:
// a target that is frozen gives no samples. The time that has passed without an
// answer is then the estimate of the time until the next one.
func (l *Limiter) measureStall(now time.Duration) {
	l.stalled = 0
	if len(l.running) < l.Limit() {
		return
	}
	last := time.Duration(0)
	for _, r := range l.running {
		last = max(last, r.started)
	}
	if s := (now - last).Seconds(); s > stallFactor*l.service.avg {
		l.stalled = s
	}
}

// freeWait estimates the wait of a customer that has nothing in the queue.
func (l *Limiter) freeWait(now time.Duration) time.Duration {
	if l.queue.length == 0 && l.free(now) > 0 {
		return 0
	}
	return l.wait(&flow{weight: 1}, 0)
}

// allowed returns the longest wait at which a request may join f's queue, and
// the reason for shedding it when the estimate is longer.
func (l *Limiter) allowed(now time.Duration, f *flow, deadline time.Duration, cost float64) (time.Duration, Reason) {
	slack := deadline - now - l.service.likely(cost)
	limit := time.Duration(float64(slack) * l.cfg.SlackShare)
	if now < f.overloadUntil {
		if o := l.overloadWait(); o < limit {
			return o, ReasonOverload
		}
	}
	return limit, ReasonDeadline
}

func (l *Limiter) overloadWait() time.Duration {
	return max(l.cfg.OverloadWait, 2*l.service.mean())
}

// enqueue puts a request into the queue or sheds it.
func (l *Limiter) enqueue(now time.Duration, f *flow, r Request) Decision {
	l.measureStall(now)
	pos := f.position(r.Deadline)
	wait := l.wait(f, pos)
	if allowed, reason := l.allowed(now, f, r.Deadline, r.Cost); wait > allowed {
		if reason == ReasonOverload {
			f.overloadUntil = now + l.cfg.OverloadInterval
		}
		return l.shed(reason, l.refer(now, f, wait-max(0, allowed)))
	}
	if l.queue.length >= l.cfg.MaxQueue && !l.evict(now, f) {
		return l.shed(ReasonQueueFull, l.refer(now, f, wait/2))
	}
	if l.queue.length == 0 {
		l.reviewed = now
	}
	l.queue.insert(f, waiter{id: r.ID, deadline: r.Deadline, arrived: now, cost: r.Cost})
	return Decision{Verdict: Wait}
}

// evict sheds the last waiter of the flow that uses most of the queue by
// weight, unless that is the arriving flow.
func (l *Limiter) evict(now time.Duration, arriving *flow) bool {
	use := func(f *flow, extra int) float64 { return float64(len(f.waiters)+extra) / f.weight }
	worst, most := arriving, use(arriving, 1)
	for _, f := range l.queue.active {
		if u := use(f, 0); f != arriving && u > most {
			worst, most = f, u
		}
	}
	if worst == arriving {
		return false
	}
	last := len(worst.waiters) - 1
	id, wait := worst.waiters[last].id, l.wait(worst, last)
	l.queue.removeAt(worst, last)
	l.notify(id, l.shed(ReasonQueueFull, l.refer(now, worst, wait/2)))
	return true
}

// refer returns the time after which a shed request would be queued, when the
// queue has room in after. Requests shed one after the other are referred to
// successive times, at the rate at which the customer's requests are served,
// so that they do not come back together.
func (l *Limiter) refer(now time.Duration, f *flow, after time.Duration) time.Duration {
	at := max(now+after, f.retryAt)
	f.retryAt = min(at+seconds(l.service.avg/float64(l.Limit())/l.queue.share(f)), now+l.cfg.MaxRetryAfter)
	return at - now
}

// dispatch starts waiting requests while there is room.
func (l *Limiter) dispatch(now time.Duration) {
	for l.queue.length > 0 && l.free(now) > 0 {
		f := l.queue.next()
		w := f.waiters[0]
		f.sojourn(now, now-w.arrived, l.overloadWait(), l.cfg.OverloadInterval)
		if now+l.service.likely(w.cost) > w.deadline && l.total() > 0 || now >= w.deadline {
			l.queue.removeAt(f, 0)
			l.notify(w.id, l.shed(ReasonDeadline, l.refer(now, f, l.wait(f, len(f.waiters)))))
			continue
		}
		l.start(now, f, w.id, w.cost)
		l.queue.removeAt(f, 0)
		l.notify(w.id, Decision{Verdict: Run})
	}
}

// sojourn updates the overload state with the wait of a request that leaves
// the queue. The state begins when no wait in an interval was below the target,
// and lasts until no request had to be shed for an interval: the waits are
// short while it lasts, so they cannot end it.
func (f *flow) sojourn(now, waited, target, interval time.Duration) {
	if waited < target {
		f.shortWait = true
	}
	if now < f.intervalEnd {
		return
	}
	if f.intervalEnd > 0 && !f.shortWait && now < f.intervalEnd+interval {
		f.overloadUntil = now + interval
	}
	f.shortWait = waited < target
	f.intervalEnd = now + interval
}

// review sheds the waiting requests that cannot meet their deadlines by the
// present estimates.
func (l *Limiter) review(now time.Duration) {
	l.measureStall(now)
	l.reviewed = now
	for _, f := range slices.Clone(l.queue.active) {
		for i := 0; i < len(f.waiters); {
			w := f.waiters[i]
			start := now + l.wait(f, i)
			if i == 0 {
				start = now + seconds(l.stalled)
			}
			if start+l.service.likely(w.cost) < w.deadline {
				i++
				continue
			}
			l.queue.removeAt(f, i)
			l.notify(w.id, l.shed(ReasonDeadline, l.refer(now, f, l.wait(f, len(f.waiters)))))
		}
	}
}
