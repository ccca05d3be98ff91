package limits

import (
	"time"

	"github.com/boragelock/boragelock/fleet"
)

// LimitStatement is what a target stated in a response about the requests that it
// accepts from all hosts together.
type LimitStatement struct {
	Target fleet.Incarnation
	// PerSecond is the limit in requests per second, or 0 if the target stated none.
	PerSecond float64
	// SentAt and ReceivedAt are when the request left and when the response arrived. The
	// target made the statement between them.
	SentAt, ReceivedAt time.Duration
}

// TargetLimits holds the limits that targets state, as one host knows them. It is not
// safe for concurrent use.
type TargetLimits struct {
	// latest holds the targets that have stated a limit, also after the limit ended.
	latest map[fleet.Incarnation]LimitStatement
}

// NewTargetLimits returns a TargetLimits without limits.
func NewTargetLimits() *TargetLimits {
	return &TargetLimits{latest: map[fleet.Incarnation]LimitStatement{}}
}

// Apply applies a statement and reports whether it changed the target's limit. Hosts
// receive statements out of order: one replaces another only if it was certainly made
// later. Of two whose order is unknown, the lower limit is in force.
func (t *TargetLimits) Apply(s LimitStatement) (changed bool) {
	current, known := t.latest[s.Target]
	switch {
	case !known && s.PerSecond == 0:
		return false
	case known && s.ReceivedAt <= current.SentAt:
		return false
	case known && s.SentAt < current.ReceivedAt && !isStricter(s, current):
		if s.PerSecond == current.PerSecond && s.ReceivedAt > current.ReceivedAt {
			t.latest[s.Target] = s
		}
		return false
	}
	t.latest[s.Target] = s
	return s.PerSecond != current.PerSecond
}

// isStricter reports whether a states a lower limit than b.
func isStricter(a, b LimitStatement) bool {
	return a.PerSecond > 0 && (b.PerSecond == 0 || a.PerSecond < b.PerSecond)
}

// Get returns the statement in force of a target, or false if it never stated a limit.
func (t *TargetLimits) Get(target fleet.Incarnation) (LimitStatement, bool) {
	s, ok := t.latest[target]
	return s, ok
}

// All returns the statements in force, with those that ended a limit.
func (t *TargetLimits) All() []LimitStatement {
	all := make([]LimitStatement, 0, len(t.latest))
	for _, s := range t.latest {
		all = append(all, s)
	}
	return all
}

// Retain drops the statements for which keep returns false and returns their targets.
func (t *TargetLimits) Retain(keep func(LimitStatement) bool) (dropped []fleet.Incarnation) {
	for target, s := range t.latest {
		if !keep(s) {
			delete(t.latest, target)
			dropped = append(dropped, target)
		}
	}
	return dropped
}
