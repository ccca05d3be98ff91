package control

import "expvar"

// Metrics of the control plane.
var (
	recordsTotal   = expvar.NewMap("log_records_count")
	readFailures   = expvar.NewInt("log_read_failures_count")
	appendsTotal   = expvar.NewMap("log_appends_count")
	logReadsTotal  = expvar.NewInt("log_reads_count")
	logReadBytes   = expvar.NewInt("log_read_bytes")
	grantsTotal    = expvar.NewMap("grants_count")
	eventsDropped  = expvar.NewMap("events_dropped_count")
	snapshotsTotal = expvar.NewMap("snapshots_count")
	// granterRank holds, by host, its index in its domain's list of granters: 0
	// is the leader, -1 a host that is not a granter.
	granterRank = expvar.NewMap("granter_rank")
)
