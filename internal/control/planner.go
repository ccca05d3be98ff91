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
	// maxMovesPerRecord keeps one record well below the size limits of logs.
	maxMovesPerRecord = 2048
	// planAtLeast is the longest time between two plans; otherwise one is made
	// when the state or the judgement of a target has changed. It bounds the
	// time until a slow target is relieved.
	planAtLeast = 500 * time.Millisecond
	// firstPlanWait is how long the first assignment waits for the targets of
	// all domains, so that the shards are spread over all of them at once.
	firstPlanWait = 3 * time.Second
	// domainSilentAfter is how long the leader of another domain must have
	// been silent before the coordinator plans for it.
	domainSilentAfter = 800 * time.Millisecond
)

// planner is the state of the planning duty.
type planner struct {
	since time.Duration
	// last is when, seen the state and changes the count of judgements at
	// which the last plan was made.
	last       time.Duration
	seen       *journal.State
	changes    uint64
	rebalanced map[string]time.Duration
	splitAt    map[loadKey]time.Duration
	loads      *loadTable
}

// servePlanner plans moves while this host leads its domain.
func (c *Control) servePlanner(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.Timing.PlanInterval)
	defer tick.Stop()
	p := &planner{rebalanced: map[string]time.Duration{}, loads: c.loads}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || !c.leads(st) || c.stopping.Load() {
			p.since = 0
			continue
		}
		if p.since == 0 {
			p.since = c.cfg.Now()
		}
		if p.due(c.cfg.Now(), st, c.domains.fitness.changes.Load()) {
			c.plan(ctx, st, p)
		}
	}
}

// due reports whether a plan is to be made, and notes that it is.
func (p *planner) due(now time.Duration, st *journal.State, changes uint64) bool {
	if st == p.seen && changes == p.changes && now-p.last < planAtLeast {
		return false
	}
	p.last, p.seen, p.changes = now, st, changes
	return true
}

// plan proposes what the state and the fitness of targets call for. The
// leader of each domain moves the shards of its own targets; the coordinator,
// which is the leader of the first domain that has one, does the rest. Two
// proposers at once are harmless, since a move names the epoch it replaces.
func (c *Control) plan(ctx context.Context, st *journal.State, p *planner) {
	in := ownership.PlanInput{Table: st.Table, Targets: c.planTargets(st), Now: c.cfg.Now(), LastRebalance: p.rebalanced}
	known := p.loads.plan(st.Table)
	in.Load, in.HotKeys = known.shards, known.hot
	plan := ownership.MakePlan(ownership.DefaultPlanConfig(), in)
	coordinator := c.isFirstDomain(st)
	mayStart := coordinator && c.allKnown(st, p)
	for _, m := range plan.Moves {
		if len(m.Shards) == 0 || !p.mayBalance(st, known, m.Reason, m.Shards[0].Workload) {
			continue
		}
		m = c.ownPart(st, m, coordinator, mayStart)
		for _, part := range splitMove(m) {
			if !c.appendPlan(ctx, journal.KindMove, part, "reason", m.Reason, "shards", len(part.Shards)) {
				return
			}
		}
		// A loss also puts balancing off, so that one loss is not followed by
		// moves between targets that it did not touch.
		if (m.Reason == ownership.ReasonRebalance || m.Reason == ownership.ReasonLost) && len(m.Shards) > 0 {
			p.rebalanced[m.Shards[0].Workload] = c.cfg.Now()
		}
	}
	if !coordinator {
		return
	}
	p.noteSplits(st, in.Now)
	for _, s := range plan.Splits {
		if !p.mayBalance(st, known, ownership.ReasonHot, s.Workload) {
			continue
		}
		c.appendPlan(ctx, journal.KindSplit, s, "workload", s.Workload)
	}
	for _, m := range plan.Merges {
		if in.Now-p.splitAt[loadKey{m.Workload, m.Key}] < leastSplitAge || !p.mayBalance(st, known, ownership.ReasonHot, m.Workload) {
			continue
		}
		c.appendPlan(ctx, journal.KindMerge, m, "workload", m.Workload)
	}
}

// mayBalance reports whether moves for a reason may be made: those that
// balance need a sample of the load.
func (p *planner) mayBalance(st *journal.State, known loads, reason ownership.Reason, workload string) bool {
	if reason != ownership.ReasonHot && reason != ownership.ReasonRebalance {
		return true
	}
	targets := 0
	for _, t := range st.Config.Targets {
		if t.Workload == workload {
			targets++
		}
	}
	return known.known(workload, targets)
}

// noteSplits remembers when each split key was first seen.
func (p *planner) noteSplits(st *journal.State, now time.Duration) {
	seen := map[loadKey]time.Duration{}
	for name, w := range st.Table.Workloads {
		for key := range w.HotKeys {
			k := loadKey{name, key}
			seen[k] = now
			if at, ok := p.splitAt[k]; ok {
				seen[k] = at
			}
		}
	}
	p.splitAt = seen
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

// ownPart returns the entries of a move that this host proposes. mayStart says
// that it may make the first assignment.
func (c *Control) ownPart(st *journal.State, m journal.Move, coordinator, mayStart bool) journal.Move {
	m.Shards = slices.DeleteFunc(slices.Clone(m.Shards), func(e ownership.MoveShard) bool {
		s, _ := st.Table.Get(e.ID)
		switch {
		case s.Owner == "":
			return !mayStart
		case m.Reason == ownership.ReasonHot || m.Reason == ownership.ReasonRebalance:
			return !coordinator
		}
		holder := s.Owner
		if s.UnreleasedEpoch != 0 && m.Reason == ownership.ReasonLost {
			holder = s.PreviousOwner
		}
		d := st.Config.Targets[holder].Domain
		return d != c.cfg.Self.Domain && !(coordinator && c.actsFor(st, d))
	})
	return m
}

// allKnown reports whether the targets of all domains are known, or have had
// their time.
func (c *Control) allKnown(st *journal.State, p *planner) bool {
	if c.cfg.Now()-p.since > firstPlanWait {
		return true
	}
	for name, t := range st.Config.Targets {
		if st.Config.TargetInService(name) && !c.knownTarget(name, t.Domain).Known {
			return false
		}
	}
	return true
}

// actsFor reports whether the coordinator plans for a domain whose own leader
// does not: the domain is lost, or has been silent and may not serve without
// end.
func (c *Control) actsFor(st *journal.State, domain string) bool {
	if st.Config.Domains[domain].State == contract.StateLost {
		return true
	}
	return st.Config.IsolatedServeMS >= 0 && c.domainSilent(domain)
}

func (c *Control) domainSilent(domain string) bool {
	c.leader.mu.Lock()
	defer c.leader.mu.Unlock()
	last, ok := c.leader.remoteAt[domain]
	return ok && c.cfg.Now()-last > domainSilentAfter
}

// planTargets describes all targets to the planner.
func (c *Control) planTargets(st *journal.State) []ownership.PlanTarget {
	out := make([]ownership.PlanTarget, 0, len(st.Config.Targets))
	weights := c.loads.weights(st.Config.Targets)
	for name, t := range st.Config.Targets {
		known := c.knownTarget(name, t.Domain)
		own := t.Domain == c.cfg.Self.Domain
		lost := own && c.domains.fitness.lost(name) || !own && c.actsFor(st, t.Domain)
		// A host that has just begun to lead has heard of no target; that must
		// not look as if all of them left.
		in := st.Config.TargetInService(name) && !lost
		fit := in && known.Fit && known.State != provider.TargetLeaving
		out = append(out, ownership.PlanTarget{
			Name: name, Workload: t.Workload, Domain: t.Domain, Capacity: float64(t.Slots) * weightOf(weights, name),
			Eligible: fit, Ready: known.Ready, Lost: lost, Unknown: in && !known.Known,
		})
	}
	slices.SortFunc(out, func(a, b ownership.PlanTarget) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func weightOf(weights map[string]float64, target string) float64 {
	if w, ok := weights[target]; ok {
		return w
	}
	return 1
}

// splitMove cuts a move into records of a bearable size.
func splitMove(m journal.Move) []journal.Move {
	var out []journal.Move
	for part := range slices.Chunk(m.Shards, maxMovesPerRecord) {
		out = append(out, journal.Move{Reason: m.Reason, Shards: part})
	}
	return out
}

// isFirstDomain reports whether this host's domain is the first one that is in
// service and has granters. Its leader is the coordinator.
func (c *Control) isFirstDomain(st *journal.State) bool {
	return c.coordinatorDomain(st) == c.cfg.Self.Domain
}

// coordinatorDomain returns the domain whose leader is the coordinator, or "".
func (c *Control) coordinatorDomain(st *journal.State) string {
	for _, d := range st.Config.DomainOrder {
		if st.Config.Domains[d].State.InService() && len(st.Granters[d].Members) > 0 && (d == c.cfg.Self.Domain || !c.domainSilent(d)) {
			return d
		}
	}
	return ""
}
