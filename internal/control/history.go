package control

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// OutcomeUnknown implements operator.OutcomeUnknown.
func (e *AppendError) OutcomeUnknown() bool { return e.Unknown }

// Changes returns the change records that this host keeps, in the order of
// their offsets. It implements operator.HistorySource and does not need the
// log. The outcome is empty for a record whose result this host does not have.
func (c *Control) Changes(context.Context) ([]operator.ChangeRecord, error) {
	var out []operator.ChangeRecord
	seen := map[string]bool{}
	for _, rec := range c.follower.keptRecords() {
		id, ch, ok := decodeChange(rec)
		if !ok || seen[id] {
			continue
		}
		seen[id] = true
		r := operator.ChangeRecord{Offset: rec.Offset, Change: ch}
		if res, ok := c.follower.result(id); ok {
			r.Outcome = res.Outcome
		}
		if r.Outcome == journal.OutcomeApplied {
			r.Version = ch.FromVersion + 1
		}
		out = append(out, r)
	}
	return out, nil
}

// decodeChange decodes a change record; ok is false for other records and for
// those that it cannot decode.
func decodeChange(rec provider.Record) (id string, ch contract.Change, ok bool) {
	var env journal.Envelope
	if json.Unmarshal(rec.Data, &env) != nil || env.Kind != journal.KindChange || env.FormatVersion > journal.FormatVersion {
		return "", ch, false
	}
	return env.ID, ch, json.Unmarshal(env.Body, &ch) == nil
}

// keptRecords returns all records that the host keeps.
func (f *Follower) keptRecords() []provider.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.recentRecords)
}
