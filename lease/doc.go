// Package lease decides which host may renew the leases of one domain's
// targets, and when a previous owner of a shard is known to have stopped.
//
// A Granter is the core for one domain on one host. It does no I/O, starts no
// goroutine and reads no clock: the caller passes events and the time on the
// boot-time clock (CLOCK_BOOTTIME, as a time.Duration) and carries out the
// returned actions. It is not safe for concurrent use.
//
// Contract with the caller:
//
//   - Step is called for each event, and with Tick at least every
//     Config.TickEvery. Its actions are carried out in order; a lost or late action
//     does not affect safety.
//   - MayRenew is called after a grant has been built, immediately before it is
//     written; when it returns false the grant is dropped and GrantFailed
//     reported.
//   - The answers of Consent, StopRenew and Permit are sent to the caller of the
//     matching peer method as they are.
//   - Times passed as Start or SentAt are never later than the actual time; ages
//     reported by a peer are stretched by the clock rate bound.
//
// Contract with the platform: at most one incarnation of a host or target runs
// at a time; once its lease has ended, a target lets no request take effect, not
// even one that it has begun, and it forgets its nonces when it restarts; requests to
// targets that do not check fences end with their home's permit.
//
// A host that is not among the domain's granters runs a Granter as an observer: it
// renews nothing, but determines when to release the shards of a domain that was
// lost, or that has been partitioned for longer than it may serve.
package lease
