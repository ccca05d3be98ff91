package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/platform"
)

// patchFrom is the least size in bytes of a value that is relayed as a patch of the
// one before it. Desired states and tables of owners are well above it, announcements
// of targets below.
const patchFrom = 1 << 10

// relayedRecord is a record as the leader passes it on: whole, or as a patch of the
// record of its key at the offset Base.
type relayedRecord struct {
	Offset int64  `json:"offset"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Patch  []byte `json:"patch,omitempty"`
	Base   int64  `json:"base,omitempty"`
}

// noBase is the base of a patch that makes the whole value.
const noBase = -1

// maxDropped bounds the dropped keys that a topicState remembers.
const maxDropped = 4096

// topicState is what a topic's records have come to: enough to pass on changes as
// patches, and to tell a host that was away what it missed.
type topicState struct {
	// newest holds the last record of each key that changed something, without a value
	// for dropped keys.
	newest map[string]platform.Record
	// since is the offset from which on newest misses nothing.
	since   int64
	dropped int
}

func newTopicState() topicState { return topicState{newest: map[string]platform.Record{}} }

// reset forgets what came before the newest records of all keys, which were read when
// the topic ended at an offset.
func (s *topicState) reset(next int64) {
	clear(s.newest)
	s.since, s.dropped = next, 0
}

// put takes a record that was applied.
func (s *topicState) put(r platform.Record) {
	old, ok := s.newest[r.Key]
	if ok && old.Offset >= r.Offset {
		return
	}
	if ok && len(old.Value) == 0 {
		s.dropped--
	}
	s.newest[r.Key] = r
	if len(r.Value) == 0 {
		if s.dropped++; s.dropped > maxDropped {
			s.forgetDropped()
		}
	}
}

// forgetDropped forgets all dropped keys. Hosts that were away when they were dropped
// need the records of all keys.
func (s *topicState) forgetDropped() {
	for key, r := range s.newest {
		if len(r.Value) == 0 {
			delete(s.newest, key)
			s.since = max(s.since, r.Offset+1)
		}
	}
	s.dropped = 0
}

// changes returns the records from an offset on that still count, in their order, or
// false when some may be missing.
func (s *topicState) changes(from int64) ([]platform.Record, bool) {
	if from < s.since {
		return nil, false
	}
	return s.inOrder(func(r platform.Record) bool { return r.Offset >= from }), true
}

// all returns the records of all keys that were not dropped, in their order.
func (s *topicState) all() []platform.Record {
	return s.inOrder(func(r platform.Record) bool { return len(r.Value) > 0 })
}

// inOrder returns the newest records that are wanted in the order of the topic.
func (s *topicState) inOrder(wanted func(platform.Record) bool) []platform.Record {
	var out []platform.Record
	for _, r := range s.newest {
		if wanted(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// pack returns a record in the form in which it is relayed to hosts that have what
// this state holds.
func (s *topicState) pack(r platform.Record) relayedRecord {
	if base, ok := s.newest[r.Key]; ok && len(base.Value) >= patchFrom {
		return patched(r, base.Value, base.Offset)
	}
	return packWhole(r)
}

// packWhole returns a record in the form in which it is relayed to any host.
func packWhole(r platform.Record) relayedRecord { return patched(r, nil, noBase) }

func patched(r platform.Record, base []byte, offset int64) relayedRecord {
	whole := relayedRecord{Offset: r.Offset, Key: r.Key, Value: r.Value}
	if len(r.Value) < patchFrom {
		return whole
	}
	patch, err := delta.Make(base, r.Value)
	if err != nil || len(patch) >= len(r.Value) {
		return whole // a patch only saves bytes
	}
	return relayedRecord{Offset: r.Offset, Key: r.Key, Patch: patch, Base: offset}
}

// baseError says that a patch cannot be applied here.
type baseError struct {
	Key          string
	Offset, Base int64
	// Err is nil when the base is not the record that is known here.
	Err error
}

// Error implements error.
func (e *baseError) Error() string {
	reason := "the base is not the record that is known here"
	if e.Err != nil {
		reason = e.Err.Error()
	}
	return fmt.Sprintf("coordinator: patch of %s at offset %d, base %d: %s", e.Key, e.Offset, e.Base, reason)
}

// Unwrap returns the cause.
func (e *baseError) Unwrap() error { return e.Err }

// unpack returns the records from an offset on that were relayed. It fails with
// *baseError.
func (s *topicState) unpack(relayed []relayedRecord, from int64) ([]platform.Record, error) {
	out := make([]platform.Record, 0, len(relayed))
	// latest are the values of this message, on which its later records may build.
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
				return nil, &baseError{Key: m.Key, Offset: m.Offset, Base: m.Base}
			}
			var err error
			if r.Value, err = delta.Apply(base.Value, m.Patch, platform.MaxRecordBytes); err != nil {
				return nil, &baseError{Key: m.Key, Offset: m.Offset, Base: m.Base, Err: err}
			}
		}
		latest[m.Key] = r
		out = append(out, r)
	}
	return out, nil
}

// relay returns a message without records that leads from one offset to another, as of
// now.
func (f *follower) relay(from, next int64) relayMessage {
	now := boottime.Now()
	return relayMessage{clockReply: clockAt(now), Topic: f.topic, From: from, Next: next, AgeMS: f.age(now).Milliseconds()}
}

// fullRelay returns a message with all keys. f.taking is held.
func (f *follower) fullRelay() relayMessage {
	m := f.relay(unknownOffset, f.position())
	m.Full = true
	for _, r := range f.state.all() {
		m.Records = append(m.Records, packWhole(r))
	}
	return m
}

// catchUp posts to a host that has applied the records before an offset what it has
// missed since. Relays that are posted later go on from there.
func (f *follower) catchUp(pc *peerConn, from int64) {
	f.taking.Lock()
	defer f.taking.Unlock()
	next := f.position()
	if from < 0 || from >= next {
		return
	}
	records, ok := f.state.changes(from)
	if !ok {
		pc.post(encode(methodRelay, f.fullRelay()))
		return
	}
	m := f.relay(from, next)
	for _, r := range records {
		m.Records = append(m.Records, packWhole(r))
	}
	pc.post(encode(methodRelay, m))
}
