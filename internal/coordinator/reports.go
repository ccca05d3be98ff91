package coordinator

import (
	"maps"
	"time"
)

// The store may carry out a report of a target seconds after it was sent, when the target has
// sent later ones. Reports of one run of a target are numbered.

// targetReport is the last report of a target that this host has seen.
type targetReport struct {
	// born is the start of the target's run, number that of the report in it.
	born, number int64
	// removedAt is when the target's announcement was removed, or 0.
	removedAt time.Duration
}

// targetReports has the last report of each target, by ID.
type targetReports map[string]targetReport

// maxRemovedReports is the number of targets from which on those are forgotten that were removed
// longer than rememberFor ago.
const maxRemovedReports = 8192

// note records a report, unless it was made before the last one. It reports whether it did. The
// last one may be written again, when it has lapsed.
func (t targetReports) note(id string, born, number int64) bool {
	if last, known := t[id]; known && born == last.born && number < last.number {
		return false
	}
	t[id] = targetReport{born: born, number: number}
	return true
}

// remove records that the announcement of a target was removed.
func (t targetReports) remove(now time.Duration, id string) {
	last, known := t[id]
	if !known || last.removedAt > 0 {
		return
	}
	last.removedAt = now
	t[id] = last
	if len(t) > maxRemovedReports {
		maps.DeleteFunc(t, func(_ string, r targetReport) bool { return r.removedAt > 0 && now-r.removedAt > rememberFor })
	}
}
