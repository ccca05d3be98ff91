package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/platform"
)

// minPatchedBytes is the least size in bytes of a value that is relayed as a patch of
// the previous one. Desired states and range tables are well above it, announcements
// of targets below.
const minPatchedBytes = 1 << 10

// relayedRecord is a record as the leader relays it: whole, or as a patch of the record
// of its key at the offset Base.
type relayedRecord struct {
	Offset int64  `json:"offset"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Patch  []byte `json:"patch,omitempty"`
	Base   int64  `json:"base,omitempty"`
	// Replaces is set in a record that the store lost: the offset of the older record that
	// the store has, or unknownOffset.
	Replaces *int64 `json:"replaces,omitempty"`
}

// noBase is the Base of a patch of an empty value.
const noBase = -1

// maxTombstones bounds the deleted keys that a topicState remembers.
const maxTombstones = 4096

// topicState holds the newest records of a topic, from which the leader makes patches
// of changes and sends a reconnected host what it missed.
type topicState struct {
	// newest holds the last record of each key that changed something; the record of a
	// deleted key is a tombstone, which has no value.
	newest map[string]platform.Record
	// completeFrom is the offset from which on newest is complete.
	completeFrom int64
	tombstones   int
	// end is the position up to which records were put.
	end topicPosition
}

func newTopicState() topicState {
	return topicState{newest: map[string]platform.Record{}, end: topicPosition{Next: unknownOffset}}
}

// continuedBy reports whether the newest records of all keys, as of the end of a batch, can
// be told as changes to hosts that have the records of this state.
func (s *topicState) continuedBy(b platform.Batch) bool {
	return s.end.Next != unknownOffset && s.end.Era == b.Era && s.end.Next <= b.NextOffset
}

// changesTo returns what changed up to the newest records of all keys: those of the relevant
// ones that are new, and tombstones of keys that are gone.
func (s *topicState) changesTo(b platform.Batch, relevant []platform.Record) []platform.Record {
	var changed []platform.Record
	for _, r := range relevant {
		if r.Offset >= s.end.Next {
			changed = append(changed, r)
		}
	}
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}
	for key, r := range s.newest {
		if len(r.Value) > 0 && !present[key] {
			// Its offset is not known, but it is the last record of the key.
			changed = append(changed, platform.Record{Offset: max(s.end.Next, b.NextOffset-1), Key: key})
		}
	}
	slices.SortFunc(changed, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return changed
}

// reset clears the state before the newest records of all keys are put, which were read
// when the topic ended at the offset next.
func (s *topicState) reset(next int64) {
	clear(s.newest)
	s.completeFrom, s.tombstones = next, 0
}

// put stores a record that was applied.
func (s *topicState) put(r platform.Record) {
	old, ok := s.newest[r.Key]
	if ok && old.Offset >= r.Offset {
		return
	}
	if ok && len(old.Value) == 0 {
		s.tombstones--
	}
	s.newest[r.Key] = r
	if len(r.Value) == 0 {
		if s.tombstones++; s.tombstones > maxTombstones {
			s.dropTombstones()
		}
	}
}

// dropTombstones removes all tombstones. Hosts that missed one of them need the records
// of all keys.
func (s *topicState) dropTombstones() {
	for key, r := range s.newest {
		if len(r.Value) == 0 {
			delete(s.newest, key)
			s.completeFrom = max(s.completeFrom, r.Offset+1)
		}
	}
	s.tombstones = 0
}

// changes returns the newest records at or after an offset, in the order of the topic,
// or false when some may be missing.
func (s *topicState) changes(from int64) ([]platform.Record, bool) {
	if from < s.completeFrom {
		return nil, false
	}
	return s.inOrder(func(r platform.Record) bool { return r.Offset >= from }), true
}

// all returns the records of all keys that are not deleted, in the order of the topic.
func (s *topicState) all() []platform.Record {
	return s.inOrder(func(r platform.Record) bool { return len(r.Value) > 0 })
}

// inOrder returns the newest records that match a filter, in the order of the topic.
func (s *topicState) inOrder(include func(platform.Record) bool) []platform.Record {
	var out []platform.Record
	for _, r := range s.newest {
		if include(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// pack returns a record in the form in which it is relayed to hosts that have applied
// the records of this state.
func (s *topicState) pack(r platform.Record) relayedRecord {
	if base, ok := s.newest[r.Key]; ok && len(base.Value) >= minPatchedBytes {
		return patchRecord(r, base.Value, base.Offset)
	}
	return packWhole(r)
}

// packWhole returns a record in the form in which it is relayed to any host.
func packWhole(r platform.Record) relayedRecord { return patchRecord(r, nil, noBase) }

func patchRecord(r platform.Record, base []byte, offset int64) relayedRecord {
	whole := relayedRecord{Offset: r.Offset, Key: r.Key, Value: r.Value}
	if len(r.Value) < minPatchedBytes {
		return whole
	}
	patch, err := delta.Make(base, r.Value)
	if err != nil || len(patch) >= len(r.Value) {
		return whole // a patch only saves bytes
	}
	return relayedRecord{Offset: r.Offset, Key: r.Key, Patch: patch, Base: offset}
}

// patchError is the failure to apply a patch.
type patchError struct {
	Key          string
	Offset, Base int64
	// Err is nil when the newest record of the key is not the base.
	Err error
}

// Error implements error.
func (e *patchError) Error() string {
	reason := "the newest record of the key on this host is not the base"
	if e.Err != nil {
		reason = e.Err.Error()
	}
	return fmt.Sprintf("coordinator: patch of %s at offset %d, base %d: %s", e.Key, e.Offset, e.Base, reason)
}

// Unwrap returns the cause.
func (e *patchError) Unwrap() error { return e.Err }

// unpack returns the relayed records at or after an offset. It fails with *patchError.
func (s *topicState) unpack(relayed []relayedRecord, from int64) ([]platform.Record, error) {
	out := make([]platform.Record, 0, len(relayed))
	// latest has the values of this message, of which its later records may be patches.
	latest := map[string]platform.Record{}
	for _, m := range relayed {
		if m.Offset < from {
			continue
		}
		r := platform.Record{Offset: m.Offset, Key: m.Key, Value: m.Value}
		if len(m.Patch) > 0 {
			base, ok := latest[m.Key]
			if !ok {
				base = s.newest[m.Key]
			}
			if m.Base == noBase {
				base = platform.Record{Offset: noBase}
			}
			if base.Offset != m.Base {
				return nil, &patchError{Key: m.Key, Offset: m.Offset, Base: m.Base}
			}
			var err error
			if r.Value, err = delta.Apply(base.Value, m.Patch, platform.MaxRecordBytes); err != nil {
				return nil, &patchError{Key: m.Key, Offset: m.Offset, Base: m.Base, Err: err}
			}
		}
		latest[m.Key] = r
		out = append(out, r)
	}
	return out, nil
}

// newRelay returns a relay message without records between two offsets, as of now.
func (f *follower) newRelay(from, next int64) relayMessage {
	now := boottime.Now()
	f.mu.Lock()
	era := f.era
	f.mu.Unlock()
	return relayMessage{clockReading: clockAt(now), Topic: f.topic, Era: era, From: from, Next: next, AgeMS: f.age(now).Milliseconds()}
}

// fullRelay returns a relay message with all keys. f.applyMu is held.
func (f *follower) fullRelay() relayMessage {
	m := f.newRelay(unknownOffset, f.position())
	m.Full = true
	for _, r := range f.state.all() {
		m.Records = append(m.Records, packWhole(r))
		if x, ok := f.remembered[r.Key]; ok {
			m.Records[len(m.Records)-1].Replaces = &x.replaces
		}
	}
	for _, x := range f.remembered {
		if len(x.record.Value) == 0 {
			m.Records = append(m.Records, relayedRecord{Offset: x.record.Offset, Key: x.record.Key, Replaces: &x.replaces})
		}
	}
	return m
}

// sendMissed queues for a host that has applied the records before a position what it
// has missed since. Relays that are queued later continue from there.
func (f *follower) sendMissed(pc *peerConn, from topicPosition) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	own := f.report(boottime.Now())
	if len(f.remembered) > 0 && own.Next != unknownOffset {
		pc.enqueue(encode(methodRelay, f.fullRelay()))
		return
	}
	if own.Next == unknownOffset || from.Next < 0 || from.Era == own.Era && from.Next >= own.Next {
		return
	}
	records, ok := f.state.changes(from.Next)
	if !ok || from.Era != own.Era {
		pc.enqueue(encode(methodRelay, f.fullRelay()))
		return
	}
	m := f.newRelay(from.Next, own.Next)
	for _, r := range records {
		m.Records = append(m.Records, packWhole(r))
	}
	pc.enqueue(encode(methodRelay, m))
}
