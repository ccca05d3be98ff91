package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// MaxRecentRecords is the number of records that a host keeps for peers that
// read through it and for Control.Changes.
const MaxRecentRecords = 8192

// maxReadRecords is the largest number of records that one read requests.
const maxReadRecords = 1024

// readRetryDelay is the delay after all sources failed or had nothing new.
const readRetryDelay = 50 * time.Millisecond

// readResult is the result of a read from a source.
type readResult struct {
	provider.Batch
	// asOf is a time on this host's clock at which the log held no record from
	// End on; zero when unknown.
	asOf time.Duration
}

// source reads records from the log or through a peer.
type source interface {
	name() string
	read(ctx context.Context, from int64, wait time.Duration) (readResult, error)
	// snapshot returns a state to start from when the source no longer holds the
	// requested records.
	snapshot(ctx context.Context) (*journal.State, error)
}

// Position is how far a host has read the log.
type Position struct {
	// Next is the offset of the next record to apply.
	Next int64
	// ReadAsOf is the latest time as of which the host has read the log to its
	// end; zero before the first such read.
	ReadAsOf time.Duration
	// Source is the name of the source of the last read.
	Source string
	// First is the oldest offset that the log held at the last direct read.
	First int64
	// LogReachable is true when this host's last direct read succeeded.
	LogReachable bool
}

// Follower reads the log and applies its records to a journal.State. It
// implements suture.Service.
type Follower struct {
	now func() time.Duration
	// readWait returns how long a read waits for new records.
	readWait func() time.Duration
	log      hclog.Logger
	sources  func() []source
	// onState is called with each new state, which the Follower does not modify
	// afterwards.
	onState func(*journal.State)
	// onLogRead is called after each read that reaches the end of the log.
	onLogRead func(asOf time.Duration)

	mu            sync.Mutex
	state         *journal.State
	recentRecords []provider.Record
	pos           Position
	changedCh     chan struct{}
	// results holds the results of recently applied records by identifier.
	results     map[string]journal.Result
	resultOrder []string
}

func newFollower(now func() time.Duration, wait func() time.Duration, log hclog.Logger) *Follower {
	return &Follower{
		now: now, readWait: wait, log: log, state: journal.NewState(),
		changedCh: make(chan struct{}), results: map[string]journal.Result{},
		pos: Position{Next: journal.FirstOffset},
	}
}

// Serve reads records until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.readOnce(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}
		}
	}
	return ctx.Err()
}

// readOnce reads from the first source that provides something new: records, or
// a later time as of which the log was read to its end. A response without
// news is not enough: it may come from a peer that cannot reach the log either,
// while a peer of another domain can.
func (f *Follower) readOnce(ctx context.Context) bool {
	for i, src := range f.sources() {
		next := f.Position().Next
		got, err := f.readFrom(ctx, src, next)
		f.noteLogReachability(src, err)
		if err != nil {
			readFailures.Add(1)
			if i == 0 && f.log.IsDebug() {
				f.log.Debug("failed to read records", "source", src.name(), "offset", next, "error", err)
			}
			continue
		}
		if f.apply(src, got) {
			return true
		}
	}
	return false
}

func (f *Follower) readFrom(ctx context.Context, src source, next int64) (readResult, error) {
	wait := f.readWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	got, err := src.read(ctx, next, wait)
	var pe *provider.Error
	if errors.As(err, &pe) && pe.Code == provider.CodeExpired {
		return f.fromSnapshot(ctx, src)
	}
	return got, err
}

// readTimeoutMargin is how much longer than its wait a read may take.
const readTimeoutMargin = 350 * time.Millisecond

// fromSnapshot replaces the state by a newer snapshot and reads the records that
// follow it.
func (f *Follower) fromSnapshot(ctx context.Context, src source) (readResult, error) {
	st, err := src.snapshot(ctx)
	if err != nil {
		snapshotsTotal.Add("failed", 1)
		return readResult{}, err
	}
	f.mu.Lock()
	newer := st.NextOffset > f.state.NextOffset
	if newer {
		f.state = st
		f.recentRecords = nil
	}
	f.mu.Unlock()
	if !newer {
		return readResult{}, &journal.SnapshotError{Reason: "snapshot is not newer than the state"}
	}
	// Publish the state now, since it may be long before a record follows the
	// snapshot.
	f.onState(st.Clone())
	f.mu.Lock()
	f.pos.Next = st.NextOffset
	f.mu.Unlock()
	f.notifyChanged()
	snapshotsTotal.Add("loaded", 1)
	f.log.Info("snapshot loaded", "source", src.name(), "offset", st.NextOffset)
	return src.read(ctx, st.NextOffset, 0)
}

func (f *Follower) noteLogReachability(src source, err error) {
	if _, direct := src.(*logSource); !direct {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pos.LogReachable != (err == nil) {
		f.log.Info("log reachability changed", "reachable", err == nil)
	}
	f.pos.LogReachable = err == nil
}

// apply applies a batch and publishes the state when it has changed. It reports
// whether the batch had anything new.
func (f *Follower) apply(src source, got readResult) bool {
	newState, results := f.applyRecords(src, got.Records)
	if newState != nil {
		f.onState(newState)
	}
	// The position and the results become visible only now: while this host acts
	// on an older state, no reader may see that it has read the record.
	atEnd := f.advance(src, got, results)
	if newState != nil {
		f.notifyChanged()
	}
	if atEnd {
		f.onLogRead(got.asOf)
	}
	return newState != nil || atEnd
}

// applyRecords applies records and returns their results and a copy of the new
// state, which is nil when no record was new.
func (f *Follower) applyRecords(src source, records []provider.Record) (*journal.State, []journal.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var results []journal.Result
	for _, rec := range records {
		res, err := f.state.Apply(rec.Offset, rec.Data)
		if err != nil {
			f.log.Warn("source returned records with a gap", "source", src.name(), "error", err)
			break
		}
		if res.Outcome == journal.OutcomeAlreadyApplied {
			continue
		}
		results = append(results, res)
		f.logResult(res)
		f.recentRecords = append(f.recentRecords, rec)
		if len(f.recentRecords) > MaxRecentRecords {
			f.recentRecords = append([]provider.Record(nil), f.recentRecords[MaxRecentRecords/4:]...)
		}
	}
	if len(results) == 0 {
		return nil, nil
	}
	return f.state.Clone(), results
}

// advance publishes the position and the results of the applied records. It
// reports whether the log was read to its end as of a later time than before.
func (f *Follower) advance(src source, got readResult, results []journal.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, res := range results {
		f.keepResult(res)
	}
	f.pos.Next = f.state.NextOffset
	f.pos.Source = src.name()
	if _, direct := src.(*logSource); direct {
		f.pos.First = got.FirstOffset
	}
	atEnd := f.state.NextOffset >= got.EndOffset && got.asOf > f.pos.ReadAsOf
	if atEnd {
		f.pos.ReadAsOf = got.asOf
	}
	return atEnd
}

func (f *Follower) keepResult(res journal.Result) {
	if res.ID == "" || res.Outcome == journal.OutcomeDuplicate {
		return
	}
	f.results[res.ID] = res
	f.resultOrder = append(f.resultOrder, res.ID)
	if len(f.resultOrder) > journal.MaxRecentIDs {
		delete(f.results, f.resultOrder[0])
		f.resultOrder = f.resultOrder[1:]
	}
}

func (f *Follower) logResult(res journal.Result) {
	recordsTotal.Add(string(res.Outcome), 1)
	switch res.Outcome {
	case journal.OutcomeSkipped:
		f.log.Warn("record skipped", "offset", res.Offset, "kind", res.Kind, "error", res.Err)
	case journal.OutcomeRefused, journal.OutcomePartial:
		f.log.Info("record refused", "offset", res.Offset, "kind", res.Kind, "outcome", res.Outcome, "error", res.Err)
	default:
		f.log.Debug("record applied", "offset", res.Offset, "kind", res.Kind, "outcome", res.Outcome)
	}
}

func (f *Follower) notifyChanged() {
	f.mu.Lock()
	old := f.changedCh
	f.changedCh = make(chan struct{})
	f.mu.Unlock()
	close(old)
}

// Position returns how far the host has read the log.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos
}

// Snapshot returns a copy of the current state.
func (f *Follower) Snapshot() *journal.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Clone()
}

// result returns the result of a recently applied record.
func (f *Follower) result(id string) (journal.Result, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res, ok := f.results[id]
	return res, ok
}

// outcome returns the result of a record, and whether the position is past its
// offset. It reads both under one lock: a record that is applied between two
// separate reads would look as if it had been passed without a result.
func (f *Follower) outcome(id string, offset int64) (res journal.Result, ok, passed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res, ok = f.results[id]
	return res, ok, f.pos.Next > offset
}

// changed returns a channel that is closed when more records are applied.
func (f *Follower) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedCh
}

// recordsFrom returns recent records from an offset on, and whether the host
// still keeps the one at that offset.
func (f *Follower) recordsFrom(from int64, limit int) ([]provider.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from >= f.state.NextOffset {
		return nil, true
	}
	if len(f.recentRecords) == 0 || from < f.recentRecords[0].Offset {
		return nil, false
	}
	i := int(from - f.recentRecords[0].Offset)
	end := min(i+limit, len(f.recentRecords))
	return append([]provider.Record(nil), f.recentRecords[i:end]...), true
}
