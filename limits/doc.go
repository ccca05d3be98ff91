// Package limits enforces the contracts of customers over all entry hosts
// together: credential, permitted workloads, body size, rate and concurrency.
//
// # Contract
//
// Half of a customer's rate is divided evenly among the configured entry hosts.
// The customer's lender, an entry host selected by rendezvous hashing, lends the
// other half, the lending pool, according to the demand that hosts report, with
// leases of Config.LeaseDuration (2 s). Concurrency is divided the same way, in
// whole requests.
//
//   - An Enforcer runs on each entry host. It admits requests within the host's
//     even share and its loans, and returns the borrow requests to send.
//   - A Lender runs on each entry host, for the customers that hash to it. It
//     lends a share again only after the previous borrower's lease has expired by
//     the lender's clock, or the borrower has returned the loan.
//   - A borrower counts a lease from the time at which it sent the request. The
//     lender counts it from the time of its response, and extends it by
//     Config.ClockRateBound. A lease therefore expires at the borrower first.
//   - An isolated host has only its even share. A host that sees at most half of
//     the configured hosts neither lends nor borrows, so that the two sides of a
//     network partition do not lend the same half twice.
//
// Worst overshoot, with N configured hosts, of a customer with rate R, burst B and
// concurrency C: in any period T all hosts together admit at most
// R·T·(1+ClockRateBound) + 2B + N requests. The burst counts twice because of
// burstFactor. N is there because each host may accumulate one request, however
// small its share is. Each time that the lender changes or restarts,
// R/2·(LeaseDuration+D) + B more may be admitted, where D is the time until all
// hosts agree on the lender. Each host that restarts adds its part of the burst.
// At most C requests are in flight, plus one on each host without an even share
// that has had no response from a lender for LeaseDuration, plus the lending pool
// for LeaseDuration+D after the lender changed. An admitted request stays in flight
// until it ends, even if its share has expired.
//
// # Limits that targets state
//
// A target may state the requests per second that it accepts from all hosts together.
// TargetLimits orders the statements that hosts receive. A PermitCounter on one host
// grants a permit for each request; with most hosts sending a target less than one
// request a second, shares by demand exceed such a limit (TestWaysToKeepALimitOfATarget).
// A host that reaches no counter uses its turn by EvenShares, and the counter leaves the
// part of hosts that it lost within the last minute (HostCount).
//
// Worst overshoot: all hosts together send at most L·T + max(2, L/2) requests to a
// target with limit L in a period T. While hosts reach no counter, their part is at
// most L·(T + 1 s) + 3. A host that stays cut off for longer than HostCount remembers
// it adds its even share to the limit.
//
// # Allotments of customers
//
// On the users' platform a customer has one rate and burst over all hosts together.
// Allotments on the leader has a token bucket for each customer, and an AllotmentShare on
// each host asks for a token for each request. A host without a leader uses its turns of an
// even share, and the leader grants only the shares of the hosts that are present. In 5 s all
// hosts together admit at most (5·rate + burst)·1.1 + 20 requests of a customer
// (TestAllotmentsOfRandomHistories); docs/design/allotments.md has the rules.
//
// The package performs no I/O. All times are durations on the host's boot-time
// clock, which the caller passes in. Enforcer and Lender are not safe for
// concurrent use. Credentials is immutable and safe for concurrent use.
package limits
