package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// logSource reads records from the platform's log.
type logSource struct {
	log provider.Log
	now func() time.Duration
}

func (s *logSource) name() string { return "log" }

func (s *logSource) read(ctx context.Context, from int64, wait time.Duration) (readResult, error) {
	asOf := s.now()
	logReadsTotal.Add(1)
	b, err := s.log.Read(ctx, from, maxReadRecords, wait)
	for _, r := range b.Records {
		logReadBytes.Add(int64(len(r.Data)))
	}
	return readResult{Batch: b, asOf: asOf}, err
}

// snapshot scans the log for the newest complete snapshot.
func (s *logSource) snapshot(ctx context.Context) (*journal.State, error) {
	first, err := s.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	parts := map[string][]journal.Snapshot{}
	var newest *journal.State
	var lastErr error
	for from := first; ; {
		b, err := s.log.Read(ctx, from, maxReadRecords, 0)
		if err != nil {
			return nil, err
		}
		for _, rec := range b.Records {
			p, ok := decodeSnapshotPart(rec.Data)
			if !ok {
				continue
			}
			parts[p.SnapshotID] = append(parts[p.SnapshotID], p)
			if len(parts[p.SnapshotID]) < p.Parts {
				continue
			}
			st, err := journal.DecodeSnapshot(parts[p.SnapshotID])
			if err != nil {
				lastErr = err
			} else if st.NextOffset >= first && (newest == nil || st.NextOffset > newest.NextOffset) {
				newest = st
			}
			delete(parts, p.SnapshotID)
		}
		from += int64(len(b.Records))
		if from >= b.EndOffset || len(b.Records) == 0 {
			break
		}
	}
	if newest == nil {
		return nil, &journal.SnapshotError{Reason: "no usable snapshot on the log", Err: lastErr}
	}
	return newest, nil
}

// firstOffset returns the oldest offset that the log holds.
func (s *logSource) firstOffset(ctx context.Context) (int64, error) {
	b, err := s.log.Read(ctx, 0, 1, 0)
	return b.FirstOffset, err
}

func decodeSnapshotPart(data []byte) (journal.Snapshot, bool) {
	var env journal.Envelope
	var p journal.Snapshot
	if json.Unmarshal(data, &env) != nil || env.Kind != journal.KindSnapshot || env.FormatVersion > journal.FormatVersion {
		return p, false
	}
	if json.Unmarshal(env.Body, &p) != nil || p.Parts < 1 {
		return p, false
	}
	return p, true
}

// peerSource reads records through another entry host.
type peerSource struct {
	addr   string
	client *peer.Client
	now    func() time.Duration
}

func (s *peerSource) name() string { return "peer " + s.addr }

func (s *peerSource) read(ctx context.Context, from int64, wait time.Duration) (readResult, error) {
	sent := s.now()
	var rep RecordsReply
	err := s.client.Call(ctx, s.addr, methodRecords, RecordsRequest{From: from, Limit: maxReadRecords, WaitMS: wait.Milliseconds()}, &rep)
	if err != nil {
		return readResult{}, err
	}
	if rep.Expired {
		return readResult{}, &provider.Error{Op: "peer.records", Code: provider.CodeExpired, Detail: "peer no longer holds the records"}
	}
	got := readResult{Batch: provider.Batch{Records: rep.Records, FirstOffset: rep.First, EndOffset: rep.End}}
	if rep.AgeMS >= 0 {
		// The response was built after the request was sent, and AgeMS is rounded
		// up; so the peer's read started no earlier than the computed time.
		got.asOf = sent - time.Duration(rep.AgeMS)*time.Millisecond
	}
	return got, nil
}

func (s *peerSource) snapshot(ctx context.Context) (*journal.State, error) {
	var rep SnapshotReply
	if err := s.client.Call(ctx, s.addr, methodSnapshot, struct{}{}, &rep); err != nil {
		return nil, err
	}
	return journal.DecodeSnapshot(rep.Parts)
}
