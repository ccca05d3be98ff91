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
	// average target are divided. Default 8.
	BatchesPerTarget int
	// ReceiverBatches is the number of incomplete batches that a target may
	// receive at a time. Default 2.
	ReceiverBatches int
	// MaxImbalance is the load of the most loaded target, relative to the mean,
	// above which shards are moved to balance the load. Default 1.10.
	MaxImbalance float64
	// ImbalanceGoal is the relative load at which balancing stops. It is below
	// MaxImbalance, so that balancing does not restart at once. Default 1.05.
	ImbalanceGoal float64
	// SpillLimit is the load relative to the mean up to which targets of the
	// same domain take over the shards of a lost one. It does not exceed
	// MaxImbalance; otherwise a loss would trigger rebalancing. Default 1.10.
	SpillLimit float64
	// RebalanceInterval is the shortest time between two plans that balance the
	// same workload. Default 10 s.
	RebalanceInterval time.Duration
	// UrgentImbalance is the load of the most loaded target, relative to the
	// mean, above which UrgentInterval replaces RebalanceInterval and
	// UrgentBatches batches are moved from each overloaded target. Requests of
	// such a target wait or fail until then, for example because it has become
	// slow. Defaults 2, 1 s and 6.
	UrgentImbalance float64
	UrgentInterval  time.Duration
	UrgentBatches   int
	// HotShare is the load of a key, relative to the mean load of a target,
	// from which it is split off into a shard of its own. Default 0.2.
	HotShare float64
	// ColdShare is the load, relative to the mean load of a target, below
	// which a split key is merged again. It is well below HotShare, so that a
	// key is not split and merged in turn. Default 0.05.
	ColdShare float64
	// MaxHotMoves limits the shards of hot keys that one plan moves per
	// workload. Default 4.
	MaxHotMoves int
}

// DefaultPlanConfig returns the defaults.
func DefaultPlanConfig() PlanConfig {
	return PlanConfig{
		BatchesPerTarget: 8, ReceiverBatches: 2, MaxImbalance: 1.10, ImbalanceGoal: 1.05, SpillLimit: 1.10,
		RebalanceInterval: 10 * time.Second, UrgentImbalance: 2, UrgentInterval: time.Second, UrgentBatches: 6, HotShare: 0.2, ColdShare: 0.05, MaxHotMoves: 4,
	}
}

// PlanTarget describes a target to MakePlan.
type PlanTarget struct {
	Name, Workload, Domain string
	// Capacity is the target's capacity relative to others, for example its
	// number of slots. A value of 0 or less counts as 1.
	Capacity float64
	// Eligible says that the target may own shards: it responds, is not leaving,
	// and neither it nor its domain is taken out of service.
	Eligible bool
	// Ready says that an eligible target may receive shards in batches: it is not
	// cold and has not returned recently. It has no effect on other targets.
	Ready bool
	// Lost says that the target's shards are reassigned without its
	// acknowledgement.
	Lost bool
	// Unknown says that no response of the target has been received yet, for
	// example because the planning host has just started. The target keeps its
	// shards. One that is neither Eligible, Lost nor Unknown is leaving.
	Unknown bool
}

// KeyLoad is the measured load of one key.
type KeyLoad struct {
	Workload, Key string
	// Load is in the unit of PlanInput.Load.
	Load float64
}

// PlanInput is the input of MakePlan, which does not change it.
type PlanInput struct {
	Table   *Table
	Targets []PlanTarget
	// Load is the measured load of shards, in any unit; a missing shard has
	// none. If a workload has no load at all, each shard counts as 1.
	Load map[ID]float64
	// HotKeys lists the keys with the highest loads.
	HotKeys []KeyLoad
	// Now is the present time. LastRebalance holds the time of each workload's
	// last move with ReasonRebalance. Together they limit how often a workload
	// is balanced.
	Now           time.Duration
	LastRebalance map[string]time.Duration
}

// Plan holds the changes to propose for the present state.
type Plan struct {
	Moves  []Move
	Splits []Split
	Merges []Merge
}

// MakePlan returns the moves, splits and merges for all workloads. It is a
// pure function: equal inputs give equal plans. It moves unassigned shards and
// those of lost targets all at once, and those of leaving targets in batches. It
// considers balancing and hot keys only in a workload without such moves.
func MakePlan(cfg PlanConfig, in PlanInput) Plan {
	var p Plan
	for _, name := range slices.Sorted(maps.Keys(in.Table.Workloads)) {
		w := newWorkloadPlan(cfg, in, name)
		if len(w.eligible) == 0 {
			continue
		}
		p.Moves = append(p.Moves, nonEmpty(w.initialMove(), w.lostMove(), w.escalatedMove(), w.orphanedMove(), w.leavingMove())...)
		if w.changed {
			continue
		}
		w.planSplits(&p)
		if !w.changed {
			w.planMerges(&p)
		}
		p.Moves = append(p.Moves, nonEmpty(w.hotKeyMove(), w.rebalanceMove())...)
	}
	return p
}

func nonEmpty(moves ...Move) []Move {
	return slices.DeleteFunc(moves, func(m Move) bool { return len(m.Shards) == 0 })
}

// workloadPlan plans one workload. Its loads include the moves planned so far.
type workloadPlan struct {
	cfg     PlanConfig
	in      PlanInput
	name    string
	table   *WorkloadTable
	targets map[string]*planTarget
	// eligible are the targets that may own shards, in order of name.
	eligible []*planTarget
	// weights holds the load of each shard. owners holds its owner; nil when it
	// has none or the owner is not among the targets.
	weights []float64
	owners  []*planTarget
	// totalCapacity is that of all eligible targets, totalLoad that of all shards.
	totalCapacity, totalLoad float64
	// unreleased counts the shards whose previous owner has not been released.
	unreleased int
	// changed says that the plan has a move, split or merge of the workload.
	changed bool
}

type planTarget struct {
	PlanTarget
	// load is the sum of the weights of its shards.
	load, loadPerCapacity float64
	// inbound counts the target's shards that wait for a release.
	inbound int
}

func (t *planTarget) add(weight float64) {
	t.load += weight
	t.loadPerCapacity = t.load / t.Capacity
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
			w.eligible = append(w.eligible, pt)
			w.totalCapacity += t.Capacity
		}
	}
	slices.SortFunc(w.eligible, func(a, b *planTarget) int { return cmp.Compare(a.Name, b.Name) })
	w.computeWeights()
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
			w.unreleased++
		}
	}
	return w
}

// idleShardWeight is the weight of an idle shard, relative to the mean load of a
// shard. It spreads idle shards, whose load may come at any time.
const idleShardWeight = 0.05

func (w *workloadPlan) computeWeights() {
	w.weights = make([]float64, len(w.table.Shards))
	sum := 0.0
	for id, load := range w.in.Load {
		if id.Workload == w.name && id.Shard >= 0 && int(id.Shard) < len(w.weights) && load > 0 {
			w.weights[id.Shard] = load
		}
	}
	// Sums in shard order, since a sum of floats depends on the order.
	for _, load := range w.weights {
		sum += load
	}
	base := 1.0
	if sum > 0 {
		base = idleShardWeight * sum / float64(len(w.weights))
	}
	for n := range w.weights {
		// The unused shard of a merged key has no load.
		if n < int(w.table.HashedShards) || w.table.Shards[n].Owner != "" {
			w.weights[n] += base
			w.totalLoad += w.weights[n]
		}
	}
}

func (w *workloadPlan) id(n int) ID { return ID{Workload: w.name, Shard: int32(n)} }

// meanLoad returns the load per capacity of a perfectly balanced workload.
func (w *workloadPlan) meanLoad() float64 { return w.totalLoad / w.totalCapacity }

// assign adds a shard to a move and updates the loads.
func (w *workloadPlan) assign(m *Move, n int, to *planTarget) {
	s := w.table.Shards[n]
	m.Shards = append(m.Shards, MoveShard{ID: w.id(n), FromEpoch: s.Epoch, To: to.Name})
	if from := w.owners[n]; from != nil {
		from.add(-w.weights[n])
	}
	w.owners[n] = to
	to.add(w.weights[n])
	w.changed = true
}

// leastLoaded returns the least loaded eligible target that accept admits, or
// nil.
func (w *workloadPlan) leastLoaded(accept func(*planTarget) bool) *planTarget {
	var best *planTarget
	for _, t := range w.eligible {
		if accept(t) && (best == nil || t.loadPerCapacity < best.loadPerCapacity) {
			best = t
		}
	}
	return best
}

// fits reports whether a target with one more shard stays within limit, a load
// relative to the mean.
func (w *workloadPlan) fits(t *planTarget, n int, limit float64) bool {
	return t.load+w.weights[n] <= limit*w.meanLoad()*t.Capacity
}

// replacement returns the target that takes over a shard at once: the least
// loaded one of the domain if it stays within SpillLimit, else of all domains.
// Ready targets take precedence. If none stays within the limit, it returns the
// least loaded target.
func (w *workloadPlan) replacement(n int, domain string) *planTarget {
	for _, ready := range []bool{true, false} {
		for _, sameDomain := range []bool{true, false} {
			t := w.leastLoaded(func(t *planTarget) bool {
				return (t.Ready || !ready) && (t.Domain == domain || !sameDomain)
			})
			if t != nil && w.fits(t, n, w.cfg.SpillLimit) {
				return t
			}
		}
	}
	return w.leastLoaded(func(*planTarget) bool { return true })
}

func (w *workloadPlan) initialMove() Move {
	m := Move{Reason: ReasonInitial}
	for n, s := range w.table.Shards {
		if s.Owner == "" && n < int(w.table.HashedShards) {
			w.assign(&m, n, w.leastLoaded(func(*planTarget) bool { return true }))
		}
	}
	return m
}

func (t *planTarget) isLost() bool { return t != nil && t.Lost }

func (w *workloadPlan) lostMove() Move {
	m := Move{Reason: ReasonLost}
	for n, s := range w.table.Shards {
		if from := w.owners[n]; from.isLost() && s.Active() {
			w.assign(&m, n, w.replacement(n, from.Domain))
		}
	}
	return m
}

// escalatedMove repeats the moves of shards whose previous owner was lost before
// it released them. The repeated move has ReasonLost, which stops renewals of
// that owner's lease.
func (w *workloadPlan) escalatedMove() Move {
	m := Move{Reason: ReasonLost}
	for n, s := range w.table.Shards {
		if s.UnreleasedEpoch != 0 && !s.PreviousLost && w.targets[s.PreviousOwner].isLost() && !w.owners[n].isLost() {
			m.Shards = append(m.Shards, MoveShard{ID: w.id(n), FromEpoch: s.Epoch, To: s.Owner})
			w.changed = true
		}
	}
	return m
}

// orphanedMove gives another new owner to shards whose new owner was lost before
// they became active.
func (w *workloadPlan) orphanedMove() Move {
	m := Move{Reason: ReasonLeaving}
	for n, s := range w.table.Shards {
		if from := w.owners[n]; s.UnreleasedEpoch != 0 && from.isLost() {
			w.assign(&m, n, w.replacement(n, from.Domain))
		}
	}
	return m
}

// batchSize returns the number of shards in one batch.
func (w *workloadPlan) batchSize() int {
	batches := w.cfg.BatchesPerTarget * max(len(w.targets), 1)
	return max(1, (len(w.table.Shards)+batches-1)/batches)
}

// canReceive reports whether a target may receive one more shard in a planned move.
func (w *workloadPlan) canReceive(t *planTarget) bool {
	return t.Ready && t.inbound < w.cfg.ReceiverBatches*w.batchSize()
}

// leavingMove moves shards away from leaving targets.
func (w *workloadPlan) leavingMove() Move {
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

// receiver returns the target that receives a shard in a planned move: one of the
// same domain unless that would overload it. It returns nil when no target can
// receive a shard now.
func (w *workloadPlan) receiver(n int, from *planTarget) *planTarget {
	local := w.leastLoaded(func(t *planTarget) bool { return w.canReceive(t) && t.Domain == from.Domain })
	if local != nil && w.fits(local, n, w.cfg.MaxImbalance) {
		return local
	}
	return w.leastLoaded(w.canReceive)
}
