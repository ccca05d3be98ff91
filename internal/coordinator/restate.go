package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
)

// A leader that lives when the store returns from a copy stores its record and its tables
// of owners again, under the next number of the new era. Without it nobody knows which
// targets hold keys, and the next leader waits for the end of all leases. A leader that still
// collects tables stores its record only.

// restatement is what a leader stores in a new era.
type restatement struct {
	record leaderRecord
	tables map[string]*ownership.RangeTable
	// alone says that no host follows the leader.
	alone bool
	// batch holds all records of the control topic afterwards.
	batch platform.Batch
	// sentAt is when the append was sent.
	sentAt time.Duration
}

// restate begins to store the leader's record and tables in the current era. A leader that
// no host follows only reads whether the others have elected another one.
func (t *term) restate(now time.Duration) {
	t.nextConfirm = now + retryPause
	r := restatement{record: t.record, alone: t.c.peers.size() == 0 && t.c.recentHosts(now) > 1}
	r.record.Era = t.c.storeEra.Load()
	if !t.collecting {
		r.tables, r.record.TablesEra = t.allTables(), r.record.Era
	}
	r.record.Term = nextTerm(t.c.leadership.current(), r.record.Era)
	r.record.Heartbeat++
	r.record.EarlierLeaseMS = t.lease.RenumberedLeasesLeft().Milliseconds()
	r.record.UnknownHoldersMS = t.lease.UnknownHoldersLeft(now).Milliseconds()
	t.appendInProgress = true
	if r.alone {
		t.nextConfirm = now + confirmEvery
	} else {
		t.unstoredTables = map[string]*ownership.RangeTable{}
	}
	go func() {
		err := t.storeRestatement(&r)
		t.post(func(now time.Duration) {
			t.appendInProgress = false
			t.applyRestatement(now, r, err)
		})
	}()
}

// allTables returns the tables in force, and those that were to be stored next.
func (t *term) allTables() map[string]*ownership.RangeTable {
	tables := t.c.leadership.allTables()
	for name, table := range t.tables {
		tables[name] = table
	}
	for name, table := range t.unstoredTables {
		tables[name] = table
	}
	return tables
}

// storeRestatement reads the control topic of the new era and appends the restatement, if
// no other leader has begun a term. Its errors are those of the store, *laterTermError or
// *noFollowersError.
func (t *term) storeRestatement(r *restatement) error {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	sent := boottime.Now()
	b, err := t.c.cfg.Store.Newest(ctx, platform.TopicControl)
	t.c.noteStoreCall("newest", b.Era, err)
	if err != nil {
		return err
	}
	if later := laterLeader(b.Records, t.record); later != nil {
		t.c.control.applyBatch(unknownOffset, b, true, sent)
		return &laterTermError{Term: later.Term}
	}
	if r.alone {
		return &noFollowersError{}
	}
	records := []platform.Record{r.record.storeRecord()}
	for name, table := range r.tables {
		records = append(records, platform.Record{Key: keyRanges + name, Value: table.Encode()})
	}
	records = append(records, t.c.rosterRecord(boottime.Now(), len(r.tables) > 0)...)
	r.sentAt = boottime.Now()
	stored, err := t.c.cfg.Store.Append(ctx, platform.TopicControl, b.NextOffset, records)
	t.c.noteStoreCall("append", stored.Era, err)
	if err != nil {
		return err
	}
	if stored.Era != r.record.Era {
		return &platform.Error{Op: "append", Outcome: platform.Restored, Era: stored.Era, Offset: -1}
	}
	r.batch = stored
	r.batch.Records = overlayRecords(b.Records, records)
	return nil
}

// laterTermError reports that another leader began a later term.
type laterTermError struct{ Term uint64 }

// Error implements error.
func (e *laterTermError) Error() string { return "coordinator: a later term has begun" }

// noFollowersError reports that a leader does not store its tables again, since no host
// follows it.
type noFollowersError struct{}

// Error implements error.
func (e *noFollowersError) Error() string { return "coordinator: no host follows this leader" }

// laterLeader returns the leader's record among records if it belongs to a later term than
// own, or nil.
func laterLeader(records []platform.Record, own leaderRecord) *leaderRecord {
	for _, r := range records {
		var l leaderRecord
		if r.Key == keyLeader && json.Unmarshal(r.Value, &l) == nil && l.Term > own.Term && l.Incarnation != own.Incarnation {
			return &l
		}
	}
	return nil
}

// overlayRecords returns records in which the newer ones replace those of their keys.
func overlayRecords(records, newer []platform.Record) []platform.Record {
	replaced := map[string]bool{}
	for _, r := range newer {
		replaced[r.Key] = true
	}
	kept := slices.DeleteFunc(slices.Clone(records), func(r platform.Record) bool { return replaced[r.Key] })
	return append(kept, newer...)
}

// applyRestatement puts a stored restatement into force.
func (t *term) applyRestatement(now time.Duration, r restatement, err error) {
	if err != nil {
		t.c.cfg.Log.Info("term_not_restated", "term", t.record.Term, "era", r.record.Era, "err", err)
		t.handleAppendError(err)
		return
	}
	t.record, t.confirmedAt, t.nextConfirm = r.record, now, now+confirmEvery
	t.storeAllTables = r.record.TablesEra != r.record.Era
	t.lease.Renumber(r.record.Term, r.sentAt, now, t.collecting)
	for _, g := range t.granters {
		g.ApplyRenumber()
	}
	t.previousTerm, t.previousEnded, t.allStopped = 0, true, false
	t.c.cfg.Log.Info("term_restated", "term", r.record.Term, "era", r.record.Era, "tables", len(r.tables))
	t.c.control.applyBatch(unknownOffset, r.batch, true, r.sentAt)
	t.applyStored(now, r.tables)
}
