package lease

import (
	"slices"
	"time"
)

// unansweredGrants holds, by target, the grants that it may still apply: those in flight,
// and those whose outcome is unknown until their lease would have ended. A key range that
// is split or moved meanwhile does not change them.
type unansweredGrants map[string][]unansweredGrant

type unansweredGrant struct {
	fence    uint64
	from, to int
	// end is the latest end of a lease by this grant.
	end      time.Duration
	inFlight bool
}

func (u *unansweredGrant) overlaps(from, to int) bool { return u.from <= to && from <= u.to }

func (u *unansweredGrant) expired(now time.Duration) bool { return !u.inFlight && now >= u.end }

// noteSent adds a grant.
func (m unansweredGrants) noteSent(call TargetCall, end time.Duration) {
	m[call.Target] = append(m[call.Target], unansweredGrant{fence: call.Fence, from: call.From, to: call.To, end: end, inFlight: true})
}

// noteResult processes the result of a grant. A target that accepted one refuses earlier
// grants of the same keys.
func (m unansweredGrants) noteResult(now time.Duration, call TargetCall, result GrantResult) {
	for i := range m[call.Target] {
		if u := &m[call.Target][i]; u.fence == call.Fence {
			u.inFlight = false
		}
	}
	m.deleteFrom(call.Target, func(u unansweredGrant) bool {
		superseded := result == GrantAccepted && !u.inFlight && u.fence < call.Fence && call.From <= u.from && u.to <= call.To
		return superseded || u.fence == call.Fence && result != GrantUnknown || u.expired(now)
	})
}

// prune drops the grants of all targets whose leases have ended.
func (m unansweredGrants) prune(now time.Duration) {
	for target := range m {
		m.deleteFrom(target, func(u unansweredGrant) bool { return u.expired(now) })
	}
}

func (m unansweredGrants) deleteFrom(target string, drop func(unansweredGrant) bool) {
	if kept := slices.DeleteFunc(m[target], drop); len(kept) > 0 {
		m[target] = kept
	} else {
		delete(m, target)
	}
}

// inFlightTo reports whether a grant to a target of some of the keys is in flight.
func (m unansweredGrants) inFlightTo(target string, from, to int) bool {
	return slices.ContainsFunc(m[target], func(u unansweredGrant) bool { return u.inFlight && u.overlaps(from, to) })
}

// latestEnd is the latest end of a lease by a grant to a target of some of the keys, or 0.
func (m unansweredGrants) latestEnd(target string, from, to int) time.Duration {
	var end time.Duration
	for _, u := range m[target] {
		if u.overlaps(from, to) {
			end = max(end, u.end)
		}
	}
	return end
}
