// Package health detects targets that are slow compared with their peers, and keeps
// statistics of each target's recent requests.
//
// # Contract
//
//   - Judge compares the service times of one workload's targets. A target is slow
//     if its time is above Config.SlowFactor times the median for
//     Config.ConfirmPeriod. Its weight is the ratio of the median to its own time,
//     at least Config.MinWeight.
//   - At most half of a workload's targets are slow at once: if most are, the whole
//     workload is slow, and moving its load would overload the rest.
//   - TargetStats keeps the share of a target's requests that failed and its service
//     time relative to that of its peers. Both decay while the target serves no
//     requests, so that a recovered target is retried.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host, passed in by the caller. Its types are not safe for concurrent use.
package health
