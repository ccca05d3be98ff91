package limits

import (
	"slices"
	"strconv"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/cespare/xxhash/v2"
)

// Lender lends the lending pools of the customers that hash to this host. It is
// not safe for concurrent use.
type Lender struct {
	cfg         Config
	incarnation string
	hosts       Hosts
	majority    bool
	contracts   map[string]contract.Contract
	ledgers     map[string]*ledger
	number      uint64
}

// ledger holds the loans of one customer.
type ledger struct {
	borrowers map[string]*borrower
}

// borrower is the state of a host that borrows.
type borrower struct {
	incarnation string
	want        Quota
	inUse       int
	loans       []outstandingLoan
	// previousLoan is what the borrower still uses from another lender.
	previousLoan outstandingLoan
}

// outstandingLoan is a loan that may be in use.
type outstandingLoan struct {
	number    uint64
	share     Quota
	expiresAt time.Duration
}

// NewLender returns a lender without contracts. The incarnation changes when
// the process restarts.
func NewLender(cfg Config, hosts Hosts, incarnation string) *Lender {
	l := &Lender{cfg: cfg.withDefaults(), incarnation: incarnation, ledgers: map[string]*ledger{}}
	l.hosts, l.majority = hosts, hosts.majority()
	return l
}

// SetContracts replaces the contracts. The caller must not change the map
// afterwards.
func (l *Lender) SetContracts(contracts map[string]contract.Contract) { l.contracts = contracts }

// SetHosts replaces the set of entry hosts.
func (l *Lender) SetHosts(hosts Hosts) {
	l.hosts, l.majority = hosts, hosts.majority()
}

// Lend answers a borrow request.
func (l *Lender) Lend(now time.Duration, b BorrowRequest) Loan {
	// The boot-time clock keeps the numbers increasing across process restarts.
	l.number = max(l.number+1, uint64(now/time.Microsecond))
	out := Loan{Customer: b.Customer, Lender: l.hosts.Self, Incarnation: l.incarnation, Number: l.number, LeaseMS: l.cfg.LeaseDuration.Milliseconds()}
	c, ok := l.contracts[b.Customer]
	switch {
	case !ok || c.Ended:
		out.Refused = RefusedUnknownCustomer
	case !l.majority:
		out.Refused = RefusedMinority
	case b.Lender != l.hosts.Self || LenderOf(b.Customer, l.hosts.Live) != l.hosts.Self:
		out.Refused = RefusedNotLender
	}
	if out.Refused != "" {
		return out
	}
	led := l.ledger(b.Customer)
	led.expire(now)
	h := led.recordRequest(b, l.incarnation, l.expiry(now, b.PreviousLoanMS), l.expiry(now, b.CurrentLoanMS))
	if b.Want == (Quota{}) {
		return out
	}
	out.Share = led.allocate(b.Host, LendingPool(c, len(l.hosts.Configured)), int64(now/l.cfg.LeaseDuration))
	h.loans = append(h.loans, outstandingLoan{number: out.Number, share: out.Share, expiresAt: l.expiry(now, out.LeaseMS)})
	return out
}

// expiry returns when a lease of the given length has expired by any host's clock.
func (l *Lender) expiry(now time.Duration, ms int64) time.Duration {
	d := min(time.Duration(max(ms, 0))*time.Millisecond, l.cfg.LeaseDuration)
	return now + d + time.Duration(float64(d)*2*l.cfg.ClockRateBound) + time.Millisecond
}

func (l *Lender) ledger(customer string) *ledger {
	led, ok := l.ledgers[customer]
	if !ok {
		led = &ledger{borrowers: map[string]*borrower{}}
		l.ledgers[customer] = led
	}
	return led
}

// expire removes expired loans and borrowers without loans.
func (led *ledger) expire(now time.Duration) {
	expired := func(x outstandingLoan) bool { return now >= x.expiresAt }
	for name, h := range led.borrowers {
		h.loans = slices.DeleteFunc(h.loans, expired)
		if expired(h.previousLoan) {
			h.previousLoan = outstandingLoan{}
			if len(h.loans) == 0 {
				delete(led.borrowers, name)
			}
		}
	}
}

// recordRequest records a borrower's request and removes the loans that it no
// longer uses. A loan whose response is still in transit stays, since its number
// is above CurrentLoanNumber.
func (led *ledger) recordRequest(b BorrowRequest, incarnation string, previousExpiry, currentExpiry time.Duration) *borrower {
	h, ok := led.borrowers[b.Host]
	if !ok {
		h = &borrower{incarnation: b.Incarnation}
		led.borrowers[b.Host] = h
	}
	h.want, h.inUse = b.Want, b.ExcessInFlight
	h.previousLoan = outstandingLoan{share: b.PreviousLoanShare, expiresAt: previousExpiry}
	if b.Incarnation != h.incarnation {
		// The previous incarnation may still be running, so its loans stay
		// until they expire.
		h.incarnation = b.Incarnation
		return h
	}
	if b.LenderIncarnation != incarnation {
		// The loan in use is from before a restart of this lender. It is
		// recorded as number 0 until the borrower uses a new loan.
		h.loans = slices.DeleteFunc(h.loans, func(x outstandingLoan) bool { return x.number == 0 })
		if b.CurrentLoanShare != (Quota{}) {
			h.loans = append(h.loans, outstandingLoan{share: b.CurrentLoanShare, expiresAt: currentExpiry})
		}
		return h
	}
	returned := b.Want == (Quota{})
	h.loans = slices.DeleteFunc(h.loans, func(x outstandingLoan) bool {
		return x.number < b.CurrentLoanNumber || returned && x.number == b.CurrentLoanNumber
	})
	return h
}

// maxInUse returns the most that a borrower may be using.
func (h *borrower) maxInUse() Quota {
	var d Quota
	for _, x := range h.loans {
		d.Rate = max(d.Rate, x.share.Rate)
		d.Concurrency = max(d.Concurrency, x.share.Concurrency)
	}
	d.Rate += h.previousLoan.share.Rate
	d.Concurrency = max(d.Concurrency+h.previousLoan.share.Concurrency, h.inUse)
	return d
}

// allocate returns the share of a borrower: its part of a max-min fair division
// of the pool by demand, limited to what the other borrowers' loans leave, less
// what it still has from another lender.
func (led *ledger) allocate(host string, pool Quota, epoch int64) Quota {
	available := pool
	rates := make([]float64, 0, len(led.borrowers))
	slots := make([]float64, 0, len(led.borrowers))
	self := led.borrowers[host]
	for name, h := range led.borrowers {
		rates = append(rates, h.want.Rate)
		slots = append(slots, float64(h.want.Concurrency))
		if name != host {
			d := h.maxInUse()
			available.Rate -= d.Rate
			available.Concurrency -= d.Concurrency
		}
	}
	return Quota{
		Rate:        max(0, min(fairShare(rates, self.want.Rate, pool.Rate), available.Rate)-self.previousLoan.share.Rate),
		Concurrency: max(0, min(led.wholeSlots(host, slots, pool.Concurrency, epoch), available.Concurrency)-self.previousLoan.share.Concurrency),
	}
}

// wholeSlots returns a borrower's part of a fair division into whole slots. The
// slots that remain after rounding go to some of the hosts that want more, in a
// different order in each epoch, so that no host stays without a slot for long.
func (led *ledger) wholeSlots(host string, wants []float64, pool int, epoch int64) int {
	want := led.borrowers[host].want.Concurrency
	wholeShare := func(w int) int { return int(fairShare(wants, float64(w), float64(pool)) + 1e-9) }
	n := wholeShare(want)
	if n >= want {
		return n
	}
	remaining, ahead := pool, 0
	for name, h := range led.borrowers {
		w := wholeShare(h.want.Concurrency)
		remaining -= w
		if w < h.want.Concurrency && rotation(name, epoch) < rotation(host, epoch) {
			ahead++
		}
	}
	if ahead < remaining {
		n++
	}
	return n
}

// rotation returns the rank of a host in an epoch; the lowest ranks go first.
func rotation(host string, epoch int64) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(epoch, 10) + host)
}

// fairShare returns what a demand of want gets in a max-min fair division of total
// among wants.
func fairShare(wants []float64, want, total float64) float64 {
	sorted := slices.Clone(wants)
	slices.Sort(sorted)
	for i, w := range sorted {
		level := total / float64(len(sorted)-i)
		if w > level {
			return min(want, level)
		}
		total -= w
	}
	return want
}
