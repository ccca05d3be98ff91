package operator

import (
	"context"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Control is what the handler needs of the control plane. All methods are safe
// for concurrent use.
type Control interface {
	// View returns the present view, or nil before the host has any state.
	View() *view.View
	// Append writes a record and returns what it did once it has been read
	// back. Its errors implement OutcomeUnknown; the outcome of any other
	// error counts as unknown.
	Append(ctx context.Context, kind journal.Kind, body any) (journal.Result, error)
	// Status returns what is known of all domains.
	Status() Status
}

// HistorySource is implemented by a Control that can list the change records
// that the log still holds.
type HistorySource interface {
	// Changes returns change records in the order of their offsets.
	Changes(ctx context.Context) ([]ChangeRecord, error)
}

// OutcomeUnknown tells an append that certainly had no effect from one that
// may still come into force.
type OutcomeUnknown interface{ OutcomeUnknown() bool }

// AppendError is a ready-made error for Control.Append.
type AppendError struct {
	// Unknown is true when the record may still come into force.
	Unknown bool
	Err     error
}

// Error implements error.
func (e *AppendError) Error() string { return "append: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// OutcomeUnknown reports whether the record may still come into force.
func (e *AppendError) OutcomeUnknown() bool { return e.Unknown }

// Status is what an entry host knows of the whole installation.
type Status struct {
	// Host names the entry host that answers.
	Host string `json:"host"`
	// Name is that of the installation, ConfigVersion its version in force.
	Name          string         `json:"name"`
	ConfigVersion int64          `json:"config_version"`
	Domains       []DomainStatus `json:"domains"`
}

// DomainStatus describes one failure domain.
type DomainStatus struct {
	Name  string                 `json:"name"`
	State contract.OperatorState `json:"state"`
	// Granters are the hosts that may renew leases, in order;
	// RetiringGranters were taken off that list and may still renew leases.
	Granters         []string       `json:"granters"`
	RetiringGranters []string       `json:"retiring,omitempty"`
	Hosts            []HostStatus   `json:"hosts"`
	Targets          []TargetStatus `json:"targets"`
}

// HostStatus describes one entry host. What is not known of it is zero.
type HostStatus struct {
	Name          string                 `json:"name"`
	Incarnation   string                 `json:"incarnation"`
	State         contract.OperatorState `json:"state"`
	Alive         bool                   `json:"alive"`
	ConfigVersion int64                  `json:"config_version"`
	// LogOffset is the offset of the next record to apply; Lag the number of
	// records that the host is behind the answering one.
	LogOffset    int64 `json:"log_offset"`
	Lag          int64 `json:"lag"`
	LogReachable bool  `json:"log_reachable"`
	// Authority is log, consent or none for a granter, empty for others.
	Authority string `json:"authority,omitempty"`
	// Permits is the number of targets that the host is home of.
	Permits int `json:"permits"`
}

// TargetStatus describes one target.
type TargetStatus struct {
	Name     string                 `json:"name"`
	Workload string                 `json:"workload"`
	State    contract.OperatorState `json:"state"`
	// ReportedState is what the target reports: serving, cold or leaving.
	ReportedState string `json:"reported"`
	Fit           bool   `json:"fit"`
	// Home is the entry host that sends to the target.
	Home string `json:"home"`
	// LeaseMS is what is left of the target's lease as far as this host knows;
	// -1 when it does not know.
	LeaseMS int64 `json:"lease_ms"`
	// Shards counts the shards assigned to the target, WaitingShards those of
	// them that wait for the release by a previous owner, LeavingShards those
	// that it owned before and that are not yet released.
	Shards        int `json:"shards"`
	WaitingShards int `json:"waiting"`
	LeavingShards int `json:"leaving"`
	// InFlight and Queued count the requests at the home; -1 while it does not
	// answer.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// ReleaseBlockers names the granters that delay the proof that the target
	// has released its shards.
	ReleaseBlockers []string `json:"missing_word,omitempty"`
}

// ChangeRecord is one change on the log.
type ChangeRecord struct {
	Offset int64 `json:"offset"`
	// Version is the one that the change led to; 0 when it was refused.
	Version int64           `json:"version"`
	Outcome journal.Outcome `json:"outcome"`
	Change  contract.Change `json:"change"`
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	contract.Change
	// DryRun checks the change and says what it would do.
	DryRun bool `json:"dry_run,omitempty"`
	// Force skips the check that the remaining targets can carry the load.
	Force bool `json:"force,omitempty"`
}

// ChangeAnswer says what a change did, or would do.
type ChangeAnswer struct {
	// Version is the one in force after the change.
	Version int64        `json:"version"`
	Offset  int64        `json:"offset,omitempty"`
	DryRun  bool         `json:"dry_run,omitempty"`
	Changes []Difference `json:"changes"`
}

// ConfigAnswer is the configuration in force.
type ConfigAnswer struct {
	Config *contract.State `json:"config"`
}

// Assignment is one shard.
type Assignment struct {
	Workload string `json:"workload"`
	Shard    int32  `json:"shard"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	// Waiting is the epoch of the former owner Previous that is not yet
	// released; 0 when the assignment is active.
	Waiting  uint64 `json:"waiting,omitempty"`
	Previous string `json:"previous,omitempty"`
	// HotKey is set for a shard of a split key.
	HotKey string `json:"hot_key,omitempty"`
}

// Code classifies a Failure.
type Code string

// Codes of failures.
const (
	CodeInvalid        Code = "invalid"
	CodeConflict       Code = "conflict"
	CodeRefused        Code = "refused"
	CodeNotAccepted    Code = "not_accepted"
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeNoState        Code = "no_state"
	CodeNotBuilt       Code = "not_built"
	CodeUnreachable    Code = "unreachable"
)

// Failure is the answer to a request that was not carried out.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field, Value and Allowed are set with CodeInvalid.
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	// FromVersion, InForce and Changes are set with CodeConflict. Complete
	// says that Changes is all that changed between the two versions.
	FromVersion int64        `json:"from_version,omitempty"`
	InForce     int64        `json:"in_force,omitempty"`
	Changes     []Difference `json:"changes,omitempty"`
	Complete    bool         `json:"complete,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }
