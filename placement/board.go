package placement

import (
	"math"
	"sort"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/health"
)

// Config holds the settings of a Scheduler. A zero field takes its default.
type Config struct {
	// Domain is the host's failure domain.
	Domain string
	// CrossDomain is what a request to another domain is taken to cost, as time.
	// Default: 4 ms, the round trip and the price of its bytes.
	CrossDomain time.Duration
	// CrossDomainKB is what each kilobyte of the answer adds, since bytes between
	// domains are dear. Default: 3 ms.
	CrossDomainKB time.Duration
	// NewConnection is what opening a connection is taken to cost, as time.
	// Default: 40 ms.
	NewConnection time.Duration
	// Depth is the number of requests for each slot that may be in a target,
	// running and waiting. Default: 3.
	Depth float64
	// ReportAge is the time constant with which a target's report of foreign
	// load ages towards the mean of its reports, and MeanAge that with which the
	// mean follows the reports, and is forgotten without any. Defaults: 400 ms and
	// 3 s.
	ReportAge, MeanAge time.Duration
	// InitialService is the service time of a route without a sample.
	// Default: 100 ms.
	InitialService time.Duration
	// ShedPause is how long a target that shed a request is taken to be full, and
	// twice as long after each further one in a row, up to MaxShedPause. Defaults:
	// 60 ms, about half of a service time, and 1 s.
	ShedPause    time.Duration
	MaxShedPause time.Duration
	// MaxWaiting bounds the waiting requests. Default: 512.
	MaxWaiting int
	// ColdShare is the part of a target's cold rate that this host may use.
	// Default: 1.
	ColdShare float64
}

func (c Config) withDefaults() Config {
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.CrossDomain, 4*time.Millisecond)
	set(&c.CrossDomainKB, 3*time.Millisecond)
	set(&c.NewConnection, 40*time.Millisecond)
	set(&c.ReportAge, 400*time.Millisecond)
	set(&c.MeanAge, 3*time.Second)
	set(&c.InitialService, 100*time.Millisecond)
	set(&c.ShedPause, 60*time.Millisecond)
	set(&c.MaxShedPause, time.Second)
	if c.Depth == 0 {
		c.Depth = 3
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 512
	}
	if c.ColdShare == 0 {
		c.ColdShare = 1
	}
	return c
}

// Target describes a target to the board.
type Target struct {
	ID string
	// Incarnation tells two lives of a target under one ID apart; what is known of one says
	// nothing of the next.
	Incarnation fleet.Incarnation
	Workload    string
	Domain      string
	Slots       int
	// Usable targets may get new requests.
	Usable    bool
	ColdUntil time.Duration
	// ColdRate is the number of requests a second that it bears while cold.
	ColdRate float64
}

// Load is what a target reported of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now in relation to its usual time.
	Slowdown float64
}

// target is a Target with what is known of it.
type target struct {
	Target
	// own counts requests that this board sent and that have not ended.
	own int
	// foreign is the load of others in the last report.
	foreign  float64
	reported time.Duration
	// usual is the mean of foreign over the last reports, of which there were
	// reports since the target was not heard of for long.
	usual   float64
	reports int
	pace    float64
	record  health.TargetStats
	// refused is the part of Depth that is not used since the target refuses
	// requests, 0 to 1.
	refused float64
	// fullUntil is set when the target shed a request, pausedUntil when it asked
	// this host for a pause.
	fullUntil, pausedUntil time.Duration
	// shedPause is the pause after the last one of the refusals in a row, 0 after an
	// answer.
	shedPause time.Duration
	// cold is whether the target was cold at the last look, coldTokens are the
	// requests that it may get while it is.
	cold       bool
	coldTokens float64
	coldAt     time.Duration
}

// Scheduler places the requests of one host.
type Scheduler struct {
	cfg     Config
	targets map[string]*target
	// byWorkload lists targets in the order of their IDs.
	byWorkload map[string][]*target
	routes     map[string]*estimate
	waiting    []*waiter
	sequence   uint64
}

// NewScheduler returns a board without targets.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{cfg: cfg.withDefaults(), targets: map[string]*target{}, routes: map[string]*estimate{}}
}

// SetColdRateShare sets the part of a cold target's rate that this host may use.
func (b *Scheduler) SetColdRateShare(share float64) { b.cfg.ColdShare = share }

// SetTargets replaces the list of targets; what is known of those that remain
// is kept.
func (b *Scheduler) SetTargets(list []Target) {
	old := b.targets
	b.targets = make(map[string]*target, len(list))
	b.byWorkload = map[string][]*target{}
	for _, x := range list {
		t := old[x.ID]
		if t == nil || t.Incarnation != x.Incarnation {
			t = &target{pace: 1}
		}
		t.Target = x
		b.targets[x.ID] = t
		b.byWorkload[x.Workload] = append(b.byWorkload[x.Workload], t)
	}
	for _, l := range b.byWorkload {
		sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	}
}

// estimate is the learned service time of a route in seconds, over all targets.
type estimate struct {
	mean    float64
	samples int
	size    float64 // mean size of an answer in kilobytes
}

// outlier is the multiple of the mean from which a sample counts as much as this
// multiple, so that a slow target does not make the whole route slow.
const outlier = 4

// add takes a service time as it was. Dividing it by the target's factor first
// lets the mean and the factors drift away together, since only their product is
// measured.
func (e *estimate) add(x float64) {
	if e.samples > 0 {
		x = min(x, outlier*e.mean)
	}
	e.samples++
	e.mean += max(0.05, 1/float64(e.samples)) * (x - e.mean)
}

func (b *Scheduler) service(route string) float64 {
	if e := b.routes[route]; e != nil && e.samples > 0 {
		return e.mean
	}
	return b.cfg.InitialService.Seconds()
}

// ServiceTime returns the mean time of a request of a route on a target, without
// waiting there.
func (b *Scheduler) ServiceTime(now time.Duration, route, id string) time.Duration {
	s := b.service(route)
	if t := b.targets[id]; t != nil {
		s *= t.slowness(now)
	}
	return time.Duration(s * float64(time.Second))
}

// paceAge is how long a reported pace counts: it changes many times a second.
const paceAge = 250 * time.Millisecond

func (t *target) paceAt(now time.Duration) float64 {
	if now-t.reported > paceAge {
		return 1
	}
	return t.pace
}

// busy returns the requests that run or wait at a target by the present
// estimate.
func (b *Scheduler) busy(now time.Duration, t *target) float64 {
	age := float64(now - t.reported)
	usual := 0.0
	if t.reports >= leastReports {
		usual = t.usual * math.Exp(-age/float64(b.cfg.MeanAge))
	}
	return float64(t.own) + usual + (t.foreign-usual)*math.Exp(-age/float64(b.cfg.ReportAge))
}

// slowness is the service time at a target in relation to that of its routes. A
// slow target that was not heard of for a while is tried again by one request at
// a time.
func (t *target) slowness(now time.Duration) float64 {
	if t.own == 0 {
		return t.record.Slowdown(now) * t.paceAt(now)
	}
	return t.record.LastSlowdown() * t.paceAt(now)
}

// The limit of a target falls by a part of what is left after each refusal and
// rises by a step after each answer, as in congestion control: hosts do not know of
// each other's sends, and a target that they all fill refuses most requests.
const (
	limitDown = 0.5
	limitUp   = 0.05
	// minLimit is the least number of requests.
	minLimit = 1
)

// limit returns the number of requests, running and waiting, up to which a target
// gets new ones.
func (b *Scheduler) limit(t *target) float64 {
	most := b.cfg.Depth * float64(max(t.Slots, 1))
	return most - t.refused*max(0, most-minLimit)
}

// wait returns the time in seconds until a new request would begin to run at a
// target, for requests with the given service time.
func (b *Scheduler) wait(now time.Duration, t *target, service float64) float64 {
	slots := float64(max(t.Slots, 1))
	ahead := max(0, b.busy(now, t)+1-slots)
	w := ahead / slots * service * t.slowness(now)
	return max(w, (t.closedUntil() - now).Seconds())
}

// closedUntil returns when the target may get requests again.
func (t *target) closedUntil() time.Duration { return max(t.fullUntil, t.pausedUntil) }

// Outcome is the end of a request at a target.
type Outcome struct {
	Route string
	// ResponseTime is the time from the sending to the answer, 0 when there was none.
	ResponseTime time.Duration
	// ResponseBytes is the size of the answer in bytes.
	ResponseBytes int
	// Load is what the target reported, or nil.
	Load *Load
	// Shed says that the target refused the request without running it.
	Shed bool
	// Pause is how long the target wants no request from this host.
	Pause time.Duration
	// ConnectionReset says that the target dropped the request as it does when it is full.
	ConnectionReset bool
	// Failed says that there was no proper answer, or one that says failure.
	Failed bool
	// Unreachable says that no connection could be opened.
	Unreachable bool
	// ColdRemaining is how much longer the target says that it is cold, or -1.
	ColdRemaining time.Duration
}

// RecordOutcome takes the end of a request into account. The request was counted by
// Submit or Dispatch.
func (b *Scheduler) RecordOutcome(now time.Duration, id string, s Outcome) {
	t := b.targets[id]
	if t == nil {
		return
	}
	t.own = max(0, t.own-1)
	if s.Load != nil {
		b.report(now, t, *s.Load)
	}
	if s.ColdRemaining >= 0 {
		t.ColdUntil = now + s.ColdRemaining
	}
	if s.Pause > 0 {
		t.pausedUntil = max(t.pausedUntil, now+s.Pause)
	}
	if s.Shed || s.ConnectionReset {
		b.shed(now, t, s.Load)
	}
	if s.Shed {
		return
	}
	if !s.ConnectionReset {
		t.shedPause /= 2
		t.refused = max(0, t.refused-limitUp)
	}
	if s.Unreachable {
		t.record.RecordUnreachable(now)
	} else {
		t.record.RecordRequest(now, s.Failed)
	}
	if s.ResponseTime > 0 && !s.Failed {
		b.learn(now, t, s)
	}
	if e := b.routes[s.Route]; e != nil && !s.Failed {
		e.size += 0.05 * (float64(s.ResponseBytes)/1024 - e.size)
	}
}

// shed notes that a target refused a request. Hosts that fill the same target do not
// know of each other: each one waits longer after each refusal in a row, so that
// together they send about as much as it bears. Refusals during a pause belong to
// requests that were sent before it. A target that refuses though it has free slots
// is faulty and not full: that counts as a failure.
func (b *Scheduler) shed(now time.Duration, t *target, l *Load) {
	if l.HasFreeSlots() {
		t.record.RecordRequest(now, true)
		return
	}
	t.refused += limitDown * (1 - t.refused)
	if now < t.fullUntil {
		return
	}
	t.shedPause = min(max(2*t.shedPause, b.cfg.ShedPause), b.cfg.MaxShedPause)
	t.fullUntil = now + t.shedPause
}

// HasFreeSlots reports whether a target said that it has free slots.
func (l *Load) HasFreeSlots() bool { return l != nil && l.Waiting == 0 && l.Running < l.Slots }

// A report has at least leastWeight in the mean of a target's reports, which counts
// from leastReports on: one or two alone are no mean.
const (
	leastWeight  = 0.2
	leastReports = 3
)

// report takes the load that a target states, which includes the request that
// has just ended.
func (b *Scheduler) report(now time.Duration, t *target, l Load) {
	t.foreign = max(0, float64(l.Running+l.Waiting-1-t.own))
	if now-t.reported > 2*b.cfg.MeanAge {
		t.reports, t.usual = 0, 0
	}
	t.reports++
	weight := max(1-math.Exp(-float64(now-t.reported)/float64(b.cfg.MeanAge)), leastWeight, 1/float64(t.reports))
	t.usual += weight * (t.foreign - t.usual)
	t.reported, t.pace = now, l.Slowdown
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
}

// learn updates service times from an answer. One that may have waited for a slot
// shows only whether the target is slower than known: without that, a slow target
// whose requests all wait keeps its load.
func (b *Scheduler) learn(now time.Duration, t *target, s Outcome) {
	x := s.ResponseTime.Seconds() / t.paceAt(now)
	if s.Load != nil && s.Load.Waiting > 0 || t.own >= max(t.Slots, 1) {
		least, expected := x/(1+2*b.cfg.Depth), b.service(s.Route)
		if least > expected*t.record.LastSlowdown() {
			t.record.RecordServiceTime(now, least, expected)
		}
		return
	}
	e := b.routes[s.Route]
	if e == nil {
		e = &estimate{}
		b.routes[s.Route] = e
	}
	e.add(x)
	t.record.RecordServiceTime(now, x, e.mean)
}

// TargetHealth returns what the board thinks of a target and the figures behind it:
// the share of requests that fail and the factor of its service time.
func (b *Scheduler) TargetHealth(now time.Duration, id string) (c health.Condition, failing, factor float64) {
	t := b.targets[id]
	if t == nil {
		return health.Fit, 0, 1
	}
	return t.record.Condition(), t.record.FailureRate(now), t.record.LastSlowdown()
}

// ReleaseUnsent ends a request that did not reach its target.
func (b *Scheduler) ReleaseUnsent(id string) {
	if t := b.targets[id]; t != nil {
		t.own = max(0, t.own-1)
	}
}
