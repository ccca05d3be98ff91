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

// stallMeter notices that this process was paused or starved of processor time.
type stallMeter struct {
	now func() time.Duration
	// last is the end of the last stall on the boot-time clock.
	last atomic.Int64
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
	if before != 0 && now-before > stallTick+stallAfter {
		m.last.Store(int64(now))
		stalls.Add(1)
	}
}

// lastEnd returns when the last stall ended, 0 when there was none.
func (m *stallMeter) lastEnd() time.Duration { return time.Duration(m.last.Load()) }

// since reports whether the process has been stalled at any time after start,
// including a stall that the meter itself has not yet woken up from.
func (m *stallMeter) since(start time.Duration) bool {
	if last := time.Duration(m.last.Load()); last != 0 && last >= start {
		return true
	}
	tick := time.Duration(m.tick.Load())
	return tick != 0 && m.now()-tick > stallTick+stallAfter
}
