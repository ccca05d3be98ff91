package control

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// When snapshots are published. The log's retention is not known, and it may
// be by number or by time.
const (
	snapshotCheck = time.Second
	// snapshotEvery is the number of records after which a snapshot is due.
	snapshotEvery = 2000
	// snapshotMaxAge is the age of the last snapshot at which the next one is
	// due when there are new records.
	snapshotMaxAge = 10 * time.Minute
	// snapshotIdleAge is the same without new records: the log may drop the
	// snapshot itself by its age.
	snapshotIdleAge = time.Hour
	// snapshotRetry is the least time between two snapshots that are written
	// because the log no longer holds the records that follow the last one. A
	// log that holds less than one snapshot would otherwise get them without end.
	snapshotRetry = 10 * time.Second
)

// snapshotClock knows when the next snapshot is due.
type snapshotClock struct {
	// last is the offset that the last snapshot goes up to, end the offset
	// after its parts, at the time at which this host saw it.
	last, end int64
	at        time.Duration
}

// saw takes the last snapshot on the log, by whichever host.
func (s *snapshotClock) saw(now time.Duration, last, next int64) {
	if s.at == 0 || last > s.last {
		*s = snapshotClock{last: last, end: next, at: now}
	}
}

// due reports whether a snapshot is to be written. The log begins at offset
// first, and next follows its last record.
func (s *snapshotClock) due(now time.Duration, first, next int64) bool {
	age := now - s.at
	switch {
	case next-s.last >= snapshotEvery:
		return true
	case first > max(s.last, journal.FirstOffset):
		return age >= snapshotRetry
	case age >= snapshotMaxAge && next > s.end:
		return true
	}
	return age >= snapshotIdleAge
}

// serveSnapshots publishes the state on the log before the log drops the
// records that it was folded from. One host does it: the leader of the first
// domain that has granters. Two snapshots do no harm.
func (c *Control) serveSnapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotCheck)
	defer tick.Stop()
	var clock snapshotClock
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
		clock.saw(now, st.LastSnapshotOffset, st.NextOffset)
		if !c.leads(st) || !c.isFirstDomain(st) || !clock.due(now, pos.First, st.NextOffset) {
			continue
		}
		if err := c.writeSnapshot(ctx); err != nil {
			snapshotsTotal.Add("failed", 1)
			c.log.Warn("snapshot not written", "error", err)
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

// knownTarget returns what is known of a target of any domain.
func (c *Control) knownTarget(name, domain string) view.Target {
	if domain == c.cfg.Self.Domain {
		return c.domains.fitness.target(name)
	}
	return c.homes.domain(domain).Targets[name]
}
