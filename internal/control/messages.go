package control

import (
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// Methods between entry hosts.
const (
	methodRecords     = "peer.records"
	methodSnapshot    = "peer.snapshot"
	methodHello       = "peer.hello"
	methodHome        = "home.view"
	methodConsent     = "lease.consent"
	methodLogRegained = "lease.back"
	methodStop        = "lease.stop_renew"
	methodLoadReport  = "hot.report"
	methodHostReport  = "status.report"
)

// RecordsRequest asks for records from an offset on.
type RecordsRequest struct {
	From  int64 `json:"from"`
	Limit int   `json:"limit"`
	// WaitMS is how long to wait for the first record, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// RecordsReply is the response to a RecordsRequest.
type RecordsReply struct {
	Records []provider.Record `json:"records,omitempty"`
	First   int64             `json:"first"`
	// End is the offset after the last record that the peer has applied.
	End int64 `json:"end"`
	// AgeMS is how long ago the peer's last read that reached the end of the log
	// started, in milliseconds, rounded up; -1 when there was none.
	AgeMS int64 `json:"age_ms"`
	// Expired is true when the peer no longer holds the records.
	Expired bool `json:"expired,omitempty"`
}

// SnapshotReply holds a peer's whole state.
type SnapshotReply struct {
	Parts []journal.Snapshot `json:"parts"`
}

// HelloReply holds the peer's identity, its position on the log and what it
// reports as a granter.
type HelloReply struct {
	Incarnation string `json:"incarnation"`
	// Next is the offset of the next record the peer will apply.
	Next int64 `json:"next"`
	// ConfigVersion is the configuration version in force at the peer; 0 when it
	// has none.
	ConfigVersion int64 `json:"config_version"`
	// LogReachable is true when the peer's last direct read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// RenewalAgeMS is the highest age, in milliseconds, of the peer's last
	// renewals of the domain's targets, except for NotRenewedTargets; 0 when it
	// renews none.
	RenewalAgeMS      int64    `json:"renewed_ms,omitempty"`
	NotRenewedTargets []string `json:"not_renewed,omitempty"`
	// PermitsMS holds, by target, the remaining time in milliseconds of permits
	// that the peer has renewed although it does not lead.
	PermitsMS map[string]int64 `json:"permits_ms,omitempty"`
	// FailingTargets lists the targets that the peer cannot reach.
	FailingTargets []string `json:"failing,omitempty"`
	// Stopping is true when the peer is about to exit.
	Stopping bool `json:"stopping,omitempty"`
}

// HomeRequest asks the leader of a domain for homes and, for a host of that
// domain, renews the permits of the targets that it is the home of.
type HomeRequest struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Domain is the requested domain; "" requests all that the leader knows.
	Domain string `json:"domain"`
	// HeldEpochs maps the targets that the host is the home of to the home's
	// epoch.
	HeldEpochs map[string]uint64 `json:"holds,omitempty"`
	// TargetVersions maps the domain's targets that do not check fences to their
	// version in the host's state, and DrainedVersions to the version up to which
	// it has ended the requests for shards that moved away from the target. Both
	// include the targets that the host is not the home of yet.
	TargetVersions  map[string]uint64 `json:"versions,omitempty"`
	DrainedVersions map[string]uint64 `json:"drained,omitempty"`
	// ViewToken is the ViewToken of the last reply. The response holds only what
	// has changed since.
	ViewToken string `json:"known,omitempty"`
	// Stopping is true when the host gives up all its homes.
	Stopping bool `json:"stopping,omitempty"`
	// GivenUpTargets lists targets that the host is no longer the home of.
	GivenUpTargets []string `json:"given_up,omitempty"`
	// SuspectHosts lists hosts that refused a connection.
	SuspectHosts []string `json:"suspects,omitempty"`
}

// HomeReply is the response to a HomeRequest.
type HomeReply struct {
	IsLeader bool `json:"leader"`
	// PermitMS maps the caller's targets to the length of the permit in
	// milliseconds, counted from when the caller sent the request.
	PermitMS map[string]int64 `json:"permit_ms,omitempty"`
	// TargetsToGiveUp lists targets that the caller is asked to give up.
	TargetsToGiveUp []string `json:"yield,omitempty"`
	// ViewToken identifies the version of this granter's views that the caller
	// now has.
	ViewToken string `json:"known"`
	// Domains holds the domains that changed after the request's ViewToken.
	Domains map[string]DomainView `json:"domains,omitempty"`
}

// DomainView is what the leader of a domain publishes.
type DomainView struct {
	Homes   map[string]view.Home   `json:"homes"`
	Targets map[string]view.Target `json:"targets"`
	// AliveHosts lists the domain's entry hosts that have called recently.
	AliveHosts []string `json:"alive"`
}
