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

// RecentRecords is how many records a host keeps to answer peers that cannot
// read the log.
const RecentRecords = 8192

// readLimit is the most records asked for in one read.
const readLimit = 1024

// retryPause is the pause after a failed read.
const retryPause = 50 * time.Millisecond

// fetched is the answer of a record source.
type fetched struct {
	provider.Batch
	// asOf is a time on this host's clock at or before the moment the source
	// had read the log to End.
	asOf time.Duration
}

// source reads records, from the log or through a peer.
type source interface {
	name() string
	read(ctx context.Context, from int64, wait time.Duration) (fetched, error)
	// snapshot returns a state to start from when the records at an offset
	// are no longer held.
	snapshot(ctx context.Context) (*journal.State, error)
}

// Position says how far a host has read.
type Position struct {
	// Next is the offset of the next record to apply.
	Next int64
	// ReadAsOf is the latest time at which the host is known to have read the
	// log to its end; zero when never.
	ReadAsOf time.Duration
	// Source names where the last records came from.
	Source string
	// First is the oldest offset that the log held at the last direct read.
	First int64
	// LogReachable says whether this host's last direct read succeeded.
	LogReachable bool
}

// Follower folds the log. Its Serve is a suture service.
type Follower struct {
	now func() time.Duration
	// wait returns how long a read waits for new records.
	wait    func() time.Duration
	log     hclog.Logger
	sources func() []source
	// published is called with a new state, which the Follower no longer changes.
	published func(*journal.State)
	// complete is called after each read to the end of the log.
	complete func(asOf time.Duration)

	mu     sync.Mutex
	state  *journal.State
	recent []provider.Record
	pos    Position
	change chan struct{}
	// results holds the outcome of recently applied records by identifier.
	results map[string]journal.Result
	order   []string
}

func newFollower(now func() time.Duration, wait func() time.Duration, log hclog.Logger) *Follower {
	return &Follower{
		now: now, wait: wait, log: log, state: journal.NewState(),
		change: make(chan struct{}), results: map[string]journal.Result{},
		pos: Position{Next: journal.FirstOffset},
	}
}

// Serve reads records until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.readOnce(ctx) {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
	}
	return ctx.Err()
}

// readOnce reads from the first source that brings something new: records, or
// a later time as of which the log was read to its end. A peer that is cut off
// from the log itself answers too, and would hide one of another domain that
// is not.
func (f *Follower) readOnce(ctx context.Context) bool {
	for i, src := range f.sources() {
		next := f.Position().Next
		got, err := f.readFrom(ctx, src, next)
		f.noteSource(src, err)
		if err != nil {
			readFailures.Add(1)
			if i == 0 && f.log.IsDebug() {
				f.log.Debug("read failed", "source", src.name(), "offset", next, "error", err)
			}
			continue
		}
		if f.apply(src, got) {
			return true
		}
	}
	return false
}

func (f *Follower) readFrom(ctx context.Context, src source, next int64) (fetched, error) {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	got, err := src.read(ctx, next, wait)
	var pe *provider.Error
	if errors.As(err, &pe) && pe.Code == provider.CodeExpired {
		return f.fromSnapshot(ctx, src)
	}
	return got, err
}

// readTimeout is how much longer than its wait a read may take.
const readTimeout = 350 * time.Millisecond

// fromSnapshot replaces the state by a newer one and reads on from there.
func (f *Follower) fromSnapshot(ctx context.Context, src source) (fetched, error) {
	st, err := src.snapshot(ctx)
	if err != nil {
		snapshotsTotal.Add("failed", 1)
		return fetched{}, err
	}
	f.mu.Lock()
	newer := st.NextOffset > f.state.NextOffset
	if newer {
		f.state = st
		f.recent = nil
	}
	f.mu.Unlock()
	if !newer {
		return fetched{}, &journal.SnapshotError{Reason: "snapshot is older than the state"}
	}
	// There may be no record after the snapshot for a long time.
	f.published(st.Clone())
	f.mu.Lock()
	f.pos.Next = st.NextOffset
	f.mu.Unlock()
	f.wake()
	snapshotsTotal.Add("loaded", 1)
	f.log.Info("snapshot loaded", "source", src.name(), "offset", st.NextOffset)
	return src.read(ctx, st.NextOffset, 0)
}

func (f *Follower) noteSource(src source, err error) {
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

// apply folds a batch and publishes the state when it has changed. It reports
// whether the batch brought anything new.
func (f *Follower) apply(src source, got fetched) bool {
	pub, results := f.fold(src, got.Records)
	if pub != nil {
		f.published(pub)
	}
	// The position and the results are shown only now: who sees that a record
	// was read must not find this host acting by the state before it.
	atEnd := f.advance(src, got, results)
	if pub != nil {
		f.wake()
	}
	if atEnd {
		f.complete(got.asOf)
	}
	return pub != nil || atEnd
}

// fold applies records and returns a copy of the new state, nil when nothing
// was new, with their results.
func (f *Follower) fold(src source, records []provider.Record) (*journal.State, []journal.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var results []journal.Result
	for _, rec := range records {
		res, err := f.state.Apply(rec.Offset, rec.Data)
		if err != nil {
			f.log.Warn("records missing", "source", src.name(), "error", err)
			break
		}
		if res.Outcome == journal.OutcomeAlreadyApplied {
			continue
		}
		results = append(results, res)
		f.logResult(res)
		f.recent = append(f.recent, rec)
		if len(f.recent) > RecentRecords {
			f.recent = append([]provider.Record(nil), f.recent[RecentRecords/4:]...)
		}
	}
	if len(results) == 0 {
		return nil, nil
	}
	return f.state.Clone(), results
}

// advance shows the position and the results of what was folded, and reports
// whether the log was read to its end later than before.
func (f *Follower) advance(src source, got fetched, results []journal.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, res := range results {
		f.keep(res)
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

func (f *Follower) keep(res journal.Result) {
	if res.ID == "" || res.Outcome == journal.OutcomeDuplicate {
		return
	}
	f.results[res.ID] = res
	f.order = append(f.order, res.ID)
	if len(f.order) > journal.MaxRecentIDs {
		delete(f.results, f.order[0])
		f.order = f.order[1:]
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

func (f *Follower) wake() {
	f.mu.Lock()
	old := f.change
	f.change = make(chan struct{})
	f.mu.Unlock()
	close(old)
}

// Position returns how far the host has read.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pos
}

// Snapshot returns a copy of the state as of now.
func (f *Follower) Snapshot() *journal.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Clone()
}

// result returns the outcome of a record that was applied lately.
func (f *Follower) result(id string) (journal.Result, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	res, ok := f.results[id]
	return res, ok
}

// outcome returns the result of a record, and whether the state has gone past
// its offset. Both are read together: a record that is applied between two
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
	return f.change
}

// held returns the kept records from an offset on, and whether they are all there.
func (f *Follower) held(from int64, limit int) ([]provider.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from >= f.state.NextOffset {
		return nil, true
	}
	if len(f.recent) == 0 || from < f.recent[0].Offset {
		return nil, false
	}
	i := int(from - f.recent[0].Offset)
	end := min(i+limit, len(f.recent))
	return append([]provider.Record(nil), f.recent[i:end]...), true
}
