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
	// maxRecordBytes limits the size of one record.
	maxRecordBytes = 1 << 20
	// maxAppendWait limits how long an append waits for the rate limiter before it
	// is refused.
	maxAppendWait = 200 * time.Millisecond
	// maxReadRecords limits the records that one read returns.
	maxReadRecords = 10000
)

// LogConfig sets the limits of a log.
type LogConfig struct {
	// AppendsPerSecond limits the append rate. Default 400.
	AppendsPerSecond float64
	// RetainRecords is the maximum number of retained records. Default 100000.
	RetainRecords int
	// RetainFor is the maximum age of retained records. Default 1 h.
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

// Down is the kind of outage that a server simulates.
type Down string

// Kinds of outages.
const (
	DownNone Down = ""
	// DownRefuse responds with 503 and outcome not_run.
	DownRefuse Down = "refuse"
	// DownCut closes connections without a response.
	DownCut Down = "cut"
	// DownSilent never responds.
	DownSilent Down = "silent"
)

// LogSwitches inject failures into a log.
type LogSwitches struct {
	Down Down `json:"down"`
	// SlowMS delays each operation, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseAfterEffect cuts the connection after appending; LoseWithoutEffect
	// instead of appending. Each is the number of responses still to be lost;
	// -1 means all.
	LoseAfterEffect   int `json:"lose_after_effect"`
	LoseWithoutEffect int `json:"lose_without_effect"`
}

type logEntry struct {
	data       []byte
	appendedAt time.Duration
}

// Log is a stand-in for the append-only log.
type Log struct {
	cfg     LogConfig
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu          sync.Mutex
	firstOffset int64
	entries     []logEntry
	switches    LogSwitches
	changed     chan struct{}
}

// NewLog returns an empty log whose first offset is 1.
func NewLog(cfg LogConfig) *Log {
	cfg = cfg.withDefaults()
	l := &Log{
		cfg: cfg, firstOffset: 1, changed: make(chan struct{}), mux: http.NewServeMux(),
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
		sleep(r.Context(), time.Duration(s.SlowMS)*time.Millisecond)
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

// Switches returns the current switches.
func (l *Log) Switches() LogSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// SetSwitches sets the switches. They apply to waiting reads at once.
func (l *Log) SetSwitches(s LogSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.switches = s
	l.wakeReaders()
}

func (l *Log) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append adds a record in-process and returns its offset. It bypasses the rate
// limit and the switches.
func (l *Log) Append(data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(data)
}

func (l *Log) append(data []byte) int64 {
	l.entries = append(l.entries, logEntry{data: data, appendedAt: boottime.Now()})
	l.dropExpired()
	l.wakeReaders()
	return l.firstOffset + int64(len(l.entries)) - 1
}

// dropExpired drops the records that exceed the retention limits. The mutex is
// held.
func (l *Log) dropExpired() {
	n := max(0, len(l.entries)-l.cfg.RetainRecords)
	oldest := boottime.Now() - l.cfg.RetainFor
	for n < len(l.entries) && l.entries[n].appendedAt < oldest {
		n++
	}
	l.firstOffset += int64(n)
	l.entries = l.entries[n:]
}

// consumeLoss reports whether the response of this append is to be lost, and
// whether the append takes effect. It counts the loss. The mutex is held.
func (l *Log) consumeLoss() (loseResponse, takesEffect bool) {
	consume := func(n *int) bool {
		if *n == 0 {
			return false
		}
		if *n > 0 {
			*n--
		}
		return true
	}
	if consume(&l.switches.LoseAfterEffect) {
		return true, true
	}
	if consume(&l.switches.LoseWithoutEffect) {
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
	if d := l.switches.Down; d != DownNone {
		l.mu.Unlock()
		l.serveDown(w, r, d)
		return
	}
	loseResponse, takesEffect := l.consumeLoss()
	var offset int64
	if takesEffect {
		offset = l.append(data)
	}
	l.mu.Unlock()
	if loseResponse {
		cutConnection(w)
		return
	}
	writeJSON(w, httpplatform.AppendResponse{Offset: offset})
}

// read returns the records from an offset on, the outage in force and a channel
// that is closed on the next change. It returns false when from has expired.
func (l *Log) read(from int64, limit int) (provider.Batch, Down, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	b := provider.Batch{FirstOffset: l.firstOffset, EndOffset: l.firstOffset + int64(len(l.entries)), Records: []provider.Record{}}
	if from == 0 {
		from = l.firstOffset
	}
	if from < l.firstOffset {
		return b, l.switches.Down, l.changed, false
	}
	for off := from; off < b.EndOffset && len(b.Records) < limit; off++ {
		b.Records = append(b.Records, provider.Record{Offset: off, Data: l.entries[off-l.firstOffset].data})
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
	waitOver := wait == 0
	for {
		b, down, changed, retained := l.read(from, min(limit, maxReadRecords))
		switch {
		case down != DownNone:
			l.serveDown(w, r, down)
			return
		case !retained:
			http.Error(w, "expired", http.StatusGone)
			return
		case len(b.Records) > 0 || from > b.EndOffset || waitOver || from == 0:
			writeJSON(w, b)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waitOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// Admin returns the admin handler: GET and POST /admin/switches.
func (l *Log) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/switches", func(w http.ResponseWriter, r *http.Request) {
		serveUpdate(w, r, l.Switches, l.SetSwitches)
	})
	return mux
}

// sleep waits for d and returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
