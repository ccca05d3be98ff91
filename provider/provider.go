package provider

import (
	"context"
	"fmt"
	"time"
)

// Code classifies a failure of a platform operation.
type Code string

// Failure codes.
const (
	// CodeUnavailable means that the operation had no effect, for example
	// because no connection could be opened.
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome means that the operation may have taken effect: its
	// response was lost.
	CodeUnknownOutcome Code = "unknown_outcome"
	// CodeExpired means that the log no longer holds the requested offset.
	CodeExpired Code = "expired"
	// CodeRejected means that the platform understood the request and refused it.
	CodeRejected Code = "rejected"
	// CodeMalformed means that the response could not be decoded.
	CodeMalformed Code = "malformed"
)

// Error describes a failed platform operation.
type Error struct {
	// Op names the operation, for example "log.append".
	Op string
	// Code classifies the failure.
	Code Code
	// Detail is a reason for people to read; it contains no secrets.
	Detail string
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Code, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Code, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Record is one entry of the log.
type Record struct {
	// Offset is the record's position; offsets start at 1 and grow by one.
	Offset int64 `json:"offset"`
	// Data is the record as appended.
	Data []byte `json:"data"`
}

// Batch is the result of a log read.
type Batch struct {
	// Records are in offset order, starting at the requested offset.
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset that the log still holds.
	FirstOffset int64 `json:"first"`
	// EndOffset is the offset of the next append, as of this read.
	EndOffset int64 `json:"end"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record and returns its offset. After an error with
	// CodeUnknownOutcome the record may or may not be in the log.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns at most limit records, starting at offset from. When there
	// are none, it waits up to wait for one. An offset of 0 reads from the oldest
	// record held, without waiting; any other offset below that record fails
	// with CodeExpired.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list of hosts, which may be out of date.
type Host struct {
	Name   string    `json:"name"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// TargetState is the state that a target reports.
type TargetState string

// Target states.
const (
	TargetServing TargetState = "serving"
	TargetCold    TargetState = "cold"
	TargetLeaving TargetState = "leaving"
)

// ShardEpoch identifies a shard and the epoch under which a target holds it.
type ShardEpoch struct {
	Workload string `json:"w"`
	Shard    int32  `json:"s"`
	Epoch    uint64 `json:"e"`
}

// Grant is an order to a target to hold the listed shards for the length of a
// lease.
type Grant struct {
	// Granter is the name of the entry host that sends the grant.
	Granter string `json:"granter"`
	// Nonce is the nonce from the target's previous response to this granter; the
	// lease starts when the target issued it. It is empty in the first grant of a
	// granter, which fetches a nonce and extends nothing.
	Nonce string `json:"nonce"`
	// LeaseMS is the length of the lease in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Version orders the grants of a target. A target refuses a version below
	// the highest it has accepted.
	Version uint64 `json:"version"`
	// HasShards distinguishes a full list from a renewal of the list of Version.
	HasShards bool `json:"has_shards"`
	// Shards is the complete list of shards that the target holds at Version.
	Shards []ShardEpoch `json:"shards,omitempty"`
	// HotKeys lists the split keys of the workloads in Shards. The target accepts
	// requests for them under their own shard only.
	HotKeys []HotKey `json:"hot_keys,omitempty"`
}

// HotKey is a key that has a shard of its own.
type HotKey struct {
	Workload string `json:"w"`
	Key      string `json:"k"`
	Shard    int32  `json:"s"`
}

// GrantResult is how a target handled a grant.
type GrantResult string

// Grant results.
const (
	GrantAccepted GrantResult = "accepted"
	// GrantNonceRejected means that the nonce was unknown or too old; nothing was
	// extended and the response carries a new one.
	GrantNonceRejected GrantResult = "nonce"
	// GrantStaleVersion means that the version was below the highest accepted.
	GrantStaleVersion GrantResult = "stale"
	// GrantNeedShards means that a renewal named a version whose list the
	// target does not hold.
	GrantNeedShards GrantResult = "need_shards"
)

// GrantReply is a target's response to a grant.
type GrantReply struct {
	Result GrantResult `json:"result"`
	// Nonce is the nonce for the next grant.
	Nonce string `json:"nonce"`
	// Version is the highest version accepted.
	Version uint64 `json:"version"`
	// Incarnation changes when the target restarts.
	Incarnation string `json:"incarnation"`
	// Draining lists all shards that accepted versions have dropped and that
	// still have requests in flight.
	Draining []ShardEpoch `json:"draining,omitempty"`
	Load     LoadReport   `json:"load"`
}

// LoadReport is the load that a target reports. It may be out of date or wrong.
type LoadReport struct {
	State TargetState `json:"state"`
	// Incarnation changes when the target restarts; empty when the target does
	// not report it.
	Incarnation string `json:"incarnation,omitempty"`
	InFlight    int    `json:"in_flight"`
	Queued      int    `json:"queued"`
	// Capacity is the number of requests that the target can run at once now, as
	// it reports.
	Capacity int `json:"bears"`
}

// Target is the control interface of one target.
type Target interface {
	Grant(ctx context.Context, g Grant) (GrantReply, error)
	Load(ctx context.Context) (LoadReport, error)
}

// Headers on the hop from an entry host to a target.
const (
	HeaderWorkload   = "Boragelock-Workload"
	HeaderKey        = "Boragelock-Key"
	HeaderShard      = "Boragelock-Shard"
	HeaderEpoch      = "Boragelock-Epoch"
	HeaderCustomer   = "Boragelock-Customer"
	HeaderRequestID  = "Boragelock-Request-Id"
	HeaderDeadlineMS = "Boragelock-Deadline-Ms"
	// HeaderOutcome is set by a target on a refusal: "not_run" when it did not
	// run the request.
	HeaderOutcome = "Boragelock-Outcome"
	// HeaderCode is set by a target on a refusal: one of the Refusal codes.
	HeaderCode = "Boragelock-Code"
)

// Refusal codes of a target, sent in HeaderCode with status 409 or 503.
const (
	RefusalNotOwner = "not_owner"
	RefusalShed     = "shed"
	RefusalLeaving  = "leaving"
	RefusalDeadline = "deadline"
)
