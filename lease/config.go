package lease

import "time"

// Config sets the times of a Granter. All granters of a deployment must use
// the same Lease, Authority, RateBound and PermitFor.
type Config struct {
	// Lease is the length of a target's lease from the moment it issued the
	// nonce. Default 800 ms.
	Lease time.Duration
	// Authority is how long a granter may renew after the start of its last
	// complete log read. Default 500 ms.
	Authority time.Duration
	// RateBound is the largest relative difference between the rates of any
	// two clocks, as a fraction. Default 0.001.
	RateBound float64
	// RenewEvery is the time between renewals of a target. Default 200 ms.
	RenewEvery time.Duration
	// FollowAfter is how long a target must have gone without renewal before a
	// granter other than the first one renews it. Default 400 ms.
	FollowAfter time.Duration
	// ProbeEvery is the time between the grants without a nonce by which a
	// granter that does not renew a target learns its incarnation, so that it
	// need not wait for a log read when it takes over. Default 2 s.
	ProbeEvery time.Duration
	// RetryAfter is the time between a failed renewal and the next. Default 50 ms.
	RetryAfter time.Duration
	// AnswerWithin is when an unanswered grant no longer holds back the next
	// one. Default 200 ms.
	AnswerWithin time.Duration
	// ConsentAfter is the age of the last complete log read at which consent
	// for serving without the log is asked for. Default 250 ms.
	ConsentAfter time.Duration
	// AskEvery is the time between repeats of a request to a peer. Default 100 ms.
	AskEvery time.Duration
	// ReleaseStep delays the released records of the granters after the first
	// one, per rank, to avoid duplicates. It adds to the unavailable time when
	// the first one is lost as well. Default 30 ms.
	ReleaseStep time.Duration
	// ReleaseRetry is when a released record that has not shown up in the
	// state is offered again. Default 1 s.
	ReleaseRetry time.Duration
	// PermitFor is the length of a permit to send to a target that does not
	// check fences. Default 700 ms.
	PermitFor time.Duration
	// UnsafeNoLeaseWait releases the shards of a lost target without waiting
	// for its lease. It makes two owners, and exists to show that checks find
	// them. Default false.
	UnsafeNoLeaseWait bool
	// TickEvery is the longest time between two Step calls that keeps the
	// schedule. Default 20 ms.
	TickEvery time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Lease: 800 * time.Millisecond, Authority: 500 * time.Millisecond, RateBound: 0.001,
		RenewEvery: 200 * time.Millisecond, FollowAfter: 400 * time.Millisecond,
		ProbeEvery: 2 * time.Second, RetryAfter: 50 * time.Millisecond, AnswerWithin: 200 * time.Millisecond,
		ConsentAfter: 250 * time.Millisecond, AskEvery: 100 * time.Millisecond,
		ReleaseStep: 30 * time.Millisecond, ReleaseRetry: time.Second,
		PermitFor: 700 * time.Millisecond, TickEvery: 20 * time.Millisecond,
	}
}

// stretch returns a duration on another clock as the longest one on this clock.
func (c Config) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.RateBound) + 1
}
