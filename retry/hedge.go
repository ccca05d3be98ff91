package retry

import "time"

// HedgeConfig holds the settings of a Hedger. A zero field takes its default.
type HedgeConfig struct {
	// Quantile of the latency after which a hedge is sent, in percent.
	// Default: 95.
	Quantile float64
	// Ratio is the number of hedges that each request adds to the budget,
	// without unit. Default: 0.05.
	Ratio float64
	// MaxSaved limits the hedges that can be saved up. Default: 10.
	MaxSaved float64
	// MinSamples is the number of samples before which nothing is hedged.
	// Default: 50.
	MinSamples int64
	// Window is how long a sample counts: between one and two windows.
	// Default: 10 s.
	Window time.Duration
	// MinDelay and MaxDelay bound the delay. Defaults: 1 ms, 10 s.
	MinDelay, MaxDelay time.Duration
}

// NewHedger returns the hedging policy of one workload.
func NewHedger(cfg HedgeConfig) *Hedger { return newHedger(cfg) }
