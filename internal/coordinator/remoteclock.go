package coordinator

import "time"

// clockDrift bounds how fast the boot-time clocks of two hosts drift apart, in seconds
// a second.
const clockDrift = 0.001

// remoteClock places times on the boot-time clock of another host on this host's. What
// it tells is a lower bound: waiting messages make a time look older, never younger.
// The zero value knows nothing.
type remoteClock struct {
	// offset is this host's time minus the other one's at the least, as of at.
	offset, at time.Duration
	known      bool
}

// learn takes what the other host's clock showed in the reply to a question that left
// at sent on this host's clock.
func (r *remoteClock) learn(sent, remote time.Duration) {
	if x := sent - remote; !r.known || x > r.offset-r.drift(sent) {
		r.offset, r.at, r.known = x, sent, true
	}
}

// earliest returns the earliest time on this host's clock at which the other one can
// have shown a time. It is false as long as nothing was learned.
func (r *remoteClock) earliest(now, remote time.Duration) (time.Duration, bool) {
	return remote + r.offset - r.drift(now), r.known
}

// drift returns how far the clocks may have drifted since the offset was learned.
func (r *remoteClock) drift(now time.Duration) time.Duration {
	return time.Duration(clockDrift * float64(max(0, now-r.at)))
}
