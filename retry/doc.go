// Package retry holds the outcomes of requests, the error that callers see,
// the rules for sending a request again, and the at-most-once ledger.
//
// # Contract
//
//   - The Outcome is not_run only when no target has run the request and none
//     will.
//   - A request that is not idempotent is sent again only when Attempt shows
//     that no byte of it can have reached a target, or that the target itself
//     reported not_run.
//   - Retries and hedges take from budgets, so that they never multiply the
//     load of an overloaded target, and they end before the deadline.
//   - A request identifier is admitted only by the host and incarnation that
//     issued it. The Ledger admits one request with an identifier at a time, and
//     none after one has run or may have run.
//   - An Error holds no data of another customer.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host, passed in by the caller. Ledger, Budget and Hedger are not safe
// for concurrent use; Issuer, ID, Error, Attempt and Backoff are values or
// read-only and safe.
package retry
