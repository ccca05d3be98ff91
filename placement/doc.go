// Package placement decides which target runs a request, whether the request waits,
// and when it is refused.
//
// # Contract
//
//   - Submit returns at once with one of three decisions: send to a target, wait,
//     or refuse with the time after which the scheduler expects capacity.
//   - A request waits only while the current estimate lets it end before its
//     deadline; Dispatch refuses it as soon as it cannot.
//   - Waiting requests are served by priority and then by deadline. With
//     Config.WaitWhenLate, those that are likely to meet their objective go before the
//     others, and in an overload the newest of the most urgent go first.
//   - A request that would miss its latency objective because of the work ahead of
//     it is refused at once, with the time after which it would not. With
//     Config.WaitWhenLate it waits for a part of its time limit.
//   - A target that sheds requests has its concurrency limit reduced, down to one
//     request from this host, and receives none during a backoff that doubles with
//     each consecutive refusal. The limit rises slowly while the target sheds none.
//   - A target that asks this host for a pause receives no request until the pause
//     ends.
//   - A target that states a limit for all hosts together receives a request only with
//     a permit. After the refusal of one it receives none from this host until the next
//     permit is available; a request that no other target may serve is refused.
//   - A target that is cold receives requests at no more than its cold rate.
//   - With Config.AdaptivePace, package pace takes the place of the lower limit and the
//     backoff after refusals and of the tokens for the cold rate. Of a large pool the best
//     of the first targets with room is chosen, in an order that differs for each request.
//
// The load of a target is the number of this scheduler's requests in flight plus
// the load of other hosts by the target's last report. A report decays towards the
// mean of the reports, and the mean decays without new reports. The scheduler learns
// service times for each route, and for each target a factor relative to its routes.
//
// The package performs no I/O. Times are durations on the boot-time clock of
// the host. A Scheduler is not safe for concurrent use.
package placement
