package ownership

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxHotKeys limits the split keys of one workload, so that the route table
// stays small whatever the traffic is.
const MaxHotKeys = 256

// Shard is the state of one shard.
type Shard struct {
	// Owner is the target that the shard is assigned to; empty before the
	// first assignment.
	Owner string `json:"o,omitempty"`
	// Epoch grows by one with each assignment.
	Epoch uint64 `json:"e,omitempty"`
	// Waiting is the epoch of the last active owner that has not been
	// released, or 0. The shard is active when it is 0.
	Waiting uint64 `json:"w,omitempty"`
	// Previous is the owner at the epoch Waiting; empty when Waiting is 0.
	Previous string `json:"p,omitempty"`
	// Lost says that the shard was taken from Previous with ReasonLost. No
	// granter renews Previous until the shard is released, so that its lease
	// lapses as a whole, including requests that it still drains.
	Lost bool `json:"l,omitempty"`
}

// Active reports whether the owner may act.
func (s Shard) Active() bool { return s.Owner != "" && s.Waiting == 0 }

// ID names a shard.
type ID struct {
	Workload string `json:"workload"`
	Shard    int32  `json:"shard"`
}

// String returns workload/number.
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Workload, id.Shard) }

// Move assigns shards to new owners. It is the body of a move record. Each
// entry is accepted or refused for itself.
type Move struct {
	Shards []MoveShard `json:"shards"`
	Reason Reason      `json:"reason"`
}

// Reason says why shards move.
type Reason string

// Reasons of moves.
const (
	ReasonInitial   Reason = "initial"
	ReasonLost      Reason = "lost"
	ReasonLeaving   Reason = "leaving"
	ReasonHot       Reason = "hot"
	ReasonRebalance Reason = "rebalance"
)

// MoveShard moves one shard.
type MoveShard struct {
	ID
	// FromEpoch is the epoch that the move replaces.
	FromEpoch uint64 `json:"from_epoch"`
	// To is the new owner.
	To string `json:"to"`
}

// Proof says how it is known that an owner has stopped.
type Proof string

// Proofs of a release.
const (
	// ProofAck is the target's own word.
	ProofAck Proof = "ack"
	// ProofLapse means that the lease has ended and nobody can renew it.
	ProofLapse Proof = "lapse"
	// ProofLost is an operator's word that the domain is dead.
	ProofLost Proof = "lost"
)

// Released says that former owners have stopped. It is the body of a released
// record.
type Released struct {
	Shards []ReleasedShard `json:"shards"`
	Proof  Proof           `json:"proof"`
}

// ReleasedShard releases one shard.
type ReleasedShard struct {
	ID
	// Epoch is the one at which the former owner held the shard.
	Epoch uint64 `json:"epoch"`
}

// Split gives a hot key a shard of its own at its present owner.
type Split struct {
	Workload string `json:"workload"`
	Key      string `json:"key"`
	// FromEpoch is the epoch of the parent shard.
	FromEpoch uint64 `json:"from_epoch"`
}

// Merge puts a split key back into its parent shard.
type Merge struct {
	Workload string `json:"workload"`
	Key      string `json:"key"`
	// FromEpoch is the epoch of the key's own shard.
	FromEpoch uint64 `json:"from_epoch"`
}

// Refusal says why an entry of a record was not applied. Every host refuses
// the same entries.
type Refusal struct {
	ID   ID
	Code RefusalCode
	// Want is the epoch in the record, Have the one in the table.
	Want, Have uint64
}

// RefusalCode classifies a Refusal.
type RefusalCode string

// Refusal codes.
const (
	RefusedUnknown   RefusalCode = "unknown_shard"
	RefusedEpoch     RefusalCode = "epoch"
	RefusedInactive  RefusalCode = "inactive"
	RefusedFull      RefusalCode = "too_many_hot_keys"
	RefusedDuplicate RefusalCode = "already_split"
	RefusedOwner     RefusalCode = "different_owner"
	// RefusedProof means that the proof of a release does not hold.
	RefusedProof RefusalCode = "proof"
)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("shard %s: %s: record has epoch %d, table has %d", r.ID, r.Code, r.Want, r.Have)
}

// WorkloadTable is the assignment of one keyed workload.
type WorkloadTable struct {
	// Base is the number of hashed shards. Shards from Base on belong to hot keys.
	Base int32 `json:"base"`
	// Shards holds Base hashed shards, then those of hot keys. The place of a
	// merged hot key stays and is used again, so that its epoch keeps growing.
	Shards []Shard `json:"shards"`
	// Hot maps each split key to its shard.
	Hot map[string]int32 `json:"hot,omitempty"`
}

// Table is the assignment of all keyed workloads.
type Table struct {
	Workloads map[string]*WorkloadTable `json:"workloads"`
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Workloads: map[string]*WorkloadTable{}} }

// AddWorkload adds a workload with unassigned shards. An existing one is kept.
func (t *Table) AddWorkload(name string, shards int32) {
	if _, ok := t.Workloads[name]; ok {
		return
	}
	t.Workloads[name] = &WorkloadTable{Base: shards, Shards: make([]Shard, shards), Hot: map[string]int32{}}
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := &Table{Workloads: make(map[string]*WorkloadTable, len(t.Workloads))}
	for name, w := range t.Workloads {
		c.Workloads[name] = &WorkloadTable{Base: w.Base, Shards: slices.Clone(w.Shards), Hot: maps.Clone(w.Hot)}
	}
	return c
}

// HashShard returns the hashed shard of a key, without regard to hot keys.
func (w *WorkloadTable) HashShard(key string) int32 {
	return hashShard(key, w.Base)
}

func hashShard(key string, base int32) int32 {
	return int32(xxhash.Sum64String(key) % uint64(base))
}

// Locate returns the shard number of a key. It does not allocate.
func (w *WorkloadTable) Locate(key string) int32 {
	if len(w.Hot) > 0 {
		if s, ok := w.Hot[key]; ok {
			return s
		}
	}
	return w.HashShard(key)
}

// Get returns a shard, or false when it is unknown.
func (t *Table) Get(id ID) (Shard, bool) {
	w, ok := t.Workloads[id.Workload]
	if !ok || id.Shard < 0 || int(id.Shard) >= len(w.Shards) {
		return Shard{}, false
	}
	return w.Shards[id.Shard], true
}

func (t *Table) at(id ID) *Shard {
	if _, ok := t.Get(id); !ok {
		return nil
	}
	return &t.Workloads[id.Workload].Shards[id.Shard]
}

// ApplyMove applies the entries of m whose epoch matches and returns the
// refused ones.
func (t *Table) ApplyMove(m Move) []*Refusal {
	var refused []*Refusal
	for _, e := range m.Shards {
		s := t.at(e.ID)
		switch {
		case s == nil:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedUnknown, Want: e.FromEpoch})
		case s.Epoch != e.FromEpoch:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedEpoch, Want: e.FromEpoch, Have: s.Epoch})
		default:
			s.move(e.To, m.Reason)
		}
	}
	return refused
}

func (s *Shard) move(to string, why Reason) {
	if s.Active() {
		s.Waiting, s.Previous = s.Epoch, s.Owner
	}
	// A waiting shard whose new owner is lost waits for Previous as before; a
	// move to the same owner says that Previous is lost.
	if why == ReasonLost && (s.Waiting == s.Epoch || to == s.Owner) && s.Waiting != 0 {
		s.Lost = true
	}
	s.Owner = to
	s.Epoch++
}

// ApplyReleased applies the entries of r that name the epoch waited for and
// returns the refused ones.
func (t *Table) ApplyReleased(r Released) []*Refusal {
	var refused []*Refusal
	for _, e := range r.Shards {
		s := t.at(e.ID)
		switch {
		case s == nil:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedUnknown, Want: e.Epoch})
		case s.Waiting == 0 || s.Waiting != e.Epoch:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedEpoch, Want: e.Epoch, Have: s.Waiting})
		default:
			s.Waiting, s.Previous, s.Lost = 0, "", false
		}
	}
	return refused
}

// ApplySplit gives a key its own shard. The new shard starts at the parent's
// owner, and the parent's epoch grows, so that requests routed by an older
// table are refused by the owner instead of being run under the wrong shard.
func (t *Table) ApplySplit(sp Split) *Refusal {
	w, ok := t.Workloads[sp.Workload]
	if !ok {
		return &Refusal{ID: ID{Workload: sp.Workload}, Code: RefusedUnknown, Want: sp.FromEpoch}
	}
	id := ID{Workload: sp.Workload, Shard: w.HashShard(sp.Key)}
	parent := &w.Shards[id.Shard]
	switch {
	case w.Hot[sp.Key] != 0:
		return &Refusal{ID: id, Code: RefusedDuplicate, Want: sp.FromEpoch, Have: parent.Epoch}
	case len(w.Hot) >= MaxHotKeys:
		return &Refusal{ID: id, Code: RefusedFull, Want: sp.FromEpoch, Have: parent.Epoch}
	case parent.Epoch != sp.FromEpoch:
		return &Refusal{ID: id, Code: RefusedEpoch, Want: sp.FromEpoch, Have: parent.Epoch}
	case !parent.Active():
		return &Refusal{ID: id, Code: RefusedInactive, Want: sp.FromEpoch, Have: parent.Epoch}
	}
	owner := parent.Owner
	parent.Epoch++
	n := w.freeHotShard()
	hot := &w.Shards[n]
	hot.Owner, hot.Waiting, hot.Previous, hot.Lost = owner, 0, "", false
	hot.Epoch++
	if w.Hot == nil {
		w.Hot = map[string]int32{}
	}
	w.Hot[sp.Key] = n
	return nil
}

// freeHotShard returns the lowest hot shard without a key, growing the table
// when there is none.
func (w *WorkloadTable) freeHotShard() int32 {
	used := make(map[int32]bool, len(w.Hot))
	for _, n := range w.Hot {
		used[n] = true
	}
	for n := w.Base; int(n) < len(w.Shards); n++ {
		if !used[n] {
			return n
		}
	}
	w.Shards = append(w.Shards, Shard{})
	return int32(len(w.Shards) - 1)
}

// ApplyMerge puts a key back into its parent. Both shards must be active at
// the same owner.
func (t *Table) ApplyMerge(m Merge) *Refusal {
	w, ok := t.Workloads[m.Workload]
	if !ok {
		return &Refusal{ID: ID{Workload: m.Workload}, Code: RefusedUnknown, Want: m.FromEpoch}
	}
	n, ok := w.Hot[m.Key]
	id := ID{Workload: m.Workload, Shard: n}
	if !ok {
		return &Refusal{ID: id, Code: RefusedUnknown, Want: m.FromEpoch}
	}
	hot, parent := &w.Shards[n], &w.Shards[w.HashShard(m.Key)]
	switch {
	case hot.Epoch != m.FromEpoch:
		return &Refusal{ID: id, Code: RefusedEpoch, Want: m.FromEpoch, Have: hot.Epoch}
	case !hot.Active() || !parent.Active():
		return &Refusal{ID: id, Code: RefusedInactive, Want: m.FromEpoch, Have: hot.Epoch}
	case hot.Owner != parent.Owner:
		return &Refusal{ID: id, Code: RefusedOwner, Want: m.FromEpoch, Have: hot.Epoch}
	}
	delete(w.Hot, m.Key)
	hot.Owner = ""
	hot.Epoch++
	parent.Epoch++
	return nil
}

// Held returns the shards that a target holds or is assigned, active or not,
// in order.
func (t *Table) Held(target string) []ID {
	var out []ID
	for _, name := range slices.Sorted(maps.Keys(t.Workloads)) {
		for n, s := range t.Workloads[name].Shards {
			if s.Owner == target {
				out = append(out, ID{Workload: name, Shard: int32(n)})
			}
		}
	}
	return out
}
