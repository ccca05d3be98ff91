// Package gateway is the request path of an entry host: it accepts callers'
// connections, places each request with package placement, sends it to one
// target at a time, and returns the target's response.
//
// # Contract
//
//   - A request that is not idempotent is sent to a second target only when the
//     first one reported that it did not run it, or could not be connected to.
//   - The gateway refuses (503) only requests that have not run and will not run.
//   - A response is returned only if it belongs to the request and is complete.
//   - Requests on one connection run concurrently and are answered in order.
//   - When a caller closes its connection, its idempotent requests are cancelled
//     at their targets.
package gateway
