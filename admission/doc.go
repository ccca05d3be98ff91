// Package admission decides at a target's home which requests are sent to the
// target at once, which are queued, and which are shed.
//
// # Contract
//
// One Limiter exists for each target, on the entry host that is the target's
// home. It holds the exact number of requests in flight and the only queue.
//
//   - The concurrency limit is the minimum of the target's slots, an adaptive
//     limit that reacts to latency and to refusals by the target, and the cold
//     ramp. It is at least one and at most the slots.
//   - Requests beyond the limit wait in a bounded queue. Start-time fair
//     queueing shares capacity between customers by the weights of their
//     contracts; within a customer the earliest deadline is first.
//   - A request that cannot meet its deadline, by the estimates of wait and
//     service time, is shed as soon as that is known, with a retry hint. A shed
//     request was not sent to the target: its outcome is not_run.
//   - A new home counts the requests that the target still runs for the former
//     home against the limit. It starts at the cold limit unless the target is
//     known to be warm.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host; the caller passes the current time to every call, and the time
// must not decrease. A Limiter is not safe for concurrent use: the caller
// serializes all calls. Returned slices are valid until the next call.
package admission
