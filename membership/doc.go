// Package membership judges which targets and entry hosts may receive work,
// from several observations that each may lag or mislead.
//
// Contract: a Tracker does no I/O, starts no goroutine and reads no clock. The
// caller passes observations and the boot-time clock to Step and acts on the
// returned changes. A Tracker is not safe for concurrent use.
//
//   - A node is lost after two failures in a row on connections opened for the
//     attempt, at least Config.Settle after the first failure and
//     Config.LostAfter after the last answer. Failures on connections that
//     were open before only ask for a new connection: they may be dead while the
//     node is well.
//   - When more than half of the watched targets, or all peers, fail before
//     any of them is declared lost, the fault is taken to be on this host's side, and
//     nothing is declared lost until another granter confirms it or an endpoint
//     known to be good answers.
//   - A node that says, or of which the platform's list says, that it leaves is
//     believed at once. The list alone never makes a node lost.
//   - A node that returns or restarts may receive shards only after a delay that
//     doubles with each return.
package membership
