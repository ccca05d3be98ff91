// Package health compares the targets of one workload with each other: it
// lowers the weight of slow ones and selects a target for unkeyed requests.
//
// # Contract
//
//   - A target is slow when its service time is above Config.SlowFactor times the
//     median of the workload's targets for Config.Confirm. Its weight becomes the
//     ratio of the median to its service time, at least Config.MinWeight.
//   - At most half of a workload's targets have a lower weight at once, the
//     slowest ones: when most are slow, the workload is, and moving its load
//     would overload the rest.
//   - A slow target gets a probe every Config.ProbeInterval. Its weight returns
//     in steps, after Config.Probes answers in a row that are near the median.
//   - Choose takes the better of two random targets by expected wait, from
//     reports of queue length and service time that age out, and requests sent
//     since. Targets of the own domain come first; others are used when those
//     have none that is fit, or the expected wait there is long.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host, passed in by the caller. A Pool is not safe for concurrent use.
package health
