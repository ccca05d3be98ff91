package health

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Config holds the settings of a Judge. A zero field takes its default.
type Config struct {
	// SlowFactor is the ratio of a target's service time to the median above which
	// the target is slow, without unit. Default: 3.
	SlowFactor float64
	// ConfirmPeriod is how long a target must be above SlowFactor before its weight
	// is lowered. Default: 300 ms.
	ConfirmPeriod time.Duration
	// MinWeight is the lowest weight of a slow target, without unit.
	// Default: 0.02.
	MinWeight float64
	// MinTargets is the least number of targets that are compared. Default: 3, since
	// with two it is unknown which one is the outlier.
	MinTargets int
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	// Field is the name of the field, Value its value, Allowed the permitted range.
	Field, Value, Allowed string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", e.Field, e.Value, e.Allowed)
}

func (c Config) withDefaults() Config {
	if c.SlowFactor == 0 {
		c.SlowFactor = 3
	}
	if c.ConfirmPeriod == 0 {
		c.ConfirmPeriod = 300 * time.Millisecond
	}
	if c.MinWeight == 0 {
		c.MinWeight = 0.02
	}
	if c.MinTargets == 0 {
		c.MinTargets = 3
	}
	return c
}

func (c Config) validate() error {
	fieldError := func(field string, v any, allowed string) error {
		return &ConfigError{Field: field, Value: fmt.Sprint(v), Allowed: allowed}
	}
	switch {
	case !(c.SlowFactor > 1):
		return fieldError("slow_factor", c.SlowFactor, "more than 1")
	case !(c.MinWeight > 0 && c.MinWeight <= 1):
		return fieldError("min_weight", c.MinWeight, "more than 0, at most 1")
	case c.MinTargets < 2:
		return fieldError("min_targets", c.MinTargets, "2 or more")
	case c.ConfirmPeriod < 0:
		return fieldError("confirm", c.ConfirmPeriod, "0 or more")
	}
	return nil
}

// Judge detects the slow targets of one workload. It is not safe for concurrent
// use.
type Judge struct {
	cfg Config
	// slowSince is when each target's current slow period began.
	slowSince map[string]time.Duration
}

// NewJudge returns a Judge without observations. It fails with *ConfigError.
func NewJudge(cfg Config) (*Judge, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Judge{cfg: cfg, slowSince: map[string]time.Duration{}}, nil
}

// SlowTargetWeights returns the weights of the slow targets. serviceTimes holds the
// current service times of all targets that have one. Other targets have the weight
// 1.
func (j *Judge) SlowTargetWeights(now time.Duration, serviceTimes map[string]time.Duration) map[string]float64 {
	if len(serviceTimes) < j.cfg.MinTargets {
		return nil
	}
	slow := SlowOutliers(serviceTimes, j.cfg.SlowFactor)
	for name := range j.slowSince {
		if _, still := slow[name]; !still {
			delete(j.slowSince, name)
		}
	}
	for name := range slow {
		since, known := j.slowSince[name]
		if !known {
			since, j.slowSince[name] = now, now
		}
		if now-since < j.cfg.ConfirmPeriod {
			delete(slow, name)
			continue
		}
		slow[name] = max(slow[name], j.cfg.MinWeight)
	}
	return slow
}

// SlowOutliers returns the targets whose service time is above factor times the
// median, with the ratio of the median to their time. They are at most half of the
// targets.
func SlowOutliers(serviceTimes map[string]time.Duration, factor float64) map[string]float64 {
	slow := map[string]float64{}
	if len(serviceTimes) == 0 {
		return slow
	}
	median := float64(lowerMedian(serviceTimes))
	for name, serviceTime := range serviceTimes {
		if float64(serviceTime) > factor*median {
			slow[name] = median / float64(serviceTime)
		}
	}
	return slow
}

// lowerMedian returns the median, or the lower of the two middle values, so that
// at most half of the values are above it.
func lowerMedian(serviceTimes map[string]time.Duration) time.Duration {
	sorted := slices.Sorted(maps.Values(serviceTimes))
	return sorted[(len(sorted)-1)/2]
}
