package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// Imbalance returns the load of the most loaded eligible target of a workload
// relative to the mean: 1 when all are equal, 0 when no target is eligible.
func Imbalance(cfg PlanConfig, in PlanInput, workload string) float64 {
	if in.Table.Workloads[workload] == nil {
		return 0
	}
	w := newWorkloadPlan(cfg, in, workload)
	if len(w.eligible) == 0 || w.totalLoad == 0 {
		return 0
	}
	return w.mostLoaded().loadPerCapacity / w.meanLoad()
}

func (w *workloadPlan) mostLoaded() *planTarget {
	return slices.MaxFunc(w.eligible, func(a, b *planTarget) int { return cmp.Compare(a.loadPerCapacity, b.loadPerCapacity) })
}

// rebalanceMove moves one batch, or several if the imbalance is urgent, from
// each overloaded target. It returns no moves while earlier ones of the workload
// are incomplete, because the load after them is not yet known.
func (w *workloadPlan) rebalanceMove() Move {
	m := Move{Reason: ReasonRebalance}
	lastRebalance, known := w.in.LastRebalance[w.name]
	interval, batches := w.cfg.RebalanceInterval, 1
	if w.mostLoaded().loadPerCapacity > w.cfg.UrgentImbalance*w.meanLoad() {
		interval, batches = w.cfg.UrgentInterval, w.cfg.UrgentBatches
	}
	if w.unreleased > 0 || w.changed || (known && w.in.Now-lastRebalance < interval) {
		return m
	}
	if w.mostLoaded().loadPerCapacity <= w.cfg.MaxImbalance*w.meanLoad() {
		return m
	}
	byTarget := w.shardsByWeight()
	for _, from := range w.eligible {
		for range batches * w.batchSize() {
			if from.loadPerCapacity <= w.cfg.ImbalanceGoal*w.meanLoad() {
				break
			}
			n, to := w.bestMove(from, byTarget[from.Name])
			if to == nil {
				break
			}
			byTarget[from.Name] = slices.DeleteFunc(byTarget[from.Name], func(x int) bool { return x == n })
			to.inbound++
			w.assign(&m, n, to)
		}
	}
	return m
}

// shardsByWeight returns the active shards of each target, heaviest first.
func (w *workloadPlan) shardsByWeight() map[string][]int {
	byTarget := map[string][]int{}
	for n, t := range w.owners {
		if t != nil && w.table.Shards[n].Active() {
			byTarget[t.Name] = append(byTarget[t.Name], n)
		}
	}
	for _, shards := range byTarget {
		slices.SortStableFunc(shards, func(a, b int) int { return cmp.Compare(w.weights[b], w.weights[a]) })
	}
	return byTarget
}

// bestMove returns the heaviest shard that can move without overloading the
// receiver, and the receiver. The least loaded target of the same domain takes
// precedence over the least loaded target of all domains. The target is nil when
// no shard fits.
func (w *workloadPlan) bestMove(from *planTarget, shards []int) (int, *planTarget) {
	for _, sameDomain := range []bool{true, false} {
		to := w.leastLoaded(func(t *planTarget) bool {
			return t != from && w.canReceive(t) && (t.Domain == from.Domain || !sameDomain)
		})
		if to == nil {
			continue
		}
		for _, n := range shards {
			if w.fits(to, n, w.cfg.ImbalanceGoal) {
				return n, to
			}
		}
	}
	return 0, nil
}

// planSplits gives keys with a high load a shard of their own. The new shard
// belongs to the parent's owner until hotKeyMove places it.
func (w *workloadPlan) planSplits(p *Plan) {
	remaining := MaxHotKeys - len(w.table.HotKeys)
	parents := map[int32]bool{}
	for _, k := range w.in.HotKeys {
		if k.Workload != w.name || remaining <= 0 || k.Load < w.cfg.HotShare*w.meanTargetLoad() {
			continue
		}
		parent := w.table.HashShard(k.Key)
		s := w.table.Shards[parent]
		if _, split := w.table.HotKeys[k.Key]; split || !s.Active() || parents[parent] {
			continue
		}
		// A plan splits a parent at most once: the next split needs its new epoch.
		parents[parent] = true
		remaining--
		// The split changes the parent's epoch, so this plan must not move it.
		w.changed = true
		p.Splits = append(p.Splits, Split{Workload: w.name, Key: k.Key, FromEpoch: s.Epoch})
	}
}

// meanTargetLoad returns the mean load of the eligible targets.
func (w *workloadPlan) meanTargetLoad() float64 { return w.totalLoad / float64(len(w.eligible)) }

// planMerges merges keys that are no longer hot into their parents. If the two
// shards have different owners, it first moves the key's shard to the parent's.
func (w *workloadPlan) planMerges(p *Plan) {
	toParent := Move{Reason: ReasonHot}
	parents := map[int32]bool{}
	for _, key := range slices.Sorted(maps.Keys(w.table.HotKeys)) {
		n := w.table.HotKeys[key]
		hot, parentIndex := w.table.Shards[n], w.table.HashShard(key)
		parent := w.table.Shards[parentIndex]
		cold := w.in.Load[w.id(int(n))] < w.cfg.ColdShare*w.meanTargetLoad()
		if !cold || len(w.in.Load) == 0 || !hot.Active() || !parent.Active() || parents[parentIndex] {
			continue
		}
		if hot.Owner == parent.Owner {
			parents[parentIndex], w.changed = true, true
			p.Merges = append(p.Merges, Merge{Workload: w.name, Key: key, FromEpoch: hot.Epoch})
		} else if to := w.targets[parent.Owner]; to != nil && to.Eligible && len(toParent.Shards) < w.cfg.MaxHotMoves {
			w.assign(&toParent, int(n), to)
		}
	}
	p.Moves = append(p.Moves, nonEmpty(toParent)...)
}

// hotKeyMove moves hot keys' shards away from overloaded owners. It does not
// wait for RebalanceInterval, because hot keys change within minutes and it
// moves few shards.
func (w *workloadPlan) hotKeyMove() Move {
	m := Move{Reason: ReasonHot}
	if w.changed {
		return m
	}
	var shards []int
	for n := int(w.table.HashedShards); n < len(w.table.Shards); n++ {
		if w.table.Shards[n].Active() {
			shards = append(shards, n)
		}
	}
	slices.SortStableFunc(shards, func(a, b int) int { return cmp.Compare(w.weights[b], w.weights[a]) })
	for _, n := range shards {
		from := w.owners[n]
		if len(m.Shards) == w.cfg.MaxHotMoves || from == nil || from.loadPerCapacity <= w.cfg.MaxImbalance*w.meanLoad() {
			continue
		}
		to := w.leastLoaded(func(t *planTarget) bool { return t != from && w.canReceive(t) })
		// A heavy key moves only if the receiver ends up below the owner's load
		// divided by MaxImbalance, so that the move lowers the highest load.
		if to != nil && (to.load+w.weights[n])/to.Capacity < from.loadPerCapacity/w.cfg.MaxImbalance {
			to.inbound++
			w.assign(&m, n, to)
		}
	}
	return m
}
