// Package fleet holds what an entry host knows of the deployment it serves:
// the desired state that operators wrote, the targets that announced
// themselves, and the failure domains that are evacuated.
//
// # Contract
//
//   - Desired states never go back: one with a lower version than the present
//     one is ignored.
//   - A Directory folds announcements. An announcement that cannot be used
//     removes nothing and adds nothing. A target whose announcement was removed
//     while the store was unreachable is kept until RemovalGrace after the store's
//     return, since live targets announce themselves again by then.
//   - Routes match the longest prefix. A split chooses its part by the request's
//     hash, so that shares follow the weights on each host by itself.
//
// The package performs no I/O. Times are durations on the boot-time clock of
// the host. Values handed out are immutable; a Directory is not safe for
// concurrent use.
package fleet
