package control

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// AppendError says that a record was not accepted or that its outcome is unknown.
type AppendError struct {
	ID   string
	Kind journal.Kind
	// Unknown is true when the record may still take effect.
	Unknown bool
	Err     error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("append of %s record %s: outcome unknown: %v", e.Kind, e.ID, e.Err)
	}
	return fmt.Sprintf("append of %s record %s: not accepted: %v", e.Kind, e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// ResultMissedError says that this host passed a record without learning its
// result, since it loaded a snapshot that includes the record.
type ResultMissedError struct{ Offset int64 }

// Error implements error.
func (e *ResultMissedError) Error() string {
	return fmt.Sprintf("the record at offset %d is on the log, but its result is unknown", e.Offset)
}

// Writer appends records and waits until this host has applied them.
type Writer struct {
	log      provider.Log
	follower *Follower
	timeout  time.Duration
	idPrefix string
	seq      atomic.Uint64
}

// appendRetryDelay is the delay before an append is repeated.
const appendRetryDelay = 30 * time.Millisecond

// Append writes a record and returns its result once this host has applied it.
// After an append that failed or whose response was lost, it looks for the record
// on the log before it appends it again. It reuses the identifier, so that
// journal.State ignores a late copy. Its errors are of type *AppendError.
func (w *Writer) Append(ctx context.Context, kind journal.Kind, body any) (journal.Result, error) {
	id := fmt.Sprintf("%s-%d", w.idPrefix, w.seq.Add(1))
	data, err := journal.Encode(id, kind, body)
	if err != nil {
		return journal.Result{}, &AppendError{ID: id, Kind: kind, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	return w.append(ctx, id, kind, data)
}

func (w *Writer) append(ctx context.Context, id string, kind journal.Kind, data []byte) (journal.Result, error) {
	outcomeUnknown := false
	for {
		since := w.follower.now()
		offset, err := w.log.Append(ctx, data)
		if err == nil {
			appendsTotal.Add(string(kind), 1)
			return w.readBack(ctx, id, kind, offset)
		}
		var pe *provider.Error
		if !errors.As(err, &pe) || pe.Code == provider.CodeUnknownOutcome {
			outcomeUnknown = true
		}
		appendsTotal.Add("failed", 1)
		if res, ok := w.findRecord(ctx, id, since); ok {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: outcomeUnknown, Err: err}
		case <-time.After(appendRetryDelay):
		}
	}
}

// readBack waits until the follower has applied the record at an offset.
func (w *Writer) readBack(ctx context.Context, id string, kind journal.Kind, offset int64) (journal.Result, error) {
	for {
		ch := w.follower.changed()
		res, ok, passed := w.follower.outcome(id, offset)
		if ok {
			return res, nil
		}
		if passed {
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: true, Err: &ResultMissedError{Offset: offset}}
		}
		select {
		case <-ctx.Done():
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: true, Err: ctx.Err()}
		case <-ch:
		}
	}
}

// findRecord waits until the log has been read to its end as of a time after
// since, and returns the record's result if the record is on the log.
func (w *Writer) findRecord(ctx context.Context, id string, since time.Duration) (journal.Result, bool) {
	for ctx.Err() == nil {
		if res, ok := w.follower.result(id); ok {
			return res, true
		}
		if w.follower.Position().ReadAsOf > since {
			return w.follower.result(id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(appendRetryDelay):
		}
	}
	return journal.Result{}, false
}
