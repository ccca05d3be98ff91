// Package fleet holds an entry host's view of the deployment it serves: the
// operators' desired state, the announced targets, and the evacuated failure
// domains.
//
// # Contract
//
//   - Versions of the desired state only increase: a Directory ignores a state
//     whose version is not above the current one.
//   - A Directory builds snapshots from announcements. A malformed announcement
//     neither adds nor removes a target. A target whose announcement was removed
//     while the store was unreachable is kept until RemovalGrace after the store
//     is reachable again, since live targets announce themselves again by then.
//   - Routes match the longest prefix. A split chooses the workload by a number
//     that the caller passes for each request, so that the shares follow the
//     weights on each host independently.
//
// The package performs no I/O. Times are durations on the boot-time clock of
// the host. Returned values are immutable; a Directory is not safe for concurrent
// use.
package fleet
