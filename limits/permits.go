package limits

import (
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// Permit is the answer to a request for permission to send one request to a target
// that states a limit.
type Permit struct {
	Granted bool
	// NextAfter is the time until the next permit is available, ComeBackAfter the time
	// until one is that no earlier refused caller was told of. Both are set on refusal.
	NextAfter, ComeBackAfter time.Duration
}

// The permits that a PermitCounter accumulates while no host asks: those of
// permitBurst, but at least minPermitBurst. With less, a target gets noticeably less
// than its limit when requests arrive at random.
const (
	permitBurst    = 500 * time.Millisecond
	minPermitBurst = 2
)

// maxComeBackAfter bounds how far ahead refused callers are spread.
const maxComeBackAfter = 5 * time.Second

// PermitCounter counts the requests of all hosts to targets that state a limit. One
// host, the leader, has it. In any period T it grants a target at most
// limit·T + max(minPermitBurst, limit·permitBurst) permits. It is not safe for
// concurrent use.
type PermitCounter struct {
	targets map[fleet.Incarnation]*permitBucket
}

type permitBucket struct {
	tokenbucket.Bucket
	// promisedUntil is the time from which no refused caller was told to come back.
	promisedUntil time.Duration
}

// NewPermitCounter returns a counter without any permits.
func NewPermitCounter() *PermitCounter {
	return &PermitCounter{targets: map[fleet.Incarnation]*permitBucket{}}
}

// Take grants up to n permits for a target with a limit in requests per second. The
// result describes the first request that got none.
func (c *PermitCounter) Take(now time.Duration, target fleet.Incarnation, perSecond float64, n int) (granted int, refused Permit) {
	b := c.targets[target]
	if b == nil {
		// Permits of an earlier counter may be in use, so this one starts with none.
		b = &permitBucket{Bucket: tokenbucket.Bucket{RefilledAt: now}}
		c.targets[target] = b
	}
	b.Refill(now, perSecond, max(minPermitBurst, perSecond*permitBurst.Seconds()))
	for granted < n && b.Tokens >= tokenbucket.Whole {
		b.Tokens--
		granted++
	}
	if granted == n {
		return granted, Permit{}
	}
	next := tokenbucket.Wait(1-b.Tokens, perSecond)
	comeBack := max(now+next, b.promisedUntil)
	latest := now + max(next, maxComeBackAfter)
	b.promisedUntil = min(comeBack+tokenbucket.Wait(float64(n-granted), perSecond), latest)
	return granted, Permit{NextAfter: next, ComeBackAfter: min(comeBack, latest) - now}
}

// Forget drops the state of a target.
func (c *PermitCounter) Forget(target fleet.Incarnation) { delete(c.targets, target) }

// EvenShares admits the requests of a host to targets that state a limit while the host
// reaches no PermitCounter: each host may send one request in its turn, and all hosts
// together have as many turns as the limit allows. It is not safe for concurrent use.
type EvenShares struct {
	targets map[fleet.Incarnation]*turns
	// since is when the host last reached a counter; its turns begin then.
	since time.Duration
}

// turns are the turns of a host at one target: turn k, from 0, begins at first+k·period.
type turns struct {
	perSecond     float64
	hosts         int
	first, period time.Duration
	// next is the first turn that was not used.
	next int64
}

// A turn that is not used lapses after turnValidity plus the time of turnSlack requests
// at the target's limit. Otherwise the hosts of a large fleet could save their turns and
// use all of them at once.
const (
	turnValidity = time.Second
	turnSlack    = 3
)

// NewEvenShares returns the shares of a host that has not reached a counter yet.
func NewEvenShares(now time.Duration) *EvenShares {
	return &EvenShares{targets: map[fleet.Incarnation]*turns{}, since: now}
}

// ReachedCounter records that a counter answered the host, which ends the use of turns.
func (e *EvenShares) ReachedCounter(now time.Duration) {
	clear(e.targets)
	e.since = now
}

// Take decides on a request to a target with a limit in requests per second for hosts
// together. random is a number from 0 to 1 that spreads the turns of hosts that lose the
// counter at the same time.
func (e *EvenShares) Take(now time.Duration, target fleet.Incarnation, perSecond float64, hosts int, random float64) Permit {
	t := e.targets[target]
	if t == nil || t.perSecond != perSecond || t.hosts != hosts {
		since := e.since
		if t != nil {
			since = now // the turns of the earlier limit may have been used
		}
		period := tokenbucket.Wait(float64(max(hosts, 1)), perSecond)
		t = &turns{perSecond: perSecond, hosts: hosts, first: since + time.Duration(random*float64(period)), period: period}
		e.targets[target] = t
	}
	current := int64(-1)
	if now >= t.first {
		current = int64((now - t.first) / t.period)
	}
	began := t.first + time.Duration(current)*t.period
	if current >= t.next && now-began <= turnValidity+tokenbucket.Wait(turnSlack, perSecond) {
		t.next = current + 1
		return Permit{Granted: true}
	}
	next := began + t.period - now
	return Permit{NextAfter: next, ComeBackAfter: next}
}

// Forget drops the state of a target.
func (e *EvenShares) Forget(target fleet.Incarnation) { delete(e.targets, target) }

// recentHosts is how long a host that is gone still counts: it may be cut off from the
// counter and use its even share.
const recentHosts = time.Minute

// HostCount is the number of hosts that may send requests. The zero value has seen
// none. It is not safe for concurrent use.
type HostCount struct {
	connected int
	// highest is the highest number in the current period, previous in the one before;
	// a period is half of recentHosts.
	highest, previous int
	periodEnd         time.Duration
}

// Observe records the number of hosts that are connected to the counter.
func (h *HostCount) Observe(now time.Duration, connected int) {
	h.advance(now)
	h.connected = connected
	h.highest = max(h.highest, connected)
}

func (h *HostCount) advance(now time.Duration) {
	if now < h.periodEnd {
		return
	}
	if now >= h.periodEnd+recentHosts/2 {
		h.highest = h.connected // no observation in a whole period
	}
	h.previous, h.highest = h.highest, h.connected
	h.periodEnd = now + recentHosts/2
}

// Recent returns the highest number of hosts connected in the last half to whole
// minute, 0 before the first observation.
func (h *HostCount) Recent(now time.Duration) int {
	h.advance(now)
	return max(h.highest, h.previous)
}

// ConnectedShare returns the share of the recent hosts that are connected. The counter
// gives only this share of a limit, since the other hosts may use theirs.
func (h *HostCount) ConnectedShare(now time.Duration) float64 {
	return float64(h.connected) / float64(max(1, h.Recent(now)))
}
