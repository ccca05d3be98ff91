package control

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"
)

const (
	// stallTick is the interval at which the meter expects to run.
	stallTick = 10 * time.Millisecond
	// stallAfter is the delay of a tick from which on this process counts as
	// stalled. It is well below the time limit of a grant, which a stall of
	// this host would otherwise be blamed on the target for.
	stallAfter = 40 * time.Millisecond
)

// stalls counts the times in which this process did not run.
var stalls = expvar.NewInt("stalls_count")

// stallMeter notices that this process was paused or starved of processor time,
// and gives a clock that stands still meanwhile: silence of others is measured
// by it.
type stallMeter struct {
	now func() time.Duration
	// total is the time of all stalls, end the end of the last one.
	total, end atomic.Int64
	// tick is the time of the last tick.
	tick atomic.Int64
}

func newStallMeter(now func() time.Duration) *stallMeter { return &stallMeter{now: now} }

// serve watches until the context ends.
func (m *stallMeter) serve(ctx context.Context) error {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	m.tick.Store(int64(m.now()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.note(m.now())
		}
	}
}

// note takes the time of a tick.
func (m *stallMeter) note(now time.Duration) {
	before := time.Duration(m.tick.Swap(int64(now)))
	if late := lateness(before, now); late > 0 {
		m.total.Add(int64(late))
		m.end.Store(int64(now))
		stalls.Add(1)
	}
}

// lateness returns by how much a tick was late, 0 when it was in time.
func lateness(before, now time.Duration) time.Duration {
	if late := now - before - stallTick; before != 0 && late > stallAfter {
		return late
	}
	return 0
}

// awake returns the time without stalls, including one that the meter itself
// has not yet woken up from.
func (m *stallMeter) awake() time.Duration {
	now := m.now()
	return now - time.Duration(m.total.Load()) - lateness(time.Duration(m.tick.Load()), now)
}

// lastEnd returns when the last stall ended, 0 when there was none.
func (m *stallMeter) lastEnd() time.Duration { return time.Duration(m.end.Load()) }
