package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// HedgeConfig holds the settings of a Hedger. A zero field takes its default.
type HedgeConfig struct {
	// Quantile is the percentile of the latency after which a hedge is sent, in
	// percent. Default: 95.
	Quantile float64
	// Ratio is the number of hedges that each request adds to the budget,
	// without unit. Default: 0.05.
	Ratio float64
	// Burst limits the hedges that can accumulate. Default: 10.
	Burst float64
	// MinSamples is the number of samples before which nothing is hedged.
	// Default: 50.
	MinSamples int64
	// Window is the length of a sampling window; a sample counts for one to two of
	// them. Default: 10 s.
	Window time.Duration
	// MinDelay and MaxDelay bound the delay before a hedge. Defaults: 1 ms, 10 s.
	MinDelay, MaxDelay time.Duration
}

// Hedger decides when a second attempt of an idempotent request is sent. Each
// workload has its own Hedger. It is not safe for concurrent use.
type Hedger struct {
	cfg                HedgeConfig
	current            *hdrhistogram.Histogram
	previous           *hdrhistogram.Histogram
	rotateAt           time.Duration
	tokens             float64
	delay              time.Duration
	samplesUntilUpdate int
}

// NewHedger returns the hedging policy of one workload.
func NewHedger(cfg HedgeConfig) *Hedger {
	if !(cfg.Quantile > 0 && cfg.Quantile < 100) {
		cfg.Quantile = 95
	}
	if !(cfg.Ratio > 0) {
		cfg.Ratio = 0.05
	}
	if !(cfg.Burst > 0) {
		cfg.Burst = 10
	}
	if cfg.MinSamples <= 0 {
		cfg.MinSamples = 50
	}
	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Second
	}
	if cfg.MinDelay <= 0 {
		cfg.MinDelay = time.Millisecond
	}
	if cfg.MaxDelay <= 0 {
		cfg.MaxDelay = 10 * time.Second
	}
	// Microseconds with two significant digits: about 20 KiB a histogram.
	limit := max(int64(cfg.MaxDelay/time.Microsecond), 2)
	return &Hedger{cfg: cfg, current: hdrhistogram.New(1, limit, 2), previous: hdrhistogram.New(1, limit, 2)}
}

// Observe records the latency of an attempt that got its response.
func (h *Hedger) Observe(now, latency time.Duration) {
	if now >= h.rotateAt {
		h.current, h.previous = h.previous, h.current
		h.current.Reset()
		if now >= h.rotateAt+h.cfg.Window {
			h.previous.Reset()
		}
		h.rotateAt = now + h.cfg.Window
		h.samplesUntilUpdate = 0
	}
	us := min(max(int64(latency/time.Microsecond), 1), h.current.HighestTrackableValue())
	// The value is within the histogram's range, so recording cannot fail.
	_ = h.current.RecordValue(us)
	if h.samplesUntilUpdate--; h.samplesUntilUpdate <= 0 {
		h.updateDelay()
	}
}

// updateInterval is the number of samples between two computations of the quantile,
// each of which takes some microseconds.
const updateInterval = 32

func (h *Hedger) updateDelay() {
	h.samplesUntilUpdate = updateInterval
	a, b := h.current.TotalCount(), h.previous.TotalCount()
	h.delay = 0
	if a+b < h.cfg.MinSamples {
		return
	}
	// The current window is used as soon as it has enough samples.
	src := h.current
	if a < h.cfg.MinSamples {
		src = h.previous
	}
	d := time.Duration(src.ValueAtQuantile(h.cfg.Quantile)) * time.Microsecond
	h.delay = min(max(d, h.cfg.MinDelay), h.cfg.MaxDelay)
}

// StartRequest counts a first attempt and returns the delay after which it may be
// hedged, or false when there are too few samples.
func (h *Hedger) StartRequest() (time.Duration, bool) {
	h.tokens = min(h.cfg.Burst, h.tokens+h.cfg.Ratio)
	return h.delay, h.delay > 0
}

// Take takes one hedge from the budget and reports whether one was left. Call it
// when the delay has passed and the hedge is about to be sent.
func (h *Hedger) Take() bool {
	if h.tokens < tokenbucket.Whole {
		return false
	}
	h.tokens--
	return true
}
