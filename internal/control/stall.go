package control

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"
)

const (
	// stallTickInterval is the interval at which the meter expects to run.
	stallTickInterval = 10 * time.Millisecond
	// stallThreshold is the delay of a tick above which this process counts as
	// stalled. It is well below the timeout of a grant, so that a stall that makes
	// a grant time out is not counted against the target.
	stallThreshold = 40 * time.Millisecond
)

// stallsTotal counts the stalls of this process.
var stallsTotal = expvar.NewInt("stalls_count")

// stallMeter detects when this process was paused or starved of processor time.
// It provides a clock that stops meanwhile, for measuring the silence of others.
type stallMeter struct {
	now func() time.Duration
	// stalledTotal is the total duration of all stalls, stallEnd the end of the
	// last one.
	stalledTotal, stallEnd atomic.Int64
	// lastTick is the time of the last tick.
	lastTick atomic.Int64
}

func newStallMeter(now func() time.Duration) *stallMeter { return &stallMeter{now: now} }

// serve runs the meter until the context ends.
func (m *stallMeter) serve(ctx context.Context) error {
	ticker := time.NewTicker(stallTickInterval)
	defer ticker.Stop()
	m.lastTick.Store(int64(m.now()))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.handleTick(m.now())
		}
	}
}

// handleTick processes a tick that ran at now.
func (m *stallMeter) handleTick(now time.Duration) {
	before := time.Duration(m.lastTick.Swap(int64(now)))
	if late := lateness(before, now); late > 0 {
		m.stalledTotal.Add(int64(late))
		m.stallEnd.Store(int64(now))
		stallsTotal.Add(1)
	}
}

// lateness returns the delay of a tick when it exceeds stallThreshold, otherwise
// 0.
func lateness(before, now time.Duration) time.Duration {
	if late := now - before - stallTickInterval; before != 0 && late > stallThreshold {
		return late
	}
	return 0
}

// awake returns the time less all stalls, including one that no tick has
// ended yet.
func (m *stallMeter) awake() time.Duration {
	now := m.now()
	return now - time.Duration(m.stalledTotal.Load()) - lateness(time.Duration(m.lastTick.Load()), now)
}

// lastStallEnd returns when the last stall ended, 0 when there was none.
func (m *stallMeter) lastStallEnd() time.Duration { return time.Duration(m.stallEnd.Load()) }
