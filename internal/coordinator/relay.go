package coordinator

import (
	"fmt"

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

// largeValues are the newest records of the keys with large values of a topic.
type largeValues map[string]platform.Record

// put takes a record that was applied.
func (l largeValues) put(r platform.Record) {
	switch old, ok := l[r.Key]; {
	case ok && old.Offset >= r.Offset:
	case len(r.Value) < patchFrom:
		delete(l, r.Key)
	default:
		l[r.Key] = r
	}
}

// pack returns records in the form in which they are relayed, or nothing when they
// are not, and takes them.
func (l largeValues) pack(records []platform.Record, relayed bool) []relayedRecord {
	var out []relayedRecord
	for _, r := range records {
		if relayed {
			out = append(out, l.packOne(r))
		}
		l.put(r)
	}
	return out
}

func (l largeValues) packOne(r platform.Record) relayedRecord {
	whole := relayedRecord{Offset: r.Offset, Key: r.Key, Value: r.Value}
	base, ok := l[r.Key]
	if !ok || len(r.Value) < patchFrom {
		return whole
	}
	patch, err := delta.Make(base.Value, r.Value)
	if err != nil || len(patch) >= len(r.Value) {
		return whole // a patch only saves bytes
	}
	return relayedRecord{Offset: r.Offset, Key: r.Key, Patch: patch, Base: base.Offset}
}

// baseError says that a patch cannot be applied here.
type baseError struct {
	Key          string
	Offset, Base int64
	// Err is nil when the base is not the record that is known here.
	Err error
}

func (e *baseError) Error() string {
	return fmt.Sprintf("coordinator: patch of %s at offset %d, base %d: %v", e.Key, e.Offset, e.Base, e.Err)
}

func (e *baseError) Unwrap() error { return e.Err }

// unpack returns the records from an offset on that were relayed, and takes them. It
// fails with *baseError.
func (l largeValues) unpack(relayed []relayedRecord, from int64) ([]platform.Record, error) {
	out := make([]platform.Record, 0, len(relayed))
	for _, m := range relayed {
		if m.Offset < from {
			continue
		}
		r := platform.Record{Offset: m.Offset, Key: m.Key, Value: m.Value}
		if len(m.Patch) > 0 {
			base, ok := l[m.Key]
			if !ok || base.Offset != m.Base {
				return nil, &baseError{Key: m.Key, Offset: m.Offset, Base: m.Base}
			}
			var err error
			if r.Value, err = delta.Apply(base.Value, m.Patch, platform.MaxRecordBytes); err != nil {
				return nil, &baseError{Key: m.Key, Offset: m.Offset, Base: m.Base, Err: err}
			}
		}
		l.put(r)
		out = append(out, r)
	}
	return out, nil
}
