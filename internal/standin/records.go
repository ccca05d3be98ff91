package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RunOutcome is how a run ended.
type RunOutcome string

// Outcomes of runs.
const (
	// RunEffect: the run took effect at the end of the record.
	RunEffect RunOutcome = "effect"
	// RunCancelled: the caller went away before the run took effect.
	RunCancelled RunOutcome = "cancelled"
	// RunDeadline: the deadline passed before the run took effect.
	RunDeadline RunOutcome = "deadline"
	// RunNotOwner: ownership was lost before the run took effect.
	RunNotOwner RunOutcome = "not_owner"
)

// EventKind classifies what happened to a target.
type EventKind string

// Events of a target.
const (
	EventStart EventKind = "start"
	// EventLeaving: the target started to leave.
	EventLeaving EventKind = "leaving"
	// EventCold: the target became cold.
	EventCold EventKind = "cold"
	// EventFallOver: the target was flooded while cold and refuses everything.
	EventFallOver EventKind = "fall_over"
	// EventShed: a request exceeded what the target bears.
	EventShed EventKind = "shed"
	// EventShedCold: the same while the target was cold.
	EventShedCold EventKind = "shed_cold"
	// EventConnection: a connection exceeded the limit and was closed.
	EventConnection EventKind = "connection_limit"
	// EventNotOwner: a request was refused because its shard is not held.
	EventNotOwner EventKind = "refused_not_owner"
	// EventRefusedLeaving: a request was refused because the target leaves.
	EventRefusedLeaving EventKind = "refused_leaving"
)

// Record is one line of a target's records: a run when Outcome is set, else an
// event.
type Record struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Seq counts the records of the incarnation from 1 on.
	Seq int64 `json:"seq"`

	Outcome   RunOutcome `json:"outcome,omitempty"`
	RequestID string     `json:"request_id,omitempty"`
	// Tag is the caller's own mark of one request: query parameter "tag".
	Tag      string `json:"tag,omitempty"`
	Method   string `json:"method,omitempty"`
	Workload string `json:"workload,omitempty"`
	Key      string `json:"key,omitempty"`
	Shard    int32  `json:"shard,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	Customer string `json:"customer,omitempty"`
	// StartMono and EndMono are on the boot-time clock, in nanoseconds.
	StartMono int64 `json:"start_mono"`
	EndMono   int64 `json:"end_mono"`
	// StartWall is the wall clock at the start.
	StartWall time.Time `json:"start_wall"`
	// Running is the number of runs at the start of this one, itself included.
	Running int `json:"running,omitempty"`

	Event EventKind `json:"event,omitempty"`
}

// Recorder keeps records in order.
type Recorder struct {
	mu      sync.Mutex
	records []Record
	seq     int64
	out     io.Writer
	keep    bool
	failed  error
}

// NewRecorder returns a recorder that also writes JSON lines to out unless it
// is nil. With an out, records are kept in memory only when keep is set.
func NewRecorder(out io.Writer, keep bool) *Recorder {
	return &Recorder{out: out, keep: keep || out == nil}
}

// Add appends a record. The line is written before Add returns.
func (r *Recorder) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	rec.Seq = r.seq
	if r.keep {
		r.records = append(r.records, rec)
	}
	if r.out == nil {
		return
	}
	line, err := json.Marshal(rec)
	if err == nil {
		_, err = r.out.Write(append(line, '\n'))
	}
	if err != nil && r.failed == nil {
		r.failed = err
	}
}

// Since returns the records after sequence number seq.
func (r *Recorder) Since(seq int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(max(0, seq), int64(len(r.records)))
	return append([]Record{}, r.records[n:]...)
}

// Err returns the first failure to write a record.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}
