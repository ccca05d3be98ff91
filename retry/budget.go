package retry

import (
	"math"
	"time"

	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// BudgetConfig holds the settings of a Budget. A zero field takes its default.
type BudgetConfig struct {
	// Ratio is the number of retries that each success adds to the host's and
	// the customer's budget, without unit. Default: 0.1.
	Ratio float64
	// HostMinRate and CustomerMinRate are the retries per second that are
	// permitted without any success. Defaults: 2 and 1. The minimum of all
	// hosts together must stay small compared with the capacity of the slowest
	// workload: 10 hosts with 2/s are 20/s, an eighth of the capacity of 8 targets
	// with 2 slots and a service time of 100 ms.
	HostMinRate, CustomerMinRate float64
	// HostBurst and CustomerBurst limit the retries that can accumulate.
	// Defaults: 50 and 10.
	HostBurst, CustomerBurst float64
	// MaxCustomers limits the customers that are tracked; idle ones are dropped
	// first. Default: 4096.
	MaxCustomers int
}

// Budget limits retries to a fraction of the successful requests, on this host and
// for each customer. It is not safe for concurrent use.
type Budget struct {
	cfg       BudgetConfig
	host      tokenbucket.Bucket
	customers map[string]*tokenbucket.Bucket
}

// NewBudget returns a budget that holds the minimum retries of one second.
func NewBudget(cfg BudgetConfig, now time.Duration) *Budget {
	setDefault := func(p *float64, v float64) {
		if !(*p > 0) {
			*p = v
		}
	}
	setDefault(&cfg.Ratio, 0.1)
	setDefault(&cfg.HostMinRate, 2)
	setDefault(&cfg.CustomerMinRate, 1)
	setDefault(&cfg.HostBurst, 50)
	setDefault(&cfg.CustomerBurst, 10)
	if cfg.MaxCustomers <= 0 {
		cfg.MaxCustomers = 4096
	}
	return &Budget{cfg: cfg, host: tokenbucket.Bucket{Tokens: cfg.HostMinRate, RefilledAt: now}, customers: map[string]*tokenbucket.Bucket{}}
}

func (b *Budget) customer(now time.Duration, name string) *tokenbucket.Bucket {
	c, ok := b.customers[name]
	if !ok {
		if len(b.customers) >= b.cfg.MaxCustomers {
			b.evictCustomers(now)
		}
		c = &tokenbucket.Bucket{Tokens: b.cfg.CustomerMinRate, RefilledAt: now}
		b.customers[name] = c
	}
	return c
}

// evictCustomers drops the customers unused for a minute. If too many remain, it
// drops all.
func (b *Budget) evictCustomers(now time.Duration) {
	for name, c := range b.customers {
		if now-c.RefilledAt > time.Minute {
			delete(b.customers, name)
		}
	}
	if len(b.customers) >= b.cfg.MaxCustomers {
		clear(b.customers)
	}
}

// RecordSuccess credits a request that succeeded without a retry to the budgets of
// the host and the customer.
func (b *Budget) RecordSuccess(now time.Duration, customer string) {
	c := b.customer(now, customer)
	b.refill(now, c)
	b.host.Tokens = min(b.cfg.HostBurst, b.host.Tokens+b.cfg.Ratio)
	c.Tokens = min(b.cfg.CustomerBurst, c.Tokens+b.cfg.Ratio)
}

func (b *Budget) refill(now time.Duration, c *tokenbucket.Bucket) {
	b.host.Refill(now, b.cfg.HostMinRate, b.cfg.HostBurst)
	c.Refill(now, b.cfg.CustomerMinRate, b.cfg.CustomerBurst)
}

// Take takes one retry from the budgets of the host and the customer, or from
// neither when one of them is empty.
func (b *Budget) Take(now time.Duration, customer string) bool {
	c := b.customer(now, customer)
	b.refill(now, c)
	if b.host.Tokens < tokenbucket.Whole || c.Tokens < tokenbucket.Whole {
		return false
	}
	b.host.Tokens--
	c.Tokens--
	return true
}

// Backoff computes the wait before a retry: exponential backoff with full jitter.
type Backoff struct {
	// Base is the upper bound of the first wait. Default: 5 ms.
	Base time.Duration
	// Max is the largest upper bound. Default: 200 ms.
	Max time.Duration
}

// Next returns the wait before retry number attempt (from 1): the target's hint
// plus the jitter, for a random number from 0 to 1. It returns false when the retry,
// with the expected service time, could not finish before the deadline.
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
