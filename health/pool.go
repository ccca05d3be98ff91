package health

import (
	"slices"
	"time"
)

// Target is one target of the pool's workload.
type Target struct {
	Name   string
	Domain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Fit targets may be chosen; others keep what is known of them.
	Fit bool
}

// Load is what the home of a target reports.
type Load struct {
	// InFlight and Queued are the requests that run and wait.
	InFlight, Queued int
	// Limit is the concurrency limit in force; 0 means Target.Slots.
	Limit int
	// Service is the mean service time over all requests; 0 when unknown.
	Service time.Duration
}

// State is what a Pool knows of a target.
type State struct {
	// Weight is the part of its load that the target gets, 0 to 1.
	Weight float64
	// Service is the service time that counts, 0 when none is known.
	Service time.Duration
	// Slow says that the weight is below 1.
	Slow bool
}

// target is a Target with what is known of it.
type target struct {
	Target
	load   Load
	loadAt time.Duration
	// sent counts requests sent since the last report, own those in flight.
	sent, own int
	// mean is that of own samples in seconds.
	mean     float64
	samples  int
	sampleAt time.Duration

	weight float64
	// slowSince is when the target began to be slow, 0 when it is not.
	slowSince time.Duration
	good      int
	probeAt   time.Duration
	raiseAt   time.Duration
}

// Pool holds the targets of one workload. It is not safe for concurrent use.
type Pool struct {
	cfg    Config
	domain string
	byName map[string]*target
	// near and far are the fit targets of the own domain and of others.
	near, far []*target
	reduced   []*target
	median    float64
	// saved is the part of a probe that requests have added up to.
	saved     float64
	evaluated time.Duration
	scratch   []float64
	order     []*target
}

// NewPool returns a pool without targets for a host in the given domain. It
// fails with *ConfigError.
func NewPool(cfg Config, domain string) (*Pool, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Pool{cfg: cfg, domain: domain, byName: map[string]*target{}}, nil
}

// SetTargets replaces the list of targets; what is known of those that remain
// is kept.
func (p *Pool) SetTargets(targets []Target) {
	old := p.byName
	p.byName = make(map[string]*target, len(targets))
	p.near, p.far, p.reduced, p.order = p.near[:0], p.far[:0], p.reduced[:0], p.order[:0]
	for _, t := range targets {
		x, ok := old[t.Name]
		if !ok {
			x = &target{weight: 1}
		}
		x.Target = t
		p.byName[t.Name] = x
		p.order = append(p.order, x)
		if x.weight < 1 {
			p.reduced = append(p.reduced, x)
		}
		switch {
		case !t.Fit:
		case t.Domain == p.domain:
			p.near = append(p.near, x)
		default:
			p.far = append(p.far, x)
		}
	}
}

// Report takes the load that a target's home reports into account.
func (p *Pool) Report(now time.Duration, name string, l Load) {
	if t, ok := p.byName[name]; ok {
		t.load, t.loadAt, t.sent = l, now, 0
		p.evaluate(now)
	}
}

// Sent counts a request sent to a target; Ended ends it.
func (p *Pool) Sent(name string) {
	if t, ok := p.byName[name]; ok {
		t.sent++
		t.own++
	}
}

// sampleWeight is the weight of a new own sample in the mean.
const sampleWeight = 1.0 / 8

// Ended takes the end of a request into account. service is the time that the
// target took, without the wait in its queue. failed says that it failed in a
// way that a slow target does, for example by a timeout; a request that was
// cancelled or refused is passed with service 0, which is no sample.
func (p *Pool) Ended(now time.Duration, name string, service time.Duration, failed bool) {
	t, ok := p.byName[name]
	if !ok {
		return
	}
	t.own = max(0, t.own-1)
	if service <= 0 && !failed {
		return
	}
	x := service.Seconds()
	if failed {
		x = max(x, 2*p.cfg.SlowFactor*p.median)
	}
	if now-t.sampleAt > p.cfg.MaxAge {
		t.samples = 0
	}
	t.samples++
	t.mean += max(sampleWeight, 1/float64(t.samples)) * (x - t.mean)
	t.sampleAt = now
	p.restore(t, x)
	p.evaluate(now)
}

// restore raises the weight of a slow target after answers near the median.
func (p *Pool) restore(t *target, x float64) {
	if t.weight >= 1 {
		return
	}
	if x > p.cfg.RestoreFactor*p.median {
		t.good = 0
		return
	}
	if t.good++; t.good >= p.cfg.Probes {
		p.raise(t)
	}
}

// raise doubles the weight of a slow target.
func (p *Pool) raise(t *target) {
	t.good = 0
	t.weight = min(1, 2*t.weight)
	if t.weight >= 1 {
		t.slowSince = 0
		p.reduced = slices.DeleteFunc(p.reduced, func(y *target) bool { return y == t })
		// The former mean would make it slow again at once.
		t.samples = 0
	}
}

// service returns the service time of a target in seconds, 0 when unknown.
func (p *Pool) service(now time.Duration, t *target) float64 {
	if t.load.Service > 0 && now-t.loadAt <= p.cfg.MaxAge {
		return t.load.Service.Seconds()
	}
	if t.samples >= p.cfg.MinSamples && now-t.sampleAt <= p.cfg.MaxAge {
		return t.mean
	}
	return 0
}

// evaluateEvery limits the rate at which targets are compared.
const evaluateEvery = 50 * time.Millisecond

// evaluate compares the targets and lowers the weights of slow ones.
func (p *Pool) evaluate(now time.Duration) {
	if now < p.evaluated+evaluateEvery {
		return
	}
	p.evaluated = now
	p.scratch = p.scratch[:0]
	for _, t := range p.order {
		if s := p.service(now, t); s > 0 {
			p.scratch = append(p.scratch, s)
		}
	}
	// With two targets it cannot be said which of them is the odd one.
	if len(p.scratch) < 3 {
		return
	}
	slices.Sort(p.scratch)
	p.median = p.scratch[(len(p.scratch)-1)/2]
	for _, t := range p.order {
		p.judge(now, t)
	}
}

func (p *Pool) judge(now time.Duration, t *target) {
	s := p.service(now, t)
	if s <= p.cfg.SlowFactor*p.median {
		if t.weight >= 1 {
			t.slowSince = 0
		} else if s > 0 && s <= p.cfg.RestoreFactor*p.median && now >= t.raiseAt {
			// All hosts' probes together bring the mean at the home down.
			t.raiseAt = now + p.cfg.ProbeInterval
			p.raise(t)
		}
		return
	}
	if t.slowSince == 0 {
		t.slowSince = now
	}
	if now-t.slowSince < p.cfg.Confirm {
		return
	}
	if t.weight >= 1 && !p.makeRoom(now, s) {
		return
	}
	if t.weight >= 1 {
		p.reduced = append(p.reduced, t)
		t.probeAt = now + p.cfg.ProbeInterval
		t.raiseAt = t.probeAt
	}
	if t.good == 0 {
		t.weight = min(t.weight, max(p.cfg.MinWeight, p.median/s))
	}
}

// makeRoom reports whether one more target may be slow. When half of them are,
// the least slow one gets its weight back if it is less slow than s.
func (p *Pool) makeRoom(now time.Duration, s float64) bool {
	if 2*(len(p.reduced)+1) <= len(p.order) {
		return true
	}
	var least *target
	lowest := s
	for _, t := range p.reduced {
		if x := p.service(now, t); x > 0 && x < lowest {
			least, lowest = t, x
		}
	}
	if least == nil {
		return false
	}
	least.weight, least.good = 1, 0
	p.reduced = slices.DeleteFunc(p.reduced, func(y *target) bool { return y == least })
	return true
}

// State returns what is known of a target, or false.
func (p *Pool) State(now time.Duration, name string) (State, bool) {
	t, ok := p.byName[name]
	if !ok {
		return State{}, false
	}
	s := time.Duration(p.service(now, t) * float64(time.Second))
	return State{Weight: t.weight, Service: s, Slow: t.weight < 1}, true
}
