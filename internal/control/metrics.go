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
	// granterRank holds, by host, the place among the granters of its domain:
	// 0 leads, -1 is none.
	granterRank = expvar.NewMap("granter_rank")
)
