// Package tokenbucket provides the token bucket of the packages that bound rates. It
// performs no I/O; times are durations on the boot-time clock.
package tokenbucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero value is empty as of time 0. It is not safe for
// concurrent use.
type Bucket struct {
	// Tokens is the content as of RefilledAt.
	Tokens     float64
	RefilledAt time.Duration
}

// Refill adds the tokens since the last call, up to size.
func (b *Bucket) Refill(now time.Duration, perSecond, size float64) {
	if now > b.RefilledAt {
		b.Credit(now, perSecond*(now-b.RefilledAt).Seconds(), size)
	}
}

// Credit adds tokens as of a time, up to size.
func (b *Bucket) Credit(now time.Duration, tokens, size float64) {
	b.Tokens = min(size, b.Tokens+tokens)
	b.RefilledAt = now
}

// Whole is one token, less the rounding error of adding fractions.
const Whole = 1 - 1e-9

// maxWait is returned for a rate of zero or less.
const maxWait = time.Duration(math.MaxInt64)

// longestWait bounds the other results of Wait, in seconds.
const longestWait = 1e6

// Wait returns how long it takes to gain tokens at a rate.
func Wait(tokens, perSecond float64) time.Duration {
	if !(perSecond > 0) {
		return maxWait
	}
	return time.Duration(min(max(0, tokens)/perSecond, longestWait) * float64(time.Second))
}
