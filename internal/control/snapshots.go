package control

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// When snapshots are published.
const (
	snapshotCheck = time.Second
	// snapshotEvery is the number of records after which a snapshot is due.
	snapshotEvery = 2000
)

// serveSnapshots publishes the state on the log before the log drops the
// records that it was folded from. One host does it: the leader of the first
// domain that has granters. Two snapshots do no harm.
func (c *Control) serveSnapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotCheck)
	defer tick.Stop()
	var last int64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		st := c.state()
		if st == nil || st.Config == nil || !c.leads(st) || !c.isFirstDomain(st) {
			continue
		}
		if last = max(last, st.LastSnapshot); st.Next-last < snapshotEvery {
			continue
		}
		if err := c.writeSnapshot(ctx); err != nil {
			snapshotsTotal.Add("failed", 1)
			c.log.Warn("snapshot not written", "error", err)
			continue
		}
		last = st.Next
	}
}

func (c *Control) writeSnapshot(ctx context.Context) error {
	st := c.follower.Snapshot()
	id := fmt.Sprintf("%s.%s@%d", c.cfg.Self.Name, c.cfg.Self.Incarnation, st.Next)
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
	c.log.Info("snapshot written", "offset", st.Next, "parts", len(parts))
	return nil
}

// knownTarget returns what is known of a target of any domain.
func (c *Control) knownTarget(name, domain string) view.Target {
	if domain == c.cfg.Self.Domain {
		return c.domains.fitness.target(name)
	}
	return c.homes.domain(domain).Targets[name]
}
