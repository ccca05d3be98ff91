package gateway

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelock/boragelock/fleet"
)

// Bounds of latency histograms: 0.1 ms to 60 s with two significant digits.
const (
	histogramMin    = 100
	histogramMax    = 60_000_000
	histogramDigits = 2
)

// histogram is a latency histogram in microseconds for expvar.
type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value outside the bounds is recorded as the nearest bound.
	_ = h.h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := new(expvar.Map).Init()
	set := func(name string, v int64) {
		i := new(expvar.Int)
		i.Set(v)
		m.Set(name, i)
	}
	set("count", h.h.TotalCount())
	set("p50_us", h.h.ValueAtQuantile(50))
	set("p90_us", h.h.ValueAtQuantile(90))
	set("p99_us", h.h.ValueAtQuantile(99))
	set("max_us", h.h.Max())
	return m.String()
}

// metrics are the counters of the request path.
type metrics struct {
	vars *expvar.Map
	// outcomes counts requests by status or code, byClass by
	// "WORKLOAD/KIND/OUTCOME", refusals by reason.
	outcomes, byClass, refusals *expvar.Map
	// conditionChanges counts changes of the health conditions of targets.
	conditionChanges *expvar.Map
	// paceChanges counts logged changes of the pace of targets by reason.
	paceChanges *expvar.Map
	// sends counts requests to targets by result.
	sends *expvar.Map
	// closes counts what a close of a caller's connection left behind, by kind.
	closes *expvar.Map
	// acceptFailures counts errors of Accept that pass.
	acceptFailures *expvar.Int
	totalLatency   *histogram // arrival to response
	queueWait      *histogram // wait for a target
	targetLatency  *histogram // send to response
}

func newMetrics() *metrics {
	m := &metrics{
		vars: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), sends: new(expvar.Map).Init(),
		byClass: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), conditionChanges: new(expvar.Map).Init(), paceChanges: new(expvar.Map).Init(), closes: new(expvar.Map).Init(), acceptFailures: new(expvar.Int),
		totalLatency: newHistogram(), queueWait: newHistogram(), targetLatency: newHistogram(),
	}
	m.vars.Set("requests_total", m.outcomes)
	m.vars.Set("requests_by_class_total", m.byClass)
	m.vars.Set("refusals_total", m.refusals)
	m.vars.Set("judgements_total", m.conditionChanges)
	m.vars.Set("pace_changes_total", m.paceChanges)
	m.vars.Set("sends_total", m.sends)
	m.vars.Set("connection_closes_total", m.closes)
	m.vars.Set("accept_failures_total", m.acceptFailures)
	m.vars.Set("request_latency", m.totalLatency)
	m.vars.Set("queue_wait", m.queueWait)
	m.vars.Set("target_latency", m.targetLatency)
	return m
}

// countOutcome counts a request's outcome by workload and route kind.
func (m *metrics) countOutcome(workload string, kind fleet.RouteKind, res *response, f *Failure) {
	outcome := ""
	if f != nil {
		outcome = string(f.Code)
	} else {
		outcome = strconv.Itoa(res.status)
	}
	m.byClass.Add(workload+"/"+kind.String()+"/"+outcome, 1)
}

// Vars returns the metrics of the gateway.
func (g *Gateway) Vars() *expvar.Map { return g.metrics.vars }
