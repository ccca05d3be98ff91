// Package slots lets all hosts share the slots of a target without overfilling it.
//
// # Contract
//
// Targets form pools: each target of a keyed workload is a pool, and the targets of an
// unkeyed workload together are one. One live host, selected by rendezvous hashing,
// coordinates a pool. Its Coordinator counts the requests of all hosts at the pool's
// targets and queues those that find no free slot, by the rules of package placement.
//
//   - A host asks for a slot with Ask and sends the request to the granted target itself.
//     No request crosses the coordinator, so at-most-once delivery does not depend on it.
//   - A granted slot is a lease. It ends with the host's report of the outcome, or by
//     itself after the deadline of the request.
//   - An Ask whose request cannot end in time is refused at once.
//   - The counts are soft state. A new coordinator starts without leases and learns the
//     load of requests that it did not grant from the reports of the targets.
//   - A host that cannot reach the coordinator decides by itself.
//
// Load pattern: many hosts with few requests each send to the same targets. A host hears
// of a target too rarely to know the requests of the others, so that work waits in the
// queues of the targets, where priorities and deadlines have no effect.
//
// The package performs no I/O. Times are durations on the boot-time clock of the host. A
// Coordinator is not safe for concurrent use.
package slots
