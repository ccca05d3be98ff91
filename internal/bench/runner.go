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
	// readyLimit is how long a cluster may take until it serves.
	readyLimit = 20 * time.Second
	// idleTime is measured before the load, for the cost of the control plane.
	idleTime = 700 * time.Millisecond
	// warmUp is the part of the load that is left out of the figures.
	warmUp = 3 * time.Second
	// warmUpPart limits the warm-up to a part of the duration.
	warmUpPart = 0.15
	// answerLimit is how long the answers may take after the load has ended.
	answerLimit = 3 * time.Second
	// probedShards limits the probed shards of each target that a step hits,
	// and of all others together.
	probedShards = 8
	// probeShare is the part of a workload's capacity that probes may use. The
	// other load is reduced by it.
	probeShare = 0.2
	// logTail is how much of a log is shown, in bytes.
	logTail = 400
	// readyStreak is the number of successes in a row that shows a workload
	// to be served.
	readyStreak = 5
)

// Options are the parameters of a run.
type Options struct {
	Deployment string
	Scenario   string
	// CustomScenario is played instead of the scenario named by Scenario when it has a
	// name.
	CustomScenario    Scenario
	Seed              uint64
	Duration          time.Duration
	Scale             float64
	DisabledSafeguard string
	Binaries          Binaries
	// KeepDir keeps logs and records there; empty means a temporary directory
	// that is removed.
	KeepDir string
	Logger  hclog.Logger
}

// run is one scenario under one policy.
type run struct {
	opts       Options
	scenario   Scenario
	cluster    *Cluster
	balancer   *balancer
	caller     *caller
	load       *load
	config     configurer
	probe      *configProbe
	background sync.WaitGroup
	steps      []Applied

	idle, start, end usage
	evidence         Evidence
}

// usage is what the entry hosts had used at one time.
type usage struct {
	at          time.Duration
	cpu         time.Duration
	memory      int64
	peer, log   int64
	entries     int
	memoryCount int
}

// RunScenario plays a scenario under one policy. A run whose entry hosts could not bind
// their ports, because another program took one first, is started again.
func RunScenario(ctx context.Context, o Options, policy Policy) (Result, error) {
	var res Result
	var err error
	for range startTries {
		var taken *PortTakenError
		if res, err = playOnce(ctx, o, policy); !errors.As(err, &taken) {
			break
		}
		o.Logger.Warn("start again", "error", err)
	}
	return res, err
}

func playOnce(ctx context.Context, o Options, policy Policy) (Result, error) {
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
			return Result{}, &RunError{Op: "make a directory", Err: err}
		}
	}
	plan.limitLast(s.LastRate)
	dir, err := os.MkdirTemp(o.KeepDir, "bench-"+string(policy)+"-")
	if err != nil {
		return Result{}, &RunError{Op: "make a directory", Err: err}
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
	r := &run{opts: o, scenario: s, cluster: c}
	if err := r.play(ctx); err != nil {
		return Result{}, err
	}
	o.Logger.Info("load and answers ended", "policy", policy)
	defer o.Logger.Info("evidence checked", "policy", policy)
	return r.result(policy)
}

func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	plan := r.cluster.cfg.Plan
	r.balancer = newBalancer(r.cluster)
	r.caller = newCaller(plan, r.balancer)
	r.load = newLoad(plan, r.caller, r.scenario, r.opts.Seed)
	if r.scenario.measuresAvailability() {
		r.load.share = (plan.Utilization - probeShare) / plan.Utilization
	}
	r.probe = &configProbe{}
	r.config = newLogConfigurer(r.cluster.logAddr.Addr)
	if r.cluster.cfg.Policy == PolicyBaseline {
		b := &baselineConfigurer{}
		for _, e := range plan.Entries {
			b.operators = append(b.operators, r.cluster.entries[e.Name].operator)
		}
		r.config = b
	}
	r.background.Go(func() { r.balancer.run(ctx) })
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	r.opts.Logger.Info("cluster serves")
	r.idle = r.usage()
	if r.cluster.cfg.Policy == PolicyBoragelock {
		time.Sleep(idleTime)
	}
	return r.playLoad(ctx)
}

// playLoad offers the load and performs the steps on time.
func (r *run) playLoad(ctx context.Context) error {
	r.start = r.usage()
	begin := boottime.Now()
	r.evidence.Begin = begin
	r.evidence.MeasureFrom = begin + min(warmUp, time.Duration(warmUpPart*float64(r.opts.Duration)))
	loadCtx, stopLoad := context.WithDeadline(ctx, time.Now().Add(r.opts.Duration))
	defer stopLoad()
	answers, stopAnswers := context.WithDeadline(ctx, time.Now().Add(r.opts.Duration+answerLimit))
	defer stopAnswers()
	if r.scenario.has(ActChangeConfig, ActRaceConfig) {
		r.background.Go(func() { r.probe.run(loadCtx, r.balancer) })
	}
	done := make(chan struct{})
	go func() { r.load.run(loadCtx, answers); close(done) }()
	r.startProbes(loadCtx, answers)
	err := r.perform(loadCtx, begin)
	if err != nil {
		stopLoad()
		stopAnswers()
	}
	<-done
	r.end = r.usage()
	r.evidence.End = begin + r.opts.Duration
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// scheduled is a step or the end of one.
type scheduled struct {
	at   time.Duration
	do   func() error
	name string
}

// perform performs the steps in order of time. The ends of steps are inserted
// as they become known. What is left at the end of the load is not performed.
func (r *run) perform(ctx context.Context, begin time.Duration) error {
	var queue []scheduled
	insert := func(x scheduled) {
		i, _ := slices.BinarySearchFunc(queue, x, func(a, b scheduled) int {
			if a.at <= b.at {
				return -1
			}
			return 1
		})
		queue = slices.Insert(queue, i, x)
	}
	for _, s := range r.scenario.Steps {
		at := begin + time.Duration(s.At*float64(r.opts.Duration)) + time.Duration(s.AfterMS)*time.Millisecond
		insert(scheduled{at: at, name: string(s.Action), do: func() error { return r.step(ctx, s, insert) }})
	}
	for len(queue) > 0 {
		x := queue[0]
		queue = queue[1:]
		if !sleepUntil(ctx, x.at) {
			break
		}
		r.opts.Logger.Info("step", "name", x.name, "at_s", fmt.Sprintf("%.1f", (boottime.Now()-begin).Seconds()))
		if err := x.do(); err != nil {
			return &RunError{Op: "step " + x.name, Err: err}
		}
	}
	<-ctx.Done()
	return nil
}

// step performs one step and schedules its end.
func (r *run) step(ctx context.Context, s Step, insert func(scheduled)) error {
	a := r.hit(s)
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
	insert(scheduled{at: a.At + length, name: "end_" + string(s.Action), do: func() error {
		// The bench may act again as soon as the end begins.
		r.steps[n].Until = boottime.Now()
		return undo()
	}})
	return nil
}

// awaitReady waits until all entry hosts are ready and each workload answers
// requests through them.
func (r *run) awaitReady(ctx context.Context) error {
	deadline := boottime.Now() + readyLimit
	for !r.balancer.allUp() {
		if boottime.Now() > deadline {
			return &RunError{Op: "start the cluster", Err: &TimeoutError{What: r.unready()}}
		}
		if text := r.unready(); strings.Contains(text, syscall.EADDRINUSE.Error()) {
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

// awaitServed makes requests of a workload until some in a row succeed.
func (r *run) awaitServed(ctx context.Context, w WorkloadPlan, rng *rand.Rand, deadline time.Duration) error {
	for streak := 0; streak < readyStreak && ctx.Err() == nil; {
		key := keyName(w, rng.Uint64N(uint64(w.Keys)))
		last := r.caller.call(ctx, r.load.request(rng, w, r.load.customersOf(w)[0], key, boottime.Now()))
		r.load.add(last)
		streak++
		if last.Outcome != CallOK {
			streak = 0
			sleepUntil(ctx, boottime.Now()+50*time.Millisecond)
		}
		if boottime.Now() > deadline {
			return &RunError{Op: "start the cluster", Err: &TimeoutError{What: fmt.Sprintf("answers of %s; last: %s %s", w.Name, last.Outcome, last.Code)}}
		}
	}
	return nil
}

// unready describes the entry hosts that are not ready, with the ends of their
// logs.
func (r *run) unready() string {
	out := "ready entry hosts:"
	for _, h := range r.balancer.hosts {
		if h.up.Load() {
			continue
		}
		p := r.cluster.entries[h.name].proc
		data, _ := os.ReadFile(p.log)
		out += fmt.Sprintf(" %s (running %t) log: %s", h.name, p.pid() != 0, data[max(0, len(data)-logTail):])
	}
	return out
}

// startProbes starts requests at a fixed interval for some shards of the
// targets that the steps hit and of the others, so that the time without
// service can be measured however seldom a key is asked for.
func (r *run) startProbes(ctx, answers context.Context) {
	if !r.scenario.measuresAvailability() {
		return
	}
	hit := map[string]bool{}
	for _, s := range r.scenario.Steps {
		if !slices.Contains(takesAway, s.Action) {
			continue
		}
		for _, t := range r.hit(s).Targets {
			hit[t] = true
		}
	}
	r.background.Go(func() {
		if !sleepUntil(ctx, r.evidence.MeasureFrom) {
			return
		}
		owners := r.caller.ownersSeen()
		for _, name := range sortedKeys(r.cluster.cfg.Plan.Workloads) {
			r.probeWorkload(ctx, answers, r.cluster.cfg.Plan.Workloads[name], hit, owners)
		}
	})
}

// probeWorkload probes shards of each target that is hit, and of all others
// together, within probeShare of the workload's capacity.
func (r *run) probeWorkload(ctx, answers context.Context, w WorkloadPlan, hit map[string]bool, owners map[shardName]string) {
	groups := map[string][]int32{}
	for shard := range w.Shards {
		owner := owners[shardName{w.Name, shard}]
		if owner != "" && !hit[owner] {
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
			r.load.probe(ctx, answers, w, probeKey(w, shard))
		}
	}
}

// usage sums up what the entry hosts have used so far.
func (r *run) usage() usage {
	u := usage{at: boottime.Now(), peer: r.cluster.net.carried(linkPeer), log: r.cluster.net.carried(linkLog), entries: len(r.cluster.entries)}
	for _, n := range r.cluster.entries {
		u.cpu += n.proc.cpu()
		if m := n.proc.memory(); m > 0 {
			u.memory += m
			u.memoryCount++
		}
	}
	return u
}
