package lease

import "time"

// unansweredGrants holds the grants that a target may still apply: those in flight, and
// those whose outcome is unknown until their lease would have ended. A key range that is
// split or moved meanwhile does not change them.
type unansweredGrants map[uint64]*unansweredGrant // by fencing token

type unansweredGrant struct {
	target   string
	from, to int
	// end is the latest end of a lease by this grant.
	end      time.Duration
	inFlight bool
}

func (u *unansweredGrant) overlaps(target string, from, to int) bool {
	return u.target == target && u.from <= to && from <= u.to
}

// noteSent adds a grant.
func (m unansweredGrants) noteSent(call TargetCall, end time.Duration) {
	m[call.Fence] = &unansweredGrant{target: call.Target, from: call.From, to: call.To, end: end, inFlight: true}
}

// noteResult processes the result of a grant. A target that accepted one refuses earlier
// grants of the same keys.
func (m unansweredGrants) noteResult(now time.Duration, call TargetCall, result GrantResult) {
	if u := m[call.Fence]; u != nil {
		u.inFlight = false
	}
	if result != GrantUnknown {
		delete(m, call.Fence)
	}
	for fence, u := range m {
		superseded := result == GrantAccepted && fence < call.Fence && u.target == call.Target && call.From <= u.from && u.to <= call.To
		if !u.inFlight && (superseded || now >= u.end) {
			delete(m, fence)
		}
	}
}

// inFlightTo reports whether a grant to a target of some of the keys is in flight.
func (m unansweredGrants) inFlightTo(target string, from, to int) bool {
	for _, u := range m {
		if u.inFlight && u.overlaps(target, from, to) {
			return true
		}
	}
	return false
}

// latestEnd is the latest end of a lease by a grant to a target of some of the keys, or 0.
func (m unansweredGrants) latestEnd(target string, from, to int) time.Duration {
	var end time.Duration
	for _, u := range m {
		if u.overlaps(target, from, to) {
			end = max(end, u.end)
		}
	}
	return end
}
