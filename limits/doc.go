// Package limits enforces the contracts of customers over all entry hosts
// together: credential, permitted workloads, body size, rate and concurrency.
//
// # Contract
//
// Half of a customer's rate is divided evenly among the entry hosts known from
// configuration. The other half is lent by the customer's lender, one entry
// host selected by rendezvous hashing, according to the demand that hosts
// report, with leases of Config.Lease (2 s). Concurrency is divided the same
// way, in whole requests.
//
//   - An Enforcer runs on each entry host. It admits requests from the host's even
//     part and what it has borrowed, and says what to borrow from whom.
//   - A Lender runs on each entry host, for the customers that hash to it. It
//     lends a share again only after the lease of the former borrower has
//     lapsed by the lender's clock, or the borrower has given it back.
//   - A borrower counts a lease from the moment it sent the request; the lender
//     from the moment it answered, longer by Config.ClockRateBound. A lease
//     therefore ends at the borrower first.
//   - A host that is cut off keeps its even part only. One that sees at most
//     half of the configured hosts neither lends nor borrows, so that two parts
//     of a divided system do not lend the same half twice.
//
// Worst overshoot, with N hosts in the configuration, of a customer with rate R,
// burst B and concurrency C: in any period T all hosts together admit at most
// R·T·(1+ClockRateBound) + 2B + N requests. 2B is there because the burst is
// given out twice, N because each host may save up one request, however small
// its share is. Each time that the lender
// changes or restarts, R/2·(Lease+D) + B may be admitted beyond that, where D
// is the time until all hosts agree on the lender; each host that restarts adds
// its part of the burst. At most C requests are in flight, plus one on each
// host that has had no answer of a lender for a Lease and has no even part,
// plus the lent part for Lease+D after the lender changed; a request that was
// admitted stays in flight until it ends, also when its share has lapsed.
//
// The package performs no I/O. All times are durations on the boot-time clock
// of the host, passed in by the caller. Enforcer and Lender are not safe for
// concurrent use. Credentials is immutable and safe.
package limits
