package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/boragelock/boragelock/internal/boottime"
)

const (
	// readyTimeout is how long a cluster may take until it serves.
	readyTimeout = 20 * time.Second
	// idleTime is the period before the load in which the cost of the control
	// plane is measured.
	idleTime = 700 * time.Millisecond
	// warmUp is the time from the start of the load that the measurements
	// exclude.
	warmUp = 3 * time.Second
	// warmUpFraction limits the warm-up to a fraction of the duration.
	warmUpFraction = 0.15
	// responseTimeout is how long calls may take after the load has ended.
	responseTimeout = 3 * time.Second
	// probedShards limits the probed shards of each target that a step affects,
	// and of all others together.
	probedShards = 8
	// probeShare is the fraction of a workload's capacity that probes may use. The
	// other load is reduced by it.
	probeShare = 0.2
	// logTailBytes is the length of the log excerpt in error messages.
	logTailBytes = 400
	// readyStreak is the number of consecutive successes after which a workload
	// counts as served.
	readyStreak = 5
)

// Options are the parameters of one scenario run.
type Options struct {
	Deployment string
	Scenario   string
	// CustomScenario replaces the scenario named by Scenario when it has a name.
	CustomScenario    Scenario
	Seed              uint64
	Duration          time.Duration
	Scale             float64
	DisabledSafeguard string
	Binaries          Binaries
	// KeepDir is the directory in which logs and records are kept; empty means a
	// temporary directory that is removed.
	KeepDir string
	Logger  hclog.Logger
}

// scenarioRun runs one scenario under one policy.
type scenarioRun struct {
	opts       Options
	scenario   Scenario
	cluster    *Cluster
	balancer   *balancer
	caller     *caller
	load       *load
	configurer configurer
	probe      *configProbe
	background sync.WaitGroup
	steps      []AppliedStep

	idleUsage, loadStartUsage, loadEndUsage usage
	evidence                                Evidence
}

// usage is the cumulative resource usage of the entry hosts at one time.
type usage struct {
	at                  time.Duration
	cpu                 time.Duration
	memory              int64
	peerBytes, logBytes int64
	entryCount          int
	memorySamples       int
}

// RunScenario runs a scenario under one policy. It starts again when an entry
// host could not bind a port because another program had bound it first.
func RunScenario(ctx context.Context, o Options, policy Policy) (Result, error) {
	var res Result
	var err error
	for range maxStartAttempts {
		var taken *PortTakenError
		if res, err = runOnce(ctx, o, policy); !errors.As(err, &taken) {
			break
		}
		o.Logger.Warn("port conflict; starting the scenario again", "error", err)
	}
	return res, err
}

func runOnce(ctx context.Context, o Options, policy Policy) (Result, error) {
	s := o.CustomScenario
	if s.Name == "" {
		var ok bool
		if s, ok = Scenarios[o.Scenario]; !ok {
			return Result{}, &UnknownScenarioError{Name: o.Scenario}
		}
	}
	plan, err := NewPlan(o.Deployment, o.Scale)
	if err != nil {
		return Result{}, err
	}
	if o.KeepDir != "" {
		if err := os.MkdirAll(o.KeepDir, 0o755); err != nil {
			return Result{}, &RunError{Op: "create a directory", Err: err}
		}
	}
	plan.limitLastCustomer(s.LastCustomerRate)
	dir, err := os.MkdirTemp(o.KeepDir, "bench-"+string(policy)+"-")
	if err != nil {
		return Result{}, &RunError{Op: "create a directory", Err: err}
	}
	if o.KeepDir == "" {
		defer os.RemoveAll(dir)
	}
	broken := o.DisabledSafeguard
	if policy == PolicyBaseline {
		broken = ""
	}
	c, err := StartCluster(ctx, ClusterConfig{Plan: plan, Policy: policy, Binaries: o.Binaries, Dir: dir, Break: broken, LeaseMS: s.LeaseMS, Seed: o.Seed, Logger: o.Logger})
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	o.Logger.Info("processes started", "policy", policy)
	r := &scenarioRun{opts: o, scenario: s, cluster: c}
	if err := r.execute(ctx); err != nil {
		return Result{}, err
	}
	o.Logger.Info("load finished", "policy", policy)
	defer o.Logger.Info("evidence checked", "policy", policy)
	return r.result(policy)
}

func (r *scenarioRun) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	plan := r.cluster.cfg.Plan
	r.balancer = newBalancer(r.cluster)
	r.caller = newCaller(plan, r.balancer)
	r.load = newLoad(plan, r.caller, r.scenario, r.opts.Seed)
	if r.scenario.measuresAvailability() {
		r.load.rateShare = (plan.Utilization - probeShare) / plan.Utilization
	}
	r.probe = &configProbe{}
	r.configurer = newLogConfigurer(r.cluster.logAddr.Addr)
	if r.cluster.cfg.Policy == PolicyBaseline {
		b := &baselineConfigurer{}
		for _, e := range plan.Entries {
			b.operators = append(b.operators, r.cluster.entries[e.Name].operator)
		}
		r.configurer = b
	}
	r.background.Go(func() { r.balancer.run(ctx) })
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	r.opts.Logger.Info("cluster is ready")
	r.idleUsage = r.usage()
	if r.cluster.cfg.Policy == PolicyBoragelock {
		time.Sleep(idleTime)
	}
	return r.runLoad(ctx)
}

// runLoad offers the load and performs the steps at their times.
func (r *scenarioRun) runLoad(ctx context.Context) error {
	r.loadStartUsage = r.usage()
	begin := boottime.Now()
	r.evidence.Begin = begin
	r.evidence.MeasureFrom = begin + min(warmUp, time.Duration(warmUpFraction*float64(r.opts.Duration)))
	loadCtx, stopLoad := context.WithDeadline(ctx, time.Now().Add(r.opts.Duration))
	defer stopLoad()
	callCtx, stopCalls := context.WithDeadline(ctx, time.Now().Add(r.opts.Duration+responseTimeout))
	defer stopCalls()
	if r.scenario.has(ActChangeConfig, ActRaceConfig) {
		r.background.Go(func() { r.probe.run(loadCtx, r.balancer) })
	}
	done := make(chan struct{})
	go func() { r.load.run(loadCtx, callCtx); close(done) }()
	r.startProbes(loadCtx, callCtx)
	err := r.performSteps(loadCtx, begin)
	if err != nil {
		stopLoad()
		stopCalls()
	}
	<-done
	r.loadEndUsage = r.usage()
	r.evidence.End = begin + r.opts.Duration
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// scheduledAction is a step or the end of a step.
type scheduledAction struct {
	at      time.Duration
	perform func() error
	name    string
}

// performSteps performs the steps in time order. Each step inserts its own end.
// Actions that are still scheduled when the load ends are not performed.
func (r *scenarioRun) performSteps(ctx context.Context, begin time.Duration) error {
	var queue []scheduledAction
	insert := func(x scheduledAction) {
		i, _ := slices.BinarySearchFunc(queue, x, func(a, b scheduledAction) int {
			if a.at <= b.at {
				return -1
			}
			return 1
		})
		queue = slices.Insert(queue, i, x)
	}
	for _, s := range r.scenario.Steps {
		at := begin + time.Duration(s.At*float64(r.opts.Duration)) + time.Duration(s.AfterMS)*time.Millisecond
		insert(scheduledAction{at: at, name: string(s.Action), perform: func() error { return r.step(ctx, s, insert) }})
	}
	for len(queue) > 0 {
		x := queue[0]
		queue = queue[1:]
		if !sleepUntil(ctx, x.at) {
			break
		}
		r.opts.Logger.Info("step", "name", x.name, "at_s", fmt.Sprintf("%.1f", (boottime.Now()-begin).Seconds()))
		if err := x.perform(); err != nil {
			return &RunError{Op: "step " + x.name, Err: err}
		}
	}
	<-ctx.Done()
	return nil
}

// step performs one step and schedules its end.
func (r *scenarioRun) step(ctx context.Context, s Step, insert func(scheduledAction)) error {
	a := r.resolveStep(s)
	a.At = boottime.Now()
	undo, err := r.apply(ctx, &a)
	if err != nil {
		return err
	}
	if s.Action == ActDomainOut {
		a.At = boottime.Now()
	}
	r.steps = append(r.steps, a)
	length := time.Duration(s.ForMS)*time.Millisecond + time.Duration(s.ForFraction*float64(r.opts.Duration))
	if undo == nil || length == 0 {
		return nil
	}
	n := len(r.steps) - 1
	insert(scheduledAction{at: a.At + length, name: "end_" + string(s.Action), perform: func() error {
		// The affected hosts may act again as soon as the undo begins.
		r.steps[n].Until = boottime.Now()
		return undo()
	}})
	return nil
}

// awaitReady waits until all entry hosts are ready and serve each workload.
func (r *scenarioRun) awaitReady(ctx context.Context) error {
	deadline := boottime.Now() + readyTimeout
	for !r.balancer.allUp() {
		if boottime.Now() > deadline {
			return &RunError{Op: "start the cluster", Err: &TimeoutError{What: r.describeUnready()}}
		}
		if text := r.describeUnready(); strings.Contains(text, syscall.EADDRINUSE.Error()) {
			return &PortTakenError{Detail: text}
		}
		if !sleepUntil(ctx, boottime.Now()+100*time.Millisecond) {
			return ctx.Err()
		}
	}
	var group errgroup.Group
	for i, name := range sortedKeys(r.cluster.cfg.Plan.Workloads) {
		rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(i)))
		group.Go(func() error { return r.awaitServed(ctx, r.cluster.cfg.Plan.Workloads[name], rng, deadline) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// awaitServed sends requests of a workload until readyStreak consecutive ones
// succeed.
func (r *scenarioRun) awaitServed(ctx context.Context, w WorkloadPlan, rng *rand.Rand, deadline time.Duration) error {
	for streak := 0; streak < readyStreak && ctx.Err() == nil; {
		key := keyName(w, rng.Uint64N(uint64(w.Keys)))
		last := r.caller.call(ctx, r.load.request(rng, w, r.load.customersOf(w)[0], key, boottime.Now()))
		r.load.addCall(last)
		streak++
		if last.Outcome != CallOK {
			streak = 0
			sleepUntil(ctx, boottime.Now()+50*time.Millisecond)
		}
		if boottime.Now() > deadline {
			return &RunError{Op: "start the cluster", Err: &TimeoutError{What: fmt.Sprintf("successful responses of %s; last: %s %s", w.Name, last.Outcome, last.Code)}}
		}
	}
	return nil
}

// describeUnready describes the entry hosts that are not ready, with the last
// lines of their logs.
func (r *scenarioRun) describeUnready() string {
	out := "readiness of these entry hosts:"
	for _, h := range r.balancer.hosts {
		if h.up.Load() {
			continue
		}
		p := r.cluster.entries[h.name].proc
		data, _ := os.ReadFile(p.logPath)
		out += fmt.Sprintf(" %s (running %t) log: %s", h.name, p.pid() != 0, data[max(0, len(data)-logTailBytes):])
	}
	return out
}

// startProbes sends requests at a fixed interval for some shards of the targets
// that the steps affect and of the others, so that the unavailable time can be
// measured even when keys are rarely requested.
func (r *scenarioRun) startProbes(ctx, callCtx context.Context) {
	if !r.scenario.measuresAvailability() {
		return
	}
	disrupted := map[string]bool{}
	for _, s := range r.scenario.Steps {
		if !slices.Contains(disruptiveActions, s.Action) {
			continue
		}
		for _, t := range r.resolveStep(s).Targets {
			disrupted[t] = true
		}
	}
	r.background.Go(func() {
		if !sleepUntil(ctx, r.evidence.MeasureFrom) {
			return
		}
		owners := r.caller.observedOwners()
		for _, name := range sortedKeys(r.cluster.cfg.Plan.Workloads) {
			r.probeWorkload(ctx, callCtx, r.cluster.cfg.Plan.Workloads[name], disrupted, owners)
		}
	})
}

// probeWorkload probes shards of each disrupted target, and of all others
// together, within probeShare of the workload's capacity.
func (r *scenarioRun) probeWorkload(ctx, callCtx context.Context, w WorkloadPlan, disrupted map[string]bool, owners map[shardName]string) {
	groups := map[string][]int32{}
	for shard := range w.Shards {
		owner := owners[shardName{w.Name, shard}]
		if owner != "" && !disrupted[owner] {
			owner = "others"
		}
		if owner != "" {
			groups[owner] = append(groups[owner], shard)
		}
	}
	budget := r.cluster.cfg.Plan.Capacity(w) * probeShare * probeInterval.Seconds()
	for _, group := range sortedKeys(groups) {
		n := min(probedShards, max(1, int(budget)/len(groups)))
		for _, shard := range groups[group][:min(n, len(groups[group]))] {
			r.load.probe(ctx, callCtx, w, probeKey(w, shard))
		}
	}
}

// usage returns the resource usage of all entry hosts so far.
func (r *scenarioRun) usage() usage {
	u := usage{at: boottime.Now(), peerBytes: r.cluster.network.bytesCarried(linkPeer), logBytes: r.cluster.network.bytesCarried(linkLog), entryCount: len(r.cluster.entries)}
	for _, n := range r.cluster.entries {
		u.cpu += n.proc.cpu()
		if m := n.proc.memory(); m > 0 {
			u.memory += m
			u.memorySamples++
		}
	}
	return u
}
