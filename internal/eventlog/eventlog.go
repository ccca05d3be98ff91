// Package eventlog writes structured events with a bounded volume and never
// blocks its callers.
//
// # Contract
//
//   - A line that finds the ring to the output full is dropped and counted; the
//     number is logged once a second.
//   - Events of requests are thinned by kind when there are more than a kind's
//     rate. Which requests stay depends on the request's identifier alone, and a
//     stronger thinning keeps a part of what a weaker one keeps, so that a request
//     that one busy host keeps is kept by all others too.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// ringSize bounds the lines that wait for the output.
	ringSize = 2048
	// reportEvery is the period in which dropped and thinned lines are reported
	// and the thinning is adapted.
	reportEvery = time.Second
	// maxThinning keeps at least one request in 1,024.
	maxThinning = 10
)

// Rates are the lines per second that each kind of event may have on one host.
// Refusals and failures explain complaints, so they have more than served
// requests.
var Rates = map[string]int{"served": 20, "refused": 100, "failed": 100, "not_run": 100, "send_failed": 100, "no_owner": 100}

// defaultRate holds for kinds that are not in Rates.
const defaultRate = 100

// Log is an event log. It is safe for concurrent use.
type Log struct {
	hclog.Logger
	ring *ring

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the state of one kind of request event.
type kind struct {
	// seen and kept count events since the last report.
	seen, kept int
	// thinning n keeps one request in 2^n.
	thinning uint
}

// New returns a log that writes to an output until Close.
func New(out io.Writer, level string) *Log {
	r := newRing(out)
	return &Log{
		Logger: hclog.New(&hclog.LoggerOptions{Output: r, Level: hclog.LevelFromString(level), DisableTime: true}),
		ring:   r, kinds: map[string]*kind{},
	}
}

// Close writes what waits and stops.
func (l *Log) Close() { l.ring.close() }

// Request logs an event of a request, unless it is thinned out.
func (l *Log) Request(event, id string, args ...any) {
	if l.keeps(event, id) {
		l.Info(event, append([]any{"request", id}, args...)...)
	}
}

func (l *Log) keeps(event, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[event]
	if k == nil {
		k = &kind{}
		l.kinds[event] = k
	}
	k.seen++
	if k.thinning > 0 && xxhash.Sum64String(id)&(1<<k.thinning-1) != 0 {
		return false
	}
	k.kept++
	return true
}

// Report logs what was left out since the last call and adapts the thinning. It
// is called once a second.
func (l *Log) Report() {
	type left struct {
		event         string
		seen, omitted int
	}
	var lines []left
	l.mu.Lock()
	for event, k := range l.kinds {
		if omitted := k.seen - k.kept; omitted > 0 {
			lines = append(lines, left{event, k.seen, omitted})
		}
		rate := Rates[event]
		if rate == 0 {
			rate = defaultRate
		}
		k.adapt(rate)
	}
	l.mu.Unlock()
	for _, x := range lines {
		l.Info("events_thinned", "event", x.event, "seen", x.seen, "omitted", x.omitted)
	}
	if n := l.ring.takeDropped(); n > 0 {
		l.Warn("events_dropped", "lines", n)
	}
}

// adapt sets the thinning from the events of the last period.
func (k *kind) adapt(rate int) {
	switch {
	case k.seen>>k.thinning > rate && k.thinning < maxThinning:
		k.thinning++
	case k.thinning > 0 && k.seen>>(k.thinning-1) <= rate/2:
		k.thinning--
	}
	k.seen, k.kept = 0, 0
}

// Serve reports until stop is closed.
func (l *Log) Serve(stop <-chan struct{}) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			l.Report()
		}
	}
}

// ring passes lines to an output that may be slow.
type ring struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

func newRing(out io.Writer) *ring {
	r := &ring{lines: make(chan []byte, ringSize), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for b := range r.lines {
			if _, err := out.Write(b); err != nil {
				r.drop() // counted; there is nowhere else to report it
			}
		}
	}()
	return r
}

// Write implements io.Writer. It never blocks and never fails.
func (r *ring) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.dropped++
		return len(b), nil
	}
	select {
	case r.lines <- append([]byte(nil), b...):
	default:
		r.dropped++
	}
	return len(b), nil
}

func (r *ring) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

func (r *ring) takeDropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.dropped
	r.dropped = 0
	return n
}

// closeWait bounds the writing of what waits when the process ends.
const closeWait = 200 * time.Millisecond

func (r *ring) close() {
	r.mu.Lock()
	r.closed = true
	close(r.lines)
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-time.After(closeWait):
	}
}
