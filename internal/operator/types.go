package operator

import (
	"context"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Control is the part of the control plane that the handler uses. All methods
// are safe for concurrent use.
type Control interface {
	// View returns the current view, or nil before the host has any state.
	View() *view.View
	// Append writes a record and returns its result once the record has been
	// read back. Its errors implement OutcomeUnknown; the handler treats the
	// outcome of any other error as unknown.
	Append(ctx context.Context, kind journal.Kind, body any) (journal.Result, error)
	// Status returns what the host knows about all domains.
	Status() Status
}

// HistorySource is implemented by a Control that can list the change records
// still in the log.
type HistorySource interface {
	// Changes returns the change records in offset order.
	Changes(ctx context.Context) ([]ChangeRecord, error)
}

// OutcomeUnknown is implemented by append errors. It distinguishes an append
// that had no effect from one that may still come into force.
type OutcomeUnknown interface{ OutcomeUnknown() bool }

// AppendError is an append error that implements OutcomeUnknown.
type AppendError struct {
	// Unknown is true when the record may still come into force.
	Unknown bool
	Err     error
}

// Error implements error.
func (e *AppendError) Error() string { return "append: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *AppendError) Unwrap() error { return e.Err }

// OutcomeUnknown reports whether the record may still come into force.
func (e *AppendError) OutcomeUnknown() bool { return e.Unknown }

// Status is what an entry host knows about the whole installation.
type Status struct {
	// Host is the name of the responding entry host.
	Host string `json:"host"`
	// Name is the name of the installation, ConfigVersion its configuration
	// version in force.
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

// HostStatus describes one entry host. Unknown fields are zero.
type HostStatus struct {
	Name          string                 `json:"name"`
	Incarnation   string                 `json:"incarnation"`
	State         contract.OperatorState `json:"state"`
	Alive         bool                   `json:"alive"`
	ConfigVersion int64                  `json:"config_version"`
	// LogOffset is the offset of the next record to apply; Lag the number of
	// records that the host is behind the responding host.
	LogOffset    int64 `json:"log_offset"`
	Lag          int64 `json:"lag"`
	LogReachable bool  `json:"log_reachable"`
	// Authority is log, consent or none for a granter, empty for other hosts.
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
	// Home is the entry host that sends requests to the target.
	Home string `json:"home"`
	// LeaseMS is the remaining time of the target's lease in milliseconds; -1
	// when it is unknown.
	LeaseMS int64 `json:"lease_ms"`
	// Shards counts the shards assigned to the target, WaitingShards those of
	// them that wait for the release by a previous owner, LeavingShards those
	// that it owned before and that are not yet released.
	Shards        int `json:"shards"`
	WaitingShards int `json:"waiting"`
	LeavingShards int `json:"leaving"`
	// InFlight and Queued count the requests for the target; -1 while its home
	// does not respond.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// ReleaseBlockers names the granters that delay the proof that the target
	// has released its shards.
	ReleaseBlockers []string `json:"missing_word,omitempty"`
}

// ChangeRecord is one change in the log.
type ChangeRecord struct {
	Offset int64 `json:"offset"`
	// Version is the resulting configuration version; 0 when the change was
	// refused.
	Version int64           `json:"version"`
	Outcome journal.Outcome `json:"outcome"`
	Change  contract.Change `json:"change"`
}

// ChangeRequest requests a change.
type ChangeRequest struct {
	contract.Change
	// DryRun validates the change and reports its effect without applying it.
	DryRun bool `json:"dry_run,omitempty"`
	// Force skips the check that the remaining targets have enough capacity.
	Force bool `json:"force,omitempty"`
}

// ChangeResponse describes the effect of a change or a dry run.
type ChangeResponse struct {
	// Version is the configuration version after the change; for a dry run, the
	// one in force.
	Version int64        `json:"version"`
	Offset  int64        `json:"offset,omitempty"`
	DryRun  bool         `json:"dry_run,omitempty"`
	Changes []Difference `json:"changes"`
}

// ConfigResponse holds the configuration in force.
type ConfigResponse struct {
	Config *contract.State `json:"config"`
}

// Assignment is the assignment of one shard.
type Assignment struct {
	Workload string `json:"workload"`
	Shard    int32  `json:"shard"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	// UnreleasedEpoch is the epoch that PreviousOwner has not released yet; 0
	// when the assignment is active.
	UnreleasedEpoch uint64 `json:"waiting,omitempty"`
	PreviousOwner   string `json:"previous,omitempty"`
	// HotKey is set for a shard of a split key.
	HotKey string `json:"hot_key,omitempty"`
}

// Code classifies a Failure.
type Code string

// Failure codes.
const (
	CodeInvalid        Code = "invalid"
	CodeConflict       Code = "conflict"
	CodeRefused        Code = "refused"
	CodeNotAccepted    Code = "not_accepted"
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeNoState        Code = "no_state"
	CodeNotSupported   Code = "not_built"
	CodeUnreachable    Code = "unreachable"
)

// Failure is the response to a request that failed or whose outcome is unknown.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field, Value and Allowed are set with CodeInvalid.
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	// FromVersion, CurrentVersion and Changes are set with CodeConflict.
	// ChangesComplete reports that Changes lists everything that changed
	// between the two versions.
	FromVersion     int64        `json:"from_version,omitempty"`
	CurrentVersion  int64        `json:"in_force,omitempty"`
	Changes         []Difference `json:"changes,omitempty"`
	ChangesComplete bool         `json:"complete,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }
