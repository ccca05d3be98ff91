package pace

import (
	"math"
	"time"
)

const (
	// reportChange is the change of a limit or rate that is reported, relative to the one
	// reported before.
	reportChange = 0.5
	// reportInterval is the least time between reports on one target.
	reportInterval = time.Second
	// maxReportsPerSecond bounds the reports on all targets: when all hosts start, the
	// paces of hundreds of targets change within a second.
	maxReportsPerSecond = 10
)

// Reporter selects the changes of paces that are worth a log line.
type Reporter struct {
	reported map[string]report
	// second is when the current count of reports began.
	second time.Duration
	count  int
	// Suppressed counts changes that were not reported because there were too many.
	Suppressed uint64
}

type report struct {
	state State
	at    time.Duration
}

// Due reports whether the pace of a target has changed by half or more since it was last
// reported, and counts it as reported. The first pace of a target is the base of comparison.
func (r *Reporter) Due(now time.Duration, id string, s State) bool {
	last, known := r.reported[id]
	if r.reported == nil {
		r.reported = map[string]report{}
	}
	if !known {
		r.reported[id] = report{state: s, at: now - reportInterval}
		return false
	}
	if !changed(last.state.Limit, s.Limit) && !changed(last.state.Rate, s.Rate) || now-last.at < reportInterval {
		return false
	}
	if now-r.second >= time.Second {
		r.second, r.count = now, 0
	}
	if r.count >= maxReportsPerSecond {
		r.Suppressed++
		return false
	}
	r.count++
	r.reported[id] = report{state: s, at: now}
	return true
}

// Keep forgets the targets for which keep is false.
func (r *Reporter) Keep(keep func(id string) bool) {
	for id := range r.reported {
		if !keep(id) {
			delete(r.reported, id)
		}
	}
}

func changed(before, after float64) bool {
	return (before == 0) != (after == 0) || before > 0 && math.Abs(after-before) >= reportChange*before
}
