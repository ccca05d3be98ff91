package coordinator

import (
	"time"

	"github.com/boragelock/boragelock/internal/cputime"
)

// leadLoadEvery is the interval at which a leader logs its load.
const leadLoadEvery = time.Second

// leadLoad tells whether a leader keeps up with what the hosts and targets ask of it.
type leadLoad struct {
	nextReport, lastTick time.Duration
	// tickDelay is the longest delay of a tick since the last report.
	tickDelay time.Duration
	// processorTime and sentBytes are those of the process as of the last report.
	processorTime time.Duration
	sentBytes     int64
}

// noteTick records a tick of the loop, and logs the load when it is due.
func (l *leadLoad) noteTick(now time.Duration, c *Coordinator) {
	if l.lastTick > 0 {
		l.tickDelay = max(l.tickDelay, now-l.lastTick-leadTick)
	}
	l.lastTick = now
	if now < l.nextReport {
		return
	}
	used, sent := cputime.Process(), c.peers.sentBytes.Load()
	if l.nextReport > 0 {
		c.cfg.Log.Info("leader_load", "peers", c.peers.size(), "tick_delay_ms", l.tickDelay.Milliseconds(),
			"cpu_ms", (used - l.processorTime).Milliseconds(), "sent_kb", (sent-l.sentBytes)>>10,
			"queued_messages", c.peers.longestQueue(), "ranges_granted", c.metrics.grantedRanges.Value(), "ranges_ungranted", c.metrics.ungrantedRanges.Value())
	}
	l.nextReport, l.tickDelay, l.processorTime, l.sentBytes = now+leadLoadEvery, 0, used, sent
}
