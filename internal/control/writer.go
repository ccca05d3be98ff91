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
	// Unknown is true when the record may still come into force.
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

// PassedError says that a host went past a record without learning what it
// did: the record is part of a snapshot that the host has loaded.
type PassedError struct{ Offset int64 }

// Error implements error.
func (e *PassedError) Error() string {
	return fmt.Sprintf("the record at offset %d is on the log, but its result was not seen", e.Offset)
}

// Writer appends records and waits until this host has read them back.
type Writer struct {
	log      provider.Log
	follower *Follower
	limit    time.Duration
	prefix   string
	seq      atomic.Uint64
}

// appendPause is the pause before an append is tried again.
const appendPause = 30 * time.Millisecond

// Append writes a record and returns what it did once it has been read back.
// After a lost answer it looks for the record on the log before it appends
// again, with the same identifier, so that a copy that arrives late is
// ignored by the fold. It fails with *AppendError.
func (w *Writer) Append(ctx context.Context, kind journal.Kind, body any) (journal.Result, error) {
	id := fmt.Sprintf("%s-%d", w.prefix, w.seq.Add(1))
	data, err := journal.Encode(id, kind, body)
	if err != nil {
		return journal.Result{}, &AppendError{ID: id, Kind: kind, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, w.limit)
	defer cancel()
	return w.append(ctx, id, kind, data)
}

func (w *Writer) append(ctx context.Context, id string, kind journal.Kind, data []byte) (journal.Result, error) {
	maybe := false
	for {
		since := w.follower.now()
		offset, err := w.log.Append(ctx, data)
		if err == nil {
			appendsTotal.Add(string(kind), 1)
			return w.readBack(ctx, id, kind, offset)
		}
		var pe *provider.Error
		if !errors.As(err, &pe) || pe.Code == provider.CodeUnknownOutcome {
			maybe = true
		}
		appendsTotal.Add("failed", 1)
		if res, ok := w.find(ctx, id, since); ok {
			return res, nil
		}
		select {
		case <-ctx.Done():
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: maybe, Err: err}
		case <-time.After(appendPause):
		}
	}
}

// readBack waits until the follower has applied the record.
func (w *Writer) readBack(ctx context.Context, id string, kind journal.Kind, offset int64) (journal.Result, error) {
	for {
		ch := w.follower.changed()
		res, ok, passed := w.follower.outcome(id, offset)
		if ok {
			return res, nil
		}
		if passed {
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: true, Err: &PassedError{Offset: offset}}
		}
		select {
		case <-ctx.Done():
			return journal.Result{}, &AppendError{ID: id, Kind: kind, Unknown: true, Err: ctx.Err()}
		case <-ch:
		}
	}
}

// find waits until the log has been read to its end as of a time after the
// append, and then says whether the record is there.
func (w *Writer) find(ctx context.Context, id string, since time.Duration) (journal.Result, bool) {
	for ctx.Err() == nil {
		if res, ok := w.follower.result(id); ok {
			return res, true
		}
		if w.follower.Position().ReadAsOf > since {
			return w.follower.result(id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(appendPause):
		}
	}
	return journal.Result{}, false
}
