// Package health judges targets: which are slow in comparison with their peers,
// and what the last requests say of one.
//
// # Contract
//
//   - Judge compares the service times of one workload's targets. A target is slow
//     when its time is above Config.SlowFactor times the median for Config.ConfirmPeriod.
//     Its weight is the ratio of the median to its own time, at least
//     Config.MinWeight.
//   - At most half of a workload's targets are slow at once: when most are, the
//     workload is, and moving its load would overload the rest.
//   - TargetStats keeps the share of a target's requests that failed and its service
//     time in relation to that of its peers. Both fade while nothing is heard of
//     the target, so that one which has recovered is tried again.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host, passed in by the caller. Its types are not safe for concurrent use.
package health
