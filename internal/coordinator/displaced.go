package coordinator

import (
	"maps"
	"time"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/ownership"
)

// lastingLimit is the age from which a target's limit makes its keys move: one that
// comes and goes would move them back and forth.
const lastingLimit = 3 * time.Second

// limitLasts reports whether the limit of a target is old enough to move its keys.
func (t *term) limitLasts(now time.Duration, x *fleet.Target) bool {
	since, ok := t.limitedSince[x.Ident()]
	if !ok {
		t.limitedSince[x.Ident()], since = now, now
	}
	return now-since >= lastingLimit
}

// forgetLimits drops the beginnings of limits of targets that are gone.
func (t *term) forgetLimits(snap *fleet.Snapshot) {
	maps.DeleteFunc(t.limitedSince, func(r fleet.Incarnation, _ time.Duration) bool {
		x := snap.Targets[r.ID]
		return x == nil || x.Ident() != r
	})
}

// displacedKeys are key ranges that were moved away from targets with a limit. Each has
// the target that had it as its owner, to which it returns.
type displacedKeys []ownership.RangeMove

// maxDisplacedRanges bounds the ranges that are remembered for a workload.
const maxDisplacedRanges = 4096

// update returns the ranges that are displaced after a plan: without those that are back
// or whose target is gone, and with those that the plan moves away from limited targets.
// current and next are the tables before and after the plan.
func (d displacedKeys) update(snap *fleet.Snapshot, current, next *ownership.RangeTable, moves []ownership.RangeMove) displacedKeys {
	var out displacedKeys
	for _, r := range d {
		if t := snap.Targets[r.Owner]; t != nil && snap.Usable(t) && !ownsAll(next, r) {
			out = append(out, r)
		}
	}
	for _, m := range moves {
		former := snap.Targets[current.Find(m.From).Owner]
		if former == nil || snap.RequestLimit(former) == 0 || out.contains(m) || len(out) >= maxDisplacedRanges {
			continue
		}
		out = append(out, ownership.RangeMove{From: m.From, To: m.To, Owner: former.ID})
	}
	return out
}

// contains reports whether the keys of a move are displaced already. They return to the
// first target that they were moved from.
func (d displacedKeys) contains(m ownership.RangeMove) bool {
	for _, r := range d {
		if r.From <= m.To && m.From <= r.To {
			return true
		}
	}
	return false
}

// ownsAll reports whether a table gives all keys of a range to its owner.
func ownsAll(table *ownership.RangeTable, r ownership.RangeMove) bool {
	for _, s := range table.Ranges {
		if s.From <= r.To && r.From <= s.To && s.Owner != r.Owner {
			return false
		}
	}
	return true
}
