package health

import (
	"fmt"
	"time"
)

// Config holds the settings of a Pool. A zero field takes its default.
type Config struct {
	// SlowFactor is the ratio of a target's service time to the median from
	// which it is slow, without unit. Default: 3.
	SlowFactor float64
	// RestoreFactor is the ratio below which an answer counts as near the
	// median, without unit. Default: 1.5.
	RestoreFactor float64
	// Confirm is how long a target must be slow. Default: 300 ms.
	Confirm time.Duration
	// MinSamples is the number of answers from which own samples count.
	// Default: 8.
	MinSamples int
	// MinWeight is the lowest weight of a slow target, without unit.
	// Default: 0.02.
	MinWeight float64
	// ProbeInterval is the time between two probes of a slow target.
	// Default: 500 ms.
	ProbeInterval time.Duration
	// ProbeShare is the highest part of the requests that are probes, without
	// unit, unless a slow target had none for ten ProbeIntervals: probes that
	// meet a slow target must stay below the 1% that make the p99.
	// Default: 0.005.
	ProbeShare float64
	// Probes is the number of answers near the median after which the weight
	// doubles, until it is 1. Default: 3.
	Probes int
	// MaxAge is how long a report or sample counts. Default: 3 s.
	MaxAge time.Duration
	// CrossDomain is the time that a request to another domain costs.
	// Default: 1.5 ms.
	CrossDomain time.Duration
	// SpillWait is the expected wait in the own domain from which targets of
	// other domains are considered; one service time when that is longer.
	// Default: 10 ms.
	SpillWait time.Duration
}

// ConfigError says which field of a Config is wrong.
type ConfigError struct {
	// Field is the name of the field, Value its value, Allowed what is allowed.
	Field, Value, Allowed string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

func (c Config) withDefaults() Config {
	set := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Confirm, 300*time.Millisecond)
	set(&c.ProbeInterval, 500*time.Millisecond)
	set(&c.MaxAge, 3*time.Second)
	set(&c.CrossDomain, 1500*time.Microsecond)
	set(&c.SpillWait, 10*time.Millisecond)
	if c.SlowFactor == 0 {
		c.SlowFactor = 3
	}
	if c.RestoreFactor == 0 {
		c.RestoreFactor = 1.5
	}
	if c.MinWeight == 0 {
		c.MinWeight = 0.02
	}
	if c.ProbeShare == 0 {
		c.ProbeShare = 0.005
	}
	if c.MinSamples == 0 {
		c.MinSamples = 8
	}
	if c.Probes == 0 {
		c.Probes = 3
	}
	return c
}

func (c Config) validate() error {
	bad := func(field string, v any, allowed string) error {
		return &ConfigError{Field: field, Value: fmt.Sprint(v), Allowed: allowed}
	}
	switch {
	case !(c.RestoreFactor >= 1):
		return bad("restore_factor", c.RestoreFactor, "1 or more")
	case !(c.SlowFactor > c.RestoreFactor):
		return bad("slow_factor", c.SlowFactor, "more than restore_factor")
	case !(c.MinWeight > 0 && c.MinWeight <= 1):
		return bad("min_weight", c.MinWeight, "more than 0, at most 1")
	case !(c.ProbeShare > 0 && c.ProbeShare <= 1):
		return bad("probe_share", c.ProbeShare, "more than 0, at most 1")
	case c.MinSamples < 1:
		return bad("min_samples", c.MinSamples, "1 or more")
	case c.Probes < 1:
		return bad("probes", c.Probes, "1 or more")
	case c.Confirm < 0 || c.ProbeInterval < 0 || c.MaxAge < 0 || c.CrossDomain < 0 || c.SpillWait < 0:
		return bad("duration", "negative", "0 or more")
	}
	return nil
}
