package coordinator

import "time"

// maxClockDrift bounds the drift between the boot-time clocks of two hosts, in seconds
// per second.
const maxClockDrift = 0.001

// remoteClock converts times of another host's boot-time clock to this host's clock. The
// results are lower bounds: delayed messages make a time look older, never younger.
// The zero value has no observation.
type remoteClock struct {
	// offset is a lower bound of this host's time minus the other one's, as of offsetAt.
	offset, offsetAt time.Duration
	known            bool
}

// observe applies the other host's clock from the reply to a request that was sent at
// sent on this host's clock.
func (r *remoteClock) observe(sent, remote time.Duration) {
	if x := sent - remote; !r.known || x > r.offset-r.drift(sent) {
		r.offset, r.offsetAt, r.known = x, sent, true
	}
}

// earliestLocal returns the earliest time on this host's clock at which the other clock
// can have shown a time, or false before the first observation.
func (r *remoteClock) earliestLocal(now, remote time.Duration) (time.Duration, bool) {
	return remote + r.offset - r.drift(now), r.known
}

// latestRemote returns the latest time that the other clock can have shown at a time on
// this host's clock, or false before the first observation.
func (r *remoteClock) latestRemote(local time.Duration) (time.Duration, bool) {
	return local - r.offset + r.drift(local), r.known
}

// drift returns how far the clocks may have drifted since the offset was observed.
func (r *remoteClock) drift(now time.Duration) time.Duration {
	return time.Duration(maxClockDrift * float64(max(0, now-r.offsetAt)))
}
