package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

const (
	// maxRecordBytes limits one record.
	maxRecordBytes = 1 << 20
	// maxAppendWait is how long an append waits for its turn before it is refused.
	maxAppendWait = 200 * time.Millisecond
	// maxReadRecords limits the records of one read.
	maxReadRecords = 10000
)

// LogConfig are the sizes of a log.
type LogConfig struct {
	// AppendsPerSecond limits appends. Default 400.
	AppendsPerSecond float64
	// RetainRecords is how many records are kept. Default 100000.
	RetainRecords int
	// RetainFor is how long records are kept. Default 1 h.
	RetainFor time.Duration
}

func (c LogConfig) withDefaults() LogConfig {
	if c.AppendsPerSecond <= 0 {
		c.AppendsPerSecond = 400
	}
	if c.RetainRecords <= 0 {
		c.RetainRecords = 100000
	}
	if c.RetainFor <= 0 {
		c.RetainFor = time.Hour
	}
	return c
}

// Down is the way in which a server is out of service.
type Down string

// Ways of being out of service.
const (
	DownNo Down = ""
	// DownRefuse answers 503 with outcome not_run.
	DownRefuse Down = "refuse"
	// DownCut closes connections without an answer.
	DownCut Down = "cut"
	// DownSilent never answers.
	DownSilent Down = "silent"
)

// LogSwitches make a log fail.
type LogSwitches struct {
	Down Down `json:"down"`
	// SlowMS delays each operation, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAfterEffect cuts the connection after appending; LoseWithoutEffect
	// instead of appending. Each is the number of appends still to be lost;
	// -1 means all.
	LoseAfterEffect   int `json:"lose_after_effect"`
	LoseWithoutEffect int `json:"lose_without_effect"`
}

type logEntry struct {
	data []byte
	at   time.Duration
}

// Log is a stand-in for the append-only log.
type Log struct {
	cfg     LogConfig
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu       sync.Mutex
	first    int64
	entries  []logEntry
	switches LogSwitches
	changed  chan struct{}
}

// NewLog returns an empty log whose first offset is 1.
func NewLog(cfg LogConfig) *Log {
	cfg = cfg.withDefaults()
	l := &Log{
		cfg: cfg, first: 1, changed: make(chan struct{}), mux: http.NewServeMux(),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(1, int(cfg.AppendsPerSecond/10))),
	}
	l.mux.HandleFunc("POST "+httpplatform.PathAppend, l.serveAppend)
	l.mux.HandleFunc("GET "+httpplatform.PathRead, l.serveRead)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := l.Switches()
	if s.SlowMS > 0 {
		pause(r.Context(), time.Duration(s.SlowMS)*time.Millisecond)
	}
	if l.serveDown(w, r, s.Down) {
		return
	}
	l.mux.ServeHTTP(w, r)
}

func (l *Log) serveDown(w http.ResponseWriter, r *http.Request, d Down) bool {
	switch d {
	case DownRefuse:
		refuse(w, http.StatusServiceUnavailable, "down")
	case DownCut:
		cutConnection(w)
	case DownSilent:
		<-r.Context().Done()
		cutConnection(w)
	default:
		return false
	}
	return true
}

// Switches returns the switches in force.
func (l *Log) Switches() LogSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// SetSwitches sets the switches. Waiting reads see them at once.
func (l *Log) SetSwitches(s LogSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.switches = s
	l.wake()
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append adds a record in-process, without the rate limit or the switches.
func (l *Log) Append(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(data)
}

func (l *Log) append(data []byte) int64 {
	l.entries = append(l.entries, logEntry{data: data, at: boottime.Now()})
	l.expire()
	l.wake()
	return l.first + int64(len(l.entries)) - 1
}

// expire drops what exceeds the retention, by count and by age.
func (l *Log) expire() {
	n := max(0, len(l.entries)-l.cfg.RetainRecords)
	oldest := boottime.Now() - l.cfg.RetainFor
	for n < len(l.entries) && l.entries[n].at < oldest {
		n++
	}
	l.first += int64(n)
	l.entries = l.entries[n:]
}

// takeLoss reports whether the answer of this append is to be lost, and
// whether the append takes effect.
func (l *Log) takeLoss() (lose, effect bool) {
	take := func(n *int) bool {
		if *n == 0 {
			return false
		}
		if *n > 0 {
			*n--
		}
		return true
	}
	if take(&l.switches.LoseAfterEffect) {
		return true, true
	}
	if take(&l.switches.LoseWithoutEffect) {
		return true, false
	}
	return false, true
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "record_too_large")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxAppendWait)
	defer cancel()
	if err := l.limiter.Wait(ctx); err != nil {
		refuse(w, http.StatusTooManyRequests, "append_rate")
		return
	}
	l.mu.Lock()
	if d := l.switches.Down; d != DownNo {
		l.mu.Unlock()
		l.serveDown(w, r, d)
		return
	}
	lose, effect := l.takeLoss()
	var offset int64
	if effect {
		offset = l.append(data)
	}
	l.mu.Unlock()
	if lose {
		cutConnection(w)
		return
	}
	writeJSON(w, httpplatform.AppendResponse{Offset: offset})
}

// read returns a batch, and false when from has expired.
func (l *Log) read(from int64, limit int) (provider.Batch, Down, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	b := provider.Batch{FirstOffset: l.first, EndOffset: l.first + int64(len(l.entries)), Records: []provider.Record{}}
	if from == 0 {
		from = l.first
	}
	if from < l.first {
		return b, l.switches.Down, l.changed, false
	}
	for off := from; off < b.EndOffset && len(b.Records) < limit; off++ {
		b.Records = append(b.Records, provider.Record{Offset: off, Data: l.entries[off-l.first].data})
	}
	return b, l.switches.Down, l.changed, true
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("limit"))
	wait, err3 := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 || wait < 0 {
		refuse(w, http.StatusBadRequest, "bad_parameter")
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := wait == 0
	for {
		b, down, changed, held := l.read(from, min(limit, maxReadRecords))
		switch {
		case down != DownNo:
			l.serveDown(w, r, down)
			return
		case !held:
			http.Error(w, "expired", http.StatusGone)
			return
		case len(b.Records) > 0 || from > b.EndOffset || expired || from == 0:
			writeJSON(w, b)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// Admin returns the handler of the switches: GET and POST /admin/switches.
func (l *Log) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/switches", func(w http.ResponseWriter, r *http.Request) {
		update(w, r, l.Switches, l.SetSwitches)
	})
	return mux
}

// pause sleeps or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
