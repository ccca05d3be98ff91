package slotpeer

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// metrics are the counters of shared queues.
type metrics struct {
	vars *expvar.Map
	// answers counts this host's asks by their end.
	answers *expvar.Map
	// asked counts asks of other hosts and this one at this coordinator; the others are
	// those of slots.Stats.
	asked, granted, refused, expired, waiting, leased *expvar.Int
	// paceChanges counts logged changes of the pace of targets by reason; the others count
	// falls of targets' limits by the response that caused them.
	paceChanges                    *expvar.Map
	paceShed, paceSlow, paceFailed *expvar.Int
	// contended is the number of keyed targets whose slots are shared.
	contended *expvar.Int

	mu    sync.Mutex
	waits *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), answers: new(expvar.Map).Init(), waits: hdrhistogram.New(100, 60_000_000, 2)}
	m.vars.Set("asks", m.answers)
	m.paceChanges = new(expvar.Map).Init()
	m.vars.Set("pace_changes_total", m.paceChanges)
	for name, v := range map[string]**expvar.Int{
		"coordinator_asked": &m.asked, "coordinator_granted": &m.granted, "coordinator_refused": &m.refused,
		"pace_falls_shed": &m.paceShed, "pace_falls_slow": &m.paceSlow, "pace_falls_failed": &m.paceFailed,
		"coordinator_expired": &m.expired, "coordinator_waiting": &m.waiting, "coordinator_leased": &m.leased, "contended_targets": &m.contended,
	} {
		*v = new(expvar.Int)
		m.vars.Set(name, *v)
	}
	m.vars.Set("wait_p50_us", expvar.Func(func() any { return m.quantile(50) }))
	m.vars.Set("wait_p99_us", expvar.Func(func() any { return m.quantile(99) }))
	return m
}

// maxQueueMetrics is the number of pools whose queues the metrics name.
const maxQueueMetrics = 32

// publishQueues adds the waiting asks and the refusals of a coordinator. They are collected when
// the metrics are read.
func (m *metrics) publishQueues(s *server) {
	m.vars.Set("coordinator_refusals_total", expvar.Func(func() any { return s.refusals() }))
	m.vars.Set("coordinator_queues", expvar.Func(func() any {
		q := s.queues()
		byPool := map[string]int{}
		for _, p := range q.Longest {
			byPool[p.Pool] = p.Waiting
		}
		return map[string]any{"waiting_by_pool": byPool, "waiting_by_priority": q.ByPriority, "oldest_ms": q.OldestAge.Milliseconds()}
	}))
}

func (m *metrics) setStats(s slots.Stats, falls placement.PaceStats) {
	m.paceShed.Set(int64(falls.Shed))
	m.paceSlow.Set(int64(falls.Slow))
	m.paceFailed.Set(int64(falls.Failed))
	m.granted.Set(int64(s.Granted))
	m.refused.Set(int64(s.Refused))
	m.expired.Set(int64(s.Expired))
	m.waiting.Set(int64(s.Waiting))
	m.leased.Set(int64(s.Leased))
}

func (m *metrics) recordWait(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A value outside the bounds is recorded as the nearest bound.
	_ = m.waits.RecordValue(min(max(d.Microseconds(), 100), 60_000_000))
}

func (m *metrics) quantile(q float64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waits.ValueAtQuantile(q)
}

// Vars returns the metrics.
func (p *Peer) Vars() expvar.Var { return p.metrics.vars }
