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
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/retry"
)

// Deployment is what the gateway knows of the deployment.
type Deployment interface {
	Snapshot() *fleet.Snapshot
	RangeMap(workload string) *coordinator.RangeMap
	Changed() <-chan struct{}
	CountKey(workload string, key int)
	AddTargetStats(workload string, t coordinator.TargetStats)
	// TargetLeaves takes a target's own word that it stops.
	MarkTargetLeaving(run fleet.Incarnation)
	Ready() bool
	// Hosts returns the number of hosts that share budgets, at least 1.
	HostCount() int
	// Fresh reports whether desired states are known without delay.
	UpToDate() bool
}

// Config holds the settings of a Gateway.
type Config struct {
	Domain     string
	Deployment Deployment
	Log        *eventlog.Log
	// RetryRatio and RetryExtra are the deployment's budget: in each window,
	// ratio x requests + extra requests may be sent once more, by all hosts.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// MemoryMB is the memory of the process in MiB; a part of it holds answers.
	// Default: 184.
	MemoryMB int
}

const (
	// defaultMemoryMB is the least memory of a host in the deployments' settings.
	defaultMemoryMB = 184
	// answerShare is the part of the process's memory for answers of targets: the
	// collector may keep as much again before it runs, beside 10 to 40 MiB of state.
	answerShare = 1.0 / 8
)

// Gateway is the request path of one host.
type Gateway struct {
	cfg   Config
	pools *pools
	// answers bounds the memory of buffered answers.
	answers *memoryBudget

	mu       sync.Mutex
	board    *placement.Scheduler
	snapshot *fleet.Snapshot
	waits    map[uint64]chan placement.Decision
	budgets  map[string]*retry.Budget
	// judged is what was last logged of each target that is not fit, or was not.
	judged map[string]health.Condition
	hosts  int
	splits map[string]float64 // position in each route's split

	draining atomic.Bool
	// stopAt is when the process ends, on the boot-time clock.
	stopAt   atomic.Int64
	inFlight atomic.Int64
	open     atomic.Int64
	m        *metrics
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.MemoryMB == 0 {
		cfg.MemoryMB = defaultMemoryMB
	}
	return &Gateway{
		answers: newMemoryBudget(int64(answerShare * float64(cfg.MemoryMB) * (1 << 20))),
		cfg:     cfg, pools: newPools(), board: placement.NewScheduler(placement.Config{Domain: cfg.Domain}),
		waits: map[uint64]chan placement.Decision{}, budgets: map[string]*retry.Budget{}, judged: map[string]health.Condition{}, hosts: 1,
		splits: map[string]float64{}, m: newMetrics(),
	}
}

// Times of the gateway's upkeep.
const (
	dispatchEvery = 20 * time.Millisecond
	sweepEvery    = 1 * time.Second
)

// Serve implements suture.Service: it keeps the board in step with the
// deployment and looks after waiting requests and idle connections.
func (g *Gateway) Serve(ctx context.Context) error {
	tick := time.NewTicker(dispatchEvery)
	defer tick.Stop()
	sweep := boottime.Now()
	for {
		changed := g.cfg.Deployment.Changed()
		g.sync()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-tick.C:
			g.dispatch()
			if now := boottime.Now(); now-sweep > sweepEvery {
				sweep = now
				g.pools.sweep(now)
			}
		}
	}
}

// String implements fmt.Stringer for the supervisor's messages.
func (g *Gateway) String() string { return "gateway" }

// sync brings the board up to the deployment's snapshot.
func (g *Gateway) sync() *fleet.Snapshot {
	snap := g.cfg.Deployment.Snapshot()
	hosts := max(1, g.cfg.Deployment.HostCount())
	g.mu.Lock()
	defer g.mu.Unlock()
	if hosts != g.hosts {
		g.hosts = hosts
		clear(g.budgets)
		g.board.SetColdRateShare(1 / float64(hosts))
	}
	if snap == g.snapshot {
		return snap
	}
	g.snapshot = snap
	list := make([]placement.Target, 0, len(snap.Targets))
	for _, t := range snap.Targets {
		x := placement.Target{
			ID: t.ID, Incarnation: t.Ident(), Workload: t.Workload, Domain: t.Domain, Slots: t.Slots, Usable: snap.Usable(t), ColdUntil: t.ColdUntil,
		}
		if snap.DesiredState != nil {
			if w := snap.DesiredState.Workloads[t.Workload]; w != nil {
				x.ColdRate = w.ColdRate
			}
		}
		list = append(list, x)
	}
	g.board.SetTargets(list)
	maps.DeleteFunc(g.judged, func(id string, _ health.Condition) bool { return snap.Targets[id] == nil })
	g.dispatchLocked(boottime.Now())
	return snap
}

func (g *Gateway) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.board.QueueLength() > 0 {
		g.dispatchLocked(boottime.Now())
	}
}

// dispatchLocked passes decisions to waiting requests; g.mu is held.
func (g *Gateway) dispatchLocked(now time.Duration) {
	for _, p := range g.board.Dispatch(now) {
		if ch := g.waits[p.Ticket]; ch != nil {
			delete(g.waits, p.Ticket)
			ch <- p.Decision
		}
	}
}

// place asks the board for a target and waits for its decision. It returns
// false when the context ended first.
func (g *Gateway) place(ctx context.Context, r placement.Request) (placement.Decision, bool) {
	r.Random = rand.Float64()
	g.mu.Lock()
	d := g.board.Submit(boottime.Now(), r)
	if d.Action != placement.Wait {
		g.mu.Unlock()
		return d, true
	}
	ch := make(chan placement.Decision, 1)
	g.waits[d.Ticket] = ch
	g.dispatchLocked(boottime.Now())
	g.mu.Unlock()
	select {
	case d := <-ch:
		return d, true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits, d.Ticket)
	if !g.board.Cancel(d.Ticket) {
		if late := <-ch; late.Action == placement.Send {
			g.board.ReleaseUnsent(late.Target)
		}
	}
	return placement.Decision{}, false
}

// ended reports the end of a request at a target.
func (g *Gateway) ended(id string, s placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.board.RecordOutcome(now, id, s)
	g.judge(now, id)
	if g.board.QueueLength() > 0 {
		g.dispatchLocked(now)
	}
}

// judge logs and counts a change of what the board thinks of a target; g.mu is
// held.
func (g *Gateway) judge(now time.Duration, id string) {
	condition, failing, factor := g.board.TargetHealth(now, id)
	if g.judged[id] == condition {
		return
	}
	g.judged[id] = condition
	g.m.judgements.Add(condition.String(), 1)
	g.cfg.Log.Info("target_judged", "target", id, "condition", condition.String(),
		"failing", math.Round(failing*100)/100, "factor", math.Round(factor*100)/100)
}

// budgetShare keeps this host's part of the shared budget below the whole,
// since requests are spread unevenly over the hosts.
const budgetShare = 0.7

// budget returns the retry budget of a workload; g.mu is held.
func (g *Gateway) budget(workload string) *retry.Budget {
	b := g.budgets[workload]
	if b == nil {
		perSecond := budgetShare * g.cfg.RetryExtra / max(g.cfg.RetryWindow.Seconds(), 1) / float64(g.hosts)
		limit := max(1, budgetShare*g.cfg.RetryExtra/float64(g.hosts))
		b = retry.NewBudget(retry.BudgetConfig{
			Ratio: budgetShare * g.cfg.RetryRatio, HostMinRate: perSecond, CustomerMinRate: perSecond,
			HostBurst: limit, CustomerBurst: limit,
		}, boottime.Now())
		g.budgets[workload] = b
	}
	return b
}

// earn adds a request to the retry budget of a workload.
func (g *Gateway) earn(workload string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(workload).RecordSuccess(boottime.Now(), "")
}

// repeat takes a repeat from the budget of a workload.
func (g *Gateway) repeat(workload string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(workload).Take(boottime.Now(), "")
}

// golden spreads the positions in a split evenly.
const golden = 0.6180339887498949

// part chooses the workload of a request on a route with a split. Consecutive
// requests take positions that are evenly spread, so that the shares of a short
// span are near the weights.
func (g *Gateway) part(r *fleet.Route) string {
	if len(r.Workloads) == 1 {
		return r.Workloads[0].Workload
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	x, ok := g.splits[r.Name]
	if !ok {
		x = rand.Float64()
	}
	if x += golden; x >= 1 {
		x--
	}
	g.splits[r.Name] = x
	return r.ChooseWorkload(x)
}

// Drain makes the host report that it is not ready and end connections after
// their next answer. Requests that could still run at stopAt are refused.
func (g *Gateway) Drain(stopAt time.Duration) {
	g.stopAt.Store(int64(stopAt))
	g.draining.Store(true)
}

// stopping reports whether a request with a deadline could outlast the process.
func (g *Gateway) stopping(deadline time.Duration) bool {
	return g.draining.Load() && deadline > time.Duration(g.stopAt.Load())
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// OpenConnections returns the number of open connections of callers.
func (g *Gateway) OpenConnections() int64 { return g.open.Load() }

// Ready reports whether callers should be sent to this host.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.cfg.Deployment.Ready() }
