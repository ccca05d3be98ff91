package journal

import (
	"encoding/json"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/ownership"
)

// FormatVersion is the format of the records that this package writes and
// reads. Records of a newer format are skipped.
const FormatVersion = 1

// Kind names the body of a record.
type Kind string

// Kinds of records.
const (
	KindBootstrap Kind = "bootstrap"
	KindChange    Kind = "change"
	KindMove      Kind = "move"
	KindReleased  Kind = "released"
	KindSplit     Kind = "split"
	KindMerge     Kind = "merge"
	KindGranters  Kind = "granters"
	KindEntryHost Kind = "entry_host"
	KindSnapshot  Kind = "snapshot"
)

// Envelope is the outer form of each record.
type Envelope struct {
	FormatVersion int `json:"v"`
	// ID is unique; a later record with the same ID is ignored.
	ID   string          `json:"id"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// EncodeError reports that a record's body could not be encoded.
type EncodeError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return "encode " + string(e.Kind) + " record: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// Encode returns the bytes of a record. It fails with *EncodeError.
func Encode(id string, kind Kind, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Kind: kind, Err: err}
	}
	data, err := json.Marshal(Envelope{FormatVersion: FormatVersion, ID: id, Kind: kind, Body: raw})
	if err != nil {
		return nil, &EncodeError{Kind: kind, Err: err}
	}
	return data, nil
}

// Member is one granter of a domain.
type Member struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// AddedAt is the offset of the granters record that added the member; set
	// by Apply.
	AddedAt int64 `json:"added_at,omitempty"`
}

// Granters is the list of hosts that may renew the leases of a domain's
// targets. In a record, FromVersion must equal the version in force.
type Granters struct {
	Domain      string `json:"domain"`
	FromVersion int64  `json:"from_version"`
	// Version counts the lists of the domain; set by Apply.
	Version int64 `json:"version"`
	// Members are in order of precedence: the first one that is alive leads.
	Members []Member `json:"members"`
	// Retiring members are no longer used, but may still hold authority. Apply
	// adds each member that a new list leaves out; a record ends the retirement
	// of a member by leaving it out of Retiring.
	Retiring []Member `json:"retiring,omitempty"`
	// Offset is the offset of the record; set by Apply.
	Offset int64 `json:"offset"`
}

// EntryHost announces an entry host.
type EntryHost struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	// HTTPAddr and PeerAddr are host:port, the host as an IP address.
	HTTPAddr string `json:"http_addr"`
	PeerAddr string `json:"peer_addr"`
	// Stopped marks a host that has announced its stop or is gone for good.
	Stopped bool `json:"gone,omitempty"`
}

// Bodies of the other kinds.
type (
	// Bootstrap is the first configuration.
	Bootstrap = contract.Deployment
	// Change modifies the configuration.
	Change = contract.Change
	// Move assigns shards.
	Move = ownership.Move
	// Released ends former assignments.
	Released = ownership.Released
	// Split gives a hot key its own shard.
	Split = ownership.Split
	// Merge ends a split.
	Merge = ownership.Merge
)
