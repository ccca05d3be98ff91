package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

const (
	// maxMovesPerRecord keeps records well below the size limits of logs.
	maxMovesPerRecord = 2048
	// maxPlanInterval is the longest time between two plans. A plan is made
	// earlier when the state or the fitness of a target or granter has changed.
	// The limit bounds the time until a slow target loses shards.
	maxPlanInterval = 500 * time.Millisecond
	// firstPlanWait is how long the first assignment waits for the targets of all
	// domains to become known, so that it spreads the shards over all of them.
	firstPlanWait = 3 * time.Second
	// domainSilentAfter is the time without a response from a domain's leader
	// after which the coordinator may plan for the domain.
	domainSilentAfter = 800 * time.Millisecond
)

// planner is the state of servePlanner.
type planner struct {
	// planningSince is when this host began to plan; zero while it does not.
	planningSince time.Duration
	// plannedAt, plannedState and plannedChanges are the time, the state and
	// fitnessTracker.changeCount at the last plan.
	plannedAt      time.Duration
	plannedState   *journal.State
	plannedChanges uint64
	rebalancedAt   map[string]time.Duration
	splitSeenAt    map[loadKey]time.Duration
	loads          *loadTable
}

// servePlanner plans moves while this host is the leader of its domain.
func (c *Control) servePlanner(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.Timing.PlanInterval)
	defer tick.Stop()
	p := &planner{rebalancedAt: map[string]time.Duration{}, loads: c.loads}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || !c.leads(st) || c.stopping.Load() {
			p.planningSince = 0
			continue
		}
		if p.planningSince == 0 {
			p.planningSince = c.cfg.Now()
		}
		if p.due(c.cfg.Now(), st, c.domains.fitness.changeCount.Load()) {
			c.plan(ctx, st, p)
		}
	}
}

// due reports whether a plan is due; if so, it records that the plan is made.
func (p *planner) due(now time.Duration, st *journal.State, changes uint64) bool {
	if st == p.plannedState && changes == p.plannedChanges && now-p.plannedAt < maxPlanInterval {
		return false
	}
	p.plannedAt, p.plannedState, p.plannedChanges = now, st, changes
	return true
}

// plan makes a plan from the state and the fitness of targets, and writes it to
// the log. The leader of each domain moves the shards of its own targets; the
// coordinator, which is the leader of coordinatorDomain, does the rest. Two
// hosts may write plans at once, since a move names the epoch that it replaces.
func (c *Control) plan(ctx context.Context, st *journal.State, p *planner) {
	in := ownership.PlanInput{Table: st.Table, Targets: c.planTargets(st), Now: c.cfg.Now(), LastRebalance: p.rebalancedAt}
	loads := p.loads.forPlan(st.Table)
	in.Load, in.HotKeys = loads.shards, loads.hotKeys
	plan := ownership.MakePlan(ownership.DefaultPlanConfig(), in)
	coordinator := c.inCoordinatorDomain(st)
	mayAssignFirst := coordinator && c.allTargetsKnown(st, p)
	for _, m := range plan.Moves {
		if len(m.Shards) == 0 || !p.mayBalance(st, loads, m.Reason, m.Shards[0].Workload) {
			continue
		}
		m = c.ownMoves(st, m, coordinator, mayAssignFirst)
		for _, part := range splitMove(m) {
			if !c.appendPlan(ctx, journal.KindMove, part, "reason", m.Reason, "shards", len(part.Shards)) {
				return
			}
		}
		// The loss of a target also delays balancing, so that it does not cause
		// moves between other targets.
		if (m.Reason == ownership.ReasonRebalance || m.Reason == ownership.ReasonLost) && len(m.Shards) > 0 {
			p.rebalancedAt[m.Shards[0].Workload] = c.cfg.Now()
		}
	}
	if !coordinator {
		return
	}
	p.trackSplits(st, in.Now)
	for _, s := range plan.Splits {
		if !p.mayBalance(st, loads, ownership.ReasonHot, s.Workload) {
			continue
		}
		c.appendPlan(ctx, journal.KindSplit, s, "workload", s.Workload)
	}
	for _, m := range plan.Merges {
		if in.Now-p.splitSeenAt[loadKey{m.Workload, m.Key}] < minSplitAge || !p.mayBalance(st, loads, ownership.ReasonHot, m.Workload) {
			continue
		}
		c.appendPlan(ctx, journal.KindMerge, m, "workload", m.Workload)
	}
}

// mayBalance reports whether moves for a reason are allowed: those that balance
// load need a sufficient sample.
func (p *planner) mayBalance(st *journal.State, loads planLoads, reason ownership.Reason, workload string) bool {
	if reason != ownership.ReasonHot && reason != ownership.ReasonRebalance {
		return true
	}
	targets := 0
	for _, t := range st.Config.Targets {
		if t.Workload == workload {
			targets++
		}
	}
	return loads.sufficientFor(workload, targets)
}

// trackSplits records when each split key was first seen.
func (p *planner) trackSplits(st *journal.State, now time.Duration) {
	splits := map[loadKey]time.Duration{}
	for name, w := range st.Table.Workloads {
		for key := range w.HotKeys {
			k := loadKey{name, key}
			splits[k] = now
			if at, ok := p.splitSeenAt[k]; ok {
				splits[k] = at
			}
		}
	}
	p.splitSeenAt = splits
}

func (c *Control) appendPlan(ctx context.Context, kind journal.Kind, body any, fields ...any) bool {
	res, err := c.Append(ctx, kind, body)
	if err != nil {
		c.log.Warn("plan not written", append(fields, "kind", kind, "error", err)...)
		return false
	}
	c.log.Info("plan written", append(fields, "kind", kind, "outcome", res.Outcome)...)
	return true
}

// ownMoves returns the entries of a move that this host may write. mayAssignFirst
// allows the first assignment of shards.
func (c *Control) ownMoves(st *journal.State, m journal.Move, coordinator, mayAssignFirst bool) journal.Move {
	m.Shards = slices.DeleteFunc(slices.Clone(m.Shards), func(e ownership.MoveShard) bool {
		s, _ := st.Table.Get(e.ID)
		switch {
		case s.Owner == "":
			return !mayAssignFirst
		case m.Reason == ownership.ReasonHot || m.Reason == ownership.ReasonRebalance:
			return !coordinator
		}
		owner := s.Owner
		if s.UnreleasedEpoch != 0 && m.Reason == ownership.ReasonLost {
			owner = s.PreviousOwner
		}
		d := st.Config.Targets[owner].Domain
		return d != c.cfg.Self.Domain && !(coordinator && c.plansFor(st, d))
	})
	return m
}

// allTargetsKnown reports whether the targets of all domains are known, or
// firstPlanWait has passed.
func (c *Control) allTargetsKnown(st *journal.State, p *planner) bool {
	if c.cfg.Now()-p.planningSince > firstPlanWait {
		return true
	}
	for name, t := range st.Config.Targets {
		if st.Config.TargetInService(name) && !c.targetView(name, t.Domain).Known {
			return false
		}
	}
	return true
}

// plansFor reports whether the coordinator plans for a domain whose own leader
// does not: operators declared the domain lost, or it is silent and may serve in
// isolation for a limited time only.
func (c *Control) plansFor(st *journal.State, domain string) bool {
	if st.Config.Domains[domain].State == contract.StateLost {
		return true
	}
	return st.Config.IsolatedServeMS >= 0 && c.domainSilent(domain)
}

func (c *Control) domainSilent(domain string) bool {
	c.leader.mu.Lock()
	defer c.leader.mu.Unlock()
	last, ok := c.leader.remoteAnsweredAt[domain]
	return ok && c.cfg.Now()-last > domainSilentAfter
}

// planTargets returns the planner's input for all targets.
func (c *Control) planTargets(st *journal.State) []ownership.PlanTarget {
	out := make([]ownership.PlanTarget, 0, len(st.Config.Targets))
	weights := c.loads.slowTargetWeights(st.Config.Targets)
	for name, t := range st.Config.Targets {
		status := c.targetView(name, t.Domain)
		own := t.Domain == c.cfg.Self.Domain
		lost := own && c.domains.fitness.isLost(name) || !own && c.plansFor(st, t.Domain)
		// Targets that a new leader does not know yet must not look as if they
		// were leaving.
		inService := st.Config.TargetInService(name) && !lost
		eligible := inService && status.Fit && status.State != provider.TargetLeaving
		out = append(out, ownership.PlanTarget{
			Name: name, Workload: t.Workload, Domain: t.Domain, Capacity: float64(t.Slots) * targetWeight(weights, name),
			Eligible: eligible, Ready: status.Ready, Lost: lost, Unknown: inService && !status.Known,
		})
	}
	slices.SortFunc(out, func(a, b ownership.PlanTarget) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func targetWeight(weights map[string]float64, target string) float64 {
	if w, ok := weights[target]; ok {
		return w
	}
	return 1
}

// splitMove splits a move into records of at most maxMovesPerRecord shards.
func splitMove(m journal.Move) []journal.Move {
	var out []journal.Move
	for part := range slices.Chunk(m.Shards, maxMovesPerRecord) {
		out = append(out, journal.Move{Reason: m.Reason, Shards: part})
	}
	return out
}

// inCoordinatorDomain reports whether the leader of this host's domain is the
// coordinator.
func (c *Control) inCoordinatorDomain(st *journal.State) bool {
	return c.coordinatorDomain(st) == c.cfg.Self.Domain
}

// coordinatorDomain returns the domain whose leader is the coordinator: the
// first one that is in service, has granters and is not silent; "" when there is
// none.
func (c *Control) coordinatorDomain(st *journal.State) string {
	for _, d := range st.Config.DomainOrder {
		if st.Config.Domains[d].State.InService() && len(st.Granters[d].Members) > 0 && (d == c.cfg.Self.Domain || !c.domainSilent(d)) {
			return d
		}
	}
	return ""
}
