package gateway

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/health"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/coordinator"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/pace"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/quarantine"
	"github.com/boragelock/boragelock/retry"
	"github.com/boragelock/boragelock/slots"
)

// Deployment is the gateway's view of the deployment.
type Deployment interface {
	Snapshot() *fleet.Snapshot
	RangeMap(workload string) *coordinator.RangeMap
	Changed() <-chan struct{}
	CountKey(workload string, key int)
	AddTargetStats(workload string, t coordinator.TargetStats)
	// MarkTargetLeaving records that a target itself reported that it stops.
	MarkTargetLeaving(incarnation fleet.Incarnation)
	// RecordRequestLimit records the limit that a target stated in a response, or that
	// it stated none.
	RecordRequestLimit(s limits.LimitStatement)
	// SuspectedRequests returns the requests under which targets ended, nil for none.
	SuspectedRequests() *quarantine.List
	// RecordTargetEnd records that a target ended before it answered a request.
	RecordTargetEnd(r quarantine.Request, target fleet.Incarnation)
	// RecordAnswer records that a target answered a suspected request.
	RecordAnswer(r quarantine.Request)
	// TakeRun asks for permission to send a copy of a suspected request, which ends within
	// lasts, or the time after which to ask again. EndRun returns the permission.
	TakeRun(ctx context.Context, r quarantine.Request, lasts time.Duration) (granted bool, wait time.Duration)
	EndRun(r quarantine.Request)
	// TakePermit asks for permission to send a request to a target that states a limit.
	TakePermit(ctx context.Context, incarnation fleet.Incarnation) limits.Permit
	// TakeAllotment takes one request from a customer's allotment over all hosts, or returns
	// the time after which it is expected to have one.
	TakeAllotment(ctx context.Context, customer *fleet.Customer) (granted bool, retryAfter time.Duration)
	Ready() bool
	// HasLeader reports whether the host leads or follows a leader.
	HasLeader() bool
	// HostCount returns the number of hosts that share budgets, at least 1.
	HostCount() int
	// TargetsView returns the age of what is known of the targets, and whether requests may
	// be sent by it.
	TargetsView() (age time.Duration, current bool)
	// UpToDate reports whether the desired state is up to date.
	UpToDate() bool
}

// Config holds the settings of a Gateway.
type Config struct {
	Domain     string
	Deployment Deployment
	Log        *eventlog.Log
	// Slots shares the slots of targets with the other hosts, nil if they are not shared.
	Slots SharedSlots
	// AdaptivePace makes the scheduler use package pace where slots are shared.
	AdaptivePace bool
	// RetryRatio and RetryExtra are the retry budget of the deployment: in each
	// window, all hosts together may send ratio x requests + extra retries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// MaxCallers bounds the callers' connections. From there on the one that is idle for
	// longest is closed for a new one, or the new one refused. Default: no bound.
	MaxCallers int
	// MaxClosing bounds the connections beyond these, which are being refused or closed and
	// wait for the caller. From there on a new one is closed at once.
	MaxClosing int
	// MemoryMB is the memory of the process in MiB; parts of it buffer requests and
	// responses.
	// Default: 184.
	MemoryMB int
}

const (
	// defaultMemoryMB is the smallest memory of a host in the deployments' settings.
	defaultMemoryMB = 184
	// responseMemoryShare is the part of the process's memory that buffers responses.
	// The garbage collector may let as much again accumulate before it runs, beside
	// 10 to 40 MiB of state.
	responseMemoryShare = 1.0 / 8
)

// Gateway is the request path of one host.
type Gateway struct {
	cfg  Config
	pool *pool
	// responseMemory bounds the memory of buffered responses.
	responseMemory *memoryBudget
	// bodyMemory bounds the memory of request bodies.
	bodyMemory *bodyMemory
	// writeStall is how long the write of a response may make no progress.
	writeStall time.Duration
	// slowMemory is the part of responseMemory that waits for slow callers, in bytes.
	slowMemory    atomic.Int64
	responseSizes responseSizes
	lapsedOwners  lapsedOwners
	callers       callerSet

	mu           sync.Mutex
	scheduler    *placement.Scheduler
	snapshot     *fleet.Snapshot
	waiters      map[uint64]chan placement.Decision
	retryBudgets map[string]*retry.Budget
	// loggedConditions is the health condition last logged of each target that is or
	// was not healthy.
	loggedConditions map[string]health.Condition
	hostCount        int
	startedAt        time.Duration
	// sharesSlots says that coordinators place requests, too.
	sharesSlots    bool
	paces          pace.Reporter
	splitPositions map[string]float64 // last position in the split of each route

	draining atomic.Bool
	// lastDeadline is the latest deadline of requests that a stopping host takes, on the
	// boot-time clock.
	lastDeadline atomic.Int64
	inFlight     atomic.Int64
	openConns    atomic.Int64
	metrics      *metrics
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.MemoryMB == 0 {
		cfg.MemoryMB = defaultMemoryMB
	}
	return &Gateway{
		responseMemory: newMemoryBudget(int64(responseMemoryShare * float64(cfg.MemoryMB) * (1 << 20))),
		bodyMemory:     newBodyMemory(cfg.MemoryMB),
		writeStall:     maxWriteStall,
		cfg:            cfg, pool: newPool(), scheduler: placement.NewScheduler(placement.Config{Domain: cfg.Domain}),
		waiters: map[uint64]chan placement.Decision{}, retryBudgets: map[string]*retry.Budget{}, loggedConditions: map[string]health.Condition{}, hostCount: 1,
		splitPositions: map[string]float64{}, metrics: newMetrics(), startedAt: boottime.Now(),
	}
}

// Intervals of the gateway's periodic work.
const (
	dispatchInterval = 20 * time.Millisecond
	sweepInterval    = 1 * time.Second
)

// Serve implements suture.Service: it applies changes of the deployment to the
// scheduler, dispatches waiting requests and closes expired idle connections.
func (g *Gateway) Serve(ctx context.Context) error {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	lastSweep := boottime.Now()
	for {
		changed := g.cfg.Deployment.Changed()
		g.syncSnapshot()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-tick.C:
			g.dispatch()
			if now := boottime.Now(); now-lastSweep > sweepInterval {
				lastSweep = now
				g.pool.closeExpired(now)
			}
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (g *Gateway) String() string { return "gateway" }

// syncSnapshot applies the deployment's current snapshot to the scheduler.
func (g *Gateway) syncSnapshot() *fleet.Snapshot {
	snap := g.cfg.Deployment.Snapshot()
	hosts := max(1, g.cfg.Deployment.HostCount())
	g.mu.Lock()
	defer g.mu.Unlock()
	if hosts != g.hostCount {
		g.hostCount = hosts
		clear(g.retryBudgets)
	}
	if snap == g.snapshot {
		g.setColdRateShare(hosts)
		return snap
	}
	g.snapshot = snap
	g.sharesSlots = g.cfg.Slots != nil && slots.Enabled(snap.DesiredState)
	g.scheduler.SetWaitWhenLate(g.sharesSlots)
	g.scheduler.SetAdaptivePace(g.sharesSlots && g.cfg.AdaptivePace)
	g.setColdRateShare(hosts)
	list := make([]placement.Target, 0, len(snap.Targets))
	for _, t := range snap.Targets {
		x := placement.Target{
			ID: t.ID, Incarnation: t.Ident(), Workload: t.Workload, Domain: t.Domain, Slots: t.Slots, Usable: snap.Usable(t), ColdUntil: t.ColdUntil,
			RequestLimit: snap.RequestLimit(t),
		}
		if snap.DesiredState != nil {
			if w := snap.DesiredState.Workloads[t.Workload]; w != nil {
				x.ColdRate = w.ColdRate
			}
		}
		list = append(list, x)
	}
	g.scheduler.SetTargets(list)
	g.paces.Keep(func(id string) bool { return snap.Targets[id] != nil })
	maps.DeleteFunc(g.loggedConditions, func(id string, _ health.Condition) bool { return snap.Targets[id] == nil })
	g.dispatchLocked(boottime.Now())
	return snap
}

const (
	// hostsColdShare is the part of a target's cold rate that all hosts together use. Their
	// requests come at random: with the whole rate and a Poisson distribution, many hosts
	// would send more than 1.5 times 10 plus 8 in one of 10,000 seconds.
	hostsColdShare = 0.8
	// assumedHosts is the number of hosts that is assumed for hostCountDelay after the
	// start: a leader that has just been elected has not heard of all hosts, and each of
	// them would use the whole rate.
	assumedHosts   = 64
	hostCountDelay = 3 * time.Second
)

// setColdRateShare sets this host's part of the cold rate of targets; g.mu is held.
func (g *Gateway) setColdRateShare(hosts int) {
	if !g.sharesSlots {
		g.scheduler.SetColdRateShare(1 / float64(hosts))
		return
	}
	if boottime.Now()-g.startedAt < hostCountDelay {
		hosts = max(hosts, assumedHosts)
	}
	g.scheduler.SetColdRateShare(hostsColdShare / float64(hosts))
}

// currentSnapshot returns the snapshot that the scheduler has.
func (g *Gateway) currentSnapshot() *fleet.Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.snapshot
}

func (g *Gateway) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler.QueueLength() > 0 {
		g.dispatchLocked(boottime.Now())
	}
}

// dispatchLocked passes decisions to waiting requests; g.mu is held.
func (g *Gateway) dispatchLocked(now time.Duration) {
	for _, p := range g.scheduler.Dispatch(now) {
		if ch := g.waiters[p.Ticket]; ch != nil {
			delete(g.waiters, p.Ticket)
			ch <- p.Decision
		}
	}
}

// place finds a target for a request, with a permit if the target states a limit. It
// returns false when the context ended first.
func (g *Gateway) place(ctx context.Context, r placement.Request) (placement.Decision, bool) {
	for {
		d, ok := g.schedule(ctx, r)
		if !ok || !d.NeedsPermit || g.takePermit(ctx, d.Target) {
			return d, ok
		}
	}
}

// takePermit takes a permit for a request that is placed on a target. Without one it
// tells the scheduler until when there is none.
func (g *Gateway) takePermit(ctx context.Context, id string) bool {
	g.mu.Lock()
	t := g.snapshot.Targets[id]
	g.mu.Unlock()
	if t == nil {
		return true // the send finds out that the target is gone
	}
	p := g.cfg.Deployment.TakePermit(ctx, t.Ident())
	if p.Granted {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RecordPermitRefused(boottime.Now(), id, p)
	return false
}

// schedule asks the scheduler for a target and waits for its decision. It returns
// false when the context ended first.
func (g *Gateway) schedule(ctx context.Context, r placement.Request) (placement.Decision, bool) {
	r.Random = rand.Float64()
	g.mu.Lock()
	d := g.scheduler.Submit(boottime.Now(), r)
	if d.Action != placement.Wait {
		g.mu.Unlock()
		return d, true
	}
	ch := make(chan placement.Decision, 1)
	g.waiters[d.Ticket] = ch
	g.dispatchLocked(boottime.Now())
	g.mu.Unlock()
	select {
	case d := <-ch:
		return d, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, d.Ticket)
	if !g.scheduler.Cancel(d.Ticket) {
		if late := <-ch; late.Action == placement.Send {
			g.scheduler.ReleaseUnsent(late.Target)
		}
	}
	return placement.Decision{}, false
}

// requestEnded reports the end of a request at a target to the scheduler.
func (g *Gateway) requestEnded(id string, outcome placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.scheduler.RecordOutcome(now, id, outcome)
	g.logCondition(now, id)
	g.logPace(now, id, outcome.Route)
	if g.scheduler.QueueLength() > 0 {
		g.dispatchLocked(now)
	}
}

// logCondition logs and counts a change of a target's health condition; g.mu is
// held.
func (g *Gateway) logCondition(now time.Duration, id string) {
	condition, failureRate, slowdown := g.scheduler.TargetHealth(now, id)
	if g.loggedConditions[id] == condition {
		return
	}
	g.loggedConditions[id] = condition
	g.metrics.conditionChanges.Add(condition.String(), 1)
	g.cfg.Log.Info("target_judged", "target", id, "condition", condition.String(),
		"failing", math.Round(failureRate*100)/100, "factor", math.Round(slowdown*100)/100)
}

// logPace logs and counts a change of a target's pace by half or more; g.mu is held.
func (g *Gateway) logPace(now time.Duration, id, route string) {
	s, ok := g.scheduler.Pace(now, id, route)
	if !ok || !g.paces.Due(now, id, s) {
		return
	}
	g.metrics.paceChanges.Add(string(s.Reason), 1)
	g.cfg.Log.Info("pace", "target", id, "limit", math.Round(s.Limit*10)/10, "rate_per_s", math.Round(s.Rate*10)/10, "reason", string(s.Reason))
}

// budgetShare keeps the sum of the hosts' parts below the shared retry budget,
// since requests are spread unevenly over the hosts.
const budgetShare = 0.7

// retryBudget returns this host's retry budget for a workload; g.mu is held.
func (g *Gateway) retryBudget(workload string) *retry.Budget {
	b := g.retryBudgets[workload]
	if b == nil {
		perSecond := budgetShare * g.cfg.RetryExtra / max(g.cfg.RetryWindow.Seconds(), 1) / float64(g.hostCount)
		limit := max(1, budgetShare*g.cfg.RetryExtra/float64(g.hostCount))
		b = retry.NewBudget(retry.BudgetConfig{
			Ratio: budgetShare * g.cfg.RetryRatio, HostMinRate: perSecond, CustomerMinRate: perSecond,
			HostBurst: limit, CustomerBurst: limit,
		}, boottime.Now())
		g.retryBudgets[workload] = b
	}
	return b
}

// recordRequest credits a request to the retry budget of a workload.
func (g *Gateway) recordRequest(workload string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(workload).RecordSuccess(boottime.Now(), "")
}

// takeRetry takes one retry from the budget of a workload, if it has one.
func (g *Gateway) takeRetry(workload string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(workload).Take(boottime.Now(), "")
}

// goldenRatioConjugate is the step between successive positions in a split. It
// spreads them evenly.
const goldenRatioConjugate = 0.6180339887498949

// chooseWorkload chooses the workload of a request on a route with a split.
// Consecutive requests take evenly spread positions, so that the shares are near
// the weights even over a short time.
func (g *Gateway) chooseWorkload(r *fleet.Route) string {
	if len(r.Workloads) == 1 {
		return r.Workloads[0].Workload
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	x, ok := g.splitPositions[r.Name]
	if !ok {
		x = rand.Float64()
	}
	if x += goldenRatioConjugate; x >= 1 {
		x--
	}
	g.splitPositions[r.Name] = x
	return r.ChooseWorkload(x)
}

// Drain makes the host report that it is not ready and close connections after
// their next response. Requests whose deadline is after lastDeadline are refused; the
// process must outlast it by the time that answers take to reach the callers.
func (g *Gateway) Drain(lastDeadline time.Duration) {
	g.lastDeadline.Store(int64(lastDeadline))
	g.draining.Store(true)
}

// stopsBefore reports whether the process may stop before a request with the given
// deadline is answered.
func (g *Gateway) stopsBefore(deadline time.Duration) bool {
	return g.draining.Load() && deadline > time.Duration(g.lastDeadline.Load())
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// OpenConnections returns the number of open caller connections.
func (g *Gateway) OpenConnections() int64 { return g.openConns.Load() }

// Closes returns the counters of what closes of callers' connections left behind.
func (g *Gateway) Closes() string { return g.metrics.closes.String() }

// CountAcceptFailure counts an error of Accept that passes.
func (g *Gateway) CountAcceptFailure() { g.metrics.acceptFailures.Add(1) }

// Ready reports whether callers should be sent to this host.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.cfg.Deployment.Ready() }
