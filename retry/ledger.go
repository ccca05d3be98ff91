package retry

import "time"

// LedgerConfig holds the settings of a Ledger. A zero field takes its default.
type LedgerConfig struct {
	// Window is the minimum time for which an identifier is remembered, unless
	// Capacity is reached earlier. Default: 10 min.
	Window time.Duration
	// Capacity is the number of identifiers that are remembered, rounded up to a
	// multiple of SegmentSize. Default: 1,000,000.
	Capacity int
}

// SegmentSize is the number of identifiers that expire together.
const SegmentSize = 4096

// States of an identifier, two bits each.
const (
	stateIssued     = 0
	stateInFlight   = 1
	stateRan        = 2
	stateMayHaveRun = 3
)

const statesPerWord = 32

// segment holds the states of SegmentSize successive identifiers.
type segment struct {
	states [SegmentSize / statesPerWord]uint64
	// lastIssue is when the newest identifier of the segment was issued.
	lastIssue time.Duration
}

// Ledger records the states of the identifiers that this incarnation of the host
// has issued. Sequence numbers start at 1. It is not safe for concurrent use.
type Ledger struct {
	cfg      LedgerConfig
	segments []*segment
	// next is the sequence number to issue next, oldest the lowest one remembered.
	next, oldest uint64
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Minute
	}
	if cfg.Capacity <= 0 {
		cfg.Capacity = 1_000_000
	}
	n := (cfg.Capacity + SegmentSize - 1) / SegmentSize
	return &Ledger{cfg: cfg, segments: make([]*segment, n+1), next: 1, oldest: 1}
}

// Issue returns a new sequence number.
func (l *Ledger) Issue(now time.Duration) uint64 {
	seq := l.next
	i := seq / SegmentSize
	slot := int(i % uint64(len(l.segments)))
	if seq%SegmentSize == 0 || l.segments[slot] == nil {
		if i >= uint64(len(l.segments)) {
			l.oldest = max(l.oldest, (i-uint64(len(l.segments))+1)*SegmentSize)
		}
		if l.segments[slot] == nil {
			l.segments[slot] = &segment{}
		} else {
			*l.segments[slot] = segment{}
		}
	}
	l.segments[slot].lastIssue = now
	l.next++
	return seq
}

func (l *Ledger) segment(seq uint64) *segment {
	return l.segments[int(seq/SegmentSize%uint64(len(l.segments)))]
}

func (s *segment) get(seq uint64) uint64 {
	i := seq % SegmentSize
	return s.states[i/statesPerWord] >> (i % statesPerWord * 2) & 3
}

func (s *segment) set(seq, state uint64) {
	i := seq % SegmentSize
	shift := i % statesPerWord * 2
	s.states[i/statesPerWord] = s.states[i/statesPerWord]&^(3<<shift) | state<<shift
}

// Admission is the ledger's decision about a request with an identifier.
type Admission uint8

// Admissions.
const (
	// AdmissionGranted: nothing with this identifier has run; run it, and call Finish.
	AdmissionGranted Admission = iota + 1
	// AdmissionInFlight: a request with this identifier is in flight.
	AdmissionInFlight
	// AdmissionRan: a request with this identifier has run.
	AdmissionRan
	// AdmissionMayHaveRun: a request with this identifier may have run.
	AdmissionMayHaveRun
	// AdmissionExpired: the identifier has expired; its request may have run.
	AdmissionExpired
	// AdmissionUnknown: the identifier has not been issued.
	AdmissionUnknown
)

// Error returns what the caller receives, or nil for AdmissionGranted.
func (adm Admission) Error() *Error {
	switch adm {
	case AdmissionGranted:
		return nil
	case AdmissionInFlight:
		return NewError(CodeDuplicate)
	case AdmissionRan:
		return NewError(CodeAlreadyDone)
	case AdmissionMayHaveRun:
		return NewError(CodeAlreadyDone).WithOutcome(MayHaveRun)
	case AdmissionExpired:
		return NewError(CodeRequestIDExpired)
	}
	return NewError(CodeBadRequestID)
}

// Begin decides whether the request with a sequence number may run. After
// AdmissionGranted the identifier is in flight until Finish.
func (l *Ledger) Begin(now time.Duration, seq uint64) Admission {
	if seq == 0 || seq >= l.next {
		return AdmissionUnknown
	}
	l.expire(now)
	if seq < l.oldest {
		return AdmissionExpired
	}
	s := l.segment(seq)
	switch s.get(seq) {
	case stateIssued:
		s.set(seq, stateInFlight)
		return AdmissionGranted
	case stateInFlight:
		return AdmissionInFlight
	case stateRan:
		return AdmissionRan
	}
	return AdmissionMayHaveRun
}

// Finish records the outcome of a request that Begin admitted. After NotRun the
// identifier may be used again. Finish returns false, and changes nothing, if the
// identifier is not in flight or has expired.
func (l *Ledger) Finish(now time.Duration, seq uint64, o Outcome) bool {
	l.expire(now)
	if seq < l.oldest || seq >= l.next {
		return false
	}
	s := l.segment(seq)
	if s.get(seq) != stateInFlight {
		return false
	}
	switch o {
	case NotRun:
		s.set(seq, stateIssued)
	case Ran:
		s.set(seq, stateRan)
	default:
		s.set(seq, stateMayHaveRun)
	}
	return true
}

// expire drops the segments whose newest identifier is older than the window.
func (l *Ledger) expire(now time.Duration) {
	for l.oldest < l.next {
		s := l.segment(l.oldest)
		if now-s.lastIssue <= l.cfg.Window {
			return
		}
		l.oldest = min((l.oldest/SegmentSize+1)*SegmentSize, l.next)
	}
}

// LedgerStats are the counters of a Ledger.
type LedgerStats struct {
	// Issued is the number of identifiers issued, Remembered how many of them
	// are remembered.
	Issued, Remembered uint64
}

// Stats returns the counters of the ledger at now.
func (l *Ledger) Stats(now time.Duration) LedgerStats {
	l.expire(now)
	return LedgerStats{Issued: l.next - 1, Remembered: l.next - l.oldest}
}
