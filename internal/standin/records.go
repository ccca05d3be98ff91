package standin

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RunOutcome is how a run of a request ended.
type RunOutcome string

// Outcomes of runs.
const (
	// RunEffect: the run took effect at the end time of its record.
	RunEffect RunOutcome = "effect"
	// RunCancelled: the caller disconnected or the target restarted before the
	// run took effect.
	RunCancelled RunOutcome = "cancelled"
	// RunDeadline: the deadline passed before the run took effect.
	RunDeadline RunOutcome = "deadline"
	// RunNotOwner: the target lost ownership before the run took effect.
	RunNotOwner RunOutcome = "not_owner"
)

// EventKind is the kind of an event of a target.
type EventKind string

// Events of a target.
const (
	EventStart EventKind = "start"
	// EventLeaving: the target announced that it leaves.
	EventLeaving EventKind = "leaving"
	// EventCold: the target became cold.
	EventCold EventKind = "cold"
	// EventFallOver: the target was overloaded while cold and refuses everything.
	EventFallOver EventKind = "fall_over"
	// EventShed: a request exceeded the capacity of the target.
	EventShed EventKind = "shed"
	// EventShedCold: a request exceeded the capacity while the target was cold.
	EventShedCold EventKind = "shed_cold"
	// EventConnection: a connection exceeded the limit, and the target closed it.
	EventConnection EventKind = "connection_limit"
	// EventNotOwner: the target refused a request because it does not own the shard.
	EventNotOwner EventKind = "refused_not_owner"
	// EventRefusedLeaving: the target refused a request because it leaves.
	EventRefusedLeaving EventKind = "refused_leaving"
)

// Record is one record of a target: a run of a request when Outcome is set, else
// an event.
type Record struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Seq counts the records of the incarnation from 1 on.
	Seq int64 `json:"seq"`

	Outcome   RunOutcome `json:"outcome,omitempty"`
	RequestID string     `json:"request_id,omitempty"`
	// Tag is the value by which the caller identifies one request: query
	// parameter "tag".
	Tag      string `json:"tag,omitempty"`
	Method   string `json:"method,omitempty"`
	Workload string `json:"workload,omitempty"`
	Key      string `json:"key,omitempty"`
	Shard    int32  `json:"shard,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	Customer string `json:"customer,omitempty"`
	// StartMono and EndMono are boot-time clock readings, in nanoseconds.
	StartMono int64 `json:"start_mono"`
	EndMono   int64 `json:"end_mono"`
	// StartWall is the wall-clock time at the start.
	StartWall time.Time `json:"start_wall"`
	// Running is the number of concurrent runs at the start, this one included.
	Running int `json:"running,omitempty"`

	Event EventKind `json:"event,omitempty"`
}

// Recorder stores the records of a target in order.
type Recorder struct {
	mu       sync.Mutex
	records  []Record
	seq      int64
	out      io.Writer
	inMemory bool
	writeErr error
}

// NewRecorder returns a recorder that writes JSON lines to out unless it is nil.
// With an out, it keeps records in memory only when keepInMemory is set.
func NewRecorder(out io.Writer, keepInMemory bool) *Recorder {
	return &Recorder{out: out, inMemory: keepInMemory || out == nil}
}

// Add numbers and appends a record. It writes the line before it returns; Err
// reports a failed write.
func (r *Recorder) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	rec.Seq = r.seq
	if r.inMemory {
		r.records = append(r.records, rec)
	}
	if r.out == nil {
		return
	}
	line, err := json.Marshal(rec)
	if err == nil {
		_, err = r.out.Write(append(line, '\n'))
	}
	if err != nil && r.writeErr == nil {
		r.writeErr = err
	}
}

// Since returns the records in memory after sequence number seq.
func (r *Recorder) Since(seq int64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(max(0, seq), int64(len(r.records)))
	return append([]Record{}, r.records[n:]...)
}

// Err returns the first error of writing a record.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeErr
}
