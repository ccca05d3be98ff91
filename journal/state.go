package journal

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/ownership"
)

// MaxRecentIDs is the number of record identifiers kept for detecting
// duplicates. A duplicate comes from an append that is repeated within seconds
// because its response was lost, so the last few thousand records suffice.
const MaxRecentIDs = 4096

// State is the result of applying all records of the log.
type State struct {
	// NextOffset is the offset of the next record to apply.
	NextOffset int64 `json:"next"`
	// Config is nil until a bootstrap record has been applied.
	Config     *contract.State      `json:"config"`
	Table      *ownership.Table     `json:"table"`
	Granters   map[string]Granters  `json:"granters"`
	EntryHosts map[string]EntryHost `json:"entries"`
	// TargetVersion maps each target to the offset of the last record that
	// changed the shards it owns or counted it as a lost former owner. Grants
	// carry it as their version.
	TargetVersion map[string]int64 `json:"target_version"`
	// IsolatedServeOffset is the offset of the record that set Config.IsolatedServeMS.
	// A granter that has not read it may still use the previous value.
	IsolatedServeOffset int64 `json:"isolated_at"`
	// RecentIDs holds the identifiers of the latest records, oldest first.
	RecentIDs []string `json:"recent"`
	// LastSnapshotOffset is the NextOffset of the last completely written
	// snapshot.
	LastSnapshotOffset int64 `json:"last_snapshot"`
	// Skipped counts the records with OutcomeSkipped.
	Skipped int64 `json:"skipped"`

	recentSet map[string]bool
}

// FirstOffset is the offset of the first record of a log. It is not 0, so that
// 0 can mean "none" in versions derived from offsets.
const FirstOffset = 1

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		NextOffset: FirstOffset,
		Table:      ownership.NewTable(), Granters: map[string]Granters{},
		EntryHosts: map[string]EntryHost{}, TargetVersion: map[string]int64{},
		recentSet: map[string]bool{},
	}
}

// Clone returns a copy that shares no mutable data with s.
func (s *State) Clone() *State {
	c := *s
	c.Table = s.Table.Clone()
	c.Granters = maps.Clone(s.Granters)
	c.EntryHosts = maps.Clone(s.EntryHosts)
	c.TargetVersion = maps.Clone(s.TargetVersion)
	c.RecentIDs = slices.Clone(s.RecentIDs)
	c.recentSet = maps.Clone(s.recentSet)
	return &c
}

// Outcome is the effect of applying a record.
type Outcome string

// Outcomes of Apply.
const (
	// OutcomeApplied: the whole record took effect.
	OutcomeApplied Outcome = "applied"
	// OutcomePartial: some entries of a move or released record were refused.
	OutcomePartial Outcome = "partly"
	// OutcomeRefused: the record was decoded and had no effect.
	OutcomeRefused Outcome = "refused"
	// OutcomeDuplicate: a record with this ID was processed before.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeSkipped: the record is corrupt, of an unknown kind or of a newer
	// format.
	OutcomeSkipped Outcome = "skipped"
	// OutcomeAlreadyApplied: the offset is below State.NextOffset.
	OutcomeAlreadyApplied Outcome = "old"
)

// Result is the effect of one record.
type Result struct {
	Offset  int64
	ID      string
	Kind    Kind
	Outcome Outcome
	// Err is the reason for OutcomeRefused, OutcomePartial and OutcomeSkipped.
	Err error
	// Refusals are the refused entries of a move or released record.
	Refusals []*ownership.Refusal
}

// GapError reports that records between the state and an offset are missing.
type GapError struct{ NextOffset, Offset int64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record at offset %d does not follow the state, which expects offset %d", e.Offset, e.NextOffset)
}

// FormatError reports why a record was skipped.
type FormatError struct {
	Offset int64
	Reason string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("record at offset %d: %s", e.Offset, e.Reason)
}

// StateError reports that a record cannot be applied to the state.
type StateError struct{ Reason string }

// Error implements error.
func (e *StateError) Error() string { return e.Reason }

// Apply applies the record at an offset. It fails with *GapError, and then
// changes nothing; the Result reports all other faults of a record.
func (s *State) Apply(offset int64, data []byte) (Result, error) {
	res := Result{Offset: offset}
	if offset < s.NextOffset {
		res.Outcome = OutcomeAlreadyApplied
		return res, nil
	}
	if offset > s.NextOffset {
		return res, &GapError{NextOffset: s.NextOffset, Offset: offset}
	}
	s.NextOffset = offset + 1
	var env Envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return s.skip(res, "not a JSON record"), nil
	}
	res.ID, res.Kind = env.ID, env.Kind
	if env.FormatVersion < 1 {
		return s.skip(res, fmt.Sprintf("invalid format %d", env.FormatVersion)), nil
	}
	if env.FormatVersion > FormatVersion {
		return s.skip(res, fmt.Sprintf("format %d is newer than %d", env.FormatVersion, FormatVersion)), nil
	}
	if env.ID == "" {
		return s.skip(res, "id is missing"), nil
	}
	if s.recentSet[env.ID] {
		res.Outcome = OutcomeDuplicate
		return res, nil
	}
	res = s.applyBody(res, env)
	s.recordID(env.ID)
	return res, nil
}

func (s *State) skip(res Result, reason string) Result {
	s.Skipped++
	res.Outcome = OutcomeSkipped
	res.Err = &FormatError{Offset: res.Offset, Reason: reason}
	return res
}

func (s *State) recordID(id string) {
	if s.recentSet == nil {
		s.recentSet = map[string]bool{}
	}
	s.recentSet[id] = true
	s.RecentIDs = append(s.RecentIDs, id)
	if len(s.RecentIDs) > MaxRecentIDs {
		delete(s.recentSet, s.RecentIDs[0])
		s.RecentIDs = s.RecentIDs[1:]
	}
}

// Seen reports whether a record with this ID is among the recent ones.
func (s *State) Seen(id string) bool { return s.recentSet[id] }

func (s *State) applyBody(res Result, env Envelope) Result {
	switch env.Kind {
	case KindBootstrap:
		return decodeAndApply(s, res, env, s.applyBootstrap)
	case KindChange:
		return decodeAndApply(s, res, env, s.applyChange)
	case KindMove:
		return decodeAndApply(s, res, env, s.applyMove)
	case KindReleased:
		return decodeAndApply(s, res, env, s.applyReleased)
	case KindSplit:
		return decodeAndApply(s, res, env, s.applySplit)
	case KindMerge:
		return decodeAndApply(s, res, env, s.applyMerge)
	case KindGranters:
		return decodeAndApply(s, res, env, s.applyGranters)
	case KindEntryHost:
		return decodeAndApply(s, res, env, s.applyEntryHost)
	case KindSnapshot:
		return decodeAndApply(s, res, env, s.applySnapshot)
	}
	return s.skip(res, fmt.Sprintf("unknown kind %q", env.Kind))
}

func decodeAndApply[T any](s *State, res Result, env Envelope, apply func(Result, T) Result) Result {
	var body T
	if err := json.Unmarshal(env.Body, &body); err != nil {
		return s.skip(res, "invalid body for kind "+string(env.Kind))
	}
	if env.Kind != KindBootstrap && s.Config == nil && env.Kind != KindEntryHost {
		return refuse(res, &StateError{Reason: "no configuration yet"})
	}
	return apply(res, body)
}

func refuse(res Result, err error) Result {
	res.Outcome, res.Err = OutcomeRefused, err
	return res
}

func accept(res Result) Result {
	res.Outcome = OutcomeApplied
	return res
}

func (s *State) applyBootstrap(res Result, d Bootstrap) Result {
	if s.Config != nil {
		return refuse(res, &StateError{Reason: "a configuration already exists"})
	}
	cfg, err := contract.NewState(d)
	if err != nil {
		return refuse(res, err)
	}
	s.setConfig(cfg)
	s.IsolatedServeOffset = res.Offset
	return accept(res)
}

func (s *State) setConfig(cfg *contract.State) {
	s.Config = cfg
	for _, w := range cfg.Workloads {
		if w.Keyed {
			s.Table.AddWorkload(w.Name, w.Shards)
		}
	}
}

func (s *State) applyChange(res Result, ch Change) Result {
	next, err := s.Config.Apply(ch)
	if err != nil {
		return refuse(res, err)
	}
	if next.IsolatedServeMS != s.Config.IsolatedServeMS {
		s.IsolatedServeOffset = res.Offset
	}
	s.setConfig(next)
	return accept(res)
}

func (s *State) applyMove(res Result, m Move) Result {
	valid := Move{Reason: m.Reason}
	for _, e := range m.Shards {
		t, ok := s.Config.Targets[e.To]
		if !ok || t.Workload != e.Workload {
			res.Refusals = append(res.Refusals, &ownership.Refusal{ID: e.ID, Code: ownership.RefusedDifferentOwner, RecordEpoch: e.FromEpoch})
			continue
		}
		valid.Shards = append(valid.Shards, e)
	}
	before := s.shardStates(shardIDs(valid.Shards))
	res.Refusals = append(res.Refusals, s.Table.ApplyMove(valid)...)
	s.bumpTargetVersions(res.Offset, shardIDs(valid.Shards), before)
	return entriesOutcome(res, len(m.Shards))
}

func (s *State) applyReleased(res Result, r Released) Result {
	valid := Released{Proof: r.Proof}
	var shards []ownership.ID
	for _, e := range r.Shards {
		if r.Proof == ownership.ProofDomainLost && !s.formerDomainLost(e.ID) {
			res.Refusals = append(res.Refusals, &ownership.Refusal{ID: e.ID, Code: ownership.RefusedInvalidProof, RecordEpoch: e.Epoch})
			continue
		}
		valid.Shards = append(valid.Shards, e)
		shards = append(shards, e.ID)
	}
	before := s.shardStates(shards)
	res.Refusals = append(res.Refusals, s.Table.ApplyReleased(valid)...)
	s.bumpTargetVersions(res.Offset, shards, before)
	return entriesOutcome(res, len(r.Shards))
}

// formerDomainLost reports whether the domain of a shard's former owner is
// declared lost. A release that relies on this declaration but arrives after
// operators revoked it must not create a second owner beside a live one.
func (s *State) formerDomainLost(id ownership.ID) bool {
	shard, _ := s.Table.Get(id)
	domain := s.Config.Targets[shard.PreviousOwner].Domain
	return s.Config.Domains[domain].State == contract.StateLost
}

func shardIDs(shards []ownership.MoveShard) []ownership.ID {
	out := make([]ownership.ID, len(shards))
	for i, e := range shards {
		out[i] = e.ID
	}
	return out
}

// shardStates returns the current state of the shards.
func (s *State) shardStates(shards []ownership.ID) []ownership.Shard {
	out := make([]ownership.Shard, len(shards))
	for i, id := range shards {
		out[i], _ = s.Table.Get(id)
	}
	return out
}

// bumpTargetVersions sets the version of each target that owned or now owns one
// of the changed shards, and of a former owner that now counts as lost: granters
// promise to grant no lower version to it, and they do not grant this one either.
func (s *State) bumpTargetVersions(offset int64, shards []ownership.ID, before []ownership.Shard) {
	for i, id := range shards {
		now, _ := s.Table.Get(id)
		if now == before[i] {
			continue
		}
		changed := []string{before[i].Owner, now.Owner}
		if now.PreviousLost && !before[i].PreviousLost {
			changed = append(changed, now.PreviousOwner)
		}
		for _, target := range changed {
			if target != "" {
				s.TargetVersion[target] = offset
			}
		}
	}
}

func entriesOutcome(res Result, n int) Result {
	switch {
	case len(res.Refusals) == 0:
		res.Outcome = OutcomeApplied
	case len(res.Refusals) < n:
		res.Outcome, res.Err = OutcomePartial, res.Refusals[0]
	default:
		res.Outcome, res.Err = OutcomeRefused, res.Refusals[0]
	}
	return res
}

func (s *State) applySplit(res Result, sp Split) Result {
	if r := s.Table.ApplySplit(sp); r != nil {
		return refuse(res, r)
	}
	w := s.Table.Workloads[sp.Workload]
	s.TargetVersion[w.Shards[w.HotKeys[sp.Key]].Owner] = res.Offset
	return accept(res)
}

func (s *State) applyMerge(res Result, m Merge) Result {
	w, ok := s.Table.Workloads[m.Workload]
	owner := ""
	if ok {
		if n, split := w.HotKeys[m.Key]; split {
			owner = w.Shards[n].Owner
		}
	}
	if r := s.Table.ApplyMerge(m); r != nil {
		return refuse(res, r)
	}
	s.TargetVersion[owner] = res.Offset
	return accept(res)
}

func (s *State) applyGranters(res Result, g Granters) Result {
	if _, ok := s.Config.Domains[g.Domain]; !ok {
		return refuse(res, &StateError{Reason: "unknown domain " + g.Domain})
	}
	old := s.Granters[g.Domain]
	if g.FromVersion != old.Version {
		return refuse(res, &StateError{Reason: fmt.Sprintf("granters of %s: list was made from version %d, version %d is in force", g.Domain, g.FromVersion, old.Version)})
	}
	g.Version, g.Offset = old.Version+1, res.Offset
	for i, m := range g.Members {
		if _, ok := findMember(old.Retiring, m); ok {
			return refuse(res, &StateError{Reason: "granter " + m.Host + " is still retiring"})
		}
		g.Members[i].AddedAt = res.Offset
		if previous, ok := findMember(old.Members, m); ok {
			g.Members[i].AddedAt = previous.AddedAt
		}
	}
	g.Retiring = retiringMembers(old, g)
	s.Granters[g.Domain] = g
	return accept(res)
}

func findMember(members []Member, m Member) (Member, bool) {
	for _, x := range members {
		if x.Host == m.Host && x.Incarnation == m.Incarnation {
			return x, true
		}
	}
	return Member{}, false
}

// retiringMembers returns the retiring members of the list next that replaces
// old. Each member that the new list leaves out retires, whether or not the
// record lists it as retiring, because it may renew leases until it has read
// the record. The record can only leave out members that were retiring before.
func retiringMembers(old, next Granters) []Member {
	var out []Member
	for _, m := range old.Members {
		if _, stays := findMember(next.Members, m); !stays {
			out = append(out, m)
		}
	}
	for _, m := range old.Retiring {
		if _, kept := findMember(next.Retiring, m); kept {
			out = append(out, m)
		}
	}
	return out
}

func (s *State) applyEntryHost(res Result, h EntryHost) Result {
	if h.Name == "" {
		return refuse(res, &StateError{Reason: "entry host has no name"})
	}
	if current, ok := s.EntryHosts[h.Name]; ok && h.Stopped && current.Incarnation != h.Incarnation {
		return refuse(res, &StateError{Reason: "entry host " + h.Name + " has a newer incarnation"})
	}
	s.EntryHosts[h.Name] = h
	return accept(res)
}

// applySnapshot records the offset of a snapshot when its last part is applied;
// only starting hosts use the state in it.
func (s *State) applySnapshot(res Result, p Snapshot) Result {
	if p.Part == p.Parts-1 && p.NextOffset <= res.Offset {
		s.LastSnapshotOffset = max(s.LastSnapshotOffset, p.NextOffset)
	}
	return accept(res)
}
