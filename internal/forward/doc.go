// Package forward is the request path of an entry host.
//
// A Server has three roles. As front it authenticates the caller, finds the
// owner of the key and forwards the request to the owner's home. As home it
// admits requests to its targets, with one queue for each target, and sends
// them. As issuer it issues request identifiers and admits each of them once.
//
// # Contract
//
//   - A response is passed on as complete only when all of it arrived. A response
//     that is truncated before its header was passed on becomes a typed error;
//     after that the connection to the caller is aborted.
//   - An error has the outcome not_run only when no byte of the request can have
//     reached a target or the target itself reported it.
//   - A non-idempotent request is sent again only after not_run. net/http's own
//     replays are prevented.
//   - The permit of the home and the epoch of the shard are checked in the
//     write call on the connection.
//   - Waiting is bounded: for a route by Config.MaxRouteWaiters and
//     Config.RouteTimeout, in the queue of a target by Config.MaxQueue, for a
//     dial by Config.MaxDials. A request beyond a bound is refused with not_run
//     and counted.
package forward
