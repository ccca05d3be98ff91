package coordinator

import (
	"maps"
	"time"

	"github.com/boragelock/boragelock/fleet"
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
