package lease

import "time"

// Config sets the times of a Granter. All granters of a deployment must use
// the same Lease, Authority, RateBound and PermitFor.
type Config struct {
	// Lease is the length of a target's lease, counted from the time at which the
	// target issued the nonce. Default 800 ms.
	Lease time.Duration
	// Authority is how long a granter may renew after the start of its last
	// complete log read. Default 500 ms.
	Authority time.Duration
	// RateBound is the largest relative difference between the rates of any
	// two clocks, as a fraction. Default 0.001.
	RateBound float64
	// RenewEvery is the time between renewals of a target. Default 200 ms.
	RenewEvery time.Duration
	// TakeoverAfter is how long a target must have gone without renewal before a
	// granter other than the first one renews it. Default 400 ms.
	TakeoverAfter time.Duration
	// ProbeEvery is the time between grants without a nonce. With them a granter that
	// does not renew a target learns its incarnation, so that it need not wait for a
	// log read when it takes over. Default 2 s.
	ProbeEvery time.Duration
	// RetryAfter is the time between a failed renewal and the next. Default 50 ms.
	RetryAfter time.Duration
	// AnswerTimeout is the time after which an unanswered grant no longer delays the
	// next one. Default 200 ms.
	AnswerTimeout time.Duration
	// ConsentAfter is the age of the last complete log read at which a granter asks
	// for consent to renew without the log. Default 250 ms.
	ConsentAfter time.Duration
	// AskEvery is the time between repeats of a request to a peer. Default 100 ms.
	AskEvery time.Duration
	// ReleaseStagger is the delay per rank of the released records of the granters
	// after the first one, to avoid duplicates. It adds to the time of unavailability
	// when the first one is lost as well. Default 30 ms.
	ReleaseStagger time.Duration
	// ReleaseRetryAfter is the time after which a released record that is missing
	// from the state is returned again. Default 1 s.
	ReleaseRetryAfter time.Duration
	// PermitFor is the length of a permit to send to a target that does not
	// check fences. Default 700 ms.
	PermitFor time.Duration
	// UnsafeNoLeaseWait releases the shards of a lost target without waiting for the
	// end of its lease. This allows two owners of a shard; it exists to show that
	// checks detect them. Default false.
	UnsafeNoLeaseWait bool
	// TickEvery is the longest time between two Step calls with Tick; the caller keeps
	// it, so that the other times are met. Default 20 ms.
	TickEvery time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Lease: 800 * time.Millisecond, Authority: 500 * time.Millisecond, RateBound: 0.001,
		RenewEvery: 200 * time.Millisecond, TakeoverAfter: 400 * time.Millisecond,
		ProbeEvery: 2 * time.Second, RetryAfter: 50 * time.Millisecond, AnswerTimeout: 200 * time.Millisecond,
		ConsentAfter: 250 * time.Millisecond, AskEvery: 100 * time.Millisecond,
		ReleaseStagger: 30 * time.Millisecond, ReleaseRetryAfter: time.Second,
		PermitFor: 700 * time.Millisecond, TickEvery: 20 * time.Millisecond,
	}
}

// stretch returns the longest duration on this clock that a duration on another
// clock can correspond to.
func (c Config) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.RateBound) + 1
}
