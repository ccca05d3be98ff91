package health

import "time"

// Choice is a target selected for a request.
type Choice struct {
	Name string
	// Probe says that the target is slow and gets the request to see whether
	// it still is. An idempotent request may be hedged at once.
	Probe bool
}

// Choose selects a target for an unkeyed request. random is a new uniform
// random number, exclude a target that must not be chosen, or "". It returns
// false when no target is fit. The caller calls Sent when it sends the request.
func (p *Pool) Choose(now time.Duration, random uint64, exclude string) (Choice, bool) {
	if t := p.probe(now, exclude); t != nil {
		return Choice{Name: t.Name, Probe: true}, true
	}
	near := p.better(now, p.near, uint32(random), exclude)
	if near == nil {
		far := p.better(now, p.far, uint32(random>>32), exclude)
		if far == nil {
			return Choice{}, false
		}
		return Choice{Name: far.Name}, true
	}
	wait := p.wait(now, near)
	if wait <= max(p.cfg.SpillWait.Seconds(), p.known(now, near)) {
		return Choice{Name: near.Name}, true
	}
	far := p.better(now, p.far, uint32(random>>32), exclude)
	if far != nil && p.wait(now, far)+p.known(now, far)+p.cfg.CrossDomain.Seconds() < wait+p.known(now, near) {
		near = far
	}
	return Choice{Name: near.Name}, true
}

// probe returns a slow target whose probe is due, or nil.
func (p *Pool) probe(now time.Duration, exclude string) *target {
	if len(p.reduced) == 0 {
		return nil
	}
	p.saved = min(p.saved+p.cfg.ProbeShare, 1)
	for _, t := range p.reduced {
		due := now >= t.probeAt && p.saved >= 1 || now >= t.probeAt+9*p.cfg.ProbeInterval
		if t.Fit && due && t.Name != exclude {
			t.probeAt = now + p.cfg.ProbeInterval
			p.saved = 0
			return t
		}
	}
	return nil
}

// better returns the better of two random targets of a list, or nil.
func (p *Pool) better(now time.Duration, list []*target, random uint32, exclude string) *target {
	a := pick(list, uint32(uint16(random)), random, exclude, nil)
	if a == nil {
		return nil
	}
	b := pick(list, random>>16, random*0x9E3779B1, exclude, a)
	if b == nil || p.wait(now, a)+p.known(now, a) <= p.wait(now, b)+p.known(now, b) {
		return a
	}
	return b
}

// pick returns the target at a random place, or one after it. Targets with a
// lower weight are passed over with the complementary probability; when all
// are, the last one seen is taken.
func pick(list []*target, place, random uint32, exclude string, not *target) *target {
	if len(list) == 0 {
		return nil
	}
	start := int(uint64(place) * uint64(len(list)) >> 16)
	var last *target
	for i := range list {
		t := list[(start+i)%len(list)]
		if t == not || t.Name == exclude {
			continue
		}
		random = random*0x9E3779B1 + 0x7F4A7C15
		if t.weight >= 1 || float64(random)/(1<<32) < t.weight {
			return t
		}
		last = t
	}
	if not != nil {
		return nil
	}
	return last
}

// known returns the service time of a target in seconds, or the median.
func (p *Pool) known(now time.Duration, t *target) float64 {
	if s := p.service(now, t); s > 0 {
		return s
	}
	return p.median
}

// wait returns the expected wait at a target in seconds, by its last report
// while that is fresh, and by own requests in flight otherwise.
func (p *Pool) wait(now time.Duration, t *target) float64 {
	limit, ahead := t.Slots, t.own
	if age := now - t.loadAt; t.loadAt > 0 && age <= p.cfg.MaxAge {
		if t.load.Limit > 0 {
			limit = t.load.Limit
		}
		// The older a report, the less it says of the queue.
		fresh := 1 - float64(age)/float64(p.cfg.MaxAge)
		ahead = max(t.own, t.sent+int(fresh*float64(t.load.InFlight+t.load.Queued)))
	}
	limit = max(1, limit)
	if ahead < limit {
		return 0
	}
	return float64(ahead-limit+1) / float64(limit) * p.known(now, t)
}
