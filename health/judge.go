package health

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Config holds the settings of a Judge. A zero field takes its default.
type Config struct {
	// SlowFactor is the ratio of a target's service time to the median from
	// which it is slow, without unit. Default: 3.
	SlowFactor float64
	// ConfirmPeriod is how long a target must be slow. Default: 300 ms.
	ConfirmPeriod time.Duration
	// MinWeight is the lowest weight of a slow target, without unit.
	// Default: 0.02.
	MinWeight float64
	// MinTargets is the number of targets from which they are compared. Default:
	// 3, since of two it cannot be said which is the odd one.
	MinTargets int
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
	bad := func(field string, v any, allowed string) error {
		return &ConfigError{Field: field, Value: fmt.Sprint(v), Allowed: allowed}
	}
	switch {
	case !(c.SlowFactor > 1):
		return bad("slow_factor", c.SlowFactor, "more than 1")
	case !(c.MinWeight > 0 && c.MinWeight <= 1):
		return bad("min_weight", c.MinWeight, "more than 0, at most 1")
	case c.MinTargets < 2:
		return bad("min_targets", c.MinTargets, "2 or more")
	case c.ConfirmPeriod < 0:
		return bad("confirm", c.ConfirmPeriod, "0 or more")
	}
	return nil
}

// Judge finds the slow targets of one workload. It is not safe for concurrent
// use.
type Judge struct {
	cfg Config
	// slowSince is when each target was first found slow.
	slowSince map[string]time.Duration
}

// NewJudge returns a Judge that has seen no target. It fails with *ConfigError.
func NewJudge(cfg Config) (*Judge, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Judge{cfg: cfg, slowSince: map[string]time.Duration{}}, nil
}

// SlowTargetWeights returns the weights of the targets that are slow, by the present service
// times of all targets that have one. Targets that it does not return have the
// weight 1.
func (j *Judge) SlowTargetWeights(now time.Duration, service map[string]time.Duration) map[string]float64 {
	if len(service) < j.cfg.MinTargets {
		return nil
	}
	slow := SlowOutliers(service, j.cfg.SlowFactor)
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

// SlowOutliers returns the targets whose service time is above the given multiple of
// the median, with the ratio of the median to their time. They are at most half.
func SlowOutliers(service map[string]time.Duration, factor float64) map[string]float64 {
	slow := map[string]float64{}
	if len(service) == 0 {
		return slow
	}
	median := float64(lowerMedian(service))
	for name, s := range service {
		if float64(s) > factor*median {
			slow[name] = median / float64(s)
		}
	}
	return slow
}

// lowerMedian returns the median, or the lower of the two middle values, so that
// at most half of the values are above it.
func lowerMedian(service map[string]time.Duration) time.Duration {
	all := slices.Sorted(maps.Values(service))
	return all[(len(all)-1)/2]
}
