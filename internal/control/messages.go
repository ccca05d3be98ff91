package control

import (
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/platform"
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
	Records []platform.Record `json:"records,omitempty"`
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
	// Failing lists the targets that the peer cannot reach.
	Failing []string `json:"failing,omitempty"`
	// Stopping says that the peer is about to exit.
	Stopping bool `json:"stopping,omitempty"`
}
