package ownership

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxHotKeys limits the split keys of one workload, so that the route table
// stays small under any traffic.
const MaxHotKeys = 256

// Shard is the state of one shard.
type Shard struct {
	// Owner is the target to which the shard is assigned; empty before the
	// first assignment.
	Owner string `json:"o,omitempty"`
	// Epoch increases by one with each assignment.
	Epoch uint64 `json:"e,omitempty"`
	// UnreleasedEpoch is the epoch of the last active owner until that is
	// released, or 0. An assigned shard is active when it is 0.
	UnreleasedEpoch uint64 `json:"w,omitempty"`
	// PreviousOwner is the owner at UnreleasedEpoch; empty when that is 0.
	PreviousOwner string `json:"p,omitempty"`
	// PreviousLost says that the shard was taken from PreviousOwner with
	// ReasonLost. No granter renews that owner's lease until the shard is
	// released, so that the whole lease expires, also for requests that the
	// owner still drains.
	PreviousLost bool `json:"l,omitempty"`
}

// Active reports whether the owner may serve the shard.
func (s Shard) Active() bool { return s.Owner != "" && s.UnreleasedEpoch == 0 }

// ID identifies a shard.
type ID struct {
	Workload string `json:"workload"`
	Shard    int32  `json:"shard"`
}

// String returns the ID as workload/number.
func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Workload, id.Shard) }

// Move assigns shards to new owners. It is the body of a move record. Each
// entry is accepted or refused on its own.
type Move struct {
	Shards []MoveShard `json:"shards"`
	Reason Reason      `json:"reason"`
}

// Reason says why shards move.
type Reason string

// Reasons for moves.
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

// Proof says what shows that an owner has stopped.
type Proof string

// Proofs of a release.
const (
	// ProofAck is the target's own acknowledgement.
	ProofAck Proof = "ack"
	// ProofLeaseExpired means that the lease has expired and no granter can renew it.
	ProofLeaseExpired Proof = "lapse"
	// ProofDomainLost is an operator's confirmation that the domain is down.
	ProofDomainLost Proof = "lost"
)

// Released says that previous owners have stopped. It is the body of a released
// record.
type Released struct {
	Shards []ReleasedShard `json:"shards"`
	Proof  Proof           `json:"proof"`
}

// ReleasedShard releases one shard.
type ReleasedShard struct {
	ID
	// Epoch is that of the previous owner's assignment.
	Epoch uint64 `json:"epoch"`
}

// Split gives a hot key a shard of its own, which stays with the present owner.
type Split struct {
	Workload string `json:"workload"`
	Key      string `json:"key"`
	// FromEpoch is the epoch of the parent shard.
	FromEpoch uint64 `json:"from_epoch"`
}

// Merge returns a split key to its parent shard.
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
	// RecordEpoch is the epoch in the record, TableEpoch the one in the table.
	RecordEpoch, TableEpoch uint64
}

// RefusalCode classifies a Refusal.
type RefusalCode string

// Refusal codes.
const (
	RefusedUnknownShard   RefusalCode = "unknown_shard"
	RefusedEpochMismatch  RefusalCode = "epoch"
	RefusedInactive       RefusalCode = "inactive"
	RefusedTooManyHotKeys RefusalCode = "too_many_hot_keys"
	RefusedAlreadySplit   RefusalCode = "already_split"
	RefusedDifferentOwner RefusalCode = "different_owner"
	// RefusedInvalidProof means that the proof of a release is not valid.
	RefusedInvalidProof RefusalCode = "proof"
)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("shard %s: %s: record has epoch %d, table has %d", r.ID, r.Code, r.RecordEpoch, r.TableEpoch)
}

// WorkloadTable is the assignment of one keyed workload.
type WorkloadTable struct {
	// HashedShards is the number of hashed shards. Shards with this or a higher
	// number belong to hot keys.
	HashedShards int32 `json:"base"`
	// Shards holds the hashed shards, then those of hot keys. The entry of a
	// merged hot key is kept and reused, so that its epoch never decreases.
	Shards []Shard `json:"shards"`
	// HotKeys maps each split key to its shard.
	HotKeys map[string]int32 `json:"hot,omitempty"`
}

// Table is the assignment of all keyed workloads.
type Table struct {
	Workloads map[string]*WorkloadTable `json:"workloads"`
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{Workloads: map[string]*WorkloadTable{}} }

// AddWorkload adds a workload with unassigned shards. It does not change an
// existing one.
func (t *Table) AddWorkload(name string, shards int32) {
	if _, ok := t.Workloads[name]; ok {
		return
	}
	t.Workloads[name] = &WorkloadTable{HashedShards: shards, Shards: make([]Shard, shards), HotKeys: map[string]int32{}}
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := &Table{Workloads: make(map[string]*WorkloadTable, len(t.Workloads))}
	for name, w := range t.Workloads {
		c.Workloads[name] = &WorkloadTable{HashedShards: w.HashedShards, Shards: slices.Clone(w.Shards), HotKeys: maps.Clone(w.HotKeys)}
	}
	return c
}

// HashShard returns the hashed shard of a key. It ignores hot keys.
func (w *WorkloadTable) HashShard(key string) int32 {
	return hashShard(key, w.HashedShards)
}

func hashShard(key string, shards int32) int32 {
	return int32(xxhash.Sum64String(key) % uint64(shards))
}

// Locate returns the shard number of a key. It does not allocate.
func (w *WorkloadTable) Locate(key string) int32 {
	if len(w.HotKeys) > 0 {
		if s, ok := w.HotKeys[key]; ok {
			return s
		}
	}
	return w.HashShard(key)
}

// Get returns a shard, or false if it is unknown.
func (t *Table) Get(id ID) (Shard, bool) {
	w, ok := t.Workloads[id.Workload]
	if !ok || id.Shard < 0 || int(id.Shard) >= len(w.Shards) {
		return Shard{}, false
	}
	return w.Shards[id.Shard], true
}

func (t *Table) shard(id ID) *Shard {
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
		s := t.shard(e.ID)
		switch {
		case s == nil:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedUnknownShard, RecordEpoch: e.FromEpoch})
		case s.Epoch != e.FromEpoch:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedEpochMismatch, RecordEpoch: e.FromEpoch, TableEpoch: s.Epoch})
		default:
			s.move(e.To, m.Reason)
		}
	}
	return refused
}

func (s *Shard) move(to string, reason Reason) {
	if s.Active() {
		s.UnreleasedEpoch, s.PreviousOwner = s.Epoch, s.Owner
	}
	// ReasonLost marks the previous owner as lost if the move takes the shard from
	// it or repeats the present assignment. A move that replaces a lost new owner
	// of an inactive shard says nothing about the previous owner.
	if reason == ReasonLost && (s.UnreleasedEpoch == s.Epoch || to == s.Owner) && s.UnreleasedEpoch != 0 {
		s.PreviousLost = true
	}
	s.Owner = to
	s.Epoch++
}

// ApplyReleased applies the entries of r whose epoch is the shard's
// UnreleasedEpoch and returns the refused ones.
func (t *Table) ApplyReleased(r Released) []*Refusal {
	var refused []*Refusal
	for _, e := range r.Shards {
		s := t.shard(e.ID)
		switch {
		case s == nil:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedUnknownShard, RecordEpoch: e.Epoch})
		case s.UnreleasedEpoch == 0 || s.UnreleasedEpoch != e.Epoch:
			refused = append(refused, &Refusal{ID: e.ID, Code: RefusedEpochMismatch, RecordEpoch: e.Epoch, TableEpoch: s.UnreleasedEpoch})
		default:
			s.UnreleasedEpoch, s.PreviousOwner, s.PreviousLost = 0, "", false
		}
	}
	return refused
}

// ApplySplit gives a key its own shard, which belongs to the parent's owner. The
// parent's epoch increases, so that the owner refuses requests routed by an older
// table instead of running them under the wrong shard.
func (t *Table) ApplySplit(sp Split) *Refusal {
	w, ok := t.Workloads[sp.Workload]
	if !ok {
		return &Refusal{ID: ID{Workload: sp.Workload}, Code: RefusedUnknownShard, RecordEpoch: sp.FromEpoch}
	}
	id := ID{Workload: sp.Workload, Shard: w.HashShard(sp.Key)}
	parent := &w.Shards[id.Shard]
	switch {
	case w.HotKeys[sp.Key] != 0:
		return &Refusal{ID: id, Code: RefusedAlreadySplit, RecordEpoch: sp.FromEpoch, TableEpoch: parent.Epoch}
	case len(w.HotKeys) >= MaxHotKeys:
		return &Refusal{ID: id, Code: RefusedTooManyHotKeys, RecordEpoch: sp.FromEpoch, TableEpoch: parent.Epoch}
	case parent.Epoch != sp.FromEpoch:
		return &Refusal{ID: id, Code: RefusedEpochMismatch, RecordEpoch: sp.FromEpoch, TableEpoch: parent.Epoch}
	case !parent.Active():
		return &Refusal{ID: id, Code: RefusedInactive, RecordEpoch: sp.FromEpoch, TableEpoch: parent.Epoch}
	}
	owner := parent.Owner
	parent.Epoch++
	n := w.freeHotShard()
	hot := &w.Shards[n]
	hot.Owner, hot.UnreleasedEpoch, hot.PreviousOwner, hot.PreviousLost = owner, 0, "", false
	hot.Epoch++
	if w.HotKeys == nil {
		w.HotKeys = map[string]int32{}
	}
	w.HotKeys[sp.Key] = n
	return nil
}

// freeHotShard returns the lowest hot shard without a key. It appends one if
// there is none.
func (w *WorkloadTable) freeHotShard() int32 {
	used := make(map[int32]bool, len(w.HotKeys))
	for _, n := range w.HotKeys {
		used[n] = true
	}
	for n := w.HashedShards; int(n) < len(w.Shards); n++ {
		if !used[n] {
			return n
		}
	}
	w.Shards = append(w.Shards, Shard{})
	return int32(len(w.Shards) - 1)
}

// ApplyMerge returns a key to its parent shard. Both shards must be active and
// have the same owner.
func (t *Table) ApplyMerge(m Merge) *Refusal {
	w, ok := t.Workloads[m.Workload]
	if !ok {
		return &Refusal{ID: ID{Workload: m.Workload}, Code: RefusedUnknownShard, RecordEpoch: m.FromEpoch}
	}
	n, ok := w.HotKeys[m.Key]
	id := ID{Workload: m.Workload, Shard: n}
	if !ok {
		return &Refusal{ID: id, Code: RefusedUnknownShard, RecordEpoch: m.FromEpoch}
	}
	hot, parent := &w.Shards[n], &w.Shards[w.HashShard(m.Key)]
	switch {
	case hot.Epoch != m.FromEpoch:
		return &Refusal{ID: id, Code: RefusedEpochMismatch, RecordEpoch: m.FromEpoch, TableEpoch: hot.Epoch}
	case !hot.Active() || !parent.Active():
		return &Refusal{ID: id, Code: RefusedInactive, RecordEpoch: m.FromEpoch, TableEpoch: hot.Epoch}
	case hot.Owner != parent.Owner:
		return &Refusal{ID: id, Code: RefusedDifferentOwner, RecordEpoch: m.FromEpoch, TableEpoch: hot.Epoch}
	}
	delete(w.HotKeys, m.Key)
	hot.Owner = ""
	hot.Epoch++
	parent.Epoch++
	return nil
}

// AssignedTo returns the shards that are assigned to a target, active or not, in
// order.
func (t *Table) AssignedTo(target string) []ID {
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
