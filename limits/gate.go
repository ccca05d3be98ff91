package limits

import (
	"math"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// Enforcer enforces contracts on one entry host. It is not safe for concurrent use.
type Enforcer struct {
	cfg         Config
	incarnation string
	hosts       Hosts
	majority    bool
	customers   map[string]*account
	// active holds the customers with recent requests, so that the cost of
	// DueBorrowRequests does not grow with the number of contracts.
	active map[string]*account
}

// account is the state of one customer.
type account struct {
	contract  contract.Contract
	evenShare Quota
	// lender is the present lender, loan its last loan.
	lender string
	loan   loan
	// previousLoan is a loan of an earlier lender.
	previousLoan loan
	// bucket holds the requests that may be admitted now.
	bucket tokenbucket.Bucket
	// nextRenewal is when the next borrow request is due.
	lastArrival, nextRenewal time.Duration
	// lastResponse is when a lender last responded, or when the account was
	// created.
	lastResponse time.Duration
	// borrowEarly says that the next borrow request does not wait for
	// nextRenewal.
	borrowEarly bool
	// active says that the account is in Enforcer.active.
	active bool
	demand demandMeter
	stats  CustomerStats
}

// loan is a borrowed share.
type loan struct {
	lenderIncarnation string
	number            uint64
	share             Quota
	expiresAt         time.Duration
}

func (l loan) shareAt(now time.Duration) Quota {
	if now >= l.expiresAt {
		return Quota{}
	}
	return l.share
}

// remainingMS returns the remaining validity of the loan in milliseconds, rounded
// up.
func (l loan) remainingMS(now time.Duration) int64 {
	return int64((max(0, l.expiresAt-now) + time.Millisecond - 1) / time.Millisecond)
}

// demandMeter measures demand: a moving average of arrivals per second and the
// highest concurrency requested recently.
type demandMeter struct {
	arrivals      float64
	intervalStart time.Duration
	rate          float64
	intervalPeak  int
	decayingPeak  int
}

// meterInterval is the shortest interval over which arrivals are counted.
const meterInterval = 250 * time.Millisecond

func (m *demandMeter) advance(now time.Duration) {
	d := now - m.intervalStart
	if d < meterInterval {
		return
	}
	r := m.arrivals / d.Seconds()
	if r > m.rate {
		m.rate = r
	} else {
		// The average follows an increase at once and decays within about a
		// second.
		m.rate += (r - m.rate) * (1 - math.Exp(-d.Seconds()/0.5))
	}
	m.arrivals, m.intervalStart = 0, now
	m.decayingPeak, m.intervalPeak = max(m.intervalPeak, m.decayingPeak/2), 0
}

// NewEnforcer returns an enforcer without contracts.
func NewEnforcer(cfg Config, hosts Hosts, incarnation string) *Enforcer {
	e := &Enforcer{cfg: cfg.withDefaults(), incarnation: incarnation, customers: map[string]*account{}, active: map[string]*account{}}
	e.hosts, e.majority = hosts, hosts.majority()
	return e
}

// SetContracts replaces the contracts. Customers that remain keep their
// shares, tokens and requests in flight.
func (e *Enforcer) SetContracts(now time.Duration, contracts map[string]contract.Contract) {
	for name, c := range contracts {
		a, ok := e.customers[name]
		if !ok {
			a = &account{bucket: tokenbucket.Bucket{RefilledAt: now}, lastResponse: now, lender: LenderOf(name, e.hosts.Live)}
			e.customers[name] = a
			a.contract = c
			a.evenShare = EvenShare(c, len(e.hosts.Configured))
			a.bucket.Tokens = a.bucketSize(now)
			continue
		}
		a.refill(now)
		a.contract = c
		a.evenShare = EvenShare(c, len(e.hosts.Configured))
		a.bucket.Tokens = min(a.bucket.Tokens, a.bucketSize(now))
	}
	for name, a := range e.customers {
		if _, ok := contracts[name]; ok {
			continue
		}
		a.contract.Ended = true
		if a.stats.InFlight == 0 {
			delete(e.customers, name)
			delete(e.active, name)
		}
	}
}

// SetHosts replaces the set of entry hosts.
func (e *Enforcer) SetHosts(now time.Duration, hosts Hosts) {
	e.hosts, e.majority = hosts, hosts.majority()
	for name, a := range e.customers {
		a.refill(now)
		a.evenShare = EvenShare(a.contract, len(hosts.Configured))
		a.bucket.Tokens = min(a.bucket.Tokens, a.bucketSize(now))
		if l := LenderOf(name, hosts.Live); l != a.lender {
			a.changeLender(l)
			a.nextRenewal = now
		}
	}
}

// changeLender changes the lender. The previous lender's loan stays in use until
// it expires and is reported to the new lender.
func (a *account) changeLender(lender string) {
	a.previousLoan, a.loan, a.lender = a.loan, loan{}, lender
	a.borrowEarly = a.active
}

// burstFactor is the ratio of all hosts' bursts together to the contract's burst.
// Arrivals are not distributed exactly like the shares: on 10 hosts with a burst
// of 100 ms of the rate, a factor of 1 refused 22% of the requests of a host with
// demand below its share; 2 refused 10%.
const burstFactor = 2

// bucketSize returns the capacity of the token bucket, in requests: the contract's
// burst in proportion to the host's share of the rate, times burstFactor, and at
// least one request.
func (a *account) bucketSize(now time.Duration) float64 {
	return max(1, burstFactor*a.contract.Burst*a.share(now).Rate/a.contract.RatePerSecond)
}

// share returns the quota that the host may use now: its even share and its valid
// loans.
func (a *account) share(now time.Duration) Quota {
	s := a.evenShare
	for _, d := range []Quota{a.loan.shareAt(now), a.previousLoan.shareAt(now)} {
		s.Rate += d.Rate
		s.Concurrency += d.Concurrency
	}
	return s
}

// refill adds the tokens since the last call. A loan counts until it expires.
func (a *account) refill(now time.Duration) {
	if now <= a.bucket.RefilledAt {
		return
	}
	add := a.evenShare.Rate * (now - a.bucket.RefilledAt).Seconds()
	for _, l := range []*loan{&a.loan, &a.previousLoan} {
		if end := min(now, l.expiresAt); end > a.bucket.RefilledAt {
			add += l.share.Rate * (end - a.bucket.RefilledAt).Seconds()
		}
	}
	a.bucket.Credit(now, add, a.bucketSize(now))
}

// Admit decides whether to admit a request. The caller ends an admitted one with
// Done. bodyBytes is the declared size of the body, or -1 if it is unknown; the
// caller then limits the body to MaxBody while it reads.
func (e *Enforcer) Admit(now time.Duration, customer, workload string, bodyBytes int64) Decision {
	a, ok := e.customers[customer]
	if !ok {
		return Decision{Code: CodeUnknownCustomer}
	}
	if code := a.checkContract(workload, bodyBytes); code != "" {
		a.stats.Refused++
		return Decision{Code: code}
	}
	a.refill(now)
	if !a.active {
		e.active[customer] = a
	}
	a.recordArrival(now)
	share := a.share(now)
	limit := e.concurrencyLimit(now, a, share)
	switch {
	case a.stats.InFlight >= limit:
		return e.refuse(now, a, CodeConcurrencyLimited, e.cfg.MinRetryAfter)
	case a.bucket.Tokens < 1:
		return e.refuse(now, a, CodeRateLimited, tokenbucket.Wait(1-a.bucket.Tokens, share.Rate))
	}
	a.bucket.Tokens--
	a.stats.InFlight++
	a.stats.Admitted++
	return Decision{Admitted: true}
}

func (a *account) checkContract(workload string, bodyBytes int64) RefusalCode {
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

func (a *account) recordArrival(now time.Duration) {
	a.demand.advance(now)
	a.demand.arrivals++
	a.demand.intervalPeak = max(a.demand.intervalPeak, a.stats.InFlight+1)
	a.lastArrival = now
	if !a.active {
		a.active, a.borrowEarly = true, true
	}
}

// concurrencyLimit returns the limit of requests in flight on this host: the
// share, but at least one if the host is in a minority or no lender has responded
// for LeaseDuration.
func (e *Enforcer) concurrencyLimit(now time.Duration, a *account, share Quota) int {
	if share.Concurrency == 0 && (!e.majority || now-a.lastResponse >= e.cfg.LeaseDuration) {
		return 1
	}
	return share.Concurrency
}

func (e *Enforcer) refuse(now time.Duration, a *account, code RefusalCode, after time.Duration) Decision {
	a.stats.Refused++
	a.borrowEarly = true
	after = min(max(after, e.cfg.MinRetryAfter), e.cfg.MaxRetryAfter)
	return Decision{Code: code, RetryAfter: after, BorrowNow: e.majority && now >= a.nextRenewal-e.cfg.RenewInterval+minBorrowInterval}
}

// minBorrowInterval is the shortest time between two borrow requests of a customer.
const minBorrowInterval = 50 * time.Millisecond

// Done ends an admitted request.
func (e *Enforcer) Done(customer string) {
	if a, ok := e.customers[customer]; ok && a.stats.InFlight > 0 {
		a.stats.InFlight--
		if a.contract.Ended && a.stats.InFlight == 0 {
			delete(e.customers, customer)
			delete(e.active, customer)
		}
	}
}

// MaxBody returns the limit of the body in bytes, or 0 if the contract sets none.
func (e *Enforcer) MaxBody(customer string) int64 {
	if a, ok := e.customers[customer]; ok {
		return a.contract.MaxBodyBytes
	}
	return 0
}

// Weight returns the weight of the contract, or 1 for an unknown customer.
func (e *Enforcer) Weight(customer string) float64 {
	if a, ok := e.customers[customer]; ok && a.contract.Weight > 0 {
		return a.contract.Weight
	}
	return 1
}

// DueBorrowRequests returns the borrow requests that are due. A host in a minority
// borrows nothing. The caller sends each request to its Lender and passes the
// response to ApplyLoan; a missing response changes nothing. For a customer that
// has become idle, it discards the loan and includes a request that returns it.
func (e *Enforcer) DueBorrowRequests(now time.Duration) []BorrowRequest {
	var out []BorrowRequest
	for name, a := range e.active {
		if !e.majority || a.lender == "" {
			continue
		}
		due := a.nextRenewal
		if a.borrowEarly {
			due = a.nextRenewal - e.cfg.RenewInterval + minBorrowInterval
		}
		if now < due {
			continue
		}
		out = append(out, e.newBorrowRequest(now, name, a))
	}
	return out
}

func (e *Enforcer) newBorrowRequest(now time.Duration, name string, a *account) BorrowRequest {
	a.refill(now)
	a.demand.advance(now)
	a.borrowEarly = false
	a.nextRenewal = now + e.cfg.RenewInterval
	b := BorrowRequest{
		Customer: name, Host: e.hosts.Self, Incarnation: e.incarnation, Lender: a.lender,
		SentAt:         now,
		ExcessInFlight: max(0, a.stats.InFlight-a.evenShare.Concurrency),
	}
	if now-a.lastArrival >= e.cfg.IdleTimeout && a.stats.InFlight == 0 {
		a.active = false
		delete(e.active, name)
		a.loan.share, a.previousLoan = Quota{}, loan{}
		b.CurrentLoanNumber, b.LenderIncarnation = a.loan.number, a.loan.lenderIncarnation
		return b
	}
	rate := max(a.demand.rate, a.demand.arrivals/meterInterval.Seconds())
	b.Want = Quota{
		// Asks for a quarter more than the measured rate, so that demand can grow.
		Rate:        max(0, 1.25*rate-a.evenShare.Rate),
		Concurrency: max(0, max(a.demand.decayingPeak, a.demand.intervalPeak, a.stats.InFlight)+1-a.evenShare.Concurrency),
	}
	if b.Want == (Quota{}) {
		// This request returns the loan, which must no longer be used.
		a.loan.share = Quota{}
	}
	b.PreviousLoanShare, b.PreviousLoanMS = a.previousLoan.shareAt(now), a.previousLoan.remainingMS(now)
	if now < a.loan.expiresAt {
		b.CurrentLoanNumber, b.LenderIncarnation = a.loan.number, a.loan.lenderIncarnation
		b.CurrentLoanShare, b.CurrentLoanMS = a.loan.share, a.loan.remainingMS(now)
	}
	return b
}

// ApplyLoan applies the lender's response to borrow request b. It ignores the
// response of a host that is no longer the customer's lender.
func (e *Enforcer) ApplyLoan(now time.Duration, b BorrowRequest, l Loan) {
	a, ok := e.customers[b.Customer]
	if !ok || l.Customer != b.Customer || l.Lender != a.lender || b.Lender != a.lender {
		return
	}
	a.lastResponse = now
	if l.Refused != "" || !a.active {
		return
	}
	if l.Number <= a.loan.number && now < a.loan.expiresAt {
		return
	}
	a.refill(now)
	lease := min(time.Duration(l.LeaseMS)*time.Millisecond, e.cfg.LeaseDuration)
	a.loan = loan{lenderIncarnation: l.Incarnation, number: l.Number, share: l.Share, expiresAt: b.SentAt + lease}
}

// Stats returns the statistics of a customer, or false if it is unknown.
func (e *Enforcer) Stats(now time.Duration, customer string) (CustomerStats, bool) {
	a, ok := e.customers[customer]
	if !ok {
		return CustomerStats{}, false
	}
	s := a.stats
	s.EvenShare, s.BorrowedShare = a.evenShare, a.loan.shareAt(now)
	return s, true
}
