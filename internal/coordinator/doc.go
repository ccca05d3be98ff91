// Package coordinator keeps an entry host's view of the deployment up to date
// and, on the leader, grants keys to targets.
//
// # Tasks
//
//   - A follower for each topic of the store reads the records of operators and
//     targets. While the leader relays a topic, the host does not read it from
//     the store.
//   - The peer client keeps a connection to the leader. It receives records and
//     granted ranges, and sends key counts.
//   - The election task begins a term with a conditional append when there is no
//     leader, and leads until the term ends. The leader confirms its term
//     periodically.
//   - The leader's loop runs a lease.RangeGranter for each keyed workload and
//     plans moves with ownership.PlanRanges.
//
// Packages fleet, lease and ownership make the decisions; this package owns the
// sockets, timers and goroutines.
package coordinator
