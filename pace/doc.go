// Package pace derives from a target's responses how many requests it is ready for at
// once and at which rate.
//
// # Contract
//
//   - A Pacer starts with one request at a time. The limit rises by one with each response
//     that comes at the usual speed and doubles each RampInterval, so that it reaches the
//     full number within two seconds. The rise with time serves hosts that hear from a
//     target only every few seconds.
//   - A shed response, a reset, a failure or a slow response lowers the limit, at most once
//     for the requests that were in flight together. Without a response at the usual speed
//     it does not rise again. Consecutive bad responses double the interval between probes
//     of one request.
//   - While requests are in flight and no response has come for SlowFactor times the
//     expected time, no further one is sent.
//   - A cold target receives at most its cold rate times Params.Share. Unused tokens of a
//     share expire, so that the shares of many hosts do not add up to a burst.
//
// The limit is that of all hosts together: the caller compares it with the load of the
// target from all hosts, so far as it knows it. Rates are multiplied by the caller's share.
//
// Load pattern: targets start, recover or return together while requests keep coming, or
// all hosts start and know nothing of any target. A target of which nothing is known is
// otherwise flooded, since it looks idle, or left idle, since it once shed requests.
//
// The package performs no I/O. Times are durations on the boot-time clock of the host. A
// Pacer is not safe for concurrent use.
package pace
