package coordinator

import (
	"errors"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// The store may come back from a copy that is seconds old. It then begins its next era:
// what it had acknowledged since the copy is lost, and offsets are given out again. A
// position in a topic is therefore an era and an offset, and each host takes the highest
// era that the store or the leader has stated for the current one.

// firstEra is the era of a store that has never returned from a copy.
const firstEra = 1

// noteStoreCall counts a call to the store and notes the era that its response stated.
func (c *Coordinator) noteStoreCall(call string, era uint64, err error) {
	c.metrics.storeCall(call, err)
	c.storeAnswers.note(c.ran.now(), err)
	var e *platform.Error
	if errors.As(err, &e) {
		era = e.Era
	}
	c.noteEra(era)
}

// noteEra notes an era of the store. When it is later than the current one, the positions
// of all topics are unknown.
func (c *Coordinator) noteEra(era uint64) {
	for {
		known := c.storeEra.Load()
		if era <= known {
			return
		}
		c.eraSeenAt.Store(int64(boottime.Now()))
		if !c.storeEra.CompareAndSwap(known, era) {
			continue
		}
		if known != 0 {
			c.handleRestore(known, era)
		}
		return
	}
}

// handleRestore handles the beginning of an era after an earlier one.
func (c *Coordinator) handleRestore(previous, era uint64) {
	c.restoredAt.Store(int64(boottime.Now()))
	c.roster.forgetStops()
	if lost := c.control.lastKnown(); c.leadership.readTablesOf(lost.Era) {
		c.witnesses.noteLost(lost)
	}
	c.cfg.Log.Warn("store_restored", "era", era, "previous", previous, "operator", c.operator.lastKnown().Next,
		"targets", c.targets.lastKnown().Next, "control", c.control.lastKnown().Next, "leading", c.Leading())
	c.mu.Lock()
	c.dir.MarkStoreUnreachable()
	c.dir.MarkStoreReachable(boottime.Now()) // targets whose announcements are lost get time to write them again
	c.mu.Unlock()
	for _, f := range c.followers() {
		f.cancelRead()
	}
}

// awaitsLostRecords reports whether a host that has started has yet to hear from a leader
// what the store lost: it cannot tell from the store how long ago the last restore was.
func (c *Coordinator) awaitsLostRecords(now time.Duration) bool {
	if c.storeEra.Load() <= firstEra || c.Leading() || now-c.startedAt >= lostRecordsWait {
		return false
	}
	return !c.operator.followedLeader() || !c.targets.followedLeader()
}

// lostRecordsWait bounds how long a host that starts waits for a leader before it goes by
// the store alone.
const lostRecordsWait = 5 * time.Second

// sinceRestore returns the time since this host saw the store return from a copy.
func (c *Coordinator) sinceRestore(now time.Duration) time.Duration {
	return now - time.Duration(c.restoredAt.Load())
}

// awaitsRelay reports whether the host waits for the leader to relay the topics of a new
// era before it reads them itself: all hosts see the new era at the same time.
func (c *Coordinator) awaitsRelay(now time.Duration) bool {
	return c.leadership.isConnected() && c.sinceRestore(now) < staleAfter
}
