package journal

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// Snapshot is the body of a snapshot record: one part of a compressed State.
type Snapshot struct {
	// SnapshotID identifies the snapshot that the part belongs to.
	SnapshotID string `json:"of"`
	// NextOffset is the NextOffset of the state.
	NextOffset int64 `json:"next"`
	Part       int   `json:"part"`
	Parts      int   `json:"parts"`
	// Data is a part of the gzip-compressed JSON state. The checksum in the
	// gzip trailer detects corruption.
	Data []byte `json:"data"`
}

// SnapshotPartBytes is the largest Data of one part.
const SnapshotPartBytes = 256 << 10

// MaxSnapshotBytes limits the decompressed size of a snapshot, so that an
// invalid one cannot exhaust a host's memory. A state of the design size has
// 5 MB.
const MaxSnapshotBytes = 128 << 20

// SnapshotError reports that a snapshot cannot be encoded or used.
type SnapshotError struct {
	SnapshotID string
	Reason     string
	Err        error
}

// Error implements error.
func (e *SnapshotError) Error() string {
	if e.Err != nil {
		return "snapshot " + e.SnapshotID + ": " + e.Reason + ": " + e.Err.Error()
	}
	return "snapshot " + e.SnapshotID + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// EncodeSnapshot returns the parts of a snapshot of s. It fails with
// *SnapshotError.
func EncodeSnapshot(id string, s *State) ([]Snapshot, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(s); err != nil {
		return nil, &SnapshotError{SnapshotID: id, Reason: "encode", Err: err}
	}
	if err := zw.Close(); err != nil {
		return nil, &SnapshotError{SnapshotID: id, Reason: "compress", Err: err}
	}
	data := buf.Bytes()
	n := (len(data) + SnapshotPartBytes - 1) / SnapshotPartBytes
	parts := make([]Snapshot, n)
	for i := range parts {
		end := min((i+1)*SnapshotPartBytes, len(data))
		parts[i] = Snapshot{SnapshotID: id, NextOffset: s.NextOffset, Part: i, Parts: n, Data: data[i*SnapshotPartBytes : end]}
	}
	return parts, nil
}

// DecodeSnapshot returns the state of a complete set of parts in order. It
// fails with *SnapshotError when a part is missing, corrupt or of another
// snapshot, or when the state is too large or incomplete.
func DecodeSnapshot(parts []Snapshot) (*State, error) {
	if len(parts) == 0 {
		return nil, &SnapshotError{Reason: "no parts"}
	}
	snapshotID := parts[0].SnapshotID
	var buf bytes.Buffer
	for i, p := range parts {
		if p.SnapshotID != snapshotID || p.Part != i || p.Parts != len(parts) {
			return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "parts are missing, out of order or of different snapshots"}
		}
		buf.Write(p.Data)
	}
	zr, err := gzip.NewReader(&buf)
	if err != nil {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "decompress", Err: err}
	}
	raw, err := io.ReadAll(io.LimitReader(zr, MaxSnapshotBytes+1))
	if err != nil {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "decompress", Err: err}
	}
	if len(raw) > MaxSnapshotBytes {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "too large"}
	}
	s := NewState()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "decode", Err: err}
	}
	if s.NextOffset != parts[0].NextOffset {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "next offset of the state differs from that of the parts"}
	}
	if !s.isComplete() {
		return nil, &SnapshotError{SnapshotID: snapshotID, Reason: "state is incomplete"}
	}
	for _, id := range s.RecentIDs {
		s.recentSet[id] = true
	}
	return s, nil
}

// isComplete reports whether the fields of a decoded state that Apply relies on
// are present and consistent.
func (s *State) isComplete() bool {
	if s.Table == nil || s.Table.Workloads == nil || s.Granters == nil || s.EntryHosts == nil || s.TargetVersion == nil {
		return false
	}
	for _, w := range s.Table.Workloads {
		if w == nil || w.HashedShards < 1 || len(w.Shards) < int(w.HashedShards) {
			return false
		}
		for _, n := range w.HotKeys {
			if n < w.HashedShards || int(n) >= len(w.Shards) {
				return false
			}
		}
	}
	if c := s.Config; c != nil {
		return c.Domains != nil && c.Workloads != nil && c.Targets != nil && c.Contracts != nil && c.HostStates != nil
	}
	return true
}
