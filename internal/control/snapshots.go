package control

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Limits that determine when a snapshot is due. The retention of the log is not
// known; it may be by the number or by the age of records.
const (
	snapshotCheckInterval = time.Second
	// snapshotRecords is the number of records after which a snapshot is due.
	snapshotRecords = 2000
	// snapshotMaxAge is the age of the last snapshot at which the next one is due
	// if there are new records.
	snapshotMaxAge = 10 * time.Minute
	// snapshotIdleAge is the same without new records, since the log may drop the
	// snapshot itself by age.
	snapshotIdleAge = time.Hour
	// minSnapshotInterval is the least time between two snapshots that are due
	// because the log no longer holds the records that follow the last one. With
	// a log that holds less than one snapshot, they would otherwise be due all
	// the time.
	minSnapshotInterval = 10 * time.Second
)

// snapshotSchedule determines when the next snapshot is due.
type snapshotSchedule struct {
	// lastOffset is the Next of the state in the last snapshot, partsEnd the
	// offset after its parts, and seenAt when this host first saw it.
	lastOffset, partsEnd int64
	seenAt               time.Duration
}

// noteSnapshot records the last snapshot on the log, written by any host.
func (s *snapshotSchedule) noteSnapshot(now time.Duration, last, next int64) {
	if s.seenAt == 0 || last > s.lastOffset {
		*s = snapshotSchedule{lastOffset: last, partsEnd: next, seenAt: now}
	}
}

// due reports whether a snapshot is due. first is the oldest offset on the log,
// next the offset after its last record.
func (s *snapshotSchedule) due(now time.Duration, first, next int64) bool {
	age := now - s.seenAt
	switch {
	case next-s.lastOffset >= snapshotRecords:
		return true
	case first > max(s.lastOffset, journal.FirstOffset):
		return age >= minSnapshotInterval
	case age >= snapshotMaxAge && next > s.partsEnd:
		return true
	}
	return age >= snapshotIdleAge
}

// serveSnapshots writes the state to the log before the log drops the records
// that produced it. Only the coordinator does so; snapshots by two hosts are
// harmless.
func (c *Control) serveSnapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotCheckInterval)
	defer tick.Stop()
	var schedule snapshotSchedule
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil {
			continue
		}
		now, pos := c.cfg.Now(), c.follower.Position()
		schedule.noteSnapshot(now, st.LastSnapshotOffset, st.NextOffset)
		if !c.leads(st) || !c.inCoordinatorDomain(st) || !schedule.due(now, pos.First, st.NextOffset) {
			continue
		}
		if err := c.writeSnapshot(ctx); err != nil {
			snapshotsTotal.Add("failed", 1)
			c.log.Warn("failed to write a snapshot", "error", err)
		}
	}
}

func (c *Control) writeSnapshot(ctx context.Context) error {
	st := c.follower.Snapshot()
	id := fmt.Sprintf("%s.%s@%d", c.cfg.Self.Name, c.cfg.Self.Incarnation, st.NextOffset)
	parts, err := journal.EncodeSnapshot(id, st)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if _, err := c.Append(ctx, journal.KindSnapshot, p); err != nil {
			return err
		}
	}
	snapshotsTotal.Add("written", 1)
	c.log.Info("snapshot written", "offset", st.NextOffset, "parts", len(parts))
	return nil
}

// targetView returns what is known of a target of any domain.
func (c *Control) targetView(name, domain string) view.Target {
	if domain == c.cfg.Self.Domain {
		return c.domains.fitness.targetView(name)
	}
	return c.homes.domainView(domain).Targets[name]
}
