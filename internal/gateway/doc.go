// Package gateway is the request path of an entry host: it accepts callers'
// connections, places each request with package placement, sends it to one
// target at a time, and returns the target's answer.
//
// # Contract
//
//   - A request that is not idempotent is sent to a second target only when the
//     first one said that it did not run it, or could not be connected to.
//   - Refusals (503) are given only to requests that have not run and will not.
//   - An answer is returned only when it belongs to the request and is complete.
//   - Requests on one connection run at the same time and are answered in order.
//   - When a caller closes its connection, its idempotent requests are cancelled
//     at their targets.
package gateway
