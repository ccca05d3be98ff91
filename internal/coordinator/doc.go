// Package coordinator keeps an entry host's view of the deployment up to date
// and, on the one host that leads, grants keys to targets.
//
// # Duties
//
//   - A follower for each topic of the store reads what operators and targets
//     wrote. While the leader relays a topic, the host makes no calls for it.
//   - The peer duty keeps a connection to the leader: records and granted
//     ranges come from it, key counts go to it.
//   - The election duty takes the lead by a conditional append when the leader
//     is gone, and confirms it regularly.
//   - The leader's loop runs a lease.RangeGranter for each keyed workload and
//     plans moves with ownership.PlanRanges.
//
// Decisions are in packages fleet, lease and ownership; this package has the
// sockets, timers and goroutines.
package coordinator
