// Package placement decides where a request runs, whether it waits, and when it
// is refused.
//
// # Contract
//
//   - Submit answers at once with one of three decisions: send to a target, wait,
//     or refuse with the time after which there will be room.
//   - A request waits only while it can still end before its deadline by the
//     present estimate; Dispatch refuses it as soon as it cannot.
//   - Waiting requests are served by priority and then by deadline.
//   - A request that the work ahead would make late is refused at once, with the
//     time after which it would not.
//   - A target that refuses requests gets fewer at a time, down to one from this
//     host, after pauses that grow with each refusal in a row, and slowly more while
//     it does not refuse.
//   - A target that asks this host for a pause gets nothing until its end.
//   - A target that is cold gets at most its cold rate.
//
// The load of a target is what this board sent and what the target last
// reported; reports age towards their mean, which is forgotten in turn. Service times are learned for each route, and for
// each target as a factor of its route's.
//
// The package performs no I/O. Times are durations on the boot-time clock of
// the host. A Scheduler is not safe for concurrent use.
package placement
