package control

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
)

// maxMovesPerRecord keeps one record well below the size limits of logs.
const maxMovesPerRecord = 2048

// servePlanner plans moves while this host leads its domain.
func (c *Control) servePlanner(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.Timing.PlanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			st := c.state()
			if st != nil && st.Config != nil && c.leads(st) {
				c.plan(ctx, st)
			}
		}
	}
}

// plan proposes the moves that the state and the fitness of targets call for.
func (c *Control) plan(ctx context.Context, st *journal.State) {
	for _, m := range c.planMoves(st) {
		if len(m.Shards) == 0 {
			continue
		}
		res, err := c.Append(ctx, journal.KindMove, m)
		if err != nil {
			c.log.Warn("moves not written", "reason", m.Reason, "error", err)
			return
		}
		c.log.Info("moves written", "reason", m.Reason, "shards", len(m.Shards), "outcome", res.Outcome)
	}
}

// planMoves assigns the shards that nobody owns and those of lost targets.
func (c *Control) planMoves(st *journal.State) []journal.Move {
	var out []journal.Move
	for name, w := range st.Table.Workloads {
		fit := c.fitTargets(st, name)
		if len(fit) == 0 {
			continue
		}
		counts := map[string]int{}
		for _, s := range w.Shards {
			counts[s.Owner]++
		}
		initial := journal.Move{Reason: ownership.ReasonInitial}
		lost := journal.Move{Reason: ownership.ReasonLost}
		for n, s := range w.Shards {
			id := ownership.ID{Workload: name, Shard: int32(n)}
			switch {
			case s.Owner == "" && s.Epoch == 0 && c.isFirstDomain(st):
				initial.Shards = append(initial.Shards, moveTo(id, s, fit, counts))
			case s.Owner != "" && c.isLost(st, s.Owner):
				lost.Shards = append(lost.Shards, moveTo(id, s, fit, counts))
			}
		}
		out = append(out, splitMove(initial)...)
		out = append(out, splitMove(lost)...)
	}
	return out
}

func moveTo(id ownership.ID, s ownership.Shard, fit []string, counts map[string]int) ownership.MoveShard {
	to := slices.MinFunc(fit, func(a, b string) int { return counts[a] - counts[b] })
	counts[to]++
	return ownership.MoveShard{ID: id, FromEpoch: s.Epoch, To: to}
}

// splitMove cuts a move into records of a bearable size.
func splitMove(m journal.Move) []journal.Move {
	var out []journal.Move
	for part := range slices.Chunk(m.Shards, maxMovesPerRecord) {
		out = append(out, journal.Move{Reason: m.Reason, Shards: part})
	}
	return out
}

// isFirstDomain reports whether this domain makes the first assignment.
func (c *Control) isFirstDomain(st *journal.State) bool {
	for _, d := range st.Config.DomainOrder {
		if st.Config.Domains[d].State.In() && len(st.Granters[d].Members) > 0 {
			return d == c.cfg.Self.Domain
		}
	}
	return false
}

// isLost reports whether a target of this domain has answered before and no
// longer does.
func (c *Control) isLost(st *journal.State, target string) bool {
	t, ok := st.Config.Targets[target]
	if !ok || t.Domain != c.cfg.Self.Domain {
		return false
	}
	f := c.domains.fitness.target(target)
	return f.Incarnation != "" && !f.Fit
}

// fitTargets lists the targets of a workload that can take shards.
func (c *Control) fitTargets(st *journal.State, workload string) []string {
	var out []string
	for name, t := range st.Config.Targets {
		if t.Workload != workload || !st.Config.TargetIn(name) || c.isLost(st, name) {
			continue
		}
		f := c.knownTarget(name, t.Domain)
		if f.Incarnation != "" && (!f.Fit || f.State == platform.TargetLeaving) {
			continue
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
