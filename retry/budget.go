package retry

import (
	"math"
	"time"
)

// BudgetConfig holds the settings of a Budget. A zero field takes its default.
type BudgetConfig struct {
	// Ratio is the number of retries that each success adds to the host's and
	// the customer's budget, without unit. Default: 0.1.
	Ratio float64
	// HostMinRate and CustomerMinRate are the retries per second that are
	// permitted without any success. Defaults: 2 and 1. The minimum of all
	// hosts together must stay small beside the capacity of the slowest
	// workload: 10 hosts with 2 are 20/s, an eighth of 8 targets with 2 slots
	// and a service time of 100 ms.
	HostMinRate, CustomerMinRate float64
	// HostBurst and CustomerBurst limit the retries that can be saved up.
	// Defaults: 50 and 10.
	HostBurst, CustomerBurst float64
	// MaxCustomers limits the customers that are remembered; idle ones are
	// forgotten first. Default: 4096.
	MaxCustomers int
}

// Budget limits retries to a part of the successes, on this host and for each
// customer. It is not safe for concurrent use.
type Budget struct {
	cfg       BudgetConfig
	host      bucket
	customers map[string]*bucket
}

// bucket holds permitted retries.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) refill(now time.Duration, perSecond, limit float64) {
	if now > b.at {
		b.tokens = min(limit, b.tokens+perSecond*(now-b.at).Seconds())
		b.at = now
	}
}

// NewBudget returns a budget that holds one second of the minimum.
func NewBudget(cfg BudgetConfig, now time.Duration) *Budget {
	set := func(p *float64, v float64) {
		if !(*p > 0) {
			*p = v
		}
	}
	set(&cfg.Ratio, 0.1)
	set(&cfg.HostMinRate, 2)
	set(&cfg.CustomerMinRate, 1)
	set(&cfg.HostBurst, 50)
	set(&cfg.CustomerBurst, 10)
	if cfg.MaxCustomers <= 0 {
		cfg.MaxCustomers = 4096
	}
	return &Budget{cfg: cfg, host: bucket{tokens: cfg.HostMinRate, at: now}, customers: map[string]*bucket{}}
}

func (b *Budget) customer(now time.Duration, name string) *bucket {
	c, ok := b.customers[name]
	if !ok {
		if len(b.customers) >= b.cfg.MaxCustomers {
			b.forget(now)
		}
		c = &bucket{tokens: b.cfg.CustomerMinRate, at: now}
		b.customers[name] = c
	}
	return c
}

// forget drops the customers unused for a minute, or all when there are none.
func (b *Budget) forget(now time.Duration) {
	for name, c := range b.customers {
		if now-c.at > time.Minute {
			delete(b.customers, name)
		}
	}
	if len(b.customers) >= b.cfg.MaxCustomers {
		clear(b.customers)
	}
}

// RecordSuccess counts a request that succeeded without a retry of its own.
func (b *Budget) RecordSuccess(now time.Duration, customer string) {
	c := b.customer(now, customer)
	b.refill(now, c)
	b.host.tokens = min(b.cfg.HostBurst, b.host.tokens+b.cfg.Ratio)
	c.tokens = min(b.cfg.CustomerBurst, c.tokens+b.cfg.Ratio)
}

func (b *Budget) refill(now time.Duration, c *bucket) {
	b.host.refill(now, b.cfg.HostMinRate, b.cfg.HostBurst)
	c.refill(now, b.cfg.CustomerMinRate, b.cfg.CustomerBurst)
}

// one is a whole retry or hedge, less the rounding error of adding up parts.
const one = 1 - 1e-9

// Take takes one retry from the budgets of the host and the customer, or from
// neither when one of them is empty.
func (b *Budget) Take(now time.Duration, customer string) bool {
	c := b.customer(now, customer)
	b.refill(now, c)
	if b.host.tokens < one || c.tokens < one {
		return false
	}
	b.host.tokens--
	c.tokens--
	return true
}

// Backoff is the wait before a retry: full jitter below an exponential bound.
type Backoff struct {
	// Base is the bound for the first retry. Default: 5 ms.
	Base time.Duration
	// Max is the highest bound. Default: 200 ms.
	Max time.Duration
}

// Next returns the wait before retry number attempt (from 1), given the
// target's hint, a random number from 0 to 1, the present time, the deadline
// and the expected service time. It returns false when the retry could not end
// before the deadline.
func (p Backoff) Next(now time.Duration, attempt int, hint time.Duration, random float64, deadline, service time.Duration) (time.Duration, bool) {
	base, limit := p.Base, p.Max
	if base <= 0 {
		base = 5 * time.Millisecond
	}
	if limit <= 0 {
		limit = 200 * time.Millisecond
	}
	bound := min(float64(limit), float64(base)*math.Pow(2, float64(max(attempt, 1)-1)))
	wait := hint + time.Duration(random*bound)
	return wait, now+wait+service < deadline
}
