package coordinator

import (
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// A store that returns from a copy lacks records that were in force. Their writers write
// them again within seconds; until then, hosts go by what they remember, and the leader
// tells it to hosts that start.

// rememberFor bounds the time for which a remembered record replaces what the store has. A
// writer that has not written again by then has changed its mind.
const rememberFor = 30 * time.Second

// rememberedRecord is a record that the store lost.
type rememberedRecord struct {
	// record has no value when the store has a record that was deleted.
	record platform.Record
	// replaces is the offset of the older record that the store has, or unknownOffset.
	replaces int64
	until    time.Duration
}

// recordOrder tells which records of a topic a host goes by after a restore.
type recordOrder struct {
	// newer reports whether a remembered record is newer than the store's record of the key.
	newer func(remembered, stored platform.Record) bool
	// missing reports whether a remembered record stays in force that the store does not have.
	missing func(remembered platform.Record) bool
}

// orders has the order of each topic whose records others write.
var orders = map[string]recordOrder{
	platform.TopicOperator: {
		newer:   platform.NewerDesiredState,
		missing: func(platform.Record) bool { return true },
	},
	// Targets that the store does not have are kept for a grace period by package fleet.
	platform.TopicTargets: {
		newer:   func(m, s platform.Record) bool { return len(m.Value) == 0 || platform.NewerAnnouncement(m, s) },
		missing: func(platform.Record) bool { return false },
	},
}

// remember chooses, at the first reading of a new era, the remembered records to go by;
// f.applyMu is held.
func (f *follower) remember(now time.Duration, b platform.Batch) {
	order, ok := orders[f.topic]
	if !ok {
		return
	}
	known := f.state.newest
	for key, r := range f.remembered {
		known[key] = r.record
	}
	f.remembered = map[string]rememberedRecord{}
	stored := map[string]platform.Record{}
	for _, r := range b.Records {
		stored[r.Key] = r
	}
	for key, r := range known {
		x := rememberedRecord{record: r, replaces: unknownOffset, until: now + rememberFor}
		// Later records of the key have higher offsets.
		x.record.Offset = b.NextOffset - 1
		if s, ok := stored[key]; ok && order.newer(r, s) {
			x.replaces = s.Offset
			f.remembered[key] = x
		} else if !ok && len(r.Value) > 0 && order.missing(r) {
			f.remembered[key] = x
		}
	}
	if len(f.remembered) > 0 {
		f.c.cfg.Log.Info("records_remembered", "topic", f.topic, "era", b.Era, "records", len(f.remembered))
	}
}

// withRemembered returns all records of a topic with the remembered ones in place of those
// that they replace. It forgets those that were written again. f.applyMu is held.
func (f *follower) withRemembered(records []platform.Record) []platform.Record {
	if len(f.remembered) == 0 {
		return records
	}
	var out []platform.Record
	for _, r := range records {
		x, ok := f.remembered[r.Key]
		if ok && r.Offset != x.replaces && r.Offset != x.record.Offset {
			delete(f.remembered, r.Key)
			ok = false
		}
		if !ok {
			out = append(out, r)
		}
	}
	for _, x := range f.remembered {
		out = append(out, x.record)
	}
	return out
}

// forgetRewritten forgets remembered records of which later ones were read; f.applyMu is
// held.
func (f *follower) forgetRewritten(records []platform.Record) {
	for _, r := range records {
		delete(f.remembered, r.Key)
	}
}

// forgetExpired forgets remembered records after rememberFor. The store is read anew, on
// the leader for all hosts.
func (f *follower) forgetExpired(now time.Duration) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	expired := false
	for key, x := range f.remembered {
		if now >= x.until {
			delete(f.remembered, key)
			f.c.cfg.Log.Info("record_forgotten", "topic", f.topic, "key", key, "reason", "not written again after a restore")
			expired = true
		}
	}
	if expired {
		f.resetPosition()
	}
}

// takeRemembered takes over the remembered records of a full relay that this host does not
// remember itself, and reports whether there were any; f.applyMu is held.
func (f *follower) takeRemembered(m relayMessage, records []platform.Record) (taken bool) {
	replaces := map[string]int64{}
	for _, r := range m.Records {
		if r.Replaces != nil {
			replaces[r.Key] = *r.Replaces
		}
	}
	until := boottime.Now() + rememberFor
	for _, r := range records {
		offset, ok := replaces[r.Key]
		if _, known := f.remembered[r.Key]; ok && !known {
			f.remembered[r.Key] = rememberedRecord{record: r, replaces: offset, until: until}
			taken = true
		}
	}
	return taken
}
