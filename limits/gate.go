package limits

import (
	"math"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
)

// Enforcer enforces contracts on one entry host. It is not safe for concurrent use.
type Enforcer struct {
	cfg         Config
	incarnation string
	hosts       Hosts
	majority    bool
	customers   map[string]*account
	// active holds the customers that use or have borrowed a share, so that the
	// work of DueBorrowRequests does not grow with the number of contracts.
	active map[string]*account
}

// account is a customer at an enforcer.
type account struct {
	contract contract.Contract
	even     Demand
	// lender is the present lender, loan what it lent.
	lender string
	loan   loan
	// former is what an earlier lender lent and has not lapsed.
	former loan
	// tokens are the requests saved up; at is when they were counted.
	tokens float64
	at     time.Duration
	// lastUse is the last arrival, nextBorrow when to send the next request.
	lastUse, nextBorrow time.Duration
	// contact is the last answer of a lender.
	contact time.Duration
	urgent  bool
	used    bool
	demand  meter
	stats   GateStats
}

// loan is a borrowed share.
type loan struct {
	// incarnation is that of the lender.
	incarnation string
	number      uint64
	share       Demand
	until       time.Duration
}

func (l loan) at(now time.Duration) Demand {
	if now >= l.until {
		return Demand{}
	}
	return l.share
}

// left returns for how much longer the loan is valid, in milliseconds.
func (l loan) left(now time.Duration) int64 {
	return int64((max(0, l.until-now) + time.Millisecond - 1) / time.Millisecond)
}

// meter measures demand: a moving average of arrivals and the highest
// concurrency asked for lately.
type meter struct {
	count      float64
	since      time.Duration
	rate       float64
	concurrent int
	peak       int
}

// meterInterval is the time over which arrivals are counted.
const meterInterval = 250 * time.Millisecond

func (m *meter) advance(now time.Duration) {
	d := now - m.since
	if d < meterInterval {
		return
	}
	r := m.count / d.Seconds()
	if r > m.rate {
		m.rate = r
	} else {
		// Demand that went away is given up over about a second.
		m.rate += (r - m.rate) * (1 - math.Exp(-d.Seconds()/0.5))
	}
	m.count, m.since = 0, now
	m.peak, m.concurrent = max(m.concurrent, m.peak/2), 0
}

// NewEnforcer returns an enforcer without contracts.
func NewEnforcer(cfg Config, hosts Hosts, incarnation string) *Enforcer {
	g := &Enforcer{cfg: cfg.withDefaults(), incarnation: incarnation, customers: map[string]*account{}, active: map[string]*account{}}
	g.hosts, g.majority = hosts, hosts.majority()
	return g
}

// SetContracts replaces the contracts. Customers that remain keep their
// shares, tokens and requests in flight.
func (g *Enforcer) SetContracts(now time.Duration, contracts map[string]contract.Contract) {
	for name, c := range contracts {
		a, ok := g.customers[name]
		if !ok {
			a = &account{at: now, contact: now, lender: LenderOf(name, g.hosts.Live)}
			g.customers[name] = a
			a.contract = c
			a.even = EvenPart(c, len(g.hosts.Configured))
			a.tokens = a.depth(now)
			continue
		}
		a.refill(now)
		a.contract = c
		a.even = EvenPart(c, len(g.hosts.Configured))
		a.tokens = min(a.tokens, a.depth(now))
	}
	for name, a := range g.customers {
		if _, ok := contracts[name]; ok {
			continue
		}
		a.contract.Ended = true
		if a.stats.InFlight == 0 {
			delete(g.customers, name)
			delete(g.active, name)
		}
	}
}

// SetHosts replaces what is known of the entry hosts.
func (g *Enforcer) SetHosts(now time.Duration, hosts Hosts) {
	g.hosts, g.majority = hosts, hosts.majority()
	for name, a := range g.customers {
		a.refill(now)
		a.even = EvenPart(a.contract, len(hosts.Configured))
		a.tokens = min(a.tokens, a.depth(now))
		if l := LenderOf(name, hosts.Live); l != a.lender {
			a.leave(l)
			a.nextBorrow = now
		}
	}
}

// leave changes the lender. What the former one lent is used until it lapses,
// and reported to the new one.
func (a *account) leave(lender string) {
	a.former, a.loan, a.lender = a.loan, loan{}, lender
	a.urgent = a.used
}

// burstFactor is how often the burst is given out over all hosts. Arrivals do
// not spread exactly like the shares: with a factor of 1, 10 hosts at a burst of
// 100 ms of the rate refused 22% of the requests of a host whose demand was below
// its share, with 2 it is 10%.
const burstFactor = 2

// depth is the number of requests that a host may save up of a customer: the
// part of the burst that its share is of the rate, times burstFactor, and at
// least one request.
func (a *account) depth(now time.Duration) float64 {
	return max(1, burstFactor*a.contract.Burst*a.share(now).Rate/a.contract.RatePerSecond)
}

// share returns what the host may use now, of both parts.
func (a *account) share(now time.Duration) Demand {
	s := a.even
	for _, d := range []Demand{a.loan.at(now), a.former.at(now)} {
		s.Rate += d.Rate
		s.Concurrency += d.Concurrency
	}
	return s
}

// refill adds the tokens since the last call; a loan counts until it lapses.
func (a *account) refill(now time.Duration) {
	if now <= a.at {
		return
	}
	add := a.even.Rate * (now - a.at).Seconds()
	for _, l := range []*loan{&a.loan, &a.former} {
		if end := min(now, l.until); end > a.at {
			add += l.share.Rate * (end - a.at).Seconds()
		}
	}
	a.tokens = min(a.depth(now), a.tokens+add)
	a.at = now
}

// Admit decides on a request; an admitted one is ended with Done. bodyBytes is
// the declared size of the body, or -1 when it is unknown: the caller then
// limits the body to MaxBody while it reads.
func (g *Enforcer) Admit(now time.Duration, customer, workload string, bodyBytes int64) Decision {
	a, ok := g.customers[customer]
	if !ok {
		return Decision{Code: CodeUnknownCustomer}
	}
	if code := a.permits(workload, bodyBytes); code != "" {
		a.stats.Refused++
		return Decision{Code: code}
	}
	a.refill(now)
	if !a.used {
		g.active[customer] = a
	}
	a.arrived(now)
	share := a.share(now)
	limit := g.concurrency(now, a, share)
	switch {
	case a.stats.InFlight >= limit:
		return g.refuse(now, a, CodeConcurrencyLimited, g.cfg.MinRetryAfter)
	case a.tokens < 1:
		return g.refuse(now, a, CodeRateLimited, wait(1-a.tokens, share.Rate))
	}
	a.tokens--
	a.stats.InFlight++
	a.stats.Admitted++
	return Decision{Admitted: true}
}

func (a *account) permits(workload string, bodyBytes int64) RefusalCode {
	switch {
	case a.contract.Ended:
		return CodeContractEnded
	case !slices.Contains(a.contract.Workloads, workload):
		return CodeWorkloadNotPermitted
	case a.contract.MaxBodyBytes > 0 && bodyBytes > a.contract.MaxBodyBytes:
		return CodeBodyTooLarge
	}
	return ""
}

func (a *account) arrived(now time.Duration) {
	a.demand.advance(now)
	a.demand.count++
	a.demand.concurrent = max(a.demand.concurrent, a.stats.InFlight+1)
	a.lastUse = now
	if !a.used {
		a.used, a.urgent = true, true
	}
}

// concurrency returns the limit of requests in flight on this host: the share,
// or one when the host has had no contact with a lender for a lease.
func (g *Enforcer) concurrency(now time.Duration, a *account, share Demand) int {
	if share.Concurrency == 0 && (!g.majority || now-a.contact >= g.cfg.Lease) {
		return 1
	}
	return share.Concurrency
}

func (g *Enforcer) refuse(now time.Duration, a *account, code RefusalCode, after time.Duration) Decision {
	a.stats.Refused++
	a.urgent = true
	after = min(max(after, g.cfg.MinRetryAfter), g.cfg.MaxRetryAfter)
	return Decision{Code: code, RetryAfter: after, BorrowNow: g.majority && now >= a.nextBorrow-g.cfg.Renew+urgentInterval}
}

// urgentInterval is the shortest time between two borrow requests of a customer.
const urgentInterval = 50 * time.Millisecond

func wait(tokens, rate float64) time.Duration {
	if !(rate > 0) {
		return math.MaxInt64
	}
	return time.Duration(min(tokens/rate, 1e6) * float64(time.Second))
}

// Done ends an admitted request.
func (g *Enforcer) Done(customer string) {
	if a, ok := g.customers[customer]; ok && a.stats.InFlight > 0 {
		a.stats.InFlight--
		if a.contract.Ended && a.stats.InFlight == 0 {
			delete(g.customers, customer)
			delete(g.active, customer)
		}
	}
}

// MaxBody returns the limit of the body in bytes, or 0 when the contract sets
// none.
func (g *Enforcer) MaxBody(customer string) int64 {
	if a, ok := g.customers[customer]; ok {
		return a.contract.MaxBodyBytes
	}
	return 0
}

// Weight returns the weight of the contract, or 1 for an unknown customer.
func (g *Enforcer) Weight(customer string) float64 {
	if a, ok := g.customers[customer]; ok && a.contract.Weight > 0 {
		return a.contract.Weight
	}
	return 1
}

// DueBorrowRequests returns the borrow requests that are due. A minority host and an
// unused customer borrow nothing. The caller sends each to its Lender and
// hands the answer to ApplyLoan; an answer that does not come changes nothing. A
// loan whose customer is no longer used is dropped here, and the request
// returns it.
func (g *Enforcer) DueBorrowRequests(now time.Duration) []BorrowRequest {
	var out []BorrowRequest
	for name, a := range g.active {
		if !g.majority || a.lender == "" {
			continue
		}
		due := a.nextBorrow
		if a.urgent {
			due = a.nextBorrow - g.cfg.Renew + urgentInterval
		}
		if now < due {
			continue
		}
		out = append(out, g.borrow(now, name, a))
	}
	return out
}

func (g *Enforcer) borrow(now time.Duration, name string, a *account) BorrowRequest {
	a.refill(now)
	a.demand.advance(now)
	a.urgent = false
	a.nextBorrow = now + g.cfg.Renew
	b := BorrowRequest{
		Customer: name, Host: g.hosts.Self, Incarnation: g.incarnation, Lender: a.lender,
		SentAt: now,
		InUse:  max(0, a.stats.InFlight-a.even.Concurrency),
	}
	if now-a.lastUse >= g.cfg.IdleReturn && a.stats.InFlight == 0 {
		a.used = false
		delete(g.active, name)
		a.loan.share, a.former = Demand{}, loan{}
		b.Lent, b.LenderIncarnation = a.loan.number, a.loan.incarnation
		return b
	}
	rate := max(a.demand.rate, a.demand.count/meterInterval.Seconds())
	b.Want = Demand{
		// A quarter more than was seen leaves room for growth.
		Rate:        max(0, 1.25*rate-a.even.Rate),
		Concurrency: max(0, max(a.demand.peak, a.demand.concurrent, a.stats.InFlight)+1-a.even.Concurrency),
	}
	if b.Want == (Demand{}) {
		// This returns the loan, so it must not be used from here on.
		a.loan.share = Demand{}
	}
	b.Holds, b.HoldsMS = a.former.at(now), a.former.left(now)
	if now < a.loan.until {
		b.Lent, b.LenderIncarnation = a.loan.number, a.loan.incarnation
		b.Uses, b.UsesMS = a.loan.share, a.loan.left(now)
	}
	return b
}

// ApplyLoan takes the answer to a borrow request into account.
func (g *Enforcer) ApplyLoan(now time.Duration, b BorrowRequest, l Loan) {
	a, ok := g.customers[b.Customer]
	if !ok || l.Customer != b.Customer || l.Lender != a.lender || b.Lender != a.lender {
		return
	}
	a.contact = now
	if l.Refused != "" || !a.used {
		return
	}
	if l.Number <= a.loan.number && now < a.loan.until {
		return
	}
	a.refill(now)
	lease := min(time.Duration(l.LeaseMS)*time.Millisecond, g.cfg.Lease)
	a.loan = loan{incarnation: l.Incarnation, number: l.Number, share: l.Share, until: b.SentAt + lease}
}

// Stats returns a picture of a customer, or false when it is unknown.
func (g *Enforcer) Stats(now time.Duration, customer string) (GateStats, bool) {
	a, ok := g.customers[customer]
	if !ok {
		return GateStats{}, false
	}
	s := a.stats
	s.Even, s.Lent = a.even, a.loan.at(now)
	return s, true
}
