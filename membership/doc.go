// Package membership determines which targets and entry hosts may receive work.
// It combines several observations, each of which may be late or misleading.
//
// Contract: a Tracker does no I/O, starts no goroutine and reads no clock. The
// caller passes observations and the boot-time clock to Step and acts on the
// returned changes. A Tracker is not safe for concurrent use.
//
//   - A node is lost after two consecutive failures on connections opened for the
//     attempt, at least Config.MinFailureTime after the first failure and
//     Config.LostAfter after the last response. A failure on a connection that was
//     already open only requests a new connection, since such a connection may be
//     dead while the node is healthy.
//   - When more than half of the watched targets, or all peers, fail before any of
//     them is declared lost, the fault is assumed to be on this host's side. Nothing
//     is declared lost until another granter confirms it or an endpoint outside the
//     watched nodes responds.
//   - A node that announces that it is leaving, or that the platform's list marks as
//     leaving, is treated as leaving at once. The list alone never makes a node lost.
//   - A node that returns or restarts may receive shards only after a delay that
//     doubles with each of them.
package membership
