package ownership

import (
	"cmp"
	"maps"
	"slices"
)

// Imbalance returns the load of the most loaded fit target of a workload
// relative to the mean, 1 when all are even, 0 when there is no fit target.
func Imbalance(cfg PlanConfig, in PlanInput, workload string) float64 {
	if in.Table.Workloads[workload] == nil {
		return 0
	}
	w := newWorkloadPlan(cfg, in, workload)
	if len(w.fit) == 0 || w.total == 0 {
		return 0
	}
	return w.most().relative / w.mean()
}

func (w *workloadPlan) most() *planTarget {
	return slices.MaxFunc(w.fit, func(a, b *planTarget) int { return cmp.Compare(a.relative, b.relative) })
}

// rebalance moves a batch, or several when it is urgent, from each overloaded
// target. It waits until
// all moves of the workload are complete, since their loads are not yet known.
func (w *workloadPlan) rebalance() Move {
	m := Move{Reason: ReasonRebalance}
	last, before := w.in.LastRebalance[w.name]
	every, batches := w.cfg.RebalanceEvery, 1
	if w.most().relative > w.cfg.Urgent*w.mean() {
		every, batches = w.cfg.UrgentEvery, w.cfg.UrgentBatches
	}
	if w.waiting > 0 || w.moved || (before && w.in.Now-last < every) {
		return m
	}
	if w.most().relative <= w.cfg.Imbalance*w.mean() {
		return m
	}
	held := w.heldByWeight()
	for _, from := range w.fit {
		for range batches * w.batch() {
			if from.relative <= w.cfg.ImbalanceGoal*w.mean() {
				break
			}
			n, to := w.improvement(from, held[from.Name])
			if to == nil {
				break
			}
			held[from.Name] = slices.DeleteFunc(held[from.Name], func(x int) bool { return x == n })
			to.inbound++
			w.assign(&m, n, to)
		}
	}
	return m
}

// heldByWeight returns the active shards of each target, heaviest first.
func (w *workloadPlan) heldByWeight() map[string][]int {
	held := map[string][]int{}
	for n, t := range w.owners {
		if t != nil && w.table.Shards[n].Active() {
			held[t.Name] = append(held[t.Name], n)
		}
	}
	for _, shards := range held {
		slices.SortStableFunc(shards, func(a, b int) int { return cmp.Compare(w.weights[b], w.weights[a]) })
	}
	return held
}

// improvement returns the heaviest shard that can move without overloading its
// receiver, and the receiver: one of the same domain if there is one with room,
// else the least loaded one.
func (w *workloadPlan) improvement(from *planTarget, shards []int) (int, *planTarget) {
	for _, near := range []bool{true, false} {
		to := w.least(func(t *planTarget) bool {
			return t != from && w.receives(t) && (t.Domain == from.Domain || !near)
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

// splits gives keys with a high load a shard of their own. The shard starts at
// the parent's owner; hotMoves places it later.
func (w *workloadPlan) splits(p *Plan) {
	room := MaxHotKeys - len(w.table.HotKeys)
	parents := map[int32]bool{}
	for _, k := range w.in.HotKeys {
		if k.Workload != w.name || room <= 0 || k.Load < w.cfg.HotShare*w.targetMean() {
			continue
		}
		parent := w.table.HashShard(k.Key)
		s := w.table.Shards[parent]
		if _, split := w.table.HotKeys[k.Key]; split || !s.Active() || parents[parent] {
			continue
		}
		// One split per parent and plan: the next needs the parent's new epoch.
		parents[parent] = true
		room--
		// The split changes the parent's epoch, so no move may name it now.
		w.moved = true
		p.Splits = append(p.Splits, Split{Workload: w.name, Key: k.Key, FromEpoch: s.Epoch})
	}
}

// targetMean is the mean load of a target of mean capacity.
func (w *workloadPlan) targetMean() float64 { return w.total / float64(len(w.fit)) }

// merges puts keys that are no longer hot back into their parents. A key whose
// shard is at another owner is first moved to the parent's.
func (w *workloadPlan) merges(p *Plan) {
	back := Move{Reason: ReasonHot}
	parents := map[int32]bool{}
	for _, key := range slices.Sorted(maps.Keys(w.table.HotKeys)) {
		n := w.table.HotKeys[key]
		hot, at := w.table.Shards[n], w.table.HashShard(key)
		parent := w.table.Shards[at]
		cold := w.in.Load[w.id(int(n))] < w.cfg.ColdShare*w.targetMean()
		if !cold || len(w.in.Load) == 0 || !hot.Active() || !parent.Active() || parents[at] {
			continue
		}
		if hot.Owner == parent.Owner {
			parents[at], w.moved = true, true
			p.Merges = append(p.Merges, Merge{Workload: w.name, Key: key, FromEpoch: hot.Epoch})
		} else if to := w.targets[parent.Owner]; to != nil && to.Eligible && len(back.Shards) < w.cfg.HotMoves {
			w.assign(&back, int(n), to)
		}
	}
	p.Moves = append(p.Moves, nonEmpty(back)...)
}

// hotMoves places the shards of hot keys whose owner is overloaded. It does
// not wait for the interval of rebalance, because hot keys change within
// minutes, and moves few shards.
func (w *workloadPlan) hotMoves() Move {
	m := Move{Reason: ReasonHot}
	if w.moved {
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
		if len(m.Shards) == w.cfg.HotMoves || from == nil || from.relative <= w.cfg.Imbalance*w.mean() {
			continue
		}
		to := w.least(func(t *planTarget) bool { return t != from && w.receives(t) })
		// A heavy key moves only when that lowers the highest load by a tenth.
		if to != nil && (to.load+w.weights[n])/to.Capacity < from.relative/w.cfg.Imbalance {
			to.inbound++
			w.assign(&m, n, to)
		}
	}
	return m
}
