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

func (h *histogram) add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values beyond the bounds are counted at them.
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
	all *expvar.Map
	// outcomes counts requests by status or code, classes by
	// "WORKLOAD/KIND/OUTCOME", refusals by reason.
	outcomes, classes, refusals *expvar.Map
	// judgements counts changes of what is believed of targets.
	judgements *expvar.Map
	// sends counts requests to targets by result.
	sends  *expvar.Map
	total  *histogram // arrival to answer
	queue  *histogram // wait for a target
	target *histogram // send to answer
}

func newMetrics() *metrics {
	m := &metrics{
		all: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), sends: new(expvar.Map).Init(),
		classes: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), judgements: new(expvar.Map).Init(),
		total: newHistogram(), queue: newHistogram(), target: newHistogram(),
	}
	m.all.Set("requests_total", m.outcomes)
	m.all.Set("requests_by_class_total", m.classes)
	m.all.Set("refusals_total", m.refusals)
	m.all.Set("judgements_total", m.judgements)
	m.all.Set("sends_total", m.sends)
	m.all.Set("request_latency", m.total)
	m.all.Set("queue_wait", m.queue)
	m.all.Set("target_latency", m.target)
	return m
}

// count counts the outcome of a request of a workload and route kind.
func (m *metrics) count(workload string, kind fleet.RouteKind, a *answer, f *Failure) {
	outcome := ""
	if f != nil {
		outcome = string(f.Code)
	} else {
		outcome = strconv.Itoa(a.status)
	}
	m.classes.Add(workload+"/"+kind.String()+"/"+outcome, 1)
}

// Vars returns the metrics of the gateway.
func (g *Gateway) Vars() *expvar.Map { return g.m.all }
