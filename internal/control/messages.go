package control

import (
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// Methods between entry hosts.
const (
	methodRecords  = "peer.records"
	methodSnapshot = "peer.snapshot"
	methodHello    = "peer.hello"
	methodHome     = "home.view"
	methodConsent  = "lease.consent"
	methodBack     = "lease.back"
	methodStop     = "lease.stop_renew"
	methodHot      = "hot.report"
	methodReport   = "status.report"
)

// RecordsRequest asks for records from an offset on.
type RecordsRequest struct {
	From  int64 `json:"from"`
	Limit int   `json:"limit"`
	// WaitMS is how long to wait for the first record, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// RecordsReply answers RecordsRequest.
type RecordsReply struct {
	Records []provider.Record `json:"records,omitempty"`
	First   int64             `json:"first"`
	// End is the offset after the last record the peer has applied.
	End int64 `json:"end"`
	// AgeMS is how long ago the peer started its last read that reached the
	// end of the log, in milliseconds, rounded up; -1 when never.
	AgeMS int64 `json:"age_ms"`
	// Expired says that the peer no longer holds the records.
	Expired bool `json:"expired,omitempty"`
}

// SnapshotReply carries a peer's whole state.
type SnapshotReply struct {
	Parts []journal.Snapshot `json:"parts"`
}

// HelloReply says who the peer is.
type HelloReply struct {
	Incarnation string `json:"incarnation"`
	// Next is the offset of the next record the peer will apply.
	Next int64 `json:"next"`
	// ConfigVersion is the version in force at the peer; 0 when it has none.
	ConfigVersion int64 `json:"config_version"`
	// LogReachable says whether the peer's last direct read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// RenewedMS is the highest age in milliseconds of the peer's last renewals
	// of the domain's targets, except those in NotRenewed; 0 when it renews none.
	RenewedMS  int64    `json:"renewed_ms,omitempty"`
	NotRenewed []string `json:"not_renewed,omitempty"`
	// PermitsMS holds, by target, the remaining time in milliseconds of permits
	// that the peer has renewed although it does not lead.
	PermitsMS map[string]int64 `json:"permits_ms,omitempty"`
	// Failing lists the targets that the peer cannot reach.
	Failing []string `json:"failing,omitempty"`
	// Stopping says that the peer is about to exit.
	Stopping bool `json:"stopping,omitempty"`
}

// HomeRequest asks the leader of a domain for homes and, for a host of that
// domain, renews the permits of the targets that it is the home of.
type HomeRequest struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Domain is the one asked about; "" asks for all that the leader knows.
	Domain string `json:"domain"`
	// Holds maps the targets that the host is the home of to the home's epoch.
	Holds map[string]uint64 `json:"holds,omitempty"`
	// Versions maps the domain's targets that do not check fences to their
	// version in the host's state, and Drained to the version for which it has
	// ended the requests for shards that the target lost. They are needed for
	// targets that the host is not yet the home of, too.
	Versions map[string]uint64 `json:"versions,omitempty"`
	Drained  map[string]uint64 `json:"drained,omitempty"`
	// Known repeats the Known of the last reply, so that the answer holds only
	// what has changed since.
	Known string `json:"known,omitempty"`
	// Stopping says that the host gives up its homes.
	Stopping bool `json:"stopping,omitempty"`
	// GivenUp lists targets that the host is no longer the home of.
	GivenUp []string `json:"given_up,omitempty"`
	// Suspects lists hosts that refused a connection.
	Suspects []string `json:"suspects,omitempty"`
}

// HomeReply answers HomeRequest.
type HomeReply struct {
	Leader bool `json:"leader"`
	// PermitMS maps the caller's targets to the length of the permit in
	// milliseconds, counted from the moment at which the request was sent.
	PermitMS map[string]int64 `json:"permit_ms,omitempty"`
	// Yield lists targets that the caller is asked to give up.
	Yield []string `json:"yield,omitempty"`
	// Known stands for all that the caller now has from this granter.
	Known string `json:"known"`
	// Domains holds the domains that have changed since the caller's Known.
	Domains map[string]DomainView `json:"domains,omitempty"`
}

// DomainView is what the leader of a domain publishes.
type DomainView struct {
	Homes   map[string]view.Home   `json:"homes"`
	Targets map[string]view.Target `json:"targets"`
	// Alive lists the domain's entry hosts that have called lately.
	Alive []string `json:"alive"`
}
