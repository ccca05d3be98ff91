// Package eventlog writes structured events with a bounded volume and never
// blocks its callers.
//
// # Contract
//
//   - A line is dropped and counted when the queue to the output is full. The
//     number of dropped lines is logged once a second.
//   - Request events are sampled by kind when a kind exceeds its rate limit.
//     Whether an event is kept depends on the request's identifier alone, and a
//     lower sampling rate keeps a subset of what a higher one keeps. An event
//     kept by a busy host is therefore kept by all less busy hosts too.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// queueCapacity is the number of lines that can wait for the output.
	queueCapacity = 2048
	// reportInterval is the interval at which omitted and dropped lines are
	// reported and the sampling is adjusted.
	reportInterval = time.Second
	// maxSampleShift keeps at least one request in 1,024.
	maxSampleShift = 10
)

// RateLimits are the lines per second that each kind of request event may have
// on one host. Refusals and failures explain complaints, so their limits are
// higher than that of served requests.
var RateLimits = map[string]int{"served": 20, "refused": 100, "failed": 100, "not_run": 100, "send_failed": 100, "no_owner": 100}

// defaultRateLimit applies to kinds that are not in RateLimits.
const defaultRateLimit = 100

// Log is an event log. It is safe for concurrent use.
type Log struct {
	hclog.Logger
	out *asyncWriter

	mu    sync.Mutex
	kinds map[string]*eventKind
}

// eventKind is the sampling state of one kind of request event.
type eventKind struct {
	// seen and kept count events since the last report.
	seen, kept int
	// sampleShift n keeps one request in 2^n.
	sampleShift uint
}

// New returns a log that writes to an output until Close.
func New(out io.Writer, level string) *Log {
	w := newAsyncWriter(out)
	return &Log{
		Logger: hclog.New(&hclog.LoggerOptions{Output: w, Level: hclog.LevelFromString(level), DisableTime: true}),
		out:    w, kinds: map[string]*eventKind{},
	}
}

// Close writes the queued lines, for closeTimeout at most, and stops the log.
func (l *Log) Close() { l.out.close() }

// Request logs an event of a request, unless sampling omits it.
func (l *Log) Request(event, id string, args ...any) {
	if l.sample(event, id) {
		l.Info(event, append([]any{"request", id}, args...)...)
	}
}

func (l *Log) sample(event, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[event]
	if k == nil {
		k = &eventKind{}
		l.kinds[event] = k
	}
	k.seen++
	if k.sampleShift > 0 && xxhash.Sum64String(id)&(1<<k.sampleShift-1) != 0 {
		return false
	}
	k.kept++
	return true
}

// ReportOmitted logs the numbers of lines omitted and dropped since the last call
// and adjusts the sampling. Serve calls it once a second.
func (l *Log) ReportOmitted() {
	type omission struct {
		event         string
		seen, omitted int
	}
	var omissions []omission
	l.mu.Lock()
	for event, k := range l.kinds {
		if omitted := k.seen - k.kept; omitted > 0 {
			omissions = append(omissions, omission{event, k.seen, omitted})
		}
		rateLimit := RateLimits[event]
		if rateLimit == 0 {
			rateLimit = defaultRateLimit
		}
		k.adjustSampling(rateLimit)
	}
	l.mu.Unlock()
	for _, o := range omissions {
		l.Info("events_thinned", "event", o.event, "seen", o.seen, "omitted", o.omitted)
	}
	if n := l.out.takeDropped(); n > 0 {
		l.Warn("events_dropped", "lines", n)
	}
}

// adjustSampling sets the sampling rate from the events since the last report.
func (k *eventKind) adjustSampling(rateLimit int) {
	switch {
	case k.seen>>k.sampleShift > rateLimit && k.sampleShift < maxSampleShift:
		k.sampleShift++
	case k.sampleShift > 0 && k.seen>>(k.sampleShift-1) <= rateLimit/2:
		k.sampleShift--
	}
	k.seen, k.kept = 0, 0
}

// Serve calls ReportOmitted once a second until stop is closed.
func (l *Log) Serve(stop <-chan struct{}) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			l.ReportOmitted()
		}
	}
}

// asyncWriter queues lines for an output that may be slow.
type asyncWriter struct {
	queue chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for b := range w.queue {
			if _, err := out.Write(b); err != nil {
				w.countDropped() // there is nowhere else to report the failure
			}
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *asyncWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.dropped++
		return len(b), nil
	}
	select {
	case w.queue <- append([]byte(nil), b...):
	default:
		w.dropped++
	}
	return len(b), nil
}

func (w *asyncWriter) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

func (w *asyncWriter) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// closeTimeout limits the writing of queued lines when the process ends.
const closeTimeout = 200 * time.Millisecond

func (w *asyncWriter) close() {
	w.mu.Lock()
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
