package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// PlanConfig sets the limits of a plan.
type PlanConfig struct {
	// BatchesPerTarget is the number of batches into which the shards of an
	// average target are cut. Default 8.
	BatchesPerTarget int
	// ReceiverBatches is the number of batches that a target may be waiting
	// for at a time. Default 2.
	ReceiverBatches int
	// Imbalance is the load of the most loaded target, relative to the mean,
	// above which shards are moved to balance it. Default 1.10.
	Imbalance float64
	// ImbalanceGoal is where balancing stops, below Imbalance so that it does
	// not start again at once. Default 1.05.
	ImbalanceGoal float64
	// Spill is the load relative to the mean up to which targets of the same
	// domain take over the shards of a lost one. It does not exceed Imbalance,
	// or the loss would be followed by moves that balance. Default 1.10.
	Spill float64
	// RebalanceEvery is the shortest time between two plans that balance the
	// same workload. Default 10 s.
	RebalanceEvery time.Duration
	// Urgent is the load of the most loaded target, relative to the mean, from
	// which on UrgentEvery applies instead and UrgentBatches batches are moved
	// from each overloaded target: its requests wait or fail until then, for
	// example because it has become slow. Defaults 2, 1 s and 6.
	Urgent        float64
	UrgentEvery   time.Duration
	UrgentBatches int
	// HotShare is the load of a key, relative to the mean load of a target,
	// from which on it gets a shard of its own. Default 0.2.
	HotShare float64
	// ColdShare is the load, relative to the mean load of a target, below
	// which a split key is merged again. It is well below HotShare, so that a
	// key does not go back and forth. Default 0.05.
	ColdShare float64
	// HotMoves is the number of shards of hot keys that one plan moves per
	// workload. Default 4.
	HotMoves int
}

// DefaultPlanConfig returns the defaults.
func DefaultPlanConfig() PlanConfig {
	return PlanConfig{
		BatchesPerTarget: 8, ReceiverBatches: 2, Imbalance: 1.10, ImbalanceGoal: 1.05, Spill: 1.10,
		RebalanceEvery: 10 * time.Second, Urgent: 2, UrgentEvery: time.Second, UrgentBatches: 6, HotShare: 0.2, ColdShare: 0.05, HotMoves: 4,
	}
}

// PlanTarget is what a plan needs to know of a target.
type PlanTarget struct {
	Name, Workload, Domain string
	// Capacity is the load that the target bears, relative to others; its
	// slots for example. A value of 0 or less counts as 1.
	Capacity float64
	// Eligible says that it may own shards: it answers, does not leave, and
	// neither it nor its domain is out.
	Eligible bool
	// Ready says that it may receive shards in batches: it is not cold and has
	// not returned lately. It matters only when Eligible.
	Ready bool
	// Lost says that its shards are to be taken away without its word.
	Lost bool
	// Unknown says that nothing has been heard of the target yet, for example
	// because the planning host has just started: it keeps what it holds. A
	// target that is neither Eligible, Lost nor Unknown leaves.
	Unknown bool
}

// KeyLoad is the measured load of one key.
type KeyLoad struct {
	Workload, Key string
	// Load is in the unit of PlanInput.Load.
	Load float64
}

// PlanInput is what a plan is made from. It is not changed.
type PlanInput struct {
	Table   *Table
	Targets []PlanTarget
	// Load is the measured load of shards, in any unit; shards that are left
	// out have none. When a workload has no load at all each shard counts 1.
	Load map[ID]float64
	// HotKeys lists the keys with the highest loads.
	HotKeys []KeyLoad
	// Now and LastRebalance, the times of the last moves with ReasonRebalance per
	// workload, damp the balancing.
	Now           time.Duration
	LastRebalance map[string]time.Duration
}

// Plan holds the records that the present state calls for.
type Plan struct {
	Moves  []Move
	Splits []Split
	Merges []Merge
}

// MakePlan returns the moves, splits and merges for all workloads. It is a
// pure function: equal inputs give equal plans. Shards of lost targets and
// unassigned shards are all moved at once, those of targets that leave in
// batches; balancing and hot keys are considered only in a workload that has
// nothing else to do.
func MakePlan(cfg PlanConfig, in PlanInput) Plan {
	var p Plan
	for _, name := range slices.Sorted(maps.Keys(in.Table.Workloads)) {
		w := newWorkloadPlan(cfg, in, name)
		if len(w.fit) == 0 {
			continue
		}
		p.Moves = append(p.Moves, nonEmpty(w.initial(), w.lost(), w.escalated(), w.orphaned(), w.leaving())...)
		if w.moved {
			continue
		}
		w.splits(&p)
		if !w.moved {
			w.merges(&p)
		}
		p.Moves = append(p.Moves, nonEmpty(w.hotMoves(), w.rebalance())...)
	}
	return p
}

func nonEmpty(moves ...Move) []Move {
	return slices.DeleteFunc(moves, func(m Move) bool { return len(m.Shards) == 0 })
}

// workloadPlan is the work on one workload. It tracks the loads as if the
// moves made so far had taken place.
type workloadPlan struct {
	cfg     PlanConfig
	in      PlanInput
	name    string
	table   *WorkloadTable
	targets map[string]*planTarget
	// fit are the targets that may own shards, in order of name.
	fit []*planTarget
	// weights holds the load of each shard, owners its owner, nil when it has
	// none or an unknown one.
	weights []float64
	owners  []*planTarget
	// capacity is that of all fit targets, total the load of all shards.
	capacity, total float64
	// waiting counts the shards that wait for a release.
	waiting int
	moved   bool
}

type planTarget struct {
	PlanTarget
	// load is the sum of the weights of its shards, relative load per capacity.
	load, relative float64
	// inbound counts the shards that the target waits for.
	inbound int
}

func (t *planTarget) add(weight float64) {
	t.load += weight
	t.relative = t.load / t.Capacity
}

func newWorkloadPlan(cfg PlanConfig, in PlanInput, name string) *workloadPlan {
	w := &workloadPlan{cfg: cfg, in: in, name: name, table: in.Table.Workloads[name], targets: map[string]*planTarget{}}
	for _, t := range in.Targets {
		if t.Workload != name {
			continue
		}
		if t.Capacity <= 0 {
			t.Capacity = 1
		}
		pt := &planTarget{PlanTarget: t}
		w.targets[t.Name] = pt
		if t.Eligible && !t.Lost {
			w.fit = append(w.fit, pt)
			w.capacity += t.Capacity
		}
	}
	slices.SortFunc(w.fit, func(a, b *planTarget) int { return cmp.Compare(a.Name, b.Name) })
	w.weigh()
	w.owners = make([]*planTarget, len(w.table.Shards))
	for n, s := range w.table.Shards {
		if t := w.targets[s.Owner]; t != nil {
			w.owners[n] = t
			t.add(w.weights[n])
			if s.UnreleasedEpoch != 0 {
				t.inbound++
			}
		}
		if s.UnreleasedEpoch != 0 {
			w.waiting++
		}
	}
	return w
}

// baseWeight is the weight of an idle shard, relative to the mean load of a
// shard. It spreads idle shards, whose load may come at any time.
const baseWeight = 0.05

func (w *workloadPlan) weigh() {
	w.weights = make([]float64, len(w.table.Shards))
	sum := 0.0
	for id, load := range w.in.Load {
		if id.Workload == w.name && id.Shard >= 0 && int(id.Shard) < len(w.weights) && load > 0 {
			w.weights[id.Shard] = load
		}
	}
	// Summed in order, since the sum of floats depends on it.
	for _, load := range w.weights {
		sum += load
	}
	base := 1.0
	if sum > 0 {
		base = baseWeight * sum / float64(len(w.weights))
	}
	for n := range w.weights {
		// The place of a merged key has no load.
		if n < int(w.table.HashedShards) || w.table.Shards[n].Owner != "" {
			w.weights[n] += base
			w.total += w.weights[n]
		}
	}
}

func (w *workloadPlan) id(n int) ID { return ID{Workload: w.name, Shard: int32(n)} }

// mean is the load per capacity if all were even.
func (w *workloadPlan) mean() float64 { return w.total / w.capacity }

// assign adds a shard to a move and accounts for it.
func (w *workloadPlan) assign(m *Move, n int, to *planTarget) {
	s := w.table.Shards[n]
	m.Shards = append(m.Shards, MoveShard{ID: w.id(n), FromEpoch: s.Epoch, To: to.Name})
	if from := w.owners[n]; from != nil {
		from.add(-w.weights[n])
	}
	w.owners[n] = to
	to.add(w.weights[n])
	w.moved = true
}

// least returns the least loaded of the targets that pass, or nil.
func (w *workloadPlan) least(pass func(*planTarget) bool) *planTarget {
	var best *planTarget
	for _, t := range w.fit {
		if pass(t) && (best == nil || t.relative < best.relative) {
			best = t
		}
	}
	return best
}

// fits reports whether a target stays below a load relative to the mean when it
// gets a shard.
func (w *workloadPlan) fits(t *planTarget, n int, limit float64) bool {
	return t.load+w.weights[n] <= limit*w.mean()*t.Capacity
}

// replace returns the target that takes over a shard at once: the least loaded
// one of the domain while that stays below the limit, then of all domains.
// Targets that are not ready come after those that are.
func (w *workloadPlan) replace(n int, domain string) *planTarget {
	for _, ready := range []bool{true, false} {
		for _, near := range []bool{true, false} {
			t := w.least(func(t *planTarget) bool {
				return (t.Ready || !ready) && (t.Domain == domain || !near)
			})
			if t != nil && w.fits(t, n, w.cfg.Spill) {
				return t
			}
		}
	}
	return w.least(func(*planTarget) bool { return true })
}

func (w *workloadPlan) initial() Move {
	m := Move{Reason: ReasonInitial}
	for n, s := range w.table.Shards {
		if s.Owner == "" && n < int(w.table.HashedShards) {
			w.assign(&m, n, w.least(func(*planTarget) bool { return true }))
		}
	}
	return m
}

func (t *planTarget) isLost() bool { return t != nil && t.Lost }

func (w *workloadPlan) lost() Move {
	m := Move{Reason: ReasonLost}
	for n, s := range w.table.Shards {
		if from := w.owners[n]; from.isLost() && s.Active() {
			w.assign(&m, n, w.replace(n, from.Domain))
		}
	}
	return m
}

// escalated repeats the moves of shards whose former owner was lost before it
// released them, so that its lease may lapse.
func (w *workloadPlan) escalated() Move {
	m := Move{Reason: ReasonLost}
	for n, s := range w.table.Shards {
		if s.UnreleasedEpoch != 0 && !s.PreviousLost && w.targets[s.PreviousOwner].isLost() && !w.owners[n].isLost() {
			m.Shards = append(m.Shards, MoveShard{ID: w.id(n), FromEpoch: s.Epoch, To: s.Owner})
			w.moved = true
		}
	}
	return m
}

// orphaned gives another new owner to shards whose new owner was lost before
// it could act.
func (w *workloadPlan) orphaned() Move {
	m := Move{Reason: ReasonLeaving}
	for n, s := range w.table.Shards {
		if from := w.owners[n]; s.UnreleasedEpoch != 0 && from.isLost() {
			w.assign(&m, n, w.replace(n, from.Domain))
		}
	}
	return m
}

// batch is the number of shards in one batch.
func (w *workloadPlan) batch() int {
	parts := w.cfg.BatchesPerTarget * max(len(w.targets), 1)
	return max(1, (len(w.table.Shards)+parts-1)/parts)
}

// receives reports whether a target may get one more shard in a planned move.
func (w *workloadPlan) receives(t *planTarget) bool {
	return t.Ready && t.inbound < w.cfg.ReceiverBatches*w.batch()
}

// leaving moves shards away from targets that leave.
func (w *workloadPlan) leaving() Move {
	m := Move{Reason: ReasonLeaving}
	for n, from := range w.owners {
		if from == nil || from.Eligible || from.Lost || from.Unknown {
			continue
		}
		to := w.receiver(n, from)
		if to == nil {
			continue
		}
		to.inbound++
		w.assign(&m, n, to)
	}
	return m
}

// receiver returns the target that gets a shard in a planned move, of the same
// domain while that is not overloaded, or nil when all have enough to do.
func (w *workloadPlan) receiver(n int, from *planTarget) *planTarget {
	near := w.least(func(t *planTarget) bool { return w.receives(t) && t.Domain == from.Domain })
	if near != nil && w.fits(near, n, w.cfg.Imbalance) {
		return near
	}
	return w.least(w.receives)
}
